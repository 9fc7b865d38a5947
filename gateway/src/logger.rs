//! Logging to standard output as JSON lines.

use std::time::Duration;

use slog::{Drain, Logger, o};

/// Capacity of the queue of unwritten lines. Lines beyond it are dropped and their number is logged.
const QUEUE_LINES: usize = 4_096;

/// One request in this many is logged if its first attempt succeeds.
const SAMPLING_DIVISOR: u64 = 16;

/// Creates the logger of the gateway called `name`.
pub(crate) fn new(name: &str) -> Logger {
    let json = slog_json::Json::default(std::io::stdout()).fuse();
    let drain = slog_async::Async::new(json)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(drain, o!("gateway" => name.to_owned()))
}

/// Whether the success of a request is logged. All gateways decide the same for one id.
pub(crate) fn is_sampled(attempt_id: &str) -> bool {
    let hash = attempt_id
        .bytes()
        .fold(0_u64, |hash, byte| hash.wrapping_mul(31).wrapping_add(u64::from(byte)));
    hash.is_multiple_of(SAMPLING_DIVISOR)
}

/// Whole milliseconds, for log fields.
pub(crate) fn as_ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
