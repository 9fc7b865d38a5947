//! Membership of many nodes in one process, on a virtual clock that advances in steps. A datagram
//! arrives one step after it was sent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use prost::Message;
use rhubarbrock::digest::Item;
use rhubarbrock::{membership, watch};
use rhubarbrock_schema::peer;

const STEP: Duration = Duration::from_millis(100);
/// Unix time of all nodes; it stands still.
const UNIX_TIME_MS: u64 = 1_800_000_000_000;
/// Time for the gossip that follows when all nodes join at once.
const JOIN_TIME: Duration = Duration::from_secs(300);

const DATA_CENTRES: usize = 5;

/// Bytes of IP and UDP headers and of the HMAC around each datagram.
const FRAME_BYTES: usize = 28 + 32;

struct Packet {
    from: SocketAddr,
    to: usize,
    bytes: Vec<u8>,
}

/// Datagrams sent since the last reset.
#[derive(Default, Clone, Copy)]
pub(crate) struct Traffic {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
    pub(crate) largest_bytes: usize,
}

pub(crate) struct Fleet {
    pub(crate) nodes: Vec<membership::Membership>,
    pub(crate) traffic: Traffic,
    pub(crate) now: Duration,
    is_dead: Vec<bool>,
    by_address: BTreeMap<SocketAddr, usize>,
    in_flight: Vec<Packet>,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8 + 1], 7_100))
}

pub(crate) fn data_centre(index: usize) -> String {
    format!("data-centre-{}", index % DATA_CENTRES)
}

fn record(node: usize) -> peer::Member {
    let id = (node as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    peer::Member {
        node: id,
        name: format!("entry-{node}"),
        data_centre: data_centre(node),
        region: format!("region-{}", node % DATA_CENTRES % 2),
        datagram_address: address(node).to_string(),
        peer_address: address(node).to_string(),
        caller_address: address(node).to_string(),
        instance: 100_000 + node as u64,
        started_at_ms: UNIX_TIME_MS,
        state: peer::MemberState::Alive.into(),
        ..Default::default()
    }
}

impl Fleet {
    /// A fleet in which every node knows all members.
    pub(crate) fn joined(nodes: usize) -> Fleet {
        let mut fleet = Fleet {
            nodes: (0..nodes).map(|node| new_node(node, record(node))).collect(),
            traffic: Traffic::default(),
            now: Duration::from_secs(1),
            is_dead: vec![false; nodes],
            by_address: (0..nodes).map(|node| (address(node), node)).collect(),
            in_flight: Vec::new(),
        };
        let members: Vec<peer::Member> = (0..nodes).map(record).collect();
        let digest = peer::Digest { members, ..Default::default() };
        for node in 0..nodes {
            let other = (node + 1) % nodes;
            let datagram = peer::Datagram {
                kind: peer::DatagramKind::Ack.into(),
                sender: fleet.nodes[other].own_record().node,
                sent_at_ms: UNIX_TIME_MS,
                digest: Some(digest.clone()),
                ..Default::default()
            };
            let now = fleet.now;
            fleet.nodes[node].receive(now, UNIX_TIME_MS, address(other), &datagram);
            fleet.nodes[node].take_changes();
        }
        fleet.run(JOIN_TIME, |_| {});
        fleet
    }

    pub(crate) fn kill(&mut self, node: usize) {
        self.is_dead[node] = true;
    }

    pub(crate) fn alive(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|&node| !self.is_dead[node])
    }

    /// Runs for `time` and calls `each_second` once a second.
    pub(crate) fn run(&mut self, time: Duration, mut each_second: impl FnMut(&mut Fleet)) {
        let steps = time.as_millis() / STEP.as_millis();
        for step in 0..steps {
            self.step();
            if step % 10 == 9 {
                each_second(self);
            }
        }
    }

    /// Runs until `is_done`, at most for `limit`; returns the time it took.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        is_done: impl Fn(&Fleet) -> bool,
    ) -> Duration {
        let start = self.now;
        while self.now < start + limit && !is_done(self) {
            self.step();
        }
        self.now - start
    }

    fn step(&mut self) {
        self.now += STEP;
        for packet in std::mem::take(&mut self.in_flight) {
            if self.is_dead[packet.to] {
                continue;
            }
            let datagram = peer::Datagram::decode(packet.bytes.as_slice()).expect("just encoded");
            let node = &mut self.nodes[packet.to];
            let outgoing = node.receive(self.now, UNIX_TIME_MS, packet.from, &datagram);
            node.take_new_items();
            self.send(packet.to, outgoing);
        }
        for node in 0..self.nodes.len() {
            if !self.is_dead[node] {
                // Start times differ so that the nodes do not probe in lockstep.
                let offset = Duration::from_millis(1_000 + 37 * node as u64 % 1_000);
                if self.now < offset {
                    continue;
                }
                let outgoing = self.nodes[node].tick(self.now);
                self.nodes[node].take_changes();
                self.send(node, outgoing);
            }
        }
    }

    fn send(&mut self, node: usize, outgoing: Vec<membership::Outgoing>) {
        for outgoing in outgoing {
            let mut datagram = outgoing.datagram;
            datagram.sent_at_ms = UNIX_TIME_MS;
            let bytes = datagram.encode_to_vec();
            self.traffic.messages += 1;
            self.traffic.bytes += (bytes.len() + FRAME_BYTES) as u64;
            self.traffic.largest_bytes = self.traffic.largest_bytes.max(bytes.len() + FRAME_BYTES);
            if let Some(&to) = self.by_address.get(&outgoing.to) {
                self.in_flight.push(Packet { from: address(node), to, bytes });
            }
        }
    }

    /// Indices of the nodes that watch each endpoint; the first entry is endpoint 1.
    pub(crate) fn watchers(&self, endpoints: u32) -> Vec<Vec<usize>> {
        let index: BTreeMap<u64, usize> = self
            .nodes
            .iter()
            .enumerate()
            .map(|(node, state)| (state.own_record().node, node))
            .collect();
        (1..=endpoints)
            .map(|endpoint| {
                let data_centre = data_centre(endpoint as usize);
                let watchers = watch::watchers(&self.nodes[0], endpoint.into(), &data_centre);
                watchers.iter().map(|node| index[node]).collect()
            })
            .collect()
    }

    /// Gives the watchers that are alive a new load of each endpoint.
    pub(crate) fn put_loads(&mut self, watchers: &[Vec<usize>], sequence: u64) {
        for (index, nodes) in watchers.iter().enumerate() {
            let load = peer::EndpointLoad {
                endpoint: index as u64 + 1,
                sequence,
                running: 40,
                waiting: 3,
                kv_used_percent: 70,
                queued_tokens: 2_000,
                ..Default::default()
            };
            for &node in nodes.iter().filter(|node| !self.is_dead[**node]) {
                self.nodes[node].digest_store().put(self.now, Item::Load(load));
            }
        }
    }

    /// Records at each node what it has served to each organisation.
    pub(crate) fn put_usage(&mut self, organisations: u32, served_tokens: u64) {
        for node in 0..self.nodes.len() {
            let id = self.nodes[node].own_record().node;
            for organisation in 0..organisations {
                let usage = peer::OrganisationUsage {
                    node: id,
                    organisation: format!("organisation-{organisation}"),
                    service: "guide-writers".into(),
                    served_tokens,
                    age_ms: 0,
                };
                self.nodes[node].digest_store().put(self.now, Item::Usage(usage));
            }
        }
    }
}

fn new_node(node: usize, own_record: peer::Member) -> membership::Membership {
    membership::Membership::new(membership::Config::default(), own_record, node as u64 + 1)
}
