//! Retry decisions: a retry budget per service, and back-off with full jitter
//! that honours `Retry-After`.
//!
//! Each first attempt adds a fraction of one retry to the service's budget, and
//! each retry spends a whole one. In a brown-out the attempts therefore stay
//! within a fixed ratio of the requests, whatever the number of callers. A call
//! that is not repeatable is never sent again once it may have reached an
//! endpoint, and a request never has two attempts at the same time.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Cost of one retry: 100 percent of a retry, which is what budgets are counted in.
const RETRY_COST_PERCENT: u64 = 100;

/// Settings of [`Retries`]; each field has a method that sets it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    retry_percent: u32,
    max_saved_retries: u32,
    initial_backoff: Duration,
    max_backoff: Duration,
    max_attempts: u32,
}

impl Config {
    /// Default settings: ten retries per hundred first attempts, four attempts per request.
    pub fn new() -> Config {
        Config {
            retry_percent: 10,
            max_saved_retries: 10,
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(5),
            max_attempts: 4,
        }
    }

    /// Sets the number of retries that a hundred first attempts add to the budget.
    pub fn retry_percent(mut self, retry_percent: u32) -> Config {
        self.retry_percent = retry_percent;
        self
    }

    /// Sets the capacity of a service's budget, in retries; a new budget is full.
    pub fn max_saved_retries(mut self, retries: u32) -> Config {
        self.max_saved_retries = retries;
        self
    }

    /// Sets the upper bound of the first wait; it doubles with each further attempt.
    pub fn initial_backoff(mut self, wait: Duration) -> Config {
        self.initial_backoff = wait;
        self
    }

    /// Sets the limit of that bound, and of the `Retry-After` that a request waits for.
    pub fn max_backoff(mut self, wait: Duration) -> Config {
        self.max_backoff = wait;
        self
    }

    /// Sets the largest number of attempts of one request, including the first.
    pub fn max_attempts(mut self, attempts: u32) -> Config {
        self.max_attempts = attempts;
        self
    }
}

impl Default for Config {
    fn default() -> Config {
        Config::new()
    }
}

/// Whether a request may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// It may be sent again, and may be given up.
    Allowed,
    /// It was accepted and must be answered: an empty budget delays it but does not end it.
    Required,
    /// It is not repeatable, but no byte of it was sent.
    NotYetSent,
    /// It is not repeatable and may have reached an endpoint.
    Forbidden,
}

/// Failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure<'a> {
    /// Name of the service called.
    pub service: &'a str,
    /// Attempts made so far, from 1.
    pub attempts: u32,
    /// Whether the request may be sent again.
    pub repeat: Repeat,
    /// `Retry-After` of the endpoint; `None` if it sent none.
    pub retry_after: Option<Duration>,
    /// Monotonic time at which the request is given up; `None` for no limit.
    pub deadline: Option<Duration>,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send the request again at this monotonic time.
    RetryAt(Duration),
    /// Do not send the request again; report the failure to the caller.
    GiveUp {
        /// Reason for the decision.
        reason: GiveUpReason,
        /// `Retry-After` of the endpoint, to pass on to the caller.
        retry_after: Option<Duration>,
    },
}

/// Reason for not sending a request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub enum GiveUpReason {
    /// The call is not repeatable and may have reached an endpoint.
    #[display("the call may have run and may not be repeated")]
    MayHaveRun,
    /// The request has had the largest number of attempts.
    #[display("attempts used up")]
    AttemptsExhausted,
    /// The service's retry budget is empty.
    #[display("retries of the service used up")]
    BudgetExhausted,
    /// The wait would pass the deadline.
    #[display("too late for the deadline")]
    Deadline,
    /// `Retry-After` is longer than the largest back-off.
    #[display("the endpoint asks for a long wait")]
    LongWait,
}

/// Retry budgets of one node.
#[derive(Debug)]
pub struct Retries {
    config: Config,
    rng: ChaCha8Rng,
    /// Budget by service, in percent of a retry.
    budgets: BTreeMap<String, u64>,
    granted: u64,
    refused: BTreeMap<GiveUpReason, u64>,
}

impl Retries {
    /// Creates full budgets; `seed` determines the jitter.
    pub fn new(config: Config, seed: u64) -> Retries {
        Retries {
            config,
            rng: ChaCha8Rng::seed_from_u64(seed),
            budgets: BTreeMap::new(),
            granted: 0,
            refused: BTreeMap::new(),
        }
    }

    /// Sets the number of retries that a hundred first attempts add, as the release states it.
    pub fn set_retry_percent(&mut self, retry_percent: u32) {
        self.config.retry_percent = retry_percent;
    }

    /// Drops the budgets of services for which `is_kept` returns false.
    pub fn retain_services(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.budgets.retain(|service, _| is_kept(service));
    }

    /// Number of retries granted since the start.
    pub fn granted(&self) -> u64 {
        self.granted
    }

    /// Number of retries refused since the start, by reason.
    pub fn refused(&self) -> &BTreeMap<GiveUpReason, u64> {
        &self.refused
    }

    /// Adds to the service's budget for a first attempt that is sent.
    pub fn on_first_attempt(&mut self, service: &str) {
        let max = self.max_budget_percent();
        let retry_percent = u64::from(self.config.retry_percent);
        let budget = self.budget_of(service);
        *budget = (*budget + retry_percent).min(max);
    }

    /// Decides what to do after a failed attempt; a retry is charged to the budget.
    pub fn decide(&mut self, now: Duration, failure: &Failure<'_>) -> Decision {
        let wait = self.draw_wait(failure);
        let verdict = match self.give_up_reason(now, failure, wait) {
            Some(reason) => Decision::GiveUp { reason, retry_after: failure.retry_after },
            None => Decision::RetryAt(now + self.charge(failure, wait)),
        };
        match verdict {
            Decision::RetryAt(_) => self.granted += 1,
            Decision::GiveUp { reason, .. } => *self.refused.entry(reason).or_default() += 1,
        }
        verdict
    }

    fn give_up_reason(
        &mut self,
        now: Duration,
        failure: &Failure<'_>,
        wait: Duration,
    ) -> Option<GiveUpReason> {
        if failure.repeat == Repeat::Forbidden {
            return Some(GiveUpReason::MayHaveRun);
        }
        if failure.deadline.is_some_and(|deadline| now + wait >= deadline) {
            return Some(GiveUpReason::Deadline);
        }
        if failure.repeat == Repeat::Required {
            return None;
        }
        if failure.attempts >= self.config.max_attempts {
            return Some(GiveUpReason::AttemptsExhausted);
        }
        if failure.retry_after.is_some_and(|time| time > self.config.max_backoff) {
            return Some(GiveUpReason::LongWait);
        }
        let is_budget_empty = *self.budget_of(failure.service) < RETRY_COST_PERCENT;
        is_budget_empty.then_some(GiveUpReason::BudgetExhausted)
    }

    /// Draws `Retry-After` plus full jitter: uniform up to a bound that doubles with each attempt.
    fn draw_wait(&mut self, failure: &Failure<'_>) -> Duration {
        let doublings = failure.attempts.saturating_sub(1).min(20);
        let bound = self.config.initial_backoff.saturating_mul(1 << doublings);
        let bound = bound.min(self.config.max_backoff);
        let jitter = bound.mul_f64(self.rng.random());
        failure.retry_after.unwrap_or(Duration::ZERO) + jitter
    }

    /// Charges one retry to the budget. If it is empty, the request must be answered
    /// nevertheless ([`Repeat::Required`]) and waits half to all of the largest back-off.
    fn charge(&mut self, failure: &Failure<'_>, wait: Duration) -> Duration {
        let max_backoff = self.config.max_backoff;
        let budget = self.budget_of(failure.service);
        if *budget >= RETRY_COST_PERCENT {
            *budget -= RETRY_COST_PERCENT;
            return wait;
        }
        let factor = self.rng.random_range(0.5..1.0);
        wait.max(max_backoff.mul_f64(factor))
    }

    fn max_budget_percent(&self) -> u64 {
        u64::from(self.config.max_saved_retries) * RETRY_COST_PERCENT
    }

    fn budget_of(&mut self, service: &str) -> &mut u64 {
        let max = self.max_budget_percent();
        if !self.budgets.contains_key(service) {
            self.budgets.insert(service.to_owned(), max);
        }
        self.budgets.get_mut(service).expect("inserted above")
    }
}
