//! Counts of a run.

use std::collections::BTreeMap;

use rhubarbrock::claim;

/// Counts of one run. The conclusions are those reported to callers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Events drawn, including those that had no effect.
    pub events: u64,
    /// Calls started.
    pub calls: u64,
    /// Runs at the service.
    pub runs: u64,
    /// Calls answered by their own dispatch.
    pub answered: u64,
    /// Calls answered with the recorded answer of an earlier call.
    pub replayed: u64,
    /// Calls concluded as not run, by reason.
    pub not_run: BTreeMap<claim::NotRunReason, u64>,
    /// Calls concluded as in doubt, by reason.
    pub in_doubt: BTreeMap<claim::InDoubtReason, u64>,
    /// Calls concluded as in doubt whose key never ran.
    pub in_doubt_without_run: u64,
    /// Calls refused because their key belongs to another request.
    pub mismatches: u64,
    /// Calls refused because the lifetime of their key is over.
    pub expired_keys: u64,
    /// Calls whose node was killed before their conclusion.
    pub lost_calls: u64,
}

impl Report {
    /// Adds another run's counts.
    pub fn add(&mut self, other: &Report) {
        self.events += other.events;
        self.calls += other.calls;
        self.runs += other.runs;
        self.answered += other.answered;
        self.replayed += other.replayed;
        for (reason, count) in &other.not_run {
            *self.not_run.entry(*reason).or_default() += count;
        }
        for (reason, count) in &other.in_doubt {
            *self.in_doubt.entry(*reason).or_default() += count;
        }
        self.in_doubt_without_run += other.in_doubt_without_run;
        self.mismatches += other.mismatches;
        self.expired_keys += other.expired_keys;
        self.lost_calls += other.lost_calls;
    }
}
