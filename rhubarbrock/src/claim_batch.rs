//! Group commit: entries queued while an append is in flight are sent together in the next one.
//!
//! The log accepts several hundred appends per second from all nodes together.
//! In a small deployment each node appends its own entries; in a large one a
//! few appenders per data centre, chosen by rendezvous hashing, append for the
//! other nodes.

use std::collections::VecDeque;
use std::time::Duration;

use crate::claim_table::Nonce;
use crate::id::{CallId, NodeId};
use crate::rendezvous;

/// Number of one append, unique within a node.
pub type BatchId = u64;

/// Wait after a failed append; doubled after each further consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Longest wait after a failed append.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Identifies an entry to append; its content is built when it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EntryId {
    /// The claim of a call.
    Claim(CallId),
    /// The refusal of a call.
    Refusal(CallId),
    /// The end of a claim.
    End(Nonce),
}

#[derive(Debug)]
struct InFlight {
    batch: BatchId,
    entry_ids: Vec<EntryId>,
    sent_at: Duration,
}

/// Queue of entries to append, with at most one append in flight.
#[derive(Debug)]
pub(crate) struct Batcher {
    interval: Duration,
    timeout: Duration,
    queue: VecDeque<EntryId>,
    in_flight: Option<InFlight>,
    next_send_at: Duration,
    consecutive_failures: u32,
    last_batch: BatchId,
}

impl Batcher {
    pub(crate) fn new(interval: Duration, timeout: Duration) -> Batcher {
        Batcher {
            interval,
            timeout,
            queue: VecDeque::new(),
            in_flight: None,
            next_send_at: Duration::ZERO,
            consecutive_failures: 0,
            last_batch: 0,
        }
    }

    pub(crate) fn push(&mut self, entry_id: EntryId) {
        self.queue.push_back(entry_id);
    }

    pub(crate) fn pop(&mut self) -> Option<EntryId> {
        self.queue.pop_front()
    }

    /// Whether entries are queued and an append may be sent now.
    pub(crate) fn can_send(&self, now: Duration) -> bool {
        self.in_flight.is_none() && now >= self.next_send_at && !self.queue.is_empty()
    }

    /// Whether no entry is queued and no append is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight.is_none() && self.queue.is_empty()
    }

    /// Records that these entries were sent, and returns the number of their append.
    pub(crate) fn send(&mut self, now: Duration, entry_ids: Vec<EntryId>) -> BatchId {
        assert!(self.in_flight.is_none(), "an append is already in flight");
        self.last_batch += 1;
        self.next_send_at = now + self.interval;
        self.in_flight = Some(InFlight { batch: self.last_batch, entry_ids, sent_at: now });
        self.last_batch
    }

    /// Completes the append in flight if it is this one; returns its entries if it failed.
    pub(crate) fn finish(
        &mut self,
        now: Duration,
        batch: BatchId,
        has_failed: bool,
    ) -> Vec<EntryId> {
        match self.in_flight.take_if(|sent| sent.batch == batch) {
            None => Vec::new(),
            Some(_) if !has_failed => {
                self.consecutive_failures = 0;
                Vec::new()
            }
            Some(sent) => {
                let backoff = INITIAL_BACKOFF * 2u32.pow(self.consecutive_failures.min(10));
                self.consecutive_failures += 1;
                self.next_send_at = now + backoff.min(MAX_BACKOFF);
                sent.entry_ids
            }
        }
    }

    /// The append in flight, if the append time-out is over.
    pub(crate) fn overdue_batch(&self, now: Duration) -> Option<BatchId> {
        let sent = self.in_flight.as_ref()?;
        (now >= sent.sent_at + self.timeout).then_some(sent.batch)
    }
}

/// Rendezvous hash key by which the appenders of a data centre are ranked.
const APPENDER_RANKING_KEY: u64 = 0;

/// Returns the nodes that append for all `members` of a data centre: the `count` best by
/// rendezvous hash.
///
/// Nodes with the same membership choose the same appenders, and a change of one
/// member moves only that member's share.
pub fn appenders(members: &[NodeId], count: usize) -> Vec<NodeId> {
    rendezvous::top(APPENDER_RANKING_KEY, members.iter().copied(), count)
}

/// Returns the appender to which `node` sends its entries; `None` if there are no members.
pub fn appender(node: NodeId, members: &[NodeId], count: usize) -> Option<NodeId> {
    let chosen = appenders(members, count);
    if chosen.contains(&node) {
        return Some(node);
    }
    rendezvous::rank(node, chosen).first().copied()
}

/// Shortest time between appends of one appender, so that `appender_count` appenders together
/// stay within `appends_per_s` appends per second.
pub fn append_interval(appender_count: usize, appends_per_s: u32) -> Duration {
    Duration::from_secs(1) * appender_count.max(1) as u32 / appends_per_s.max(1)
}
