//! Results of calls, as their callers receive them.

use std::time::Duration;

use derive_more::Display;

use crate::claim_table::Answer;

/// The result that a caller receives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Conclusion {
    /// The endpoint's answer.
    Answered {
        /// The answer.
        answer: Answer,
        /// Whether the answer was read from the log instead of received by this call's dispatch.
        is_replay: bool,
    },
    /// Neither this call nor an earlier one with the key ran or will run.
    NotRun {
        /// Cause.
        reason: NotRunReason,
        /// Time after which a retry may succeed; `None` if no retry can succeed.
        retry_after: Option<Duration>,
    },
    /// The call may have run.
    InDoubt {
        /// Cause.
        reason: InDoubtReason,
    },
    /// The key is bound to a request with a different hash; this call is never sent.
    Mismatch,
    /// The key has outlived its lifetime, so earlier calls with it may have been forgotten; this
    /// call is not sent.
    KeyExpired,
}

/// Why a call did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub enum NotRunReason {
    /// The platform's log cannot be reached.
    #[display("the log is not available")]
    LogUnavailable,
    /// The claim was not appended and read back in time.
    #[display("the log is too slow")]
    LogSlow,
    /// This node has not yet read the log up to the end that it saw when it started.
    #[display("the node is starting")]
    Starting,
    /// No endpoint could be reached; no byte of the call was sent.
    #[display("no endpoint could be reached")]
    NoEndpoint,
    /// The call at the previous position of the sequence has no recorded answer.
    #[display("the predecessor in the sequence has no answer")]
    PredecessorUnanswered,
    /// This position of the sequence, or a later one, has been answered.
    #[display("the sequence is past this position")]
    PositionPassed,
    /// Another key has claimed this position of the sequence.
    #[display("another call has this position of the sequence")]
    PositionTaken,
    /// Another call with the key was refused while this one was in progress, which voids the claim
    /// of this one.
    #[display("a call with the same key was refused meanwhile")]
    Withdrawn,
    /// The node has reached its limit of unfinished calls.
    #[display("too many calls")]
    TooManyCalls,
    /// The node is leaving.
    #[display("the node is leaving")]
    Leaving,
}

/// Why it is unknown whether a call ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub enum InDoubtReason {
    /// The call may have reached the endpoint, and no answer was received.
    #[display("the endpoint's answer was lost")]
    AnswerLost,
    /// The endpoint did not answer within the answer time-out.
    #[display("the endpoint has not answered in time")]
    AnswerLate,
    /// The endpoint rejected the fencing token, as it has accepted a higher one for the key.
    #[display("the endpoint has accepted a newer call with the key")]
    FenceRefused,
    /// The log records the outcome of the first call as in doubt.
    #[display("the outcome of the first call is in doubt")]
    Recorded,
    /// Another call holds the key, and its outcome was not recorded in time.
    #[display("the node that holds the call has not recorded an outcome")]
    HolderSilent,
    /// The log cannot be read or appended to in time, so an earlier call with the key may exist.
    #[display("the log is not available in time and the key may have been used")]
    LogUnavailable,
    /// Records from within the key's lifetime are missing from what this node has read.
    #[display("the log does not reach back over the key's life")]
    LogTooShort,
    /// The node has reached its limit of unfinished calls and did not look up the key.
    #[display("too many calls")]
    TooManyCalls,
    /// The node is leaving and the call has no outcome yet.
    #[display("the node is leaving while the call is under way")]
    Leaving,
}
