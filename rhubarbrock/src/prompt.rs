//! Prompt text of a model request, its cache blocks and its size in tokens.
//!
//! Engines cache complete blocks of the prompt's text. The hash of a block covers
//! all blocks before it, so two prompts with the same hash at a position have the
//! same text up to there.

use derive_more::{Display, Error};
use serde_json::Value;
use xxhash_rust::xxh3;

use crate::id;

/// Size of a cache block, in bytes of prompt text.
pub const BLOCK_BYTES: usize = 64;

/// Most bytes of prompt text that count as one token.
pub const TOKEN_BYTES: usize = 4;

/// Why a request body has no valid prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum InvalidPrompt {
    /// `messages` is missing, empty or not an array.
    #[display("messages: a non-empty array is needed")]
    NoMessages,
    /// A message has no `role`, or one that is not a string.
    #[display("messages: each needs a role (string)")]
    NoRole,
    /// A message's `content` is neither a string nor an array of text parts.
    #[display("messages: content is a string or an array of text parts")]
    NoText,
    /// `prompt` is missing or not a string.
    #[display("prompt: a string is needed")]
    NoPrompt,
}

/// Prompt of a request, with the properties that routing and admission use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Text that the engine processes.
    pub text: String,
    /// Hashes of the complete blocks of the text, in order.
    pub blocks: Vec<id::BlockHash>,
    /// Size of the text, in tokens; see [`count_tokens`].
    pub tokens: u32,
    /// Hash of the text up to the end of the first user message or, outside of chats, the first
    /// line; the same for each turn of a dialogue.
    pub dialogue: u64,
    /// Tokens before the last assistant message, that is, of the previous turn's prompt; 0 in the
    /// first turn.
    pub settled_tokens: u32,
}

impl Prompt {
    /// Extracts the prompt of a chat completion request.
    ///
    /// # Errors
    ///
    /// [`InvalidPrompt`] if `messages` does not have the expected form.
    pub fn from_chat(body: &Value) -> Result<Prompt, InvalidPrompt> {
        let messages = body.get("messages").and_then(Value::as_array);
        let messages = messages.filter(|m| !m.is_empty()).ok_or(InvalidPrompt::NoMessages)?;
        let mut text = String::new();
        let mut opening_bytes = None;
        let mut settled_bytes = 0;
        for message in messages {
            let role = message.get("role").and_then(Value::as_str);
            let role = role.ok_or(InvalidPrompt::NoRole)?;
            if role == "assistant" {
                settled_bytes = text.len();
            }
            text.push_str(role);
            text.push('\n');
            push_content(&mut text, message.get("content"))?;
            text.push('\n');
            if role == "user" {
                opening_bytes.get_or_insert(text.len());
            }
        }
        let opening_bytes = opening_bytes.unwrap_or(text.len());
        Ok(Prompt::new(text, opening_bytes, settled_bytes))
    }

    /// Extracts the prompt of a completion request.
    ///
    /// # Errors
    ///
    /// [`InvalidPrompt::NoPrompt`] if `prompt` is not a string.
    pub fn from_completion(body: &Value) -> Result<Prompt, InvalidPrompt> {
        let text = body.get("prompt").and_then(Value::as_str).ok_or(InvalidPrompt::NoPrompt)?;
        Ok(Prompt::from_text(text))
    }

    /// Creates the prompt of a plain text, whose first line identifies its dialogue.
    pub fn from_text(text: &str) -> Prompt {
        let opening_bytes = text.find('\n').map_or(text.len(), |end| end + 1);
        Prompt::new(text.to_owned(), opening_bytes, 0)
    }

    fn new(text: String, opening_bytes: usize, settled_bytes: usize) -> Prompt {
        Prompt {
            blocks: block_hashes(&text),
            tokens: count_tokens(&text),
            dialogue: xxh3::xxh3_64(&text.as_bytes()[..opening_bytes]),
            settled_tokens: count_tokens(&text[..settled_bytes]),
            text,
        }
    }
}

fn push_content(text: &mut String, content: Option<&Value>) -> Result<(), InvalidPrompt> {
    match content {
        None | Some(Value::Null) => Ok(()),
        Some(Value::String(content)) => {
            text.push_str(content);
            Ok(())
        }
        Some(Value::Array(parts)) => {
            for part in parts {
                let part = part.get("text").and_then(Value::as_str);
                text.push_str(part.ok_or(InvalidPrompt::NoText)?);
            }
            Ok(())
        }
        Some(_) => Err(InvalidPrompt::NoText),
    }
}

/// Hashes of the complete blocks of a text, in order.
pub fn block_hashes(text: &str) -> Vec<id::BlockHash> {
    let mut previous_hash: id::BlockHash = 0;
    let mut bytes = [0; 8 + BLOCK_BYTES];
    let blocks = text.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks
        .map(|block| {
            bytes[..8].copy_from_slice(&previous_hash.to_le_bytes());
            bytes[8..].copy_from_slice(block);
            previous_hash = xxh3::xxh3_64(&bytes);
            previous_hash
        })
        .collect()
}

/// Estimated number of tokens of a text: runs of whole characters of at most [`TOKEN_BYTES`].
pub fn count_tokens(text: &str) -> u32 {
    let mut tokens = 0;
    let mut used_bytes = TOKEN_BYTES;
    for character in text.chars() {
        let bytes = character.len_utf8();
        if used_bytes + bytes > TOKEN_BYTES {
            tokens += 1;
            used_bytes = 0;
        }
        used_bytes += bytes;
    }
    tokens
}

/// Fingerprint of a request: a hash of the service's name and the prompt's text.
pub fn fingerprint(service: &str, text: &str) -> id::Fingerprint {
    xxh3::xxh3_64_with_seed(text.as_bytes(), xxh3::xxh3_64(service.as_bytes()))
}
