//! Order in which a node probes others, and probes without an answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::id;

/// Number of a probe, unique per sending node.
pub(crate) type ProbeNumber = u64;

/// A probe of this node without an answer.
#[derive(Debug, Clone)]
pub(crate) struct Outstanding {
    pub(crate) target: id::NodeId,
    pub(crate) incarnation: u32,
    pub(crate) indirect_at: Duration,
    pub(crate) times_out_at: Duration,
    pub(crate) indirect_sent: bool,
}

/// A probe sent on behalf of another node.
#[derive(Debug, Clone)]
pub(crate) struct Relay {
    pub(crate) requester: id::NodeId,
    pub(crate) requester_address: SocketAddr,
    pub(crate) requester_probe: ProbeNumber,
    pub(crate) target: id::NodeId,
    pub(crate) expires_at: Duration,
}

/// Shuffled round over nodes: each node is returned once per round.
#[derive(Debug, Clone, Default)]
pub(crate) struct Round {
    remaining: Vec<id::NodeId>,
}

impl Round {
    /// The next node of the round that is running; starts a new round over `nodes` after the last.
    pub(crate) fn next(
        &mut self,
        nodes: impl Fn() -> Vec<id::NodeId>,
        is_running: impl Fn(id::NodeId) -> bool,
        rng: &mut ChaCha8Rng,
    ) -> Option<id::NodeId> {
        while let Some(node) = self.remaining.pop() {
            if is_running(node) {
                return Some(node);
            }
        }
        self.remaining = nodes();
        self.remaining.shuffle(rng);
        self.remaining.pop()
    }
}

/// Probes in flight, for this node and on behalf of others.
#[derive(Debug, Clone, Default)]
pub(crate) struct Probes {
    last: ProbeNumber,
    outstanding: BTreeMap<ProbeNumber, Outstanding>,
    relays: BTreeMap<ProbeNumber, Relay>,
}

impl Probes {
    pub(crate) fn next_number(&mut self) -> ProbeNumber {
        self.last += 1;
        self.last
    }

    pub(crate) fn start(&mut self, probe: Outstanding) -> ProbeNumber {
        let number = self.next_number();
        self.outstanding.insert(number, probe);
        number
    }

    /// Ends a probe if `node` is its target.
    pub(crate) fn on_ack(&mut self, number: ProbeNumber, node: id::NodeId) {
        if self.outstanding.get(&number).is_some_and(|probe| probe.target == node) {
            self.outstanding.remove(&number);
        }
    }

    /// Probes for which indirect probes are due; returns each probe once.
    pub(crate) fn take_indirect_due(&mut self, now: Duration) -> Vec<(ProbeNumber, id::NodeId)> {
        let mut due = Vec::new();
        for (&number, probe) in &mut self.outstanding {
            if !probe.indirect_sent && probe.indirect_at <= now {
                probe.indirect_sent = true;
                due.push((number, probe.target));
            }
        }
        due
    }

    /// Removes and returns the probes that have timed out.
    pub(crate) fn take_timed_out(&mut self, now: Duration) -> Vec<Outstanding> {
        self.outstanding
            .extract_if(.., |_, probe| probe.times_out_at <= now)
            .map(|(_, probe)| probe)
            .collect()
    }

    /// Drops all probes of this node: after a pause it cannot tell which targets failed to answer.
    pub(crate) fn clear_outstanding(&mut self) {
        self.outstanding.clear();
    }

    /// Starts a probe on behalf of another node; none if `limit` of them are in flight.
    pub(crate) fn start_relay(&mut self, relay: Relay, limit: usize) -> Option<ProbeNumber> {
        if self.relays.len() >= limit {
            return None;
        }
        let number = self.next_number();
        self.relays.insert(number, relay);
        Some(number)
    }

    pub(crate) fn take_relay(&mut self, number: ProbeNumber, node: id::NodeId) -> Option<Relay> {
        if self.relays.get(&number)?.target != node {
            return None;
        }
        self.relays.remove(&number)
    }

    pub(crate) fn expire_relays(&mut self, now: Duration) {
        self.relays.retain(|_, relay| relay.expires_at > now);
    }
}
