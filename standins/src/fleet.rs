//! Instances of the platform: the instance list, which lags behind, reclaim notices, prices and
//! starts.

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

/// Changes within this interval share one snapshot of the list, in milliseconds.
const SNAPSHOT_INTERVAL_MS: u64 = 20;
/// Age beyond which snapshots are dropped, except the newest of them, in milliseconds.
const SNAPSHOT_RETENTION_MS: u64 = 120_000;

/// State of an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Not ready yet, or a spare instance that a start makes live.
    Starting,
    /// In service.
    #[default]
    Live,
    /// Notice was given that it will be reclaimed.
    Leaving,
    /// Reclaimed, or ended by itself.
    Gone,
}

/// Instance as the list shows it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Instance {
    /// Number of the instance.
    pub id: InstanceId,
    /// `entry`, `endpoint` or `desk`.
    pub kind: String,
    /// Data centre that it runs in.
    pub data_centre: String,
    /// Machine class.
    pub class: String,
    /// `reclaimable` or `on_demand`.
    pub market: String,
    /// Present state.
    pub state: InstanceState,
    /// Service that it runs; empty for entry instances.
    pub service: String,
    /// IP:port on which it serves.
    pub address: String,
    /// IP:port for calls from other entry instances; empty for other kinds.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub peer_address: String,
    /// When it will be reclaimed, in milliseconds since the Unix epoch; 0 unless leaving.
    pub leave_at_ms: u64,
}

impl FromStr for Instance {
    type Err = anyhow::Error;

    /// Parses `KIND=ID=DATA_CENTRE=ADDRESS[=PEER_ADDRESS]`.
    fn from_str(text: &str) -> anyhow::Result<Instance> {
        let parts: Vec<&str> = text.split('=').collect();
        let (&[kind, id, data_centre, address], peer) = (match &parts[..] {
            [first @ .., peer] if parts.len() == 5 => (first, *peer),
            all => (all, ""),
        }) else {
            bail!("{text}: expected KIND=ID=DATA_CENTRE=ADDRESS[=PEER_ADDRESS]");
        };
        Ok(Instance {
            id: id.parse().with_context(|| format!("{text}: ID is not an unsigned integer"))?,
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

/// Snapshot of the instance list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// When the snapshot was taken, in milliseconds since the Unix epoch.
    pub taken_at_ms: u64,
    /// Instances, ordered by number.
    pub instances: Vec<Instance>,
}

/// Notice that an instance will be reclaimed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Position among all notices, from 1.
    pub sequence: u64,
    /// Number of the instance.
    pub instance: InstanceId,
    /// Data centre that it runs in.
    pub data_centre: String,
    /// When the instance will be reclaimed, in milliseconds since the Unix epoch.
    pub leave_at_ms: u64,
}

/// Price of a machine class in one data centre and market.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Price {
    /// Data centre.
    pub data_centre: String,
    /// Machine class.
    pub class: String,
    /// `reclaimable` or `on_demand`.
    pub market: String,
    /// Price of one instance per hour.
    pub price_per_hour: f64,
}

/// Reclaims the live and starting instances that pass all filters; a filter that is absent
/// passes all.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Reclaim {
    /// Only instances in this data centre.
    pub data_centre: Option<String>,
    /// Only this instance.
    pub instance: Option<InstanceId>,
    /// Only instances of this kind.
    pub kind: Option<String>,
    /// Time from the notice until the instance is gone, in milliseconds.
    pub notice_ms: u64,
    /// Only instances of the reclaimable market.
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

/// Order to start an instance of a data centre, class, market and service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Start {
    /// Idempotency key: all orders with the same token start one instance.
    pub client_token: String,
    /// Data centre.
    pub data_centre: String,
    /// Machine class.
    pub class: String,
    /// `reclaimable` or `on_demand`.
    pub market: String,
    /// Service that the instance is to run.
    #[serde(default)]
    pub service: String,
}

/// A start was refused by chance or because no spare instance matches it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("no capacity")]
pub struct NoCapacity;

/// All instances of the platform, with their notices and pending starts.
#[derive(Debug)]
pub struct Fleet {
    instances: BTreeMap<InstanceId, Instance>,
    snapshots: VecDeque<Arc<InstanceList>>,
    notices: Vec<Notice>,
    id_by_token: BTreeMap<String, InstanceId>,
    ordered_spares: BTreeSet<InstanceId>,
    ready_at_ms: BTreeMap<InstanceId, u64>,
    random: ChaCha8Rng,
}

impl Fleet {
    /// An empty fleet; `seed` decides which starts are refused by chance.
    pub fn new(seed: u64) -> Fleet {
        Fleet {
            instances: BTreeMap::new(),
            snapshots: VecDeque::new(),
            notices: Vec::new(),
            id_by_token: BTreeMap::new(),
            ordered_spares: BTreeSet::new(),
            ready_at_ms: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Adds an instance, or replaces what is known of it. An instance that is leaving can only
    /// become gone, as it may not have received its notice yet.
    pub fn register(&mut self, instance: Instance, now_ms: u64) {
        let existing = self.instances.get(&instance.id);
        let is_under_notice = existing.is_some_and(|i| i.state == InstanceState::Leaving);
        if is_under_notice && instance.state != InstanceState::Gone {
            return;
        }
        self.instances.insert(instance.id, instance);
        self.take_snapshot(now_ms);
    }

    /// Ends leaving instances and makes starting instances live when they are due.
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

    /// The newest snapshot of the list that is at least `lag_ms` old; an empty list if there is
    /// none.
    pub fn list(&self, now_ms: u64, lag_ms: u64) -> Arc<InstanceList> {
        let latest = now_ms.saturating_sub(lag_ms);
        let snapshot = self.snapshots.iter().rev().find(|s| s.taken_at_ms <= latest);
        let empty = || Arc::new(InstanceList { taken_at_ms: latest, instances: Vec::new() });
        snapshot.cloned().unwrap_or_else(empty)
    }

    /// Gives notice to the instances that `reclaim` selects; returns their numbers.
    pub fn reclaim(&mut self, reclaim: &Reclaim, now_ms: u64) -> Vec<InstanceId> {
        let mut reclaimed = Vec::new();
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
            reclaimed.push(instance.id);
        }
        if !reclaimed.is_empty() {
            self.take_snapshot(now_ms);
        }
        reclaimed
    }

    /// Notices with a sequence above `after`. They do not lag as the list does.
    pub fn notices(&self, after: u64) -> &[Notice] {
        let skipped = (after as usize).min(self.notices.len());
        &self.notices[skipped..]
    }

    /// Orders a spare instance to become live `delay_ms` later and returns its number. Refuses
    /// `refuse_percent` of the orders by chance, and those that no spare instance matches. An
    /// order with the token of an earlier one returns its instance.
    pub fn start(
        &mut self,
        start: &Start,
        refuse_percent: u32,
        delay_ms: u64,
        now_ms: u64,
    ) -> Result<InstanceId, NoCapacity> {
        if let Some(&id) = self.id_by_token.get(&start.client_token) {
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
                && !self.ordered_spares.contains(&i.id)
        };
        let id = self.instances.values().find(is_spare).map(|i| i.id).ok_or(NoCapacity)?;
        self.ordered_spares.insert(id);
        self.id_by_token.insert(start.client_token.clone(), id);
        self.ready_at_ms.insert(id, now_ms + delay_ms);
        Ok(id)
    }

    /// Prices of the machine classes of all known instances. They are derived from the names of
    /// data centre and class, so that they are the same in each run.
    pub fn prices(&self) -> Vec<Price> {
        let key = |i: &Instance| (i.data_centre.clone(), i.class.clone());
        let machine_classes: BTreeSet<(String, String)> =
            self.instances.values().map(key).collect();
        let mut prices = Vec::new();
        for (data_centre, class) in machine_classes {
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
        let retention_ms = Duration::from_millis(SNAPSHOT_RETENTION_MS).as_millis() as u64;
        while self.snapshots.get(1).is_some_and(|s| s.taken_at_ms + retention_ms < now_ms) {
            self.snapshots.pop_front();
        }
    }
}
