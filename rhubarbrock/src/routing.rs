//! Endpoint selection.
//!
//! [`Router`] holds what a node knows of the endpoints and selects one for each
//! request. It prefers the endpoint that has the prompt's prefix cached, or the
//! one to which every node sends that prefix, and passes over endpoints whose
//! load exceeds a bound relative to the mean (consistent hashing with bounded
//! loads). `docs/design/routing.md` compares the alternatives.

mod selected;
mod settings;

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use rhubarbrock_schema::release;

use crate::{cache, choice, endpoint, id, rates, view};

pub use selected::{Choice, NoEndpoint, NoEndpointReason, Reason, Rule};
pub use settings::Settings;

/// Fewest tokens over which a mean token interval is measured; evens out single slow steps.
const MIN_INTERVAL_TOKENS: u32 = 32;

/// Properties of a request that endpoint selection depends on.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Hashes of the prompt's complete blocks; empty for plain services.
    pub blocks: &'a [id::BlockHash],
    /// Size of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// [`Prompt::dialogue`](crate::prompt::Prompt::dialogue); 0 for none.
    pub dialogue: u64,
    /// [`Prompt::settled_tokens`](crate::prompt::Prompt::settled_tokens).
    pub settled_tokens: u32,
    /// Whether the request may probe an endpoint whose ejection has ended.
    pub may_probe: bool,
    /// Whether part of each endpoint's limit is reserved for other requests; see
    /// [`Settings::usable_limit_share`].
    pub leaves_headroom: bool,
    /// Endpoints that must not be chosen.
    pub exclude: &'a [id::EndpointId],
}

/// How a request failed at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Failure {
    /// No connection could be established.
    #[display("no connection")]
    ConnectFailed,
    /// The connection was lost before the answer was complete.
    #[display("connection lost")]
    ConnectionLost,
    /// The answer did not arrive in time.
    #[display("timeout")]
    Timeout,
    /// The answer was malformed, or the endpoint reported an internal error.
    #[display("invalid answer")]
    InvalidAnswer,
    /// The endpoint refused the request because it is at capacity.
    #[display("busy")]
    Busy {
        /// Time for which the endpoint asked not to be sent requests.
        retry_after: Duration,
    },
    /// The endpoint refused the request because it is leaving.
    #[display("leaving")]
    Leaving,
}

/// Result of a request that was answered completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answered {
    /// Size of the answer, in tokens.
    pub answer_tokens: u32,
}

/// Change of an endpoint's health that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Change {
    /// Ejected after failed requests of this node.
    #[display("ejected")]
    Ejected,
    /// Ejection ended by a successful request.
    #[display("reinstated")]
    Reinstated,
}

/// An attempt in flight.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) endpoint: id::EndpointId,
    pub(crate) sent_at: Duration,
    /// Prompt tokens to compute at the endpoint when this was sent, including its own.
    pub(crate) prefill_tokens: f64,
    pub(crate) blocks: Vec<id::BlockHash>,
    /// Time and token count at the last interval measurement; none before the first token.
    pub(crate) last_sample: Option<(Duration, u32)>,
}

/// Endpoint selection of one node.
#[derive(Debug, Clone)]
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) data_centre: String,
    pub(crate) view: view::View,
    pub(crate) prefix_index: cache::PrefixIndex,
    pub(crate) attempts: BTreeMap<id::AttemptId, Attempt>,
    pub(crate) rates: BTreeMap<String, rates::Rates>,
    pub(crate) round_trips: BTreeMap<String, Duration>,
    pub(crate) interval_targets: BTreeMap<String, Duration>,
    pub(crate) price_cost: Duration,
    pub(crate) node_count: f64,
}

impl Router {
    /// Creates a router without endpoints for a node in `data_centre`.
    pub fn new(node: id::NodeId, data_centre: &str, settings: Settings) -> Router {
        Router {
            view: view::View::new(node, settings.subset_size),
            prefix_index: cache::PrefixIndex::new(settings.cache),
            price_cost: settings.cost_objective_price_cost,
            settings,
            data_centre: data_centre.to_owned(),
            attempts: BTreeMap::new(),
            rates: BTreeMap::new(),
            round_trips: BTreeMap::new(),
            interval_targets: BTreeMap::new(),
            node_count: 1.0,
        }
    }

    /// Applies the objective and the token interval targets of a new release.
    pub fn on_release(&mut self, release: &release::Release) {
        let objective = release.policy.as_ref().map(release::Policy::objective);
        self.price_cost = match objective {
            Some(release::Objective::Latency) => self.settings.latency_objective_price_cost,
            _ => self.settings.cost_objective_price_cost,
        };
        self.interval_targets = release
            .services
            .iter()
            .filter(|service| service.token_interval_target_ms > 0)
            .map(|service| {
                let target = Duration::from_millis(service.token_interval_target_ms.into());
                (service.name.clone(), target)
            })
            .collect();
    }

    /// Sets the number of nodes that send to the same endpoints, at least 1.
    pub fn set_node_count(&mut self, node_count: usize) {
        self.node_count = node_count.max(1) as f64;
    }

    /// Sets the round-trip time to a data centre.
    pub fn set_round_trip(&mut self, data_centre: &str, round_trip: Duration) {
        self.round_trips.insert(data_centre.to_owned(), round_trip);
    }

    /// Applies the platform's instance list, taken at `taken_at` by the platform's clock.
    ///
    /// Returns whether the list was applied; one taken before the last list is ignored.
    pub fn on_list(
        &mut self,
        now: Duration,
        taken_at: Duration,
        listings: Vec<endpoint::Listing>,
    ) -> bool {
        self.view.on_list(now, taken_at, listings, &self.settings.limit)
    }

    /// Applies a reclaim notice; returns whether it is the first for this endpoint.
    pub fn on_notice(&mut self, now: Duration, endpoint: id::EndpointId) -> bool {
        self.view.on_notice(now, endpoint)
    }

    /// Applies a load report that this node fetched; returns whether it was newer than the last.
    pub fn on_load(
        &mut self,
        now: Duration,
        endpoint: id::EndpointId,
        report: &endpoint::LoadReport,
    ) -> bool {
        if let Some(endpoint) = self.view.endpoints.get_mut(&endpoint) {
            endpoint.last_contact_at = Some(now);
        }
        self.view.on_load(now, endpoint, report, self.settings.restart_gap)
    }

    /// Applies a load report from a peer's digest; returns whether it was newer than the last.
    pub fn on_peer_load(
        &mut self,
        now: Duration,
        endpoint: id::EndpointId,
        report: &endpoint::LoadReport,
        is_unreachable: bool,
    ) -> bool {
        if is_unreachable && let Some(endpoint) = self.view.endpoints.get_mut(&endpoint) {
            endpoint.unreachable_until = now + self.settings.unreachable_duration;
        }
        self.view.on_load(now, endpoint, report, self.settings.restart_gap)
    }

    /// Applies a cache event: blocks that an endpoint stored and removed.
    pub fn on_cache_event(
        &mut self,
        now: Duration,
        endpoint: id::EndpointId,
        stored: &[id::BlockHash],
        removed: &[id::BlockHash],
    ) {
        self.prefix_index.record_removed(endpoint, removed);
        self.prefix_index.record_stored(now, endpoint, stored);
    }

    /// Selects an endpoint. Does not change the router; [`Router::on_sent`] records the request.
    ///
    /// # Errors
    ///
    /// [`NoEndpoint`] if every endpoint is ruled out.
    pub fn choose(&self, now: Duration, query: &Query<'_>) -> Result<Choice, NoEndpoint> {
        choice::choose(self, now, query)
    }

    /// Records that a request is sent to an endpoint.
    ///
    /// # Panics
    ///
    /// If `attempt` is already in flight.
    pub fn on_sent(
        &mut self,
        now: Duration,
        attempt: id::AttemptId,
        endpoint: id::EndpointId,
        query: &Query<'_>,
    ) {
        let matches = self.prefix_index.matches(query.blocks);
        let matched_tokens = choice::matched_tokens(&matches, endpoint);
        let load = self.load(now, endpoint);
        let Some(known) = self.view.endpoints.get_mut(&endpoint) else {
            return;
        };
        let uncached_tokens = query.prompt_tokens.saturating_sub(matched_tokens);
        known.health.on_sent(now);
        known.in_flight.push(endpoint::InFlight {
            attempt,
            sent_at: now,
            uncached_tokens,
            has_first_token: query.blocks.is_empty(),
        });
        let sent = Attempt {
            endpoint,
            sent_at: now,
            prefill_tokens: load.prefill_tokens + f64::from(uncached_tokens),
            blocks: query.blocks.to_vec(),
            last_sample: None,
        };
        let previous = self.attempts.insert(attempt, sent);
        assert!(previous.is_none(), "attempt {attempt} was sent twice");
        self.prefix_index.record_sent(now, endpoint, query.dialogue, query.blocks);
    }

    /// Records the first token of an attempt's answer.
    pub fn on_first_token(&mut self, now: Duration, attempt: id::AttemptId) {
        let Some(sent) = self.attempts.get_mut(&attempt) else {
            return;
        };
        sent.last_sample = Some((now, 1));
        let (wait, prefill_tokens) = (now.saturating_sub(sent.sent_at), sent.prefill_tokens);
        let Some(endpoint) = self.view.endpoints.get_mut(&sent.endpoint) else {
            return;
        };
        endpoint.last_contact_at = Some(now);
        for sent in endpoint.in_flight.iter_mut().filter(|sent| sent.attempt == attempt) {
            sent.has_first_token = true;
        }
        let service = endpoint.listing.service.clone();
        self.rates.entry(service).or_default().on_first_token(wait, prefill_tokens);
    }

    /// Records that `tokens` tokens of an attempt's answer have arrived in total.
    pub fn on_progress(&mut self, now: Duration, attempt: id::AttemptId, tokens: u32) {
        let Some(sent) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let Some((sampled_at, sampled_tokens)) = sent.last_sample else {
            return;
        };
        if tokens < sampled_tokens + MIN_INTERVAL_TOKENS {
            return;
        }
        sent.last_sample = Some((now, tokens));
        let interval = now.saturating_sub(sampled_at) / (tokens - sampled_tokens);
        let endpoint = sent.endpoint;
        let running = self.load(now, endpoint).requests;
        let Some(known) = self.view.endpoints.get_mut(&endpoint) else {
            return;
        };
        let service = known.listing.service.clone();
        let mut limits = self.settings.limit;
        if let Some(target) = self.interval_targets.get(&service) {
            limits.interval_target = *target;
        }
        known.limit.on_interval(now, &limits, interval, running);
        self.rates.entry(service).or_default().on_interval(interval);
    }

    /// Records that an attempt was answered completely.
    ///
    /// Returns a change if that ended the endpoint's ejection. Unknown attempts are ignored.
    pub fn on_done(
        &mut self,
        now: Duration,
        attempt: id::AttemptId,
        answered: &Answered,
    ) -> Option<Change> {
        let sent = self.attempts.remove(&attempt)?;
        let endpoint = self.view.endpoints.get_mut(&sent.endpoint)?;
        endpoint.end_attempt(now, attempt);
        endpoint.last_contact_at = Some(now);
        let elapsed = now.saturating_sub(sent.sent_at);
        let service = endpoint.listing.service.clone();
        let was_ejected = endpoint.health.on_success();
        self.rates.entry(service).or_default().on_answered(elapsed, answered.answer_tokens);
        was_ejected.then_some(Change::Reinstated)
    }

    /// Records that an attempt was cancelled, which does not affect the endpoint's health.
    pub fn on_cancelled(&mut self, now: Duration, attempt: id::AttemptId) {
        let Some(sent) = self.attempts.remove(&attempt) else {
            return;
        };
        if let Some(endpoint) = self.view.endpoints.get_mut(&sent.endpoint) {
            endpoint.end_attempt(now, attempt);
            endpoint.health.on_unknown();
        }
    }

    /// Records that an attempt failed.
    ///
    /// Returns a change if the endpoint is ejected for it. Unknown attempts are ignored.
    pub fn on_failure(
        &mut self,
        now: Duration,
        attempt: id::AttemptId,
        failure: Failure,
    ) -> Option<Change> {
        let sent = self.attempts.remove(&attempt)?;
        self.prefix_index.record_removed(sent.endpoint, &sent.blocks);
        let endpoint = self.view.endpoints.get_mut(&sent.endpoint)?;
        endpoint.end_attempt(now, attempt);
        match failure {
            Failure::Busy { retry_after } => {
                endpoint.busy_until = now + retry_after;
                endpoint.health.on_unknown();
                None
            }
            Failure::Leaving => {
                endpoint.health.on_unknown();
                self.view.on_refused_leaving(sent.endpoint);
                None
            }
            Failure::ConnectFailed
            | Failure::ConnectionLost
            | Failure::Timeout
            | Failure::InvalidAnswer => {
                let is_ejected = endpoint.health.on_failure(now, &self.settings.health);
                is_ejected.then_some(Change::Ejected)
            }
        }
    }

    /// Load of an endpoint, corrected by this node's requests since; zero if it is unknown.
    pub fn load(&self, now: Duration, endpoint: id::EndpointId) -> endpoint::Load {
        let known = self.view.endpoints.get(&endpoint);
        let max_age = self.settings.max_load_age;
        known.map_or_else(endpoint::Load::default, |known| known.load(now, max_age))
    }

    /// The endpoint with this id, if it is known.
    pub fn endpoint(&self, endpoint: id::EndpointId) -> Option<&endpoint::Endpoint> {
        self.view.endpoints.get(&endpoint)
    }

    /// All known endpoints, in order of their ids.
    pub fn endpoints(&self) -> impl Iterator<Item = &endpoint::Endpoint> {
        self.view.endpoints.values()
    }

    /// Names of services that have or had a live endpoint, in alphabetical order.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.view.services.keys().map(String::as_str)
    }

    /// Endpoints of a service whose load this node tracks, in order of their ids.
    pub fn subset(&self, service: &str) -> &[id::EndpointId] {
        self.view.services.get(service).map_or(&[], |endpoints| &endpoints.subset)
    }

    /// Measured speeds of a service's endpoints; defaults before the first measurement.
    pub fn rates(&self, service: &str) -> rates::Rates {
        self.rates.get(service).copied().unwrap_or_default()
    }

    /// Time since a list was last applied; none before the first.
    pub fn list_age(&self, now: Duration) -> Option<Duration> {
        self.view.list_age(now)
    }

    /// Capacity of the live endpoints of a service whose load this node tracks.
    pub fn capacity(&self, now: Duration, service: &str) -> Capacity {
        let mut capacity = Capacity::default();
        for id in self.subset(service) {
            let endpoint = &self.view.endpoints[id];
            if endpoint.state(now) != endpoint::State::Live {
                continue;
            }
            let load = self.load(now, *id);
            capacity.endpoints += 1;
            capacity.limit += endpoint.limit.requests();
            capacity.load += load.requests;
            capacity.free += (endpoint.limit.requests() - load.requests).max(0.0);
        }
        capacity
    }
}

/// Capacity of the live endpoints of a service whose load a node tracks.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Capacity {
    /// Number of live endpoints.
    pub endpoints: usize,
    /// Sum of their concurrency limits, in requests.
    pub limit: f64,
    /// Requests at these endpoints, of all nodes.
    pub load: f64,
    /// Requests that can be added before each limit is reached.
    pub free: f64,
}
