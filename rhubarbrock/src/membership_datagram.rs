//! What a datagram carries: what concerns its two nodes, membership news, samples, other news.

use std::net::SocketAddr;
use std::time::Duration;

use prost::Message;
use rhubarbrock_schema::peer;

use crate::broadcast;
use crate::digest;
use crate::id;
use crate::membership::{Membership, Outgoing, State};
use crate::probe;

/// Bytes of a datagram that are not its digest: fixed fields and the digest's tag and length.
const ENVELOPE_BYTES: usize = 64;

/// Room that membership news leaves to other news.
const RESERVED_NEWS_BYTES: usize = 200;

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
            sender: self.me.node,
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
        show_me: bool,
    ) -> Outgoing {
        let mut ping = self.datagram(peer::DatagramKind::Ping, number, target);
        self.fill(now, &mut ping, target, show_me);
        Outgoing { to, datagram: ping }
    }

    /// Fills the digest for `receiver`: what concerns the two, membership news, samples, other news.
    pub(crate) fn fill(
        &mut self,
        now: Duration,
        datagram: &mut peer::Datagram,
        receiver: id::NodeId,
        show_me: bool,
    ) {
        let nodes = self.table.running().count() + 1;
        let limit = broadcast::max_transmissions(nodes);
        let digest = datagram.digest.get_or_insert_default();
        let mut room = Room {
            left_bytes: self.config.max_datagram_bytes - ENVELOPE_BYTES - RESERVED_NEWS_BYTES,
        };
        if show_me {
            room.add(digest, self.me.clone());
            self.table.broadcasts.record_transmission(self.me.node, limit);
        }
        if self.table.get(receiver).is_some_and(|known| known.state != State::Alive) {
            digest.members.extend(self.table.news_of(receiver).filter(|news| room.takes(news)));
        }
        for node in self.table.broadcasts.send_order() {
            if digest.members.iter().any(|member| member.node == node) {
                continue;
            }
            let Some(news) = self.news_of(node) else {
                self.table.broadcasts.remove(node);
                continue;
            };
            if !room.add(digest, news) {
                break;
            }
            self.table.broadcasts.record_transmission(node, limit);
        }
        self.add_samples(digest, &mut room);
        let used_bytes = digest.encoded_len() + ENVELOPE_BYTES;
        let budget_bytes =
            self.config.target_datagram_bytes.saturating_sub(used_bytes).max(RESERVED_NEWS_BYTES);
        self.news.fill(now, digest, budget_bytes, limit);
    }

    fn add_samples(&mut self, digest: &mut peer::Digest, room: &mut Room) {
        for _ in 0..self.config.sampled_members {
            let me = self.me.node;
            let table = &self.table;
            let is_alive = |node| table.get(node).is_some_and(|known| known.state == State::Alive);
            let all = || {
                let running = table.running().map(|known| known.record.node);
                running.chain([me]).collect::<Vec<_>>()
            };
            let Some(node) =
                self.sample_round.next(all, |node| node == me || is_alive(node), &mut self.rng)
            else {
                return;
            };
            let told = digest.members.iter().any(|member| member.node == node);
            if let Some(news) = self.news_of(node).filter(|_| !told) {
                room.add(digest, news);
            }
        }
    }

    fn news_of(&self, node: id::NodeId) -> Option<peer::Member> {
        if node == self.me.node { Some(self.me.clone()) } else { self.table.news_of(node) }
    }
}

/// Room left in a datagram.
struct Room {
    left_bytes: usize,
}

impl Room {
    /// Takes the bytes of `news`, if there is room for them.
    fn takes(&mut self, news: &peer::Member) -> bool {
        let bytes = digest::nested_bytes(news.encoded_len());
        let fits = bytes <= self.left_bytes;
        if fits {
            self.left_bytes -= bytes;
        }
        fits
    }

    fn add(&mut self, digest: &mut peer::Digest, news: peer::Member) -> bool {
        let fits = self.takes(&news);
        if fits {
            digest.members.push(news);
        }
        fits
    }
}
