//! The parts of a caller's request that routing and admission use.

use std::time::Duration;

/// Fields decoded from the head of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Request {
    /// Unique id that the caller gave this attempt.
    pub attempt_id: String,
    /// Host named by the caller, possibly with a port.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Remaining time that the caller waits; `None` if it gave no deadline.
    pub time_left: Option<Duration>,
    /// API key of the caller, if it sent one.
    pub key: Option<String>,
    /// Prompt of a model request; `None` for a plain request.
    pub prompt: Option<Prompt>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<u64>,
}

/// Size and parts of a prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub input_tokens: u64,
    /// Maximum number of tokens of the answer.
    pub max_output_tokens: u64,
    /// Parts in order. The last one is specific to the request or its session.
    pub parts: Vec<PromptPart>,
}

/// Part of a prompt that several requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id, equal for equal parts.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
}

impl Prompt {
    /// Key shared by requests with the same shared parts: the id of the last shared part, or of the
    /// only part. `None` without parts.
    pub fn affinity_key(&self) -> Option<u64> {
        let shared = self.parts.len().saturating_sub(2);
        self.parts.get(shared).map(|part| part.id)
    }

    /// Parts that other requests may share, in order.
    pub fn shared_parts(&self) -> &[PromptPart] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }

    /// Total tokens of the parts that other requests may share.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().iter().map(|part| u64::from(part.tokens)).sum()
    }

    /// Prompt tokens that are not in a shared part.
    pub fn unshared_tokens(&self) -> u64 {
        self.input_tokens.saturating_sub(self.shared_tokens())
    }
}
