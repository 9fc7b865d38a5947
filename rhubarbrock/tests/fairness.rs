//! Invariants of fair queueing under random requests.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rhubarbrock::fairness;

const SERVICE: &str = "rhubarb-judges";

/// Seeds to run; the environment variable `SEED` selects a single one.
fn seeds(count: u64) -> Vec<u64> {
    match std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()) {
        Some(seed) => vec![seed],
        None => (0..count).collect(),
    }
}

fn waiting(ticket: u64, prompt_tokens: u32, answer_tokens: u32) -> fairness::Waiting {
    fairness::Waiting { ticket, prompt_tokens, answer_tokens }
}

/// Weighted tokens of a request, with the default weights.
fn weight(request: &fairness::Waiting) -> f64 {
    f64::from(request.prompt_tokens) + 2.0 * f64::from(request.answer_tokens)
}

#[test]
fn serves_equal_tokens_to_backlogged_organisations() {
    for seed in seeds(50) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut queue = fairness::FairQueue::new(fairness::Settings::default());
        let names = ["a", "b", "c", "d"];
        let mut owners = BTreeMap::new();
        let mut heaviest: f64 = 0.0;
        for ticket in 0..4000 {
            let owner = (ticket % 4) as usize;
            // Request sizes differ by organisation: those of `a` are ten times those of `d`.
            let scale = [10, 5, 2, 1][owner];
            let request = waiting(ticket, rng.random_range(1..50) * scale, 20 * scale);
            heaviest = heaviest.max(weight(&request));
            owners.insert(ticket, owner);
            queue.push(SERVICE, names[owner], request);
        }
        let mut served = [0.0; 4];
        while names.iter().all(|name| queue.waiting_of(SERVICE, name) > 0) {
            let request = queue.pop(SERVICE).unwrap();
            served[owners[&request.ticket]] += weight(&request);
            let max_served = served.iter().copied().fold(0.0, f64::max);
            let min_served = served.iter().copied().fold(f64::MAX, f64::min);
            assert!(max_served - min_served <= 2.0 * heaviest, "seed {seed}: served {served:?}");
        }
    }
}

#[test]
fn gives_no_credit_for_idle_time() {
    let mut queue = fairness::FairQueue::new(fairness::Settings::default());
    for ticket in 0..100 {
        queue.push(SERVICE, "busy", waiting(ticket, 100, 0));
    }
    for _ in 0..50 {
        queue.pop(SERVICE);
    }
    for ticket in 100..200 {
        queue.push(SERVICE, "late", waiting(ticket, 100, 0));
    }
    let next: Vec<bool> = (0..20).map(|_| queue.pop(SERVICE).unwrap().ticket >= 100).collect();
    let late = next.iter().filter(|is_late| **is_late).count();
    assert!(
        (9..=11).contains(&late),
        "{late} of the next 20 requests are of the organisation that was idle"
    );
}

#[test]
fn bounds_lead_of_counter() {
    let settings = fairness::Settings { max_lead_tokens: 1000.0, ..Default::default() };
    let mut queue = fairness::FairQueue::new(settings);
    queue.on_remote_usage(9, &[]);
    let usage = fairness::Usage {
        service: SERVICE.to_owned(),
        organisation: "large".to_owned(),
        served_tokens: 1_000_000,
    };
    queue.push(SERVICE, "small", waiting(0, 100, 0));
    queue.push(SERVICE, "large", waiting(1, 100, 0));
    queue.on_remote_usage(9, &[usage]);
    for ticket in 2..30 {
        queue.push(SERVICE, "small", waiting(ticket, 100, 0));
    }
    let position = (0..30).position(|_| queue.pop(SERVICE).unwrap().ticket == 1);
    assert_eq!(
        position,
        Some(10),
        "served after 1000 tokens of the small organisation; the earlier arrival wins the tie"
    );
}

#[test]
fn ignores_organisation_names() {
    for seed in seeds(50) {
        let run = |names: [&str; 3]| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut queue = fairness::FairQueue::new(fairness::Settings::default());
            let mut order = Vec::new();
            for ticket in 0..300 {
                let name = names[rng.random_range(0..3)];
                queue.push(SERVICE, name, waiting(ticket, 10 * rng.random_range(1..5), 10));
                if rng.random_bool(0.6) {
                    order.extend(queue.pop(SERVICE).map(|request| request.ticket));
                }
            }
            order
        };
        assert_eq!(run(["a", "b", "c"]), run(["z", "m", "b"]), "seed {seed}");
    }
}

#[test]
fn dequeues_each_request_once() {
    for seed in seeds(200) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut queue = fairness::FairQueue::new(fairness::Settings::default());
        let mut queued: BTreeMap<u64, &str> = BTreeMap::new();
        let mut dequeued = BTreeSet::new();
        for ticket in 0..400 {
            match rng.random_range(0..5) {
                0 | 1 => {
                    let name = ["a", "b", "c"][rng.random_range(0..3)];
                    let tokens = rng.random_range(1..1000);
                    queue.push(SERVICE, name, waiting(ticket, tokens, 10));
                    queued.insert(ticket, name);
                }
                2 => {
                    let popped = queue.pop(SERVICE);
                    assert_eq!(popped.is_none(), queued.is_empty(), "seed {seed}");
                    let Some(popped) = popped else { continue };
                    assert!(queued.remove(&popped.ticket).is_some(), "seed {seed}: dequeued twice");
                    dequeued.insert(popped.ticket);
                }
                3 => {
                    let Some((ticket, name)) = queued.pop_first() else { continue };
                    assert!(queue.remove(SERVICE, name, ticket), "seed {seed}");
                    assert!(!queue.remove(SERVICE, name, ticket), "seed {seed}");
                }
                _ => {
                    let Some(ticket) = dequeued.pop_first() else { continue };
                    queue.charge(ticket, rng.random_range(0..500));
                    queue.end_request(ticket);
                }
            }
            let running: usize = ["a", "b", "c"].map(|n| queue.running_of(SERVICE, n)).iter().sum();
            assert_eq!(queue.waiting(SERVICE), queued.len(), "seed {seed}");
            assert_eq!(running, dequeued.len(), "seed {seed}");
        }
    }
}

#[test]
fn charges_generated_tokens() {
    let mut queue = fairness::FairQueue::new(fairness::Settings::default());
    queue.push(SERVICE, "a", waiting(1, 100, 50));
    queue.pop(SERVICE);
    assert_eq!(queue.counter(SERVICE, "a"), 200.0);
    queue.charge(1, 80);
    assert_eq!(queue.counter(SERVICE, "a"), 260.0);
    queue.end_request(1);
    assert_eq!(queue.counter(SERVICE, "a"), 260.0);
    queue.push(SERVICE, "a", waiting(2, 100, 50));
    queue.pop(SERVICE);
    queue.charge(2, 10);
    queue.end_request(2);
    assert_eq!(queue.counter(SERVICE, "a"), 380.0);
    let usage = queue.usages();
    assert_eq!((usage.len(), usage[0].served_tokens), (1, 380));
}

#[test]
fn reports_organisation_above_its_share_as_heavy() {
    let second = std::time::Duration::from_secs(1);
    let mut queue = fairness::FairQueue::new(fairness::Settings::default());
    for ticket in 0..100 {
        let (name, tokens) = if ticket % 10 < 7 { ("large", 100) } else { ("small", 100) };
        queue.push(SERVICE, name, waiting(ticket, tokens, 0));
    }
    while queue.pop(SERVICE).is_some() {}
    assert!(!queue.is_heavy(SERVICE, "large"), "no organisation is heavy before the first update");
    queue.update_rates(second);
    assert!(queue.is_heavy(SERVICE, "large"), "70 of 100 requests");
    assert!(!queue.is_heavy(SERVICE, "small"), "30 of 100 requests");
    queue.push(SERVICE, "third", waiting(100, 100, 0));
    queue.on_remote_usage(2, &[]);
    let usage = |name: &str, served_tokens| fairness::Usage {
        service: SERVICE.to_owned(),
        organisation: name.to_owned(),
        served_tokens,
    };
    queue.on_remote_usage(2, &[usage("small", 20_000)]);
    queue.update_rates(2 * second);
    assert!(queue.is_heavy(SERVICE, "small"), "tokens served by other nodes count");
    assert!(!queue.is_heavy(SERVICE, "large"), "less than half of all tokens");
}
