//! Claims of a few nodes over a fake log and a fake desk.

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
const KEY_LIFE: Duration = Duration::from_secs(15);
const DISPATCH_BOUND: Duration = Duration::from_millis(400);
/// Longest that an append whose answer is lost may take to appear.
const LATEST_APPEND_MS: u64 = 5_000;
/// Time without faults at the end, in which everything must settle.
const CALM: Duration = Duration::from_secs(30);

/// What a world lets happen, in events per thousand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Nodes.
    pub nodes: usize,
    /// Whether the desk refuses old fencing numbers.
    pub checks_fencing: bool,
    /// How often nodes, log and desk fail: 100 for a storm, 0 for never.
    pub fault_percent: u32,
    /// Share of calls that name a sequence, in percent.
    pub sequence_percent: u32,
    /// Whether callers always say that they repeat a key.
    pub marks_repetitions: bool,
    /// How long the log keeps records.
    pub log_retention: Duration,
}

impl Options {
    /// Two or three nodes with every fault. The seed also says whether the desk checks fencing,
    /// callers always mark repetitions, and the log keeps records for less than a key's life.
    pub fn with_faults(seed: u64) -> Options {
        let is_short = seed % 7 == 3;
        Options {
            nodes: 2 + (seed % 2) as usize,
            checks_fencing: seed.is_multiple_of(4),
            fault_percent: 100,
            sequence_percent: if seed.is_multiple_of(3) { 40 } else { 5 },
            marks_repetitions: is_short || !seed.is_multiple_of(5),
            log_retention: if is_short { KEY_LIFE / 20 } else { KEY_LIFE * 3 },
        }
    }

    /// Like [`Options::with_faults`], with a hundredth of its faults.
    pub fn with_rare_faults(seed: u64) -> Options {
        Options { fault_percent: 1, ..Options::with_faults(seed) }
    }

    /// Three nodes, and nothing fails.
    pub fn without_faults() -> Options {
        Options {
            nodes: 3,
            checks_fencing: false,
            fault_percent: 0,
            sequence_percent: 10,
            marks_repetitions: true,
            log_retention: KEY_LIFE * 3,
        }
    }
}

/// What callers were told in one run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Events drawn.
    pub events: u64,
    /// Calls begun.
    pub calls: u64,
    /// Runs at the desk.
    pub runs: u64,
    /// Told answered, from the call's own dispatch.
    pub answered: u64,
    /// Told answered, from the log.
    pub replayed: u64,
    /// Told not run, by reason.
    pub not_run: BTreeMap<claim::NotRunReason, u64>,
    /// Told in doubt, by reason.
    pub in_doubt: BTreeMap<claim::InDoubtReason, u64>,
    /// Told in doubt of a key that never ran.
    pub in_doubt_without_run: u64,
    /// Told that the key belongs to another request.
    pub mismatches: u64,
    /// Told that the key is past its life.
    pub expired_keys: u64,
    /// Calls whose node was killed first.
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

/// A call as its caller knows it. Its number tells the order in which calls began.
#[derive(Debug, Clone)]
struct Caller {
    key: String,
    body: u8,
    begun: Duration,
    node: usize,
    told: Option<Conclusion>,
}

#[derive(Debug, Default)]
struct KeyFacts {
    first_begun: Duration,
    calls: Vec<u64>,
    bodies: Vec<u8>,
    runner: Option<u64>,
    answer: Option<claim::Answer>,
    place: Option<(String, u64)>,
    /// Whether a caller repeated the key without saying so.
    is_sloppy: bool,
    /// Highest call told that the key did not run.
    not_run: Option<u64>,
}

struct Node {
    claims: Claims,
    id: u64,
    is_paused: bool,
    /// Whether its instance is reclaimed and its callers were told.
    is_leaving: bool,
    /// The log state it was told.
    log_seen_down: bool,
}

/// Something on its way.
enum Flight {
    Append {
        node: usize,
        id: u64,
        batch: u64,
        record: Vec<u8>,
        scenario: AppendScenario,
        is_applied: bool,
    },
    AppendAnswer {
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
        fence: u64,
    },
    Arrive {
        node: usize,
        id: u64,
        call: u64,
        key: String,
        fence: u64,
    },
    Answer {
        node: usize,
        id: u64,
        call: u64,
        result: DispatchResult,
    },
}

/// Nodes, log, desk and callers.
pub struct Simulation {
    seed: u64,
    options: Options,
    rng: ChaCha8Rng,
    now: Duration,
    event: u64,
    log: Log,
    desk: PlainService,
    nodes: Vec<Node>,
    flights: Vec<(Duration, Flight)>,
    callers: BTreeMap<u64, Caller>,
    /// Calls whose callers wait.
    untold: BTreeSet<u64>,
    keys: BTreeMap<String, KeyFacts>,
    /// Last time at which a node sent the claim of a key.
    claims_sent: BTreeMap<(u64, String), Duration>,
    /// Position that last ran in each sequence.
    ran: BTreeMap<String, u64>,
    next_place: BTreeMap<String, u64>,
    next_key: u64,
    report: Report,
    broken: Option<String>,
}

/// Runs one world.
///
/// # Errors
///
/// The first broken invariant.
pub fn run(seed: u64, events: u64, options: Options) -> Result<Report, Violation> {
    let mut world = Simulation::new(seed, options);
    while world.event < events {
        world.step();
        world.check()?;
    }
    world.settle()?;
    Ok(world.report)
}

fn config() -> claim::Config {
    claim::Config::new()
        .key_lifetime(KEY_LIFE)
        .queue_timeout(Duration::from_millis(500))
        .predecessor_timeout(Duration::from_secs(1))
        .dispatch_window(DISPATCH_BOUND)
        .answer_timeout(Duration::from_secs(2))
        .outcome_timeout(Duration::from_secs(3))
        .refusal_timeout(Duration::from_millis(500))
        .append_timeout(Duration::from_millis(300))
        .end_resend_interval(Duration::from_millis(500))
        .max_calls(64)
}

impl Simulation {
    fn new(seed: u64, options: Options) -> Simulation {
        let mut world = Simulation {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::from_secs(1_000),
            event: 0,
            log: Log::new(),
            desk: PlainService::new(options.checks_fencing),
            nodes: Vec::new(),
            flights: Vec::new(),
            callers: BTreeMap::new(),
            untold: BTreeSet::new(),
            keys: BTreeMap::new(),
            claims_sent: BTreeMap::new(),
            ran: BTreeMap::new(),
            next_place: BTreeMap::new(),
            next_key: 0,
            report: Report::default(),
            broken: None,
            options,
        };
        for _ in 0..world.options.nodes {
            let node = world.new_node();
            world.nodes.push(node);
        }
        world
    }

    fn new_node(&mut self) -> Node {
        let id = self.rng.random();
        let seed = self.rng.random();
        let claims = Claims::new(config(), id, seed);
        Node { claims, id, is_paused: false, is_leaving: false, log_seen_down: false }
    }

    fn check(&mut self) -> Result<(), Violation> {
        match self.broken.take() {
            None => Ok(()),
            Some(description) => Err(Violation { seed: self.seed, event: self.event, description }),
        }
    }

    fn break_with(&mut self, description: String) {
        self.broken.get_or_insert(description);
    }

    /// Draws one event.
    fn step(&mut self) {
        self.event += 1;
        self.report.events += 1;
        let draw = self.rng.random_range(0..1000);
        if self.options.fault_percent < 100 {
            self.pass();
            self.serve_all();
        }
        match draw {
            0..80 => self.begin(),
            80..350 => self.read(),
            350..600 => self.land(),
            600..900 => self.pass(),
            900..960 => self.tick_one(),
            960..968 => self.resume(),
            968..973 => self.log.is_down = false,
            973..983 => self.tell_log_state(),
            _ if !self.fails(1, 1) => {}
            983..986 => self.pause(),
            986..987 => self.kill(),
            987..988 => self.leave(),
            988..990 => self.log.is_down = true,
            990..992 => self.pass_long(),
            992..995 => self.append_garbage(),
            _ => self.log.drop_expired(self.now, self.options.log_retention),
        }
    }

    fn pass(&mut self) {
        self.now += Duration::from_millis(self.rng.random_range(0..20));
    }

    fn pass_long(&mut self) {
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

    /// A caller calls: a new key, or one it used within its life.
    fn begin(&mut self) {
        let Some(node) = self.draw_node() else { return };
        if self.nodes[node].is_leaving {
            return;
        }
        let recent = self.recent_key();
        let is_new = recent.is_none() || self.rng.random_ratio(1, 3);
        let key = match recent {
            Some(key) if !is_new => key,
            _ => self.new_key(),
        };
        let call = self.report.calls + 1;
        let is_other_body = self.rng.random_ratio(1, 40);
        let Some(facts) = self.keys.get_mut(&key) else { return };
        let body = if is_other_body { 2 } else { 1 };
        let mut repeated = !facts.calls.is_empty();
        if repeated && !self.options.marks_repetitions && self.rng.random_bool(0.5) {
            repeated = false;
            facts.is_sloppy = true;
        }
        let is_late = facts.first_begun + KEY_LIFE < self.now;
        facts.calls.push(call);
        facts.bodies.push(body);
        let place = facts.place.clone();
        let key_created = is_late.then_some(facts.first_begun);
        let new = claim::NewCall {
            call,
            organisation: ORGANISATION.to_owned(),
            key: Some(key.clone()),
            is_repetition: repeated,
            key_created,
            request_sha256: [body; 32],
            service: SERVICE.to_owned(),
            sequence_position: place
                .clone()
                .map(|(sequence, position)| claim::SequencePosition { sequence, position }),
        };
        self.report.calls = call;
        let caller = Caller { key, body, begun: self.now, node, told: None };
        self.callers.insert(call, caller);
        self.untold.insert(call);
        let actions = self.nodes[node].claims.begin(self.now, self.now, new);
        self.perform(node, actions);
    }

    /// A key used lately; rarely one past its life, which is then sent with its time of creation.
    fn recent_key(&mut self) -> Option<String> {
        let span = if self.rng.random_ratio(1, 50) { 400 } else { 8 };
        let back = self.rng.random_range(0..span).min(self.next_key);
        let key = key_name(self.next_key - back);
        self.keys.contains_key(&key).then_some(key)
    }

    /// A key not used before; some name the next place of a sequence.
    fn new_key(&mut self) -> String {
        self.next_key += 1;
        let key = key_name(self.next_key);
        let mut facts = KeyFacts { first_begun: self.now, ..KeyFacts::default() };
        if self.rng.random_ratio(self.options.sequence_percent, 100) {
            let sequence = format!("round-{}", self.next_key / 16);
            let position = self.next_place.entry(sequence.clone()).or_default();
            *position += 1;
            facts.place = Some((sequence, *position));
        }
        self.keys.insert(key.clone(), facts);
        key
    }

    /// A node reads a page of the log.
    fn read(&mut self) {
        let Some(node) = self.draw_node() else { return };
        if self.log.is_down {
            return;
        }
        let max = self.rng.random_range(1..50);
        let page = self.log.read(self.nodes[node].claims.next_offset(), max);
        let actions = self.nodes[node].claims.on_records(self.now, page);
        self.perform(node, actions);
    }

    fn tell_log_state(&mut self) {
        let Some(node) = self.draw_node() else { return };
        self.nodes[node].log_seen_down = self.log.is_down;
        let actions = self.nodes[node].claims.on_log_availability(self.now, !self.log.is_down);
        self.perform(node, actions);
    }

    fn tick_one(&mut self) {
        let Some(node) = self.draw_node() else { return };
        self.tick(node);
    }

    /// After a tick no call may be older than the stated bound.
    fn tick(&mut self, node: usize) {
        let actions = self.nodes[node].claims.tick(self.now, self.now);
        self.perform(node, actions);
        let limit = config().conclusion_timeout();
        let late = self.untold.iter().find(|call| {
            let caller = &self.callers[call];
            caller.node == node && self.now > caller.begun + limit
        });
        if let Some(call) = late {
            let description = format!("call {call} is not concluded within {limit:?}");
            self.break_with(description);
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

    /// A node's instance is about to go: each caller is told what is true then.
    fn leave(&mut self) {
        let Some(node) = self.draw_node() else { return };
        self.nodes[node].is_leaving = true;
        let actions = self.nodes[node].claims.conclude_all(self.now);
        self.perform(node, actions);
        if self.untold.iter().any(|call| self.callers[call].node == node) {
            self.break_with(format!("node {node} leaves a caller untold"));
        }
    }

    /// Whether something fails that does so in one of so many cases of a storm.
    fn fails(&mut self, of: u32, in_cases: u32) -> bool {
        self.rng.random_ratio(of, in_cases)
            && self.rng.random_ratio(self.options.fault_percent, 100)
    }

    /// A node dies with all that it knows; another starts in its place.
    fn kill(&mut self) {
        let node = self.rng.random_range(0..self.nodes.len());
        let before = self.untold.len();
        self.untold.retain(|call| self.callers[call].node != node);
        self.report.lost_calls += (before - self.untold.len()) as u64;
        self.nodes[node] = self.new_node();
    }

    /// Something on its way arrives, if its time has come.
    fn land(&mut self) {
        if self.flights.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.flights.len());
        let (at, flight) = &self.flights[index];
        if *at > self.now || self.is_held(flight) {
            return;
        }
        let (_, flight) = self.flights.swap_remove(index);
        self.arrive(flight);
    }

    /// Whether a flight waits for a paused node.
    fn is_held(&self, flight: &Flight) -> bool {
        let node = match flight {
            Flight::Append { .. } | Flight::Arrive { .. } => return false,
            Flight::AppendAnswer { node, .. }
            | Flight::Connect { node, .. }
            | Flight::Answer { node, .. } => *node,
        };
        self.nodes[node].is_paused
    }

    fn lives(&self, node: usize, id: u64) -> bool {
        self.nodes[node].id == id
    }

    fn arrive(&mut self, flight: Flight) {
        match flight {
            Flight::Append { node, id, batch, record, scenario, is_applied } => {
                self.arrive_append(node, id, batch, record, scenario, is_applied);
            }
            Flight::AppendAnswer { node, id, batch, result } => {
                if self.lives(node, id) {
                    let actions = self.nodes[node].claims.on_append_result(self.now, batch, result);
                    self.perform(node, actions);
                }
            }
            Flight::Connect { node, id, call, key, fence } => {
                self.connect(node, id, call, key, fence);
            }
            Flight::Arrive { node, id, call, key, fence } => {
                self.run_call(node, id, call, &key, fence);
            }
            Flight::Answer { node, id, call, result } => {
                if self.lives(node, id) {
                    let actions =
                        self.nodes[node].claims.on_dispatch_result(self.now, call, result);
                    self.perform(node, actions);
                }
            }
        }
    }

    fn arrive_append(
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
                    let late = if self.rng.random_bool(0.5) {
                        0
                    } else {
                        self.rng.random_range(0..LATEST_APPEND_MS)
                    };
                    let at = self.now + Duration::from_millis(late);
                    let flight =
                        Flight::Append { node, id, batch, record, scenario, is_applied: true };
                    self.flights.push((at, flight));
                    AppendResult::Unknown
                }
            }
        };
        let delay = self.draw_delay(30);
        self.flights.push((self.now + delay, Flight::AppendAnswer { node, id, batch, result }));
    }

    /// The node connects to the desk and asks whether it may send.
    fn connect(&mut self, node: usize, id: u64, call: u64, key: String, fence: u64) {
        if !self.lives(node, id) {
            return;
        }
        if self.fails(1, 20) {
            let flight = Flight::Answer { node, id, call, result: DispatchResult::NotSent };
            self.flights.push((self.now, flight));
            return;
        }
        if !self.nodes[node].claims.confirm_dispatch(self.now, call) {
            return;
        }
        let sent_at = self.claims_sent.get(&(id, key.clone())).copied().unwrap_or_default();
        if self.now > sent_at + DISPATCH_BOUND {
            self.break_with(format!("call {call} is sent past the bound after its claim"));
        }
        if self.callers.get(&call).is_some_and(|caller| caller.told.is_some()) {
            self.break_with(format!("call {call} is sent though its caller was told"));
        }
        if self.fails(1, 10) {
            let was_refused = self.rng.random_bool(0.5);
            let result =
                if was_refused { DispatchResult::NotSent } else { DispatchResult::Unknown };
            let flight = Flight::Answer { node, id, call, result };
            self.flights.push((self.now, flight));
            return;
        }
        let delay = self.draw_delay(20);
        self.flights.push((self.now + delay, Flight::Arrive { node, id, call, key, fence }));
    }

    /// The desk runs a call.
    fn run_call(&mut self, node: usize, id: u64, call: u64, key: &str, fence: u64) {
        let result = match self.desk.handle_call(key, fence) {
            CallResult::StaleFencingToken => DispatchResult::FencingTokenRejected,
            CallResult::Executed(body) => {
                self.note_run(call, key);
                let is_lost = self.fails(1, 20);
                if is_lost {
                    DispatchResult::Unknown
                } else {
                    let content_type = "text/plain".to_owned();
                    DispatchResult::Answered { status: 200, content_type, body }
                }
            }
        };
        let slow = self.fails(1, 50);
        let delay = if slow { Duration::from_secs(4) } else { self.draw_delay(40) };
        self.flights.push((self.now + delay, Flight::Answer { node, id, call, result }));
    }

    fn note_run(&mut self, call: u64, key: &str) {
        self.report.runs += 1;
        if self.desk.run_count(key) > 1 {
            self.break_with(format!("{key} ran {} times", self.desk.run_count(key)));
        }
        let facts = &self.keys[key];
        if let Some(told) = facts.not_run
            && (call == told || (call < told && !facts.is_sloppy))
        {
            self.break_with(format!("{key} runs by call {call}; call {told} was told not run"));
        }
        if let Some(facts) = self.keys.get_mut(key) {
            facts.runner = Some(call);
        }
        let Some((sequence, position)) = self.keys[key].place.clone() else { return };
        let ran = self.ran.insert(sequence.clone(), position).unwrap_or(0);
        if position != ran + 1 {
            self.break_with(format!("{sequence} runs position {position} after {ran}"));
        }
    }

    fn draw_delay(&mut self, most_ms: u64) -> Duration {
        if self.fails(1, 30) {
            return Duration::from_millis(self.rng.random_range(0..most_ms * 30));
        }
        Duration::from_millis(self.rng.random_range(0..most_ms))
    }

    fn perform(&mut self, node: usize, actions: Vec<Action>) {
        let id = self.nodes[node].id;
        for action in actions {
            match action {
                Action::Append { batch, record } => {
                    self.note_claims(id, &record);
                    let scenario = self.draw_append_scenario();
                    let delay = self.draw_delay(20);
                    let flight =
                        Flight::Append { node, id, batch, record, scenario, is_applied: false };
                    self.flights.push((self.now + delay, flight));
                }
                Action::Dispatch { call, key, fencing_token: fence } => {
                    let delay = self.draw_delay(10);
                    let flight = Flight::Connect { node, id, call, key, fence };
                    self.flights.push((self.now + delay, flight));
                }
                Action::Finish { call, conclusion } => self.tell(call, conclusion),
            }
        }
    }

    fn draw_append_scenario(&mut self) -> AppendScenario {
        if !self.fails(1, 10) {
            return AppendScenario::Confirmed;
        }
        if self.rng.random_bool(0.5) {
            AppendScenario::ResponseLost
        } else {
            AppendScenario::RequestLost
        }
    }

    fn note_claims(&mut self, node: u64, record: &[u8]) {
        let Ok(batch) = ClaimBatch::decode(record) else {
            self.break_with("a node appends a record that cannot be read".to_owned());
            return;
        };
        for entry in batch.entries {
            if let Some(claim_entry::Body::Claim(claim)) = entry.body {
                self.claims_sent.insert((node, claim.key), self.now);
            }
        }
    }

    /// A caller is told.
    fn tell(&mut self, call: u64, conclusion: Conclusion) {
        let Some(caller) = self.callers.get_mut(&call) else {
            self.break_with(format!("call {call} is concluded, and is not known"));
            return;
        };
        if caller.told.replace(conclusion.clone()).is_some() {
            self.break_with(format!("call {call} is concluded twice"));
            return;
        }
        let key = caller.key.clone();
        let body = caller.body;
        self.untold.remove(&call);
        match conclusion {
            Conclusion::Answered { answer, is_replay } => {
                self.told_answer(call, &key, answer, is_replay)
            }
            Conclusion::NotRun { reason, .. } => self.told_not_run(call, &key, reason),
            Conclusion::InDoubt { reason } => {
                *self.report.in_doubt.entry(reason).or_default() += 1;
            }
            Conclusion::Mismatch => {
                self.report.mismatches += 1;
                if self.keys[&key].bodies.iter().all(|other| *other == body) {
                    self.break_with(format!("{key} is refused as another request"));
                }
            }
            Conclusion::KeyExpired => {
                self.report.expired_keys += 1;
                if self.now < self.keys[&key].first_begun + KEY_LIFE {
                    self.break_with(format!("{key} is told expired within its life"));
                }
            }
        }
    }

    fn told_answer(&mut self, call: u64, key: &str, answer: claim::Answer, repeated: bool) {
        let counter = if repeated { &mut self.report.replayed } else { &mut self.report.answered };
        *counter += 1;
        match self.keys[key].runner {
            None => self.break_with(format!("{key} is answered and never ran")),
            Some(runner) if self.callers[&runner].body != self.callers[&call].body => {
                self.break_with(format!("call {call} is told the answer to another request"));
            }
            Some(_) => {}
        }
        if let Some(facts) = self.keys.get_mut(key) {
            let first = facts.answer.get_or_insert_with(|| answer.clone());
            if *first != answer {
                self.break_with(format!("{key} has two answers"));
            }
        }
    }

    /// No call that began before this one may have run or run later.
    fn told_not_run(&mut self, call: u64, key: &str, reason: claim::NotRunReason) {
        *self.report.not_run.entry(reason).or_default() += 1;
        let Some(facts) = self.keys.get_mut(key) else { return };
        facts.not_run = facts.not_run.max(Some(call));
        if let Some(runner) = facts.runner
            && (runner == call || (runner < call && !facts.is_sloppy))
        {
            self.break_with(format!("{key}: call {call} is told not run, call {runner} ran"));
        }
    }

    /// Faults end, time passes, and everything must come to rest.
    fn settle(&mut self) -> Result<(), Violation> {
        self.options.fault_percent = 0;
        self.log.is_down = false;
        for node in 0..self.nodes.len() {
            self.nodes[node].is_paused = false;
            let actions = self.nodes[node].claims.on_log_availability(self.now, true);
            self.perform(node, actions);
        }
        let until = self.now + CALM;
        while self.now < until {
            self.now += Duration::from_millis(10);
            self.serve_all();
            self.check()?;
        }
        self.check_rest();
        self.count_unrun();
        self.check()
    }

    /// Whatever is due arrives, and every node reads the whole log and ticks.
    fn serve_all(&mut self) {
        self.land_all();
        for node in 0..self.nodes.len() {
            let page = self.log.read(self.nodes[node].claims.next_offset(), 1000);
            let actions = self.nodes[node].claims.on_records(self.now, page);
            self.perform(node, actions);
            self.tick(node);
        }
    }

    fn land_all(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.flights).into_iter().partition(|(at, _)| *at <= now);
        self.flights = later;
        for (_, flight) in due {
            self.arrive(flight);
        }
    }

    fn check_rest(&mut self) {
        for node in 0..self.nodes.len() {
            let claims = &self.nodes[node].claims;
            if claims.waiting_calls() > 0 || claims.pending_outcomes() > 0 {
                let description =
                    format!("node {node} does not come to rest: {:?}", claims.counters());
                self.break_with(description);
            }
        }
        if let Some(call) = self.untold.first() {
            let description = format!("call {call} was never concluded");
            self.break_with(description);
        }
    }

    fn count_unrun(&mut self) {
        let unrun = self
            .callers
            .values()
            .filter(|caller| matches!(caller.told, Some(Conclusion::InDoubt { .. })))
            .filter(|caller| self.desk.run_count(&caller.key) == 0)
            .count();
        self.report.in_doubt_without_run = unrun as u64;
    }
}

fn key_name(number: u64) -> String {
    format!("key-{number}")
}
