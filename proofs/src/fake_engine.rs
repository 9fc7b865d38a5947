//! Model engines that answer with a text made from the request alone.

use std::time::Duration;

use rhubarbrock::{event, id};

/// Time between two tokens of an attempt.
pub const TOKEN_INTERVAL: Duration = Duration::from_millis(40);

/// Text of one token.
pub fn token_text(body: &str, position: u32) -> String {
    let number = xxhash_rust::xxh3::xxh3_64_with_seed(body.as_bytes(), u64::from(position));
    format!("{:x} ", number & 0xff)
}

/// The whole answer to a request.
pub fn answer_text(body: &str, tokens: u32) -> String {
    (0..tokens).map(|position| token_text(body, position)).collect()
}

/// One engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its instance.
    pub endpoint: id::EndpointId,
    /// Data centre.
    pub data_centre: usize,
    /// When it was given notice.
    pub notice_at: Option<Duration>,
    /// When it goes, or went.
    pub reclaimed_at: Option<Duration>,
    /// Until when it is away after a crash.
    pub down_until: Duration,
    /// Raised with each load report.
    pub last_report_sequence: u64,
}

impl Engine {
    /// An engine that runs.
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

    /// Whether it answers at all.
    pub fn is_up(&self, now: Duration) -> bool {
        now >= self.down_until && self.reclaimed_at.is_none_or(|reclaimed_at| now < reclaimed_at)
    }

    /// Whether it takes no new work.
    pub fn is_leaving(&self, now: Duration) -> bool {
        self.notice_at.is_some_and(|notice_at| now >= notice_at)
    }

    /// State in the platform's list as of `at`.
    pub fn list_state(&self, at: Duration) -> event::InstanceState {
        if self.reclaimed_at.is_some_and(|reclaimed_at| at >= reclaimed_at) {
            event::InstanceState::Gone
        } else if self.is_leaving(at) {
            event::InstanceState::Leaving
        } else {
            event::InstanceState::Live
        }
    }

    /// A load report.
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
