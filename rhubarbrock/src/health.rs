//! Health of one endpoint as this node's own requests found it.
//!
//! Failures in a row eject the endpoint for a time that doubles with each
//! ejection. After that time a single request may try it; its outcome decides.

use std::time::Duration;

/// Settings of [`Health`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Failures in a row that eject an endpoint.
    pub failure_threshold: u32,
    /// Length of the first ejection.
    pub shortest_ejection: Duration,
    /// Longest ejection.
    pub longest_ejection: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            failure_threshold: 2,
            shortest_ejection: Duration::from_secs(1),
            longest_ejection: Duration::from_secs(30),
        }
    }
}

/// Whether an endpoint may get requests, going by own failures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It may.
    Healthy,
    /// One request may try it.
    HalfOpen,
    /// A request is trying it, or it must wait until the given time.
    Ejected {
        /// When the next request may try it.
        until: Duration,
    },
}

/// Own failures of one endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Health {
    failures_in_a_row: u32,
    ejections_in_a_row: u32,
    ejected_until: Option<Duration>,
    is_probed: bool,
}

impl Health {
    /// Whether requests may go to the endpoint.
    pub fn status(&self, now: Duration) -> Status {
        match self.ejected_until {
            None => Status::Healthy,
            Some(until) if now >= until && !self.is_probed => Status::HalfOpen,
            Some(until) => Status::Ejected { until: until.max(now) },
        }
    }

    /// A request was sent.
    pub fn on_sent(&mut self, now: Duration) {
        if self.status(now) == Status::HalfOpen {
            self.is_probed = true;
        }
    }

    /// The endpoint answered a request; returns whether that ended an ejection.
    pub fn on_success(&mut self) -> bool {
        let was_ejected = self.ejected_until.is_some();
        *self = Health::default();
        was_ejected
    }

    /// A request ended without showing whether the endpoint is sound.
    pub fn on_unknown(&mut self) {
        self.is_probed = false;
    }

    /// A request failed at the endpoint; returns whether it is ejected by this.
    pub fn on_failure(&mut self, now: Duration, settings: &Settings) -> bool {
        self.failures_in_a_row += 1;
        let is_open = self.ejected_until.is_none();
        let must_eject =
            self.is_probed || (is_open && self.failures_in_a_row >= settings.failure_threshold);
        self.is_probed = false;
        if !must_eject {
            return false;
        }
        let factor = 1u32 << self.ejections_in_a_row.min(16);
        let length = settings.shortest_ejection.saturating_mul(factor);
        self.ejected_until = Some(now + length.min(settings.longest_ejection));
        self.ejections_in_a_row += 1;
        true
    }
}
