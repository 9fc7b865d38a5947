//! Instances of the platform: the lagging list, notices, prices and starts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, bail};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Number of an instance.
pub type InstanceId = u64;

/// Changes within this time share one copy of the list.
const SNAPSHOT_INTERVAL_MS: u64 = 20;
/// Copies of the list older than this are dropped, save the newest of them.
const SNAPSHOT_RETENTION_MS: u64 = 120_000;

/// State of an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Not ready, or a spare that a cloud start can make live.
    Starting,
    /// In service.
    #[default]
    Live,
    /// Under notice.
    Leaving,
    /// Ended.
    Gone,
}

/// One instance as the list shows it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Instance {
    /// Its number.
    pub id: InstanceId,
    /// `entry`, `endpoint` or `desk`.
    pub kind: String,
    /// Where it runs.
    pub data_centre: String,
    /// Machine class.
    pub class: String,
    /// `reclaimable` or `on_demand`.
    pub market: String,
    /// Its state.
    pub state: InstanceState,
    /// Service that it was started for; empty for entry instances.
    pub service: String,
    /// IP:port on which it serves.
    pub address: String,
    /// IP:port for peers; entry instances only.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub peer_address: String,
    /// End of its notice, in milliseconds since the Unix epoch; 0 unless leaving.
    pub leave_at_ms: u64,
}

impl FromStr for Instance {
    type Err = anyhow::Error;

    /// Reads `KIND=ID=DATA_CENTRE=ADDRESS[=PEER_ADDRESS]`.
    fn from_str(text: &str) -> anyhow::Result<Instance> {
        let parts: Vec<&str> = text.split('=').collect();
        let (&[kind, id, data_centre, address], peer) = (match &parts[..] {
            [first @ .., peer] if parts.len() == 5 => (first, *peer),
            all => (all, ""),
        }) else {
            bail!("{text}: expected KIND=ID=DATA_CENTRE=ADDRESS[=PEER_ADDRESS]");
        };
        Ok(Instance {
            id: id.parse().with_context(|| format!("{text}: ID is no number"))?,
            kind: kind.to_owned(),
            data_centre: data_centre.to_owned(),
            address: address.to_owned(),
            peer_address: peer.to_owned(),
            class: "general".to_owned(),
            market: "reclaimable".to_owned(),
            ..Instance::default()
        })
    }
}

/// Copy of the list at one time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// When it was taken, in milliseconds since the Unix epoch.
    pub taken_at_ms: u64,
    /// Instances by number.
    pub instances: Vec<Instance>,
}

/// Notice that an instance will be reclaimed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Position among notices; the first is 1.
    pub sequence: u64,
    /// The instance.
    pub instance: InstanceId,
    /// Where it runs.
    pub data_centre: String,
    /// End of the notice, in milliseconds since the Unix epoch.
    pub leave_at_ms: u64,
}

/// Price of a machine class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Price {
    /// Where.
    pub data_centre: String,
    /// Machine class.
    pub class: String,
    /// `reclaimable` or `on_demand`.
    pub market: String,
    /// Price of one instance for an hour.
    pub price_per_hour: f64,
}

/// Which instances a reclaim takes.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Reclaim {
    /// Only in this data centre.
    pub data_centre: Option<String>,
    /// Only this instance.
    pub instance: Option<InstanceId>,
    /// Only this kind.
    pub kind: Option<String>,
    /// Time from notice to end, in milliseconds.
    pub notice_ms: u64,
    /// Only those of the reclaimable market.
    pub reclaimable_only: bool,
}

impl Reclaim {
    fn selects(&self, instance: &Instance) -> bool {
        let is_up = matches!(instance.state, InstanceState::Live | InstanceState::Starting);
        let is_reclaimable = instance.market != "on_demand" || !self.reclaimable_only;
        is_up
            && is_reclaimable
            && self.data_centre.as_ref().is_none_or(|d| *d == instance.data_centre)
            && self.instance.is_none_or(|id| id == instance.id)
            && self.kind.as_ref().is_none_or(|k| *k == instance.kind)
    }
}

/// Order to start an instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Start {
    /// The same token starts one instance, however often it comes.
    pub client_token: String,
    /// Where.
    pub data_centre: String,
    /// Machine class.
    pub class: String,
    /// `reclaimable` or `on_demand`.
    pub market: String,
    /// Service that it is for.
    #[serde(default)]
    pub service: String,
}

/// Start was refused: no capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("no capacity")]
pub struct NoCapacity;

/// All instances.
#[derive(Debug)]
pub struct Fleet {
    instances: BTreeMap<InstanceId, Instance>,
    snapshots: VecDeque<Arc<InstanceList>>,
    notices: Vec<Notice>,
    started: BTreeMap<String, InstanceId>,
    taken: BTreeSet<InstanceId>,
    ready_at_ms: BTreeMap<InstanceId, u64>,
    random: ChaCha8Rng,
}

impl Fleet {
    /// A fleet that refuses starts by `seed`.
    pub fn new(seed: u64) -> Fleet {
        Fleet {
            instances: BTreeMap::new(),
            snapshots: VecDeque::new(),
            notices: Vec::new(),
            started: BTreeMap::new(),
            taken: BTreeSet::new(),
            ready_at_ms: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes in what an instance says of itself. A notice or end that the instance has not
    /// heard of stands.
    pub fn register(&mut self, instance: Instance, now_ms: u64) {
        let known = self.instances.get(&instance.id);
        let is_under_notice = known.is_some_and(|i| i.state == InstanceState::Leaving);
        if is_under_notice && instance.state != InstanceState::Gone {
            return;
        }
        self.instances.insert(instance.id, instance);
        self.take_snapshot(now_ms);
    }

    /// Ends notices and starts that are due.
    pub fn advance(&mut self, now_ms: u64) {
        let mut changed = false;
        for instance in self.instances.values_mut() {
            if instance.state == InstanceState::Leaving && instance.leave_at_ms <= now_ms {
                instance.state = InstanceState::Gone;
                instance.leave_at_ms = 0;
                changed = true;
            }
        }
        while let Some((&id, _)) = self.ready_at_ms.iter().find(|(_, at)| **at <= now_ms) {
            self.ready_at_ms.remove(&id);
            let Some(instance) = self.instances.get_mut(&id) else { continue };
            if instance.state == InstanceState::Starting {
                instance.state = InstanceState::Live;
                changed = true;
            }
        }
        if changed {
            self.take_snapshot(now_ms);
        }
    }

    /// The newest copy of the list that is at least `lag_ms` old; empty before the first.
    pub fn list(&self, now_ms: u64, lag_ms: u64) -> Arc<InstanceList> {
        let latest = now_ms.saturating_sub(lag_ms);
        let snapshot = self.snapshots.iter().rev().find(|s| s.taken_at_ms <= latest);
        let empty = || Arc::new(InstanceList { taken_at_ms: latest, instances: Vec::new() });
        snapshot.cloned().unwrap_or_else(empty)
    }

    /// Gives notice to the instances that `reclaim` takes; returns their numbers.
    pub fn reclaim(&mut self, reclaim: &Reclaim, now_ms: u64) -> Vec<InstanceId> {
        let mut taken = Vec::new();
        let leave_at_ms = now_ms + reclaim.notice_ms;
        for instance in self.instances.values_mut().filter(|i| reclaim.selects(i)) {
            instance.state = InstanceState::Leaving;
            instance.leave_at_ms = leave_at_ms;
            let notice = Notice {
                sequence: self.notices.len() as u64 + 1,
                instance: instance.id,
                data_centre: instance.data_centre.clone(),
                leave_at_ms,
            };
            self.notices.push(notice);
            taken.push(instance.id);
        }
        if !taken.is_empty() {
            self.take_snapshot(now_ms);
        }
        taken
    }

    /// Notices after the sequence `after`, without lag.
    pub fn notices(&self, after: u64) -> &[Notice] {
        let known = (after as usize).min(self.notices.len());
        &self.notices[known..]
    }

    /// Starts an instance that lives `delay_ms` later, or refuses by chance or for want of a
    /// spare.
    pub fn start(
        &mut self,
        start: &Start,
        refuse_percent: u32,
        delay_ms: u64,
        now_ms: u64,
    ) -> Result<InstanceId, NoCapacity> {
        if let Some(&id) = self.started.get(&start.client_token) {
            return Ok(id);
        }
        if self.random.random_range(0..100) < refuse_percent {
            return Err(NoCapacity);
        }
        let is_spare = |i: &&Instance| {
            i.state == InstanceState::Starting
                && i.data_centre == start.data_centre
                && i.class == start.class
                && i.market == start.market
                && i.service == start.service
                && !self.taken.contains(&i.id)
        };
        let id = self.instances.values().find(is_spare).map(|i| i.id).ok_or(NoCapacity)?;
        self.taken.insert(id);
        self.started.insert(start.client_token.clone(), id);
        self.ready_at_ms.insert(id, now_ms + delay_ms);
        Ok(id)
    }

    /// Prices of the classes that are known, the same for the same names.
    pub fn prices(&self) -> Vec<Price> {
        let key = |i: &Instance| (i.data_centre.clone(), i.class.clone());
        let places: BTreeSet<(String, String)> = self.instances.values().map(key).collect();
        let mut prices = Vec::new();
        for (data_centre, class) in places {
            let hash = xxh3::xxh3_64(format!("{data_centre}/{class}").as_bytes());
            let on_demand = 1.0 + (hash % 100) as f64 / 100.0;
            let discount = 0.30 + (hash / 100 % 16) as f64 / 100.0;
            for (market, price) in [("reclaimable", on_demand * discount), ("on_demand", on_demand)]
            {
                prices.push(Price {
                    data_centre: data_centre.clone(),
                    class: class.clone(),
                    market: market.to_owned(),
                    price_per_hour: (price * 1_000.0).round() / 1_000.0,
                });
            }
        }
        prices
    }

    fn take_snapshot(&mut self, now_ms: u64) {
        let instances = self.instances.values().cloned().collect();
        let list = Arc::new(InstanceList { taken_at_ms: now_ms, instances });
        let has_near = |snapshots: &VecDeque<Arc<InstanceList>>| {
            let newest =
                snapshots.back().zip(snapshots.len().checked_sub(2).and_then(|i| snapshots.get(i)));
            newest.is_some_and(|(_, before)| now_ms < before.taken_at_ms + SNAPSHOT_INTERVAL_MS)
        };
        if has_near(&self.snapshots) {
            self.snapshots.pop_back();
        }
        self.snapshots.push_back(list);
        let old = Duration::from_millis(SNAPSHOT_RETENTION_MS).as_millis() as u64;
        while self.snapshots.get(1).is_some_and(|s| s.taken_at_ms + old < now_ms) {
            self.snapshots.pop_front();
        }
    }
}
