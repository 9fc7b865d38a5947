//! Tokens, cache blocks and generated text.

use xxhash_rust::xxh3;

/// Maximum size of a token, in bytes.
pub const TOKEN_BYTES: usize = 4;
/// Size of a cache block, in bytes of text.
pub const BLOCK_BYTES: usize = 64;
/// Minimum answer length, in tokens, of a request that gives no length.
const MIN_DEFAULT_ANSWER_TOKENS: u32 = 64;
/// Number of different answer lengths of requests that give no length.
const DEFAULT_ANSWER_TOKENS_RANGE: u64 = 128;

/// Hash of a cache block and all blocks before it.
pub type BlockHash = u64;

/// Vocabulary of generated text. A word with the space or full stop after it is one token.
const WORDS: [&str; 32] = [
    "sun", "oil", "dry", "cut", "rim", "cup", "tea", "sip", "rub", "wax", "age", "day", "low",
    "hot", "wet", "new", "old", "bag", "tip", "pad", "set", "use", "put", "let", "sit", "bit",
    "raw", "air", "top", "end", "rye", "ash",
];

/// Number of tokens in `text`. A token is as many whole characters as fit into four bytes.
pub fn token_count(text: &str) -> u32 {
    if text.is_ascii() {
        return text.len().div_ceil(TOKEN_BYTES) as u32;
    }
    let mut tokens = 0;
    let mut used = TOKEN_BYTES;
    for c in text.chars() {
        if used + c.len_utf8() > TOKEN_BYTES {
            tokens += 1;
            used = 0;
        }
        used += c.len_utf8();
    }
    tokens
}

/// Hashes of the complete cache blocks of `text`, in order; an incomplete last block has none.
pub fn block_hashes(text: &[u8]) -> Vec<BlockHash> {
    let mut hashes = Vec::with_capacity(text.len() / BLOCK_BYTES);
    let mut input = [0; 8 + BLOCK_BYTES];
    for block in text.chunks_exact(BLOCK_BYTES) {
        let previous: BlockHash = hashes.last().copied().unwrap_or(0);
        input[..8].copy_from_slice(&previous.to_le_bytes());
        input[8..].copy_from_slice(block);
        hashes.push(xxh3::xxh3_64(&input));
    }
    hashes
}

/// The whole answer to a request. It depends only on the prompt, the length and the seed, so
/// that another engine can continue it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    prompt_hash: u64,
    /// Length, in tokens.
    pub tokens: u32,
}

impl Answer {
    /// The answer to `prompt`. `max_tokens` is its exact length; without it, the prompt and the
    /// seed decide the length.
    pub fn new(prompt: &str, max_tokens: Option<u32>, seed: u64) -> Answer {
        let prompt_hash = xxh3::xxh3_64_with_seed(prompt.as_bytes(), seed);
        let default =
            MIN_DEFAULT_ANSWER_TOKENS + (prompt_hash % DEFAULT_ANSWER_TOKENS_RANGE) as u32;
        Answer { prompt_hash, tokens: max_tokens.unwrap_or(default) }
    }

    /// Text of the tokens `from..to`, up to the end of the answer. Each token is four bytes.
    pub fn text(&self, from: u32, to: u32) -> String {
        let to = to.min(self.tokens);
        let mut text = String::with_capacity(to.saturating_sub(from) as usize * TOKEN_BYTES);
        for position in from..to {
            let hash = xxh3::xxh3_64_with_seed(&position.to_le_bytes(), self.prompt_hash);
            text.push_str(WORDS[(hash % WORDS.len() as u64) as usize]);
            text.push(if position + 1 == self.tokens { '.' } else { ' ' });
        }
        text
    }
}
