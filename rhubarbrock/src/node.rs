//! State of one node, which combines the decision modules.
//!
//! [`Node`] takes events and the time and returns actions. The modules `node_*`
//! implement its parts: model requests, plain calls, the platform, other nodes
//! and its status.

mod config;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rhubarbrock_schema::release as schema;

use crate::{
    action, answer_cache, claim, counter, custody, dispatch, drain, event, fairness, id,
    membership, node_custody, node_model, node_plain, node_platform, node_quarantine, quarantine,
    release, retry, snapshot, timeline,
};

pub use config::Config;

/// How long a node may serve with its release after it learned of a higher version.
pub const MAX_RELEASE_LAG: Duration = Duration::from_secs(4);

/// Time between runs of the work that need not be done on every tick.
const SLOW_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Request or call that a ticket of the dispatcher belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Work {
    Model(id::RequestId),
    Plain(event::CallId),
}

/// State of one node.
#[derive(Debug)]
pub struct Node {
    pub(crate) config: Config,
    pub(crate) log: release::ReleaseLog,
    pub(crate) snapshots: snapshot::Writer,
    /// Organisation by the SHA-256 of each of its keys.
    pub(crate) organisations: BTreeMap<event::Sha256, String>,
    pub(crate) services: BTreeMap<String, schema::Service>,
    pub(crate) policy: schema::Policy,
    pub(crate) in_force_since: Duration,
    pub(crate) dispatcher: dispatch::Dispatcher,
    pub(crate) claims: claim::Claims,
    pub(crate) membership: membership::Membership,
    pub(crate) custody: custody::Custody,
    pub(crate) drain: drain::Drain,
    pub(crate) retries: retry::Retries,
    pub(crate) quarantine: quarantine::Quarantine,
    /// Time of the last crash of each endpoint.
    pub(crate) last_crashes: BTreeMap<id::EndpointId, Duration>,
    pub(crate) pending_finds: Vec<node_custody::PendingFind>,
    pub(crate) platform: node_platform::PlatformState,
    pub(crate) model_requests: BTreeMap<id::RequestId, node_model::ModelRequest>,
    pub(crate) plain_requests: BTreeMap<event::CallId, node_plain::PlainRequest>,
    pub(crate) answer_cache: answer_cache::AnswerCache,
    pub(crate) work: BTreeMap<fairness::Ticket, Work>,
    pub(crate) attempts: BTreeMap<id::AttemptId, fairness::Ticket>,
    /// Requests to retry, with the times of their retries.
    pub(crate) delayed: BTreeSet<(Duration, fairness::Ticket)>,
    pub(crate) next_ticket: fairness::Ticket,
    pub(crate) timeline: timeline::Timeline,
    pub(crate) counters: counter::Counters,
    pub(crate) actions: Vec<action::Action>,
    pub(crate) now: Duration,
    next_slow_tick: Duration,
    pub(crate) unix_time: Duration,
    pub(crate) is_ready: bool,
}

impl Node {
    /// Creates a node without a release, peers or endpoints.
    pub fn new(config: Config) -> Node {
        let dispatcher = dispatch::Dispatcher::new(
            config.node,
            &config.data_centre,
            dispatch::Settings::default(),
        );
        let claims = claim::Claims::new(claim::Config::new(), config.node, config.random_seed);
        let membership = membership::Membership::new(
            membership::Config::default().probe_interval(config.probe_interval),
            config::own_record(&config),
            config.random_seed,
        );
        Node {
            log: release::ReleaseLog::new(),
            snapshots: snapshot::Writer::default(),
            organisations: BTreeMap::new(),
            services: BTreeMap::new(),
            policy: schema::Policy::default(),
            in_force_since: Duration::ZERO,
            dispatcher,
            claims,
            membership,
            custody: custody::Custody::new(custody::Config::default(), config::own_place(&config)),
            drain: drain::Drain::new(config::drain_config(&config)),
            retries: retry::Retries::new(retry::Config::new(), config.random_seed),
            quarantine: quarantine::Quarantine::new(node_quarantine::quarantine_config()),
            last_crashes: BTreeMap::new(),
            pending_finds: Vec::new(),
            platform: node_platform::PlatformState::default(),
            model_requests: BTreeMap::new(),
            plain_requests: BTreeMap::new(),
            answer_cache: answer_cache::AnswerCache::default(),
            work: BTreeMap::new(),
            attempts: BTreeMap::new(),
            delayed: BTreeSet::new(),
            next_ticket: 1,
            timeline: timeline::Timeline::new(&config.name),
            counters: counter::Counters::default(),
            actions: Vec::new(),
            now: Duration::ZERO,
            next_slow_tick: Duration::ZERO,
            unix_time: Duration::ZERO,
            is_ready: false,
            config,
        }
    }

    /// Starts the node and returns its first actions. `unix_time` is the time since the Unix epoch.
    pub fn start(&mut self, now: Duration, unix_time: Duration) -> Vec<action::Action> {
        self.set_time(now, unix_time);
        self.platform.started_at = now;
        for topic in [event::Topic::Release, event::Topic::Claims] {
            self.push_action(action::Action::ReadFrom { topic, offset: 1 });
        }
        self.record_event("node.started", None, format!("in {}", self.config.data_centre));
        self.take_actions()
    }

    /// Handles one event. `now` is monotonic, `unix_time` is the time since the Unix epoch.
    pub fn handle(
        &mut self,
        now: Duration,
        unix_time: Duration,
        event: event::Event,
    ) -> Vec<action::Action> {
        self.set_time(now, unix_time);
        match event {
            event::Event::Caller(event) => self.on_caller(event),
            event::Event::Endpoint(event) => self.on_endpoint(event),
            event::Event::Platform(event) => self.on_platform(event),
            event::Event::Peer(event) => self.on_peer(event),
            event::Event::Terminate => self.on_terminate(),
        }
        self.dispatch();
        self.take_actions()
    }

    /// Does the work that is due by time; to be called every few milliseconds.
    pub fn tick(&mut self, now: Duration, unix_time: Duration) -> Vec<action::Action> {
        self.set_time(now, unix_time);
        self.tick_claims();
        self.tick_peers();
        self.tick_custody();
        self.retry_delayed();
        if self.now >= self.next_slow_tick {
            self.next_slow_tick = self.now + SLOW_TICK_INTERVAL;
            self.tick_models();
            self.tick_plains();
            self.tick_platform();
            self.tick_drain();
            self.publish_digest();
            let quarantined = self.quarantine.tick(self.now);
            self.quarantine_all(&quarantined);
        }
        self.dispatch();
        self.take_actions()
    }

    /// Event counts since the start.
    pub fn counters(&self) -> &counter::Counters {
        &self.counters
    }

    fn set_time(&mut self, now: Duration, unix_time: Duration) {
        self.now = self.now.max(now);
        self.unix_time = unix_time;
    }

    fn take_actions(&mut self) -> Vec<action::Action> {
        std::mem::take(&mut self.actions)
    }

    fn on_caller(&mut self, event: event::CallerEvent) {
        match event {
            event::CallerEvent::Model(call) => self.on_model_call(*call),
            event::CallerEvent::Plain(call) => self.on_plain_call(*call),
            event::CallerEvent::Find(call) => self.on_find_call(&call),
            event::CallerEvent::Services { call, key_sha256 } => {
                self.on_services_call(call, &key_sha256);
            }
            event::CallerEvent::Disconnected { call } => self.on_caller_gone(call),
            event::CallerEvent::AnswerDelivered { request } => self.on_answer_delivered(request),
        }
    }

    /// Sends or refuses the requests that the dispatcher names.
    fn dispatch(&mut self) {
        for step in self.dispatcher.poll(self.now) {
            match step {
                dispatch::Step::Send { ticket, attempt, choice, waited } => {
                    self.attempts.insert(attempt, ticket);
                    match self.work.get(&ticket).copied() {
                        Some(Work::Model(request)) => {
                            self.send_model(request, attempt, &choice, waited);
                        }
                        Some(Work::Plain(call)) => self.send_plain(call, attempt, &choice, waited),
                        None => panic!("the dispatcher sends an unknown ticket"),
                    }
                }
                dispatch::Step::Refuse { ticket, refusal } => match self.work.remove(&ticket) {
                    Some(Work::Model(request)) => self.refuse_model(request, &refusal),
                    Some(Work::Plain(call)) => self.refuse_plain(call, &refusal),
                    None => panic!("the dispatcher refuses an unknown ticket"),
                },
            }
        }
    }

    /// Hands the requests whose retry is due to the dispatcher.
    fn retry_delayed(&mut self) {
        while let Some(&(due, ticket)) = self.delayed.first() {
            if due > self.now {
                return;
            }
            self.delayed.remove(&(due, ticket));
            if let Some(Work::Model(request)) = self.work.get(&ticket).copied()
                && self.is_quarantined(self.model_requests[&request].record.fingerprint)
            {
                self.fail_model(request, node_quarantine::CRASHED_ENDPOINTS_ERROR.to_owned());
                continue;
            }
            if let Some(Work::Model(request)) = self.work.get(&ticket)
                && let Some(until) =
                    self.held_until(self.model_requests[request].record.fingerprint)
            {
                self.delayed.insert((until, ticket));
                continue;
            }
            let exclude = match self.work.get(&ticket) {
                Some(Work::Model(request)) => {
                    let held = &self.model_requests[request];
                    let mut exclude = held.excluded();
                    exclude.extend(self.endpoints_barred_to(held.record.fingerprint));
                    exclude
                }
                Some(Work::Plain(call)) => self.plain_requests[call].excluded(),
                None => continue,
            };
            self.dispatcher.retry(ticket, &exclude);
        }
    }

    pub(crate) fn push_action(&mut self, action: action::Action) {
        self.actions.push(action);
    }

    /// Adds an event to the timeline.
    pub(crate) fn record_event(
        &mut self,
        kind: &'static str,
        request: Option<id::RequestId>,
        detail: String,
    ) {
        self.record_span(kind, request, detail, Duration::ZERO);
    }

    /// Adds an event to the timeline, with the duration that it ends.
    pub(crate) fn record_span(
        &mut self,
        kind: &'static str,
        request: Option<id::RequestId>,
        detail: String,
        duration: Duration,
    ) {
        let request = request.map(|request| request.to_string()).unwrap_or_default();
        let entry = timeline::Entry { kind, request, detail, duration };
        self.timeline.record(self.unix_time, entry);
    }

    /// Writes a log line and adds the event to the timeline.
    pub(crate) fn log_event(
        &mut self,
        level: action::LogLevel,
        kind: &'static str,
        message: String,
    ) {
        self.record_event(kind, None, message.clone());
        self.push_action(action::Action::Log { level, message: format!("{kind}: {message}") });
    }

    pub(crate) fn new_ticket(&mut self, work: Work) -> fairness::Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.work.insert(ticket, work);
        ticket
    }

    /// Answers a call with an error and states that it was not run.
    pub(crate) fn refuse(
        &mut self,
        call: event::CallId,
        kind: action::RefusalKind,
        detail: impl Into<String>,
        retry_after: Option<Duration>,
    ) {
        self.counters.refused += 1;
        let refusal = action::Refusal {
            kind,
            detail: detail.into(),
            outcome: action::Outcome::NotRun,
            retry_after,
            request: None,
        };
        self.push_action(action::Action::Refuse { call, refusal });
    }

    /// Returns the organisation of a key, for a new request. Refuses the call if the key is
    /// unknown, or if the node is leaving or lacks the current release.
    pub(crate) fn admit_caller(
        &mut self,
        call: event::CallId,
        key_sha256: &event::Sha256,
    ) -> Option<String> {
        let wait = Some(Duration::from_secs(1));
        if self.is_leaving() {
            let detail = "this node is leaving; send the request again";
            self.refuse(call, action::RefusalKind::Unavailable, detail, wait);
            return None;
        }
        self.authorise(call, key_sha256)
    }

    /// Returns the organisation of a key. Refuses the call if the key is unknown, or if the node
    /// lacks the current release.
    pub(crate) fn authorise(
        &mut self,
        call: event::CallId,
        key_sha256: &event::Sha256,
    ) -> Option<String> {
        if self.log.release().is_none() || self.is_release_behind() {
            let detail = "this node does not have the release in force yet";
            let wait = Some(Duration::from_secs(1));
            self.refuse(call, action::RefusalKind::Unavailable, detail, wait);
            return None;
        }
        let organisation = self.organisations.get(key_sha256).cloned();
        if organisation.is_none() {
            let detail = "the key is not known";
            self.refuse(call, action::RefusalKind::Unauthorized, detail, None);
        }
        organisation
    }

    /// Returns the service that a call names. Refuses the call if there is no such service, if it
    /// is of another kind or if the body is too large for it.
    pub(crate) fn service_for(
        &mut self,
        call: event::CallId,
        name: &str,
        kind: schema::ServiceKind,
        body_bytes: usize,
    ) -> Option<schema::Service> {
        let Some(service) = self.services.get(name).cloned() else {
            let detail = format!("there is no service called {name}");
            self.refuse(call, action::RefusalKind::NotFound, detail, None);
            return None;
        };
        if service.kind() != kind {
            let expected_kind = match kind {
                schema::ServiceKind::Model => "model",
                _ => "plain",
            };
            let detail = format!("{name} is not a {expected_kind} service");
            self.refuse(call, action::RefusalKind::BadRequest, detail, None);
            return None;
        }
        if body_bytes > service.max_body_bytes as usize {
            let detail = format!("the body is larger than {} bytes", service.max_body_bytes);
            self.refuse(call, action::RefusalKind::TooLarge, detail, None);
            return None;
        }
        Some(service)
    }

    fn on_services_call(&mut self, call: event::CallId, key_sha256: &event::Sha256) {
        if self.authorise(call, key_sha256).is_none() {
            return;
        }
        let created_s = self.in_force_since.as_secs();
        let is_model = |service: &&schema::Service| service.kind() == schema::ServiceKind::Model;
        let services = self
            .services
            .values()
            .filter(is_model)
            .map(|service| action::ServiceSummary { name: service.name.clone(), created_s })
            .collect();
        self.push_action(action::Action::AnswerServices { call, services });
    }

    fn on_caller_gone(&mut self, call: event::CallId) {
        self.abandon_model_call(call);
        self.abandon_plain_call(call);
    }

    fn on_find_call(&mut self, call: &event::FindCall) {
        let Some(organisation) = self.authorise(call.call, &call.key_sha256) else { return };
        let request = call.request;
        if let Some(held) = self.model_requests.get(&request) {
            if held.record.organisation == organisation {
                self.push_action(action::Action::Attach {
                    call: call.call,
                    request,
                    offset: call.offset,
                });
            } else {
                self.refuse_unknown_request(call.call);
            }
            return;
        }
        if let Some(found) = self.answer_cache.get(request, &organisation) {
            let action = action::Action::AnswerPlain {
                call: call.call,
                request,
                answer: found,
                is_replay: false,
            };
            self.push_action(action);
            return;
        }
        let nodes = self.nodes_to_ask(request);
        if nodes.is_empty() {
            self.refuse_unknown_request(call.call);
            return;
        }
        let offset = call.offset;
        self.push_action(action::Action::Relay {
            call: call.call,
            request,
            organisation,
            offset,
            nodes,
        });
    }

    fn refuse_unknown_request(&mut self, call: event::CallId) {
        let detail = "there is no request of this id";
        self.refuse(call, action::RefusalKind::NotFound, detail, None);
    }
}
