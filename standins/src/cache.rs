//! Prefix cache of one engine: a bounded set of block hashes with
//! least-recently-used eviction.

use std::collections::{BTreeMap, HashMap};

use crate::text::BlockHash;

/// Blocks added to and evicted from the cache by one operation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Change {
    /// Blocks added.
    pub stored: Vec<BlockHash>,
    /// Blocks evicted.
    pub removed: Vec<BlockHash>,
}

/// Hashes of the cached blocks, ordered by last use.
#[derive(Debug, Default)]
pub struct PrefixCache {
    last_use: HashMap<BlockHash, u64>,
    by_last_use: BTreeMap<u64, BlockHash>,
    use_count: u64,
}

impl PrefixCache {
    /// Number of cached blocks.
    pub fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Whether no block is cached.
    pub fn is_empty(&self) -> bool {
        self.last_use.is_empty()
    }

    /// Returns how many leading `blocks` are cached, and marks those as used.
    pub fn lookup(&mut self, blocks: &[BlockHash]) -> usize {
        let found = blocks.iter().take_while(|b| self.last_use.contains_key(b)).count();
        self.touch(&blocks[..found]);
        found
    }

    /// Adds the first `capacity` of `blocks`, then evicts down to `capacity` blocks.
    pub fn insert(&mut self, blocks: &[BlockHash], capacity: usize) -> Change {
        let fitting = &blocks[..blocks.len().min(capacity)];
        let is_new = |b: &&BlockHash| !self.last_use.contains_key(b);
        let stored = fitting.iter().filter(is_new).copied().collect();
        self.touch(fitting);
        Change { stored, removed: self.shrink(capacity) }
    }

    /// Evicts down to `capacity` blocks and returns the evicted ones.
    pub fn shrink(&mut self, capacity: usize) -> Vec<BlockHash> {
        let mut removed = Vec::new();
        while self.last_use.len() > capacity {
            let Some((_, block)) = self.by_last_use.pop_first() else { break };
            self.last_use.remove(&block);
            removed.push(block);
        }
        removed
    }

    /// Marks `blocks` as used, in reverse order: a block is of no use without those before it,
    /// so the end of a prefix must be evicted first.
    fn touch(&mut self, blocks: &[BlockHash]) {
        for &block in blocks.iter().rev() {
            self.use_count += 1;
            if let Some(old) = self.last_use.insert(block, self.use_count) {
                self.by_last_use.remove(&old);
            }
            self.by_last_use.insert(self.use_count, block);
        }
    }
}
