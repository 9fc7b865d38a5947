//! Times for which endpoints asked this gateway to send them nothing.
//!
//! Unlike an ejection, which is a guess, a requested wait is never shortened or
//! ignored. Only a new process of the endpoint ends it early.

use std::collections::HashMap;
use std::time::Duration;

use crate::endpoints::{EndpointId, ProcessStartMs};

#[derive(Debug, Clone, Copy)]
struct Wait {
    process_start_ms: ProcessStartMs,
    until: Duration,
}

/// Requested waits by endpoint id.
#[derive(Debug, Default)]
pub(crate) struct RequestedWaits {
    waits: HashMap<EndpointId, Wait>,
}

impl RequestedWaits {
    /// Records that a process wants nothing until `until`. Returns whether no wait of it was in
    /// force.
    pub(crate) fn record(
        &mut self,
        now: Duration,
        id: &str,
        process_start_ms: ProcessStartMs,
        until: Duration,
    ) -> bool {
        if until <= now {
            return false;
        }
        let known = self.waits.get(id).filter(|wait| wait.process_start_ms >= process_start_ms);
        if known.is_some_and(|wait| wait.process_start_ms > process_start_ms) {
            return false;
        }
        let known_until = known.map_or(now, |wait| wait.until);
        self.waits.insert(id.to_owned(), Wait { process_start_ms, until: until.max(known_until) });
        known_until <= now
    }

    /// End of the wait that a process requested; `None` if there is none or it is over.
    pub(crate) fn end(
        &self,
        now: Duration,
        id: &str,
        process_start_ms: ProcessStartMs,
    ) -> Option<Duration> {
        let wait = self.waits.get(id)?;
        (wait.process_start_ms == process_start_ms && now < wait.until).then_some(wait.until)
    }

    /// Forgets waits that are over.
    pub(crate) fn remove_expired(&mut self, now: Duration) {
        self.waits.retain(|_, wait| now < wait.until);
    }
}
