//! Simulated nodes under reclaims, crashes, pauses and outages.

use proofs::node_simulation::{self, Options};

/// Seeds per test run; `bench soak` runs more.
const SEEDS: u64 = 12;

#[test]
fn answers_accepted_requests_under_faults() {
    for seed in 0..SEEDS {
        if let Err(violation) = node_simulation::run(seed, Options::with_faults(seed)) {
            panic!("{violation}");
        }
    }
}

#[test]
fn answers_every_request_without_faults() {
    let report = node_simulation::run(1, Options::without_faults())
        .unwrap_or_else(|violation| panic!("{violation}"));
    assert!(report.requested > 0, "{report:?}");
    assert_eq!(report.answered, report.requested, "{report:?}");
    assert_eq!(report.orders_answered, report.orders, "{report:?}");
}
