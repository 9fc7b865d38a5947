//! Contents of membership datagrams: records of the two nodes concerned, membership updates, sampled
//! records and digest items.

use std::net::SocketAddr;
use std::time::Duration;

use prost::Message;
use rhubarbrock_schema::peer;

use crate::broadcast;
use crate::digest;
use crate::id;
use crate::membership::{Membership, Outgoing, State};
use crate::probe;

/// Size of a datagram without its digest: fixed fields, and the digest's tag and length.
const ENVELOPE_BYTES: usize = 64;

/// Space that membership updates leave for digest items.
const RESERVED_ITEM_BYTES: usize = 200;

impl Membership {
    pub(crate) fn datagram(
        &self,
        kind: peer::DatagramKind,
        number: probe::ProbeNumber,
        target: id::NodeId,
    ) -> peer::Datagram {
        let digest = peer::Digest { release_version: self.release_version, ..Default::default() };
        peer::Datagram {
            kind: kind.into(),
            sender: self.own_record.node,
            probe: number,
            target,
            digest: Some(digest),
            ..Default::default()
        }
    }

    pub(crate) fn ping(
        &mut self,
        now: Duration,
        to: SocketAddr,
        number: probe::ProbeNumber,
        target: id::NodeId,
        include_own: bool,
    ) -> Outgoing {
        let mut ping = self.datagram(peer::DatagramKind::Ping, number, target);
        self.fill(now, &mut ping, target, include_own);
        Outgoing { to, datagram: ping }
    }

    /// Fills the digest for `receiver`, in this order: this node's record if `include_own`, the state
    /// of `receiver` if it is suspect or dead here, queued updates, samples, digest items.
    pub(crate) fn fill(
        &mut self,
        now: Duration,
        datagram: &mut peer::Datagram,
        receiver: id::NodeId,
        include_own: bool,
    ) {
        let nodes = self.table.running().count() + 1;
        let limit = broadcast::max_transmissions(nodes);
        let digest = datagram.digest.get_or_insert_default();
        let mut space = Space {
            left_bytes: self.config.max_datagram_bytes - ENVELOPE_BYTES - RESERVED_ITEM_BYTES,
        };
        if include_own {
            space.push_member(digest, self.own_record.clone());
            self.table.broadcasts.record_transmission(self.own_record.node, limit);
        }
        if self.table.get(receiver).is_some_and(|known| known.state != State::Alive) {
            digest
                .members
                .extend(self.table.gossip_update(receiver).filter(|update| space.reserve(update)));
        }
        for node in self.table.broadcasts.send_order() {
            if digest.members.iter().any(|member| member.node == node) {
                continue;
            }
            let Some(update) = self.gossip_update(node) else {
                self.table.broadcasts.remove(node);
                continue;
            };
            if !space.push_member(digest, update) {
                break;
            }
            self.table.broadcasts.record_transmission(node, limit);
        }
        self.add_samples(digest, &mut space);
        let used_bytes = digest.encoded_len() + ENVELOPE_BYTES;
        let budget_bytes =
            self.config.target_datagram_bytes.saturating_sub(used_bytes).max(RESERVED_ITEM_BYTES);
        self.digest_store.fill(now, digest, budget_bytes, limit);
    }

    /// Adds records of further nodes, changed or not; each alive node gets its turn once a round.
    fn add_samples(&mut self, digest: &mut peer::Digest, space: &mut Space) {
        for _ in 0..self.config.sampled_members {
            let own_id = self.own_record.node;
            let table = &self.table;
            let is_alive = |node| table.get(node).is_some_and(|known| known.state == State::Alive);
            let all = || {
                let running = table.running().map(|known| known.record.node);
                running.chain([own_id]).collect::<Vec<_>>()
            };
            let Some(node) =
                self.sample_round.next(all, |node| node == own_id || is_alive(node), &mut self.rng)
            else {
                return;
            };
            let is_included = digest.members.iter().any(|member| member.node == node);
            if let Some(update) = self.gossip_update(node).filter(|_| !is_included) {
                space.push_member(digest, update);
            }
        }
    }

    fn gossip_update(&self, node: id::NodeId) -> Option<peer::Member> {
        if node == self.own_record.node {
            Some(self.own_record.clone())
        } else {
            self.table.gossip_update(node)
        }
    }
}

/// Space left in a datagram for membership records.
struct Space {
    left_bytes: usize,
}

impl Space {
    /// Reserves the encoded size of `update`; returns false if it does not fit.
    fn reserve(&mut self, update: &peer::Member) -> bool {
        let bytes = digest::nested_bytes(update.encoded_len());
        let fits = bytes <= self.left_bytes;
        if fits {
            self.left_bytes -= bytes;
        }
        fits
    }

    fn push_member(&mut self, digest: &mut peer::Digest, update: peer::Member) -> bool {
        let fits = self.reserve(&update);
        if fits {
            digest.members.push(update);
        }
        fits
    }
}
