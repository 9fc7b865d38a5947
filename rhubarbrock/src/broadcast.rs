//! Queue of membership updates to gossip, each sent a bounded number of times.

use std::collections::BTreeMap;

use crate::id;

/// Transmissions of one update by one node, per doubling of the number of nodes.
const TRANSMISSIONS_PER_DOUBLING: u32 = 2;

/// Number of times that each of `nodes` nodes sends one update; grows with their logarithm.
pub fn max_transmissions(nodes: usize) -> u32 {
    TRANSMISSIONS_PER_DOUBLING * (usize::BITS - nodes.max(1).leading_zeros())
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    transmissions: u32,
    sequence: u64,
}

/// Nodes whose latest state is still to be sent.
#[derive(Debug, Clone, Default)]
pub(crate) struct Broadcasts {
    pending: BTreeMap<id::NodeId, Pending>,
    sequence: u64,
}

impl Broadcasts {
    /// Queues a node's state, with a fresh transmission count if it is queued already.
    pub(crate) fn add(&mut self, node: id::NodeId) {
        self.sequence += 1;
        self.pending.insert(node, Pending { transmissions: 0, sequence: self.sequence });
    }

    /// Queued nodes, least sent first; of equally sent ones, the last queued first.
    pub(crate) fn send_order(&self) -> Vec<id::NodeId> {
        let mut order: Vec<(u32, std::cmp::Reverse<u64>, id::NodeId)> = self
            .pending
            .iter()
            .map(|(&node, pending)| {
                (pending.transmissions, std::cmp::Reverse(pending.sequence), node)
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, _, node)| node).collect()
    }

    /// Counts a transmission and removes the node after `limit` of them.
    pub(crate) fn record_transmission(&mut self, node: id::NodeId, limit: u32) {
        let Some(pending) = self.pending.get_mut(&node) else { return };
        pending.transmissions += 1;
        if pending.transmissions >= limit {
            self.pending.remove(&node);
        }
    }

    pub(crate) fn remove(&mut self, node: id::NodeId) {
        self.pending.remove(&node);
    }
}
