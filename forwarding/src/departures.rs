//! Endpoint processes that left, and those whose entries are missing.
//!
//! No entry of a process that was seen to leave is accepted again. A missing entry
//! only means that its endpoint was not heard of, as after an outage of the store;
//! such an endpoint is not used until a newer entry shows that it lives.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::endpoints::{EndpointId, ProcessStartMs};

/// Time for which a departure is remembered after it was observed; entries older than this are not
/// replayed.
pub(crate) const RETENTION: Duration = Duration::from_secs(120);

/// Why a process is not used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cause {
    /// It was seen to leave.
    Left,
    /// Its entry is missing. Entries up to this sequence number are older than that.
    Missing {
        /// Highest sequence number known.
        sequence: u64,
    },
}

#[derive(Debug, Clone, Copy)]
struct Departure {
    process_start_ms: ProcessStartMs,
    cause: Cause,
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
    pub(crate) fn record(
        &mut self,
        now: Duration,
        id: &str,
        process_start_ms: ProcessStartMs,
        cause: Cause,
    ) {
        let departure = Departure {
            process_start_ms,
            cause,
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

    /// Whether the process was seen to leave, or a later one under the same id departed.
    pub(crate) fn has_left(&self, id: &str, process_start_ms: ProcessStartMs) -> bool {
        self.departures.get(id).is_some_and(|known| {
            process_start_ms < known.process_start_ms
                || process_start_ms == known.process_start_ms && known.cause == Cause::Left
        })
    }

    /// Whether an entry of the process with this sequence number is from before its departure.
    pub(crate) fn is_outdated(
        &self,
        id: &str,
        process_start_ms: ProcessStartMs,
        sequence: u64,
    ) -> bool {
        self.departures.get(id).is_some_and(|known| match known.cause {
            _ if process_start_ms != known.process_start_ms => {
                process_start_ms < known.process_start_ms
            }
            Cause::Left => true,
            Cause::Missing { sequence: last } => sequence <= last,
        })
    }

    /// Raises the sequence number up to which entries of a missing process are outdated. Returns
    /// whether its departure was known.
    pub(crate) fn extend(
        &mut self,
        id: &str,
        process_start_ms: ProcessStartMs,
        sequence: u64,
    ) -> bool {
        let known = self.departures.get_mut(id);
        let Some(known) = known.filter(|known| known.process_start_ms == process_start_ms) else {
            return false;
        };
        if let Cause::Missing { sequence: last } = &mut known.cause {
            *last = sequence.max(*last);
        }
        true
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
    ) -> impl Iterator<Item = (&EndpointId, ProcessStartMs, Cause)> {
        let recent = self.departures.iter().filter(move |(_, each)| now < each.at + window);
        recent.map(|(id, departure)| (id, departure.process_start_ms, departure.cause))
    }
}
