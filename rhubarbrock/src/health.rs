//! Health of one endpoint, a circuit breaker on the results of this node's requests.
//!
//! Consecutive failures eject the endpoint for a time that doubles with each
//! consecutive ejection. After that time a single request may probe it: a success
//! ends the ejection, a failure ejects the endpoint again.

use std::time::Duration;

/// Settings of [`Health`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Number of consecutive failures that eject an endpoint.
    pub failure_threshold: u32,
    /// Duration of the first ejection.
    pub initial_ejection: Duration,
    /// Longest duration of an ejection.
    pub max_ejection: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            failure_threshold: 2,
            initial_ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(30),
        }
    }
}

/// Whether requests may be sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Requests may be sent.
    Healthy,
    /// The ejection has ended; one request may probe the endpoint.
    HalfOpen,
    /// The ejection has not ended, or a probe is in flight.
    Ejected {
        /// Earliest time for the next request.
        until: Duration,
    },
}

/// Health of one endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Health {
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until: Option<Duration>,
    has_probe_in_flight: bool,
}

impl Health {
    /// Whether requests may be sent at the time `now`.
    pub fn status(&self, now: Duration) -> Status {
        match self.ejected_until {
            None => Status::Healthy,
            Some(until) if now >= until && !self.has_probe_in_flight => Status::HalfOpen,
            Some(until) => Status::Ejected { until: until.max(now) },
        }
    }

    /// Records that a request is sent.
    pub fn on_sent(&mut self, now: Duration) {
        if self.status(now) == Status::HalfOpen {
            self.has_probe_in_flight = true;
        }
    }

    /// Records a successful request; returns whether that ended an ejection.
    pub fn on_success(&mut self) -> bool {
        let was_ejected = self.ejected_until.is_some();
        *self = Health::default();
        was_ejected
    }

    /// Records a request whose result says nothing about the endpoint's health.
    pub fn on_unknown(&mut self) {
        self.has_probe_in_flight = false;
    }

    /// Records a failed request; returns whether it ejects the endpoint.
    pub fn on_failure(&mut self, now: Duration, settings: &Settings) -> bool {
        self.consecutive_failures += 1;
        let is_healthy = self.ejected_until.is_none();
        let must_eject = self.has_probe_in_flight
            || (is_healthy && self.consecutive_failures >= settings.failure_threshold);
        self.has_probe_in_flight = false;
        if !must_eject {
            return false;
        }
        let factor = 1u32 << self.consecutive_ejections.min(16);
        let duration = settings.initial_ejection.saturating_mul(factor);
        self.ejected_until = Some(now + duration.min(settings.max_ejection));
        self.consecutive_ejections += 1;
        true
    }
}
