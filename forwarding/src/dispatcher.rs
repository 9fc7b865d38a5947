//! Decisions on one gateway's requests, from admission to the last attempt.

mod targets;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;

use crate::answer_memory::AnswerMemory;
use crate::arrivals::{ArrivalMeter, ArrivalRates};
use crate::endpoints::{Endpoint, EndpointId, EndpointTable};
use crate::peers::Peers;
use crate::prompt_suspects::{PromptSuspects, SharedParts};
use crate::quota::{self, Accounts};
use crate::refusal::RefusalReason;
use crate::release::{Release, RouteKind};
use crate::request::{Prompt, Request};
use crate::residency::Residency;
use crate::retry_budget::RetryBudget;
use crate::rollout::Rollouts;
use crate::rollout::evidence::Ending;
use crate::settings::Settings;
use crate::store_role::{StoreAnswerTimes, StoreRole};
use crate::suspects::{self, Fingerprint, Suspects};
use crate::urgency::{Urgencies, Urgency};
use crate::usage::{self, Usage};

pub use targets::Replacement;

/// Time for which an endpoint is avoided after it refused a request for lack of capacity.
const REFUSAL_PAUSE: Duration = Duration::from_millis(150);

/// Time for which connections to an endpoint are not reused after it sent stray bytes.
const NO_REUSE_PAUSE: Duration = Duration::from_secs(10);

/// Maximum number of endpoints that one gateway listens to. A gateway that hears no other one would
/// listen to all endpoints of its data centre.
const MAX_LISTENED_ENDPOINTS: usize = 8;

/// Why an attempt at an endpoint failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Outcome {
    /// No connection was established; nothing was sent.
    #[display("no connection")]
    Unreachable,
    /// The endpoint reported that it did not run the request for lack of capacity.
    #[display("refused")]
    Refused,
    /// Another endpoint listens at the address.
    #[display("misdirected")]
    Misdirected,
    /// The connection broke or the answer was invalid; the request may have run.
    #[display("broken")]
    Broken,
    /// No answer came in time; the request may have run.
    #[display("no answer in time")]
    TimedOut,
    /// The endpoint answered with a server error.
    #[display("failed")]
    Failed,
}

impl Outcome {
    /// Whether the request may have run.
    pub fn may_have_run(self) -> bool {
        matches!(self, Outcome::Broken | Outcome::TimedOut | Outcome::Failed)
    }
}

/// A request that passed admission, with the state of its attempts.
#[derive(Debug, Clone)]
pub struct AdmittedRequest {
    /// Unique id that the caller gave the request.
    pub attempt_id: String,
    /// Name of its route.
    pub route: String,
    /// How it may be repeated.
    pub kind: RouteKind,
    /// Name of its service.
    pub service: String,
    /// Organisation of the caller; `None` if the route requires no key.
    pub organisation: Option<String>,
    /// Version of the release that it was admitted under.
    pub release_version: u64,
    /// Time of arrival.
    pub arrived_at: Duration,
    /// Earlier of the caller's deadline and the route's timeout.
    pub deadline: Duration,
    /// Expected time to the answer or to a stream's first event.
    pub latency_target: Duration,
    /// Expected maximum pause between two events of a stream.
    pub gap_target: Duration,
    /// Maximum number of endpoints that may run it.
    pub max_attempts: u32,
    /// Prompt of a model request; `None` for a plain request.
    pub prompt: Option<Prompt>,
    /// Urgency among the requests that wait at an endpoint; `None` if they are not ranked.
    pub urgency: Option<Urgency>,
    /// Hash by which repetitions are recognised.
    pub fingerprint: Fingerprint,
    /// Parts of its prompt that other requests may share.
    pub shared_parts: SharedParts,
    /// Endpoints that it was sent to, in order.
    pub tried: Vec<EndpointId>,
    /// Endpoint whose attempt was replaced for its silence.
    silent: Option<EndpointId>,
    /// Number of endpoints that may have run it.
    pub possible_runs: u32,
    quota_units: f64,
    is_usage_counted: bool,
    /// Time of sending to an endpoint without queued prompts, until the first event.
    sent_to_idle_at: Option<Duration>,
    /// Time of sending of the attempt in progress.
    sent_at: Duration,
    /// Time of the first event of the attempt in progress.
    first_event_at: Option<Duration>,
}

impl AdmittedRequest {
    /// Time until the deadline.
    pub fn time_left(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Whether it may be sent to another endpoint after its failed attempts.
    pub fn may_repeat(&self) -> bool {
        self.possible_runs == 0
            || (self.kind.is_repeatable() && self.possible_runs < self.max_attempts)
    }

    /// Makes the attempt in progress the last one.
    pub fn forbid_further_attempts(&mut self) {
        self.max_attempts = self.possible_runs + 1;
    }

    /// Whether it may be sent to another endpoint after the attempt in progress, which may have run.
    pub fn may_run_again(&self) -> bool {
        self.kind.is_repeatable() && self.possible_runs + 1 < self.max_attempts
    }

    fn waiting_tokens(&self) -> u64 {
        self.prompt.as_ref().map_or(0, |prompt| prompt.unshared_tokens().max(1))
    }
}

/// Endpoint selected for one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Endpoint id.
    pub id: EndpointId,
    /// Listening address.
    pub address: SocketAddr,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub process_start_ms: u64,
    /// Whether its idle connections may be reused.
    pub may_reuse_connections: bool,
}

/// State that a gateway's decisions are based on.
#[derive(Debug)]
pub struct Dispatcher {
    /// Settings of the gateway.
    pub settings: Settings,
    /// Known endpoints.
    pub endpoints: EndpointTable,
    /// Other gateways.
    pub peers: Peers,
    /// Quota accounts of the organisations.
    pub accounts: Accounts,
    /// Usage counts for the reports to the platform.
    pub usage: Usage,
    /// Requests that may crash endpoints.
    pub suspects: Suspects,
    /// Parts of prompts that may crash endpoints.
    pub prompt_suspects: PromptSuspects,
    /// Whether this gateway reads the store.
    pub store_role: StoreRole,
    /// Times of the store's last answers to this gateway's reads.
    pub store_answer_times: StoreAnswerTimes,
    /// Work rates of services with model engines.
    pub arrival_meter: ArrivalMeter,
    /// Memory of incomplete answers.
    pub answer_memory: AnswerMemory,
    /// Parts of prompts that the endpoints hold.
    pub residency: Residency,
    /// Roll-outs of versions of the services.
    pub rollouts: Rollouts,
    /// Ranks of the requests to each service.
    pub urgencies: Urgencies,
    release: Option<Arc<Release>>,
    retry_budget: RetryBudget,
}

impl Dispatcher {
    /// Creates a dispatcher without release, endpoints or peers.
    pub fn new(settings: Settings) -> Dispatcher {
        let accounts = Accounts::new(settings.bounds.quota);
        let answer_memory = AnswerMemory::new(settings.memory_bytes);
        let hold_time = settings.bounds.freshness();
        let rollouts = Rollouts::new(&settings.name, settings.bounds.rollout, hold_time);
        Dispatcher {
            settings,
            endpoints: EndpointTable::default(),
            peers: Peers::default(),
            accounts,
            usage: Usage::default(),
            suspects: Suspects::default(),
            prompt_suspects: PromptSuspects::default(),
            store_role: StoreRole::default(),
            store_answer_times: StoreAnswerTimes::default(),
            arrival_meter: ArrivalMeter::default(),
            answer_memory,
            residency: Residency::default(),
            rollouts,
            urgencies: Urgencies::default(),
            release: None,
            retry_budget: RetryBudget::default(),
        }
    }

    /// Release in force.
    pub fn release(&self) -> Option<&Arc<Release>> {
        self.release.as_ref()
    }

    /// Version of the release in force; 0 if there is none.
    pub fn release_version(&self) -> u64 {
        self.release.as_ref().map_or(0, |release| release.version)
    }

    /// Takes a release; returns whether it is newer than the one in force and replaced it.
    pub fn on_release(&mut self, release: Release) -> bool {
        let is_newer = self.release.as_ref().is_none_or(|known| known.version < release.version);
        if is_newer {
            self.urgencies.on_release(&release);
            self.release = Some(Arc::new(release));
        }
        is_newer
    }

    /// Whether callers can be served: a release is in force and one of its services has an
    /// endpoint.
    pub fn is_ready(&self) -> bool {
        let Some(release) = &self.release else { return false };
        release.services.keys().any(|service| self.endpoints.of_service(service).next().is_some())
    }

    /// Decides whether this gateway reads the store from now on.
    pub fn update_store_role(&mut self, now: Duration) -> StoreRole {
        let freshness = self.settings.bounds.freshness();
        let rank = self.peers.reader_rank(now, freshness, &self.settings.name);
        let readers = self.peers.fresh_readers(now, freshness);
        let agrees_with_reader = self.peers.has_reader_with_hash(now, self.endpoints.hash());
        // Only the store shows renewed entries; reports contain endpoints that joined or left.
        self.store_role = match self.endpoints.is_waiting_for_renewals() {
            true => StoreRole::Reader,
            false => self.store_role.next(now, rank, readers, agrees_with_reader),
        };
        self.store_role
    }

    /// Admits a request, or returns why it is refused.
    ///
    /// A refused request has not run and costs no quota.
    pub fn admit(
        &mut self,
        now: Duration,
        request: &Request,
        body: &[u8],
    ) -> Result<AdmittedRequest, RefusalReason> {
        let release = self.release.clone().ok_or(RefusalReason::NoRelease)?;
        let route = release.route(&request.host, &request.path).ok_or(RefusalReason::NoRoute)?;
        let organisation = match &request.key {
            _ if route.is_public || release.organisations.is_empty() => None,
            Some(key) => Some(release.organisation_of(key).ok_or(RefusalReason::UnknownKey)?),
            None => return Err(RefusalReason::UnknownKey),
        };
        let service = route.service_for(&request.attempt_id).ok_or(RefusalReason::NoEndpoint)?;
        let organisation_name = organisation.map_or("", |organisation| organisation.name.as_str());
        let fingerprint = suspects::fingerprint(service, &request.path, organisation_name, body);
        let prompt = request.prompt.as_ref();
        let shared_parts =
            prompt.map(|prompt| SharedParts::new(service, prompt)).unwrap_or_default();
        if let Err(reason) = self.check_suspects(now, fingerprint, &shared_parts) {
            self.on_suspect_refused(now, fingerprint, &shared_parts);
            return Err(reason);
        }
        let quota = organisation.and_then(|organisation| organisation.quota);
        let quota_units =
            quota.map_or(0.0, |quota| quota::request_units(&quota, request.prompt.as_ref()));
        if let Some(organisation) = organisation {
            let gateways = self.peers.gateway_count(now);
            let cost = quota::Cost { units: quota_units, is_plain: request.prompt.is_none() };
            self.accounts
                .spend(now, organisation, gateways, &cost)
                .map_err(RefusalReason::OverQuota)?;
        }
        self.retry_budget.on_request(now, &self.settings.bounds, service);
        if let Some(prompt) = &request.prompt {
            self.arrival_meter.on_prompt(now, service, prompt.unshared_tokens());
            self.urgencies.on_prompt(service, route, prompt.input_tokens);
        }
        let time_left = request.time_left.map_or(route.timeout, |left| left.min(route.timeout));
        Ok(AdmittedRequest {
            attempt_id: request.attempt_id.clone(),
            route: route.name.clone(),
            kind: route.kind,
            service: service.clone(),
            organisation: organisation.map(|organisation| organisation.name.clone()),
            release_version: release.version,
            arrived_at: now,
            deadline: now.saturating_add(time_left),
            latency_target: route.latency_target,
            gap_target: route.gap_target,
            max_attempts: route.max_attempts.max(1),
            prompt: request.prompt.clone(),
            urgency: self.urgencies.of_request(service, route, organisation),
            fingerprint,
            shared_parts,
            tried: Vec::new(),
            silent: None,
            possible_runs: 0,
            quota_units,
            is_usage_counted: false,
            sent_to_idle_at: None,
            sent_at: now,
            first_event_at: None,
        })
    }

    /// Fails if a request is known to crash endpoints, by itself or by a part of its prompt.
    fn check_suspects(
        &self,
        now: Duration,
        request: Fingerprint,
        parts: &SharedParts,
    ) -> Result<(), RefusalReason> {
        if self.suspects.must_refuse(now, request) {
            return Err(RefusalReason::Suspect);
        }
        if self.prompt_suspects.must_refuse(now, parts) {
            return Err(RefusalReason::SuspectPart);
        }
        Ok(())
    }

    /// Renews the suspicion against a request, and against parts of its prompt.
    fn on_suspect_refused(&mut self, now: Duration, request: Fingerprint, parts: &SharedParts) {
        if self.suspects.must_refuse(now, request) {
            self.suspects.on_refused(now, request);
        }
        self.prompt_suspects.on_refused(now, parts);
    }

    /// Records the first byte of an answer or the first event of a stream. `unix_time` is the time
    /// of day.
    pub fn on_first_event(
        &mut self,
        now: Duration,
        unix_time: Duration,
        admitted: &mut AdmittedRequest,
        target: &Target,
    ) {
        self.endpoints.on_first_event(&target.id, admitted.waiting_tokens());
        admitted.first_event_at = Some(now);
        if admitted.is_usage_counted {
            return;
        }
        admitted.is_usage_counted = true;
        if let Some(prompt) = &admitted.prompt {
            if let Some(sent_at) = admitted.sent_to_idle_at {
                let (tokens, latency) = (prompt.unshared_tokens(), now.saturating_sub(sent_at));
                self.arrival_meter.on_prompt_processed(now, &admitted.service, tokens, latency);
            }
            let is_late = now.saturating_sub(admitted.arrived_at) > admitted.latency_target;
            self.arrival_meter.on_first_event(now, &admitted.service, is_late);
        }
        if let Some(organisation) = &admitted.organisation {
            let window_length = self.settings.bounds.usage_window;
            let window =
                usage::window_at(self.peers.median_unix_time(now, unix_time), window_length);
            self.usage.on_run(window, organisation);
        }
    }

    /// Records a complete answer; returns whether it ended an ejection.
    pub fn on_answered(
        &mut self,
        now: Duration,
        admitted: &AdmittedRequest,
        target: &Target,
    ) -> bool {
        self.record_generation(now, admitted);
        self.observe(now, admitted, target, Ending::Answered);
        self.endpoints.on_ended(&target.id);
        self.suspects.on_finished(now, admitted.fingerprint);
        if admitted.prompt.is_some() {
            self.prompt_suspects.on_finished(now, &admitted.shared_parts);
        }
        self.endpoints.on_success(&target.id)
    }

    /// Records a failed attempt; returns whether it ejected the endpoint.
    pub fn on_failed(
        &mut self,
        now: Duration,
        admitted: &mut AdmittedRequest,
        target: &Target,
        outcome: Outcome,
        had_first_event: bool,
    ) -> bool {
        if !had_first_event {
            self.endpoints.on_first_event(&target.id, admitted.waiting_tokens());
        }
        self.record_generation(now, admitted);
        match outcome {
            Outcome::Broken => self.observe(now, admitted, target, Ending::Broken),
            Outcome::Failed | Outcome::TimedOut => {
                self.observe(now, admitted, target, Ending::Failed);
            }
            Outcome::Unreachable | Outcome::Refused | Outcome::Misdirected => {}
        }
        self.endpoints.on_ended(&target.id);
        if outcome.may_have_run() {
            admitted.possible_runs += 1;
        }
        match outcome {
            Outcome::Refused => {
                self.endpoints.on_refused(&target.id, now + REFUSAL_PAUSE);
                false
            }
            Outcome::Broken => {
                let endpoint = suspects::endpoint_hash(&target.id, target.process_start_ms);
                self.suspects.on_connection_break(now, admitted.fingerprint, endpoint);
                let parts = &admitted.shared_parts;
                self.prompt_suspects.on_connection_break(
                    parts,
                    endpoint,
                    admitted.fingerprint,
                    now,
                );
                self.endpoints.on_failure(now, &target.id)
            }
            Outcome::Failed => {
                self.endpoints.on_error_answer(&target.id);
                false
            }
            Outcome::Misdirected | Outcome::Unreachable | Outcome::TimedOut => {
                self.endpoints.on_failure(now, &target.id)
            }
        }
    }

    /// Records that the caller disconnected during an attempt.
    pub fn on_abandoned(
        &mut self,
        now: Duration,
        admitted: &AdmittedRequest,
        target: &Target,
        had_first_event: bool,
    ) {
        if !had_first_event {
            self.endpoints.on_first_event(&target.id, admitted.waiting_tokens());
        }
        self.record_generation(now, admitted);
        self.observe(now, admitted, target, Ending::Abandoned);
        self.endpoints.on_ended(&target.id);
        self.endpoints.on_inconclusive(&target.id);
    }

    fn record_generation(&mut self, now: Duration, admitted: &AdmittedRequest) {
        if let (Some(_), Some(started_at)) = (&admitted.prompt, admitted.first_event_at) {
            let elapsed = now.saturating_sub(started_at);
            self.arrival_meter.on_generated(now, &admitted.service, elapsed);
        }
    }

    /// Refunds the quota of a request that ended without having run.
    pub fn on_not_run(&mut self, admitted: &AdmittedRequest) {
        if let Some(organisation) = &admitted.organisation {
            self.accounts.refund(organisation, admitted.quota_units);
        }
    }

    /// Records bytes from an endpoint that belong to no answer.
    pub fn on_stray_bytes(&mut self, now: Duration, endpoint: &str) {
        self.endpoints.on_stray_bytes(endpoint, now + NO_REUSE_PAUSE);
    }

    /// Work rates of a service at all gateways together.
    pub fn arrivals(&self, now: Duration, service: &str) -> ArrivalRates {
        self.arrival_meter.rates(now, service).plus(self.peers.arrivals(now, service))
    }

    /// Endpoints whose held parts this gateway asks for: those of its data centre for which it is the
    /// listener, up to a maximum.
    pub fn listened_endpoints(&self, now: Duration) -> Vec<&Endpoint> {
        let Settings { name, data_centre, .. } = &self.settings;
        let services = self.release.iter().flat_map(|release| &release.services);
        let services = services.filter(|(_, service)| service.prompt_memory.is_some());
        let endpoints = services.flat_map(|(service, _)| self.endpoints.of_service(service));
        let endpoints = endpoints.filter(|endpoint| {
            endpoint.entry.data_centre == *data_centre
                && self.peers.is_listener(now, name, data_centre, &endpoint.entry.id)
        });
        endpoints.take(MAX_LISTENED_ENDPOINTS).collect()
    }

    /// Applies the latest reports of the other gateways.
    pub fn on_peer_reports(&mut self, now: Duration) {
        self.peers.tick(now);
        let loads = self.peers.loads(now);
        self.endpoints.set_peer_loads(&loads);
        self.rollouts.observe_versions(now, &self.endpoints);
        let demands = self.peers.demands(now);
        let release = self.release.clone();
        for organisation in release.iter().flat_map(|release| &release.organisations) {
            if let Some(demand) = demands.get(&organisation.name) {
                self.accounts.on_reports(now, organisation, demand);
            }
        }
        self.suspects.set_peer_refusals(self.peers.request_refusals());
        self.prompt_suspects.set_peer_refusals(self.peers.part_refusals());
        self.suspects.set_peer_histories(now, self.peers.suspects());
        self.prompt_suspects.set_peer_histories(now, self.peers.prompt_suspects());
    }
}
