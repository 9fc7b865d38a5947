//! One endpoint as a node sees it.

use std::time::Duration;

use derive_more::Display;

use crate::{health, id};

/// Terms on which an instance runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Market {
    /// Cheap; the cloud may take it back on short notice.
    #[display("reclaimable")]
    Reclaimable,
    /// Dear; kept until given back.
    #[display("on-demand")]
    OnDemand,
}

/// State of an instance in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// Started, not ready.
    Starting,
    /// Ready.
    Live,
    /// Under notice.
    Leaving,
    /// Ended.
    Gone,
}

/// What the platform's list says of one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    /// Its instance.
    pub endpoint: id::EndpointId,
    /// Service that it was started for.
    pub service: String,
    /// Data centre.
    pub data_centre: String,
    /// Machine class.
    pub class: String,
    /// IP and port.
    pub address: String,
    /// Terms on which it runs.
    pub market: Market,
    /// Price of an hour; 0 where unknown.
    pub price_per_hour: f64,
    /// State.
    pub state: ListedState,
}

/// Load that an endpoint reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Raised by the endpoint with each report.
    pub sequence: u64,
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside the endpoint.
    pub waiting: u32,
    /// Share of KV cache memory in use, in percent.
    pub kv_used_percent: u32,
    /// Prompt tokens that wait for prefill.
    pub queued_tokens: u32,
    /// Whether the endpoint says that it is leaving.
    pub leaving: bool,
    /// Time since the figures were taken.
    pub age: Duration,
}

/// State of an endpoint as this node goes by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum State {
    /// Gets work.
    #[display("live")]
    Live,
    /// Some source said that it leaves; gets no new work.
    #[display("leaving")]
    Leaving,
    /// Own requests failed there; gets none for a time.
    #[display("ejected")]
    Ejected,
    /// Watchers cannot reach it; gets work only when nothing else is left.
    #[display("unreachable")]
    Unreachable,
    /// Ended, starting or no longer listed.
    #[display("gone")]
    Gone,
}

/// A request of this node that was sent to the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct InFlight {
    pub(crate) attempt: id::AttemptId,
    pub(crate) at: Duration,
    /// Prompt tokens that no cache is known to hold.
    pub(crate) uncached_tokens: u32,
    pub(crate) has_first_token: bool,
}

/// One endpoint as a node sees it.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// What the list says.
    pub listing: Listing,
    /// Own failures.
    pub health: health::Health,
    /// Whether list or notice said that it leaves; never taken back.
    pub(crate) is_withdrawn: bool,
    /// Sequence of the endpoint's own word that it leaves.
    pub(crate) leaving_sequence: Option<u64>,
    /// Latest load report and when its figures were taken.
    pub(crate) load: Option<(LoadReport, Duration)>,
    /// Until when a watcher's word that it can't be reached is gone by.
    pub(crate) unreachable_until: Duration,
    /// Own requests in flight, in order of sending.
    pub(crate) sent: Vec<InFlight>,
    /// Own requests that ended after the last report was taken: sending and end.
    pub(crate) ended: Vec<(Duration, Duration)>,
    /// Until when it asked not to be sent anything.
    pub(crate) busy_until: Duration,
    /// When it last answered a request or a load query of this node.
    pub(crate) last_contact_at: Option<Duration>,
    /// Learnt limit of concurrent requests.
    pub(crate) limit: crate::limit::Limit,
}

/// Load of an endpoint, corrected by what this node knows since the last report.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Requests in the endpoint.
    pub requests: f64,
    /// Those of them that wait for a place in its batch.
    pub waiting: f64,
    /// Prompt tokens of own requests that wait for their first token.
    pub prefill_tokens: f64,
    /// Whether the figures rest on a report that is fresh enough.
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
            sent: Vec::new(),
            ended: Vec::new(),
            busy_until: Duration::ZERO,
            last_contact_at: None,
            limit,
        }
    }

    /// Whether some source said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_withdrawn || self.leaving_sequence.is_some()
    }

    /// State at a time.
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

    /// Sequence of the last report taken.
    pub fn reported_sequence(&self) -> Option<u64> {
        self.load.map(|(report, _)| report.sequence)
    }

    /// Requests that it may run.
    pub fn limit_requests(&self) -> f64 {
        self.limit.requests()
    }

    /// Own requests in flight.
    pub fn in_flight(&self) -> usize {
        self.sent.len()
    }

    /// Takes one request out of those in flight.
    pub(crate) fn end(&mut self, now: Duration, attempt: id::AttemptId) {
        let place = self.sent.iter().position(|sent| sent.attempt == attempt);
        let place = place.expect("an attempt in flight is listed at its endpoint");
        let sent = self.sent.remove(place);
        if self.load.is_some() {
            self.ended.push((sent.at, now));
        }
    }

    /// Takes a report; returns whether it was newer than the one before.
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
        } else if is_newer && self.leaving_sequence.is_some_and(|told| report.sequence > told) {
            self.leaving_sequence = None;
        }
        if is_newer {
            self.load = Some((*report, taken_at));
            self.ended.retain(|(_, ended_at)| *ended_at > taken_at);
        }
        is_newer
    }

    /// Load corrected by own requests since the last report.
    ///
    /// A report older than `max_age` is not used.
    pub fn load(&self, now: Duration, max_age: Duration) -> Load {
        let own = self.sent.len() as f64;
        let waits = self.sent.iter().filter(|sent| !sent.has_first_token);
        let prefill_tokens = waits.map(|sent| f64::from(sent.uncached_tokens)).sum();
        let fresh = self.load.filter(|(_, taken_at)| now.saturating_sub(*taken_at) <= max_age);
        let Some((report, taken_at)) = fresh else {
            return Load { requests: own, waiting: 0.0, prefill_tokens, is_fresh: false };
        };
        let sent_since = self.sent.iter().filter(|sent| sent.at > taken_at).count() as f64;
        let ended = self.ended.iter().filter(|(sent_at, _)| *sent_at <= taken_at).count() as f64;
        let reported = f64::from(report.running + report.waiting);
        let requests = (reported + sent_since - ended).max(own);
        let waiting = f64::from(report.waiting).min(requests);
        Load { requests, waiting, prefill_tokens, is_fresh: true }
    }
}
