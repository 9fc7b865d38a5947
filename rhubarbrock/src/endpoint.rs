//! State of one endpoint, as known to a node.

use std::time::Duration;

use derive_more::Display;

use crate::{health, id};

/// Purchase option of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Market {
    /// Cheaper; the cloud may reclaim it at short notice.
    #[display("reclaimable")]
    Reclaimable,
    /// More expensive; runs until it is terminated by its user.
    #[display("on-demand")]
    OnDemand,
}

/// State of an instance in the platform's instance list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// Started, but not ready to serve.
    Starting,
    /// Ready to serve.
    Live,
    /// Reclaim notice given.
    Leaving,
    /// Terminated.
    Gone,
}

/// Entry of one endpoint in the platform's instance list.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    /// Id of the endpoint's instance.
    pub endpoint: id::EndpointId,
    /// Name of the service that it serves.
    pub service: String,
    /// Name of the data centre.
    pub data_centre: String,
    /// Name of the machine class.
    pub class: String,
    /// IP address and port.
    pub address: String,
    /// Purchase option.
    pub market: Market,
    /// Price per hour; 0 if unknown.
    pub price_per_hour: f64,
    /// State when the list was taken.
    pub state: ListedState,
}

/// Load report of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Increases with each report; starts again when the endpoint restarts.
    pub sequence: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests in the endpoint's queue.
    pub waiting: u32,
    /// Share of the KV cache memory in use, in percent.
    pub kv_used_percent: u32,
    /// Prompt tokens queued for prefill.
    pub queued_tokens: u32,
    /// Whether the endpoint reports that it is leaving.
    pub leaving: bool,
    /// Time since the values were measured.
    pub age: Duration,
}

/// State of an endpoint, which decides whether this node sends requests to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum State {
    /// Receives requests.
    #[display("live")]
    Live,
    /// Reported to be leaving by at least one source; receives no new requests.
    #[display("leaving")]
    Leaving,
    /// Requests of this node failed; receives none until the ejection ends.
    #[display("ejected")]
    Ejected,
    /// Reported unreachable by peers; receives requests only if no other endpoint is available.
    #[display("unreachable")]
    Unreachable,
    /// Terminated, starting or no longer listed.
    #[display("gone")]
    Gone,
}

/// A request of this node in flight at the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct InFlight {
    pub(crate) attempt: id::AttemptId,
    pub(crate) sent_at: Duration,
    /// Prompt tokens that no cache is known to hold.
    pub(crate) uncached_tokens: u32,
    pub(crate) has_first_token: bool,
}

/// State of one endpoint, as known to a node.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Entry in the last instance list that had it.
    pub listing: Listing,
    /// Health by the results of this node's requests.
    pub health: health::Health,
    /// Whether the list or a reclaim notice reported that it leaves; never reset.
    pub(crate) is_withdrawn: bool,
    /// Sequence of the last report in which the endpoint said that it is leaving; a newer report
    /// without it resets this.
    pub(crate) leaving_sequence: Option<u64>,
    /// Last load report and the time at which its values were measured.
    pub(crate) load: Option<(LoadReport, Duration)>,
    /// End of the validity of a peer's report that it is unreachable.
    pub(crate) unreachable_until: Duration,
    /// Requests of this node in flight, in the order of sending.
    pub(crate) in_flight: Vec<InFlight>,
    /// Requests of this node that ended after the last report was measured: times of sending and
    /// end.
    pub(crate) recently_ended: Vec<(Duration, Duration)>,
    /// Time until which it asked not to be sent requests.
    pub(crate) busy_until: Duration,
    /// Time of the last answer to a request or a load query of this node.
    pub(crate) last_contact_at: Option<Duration>,
    /// Adaptive limit of concurrent requests.
    pub(crate) limit: crate::limit::Limit,
}

/// Load of an endpoint: its last report, corrected by this node's requests since.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Running and waiting requests.
    pub requests: f64,
    /// Requests that wait in the endpoint's queue.
    pub waiting: f64,
    /// Uncached prompt tokens of this node's requests that have no first token yet.
    pub prefill_tokens: f64,
    /// Whether a recent report was available; otherwise only this node's requests are counted.
    pub is_fresh: bool,
}

impl Endpoint {
    pub(crate) fn new(listing: Listing, limit: crate::limit::Limit) -> Endpoint {
        Endpoint {
            listing,
            health: health::Health::default(),
            is_withdrawn: false,
            leaving_sequence: None,
            load: None,
            unreachable_until: Duration::ZERO,
            in_flight: Vec::new(),
            recently_ended: Vec::new(),
            busy_until: Duration::ZERO,
            last_contact_at: None,
            limit,
        }
    }

    /// Whether any source reported that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_withdrawn || self.leaving_sequence.is_some()
    }

    /// State at the time `now`.
    pub fn state(&self, now: Duration) -> State {
        if self.is_leaving() {
            return State::Leaving;
        }
        if self.listing.state != ListedState::Live {
            return State::Gone;
        }
        match self.health.status(now) {
            health::Status::Healthy if now < self.unreachable_until => State::Unreachable,
            health::Status::Healthy => State::Live,
            _ => State::Ejected,
        }
    }

    /// Sequence of the last load report.
    pub fn reported_sequence(&self) -> Option<u64> {
        self.load.map(|(report, _)| report.sequence)
    }

    /// Limit of concurrent requests.
    pub fn limit_requests(&self) -> f64 {
        self.limit.requests()
    }

    /// Number of this node's requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Removes a request from those in flight.
    ///
    /// # Panics
    ///
    /// If `attempt` is not in flight at this endpoint.
    pub(crate) fn end_attempt(&mut self, now: Duration, attempt: id::AttemptId) {
        let index = self.in_flight.iter().position(|sent| sent.attempt == attempt);
        let index = index.expect("an attempt in flight is listed at its endpoint");
        let sent = self.in_flight.remove(index);
        if self.load.is_some() {
            self.recently_ended.push((sent.sent_at, now));
        }
    }

    /// Applies a load report; returns whether it was newer than the last.
    pub(crate) fn on_load(
        &mut self,
        now: Duration,
        report: &LoadReport,
        restart_gap: Duration,
    ) -> bool {
        let taken_at = now.saturating_sub(report.age);
        let is_newer = self.load.as_ref().is_none_or(|(last, last_taken_at)| {
            report.sequence > last.sequence || taken_at > *last_taken_at + restart_gap
        });
        if report.leaving {
            self.leaving_sequence = Some(report.sequence.max(self.leaving_sequence.unwrap_or(0)));
        } else if is_newer && self.leaving_sequence.is_some_and(|leaving| report.sequence > leaving)
        {
            self.leaving_sequence = None;
        }
        if is_newer {
            self.load = Some((*report, taken_at));
            self.recently_ended.retain(|(_, ended_at)| *ended_at > taken_at);
        }
        is_newer
    }

    /// Load, corrected by this node's requests since the last report.
    ///
    /// A report older than `max_age` is not used.
    pub fn load(&self, now: Duration, max_age: Duration) -> Load {
        let own = self.in_flight.len() as f64;
        let prefilling = self.in_flight.iter().filter(|sent| !sent.has_first_token);
        let prefill_tokens = prefilling.map(|sent| f64::from(sent.uncached_tokens)).sum();
        let recent = self.load.filter(|(_, taken_at)| now.saturating_sub(*taken_at) <= max_age);
        let Some((report, taken_at)) = recent else {
            return Load { requests: own, waiting: 0.0, prefill_tokens, is_fresh: false };
        };
        let sent_since =
            self.in_flight.iter().filter(|sent| sent.sent_at > taken_at).count() as f64;
        let recently_ended =
            self.recently_ended.iter().filter(|(sent_at, _)| *sent_at <= taken_at).count() as f64;
        let reported = f64::from(report.running + report.waiting);
        let requests = (reported + sent_since - recently_ended).max(own);
        let waiting = f64::from(report.waiting).min(requests);
        Load { requests, waiting, prefill_tokens, is_fresh: true }
    }
}
