//! How many slots keep a latency target: the Erlang C formula.
//!
//! A slot is room for one request at an engine. Requests that come at random
//! and find all slots taken wait in one queue.

use std::time::Duration;

/// Share of requests that may miss the target: 5 in 100.
pub const MAX_LATE_SHARE: f64 = 0.05;

/// Most slots that are thought of.
const MAX_SLOTS: u32 = 100_000;

/// Share of requests that wait longer than `max_wait`.
///
/// `offered_load` is the mean number of slots that the work takes, `service_time` how long a
/// request takes its slot.
pub fn late_share(
    slots: u32,
    offered_load: f64,
    service_time: Duration,
    max_wait: Duration,
) -> f64 {
    if offered_load <= 0.0 {
        return 0.0;
    }
    if f64::from(slots) <= offered_load {
        return 1.0;
    }
    let blocked = (1..=slots).fold(1.0, |blocked, slot| {
        let carried = offered_load * blocked;
        carried / (f64::from(slot) + carried)
    });
    late_share_of_blocked(blocked, slots, offered_load, service_time, max_wait)
}

/// Fewest slots with which no more than `max_late_share` of the requests wait longer than `max_wait`.
pub fn slots_needed(
    offered_load: f64,
    service_time: Duration,
    max_wait: Duration,
    max_late_share: f64,
) -> u32 {
    if offered_load <= 0.0 {
        return 0;
    }
    let mut blocked = 1.0;
    for slot in 1..=MAX_SLOTS {
        let carried = offered_load * blocked;
        blocked = carried / (f64::from(slot) + carried);
        let is_enough = f64::from(slot) > offered_load;
        if is_enough
            && late_share_of_blocked(blocked, slot, offered_load, service_time, max_wait)
                <= max_late_share
        {
            return slot;
        }
    }
    MAX_SLOTS
}

/// From the share that Erlang B blocks to the share that waits longer than `max_wait`.
fn late_share_of_blocked(
    blocked: f64,
    slots: u32,
    offered_load: f64,
    service_time: Duration,
    max_wait: Duration,
) -> f64 {
    let free = f64::from(slots) - offered_load;
    let waiting = f64::from(slots) * blocked / (free + offered_load * blocked);
    waiting * (-free * max_wait.as_secs_f64() / service_time.as_secs_f64()).exp()
}
