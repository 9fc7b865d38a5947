//! Addresses that this node tries where nobody is known to run.
//!
//! They come from the settings, from the platform's list and from nodes that
//! were taken for dead; any of them may be stale, so each is tried ever more
//! rarely. This is how a node joins and how parted regions find each other.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

const FIRST_DELAY: Duration = Duration::from_secs(1);
const LONGEST_DELAY: Duration = Duration::from_secs(30);

#[derive(Debug, Clone, Copy)]
struct Contact {
    next_at: Duration,
    delay: Duration,
}

/// Addresses to try, each with its own back-off.
#[derive(Debug, Clone, Default)]
pub(crate) struct Contacts {
    listed: BTreeSet<SocketAddr>,
    contacts: BTreeMap<SocketAddr, Contact>,
}

impl Contacts {
    /// Replaces the listed addresses; those listed before keep their back-off.
    pub(crate) fn list(&mut self, now: Duration, addresses: &[SocketAddr]) {
        self.listed = addresses.iter().copied().collect();
        for &address in &self.listed {
            let first = Contact { next_at: now, delay: FIRST_DELAY };
            self.contacts.entry(address).or_insert(first);
        }
    }

    /// Adds the address of a node that was taken for dead.
    pub(crate) fn add(&mut self, now: Duration, address: SocketAddr, rng: &mut ChaCha8Rng) {
        let contact = Contact { next_at: now + jittered(LONGEST_DELAY, rng), delay: LONGEST_DELAY };
        self.contacts.insert(address, contact);
    }

    /// Ends the tries of addresses that are neither listed nor wanted for another reason.
    pub(crate) fn retain(&mut self, is_wanted: impl Fn(SocketAddr) -> bool) {
        let listed = &self.listed;
        self.contacts.retain(|address, _| listed.contains(address) || is_wanted(*address));
    }

    /// Up to `count` addresses that are due and where nobody runs; counts them as tried.
    pub(crate) fn due(
        &mut self,
        now: Duration,
        count: usize,
        is_taken: impl Fn(SocketAddr) -> bool,
        rng: &mut ChaCha8Rng,
    ) -> Vec<SocketAddr> {
        let mut due: Vec<(Duration, SocketAddr)> = self
            .contacts
            .iter()
            .filter(|(address, contact)| contact.next_at <= now && !is_taken(**address))
            .map(|(&address, contact)| (contact.next_at, address))
            .collect();
        due.sort_unstable();
        due.truncate(count);
        for (_, address) in &due {
            let contact = self.contacts.get_mut(address).expect("it was due");
            contact.next_at = now + jittered(contact.delay, rng);
            contact.delay = (contact.delay * 2).min(LONGEST_DELAY);
        }
        due.into_iter().map(|(_, address)| address).collect()
    }
}

/// Between half of `delay` and one and a half of it.
fn jittered(delay: Duration, rng: &mut ChaCha8Rng) -> Duration {
    delay.mul_f64(rng.random_range(0.5..1.5))
}
