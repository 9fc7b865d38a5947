//! Number of slots that meet a latency target, by the Erlang C formula.
//!
//! A slot is the capacity for one request at an engine. The model is an M/M/n
//! queue: random arrivals that find all slots in use wait in one queue.

use std::time::Duration;

/// Share of requests that may wait longer than the target: 5 in 100.
pub const MAX_LATE_SHARE: f64 = 0.05;

/// Largest number of slots considered.
const MAX_SLOTS: u32 = 100_000;

/// Share of requests that wait longer than `max_wait`, from 0 to 1.
///
/// `offered_load` is the mean number of slots in use, in Erlangs; `holding_time` is the mean time
/// for which a request uses a slot. If there are not more slots than the offered load, the result
/// is 1.
pub fn late_share(
    slots: u32,
    offered_load: f64,
    holding_time: Duration,
    max_wait: Duration,
) -> f64 {
    if offered_load <= 0.0 {
        return 0.0;
    }
    if f64::from(slots) <= offered_load {
        return 1.0;
    }
    let blocking = (1..=slots).fold(1.0, |blocking, slot| {
        let carried = offered_load * blocking;
        carried / (f64::from(slot) + carried)
    });
    late_share_of_blocking(blocking, slots, offered_load, holding_time, max_wait)
}

/// Fewest slots with which at most `max_late_share` of the requests wait longer than `max_wait`.
///
/// For the other parameters see [`late_share`]. The result is at most 100,000.
pub fn slots_needed(
    offered_load: f64,
    holding_time: Duration,
    max_wait: Duration,
    max_late_share: f64,
) -> u32 {
    if offered_load <= 0.0 {
        return 0;
    }
    let mut blocking = 1.0;
    for slot in 1..=MAX_SLOTS {
        let carried = offered_load * blocking;
        blocking = carried / (f64::from(slot) + carried);
        let is_enough = f64::from(slot) > offered_load;
        if is_enough
            && late_share_of_blocking(blocking, slot, offered_load, holding_time, max_wait)
                <= max_late_share
        {
            return slot;
        }
    }
    MAX_SLOTS
}

/// Converts the blocking probability (Erlang B) to the share that waits longer than `max_wait`.
fn late_share_of_blocking(
    blocking: f64,
    slots: u32,
    offered_load: f64,
    holding_time: Duration,
    max_wait: Duration,
) -> f64 {
    let free = f64::from(slots) - offered_load;
    let waiting = f64::from(slots) * blocking / (free + offered_load * blocking);
    waiting * (-free * max_wait.as_secs_f64() / holding_time.as_secs_f64()).exp()
}
