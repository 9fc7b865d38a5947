//! Prefix cache of one engine: a bounded set of block hashes, least recently used out first.

use std::collections::{BTreeMap, HashMap};

use crate::text::BlockHash;

/// Blocks that were added to and removed from the cache together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Change {
    /// Blocks added.
    pub stored: Vec<BlockHash>,
    /// Blocks evicted.
    pub removed: Vec<BlockHash>,
}

/// Cached blocks in order of use.
#[derive(Debug, Default)]
pub struct PrefixCache {
    used_at: HashMap<BlockHash, u64>,
    by_use: BTreeMap<u64, BlockHash>,
    tick: u64,
}

impl PrefixCache {
    /// Number of blocks held.
    pub fn len(&self) -> usize {
        self.used_at.len()
    }

    /// Whether no block is held.
    pub fn is_empty(&self) -> bool {
        self.used_at.is_empty()
    }

    /// Number of leading `blocks` held; marks them as used.
    pub fn lookup(&mut self, blocks: &[BlockHash]) -> usize {
        let found = blocks.iter().take_while(|b| self.used_at.contains_key(b)).count();
        self.touch(&blocks[..found]);
        found
    }

    /// Adds `blocks`, then evicts down to `capacity` blocks.
    pub fn insert(&mut self, blocks: &[BlockHash], capacity: usize) -> Change {
        let kept = &blocks[..blocks.len().min(capacity)];
        let is_new = |b: &&BlockHash| !self.used_at.contains_key(b);
        let stored = kept.iter().filter(is_new).copied().collect();
        self.touch(kept);
        Change { stored, removed: self.shrink(capacity) }
    }

    /// Evicts down to `capacity` blocks and returns the evicted ones.
    pub fn shrink(&mut self, capacity: usize) -> Vec<BlockHash> {
        let mut removed = Vec::new();
        while self.used_at.len() > capacity {
            let Some((_, block)) = self.by_use.pop_first() else { break };
            self.used_at.remove(&block);
            removed.push(block);
        }
        removed
    }

    /// Marks `blocks` as used. The first block becomes the youngest, as a block is of no use
    /// without those before it.
    fn touch(&mut self, blocks: &[BlockHash]) {
        for &block in blocks.iter().rev() {
            self.tick += 1;
            if let Some(old) = self.used_at.insert(block, self.tick) {
                self.by_use.remove(&old);
            }
            self.by_use.insert(self.tick, block);
        }
    }
}
