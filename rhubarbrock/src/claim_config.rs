//! Time-outs and limits of claimed calls.

use std::time::Duration;

use crate::claim::{Conclusion, NotRunReason};

/// Time-outs and limits of claimed calls; each setter replaces one value of [`Config::new`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    pub(crate) key_lifetime: Duration,
    pub(crate) queue_timeout: Duration,
    pub(crate) predecessor_timeout: Duration,
    pub(crate) dispatch_window: Duration,
    pub(crate) answer_timeout: Duration,
    pub(crate) outcome_timeout: Duration,
    pub(crate) refusal_timeout: Duration,
    pub(crate) append_interval: Duration,
    pub(crate) append_timeout: Duration,
    pub(crate) end_resend_interval: Duration,
    pub(crate) retry_after: Duration,
    pub(crate) max_batch_bytes: usize,
    pub(crate) max_answer_bytes: usize,
    pub(crate) max_calls: usize,
}

impl Config {
    /// Default values, for a log that answers within tens of milliseconds.
    pub fn new() -> Config {
        Config {
            key_lifetime: Duration::from_secs(24 * 60 * 60),
            queue_timeout: Duration::from_secs(2),
            predecessor_timeout: Duration::from_secs(10),
            dispatch_window: Duration::from_secs(3),
            answer_timeout: Duration::from_secs(30),
            outcome_timeout: Duration::from_secs(40),
            refusal_timeout: Duration::from_secs(3),
            append_interval: Duration::from_millis(5),
            append_timeout: Duration::from_secs(3),
            end_resend_interval: Duration::from_secs(4),
            retry_after: Duration::from_secs(1),
            max_batch_bytes: 256 * 1024,
            max_answer_bytes: 16 * 1024,
            max_calls: 4096,
        }
    }

    /// Sets how long a key is kept after its claim; the log must retain records for longer.
    pub fn key_lifetime(mut self, lifetime: Duration) -> Config {
        self.key_lifetime = lifetime;
        self
    }

    /// Sets the longest time that a claim is queued before it is sent to the log; a call that
    /// arrives while the node catches up with the log waits no longer either.
    pub fn queue_timeout(mut self, limit: Duration) -> Config {
        self.queue_timeout = limit;
        self
    }

    /// Sets the longest time that a call waits for its predecessor in a sequence.
    pub fn predecessor_timeout(mut self, limit: Duration) -> Config {
        self.predecessor_timeout = limit;
        self
    }

    /// Sets how long after its claim was sent to the log a call may still be dispatched.
    pub fn dispatch_window(mut self, bound: Duration) -> Config {
        self.dispatch_window = bound;
        self
    }

    /// Sets the time after dispatch at which a call without an answer is in doubt.
    pub fn answer_timeout(mut self, limit: Duration) -> Config {
        self.answer_timeout = limit;
        self
    }

    /// Sets the longest time that a call waits for the outcome of an earlier one with its key.
    pub fn outcome_timeout(mut self, limit: Duration) -> Config {
        self.outcome_timeout = limit;
        self
    }

    /// Sets the time after which a queued refusal that was not read back leaves its call in doubt.
    pub fn refusal_timeout(mut self, limit: Duration) -> Config {
        self.refusal_timeout = limit;
        self
    }

    /// Sets the shortest time between two appends of this node.
    pub fn append_interval(mut self, interval: Duration) -> Config {
        self.append_interval = interval;
        self
    }

    /// Sets the time after which the result of an append without a reply counts as unknown.
    pub fn append_timeout(mut self, timeout: Duration) -> Config {
        self.append_timeout = timeout;
        self
    }

    /// Sets the time after which an outcome that was not read back is appended again.
    pub fn end_resend_interval(mut self, time: Duration) -> Config {
        self.end_resend_interval = time;
        self
    }

    /// Sets the value of `Retry-After` in refusals.
    pub fn retry_after(mut self, time: Duration) -> Config {
        self.retry_after = time;
        self
    }

    /// Sets the size in bytes from which on no further entry is added to a record.
    pub fn max_batch_bytes(mut self, bytes: usize) -> Config {
        self.max_batch_bytes = bytes;
        self
    }

    /// Sets the largest answer body that is kept in the log for repetitions, in bytes.
    pub fn max_answer_bytes(mut self, bytes: usize) -> Config {
        self.max_answer_bytes = bytes;
        self
    }

    /// Sets the largest number of calls without a conclusion.
    pub fn max_calls(mut self, calls: usize) -> Config {
        self.max_calls = calls;
        self
    }

    /// Longest time from a call's arrival to its conclusion, plus the time between two ticks.
    pub fn conclusion_timeout(&self) -> Duration {
        let own = self.predecessor_timeout
            + self.queue_timeout
            + self.dispatch_window
            + self.answer_timeout.max(self.refusal_timeout);
        own.max(self.outcome_timeout + self.refusal_timeout)
    }

    /// Conclusion of a call refused for this reason.
    pub(crate) fn not_run(&self, reason: NotRunReason) -> Conclusion {
        let retry_after = match reason {
            NotRunReason::PositionPassed | NotRunReason::PositionTaken => None,
            _ => Some(self.retry_after),
        };
        Conclusion::NotRun { reason, retry_after }
    }

    /// Time after reading another call's claim at which its outcome is no longer waited for.
    pub(crate) fn holder_timeout(&self) -> Duration {
        self.dispatch_window + self.answer_timeout
    }
}

impl Default for Config {
    fn default() -> Config {
        Config::new()
    }
}
