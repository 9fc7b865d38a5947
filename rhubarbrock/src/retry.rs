//! Retries: a budget per service, back-off with full jitter, and `Retry-After` kept.
//!
//! Each first attempt earns a share of one retry; a retry spends a whole one.
//! In a brown-out the attempts so stay within a fixed ratio of the requests,
//! whatever the number of callers. A call that may not be repeated is never sent
//! again once it may have reached an endpoint, and no request is sent twice at
//! the same time.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Price of one retry, in percent of a first attempt's earnings at 100 percent.
const RETRY_COST: u64 = 100;

/// Bounds of retries, built from [`Config::new`] by the methods named after its fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    retry_percent: u32,
    max_saved_retries: u32,
    initial_backoff: Duration,
    max_backoff: Duration,
    max_attempts: u32,
}

impl Config {
    /// Ten retries per hundred first attempts.
    pub fn new() -> Config {
        Config {
            retry_percent: 10,
            max_saved_retries: 10,
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(5),
            max_attempts: 4,
        }
    }

    /// Retries earned per hundred first attempts.
    pub fn retry_percent(mut self, retry_percent: u32) -> Config {
        self.retry_percent = retry_percent;
        self
    }

    /// Largest number of retries saved up for a service, and the number it starts with.
    pub fn max_saved_retries(mut self, retries: u32) -> Config {
        self.max_saved_retries = retries;
        self
    }

    /// Upper bound of the first wait; doubled at each further attempt.
    pub fn initial_backoff(mut self, wait: Duration) -> Config {
        self.initial_backoff = wait;
        self
    }

    /// Longest upper bound of a wait.
    pub fn max_backoff(mut self, wait: Duration) -> Config {
        self.max_backoff = wait;
        self
    }

    /// Largest number of attempts of one request, the first included.
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
    /// It may be sent again, or fail.
    Allowed,
    /// It was accepted and must be answered: lack of budget slows it down and never ends it.
    Required,
    /// It may not be repeated; no byte of it has left.
    NotYetSent,
    /// It may not be repeated and may have reached an endpoint.
    Forbidden,
}

/// An attempt that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure<'a> {
    /// Service called.
    pub service: &'a str,
    /// Attempts made so far, from 1.
    pub attempts: u32,
    /// Whether the request may be sent again.
    pub repeat: Repeat,
    /// `Retry-After` of the endpoint.
    pub retry_after: Option<Duration>,
    /// Monotonic time after which an answer is of no use.
    pub deadline: Option<Duration>,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it again at this monotonic time.
    RetryAt(Duration),
    /// Tell the caller.
    GiveUp {
        /// Why.
        reason: GiveUpReason,
        /// `Retry-After` for the caller.
        retry_after: Option<Duration>,
    },
}

/// Why a request is not sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub enum GiveUpReason {
    /// It may have reached an endpoint and may not be repeated.
    #[display("the call may have run and may not be repeated")]
    MayHaveRun,
    /// Its attempts are used up.
    #[display("attempts used up")]
    AttemptsExhausted,
    /// The service's retries are used up.
    #[display("retries of the service used up")]
    BudgetExhausted,
    /// It could not be answered before its deadline.
    #[display("too late for the deadline")]
    Deadline,
    /// The endpoint asks for a longer wait than this node keeps a request for.
    #[display("the endpoint asks for a long wait")]
    LongWait,
}

/// Retries of one node.
#[derive(Debug)]
pub struct Retries {
    config: Config,
    rng: ChaCha8Rng,
    /// Saved earnings by service, in percent of a retry.
    savings: BTreeMap<String, u64>,
    granted: u64,
    refused: BTreeMap<GiveUpReason, u64>,
}

impl Retries {
    /// Retries with a full reserve for each service.
    pub fn new(config: Config, seed: u64) -> Retries {
        Retries {
            config,
            rng: ChaCha8Rng::seed_from_u64(seed),
            savings: BTreeMap::new(),
            granted: 0,
            refused: BTreeMap::new(),
        }
    }

    /// Takes the release note's number of retries per hundred first attempts.
    pub fn set_retry_percent(&mut self, retry_percent: u32) {
        self.config.retry_percent = retry_percent;
    }

    /// Forgets the services that are not among these.
    pub fn retain_services(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.savings.retain(|service, _| is_kept(service));
    }

    /// Retries granted since the start.
    pub fn granted(&self) -> u64 {
        self.granted
    }

    /// Retries refused since the start, by reason.
    pub fn refused(&self) -> &BTreeMap<GiveUpReason, u64> {
        &self.refused
    }

    /// A request's first attempt is sent.
    pub fn on_first_attempt(&mut self, service: &str) {
        let most = self.most_savings();
        let retry_percent = u64::from(self.config.retry_percent);
        let savings = self.savings_of(service);
        *savings = (*savings + retry_percent).min(most);
    }

    /// What to do after a failed attempt.
    pub fn decide(&mut self, now: Duration, failure: &Failure<'_>) -> Decision {
        let wait = self.draw_wait(failure);
        let verdict = match self.refusal(now, failure, wait) {
            Some(reason) => Decision::GiveUp { reason, retry_after: failure.retry_after },
            None => Decision::RetryAt(now + self.pay(failure, wait)),
        };
        match verdict {
            Decision::RetryAt(_) => self.granted += 1,
            Decision::GiveUp { reason, .. } => *self.refused.entry(reason).or_default() += 1,
        }
        verdict
    }

    fn refusal(
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
        let is_spent = *self.savings_of(failure.service) < RETRY_COST;
        is_spent.then_some(GiveUpReason::BudgetExhausted)
    }

    /// Full jitter: anything up to a bound that doubles with each attempt, after `Retry-After`.
    fn draw_wait(&mut self, failure: &Failure<'_>) -> Duration {
        let doublings = failure.attempts.saturating_sub(1).min(20);
        let bound = self.config.initial_backoff.saturating_mul(1 << doublings);
        let bound = bound.min(self.config.max_backoff);
        let jitter = bound.mul_f64(self.rng.random());
        failure.retry_after.unwrap_or(Duration::ZERO) + jitter
    }

    /// Spends one retry. A request that must be answered waits longest where there is none.
    fn pay(&mut self, failure: &Failure<'_>, wait: Duration) -> Duration {
        let longest = self.config.max_backoff;
        let savings = self.savings_of(failure.service);
        if *savings >= RETRY_COST {
            *savings -= RETRY_COST;
            return wait;
        }
        let spread = self.rng.random_range(0.5..1.0);
        wait.max(longest.mul_f64(spread))
    }

    fn most_savings(&self) -> u64 {
        u64::from(self.config.max_saved_retries) * RETRY_COST
    }

    fn savings_of(&mut self, service: &str) -> &mut u64 {
        let most = self.most_savings();
        if !self.savings.contains_key(service) {
            self.savings.insert(service.to_owned(), most);
        }
        self.savings.get_mut(service).expect("inserted above")
    }
}
