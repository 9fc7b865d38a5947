//! Request and response bodies of the engine's OpenAI-style calls.

use serde::Deserialize;
use serde_json::{Value, json};

use crate::engine::Usage;
use crate::text;

/// Kind of a completion call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Completion,
}

/// Body of a completion call.
#[derive(Debug, Clone, Default, Deserialize)]
// serde puts this name into the error text that is sent for a body of the wrong type.
#[serde(default, rename = "Call")]
pub struct CompletionRequest {
    /// Name of the model, returned unchanged in the response.
    pub model: String,
    /// Messages of a chat, in order.
    pub messages: Vec<Message>,
    /// Prompt of a completion: a string or a list of strings.
    pub prompt: Value,
    /// Whether the answer is sent as server-sent events.
    pub stream: bool,
    /// Exact length of the answer, in tokens; derived from prompt and seed if absent.
    pub max_tokens: Option<u32>,
    /// Newer name of `max_tokens`, which takes precedence if both are present.
    pub max_completion_tokens: Option<u32>,
    /// Seed of the answer.
    pub seed: i64,
    /// Requests with a lower value leave the queue first.
    pub priority: i32,
    /// Start of the answer that earlier attempts generated; the response continues after it.
    pub resume_text: String,
    /// Number of tokens in `resume_text`; 0 leaves it to the engine to count.
    pub resume_tokens: u32,
    /// KV cache to import before the prefill.
    pub kv_source: Option<KvSource>,
}

/// One message of a chat.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Message {
    /// Author of the message, such as `user`.
    pub role: String,
    /// A string or a list of parts; parts other than text are ignored.
    pub content: Value,
}

/// Exported KV cache on another engine.
#[derive(Debug, Clone, Deserialize)]
pub struct KvSource {
    /// IP:port of the engine that exported it.
    pub address: String,
    /// Handle that the engine returned for the export.
    pub handle: String,
}

/// Why a completion call is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum RequestError {
    /// A chat has no messages.
    #[display("messages are missing")]
    NoMessages,
    /// A completion has no prompt.
    #[display("prompt is missing")]
    NoPrompt,
    /// The answer does not start with `resume_text`, or `resume_tokens` is not its length.
    #[display("resume_text or resume_tokens is not the start of this answer")]
    WrongResume,
}

impl CompletionRequest {
    /// Text of the prompt; fails if the messages or the prompt are missing.
    pub fn prompt_text(&self, kind: CallKind) -> Result<String, RequestError> {
        match kind {
            CallKind::Chat if self.messages.is_empty() => Err(RequestError::NoMessages),
            CallKind::Chat => {
                let line = |m: &Message| format!("{}\n{}\n", m.role, plain_text(&m.content));
                Ok(self.messages.iter().map(line).collect())
            }
            CallKind::Completion if self.prompt.is_null() => Err(RequestError::NoPrompt),
            CallKind::Completion => Ok(plain_text(&self.prompt)),
        }
    }

    /// The whole answer to the prompt `text`.
    pub fn answer(&self, text: &str) -> text::Answer {
        let max_tokens = self.max_tokens.or(self.max_completion_tokens);
        text::Answer::new(text, max_tokens, self.seed as u64)
    }

    /// Number of tokens in `resume_text`; fails if it is not the start of `answer`.
    pub fn resumed_tokens(&self, answer: &text::Answer) -> Result<u32, RequestError> {
        let tokens = text::token_count(&self.resume_text);
        let is_named_right = self.resume_tokens == 0 || self.resume_tokens == tokens;
        if !is_named_right || answer.text(0, tokens) != self.resume_text {
            return Err(RequestError::WrongResume);
        }
        Ok(tokens)
    }

    /// Whether the request gives the length of the answer.
    pub fn has_max_tokens(&self) -> bool {
        self.max_tokens.or(self.max_completion_tokens).is_some()
    }
}

/// Builds response bodies and stream chunks.
#[derive(Debug, Clone)]
pub struct ResponseFormatter {
    /// Kind of the call.
    pub kind: CallKind,
    /// Id of the response.
    pub id: String,
    /// Name of the model.
    pub model: String,
    /// Creation time, in seconds since the Unix epoch.
    pub created: u64,
    /// Why the answer ends: `length` or `stop`.
    pub finish_reason: &'static str,
}

impl ResponseFormatter {
    /// First chunk of a chat stream; other streams have none.
    pub fn first_chunk(&self) -> Option<Value> {
        let delta = json!({ "role": "assistant", "content": "" });
        (self.kind == CallKind::Chat).then(|| self.chunk(json!({ "delta": delta }), None))
    }

    /// Chunk with the next part of the text.
    pub fn text_chunk(&self, text: &str) -> Value {
        match self.kind {
            CallKind::Chat => self.chunk(json!({ "delta": { "content": text } }), None),
            CallKind::Completion => self.chunk(json!({ "text": text }), None),
        }
    }

    /// Last chunk of a stream, with finish reason and usage.
    pub fn last_chunk(&self, usage: &Usage) -> Value {
        let choice = match self.kind {
            CallKind::Chat => json!({ "delta": {} }),
            CallKind::Completion => json!({ "text": "" }),
        };
        let mut chunk = self.chunk(choice, Some(self.finish_reason));
        chunk["usage"] = usage_value(usage);
        chunk
    }

    /// Response body with the whole text.
    pub fn full_response(&self, text: &str, usage: &Usage) -> Value {
        let message = json!({ "role": "assistant", "content": text });
        let (object, mut choice) = match self.kind {
            CallKind::Chat => ("chat.completion", json!({ "message": message })),
            CallKind::Completion => ("text_completion", json!({ "text": text })),
        };
        choice["index"] = json!(0);
        choice["finish_reason"] = json!(self.finish_reason);
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": usage_value(usage),
        })
    }

    fn chunk(&self, mut choice: Value, finish_reason: Option<&str>) -> Value {
        let object = match self.kind {
            CallKind::Chat => "chat.completion.chunk",
            CallKind::Completion => "text_completion",
        };
        choice["index"] = json!(0);
        choice["finish_reason"] = json!(finish_reason);
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        })
    }
}

fn usage_value(usage: &Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": { "cached_tokens": usage.cached_tokens },
    })
}

/// Text of a string, or of the strings and `text` parts of a list, concatenated.
fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().map(plain_text).collect(),
        Value::Object(part) => part.get("text").map(plain_text).unwrap_or_default(),
        _ => String::new(),
    }
}
