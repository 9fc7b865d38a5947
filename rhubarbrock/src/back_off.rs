//! Back-off after refused starts, one for each place.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Wait after the first refusal.
const FIRST: Duration = Duration::from_secs(15);

/// Longest wait before jitter.
const LIMIT: Duration = Duration::from_secs(600);

#[derive(Debug, Clone, Copy)]
struct Wait {
    refusals: u32,
    until: Duration,
}

/// Places that refused of late and are left alone for a while.
#[derive(Debug, Clone)]
pub struct BackOff<P> {
    waits: BTreeMap<P, Wait>,
    rng: ChaCha8Rng,
}

impl<P: Ord + Clone> BackOff<P> {
    /// No place refused yet; `seed` makes the jitter.
    pub fn new(seed: u64) -> BackOff<P> {
        BackOff { waits: BTreeMap::new(), rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// The place refused: it is left alone for a time that doubles, with half of it random.
    pub fn record_refusal(&mut self, place: &P, now: Duration) {
        let refusals = self.waits.get(place).map_or(0, |wait| wait.refusals) + 1;
        let longest = FIRST.saturating_mul(1 << (refusals - 1).min(16)).min(LIMIT);
        let wait = longest.mul_f64(self.rng.random_range(0.5..=1.0));
        self.waits.insert(place.clone(), Wait { refusals, until: now + wait });
    }

    /// The place gave what was asked.
    pub fn record_acceptance(&mut self, place: &P) {
        self.waits.remove(place);
    }

    /// Whether the place may be asked.
    pub fn is_open(&self, place: &P, now: Duration) -> bool {
        self.waits.get(place).is_none_or(|wait| now >= wait.until)
    }

    /// Whether the last answer of the place was a refusal; it is then asked for one at a time.
    pub fn was_last_refused(&self, place: &P) -> bool {
        self.waits.contains_key(place)
    }
}
