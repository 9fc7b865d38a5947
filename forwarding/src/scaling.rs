//! Plans how many replicas a service needs in each data centre and market
//! (reclaimable or on-demand).
//!
//! Reclaimable replicas cost a fraction of on-demand ones, but all of them in a
//! data centre may be reclaimed within seconds, and then none may be available
//! for a while. The demand is therefore planned for reclaimable replicas spread
//! over all data centres, plus a few on-demand ones that are never reclaimed.
//! Capacity that would be missing after a reclaim in another data centre is
//! ordered as on-demand replicas where they are cheap.

mod demand;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::arrivals::ArrivalRates;
use crate::endpoints::Endpoint;
use crate::release::ScalingPolicy;
use demand::ServiceDemand;

/// Prompt tokens per second that one replica is assumed to process until its speed is known.
const DEFAULT_TOKENS_PER_S: f64 = 40_000.0;

/// Fraction of a replica's prompt speed that is planned for, as shared parts are recomputed after a
/// loss, decoding runs beside prompt processing, and queues grow beyond the latency target near full
/// load.
const PROMPT_UTILISATION: f64 = 0.75;

/// Age of other gateways' reports up to which gateways even out the load of the replicas.
const BALANCING_REPORT_AGE: Duration = Duration::from_millis(150);

/// Decrease of the utilisation for each factor of e by which reports are older: gateways that do not
/// see each other's requests load some replicas more than others.
const UTILISATION_PER_REPORT_AGE: f64 = 0.13;

/// Minimum utilisation, with reports of any age.
const MIN_PROMPT_UTILISATION: f64 = 0.35;

/// Standard deviations of the number of requests in progress at one replica for which slots are
/// free. Requests arrive independently, so the deviation is the square root of the mean.
const SLOT_HEADROOM: f64 = 2.0;

/// Replicas that the plan may exceed the needed ones by, as a factor, before reclaimable ones are
/// released: a released replica loses its cache, and the demand varies from second to second.
const SHRINK_MARGIN: f64 = 1.2;

/// Fraction of the initial on-demand replicas that counts as needed until the demand is known.
const STARTUP_NEEDED_SHARE: f64 = 0.6;

/// Fraction of the needed replicas that are on-demand while reclaimable ones are available.
const ON_DEMAND_SHARE: f64 = 0.2;

/// Replicas planned beyond the demand, so that one may fail.
const SPARE_REPLICAS: f64 = 1.0;

/// Time for which fewer on-demand replicas must suffice before some are released.
const SHRINK_DELAY: Duration = Duration::from_secs(4);

/// Pause after a refused order.
const REFUSAL_PAUSE: Duration = Duration::from_secs(4);

/// Time in addition to the boot time after which an order without effect is repeated.
const ORDER_REPEAT_DELAY: Duration = Duration::from_secs(4);

/// Replicas of one service in one data centre and market.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaGroup {
    /// Name of the service.
    pub service: String,
    /// Name of the data centre.
    pub data_centre: String,
    /// Whether the platform may reclaim the replicas.
    pub is_reclaimable: bool,
}

/// Order that sets the number of replicas in a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Group to change.
    pub group: ReplicaGroup,
    /// Total number of replicas that the group should have.
    pub replicas: u32,
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The platform accepted the order.
    Accepted,
    /// The platform has no such replicas available.
    Refused,
    /// It is unknown whether the order took effect.
    Unknown,
}

/// Current state of a service, from which its replicas are planned.
#[derive(Debug)]
pub struct PlanInput<'p> {
    /// Name of the service.
    pub service: &'p str,
    /// Bounds and prices of its replicas.
    pub scaling: &'p ScalingPolicy,
    /// Its endpoints, without those that are leaving.
    pub endpoints: Vec<&'p Endpoint>,
    /// Work that arrives at it, at all gateways together.
    pub arrivals: ArrivalRates,
    /// Interval at which a gateway learns the load of most others.
    pub report_interval: Duration,
}

#[derive(Debug, Clone, Copy)]
struct PlacedOrder {
    replicas: u32,
    at: Duration,
    /// Whether the group has had that many replicas since the order.
    was_met: bool,
}

/// Plans the replicas of all services.
#[derive(Debug, Default)]
pub struct Planner {
    ordered: BTreeMap<ReplicaGroup, PlacedOrder>,
    refused_until: BTreeMap<ReplicaGroup, Duration>,
    demands: BTreeMap<String, ServiceDemand>,
    surplus_since: BTreeMap<String, Duration>,
}

/// Number of replicas by data centre.
type ReplicaCounts = BTreeMap<String, u32>;

impl Planner {
    /// Returns the orders that bring a service to its plan; empty if nothing is to change.
    pub fn plan(&mut self, now: Duration, input: &PlanInput<'_>) -> Vec<Order> {
        self.record_met_orders(input);
        let needed = self.needed(now, input);
        let reclaimable = self.reclaimable_targets(now, input, needed);
        // Before the first demand, initial replicas may still be appearing.
        let may_order =
            self.demands.get(input.service).is_some_and(|demand| demand.may_plan_on_demand(now));
        let on_demand = if may_order {
            self.on_demand_targets(now, input, needed, &reclaimable)
        } else {
            ReplicaCounts::new()
        };
        let mut orders = Vec::new();
        for (targets, is_reclaimable) in [(reclaimable, true), (on_demand, false)] {
            for (data_centre, replicas) in targets {
                let group = group(input, &data_centre, is_reclaimable);
                if self.must_order(now, input, &group, replicas) {
                    orders.push(Order { group, replicas });
                }
            }
        }
        orders
    }

    /// Records which orders have been met, so that a later loss of replicas is detected.
    fn record_met_orders(&mut self, input: &PlanInput<'_>) {
        let (on_demand, reclaimable) = (count(input, false), count(input, true));
        let orders = self.ordered.iter_mut().filter(|(group, _)| group.service == input.service);
        for (group, ordered) in orders {
            let counts = if group.is_reclaimable { &reclaimable } else { &on_demand };
            let present = counts.get(&group.data_centre).copied().unwrap_or_default();
            ordered.was_met |= present >= ordered.replicas;
        }
    }

    /// Records the outcome of an order.
    pub fn on_order_outcome(&mut self, now: Duration, order: &Order, outcome: OrderOutcome) {
        match outcome {
            OrderOutcome::Accepted => {
                let ordered = PlacedOrder { replicas: order.replicas, at: now, was_met: false };
                self.ordered.insert(order.group.clone(), ordered);
                self.refused_until.remove(&order.group);
            }
            OrderOutcome::Refused => {
                self.ordered.remove(&order.group);
                self.refused_until.insert(order.group.clone(), now + REFUSAL_PAUSE);
            }
            OrderOutcome::Unknown => {
                self.ordered.remove(&order.group);
            }
        }
    }

    /// Prompt tokens per second that a replica of the service is planned to process; `None` before the
    /// first plan.
    pub fn tokens_per_s_per_replica(&self, service: &str) -> Option<f64> {
        self.demands.get(service).map(|demand| demand.tokens_per_s_per_replica)
    }

    /// Forgets all orders, as another lease holder may have placed others since.
    pub fn clear_orders(&mut self) {
        self.ordered.clear();
        self.refused_until.clear();
        self.surplus_since.clear();
    }

    fn needed(&mut self, now: Duration, input: &PlanInput<'_>) -> u32 {
        let demand = self.demands.entry(input.service.to_owned()).or_insert(ServiceDemand {
            updated_at: now,
            tokens_per_s_per_replica: DEFAULT_TOKENS_PER_S,
            peak_replicas: 0.0,
            growth_factor: 1.0,
            growth_changed_at: now,
            first_request_at: None,
            initial_replicas: 0,
            initial_replicas_changed_at: now,
        });
        demand.update(now, input);
        let replicas = demand.peak_replicas * demand.growth_factor;
        let needed = (replicas + SPARE_REPLICAS).ceil().max(2.0);
        if demand.is_demand_known(now) {
            return needed as u32;
        }
        let present: u32 = count(input, false).values().sum();
        if present > demand.initial_replicas {
            demand.initial_replicas = present;
            demand.initial_replicas_changed_at = now;
        }
        needed.max(f64::from(demand.initial_replicas) * STARTUP_NEEDED_SHARE) as u32
    }

    fn reclaimable_targets(
        &self,
        now: Duration,
        input: &PlanInput<'_>,
        needed: u32,
    ) -> ReplicaCounts {
        let scaling = input.scaling;
        if scaling.reclaimable_price.is_none() || scaling.prices.is_empty() {
            return ReplicaCounts::new();
        }
        // The replicas left after a reclaim in one data centre must suffice.
        let remaining = (scaling.prices.len() as u32 - 1).max(1);
        let per_data_centre =
            |needed: u32| needed.div_ceil(remaining).max(1).min(scaling.max_replicas);
        let min_replicas = per_data_centre(needed);
        let max_replicas = per_data_centre((f64::from(needed) * SHRINK_MARGIN).ceil() as u32);
        let present = count(input, true);
        let on_demand = count(input, false);
        let targets = scaling.prices.keys().map(|data_centre| {
            let group = group(input, data_centre, true);
            let is_paused = self.refused_until.get(&group).is_some_and(|&until| now < until);
            let expected = self.expected_replicas(now, input, &present, data_centre, true);
            let planned = expected.clamp(min_replicas, max_replicas);
            let present = present.get(data_centre).copied().unwrap_or_default();
            let on_demand_here = self.expected_replicas(now, input, &on_demand, data_centre, false);
            let headroom = scaling.max_replicas.saturating_sub(on_demand_here);
            (data_centre.clone(), if is_paused { present } else { planned.min(headroom) })
        });
        targets.collect()
    }

    /// Changes as few on-demand replicas as possible: adds them where they are cheap and releases
    /// them where they are expensive.
    fn on_demand_targets(
        &mut self,
        now: Duration,
        input: &PlanInput<'_>,
        needed: u32,
        reclaimable_targets: &ReplicaCounts,
    ) -> ReplicaCounts {
        let scaling = input.scaling;
        let reclaimable = count(input, true);
        let present = count(input, false);
        let mut targets: ReplicaCounts = scaling
            .prices
            .keys()
            .map(|name| (name.clone(), self.expected_replicas(now, input, &present, name, false)))
            .collect();
        let total = targets.values().copied().fold(0, u32::saturating_add);
        let min_on_demand = (f64::from(needed) * ON_DEMAND_SHARE).ceil() as u32;
        // Reclaims come in waves: the data centre with the most reclaimable replicas may be next.
        let reclaimable_total: u32 = reclaimable.values().sum();
        let remaining_reclaimable =
            reclaimable_total - reclaimable.values().max().copied().unwrap_or_default();
        let wanted = min_on_demand.max(needed.saturating_sub(remaining_reclaimable));
        let wanted = self.delay_shrink(now, input, wanted, total);
        let mut by_price: Vec<(&String, f64)> =
            scaling.prices.iter().map(|(name, &price)| (name, price)).collect();
        by_price.sort_by(|left, right| left.1.total_cmp(&right.1));
        let mut missing = wanted.saturating_sub(total);
        let mut surplus = total.saturating_sub(wanted);
        for (name, _) in &by_price {
            let reclaimable_here = reclaimable.get(*name).copied().unwrap_or_default();
            let planned = reclaimable_targets.get(*name).copied().unwrap_or_default();
            let reclaimable_expected =
                self.expected_replicas(now, input, &reclaimable, name, true).max(planned);
            let target = targets.entry((*name).clone()).or_default();
            let min_here = scaling.min_replicas.saturating_sub(reclaimable_here);
            let headroom =
                scaling.max_replicas.saturating_sub(reclaimable_expected.saturating_add(*target));
            let added = missing.min(headroom).max(min_here.saturating_sub(*target));
            *target += added;
            missing = missing.saturating_sub(added);
        }
        for (name, _) in by_price.iter().rev() {
            let reclaimable_here = reclaimable.get(*name).copied().unwrap_or_default();
            let target = targets.entry((*name).clone()).or_default();
            let min_here = scaling.min_replicas.saturating_sub(reclaimable_here);
            let removed = surplus.min(target.saturating_sub(min_here));
            *target -= removed;
            surplus -= removed;
        }
        targets
    }

    /// Replicas of a data centre and market: as last ordered while an order is pending, otherwise
    /// those present.
    fn expected_replicas(
        &self,
        now: Duration,
        input: &PlanInput<'_>,
        present: &ReplicaCounts,
        data_centre: &str,
        is_reclaimable: bool,
    ) -> u32 {
        let present = present.get(data_centre).copied().unwrap_or_default();
        match self.ordered.get(&group(input, data_centre, is_reclaimable)) {
            Some(ordered) if now.saturating_sub(ordered.at) < repeat_delay(input.scaling) => {
                ordered.replicas
            }
            _ => present,
        }
    }

    /// Keeps on-demand replicas until fewer have sufficed for [`SHRINK_DELAY`].
    fn delay_shrink(
        &mut self,
        now: Duration,
        input: &PlanInput<'_>,
        wanted: u32,
        total: u32,
    ) -> u32 {
        let min_kept =
            self.demands.get(input.service).map_or(total, |demand| demand.min_kept_replicas(now));
        let wanted = wanted.max(min_kept);
        if wanted >= total {
            self.surplus_since.remove(input.service);
            return wanted.max(total);
        }
        let since = *self.surplus_since.entry(input.service.to_owned()).or_insert(now);
        if now >= since + SHRINK_DELAY { wanted } else { total }
    }

    fn must_order(
        &self,
        now: Duration,
        input: &PlanInput<'_>,
        group: &ReplicaGroup,
        replicas: u32,
    ) -> bool {
        if self.refused_until.get(group).is_some_and(|&until| now < until) {
            return false;
        }
        let present = count(input, group.is_reclaimable);
        let present = present.get(&group.data_centre).copied().unwrap_or_default();
        match self.ordered.get(group) {
            None => present != replicas,
            Some(ordered) if ordered.replicas != replicas => true,
            Some(ordered) => {
                let is_overdue = now.saturating_sub(ordered.at) >= repeat_delay(input.scaling);
                present < replicas && (ordered.was_met || is_overdue)
            }
        }
    }
}

/// Fraction of a replica's prompt speed that is planned for, with reports at the given interval.
fn prompt_utilisation(report_interval: Duration) -> f64 {
    let age = report_interval.as_secs_f64() / BALANCING_REPORT_AGE.as_secs_f64();
    let decrease = UTILISATION_PER_REPORT_AGE * age.max(1.0).ln();
    (PROMPT_UTILISATION - decrease).max(MIN_PROMPT_UTILISATION)
}

/// Mean number of requests in progress at which a replica has enough slots for their variation: the
/// `m` for which `m + SLOT_HEADROOM * sqrt(m)` equals the slots.
fn usable_slots(slots: f64) -> f64 {
    let half = SLOT_HEADROOM / 2.0;
    ((half * half + slots).sqrt() - half).powi(2)
}

/// Time after which an order without effect is repeated.
fn repeat_delay(scaling: &ScalingPolicy) -> Duration {
    scaling.boot_time.saturating_add(ORDER_REPEAT_DELAY)
}

fn group(input: &PlanInput<'_>, data_centre: &str, is_reclaimable: bool) -> ReplicaGroup {
    ReplicaGroup {
        service: input.service.to_owned(),
        data_centre: data_centre.to_owned(),
        is_reclaimable,
    }
}

fn count(input: &PlanInput<'_>, is_reclaimable: bool) -> ReplicaCounts {
    let mut counts = ReplicaCounts::new();
    for endpoint in &input.endpoints {
        if endpoint.entry.is_reclaimable == is_reclaimable {
            *counts.entry(endpoint.entry.data_centre.clone()).or_default() += 1;
        }
    }
    counts
}
