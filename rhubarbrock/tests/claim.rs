//! Calls that may not be repeated, over a log and a desk that fail.

use proofs::claim_world::{self, Options};

/// Seeds run in CI; `bench soak` runs more.
const SEEDS: u64 = 60;

const EVENTS: u64 = 4_000;

#[test]
fn a_key_runs_at_most_once_and_callers_are_told_the_truth() {
    for seed in 0..SEEDS {
        if let Err(violation) = claim_world::run(seed, EVENTS, Options::stormy(seed)) {
            panic!("{violation}");
        }
    }
}

#[test]
fn without_faults_every_key_is_answered() {
    for seed in 0..5 {
        let report = claim_world::run(seed, EVENTS, Options::calm())
            .unwrap_or_else(|violation| panic!("{violation}"));
        assert_eq!(report.in_doubt.len(), 0, "seed {seed}: {report:?}");
        assert!(report.runs > 0, "seed {seed}: {report:?}");
    }
}
