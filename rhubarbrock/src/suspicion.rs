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
const LONGEST_TIMES: u32 = 3;

/// Further reporters that bring a suspicion to its shortest time.
const REPORTERS_WANTED: usize = 2;

/// Shortest time to refute a suspicion among `nodes` nodes.
pub fn shortest(unit: Duration, nodes: usize) -> Duration {
    unit * (usize::BITS - nodes.max(2).leading_zeros())
}

/// Longest time to refute a suspicion among `nodes` nodes, where one node alone reports it.
pub fn longest(unit: Duration, nodes: usize) -> Duration {
    shortest(unit, nodes) * LONGEST_TIMES
}

/// A suspicion that stands against a node.
#[derive(Debug, Clone)]
pub(crate) struct Suspicion {
    started_at: Duration,
    shortest: Duration,
    longest: Duration,
    wanted: usize,
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
            shortest: shortest(unit, nodes),
            longest: longest(unit, nodes),
            wanted: nodes.saturating_sub(2).min(REPORTERS_WANTED),
            reporters: BTreeSet::from([reporter]),
            last_reporter: reporter,
        }
    }

    /// Counts a reporter; true if it is new and still wanted.
    pub(crate) fn confirm(&mut self, reporter: id::NodeId) -> bool {
        if self.reporters.len() > self.wanted || !self.reporters.insert(reporter) {
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
        if self.wanted == 0 {
            return self.started_at + self.shortest;
        }
        let further = (self.reporters.len() - 1).min(self.wanted) as u32;
        let span = (self.longest - self.shortest) / self.wanted as u32;
        self.started_at + self.longest - span * further
    }

    pub(crate) fn extend(&mut self, by: Duration) {
        self.started_at += by;
    }
}
