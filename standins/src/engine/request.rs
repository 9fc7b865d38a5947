//! Attempts at requests, and why an engine refuses them.

use super::AttemptId;
use crate::text::BlockHash;

/// One attempt at a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Request {
    /// Id of the attempt.
    pub id: AttemptId,
    /// Hashes of the complete blocks of the context.
    pub blocks: Vec<BlockHash>,
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Answer tokens that earlier attempts generated; generation continues after them.
    pub resume_tokens: u32,
    /// Tokens in the whole answer, including the resumed ones.
    pub answer_tokens: u32,
    /// Leading context tokens whose KV cache was imported.
    pub imported_tokens: u32,
    /// Whether an earlier attempt computed the prompt; tokens computed now then count as
    /// recomputed.
    pub computed_before: bool,
    /// Requests with a lower value leave the queue first.
    pub priority: i32,
    /// Whether the engine crashes at the end of this request's prefill.
    pub is_poison: bool,
}

/// Why an attempt was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum SubmitError {
    /// `max_waiting` requests are waiting already.
    #[display("too many requests wait")]
    Full,
    /// The engine crashed and has not been restarted.
    #[display("engine is down")]
    Down,
    /// An attempt with this id is waiting or running.
    #[display("attempt is known already")]
    Duplicate,
}
