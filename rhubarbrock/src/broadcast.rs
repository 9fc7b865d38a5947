//! Which nodes' news is told on, each change a bounded number of times.

use std::collections::BTreeMap;

use crate::id;

/// Tellings of one change, per doubling of the number of nodes.
const TRANSMISSIONS_PER_DOUBLING: u32 = 2;

/// How often one change is told by each node among `nodes` nodes.
pub fn max_transmissions(nodes: usize) -> u32 {
    TRANSMISSIONS_PER_DOUBLING * (usize::BITS - nodes.max(1).leading_zeros())
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    told: u32,
    serial: u64,
}

/// Nodes whose news is still to be told.
#[derive(Debug, Clone, Default)]
pub(crate) struct Broadcasts {
    pending: BTreeMap<id::NodeId, Pending>,
    serial: u64,
}

impl Broadcasts {
    /// Starts to tell of a node, from the beginning where it is told of already.
    pub(crate) fn add(&mut self, node: id::NodeId) {
        self.serial += 1;
        self.pending.insert(node, Pending { told: 0, serial: self.serial });
    }

    /// Nodes to tell of, the least told first, then the newest.
    pub(crate) fn send_order(&self) -> Vec<id::NodeId> {
        let mut order: Vec<(u32, std::cmp::Reverse<u64>, id::NodeId)> = self
            .pending
            .iter()
            .map(|(&node, pending)| (pending.told, std::cmp::Reverse(pending.serial), node))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, _, node)| node).collect()
    }

    /// Counts a telling and ends the news that was told `limit` times.
    pub(crate) fn record_transmission(&mut self, node: id::NodeId, limit: u32) {
        let Some(pending) = self.pending.get_mut(&node) else { return };
        pending.told += 1;
        if pending.told >= limit {
            self.pending.remove(&node);
        }
    }

    pub(crate) fn remove(&mut self, node: id::NodeId) {
        self.pending.remove(&node);
    }
}
