//! One engine replica: the engine model driven by the real clock, with its attempts, load
//! reports, cache events, exports and orders.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, mpsc, watch};

use crate::cache;
use crate::engine::{self, AttemptId, Counters, Engine, Event, Request, SubmitError, Usage};
use crate::fleet::Instance;
use crate::http;
use crate::text::{self, Answer, BlockHash};

/// Load reports kept for callers that see them late.
const MAX_REPORTS: usize = 1_200;
/// Cache events kept.
const MAX_CACHE_EVENTS: usize = 4_096;
/// Exports kept.
const MAX_EXPORTS: usize = 256;

/// Faults of one engine, changeable while it runs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Age of the load report, in milliseconds.
    pub load_lag_ms: u64,
    /// Age at which cache events show, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// Share of cache events that never show, in percent.
    pub cache_event_gap_percent: u32,
    /// Duration of a step before its sequences are counted, in microseconds.
    pub token_interval_us: u64,
    /// Duration that each prefilled token adds to a step, in microseconds.
    pub prefill_us_per_token: u64,
    /// Accepts and answers nothing.
    pub frozen: bool,
    /// Leaving, whatever the platform says.
    pub leaving: bool,
    /// Answers 503.
    pub refuse: bool,
}

impl Default for Faults {
    fn default() -> Faults {
        let settings = engine::Settings::default();
        Faults {
            load_lag_ms: 300,
            cache_event_lag_ms: 500,
            cache_event_gap_percent: 2,
            token_interval_us: settings.step_base_us,
            prefill_us_per_token: settings.prefill_us_per_token,
            frozen: false,
            leaving: false,
            refuse: false,
        }
    }
}

/// What an engine is ordered to serve.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Order {
    /// Fencing number of the one who orders.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// Name of the one who orders.
    pub holder: String,
    /// Model to load.
    pub model: String,
    /// Adapters to load.
    pub adapters: Vec<String>,
    /// Role to take.
    pub role: String,
    /// Version of the release that says so.
    pub version: u64,
}

/// Order was refused: its fencing number is old.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("old fencing number")]
pub struct StaleFencingToken;

/// Load report.
#[derive(Debug, Clone, Serialize)]
pub struct LoadReport {
    /// Number of the report.
    pub sequence: u64,
    /// Attempts in the batch.
    pub running: u32,
    /// Attempts that wait.
    pub waiting: u32,
    /// Memory reserved by running attempts, in percent.
    pub kv_used_percent: u32,
    /// Tokens still to prefill or generate.
    pub queued_tokens: u64,
    /// Tokens generated a second.
    pub tokens_per_s: f64,
    /// Whether the replica is leaving.
    pub leaving: bool,
    /// Time until it leaves, in milliseconds.
    pub leave_in_ms: u64,
    /// Model that it serves.
    pub model: String,
    /// Adapters that it serves.
    pub adapters: Vec<String>,
    /// Its role.
    pub role: String,
    /// Version of the release behind its last order.
    pub version: u64,
}

/// Cache event as it is published.
#[derive(Debug, Clone, Serialize)]
pub struct CacheEvent {
    /// Number of the event.
    pub sequence: u64,
    /// Blocks added.
    pub stored: Vec<BlockHash>,
    /// Blocks evicted.
    pub removed: Vec<BlockHash>,
    #[serde(skip)]
    at_ms: u64,
    #[serde(skip)]
    is_gap: bool,
}

/// Work that came though the replica was leaving.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct LateWork {
    /// Attempts that came after the notice.
    pub requests: u64,
    /// Time from the notice to the last of them, in milliseconds.
    pub last_after_ms: u64,
}

/// Exported KV cache: what it covers, without the content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvExport {
    /// Tokens covered.
    pub tokens: u32,
    /// Whole blocks covered.
    pub blocks: Vec<BlockHash>,
}

/// Progress of an attempt, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The tokens `from..to` of the answer are there.
    Tokens {
        /// First token.
        from: u32,
        /// One past the last token.
        to: u32,
    },
    /// The answer is complete.
    Finished(Usage),
}

/// Settings that do not change while the replica runs.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The replica as the platform lists it.
    pub instance: Instance,
    /// Text that crashes the engine where a prompt holds it.
    pub poison: String,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Model served before any order.
    pub model: String,
    /// Seed of the gaps in the cache events.
    pub seed: u64,
    /// Speed and memory of the engine.
    pub engine: engine::Settings,
}

struct Attempt {
    id: AttemptId,
    prompt: String,
    answer: Answer,
}

struct ReplicaState {
    engine: Engine,
    faults: Faults,
    streams: HashMap<AttemptId, mpsc::UnboundedSender<Progress>>,
    attempts: HashMap<String, Attempt>,
    next_id: AttemptId,
    reports: VecDeque<(u64, LoadReport)>,
    next_report: u64,
    cache_events: VecDeque<CacheEvent>,
    next_cache_event: u64,
    exports: VecDeque<(String, KvExport)>,
    next_export: u64,
    target: Order,
    highest_fencing_token: u64,
    orders: u64,
    is_loading: bool,
    noticed_at: Option<Instant>,
    leave_at_ms: u64,
    late: LateWork,
    random: ChaCha8Rng,
}

/// One engine replica.
pub struct Replica {
    /// Settings that do not change.
    pub settings: Settings,
    state: Mutex<ReplicaState>,
    changed: Notify,
    origin: Instant,
    closed: watch::Sender<bool>,
}

/// Attempt to start on a replica.
#[derive(Debug, Clone)]
pub struct NewAttempt {
    /// Name from the header `X-Attempt`; empty if there is none.
    pub name: String,
    /// Text of the prompt.
    pub prompt: String,
    /// Answer so far.
    pub resume_text: String,
    /// Its tokens.
    pub resume_tokens: u32,
    /// The whole answer.
    pub answer: Answer,
    /// KV cache imported for it.
    pub import: Option<KvExport>,
    /// Lower runs first.
    pub priority: i32,
}

/// Why an attempt was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum StartError {
    /// The replica takes no work now.
    #[display("refusing, leaving or loading a model")]
    Unavailable,
    /// The engine refused.
    #[display("{_0}")]
    Engine(#[error(not(source))] SubmitError),
}

impl Replica {
    /// An idle replica.
    pub fn new(settings: Settings) -> Replica {
        let faults = Faults {
            token_interval_us: settings.engine.step_base_us,
            prefill_us_per_token: settings.engine.prefill_us_per_token,
            ..Faults::default()
        };
        let state = ReplicaState {
            engine: Engine::new(settings.engine.clone()),
            faults,
            streams: HashMap::new(),
            attempts: HashMap::new(),
            next_id: 1,
            reports: VecDeque::new(),
            next_report: 1,
            cache_events: VecDeque::new(),
            next_cache_event: 1,
            exports: VecDeque::new(),
            next_export: 1,
            target: Order { model: settings.model.clone(), ..Order::default() },
            highest_fencing_token: 0,
            orders: 0,
            is_loading: false,
            noticed_at: None,
            leave_at_ms: 0,
            late: LateWork::default(),
            random: ChaCha8Rng::seed_from_u64(settings.seed ^ settings.instance.id),
        };
        Replica {
            settings,
            state: Mutex::new(state),
            changed: Notify::new(),
            origin: Instant::now(),
            closed: watch::Sender::new(false),
        }
    }

    /// Runs the engine until it crashes (true) or the replica is closed (false).
    pub async fn run_engine(&self) -> bool {
        let mut closed = self.closed.subscribe();
        loop {
            if *closed.borrow() {
                return false;
            }
            http::wait_while(|| self.faults().frozen && !*self.closed.borrow()).await;
            let (next, is_down) = self.step();
            if is_down {
                return true;
            }
            let next = next.map(|at| tokio::time::Instant::from_std(self.origin + at));
            tokio::select! {
                () = sleep_until(next) => {}
                () = self.changed.notified() => {}
                _ = closed.changed() => {}
            }
        }
    }

    /// Starts again after a crash, with an empty cache.
    pub fn restart(&self) {
        let mut state = self.lock();
        state.engine.restart();
        state.streams.clear();
        state.attempts.clear();
        state.exports.clear();
    }

    /// Ends the replica for good.
    pub fn close(&self) {
        self.closed.send_replace(true);
    }

    /// Takes in a notice that ends at `leave_at_ms` since the Unix epoch.
    pub fn give_notice(&self, leave_at_ms: u64) {
        let mut state = self.lock();
        state.noticed_at.get_or_insert_with(Instant::now);
        state.leave_at_ms = leave_at_ms;
    }

    /// Starts an attempt; its progress comes through the channel, which closes on a crash.
    pub fn start(
        &self,
        start: NewAttempt,
    ) -> Result<(AttemptId, mpsc::UnboundedReceiver<Progress>), StartError> {
        let mut state = self.lock();
        if let Some(noticed_at) = state.noticed_at {
            state.late.requests += 1;
            state.late.last_after_ms = noticed_at.elapsed().as_millis() as u64;
        }
        if state.faults.refuse || state.is_leaving() || state.is_loading {
            return Err(StartError::Unavailable);
        }
        if state.attempts.contains_key(&start.name) {
            return Err(StartError::Engine(SubmitError::Duplicate));
        }
        let id = state.next_id;
        state.next_id += 1;
        let request = self.request(id, &start);
        let now = self.origin.elapsed();
        state.engine.submit(now, request).map_err(StartError::Engine)?;
        let (sender, receiver) = mpsc::unbounded_channel();
        state.streams.insert(id, sender);
        if !start.name.is_empty() {
            let attempt = Attempt { id, prompt: start.prompt, answer: start.answer };
            state.attempts.insert(start.name, attempt);
        }
        drop(state);
        self.changed.notify_one();
        Ok((id, receiver))
    }

    /// Drops an attempt; nothing happens if it has ended.
    pub fn cancel(&self, id: AttemptId) {
        let now = self.origin.elapsed();
        let mut state = self.lock();
        state.engine.cancel(now, id);
        state.streams.remove(&id);
        state.attempts.retain(|_, attempt| attempt.id != id);
        drop(state);
        self.changed.notify_one();
    }

    /// Drops the attempt of that name; nothing happens if it has ended.
    pub fn cancel_named(&self, name: &str) {
        let id = self.lock().attempts.get(name).map(|attempt| attempt.id);
        if let Some(id) = id {
            self.cancel(id);
        }
    }

    /// The newest load report that is old enough; only its `leaving` fields are fresh.
    pub fn load_report(&self) -> LoadReport {
        self.take_load_report();
        let state = self.lock();
        let now_ms = http::unix_ms();
        let latest = now_ms.saturating_sub(state.faults.load_lag_ms);
        let mut reports = state.reports.iter().rev();
        let found = reports.find(|(at_ms, _)| *at_ms <= latest).or(state.reports.front());
        let mut load_report =
            found.map(|(_, load_report)| load_report.clone()).expect("one was just taken");
        load_report.leaving = state.is_leaving();
        load_report.leave_in_ms = state.leave_at_ms.saturating_sub(now_ms);
        load_report
    }

    /// Takes a load report.
    pub fn take_load_report(&self) {
        let mut state = self.lock();
        let load = state.engine.load();
        let load_report = LoadReport {
            sequence: state.next_report,
            running: load.running,
            waiting: load.waiting,
            kv_used_percent: load.kv_used_percent,
            queued_tokens: load.queued_tokens,
            tokens_per_s: load.tokens_per_s,
            leaving: state.is_leaving(),
            leave_in_ms: 0,
            model: state.target.model.clone(),
            adapters: state.target.adapters.clone(),
            role: state.target.role.clone(),
            version: state.target.version,
        };
        state.next_report += 1;
        state.reports.push_back((http::unix_ms(), load_report));
        if state.reports.len() > MAX_REPORTS {
            state.reports.pop_front();
        }
    }

    /// Cache events after the sequence `after` that show by now, and the sequence to ask after
    /// next.
    pub fn cache_events(&self, after: u64) -> (Vec<CacheEvent>, u64) {
        let state = self.lock();
        let latest = http::unix_ms().saturating_sub(state.faults.cache_event_lag_ms);
        let shows = |e: &&CacheEvent| e.sequence > after && e.at_ms <= latest;
        let shown = || state.cache_events.iter().filter(shows);
        let next = shown().next_back().map_or(after, |event| event.sequence);
        (shown().filter(|event| !event.is_gap).cloned().collect(), next)
    }

    /// Takes an order; true if it changes the model, which is then to be loaded.
    pub fn order(&self, order: Order) -> Result<(u64, bool), StaleFencingToken> {
        let mut state = self.lock();
        if self.settings.checks_fencing && order.fencing_token < state.highest_fencing_token {
            return Err(StaleFencingToken);
        }
        state.highest_fencing_token = state.highest_fencing_token.max(order.fencing_token);
        state.orders += 1;
        let changes_model = order.model != state.target.model;
        if changes_model {
            state.is_loading = true;
        }
        state.target = order;
        Ok((state.orders, changes_model))
    }

    /// Goes on with the model that was loaded, and an empty cache.
    pub fn finish_loading(&self) {
        self.lock().is_loading = false;
    }

    /// Exports the KV cache of a named attempt.
    pub fn export(&self, name: &str) -> Option<(String, KvExport)> {
        let now = self.origin.elapsed();
        let mut state = self.lock();
        let id = state.attempts.get(name)?.id;
        let found = state.engine.export(now, id)?;
        let attempt = &state.attempts[name];
        let mut covered = attempt.prompt.clone();
        covered.push_str(&attempt.answer.text(0, found.answer_tokens));
        let mut blocks = text::block_hashes(covered.as_bytes());
        let block_tokens = (text::BLOCK_BYTES / text::TOKEN_BYTES) as u32;
        blocks.truncate((found.tokens / block_tokens) as usize);
        let export = KvExport { tokens: found.tokens, blocks };
        let handle = format!("{}-{}", self.settings.instance.id, state.next_export);
        state.next_export += 1;
        state.exports.push_back((handle.clone(), export.clone()));
        if state.exports.len() > MAX_EXPORTS {
            state.exports.pop_front();
        }
        Some((handle, export))
    }

    /// An export that is still kept.
    pub fn find_export(&self, handle: &str) -> Option<KvExport> {
        let state = self.lock();
        state.exports.iter().find(|(h, _)| h == handle).map(|(_, export)| export.clone())
    }

    /// Totals since the start.
    pub fn counters(&self) -> Counters {
        self.lock().engine.counters()
    }

    /// Work that came after the notice.
    pub fn late_work(&self) -> LateWork {
        self.lock().late
    }

    /// Faults in force.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Puts faults in force.
    pub fn set_faults(&self, faults: Faults) {
        let now = self.origin.elapsed();
        let mut state = self.lock();
        let settings = engine::Settings {
            step_base_us: faults.token_interval_us,
            prefill_us_per_token: faults.prefill_us_per_token,
            ..state.engine.settings().clone()
        };
        if settings != *state.engine.settings() {
            state.engine.set_settings(now, settings);
        }
        state.faults = faults;
        drop(state);
        self.changed.notify_one();
    }

    fn request(&self, id: AttemptId, start: &NewAttempt) -> Request {
        let context = [start.prompt.as_str(), &start.resume_text].concat();
        let blocks = text::block_hashes(context.as_bytes());
        let poison = &self.settings.poison;
        Request {
            id,
            imported_tokens: start.import.as_ref().map_or(0, |e| imported_tokens(e, &blocks)),
            blocks,
            prompt_tokens: text::token_count(&start.prompt),
            resume_tokens: start.resume_tokens,
            answer_tokens: start.answer.tokens,
            computed_before: start.resume_tokens > 0,
            priority: start.priority,
            is_poison: !poison.is_empty() && start.prompt.contains(poison),
        }
    }

    /// Advances the engine to now and delivers what happened. Returns when to look again and
    /// whether the engine crashed.
    fn step(&self) -> (Option<Duration>, bool) {
        let now = self.origin.elapsed();
        let mut state = self.lock();
        for event in state.engine.advance(now) {
            state.deliver(event);
        }
        for change in state.engine.take_cache_changes() {
            state.publish(change);
        }
        (state.engine.next_token_at(), state.engine.is_down())
    }

    fn lock(&self) -> MutexGuard<'_, ReplicaState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl ReplicaState {
    fn is_leaving(&self) -> bool {
        self.faults.leaving || self.noticed_at.is_some()
    }

    fn deliver(&mut self, event: Event) {
        let (id, progress) = match event {
            Event::Tokens { id, from, to, .. } => (id, Progress::Tokens { from, to }),
            Event::Finished { id, usage, .. } => (id, Progress::Finished(usage)),
            Event::FirstToken { .. } => return,
            Event::Crashed { .. } => {
                self.streams.clear();
                self.attempts.clear();
                return;
            }
        };
        if let Some(stream) = self.streams.get(&id) {
            let _ = stream.send(progress);
        }
    }

    fn publish(&mut self, change: cache::Change) {
        let event = CacheEvent {
            sequence: self.next_cache_event,
            stored: change.stored,
            removed: change.removed,
            at_ms: http::unix_ms(),
            is_gap: self.random.random_range(0..100) < self.faults.cache_event_gap_percent,
        };
        self.next_cache_event += 1;
        self.cache_events.push_back(event);
        if self.cache_events.len() > MAX_CACHE_EVENTS {
            self.cache_events.pop_front();
        }
    }
}

/// Leading tokens of a context with these blocks that an export covers.
fn imported_tokens(export: &KvExport, blocks: &[BlockHash]) -> u32 {
    let same = export.blocks.iter().zip(blocks).take_while(|(a, b)| a == b).count();
    (same * text::BLOCK_BYTES / text::TOKEN_BYTES) as u32
}

async fn sleep_until(at: Option<tokio::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
