//! Load and health of endpoints by the attempts of this gateway, and load that others report.

use std::collections::HashMap;
use std::time::Duration;

use rhubarbrock::health;

use super::{Endpoint, EndpointId, EndpointTable, Load, ProcessStartMs};

/// Weight of a new answer in the smoothed failure rate, which covers about the last ten answers.
const FAILURE_RATE_WEIGHT: f64 = 0.1;

/// Two failures in a row eject an endpoint, as a single one may be caused by the request. Ejections
/// are short, as most faults of an endpoint last some seconds.
const HEALTH: health::Settings = health::Settings {
    failure_threshold: 2,
    initial_ejection: Duration::from_millis(700),
    max_ejection: Duration::from_secs(6),
};

impl EndpointTable {
    /// Records a request that was sent, with its unshared prompt tokens.
    pub fn on_sent(&mut self, now: Duration, id: &str, waiting_tokens: u64) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.own_load.requests += 1;
        let load = &mut endpoint.own_load;
        load.waiting_tokens = load.waiting_tokens.saturating_add(waiting_tokens);
        endpoint.health.on_sent(now);
    }

    /// Records that the prompt of a request was processed.
    pub fn on_first_event(&mut self, id: &str, waiting_tokens: u64) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let load = &mut endpoint.own_load;
        load.waiting_tokens = load.waiting_tokens.saturating_sub(waiting_tokens);
    }

    /// Records the end of a request, whatever its outcome.
    pub fn on_ended(&mut self, id: &str) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.own_load.requests = endpoint.own_load.requests.saturating_sub(1);
    }

    /// Records a successful answer; returns whether it ended an ejection.
    pub fn on_success(&mut self, id: &str) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return false };
        endpoint.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT;
        endpoint.refuses_until = None;
        endpoint.health.on_success()
    }

    /// Records an answer that reports a failure of the endpoint. It raises the failure rate but
    /// does not eject, as the request may have caused the failure.
    pub fn on_error_answer(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.failure_rate += (1.0 - endpoint.failure_rate) * FAILURE_RATE_WEIGHT;
            endpoint.health.on_unknown();
        }
    }

    /// Records the end of a request that says nothing about the endpoint's health.
    pub fn on_inconclusive(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.health.on_unknown();
        }
    }

    /// Records a failed request; returns whether it ejected the endpoint.
    pub fn on_failure(&mut self, now: Duration, id: &str) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return false };
        endpoint.health.on_failure(now, &HEALTH)
    }

    /// Records a refusal for lack of capacity; the endpoint is avoided until `until`.
    pub fn on_refused(&mut self, id: &str, until: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.refuses_until = Some(until);
            endpoint.health.on_unknown();
        }
    }

    /// Records that an endpoint process wants no requests until `until`. Returns whether it is the
    /// start of a wait, not its extension.
    pub fn on_wait_requested(
        &mut self,
        now: Duration,
        id: &str,
        process_start_ms: ProcessStartMs,
        until: Duration,
    ) -> bool {
        self.waits.record(now, id, process_start_ms, until)
    }

    /// End of the wait that an endpoint requested; `None` if it may be sent requests.
    pub fn wait_end(&self, now: Duration, endpoint: &Endpoint) -> Option<Duration> {
        self.waits.end(now, &endpoint.entry.id, endpoint.entry.process_start_ms)
    }

    /// Records bytes that belong to no answer; connections are not reused until `until`.
    pub fn on_stray_bytes(&mut self, id: &str, until: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.no_reuse_until = Some(until);
        }
    }

    /// Sets the load that other gateways reported.
    pub fn set_peer_loads(&mut self, loads: &HashMap<EndpointId, Load>) {
        for (id, endpoint) in &mut self.endpoints {
            endpoint.peer_load = loads.get(id).copied().unwrap_or_default();
        }
    }
}
