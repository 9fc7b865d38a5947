//! Endpoint processes that left. None of their entries is accepted again.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::endpoints::{EndpointId, ProcessStartMs};

/// Time for which a departure is remembered after it was observed; entries older than this are not
/// replayed.
pub(crate) const RETENTION: Duration = Duration::from_secs(120);

#[derive(Debug, Clone, Copy)]
struct Departure {
    process_start_ms: ProcessStartMs,
    at: Duration,
    expires_at: Duration,
    /// Whether the process itself said in an answer that it leaves. Such a departure does not expire
    /// while the store lists the process.
    is_stated: bool,
    is_listed: bool,
}

/// Departures by endpoint id.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    departures: BTreeMap<EndpointId, Departure>,
}

impl Departures {
    /// Records the departure of a process.
    pub(crate) fn record(&mut self, now: Duration, id: &str, process_start_ms: ProcessStartMs) {
        let departure = Departure {
            process_start_ms,
            at: now,
            expires_at: now + RETENTION,
            is_stated: false,
            is_listed: true,
        };
        self.departures.insert(id.to_owned(), departure);
    }

    /// Keeps the departure of a process until the store no longer lists the process.
    pub(crate) fn keep_while_listed(&mut self, id: &str, process_start_ms: ProcessStartMs) {
        if let Some(departure) = self.departures.get_mut(id) {
            // Processes without a known start cannot be told apart, so a later one may be listed.
            departure.is_stated |=
                process_start_ms != 0 && departure.process_start_ms == process_start_ms;
        }
    }

    /// Records that an entry of a process was seen; does nothing if the process has not left.
    pub(crate) fn on_listed(&mut self, id: &str, process_start_ms: ProcessStartMs) {
        if let Some(departure) = self.departures.get_mut(id)
            && departure.process_start_ms == process_start_ms
        {
            departure.is_listed = true;
        }
    }

    /// Records that the store no longer lists an endpoint.
    pub(crate) fn on_unlisted(&mut self, now: Duration, id: &str) {
        if let Some(departure) = self.departures.get_mut(id)
            && departure.is_listed
        {
            departure.is_listed = false;
            if departure.is_stated {
                departure.expires_at = now + RETENTION;
            }
        }
    }

    /// Records that the store lists only the endpoints for which `is_present` is true.
    pub(crate) fn on_listing(&mut self, now: Duration, is_present: impl Fn(&EndpointId) -> bool) {
        let missing = self.departures.keys().filter(|id| !is_present(id)).cloned();
        for id in missing.collect::<Vec<EndpointId>>() {
            self.on_unlisted(now, &id);
        }
    }

    /// Whether the process, or a later one under the same id, has left.
    pub(crate) fn has_left(&self, id: &str, process_start_ms: ProcessStartMs) -> bool {
        self.departures.get(id).is_some_and(|known| process_start_ms <= known.process_start_ms)
    }

    /// Forgets the departure of an endpoint, because a new process uses its id.
    pub(crate) fn remove(&mut self, id: &str) {
        self.departures.remove(id);
    }

    /// Forgets expired departures.
    pub(crate) fn remove_expired(&mut self, now: Duration) {
        self.departures.retain(|_, departure| {
            (departure.is_stated && departure.is_listed) || now < departure.expires_at
        });
    }

    /// Whether a departure of the endpoint is remembered.
    pub(crate) fn contains(&self, id: &str) -> bool {
        self.departures.contains_key(id)
    }

    /// Departures within the last `window`.
    pub(crate) fn recent(
        &self,
        now: Duration,
        window: Duration,
    ) -> Vec<(EndpointId, ProcessStartMs)> {
        let recent = self.departures.iter().filter(|(_, departure)| now < departure.at + window);
        recent.map(|(id, departure)| (id.clone(), departure.process_start_ms)).collect()
    }
}
