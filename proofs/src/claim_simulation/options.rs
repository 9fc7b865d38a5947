//! Settings of a simulation of claims.

use std::time::Duration;

use super::KEY_LIFETIME;

/// Settings of a simulation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Number of nodes.
    pub nodes: usize,
    /// Whether the service rejects stale fencing tokens.
    pub checks_fencing: bool,
    /// Frequency of faults of nodes, log and service, in percent of the highest rate; 0 for none.
    pub fault_percent: u32,
    /// Share of new keys that belong to a sequence, in percent.
    pub sequence_percent: u32,
    /// Whether callers always mark the repetition of a key.
    pub marks_repetitions: bool,
    /// Time for which the log keeps records.
    pub log_retention: Duration,
}

impl Options {
    /// Two or three nodes with every kind of fault. The seed also decides whether the service
    /// checks fencing tokens, callers always mark repetitions, and the log keeps records for less
    /// than the lifetime of a key.
    pub fn with_faults(seed: u64) -> Options {
        let has_short_retention = seed % 7 == 3;
        Options {
            nodes: 2 + (seed % 2) as usize,
            checks_fencing: seed.is_multiple_of(4),
            fault_percent: 100,
            sequence_percent: if seed.is_multiple_of(3) { 40 } else { 5 },
            marks_repetitions: has_short_retention || !seed.is_multiple_of(5),
            log_retention: if has_short_retention { KEY_LIFETIME / 20 } else { KEY_LIFETIME * 3 },
        }
    }

    /// Like [`Options::with_faults`], with a hundredth of the fault rate.
    pub fn with_rare_faults(seed: u64) -> Options {
        Options { fault_percent: 1, ..Options::with_faults(seed) }
    }

    /// Three nodes without faults.
    pub fn without_faults() -> Options {
        Options {
            nodes: 3,
            checks_fencing: false,
            fault_percent: 0,
            sequence_percent: 10,
            marks_repetitions: true,
            log_retention: KEY_LIFETIME * 3,
        }
    }
}
