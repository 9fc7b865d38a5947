//! Time as the decisions see it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Source of time, passed in wherever time is read.
///
/// `now` never goes back and its zero is arbitrary; `wall` is the time since
/// the Unix epoch and may jump.
pub trait Clock: Send + Sync {
    /// Monotonic time since the clock's origin.
    fn now(&self) -> Duration;

    /// Time since the Unix epoch.
    fn wall(&self) -> Duration;
}

/// The operating system's clocks.
#[derive(Debug, Clone)]
pub struct SystemClock {
    origin: Instant,
}

impl SystemClock {
    /// A clock whose origin is now.
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

    fn wall(&self) -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO)
    }
}
