//! A caller's request as the decisions see it.

use std::time::Duration;

/// Head of a request, without its method, headers and body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Request {
    /// The caller's id of this attempt; unique.
    pub attempt_id: String,
    /// Host that the caller named.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Time that the caller still waits.
    pub time_left: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// The prompt of a model request.
    pub prompt: Option<Prompt>,
    /// Last event that the caller has of a stream that it resumes.
    pub last_event_id: Option<u64>,
}

/// Size and parts of a prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub input_tokens: u64,
    /// Most tokens of the answer.
    pub max_output_tokens: u64,
    /// Parts in order; the last belongs to the request or its session alone.
    pub parts: Vec<PromptPart>,
}

/// A part of a prompt that requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id.
    pub id: u64,
    /// Tokens.
    pub tokens: u32,
}

impl Prompt {
    /// Key that requests with the same shared parts have in common.
    pub fn affinity_key(&self) -> Option<u64> {
        let shared = self.parts.len().saturating_sub(2);
        self.parts.get(shared).map(|part| part.id)
    }

    /// Tokens of the parts that other requests share.
    pub fn shared_tokens(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| u64::from(part.tokens)).sum()
    }

    /// Tokens that no other request shares.
    pub fn unshared_tokens(&self) -> u64 {
        self.input_tokens.saturating_sub(self.shared_tokens())
    }
}
