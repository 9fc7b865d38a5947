//! How often a gateway reports to the others, and how long a silent one counts as live.
//!
//! Every gateway sends reports to all others. In a large fleet the datagrams that
//! an instance can receive and the bytes between data centres limit their
//! number, so the interval depends on the receiver:
//!
//! - gateways of the same data centre, which share its endpoints, get reports often;
//! - the lease holder, which collects usage, gets them at an interval that grows
//!   with the square root of the fleet;
//! - gateways of other data centres get them at an interval that grows with the fleet.
//!
//! The few gateways on which all others depend (readers of the store and the
//! lease holder) also send brief reports without loads and demands.
//!
//! ```
//! use std::time::Duration;
//!
//! use forwarding::report_schedule::Schedule;
//!
//! let small = Schedule::new(6, 2);
//! assert_eq!((small.near, small.far), (Duration::from_millis(150), Duration::from_millis(150)));
//! let large = Schedule::new(294, 58);
//! assert!(large.near < large.duties && large.duties < large.far);
//! ```

use std::time::Duration;

/// Minimum interval between two reports. The gateways' view of quotas and loads lags by up to one
/// interval.
const MIN_INTERVAL: Duration = Duration::from_millis(150);

/// Interval of reports within a data centre and to the lease holder, per square root of the number
/// of gateways that send them.
const INTERVAL_PER_ROOT: Duration = Duration::from_millis(62);

/// Interval of reports to other data centres, per other gateway.
const FAR_INTERVAL_PER_PEER: Duration = Duration::from_millis(7);

/// Interval of brief reports, per other gateway.
const BRIEF_INTERVAL_PER_PEER: Duration = Duration::from_millis(1);

/// Number of gateways, first by rank, that may send brief reports. In an outage of the store every
/// gateway is a reader.
const MAX_BRIEF_SENDERS: u32 = 8;

/// Minimum time without reports after which a gateway no longer counts as live; covers several lost
/// reports.
const MIN_LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum time, so that an invalid interval in a report has a limited effect.
const MAX_LIVENESS_TIMEOUT: Duration = Duration::from_secs(10);

/// Intervals without reports after which a gateway no longer counts as live.
const LIVENESS_INTERVALS: f64 = 3.5;

/// Intervals after which a report to the lease holder has arrived even if two were lost.
const SETTLING_INTERVALS: f64 = 3.0;

/// Minimum time for the same purpose.
const MIN_SETTLING_DELAY: Duration = Duration::from_millis(1_500);

/// Intervals between the reports of one gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// To gateways of the same data centre.
    pub near: Duration,
    /// To the lease holder and the gateways that may hold the lease next.
    pub duties: Duration,
    /// To all others.
    pub far: Duration,
    /// Brief reports to all.
    pub brief: Duration,
}

impl Schedule {
    /// Returns the intervals for a gateway that knows `peers` others, of which `near_peers` may be in
    /// its data centre.
    pub fn new(peers: u32, near_peers: u32) -> Schedule {
        let by_root =
            |count: u32| INTERVAL_PER_ROOT.mul_f64(f64::from(count).sqrt()).max(MIN_INTERVAL);
        let near = by_root(near_peers);
        Schedule {
            near,
            duties: by_root(peers),
            far: (FAR_INTERVAL_PER_PEER * peers).max(near),
            brief: (BRIEF_INTERVAL_PER_PEER * peers).max(MIN_INTERVAL),
        }
    }

    /// Time after the end of a usage window until the lease holder has received its counts.
    pub fn settling_delay(&self) -> Duration {
        self.duties.mul_f64(SETTLING_INTERVALS).max(MIN_SETTLING_DELAY)
    }
}

/// Whether a gateway sends brief reports. `rank` counts the live gateways whose names sort first.
pub fn sends_brief_reports(is_reader: bool, holds_lease: bool, rank: u32) -> bool {
    holds_lease || (is_reader && rank < MAX_BRIEF_SENDERS)
}

/// Time without reports after which a gateway that reports at `interval` no longer counts as live.
pub fn liveness_timeout(interval: Duration) -> Duration {
    interval.mul_f64(LIVENESS_INTERVALS).clamp(MIN_LIVENESS_TIMEOUT, MAX_LIVENESS_TIMEOUT)
}
