//! Retries: budget, back-off, `Retry-After`, and calls that may not be repeated.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbrock::retry::{Config, Decision, Failure, GiveUpReason, Repeat, Retries};

fn failure(attempts: u32) -> Failure<'static> {
    let service = "guide-writers";
    Failure { service, attempts, repeat: Repeat::Allowed, retry_after: None, deadline: None }
}

/// What one run of a brown-out came to.
struct BrownOut {
    requests: u64,
    attempts: u64,
    /// Last attempt of a request that arrived before the end.
    last_attempt: Duration,
}

/// Sends 100 requests a second for 60 s, of which this share fails at each attempt.
fn brown_out(seed: u64, fail_percent: u32, repeat: Repeat) -> BrownOut {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut retries = Retries::new(Config::new(), seed);
    let mut due: BTreeMap<(Duration, u64), u32> = BTreeMap::new();
    let requests = 6_000;
    for request in 0..requests {
        due.insert((Duration::from_millis(request * 10), request), 0);
    }
    let end = Duration::from_secs(60);
    let mut report = BrownOut { requests, attempts: 0, last_attempt: Duration::ZERO };
    while let Some(((now, request), attempts)) = due.pop_first() {
        report.attempts += 1;
        report.last_attempt = now;
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
fn a_brown_out_is_not_made_worse() {
    for seed in 0..5 {
        for fail_percent in [10, 50, 100] {
            let report = brown_out(seed, fail_percent, Repeat::Allowed);
            let most = report.requests + report.requests / 5;
            assert!(report.attempts <= most, "seed {seed}: {} attempts", report.attempts);
        }
    }
}

#[test]
fn no_storm_follows_an_outage() {
    for seed in 0..5 {
        let report = brown_out(seed, 100, Repeat::Required);
        assert!(report.last_attempt < Duration::from_secs(70), "seed {seed}");
    }
}

#[test]
fn a_call_that_may_have_run_is_never_sent_again() {
    let mut retries = Retries::new(Config::new().retry_percent(1_000).max_saved_retries(1_000), 1);
    for attempts in 1..100 {
        let failed = Failure { repeat: Repeat::Forbidden, ..failure(attempts) };
        let verdict = retries.decide(Duration::ZERO, &failed);
        let reason = GiveUpReason::MayHaveRun;
        assert_eq!(verdict, Decision::GiveUp { reason, retry_after: None });
    }
    let unsent = Failure { repeat: Repeat::NotYetSent, ..failure(1) };
    assert!(matches!(retries.decide(Duration::ZERO, &unsent), Decision::RetryAt(_)));
}

#[test]
fn retry_after_is_kept_and_a_long_one_goes_to_the_caller() {
    let mut retries = Retries::new(Config::new().max_saved_retries(1_000), 2);
    let now = Duration::from_secs(7);
    for _ in 0..100 {
        let retry_after = Some(Duration::from_secs(3));
        let verdict = retries.decide(now, &Failure { retry_after, ..failure(1) });
        assert!(matches!(verdict, Decision::RetryAt(at) if at >= now + Duration::from_secs(3)));
    }
    let retry_after = Some(Duration::from_secs(60));
    let verdict = retries.decide(now, &Failure { retry_after, ..failure(1) });
    assert_eq!(verdict, Decision::GiveUp { reason: GiveUpReason::LongWait, retry_after });
}

#[test]
fn waits_are_spread_and_never_pass_the_deadline() {
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
fn one_services_failures_leave_another_its_budget() {
    let mut retries = Retries::new(Config::new().max_saved_retries(2), 4);
    for _ in 0..2 {
        assert!(matches!(retries.decide(Duration::ZERO, &failure(1)), Decision::RetryAt(_)));
    }
    let verdict = retries.decide(Duration::ZERO, &failure(1));
    assert!(matches!(verdict, Decision::GiveUp { reason: GiveUpReason::BudgetExhausted, .. }));
    let other = Failure { service: "order-desk", ..failure(1) };
    assert!(matches!(retries.decide(Duration::ZERO, &other), Decision::RetryAt(_)));
    assert_eq!(retries.refused()[&GiveUpReason::BudgetExhausted], 1);
}
