//! Which endpoint a request goes to.
//!
//! [`Router`] keeps what a node knows of the endpoints and chooses one for each
//! request: where the prompt's prefix is cached or will be looked for by other
//! nodes, unless that endpoint carries more than its bounded share of the load.
//! See `docs/design/routing.md` for the ways that were weighed.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::{Display, Error};
use rhubarbrock_schema::release;

use crate::{cache, choice, endpoint, health, id, limit, rates, view};

/// Fewest tokens whose mean interval is learnt from, so that a single slow step doesn't count.
const MIN_MARK_TOKENS: u32 = 32;

/// Settings of a [`Router`].
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Endpoint load allowed, as a multiple of the mean.
    pub load_bound: f64,
    /// Requests allowed on top of the bound.
    pub load_slack: f64,
    /// Endpoints of a service whose load this node follows.
    pub subset_size: usize,
    /// Endpoints, in order of rank, that requests with the same shared prefix are packed onto.
    pub shared_prefix_endpoints: usize,
    /// Cost of each further rank among those.
    pub shared_prefix_rank_cost: Duration,
    /// Whether a dialogue's home endpoint is preferred where no cache is known.
    pub prefers_home: bool,
    /// Share of a dialogue's earlier turns expected in its home's cache, 0 to 1.
    pub home_cache_share: f64,
    /// Share of an endpoint's limit open to those that must leave room for others.
    pub usable_limit_share: f64,
    /// What computing a prompt token counts besides the wait for it, as it slows other requests.
    pub prefill_weight: f64,
    /// Cost of one more request beside those running at an endpoint.
    pub request_cost: Duration,
    /// Cost of paying twice the lowest price, where the release weighs cost first.
    pub cost_objective_price_cost: Duration,
    /// The same, where it weighs latency first.
    pub latency_objective_price_cost: Duration,
    /// Cost of a data centre whose distance was not told.
    pub unknown_distance_cost: Duration,
    /// Cost of an endpoint of which nothing fresh is known while the list is stale.
    pub unconfirmed_cost: Duration,
    /// Age up to which a load report is used.
    pub max_load_age: Duration,
    /// Age up to which the list is trusted by itself.
    pub max_list_age: Duration,
    /// How long a watcher's word that an endpoint can't be reached counts.
    pub unreachable_duration: Duration,
    /// Report age difference from which a lower sequence means a restarted endpoint.
    pub restart_gap: Duration,
    /// Ejection after own failures.
    pub health: health::Settings,
    /// Concurrency limit of each endpoint.
    pub limit: limit::Settings,
    /// Cache knowledge.
    pub cache: cache::Settings,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            load_bound: 1.25,
            load_slack: 6.0,
            subset_size: 64,
            shared_prefix_endpoints: 6,
            shared_prefix_rank_cost: Duration::from_micros(1500),
            prefers_home: true,
            home_cache_share: 0.8,
            usable_limit_share: 0.75,
            prefill_weight: 4.0,
            request_cost: Duration::from_micros(1500),
            cost_objective_price_cost: Duration::from_millis(20),
            latency_objective_price_cost: Duration::ZERO,
            unknown_distance_cost: Duration::from_millis(10),
            unconfirmed_cost: Duration::from_millis(500),
            max_load_age: Duration::from_secs(5),
            max_list_age: Duration::from_secs(30),
            unreachable_duration: Duration::from_secs(5),
            restart_gap: Duration::from_secs(10),
            health: health::Settings::default(),
            limit: limit::Settings::default(),
            cache: cache::Settings::default(),
        }
    }
}

impl Settings {
    /// Sets the load bound (a multiple of the mean, at least 1) and the requests on top of it.
    pub fn load_bound(mut self, bound: f64, slack: f64) -> Settings {
        self.load_bound = bound.max(1.0);
        self.load_slack = slack.max(0.0);
        self
    }

    /// Sets the size of the subset of endpoints whose load is followed.
    pub fn subset_size(mut self, endpoints: usize) -> Settings {
        self.subset_size = endpoints.max(1);
        self
    }

    /// Sets whether and how far a dialogue's home is trusted where no cache is known.
    pub fn home_preference(mut self, prefers: bool, cache_share: f64) -> Settings {
        self.prefers_home = prefers;
        self.home_cache_share = cache_share.clamp(0.0, 1.0);
        self
    }

    /// Sets the cost of one more request beside those running at an endpoint.
    pub fn request_cost(mut self, cost: Duration) -> Settings {
        self.request_cost = cost;
        self
    }

    /// Sets what paying twice the lowest price counts, as waiting time, where cost is weighed
    /// first and where latency is.
    pub fn price_cost(mut self, cost_first: Duration, latency_first: Duration) -> Settings {
        self.cost_objective_price_cost = cost_first;
        self.latency_objective_price_cost = latency_first;
        self
    }

    /// Sets the target of the time between tokens.
    pub fn interval_target(mut self, target: Duration) -> Settings {
        self.limit.interval_target = target;
        self
    }

    /// Sets up to which age load reports and the list are trusted.
    pub fn max_ages(mut self, load: Duration, list: Duration) -> Settings {
        self.max_load_age = load;
        self.max_list_age = list;
        self
    }
}

/// What is asked of the router for one request.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Service called.
    pub service: &'a str,
    /// Hashes of the prompt's whole blocks; empty for plain services.
    pub blocks: &'a [id::BlockHash],
    /// Size of the prompt.
    pub prompt_tokens: u32,
    /// [`Prompt::dialogue`](crate::prompt::Prompt::dialogue); 0 for none.
    pub dialogue: u64,
    /// [`Prompt::settled_tokens`](crate::prompt::Prompt::settled_tokens).
    pub settled_tokens: u32,
    /// Whether the request may try an endpoint whose ejection has just ended.
    pub may_probe: bool,
    /// Whether the last part of each endpoint's limit is left to others.
    pub leaves_headroom: bool,
    /// Endpoints that must not be chosen.
    pub exclude: &'a [id::EndpointId],
}

/// Rule that decided a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Rule {
    /// The endpoint is known to hold the longest prefix of the prompt.
    #[display("prefix")]
    Prefix,
    /// The endpoint is the dialogue's home.
    #[display("home")]
    Home,
    /// The home or the longest prefix is over its bound; this one was cheapest of the others.
    #[display("spill")]
    Spill,
    /// The endpoint was cheapest.
    #[display("cheapest")]
    Cheapest,
    /// The endpoint's ejection is over and a request has to try it.
    #[display("probe")]
    Probe,
    /// Watchers can't reach the endpoint, but there is no other.
    #[display("last resort")]
    LastResort,
}

impl Rule {
    /// All rules, for metrics.
    pub const ALL: [Rule; 6] =
        [Rule::Prefix, Rule::Home, Rule::Spill, Rule::Cheapest, Rule::Probe, Rule::LastResort];
}

/// Why a request went where it went, for the time line.
#[derive(Debug, Clone, Copy, PartialEq, Display)]
#[display(
    "{rule}: {matched_tokens} of {prompt_tokens} prompt tokens known there, load {load:.1} \
     (bound {bound:.1}, limit {limit:.0}), cost {cost_us} us, {candidates} candidates{}",
    if *is_stale { ", on stale loads" } else { "" }
)]
pub struct Reason {
    /// Rule that decided.
    pub rule: Rule,
    /// Prompt tokens known to be cached there.
    pub matched_tokens: u32,
    /// Size of the prompt.
    pub prompt_tokens: u32,
    /// Requests there, corrected by what was sent since the last report.
    pub load: f64,
    /// Bound that load was held against.
    pub bound: f64,
    /// Learnt concurrency limit there.
    pub limit: f64,
    /// Cost by which it was chosen: expected wait and penalties.
    pub cost_us: u64,
    /// Endpoints that were compared.
    pub candidates: usize,
    /// Whether its load rests on no fresh report.
    pub is_stale: bool,
}

/// An endpoint for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Endpoint.
    pub endpoint: id::EndpointId,
    /// Why it was chosen.
    pub reason: Reason,
}

/// Why no endpoint takes a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum NoEndpointReason {
    /// None is known that is live.
    #[display("no live endpoint")]
    NoneLive,
    /// All live ones are excluded for this request.
    #[display("every live endpoint was tried")]
    AllExcluded,
    /// All live ones are ejected.
    #[display("every live endpoint is ejected")]
    AllEjected,
    /// All live ones run as many requests as they may.
    #[display("every live endpoint is full")]
    AllFull,
}

/// No endpoint takes a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("{reason}")]
pub struct NoEndpoint {
    /// Why.
    pub reason: NoEndpointReason,
    /// When it is worth trying again.
    pub retry_after: Duration,
}

/// How a request failed at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Failure {
    /// No connection.
    #[display("no connection")]
    ConnectFailed,
    /// The connection broke before the answer was whole.
    #[display("connection lost")]
    ConnectionLost,
    /// No answer in time.
    #[display("timeout")]
    Timeout,
    /// An answer that makes no sense, or an internal error.
    #[display("broken answer")]
    InvalidAnswer,
    /// Refused as full.
    #[display("busy")]
    Busy {
        /// When it asked to be tried again.
        retry_after: Duration,
    },
    /// Refused as leaving.
    #[display("leaving")]
    Leaving,
}

/// A whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answered {
    /// Tokens of the answer.
    pub answer_tokens: u32,
}

/// Change of an endpoint's state that is worth a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Change {
    /// Ejected after own failures.
    #[display("ejected")]
    Ejected,
    /// Taken back after an ejection.
    #[display("taken back")]
    Reinstated,
}

/// An attempt in flight.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) endpoint: id::EndpointId,
    pub(crate) sent_at: Duration,
    /// Prefill work before and of it when it was sent, in tokens.
    pub(crate) tokens_ahead: f64,
    pub(crate) blocks: Vec<id::BlockHash>,
    /// Time and tokens of the last progress mark.
    pub(crate) mark: Option<(Duration, u32)>,
}

/// Chooses endpoints.
#[derive(Debug, Clone)]
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) data_centre: String,
    pub(crate) view: view::View,
    pub(crate) prefix_index: cache::PrefixIndex,
    pub(crate) attempts: BTreeMap<id::AttemptId, Attempt>,
    pub(crate) rates: BTreeMap<String, rates::Rates>,
    pub(crate) distances: BTreeMap<String, Duration>,
    pub(crate) interval_targets: BTreeMap<String, Duration>,
    pub(crate) price_cost: Duration,
    pub(crate) node_count: f64,
}

impl Router {
    /// A router of a node that knows no endpoint yet.
    pub fn new(node: id::NodeId, data_centre: &str, settings: Settings) -> Router {
        Router {
            view: view::View::new(node, settings.subset_size),
            prefix_index: cache::PrefixIndex::new(settings.cache),
            price_cost: settings.cost_objective_price_cost,
            settings,
            data_centre: data_centre.to_owned(),
            attempts: BTreeMap::new(),
            rates: BTreeMap::new(),
            distances: BTreeMap::new(),
            interval_targets: BTreeMap::new(),
            node_count: 1.0,
        }
    }

    /// A release came into force: its weighing of price and its token interval targets.
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

    /// Sets how many nodes send to the same endpoints.
    pub fn set_node_count(&mut self, node_count: usize) {
        self.node_count = node_count.max(1) as f64;
    }

    /// Sets the round trip to a data centre.
    pub fn set_distance(&mut self, data_centre: &str, round_trip: Duration) {
        self.distances.insert(data_centre.to_owned(), round_trip);
    }

    /// Takes the platform's list, taken at `taken_at` by the platform's clock.
    ///
    /// Returns whether it is younger than the list before; else it is not used.
    pub fn on_list(
        &mut self,
        now: Duration,
        taken_at: Duration,
        listings: Vec<endpoint::Listing>,
    ) -> bool {
        self.view.on_list(now, taken_at, listings, &self.settings.limit)
    }

    /// Takes a reclaim notice; returns whether it was news.
    pub fn on_notice(&mut self, now: Duration, endpoint: id::EndpointId) -> bool {
        self.view.on_notice(now, endpoint)
    }

    /// Takes a load report that this node fetched; returns whether it was newer.
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

    /// Takes a load report out of a peer's digest; returns whether it was newer.
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

    /// Takes a cache event.
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

    /// Chooses an endpoint; tells the router nothing yet: see [`Router::on_sent`].
    pub fn choose(&self, now: Duration, query: &Query<'_>) -> Result<Choice, NoEndpoint> {
        choice::choose(self, now, query)
    }

    /// A request is being sent.
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
        known.sent.push(endpoint::InFlight {
            attempt,
            at: now,
            uncached_tokens,
            has_first_token: query.blocks.is_empty(),
        });
        let sent = Attempt {
            endpoint,
            sent_at: now,
            tokens_ahead: load.prefill_tokens + f64::from(uncached_tokens),
            blocks: query.blocks.to_vec(),
            mark: None,
        };
        let before = self.attempts.insert(attempt, sent);
        assert!(before.is_none(), "attempt {attempt} is sent once");
        self.prefix_index.record_sent(now, endpoint, query.dialogue, query.blocks);
    }

    /// The first token of an attempt's answer came.
    pub fn on_first_token(&mut self, now: Duration, attempt: id::AttemptId) {
        let Some(sent) = self.attempts.get_mut(&attempt) else {
            return;
        };
        sent.mark = Some((now, 1));
        let (wait, tokens) = (now.saturating_sub(sent.sent_at), sent.tokens_ahead);
        let Some(endpoint) = self.view.endpoints.get_mut(&sent.endpoint) else {
            return;
        };
        endpoint.last_contact_at = Some(now);
        for sent in endpoint.sent.iter_mut().filter(|sent| sent.attempt == attempt) {
            sent.has_first_token = true;
        }
        let service = endpoint.listing.service.clone();
        self.rates.entry(service).or_default().on_first_token(wait, tokens);
    }

    /// An attempt's answer has come as far as `tokens`.
    pub fn on_progress(&mut self, now: Duration, attempt: id::AttemptId, tokens: u32) {
        let Some(sent) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let Some((marked_at, marked_tokens)) = sent.mark else {
            return;
        };
        if tokens < marked_tokens + MIN_MARK_TOKENS {
            return;
        }
        sent.mark = Some((now, tokens));
        let interval = now.saturating_sub(marked_at) / (tokens - marked_tokens);
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

    /// An attempt ended with a whole answer.
    pub fn on_done(
        &mut self,
        now: Duration,
        attempt: id::AttemptId,
        answered: &Answered,
    ) -> Option<Change> {
        let sent = self.attempts.remove(&attempt)?;
        let endpoint = self.view.endpoints.get_mut(&sent.endpoint)?;
        endpoint.end(now, attempt);
        endpoint.last_contact_at = Some(now);
        let took = now.saturating_sub(sent.sent_at);
        let service = endpoint.listing.service.clone();
        let was_ejected = endpoint.health.on_success();
        self.rates.entry(service).or_default().on_answered(took, answered.answer_tokens);
        was_ejected.then_some(Change::Reinstated)
    }

    /// An attempt was cancelled, which says nothing of its endpoint.
    pub fn on_cancelled(&mut self, now: Duration, attempt: id::AttemptId) {
        let Some(sent) = self.attempts.remove(&attempt) else {
            return;
        };
        if let Some(endpoint) = self.view.endpoints.get_mut(&sent.endpoint) {
            endpoint.end(now, attempt);
            endpoint.health.on_unknown();
        }
    }

    /// An attempt failed.
    pub fn on_failure(
        &mut self,
        now: Duration,
        attempt: id::AttemptId,
        failure: Failure,
    ) -> Option<Change> {
        let sent = self.attempts.remove(&attempt)?;
        self.prefix_index.record_removed(sent.endpoint, &sent.blocks);
        let endpoint = self.view.endpoints.get_mut(&sent.endpoint)?;
        endpoint.end(now, attempt);
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

    /// Load of an endpoint as the router goes by it.
    pub fn load(&self, now: Duration, endpoint: id::EndpointId) -> endpoint::Load {
        let known = self.view.endpoints.get(&endpoint);
        let trusted = self.settings.max_load_age;
        known.map_or_else(endpoint::Load::default, |known| known.load(now, trusted))
    }

    /// An endpoint as the router sees it.
    pub fn endpoint(&self, endpoint: id::EndpointId) -> Option<&endpoint::Endpoint> {
        self.view.endpoints.get(&endpoint)
    }

    /// All endpoints known, in order of their ids.
    pub fn endpoints(&self) -> impl Iterator<Item = &endpoint::Endpoint> {
        self.view.endpoints.values()
    }

    /// Services that some endpoint was known of, in order of their names.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.view.services.keys().map(String::as_str)
    }

    /// Endpoints of a service whose load this node should follow, in order of their ids.
    pub fn subset(&self, service: &str) -> &[id::EndpointId] {
        self.view.services.get(service).map_or(&[], |members| &members.subset)
    }

    /// Learnt speeds of a service's endpoints.
    pub fn rates(&self, service: &str) -> rates::Rates {
        self.rates.get(service).copied().unwrap_or_default()
    }

    /// Time since a list was last seen; none before the first.
    pub fn list_age(&self, now: Duration) -> Option<Duration> {
        self.view.list_age(now)
    }

    /// What a service's endpoints can take now.
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

/// What the endpoints of a service that this node follows can take.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Capacity {
    /// Live endpoints.
    pub endpoints: usize,
    /// Requests that they may run.
    pub limit: f64,
    /// Requests that they run, of all nodes.
    pub load: f64,
    /// Requests that they may take on top.
    pub free: f64,
}
