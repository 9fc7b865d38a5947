//! Rendezvous hashing: ranks nodes for a key, with the same result on every node.
//!
//! When a node is removed, only the keys for which it ranked first move.

use std::cmp::Reverse;

use xxhash_rust::xxh3;

use crate::id;

/// Score of `node` for `key`; a higher score ranks first.
pub fn score(key: u64, node: id::NodeId) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&node.to_le_bytes());
    xxh3::xxh3_64(&bytes)
}

/// Ranks `nodes` for `key`, highest score first; independent of their order, without duplicates.
pub fn rank(key: u64, nodes: impl IntoIterator<Item = id::NodeId>) -> Vec<id::NodeId> {
    let mut ranked: Vec<id::NodeId> = nodes.into_iter().collect();
    ranked.sort_unstable_by_key(|&node| (Reverse(score(key, node)), node));
    ranked.dedup();
    ranked
}

/// The `count` highest ranked of `nodes` for `key`, highest first.
pub fn top(key: u64, nodes: impl IntoIterator<Item = id::NodeId>, count: usize) -> Vec<id::NodeId> {
    let mut ranked = rank(key, nodes);
    ranked.truncate(count);
    ranked
}
