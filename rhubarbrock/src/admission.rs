//! Whether a request can still be served in time.
//!
//! A request whose first token is not expected before its deadline is refused
//! at once, so that the caller can go elsewhere and endpoints don't work on what
//! is worthless. It is asked again when its turn comes.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use rhubarbrock_schema::release;

use crate::{rates, routing};

/// Lowest and highest correction of an estimated wait.
const CORRECTION: std::ops::RangeInclusive<f64> = 0.25..=4.0;

/// Weight of a new sample of the correction.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Shortest estimated wait that the correction is learnt from.
const MIN_SAMPLE: Duration = Duration::from_millis(20);

/// Waiting requests per service where the release says nothing.
const DEFAULT_MAX_QUEUE: u32 = 1000;

/// What a service's release entry says about waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Requests that may wait on this node.
    pub max_queue: u32,
    /// Time from arrival to first token after which an answer is worthless; none for no limit.
    pub deadline: Option<Duration>,
}

impl Default for ServiceLimits {
    fn default() -> ServiceLimits {
        ServiceLimits { max_queue: DEFAULT_MAX_QUEUE, deadline: None }
    }
}

/// A request that asks to be admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRequest {
    /// When it must have its first token, if it must.
    pub deadline: Option<Duration>,
    /// Prompt tokens that no cache is known to hold.
    pub uncached_tokens: u32,
    /// Requests likely to go before it.
    pub requests_ahead: usize,
    /// Requests of its service that wait on this node.
    pub waiting: usize,
    /// Requests of its organisation that wait on this node.
    pub organisation_waiting: usize,
    /// Requests of its organisation that this node has in all.
    pub organisation_requests: usize,
    /// Limit of the latter; 0 for none.
    pub organisation_max_requests: u32,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RefusalReason {
    /// No such service.
    #[display("unknown service")]
    UnknownService,
    /// Its deadline can't be met.
    #[display("deadline cannot be met")]
    DeadlineUnreachable,
    /// Too many requests wait.
    #[display("queue is full")]
    QueueFull,
    /// Its organisation has as many requests as it may.
    #[display("organisation has too many requests")]
    OrganisationLimitReached,
    /// No endpoint is there to wait for.
    #[display("no endpoint")]
    NoEndpoint,
}

impl RefusalReason {
    /// All reasons, for metrics.
    pub const ALL: [RefusalReason; 5] = [
        RefusalReason::UnknownService,
        RefusalReason::DeadlineUnreachable,
        RefusalReason::QueueFull,
        RefusalReason::OrganisationLimitReached,
        RefusalReason::NoEndpoint,
    ];
}

/// A refusal; the request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(
    "{reason}: first token expected after {expected_first_token:?}, retry after {retry_after:?}"
)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Expected time to the first token.
    pub expected_first_token: Duration,
    /// When it is worth asking again; whole seconds, 1 at least.
    pub retry_after: Duration,
}

impl Refusal {
    /// The refusal of a queued request whose deadline can't be met any more.
    pub(crate) fn deadline_unreachable(expected_first_token: Duration) -> Refusal {
        Refusal {
            reason: RefusalReason::DeadlineUnreachable,
            expected_first_token,
            retry_after: Duration::from_secs(1),
        }
    }
}

/// Admission to the services of a release.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    limits: BTreeMap<String, ServiceLimits>,
    corrections: BTreeMap<String, f64>,
    ignores_deadlines: bool,
}

impl Admission {
    /// Admission before any release is known: every service is unknown.
    pub fn new() -> Admission {
        Admission::default()
    }

    /// Admission that refuses nothing for its deadline, to compare with.
    pub fn ignoring_deadlines() -> Admission {
        Admission { ignores_deadlines: true, ..Admission::default() }
    }

    /// Whether nothing is refused for its deadline.
    pub fn ignores_deadlines(&self) -> bool {
        self.ignores_deadlines
    }

    /// A release came into force.
    pub fn on_release(&mut self, release: &release::Release) {
        let policy = release.policy.unwrap_or_default();
        let max_queue = if policy.max_queue == 0 { DEFAULT_MAX_QUEUE } else { policy.max_queue };
        let of_service = |service: &release::Service| {
            let deadline = Duration::from_millis(service.deadline_ms.into());
            let deadline = (!deadline.is_zero()).then_some(deadline);
            (service.name.clone(), ServiceLimits { max_queue, deadline })
        };
        self.limits = release.services.iter().map(of_service).collect();
    }

    /// Sets the limits of one service.
    pub fn set_limits(&mut self, service: &str, limits: ServiceLimits) {
        self.limits.insert(service.to_owned(), limits);
    }

    /// Limits of a service.
    pub fn limits(&self, service: &str) -> Option<ServiceLimits> {
        self.limits.get(service).copied()
    }

    /// Decides on a request that has just arrived.
    pub fn admit(
        &self,
        now: Duration,
        service: &str,
        request: &AdmissionRequest,
        capacity: &routing::Capacity,
        rates: &rates::Rates,
        nodes: f64,
    ) -> Result<(), Refusal> {
        let refusal = |reason, expected_first_token: Duration, budget: Duration| {
            let excess = expected_first_token.saturating_sub(budget).as_secs_f64().ceil();
            let retry_after = Duration::from_secs((excess as u64).max(1));
            Err(Refusal { reason, expected_first_token, retry_after })
        };
        let Some(limits) = self.limits.get(service) else {
            return refusal(RefusalReason::UnknownService, Duration::ZERO, Duration::ZERO);
        };
        let expected_first_token =
            self.expected_wait(service, request.requests_ahead, capacity, rates, nodes)
                + first_token_time(request.uncached_tokens, rates);
        let max_requests = request.organisation_max_requests as usize;
        if max_requests > 0 && request.organisation_requests >= max_requests {
            return refusal(
                RefusalReason::OrganisationLimitReached,
                expected_first_token,
                Duration::ZERO,
            );
        }
        // Each organisation may use as much of the queue as is left free, so that none fills it.
        let free = (limits.max_queue as usize).saturating_sub(request.waiting);
        if request.organisation_waiting >= free {
            return refusal(RefusalReason::QueueFull, expected_first_token, Duration::ZERO);
        }
        let Some(deadline) = request.deadline.filter(|_| !self.ignores_deadlines) else {
            return Ok(());
        };
        if capacity.endpoints == 0 {
            return refusal(RefusalReason::NoEndpoint, expected_first_token, Duration::ZERO);
        }
        if now + expected_first_token > deadline {
            return refusal(
                RefusalReason::DeadlineUnreachable,
                expected_first_token,
                deadline.saturating_sub(now),
            );
        }
        Ok(())
    }

    /// Decides again when a request's turn has come; nothing of it has run yet.
    pub fn recheck(
        &self,
        now: Duration,
        deadline: Option<Duration>,
        uncached_tokens: u32,
        rates: &rates::Rates,
    ) -> Result<(), Refusal> {
        let Some(deadline) = deadline.filter(|_| !self.ignores_deadlines) else {
            return Ok(());
        };
        let expected_first_token = first_token_time(uncached_tokens, rates);
        if now + expected_first_token <= deadline {
            return Ok(());
        }
        Err(Refusal::deadline_unreachable(expected_first_token))
    }

    /// Time until a request is likely to have its turn.
    pub fn expected_wait(
        &self,
        service: &str,
        requests_ahead: usize,
        capacity: &routing::Capacity,
        rates: &rates::Rates,
        nodes: f64,
    ) -> Duration {
        let correction = self.corrections.get(service).copied().unwrap_or(1.0);
        raw_wait(requests_ahead, capacity, rates, nodes).mul_f64(correction)
    }

    /// A request had its turn after `waited`, when `expected_wait` was estimated.
    pub fn on_dequeued(&mut self, service: &str, expected_wait: Duration, waited: Duration) {
        if expected_wait < MIN_SAMPLE {
            return;
        }
        let correction = self.corrections.entry(service.to_owned()).or_insert(1.0);
        let error = waited.as_secs_f64() / expected_wait.as_secs_f64();
        let wanted = (*correction * error).clamp(*CORRECTION.start(), *CORRECTION.end());
        *correction += (wanted - *correction) * SAMPLE_WEIGHT;
    }
}

/// Wait by the rate at which running requests end and the share that this node gets of it.
fn raw_wait(
    requests_ahead: usize,
    capacity: &routing::Capacity,
    rates: &rates::Rates,
    nodes: f64,
) -> Duration {
    let free = (capacity.free / nodes.max(1.0)).floor();
    let before = (requests_ahead + 1) as f64 - free;
    if before <= 0.0 {
        return Duration::ZERO;
    }
    let ends_per_us = capacity.load.max(1.0) / rates.service_us.max(1.0);
    Duration::from_micros((before * nodes.max(1.0) / ends_per_us) as u64)
}

/// Time from being sent to the first token.
pub fn first_token_time(uncached_tokens: u32, rates: &rates::Rates) -> Duration {
    let prefill_us = f64::from(uncached_tokens) * rates.prefill_us_per_token;
    Duration::from_micros((rates.overhead_us + prefill_us) as u64)
}
