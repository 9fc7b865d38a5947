//! Whole nodes under reclaims, deaths, pauses and outages.

use proofs::node_simulation::{self, Options};

/// Seeds run in CI; `bench soak` runs more.
const SEEDS: u64 = 12;

#[test]
fn accepted_requests_are_answered_whatever_fails() {
    for seed in 0..SEEDS {
        if let Err(violation) = node_simulation::run(seed, Options::with_faults(seed)) {
            panic!("{violation}");
        }
    }
}

#[test]
fn without_faults_everything_is_answered() {
    let report = node_simulation::run(1, Options::without_faults())
        .unwrap_or_else(|violation| panic!("{violation}"));
    assert!(report.requested > 0, "{report:?}");
    assert_eq!(report.answered, report.requested, "{report:?}");
    assert_eq!(report.orders_answered, report.orders, "{report:?}");
}
