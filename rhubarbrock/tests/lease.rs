//! Leases and purchases under paused holders, lost and late appends, and retention.
//!
//! Nodes with clocks of their own want one scope and, as its holder, keep a
//! number of instances. Each action is checked once and may then be carried out
//! much later, as if the process was paused in between.

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
const DURATION: Duration = Duration::from_secs(20);
const EPOCH: Duration = Duration::from_secs(1_000_000);

#[derive(Debug, Clone, TypeGenerator)]
enum Event {
    /// Time passes.
    Pass { tenths: u8 },
    /// A node reads the log and asks, prolongs or buys.
    Act { node: u8, dice: u8 },
    /// An append on its way takes effect.
    Deliver { which: u8 },
    /// A start that a node decided on reaches the cloud.
    Start { which: u8, is_refused: bool },
    /// A node loses all that it knew.
    Restart { node: u8, dice: u8 },
    /// The log drops old records.
    Cut { records: u8, dice: u8 },
    /// An instance is reclaimed.
    Reclaim { which: u8, dice: u8 },
    /// More or fewer instances are wanted.
    Want { instances: u8, dice: u8 },
}

/// What becomes of an append.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Taken,
    OnItsWay,
    Lost,
}

impl Fate {
    fn of(dice: u8) -> Fate {
        match dice {
            0..192 => Fate::Taken,
            192..232 => Fate::OnItsWay,
            _ => Fate::Lost,
        }
    }
}

struct Node {
    id: NodeId,
    holder: Holder,
    log: LeaseLog,
    /// Rate of the node's clock in percent of the log's.
    rate: u32,
    next_nonce: u64,
    /// Whether records were gone before the node read them.
    is_late: bool,
}

struct World {
    now: Duration,
    records: Vec<(Duration, Vec<u8>)>,
    dropped: u64,
    on_its_way: Vec<Vec<u8>>,
    nodes: Vec<Node>,
    next_id: NodeId,
    wanted: usize,
    /// Instances ever bought, by token.
    bought: BTreeMap<String, u64>,
    live: Vec<u64>,
    starts: Vec<String>,
    fencing_tokens: BTreeMap<Offset, NodeId>,
    reference: LeaseLog,
}

impl World {
    fn new() -> World {
        let mut world = World {
            now: Duration::ZERO,
            records: Vec::new(),
            dropped: 0,
            on_its_way: Vec::new(),
            nodes: Vec::new(),
            next_id: 1,
            wanted: 2,
            bought: BTreeMap::new(),
            live: Vec::new(),
            starts: Vec::new(),
            fencing_tokens: BTreeMap::new(),
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
        let holder = Holder::new(SCOPE.to_owned(), id, DURATION);
        Node {
            id,
            holder,
            log: LeaseLog::new(),
            rate: 97 + 3 * index as u32,
            next_nonce: id << 32,
            is_late: false,
        }
    }

    fn clock(&self, node: usize) -> Duration {
        self.now * self.nodes[node].rate / 100
    }

    fn append(&mut self, data: Vec<u8>) {
        let offset = self.records.len() as u64 + 1;
        self.reference.apply(offset, EPOCH + self.now, &data);
        self.records.push((EPOCH + self.now, data));
    }

    fn read(&mut self, index: usize, seen: &mut Coverage) {
        let node = &mut self.nodes[index];
        node.is_late |= node.log.next_offset() <= self.dropped;
        node.log.skip_to(self.dropped + 1);
        for offset in node.log.next_offset()..=self.records.len() as u64 {
            let (time, data) = &self.records[offset as usize - 1];
            node.log.apply(offset, *time, data);
        }
        node.holder.read_back(&node.log);
        // A reader that is sure knows what one that read all knows.
        let sure = node.log.current(SCOPE);
        assert!(sure.is_none() || sure == self.reference.current(SCOPE), "readers differ");
        let slots = node.log.slots(SCOPE);
        seen.learned += u64::from(node.is_late && slots.is_some());
        assert!(slots.is_none() || slots == self.reference.slots(SCOPE), "slots differ");
    }

    fn act(&mut self, index: usize, fate: Fate, seen: &mut Coverage) {
        self.read(index, seen);
        let now = self.clock(index);
        let held = self.nodes[index].holder.held(now);
        let slots = held.and_then(|_| self.slots(index));
        if let Some(held) = held {
            let holder = self.nodes[index].id;
            assert_eq!(*self.fencing_tokens.entry(held.fencing_token).or_insert(holder), holder);
            seen.held += 1;
            self.decide_starts(index);
        }
        let wall = EPOCH + self.now;
        let node = &mut self.nodes[index];
        let is_free = node.log.free_from(SCOPE) <= wall;
        if (held.is_some() && node.holder.needs_renewal(now)) || (held.is_none() && is_free) {
            node.next_nonce += 1;
            let nonce = node.next_nonce;
            let record = node.holder.request(now, nonce, slots);
            match fate {
                Fate::Taken => self.append(record),
                Fate::OnItsWay => self.on_its_way.push(record),
                Fate::Lost => {}
            }
        }
    }

    /// Slots that the holder keeps: what the list accounts for goes, what is missing is opened.
    fn slots(&self, index: usize) -> Option<slots::SlotRecord> {
        let mut written = self.nodes[index].log.slots(SCOPE)?;
        // The list has each instance as soon as it is bought.
        let is_bought = |number: u64| self.bought.contains_key(&slots::client_token(SCOPE, number));
        written.slots.retain(|slot| !is_bought(slot.number));
        let missing = self.wanted.saturating_sub(self.live.len() + written.slots.len());
        written.slots.extend((0..missing).map(|_| log::CapacitySlot::default()));
        Some(written)
    }

    /// The holder sends a start for each open slot; it may arrive whenever.
    fn decide_starts(&mut self, index: usize) {
        let Some(written) = self.nodes[index].log.slots(SCOPE) else { return };
        let missing = self.wanted.saturating_sub(self.live.len());
        let tokens = written.slots.iter().map(|slot| slots::client_token(SCOPE, slot.number));
        self.starts.extend(tokens.take(missing));
    }

    fn start(&mut self, which: usize, seen: &mut Coverage) {
        if self.starts.is_empty() {
            return;
        }
        let index = which % self.starts.len();
        let token = self.starts.swap_remove(index);
        if self.bought.contains_key(&token) {
            seen.repeated += 1;
            return;
        }
        let instance = self.bought.len() as u64 + 1;
        self.bought.insert(token, instance);
        self.live.push(instance);
        seen.bought += 1;
    }

    fn apply(&mut self, event: Event, seen: &mut Coverage) {
        match event {
            Event::Pass { tenths } => self.now += Duration::from_millis(u64::from(tenths) * 40),
            Event::Act { node, dice } => self.act(node as usize % NODES, Fate::of(dice), seen),
            Event::Deliver { which } if !self.on_its_way.is_empty() => {
                let index = which as usize % self.on_its_way.len();
                let record = self.on_its_way.swap_remove(index);
                self.append(record);
            }
            Event::Start { which, is_refused: false } => self.start(which as usize, seen),
            Event::Restart { node, dice } if dice % 16 == 0 => {
                let index = node as usize % NODES;
                self.nodes[index] = self.node(index);
            }
            Event::Cut { records, dice } if dice % 8 == 0 => {
                // Seldom are records dropped that a node has not read yet.
                let kept = if dice < 16 { 0 } else { 8 };
                let left = (self.records.len() as u64 - self.dropped).saturating_sub(kept);
                self.dropped += u64::from(records % 8).min(left);
            }
            Event::Reclaim { which, dice } if dice % 8 == 0 && !self.live.is_empty() => {
                let index = which as usize % self.live.len();
                self.live.swap_remove(index);
            }
            Event::Want { instances, dice } if dice % 8 == 0 => {
                self.wanted = self.wanted.max(usize::from(instances % 5));
            }
            _ => {}
        }
    }

    fn check(&mut self) {
        let holders: Vec<NodeId> = (0..NODES)
            .filter(|&index| self.nodes[index].holder.held(self.clock(index)).is_some())
            .map(|index| self.nodes[index].id)
            .collect();
        assert!(holders.len() <= 1, "{holders:?} hold the lease at once");
        assert!(self.live.len() <= self.wanted, "{} of {}", self.live.len(), self.wanted);
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
fn one_holder_buys_each_slot_once() {
    let mut seen = Coverage::default();
    seeds::for_each_seed(SEEDS, |source| {
        let mut world = World::new();
        for _ in 0..EVENTS {
            world.apply(Event::generate(source).unwrap(), &mut seen);
            world.check();
        }
        seen.holders += world.fencing_tokens.len() as u64;
    });
    println!("{seen:?}");
    if std::env::var_os("RHUBARBROCK_SEED").is_none() {
        let counts = [seen.held, seen.bought, seen.repeated, seen.learned];
        assert!(counts.iter().all(|&count| count > 500), "the runs miss a case: {seen:?}");
        assert!(seen.holders > SEEDS, "the lease hardly moves: {seen:?}");
    }
}

#[test]
fn any_record_is_survived() {
    seeds::for_each_seed(2_000, |source| {
        let mut log = LeaseLog::new();
        let mut holder = Holder::new(SCOPE.to_owned(), 7, DURATION);
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
