//! Decides when a node appends a snapshot of the release to the log, so that readers do not need old
//! notes that the log drops.
//!
//! The retention of the log is unknown. The last snapshot is therefore used up by
//! its age and by the share of the retained records that it does not cover,
//! whichever is more. The live nodes rank themselves by a hash: the first one
//! writes at a threshold, each further one a little later. If no snapshot is known
//! that a new reader can start from, the first node writes one at once. Duplicate
//! snapshots are harmless.

use std::time::Duration;

use prost::Message;
use rhubarbrock_schema::log;
use xxhash_rust::xxh3;

use crate::id::{NodeId, Offset};
use crate::release::ReleaseLog;

/// Age at which a snapshot is used up.
pub const MAX_AGE: Duration = Duration::from_secs(600);

/// Minimum number of records that the log is assumed to retain.
const MIN_WINDOW_RECORDS: u64 = 16;

/// Maximum number of retained records that count, so that a new reader has few records to read.
const MAX_WINDOW_RECORDS: u64 = 1_024;

/// Used share of a snapshot at which the first node writes the next, in percent.
const FIRST_WRITE_PERCENT: u64 = 50;

/// Further used share before the node of the next rank writes, in percent.
const PERCENT_PER_RANK: u64 = 5;

/// Number of nodes, first in rank, that write snapshots.
const MAX_WRITERS: u64 = 8;

/// Minimum time between two snapshots of one node, and delay per rank if no snapshot is known.
const RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum time by which a snapshot's time may be ahead of this node's wall clock; beyond it the
/// snapshot is not relied on.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// What a node knows of the log and of the other nodes.
#[derive(Debug, Clone, Copy)]
pub struct SnapshotInput<'i> {
    /// Id of this node.
    pub node: NodeId,
    /// Ids of the live nodes, with or without this one.
    pub live_nodes: &'i [NodeId],
    /// Offset of the oldest record in the log.
    pub oldest_offset: Offset,
    /// Offset that the next record gets.
    pub end_offset: Offset,
    /// Wall-clock time since the Unix epoch.
    pub unix_time: Duration,
}

/// Writer of the snapshots of one node.
#[derive(Debug, Clone, Default)]
pub struct Writer {
    last_attempt: Option<Duration>,
    missing_since: Option<Duration>,
}

impl Writer {
    /// Returns the record to append to topic "release", if this node is to write a snapshot now.
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
        if rank >= MAX_WRITERS {
            return false;
        }
        match used_percent(log, input) {
            Some(used) => {
                self.missing_since = None;
                used >= FIRST_WRITE_PERCENT + rank * PERCENT_PER_RANK
            }
            None => {
                let since = *self.missing_since.get_or_insert(now);
                now.saturating_sub(since) >= RETRY_INTERVAL * rank as u32
            }
        }
    }
}

/// Encodes a snapshot of this reader's release; `None` while earlier records are missing.
pub fn record(log: &ReleaseLog, unix_time: Duration) -> Option<Vec<u8>> {
    let snapshot = log::ReleaseSnapshot {
        release: Some(log.complete_release()?.clone()),
        covered_offset: log.covered_offset(),
        written_at_ms: unix_time.as_millis() as u64,
    };
    let body = log::release_record::Body::Snapshot(snapshot);
    Some(log::ReleaseRecord { body: Some(body) }.encode_to_vec())
}

/// Used share of the last snapshot, in percent; `None` if no snapshot is known that a new reader can
/// start from.
fn used_percent(log: &ReleaseLog, input: &SnapshotInput<'_>) -> Option<u64> {
    let last = log.last_snapshot()?;
    let written_at = Duration::from_millis(last.written_at_ms);
    let is_ahead = written_at > input.unix_time + MAX_CLOCK_SKEW;
    if is_ahead || last.covered_offset + 1 < input.oldest_offset {
        return None;
    }
    // The log retains at least as many records as it holds now.
    let window_records = input
        .end_offset
        .saturating_sub(input.oldest_offset)
        .clamp(MIN_WINDOW_RECORDS, MAX_WINDOW_RECORDS);
    let uncovered_records = input.end_offset.saturating_sub(last.covered_offset + 1);
    let age = input.unix_time.saturating_sub(written_at);
    let used_by_age = percent(age.as_millis() as u64, MAX_AGE.as_millis() as u64);
    Some(used_by_age.max(percent(uncovered_records, window_records)))
}

fn percent(part: u64, whole: u64) -> u64 {
    part.saturating_mul(100) / whole
}

/// Number of live nodes ahead of this one. The order changes with each snapshot, so that the work is
/// shared.
fn rank(log: &ReleaseLog, input: &SnapshotInput<'_>) -> u64 {
    let seed = log.last_snapshot().map_or(0, |last| last.covered_offset);
    let own = rank_key(input.node, seed);
    input.live_nodes.iter().filter(|&&node| rank_key(node, seed) < own).count() as u64
}

fn rank_key(node: NodeId, seed: Offset) -> (u64, NodeId) {
    (xxh3::xxh3_64_with_seed(&node.to_le_bytes(), seed), node)
}
