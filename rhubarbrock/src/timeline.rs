//! Time line of one node: events stamped with a hybrid logical clock.

use std::collections::VecDeque;
use std::time::Duration;

use rhubarbrock_schema::observe;

/// Events kept before the oldest are dropped.
pub const CAPACITY_EVENTS: usize = 16_384;

/// Hybrid logical clock: wall time that never goes back, with a counter for ties.
///
/// Stamps of one node increase, and a stamp taken after a message was received
/// is above the sender's stamp in that message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HybridClock {
    wall_us: u64,
    logical: u32,
}

impl HybridClock {
    /// The stamp of an event that happens at `wall` (time since the Unix epoch).
    pub fn stamp(&mut self, wall: Duration) -> HybridClock {
        let wall_us = wall.as_micros() as u64;
        if wall_us > self.wall_us {
            self.wall_us = wall_us;
            self.logical = 0;
        } else {
            self.logical += 1;
        }
        *self
    }

    /// Takes in the wall part of a stamp received from another node.
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
    /// Number of the first event still kept.
    first: u64,
}

/// What happened, before it is stamped.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Entry {
    /// Kind, such as `request.accepted`.
    pub kind: &'static str,
    /// Request it belongs to, empty for none.
    pub request: String,
    /// Why, and with what figures.
    pub detail: String,
    /// Duration that ends with the event.
    pub duration: Duration,
}

impl Timeline {
    /// An empty time line of the node called `node`.
    pub fn new(node: &str) -> Timeline {
        Timeline {
            node: node.to_owned(),
            clock: HybridClock::default(),
            events: VecDeque::new(),
            first: 0,
        }
    }

    /// Adds an event that happened at `wall`.
    pub fn record(&mut self, wall: Duration, entry: Entry) {
        let stamp = self.clock.stamp(wall);
        if self.events.len() == CAPACITY_EVENTS {
            self.events.pop_front();
            self.first += 1;
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

    /// Takes in a time received from another node.
    pub fn observe(&mut self, wall_ms: u64) {
        self.clock.observe(wall_ms.saturating_mul(1_000));
    }

    /// At most `limit` events from number `after` on.
    pub fn page(&self, after: u64, limit: usize) -> observe::TimelinePage {
        let start = after.max(self.first);
        let skipped = (start - self.first) as usize;
        let events: Vec<_> = self.events.iter().skip(skipped).take(limit).cloned().collect();
        let next = start + events.len() as u64;
        observe::TimelinePage { events, next, dropped: start - after }
    }
}
