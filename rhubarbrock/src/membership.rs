//! Which nodes run: a failure detector over datagrams, in the manner of SWIM.
//!
//! Each node probes one other a second, first directly, then through others.
//! Who gives no answer is suspect, and dead if it does not refute in time.
//! News of nodes rides on the datagrams, and so does other news
//! ([`digest`]), in what room is left.
//!
//! The caller sends what it gets back, fills in `sent_at_ms`, and checks that
//! datagrams come from a holder of the nodes' key.

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

const RELAY_LIMIT: usize = 64;
const FRESH_LIMIT: usize = 4_096;
const CHANGE_LIMIT: usize = 4_096;
const EXPIRE_INTERVAL: Duration = Duration::from_secs(5);
const REMIND_INTERVAL: Duration = Duration::from_millis(500);
const CONTACTS_PER_INTERVAL: usize = 2;

/// A datagram to be sent; the sender's thread sets `sent_at_ms`.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// Where it goes.
    pub to: SocketAddr,
    /// The datagram.
    pub datagram: peer::Datagram,
}

/// Counts of what was dropped and done since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams dropped by age.
    pub stale: u64,
    /// Datagrams dropped because the sender's address is not that of its record.
    pub wrong_address: u64,
    /// Datagrams dropped as malformed.
    pub malformed: u64,
    /// Probes that were answered neither directly nor through others.
    pub failed_probes: u64,
    /// Times that this node refuted news of its own end.
    pub refutations: u64,
    /// Pauses of this process that the detector saw.
    pub pauses: u64,
}

/// The state of the failure detector of one node.
#[derive(Debug, Clone)]
pub struct Membership {
    pub(crate) config: Config,
    pub(crate) me: peer::Member,
    pub(crate) table: member_table::MemberTable,
    pub(crate) probes: probe::Probes,
    pub(crate) round: probe::Round,
    pub(crate) local_round: probe::Round,
    pub(crate) sample_round: probe::Round,
    pub(crate) probes_sent: u64,
    pub(crate) contacts: contacts::Contacts,
    pub(crate) reminded_at: BTreeMap<id::NodeId, Duration>,
    pub(crate) news: digest::DigestStore,
    pub(crate) fresh: Vec<digest::Item>,
    pub(crate) release_version: id::Version,
    pub(crate) newest_release_version: id::Version,
    pub(crate) last_tick: Option<Duration>,
    pub(crate) next_probe_at: Duration,
    pub(crate) next_expiry_at: Duration,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) counters: Counters,
}

impl Membership {
    /// A node that knows nobody yet. `me` is its own record.
    pub fn new(config: Config, mut me: peer::Member, seed: u64) -> Membership {
        assert!(me.node != 0, "a node's id is not 0");
        assert!(me.datagram_address.parse::<SocketAddr>().is_ok(), "an address is IP:port");
        me.set_state(peer::MemberState::Alive);
        let mut table = member_table::MemberTable::new(config.suspicion_unit, config.max_members);
        table.broadcasts.add(me.node);
        Membership {
            news: digest::DigestStore::new(config.max_digest_items),
            config,
            table,
            me,
            probes: probe::Probes::default(),
            round: probe::Round::default(),
            local_round: probe::Round::default(),
            sample_round: probe::Round::default(),
            probes_sent: 0,
            contacts: contacts::Contacts::default(),
            reminded_at: BTreeMap::new(),
            fresh: Vec::new(),
            release_version: 0,
            newest_release_version: 0,
            last_tick: None,
            next_probe_at: Duration::ZERO,
            next_expiry_at: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            counters: Counters::default(),
        }
    }

    /// This node's own record.
    pub fn own_record(&self) -> &peer::Member {
        &self.me
    }

    /// Whether this node said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.me.state() != peer::MemberState::Alive
    }

    /// The other nodes known, by id; dead ones are there until they are forgotten.
    pub fn members(&self) -> impl Iterator<Item = &KnownMember> {
        self.table.iter()
    }

    /// The other nodes that are not dead, by id.
    pub fn running(&self) -> impl Iterator<Item = &KnownMember> {
        self.table.running()
    }

    /// What is known of one node.
    pub fn member(&self, node: id::NodeId) -> Option<&KnownMember> {
        self.table.get(node)
    }

    /// Takes the changes since the last call, in order.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.table.changes)
    }

    /// Counts since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The store of other news; what this node observed is put there.
    pub fn digest_store(&mut self) -> &mut digest::DigestStore {
        &mut self.news
    }

    /// Takes the news heard since the last call, in order.
    pub fn take_new_items(&mut self) -> Vec<digest::Item> {
        std::mem::take(&mut self.fresh)
    }

    /// Tells the others which release is in force here.
    pub fn set_release_version(&mut self, version: id::Version) {
        self.release_version = self.release_version.max(version);
        self.newest_release_version = self.newest_release_version.max(version);
    }

    /// Highest release version in force anywhere, as far as heard.
    pub fn newest_release_version(&self) -> id::Version {
        self.newest_release_version
    }

    /// Replaces the addresses to try; any may be stale. Given anew with each change of the list.
    pub fn set_join_addresses(&mut self, now: Duration, addresses: &[SocketAddr]) {
        self.contacts.list(now, addresses);
    }

    /// Tells the others that this node leaves and takes no new work.
    pub fn leave(&mut self, _now: Duration) {
        if self.me.state() != peer::MemberState::Leaving {
            self.me.set_state(peer::MemberState::Leaving);
            self.me.incarnation += 1;
            self.table.broadcasts.add(self.me.node);
        }
    }

    /// Datagrams that say this process ends now, so that nobody waits for a suspicion.
    pub fn stop(&mut self, now: Duration) -> Vec<Outgoing> {
        let running: Vec<id::NodeId> =
            self.table.running().map(|known| known.record.node).collect();
        let count = self.config.indirect_probes.max(1) * 2;
        let chosen: Vec<id::NodeId> =
            running.choose_multiple(&mut self.rng, count).copied().collect();
        self.me.set_state(peer::MemberState::Dead);
        chosen.into_iter().filter_map(|node| self.tell_record(now, node)).collect()
    }

    /// Does what is due. To be called ten times or more in a probe interval.
    pub fn tick(&mut self, now: Duration) -> Vec<Outgoing> {
        self.see_pause(now);
        let mut outgoing = Vec::new();
        for (number, target) in self.probes.take_indirect_due(now) {
            outgoing.extend(self.ask_others(now, number, target));
        }
        for failed in self.probes.take_timed_out(now) {
            outgoing.extend(self.probe_failed(now, &failed));
        }
        self.table.settle_suspicions(now);
        self.follow_deaths(now);
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.config.probe_interval;
            outgoing.extend(self.probe_next(now));
            outgoing.extend(self.try_contacts(now));
        }
        self.expire(now);
        outgoing
    }

    /// Takes in a datagram that came `from` an address at wall-clock time `wall_ms`.
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
        if let Some(news) = &datagram.digest {
            self.take_in(now, sender, news);
        }
        self.follow_deaths(now);
        let mut outgoing = match datagram.kind() {
            peer::DatagramKind::Unspecified => Vec::new(),
            peer::DatagramKind::Ping => vec![self.answer(now, from, datagram)],
            peer::DatagramKind::Ack => self.answered(now, datagram),
            peer::DatagramKind::PingRequest => self.probe_for(now, from, datagram),
        };
        if datagram.kind() != peer::DatagramKind::Ping {
            outgoing.extend(self.introduce_or_remind(now, from, datagram));
        }
        outgoing
    }

    fn is_acceptable(&mut self, wall_ms: u64, from: SocketAddr, datagram: &peer::Datagram) -> bool {
        if datagram.sender == 0
            || datagram.sender == self.me.node
            || datagram.kind() == peer::DatagramKind::Unspecified
        {
            self.counters.malformed += 1;
            return false;
        }
        let bound_ms = self.config.max_datagram_age.as_millis() as u64;
        if wall_ms.abs_diff(datagram.sent_at_ms) > bound_ms {
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

    fn take_in(&mut self, now: Duration, sender: id::NodeId, digest: &peer::Digest) {
        self.newest_release_version = self.newest_release_version.max(digest.release_version);
        let limit = broadcast::max_transmissions(self.table.running().count() + 1);
        for member in &digest.members {
            if member.node == self.me.node {
                self.refute(member);
            } else if member.datagram_address == self.me.datagram_address {
                // At this node's own address only an earlier process can be meant.
            } else if !self.table.apply(now, member, sender) {
                // Others tell it as well, so this node need not tell it as often.
                self.table.broadcasts.record_transmission(member.node, limit);
            }
        }
        let changes = &mut self.table.changes;
        changes.drain(..changes.len().saturating_sub(CHANGE_LIMIT));
        let new = self.news.merge(now, digest);
        self.fresh.extend(new);
        self.fresh.drain(..self.fresh.len().saturating_sub(FRESH_LIMIT));
    }

    /// Raises the own incarnation above news that this node is suspect or dead.
    fn refute(&mut self, news: &peer::Member) {
        let is_bad = matches!(news.state(), peer::MemberState::Suspect | peer::MemberState::Dead);
        let stopped = self.me.state() == peer::MemberState::Dead;
        if !is_bad || stopped || news.incarnation < self.me.incarnation {
            return;
        }
        self.me.incarnation = news.incarnation.saturating_add(1);
        self.counters.refutations += 1;
        self.table.broadcasts.add(self.me.node);
    }

    fn answer(&mut self, now: Duration, from: SocketAddr, ping: &peer::Datagram) -> Outgoing {
        let sender = ping.sender;
        let mut ack = self.datagram(peer::DatagramKind::Ack, ping.probe, self.me.node);
        ack.introduce = self.wants_record(ping);
        let show_me = ping.introduce || ping.target != self.me.node;
        self.fill(now, &mut ack, sender, show_me);
        Outgoing { to: from, datagram: ack }
    }

    fn answered(&mut self, now: Duration, ack: &peer::Datagram) -> Vec<Outgoing> {
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

    fn probe_for(
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
        let Some(number) = self.probes.start_relay(relay, RELAY_LIMIT) else { return Vec::new() };
        vec![self.ping(now, to, number, request.target, false)]
    }

    /// Answers a wish for this node's record, and tells a suspect that it is one.
    fn introduce_or_remind(
        &mut self,
        now: Duration,
        from: SocketAddr,
        datagram: &peer::Datagram,
    ) -> Option<Outgoing> {
        let sender = datagram.sender;
        let is_doubted = self.table.get(sender).is_some_and(|known| known.state != State::Alive);
        let wants_record = self.wants_record(datagram);
        if !datagram.introduce && !is_doubted && !wants_record {
            return None;
        }
        let last = self.reminded_at.get(&sender);
        if last.is_some_and(|&at| now < at + REMIND_INTERVAL) {
            return None;
        }
        self.reminded_at.insert(sender, now);
        let number = self.probes.next_number();
        let mut ping = self.ping(now, from, number, sender, datagram.introduce);
        ping.datagram.introduce = wants_record;
        Some(ping)
    }

    /// Whether the sender is unknown and did not say who it is.
    fn wants_record(&self, datagram: &peer::Datagram) -> bool {
        let members = datagram.digest.iter().flat_map(|digest| &digest.members);
        let told = members.into_iter().any(|member| member.node == datagram.sender);
        self.table.get(datagram.sender).is_none() && !told
    }

    /// Notices that this process did not run for a while and then blames nobody for it.
    fn see_pause(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_tick.unwrap_or(now));
        self.last_tick = Some(now);
        if gap > self.config.pause_threshold {
            self.counters.pauses += 1;
            self.probes.clear_outstanding();
            self.table.extend_suspicions(gap);
        }
    }

    fn probe_next(&mut self, now: Duration) -> Option<Outgoing> {
        self.probes_sent += 1;
        let data_centre = &self.me.data_centre;
        let table = &self.table;
        let is_running = |node| table.get(node).is_some_and(|known| known.state != State::Dead);
        let all = || table.running().map(|known| known.record.node).collect::<Vec<_>>();
        let local = || {
            let running = table.running();
            let near = running.filter(|known| known.record.data_centre == *data_centre);
            near.map(|known| known.record.node).collect::<Vec<_>>()
        };
        let near = match self.probes_sent % 2 {
            0 => self.local_round.next(local, is_running, &mut self.rng),
            _ => None,
        };
        let target = match near {
            Some(node) => node,
            None => self.round.next(all, is_running, &mut self.rng)?,
        };
        let known = self.table.get(target).expect("a round gives nodes that run");
        let (to, incarnation) = (known.address, known.record.incarnation);
        let number = self.probes.start(probe::Outstanding {
            target,
            incarnation,
            indirect_at: now + self.config.probe_timeout,
            times_out_at: now + self.config.probe_interval,
            indirect_sent: false,
        });
        Some(self.ping(now, to, number, target, false))
    }

    fn ask_others(
        &mut self,
        now: Duration,
        number: probe::ProbeNumber,
        target: id::NodeId,
    ) -> Vec<Outgoing> {
        let others: Vec<(id::NodeId, SocketAddr)> = self
            .table
            .running()
            .filter(|known| known.state == State::Alive && known.record.node != target)
            .map(|known| (known.record.node, known.address))
            .collect();
        let count = self.config.indirect_probes;
        let chosen: Vec<(id::NodeId, SocketAddr)> =
            others.choose_multiple(&mut self.rng, count).copied().collect();
        let mut outgoing = Vec::new();
        for (node, to) in chosen {
            let mut request = self.datagram(peer::DatagramKind::PingRequest, number, target);
            self.fill(now, &mut request, node, false);
            outgoing.push(Outgoing { to, datagram: request });
        }
        outgoing
    }

    fn probe_failed(&mut self, now: Duration, failed: &probe::Outstanding) -> Option<Outgoing> {
        self.counters.failed_probes += 1;
        let me = self.me.node;
        let known = self.table.get(failed.target)?;
        if known.record.incarnation != failed.incarnation {
            return None;
        }
        self.table.suspect(now, failed.target, failed.incarnation, me, ChangeReason::ProbeFailed);
        self.tell(now, failed.target)
    }

    /// A ping outside of the rounds, which tells a node what is known of it.
    fn tell(&mut self, now: Duration, node: id::NodeId) -> Option<Outgoing> {
        let to = self.table.get(node)?.address;
        let number = self.probes.next_number();
        Some(self.ping(now, to, number, node, false))
    }

    /// Datagrams to a few others at once, for news that can't wait for the next probe.
    pub fn gossip_now(&mut self, now: Duration) -> Vec<Outgoing> {
        let alive = self.table.running().filter(|known| known.state == State::Alive);
        let nodes: Vec<id::NodeId> = alive.map(|known| known.record.node).collect();
        let count = self.config.indirect_probes.max(1);
        let chosen: Vec<id::NodeId> =
            nodes.choose_multiple(&mut self.rng, count).copied().collect();
        chosen.into_iter().filter_map(|node| self.tell(now, node)).collect()
    }

    fn tell_record(&mut self, now: Duration, node: id::NodeId) -> Option<Outgoing> {
        let to = self.table.get(node)?.address;
        let number = self.probes.next_number();
        Some(self.ping(now, to, number, node, true))
    }

    fn try_contacts(&mut self, now: Duration) -> Vec<Outgoing> {
        let own = self.me.datagram_address.clone();
        let table = &self.table;
        let is_taken =
            |address: SocketAddr| table.at(address).is_some() || address.to_string() == own;
        let due = self.contacts.due(now, CONTACTS_PER_INTERVAL, is_taken, &mut self.rng);
        let mut outgoing = Vec::new();
        for to in due {
            let dead = self.table.iter().find(|known| known.address == to);
            let receiver = dead.map_or(0, |known| known.record.node);
            let number = self.probes.next_number();
            let mut ping = self.datagram(peer::DatagramKind::Ping, number, 0);
            ping.introduce = true;
            let digest = ping.digest.get_or_insert_default();
            digest.members.push(self.me.clone());
            digest.members.extend(self.table.news_of(receiver));
            outgoing.push(Outgoing { to, datagram: ping });
        }
        outgoing
    }

    /// Keeps on trying the addresses of nodes that may only be out of reach.
    fn follow_deaths(&mut self, now: Duration) {
        let newly_dead = |known: &&KnownMember| {
            known.state == State::Dead && known.changed_at == now && !known.is_permanently_dead
        };
        let addresses: Vec<SocketAddr> =
            self.table.iter().filter(newly_dead).map(|known| known.address).collect();
        for address in addresses {
            self.contacts.add(now, address, &mut self.rng);
        }
    }

    fn expire(&mut self, now: Duration) {
        self.probes.expire_relays(now);
        if now < self.next_expiry_at {
            return;
        }
        self.next_expiry_at = now + EXPIRE_INTERVAL;
        self.table.forget(now, self.config.dead_retention);
        self.news.expire(now);
        self.reminded_at.retain(|_, &mut at| now < at + REMIND_INTERVAL);
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
