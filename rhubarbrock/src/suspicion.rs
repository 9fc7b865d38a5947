//! Timeout after which a suspect node is declared dead.
//!
//! The timeout grows with the logarithm of the number of nodes, as does the time
//! that gossip takes to reach all of them. It starts at its maximum and shrinks
//! with each further node that reports a missed answer of its own, so that a
//! single node with a bad link does not declare others dead quickly.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::id;

/// Maximum timeout, as a multiple of the minimum.
const MAX_TIMEOUT_FACTOR: u32 = 3;

/// Reports by further nodes that reduce the timeout to its minimum.
const EXPECTED_CONFIRMATIONS: usize = 2;

/// Minimum suspicion timeout among `nodes` nodes: `unit` times the number of binary digits of
/// `nodes`, at least 2.
pub fn min_timeout(unit: Duration, nodes: usize) -> Duration {
    unit * (usize::BITS - nodes.max(2).leading_zeros())
}

/// Suspicion timeout among `nodes` nodes as long as only one node reports the suspicion.
pub fn max_timeout(unit: Duration, nodes: usize) -> Duration {
    min_timeout(unit, nodes) * MAX_TIMEOUT_FACTOR
}

/// An unrefuted suspicion against one node.
#[derive(Debug, Clone)]
pub(crate) struct Suspicion {
    started_at: Duration,
    min_timeout: Duration,
    max_timeout: Duration,
    expected_confirmations: usize,
    reporters: BTreeSet<id::NodeId>,
    last_reporter: id::NodeId,
}

impl Suspicion {
    /// Creates a suspicion; `nodes` includes the suspect and this node.
    pub(crate) fn new(
        now: Duration,
        unit: Duration,
        nodes: usize,
        reporter: id::NodeId,
    ) -> Suspicion {
        Suspicion {
            started_at: now,
            min_timeout: min_timeout(unit, nodes),
            max_timeout: max_timeout(unit, nodes),
            expected_confirmations: nodes.saturating_sub(2).min(EXPECTED_CONFIRMATIONS),
            reporters: BTreeSet::from([reporter]),
            last_reporter: reporter,
        }
    }

    /// Adds a reporter; returns true if it is new and shortens the timeout.
    pub(crate) fn confirm(&mut self, reporter: id::NodeId) -> bool {
        if self.reporters.len() > self.expected_confirmations || !self.reporters.insert(reporter) {
            return false;
        }
        self.last_reporter = reporter;
        true
    }

    pub(crate) fn last_reporter(&self) -> id::NodeId {
        self.last_reporter
    }

    /// Time at which the suspect is declared dead.
    pub(crate) fn deadline(&self) -> Duration {
        if self.expected_confirmations == 0 {
            return self.started_at + self.min_timeout;
        }
        let confirmations = (self.reporters.len() - 1).min(self.expected_confirmations) as u32;
        let reduction = (self.max_timeout - self.min_timeout) / self.expected_confirmations as u32;
        self.started_at + self.max_timeout - reduction * confirmations
    }

    pub(crate) fn extend(&mut self, by: Duration) {
        self.started_at += by;
    }
}
