//! Log lines on standard output, as JSON.

use std::time::Duration;

use slog::{Drain, Logger, o};

/// Lines that wait to be written; further ones are dropped and their number is logged.
const QUEUE_LINES: usize = 4_096;

/// One of this many ordinary successes is logged.
const SAMPLING_INTERVAL: u64 = 16;

/// The logger of the gateway called `name`.
pub(crate) fn new(name: &str) -> Logger {
    let json = slog_json::Json::default(std::io::stdout()).fuse();
    let drain = slog_async::Async::new(json)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(drain, o!("gateway" => name.to_owned()))
}

/// Whether a success of this request is logged; every gateway decides alike.
pub(crate) fn is_sampled(attempt_id: &str) -> bool {
    let hash = attempt_id
        .bytes()
        .fold(0_u64, |hash, byte| hash.wrapping_mul(31).wrapping_add(u64::from(byte)));
    hash.is_multiple_of(SAMPLING_INTERVAL)
}

/// Milliseconds for a log field.
pub(crate) fn as_ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
