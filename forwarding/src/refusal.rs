//! Why requests are refused, and when their callers may retry.

use std::time::Duration;

use derive_more::Display;

use crate::quota;

/// Retry delay sent to callers on temporary conditions, such as a missing release or endpoint.
pub(crate) const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Retry delay sent to the caller of a request that crashes endpoints.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Why a request was refused admission or another attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RefusalReason {
    /// The gateway has no release yet.
    #[display("no release is known yet")]
    NoRelease,
    /// No route matches host and path.
    #[display("no route fits host and path")]
    NoRoute,
    /// The key is missing or unknown.
    #[display("the key is missing or unknown")]
    UnknownKey,
    /// The organisation's quota is spent.
    #[display("the organisation's quota is spent")]
    OverQuota(quota::Shortage),
    /// The request has crashed several endpoints.
    #[display("the request has crashed endpoints")]
    Suspect,
    /// Requests with a part of its prompt have crashed several endpoints.
    #[display("a part of the prompt has crashed endpoints")]
    SuspectPart,
    /// The service has no endpoint left to try.
    #[display("the service has no endpoint left to try")]
    NoEndpoint,
    /// The retry budget allows no further attempt, or all endpoints requested a wait.
    #[display("the service's endpoints are full")]
    Full {
        /// Time after which the caller may retry.
        wait: Duration,
    },
    /// The deadline passed before the request was sent.
    #[display("the time limit passed before the request was sent")]
    Expired,
    /// The gateway is shutting down.
    #[display("the gateway is about to stop")]
    Stopping,
}

impl RefusalReason {
    /// Time after which the caller may retry; `None` if a retry cannot succeed.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            RefusalReason::NoRoute | RefusalReason::UnknownKey => None,
            RefusalReason::OverQuota(shortage) => Some(shortage.wait),
            RefusalReason::Full { wait } => Some(*wait),
            RefusalReason::Suspect | RefusalReason::SuspectPart => Some(SUSPECT_RETRY_AFTER),
            RefusalReason::Stopping => Some(Duration::ZERO),
            RefusalReason::NoRelease | RefusalReason::NoEndpoint | RefusalReason::Expired => {
                Some(UNAVAILABLE_RETRY_AFTER)
            }
        }
    }
}
