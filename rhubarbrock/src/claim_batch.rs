//! Group commit: entries that wait while an append is under way go together in the next one.
//!
//! The log takes several hundred appends a second from the whole fleet. A node
//! appends for itself while the fleet is small; at scale a few appenders per
//! data centre, chosen by rendezvous hashing, append for the others.

use std::collections::VecDeque;
use std::time::Duration;

use crate::claim_table::Nonce;
use crate::id::{CallId, NodeId};
use crate::rendezvous;

/// Number of one append of a node.
pub type BatchId = u64;

/// First wait after an append that failed; doubled at each further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(20);

/// Longest wait after an append that failed.
const LONGEST_BACKOFF: Duration = Duration::from_secs(2);

/// What waits for an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ticket {
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
    tickets: Vec<Ticket>,
    sent_at: Duration,
}

/// Queue of entries in front of the log; at most one append is under way.
#[derive(Debug)]
pub(crate) struct Batcher {
    interval: Duration,
    timeout: Duration,
    queue: VecDeque<Ticket>,
    in_flight: Option<InFlight>,
    not_before: Duration,
    failures: u32,
    last_batch: BatchId,
}

impl Batcher {
    pub(crate) fn new(interval: Duration, timeout: Duration) -> Batcher {
        Batcher {
            interval,
            timeout,
            queue: VecDeque::new(),
            in_flight: None,
            not_before: Duration::ZERO,
            failures: 0,
            last_batch: 0,
        }
    }

    pub(crate) fn push(&mut self, ticket: Ticket) {
        self.queue.push_back(ticket);
    }

    pub(crate) fn pop(&mut self) -> Option<Ticket> {
        self.queue.pop_front()
    }

    /// Whether an append may be sent now.
    pub(crate) fn is_open(&self, now: Duration) -> bool {
        self.in_flight.is_none() && now >= self.not_before && !self.queue.is_empty()
    }

    /// Whether nothing waits and nothing is under way.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight.is_none() && self.queue.is_empty()
    }

    /// Notes that these tickets were sent; gives the number of their append.
    pub(crate) fn send(&mut self, now: Duration, tickets: Vec<Ticket>) -> BatchId {
        assert!(self.in_flight.is_none(), "one append at a time");
        self.last_batch += 1;
        self.not_before = now + self.interval;
        self.in_flight = Some(InFlight { batch: self.last_batch, tickets, sent_at: now });
        self.last_batch
    }

    /// Ends the append under way if it is this one. A failed one gives its tickets back.
    pub(crate) fn end(&mut self, now: Duration, batch: BatchId, has_failed: bool) -> Vec<Ticket> {
        match self.in_flight.take_if(|sent| sent.batch == batch) {
            None => Vec::new(),
            Some(_) if !has_failed => {
                self.failures = 0;
                Vec::new()
            }
            Some(sent) => {
                let backoff = FIRST_BACKOFF * 2u32.pow(self.failures.min(10));
                self.failures += 1;
                self.not_before = now + backoff.min(LONGEST_BACKOFF);
                sent.tickets
            }
        }
    }

    /// The append under way, if its answer is overdue.
    pub(crate) fn overdue(&self, now: Duration) -> Option<BatchId> {
        let sent = self.in_flight.as_ref()?;
        (now >= sent.sent_at + self.timeout).then_some(sent.batch)
    }
}

/// Key by which a data centre's appenders are ranked.
const APPENDERS_KEY: u64 = 0;

/// The nodes of a data centre that append for all of it: the `count` best by rendezvous hash.
///
/// Every node with the same view chooses the same ones; a changed member moves
/// only its own share.
pub fn appenders(members: &[NodeId], count: usize) -> Vec<NodeId> {
    rendezvous::top(APPENDERS_KEY, members.iter().copied(), count)
}

/// The appender that `node` hands its entries to; `None` where there are no members.
pub fn appender(node: NodeId, members: &[NodeId], count: usize) -> Option<NodeId> {
    let chosen = appenders(members, count);
    if chosen.contains(&node) {
        return Some(node);
    }
    rendezvous::rank(node, chosen).first().copied()
}

/// Shortest time between appends of one appender, so that `appender_count` of them together stay
/// within `appends_per_s` over the fleet.
pub fn append_interval(appender_count: usize, appends_per_s: u32) -> Duration {
    Duration::from_secs(1) * appender_count.max(1) as u32 / appends_per_s.max(1)
}
