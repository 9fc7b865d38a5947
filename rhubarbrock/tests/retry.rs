//! Tests of retry budgets, back-off, `Retry-After` and calls that are not repeatable.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbrock::retry::{Config, Decision, Failure, GiveUpReason, Repeat, Retries};

fn failure(attempts: u32) -> Failure<'static> {
    let service = "guide-writers";
    Failure { service, attempts, repeat: Repeat::Allowed, retry_after: None, deadline: None }
}

/// Totals of one simulated brown-out.
struct BrownOut {
    requests: u64,
    attempts: u64,
    /// Time of the last attempt.
    last_attempt_at: Duration,
}

/// Sends 100 requests per second for 60 s; until then each attempt fails with the given chance.
fn brown_out(seed: u64, fail_percent: u32, repeat: Repeat) -> BrownOut {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut retries = Retries::new(Config::new(), seed);
    let mut due: BTreeMap<(Duration, u64), u32> = BTreeMap::new();
    let requests = 6_000;
    for request in 0..requests {
        due.insert((Duration::from_millis(request * 10), request), 0);
    }
    let end = Duration::from_secs(60);
    let mut report = BrownOut { requests, attempts: 0, last_attempt_at: Duration::ZERO };
    while let Some(((now, request), attempts)) = due.pop_first() {
        report.attempts += 1;
        report.last_attempt_at = now;
        if attempts == 0 {
            retries.on_first_attempt("guide-writers");
        }
        let has_failed = now < end && rng.random_ratio(fail_percent, 100);
        if !has_failed {
            continue;
        }
        let failed = Failure { repeat, ..failure(attempts + 1) };
        if let Decision::RetryAt(at) = retries.decide(now, &failed) {
            due.insert((at, request), attempts + 1);
        }
    }
    report
}

#[test]
fn bounds_attempts_during_brown_out() {
    for seed in 0..5 {
        for fail_percent in [10, 50, 100] {
            let report = brown_out(seed, fail_percent, Repeat::Allowed);
            let max_attempts = report.requests + report.requests / 5;
            assert!(report.attempts <= max_attempts, "seed {seed}: {} attempts", report.attempts);
        }
    }
}

#[test]
fn ends_retries_within_10_s_after_outage() {
    for seed in 0..5 {
        let report = brown_out(seed, 100, Repeat::Required);
        assert!(report.last_attempt_at < Duration::from_secs(70), "seed {seed}");
    }
}

#[test]
fn never_repeats_call_that_may_have_run() {
    let mut retries = Retries::new(Config::new().retry_percent(1_000).max_saved_retries(1_000), 1);
    for attempts in 1..100 {
        let failed = Failure { repeat: Repeat::Forbidden, ..failure(attempts) };
        let decision = retries.decide(Duration::ZERO, &failed);
        let reason = GiveUpReason::MayHaveRun;
        assert_eq!(decision, Decision::GiveUp { reason, retry_after: None });
    }
    let unsent = Failure { repeat: Repeat::NotYetSent, ..failure(1) };
    assert!(matches!(retries.decide(Duration::ZERO, &unsent), Decision::RetryAt(_)));
}

#[test]
fn honours_retry_after_and_passes_long_one_to_caller() {
    let mut retries = Retries::new(Config::new().max_saved_retries(1_000), 2);
    let now = Duration::from_secs(7);
    for _ in 0..100 {
        let retry_after = Some(Duration::from_secs(3));
        let decision = retries.decide(now, &Failure { retry_after, ..failure(1) });
        assert!(matches!(decision, Decision::RetryAt(at) if at >= now + Duration::from_secs(3)));
    }
    let retry_after = Some(Duration::from_secs(60));
    let decision = retries.decide(now, &Failure { retry_after, ..failure(1) });
    assert_eq!(decision, Decision::GiveUp { reason: GiveUpReason::LongWait, retry_after });
}

#[test]
fn spreads_waits_and_keeps_them_before_deadline() {
    let mut retries = Retries::new(Config::new().max_saved_retries(1_000), 3);
    let deadline = Duration::from_millis(300);
    let mut waits = BTreeSet::new();
    for _ in 0..200 {
        let failed = Failure { deadline: Some(deadline), ..failure(4 - 1) };
        match retries.decide(Duration::from_millis(200), &failed) {
            Decision::RetryAt(at) => {
                assert!(at < deadline);
                waits.insert(at);
            }
            Decision::GiveUp { reason, .. } => assert_eq!(reason, GiveUpReason::Deadline),
        }
    }
    assert!(waits.len() > 50, "{} different waits", waits.len());
}

#[test]
fn keeps_budgets_of_services_apart() {
    let mut retries = Retries::new(Config::new().max_saved_retries(2), 4);
    for _ in 0..2 {
        assert!(matches!(retries.decide(Duration::ZERO, &failure(1)), Decision::RetryAt(_)));
    }
    let decision = retries.decide(Duration::ZERO, &failure(1));
    assert!(matches!(decision, Decision::GiveUp { reason: GiveUpReason::BudgetExhausted, .. }));
    let other = Failure { service: "order-desk", ..failure(1) };
    assert!(matches!(retries.decide(Duration::ZERO, &other), Decision::RetryAt(_)));
    assert_eq!(retries.refused()[&GiveUpReason::BudgetExhausted], 1);
}
