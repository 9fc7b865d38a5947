//! Decides when a gateway asks others for the release and the endpoints, instead of the store.
//!
//! The decision depends on what this gateway lacks and for how long, not on the
//! call to the store that is in progress: calls may fail at once, hang or be
//! repeated in several places.
//!
//! ```
//! use std::time::Duration;
//!
//! use forwarding::catch_up::CatchUp;
//!
//! let mut catch_up = CatchUp::new(Duration::from_secs(2));
//! let read_at = Duration::from_secs(10);
//! catch_up.update(read_at, true);
//! assert!(!catch_up.must_ask_others(read_at, false));
//! assert!(catch_up.must_ask_others(read_at, true));
//! assert!(catch_up.must_ask_others(read_at + Duration::from_secs(1), false));
//! ```

use std::time::Duration;

/// A gateway that is behind asks others after the time in which a release must be in force, divided
/// by this. The rest is for the reports that arrive late and for several attempts.
const PATIENCE_DIVISOR: u32 = 4;

/// How long this gateway has lacked what others have.
#[derive(Debug)]
pub struct CatchUp {
    patience: Duration,
    behind_since: Option<Duration>,
}

impl CatchUp {
    /// Creates the state of a gateway that is not behind; `release_delay` is the time in which a
    /// release must be in force.
    pub fn new(release_delay: Duration) -> CatchUp {
        CatchUp { patience: release_delay / PATIENCE_DIVISOR, behind_since: None }
    }

    /// Records whether this gateway is behind.
    pub fn update(&mut self, now: Duration, is_behind: bool) {
        self.behind_since = is_behind.then(|| self.behind_since.unwrap_or(now));
    }

    /// Time for which this gateway has been behind; zero if it is not.
    pub fn behind_for(&self, now: Duration) -> Duration {
        self.behind_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Whether this gateway has been behind for longer than a read from the store takes.
    pub fn is_late(&self, now: Duration) -> bool {
        self.behind_for(now) >= self.patience
    }

    /// Whether this gateway asks others now.
    pub fn must_ask_others(&self, now: Duration, is_store_failing: bool) -> bool {
        self.behind_since.is_some() && (is_store_failing || self.is_late(now))
    }
}
