//! Text of a model request, its cache blocks and its size.
//!
//! Engines cache whole blocks of the prompt's text. A block is named by a hash
//! chained over all blocks before it, so that two prompts with the same hash at
//! a position share everything up to there.

use derive_more::{Display, Error};
use serde_json::Value;
use xxhash_rust::xxh3;

use crate::id;

/// Size of a cache block, in bytes of prompt text.
pub const BLOCK_BYTES: usize = 64;

/// Largest size of a token, in bytes of prompt text.
pub const TOKEN_BYTES: usize = 4;

/// Why a request body holds no prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum InvalidPrompt {
    /// `messages` is missing, empty or no array.
    #[display("messages: a non-empty array is needed")]
    NoMessages,
    /// A message has no `role`.
    #[display("messages: each needs a role (string)")]
    NoRole,
    /// A message's `content` is neither a string nor an array of text parts.
    #[display("messages: content is a string or an array of text parts")]
    NoText,
    /// `prompt` is missing or no string.
    #[display("prompt: a string is needed")]
    NoPrompt,
}

/// A prompt as the decisions see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Text that the engine works on.
    pub text: String,
    /// Hashes of its whole blocks, in order.
    pub blocks: Vec<id::BlockHash>,
    /// Its size in tokens.
    pub tokens: u32,
    /// Names what the request belongs to: the same for each turn of one dialogue.
    pub dialogue: u64,
    /// Tokens of the prompt of the dialogue's turn before; 0 in its first turn.
    pub settled_tokens: u32,
}

impl Prompt {
    /// The prompt of a chat completion request.
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

    /// The prompt of a completion request.
    pub fn from_completion(body: &Value) -> Result<Prompt, InvalidPrompt> {
        let text = body.get("prompt").and_then(Value::as_str).ok_or(InvalidPrompt::NoPrompt)?;
        Ok(Prompt::from_text(text))
    }

    /// The prompt of a plain text, whose first line names its dialogue.
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

/// Hashes of the whole blocks of a text, in order.
pub fn block_hashes(text: &str) -> Vec<id::BlockHash> {
    let mut before: id::BlockHash = 0;
    let mut bytes = [0; 8 + BLOCK_BYTES];
    let blocks = text.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks
        .map(|block| {
            bytes[..8].copy_from_slice(&before.to_le_bytes());
            bytes[8..].copy_from_slice(block);
            before = xxh3::xxh3_64(&bytes);
            before
        })
        .collect()
}

/// Number of tokens of a text: runs of at most [`TOKEN_BYTES`] at character boundaries.
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

/// Fingerprint of a request: the same whenever the same text is sent to the same service.
pub fn fingerprint(service: &str, text: &str) -> id::Fingerprint {
    xxh3::xxh3_64_with_seed(text.as_bytes(), xxh3::xxh3_64(service.as_bytes()))
}
