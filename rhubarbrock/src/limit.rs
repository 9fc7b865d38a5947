//! Adaptive limit of concurrent requests at an endpoint.
//!
//! The time between tokens grows with the number of requests that an engine
//! runs. The limit follows a target for that time by additive increase and
//! multiplicative decrease: it is reduced by a fixed share when an interval
//! exceeds the target, and grows slowly while intervals meet the target and
//! enough of the limit is in use.

use std::time::Duration;

/// Settings of [`Limit`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Initial limit, in requests.
    pub initial_requests: f64,
    /// Lowest limit, in requests.
    pub min_requests: f64,
    /// Highest limit, in requests.
    pub max_requests: f64,
    /// Longest acceptable mean time between two tokens.
    pub interval_target: Duration,
    /// Shortest time between two decreases.
    pub min_decrease_interval: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            initial_requests: 24.0,
            min_requests: 8.0,
            max_requests: 256.0,
            interval_target: Duration::from_millis(32),
            min_decrease_interval: Duration::from_millis(500),
        }
    }
}

/// Factor by which a decrease multiplies the limit.
const DECREASE_FACTOR: f64 = 0.9;

/// Increase per interval within the target, in requests; divided by the current limit.
const INCREASE_REQUESTS: f64 = 0.25;

/// Share of the limit that must be in use for an increase.
const MIN_USED_SHARE: f64 = 0.5;

/// Limit of concurrent requests at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    requests: f64,
    next_decrease_at: Duration,
}

impl Limit {
    /// Creates a limit with its initial value.
    pub fn new(settings: &Settings) -> Limit {
        Limit { requests: settings.initial_requests, next_decrease_at: Duration::ZERO }
    }

    /// Current limit, in requests.
    pub fn requests(&self) -> f64 {
        self.requests
    }

    /// Adapts the limit to a mean token interval measured with `running` requests at the endpoint.
    pub fn on_interval(
        &mut self,
        now: Duration,
        settings: &Settings,
        interval: Duration,
        running: f64,
    ) {
        if interval > settings.interval_target {
            if now >= self.next_decrease_at {
                self.requests = self.requests.min(running.max(1.0)) * DECREASE_FACTOR;
                self.next_decrease_at = now + settings.min_decrease_interval;
            }
        } else if running >= self.requests * MIN_USED_SHARE {
            self.requests += INCREASE_REQUESTS / self.requests.max(1.0);
        }
        self.requests = self.requests.clamp(settings.min_requests, settings.max_requests);
    }
}
