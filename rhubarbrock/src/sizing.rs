//! How many slots keep a latency target: the Erlang C formula.
//!
//! A slot is room for one request at an engine. Requests that come at random
//! and find all slots taken wait in one queue.

use std::time::Duration;

/// Share of requests that may miss the target: 5 in 100.
pub const MISSED_SHARE: f64 = 0.05;

/// Most slots that are thought of.
const MAX_SLOTS: u32 = 100_000;

/// Share of requests that wait longer than `target`.
///
/// `busy` is the mean number of slots that the work takes, `hold` how long a
/// request takes its slot.
pub fn late_share(slots: u32, busy: f64, hold: Duration, target: Duration) -> f64 {
    if busy <= 0.0 {
        return 0.0;
    }
    if f64::from(slots) <= busy {
        return 1.0;
    }
    let blocked = (1..=slots).fold(1.0, |blocked, slot| {
        let carried = busy * blocked;
        carried / (f64::from(slot) + carried)
    });
    late(blocked, slots, busy, hold, target)
}

/// Fewest slots with which no more than `missed` of the requests wait longer than `target`.
pub fn slots_needed(busy: f64, hold: Duration, target: Duration, missed: f64) -> u32 {
    if busy <= 0.0 {
        return 0;
    }
    let mut blocked = 1.0;
    for slot in 1..=MAX_SLOTS {
        let carried = busy * blocked;
        blocked = carried / (f64::from(slot) + carried);
        let is_enough = f64::from(slot) > busy;
        if is_enough && late(blocked, slot, busy, hold, target) <= missed {
            return slot;
        }
    }
    MAX_SLOTS
}

/// From the share that Erlang B blocks to the share that waits longer than `target`.
fn late(blocked: f64, slots: u32, busy: f64, hold: Duration, target: Duration) -> f64 {
    let free = f64::from(slots) - busy;
    let waiting = f64::from(slots) * blocked / (free + busy * blocked);
    waiting * (-free * target.as_secs_f64() / hold.as_secs_f64()).exp()
}
