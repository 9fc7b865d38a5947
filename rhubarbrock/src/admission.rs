//! Admission control: decides whether a request can be served in time.
//!
//! A request whose first token is not expected before its deadline is refused
//! immediately, so that the caller can try elsewhere and endpoints do not compute
//! answers that come too late. The deadline is checked again when the
//! request is taken from the queue.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use rhubarbrock_schema::release;

use crate::{rates, routing};

/// Range of the factor that corrects an estimated wait.
const CORRECTION_RANGE: std::ops::RangeInclusive<f64> = 0.25..=4.0;

/// Weight of a new sample in the moving average of the correction.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Shortest estimated wait that updates the correction.
const MIN_SAMPLE_WAIT: Duration = Duration::from_millis(20);

/// Queue limit per service when the release sets none.
const DEFAULT_MAX_QUEUE: u32 = 1000;

/// Queue limits of one service, from its release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Number of requests that may wait on this node.
    pub max_queue: u32,
    /// Longest useful time from arrival to the first token; none for no limit.
    pub deadline: Option<Duration>,
}

impl Default for ServiceLimits {
    fn default() -> ServiceLimits {
        ServiceLimits { max_queue: DEFAULT_MAX_QUEUE, deadline: None }
    }
}

/// Inputs of the admission decision for one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRequest {
    /// Time by which the first token must be produced; none for no deadline.
    pub deadline: Option<Duration>,
    /// Prompt tokens that no cache is known to hold.
    pub uncached_tokens: u32,
    /// Queued requests expected to be sent before this one.
    pub requests_ahead: usize,
    /// Queued requests of its service on this node.
    pub waiting: usize,
    /// Queued requests of its organisation for this service on this node.
    pub organisation_waiting: usize,
    /// Queued and running requests of its organisation for this service on this node.
    pub organisation_requests: usize,
    /// Limit of `organisation_requests`; 0 for none.
    pub organisation_max_requests: u32,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RefusalReason {
    /// The release has no such service.
    #[display("unknown service")]
    UnknownService,
    /// The first token is not expected before the deadline.
    #[display("deadline cannot be met")]
    DeadlineUnreachable,
    /// The organisation has at least as many requests queued as the queue has free places.
    #[display("queue is full")]
    QueueFull,
    /// The organisation has reached its limit of requests on this node.
    #[display("organisation has too many requests")]
    OrganisationLimitReached,
    /// The service has no live endpoint.
    #[display("no endpoint")]
    NoEndpoint,
}

impl RefusalReason {
    /// All reasons, in the order of declaration.
    pub const ALL: [RefusalReason; 5] = [
        RefusalReason::UnknownService,
        RefusalReason::DeadlineUnreachable,
        RefusalReason::QueueFull,
        RefusalReason::OrganisationLimitReached,
        RefusalReason::NoEndpoint,
    ];
}

/// Refusal of a request that was not sent to any endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(
    "{reason}: first token expected after {expected_first_token:?}, retry after {retry_after:?}"
)]
pub struct Refusal {
    /// Condition that caused the refusal.
    pub reason: RefusalReason,
    /// Expected time to the first token; zero if it was not estimated.
    pub expected_first_token: Duration,
    /// Time after which a retry may be admitted; whole seconds, at least 1.
    pub retry_after: Duration,
}

impl Refusal {
    /// Refusal of a queued request whose deadline can no longer be met.
    pub(crate) fn deadline_unreachable(expected_first_token: Duration) -> Refusal {
        Refusal {
            reason: RefusalReason::DeadlineUnreachable,
            expected_first_token,
            retry_after: Duration::from_secs(1),
        }
    }
}

/// Admission control for the services of a release.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    limits: BTreeMap<String, ServiceLimits>,
    corrections: BTreeMap<String, f64>,
    ignores_deadlines: bool,
}

impl Admission {
    /// Creates an admission control without a release: every service is unknown.
    pub fn new() -> Admission {
        Admission::default()
    }

    /// Creates an admission control that ignores deadlines; a baseline for comparisons.
    pub fn ignoring_deadlines() -> Admission {
        Admission { ignores_deadlines: true, ..Admission::default() }
    }

    /// Whether deadlines are ignored.
    pub fn ignores_deadlines(&self) -> bool {
        self.ignores_deadlines
    }

    /// Replaces the limits by those of a new release.
    pub fn on_release(&mut self, release: &release::Release) {
        let policy = release.policy.unwrap_or_default();
        let max_queue = if policy.max_queue == 0 { DEFAULT_MAX_QUEUE } else { policy.max_queue };
        let service_limits = |service: &release::Service| {
            let deadline = Duration::from_millis(service.deadline_ms.into());
            let deadline = (!deadline.is_zero()).then_some(deadline);
            (service.name.clone(), ServiceLimits { max_queue, deadline })
        };
        self.limits = release.services.iter().map(service_limits).collect();
    }

    /// Sets the limits of one service.
    pub fn set_limits(&mut self, service: &str, limits: ServiceLimits) {
        self.limits.insert(service.to_owned(), limits);
    }

    /// Limits of a service; none if it is unknown.
    pub fn limits(&self, service: &str) -> Option<ServiceLimits> {
        self.limits.get(service).copied()
    }

    /// Decides on a request that has just arrived.
    ///
    /// `node_count` is the number of nodes that send to the same endpoints.
    ///
    /// # Errors
    ///
    /// [`Refusal`] with the reason and the time after which a retry may be admitted.
    pub fn admit(
        &self,
        now: Duration,
        service: &str,
        request: &AdmissionRequest,
        capacity: &routing::Capacity,
        rates: &rates::Rates,
        node_count: f64,
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
            self.expected_wait(service, request.requests_ahead, capacity, rates, node_count)
                + first_token_time(request.uncached_tokens, rates);
        let max_requests = request.organisation_max_requests as usize;
        if max_requests > 0 && request.organisation_requests >= max_requests {
            return refusal(
                RefusalReason::OrganisationLimitReached,
                expected_first_token,
                Duration::ZERO,
            );
        }
        // An organisation may queue at most as many requests as are free, so none fills the queue.
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

    /// Checks the deadline again when a request is taken from the queue, before it is sent.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the first token is no longer expected before the deadline.
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

    /// Expected time until a request is sent to an endpoint.
    pub fn expected_wait(
        &self,
        service: &str,
        requests_ahead: usize,
        capacity: &routing::Capacity,
        rates: &rates::Rates,
        node_count: f64,
    ) -> Duration {
        let correction = self.corrections.get(service).copied().unwrap_or(1.0);
        uncorrected_wait(requests_ahead, capacity, rates, node_count).mul_f64(correction)
    }

    /// Corrects later estimates by a request that was sent after `waited` instead of
    /// `expected_wait`.
    pub fn on_dequeued(&mut self, service: &str, expected_wait: Duration, waited: Duration) {
        if expected_wait < MIN_SAMPLE_WAIT {
            return;
        }
        let correction = self.corrections.entry(service.to_owned()).or_insert(1.0);
        let ratio = waited.as_secs_f64() / expected_wait.as_secs_f64();
        let target =
            (*correction * ratio).clamp(*CORRECTION_RANGE.start(), *CORRECTION_RANGE.end());
        *correction += (target - *correction) * SAMPLE_WEIGHT;
    }
}

/// Wait at the rate at which running requests finish, divided evenly among the nodes.
fn uncorrected_wait(
    requests_ahead: usize,
    capacity: &routing::Capacity,
    rates: &rates::Rates,
    node_count: f64,
) -> Duration {
    let free = (capacity.free / node_count.max(1.0)).floor();
    let completions_needed = (requests_ahead + 1) as f64 - free;
    if completions_needed <= 0.0 {
        return Duration::ZERO;
    }
    let completions_per_us = capacity.load.max(1.0) / rates.service_us.max(1.0);
    Duration::from_micros((completions_needed * node_count.max(1.0) / completions_per_us) as u64)
}

/// Expected time from sending a request to its first token.
pub fn first_token_time(uncached_tokens: u32, rates: &rates::Rates) -> Duration {
    let prefill_us = f64::from(uncached_tokens) * rates.prefill_us_per_token;
    Duration::from_micros((rates.overhead_us + prefill_us) as u64)
}
