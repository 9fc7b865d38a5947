//! Sources of time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Clock that is passed in wherever time is read.
///
/// `now` never decreases and has an arbitrary origin; `unix_time` counts from the
/// Unix epoch and may jump in either direction.
pub trait Clock: Send + Sync {
    /// Monotonic time since the clock's origin.
    fn now(&self) -> Duration;

    /// Wall-clock time since the Unix epoch; zero if the system's date is before it.
    fn unix_time(&self) -> Duration;
}

/// Clocks of the operating system.
#[derive(Debug, Clone)]
pub struct SystemClock {
    origin: Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic origin is the time of this call.
    pub fn new() -> SystemClock {
        SystemClock { origin: Instant::now() }
    }
}

impl Default for SystemClock {
    fn default() -> SystemClock {
        SystemClock::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    fn unix_time(&self) -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO)
    }
}
