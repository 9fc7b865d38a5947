//! Replicas and needs of one service in a planning run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rhubarbrock_schema::release as schema;

use super::{CapacityPool, PlanInput, Replica, ReplicaState, ScalingAction, ServiceLoad};
use crate::backoff::Backoff;
use crate::endpoint::Market;
use crate::sizing;

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

/// Number of slots that are missing and can be added in each market.
#[derive(Debug, Clone, Copy)]
pub(super) struct MissingSlots {
    pub(super) reclaimable: u32,
    pub(super) on_demand: u32,
}

/// Replicas and needs of one service, with the changes planned so far.
#[derive(Debug)]
pub(super) struct ServicePlan<'v> {
    pub(super) input: &'v PlanInput<'v>,
    pub(super) service: &'v schema::Service,
    pub(super) objective: schema::Objective,
    /// Starting and live replicas; those started by this plan have instance 0.
    pub(super) replicas: Vec<Replica>,
    /// Data centres in which the cloud is reclaiming replicas of the service.
    pub(super) reclaiming_data_centres: Vec<String>,
    /// Number of data centres in which reclaimable replicas can be started now.
    pub(super) available_data_centres: u32,
    /// Number of slots with which the latency target is met.
    pub(super) needed_slots: u32,
    /// Number of slots that must be left after the loss of one data centre's reclaimable replicas.
    pub(super) min_residual_slots: u32,
}

impl<'v> ServicePlan<'v> {
    pub(super) fn new(
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

    pub(super) fn is_model(&self) -> bool {
        self.service.kind() == schema::ServiceKind::Model
    }

    pub(super) fn max_replicas(&self) -> usize {
        self.service.max_replicas as usize
    }

    pub(super) fn slots_of(&self, replica: &Replica) -> u32 {
        self.input.slots.get(&replica.pool.class).copied().unwrap_or(1)
    }

    pub(super) fn slots(&self, wanted: impl Fn(&Replica) -> bool) -> u32 {
        let wanted = self.replicas.iter().filter(|replica| wanted(replica));
        wanted.map(|replica| self.slots_of(replica)).sum()
    }

    /// Number of slots left if the data centre with the most reclaimable slots loses them.
    pub(super) fn slots_after_worst_loss(&self) -> u32 {
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

    pub(super) fn is_sufficient(&self) -> bool {
        let replicas = self.replicas.len();
        replicas >= self.service.min_replicas as usize
            && self.slots(|_| true) >= self.needed_slots
            && self.slots_after_worst_loss() >= self.min_residual_slots
    }

    pub(super) fn needs_more(&self) -> bool {
        !self.is_sufficient() && self.replicas.len() < self.max_replicas()
    }

    pub(super) fn has_starting(&self) -> bool {
        self.replicas.iter().any(|replica| replica.state == ReplicaState::Starting)
    }

    pub(super) fn pools(&self) -> impl Iterator<Item = &'v CapacityPool> {
        let input = self.input;
        let classes = &self.service.classes;
        input.prices.keys().filter(|pool| classes.contains(&pool.class))
    }

    /// Number of slots of one more replica that would be useful, by market; at least 1.
    ///
    /// If `is_reclaimable_available`, on-demand slots are useful only up to the share that the
    /// policy requires of them.
    pub(super) fn missing_slots(&self, is_reclaimable_available: bool) -> MissingSlots {
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
    pub(super) fn cheapest(
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
    pub(super) fn is_starting_in(&self, pool: &CapacityPool) -> bool {
        self.replicas.iter().any(|replica| replica.instance == 0 && replica.pool == *pool)
    }

    /// Price of one slot per hour; infinite for a pool without a price.
    pub(super) fn price_per_slot(&self, pool: &CapacityPool) -> f64 {
        let slots = self.input.slots.get(&pool.class).copied().unwrap_or(1);
        self.input.prices.get(pool).copied().unwrap_or(f64::INFINITY) / f64::from(slots)
    }

    /// Whether the policy permits one more replica in the pool, and the cloud is not reclaiming
    /// replicas in its data centre.
    pub(super) fn policy_allows(&self, pool: &CapacityPool) -> bool {
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
    pub(super) fn keeps_spread(&self, pool: &CapacityPool) -> bool {
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

    pub(super) fn add(&mut self, pool: CapacityPool) -> ScalingAction {
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
    pub(super) fn live_by_price(&self) -> Vec<usize> {
        let mut indices: Vec<usize> = (0..self.replicas.len()).collect();
        indices.retain(|&index| self.replicas[index].state == ReplicaState::Live);
        let price_per_slot = |index: usize| self.price_per_slot(&self.replicas[index].pool);
        indices.sort_by(|&a, &b| price_per_slot(b).total_cmp(&price_per_slot(a)));
        indices
    }

    /// The most expensive live replica without which the other live ones are sufficient.
    pub(super) fn surplus_replica(&self) -> Option<usize> {
        let price = |index: &usize| {
            let replica = &self.replicas[*index];
            self.price_per_slot(&replica.pool) * f64::from(self.slots_of(replica))
        };
        let enough = |index: &usize| self.without(*index).is_live_sufficient();
        self.live_by_price().into_iter().filter(enough).max_by(|a, b| price(a).total_cmp(&price(b)))
    }

    /// A live replica that this service can spare for `to`, from the data centre in which `to` has
    /// the fewest reclaimable slots.
    pub(super) fn spare_replica_for(&self, to: &ServicePlan<'_>) -> Option<usize> {
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

    pub(super) fn without(&self, index: usize) -> ServicePlan<'v> {
        let mut replicas = self.replicas.clone();
        replicas.remove(index);
        ServicePlan {
            replicas,
            reclaiming_data_centres: self.reclaiming_data_centres.clone(),
            ..*self
        }
    }

    /// Whether the live replicas alone are sufficient and within the policy's reclaimable share.
    pub(super) fn is_live_sufficient(&self) -> bool {
        let mut live = self.without_starting();
        let reclaimable = live.slots(|replica| replica.pool.market == Market::Reclaimable);
        let total = live.slots(|_| true);
        let max_reclaimable_percent = self.input.policy.max_reclaimable_percent;
        live.reclaiming_data_centres.clear();
        live.is_sufficient() && reclaimable * 100 <= total * max_reclaimable_percent
    }

    pub(super) fn without_starting(&self) -> ServicePlan<'v> {
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
