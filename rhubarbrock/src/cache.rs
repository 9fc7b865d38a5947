//! What a node believes the endpoints' prefix caches hold.
//!
//! Knowledge comes from own requests and from cache events, which are late and
//! have gaps. It is bounded: two generations of blocks, the older of which is
//! dropped when the younger is full or old.

use std::collections::HashMap;
use std::time::Duration;

use crate::id;

/// Settings of [`Knowledge`].
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

type Generation = HashMap<id::BlockHash, Vec<id::EndpointId>>;

/// Blocks known to be cached, by endpoint.
#[derive(Debug, Clone, Default)]
pub struct Knowledge {
    settings: Settings,
    young: Generation,
    old: Generation,
    young_since: Duration,
}

impl Knowledge {
    /// No knowledge yet.
    pub fn new(settings: Settings) -> Knowledge {
        Knowledge { settings, ..Knowledge::default() }
    }

    /// Number of blocks remembered.
    pub fn blocks(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// An endpoint stores these blocks.
    pub fn store(
        &mut self,
        now: Duration,
        endpoint: id::EndpointId,
        blocks: impl IntoIterator<Item = id::BlockHash>,
    ) {
        for block in blocks {
            self.turn_over(now);
            let older = self.old.remove(&block);
            let holders = self.young.entry(block).or_insert_with(|| older.unwrap_or_default());
            holders.retain(|holder| *holder != endpoint);
            if holders.len() >= self.settings.max_holders {
                holders.remove(0);
            }
            holders.push(endpoint);
        }
    }

    /// An endpoint no longer holds these blocks.
    pub fn remove(
        &mut self,
        endpoint: id::EndpointId,
        blocks: impl IntoIterator<Item = id::BlockHash>,
    ) {
        for block in blocks {
            for generation in [&mut self.young, &mut self.old] {
                if let Some(holders) = generation.get_mut(&block) {
                    holders.retain(|holder| *holder != endpoint);
                }
            }
        }
    }

    /// For each endpoint that holds the first block, how many blocks it holds in a row.
    pub fn matches(&self, blocks: &[id::BlockHash]) -> Vec<(id::EndpointId, usize)> {
        let mut matches: Vec<(id::EndpointId, usize)> = Vec::new();
        for (index, block) in blocks.iter().enumerate() {
            let holders = self.holders(*block);
            if index == 0 {
                matches = holders.iter().map(|holder| (*holder, 1)).collect();
                continue;
            }
            let mut is_matched = false;
            for (holder, length) in &mut matches {
                if *length == index && holders.contains(holder) {
                    *length += 1;
                    is_matched = true;
                }
            }
            if !is_matched {
                break;
            }
        }
        matches
    }

    fn holders(&self, block: id::BlockHash) -> &[id::EndpointId] {
        let holders = self.young.get(&block).or_else(|| self.old.get(&block));
        holders.map_or(&[], Vec::as_slice)
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
