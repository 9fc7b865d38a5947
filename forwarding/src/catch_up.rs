//! Notices when this gateway stays behind the release that other gateways report.

use std::time::Duration;

/// Time behind the others after which a gateway is late. Without faults it reads a reported release
/// sooner.
const LATE_AFTER: Duration = Duration::from_secs(1);

/// How long this gateway has been behind.
#[derive(Debug, Default)]
pub struct CatchUp {
    behind_since: Option<Duration>,
}

impl CatchUp {
    /// Records whether this gateway is behind.
    pub fn update(&mut self, now: Duration, is_behind: bool) {
        self.behind_since = is_behind.then(|| self.behind_since.unwrap_or(now));
    }

    /// Time for which this gateway has been behind; zero if it is not.
    pub fn behind_for(&self, now: Duration) -> Duration {
        self.behind_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Whether this gateway has been behind for too long.
    pub fn is_late(&self, now: Duration) -> bool {
        self.behind_for(now) >= LATE_AFTER
    }
}
