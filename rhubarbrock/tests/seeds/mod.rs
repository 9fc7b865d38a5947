//! Random runs with fixed seeds: the same verdict at each run of the tests.
//!
//! `RHUBARBROCK_SEED=n` replays one seed; `RHUBARBROCK_SEEDS=n` runs the seeds
//! below n in place of the number that a test names.

use std::panic;

use bolero::generator::bolero_generator::driver;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Source of the values of one run.
pub(crate) type Source = driver::Rng<ChaCha8Rng>;

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|text| text.parse().expect(name))
}

/// Runs `test` with a source for each seed; a failure prints the seed that replays it.
pub(crate) fn for_each_seed(default_seeds: u64, mut test: impl FnMut(&mut Source)) {
    let seeds = match variable("RHUBARBROCK_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..variable("RHUBARBROCK_SEEDS").unwrap_or(default_seeds),
    };
    for seed in seeds {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut source = driver::Rng::new(rng, &driver::Options::default());
        let run = panic::AssertUnwindSafe(|| test(&mut source));
        if let Err(failure) = panic::catch_unwind(run) {
            eprintln!("replay with RHUBARBROCK_SEED={seed}");
            panic::resume_unwind(failure);
        }
    }
}
