//! Admission and dispatch: each accepted request ends exactly once.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rhubarbrock::{admission, dispatch, endpoint, routing};

const SERVICE: &str = "rhubarb-judges";

fn seeds(count: u64) -> Vec<u64> {
    match std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()) {
        Some(seed) => vec![seed],
        None => (0..count).collect(),
    }
}

fn listing(id: u64) -> endpoint::Listing {
    endpoint::Listing {
        endpoint: id,
        service: SERVICE.to_owned(),
        data_centre: "can-gio".to_owned(),
        class: "small".to_owned(),
        address: format!("127.0.0.1:{id}"),
        market: endpoint::Market::Reclaimable,
        price_per_hour: 1.0,
        state: endpoint::ListedState::Live,
    }
}

fn dispatcher(endpoints: u64, limit: f64, max_queue: u32) -> dispatch::Dispatcher {
    let mut settings = dispatch::Settings::default();
    settings.routing.limit.initial_requests = limit;
    settings.routing.limit.max_requests = limit;
    let mut dispatcher = dispatch::Dispatcher::new(1, "can-gio", settings);
    let limits = admission::ServiceLimits { max_queue, deadline: None };
    dispatcher.admission.set_limits(SERVICE, limits);
    dispatcher.router.on_list(
        Duration::ZERO,
        Duration::ZERO,
        (1..=endpoints).map(listing).collect(),
    );
    dispatcher
}

fn job(ticket: u64, organisation: &str, deadline: Option<Duration>) -> dispatch::Job {
    dispatch::Job {
        ticket,
        service: SERVICE.to_owned(),
        organisation: organisation.to_owned(),
        blocks: vec![ticket],
        prompt_tokens: 100,
        dialogue: ticket,
        settled_tokens: 0,
        max_tokens: Some(50),
        deadline,
        may_probe: true,
    }
}

/// State of a request in the test's model.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    Queued { deadline: Option<Duration> },
    Sent { attempt: u64, at: Duration },
    Failed,
}

#[test]
fn sends_or_refuses_each_request_once() {
    for seed in seeds(300) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut dispatcher = dispatcher(3, 4.0, 30);
        let mut stages: BTreeMap<u64, Stage> = BTreeMap::new();
        let mut ended: BTreeSet<u64> = BTreeSet::new();
        let mut now = Duration::ZERO;
        for ticket in 0..400 {
            now += Duration::from_millis(rng.random_range(0..100));
            match rng.random_range(0..6) {
                0..=2 => {
                    let allowed = rng
                        .random_bool(0.5)
                        .then(|| Duration::from_millis(rng.random_range(1..3000)));
                    let name = ["a", "b"][rng.random_range(0..2)];
                    if dispatcher.submit(now, job(ticket, name, allowed)).is_ok() {
                        let deadline = allowed.map(|allowed| now + allowed);
                        stages.insert(ticket, Stage::Queued { deadline });
                    }
                }
                3 => end_one(&mut rng, now, &mut dispatcher, &mut stages, &mut ended),
                4 => fail_one(&mut rng, now, &mut dispatcher, &mut stages),
                _ => cancel_one(&mut rng, now, &mut dispatcher, &mut stages, &mut ended),
            }
            for step in dispatcher.poll(now) {
                take(seed, now, step, &mut stages, &mut ended);
            }
            let late = stages.values().any(|stage| {
                matches!(stage, Stage::Queued { deadline: Some(deadline) } if *deadline < now)
            });
            assert!(!late, "seed {seed}: a request is queued past its deadline");
            assert_eq!(dispatcher.len(), stages.len(), "seed {seed}");
        }
    }
}

fn take(
    seed: u64,
    now: Duration,
    step: dispatch::Step,
    stages: &mut BTreeMap<u64, Stage>,
    ended: &mut BTreeSet<u64>,
) {
    match step {
        dispatch::Step::Send { ticket, attempt, .. } => {
            let stage = stages.get(&ticket).unwrap_or_else(|| panic!("seed {seed}: {ticket} sent"));
            match stage {
                Stage::Queued { deadline } => {
                    assert!(
                        deadline.is_none_or(|deadline| now <= deadline),
                        "seed {seed}: sent late"
                    );
                }
                Stage::Failed => {}
                Stage::Sent { .. } => panic!("seed {seed}: {ticket} sent while it runs"),
            }
            stages.insert(ticket, Stage::Sent { attempt, at: now });
        }
        dispatch::Step::Refuse { ticket, refusal } => {
            assert!(refusal.retry_after >= Duration::from_secs(1), "seed {seed}");
            let stage = stages.remove(&ticket);
            assert!(matches!(stage, Some(Stage::Queued { .. })), "seed {seed}: {stage:?} refused");
            assert!(ended.insert(ticket), "seed {seed}: request {ticket} ended twice");
        }
    }
}

fn pick(rng: &mut ChaCha8Rng, stages: &BTreeMap<u64, Stage>) -> Option<(u64, Stage)> {
    let index = rng.random_range(0..stages.len().max(1));
    stages.iter().nth(index).map(|(ticket, stage)| (*ticket, *stage))
}

fn end_one(
    rng: &mut ChaCha8Rng,
    now: Duration,
    dispatcher: &mut dispatch::Dispatcher,
    stages: &mut BTreeMap<u64, Stage>,
    ended: &mut BTreeSet<u64>,
) {
    let Some((ticket, Stage::Sent { attempt, .. })) = pick(rng, stages) else { return };
    dispatcher.on_first_token(now, attempt);
    dispatcher.on_done(now, attempt, &routing::Answered { answer_tokens: 20 });
    stages.remove(&ticket);
    assert!(ended.insert(ticket));
}

fn fail_one(
    rng: &mut ChaCha8Rng,
    now: Duration,
    dispatcher: &mut dispatch::Dispatcher,
    stages: &mut BTreeMap<u64, Stage>,
) {
    let Some((ticket, Stage::Sent { attempt, at })) = pick(rng, stages) else { return };
    let failure = routing::Failure::Busy { retry_after: now.saturating_sub(at) };
    dispatcher.on_failure(now, attempt, failure);
    dispatcher.retry(ticket, &[]);
    stages.insert(ticket, Stage::Failed);
}

fn cancel_one(
    rng: &mut ChaCha8Rng,
    now: Duration,
    dispatcher: &mut dispatch::Dispatcher,
    stages: &mut BTreeMap<u64, Stage>,
    ended: &mut BTreeSet<u64>,
) {
    let Some((ticket, stage)) = pick(rng, stages) else { return };
    let cancelled = dispatcher.give_up(now, ticket);
    match stage {
        Stage::Sent { attempt, .. } => assert_eq!(cancelled, Some(attempt)),
        _ => assert_eq!(cancelled, None),
    }
    stages.remove(&ticket);
    assert!(ended.insert(ticket));
}

#[test]
fn refuses_late_request_with_retry_time() {
    let mut dispatcher = dispatcher(1, 2.0, 100);
    let now = Duration::from_secs(1);
    for ticket in 0..10 {
        dispatcher.submit(now, job(ticket, "a", None)).unwrap();
    }
    assert_eq!(dispatcher.poll(now).len(), 2, "the endpoint's limit is 2 requests");
    let deadline = Some(Duration::from_millis(570));
    let refusal = dispatcher.submit(now, job(10, "a", deadline)).unwrap_err();
    assert_eq!(refusal.reason, admission::RefusalReason::DeadlineUnreachable);
    assert!(refusal.expected_first_token > Duration::from_millis(570), "{refusal}");
    assert!(refusal.retry_after >= Duration::from_secs(1), "{refusal}");
    assert_eq!(refusal.retry_after.subsec_nanos(), 0, "whole seconds");
    dispatcher.submit(now, job(11, "a", None)).expect("a request without a deadline is queued");
}

#[test]
fn keeps_queue_space_for_other_organisations() {
    let mut dispatcher = dispatcher(1, 1.0, 100);
    let now = Duration::from_secs(1);
    let large =
        (0..1000).filter(|t| dispatcher.submit(now, job(*t, "large", None)).is_ok()).count();
    assert!(large >= 50, "a single organisation may use half of the queue: {large}");
    let small = (1000..1010).filter(|t| dispatcher.submit(now, job(*t, "small", None)).is_ok());
    assert_eq!(small.count(), 10, "the other half stays free for others");
    let refusal = dispatcher.submit(now, job(2000, "large", None)).unwrap_err();
    assert_eq!(refusal.reason, admission::RefusalReason::QueueFull);
}

#[test]
fn keeps_headroom_from_heavy_organisation() {
    let mut dispatcher = dispatcher(1, 10.0, 1000);
    let mut now = Duration::from_secs(1);
    dispatcher.submit(now, job(1000, "small", None)).unwrap();
    for ticket in 0..100 {
        dispatcher.submit(now, job(ticket, "large", None)).unwrap();
    }
    assert_eq!(
        dispatcher.poll(now).len(),
        10,
        "the whole limit is used before any organisation is heavy"
    );
    now += Duration::from_secs(1);
    dispatcher.poll(now);
    for attempt in 1..=10 {
        dispatcher.on_done(now, attempt, &routing::Answered { answer_tokens: 50 });
    }
    assert_eq!(dispatcher.poll(now).len(), 8, "a heavy organisation may use 0.75 of the limit");
    dispatcher.submit(now, job(1001, "small", None)).unwrap();
    assert_eq!(dispatcher.poll(now).len(), 1, "the other organisation uses the headroom");
}
