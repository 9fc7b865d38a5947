//! When a node appends a snapshot of the release to the log, so that notes may expire.
//!
//! The retention of the log is not known, so a snapshot is due by its age and
//! by the share of the retained records that it does not cover, whichever is
//! more. The live nodes rank themselves by a hash; the first writes at the
//! threshold, each next one a little later. Where no snapshot is known that a
//! new reader could start from, the first writes at once. Doubles are harmless.

use std::time::Duration;

use prost::Message;
use rhubarbrock_schema::log;
use xxhash_rust::xxh3;

use crate::id::{NodeId, Offset};
use crate::release::ReleaseLog;

/// Age at which a snapshot counts as used up.
pub const MAX_AGE: Duration = Duration::from_secs(600);

/// Fewest records that the log is believed to keep.
const MIN_WINDOW: u64 = 16;

/// Most records that count as kept, so that a new reader has few to read.
const MAX_WINDOW: u64 = 1_024;

/// Share used up, in percent, at which the first node writes.
const FIRST_PERCENT: u64 = 50;

/// Share added for each rank before, in percent.
const RANK_PERCENT: u64 = 5;

/// Nodes that may write; the others leave it to them.
const WRITERS: u64 = 8;

/// Time between two snapshots of one node.
const RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// A snapshot's time may be this far ahead of this node's wall clock.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// What a node knows of the log and of the other nodes.
#[derive(Debug, Clone, Copy)]
pub struct SnapshotInput<'i> {
    /// This node.
    pub node: NodeId,
    /// Live nodes, with or without this one.
    pub live_nodes: &'i [NodeId],
    /// Offset of the oldest record that the log still has.
    pub oldest_offset: Offset,
    /// Offset after the log's last record.
    pub end_offset: Offset,
    /// Time since the Unix epoch.
    pub unix_time: Duration,
}

/// The snapshots of one node.
#[derive(Debug, Clone, Default)]
pub struct Writer {
    last_attempt: Option<Duration>,
    missing_since: Option<Duration>,
}

impl Writer {
    /// The record to append to topic "release" now, if it is this node's turn.
    pub fn due(
        &mut self,
        log: &ReleaseLog,
        input: &SnapshotInput<'_>,
        now: Duration,
    ) -> Option<Vec<u8>> {
        let is_due = self.is_due(log, input, now);
        let is_waiting =
            self.last_attempt.is_some_and(|last| now.saturating_sub(last) < RETRY_INTERVAL);
        if !is_due || is_waiting {
            return None;
        }
        self.last_attempt = Some(now);
        record(log, input.unix_time)
    }

    fn is_due(&mut self, log: &ReleaseLog, input: &SnapshotInput<'_>, now: Duration) -> bool {
        if log.complete_release().is_none() || log.covered_offset() == 0 {
            return false;
        }
        let rank = rank(log, input);
        if rank >= WRITERS {
            return false;
        }
        match used_percent(log, input) {
            Some(used) => {
                self.missing_since = None;
                used >= FIRST_PERCENT + rank * RANK_PERCENT
            }
            None => {
                let since = *self.missing_since.get_or_insert(now);
                now.saturating_sub(since) >= RETRY_INTERVAL * rank as u32
            }
        }
    }
}

/// The snapshot of this reader's release; none while records before it are missing.
pub fn record(log: &ReleaseLog, unix_time: Duration) -> Option<Vec<u8>> {
    let snapshot = log::ReleaseSnapshot {
        release: Some(log.complete_release()?.clone()),
        covered_offset: log.covered_offset(),
        written_at_ms: unix_time.as_millis() as u64,
    };
    let body = log::release_record::Body::Snapshot(snapshot);
    Some(log::ReleaseRecord { body: Some(body) }.encode_to_vec())
}

/// Share of the last snapshot's life that is used up, in percent; none where no usable one is known.
fn used_percent(log: &ReleaseLog, input: &SnapshotInput<'_>) -> Option<u64> {
    let last = log.last_snapshot()?;
    let written_at = Duration::from_millis(last.written_at_ms);
    let is_ahead = written_at > input.unix_time + MAX_CLOCK_SKEW;
    if is_ahead || last.covered + 1 < input.oldest_offset {
        return None;
    }
    // What the log holds now bounds from below what it keeps.
    let window = input.end_offset.saturating_sub(input.oldest_offset).clamp(MIN_WINDOW, MAX_WINDOW);
    let uncovered = input.end_offset.saturating_sub(last.covered + 1);
    let age = input.unix_time.saturating_sub(written_at);
    let used_age = percent(age.as_millis() as u64, MAX_AGE.as_millis() as u64);
    Some(used_age.max(percent(uncovered, window)))
}

fn percent(part: u64, whole: u64) -> u64 {
    part.saturating_mul(100) / whole
}

/// Number of live nodes before this one; changes with each snapshot, so that all take turns.
fn rank(log: &ReleaseLog, input: &SnapshotInput<'_>) -> u64 {
    let turn = log.last_snapshot().map_or(0, |last| last.covered);
    let own = weight(input.node, turn);
    input.live_nodes.iter().filter(|&&node| weight(node, turn) < own).count() as u64
}

fn weight(node: NodeId, turn: Offset) -> (u64, NodeId) {
    (xxh3::xxh3_64_with_seed(&node.to_le_bytes(), turn), node)
}
