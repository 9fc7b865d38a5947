//! Model of one engine without I/O: continuous batching, chunked prefill, a prefix cache with
//! limited memory, priorities and cancellation.
//!
//! The engine works in steps. A step generates one token for each decoding sequence and
//! prefills a bounded number of context tokens; the more work, the longer the step. The context
//! of an attempt is its prompt and the resumed part of its answer.
//!
//! Consecutive equal steps are simulated together, so that the cost of the simulation grows with
//! the number of requests, not of tokens: [`Engine::next_event_at`] is the end of the last of
//! these steps, [`Engine::next_token_at`] the end of the current one. All times are durations
//! since one origin that the caller chooses, and must not decrease from call to call.

mod output;
mod request;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::cache::{self, PrefixCache};
use crate::text;

pub use output::{Counters, Event, KvExtent, Load, Usage};
pub use request::{Request, SubmitError};

/// Id of an attempt, chosen by the caller; unique among those that wait or run on an engine.
pub type AttemptId = u64;

/// Speed and memory of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Maximum number of sequences in a batch.
    pub max_batch: usize,
    /// Maximum number of waiting requests; further ones are refused.
    pub max_waiting: usize,
    /// Fixed part of the duration of a step, in microseconds.
    pub step_base_us: u64,
    /// Duration that each decoding sequence adds to a step, in microseconds.
    pub step_per_sequence_us: u64,
    /// Duration that each prefilled token adds to a step, in microseconds.
    pub prefill_us_per_token: u64,
    /// Maximum number of tokens prefilled in one step, over all sequences.
    pub prefill_chunk_tokens: u32,
    /// KV memory for running sequences and cached blocks, in blocks of 64 bytes of text.
    pub kv_blocks: usize,
    /// Whether cache changes are recorded for [`Engine::take_cache_changes`].
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

#[derive(Debug)]
struct Sequence {
    request: Request,
    cached_tokens: u32,
    prefill_tokens_left: u32,
    chunk_tokens: u32,
    answer_tokens_done: u32,
    reserved_blocks: usize,
}

impl Sequence {
    fn context_tokens(&self) -> u32 {
        self.request.prompt_tokens + self.request.resume_tokens
    }

    fn answer_tokens_left(&self) -> u32 {
        self.request.answer_tokens.saturating_sub(self.answer_tokens_done)
    }

    fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.request.prompt_tokens,
            completion_tokens: self.answer_tokens_done,
            cached_tokens: self.cached_tokens,
            computed_tokens: self.context_tokens() - self.cached_tokens,
        }
    }
}

/// Consecutive steps of equal duration.
#[derive(Debug, Clone, Copy)]
struct StepRun {
    started_at: Duration,
    step_duration: Duration,
    steps: u32,
    steps_done: u32,
}

impl StepRun {
    /// Time at which this many steps have ended.
    fn time_after(&self, steps: u32) -> Duration {
        self.started_at + self.step_duration * steps
    }
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    settings: Settings,
    waiting: BTreeMap<(i32, u64), Sequence>,
    running: Vec<Sequence>,
    cache: PrefixCache,
    cache_changes: Vec<cache::Change>,
    step_run: Option<StepRun>,
    submitted_count: u64,
    reserved_blocks: usize,
    is_down: bool,
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
            cache_changes: Vec::new(),
            step_run: None,
            submitted_count: 0,
            reserved_blocks: 0,
            is_down: false,
            counters: Counters::default(),
            events: Vec::new(),
        }
    }

    /// Settings in use.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Changes the settings from the next step on.
    pub fn set_settings(&mut self, now: Duration, settings: Settings) {
        self.advance_to(now);
        self.settings = settings;
        self.end_run_early();
    }

    /// Queues an attempt at `now`. Fails if the engine is down, the id is in use or the queue is
    /// full.
    pub fn submit(&mut self, now: Duration, request: Request) -> Result<(), SubmitError> {
        self.advance_to(now);
        if self.is_down {
            return Err(SubmitError::Down);
        }
        if self.find(request.id).is_some() {
            return Err(SubmitError::Duplicate);
        }
        if self.waiting.len() >= self.settings.max_waiting {
            return Err(SubmitError::Full);
        }
        self.submitted_count += 1;
        let key = (request.priority, self.submitted_count);
        let answer_tokens_done = request.resume_tokens;
        let left = request.answer_tokens.saturating_sub(answer_tokens_done);
        let tokens = request.prompt_tokens + request.resume_tokens + left;
        let bytes = tokens as usize * text::TOKEN_BYTES;
        let sequence = Sequence {
            request,
            cached_tokens: 0,
            prefill_tokens_left: 0,
            chunk_tokens: 0,
            answer_tokens_done,
            reserved_blocks: bytes.div_ceil(text::BLOCK_BYTES),
        };
        self.waiting.insert(key, sequence);
        match self.step_run {
            None => self.plan_steps(now),
            Some(_) if self.running.len() < self.settings.max_batch => self.end_run_early(),
            Some(_) => {}
        }
        Ok(())
    }

    /// Cancels an attempt; false if it is neither waiting nor running.
    pub fn cancel(&mut self, now: Duration, id: AttemptId) -> bool {
        self.advance_to(now);
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
            self.step_run = None;
            self.plan_steps(now);
        } else {
            self.end_run_early();
        }
        true
    }

    /// Simulates up to `now` and returns the events since the last call, in order.
    pub fn advance(&mut self, now: Duration) -> Vec<Event> {
        self.advance_to(now);
        std::mem::take(&mut self.events)
    }

    /// Time of the next first token, finish, crash or end of a prefill chunk; `None` while idle.
    /// Submissions, cancellations and changes of settings before that time can change it.
    pub fn next_event_at(&self) -> Option<Duration> {
        self.step_run.map(|step_run| step_run.time_after(step_run.steps))
    }

    /// End of the current step; `None` while idle.
    pub fn next_token_at(&self) -> Option<Duration> {
        self.step_run.map(|step_run| step_run.time_after(step_run.steps_done + 1))
    }

    /// Whether the engine crashed and has not been restarted.
    pub fn is_down(&self) -> bool {
        self.is_down
    }

    /// Restarts the engine without attempts and with an empty cache.
    pub fn restart(&mut self) {
        self.clear();
        self.is_down = false;
    }

    /// Load at the latest time that was passed to the engine.
    pub fn load(&self) -> Load {
        let left = |s: &Sequence| u64::from(s.prefill_tokens_left + s.answer_tokens_left());
        let waiting_left = |s: &Sequence| u64::from(s.context_tokens()) + left(s);
        let decoding = self.running.iter().filter(|s| s.prefill_tokens_left == 0).count();
        let per_step = |step_run: StepRun| decoding as f64 / step_run.step_duration.as_secs_f64();
        let kv_used = self.reserved_blocks * 100 / self.settings.kv_blocks.max(1);
        Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            kv_used_percent: kv_used.min(100) as u32,
            queued_tokens: self.running.iter().map(left).sum::<u64>()
                + self.waiting.values().map(waiting_left).sum::<u64>(),
            tokens_per_s: self.step_run.map_or(0.0, per_step),
        }
    }

    /// Totals since the engine was created.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Number of blocks in the prefix cache.
    pub fn cached_blocks(&self) -> usize {
        self.cache.len()
    }

    /// Returns the cache changes since the last call, in order.
    pub fn take_cache_changes(&mut self) -> Vec<cache::Change> {
        std::mem::take(&mut self.cache_changes)
    }

    /// How much of an attempt's KV cache can be exported at `now`; `None` unless it is running.
    pub fn export(&mut self, now: Duration, id: AttemptId) -> Option<KvExtent> {
        self.advance_to(now);
        let sequence = self.running.iter().find(|s| s.request.id == id)?;
        let new_tokens = sequence.answer_tokens_done - sequence.request.resume_tokens;
        let tokens = sequence.context_tokens() - sequence.prefill_tokens_left + new_tokens;
        Some(KvExtent { tokens, answer_tokens: sequence.answer_tokens_done })
    }

    fn find(&self, id: AttemptId) -> Option<&Sequence> {
        let mut all = self.running.iter().chain(self.waiting.values());
        all.find(|s| s.request.id == id)
    }

    /// Simulates all steps that end by `now`.
    fn advance_to(&mut self, now: Duration) {
        while let Some(step_run) = self.step_run {
            let elapsed = now.saturating_sub(step_run.started_at);
            let ended = (elapsed.as_nanos() / step_run.step_duration.as_nanos())
                .min(u128::from(step_run.steps));
            let ended = ended as u32;
            if ended > step_run.steps_done {
                self.apply_steps(ended - step_run.steps_done, step_run.time_after(ended));
            }
            if self.is_down {
                return;
            }
            if ended < step_run.steps {
                self.step_run = Some(StepRun { steps_done: ended, ..step_run });
                return;
            }
            self.remove_finished(step_run.time_after(ended));
            self.step_run = None;
            self.plan_steps(step_run.time_after(ended));
        }
    }

    /// Applies `steps` steps, the last of which ended at `at`, to the running sequences.
    fn apply_steps(&mut self, steps: u32, at: Duration) {
        let mut crashed_by = None;
        for sequence in &mut self.running {
            let id = sequence.request.id;
            let from = sequence.answer_tokens_done;
            if sequence.prefill_tokens_left > 0 {
                sequence.prefill_tokens_left -= sequence.chunk_tokens;
                sequence.chunk_tokens = 0;
                if sequence.prefill_tokens_left > 0 {
                    continue;
                }
                if sequence.request.is_poison {
                    crashed_by = Some(id);
                    break;
                }
                let capacity = self.settings.kv_blocks.saturating_sub(self.reserved_blocks);
                let change = self.cache.insert(&sequence.request.blocks, capacity);
                record_cache_change(&mut self.cache_changes, &self.settings, change);
                if sequence.answer_tokens_left() == 0 {
                    continue;
                }
                sequence.answer_tokens_done += 1;
                let cached_tokens = sequence.cached_tokens;
                self.events.push(Event::FirstToken { id, at, cached_tokens });
            } else {
                sequence.answer_tokens_done += steps.min(sequence.answer_tokens_left());
            }
            let to = sequence.answer_tokens_done;
            self.counters.generated_tokens += u64::from(to - from);
            self.events.push(Event::Tokens { id, at, from, to });
        }
        if let Some(id) = crashed_by {
            self.crash(id, at);
        }
    }

    /// Removes finished sequences from the batch.
    fn remove_finished(&mut self, at: Duration) {
        let mut index = 0;
        while index < self.running.len() {
            let sequence = &self.running[index];
            if sequence.prefill_tokens_left > 0 || sequence.answer_tokens_left() > 0 {
                index += 1;
                continue;
            }
            let sequence = self.remove_running(index);
            self.counters.finished += 1;
            let (id, usage) = (sequence.request.id, sequence.usage());
            self.events.push(Event::Finished { id, at, usage });
        }
    }

    /// Fills the batch from the queue and starts its next steps at `now`.
    fn plan_steps(&mut self, now: Duration) {
        self.admit_waiting();
        if self.running.is_empty() {
            return;
        }
        let mut budget = self.settings.prefill_chunk_tokens.max(1);
        let mut prefilled = 0;
        let mut decoding = 0;
        let mut steps = u32::MAX;
        for sequence in &mut self.running {
            if sequence.prefill_tokens_left == 0 {
                decoding += 1;
                steps = steps.min(sequence.answer_tokens_left());
                continue;
            }
            sequence.chunk_tokens = sequence.prefill_tokens_left.min(budget);
            budget -= sequence.chunk_tokens;
            prefilled += u64::from(sequence.chunk_tokens);
        }
        if prefilled > 0 {
            steps = 1;
        }
        let step_us = self.settings.step_base_us
            + self.settings.step_per_sequence_us * decoding
            + self.settings.prefill_us_per_token * prefilled;
        let step_duration = Duration::from_micros(step_us.max(1));
        self.step_run = Some(StepRun { started_at: now, step_duration, steps, steps_done: 0 });
    }

    /// Moves waiting sequences into the batch while it and the KV memory have room. A sequence
    /// larger than the memory runs alone.
    fn admit_waiting(&mut self) {
        while self.running.len() < self.settings.max_batch.max(1) {
            let Some((&key, first)) = self.waiting.first_key_value() else { return };
            let reserved = self.reserved_blocks + first.reserved_blocks;
            if reserved > self.settings.kv_blocks && !self.running.is_empty() {
                return;
            }
            let Some(mut sequence) = self.waiting.remove(&key) else { return };
            self.reserved_blocks = reserved;
            self.look_up_prefix(&mut sequence);
            let capacity = self.settings.kv_blocks.saturating_sub(reserved);
            let removed = self.cache.shrink(capacity);
            let change = cache::Change { stored: Vec::new(), removed };
            record_cache_change(&mut self.cache_changes, &self.settings, change);
            self.running.push(sequence);
        }
    }

    /// Determines how much of a sequence's context must be computed: at least one token.
    fn look_up_prefix(&mut self, sequence: &mut Sequence) {
        let context = sequence.context_tokens().max(1);
        let block_tokens = text::BLOCK_BYTES / text::TOKEN_BYTES;
        let found = self.cache.lookup(&sequence.request.blocks) * block_tokens;
        let reused_tokens = (found as u32).max(sequence.request.imported_tokens);
        sequence.cached_tokens = reused_tokens.min(context - 1).min(sequence.context_tokens());
        sequence.prefill_tokens_left = context - sequence.cached_tokens;
        let computed = u64::from(sequence.prefill_tokens_left);
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

    /// Ends the run with the current step, so that the batch is planned again after it.
    fn end_run_early(&mut self) {
        if let Some(step_run) = &mut self.step_run {
            step_run.steps = step_run.steps.min(step_run.steps_done + 1);
        }
    }

    fn crash(&mut self, id: AttemptId, at: Duration) {
        let all = self.running.iter().chain(self.waiting.values());
        let lost = all.map(|s| s.request.id).filter(|&other| other != id).collect();
        self.clear();
        self.is_down = true;
        self.counters.crashes += 1;
        self.events.push(Event::Crashed { id, at, lost });
    }

    fn clear(&mut self) {
        self.waiting.clear();
        self.running.clear();
        self.step_run = None;
        self.reserved_blocks = 0;
        let removed = self.cache.shrink(0);
        let change = cache::Change { stored: Vec::new(), removed };
        record_cache_change(&mut self.cache_changes, &self.settings, change);
    }
}

fn record_cache_change(
    cache_changes: &mut Vec<cache::Change>,
    settings: &Settings,
    change: cache::Change,
) {
    let is_empty = change.stored.is_empty() && change.removed.is_empty();
    if settings.publish_cache_changes && !is_empty {
        cache_changes.push(change);
    }
}
