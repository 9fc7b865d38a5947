//! Approximate index of the blocks in the endpoints' prefix caches.
//!
//! It is built from this node's requests and from cache events, which arrive late
//! and with gaps. Its size is bounded by keeping two generations of blocks: when
//! the current one is full or expired it replaces the previous one. Blocks that
//! are stored or sent again move to the current generation.

use std::collections::HashMap;
use std::time::Duration;

use crate::id;

/// Settings of [`PrefixIndex`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Most blocks in one generation.
    pub max_blocks: usize,
    /// Time after which a new generation is started.
    pub max_generation_age: Duration,
    /// Most endpoints kept per block; the least recently reported is dropped first.
    pub max_holders: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            max_blocks: 50_000,
            max_generation_age: Duration::from_secs(120),
            max_holders: 8,
        }
    }
}

/// State of one block.
#[derive(Debug, Clone, Default)]
struct Block {
    /// Endpoints that have it cached, the most recently reported last.
    holders: Vec<id::EndpointId>,
    /// Dialogue for which it was last sent; 0 if it was not sent.
    dialogue: u64,
    /// Whether it was sent for more than one dialogue.
    is_shared: bool,
}

type Generation = HashMap<id::BlockHash, Block>;

/// Which endpoints are known to have which blocks cached.
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex {
    settings: Settings,
    current: Generation,
    previous: Generation,
    current_since: Duration,
}

impl PrefixIndex {
    /// Creates an empty index.
    pub fn new(settings: Settings) -> PrefixIndex {
        PrefixIndex { settings, ..PrefixIndex::default() }
    }

    /// Number of blocks in the index.
    pub fn block_count(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Records that an endpoint has stored these blocks.
    pub fn record_stored(
        &mut self,
        now: Duration,
        endpoint: id::EndpointId,
        blocks: &[id::BlockHash],
    ) {
        for block in blocks {
            let max_holders = self.settings.max_holders;
            let holders = &mut self.touch(now, *block).holders;
            holders.retain(|holder| *holder != endpoint);
            if holders.len() >= max_holders {
                holders.remove(0);
            }
            holders.push(endpoint);
        }
    }

    /// Records that these blocks are sent to an endpoint for a dialogue (0 for none), which will
    /// store them.
    pub fn record_sent(
        &mut self,
        now: Duration,
        endpoint: id::EndpointId,
        dialogue: u64,
        blocks: &[id::BlockHash],
    ) {
        self.record_stored(now, endpoint, blocks);
        for block in blocks {
            let block = self.touch(now, *block);
            block.is_shared |= block.dialogue != 0 && block.dialogue != dialogue;
            block.dialogue = dialogue;
        }
    }

    /// Records that an endpoint no longer has these blocks.
    pub fn record_removed(&mut self, endpoint: id::EndpointId, blocks: &[id::BlockHash]) {
        for block in blocks {
            for generation in [&mut self.current, &mut self.previous] {
                if let Some(block) = generation.get_mut(block) {
                    block.holders.retain(|holder| *holder != endpoint);
                }
            }
        }
    }

    /// Length of the cached prefix, in blocks, for each endpoint that has any of the blocks.
    ///
    /// The last known block of an endpoint counts, even if earlier ones are missing from the
    /// index: engines evict the last blocks of a prefix first, so a gap means a lost event.
    pub fn matches(&self, blocks: &[id::BlockHash]) -> Vec<(id::EndpointId, usize)> {
        let mut matches: Vec<(id::EndpointId, usize)> = Vec::new();
        for (index, block) in blocks.iter().enumerate().rev() {
            let holders = self.block(*block).map_or(&[][..], |block| &block.holders);
            for holder in holders {
                if matches.iter().all(|(found, _)| found != holder) {
                    matches.push((*holder, index + 1));
                }
            }
        }
        matches
    }

    /// Length of the prefix, in blocks, that was also sent for other dialogues than this.
    pub fn shared_prefix_blocks(&self, dialogue: u64, blocks: &[id::BlockHash]) -> usize {
        let is_shared = |block: &id::BlockHash| {
            let known = self.block(*block);
            known.is_some_and(|known| {
                known.is_shared || (known.dialogue != 0 && known.dialogue != dialogue)
            })
        };
        blocks.iter().rposition(is_shared).map_or(0, |index| index + 1)
    }

    fn block(&self, block: id::BlockHash) -> Option<&Block> {
        self.current.get(&block).or_else(|| self.previous.get(&block))
    }

    fn touch(&mut self, now: Duration, block: id::BlockHash) -> &mut Block {
        self.rotate_generations(now);
        let known = self.previous.remove(&block);
        self.current.entry(block).or_insert_with(|| known.unwrap_or_default())
    }

    fn rotate_generations(&mut self, now: Duration) {
        let is_full = self.current.len() >= self.settings.max_blocks;
        let is_expired = now >= self.current_since + self.settings.max_generation_age;
        if is_full || is_expired {
            self.previous = std::mem::take(&mut self.current);
            self.current_since = now;
        }
    }
}
