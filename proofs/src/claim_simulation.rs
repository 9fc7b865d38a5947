//! Simulation of at-most-once calls: the claims of a few nodes, over a fake log and a fake plain
//! service.

mod checks;
mod network;
mod options;
mod report;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbrock::claim::{self, Claims, Conclusion};

use crate::Violation;
use crate::claim_log::Log;
use crate::claim_service::PlainService;
use network::NodeMessage;

pub use options::Options;
pub use report::Report;

const ORGANISATION: &str = "trust";
const SERVICE: &str = "order-desk";
const KEY_LIFETIME: Duration = Duration::from_secs(15);
const DISPATCH_WINDOW: Duration = Duration::from_millis(400);
/// Time without faults at the end, in which every call must be concluded.
const FAULT_FREE_TIME: Duration = Duration::from_secs(30);

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
}

fn key_name(number: u64) -> String {
    format!("key-{number}")
}
