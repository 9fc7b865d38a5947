//! How many requests an endpoint may run so that the token interval target holds.
//!
//! The time between tokens grows with the number of requests that an engine
//! runs. The limit falls by a fixed share when intervals exceed the target and
//! grows slowly while it is in use and they don't.

use std::time::Duration;

/// Settings of [`Limit`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Limit at the start.
    pub initial_requests: f64,
    /// Lowest limit.
    pub min_requests: f64,
    /// Highest limit.
    pub max_requests: f64,
    /// Time between tokens to be held.
    pub interval_target: Duration,
    /// Shortest time between two steps down.
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

/// Share of the limit that a step down leaves.
const STEP_DOWN: f64 = 0.9;

/// Requests added by a sample within the target, divided by the limit.
const STEP_UP_REQUESTS: f64 = 0.25;

/// Share of the limit that must be in use for it to grow.
const IN_USE: f64 = 0.5;

/// Learnt limit of concurrent requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    requests: f64,
    next_step_down: Duration,
}

impl Limit {
    /// The limit before anything is known.
    pub fn new(settings: &Settings) -> Limit {
        Limit { requests: settings.initial_requests, next_step_down: Duration::ZERO }
    }

    /// Requests that the endpoint may run.
    pub fn requests(&self) -> f64 {
        self.requests
    }

    /// Takes the mean interval of some tokens that were made while `running` requests ran.
    pub fn on_interval(
        &mut self,
        now: Duration,
        settings: &Settings,
        interval: Duration,
        running: f64,
    ) {
        if interval > settings.interval_target {
            if now >= self.next_step_down {
                self.requests = self.requests.min(running.max(1.0)) * STEP_DOWN;
                self.next_step_down = now + settings.min_decrease_interval;
            }
        } else if running >= self.requests * IN_USE {
            self.requests += STEP_UP_REQUESTS / self.requests.max(1.0);
        }
        self.requests = self.requests.clamp(settings.min_requests, settings.max_requests);
    }
}
