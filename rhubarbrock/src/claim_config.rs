//! Bounds of claimed calls.

use std::time::Duration;

use crate::claim::{Conclusion, NotRunReason};

/// Bounds of claimed calls, built from [`Config::new`] by the methods named after its fields.
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
    /// Bounds that suit a log which answers within tens of milliseconds.
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

    /// How long a key is remembered from its claim; the log must keep records for longer.
    pub fn key_lifetime(mut self, life: Duration) -> Config {
        self.key_lifetime = life;
        self
    }

    /// Longest time from a call's arrival until its claim is sent to the log.
    pub fn queue_timeout(mut self, limit: Duration) -> Config {
        self.queue_timeout = limit;
        self
    }

    /// Longest time that a call waits for its predecessor in a sequence.
    pub fn predecessor_timeout(mut self, limit: Duration) -> Config {
        self.predecessor_timeout = limit;
        self
    }

    /// Longest time from sending a claim to the log until its call may be dispatched.
    pub fn dispatch_window(mut self, bound: Duration) -> Config {
        self.dispatch_window = bound;
        self
    }

    /// Longest time from dispatch until the caller is told that the call is in doubt.
    pub fn answer_timeout(mut self, limit: Duration) -> Config {
        self.answer_timeout = limit;
        self
    }

    /// Longest time that a repeated call waits for the outcome of the first.
    pub fn outcome_timeout(mut self, limit: Duration) -> Config {
        self.outcome_timeout = limit;
        self
    }

    /// Longest time until a refusal that must be in the log is read back.
    pub fn refusal_timeout(mut self, limit: Duration) -> Config {
        self.refusal_timeout = limit;
        self
    }

    /// Shortest time between two appends of this node.
    pub fn append_interval(mut self, interval: Duration) -> Config {
        self.append_interval = interval;
        self
    }

    /// Time after which an append without answer counts as one of unknown fate.
    pub fn append_timeout(mut self, timeout: Duration) -> Config {
        self.append_timeout = timeout;
        self
    }

    /// Time after which an outcome that was not read back is appended again.
    pub fn end_resend_interval(mut self, time: Duration) -> Config {
        self.end_resend_interval = time;
        self
    }

    /// Time told in `Retry-After` to callers that are refused.
    pub fn retry_after(mut self, time: Duration) -> Config {
        self.retry_after = time;
        self
    }

    /// Largest record, in bytes; an entry larger than that goes alone.
    pub fn max_batch_bytes(mut self, bytes: usize) -> Config {
        self.max_batch_bytes = bytes;
        self
    }

    /// Largest answer body kept in the log for callers who ask again, in bytes.
    pub fn max_answer_bytes(mut self, bytes: usize) -> Config {
        self.max_answer_bytes = bytes;
        self
    }

    /// Largest number of calls held at once.
    pub fn max_calls(mut self, calls: usize) -> Config {
        self.max_calls = calls;
        self
    }

    /// Longest time from a call's arrival to its conclusion, apart from the time between ticks.
    pub fn conclusion_timeout(&self) -> Duration {
        let own = self.predecessor_timeout
            + self.queue_timeout
            + self.dispatch_window
            + self.answer_timeout.max(self.refusal_timeout);
        own.max(self.outcome_timeout + self.refusal_timeout)
    }

    /// What a caller is told who is refused for this reason.
    pub(crate) fn not_run(&self, reason: NotRunReason) -> Conclusion {
        let retry_after = match reason {
            NotRunReason::PositionPassed | NotRunReason::PositionTaken => None,
            _ => Some(self.retry_after),
        };
        Conclusion::NotRun { reason, retry_after }
    }

    /// Time after which the holder of a claim without outcome counts as silent.
    pub(crate) fn holder_timeout(&self) -> Duration {
        self.dispatch_window + self.answer_timeout
    }
}

impl Default for Config {
    fn default() -> Config {
        Config::new()
    }
}
