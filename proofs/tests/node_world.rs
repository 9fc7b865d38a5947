//! Whole nodes under reclaims, deaths, pauses and outages.

use proofs::node_world::{self, Options};

/// Seeds run in CI; `bench soak` runs more.
const SEEDS: u64 = 12;

#[test]
fn accepted_requests_are_answered_whatever_fails() {
    for seed in 0..SEEDS {
        if let Err(violation) = node_world::run(seed, Options::stormy(seed)) {
            panic!("{violation}");
        }
    }
}

#[test]
fn without_faults_everything_is_answered() {
    let report =
        node_world::run(1, Options::calm()).unwrap_or_else(|violation| panic!("{violation}"));
    assert!(report.asked > 0, "{report:?}");
    assert_eq!(report.answered, report.asked, "{report:?}");
    assert_eq!(report.orders_answered, report.orders, "{report:?}");
}
