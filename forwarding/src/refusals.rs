//! Times at which suspected requests, or parts of prompts, were last refused.
//!
//! A cause of crashes that is still sent must not be forgotten, so each refusal
//! renews the suspicion. Gateways report their own refusals only, as the time of
//! one that is passed on would advance by the time that each report takes.

use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of hashes of which an own refusal is remembered.
const MAX_REFUSALS: usize = 1_024;

/// Last refusals by hash.
#[derive(Debug, Default)]
pub(crate) struct Refusals {
    own: HashMap<u64, Duration>,
    peers: HashMap<u64, Duration>,
}

impl Refusals {
    /// Records that a request was refused here.
    pub(crate) fn on_refused(&mut self, now: Duration, hash: u64) {
        self.own.insert(hash, now);
        if self.own.len() > MAX_REFUSALS {
            let oldest = self.own.iter().min_by_key(|&(&hash, &at)| (at, hash));
            if let Some(oldest) = oldest.map(|(&hash, _)| hash) {
                self.own.remove(&oldest);
            }
        }
    }

    /// Replaces the refusals of the other gateways.
    pub(crate) fn set_peers(&mut self, peers: HashMap<u64, Duration>) {
        self.peers = peers;
    }

    /// Forgets refusals here that are older than `retention`.
    pub(crate) fn remove_expired(&mut self, now: Duration, retention: Duration) {
        self.own.retain(|_, &mut at| now < at + retention);
    }

    /// Last refusal here.
    pub(crate) fn own(&self, hash: u64) -> Option<Duration> {
        self.own.get(&hash).copied()
    }

    /// Last refusal at any gateway.
    pub(crate) fn last(&self, hash: u64) -> Option<Duration> {
        self.own(hash).max(self.peers.get(&hash).copied())
    }
}
