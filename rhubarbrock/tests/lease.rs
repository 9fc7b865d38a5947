//! Leases and starts of instances under paused holders, lost and delayed appends, and log retention.
//!
//! Nodes whose clocks run at different rates compete for the lease of one scope.
//! The holder keeps a number of instances running. Permission for an action is
//! checked once, and the action may take effect much later, as if the process
//! had been paused in between.

use std::collections::BTreeMap;
use std::time::Duration;

use bolero::TypeGenerator;
use rhubarbrock::id::{NodeId, Offset};
use rhubarbrock::lease::{Applied, Holder, LeaseLog};
use rhubarbrock::slots;
use rhubarbrock_schema::log;

mod seeds;

const SEEDS: u64 = 1_000;
const EVENTS: usize = 900;
const NODES: usize = 3;
const SCOPE: &str = "capacity";
const LEASE_DURATION: Duration = Duration::from_secs(20);
const LOG_EPOCH: Duration = Duration::from_secs(1_000_000);

#[derive(Debug, Clone, TypeGenerator)]
enum Event {
    /// Time passes, by 40 ms per step.
    Elapse { steps: u8 },
    /// A node reads the log, requests or renews the lease, and starts instances.
    Act { node: u8, random: u8 },
    /// A delayed append takes effect.
    Deliver { selector: u8 },
    /// A pending start reaches the cloud.
    Start { selector: u8, is_refused: bool },
    /// A node restarts without its state.
    Restart { node: u8, random: u8 },
    /// The log drops old records.
    Truncate { records: u8, random: u8 },
    /// An instance is reclaimed.
    Reclaim { selector: u8, random: u8 },
    /// The number of wanted instances grows, or stays.
    Demand { instances: u8, random: u8 },
}

/// Result of an append, unknown to the node that sent it.
#[derive(Debug, Clone, Copy)]
enum AppendScenario {
    Immediate,
    Delayed,
    Lost,
}

impl AppendScenario {
    fn of(random: u8) -> AppendScenario {
        match random {
            0..192 => AppendScenario::Immediate,
            192..232 => AppendScenario::Delayed,
            _ => AppendScenario::Lost,
        }
    }
}

struct Node {
    id: NodeId,
    holder: Holder,
    log: LeaseLog,
    /// Rate of the node's clock, in percent of the rate of the log's clock.
    rate_percent: u32,
    next_nonce: u64,
    /// Whether records were dropped before the node read them.
    missed_records: bool,
}

struct World {
    now: Duration,
    records: Vec<(Duration, Vec<u8>)>,
    dropped_records: u64,
    delayed_appends: Vec<Vec<u8>>,
    nodes: Vec<Node>,
    next_id: NodeId,
    wanted_instances: usize,
    /// All instances ever started, by client token.
    instances_by_token: BTreeMap<String, u64>,
    live_instances: Vec<u64>,
    pending_starts: Vec<String>,
    holders_by_token: BTreeMap<Offset, NodeId>,
    reference: LeaseLog,
}

impl World {
    fn new() -> World {
        let mut world = World {
            now: Duration::ZERO,
            records: Vec::new(),
            dropped_records: 0,
            delayed_appends: Vec::new(),
            nodes: Vec::new(),
            next_id: 1,
            wanted_instances: 2,
            instances_by_token: BTreeMap::new(),
            live_instances: Vec::new(),
            pending_starts: Vec::new(),
            holders_by_token: BTreeMap::new(),
            reference: LeaseLog::new(),
        };
        for index in 0..NODES {
            let node = world.node(index);
            world.nodes.push(node);
        }
        world
    }

    fn node(&mut self, index: usize) -> Node {
        let id = self.next_id;
        self.next_id += 1;
        let holder = Holder::new(SCOPE.to_owned(), id, LEASE_DURATION);
        Node {
            id,
            holder,
            log: LeaseLog::new(),
            rate_percent: 97 + 3 * index as u32,
            next_nonce: id << 32,
            missed_records: false,
        }
    }

    fn monotonic_time(&self, node: usize) -> Duration {
        self.now * self.nodes[node].rate_percent / 100
    }

    fn append(&mut self, data: Vec<u8>) {
        let offset = self.records.len() as u64 + 1;
        self.reference.apply(offset, LOG_EPOCH + self.now, &data);
        self.records.push((LOG_EPOCH + self.now, data));
    }

    fn read(&mut self, index: usize, coverage: &mut Coverage) {
        let node = &mut self.nodes[index];
        node.missed_records |= node.log.next_offset() <= self.dropped_records;
        node.log.skip_to(self.dropped_records + 1);
        for offset in node.log.next_offset()..=self.records.len() as u64 {
            let (time, data) = &self.records[offset as usize - 1];
            node.log.apply(offset, *time, data);
        }
        node.holder.read_back(&node.log);
        // What a reader knows is the same as for a reader of every record.
        let known = node.log.current(SCOPE);
        assert!(known.is_none() || known == self.reference.current(SCOPE), "readers differ");
        let slots = node.log.slots(SCOPE);
        coverage.learned += u64::from(node.missed_records && slots.is_some());
        assert!(slots.is_none() || slots == self.reference.slots(SCOPE), "slots differ");
    }

    fn act(&mut self, index: usize, scenario: AppendScenario, coverage: &mut Coverage) {
        self.read(index, coverage);
        let now = self.monotonic_time(index);
        let held = self.nodes[index].holder.held(now);
        let slots = held.and_then(|_| self.slots(index));
        if let Some(held) = held {
            let holder = self.nodes[index].id;
            assert_eq!(*self.holders_by_token.entry(held.fencing_token).or_insert(holder), holder);
            coverage.held += 1;
            self.queue_starts(index);
        }
        let log_time = LOG_EPOCH + self.now;
        let node = &mut self.nodes[index];
        let is_free = node.log.free_from(SCOPE) <= log_time;
        if (held.is_some() && node.holder.needs_renewal(now)) || (held.is_none() && is_free) {
            node.next_nonce += 1;
            let nonce = node.next_nonce;
            let record = node.holder.request(now, nonce, slots);
            match scenario {
                AppendScenario::Immediate => self.append(record),
                AppendScenario::Delayed => self.delayed_appends.push(record),
                AppendScenario::Lost => {}
            }
        }
    }

    /// New slots of the holder: without those whose instance is listed, with new ones for missing
    /// instances.
    fn slots(&self, index: usize) -> Option<slots::SlotRecord> {
        let mut slot_record = self.nodes[index].log.slots(SCOPE)?;
        // The instance list shows each instance as soon as it is started.
        let is_started =
            |number: u64| self.instances_by_token.contains_key(&slots::client_token(SCOPE, number));
        slot_record.slots.retain(|slot| !is_started(slot.number));
        let missing = self
            .wanted_instances
            .saturating_sub(self.live_instances.len() + slot_record.slots.len());
        slot_record.slots.extend((0..missing).map(|_| log::CapacitySlot::default()));
        Some(slot_record)
    }

    /// The holder sends starts for open slots, which may reach the cloud at any later time.
    fn queue_starts(&mut self, index: usize) {
        let Some(slot_record) = self.nodes[index].log.slots(SCOPE) else { return };
        let missing = self.wanted_instances.saturating_sub(self.live_instances.len());
        let tokens = slot_record.slots.iter().map(|slot| slots::client_token(SCOPE, slot.number));
        self.pending_starts.extend(tokens.take(missing));
    }

    fn start(&mut self, selector: usize, coverage: &mut Coverage) {
        if self.pending_starts.is_empty() {
            return;
        }
        let index = selector % self.pending_starts.len();
        let token = self.pending_starts.swap_remove(index);
        if self.instances_by_token.contains_key(&token) {
            coverage.repeated += 1;
            return;
        }
        let instance = self.instances_by_token.len() as u64 + 1;
        self.instances_by_token.insert(token, instance);
        self.live_instances.push(instance);
        coverage.bought += 1;
    }

    fn apply(&mut self, event: Event, coverage: &mut Coverage) {
        match event {
            Event::Elapse { steps } => self.now += Duration::from_millis(u64::from(steps) * 40),
            Event::Act { node, random } => {
                self.act(node as usize % NODES, AppendScenario::of(random), coverage)
            }
            Event::Deliver { selector } if !self.delayed_appends.is_empty() => {
                let index = selector as usize % self.delayed_appends.len();
                let record = self.delayed_appends.swap_remove(index);
                self.append(record);
            }
            Event::Start { selector, is_refused: false } => self.start(selector as usize, coverage),
            Event::Restart { node, random } if random % 16 == 0 => {
                let index = node as usize % NODES;
                self.nodes[index] = self.node(index);
            }
            Event::Truncate { records, random } if random % 8 == 0 => {
                // Only 1 of 16 truncations may drop the newest 8 records, which nodes may not have read.
                let undroppable = if random < 16 { 0 } else { 8 };
                let droppable =
                    (self.records.len() as u64 - self.dropped_records).saturating_sub(undroppable);
                self.dropped_records += u64::from(records % 8).min(droppable);
            }
            Event::Reclaim { selector, random }
                if random % 8 == 0 && !self.live_instances.is_empty() =>
            {
                let index = selector as usize % self.live_instances.len();
                self.live_instances.swap_remove(index);
            }
            Event::Demand { instances, random } if random % 8 == 0 => {
                self.wanted_instances = self.wanted_instances.max(usize::from(instances % 5));
            }
            _ => {}
        }
    }

    fn check(&mut self) {
        let holders: Vec<NodeId> = (0..NODES)
            .filter(|&index| self.nodes[index].holder.held(self.monotonic_time(index)).is_some())
            .map(|index| self.nodes[index].id)
            .collect();
        assert!(holders.len() <= 1, "{holders:?} hold the lease at the same time");
        assert!(
            self.live_instances.len() <= self.wanted_instances,
            "{} instances live, {} wanted",
            self.live_instances.len(),
            self.wanted_instances
        );
    }
}

#[derive(Debug, Default)]
struct Coverage {
    held: u64,
    bought: u64,
    repeated: u64,
    learned: u64,
    holders: u64,
}

#[test]
fn one_holder_starts_each_slot_once() {
    let mut coverage = Coverage::default();
    seeds::for_each_seed(SEEDS, |source| {
        let mut world = World::new();
        for _ in 0..EVENTS {
            world.apply(Event::generate(source).unwrap(), &mut coverage);
            world.check();
        }
        coverage.holders += world.holders_by_token.len() as u64;
    });
    println!("{coverage:?}");
    if std::env::var_os("RHUBARBROCK_SEED").is_none() {
        let counts = [coverage.held, coverage.bought, coverage.repeated, coverage.learned];
        assert!(
            counts.iter().all(|&count| count > 500),
            "the runs do not cover all cases: {coverage:?}"
        );
        assert!(coverage.holders > SEEDS, "the lease changes its holder too rarely: {coverage:?}");
    }
}

#[test]
fn survives_malformed_records() {
    seeds::for_each_seed(2_000, |source| {
        let mut log = LeaseLog::new();
        let mut holder = Holder::new(SCOPE.to_owned(), 7, LEASE_DURATION);
        let mut offset = 0;
        for _ in 0..8 {
            offset += 1 + u64::from(u8::generate(source).unwrap() / 250);
            let mut data = holder.request(Duration::ZERO, u64::generate(source).unwrap(), None);
            for _ in 0..u8::generate(source).unwrap() % 4 {
                let at = u8::generate(source).unwrap() as usize % data.len();
                data[at] = u8::generate(source).unwrap();
            }
            let time = Duration::from_millis(u64::from(u16::generate(source).unwrap()));
            assert_ne!(log.apply(offset, time, &data), Applied::AlreadyRead);
            holder.read_back(&log);
        }
    });
}
