//! Engine replica: the engine model under the real clock, with load reports, cache events, KV
//! cache exports, orders and faults.

mod faults;
mod order;
mod reports;

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Notify, mpsc, watch};

use crate::cache;
use crate::engine::{self, AttemptId, Counters, Engine, Event, Request, SubmitError, Usage};
use crate::fleet::Instance;
use crate::http;
use crate::text::{self, Answer, BlockHash};

pub use faults::Faults;
pub use order::{Order, StaleFencingToken};
pub use reports::{CacheEvent, LateWork, LoadReport};

/// Load reports retained, so that an old one can be shown; see [`Faults::load_lag_ms`].
const MAX_REPORTS: usize = 1_200;
/// Cache events retained.
const MAX_CACHE_EVENTS: usize = 4_096;
/// KV cache exports retained.
const MAX_EXPORTS: usize = 256;

/// Exported KV cache: which blocks it covers, without their content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvExport {
    /// Tokens covered.
    pub tokens: u32,
    /// Hashes of the complete blocks covered.
    pub blocks: Vec<BlockHash>,
}

/// Progress of an attempt, as sent to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The tokens `from..to` of the answer were generated.
    Tokens {
        /// Index of the first token.
        from: u32,
        /// Index after the last token.
        to: u32,
    },
    /// The answer is complete.
    Finished(Usage),
}

/// Settings of a replica. Of these, [`Faults`] can change the speed later.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Entry of the replica in the instance list.
    pub instance: Instance,
    /// The engine crashes on a prompt that contains this text; empty for none.
    pub poison: String,
    /// Whether orders with a lower fencing token than an earlier one are refused.
    pub checks_fencing: bool,
    /// Model served before the first order.
    pub model: String,
    /// Seed that decides, with the instance's number, which cache events are never shown.
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
    progress_senders: HashMap<AttemptId, mpsc::UnboundedSender<Progress>>,
    attempts: HashMap<String, Attempt>,
    next_id: AttemptId,
    reports: VecDeque<(u64, LoadReport)>,
    next_report: u64,
    cache_events: VecDeque<CacheEvent>,
    next_cache_event: u64,
    exports: VecDeque<(String, KvExport)>,
    next_export: u64,
    current_order: Order,
    highest_fencing_token: u64,
    order_count: u64,
    is_loading: bool,
    noticed_at: Option<Instant>,
    leave_at_ms: u64,
    late_work: LateWork,
    random: ChaCha8Rng,
}

/// One engine replica.
pub struct Replica {
    /// Settings that the replica was created with.
    pub settings: Settings,
    state: Mutex<ReplicaState>,
    changed: Notify,
    started_at: Instant,
    is_closed: watch::Sender<bool>,
}

/// Attempt to start on a replica.
#[derive(Debug, Clone)]
pub struct NewAttempt {
    /// Name from the header `X-Attempt`; empty without the header.
    pub name: String,
    /// Text of the prompt.
    pub prompt: String,
    /// Start of the answer that earlier attempts generated.
    pub resume_text: String,
    /// Number of tokens in `resume_text`.
    pub resume_tokens: u32,
    /// The whole answer.
    pub answer: Answer,
    /// KV cache to use for the start of its context.
    pub import: Option<KvExport>,
    /// Attempts with a lower value leave the queue first.
    pub priority: i32,
}

/// Why an attempt was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum StartError {
    /// The replica accepts no attempts at present.
    #[display("refusing, leaving or loading a model")]
    Unavailable,
    /// The engine refused the attempt.
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
            progress_senders: HashMap::new(),
            attempts: HashMap::new(),
            next_id: 1,
            reports: VecDeque::new(),
            next_report: 1,
            cache_events: VecDeque::new(),
            next_cache_event: 1,
            exports: VecDeque::new(),
            next_export: 1,
            current_order: Order { model: settings.model.clone(), ..Order::default() },
            highest_fencing_token: 0,
            order_count: 0,
            is_loading: false,
            noticed_at: None,
            leave_at_ms: 0,
            late_work: LateWork::default(),
            random: ChaCha8Rng::seed_from_u64(settings.seed ^ settings.instance.id),
        };
        Replica {
            settings,
            state: Mutex::new(state),
            changed: Notify::new(),
            started_at: Instant::now(),
            is_closed: watch::Sender::new(false),
        }
    }

    /// Runs the engine; returns true after a crash and false after [`Replica::close`].
    pub async fn run_engine(&self) -> bool {
        let mut is_closed = self.is_closed.subscribe();
        loop {
            if *is_closed.borrow() {
                return false;
            }
            http::wait_while(|| self.faults().frozen && !*self.is_closed.borrow()).await;
            let (next, has_crashed) = self.advance_engine();
            if has_crashed {
                return true;
            }
            let next = next.map(|at| tokio::time::Instant::from_std(self.started_at + at));
            tokio::select! {
                () = sleep_until(next) => {}
                () = self.changed.notified() => {}
                _ = is_closed.changed() => {}
            }
        }
    }

    /// Restarts the engine after a crash, with an empty cache.
    pub fn restart(&self) {
        let mut state = self.lock();
        state.engine.restart();
        state.progress_senders.clear();
        state.attempts.clear();
        state.exports.clear();
    }

    /// Ends the replica; it cannot be started again.
    pub fn close(&self) {
        self.is_closed.send_replace(true);
    }

    /// Records a notice: the replica will be reclaimed at `leave_at_ms`, in milliseconds since the
    /// Unix epoch.
    pub fn give_notice(&self, leave_at_ms: u64) {
        let mut state = self.lock();
        state.noticed_at.get_or_insert_with(Instant::now);
        state.leave_at_ms = leave_at_ms;
    }

    /// Starts an attempt. Its progress is sent to the channel, which closes on a crash or
    /// cancellation.
    pub fn start(
        &self,
        start: NewAttempt,
    ) -> Result<(AttemptId, mpsc::UnboundedReceiver<Progress>), StartError> {
        let mut state = self.lock();
        if let Some(noticed_at) = state.noticed_at {
            state.late_work.requests += 1;
            state.late_work.last_after_ms = noticed_at.elapsed().as_millis() as u64;
        }
        if state.faults.refuse || state.is_leaving() || state.is_loading {
            return Err(StartError::Unavailable);
        }
        if state.attempts.contains_key(&start.name) {
            return Err(StartError::Engine(SubmitError::Duplicate));
        }
        let id = state.next_id;
        state.next_id += 1;
        let engine_request = self.engine_request(id, &start);
        let now = self.started_at.elapsed();
        state.engine.submit(now, engine_request).map_err(StartError::Engine)?;
        let (sender, receiver) = mpsc::unbounded_channel();
        state.progress_senders.insert(id, sender);
        if !start.name.is_empty() {
            let attempt = Attempt { id, prompt: start.prompt, answer: start.answer };
            state.attempts.insert(start.name, attempt);
        }
        drop(state);
        self.changed.notify_one();
        Ok((id, receiver))
    }

    /// Cancels an attempt; has no effect if it has ended.
    pub fn cancel(&self, id: AttemptId) {
        let now = self.started_at.elapsed();
        let mut state = self.lock();
        state.engine.cancel(now, id);
        state.progress_senders.remove(&id);
        state.attempts.retain(|_, attempt| attempt.id != id);
        drop(state);
        self.changed.notify_one();
    }

    /// Cancels the attempt of this name; has no effect if it has ended.
    pub fn cancel_named(&self, name: &str) {
        let id = self.lock().attempts.get(name).map(|attempt| attempt.id);
        if let Some(id) = id {
            self.cancel(id);
        }
    }

    /// The newest load report that is at least `load_lag_ms` old, else the oldest retained one. Its
    /// fields `leaving` and `leave_in_ms` do not lag.
    pub fn load_report(&self) -> LoadReport {
        self.take_load_report();
        let state = self.lock();
        let now_ms = http::unix_ms();
        let latest = now_ms.saturating_sub(state.faults.load_lag_ms);
        let mut reports = state.reports.iter().rev();
        let found = reports.find(|(at_ms, _)| *at_ms <= latest).or(state.reports.front());
        let mut report =
            found.map(|(_, report)| report.clone()).expect("a load report was just recorded");
        report.leaving = state.is_leaving();
        report.leave_in_ms = state.leave_at_ms.saturating_sub(now_ms);
        report
    }

    /// Records a load report of the present time.
    pub fn take_load_report(&self) {
        let mut state = self.lock();
        let load = state.engine.load();
        let report = LoadReport {
            sequence: state.next_report,
            running: load.running,
            waiting: load.waiting,
            kv_used_percent: load.kv_used_percent,
            queued_tokens: load.queued_tokens,
            tokens_per_s: load.tokens_per_s,
            leaving: state.is_leaving(),
            leave_in_ms: 0,
            model: state.current_order.model.clone(),
            adapters: state.current_order.adapters.clone(),
            role: state.current_order.role.clone(),
            version: state.current_order.version,
        };
        state.next_report += 1;
        state.reports.push_back((http::unix_ms(), report));
        if state.reports.len() > MAX_REPORTS {
            state.reports.pop_front();
        }
    }

    /// Cache events with a sequence above `after` that are old enough to be shown, and the value
    /// of `after` for the next call, which passes over the events that are never shown.
    pub fn cache_events(&self, after: u64) -> (Vec<CacheEvent>, u64) {
        let state = self.lock();
        let latest = http::unix_ms().saturating_sub(state.faults.cache_event_lag_ms);
        let is_visible = |e: &&CacheEvent| e.sequence > after && e.at_ms <= latest;
        let visible = || state.cache_events.iter().filter(is_visible);
        let next = visible().next_back().map_or(after, |event| event.sequence);
        (visible().filter(|event| !event.is_gap).cloned().collect(), next)
    }

    /// Accepts an order and returns its number, from 1, and whether it changes the model. If so,
    /// attempts are refused until [`Replica::finish_loading`].
    pub fn order(&self, order: Order) -> Result<(u64, bool), StaleFencingToken> {
        let mut state = self.lock();
        if self.settings.checks_fencing && order.fencing_token < state.highest_fencing_token {
            return Err(StaleFencingToken);
        }
        state.highest_fencing_token = state.highest_fencing_token.max(order.fencing_token);
        state.order_count += 1;
        let changes_model = order.model != state.current_order.model;
        if changes_model {
            state.is_loading = true;
        }
        state.current_order = order;
        Ok((state.order_count, changes_model))
    }

    /// Accepts attempts again after a model was loaded.
    pub fn finish_loading(&self) {
        self.lock().is_loading = false;
    }

    /// Exports the KV cache of a named attempt and returns its handle; `None` unless the attempt is
    /// running.
    pub fn export(&self, name: &str) -> Option<(String, KvExport)> {
        let now = self.started_at.elapsed();
        let mut state = self.lock();
        let id = state.attempts.get(name)?.id;
        let extent = state.engine.export(now, id)?;
        let attempt = &state.attempts[name];
        let mut text_so_far = attempt.prompt.clone();
        text_so_far.push_str(&attempt.answer.text(0, extent.answer_tokens));
        let mut blocks = text::block_hashes(text_so_far.as_bytes());
        let block_tokens = (text::BLOCK_BYTES / text::TOKEN_BYTES) as u32;
        blocks.truncate((extent.tokens / block_tokens) as usize);
        let export = KvExport { tokens: extent.tokens, blocks };
        let handle = format!("{}-{}", self.settings.instance.id, state.next_export);
        state.next_export += 1;
        state.exports.push_back((handle.clone(), export.clone()));
        if state.exports.len() > MAX_EXPORTS {
            state.exports.pop_front();
        }
        Some((handle, export))
    }

    /// The export with this handle, if it is retained.
    pub fn find_export(&self, handle: &str) -> Option<KvExport> {
        let state = self.lock();
        state.exports.iter().find(|(h, _)| h == handle).map(|(_, export)| export.clone())
    }

    /// Totals of the engine since the replica was created.
    pub fn counters(&self) -> Counters {
        self.lock().engine.counters()
    }

    /// Attempts that were sent to the replica after its notice.
    pub fn late_work(&self) -> LateWork {
        self.lock().late_work
    }

    /// Present faults.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        let now = self.started_at.elapsed();
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

    fn engine_request(&self, id: AttemptId, start: &NewAttempt) -> Request {
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

    /// Advances the engine to the present and delivers its events. Returns when to call this
    /// again, as a time since `started_at`, and whether the engine has crashed.
    fn advance_engine(&self) -> (Option<Duration>, bool) {
        let now = self.started_at.elapsed();
        let mut state = self.lock();
        for event in state.engine.advance(now) {
            state.deliver_event(event);
        }
        for change in state.engine.take_cache_changes() {
            state.publish_cache_change(change);
        }
        (state.engine.next_token_at(), state.engine.is_down())
    }

    fn lock(&self) -> MutexGuard<'_, ReplicaState> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }
}

impl ReplicaState {
    fn is_leaving(&self) -> bool {
        self.faults.leaving || self.noticed_at.is_some()
    }

    fn deliver_event(&mut self, event: Event) {
        let (id, progress) = match event {
            Event::Tokens { id, from, to, .. } => (id, Progress::Tokens { from, to }),
            Event::Finished { id, usage, .. } => (id, Progress::Finished(usage)),
            Event::FirstToken { .. } => return,
            Event::Crashed { .. } => {
                self.progress_senders.clear();
                self.attempts.clear();
                return;
            }
        };
        if let Some(sender) = self.progress_senders.get(&id) {
            let _ = sender.send(progress);
        }
    }

    fn publish_cache_change(&mut self, change: cache::Change) {
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

/// Number of leading tokens that an export covers of a context with these blocks.
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
