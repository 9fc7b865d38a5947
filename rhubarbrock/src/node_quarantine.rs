//! Requests that crash endpoints.

use std::time::Duration;

use rhubarbrock_schema::peer;

use crate::node::Node;
use crate::{action, endpoint, event, id, quarantine};

/// Broken connections to one endpoint within this time are one crash.
const CRASH_WINDOW: Duration = Duration::from_millis(1_000);

/// Shown where a request is given up because of the endpoints that it crashed.
pub(crate) const CRASHED_ENDPOINTS: &str = "the request crashed the endpoints that ran it";

/// Time in which the other nodes' news of a crash comes: two intervals of membership, and half
/// of one for a datagram that is lost.
const NEWS_TIME: Duration = Duration::from_millis(2_500);

/// Pause where a held request is due before its crashes were judged, at the next slow tick.
const JUDGING_PAUSE: Duration = Duration::from_millis(100);

/// Bounds of suspicion in a node among others.
pub(crate) fn quarantine_config() -> quarantine::Config {
    quarantine::Config { hold_time: NEWS_TIME, ..quarantine::Config::default() }
}

impl Node {
    /// Refuses a request that crashed endpoints before; true where it did.
    pub(crate) fn refuse_quarantined(
        &mut self,
        call: event::CallId,
        fingerprint: id::Fingerprint,
    ) -> bool {
        let (until, detail) = match self.quarantine.status(self.now, fingerprint) {
            quarantine::Status::Unrestricted | quarantine::Status::Suspect => return false,
            quarantine::Status::OnHold { until } => {
                (until, "the request may have crashed endpoints")
            }
            quarantine::Status::Quarantined { until } => {
                (until, "the request crashed the endpoints that ran it before")
            }
        };
        let rest = until.saturating_sub(self.now);
        self.refuse(call, action::RefusalKind::Quarantined, detail, Some(rest));
        true
    }

    /// An attempt broke off; where its endpoint was not leaving, it may have crashed.
    pub(crate) fn on_connection_broken(
        &mut self,
        endpoint: id::EndpointId,
        fingerprint: id::Fingerprint,
    ) {
        let known = self.dispatcher.router.endpoint(endpoint);
        let is_announced = known.is_none_or(|known| {
            matches!(known.state(self.now), endpoint::State::Leaving | endpoint::State::Gone)
        });
        if is_announced {
            return;
        }
        let last = self.crashes.get(&endpoint);
        if last.is_some_and(|last| self.now < *last + CRASH_WINDOW) {
            return;
        }
        self.crashes.insert(endpoint, self.now);
        let mut running = self.fingerprints_running_at(endpoint);
        running.push(fingerprint);
        running.sort_unstable();
        running.dedup();
        let message = format!("endpoint {endpoint} broke off {} requests", running.len());
        self.log_event(action::LogLevel::Warning, "endpoint.crashed", message);
        let found = self.quarantine.on_crash(self.now, endpoint, &running);
        self.quarantine_all(&found);
        // One that was quarantined while it ran has nothing more to wait for.
        let again: Vec<id::Fingerprint> = running
            .into_iter()
            .filter(|print| !found.contains(print) && self.is_quarantined(*print))
            .collect();
        for fingerprint in again {
            self.fail_quarantined(fingerprint);
        }
    }

    pub(crate) fn on_peer_suspect(&mut self, suspect: peer::Suspect) {
        let found = self.quarantine.on_peer_suspects(self.now, &[suspect]);
        self.quarantine_all(&found);
    }

    pub(crate) fn quarantine_all(&mut self, fingerprints: &[id::Fingerprint]) {
        for fingerprint in fingerprints {
            self.counters.quarantined += 1;
            let message = format!("fingerprint {fingerprint:016x}");
            self.log_event(action::LogLevel::Warning, "request.quarantined", message);
            self.fail_quarantined(*fingerprint);
        }
    }

    /// Until when a request with this fingerprint has to wait.
    pub(crate) fn held_until(&self, fingerprint: id::Fingerprint) -> Option<Duration> {
        match self.quarantine.status(self.now, fingerprint) {
            quarantine::Status::OnHold { until } => Some(until.max(self.now + JUDGING_PAUSE)),
            _ => None,
        }
    }

    pub(crate) fn is_quarantined(&self, fingerprint: id::Fingerprint) -> bool {
        let status = self.quarantine.status(self.now, fingerprint);
        matches!(status, quarantine::Status::Quarantined { .. })
    }

    /// Ends the requests with this fingerprint that do not run now.
    fn fail_quarantined(&mut self, fingerprint: id::Fingerprint) {
        let waiting: Vec<id::RequestId> = self
            .model_requests
            .iter()
            .filter(|(_, held)| held.ended_at.is_none() && held.attempt.is_none())
            .filter(|(_, held)| held.record.fingerprint == fingerprint)
            .map(|(request, _)| *request)
            .collect();
        for request in waiting {
            self.fail_model(request, CRASHED_ENDPOINTS.to_owned());
        }
    }

    /// Fingerprints of this node's requests that run at an endpoint.
    fn fingerprints_running_at(&self, endpoint: id::EndpointId) -> Vec<id::Fingerprint> {
        let running = self.model_requests.values().filter(|held| {
            held.attempt.is_some() && held.ended_at.is_none() && held.record.endpoint == endpoint
        });
        running.map(|held| held.record.fingerprint).collect()
    }

    /// Endpoints where a suspect must not run, because another suspect does.
    pub(crate) fn endpoints_barred_to(&self, fingerprint: id::Fingerprint) -> Vec<id::EndpointId> {
        let status = self.quarantine.status(self.now, fingerprint);
        if status == quarantine::Status::Unrestricted {
            return Vec::new();
        }
        let mut closed: Vec<id::EndpointId> = self
            .model_requests
            .values()
            .filter(|held| held.attempt.is_some() && held.ended_at.is_none())
            .map(|held| held.record.endpoint)
            .collect();
        closed.sort_unstable();
        closed.dedup();
        closed.retain(|endpoint| {
            !self.quarantine.may_place(
                self.now,
                fingerprint,
                &self.fingerprints_running_at(*endpoint),
            )
        });
        closed
    }
}
