//! Membership of nodes: a failure detector over datagrams, after the SWIM protocol.
//!
//! Each node probes another node once per probe interval (1 s by default), first
//! directly, then through other nodes. A node that does not answer is suspected,
//! and declared dead if it does not refute the suspicion in time. Membership
//! updates are piggybacked on the datagrams, and so are digest items ([`digest`])
//! in the space left.
//!
//! The user of this module sends the returned datagrams, fills in `sent_at_ms`
//! and authenticates received datagrams before passing them on.

mod probing;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rhubarbrock_schema::peer;

use crate::broadcast;
use crate::contacts;
use crate::digest;
use crate::id;
use crate::member_table;
use crate::probe;

pub use crate::member_table::{Change, ChangeKind, ChangeReason, KnownMember, State};
pub use crate::membership_config::Config;

const MAX_RELAYS: usize = 64;
const MAX_NEW_ITEMS: usize = 4_096;
const MAX_CHANGES: usize = 4_096;
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);
const NOTIFY_INTERVAL: Duration = Duration::from_millis(500);
const CONTACTS_PER_PROBE_INTERVAL: usize = 2;

/// A datagram to be sent. The sender sets its `sent_at_ms`.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// Address to send it to.
    pub to: SocketAddr,
    /// The datagram, with `sent_at_ms` unset.
    pub datagram: peer::Datagram,
}

/// Counters since the start of this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams dropped because the wall clocks of sender and receiver put them outside the maximum
    /// age.
    pub stale: u64,
    /// Datagrams dropped because they did not come from the address in the sender's record.
    pub wrong_address: u64,
    /// Datagrams dropped because they have no kind, no sender, or this node as sender.
    pub malformed: u64,
    /// Probes that were answered neither directly nor indirectly.
    pub failed_probes: u64,
    /// Updates that reported this node suspect or dead and that it refuted.
    pub refutations: u64,
    /// Detected pauses of this process.
    pub pauses: u64,
}

/// Failure detector of one node.
#[derive(Debug, Clone)]
pub struct Membership {
    pub(crate) config: Config,
    pub(crate) own_record: peer::Member,
    pub(crate) table: member_table::MemberTable,
    pub(crate) probes: probe::Probes,
    pub(crate) round: probe::Round,
    pub(crate) local_round: probe::Round,
    pub(crate) sample_round: probe::Round,
    pub(crate) probes_sent: u64,
    pub(crate) contacts: contacts::Contacts,
    pub(crate) notified_at: BTreeMap<id::NodeId, Duration>,
    pub(crate) digest_store: digest::DigestStore,
    pub(crate) new_items: Vec<digest::Item>,
    pub(crate) release_version: id::Version,
    pub(crate) newest_release_version: id::Version,
    pub(crate) last_tick: Option<Duration>,
    pub(crate) next_probe_at: Duration,
    pub(crate) next_expiry_at: Duration,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) counters: Counters,
}

impl Membership {
    /// Creates the failure detector of a node that knows no other. `own_record` is its own record.
    ///
    /// # Panics
    ///
    /// Panics if the node's id is 0 or its datagram address is not of the form IP:port.
    pub fn new(config: Config, mut own_record: peer::Member, seed: u64) -> Membership {
        assert!(own_record.node != 0, "a node id must not be 0");
        assert!(
            own_record.datagram_address.parse::<SocketAddr>().is_ok(),
            "a datagram address must be IP:port"
        );
        own_record.set_state(peer::MemberState::Alive);
        let mut table = member_table::MemberTable::new(config.suspicion_unit, config.max_members);
        table.broadcasts.add(own_record.node);
        Membership {
            digest_store: digest::DigestStore::new(config.max_digest_items),
            config,
            table,
            own_record,
            probes: probe::Probes::default(),
            round: probe::Round::default(),
            local_round: probe::Round::default(),
            sample_round: probe::Round::default(),
            probes_sent: 0,
            contacts: contacts::Contacts::default(),
            notified_at: BTreeMap::new(),
            new_items: Vec::new(),
            release_version: 0,
            newest_release_version: 0,
            last_tick: None,
            next_probe_at: Duration::ZERO,
            next_expiry_at: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            counters: Counters::default(),
        }
    }

    /// Record of this node.
    pub fn own_record(&self) -> &peer::Member {
        &self.own_record
    }

    /// Whether this node has announced that it is leaving, or has stopped.
    pub fn is_leaving(&self) -> bool {
        self.own_record.state() != peer::MemberState::Alive
    }

    /// All other known nodes in order of id. Dead ones are included until they are forgotten.
    pub fn members(&self) -> impl Iterator<Item = &KnownMember> {
        self.table.iter()
    }

    /// The other nodes that are not dead, in order of id.
    pub fn running(&self) -> impl Iterator<Item = &KnownMember> {
        self.table.running()
    }

    /// What this node knows of another; `None` if it is unknown or forgotten.
    pub fn member(&self, node: id::NodeId) -> Option<&KnownMember> {
        self.table.get(node)
    }

    /// Takes the membership changes since the last call, in order. The oldest are dropped beyond
    /// 4,096.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.table.changes)
    }

    /// Counters since the start of this process.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Store of digest items, into which this node's own observations are put.
    pub fn digest_store(&mut self) -> &mut digest::DigestStore {
        &mut self.digest_store
    }

    /// Takes the digest items received since the last call that were new, in order. The oldest are
    /// dropped beyond 4,096.
    pub fn take_new_items(&mut self) -> Vec<digest::Item> {
        std::mem::take(&mut self.new_items)
    }

    /// Sets the release version in force at this node, which all its datagrams carry.
    pub fn set_release_version(&mut self, version: id::Version) {
        self.release_version = self.release_version.max(version);
        self.newest_release_version = self.newest_release_version.max(version);
    }

    /// Highest release version known to be in force at any node.
    pub fn newest_release_version(&self) -> id::Version {
        self.newest_release_version
    }

    /// Replaces the addresses at which to look for other nodes; any of them may be stale.
    pub fn set_join_addresses(&mut self, now: Duration, addresses: &[SocketAddr]) {
        self.contacts.set_listed(now, addresses);
    }

    /// Announces that this node is leaving and takes no new work.
    pub fn leave(&mut self, _now: Duration) {
        if self.own_record.state() != peer::MemberState::Leaving {
            self.own_record.set_state(peer::MemberState::Leaving);
            self.own_record.incarnation += 1;
            self.table.broadcasts.add(self.own_record.node);
        }
    }

    /// Marks this node as stopped; returns datagrams that announce it, so that the others need not
    /// wait for a suspicion.
    pub fn stop(&mut self, now: Duration) -> Vec<Outgoing> {
        let running: Vec<id::NodeId> =
            self.table.running().map(|known| known.record.node).collect();
        let count = self.config.indirect_probes.max(1) * 2;
        let chosen: Vec<id::NodeId> =
            running.choose_multiple(&mut self.rng, count).copied().collect();
        self.own_record.set_state(peer::MemberState::Dead);
        chosen.into_iter().filter_map(|node| self.ping_with_record(now, node)).collect()
    }

    /// Performs what is due. To be called at least ten times per probe interval.
    pub fn tick(&mut self, now: Duration) -> Vec<Outgoing> {
        self.detect_pause(now);
        let mut outgoing = Vec::new();
        for (number, target) in self.probes.take_indirect_due(now) {
            outgoing.extend(self.probe_indirectly(now, number, target));
        }
        for failed in self.probes.take_timed_out(now) {
            outgoing.extend(self.on_probe_failed(now, &failed));
        }
        self.table.expire_suspicions(now);
        self.add_dead_contacts(now);
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.config.probe_interval;
            outgoing.extend(self.probe_next(now));
            outgoing.extend(self.ping_contacts(now));
        }
        self.expire(now);
        outgoing
    }

    /// Handles a datagram received `from` an address at wall-clock time `wall_ms`, in milliseconds
    /// since the Unix epoch; returns the datagrams to send.
    pub fn receive(
        &mut self,
        now: Duration,
        wall_ms: u64,
        from: SocketAddr,
        datagram: &peer::Datagram,
    ) -> Vec<Outgoing> {
        if !self.is_acceptable(wall_ms, from, datagram) {
            return Vec::new();
        }
        let sender = datagram.sender;
        if let Some(digest) = &datagram.digest {
            self.apply_digest(now, sender, digest);
        }
        self.add_dead_contacts(now);
        let mut outgoing = match datagram.kind() {
            peer::DatagramKind::Unspecified => Vec::new(),
            peer::DatagramKind::Ping => vec![self.build_ack(now, from, datagram)],
            peer::DatagramKind::Ack => self.on_ack_datagram(now, datagram),
            peer::DatagramKind::PingRequest => self.on_ping_request(now, from, datagram),
        };
        if datagram.kind() != peer::DatagramKind::Ping {
            outgoing.extend(self.introduce_or_notify(now, from, datagram));
        }
        outgoing
    }

    fn is_acceptable(&mut self, wall_ms: u64, from: SocketAddr, datagram: &peer::Datagram) -> bool {
        if datagram.sender == 0
            || datagram.sender == self.own_record.node
            || datagram.kind() == peer::DatagramKind::Unspecified
        {
            self.counters.malformed += 1;
            return false;
        }
        let max_age_ms = self.config.max_datagram_age.as_millis() as u64;
        if wall_ms.abs_diff(datagram.sent_at_ms) > max_age_ms {
            self.counters.stale += 1;
            return false;
        }
        let known = self.table.get(datagram.sender);
        if known.is_some_and(|known| known.state != State::Dead && known.address != from) {
            self.counters.wrong_address += 1;
            return false;
        }
        true
    }

    fn apply_digest(&mut self, now: Duration, sender: id::NodeId, digest: &peer::Digest) {
        self.newest_release_version = self.newest_release_version.max(digest.release_version);
        let limit = broadcast::max_transmissions(self.table.running().count() + 1);
        for member in &digest.members {
            if member.node == self.own_record.node {
                self.refute(member);
            } else if member.datagram_address == self.own_record.datagram_address {
                // The record is of an earlier process at this node's own address.
            } else if !self.table.apply(now, member, sender) {
                // Other nodes send this update as well, so this node needs to send it less often.
                self.table.broadcasts.record_transmission(member.node, limit);
            }
        }
        let changes = &mut self.table.changes;
        changes.drain(..changes.len().saturating_sub(MAX_CHANGES));
        let new = self.digest_store.merge(now, digest);
        self.new_items.extend(new);
        self.new_items.drain(..self.new_items.len().saturating_sub(MAX_NEW_ITEMS));
    }

    /// Refutes an update that this node is suspect or dead, by raising its incarnation above that of
    /// the update.
    fn refute(&mut self, update: &peer::Member) {
        let is_reported_down =
            matches!(update.state(), peer::MemberState::Suspect | peer::MemberState::Dead);
        let stopped = self.own_record.state() == peer::MemberState::Dead;
        if !is_reported_down || stopped || update.incarnation < self.own_record.incarnation {
            return;
        }
        self.own_record.incarnation = update.incarnation.saturating_add(1);
        self.counters.refutations += 1;
        self.table.broadcasts.add(self.own_record.node);
    }

    fn build_ack(&mut self, now: Duration, from: SocketAddr, ping: &peer::Datagram) -> Outgoing {
        let sender = ping.sender;
        let mut ack = self.datagram(peer::DatagramKind::Ack, ping.probe, self.own_record.node);
        ack.introduce = self.needs_record(ping);
        let include_own = ping.introduce || ping.target != self.own_record.node;
        self.fill(now, &mut ack, sender, include_own);
        Outgoing { to: from, datagram: ack }
    }

    fn on_ack_datagram(&mut self, now: Duration, ack: &peer::Datagram) -> Vec<Outgoing> {
        self.probes.on_ack(ack.probe, ack.target);
        if ack.target != ack.sender {
            return Vec::new();
        }
        let Some(relay) = self.probes.take_relay(ack.probe, ack.sender) else {
            return Vec::new();
        };
        let mut datagram =
            self.datagram(peer::DatagramKind::Ack, relay.requester_probe, relay.target);
        self.fill(now, &mut datagram, relay.requester, false);
        vec![Outgoing { to: relay.requester_address, datagram }]
    }

    fn on_ping_request(
        &mut self,
        now: Duration,
        from: SocketAddr,
        request: &peer::Datagram,
    ) -> Vec<Outgoing> {
        let Some(target) = self.table.get(request.target) else { return Vec::new() };
        if target.state == State::Dead {
            return Vec::new();
        }
        let to = target.address;
        let relay = probe::Relay {
            requester: request.sender,
            requester_address: from,
            requester_probe: request.probe,
            target: request.target,
            expires_at: now + self.config.probe_interval,
        };
        let Some(number) = self.probes.start_relay(relay, MAX_RELAYS) else { return Vec::new() };
        vec![self.ping(now, to, number, request.target, false)]
    }

    /// Pings the sender if it asks for this node's record, is unknown here, or is suspect or dead
    /// here. The ping carries the record, the request for the sender's, or the state to refute.
    fn introduce_or_notify(
        &mut self,
        now: Duration,
        from: SocketAddr,
        datagram: &peer::Datagram,
    ) -> Option<Outgoing> {
        let sender = datagram.sender;
        let is_suspect_or_dead =
            self.table.get(sender).is_some_and(|known| known.state != State::Alive);
        let needs_record = self.needs_record(datagram);
        if !datagram.introduce && !is_suspect_or_dead && !needs_record {
            return None;
        }
        let last = self.notified_at.get(&sender);
        if last.is_some_and(|&at| now < at + NOTIFY_INTERVAL) {
            return None;
        }
        self.notified_at.insert(sender, now);
        let number = self.probes.next_number();
        let mut ping = self.ping(now, from, number, sender, datagram.introduce);
        ping.datagram.introduce = needs_record;
        Some(ping)
    }

    /// Whether the sender is unknown and the datagram does not hold its record.
    fn needs_record(&self, datagram: &peer::Datagram) -> bool {
        let members = datagram.digest.iter().flat_map(|digest| &digest.members);
        let is_included = members.into_iter().any(|member| member.node == datagram.sender);
        self.table.get(datagram.sender).is_none() && !is_included
    }

    fn ping_contacts(&mut self, now: Duration) -> Vec<Outgoing> {
        let own = self.own_record.datagram_address.clone();
        let table = &self.table;
        let is_in_use =
            |address: SocketAddr| table.running_at(address).is_some() || address.to_string() == own;
        let due =
            self.contacts.take_due(now, CONTACTS_PER_PROBE_INTERVAL, is_in_use, &mut self.rng);
        let mut outgoing = Vec::new();
        for to in due {
            let previous = self.table.iter().find(|known| known.address == to);
            let receiver = previous.map_or(0, |known| known.record.node);
            let number = self.probes.next_number();
            let mut ping = self.datagram(peer::DatagramKind::Ping, number, 0);
            ping.introduce = true;
            let digest = ping.digest.get_or_insert_default();
            digest.members.push(self.own_record.clone());
            digest.members.extend(self.table.gossip_update(receiver));
            outgoing.push(Outgoing { to, datagram: ping });
        }
        outgoing
    }

    /// Adds the addresses of newly dead nodes to the contacts, as they may only be unreachable.
    fn add_dead_contacts(&mut self, now: Duration) {
        let newly_dead = |known: &&KnownMember| {
            known.state == State::Dead && known.changed_at == now && !known.is_permanently_dead
        };
        let addresses: Vec<SocketAddr> =
            self.table.iter().filter(newly_dead).map(|known| known.address).collect();
        for address in addresses {
            self.contacts.add_dead(now, address, &mut self.rng);
        }
    }

    fn expire(&mut self, now: Duration) {
        self.probes.expire_relays(now);
        if now < self.next_expiry_at {
            return;
        }
        self.next_expiry_at = now + EXPIRY_INTERVAL;
        self.table.forget_dead(now, self.config.dead_retention);
        self.digest_store.expire(now);
        self.notified_at.retain(|_, &mut at| now < at + NOTIFY_INTERVAL);
        let table = &self.table;
        let is_wanted = |address: SocketAddr| {
            let is_there = |known: &KnownMember| {
                known.address == address && known.state == State::Dead && !known.is_permanently_dead
            };
            table.iter().any(is_there)
        };
        self.contacts.retain(is_wanted);
    }
}
