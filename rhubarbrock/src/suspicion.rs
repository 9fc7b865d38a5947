//! How long a node stays suspect before it is declared dead.
//!
//! The time grows with the logarithm of the number of nodes, since news takes
//! that long to spread. It starts long and shrinks with each further node that
//! missed an answer by itself, so that one node with a bad link declares nobody
//! dead in a hurry.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::id;

/// Longest suspicion, as a multiple of the shortest.
const MAX_TIMEOUT_FACTOR: u32 = 3;

/// Further reporters that bring a suspicion to its shortest time.
const EXPECTED_CONFIRMATIONS: usize = 2;

/// Shortest time to refute a suspicion among `nodes` nodes.
pub fn min_timeout(unit: Duration, nodes: usize) -> Duration {
    unit * (usize::BITS - nodes.max(2).leading_zeros())
}

/// Longest time to refute a suspicion among `nodes` nodes, where one node alone reports it.
pub fn max_timeout(unit: Duration, nodes: usize) -> Duration {
    min_timeout(unit, nodes) * MAX_TIMEOUT_FACTOR
}

/// A suspicion that stands against a node.
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
    /// A suspicion among `nodes` nodes, the suspect and this one counted.
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

    /// Counts a reporter; true if it is new and still wanted.
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

    /// When the suspect is declared dead.
    pub(crate) fn deadline(&self) -> Duration {
        if self.expected_confirmations == 0 {
            return self.started_at + self.min_timeout;
        }
        let further = (self.reporters.len() - 1).min(self.expected_confirmations) as u32;
        let span = (self.max_timeout - self.min_timeout) / self.expected_confirmations as u32;
        self.started_at + self.max_timeout - span * further
    }

    pub(crate) fn extend(&mut self, by: Duration) {
        self.started_at += by;
    }
}
