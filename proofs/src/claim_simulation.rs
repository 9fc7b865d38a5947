//! Simulation of at-most-once calls: the claims of a few nodes, over a fake log and a fake plain
//! service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use prost::Message;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbrock::claim::{self, Action, AppendResult, Claims, Conclusion, DispatchResult};
use rhubarbrock_schema::log::{ClaimBatch, claim_entry};

use crate::Violation;
use crate::claim_log::{AppendScenario, Log};
use crate::claim_service::{CallResult, PlainService};

const ORGANISATION: &str = "trust";
const SERVICE: &str = "order-desk";
const KEY_LIFETIME: Duration = Duration::from_secs(15);
const DISPATCH_WINDOW: Duration = Duration::from_millis(400);
/// Maximum delay of an append whose answer is lost.
const MAX_APPEND_DELAY_MS: u64 = 5_000;
/// Time without faults at the end, in which every call must be concluded.
const FAULT_FREE_TIME: Duration = Duration::from_secs(30);

/// Settings of a simulation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Number of nodes.
    pub nodes: usize,
    /// Whether the service rejects stale fencing tokens.
    pub checks_fencing: bool,
    /// Frequency of faults of nodes, log and service, in percent of the highest rate; 0 for none.
    pub fault_percent: u32,
    /// Share of new keys that belong to a sequence, in percent.
    pub sequence_percent: u32,
    /// Whether callers always mark the repetition of a key.
    pub marks_repetitions: bool,
    /// Time for which the log keeps records.
    pub log_retention: Duration,
}

impl Options {
    /// Two or three nodes with every kind of fault. The seed also decides whether the service
    /// checks fencing tokens, callers always mark repetitions, and the log keeps records for less
    /// than the lifetime of a key.
    pub fn with_faults(seed: u64) -> Options {
        let has_short_retention = seed % 7 == 3;
        Options {
            nodes: 2 + (seed % 2) as usize,
            checks_fencing: seed.is_multiple_of(4),
            fault_percent: 100,
            sequence_percent: if seed.is_multiple_of(3) { 40 } else { 5 },
            marks_repetitions: has_short_retention || !seed.is_multiple_of(5),
            log_retention: if has_short_retention { KEY_LIFETIME / 20 } else { KEY_LIFETIME * 3 },
        }
    }

    /// Like [`Options::with_faults`], with a hundredth of the fault rate.
    pub fn with_rare_faults(seed: u64) -> Options {
        Options { fault_percent: 1, ..Options::with_faults(seed) }
    }

    /// Three nodes without faults.
    pub fn without_faults() -> Options {
        Options {
            nodes: 3,
            checks_fencing: false,
            fault_percent: 0,
            sequence_percent: 10,
            marks_repetitions: true,
            log_retention: KEY_LIFETIME * 3,
        }
    }
}

/// Counts of one run. The conclusions are those reported to callers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Events drawn, including those that had no effect.
    pub events: u64,
    /// Calls started.
    pub calls: u64,
    /// Runs at the service.
    pub runs: u64,
    /// Calls answered by their own dispatch.
    pub answered: u64,
    /// Calls answered with the recorded answer of an earlier call.
    pub replayed: u64,
    /// Calls concluded as not run, by reason.
    pub not_run: BTreeMap<claim::NotRunReason, u64>,
    /// Calls concluded as in doubt, by reason.
    pub in_doubt: BTreeMap<claim::InDoubtReason, u64>,
    /// Calls concluded as in doubt whose key never ran.
    pub in_doubt_without_run: u64,
    /// Calls refused because their key belongs to another request.
    pub mismatches: u64,
    /// Calls refused because the lifetime of their key is over.
    pub expired_keys: u64,
    /// Calls whose node was killed before their conclusion.
    pub lost_calls: u64,
}

impl Report {
    /// Adds another run's counts.
    pub fn add(&mut self, other: &Report) {
        self.events += other.events;
        self.calls += other.calls;
        self.runs += other.runs;
        self.answered += other.answered;
        self.replayed += other.replayed;
        for (reason, count) in &other.not_run {
            *self.not_run.entry(*reason).or_default() += count;
        }
        for (reason, count) in &other.in_doubt {
            *self.in_doubt.entry(*reason).or_default() += count;
        }
        self.in_doubt_without_run += other.in_doubt_without_run;
        self.mismatches += other.mismatches;
        self.expired_keys += other.expired_keys;
        self.lost_calls += other.lost_calls;
    }
}

/// A call as its caller sees it. Call numbers are in order of start.
#[derive(Debug, Clone)]
struct CallState {
    key: String,
    body: u8,
    started_at: Duration,
    node: usize,
    conclusion: Option<Conclusion>,
}

#[derive(Debug, Default)]
struct KeyState {
    first_used_at: Duration,
    calls: Vec<u64>,
    bodies: Vec<u8>,
    executed_by: Option<u64>,
    answer: Option<claim::Answer>,
    sequence_position: Option<(String, u64)>,
    /// Whether a caller repeated the key without marking the repetition.
    has_unmarked_repetition: bool,
    /// Highest number of a call that was concluded as not run.
    last_not_run_call: Option<u64>,
}

struct Node {
    claims: Claims,
    id: u64,
    is_paused: bool,
    /// Whether its instance is being reclaimed; all its calls are concluded then.
    is_leaving: bool,
    /// Whether the log was unavailable when the node was last notified.
    reported_log_down: bool,
}

/// Message in flight between nodes, log and service.
enum NodeMessage {
    Append {
        node: usize,
        id: u64,
        batch: u64,
        record: Vec<u8>,
        scenario: AppendScenario,
        is_applied: bool,
    },
    AppendResponse {
        node: usize,
        id: u64,
        batch: u64,
        result: AppendResult,
    },
    Connect {
        node: usize,
        id: u64,
        call: u64,
        key: String,
        fencing_token: u64,
    },
    Request {
        node: usize,
        id: u64,
        call: u64,
        key: String,
        fencing_token: u64,
    },
    Response {
        node: usize,
        id: u64,
        call: u64,
        result: DispatchResult,
    },
}

/// State of the nodes, the log, the service and the callers.
pub struct Simulation {
    seed: u64,
    options: Options,
    rng: ChaCha8Rng,
    now: Duration,
    event: u64,
    log: Log,
    service: PlainService,
    nodes: Vec<Node>,
    in_flight: Vec<(Duration, NodeMessage)>,
    call_states: BTreeMap<u64, CallState>,
    /// Calls without a conclusion whose node still runs.
    unconcluded: BTreeSet<u64>,
    keys: BTreeMap<String, KeyState>,
    /// Time of the last append of a claim, by node id and key.
    claim_sent_at: BTreeMap<(u64, String), Duration>,
    /// Last position that ran, by sequence.
    last_run_positions: BTreeMap<String, u64>,
    last_assigned_positions: BTreeMap<String, u64>,
    last_key_number: u64,
    report: Report,
    violation: Option<String>,
}

/// Runs one simulation of this number of events.
///
/// # Errors
///
/// The first violation of an invariant.
pub fn run(seed: u64, events: u64, options: Options) -> Result<Report, Violation> {
    let mut simulation = Simulation::new(seed, options);
    while simulation.event < events {
        simulation.step();
        simulation.take_violation()?;
    }
    simulation.run_without_faults()?;
    Ok(simulation.report)
}

fn config() -> claim::Config {
    claim::Config::new()
        .key_lifetime(KEY_LIFETIME)
        .queue_timeout(Duration::from_millis(500))
        .predecessor_timeout(Duration::from_secs(1))
        .dispatch_window(DISPATCH_WINDOW)
        .answer_timeout(Duration::from_secs(2))
        .outcome_timeout(Duration::from_secs(3))
        .refusal_timeout(Duration::from_millis(500))
        .append_timeout(Duration::from_millis(300))
        .end_resend_interval(Duration::from_millis(500))
        .max_calls(64)
}

impl Simulation {
    fn new(seed: u64, options: Options) -> Simulation {
        let mut simulation = Simulation {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::from_secs(1_000),
            event: 0,
            log: Log::new(),
            service: PlainService::new(options.checks_fencing),
            nodes: Vec::new(),
            in_flight: Vec::new(),
            call_states: BTreeMap::new(),
            unconcluded: BTreeSet::new(),
            keys: BTreeMap::new(),
            claim_sent_at: BTreeMap::new(),
            last_run_positions: BTreeMap::new(),
            last_assigned_positions: BTreeMap::new(),
            last_key_number: 0,
            report: Report::default(),
            violation: None,
            options,
        };
        for _ in 0..simulation.options.nodes {
            let node = simulation.new_node();
            simulation.nodes.push(node);
        }
        simulation
    }

    fn new_node(&mut self) -> Node {
        let id = self.rng.random();
        let seed = self.rng.random();
        let claims = Claims::new(config(), id, seed);
        Node { claims, id, is_paused: false, is_leaving: false, reported_log_down: false }
    }

    fn take_violation(&mut self) -> Result<(), Violation> {
        match self.violation.take() {
            None => Ok(()),
            Some(description) => Err(Violation { seed: self.seed, event: self.event, description }),
        }
    }

    fn record_violation(&mut self, description: String) {
        self.violation.get_or_insert(description);
    }

    /// Draws one event and performs it.
    fn step(&mut self) {
        self.event += 1;
        self.report.events += 1;
        let draw = self.rng.random_range(0..1000);
        if self.options.fault_percent < 100 {
            self.advance_time();
            self.run_all_nodes();
        }
        match draw {
            0..80 => self.start_call(),
            80..350 => self.read_log(),
            350..600 => self.deliver_one(),
            600..900 => self.advance_time(),
            900..960 => self.tick_random_node(),
            960..968 => self.resume(),
            968..973 => self.log.is_down = false,
            973..983 => self.notify_log_availability(),
            _ if !self.draw_fault(1, 1) => {}
            983..986 => self.pause(),
            986..987 => self.kill(),
            987..988 => self.start_leaving(),
            988..990 => self.log.is_down = true,
            990..992 => self.advance_time_far(),
            992..995 => self.append_garbage(),
            _ => self.log.drop_expired(self.now, self.options.log_retention),
        }
    }

    fn advance_time(&mut self) {
        self.now += Duration::from_millis(self.rng.random_range(0..20));
    }

    fn advance_time_far(&mut self) {
        self.now += Duration::from_millis(self.rng.random_range(100..5_000));
    }

    fn append_garbage(&mut self) {
        let bytes: Vec<u8> = (0..self.rng.random_range(0..40)).map(|_| self.rng.random()).collect();
        self.log.append(self.now, bytes);
    }

    fn draw_node(&mut self) -> Option<usize> {
        let node = self.rng.random_range(0..self.nodes.len());
        (!self.nodes[node].is_paused).then_some(node)
    }

    /// Starts a call with a new or an earlier key.
    fn start_call(&mut self) {
        let Some(node) = self.draw_node() else { return };
        if self.nodes[node].is_leaving {
            return;
        }
        let recent = self.draw_recent_key();
        let is_new = recent.is_none() || self.rng.random_ratio(1, 3);
        let key = match recent {
            Some(key) if !is_new => key,
            _ => self.create_key(),
        };
        let call = self.report.calls + 1;
        let is_other_body = self.rng.random_ratio(1, 40);
        let Some(key_state) = self.keys.get_mut(&key) else { return };
        let body = if is_other_body { 2 } else { 1 };
        let mut is_repetition = !key_state.calls.is_empty();
        if is_repetition && !self.options.marks_repetitions && self.rng.random_bool(0.5) {
            is_repetition = false;
            key_state.has_unmarked_repetition = true;
        }
        let is_key_expired = key_state.first_used_at + KEY_LIFETIME < self.now;
        key_state.calls.push(call);
        key_state.bodies.push(body);
        let sequence_position = key_state.sequence_position.clone();
        let key_created_at = is_key_expired.then_some(key_state.first_used_at);
        let new_call = claim::NewCall {
            call,
            organisation: ORGANISATION.to_owned(),
            key: Some(key.clone()),
            is_repetition,
            key_created_at,
            request_sha256: [body; 32],
            service: SERVICE.to_owned(),
            sequence_position: sequence_position
                .clone()
                .map(|(sequence, position)| claim::SequencePosition { sequence, position }),
        };
        self.report.calls = call;
        let call_state = CallState { key, body, started_at: self.now, node, conclusion: None };
        self.call_states.insert(call, call_state);
        self.unconcluded.insert(call);
        let actions = self.nodes[node].claims.begin(self.now, self.now, new_call);
        self.perform(node, actions);
    }

    /// Draws an earlier key, mostly a recent one. A key past its lifetime is sent with its time of
    /// creation.
    fn draw_recent_key(&mut self) -> Option<String> {
        let span = if self.rng.random_ratio(1, 50) { 400 } else { 8 };
        let back = self.rng.random_range(0..span).min(self.last_key_number);
        let key = key_name(self.last_key_number - back);
        self.keys.contains_key(&key).then_some(key)
    }

    /// Creates a key; some keys get the next position of a sequence.
    fn create_key(&mut self) -> String {
        self.last_key_number += 1;
        let key = key_name(self.last_key_number);
        let mut key_state = KeyState { first_used_at: self.now, ..KeyState::default() };
        if self.rng.random_ratio(self.options.sequence_percent, 100) {
            let sequence = format!("round-{}", self.last_key_number / 16);
            let position = self.last_assigned_positions.entry(sequence.clone()).or_default();
            *position += 1;
            key_state.sequence_position = Some((sequence, *position));
        }
        self.keys.insert(key.clone(), key_state);
        key
    }

    /// Lets a random node read a page of the log.
    fn read_log(&mut self) {
        let Some(node) = self.draw_node() else { return };
        if self.log.is_down {
            return;
        }
        let max = self.rng.random_range(1..50);
        let page = self.log.read(self.nodes[node].claims.next_offset(), max);
        let actions = self.nodes[node].claims.on_records(self.now, page);
        self.perform(node, actions);
    }

    fn notify_log_availability(&mut self) {
        let Some(node) = self.draw_node() else { return };
        self.nodes[node].reported_log_down = self.log.is_down;
        let actions = self.nodes[node].claims.on_log_availability(self.now, !self.log.is_down);
        self.perform(node, actions);
    }

    fn tick_random_node(&mut self) {
        let Some(node) = self.draw_node() else { return };
        self.tick(node);
    }

    /// Ticks a node. No call may be left without a conclusion after the conclusion timeout.
    fn tick(&mut self, node: usize) {
        let actions = self.nodes[node].claims.tick(self.now, self.now);
        self.perform(node, actions);
        let limit = config().conclusion_timeout();
        let overdue = self.unconcluded.iter().find(|call| {
            let call_state = &self.call_states[call];
            call_state.node == node && self.now > call_state.started_at + limit
        });
        if let Some(call) = overdue {
            let description = format!("call {call} has no conclusion after {limit:?}");
            self.record_violation(description);
        }
    }

    fn pause(&mut self) {
        let node = self.rng.random_range(0..self.nodes.len());
        self.nodes[node].is_paused = true;
    }

    fn resume(&mut self) {
        let node = self.rng.random_range(0..self.nodes.len());
        self.nodes[node].is_paused = false;
        if self.nodes[node].is_leaving && self.nodes[node].claims.is_idle() {
            self.nodes[node] = self.new_node();
        }
    }

    /// Reclaims a node's instance: it must conclude all its calls at once.
    fn start_leaving(&mut self) {
        let Some(node) = self.draw_node() else { return };
        self.nodes[node].is_leaving = true;
        let actions = self.nodes[node].claims.conclude_all(self.now);
        self.perform(node, actions);
        if self.unconcluded.iter().any(|call| self.call_states[call].node == node) {
            self.record_violation(format!("leaving node {node} has calls without conclusion"));
        }
    }

    /// Draws whether a fault occurs. At 100 percent faults the probability is
    /// `numerator / denominator`.
    fn draw_fault(&mut self, numerator: u32, denominator: u32) -> bool {
        self.rng.random_ratio(numerator, denominator)
            && self.rng.random_ratio(self.options.fault_percent, 100)
    }

    /// Kills a node, which loses its state, and starts another in its place.
    fn kill(&mut self) {
        let node = self.rng.random_range(0..self.nodes.len());
        let before = self.unconcluded.len();
        self.unconcluded.retain(|call| self.call_states[call].node != node);
        self.report.lost_calls += (before - self.unconcluded.len()) as u64;
        self.nodes[node] = self.new_node();
    }

    /// Delivers a random message in flight, if it is due.
    fn deliver_one(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.in_flight.len());
        let (at, message) = &self.in_flight[index];
        if *at > self.now || self.awaits_paused_node(message) {
            return;
        }
        let (_, message) = self.in_flight.swap_remove(index);
        self.deliver(message);
    }

    /// Whether a message cannot be delivered because its node is paused.
    fn awaits_paused_node(&self, message: &NodeMessage) -> bool {
        let node = match message {
            NodeMessage::Append { .. } | NodeMessage::Request { .. } => return false,
            NodeMessage::AppendResponse { node, .. }
            | NodeMessage::Connect { node, .. }
            | NodeMessage::Response { node, .. } => *node,
        };
        self.nodes[node].is_paused
    }

    fn is_current_process(&self, node: usize, id: u64) -> bool {
        self.nodes[node].id == id
    }

    fn deliver(&mut self, message: NodeMessage) {
        match message {
            NodeMessage::Append { node, id, batch, record, scenario, is_applied } => {
                self.deliver_append(node, id, batch, record, scenario, is_applied);
            }
            NodeMessage::AppendResponse { node, id, batch, result } => {
                if self.is_current_process(node, id) {
                    let actions = self.nodes[node].claims.on_append_result(self.now, batch, result);
                    self.perform(node, actions);
                }
            }
            NodeMessage::Connect { node, id, call, key, fencing_token } => {
                self.connect(node, id, call, key, fencing_token);
            }
            NodeMessage::Request { node, id, call, key, fencing_token } => {
                self.run_on_service(node, id, call, &key, fencing_token);
            }
            NodeMessage::Response { node, id, call, result } => {
                if self.is_current_process(node, id) {
                    let actions =
                        self.nodes[node].claims.on_dispatch_result(self.now, call, result);
                    self.perform(node, actions);
                }
            }
        }
    }

    fn deliver_append(
        &mut self,
        node: usize,
        id: u64,
        batch: u64,
        record: Vec<u8>,
        scenario: AppendScenario,
        is_applied: bool,
    ) {
        let result = if is_applied {
            self.log.append(self.now, record);
            return;
        } else if self.log.is_down {
            AppendResult::Failed
        } else {
            match scenario {
                AppendScenario::Confirmed => AppendResult::At(self.log.append(self.now, record)),
                AppendScenario::RequestLost => AppendResult::Unknown,
                AppendScenario::ResponseLost => {
                    let delay_ms = if self.rng.random_bool(0.5) {
                        0
                    } else {
                        self.rng.random_range(0..MAX_APPEND_DELAY_MS)
                    };
                    let at = self.now + Duration::from_millis(delay_ms);
                    let message =
                        NodeMessage::Append { node, id, batch, record, scenario, is_applied: true };
                    self.in_flight.push((at, message));
                    AppendResult::Unknown
                }
            }
        };
        let delay = self.draw_delay(30);
        self.in_flight
            .push((self.now + delay, NodeMessage::AppendResponse { node, id, batch, result }));
    }

    /// Connects a node to the service. The node may then still refuse to send the call.
    fn connect(&mut self, node: usize, id: u64, call: u64, key: String, fencing_token: u64) {
        if !self.is_current_process(node, id) {
            return;
        }
        if self.draw_fault(1, 20) {
            let message = NodeMessage::Response { node, id, call, result: DispatchResult::NotSent };
            self.in_flight.push((self.now, message));
            return;
        }
        if !self.nodes[node].claims.confirm_dispatch(self.now, call) {
            return;
        }
        let sent_at = self.claim_sent_at.get(&(id, key.clone())).copied().unwrap_or_default();
        if self.now > sent_at + DISPATCH_WINDOW {
            self.record_violation(format!(
                "call {call} sent later than {DISPATCH_WINDOW:?} after its claim"
            ));
        }
        if self.call_states.get(&call).is_some_and(|call_state| call_state.conclusion.is_some()) {
            self.record_violation(format!("call {call} sent after its conclusion"));
        }
        if self.draw_fault(1, 10) {
            let was_refused = self.rng.random_bool(0.5);
            let result =
                if was_refused { DispatchResult::NotSent } else { DispatchResult::Unknown };
            let message = NodeMessage::Response { node, id, call, result };
            self.in_flight.push((self.now, message));
            return;
        }
        let delay = self.draw_delay(20);
        self.in_flight
            .push((self.now + delay, NodeMessage::Request { node, id, call, key, fencing_token }));
    }

    /// Runs a call at the service.
    fn run_on_service(&mut self, node: usize, id: u64, call: u64, key: &str, fencing_token: u64) {
        let result = match self.service.handle_call(key, fencing_token) {
            CallResult::StaleFencingToken => DispatchResult::FencingTokenRejected,
            CallResult::Executed(body) => {
                self.record_run(call, key);
                let is_response_lost = self.draw_fault(1, 20);
                if is_response_lost {
                    DispatchResult::Unknown
                } else {
                    let content_type = "text/plain".to_owned();
                    DispatchResult::Answered { status: 200, content_type, body }
                }
            }
        };
        let is_slow = self.draw_fault(1, 50);
        let delay = if is_slow { Duration::from_secs(4) } else { self.draw_delay(40) };
        self.in_flight.push((self.now + delay, NodeMessage::Response { node, id, call, result }));
    }

    fn record_run(&mut self, call: u64, key: &str) {
        self.report.runs += 1;
        if self.service.run_count(key) > 1 {
            self.record_violation(format!(
                "{key} ran {} times, expected at most once",
                self.service.run_count(key)
            ));
        }
        let key_state = &self.keys[key];
        if let Some(not_run_call) = key_state.last_not_run_call
            && (call == not_run_call || (call < not_run_call && !key_state.has_unmarked_repetition))
        {
            self.record_violation(format!(
                "{key} runs by call {call}, but call {not_run_call} was concluded as not run"
            ));
        }
        if let Some(key_state) = self.keys.get_mut(key) {
            key_state.executed_by = Some(call);
        }
        let Some((sequence, position)) = self.keys[key].sequence_position.clone() else { return };
        let previous = self.last_run_positions.insert(sequence.clone(), position).unwrap_or(0);
        if position != previous + 1 {
            self.record_violation(format!(
                "{sequence}: position {position} ran after position {previous}"
            ));
        }
    }

    fn draw_delay(&mut self, max_ms: u64) -> Duration {
        if self.draw_fault(1, 30) {
            return Duration::from_millis(self.rng.random_range(0..max_ms * 30));
        }
        Duration::from_millis(self.rng.random_range(0..max_ms))
    }

    fn perform(&mut self, node: usize, actions: Vec<Action>) {
        let id = self.nodes[node].id;
        for action in actions {
            match action {
                Action::Append { batch, record } => {
                    self.record_claims(id, &record);
                    let scenario = self.draw_append_scenario();
                    let delay = self.draw_delay(20);
                    let message = NodeMessage::Append {
                        node,
                        id,
                        batch,
                        record,
                        scenario,
                        is_applied: false,
                    };
                    self.in_flight.push((self.now + delay, message));
                }
                Action::Dispatch { call, key, fencing_token } => {
                    let delay = self.draw_delay(10);
                    let message = NodeMessage::Connect { node, id, call, key, fencing_token };
                    self.in_flight.push((self.now + delay, message));
                }
                Action::Finish { call, conclusion } => self.conclude(call, conclusion),
            }
        }
    }

    fn draw_append_scenario(&mut self) -> AppendScenario {
        if !self.draw_fault(1, 10) {
            return AppendScenario::Confirmed;
        }
        if self.rng.random_bool(0.5) {
            AppendScenario::ResponseLost
        } else {
            AppendScenario::RequestLost
        }
    }

    fn record_claims(&mut self, node: u64, record: &[u8]) {
        let Ok(batch) = ClaimBatch::decode(record) else {
            self.record_violation("appended record is not a valid claim batch".to_owned());
            return;
        };
        for entry in batch.entries {
            if let Some(claim_entry::Body::Claim(claim)) = entry.body {
                self.claim_sent_at.insert((node, claim.key), self.now);
            }
        }
    }

    /// Records the conclusion of a call and checks it.
    fn conclude(&mut self, call: u64, conclusion: Conclusion) {
        let Some(call_state) = self.call_states.get_mut(&call) else {
            self.record_violation(format!("conclusion of unknown call {call}"));
            return;
        };
        if call_state.conclusion.replace(conclusion.clone()).is_some() {
            self.record_violation(format!("call {call} has two conclusions"));
            return;
        }
        let key = call_state.key.clone();
        let body = call_state.body;
        self.unconcluded.remove(&call);
        match conclusion {
            Conclusion::Answered { answer, is_replay } => {
                self.on_answered(call, &key, answer, is_replay)
            }
            Conclusion::NotRun { reason, .. } => self.on_not_run(call, &key, reason),
            Conclusion::InDoubt { reason } => {
                *self.report.in_doubt.entry(reason).or_default() += 1;
            }
            Conclusion::Mismatch => {
                self.report.mismatches += 1;
                if self.keys[&key].bodies.iter().all(|other| *other == body) {
                    self.record_violation(format!(
                        "{key} refused as used by another request, but all its requests are equal"
                    ));
                }
            }
            Conclusion::KeyExpired => {
                self.report.expired_keys += 1;
                if self.now < self.keys[&key].first_used_at + KEY_LIFETIME {
                    self.record_violation(format!("{key} refused as expired within its lifetime"));
                }
            }
        }
    }

    fn on_answered(&mut self, call: u64, key: &str, answer: claim::Answer, is_replay: bool) {
        let counter = if is_replay { &mut self.report.replayed } else { &mut self.report.answered };
        *counter += 1;
        match self.keys[key].executed_by {
            None => self.record_violation(format!("{key} answered, but it never ran")),
            Some(executed_by)
                if self.call_states[&executed_by].body != self.call_states[&call].body =>
            {
                self.record_violation(format!("call {call} got the answer to another request"));
            }
            Some(_) => {}
        }
        if let Some(key_state) = self.keys.get_mut(key) {
            let first = key_state.answer.get_or_insert_with(|| answer.clone());
            if *first != answer {
                self.record_violation(format!("{key} has two different answers"));
            }
        }
    }

    /// Checks that neither this call nor an earlier one with the key has run. Later runs of them
    /// are checked in `record_run`.
    fn on_not_run(&mut self, call: u64, key: &str, reason: claim::NotRunReason) {
        *self.report.not_run.entry(reason).or_default() += 1;
        let Some(key_state) = self.keys.get_mut(key) else { return };
        key_state.last_not_run_call = key_state.last_not_run_call.max(Some(call));
        if let Some(executed_by) = key_state.executed_by
            && (executed_by == call || (executed_by < call && !key_state.has_unmarked_repetition))
        {
            self.record_violation(format!(
                "{key}: call {call} concluded as not run, but call {executed_by} ran"
            ));
        }
    }

    /// Runs without faults, after which every call must be concluded.
    fn run_without_faults(&mut self) -> Result<(), Violation> {
        self.options.fault_percent = 0;
        self.log.is_down = false;
        for node in 0..self.nodes.len() {
            self.nodes[node].is_paused = false;
            let actions = self.nodes[node].claims.on_log_availability(self.now, true);
            self.perform(node, actions);
        }
        let until = self.now + FAULT_FREE_TIME;
        while self.now < until {
            self.now += Duration::from_millis(10);
            self.run_all_nodes();
            self.take_violation()?;
        }
        self.check_quiescent();
        self.count_in_doubt_without_run();
        self.take_violation()
    }

    /// Delivers all due messages, and lets every node read the log and tick.
    fn run_all_nodes(&mut self) {
        self.deliver_due();
        for node in 0..self.nodes.len() {
            let page = self.log.read(self.nodes[node].claims.next_offset(), 1000);
            let actions = self.nodes[node].claims.on_records(self.now, page);
            self.perform(node, actions);
            self.tick(node);
        }
    }

    fn deliver_due(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(at, _)| *at <= now);
        self.in_flight = later;
        for (_, message) in due {
            self.deliver(message);
        }
    }

    fn check_quiescent(&mut self) {
        for node in 0..self.nodes.len() {
            let claims = &self.nodes[node].claims;
            if claims.waiting_calls() > 0 || claims.pending_outcomes() > 0 {
                let description = format!(
                    "node {node} still has calls or outcomes pending: {:?}",
                    claims.counters()
                );
                self.record_violation(description);
            }
        }
        if let Some(call) = self.unconcluded.first() {
            let description = format!("call {call} has no conclusion at the end of the run");
            self.record_violation(description);
        }
    }

    fn count_in_doubt_without_run(&mut self) {
        let count = self
            .call_states
            .values()
            .filter(|call_state| matches!(call_state.conclusion, Some(Conclusion::InDoubt { .. })))
            .filter(|call_state| self.service.run_count(&call_state.key) == 0)
            .count();
        self.report.in_doubt_without_run = count as u64;
    }
}

fn key_name(number: u64) -> String {
    format!("key-{number}")
}
