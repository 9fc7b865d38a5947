//! Clock of the instance.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rhubarbrock::clock::Clock;
use rustix::time::{ClockId, clock_gettime};

/// Clock that also advances while the instance is suspended, so that a lease expires for a holder
/// that was suspended.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
    }

    fn unix_time(&self) -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO)
    }
}
