//! Exponential back-off with jitter after refused starts, per capacity pool.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Maximum wait after the first refusal; doubles after each further one.
const INITIAL_BACKOFF: Duration = Duration::from_secs(15);

/// Maximum wait after any number of refusals.
const MAX_BACKOFF: Duration = Duration::from_secs(600);

#[derive(Debug, Clone, Copy)]
struct Wait {
    refusals: u32,
    until: Duration,
}

/// Pools whose last start was refused, with the time until which none is tried there.
#[derive(Debug, Clone)]
pub struct Backoff<P> {
    waits_by_pool: BTreeMap<P, Wait>,
    rng: ChaCha8Rng,
}

impl<P: Ord + Clone> Backoff<P> {
    /// A back-off without refusals; `seed` determines the jitter.
    pub fn new(seed: u64) -> Backoff<P> {
        Backoff { waits_by_pool: BTreeMap::new(), rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Records a refused start. The pool is closed for a random time between half of the longest
    /// wait and all of it; the longest wait doubles with each refusal in a row, up to 600 s.
    pub fn record_refusal(&mut self, pool: &P, now: Duration) {
        let refusals = self.waits_by_pool.get(pool).map_or(0, |wait| wait.refusals) + 1;
        let max_wait = INITIAL_BACKOFF.saturating_mul(1 << (refusals - 1).min(16)).min(MAX_BACKOFF);
        let wait = max_wait.mul_f64(self.rng.random_range(0.5..=1.0));
        self.waits_by_pool.insert(pool.clone(), Wait { refusals, until: now + wait });
    }

    /// Records an accepted start, which ends the back-off of the pool.
    pub fn record_acceptance(&mut self, pool: &P) {
        self.waits_by_pool.remove(pool);
    }

    /// Whether a start may be tried in the pool.
    pub fn is_open(&self, pool: &P, now: Duration) -> bool {
        self.waits_by_pool.get(pool).is_none_or(|wait| now >= wait.until)
    }

    /// Whether the last start in the pool was refused; only one start at a time is tried there then.
    pub fn was_last_refused(&self, pool: &P) -> bool {
        self.waits_by_pool.contains_key(pool)
    }
}
