//! Why requests end without an answer of an endpoint, and what their callers are told.

use forwarding::dispatcher::Outcome;
use forwarding::refusal::RefusalReason;
use http::{HeaderValue, StatusCode};
use platform::headers;

/// Why a request ends without an answer of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GiveUpReason {
    /// It has not run and will not run.
    NotRun(RefusalReason),
    /// It may have run, and another attempt was refused.
    Exhausted(RefusalReason),
    /// It may have run, and must not be repeated after this outcome.
    Failed(Outcome),
}

impl GiveUpReason {
    /// Status of the answer to the caller. Statuses that imply that the request has not run are used
    /// for [`GiveUpReason::NotRun`] only.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            GiveUpReason::NotRun(refusal) => refusal_status(refusal),
            GiveUpReason::Failed(Outcome::TimedOut)
            | GiveUpReason::Exhausted(RefusalReason::Expired) => StatusCode::GATEWAY_TIMEOUT,
            GiveUpReason::Failed(_) | GiveUpReason::Exhausted(_) => StatusCode::BAD_GATEWAY,
        }
    }

    /// `Retry-After` of the answer to the caller; `None` if the request may have run or a retry
    /// cannot succeed.
    pub(crate) fn retry_after(&self) -> Option<HeaderValue> {
        match self {
            GiveUpReason::NotRun(refusal) => refusal.retry_after().map(headers::retry_after),
            GiveUpReason::Exhausted(_) | GiveUpReason::Failed(_) => None,
        }
    }
}

fn refusal_status(refusal: &RefusalReason) -> StatusCode {
    match refusal {
        RefusalReason::NoRoute => StatusCode::NOT_FOUND,
        RefusalReason::UnknownKey => StatusCode::UNAUTHORIZED,
        RefusalReason::OverQuota(_) => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
