//! Simulated datagram network between a few membership states. Each datagram is lost, delayed or
//! duplicated at random; those that reach a paused node are lost.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use prost::Message;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbrock::{digest, membership};
use rhubarbrock_schema::peer;

const STEP: Duration = Duration::from_millis(50);
const WALL_START_MS: u64 = 1_800_000_000_000;

/// Random faults of each datagram.
#[derive(Clone)]
pub(crate) struct Faults {
    pub(crate) delay_ms: Range<u64>,
    pub(crate) lost_percent: u32,
    pub(crate) duplicated_percent: u32,
}

impl Faults {
    pub(crate) fn none() -> Faults {
        Faults { delay_ms: 1..10, lost_percent: 0, duplicated_percent: 0 }
    }
}

/// A datagram in transit.
#[derive(Clone)]
pub(crate) struct Packet {
    from: SocketAddr,
    to: SocketAddr,
    datagram: peer::Datagram,
}

struct Process {
    membership: membership::Membership,
    paused_until: Duration,
    is_dead: bool,
}

/// Membership states of all nodes and the datagrams between them.
pub(crate) struct Fleet {
    pub(crate) faults: Faults,
    pub(crate) changes: Vec<Vec<membership::Change>>,
    pub(crate) sent_bytes: usize,
    pub(crate) largest_bytes: usize,
    processes: Vec<Process>,
    in_flight: BTreeMap<(Duration, u64), Packet>,
    sent: Vec<Packet>,
    serial: u64,
    partitioned: BTreeSet<usize>,
    now: Duration,
    rng: ChaCha8Rng,
}

pub(crate) fn address_of(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8 + 1], 7_000))
}

pub(crate) fn record(node: usize, id: u64, started_at_ms: u64) -> peer::Member {
    peer::Member {
        node: id,
        name: format!("node-{node}"),
        data_centre: format!("dc{}", node % 3),
        datagram_address: address_of(node).to_string(),
        peer_address: address_of(node).to_string(),
        caller_address: address_of(node).to_string(),
        started_at_ms,
        state: peer::MemberState::Alive.into(),
        ..Default::default()
    }
}

impl Fleet {
    pub(crate) fn new(nodes: usize, seed: u64, faults: Faults) -> Fleet {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let processes = (0..nodes)
            .map(|node| {
                let me = record(node, rng.random_range(1..u64::MAX), WALL_START_MS);
                let config = membership::Config::default();
                Process {
                    membership: membership::Membership::new(config, me, rng.random()),
                    paused_until: Duration::ZERO,
                    is_dead: false,
                }
            })
            .collect();
        Fleet {
            faults,
            changes: vec![Vec::new(); nodes],
            sent_bytes: 0,
            largest_bytes: 0,
            processes,
            in_flight: BTreeMap::new(),
            sent: Vec::new(),
            serial: 0,
            partitioned: BTreeSet::new(),
            now: Duration::from_secs(1),
            rng,
        }
    }

    /// Creates a fleet in which all nodes know each other.
    pub(crate) fn joined(nodes: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet::new(nodes, seed, Faults::none());
        fleet.join_all_by_first();
        fleet.run(Duration::from_secs(20));
        for node in 0..nodes {
            assert_eq!(
                fleet.alive_at(node).len(),
                nodes - 1,
                "seed {seed}: node {node} has not joined all others"
            );
        }
        fleet.changes.iter_mut().for_each(Vec::clear);
        fleet
    }

    pub(crate) fn join_all_by_first(&mut self) {
        for process in &mut self.processes {
            process.membership.set_join_addresses(self.now, &[address_of(0), address_of(999)]);
        }
    }

    /// Clears the addresses that nodes join by.
    pub(crate) fn clear_join_addresses(&mut self) {
        for process in &mut self.processes {
            process.membership.set_join_addresses(self.now, &[]);
        }
        self.run(Duration::from_secs(10));
    }

    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    pub(crate) fn node(&mut self, node: usize) -> &mut membership::Membership {
        &mut self.processes[node].membership
    }

    pub(crate) fn id(&self, node: usize) -> u64 {
        self.processes[node].membership.own_record().node
    }

    pub(crate) fn address(&self, node: usize) -> SocketAddr {
        address_of(node)
    }

    pub(crate) fn known(&self, at: usize, node: usize) -> Option<&membership::KnownMember> {
        self.processes[at].membership.member(self.id(node))
    }

    pub(crate) fn state_at(&self, at: usize, node: usize) -> Option<membership::State> {
        self.known(at, node).map(|known| known.state)
    }

    pub(crate) fn alive_at(&self, at: usize) -> Vec<u64> {
        let members = self.processes[at].membership.members();
        let alive = members.filter(|known| known.state == membership::State::Alive);
        alive.map(|known| known.record.node).collect()
    }

    pub(crate) fn count(&self, kind: membership::ChangeKind) -> usize {
        self.changes.iter().flatten().filter(|change| change.kind == kind).count()
    }

    pub(crate) fn kill(&mut self, node: usize) {
        self.processes[node].is_dead = true;
    }

    pub(crate) fn pause(&mut self, node: usize, time: Duration) {
        self.processes[node].paused_until = self.now + time;
    }

    pub(crate) fn partition(&mut self, nodes: &[usize]) {
        self.partitioned = nodes.iter().copied().collect();
    }

    pub(crate) fn leave(&mut self, node: usize) {
        let now = self.now;
        self.node(node).leave(now);
    }

    pub(crate) fn stop(&mut self, node: usize) {
        let outgoing = self.processes[node].membership.stop(self.now);
        self.send(node, outgoing);
        self.kill(node);
    }

    pub(crate) fn restart(&mut self, node: usize) {
        let me = record(node, self.rng.random_range(1..u64::MAX), self.wall_ms());
        let config = membership::Config::default();
        let mut new = membership::Membership::new(config, me, self.rng.random());
        new.set_join_addresses(self.now, &[address_of(0)]);
        self.processes[node].membership = new;
    }

    pub(crate) fn observe_load(&mut self, node: usize, endpoint: u64, sequence: u64) {
        let load = peer::EndpointLoad { endpoint, sequence, running: 9, ..Default::default() };
        let now = self.now;
        self.node(node).digest_store().put(now, digest::Item::Load(load));
    }

    pub(crate) fn sent_packets(&self) -> Vec<Packet> {
        self.sent.clone()
    }

    pub(crate) fn replay(&mut self, packets: &[Packet]) {
        for packet in packets {
            self.serial += 1;
            self.in_flight.insert((self.now, self.serial), packet.clone());
        }
    }

    pub(crate) fn ping_from(&self, from: usize, to: usize) -> peer::Datagram {
        peer::Datagram {
            kind: peer::DatagramKind::Ping.into(),
            sender: self.id(from),
            probe: 1,
            target: self.id(to),
            sent_at_ms: self.wall_ms(),
            ..Default::default()
        }
    }

    pub(crate) fn deliver(
        &mut self,
        to: usize,
        from: SocketAddr,
        datagram: &peer::Datagram,
    ) -> Vec<membership::Outgoing> {
        let (now, wall_ms) = (self.now, self.wall_ms());
        self.node(to).receive(now, wall_ms, from, datagram)
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver_due();
            for node in 0..self.processes.len() {
                if self.runs(node) {
                    let outgoing = self.processes[node].membership.tick(self.now);
                    self.send(node, outgoing);
                    let changes = self.processes[node].membership.take_changes();
                    self.changes[node].extend(changes);
                    self.processes[node].membership.take_new_items();
                }
            }
        }
    }

    fn wall_ms(&self) -> u64 {
        WALL_START_MS + self.now.as_millis() as u64
    }

    fn runs(&self, node: usize) -> bool {
        let process = &self.processes[node];
        !process.is_dead && process.paused_until <= self.now
    }

    fn deliver_due(&mut self) {
        let later = self.in_flight.split_off(&(self.now + Duration::from_nanos(1), 0));
        let due = std::mem::replace(&mut self.in_flight, later);
        for (_, packet) in due {
            let to = (0..self.processes.len()).find(|&node| address_of(node) == packet.to);
            let Some(to) = to else { continue };
            if self.runs(to) {
                let outgoing = self.deliver(to, packet.from, &packet.datagram);
                self.send(to, outgoing);
            }
        }
    }

    fn send(&mut self, node: usize, outgoing: Vec<membership::Outgoing>) {
        for outgoing in outgoing {
            let mut datagram = outgoing.datagram;
            datagram.sent_at_ms = self.wall_ms();
            let bytes = datagram.encoded_len();
            self.sent_bytes += bytes;
            self.largest_bytes = self.largest_bytes.max(bytes);
            let packet = Packet { from: address_of(node), to: outgoing.to, datagram };
            if self.sent.len() < 2_000 {
                self.sent.push(packet.clone());
            }
            self.post(node, packet);
        }
    }

    fn post(&mut self, node: usize, packet: Packet) {
        let to = (0..self.processes.len()).find(|&to| address_of(to) == packet.to);
        let is_partitioned =
            to.is_some_and(|to| self.partitioned.contains(&node) != self.partitioned.contains(&to));
        if is_partitioned || self.rng.random_range(0..100) < self.faults.lost_percent {
            return;
        }
        let copies =
            if self.rng.random_range(0..100) < self.faults.duplicated_percent { 2 } else { 1 };
        for _ in 0..copies {
            let delay = Duration::from_millis(self.rng.random_range(self.faults.delay_ms.clone()));
            self.serial += 1;
            self.in_flight.insert((self.now + delay, self.serial), packet.clone());
        }
    }
}
