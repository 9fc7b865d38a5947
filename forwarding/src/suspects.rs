//! Requests that seem to crash each endpoint that runs them.
//!
//! A connection that breaks during a request may mean that the request crashed
//! its endpoint. Callers send such a request again at any gateway, so gateways
//! share what they saw. One break proves little, as batch mates of the cause
//! break with it and endpoints also fail by themselves.

use std::collections::{HashMap, VecDeque};
use std::hash::Hasher;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

/// Hash of what a repeated request has in common with itself.
pub type Fingerprint = u64;

/// Breaks after which a request is refused; the third crash is the last that the deployment
/// allows without penalty.
const REFUSED_BREAKS: u32 = 3;

/// Time for which a break counts.
const MEMORY: Duration = Duration::from_secs(60);

/// Most requests remembered.
const MAX_SUSPECTS: usize = 512;

/// Most suspects told to other gateways at once.
const MAX_TOLD: usize = 24;

/// Fingerprint of a request.
pub fn fingerprint(service: &str, path: &str, organisation: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = Xxh3::new();
    for part in [service.as_bytes(), path.as_bytes(), organisation.as_bytes(), body] {
        hasher.write_usize(part.len());
        hasher.write(part);
    }
    hasher.finish()
}

/// Breaks seen by this gateway and the others.
#[derive(Debug, Default)]
pub struct Suspects {
    own: HashMap<Fingerprint, u32>,
    order: VecDeque<(Duration, Fingerprint)>,
    peers: HashMap<Fingerprint, u32>,
}

impl Suspects {
    /// A connection broke during a request.
    pub fn on_break(&mut self, now: Duration, fingerprint: Fingerprint) {
        self.forget(now);
        *self.own.entry(fingerprint).or_default() += 1;
        self.order.push_back((now, fingerprint));
    }

    /// A request ran to its end, so it crashes nothing.
    pub fn on_finished(&mut self, fingerprint: Fingerprint) {
        if self.own.remove(&fingerprint).is_some() {
            self.order.retain(|&(_, each)| each != fingerprint);
        }
    }

    /// Sets what the other gateways saw.
    pub fn set_peers(&mut self, peers: HashMap<Fingerprint, u32>) {
        self.peers = peers;
    }

    /// Whether a request has to be refused.
    pub fn is_refused(&mut self, now: Duration, fingerprint: Fingerprint) -> bool {
        self.forget(now);
        let own = self.own.get(&fingerprint).copied().unwrap_or_default();
        let peers = self.peers.get(&fingerprint).copied().unwrap_or_default();
        own + peers >= REFUSED_BREAKS
    }

    /// Own suspects, the latest first, for the other gateways.
    pub fn told(&self) -> impl Iterator<Item = (Fingerprint, u32)> {
        self.order.iter().rev().take(MAX_TOLD).filter_map(|(_, fingerprint)| {
            self.own.get(fingerprint).map(|&breaks| (*fingerprint, breaks))
        })
    }

    fn forget(&mut self, now: Duration) {
        while let Some(&(at, fingerprint)) = self.order.front() {
            if now < at + MEMORY && self.order.len() <= MAX_SUSPECTS {
                return;
            }
            self.order.pop_front();
            if let Some(breaks) = self.own.get_mut(&fingerprint) {
                *breaks -= 1;
                if *breaks == 0 {
                    self.own.remove(&fingerprint);
                }
            }
        }
    }
}
