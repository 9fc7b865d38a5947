//! What a node believes the endpoints' prefix caches hold.
//!
//! Knowledge comes from own requests and from cache events, which are late and
//! have gaps. It is bounded: two generations of blocks, the older of which is
//! dropped when the younger is full or old.

use std::collections::HashMap;
use std::time::Duration;

use crate::id;

/// Settings of [`PrefixIndex`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Blocks of one generation.
    pub max_blocks: usize,
    /// Longest time that a generation grows.
    pub generation: Duration,
    /// Endpoints remembered for one block.
    pub max_holders: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { max_blocks: 50_000, generation: Duration::from_secs(120), max_holders: 8 }
    }
}

/// What is known of one block.
#[derive(Debug, Clone, Default)]
struct Block {
    /// Endpoints that hold it, the latest told last.
    holders: Vec<id::EndpointId>,
    /// Dialogue that it was last sent for; 0 before it was sent.
    dialogue: u64,
    /// Whether it was sent for more than one dialogue.
    is_shared: bool,
}

type Generation = HashMap<id::BlockHash, Block>;

/// Blocks known to be cached, by endpoint.
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex {
    settings: Settings,
    young: Generation,
    old: Generation,
    young_since: Duration,
}

impl PrefixIndex {
    /// No knowledge yet.
    pub fn new(settings: Settings) -> PrefixIndex {
        PrefixIndex { settings, ..PrefixIndex::default() }
    }

    /// Number of blocks remembered.
    pub fn block_count(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// An endpoint stores these blocks.
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

    /// These blocks are sent to an endpoint for a dialogue.
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

    /// An endpoint no longer holds these blocks.
    pub fn record_removed(&mut self, endpoint: id::EndpointId, blocks: &[id::BlockHash]) {
        for block in blocks {
            for generation in [&mut self.young, &mut self.old] {
                if let Some(block) = generation.get_mut(block) {
                    block.holders.retain(|holder| *holder != endpoint);
                }
            }
        }
    }

    /// For each endpoint that holds some of the blocks, how many from the first on.
    ///
    /// An endpoint that holds a block holds those before it, as engines drop the
    /// last blocks of a prefix first; so a lost event leaves no hole.
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

    /// How many of the blocks, from the first on, were sent for other dialogues than this.
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
        self.young.get(&block).or_else(|| self.old.get(&block))
    }

    fn touch(&mut self, now: Duration, block: id::BlockHash) -> &mut Block {
        self.turn_over(now);
        let older = self.old.remove(&block);
        self.young.entry(block).or_insert_with(|| older.unwrap_or_default())
    }

    fn turn_over(&mut self, now: Duration) {
        let is_full = self.young.len() >= self.settings.max_blocks;
        let is_old = now >= self.young_since + self.settings.generation;
        if is_full || is_old {
            self.old = std::mem::take(&mut self.young);
            self.young_since = now;
        }
    }
}
