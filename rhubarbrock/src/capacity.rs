//! Capacity planning: how many replicas each service runs, and in which capacity pools.
//!
//! The holder of the lease on `capacity` plans every few seconds. A service is
//! sized in slots for its forecast load, so that the latency target of its
//! release note is met. Reclaimable replicas are spread over data centres, so
//! that the slots left after one data centre loses all of its own still serve
//! most of the load. Cheap pools are used first, idle replicas of other
//! services are reassigned before instances are started, and surplus replicas
//! are terminated after a delay, the most expensive first.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rhubarbrock_schema::release as schema;

use crate::backoff::Backoff;
use crate::endpoint::Market;
use crate::forecast::Forecast;
use crate::id::InstanceId;
use crate::sizing;

/// Scope of the lease that the planning node must hold.
pub const LEASE_SCOPE: &str = "capacity";

/// How long a surplus must last before a replica is terminated.
const SCALE_DOWN_DELAY: Duration = Duration::from_secs(60);

/// Shortest time between two swaps of an expensive replica for a cheap one, per service.
const MIN_SWAP_INTERVAL: Duration = Duration::from_secs(60);

/// A replica is swapped only if its price per slot is more than this multiple of the new one.
const MIN_SWAP_PRICE_RATIO: f64 = 1.25;

/// Slots that must be left after the loss of one data centre's reclaimable replicas, in percent
/// of the busy slots, if the policy's objective is latency.
const RESIDUAL_FOR_LATENCY_PERCENT: f64 = 100.0;

/// The same percentage for the other objectives.
const RESIDUAL_FOR_COST_PERCENT: f64 = 80.0;

/// Fraction added to the price of a replica that alone has all slots of a service, and in
/// proportion for smaller ones: large replicas fit the need less exactly, and each reclaim removes
/// more slots.
const LARGE_REPLICA_PENALTY: f64 = 0.5;

/// Number of leaving reclaimable replicas of a data centre from which on the cloud is assumed to
/// reclaim the others there too.
const RECLAIM_WAVE_MIN_REPLICAS: usize = 2;

/// Instances of one machine class, data centre and market, which share a price.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CapacityPool {
    /// Name of the data centre.
    pub data_centre: String,
    /// Name of the machine class.
    pub class: String,
    /// Whether the cloud may reclaim the instances.
    pub market: Market,
}

/// Lifecycle state of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaState {
    /// Its instance was started and is not ready, or the start is pending.
    Starting,
    /// Serves requests.
    Live,
    /// Was given notice that its instance will end.
    Leaving,
}

/// One replica of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Replica {
    /// Instance that it runs on.
    pub instance: InstanceId,
    /// Name of the service.
    pub service: String,
    /// Capacity pool of the instance.
    pub pool: CapacityPool,
    /// Lifecycle state.
    pub state: ReplicaState,
}

/// Load of one service, measured over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceLoad {
    /// Mean number of slots that requests occupy.
    pub busy_slots: f64,
    /// Mean time for which a request occupies its slot.
    pub holding_time: Duration,
}

/// Input of one planning run.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'v> {
    /// Monotonic time of the run.
    pub now: Duration,
    /// Policy in force.
    pub policy: &'v schema::Policy,
    /// Services of the release in force.
    pub services: &'v [schema::Service],
    /// Load by service name; a service that is missing here has none.
    pub loads: &'v BTreeMap<String, ServiceLoad>,
    /// Slots of one replica by machine class; 1 for a class that is missing here.
    pub slots: &'v BTreeMap<String, u32>,
    /// Price of one instance per hour; a pool without a price is not used.
    pub prices: &'v BTreeMap<CapacityPool, f64>,
    /// Replicas of all services, including started ones that the instance list does not show yet.
    pub replicas: &'v [Replica],
    /// Time from starting an instance to a live replica.
    pub lead_time: Duration,
}

/// One action of a plan.
#[derive(Debug, Clone, PartialEq)]
pub enum ScalingAction {
    /// Assign a replica to another service.
    Reassign {
        /// Instance of the replica.
        instance: InstanceId,
        /// Name of the other service.
        service: String,
    },
    /// Start an instance.
    Start {
        /// Name of the service that it will serve.
        service: String,
        /// Pool in which to start it.
        pool: CapacityPool,
    },
    /// Terminate an instance.
    Terminate {
        /// Instance of the replica.
        instance: InstanceId,
    },
}

#[derive(Debug, Clone, Default)]
struct ServiceState {
    forecast: Forecast,
    surplus_since: Option<Duration>,
    last_swap_at: Option<Duration>,
}

/// State kept between planning runs: forecasts, back-off, and times of changes.
#[derive(Debug, Clone)]
pub struct Planner {
    backoff: Backoff<CapacityPool>,
    services: BTreeMap<String, ServiceState>,
}

impl Planner {
    /// A planner without history; `seed` determines the jitter of its back-off.
    pub fn new(seed: u64) -> Planner {
        Planner { backoff: Backoff::new(seed), services: BTreeMap::new() }
    }

    /// Records that the cloud refused a start in a pool.
    pub fn on_start_refused(&mut self, pool: &CapacityPool, now: Duration) {
        self.backoff.record_refusal(pool, now);
    }

    /// Records that the cloud accepted a start in a pool.
    pub fn on_start_accepted(&mut self, pool: &CapacityPool) {
        self.backoff.record_acceptance(pool);
    }

    /// Plans one run; reassignments come first in the result.
    pub fn plan(&mut self, input: &PlanInput<'_>) -> Vec<ScalingAction> {
        let known = |name: &String| input.services.iter().any(|service| service.name == *name);
        self.services.retain(|name, _| known(name));
        let mut service_plans: Vec<ServicePlan<'_>> = Vec::new();
        for service in input.services {
            let state = self.services.entry(service.name.clone()).or_default();
            let load = input.loads.get(&service.name).copied();
            state.forecast.add(input.now, load.map_or(0.0, |load| load.busy_slots));
            let busy_slots = state.forecast.peak(input.now, input.lead_time);
            service_plans.push(ServicePlan::new(input, service, busy_slots, load, &self.backoff));
        }
        let mut actions = reassign_idle(&mut service_plans);
        for service_plan in &mut service_plans {
            actions.extend(self.start_missing(input, service_plan));
            actions.extend(self.swap(input, service_plan));
            actions.extend(self.terminate_surplus(input, service_plan));
        }
        actions
    }

    fn start_missing(
        &mut self,
        input: &PlanInput<'_>,
        service_plan: &mut ServicePlan<'_>,
    ) -> Vec<ScalingAction> {
        let mut actions = Vec::new();
        while service_plan.needs_more() {
            let Some(pool) = self.choose_pool(input, service_plan) else { break };
            actions.push(service_plan.add(pool));
        }
        actions
    }

    /// Returns the cheapest pool that may be used. A pool whose data centre has its share of the
    /// reclaimable slots is returned only while slots are missing for the load.
    fn choose_pool(
        &self,
        input: &PlanInput<'_>,
        service_plan: &ServicePlan<'_>,
    ) -> Option<CapacityPool> {
        let is_open = |pool: &&CapacityPool| {
            let has_trial_start =
                service_plan.is_starting_in(pool) && self.backoff.was_last_refused(pool);
            self.backoff.is_open(pool, input.now)
                && !has_trial_start
                && service_plan.policy_allows(pool)
        };
        let is_reclaimable_available = service_plan.pools().any(|pool| {
            pool.market == Market::Reclaimable && self.backoff.is_open(pool, input.now)
        });
        let missing_slots = service_plan.missing_slots(is_reclaimable_available);
        let within_share = service_plan
            .cheapest(&missing_slots, |pool| is_open(&pool) && service_plan.keeps_spread(pool));
        if service_plan.slots(|_| true) >= service_plan.needed_slots {
            return within_share.cloned();
        }
        // If cost matters more than latency, a temporary excess over the share is preferred to
        // on-demand prices.
        let lacks_reclaimable = within_share.is_none_or(|pool| pool.market == Market::OnDemand);
        let may_exceed_share = match service_plan.objective {
            schema::Objective::Latency => within_share.is_none(),
            _ => lacks_reclaimable,
        };
        let over_share = service_plan
            .cheapest(&missing_slots, |pool| is_open(&pool) && pool.market == Market::Reclaimable)
            .filter(|_| may_exceed_share);
        over_share.or(within_share).cloned()
    }

    /// Starts a cheap replica to replace an expensive one, which `terminate_surplus` removes later.
    fn swap(
        &mut self,
        input: &PlanInput<'_>,
        service_plan: &mut ServicePlan<'_>,
    ) -> Option<ScalingAction> {
        let state = self.services.get(&service_plan.service.name)?;
        let is_early = state
            .last_swap_at
            .is_some_and(|last| input.now.saturating_sub(last) < MIN_SWAP_INTERVAL);
        if is_early
            || service_plan.has_starting()
            || service_plan.replicas.len() > service_plan.max_replicas()
        {
            return None;
        }
        let pool = service_plan.live_by_price().into_iter().find_map(|index| {
            // The share and the spread must hold after the expensive replica is removed.
            let pool = self.choose_pool(input, &service_plan.without(index))?;
            let replica = &service_plan.replicas[index];
            (service_plan.price_per_slot(&replica.pool)
                > MIN_SWAP_PRICE_RATIO * service_plan.price_per_slot(&pool))
            .then_some(pool)
        })?;
        self.services.get_mut(&service_plan.service.name)?.last_swap_at = Some(input.now);
        Some(service_plan.add(pool))
    }

    fn terminate_surplus(
        &mut self,
        input: &PlanInput<'_>,
        service_plan: &mut ServicePlan<'_>,
    ) -> Option<ScalingAction> {
        let state = self.services.get_mut(&service_plan.service.name)?;
        let Some(index) = service_plan.surplus_replica() else {
            state.surplus_since = None;
            return None;
        };
        let since = *state.surplus_since.get_or_insert(input.now);
        if input.now.saturating_sub(since) < SCALE_DOWN_DELAY {
            return None;
        }
        let replica = service_plan.replicas.remove(index);
        Some(ScalingAction::Terminate { instance: replica.instance })
    }
}

/// Assigns idle replicas of model services to other model services that need more.
fn reassign_idle(service_plans: &mut [ServicePlan<'_>]) -> Vec<ScalingAction> {
    let mut actions = Vec::new();
    for to in 0..service_plans.len() {
        for from in 0..service_plans.len() {
            while from != to && service_plans[to].needs_more() && service_plans[to].is_model() {
                let Some(index) = service_plans[from].spare_replica_for(&service_plans[to]) else {
                    break;
                };
                let mut replica = service_plans[from].replicas.remove(index);
                replica.service.clone_from(&service_plans[to].service.name);
                let (instance, service) = (replica.instance, replica.service.clone());
                actions.push(ScalingAction::Reassign { instance, service });
                service_plans[to].replicas.push(replica);
            }
        }
    }
    actions
}

/// Number of slots that are missing and can be added in each market.
#[derive(Debug, Clone, Copy)]
struct MissingSlots {
    reclaimable: u32,
    on_demand: u32,
}

/// Replicas and needs of one service, with the changes planned so far.
#[derive(Debug)]
struct ServicePlan<'v> {
    input: &'v PlanInput<'v>,
    service: &'v schema::Service,
    objective: schema::Objective,
    /// Starting and live replicas; those started by this plan have instance 0.
    replicas: Vec<Replica>,
    /// Data centres in which the cloud is reclaiming replicas of the service.
    reclaiming_data_centres: Vec<String>,
    /// Number of data centres in which reclaimable replicas can be started now.
    available_data_centres: u32,
    /// Number of slots with which the latency target is met.
    needed_slots: u32,
    /// Number of slots that must be left after the loss of one data centre's reclaimable replicas.
    min_residual_slots: u32,
}

impl<'v> ServicePlan<'v> {
    fn new(
        input: &'v PlanInput<'v>,
        service: &'v schema::Service,
        busy_slots: f64,
        load: Option<ServiceLoad>,
        backoff: &Backoff<CapacityPool>,
    ) -> ServicePlan<'v> {
        let objective = input.policy.objective();
        let target = Duration::from_millis(u64::from(service.first_token_target_ms));
        let holding_time = load.map_or(Duration::from_secs(1), |load| load.holding_time);
        let sized_slots =
            sizing::slots_needed(busy_slots, holding_time, target, sizing::MAX_LATE_SHARE);
        let residual_percent = match objective {
            schema::Objective::Latency => RESIDUAL_FOR_LATENCY_PERCENT,
            _ => RESIDUAL_FOR_COST_PERCENT,
        };
        let min_residual_slots = (busy_slots * residual_percent / 100.0).ceil() as u32;
        let own = input.replicas.iter().filter(|replica| replica.service == service.name);
        let (leaving, replicas): (Vec<Replica>, Vec<Replica>) =
            own.cloned().partition(|replica| replica.state == ReplicaState::Leaving);
        let reclaiming_data_centres = reclaiming_data_centres(&leaving);
        let available_data_centres =
            count_available_data_centres(input, service, &reclaiming_data_centres, backoff);
        ServicePlan {
            input,
            service,
            objective,
            replicas,
            reclaiming_data_centres,
            available_data_centres,
            needed_slots: sized_slots,
            min_residual_slots,
        }
    }

    fn is_model(&self) -> bool {
        self.service.kind() == schema::ServiceKind::Model
    }

    fn max_replicas(&self) -> usize {
        self.service.max_replicas as usize
    }

    fn slots_of(&self, replica: &Replica) -> u32 {
        self.input.slots.get(&replica.pool.class).copied().unwrap_or(1)
    }

    fn slots(&self, wanted: impl Fn(&Replica) -> bool) -> u32 {
        let wanted = self.replicas.iter().filter(|replica| wanted(replica));
        wanted.map(|replica| self.slots_of(replica)).sum()
    }

    /// Number of slots left if the data centre with the most reclaimable slots loses them.
    fn slots_after_worst_loss(&self) -> u32 {
        let reclaimable_slots_in = |name: &str| {
            self.slots(|replica| {
                replica.pool.market == Market::Reclaimable && replica.pool.data_centre == name
            })
        };
        let worst = self
            .replicas
            .iter()
            .map(|replica| reclaimable_slots_in(&replica.pool.data_centre))
            .max();
        self.slots(|_| true) - worst.unwrap_or(0)
    }

    fn is_sufficient(&self) -> bool {
        let replicas = self.replicas.len();
        replicas >= self.service.min_replicas as usize
            && self.slots(|_| true) >= self.needed_slots
            && self.slots_after_worst_loss() >= self.min_residual_slots
    }

    fn needs_more(&self) -> bool {
        !self.is_sufficient() && self.replicas.len() < self.max_replicas()
    }

    fn has_starting(&self) -> bool {
        self.replicas.iter().any(|replica| replica.state == ReplicaState::Starting)
    }

    fn pools(&self) -> impl Iterator<Item = &'v CapacityPool> {
        let input = self.input;
        let classes = &self.service.classes;
        input.prices.keys().filter(|pool| classes.contains(&pool.class))
    }

    /// Number of slots of one more replica that would be useful, by market; at least 1.
    ///
    /// If `is_reclaimable_available`, on-demand slots are useful only up to the share that the
    /// policy requires of them.
    fn missing_slots(&self, is_reclaimable_available: bool) -> MissingSlots {
        let current_slots = self.slots(|_| true);
        let residual_slots = self.slots_after_worst_loss();
        let missing = self
            .needed_slots
            .saturating_sub(current_slots)
            .max(self.min_residual_slots.saturating_sub(residual_slots))
            .max(1);
        let on_demand = self.slots(|replica| replica.pool.market == Market::OnDemand);
        let min_on_demand_percent = 100 - self.input.policy.max_reclaimable_percent.min(100);
        let min_on_demand =
            (self.needed_slots.max(current_slots) * min_on_demand_percent).div_ceil(100);
        let on_demand = if is_reclaimable_available {
            min_on_demand.saturating_sub(on_demand).max(1)
        } else {
            missing
        };
        MissingSlots { reclaimable: missing, on_demand: on_demand.min(missing) }
    }

    /// Returns the allowed pool with the lowest price per useful slot.
    fn cheapest(
        &self,
        missing_slots: &MissingSlots,
        is_allowed: impl Fn(&CapacityPool) -> bool,
    ) -> Option<&'v CapacityPool> {
        let price_per_useful_slot = |pool: &CapacityPool| {
            let slots = self.input.slots.get(&pool.class).copied().unwrap_or(1);
            let useful_slots = match pool.market {
                Market::Reclaimable => missing_slots.reclaimable.min(slots),
                Market::OnDemand => missing_slots.on_demand.min(slots),
            };
            let share_of_need = f64::from(slots) / f64::from(self.needed_slots.max(slots));
            let penalty = 1.0 + LARGE_REPLICA_PENALTY * share_of_need;
            self.price_per_slot(pool) * f64::from(slots) / f64::from(useful_slots) * penalty
        };
        let allowed = self.pools().filter(|pool| is_allowed(pool));
        allowed.min_by(|a, b| price_per_useful_slot(a).total_cmp(&price_per_useful_slot(b)))
    }

    /// Whether this plan already starts a replica in the pool.
    fn is_starting_in(&self, pool: &CapacityPool) -> bool {
        self.replicas.iter().any(|replica| replica.instance == 0 && replica.pool == *pool)
    }

    /// Price of one slot per hour; infinite for a pool without a price.
    fn price_per_slot(&self, pool: &CapacityPool) -> f64 {
        let slots = self.input.slots.get(&pool.class).copied().unwrap_or(1);
        self.input.prices.get(pool).copied().unwrap_or(f64::INFINITY) / f64::from(slots)
    }

    /// Whether the policy permits one more replica in the pool, and the cloud is not reclaiming
    /// replicas in its data centre.
    fn policy_allows(&self, pool: &CapacityPool) -> bool {
        if pool.market == Market::OnDemand {
            return true;
        }
        let reclaimable = self.slots(|replica| replica.pool.market == Market::Reclaimable);
        let added_slots = self.input.slots.get(&pool.class).copied().unwrap_or(1);
        let total = (self.slots(|_| true) + added_slots).max(self.needed_slots);
        let is_within =
            (reclaimable + added_slots) * 100 <= total * self.input.policy.max_reclaimable_percent;
        is_within && !self.reclaiming_data_centres.contains(&pool.data_centre)
    }

    /// Whether the pool's data centre has less than its share of the reclaimable slots.
    fn keeps_spread(&self, pool: &CapacityPool) -> bool {
        if pool.market == Market::OnDemand {
            return true;
        }
        let reclaimable_slots = self.slots(|replica| {
            replica.pool.market == Market::Reclaimable
                && replica.pool.data_centre == pool.data_centre
        });
        let reclaimable_share =
            f64::from(self.input.policy.max_reclaimable_percent.min(100)) / 100.0;
        let data_centre_share = reclaimable_share / f64::from(self.available_data_centres.max(1));
        // With this total, the loss of one data centre's share leaves the required residual slots.
        let total_slots = f64::from(self.needed_slots)
            .max(f64::from(self.min_residual_slots) / (1.0 - data_centre_share).max(0.1));
        f64::from(reclaimable_slots) < total_slots * data_centre_share
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

    /// Indices of the live replicas, the most expensive per slot first.
    fn live_by_price(&self) -> Vec<usize> {
        let mut indices: Vec<usize> = (0..self.replicas.len()).collect();
        indices.retain(|&index| self.replicas[index].state == ReplicaState::Live);
        let price_per_slot = |index: usize| self.price_per_slot(&self.replicas[index].pool);
        indices.sort_by(|&a, &b| price_per_slot(b).total_cmp(&price_per_slot(a)));
        indices
    }

    /// The most expensive live replica without which the other live ones are sufficient.
    fn surplus_replica(&self) -> Option<usize> {
        let price = |index: &usize| {
            let replica = &self.replicas[*index];
            self.price_per_slot(&replica.pool) * f64::from(self.slots_of(replica))
        };
        let enough = |index: &usize| self.without(*index).is_live_sufficient();
        self.live_by_price().into_iter().filter(enough).max_by(|a, b| price(a).total_cmp(&price(b)))
    }

    /// A live replica that this service can spare for `to`, from the data centre in which `to` has
    /// the fewest reclaimable slots.
    fn spare_replica_for(&self, to: &ServicePlan<'_>) -> Option<usize> {
        if !self.is_model() {
            return None;
        }
        let reclaimable_slots_nearby = |index: &usize| {
            let own = &self.replicas[*index].pool;
            to.slots(|replica| {
                let is_risk = replica.pool.market == Market::Reclaimable;
                is_risk && replica.pool.data_centre == own.data_centre
            })
        };
        let is_idle = |index: &usize| {
            to.service.classes.contains(&self.replicas[*index].pool.class)
                && self.without(*index).is_live_sufficient()
        };
        self.live_by_price().into_iter().filter(is_idle).min_by_key(reclaimable_slots_nearby)
    }

    fn without(&self, index: usize) -> ServicePlan<'v> {
        let mut replicas = self.replicas.clone();
        replicas.remove(index);
        ServicePlan {
            replicas,
            reclaiming_data_centres: self.reclaiming_data_centres.clone(),
            ..*self
        }
    }

    /// Whether the live replicas alone are sufficient and within the policy's reclaimable share.
    fn is_live_sufficient(&self) -> bool {
        let mut live = self.without_starting();
        let reclaimable = live.slots(|replica| replica.pool.market == Market::Reclaimable);
        let total = live.slots(|_| true);
        let max_reclaimable_percent = self.input.policy.max_reclaimable_percent;
        live.reclaiming_data_centres.clear();
        live.is_sufficient() && reclaimable * 100 <= total * max_reclaimable_percent
    }

    fn without_starting(&self) -> ServicePlan<'v> {
        let live = |replica: &&Replica| replica.state == ReplicaState::Live;
        let replicas = self.replicas.iter().filter(live).cloned().collect();
        ServicePlan {
            replicas,
            reclaiming_data_centres: self.reclaiming_data_centres.clone(),
            ..*self
        }
    }
}

/// Number of data centres in which reclaimable replicas of the service can be started now.
fn count_available_data_centres(
    input: &PlanInput<'_>,
    service: &schema::Service,
    reclaiming_data_centres: &[String],
    backoff: &Backoff<CapacityPool>,
) -> u32 {
    let open = input.prices.keys().filter(|pool| {
        pool.market == Market::Reclaimable
            && service.classes.contains(&pool.class)
            && !reclaiming_data_centres.contains(&pool.data_centre)
            && backoff.is_open(pool, input.now)
    });
    let names: BTreeSet<&str> = open.map(|pool| pool.data_centre.as_str()).collect();
    names.len() as u32
}

fn reclaiming_data_centres(leaving: &[Replica]) -> Vec<String> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let reclaimable = leaving.iter().filter(|replica| replica.pool.market == Market::Reclaimable);
    for replica in reclaimable {
        *counts.entry(&replica.pool.data_centre).or_default() += 1;
    }
    let reclaiming_data_centres =
        counts.into_iter().filter(|(_, count)| *count >= RECLAIM_WAVE_MIN_REPLICAS);
    reclaiming_data_centres.map(|(name, _)| name.to_owned()).collect()
}
