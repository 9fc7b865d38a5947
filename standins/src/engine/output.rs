//! Events, counts and load of an engine.

use std::time::Duration;

use super::AttemptId;

/// Token counts of a finished attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Tokens in the whole answer, including the resumed ones.
    pub completion_tokens: u32,
    /// Context tokens that were found in the cache or imported.
    pub cached_tokens: u32,
    /// Context tokens that were computed.
    pub computed_tokens: u32,
}

/// Event in the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An attempt generated its first token; a `Tokens` event that contains it follows.
    FirstToken {
        /// The attempt.
        id: AttemptId,
        /// Time of the event.
        at: Duration,
        /// Context tokens that were found in the cache or imported.
        cached_tokens: u32,
    },
    /// An attempt generated the tokens `from..to` of the whole answer.
    Tokens {
        /// The attempt.
        id: AttemptId,
        /// When the last of them was generated.
        at: Duration,
        /// Index of the first token.
        from: u32,
        /// Index after the last token.
        to: u32,
    },
    /// An attempt generated its whole answer.
    Finished {
        /// The attempt.
        id: AttemptId,
        /// Time of the event.
        at: Duration,
        /// Its token counts.
        usage: Usage,
    },
    /// The engine crashed; all its attempts and its cache are lost.
    Crashed {
        /// The attempt that crashed it.
        id: AttemptId,
        /// Time of the event.
        at: Duration,
        /// The other attempts that were lost, running or waiting.
        lost: Vec<AttemptId>,
    },
}

/// Totals since the engine was created; a restart keeps them. Context tokens are counted when
/// their attempt enters the batch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Context tokens computed, including recomputed ones.
    pub computed_prompt_tokens: u64,
    /// Context tokens found in the cache or imported.
    pub cached_tokens: u64,
    /// Context tokens computed again after an earlier attempt had computed them.
    pub recomputed_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
    /// Attempts finished.
    pub finished: u64,
    /// Attempts cancelled.
    pub cancelled: u64,
    /// Crashes of the engine.
    pub crashes: u64,
}

/// Load of the engine at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Attempts in the batch.
    pub running: u32,
    /// Attempts in the queue.
    pub waiting: u32,
    /// KV memory reserved by running attempts, in percent; at most 100.
    pub kv_used_percent: u32,
    /// Tokens still to be prefilled or generated, over all attempts.
    pub queued_tokens: u64,
    /// Tokens generated per second by the present batch.
    pub tokens_per_s: f64,
}

/// How much of an attempt's KV cache exists at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KvExtent {
    /// Context tokens prefilled so far, and tokens that this attempt generated.
    pub tokens: u32,
    /// Tokens in the answer so far, including the resumed ones.
    pub answer_tokens: u32,
}
