//! Addresses that this node pings although no running node is known there.
//!
//! They come from the settings, from the platform's list and from nodes that
//! were declared dead. Any of them may be stale, so the interval between pings
//! of an address doubles up to a maximum. By these pings a node joins, and
//! regions find each other again after a network partition.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

const INITIAL_RETRY_DELAY: Duration = Duration::from_secs(1);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

#[derive(Debug, Clone, Copy)]
struct Contact {
    next_ping_at: Duration,
    delay: Duration,
}

/// Addresses to ping, each with its own back-off.
#[derive(Debug, Clone, Default)]
pub(crate) struct Contacts {
    listed: BTreeSet<SocketAddr>,
    contacts: BTreeMap<SocketAddr, Contact>,
}

impl Contacts {
    /// Replaces the listed addresses; those already known keep their back-off.
    pub(crate) fn set_listed(&mut self, now: Duration, addresses: &[SocketAddr]) {
        self.listed = addresses.iter().copied().collect();
        for &address in &self.listed {
            let new = Contact { next_ping_at: now, delay: INITIAL_RETRY_DELAY };
            self.contacts.entry(address).or_insert(new);
        }
    }

    /// Adds the address of a node that was declared dead, with the maximum retry delay.
    pub(crate) fn add_dead(&mut self, now: Duration, address: SocketAddr, rng: &mut ChaCha8Rng) {
        let contact =
            Contact { next_ping_at: now + jittered(MAX_RETRY_DELAY, rng), delay: MAX_RETRY_DELAY };
        self.contacts.insert(address, contact);
    }

    /// Removes addresses that are neither listed nor wanted.
    pub(crate) fn retain(&mut self, is_wanted: impl Fn(SocketAddr) -> bool) {
        let listed = &self.listed;
        self.contacts.retain(|address, _| listed.contains(address) || is_wanted(*address));
    }

    /// Takes up to `count` due addresses that are not in use, longest due first, and sets the time of
    /// their next ping.
    pub(crate) fn take_due(
        &mut self,
        now: Duration,
        count: usize,
        is_in_use: impl Fn(SocketAddr) -> bool,
        rng: &mut ChaCha8Rng,
    ) -> Vec<SocketAddr> {
        let mut due: Vec<(Duration, SocketAddr)> = self
            .contacts
            .iter()
            .filter(|(address, contact)| contact.next_ping_at <= now && !is_in_use(**address))
            .map(|(&address, contact)| (contact.next_ping_at, address))
            .collect();
        due.sort_unstable();
        due.truncate(count);
        for (_, address) in &due {
            let contact = self.contacts.get_mut(address).expect("due addresses are contacts");
            contact.next_ping_at = now + jittered(contact.delay, rng);
            contact.delay = (contact.delay * 2).min(MAX_RETRY_DELAY);
        }
        due.into_iter().map(|(_, address)| address).collect()
    }
}

/// Random duration from half of `delay` to one and a half of it.
fn jittered(delay: Duration, rng: &mut ChaCha8Rng) -> Duration {
    delay.mul_f64(rng.random_range(0.5..1.5))
}
