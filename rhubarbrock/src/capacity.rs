//! How many replicas each service runs, where, and on which terms.
//!
//! The holder of the lease on `capacity` plans every few seconds. A service is
//! sized in slots for the work that is forecast, so that the latency target of
//! its release note is kept; reclaimable replicas are spread so that what is
//! left after the loss of a data centre's still does most of the work. Cheap
//! places are filled first, idle replicas of other services are moved before
//! any is bought, and surplus is given back late and the dearest first.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rhubarbrock_schema::release as schema;

use crate::back_off::BackOff;
use crate::endpoint::Market;
use crate::forecast::Forecast;
use crate::id::InstanceId;
use crate::sizing;

/// Scope of the lease that the deciding node holds.
pub const LEASE_SCOPE: &str = "capacity";

/// How long a surplus lasts before a replica is given back.
const SURPLUS_TIME: Duration = Duration::from_secs(60);

/// Time between two exchanges of a dear replica for a cheap one, for one service.
const SWAP_INTERVAL: Duration = Duration::from_secs(60);

/// A replica is exchanged if it costs more than this many times the cheapest place.
const SWAP_RATIO: f64 = 1.25;

/// Slots left after the loss of a data centre's reclaimable replicas, in percent of the busy
/// ones, where latency goes first.
const KEPT_FOR_LATENCY_PERCENT: f64 = 100.0;

/// As above, where cost goes first.
const KEPT_FOR_COST_PERCENT: f64 = 80.0;

/// How much dearer a replica counts that has all slots of a service: few large ones fit the need
/// worse, and each reclaim takes more.
const LUMP_PENALTY: f64 = 0.5;

/// Leaving replicas of a data centre from which on a wave is thought to take the rest.
const WAVE_REPLICAS: usize = 2;

/// Where and on which terms an instance runs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CapacityPool {
    /// Data centre.
    pub data_centre: String,
    /// Machine class.
    pub class: String,
    /// Terms.
    pub market: Market,
}

/// State of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaState {
    /// Bought, not ready yet; or a slot that is being bought.
    Starting,
    /// At work.
    Live,
    /// Was given notice.
    Leaving,
}

/// One replica.
#[derive(Debug, Clone, PartialEq)]
pub struct Replica {
    /// Its instance.
    pub instance: InstanceId,
    /// Service that it works for.
    pub service: String,
    /// Where it runs.
    pub pool: CapacityPool,
    /// Its state.
    pub state: ReplicaState,
}

/// Work of one service, as measured over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceLoad {
    /// Mean number of slots that requests take.
    pub busy_slots: f64,
    /// How long one request takes its slot.
    pub holding_time: Duration,
}

/// All that a plan follows from.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'v> {
    /// Monotonic time.
    pub now: Duration,
    /// Policy in force.
    pub policy: &'v schema::Policy,
    /// Services in force.
    pub services: &'v [schema::Service],
    /// Work by service.
    pub loads: &'v BTreeMap<String, ServiceLoad>,
    /// Slots of one replica by machine class.
    pub slots: &'v BTreeMap<String, u32>,
    /// Prices per hour by place; a place without a price is not used.
    pub prices: &'v BTreeMap<CapacityPool, f64>,
    /// Replicas of all services, bought ones that the list lacks included.
    pub replicas: &'v [Replica],
    /// Time from a start to a live replica.
    pub lead_time: Duration,
}

/// One thing to do.
#[derive(Debug, Clone, PartialEq)]
pub enum ScalingAction {
    /// Let a replica work for another service.
    Reassign {
        /// The replica.
        instance: InstanceId,
        /// The service.
        service: String,
    },
    /// Buy an instance.
    Start {
        /// Service that it is for.
        service: String,
        /// Where.
        pool: CapacityPool,
    },
    /// Give an instance back.
    Terminate {
        /// The replica.
        instance: InstanceId,
    },
}

#[derive(Debug, Clone, Default)]
struct ServiceState {
    forecast: Forecast,
    surplus_since: Option<Duration>,
    last_swap: Option<Duration>,
}

/// The plan's memory.
#[derive(Debug, Clone)]
pub struct Planner {
    back_off: BackOff<CapacityPool>,
    services: BTreeMap<String, ServiceState>,
}

impl Planner {
    /// A planner that remembers nothing; `seed` makes the jitter of its back-off.
    pub fn new(seed: u64) -> Planner {
        Planner { back_off: BackOff::new(seed), services: BTreeMap::new() }
    }

    /// The cloud refused a start.
    pub fn on_start_refused(&mut self, pool: &CapacityPool, now: Duration) {
        self.back_off.record_refusal(pool, now);
    }

    /// The cloud accepted a start.
    pub fn on_start_accepted(&mut self, pool: &CapacityPool) {
        self.back_off.record_acceptance(pool);
    }

    /// What to do now, moves first.
    pub fn plan(&mut self, view: &PlanInput<'_>) -> Vec<ScalingAction> {
        let known = |name: &String| view.services.iter().any(|service| service.name == *name);
        self.services.retain(|name, _| known(name));
        let mut fleets: Vec<Fleet<'_>> = Vec::new();
        for service in view.services {
            let state = self.services.entry(service.name.clone()).or_default();
            let load = view.loads.get(&service.name).copied();
            state.forecast.add(view.now, load.map_or(0.0, |load| load.busy_slots));
            let busy = state.forecast.peak(view.now, view.lead_time);
            fleets.push(Fleet::new(view, service, busy, load, &self.back_off));
        }
        let mut actions = move_idle(&mut fleets);
        for fleet in &mut fleets {
            actions.extend(self.buy(view, fleet));
            actions.extend(self.swap(view, fleet));
            actions.extend(self.give_back(view, fleet));
        }
        actions
    }

    fn buy(&mut self, view: &PlanInput<'_>, fleet: &mut Fleet<'_>) -> Vec<ScalingAction> {
        let mut actions = Vec::new();
        while fleet.wants_more() {
            let Some(pool) = self.choose(view, fleet) else { break };
            actions.push(fleet.add(pool));
        }
        actions
    }

    /// The cheapest place that may be used; one over its data centre's share only in need.
    fn choose(&self, view: &PlanInput<'_>, fleet: &Fleet<'_>) -> Option<CapacityPool> {
        let is_open = |pool: &&CapacityPool| {
            let is_tried = fleet.is_buying_at(pool) && self.back_off.was_last_refused(pool);
            self.back_off.is_open(pool, view.now) && !is_tried && fleet.may_add(pool)
        };
        let is_limited = fleet.pools().any(|pool| {
            pool.market == Market::Reclaimable && self.back_off.is_open(pool, view.now)
        });
        let lacking = fleet.lacking(is_limited);
        let spread = fleet.cheapest(&lacking, |pool| is_open(&pool) && fleet.is_spread(pool));
        if fleet.slots(|_| true) >= fleet.needed {
            return spread.cloned();
        }
        // Cost first: rather crowded for a while than dear.
        let is_dear = spread.is_none_or(|pool| pool.market == Market::OnDemand);
        let is_crowding = match fleet.objective {
            schema::Objective::Latency => spread.is_none(),
            _ => is_dear,
        };
        let crowded = fleet
            .cheapest(&lacking, |pool| is_open(&pool) && pool.market == Market::Reclaimable)
            .filter(|_| is_crowding);
        crowded.or(spread).cloned()
    }

    /// Buys a cheap replica in place of a dear one, which `give_back` then ends.
    fn swap(&mut self, view: &PlanInput<'_>, fleet: &mut Fleet<'_>) -> Option<ScalingAction> {
        let state = self.services.get(&fleet.service.name)?;
        let is_early =
            state.last_swap.is_some_and(|last| view.now.saturating_sub(last) < SWAP_INTERVAL);
        if is_early || fleet.has_starting() || fleet.replicas.len() > fleet.max_replicas() {
            return None;
        }
        let pool = fleet.by_cost().into_iter().find_map(|index| {
            // The share and the spread must hold once the dear one is gone.
            let pool = self.choose(view, &fleet.without(index))?;
            let replica = &fleet.replicas[index];
            (fleet.cost(&replica.pool) > SWAP_RATIO * fleet.cost(&pool)).then_some(pool)
        })?;
        self.services.get_mut(&fleet.service.name)?.last_swap = Some(view.now);
        Some(fleet.add(pool))
    }

    fn give_back(&mut self, view: &PlanInput<'_>, fleet: &mut Fleet<'_>) -> Option<ScalingAction> {
        let state = self.services.get_mut(&fleet.service.name)?;
        let Some(index) = fleet.surplus() else {
            state.surplus_since = None;
            return None;
        };
        let since = *state.surplus_since.get_or_insert(view.now);
        if view.now.saturating_sub(since) < SURPLUS_TIME {
            return None;
        }
        let replica = fleet.replicas.remove(index);
        Some(ScalingAction::Terminate { instance: replica.instance })
    }
}

/// Lets idle replicas of one model service work for another that lacks some.
fn move_idle(fleets: &mut [Fleet<'_>]) -> Vec<ScalingAction> {
    let mut actions = Vec::new();
    for to in 0..fleets.len() {
        for from in 0..fleets.len() {
            while from != to && fleets[to].wants_more() && fleets[to].is_model() {
                let Some(index) = fleets[from].idle_for(&fleets[to]) else { break };
                let mut replica = fleets[from].replicas.remove(index);
                replica.service.clone_from(&fleets[to].service.name);
                let (instance, service) = (replica.instance, replica.service.clone());
                actions.push(ScalingAction::Reassign { instance, service });
                fleets[to].replicas.push(replica);
            }
        }
    }
    actions
}

/// Slots that are lacking.
#[derive(Debug, Clone, Copy)]
struct Lacking {
    reclaimable: u32,
    on_demand: u32,
}

/// The replicas of one service and what it needs.
#[derive(Debug)]
struct Fleet<'v> {
    view: &'v PlanInput<'v>,
    service: &'v schema::Service,
    objective: schema::Objective,
    /// Replicas that start or are live; one that this plan buys has instance 0.
    replicas: Vec<Replica>,
    /// Data centres whose reclaimable replicas are being taken.
    taken: Vec<String>,
    /// Data centres where reclaimable replicas can be had now.
    data_centres: u32,
    /// Slots that keep the target.
    needed: u32,
    /// Slots that must be left when a data centre's reclaimable replicas go.
    kept: u32,
}

impl<'v> Fleet<'v> {
    fn new(
        view: &'v PlanInput<'v>,
        service: &'v schema::Service,
        busy: f64,
        load: Option<ServiceLoad>,
        back_off: &BackOff<CapacityPool>,
    ) -> Fleet<'v> {
        let objective = view.policy.objective();
        let target = Duration::from_millis(u64::from(service.first_token_target_ms));
        let holding_time = load.map_or(Duration::from_secs(1), |load| load.holding_time);
        let sized = sizing::slots_needed(busy, holding_time, target, sizing::MAX_LATE_SHARE);
        let kept_percent = match objective {
            schema::Objective::Latency => KEPT_FOR_LATENCY_PERCENT,
            _ => KEPT_FOR_COST_PERCENT,
        };
        let kept = (busy * kept_percent / 100.0).ceil() as u32;
        let own = view.replicas.iter().filter(|replica| replica.service == service.name);
        let (leaving, replicas): (Vec<Replica>, Vec<Replica>) =
            own.cloned().partition(|replica| replica.state == ReplicaState::Leaving);
        let taken = data_centres_taken(&leaving);
        let data_centres = reclaimable_data_centres(view, service, &taken, back_off);
        Fleet { view, service, objective, replicas, taken, data_centres, needed: sized, kept }
    }

    fn is_model(&self) -> bool {
        self.service.kind() == schema::ServiceKind::Model
    }

    fn max_replicas(&self) -> usize {
        self.service.max_replicas as usize
    }

    fn slots_of(&self, replica: &Replica) -> u32 {
        self.view.slots.get(&replica.pool.class).copied().unwrap_or(1)
    }

    fn slots(&self, wanted: impl Fn(&Replica) -> bool) -> u32 {
        let wanted = self.replicas.iter().filter(|replica| wanted(replica));
        wanted.map(|replica| self.slots_of(replica)).sum()
    }

    /// Slots left when the data centre with most reclaimable slots loses them.
    fn left_after_loss(&self) -> u32 {
        let at_risk = |name: &str| {
            self.slots(|replica| {
                replica.pool.market == Market::Reclaimable && replica.pool.data_centre == name
            })
        };
        let worst = self.replicas.iter().map(|replica| at_risk(&replica.pool.data_centre)).max();
        self.slots(|_| true) - worst.unwrap_or(0)
    }

    fn is_enough(&self) -> bool {
        let replicas = self.replicas.len();
        replicas >= self.service.min_replicas as usize
            && self.slots(|_| true) >= self.needed
            && self.left_after_loss() >= self.kept
    }

    fn wants_more(&self) -> bool {
        !self.is_enough() && self.replicas.len() < self.max_replicas()
    }

    fn has_starting(&self) -> bool {
        self.replicas.iter().any(|replica| replica.state == ReplicaState::Starting)
    }

    fn pools(&self) -> impl Iterator<Item = &'v CapacityPool> {
        let view = self.view;
        let classes = &self.service.classes;
        view.prices.keys().filter(|pool| classes.contains(&pool.class))
    }

    /// Slots that one more replica can be of use with, by market.
    ///
    /// `is_limited` says that reclaimable instances can be had, so that on-demand ones are only
    /// for the share that the policy keeps of them.
    fn lacking(&self, is_limited: bool) -> Lacking {
        let have = self.slots(|_| true);
        let left = self.left_after_loss();
        let any = self.needed.saturating_sub(have).max(self.kept.saturating_sub(left)).max(1);
        let on_demand = self.slots(|replica| replica.pool.market == Market::OnDemand);
        let share = 100 - self.view.policy.max_reclaimable_percent.min(100);
        let wanted = (self.needed.max(have) * share).div_ceil(100);
        let on_demand = if is_limited { wanted.saturating_sub(on_demand).max(1) } else { any };
        Lacking { reclaimable: any, on_demand: on_demand.min(any) }
    }

    /// The allowed place that costs least for each slot that is lacking.
    fn cheapest(
        &self,
        lacking: &Lacking,
        is_allowed: impl Fn(&CapacityPool) -> bool,
    ) -> Option<&'v CapacityPool> {
        let cost = |pool: &CapacityPool| {
            let slots = self.view.slots.get(&pool.class).copied().unwrap_or(1);
            let useful = match pool.market {
                Market::Reclaimable => lacking.reclaimable.min(slots),
                Market::OnDemand => lacking.on_demand.min(slots),
            };
            let part = f64::from(slots) / f64::from(self.needed.max(slots));
            let penalty = 1.0 + LUMP_PENALTY * part;
            self.cost(pool) * f64::from(slots) / f64::from(useful) * penalty
        };
        let allowed = self.pools().filter(|pool| is_allowed(pool));
        allowed.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Whether this plan buys there already.
    fn is_buying_at(&self, pool: &CapacityPool) -> bool {
        self.replicas.iter().any(|replica| replica.instance == 0 && replica.pool == *pool)
    }

    /// Price per hour of one slot.
    fn cost(&self, pool: &CapacityPool) -> f64 {
        let slots = self.view.slots.get(&pool.class).copied().unwrap_or(1);
        self.view.prices.get(pool).copied().unwrap_or(f64::INFINITY) / f64::from(slots)
    }

    /// Whether the policy and the running waves allow one more replica there.
    fn may_add(&self, pool: &CapacityPool) -> bool {
        if pool.market == Market::OnDemand {
            return true;
        }
        let reclaimable = self.slots(|replica| replica.pool.market == Market::Reclaimable);
        let added = self.view.slots.get(&pool.class).copied().unwrap_or(1);
        let total = (self.slots(|_| true) + added).max(self.needed);
        let is_within =
            (reclaimable + added) * 100 <= total * self.view.policy.max_reclaimable_percent;
        is_within && !self.taken.contains(&pool.data_centre)
    }

    /// Whether one more replica there keeps to the data centre's part of the reclaimable slots.
    fn is_spread(&self, pool: &CapacityPool) -> bool {
        if pool.market == Market::OnDemand {
            return true;
        }
        let there = self.slots(|replica| {
            replica.pool.market == Market::Reclaimable
                && replica.pool.data_centre == pool.data_centre
        });
        let share = f64::from(self.view.policy.max_reclaimable_percent.min(100)) / 100.0;
        let part = share / f64::from(self.data_centres.max(1));
        // Slots in all with which the loss of one part leaves what must be kept.
        let total = f64::from(self.needed).max(f64::from(self.kept) / (1.0 - part).max(0.1));
        f64::from(there) < total * part
    }

    fn add(&mut self, pool: CapacityPool) -> ScalingAction {
        let service = self.service.name.clone();
        self.replicas.push(Replica {
            instance: 0,
            service: service.clone(),
            pool: pool.clone(),
            state: ReplicaState::Starting,
        });
        ScalingAction::Start { service, pool }
    }

    /// Live replicas, the dearest first.
    fn by_cost(&self) -> Vec<usize> {
        let mut indices: Vec<usize> = (0..self.replicas.len()).collect();
        indices.retain(|&index| self.replicas[index].state == ReplicaState::Live);
        let cost = |index: usize| self.cost(&self.replicas[index].pool);
        indices.sort_by(|&a, &b| cost(b).total_cmp(&cost(a)));
        indices
    }

    /// The live replica that saves most and without which the live ones are still enough.
    fn surplus(&self) -> Option<usize> {
        let price = |index: &usize| {
            let replica = &self.replicas[*index];
            self.cost(&replica.pool) * f64::from(self.slots_of(replica))
        };
        let enough = |index: &usize| self.without(*index).is_enough_live();
        self.by_cost().into_iter().filter(enough).max_by(|a, b| price(a).total_cmp(&price(b)))
    }

    /// A live replica that this service can spare, from where `to` has fewest reclaimable ones.
    fn idle_for(&self, to: &Fleet<'_>) -> Option<usize> {
        if !self.is_model() {
            return None;
        }
        let crowd = |index: &usize| {
            let own = &self.replicas[*index].pool;
            to.slots(|replica| {
                let is_risk = replica.pool.market == Market::Reclaimable;
                is_risk && replica.pool.data_centre == own.data_centre
            })
        };
        let is_idle = |index: &usize| {
            to.service.classes.contains(&self.replicas[*index].pool.class)
                && self.without(*index).is_enough_live()
        };
        self.by_cost().into_iter().filter(is_idle).min_by_key(crowd)
    }

    fn without(&self, index: usize) -> Fleet<'v> {
        let mut replicas = self.replicas.clone();
        replicas.remove(index);
        Fleet { replicas, taken: self.taken.clone(), ..*self }
    }

    /// Whether the live replicas alone are enough and the policy's share is kept.
    fn is_enough_live(&self) -> bool {
        let mut live = self.without_starting();
        let reclaimable = live.slots(|replica| replica.pool.market == Market::Reclaimable);
        let total = live.slots(|_| true);
        let share = self.view.policy.max_reclaimable_percent;
        live.taken.clear();
        live.is_enough() && reclaimable * 100 <= total * share
    }

    fn without_starting(&self) -> Fleet<'v> {
        let live = |replica: &&Replica| replica.state == ReplicaState::Live;
        let replicas = self.replicas.iter().filter(live).cloned().collect();
        Fleet { replicas, taken: self.taken.clone(), ..*self }
    }
}

/// Number of data centres where reclaimable replicas of the service can be had now.
fn reclaimable_data_centres(
    view: &PlanInput<'_>,
    service: &schema::Service,
    taken: &[String],
    back_off: &BackOff<CapacityPool>,
) -> u32 {
    let open = view.prices.keys().filter(|pool| {
        pool.market == Market::Reclaimable
            && service.classes.contains(&pool.class)
            && !taken.contains(&pool.data_centre)
            && back_off.is_open(pool, view.now)
    });
    let names: BTreeSet<&str> = open.map(|pool| pool.data_centre.as_str()).collect();
    names.len() as u32
}

fn data_centres_taken(leaving: &[Replica]) -> Vec<String> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let reclaimable = leaving.iter().filter(|replica| replica.pool.market == Market::Reclaimable);
    for replica in reclaimable {
        *counts.entry(&replica.pool.data_centre).or_default() += 1;
    }
    let taken = counts.into_iter().filter(|(_, count)| *count >= WAVE_REPLICAS);
    taken.map(|(name, _)| name.to_owned()).collect()
}
