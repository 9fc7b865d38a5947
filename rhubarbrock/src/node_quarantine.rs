//! A node's handling of requests that crash endpoints.

use std::time::Duration;

use rhubarbrock_schema::peer;

use crate::node::Node;
use crate::{action, endpoint, event, id, quarantine};

/// Broken connections to one endpoint within this time count as one crash.
const CRASH_WINDOW: Duration = Duration::from_millis(1_000);

/// Error of a request that is given up because of the endpoints that it crashed.
pub(crate) const CRASHED_ENDPOINTS_ERROR: &str = "the request crashed the endpoints that ran it";

/// Time in which the other nodes' reports of a crash arrive: two membership intervals, and half
/// of one for a lost datagram.
const PEER_REPORT_DELAY: Duration = Duration::from_millis(2_500);

/// Extra wait of a request whose hold has ended but is not decided yet; the next slow tick does it.
const HOLD_DECISION_DELAY: Duration = Duration::from_millis(100);

/// Settings of the quarantine in a node that has peers.
pub(crate) fn quarantine_config() -> quarantine::Config {
    quarantine::Config { hold_time: PEER_REPORT_DELAY, ..quarantine::Config::default() }
}

impl Node {
    /// Refuses the call if its request is in quarantine or on hold; returns whether it did.
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
        let remaining = until.saturating_sub(self.now);
        self.refuse(call, action::RefusalKind::Quarantined, detail, Some(remaining));
        true
    }

    /// Handles a broken connection to an endpoint, which counts as a crash unless the endpoint was
    /// leaving.
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
        let last = self.last_crashes.get(&endpoint);
        if last.is_some_and(|last| self.now < *last + CRASH_WINDOW) {
            return;
        }
        self.last_crashes.insert(endpoint, self.now);
        let mut running = self.fingerprints_running_at(endpoint);
        running.push(fingerprint);
        running.sort_unstable();
        running.dedup();
        let message = format!(
            "endpoint {endpoint} lost its connection while running {} requests",
            running.len()
        );
        self.log_event(action::LogLevel::Warning, "endpoint.crashed", message);
        let found = self.quarantine.on_crash(self.now, endpoint, &running);
        self.quarantine_all(&found);
        // A request that was quarantined while it ran is not retried.
        let already_quarantined: Vec<id::Fingerprint> = running
            .into_iter()
            .filter(|other| !found.contains(other) && self.is_quarantined(*other))
            .collect();
        for fingerprint in already_quarantined {
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

    /// Time until which a request must wait; `None` if it is not on hold.
    pub(crate) fn held_until(&self, fingerprint: id::Fingerprint) -> Option<Duration> {
        match self.quarantine.status(self.now, fingerprint) {
            quarantine::Status::OnHold { until } => Some(until.max(self.now + HOLD_DECISION_DELAY)),
            _ => None,
        }
    }

    pub(crate) fn is_quarantined(&self, fingerprint: id::Fingerprint) -> bool {
        let status = self.quarantine.status(self.now, fingerprint);
        matches!(status, quarantine::Status::Quarantined { .. })
    }

    /// Fails the requests with this fingerprint that are not running.
    fn fail_quarantined(&mut self, fingerprint: id::Fingerprint) {
        let waiting: Vec<id::RequestId> = self
            .model_requests
            .iter()
            .filter(|(_, held)| held.finished_at.is_none() && held.attempt.is_none())
            .filter(|(_, held)| held.record.fingerprint == fingerprint)
            .map(|(request, _)| *request)
            .collect();
        for request in waiting {
            self.fail_model(request, CRASHED_ENDPOINTS_ERROR.to_owned());
        }
    }

    /// Fingerprints of the requests that this node runs at an endpoint.
    fn fingerprints_running_at(&self, endpoint: id::EndpointId) -> Vec<id::Fingerprint> {
        let running = self.model_requests.values().filter(|held| {
            held.attempt.is_some() && held.finished_at.is_none() && held.record.endpoint == endpoint
        });
        running.map(|held| held.record.fingerprint).collect()
    }

    /// Endpoints where a suspect must not run because another suspect does; none if the request
    /// is no suspect.
    pub(crate) fn endpoints_barred_to(&self, fingerprint: id::Fingerprint) -> Vec<id::EndpointId> {
        let status = self.quarantine.status(self.now, fingerprint);
        if status == quarantine::Status::Unrestricted {
            return Vec::new();
        }
        let mut barred: Vec<id::EndpointId> = self
            .model_requests
            .values()
            .filter(|held| held.attempt.is_some() && held.finished_at.is_none())
            .map(|held| held.record.endpoint)
            .collect();
        barred.sort_unstable();
        barred.dedup();
        barred.retain(|endpoint| {
            !self.quarantine.may_place(
                self.now,
                fingerprint,
                &self.fingerprints_running_at(*endpoint),
            )
        });
        barred
    }
}
