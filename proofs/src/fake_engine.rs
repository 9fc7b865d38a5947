//! Fake model engines. An answer's text depends only on the request, so it can be checked.

use std::time::Duration;

use rhubarbrock::{event, id};

/// Time between two tokens of an attempt, also before the first one.
pub const TOKEN_INTERVAL: Duration = Duration::from_millis(40);

/// Text of the token at a position, derived from the request body.
pub fn token_text(body: &str, position: u32) -> String {
    let number = xxhash_rust::xxh3::xxh3_64_with_seed(body.as_bytes(), u64::from(position));
    format!("{:x} ", number & 0xff)
}

/// Expected text of a whole answer.
pub fn answer_text(body: &str, tokens: u32) -> String {
    (0..tokens).map(|position| token_text(body, position)).collect()
}

/// State of one engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Id of its instance, which is also its endpoint id.
    pub endpoint: id::EndpointId,
    /// Index of its data centre.
    pub data_centre: usize,
    /// Simulated time of its reclaim notice.
    pub notice_at: Option<Duration>,
    /// Simulated time at which it is reclaimed.
    pub reclaimed_at: Option<Duration>,
    /// Simulated time at which it is back after a crash.
    pub down_until: Duration,
    /// Sequence number of the last load report.
    pub last_report_sequence: u64,
}

impl Engine {
    /// Creates an engine that is running.
    pub fn new(endpoint: id::EndpointId, data_centre: usize) -> Engine {
        Engine {
            endpoint,
            data_centre,
            notice_at: None,
            reclaimed_at: None,
            down_until: Duration::ZERO,
            last_report_sequence: 0,
        }
    }

    /// Whether it is running and accepts connections.
    pub fn is_up(&self, now: Duration) -> bool {
        now >= self.down_until && self.reclaimed_at.is_none_or(|reclaimed_at| now < reclaimed_at)
    }

    /// Whether it has received a notice and refuses new attempts.
    pub fn is_leaving(&self, now: Duration) -> bool {
        self.notice_at.is_some_and(|notice_at| now >= notice_at)
    }

    /// State in the platform's instance list taken at `at`.
    pub fn list_state(&self, at: Duration) -> event::InstanceState {
        if self.reclaimed_at.is_some_and(|reclaimed_at| at >= reclaimed_at) {
            event::InstanceState::Gone
        } else if self.is_leaving(at) {
            event::InstanceState::Leaving
        } else {
            event::InstanceState::Live
        }
    }

    /// Creates the next load report.
    pub fn load_report(&mut self, now: Duration, running: u32) -> event::LoadReport {
        self.last_report_sequence += 1;
        event::LoadReport {
            endpoint: self.endpoint,
            sequence: self.last_report_sequence,
            running,
            leaving: self.is_leaving(now),
            ..Default::default()
        }
    }
}
