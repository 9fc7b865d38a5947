//! Randomised tests with fixed seeds, so that each run gives the same result.
//!
//! `RHUBARBROCK_SEED=n` runs only seed n; `RHUBARBROCK_SEEDS=n` runs the seeds
//! below n instead of the test's own number of seeds.

use std::panic;

use bolero::generator::bolero_generator::driver;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Generator of the values of one run.
pub(crate) type Source = driver::Rng<ChaCha8Rng>;

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|text| text.parse().expect(name))
}

/// Runs `test` once per seed; a failure prints the seed that replays it.
pub(crate) fn for_each_seed(default_seeds: u64, mut test: impl FnMut(&mut Source)) {
    let seeds = match env_number("RHUBARBROCK_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..env_number("RHUBARBROCK_SEEDS").unwrap_or(default_seeds),
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
