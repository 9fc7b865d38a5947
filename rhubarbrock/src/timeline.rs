//! Timeline of one node: events stamped with a hybrid logical clock.

use std::collections::VecDeque;
use std::time::Duration;

use rhubarbrock_schema::observe;

/// Number of events kept; beyond it the oldest are dropped.
pub const CAPACITY_EVENTS: usize = 16_384;

/// Hybrid logical clock: wall time that never decreases, with a counter for ties.
///
/// The stamps of one node strictly increase, and a stamp taken after a message
/// was received is greater than the sender's stamp in that message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HybridClock {
    wall_us: u64,
    logical: u32,
}

impl HybridClock {
    /// Returns the stamp of an event that happens at `unix_time` (time since the Unix epoch).
    pub fn stamp(&mut self, unix_time: Duration) -> HybridClock {
        let wall_us = unix_time.as_micros() as u64;
        if wall_us > self.wall_us {
            self.wall_us = wall_us;
            self.logical = 0;
        } else {
            self.logical += 1;
        }
        *self
    }

    /// Advances the clock to the wall time of a stamp received from another node, in microseconds.
    pub fn observe(&mut self, wall_us: u64) {
        if wall_us > self.wall_us {
            self.wall_us = wall_us;
            self.logical = 0;
        }
    }
}

/// Bounded buffer of a node's events.
#[derive(Debug)]
pub struct Timeline {
    node: String,
    clock: HybridClock,
    events: VecDeque<observe::TimelineEvent>,
    /// Number of the oldest event kept, counted from 0 at the node's start.
    first_number: u64,
}

/// Event before it is stamped.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Entry {
    /// Kind, such as `request.accepted`.
    pub kind: &'static str,
    /// Id of the request that it belongs to, empty for none.
    pub request: String,
    /// Reason and figures, for people to read.
    pub detail: String,
    /// Duration that ends with the event; zero for none.
    pub duration: Duration,
}

impl Timeline {
    /// Creates an empty timeline for the node named `node`.
    pub fn new(node: &str) -> Timeline {
        Timeline {
            node: node.to_owned(),
            clock: HybridClock::default(),
            events: VecDeque::new(),
            first_number: 0,
        }
    }

    /// Adds an event that happened at `unix_time` (time since the Unix epoch).
    pub fn record(&mut self, unix_time: Duration, entry: Entry) {
        let stamp = self.clock.stamp(unix_time);
        if self.events.len() == CAPACITY_EVENTS {
            self.events.pop_front();
            self.first_number += 1;
        }
        self.events.push_back(observe::TimelineEvent {
            wall_us: stamp.wall_us,
            logical: stamp.logical,
            node: self.node.clone(),
            kind: entry.kind.to_owned(),
            request: entry.request,
            detail: entry.detail,
            duration_us: entry.duration.as_micros() as u64,
        });
    }

    /// Advances the clock to the time of another node's message, in milliseconds since the epoch.
    pub fn observe(&mut self, wall_ms: u64) {
        self.clock.observe(wall_ms.saturating_mul(1_000));
    }

    /// Returns at most `limit` events, starting with event number `after`.
    pub fn page(&self, after: u64, limit: usize) -> observe::TimelinePage {
        let start = after.max(self.first_number);
        let skipped = (start - self.first_number) as usize;
        let events: Vec<_> = self.events.iter().skip(skipped).take(limit).cloned().collect();
        let next = start + events.len() as u64;
        observe::TimelinePage { events, next, dropped: start - after }
    }
}
