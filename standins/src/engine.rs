//! Model of one engine without I/O: continuous batching, chunked prefill, a prefix cache with
//! limited memory, priorities and cancellation.
//!
//! The engine works in steps. A step gives each decoding sequence one token and prefills a
//! bounded number of context tokens, and lasts longer the more it does. Runs of equal steps
//! are taken as one, so that the cost grows with requests rather than tokens:
//! [`Engine::next_event_at`] is the end of the run, [`Engine::next_token_at`] the end of the
//! step. All times are durations since one origin that the caller chooses; calls must come in
//! the order of their times.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::cache::{self, PrefixCache};
use crate::text::{self, BlockHash};

/// Number of an attempt, chosen by the caller and unique on one engine.
pub type AttemptId = u64;

/// Speed and memory of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Sequences in one batch.
    pub max_batch: usize,
    /// Requests that may wait; more are refused.
    pub max_waiting: usize,
    /// Duration of a step before its sequences are counted, in microseconds.
    pub step_base_us: u64,
    /// Duration that each decoding sequence adds to a step, in microseconds.
    pub step_per_sequence_us: u64,
    /// Duration that each prefilled token adds to a step, in microseconds.
    pub prefill_us_per_token: u64,
    /// Tokens prefilled in one step.
    pub prefill_chunk_tokens: u32,
    /// Memory for running sequences and cached blocks, in blocks of 64 bytes of text.
    pub kv_blocks: usize,
    /// Whether changes of the cache are kept for [`Engine::take_cache_changes`].
    pub publish_cache_changes: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            max_batch: 32,
            max_waiting: 256,
            step_base_us: 12_000,
            step_per_sequence_us: 400,
            prefill_us_per_token: 60,
            prefill_chunk_tokens: 512,
            kv_blocks: 16_384,
            publish_cache_changes: true,
        }
    }
}

/// One attempt at a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Request {
    /// Number of the attempt.
    pub id: AttemptId,
    /// Hashes of the whole blocks of the prompt and the text to resume after.
    pub blocks: Vec<BlockHash>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer that an earlier attempt has given.
    pub resume_tokens: u32,
    /// Tokens of the whole answer, with those resumed after.
    pub answer_tokens: u32,
    /// Leading tokens of prompt and resumed text whose KV cache was imported.
    pub imported_tokens: u32,
    /// Whether an earlier attempt has computed the prompt already.
    pub computed_before: bool,
    /// Lower runs first.
    pub priority: i32,
    /// Whether running it crashes the engine.
    pub is_poison: bool,
}

/// Why an attempt was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum SubmitError {
    /// Too many requests wait.
    #[display("too many requests wait")]
    Full,
    /// The engine crashed and has not been restarted.
    #[display("engine is down")]
    Down,
    /// The attempt's number is in use.
    #[display("attempt is known already")]
    Duplicate,
}

/// Token counts of a finished attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the whole answer, with those resumed after.
    pub completion_tokens: u32,
    /// Context tokens that were cached or imported.
    pub cached_tokens: u32,
    /// Context tokens that were computed.
    pub computed_tokens: u32,
}

/// What happened in the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An attempt's first token is there; its `Tokens` follow.
    FirstToken {
        /// The attempt.
        id: AttemptId,
        /// When.
        at: Duration,
        /// Context tokens that were cached or imported.
        cached_tokens: u32,
    },
    /// The tokens `from..to` of the whole answer are there.
    Tokens {
        /// The attempt.
        id: AttemptId,
        /// When the last of them came.
        at: Duration,
        /// First token.
        from: u32,
        /// One past the last token.
        to: u32,
    },
    /// An attempt ended.
    Finished {
        /// The attempt.
        id: AttemptId,
        /// When.
        at: Duration,
        /// Its token counts.
        usage: Usage,
    },
    /// The engine crashed; all its attempts and its cache are lost.
    Crashed {
        /// The attempt that crashed it.
        id: AttemptId,
        /// When.
        at: Duration,
        /// The other attempts that were lost.
        lost: Vec<AttemptId>,
    },
}

/// Totals since the start, kept over crashes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Context tokens computed, those computed again included.
    pub computed_prompt_tokens: u64,
    /// Context tokens found in the cache or imported.
    pub cached_tokens: u64,
    /// Context tokens computed though an earlier attempt had computed them.
    pub recomputed_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
    /// Attempts finished.
    pub finished: u64,
    /// Attempts cancelled.
    pub cancelled: u64,
    /// Crashes.
    pub crashes: u64,
}

/// Load at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Attempts in the batch.
    pub running: u32,
    /// Attempts that wait.
    pub waiting: u32,
    /// Memory reserved by running attempts, in percent.
    pub kv_used_percent: u32,
    /// Tokens still to prefill or generate, over all attempts.
    pub queued_tokens: u64,
    /// Tokens generated a second at the present batch.
    pub tokens_per_s: f64,
}

/// KV cache of an attempt at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KvExtent {
    /// Context tokens prefilled and tokens generated so far.
    pub tokens: u32,
    /// Tokens of the answer so far, with those resumed after.
    pub answer_tokens: u32,
}

#[derive(Debug)]
struct Sequence {
    request: Request,
    cached_tokens: u32,
    prefill_left: u32,
    chunk: u32,
    generated: u32,
    reserved_blocks: usize,
}

impl Sequence {
    fn context_tokens(&self) -> u32 {
        self.request.prompt_tokens + self.request.resume_tokens
    }

    fn answer_left(&self) -> u32 {
        self.request.answer_tokens.saturating_sub(self.generated)
    }

    fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.request.prompt_tokens,
            completion_tokens: self.generated,
            cached_tokens: self.cached_tokens,
            computed_tokens: self.context_tokens() - self.cached_tokens,
        }
    }
}

/// A number of equal steps.
#[derive(Debug, Clone, Copy)]
struct Run {
    started: Duration,
    step: Duration,
    steps: u32,
    done: u32,
}

impl Run {
    fn after(&self, steps: u32) -> Duration {
        self.started + self.step * steps
    }
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    settings: Settings,
    waiting: BTreeMap<(i32, u64), Sequence>,
    running: Vec<Sequence>,
    cache: PrefixCache,
    changes: Vec<cache::Change>,
    run: Option<Run>,
    submitted: u64,
    reserved_blocks: usize,
    down: bool,
    counters: Counters,
    events: Vec<Event>,
}

impl Engine {
    /// An idle engine with an empty cache.
    pub fn new(settings: Settings) -> Engine {
        Engine {
            settings,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            cache: PrefixCache::default(),
            changes: Vec::new(),
            run: None,
            submitted: 0,
            reserved_blocks: 0,
            down: false,
            counters: Counters::default(),
            events: Vec::new(),
        }
    }

    /// Speed and memory in use.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Changes speed and memory from the next step on.
    pub fn set_settings(&mut self, now: Duration, settings: Settings) {
        self.settle(now);
        self.settings = settings;
        self.end_run_early();
    }

    /// Takes an attempt at `now`.
    pub fn submit(&mut self, now: Duration, request: Request) -> Result<(), SubmitError> {
        self.settle(now);
        if self.down {
            return Err(SubmitError::Down);
        }
        if self.find(request.id).is_some() {
            return Err(SubmitError::Duplicate);
        }
        if self.waiting.len() >= self.settings.max_waiting {
            return Err(SubmitError::Full);
        }
        self.submitted += 1;
        let key = (request.priority, self.submitted);
        let generated = request.resume_tokens;
        let left = request.answer_tokens.saturating_sub(generated);
        let tokens = request.prompt_tokens + request.resume_tokens + left;
        let bytes = tokens as usize * text::TOKEN_BYTES;
        let sequence = Sequence {
            request,
            cached_tokens: 0,
            prefill_left: 0,
            chunk: 0,
            generated,
            reserved_blocks: bytes.div_ceil(text::BLOCK_BYTES),
        };
        self.waiting.insert(key, sequence);
        match self.run {
            None => self.plan(now),
            Some(_) if self.running.len() < self.settings.max_batch => self.end_run_early(),
            Some(_) => {}
        }
        Ok(())
    }

    /// Drops an attempt; false if it is unknown.
    pub fn cancel(&mut self, now: Duration, id: AttemptId) -> bool {
        self.settle(now);
        let waiting = self.waiting.iter().find(|(_, s)| s.request.id == id).map(|(k, _)| *k);
        if let Some(key) = waiting {
            self.waiting.remove(&key);
            self.counters.cancelled += 1;
            return true;
        }
        let Some(index) = self.running.iter().position(|s| s.request.id == id) else {
            return false;
        };
        self.remove_running(index);
        self.counters.cancelled += 1;
        if self.running.is_empty() {
            self.run = None;
            self.plan(now);
        } else {
            self.end_run_early();
        }
        true
    }

    /// What happened up to `now`, in order.
    pub fn advance(&mut self, now: Duration) -> Vec<Event> {
        self.settle(now);
        std::mem::take(&mut self.events)
    }

    /// When the next first token, end or crash comes; never while idle. An earlier submission
    /// or cancellation changes it.
    pub fn next_event_at(&self) -> Option<Duration> {
        self.run.map(|run| run.after(run.steps))
    }

    /// When the next token of any attempt comes.
    pub fn next_token_at(&self) -> Option<Duration> {
        self.run.map(|run| run.after(run.done + 1))
    }

    /// Whether the engine crashed and waits for [`Engine::restart`].
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Drops everything and starts again with an empty cache.
    pub fn restart(&mut self) {
        self.clear();
        self.down = false;
    }

    /// Load at the last time that the engine was given.
    pub fn load(&self) -> Load {
        let left = |s: &Sequence| u64::from(s.prefill_left + s.answer_left());
        let waiting_left = |s: &Sequence| u64::from(s.context_tokens()) + left(s);
        let decoding = self.running.iter().filter(|s| s.prefill_left == 0).count();
        let per_step = |run: Run| decoding as f64 / run.step.as_secs_f64();
        let kv_used = self.reserved_blocks * 100 / self.settings.kv_blocks.max(1);
        Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            kv_used_percent: kv_used.min(100) as u32,
            queued_tokens: self.running.iter().map(left).sum::<u64>()
                + self.waiting.values().map(waiting_left).sum::<u64>(),
            tokens_per_s: self.run.map_or(0.0, per_step),
        }
    }

    /// Totals since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Number of blocks in the prefix cache.
    pub fn cached_blocks(&self) -> usize {
        self.cache.len()
    }

    /// Changes of the cache since the last call, in order.
    pub fn take_cache_changes(&mut self) -> Vec<cache::Change> {
        std::mem::take(&mut self.changes)
    }

    /// What of an attempt's KV cache can be exported at `now`.
    pub fn export(&mut self, now: Duration, id: AttemptId) -> Option<KvExtent> {
        self.settle(now);
        let sequence = self.running.iter().find(|s| s.request.id == id)?;
        let fresh = sequence.generated - sequence.request.resume_tokens;
        let tokens = sequence.context_tokens() - sequence.prefill_left + fresh;
        Some(KvExtent { tokens, answer_tokens: sequence.generated })
    }

    fn find(&self, id: AttemptId) -> Option<&Sequence> {
        let mut all = self.running.iter().chain(self.waiting.values());
        all.find(|s| s.request.id == id)
    }

    /// Takes all steps that end by `now`.
    fn settle(&mut self, now: Duration) {
        while let Some(run) = self.run {
            let elapsed = now.saturating_sub(run.started);
            let ended = (elapsed.as_nanos() / run.step.as_nanos()).min(u128::from(run.steps));
            let ended = ended as u32;
            if ended > run.done {
                self.apply(ended - run.done, run.after(ended));
            }
            if self.down {
                return;
            }
            if ended < run.steps {
                self.run = Some(Run { done: ended, ..run });
                return;
            }
            self.finish(run.after(ended));
            self.run = None;
            self.plan(run.after(ended));
        }
    }

    /// Credits `steps` steps, the last of which ended at `at`.
    fn apply(&mut self, steps: u32, at: Duration) {
        let mut crashed_by = None;
        for sequence in &mut self.running {
            let id = sequence.request.id;
            let from = sequence.generated;
            if sequence.prefill_left > 0 {
                sequence.prefill_left -= sequence.chunk;
                sequence.chunk = 0;
                if sequence.prefill_left > 0 {
                    continue;
                }
                if sequence.request.is_poison {
                    crashed_by = Some(id);
                    break;
                }
                let capacity = self.settings.kv_blocks.saturating_sub(self.reserved_blocks);
                let change = self.cache.insert(&sequence.request.blocks, capacity);
                keep_change(&mut self.changes, &self.settings, change);
                if sequence.answer_left() == 0 {
                    continue;
                }
                sequence.generated += 1;
                let cached_tokens = sequence.cached_tokens;
                self.events.push(Event::FirstToken { id, at, cached_tokens });
            } else {
                sequence.generated += steps.min(sequence.answer_left());
            }
            let to = sequence.generated;
            self.counters.generated_tokens += u64::from(to - from);
            self.events.push(Event::Tokens { id, at, from, to });
        }
        if let Some(id) = crashed_by {
            self.crash(id, at);
        }
    }

    /// Takes ended sequences out of the batch.
    fn finish(&mut self, at: Duration) {
        let mut index = 0;
        while index < self.running.len() {
            let sequence = &self.running[index];
            if sequence.prefill_left > 0 || sequence.answer_left() > 0 {
                index += 1;
                continue;
            }
            let sequence = self.remove_running(index);
            self.counters.finished += 1;
            let (id, usage) = (sequence.request.id, sequence.usage());
            self.events.push(Event::Finished { id, at, usage });
        }
    }

    /// Fills the batch and starts the next run at `now`.
    fn plan(&mut self, now: Duration) {
        self.admit();
        if self.running.is_empty() {
            return;
        }
        let mut budget = self.settings.prefill_chunk_tokens.max(1);
        let mut prefilled = 0;
        let mut decoding = 0;
        let mut steps = u32::MAX;
        for sequence in &mut self.running {
            if sequence.prefill_left == 0 {
                decoding += 1;
                steps = steps.min(sequence.answer_left());
                continue;
            }
            sequence.chunk = sequence.prefill_left.min(budget);
            budget -= sequence.chunk;
            prefilled += u64::from(sequence.chunk);
        }
        if prefilled > 0 {
            steps = 1;
        }
        let step_us = self.settings.step_base_us
            + self.settings.step_per_sequence_us * decoding
            + self.settings.prefill_us_per_token * prefilled;
        let step = Duration::from_micros(step_us.max(1));
        self.run = Some(Run { started: now, step, steps, done: 0 });
    }

    /// Moves waiting sequences into the batch while there is room.
    fn admit(&mut self) {
        while self.running.len() < self.settings.max_batch.max(1) {
            let Some((&key, first)) = self.waiting.first_key_value() else { return };
            let reserved = self.reserved_blocks + first.reserved_blocks;
            if reserved > self.settings.kv_blocks && !self.running.is_empty() {
                return;
            }
            let Some(mut sequence) = self.waiting.remove(&key) else { return };
            self.reserved_blocks = reserved;
            self.look_up(&mut sequence);
            let capacity = self.settings.kv_blocks.saturating_sub(reserved);
            let removed = self.cache.shrink(capacity);
            let change = cache::Change { stored: Vec::new(), removed };
            keep_change(&mut self.changes, &self.settings, change);
            self.running.push(sequence);
        }
    }

    /// Finds out how much of a sequence's context must be computed; always one token at least.
    fn look_up(&mut self, sequence: &mut Sequence) {
        let context = sequence.context_tokens().max(1);
        let block_tokens = text::BLOCK_BYTES / text::TOKEN_BYTES;
        let found = self.cache.lookup(&sequence.request.blocks) * block_tokens;
        let known = (found as u32).max(sequence.request.imported_tokens);
        sequence.cached_tokens = known.min(context - 1).min(sequence.context_tokens());
        sequence.prefill_left = context - sequence.cached_tokens;
        let computed = u64::from(sequence.prefill_left);
        self.counters.cached_tokens += u64::from(sequence.cached_tokens);
        self.counters.computed_prompt_tokens += computed;
        if sequence.request.computed_before {
            self.counters.recomputed_tokens += computed;
        }
    }

    fn remove_running(&mut self, index: usize) -> Sequence {
        let sequence = self.running.remove(index);
        self.reserved_blocks -= sequence.reserved_blocks;
        sequence
    }

    /// Ends the run with the step in progress, so that the batch is planned anew after it.
    fn end_run_early(&mut self) {
        if let Some(run) = &mut self.run {
            run.steps = run.steps.min(run.done + 1);
        }
    }

    fn crash(&mut self, id: AttemptId, at: Duration) {
        let all = self.running.iter().chain(self.waiting.values());
        let lost = all.map(|s| s.request.id).filter(|&other| other != id).collect();
        self.clear();
        self.down = true;
        self.counters.crashes += 1;
        self.events.push(Event::Crashed { id, at, lost });
    }

    fn clear(&mut self) {
        self.waiting.clear();
        self.running.clear();
        self.run = None;
        self.reserved_blocks = 0;
        let removed = self.cache.shrink(0);
        let change = cache::Change { stored: Vec::new(), removed };
        keep_change(&mut self.changes, &self.settings, change);
    }
}

fn keep_change(changes: &mut Vec<cache::Change>, settings: &Settings, change: cache::Change) {
    let is_empty = change.stored.is_empty() && change.removed.is_empty();
    if settings.publish_cache_changes && !is_empty {
        changes.push(change);
    }
}
