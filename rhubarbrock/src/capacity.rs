//! Capacity planning: how many replicas each service runs, and in which capacity pools.
//!
//! The holder of the lease on `capacity` plans every few seconds. A service is
//! sized in slots for its forecast load, so that the latency target of its
//! release note is met. Reclaimable replicas are spread over data centres, so
//! that the slots left after one data centre loses all of its own still serve
//! most of the load. Cheap pools are used first, idle replicas of other
//! services are reassigned before instances are started, and surplus replicas
//! are terminated after a delay, the most expensive first.

mod service_plan;

use std::collections::BTreeMap;
use std::time::Duration;

use rhubarbrock_schema::release as schema;

use crate::backoff::Backoff;
use crate::endpoint::Market;
use crate::forecast::Forecast;
use crate::id::InstanceId;
use service_plan::ServicePlan;

/// Scope of the lease that the planning node must hold.
pub const LEASE_SCOPE: &str = "capacity";

/// How long a surplus must last before a replica is terminated.
const SCALE_DOWN_DELAY: Duration = Duration::from_secs(60);

/// Shortest time between two swaps of an expensive replica for a cheap one, per service.
const MIN_SWAP_INTERVAL: Duration = Duration::from_secs(60);

/// A replica is swapped only if its price per slot is more than this multiple of the new one.
const MIN_SWAP_PRICE_RATIO: f64 = 1.25;

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
