//! Tokens, cache blocks and generated text.

use xxhash_rust::xxh3;

/// Largest number of bytes in one token.
pub const TOKEN_BYTES: usize = 4;
/// Bytes of text in one cache block.
pub const BLOCK_BYTES: usize = 64;
/// Shortest answer where the request names no length.
const MIN_DEFAULT_TOKENS: u32 = 64;
/// Spread of the answer's length where the request names none.
const DEFAULT_TOKENS_SPREAD: u64 = 128;

/// Hash of a cache block, chained over the blocks before it.
pub type BlockHash = u64;

/// Words of generated text; each is a token once a space follows.
const WORDS: [&str; 32] = [
    "sun", "oil", "dry", "cut", "rim", "cup", "tea", "sip", "rub", "wax", "age", "day", "low",
    "hot", "wet", "new", "old", "bag", "tip", "pad", "set", "use", "put", "let", "sit", "bit",
    "raw", "air", "top", "end", "rye", "ash",
];

/// Number of tokens in `text`: greedy runs of at most four bytes at character boundaries.
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

/// Hashes of the whole cache blocks of `text`, in order.
pub fn block_hashes(text: &[u8]) -> Vec<BlockHash> {
    let mut hashes = Vec::with_capacity(text.len() / BLOCK_BYTES);
    let mut input = [0; 8 + BLOCK_BYTES];
    for block in text.chunks_exact(BLOCK_BYTES) {
        let before: BlockHash = hashes.last().copied().unwrap_or(0);
        input[..8].copy_from_slice(&before.to_le_bytes());
        input[8..].copy_from_slice(block);
        hashes.push(xxh3::xxh3_64(&input));
    }
    hashes
}

/// The whole answer to a request, before any of it is generated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    key: u64,
    /// Length in tokens.
    pub tokens: u32,
}

impl Answer {
    /// The answer to `prompt`; `max_tokens` is its exact length where given.
    pub fn new(prompt: &str, max_tokens: Option<u32>, seed: u64) -> Answer {
        let key = xxh3::xxh3_64_with_seed(prompt.as_bytes(), seed);
        let default = MIN_DEFAULT_TOKENS + (key % DEFAULT_TOKENS_SPREAD) as u32;
        Answer { key, tokens: max_tokens.unwrap_or(default) }
    }

    /// Text of the tokens `from..to`; each token is four bytes.
    pub fn text(&self, from: u32, to: u32) -> String {
        let to = to.min(self.tokens);
        let mut text = String::with_capacity(to.saturating_sub(from) as usize * TOKEN_BYTES);
        for position in from..to {
            let hash = xxh3::xxh3_64_with_seed(&position.to_le_bytes(), self.key);
            text.push_str(WORDS[(hash % WORDS.len() as u64) as usize]);
            text.push(if position + 1 == self.tokens { '.' } else { ' ' });
        }
        text
    }
}
