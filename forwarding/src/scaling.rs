//! How many replicas of a service there should be, where, and of which market.
//!
//! Reclaimable replicas cost a fraction of ordinary ones, but all of a data
//! centre may leave within seconds, and for a while there may be none to be had.
//! So the work is planned for reclaimable replicas spread over all data centres,
//! beside a few ordinary ones that never leave; what would be missing after the
//! next data centre's reclaim is ordered as ordinary replicas, where they are
//! cheap.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::arrivals::ArrivalRates;
use crate::endpoints::Endpoint;
use crate::release::ScalingPolicy;

/// Tokens of prompts a second planned for one replica: a third of what engines of this kind
/// read, as shared parts are read again after a loss and decoding goes on beside prompts.
const TOKENS_PER_REPLICA_S: f64 = 30_000.0;

/// Time in which a peak of the work fades from the plan; replicas that were given up take
/// their start and their empty cache to come back.
const PEAK_DECAY: Duration = Duration::from_secs(20);

/// Time for which work must have been seen before ordinary replicas are given up.
const KNOWN_DEMAND_DELAY: Duration = Duration::from_secs(4);

/// Part of late first events above which more replicas are planned.
const LATE_SHARE_HIGH: f64 = 0.06;

/// Part of late first events below which the plan goes back.
const LATE_SHARE_LOW: f64 = 0.04;

/// Part of the ordinary replicas found at the start that are taken for needed until the work
/// is known.
const STARTUP_NEEDED_SHARE: f64 = 0.6;

/// Part of the ordinary replicas found at the start that stay until the work is known.
const STARTUP_KEPT_SHARE: f64 = 0.4;

/// Time without a new ordinary replica after which those of the start have all appeared: three
/// heartbeats.
const STARTUP_QUIET_TIME: Duration = Duration::from_millis(3_600);

/// Prompt tokens that wait at a replica, on average, above which more replicas help: what one
/// reads in some 50 ms. First events are late for other reasons where less waits.
const WAITING_TOKENS_HIGH: u64 = 4_000;

/// Step by which the plan grows while first events are late.
const GROWTH_STEP_FACTOR: f64 = 1.25;

/// Largest growth of the plan.
const MAX_GROWTH_FACTOR: f64 = 2.5;

/// Interval between two steps of growth, the time that an order takes to show.
const GROWTH_INTERVAL: Duration = Duration::from_secs(4);

/// Part of the planned replicas that are ordinary where reclaimable ones are to be had.
const ON_DEMAND_SHARE: f64 = 0.2;

/// Replicas planned beyond the need, so that one may fail.
const SPARE_REPLICAS: f64 = 1.0;

/// Time for which fewer ordinary replicas must suffice before some are given up.
const SHRINK_DELAY: Duration = Duration::from_secs(4);

/// Pause after an order that was refused.
const REFUSAL_PAUSE: Duration = Duration::from_secs(4);

/// Time beyond a replica's start after which an order that did not show is repeated.
const ORDER_REPEAT_DELAY: Duration = Duration::from_secs(4);

/// Replicas of one service, data centre and market.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaGroup {
    /// Service.
    pub service: String,
    /// Data centre.
    pub data_centre: String,
    /// Whether the platform may take them back.
    pub is_reclaimable: bool,
}

/// An order for a number of replicas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Of what and where.
    pub group: ReplicaGroup,
    /// How many there should be.
    pub replicas: u32,
}

/// Answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Accepted.
    Accepted,
    /// There are none to be had now.
    Refused,
    /// Nobody knows.
    Unknown,
}

/// What a plan is made from.
#[derive(Debug)]
pub struct PlanInputs<'p> {
    /// Service.
    pub service: &'p str,
    /// Bounds and prices.
    pub scaling: &'p ScalingPolicy,
    /// Its endpoints that don't leave.
    pub endpoints: Vec<&'p Endpoint>,
    /// Work asked of it.
    pub arrivals: ArrivalRates,
}

/// Demand on one service as the plan sees it.
#[derive(Debug, Clone, Copy)]
struct ServiceDemand {
    at: Duration,
    peak_tokens_per_s: f64,
    growth_factor: f64,
    growth_changed_at: Duration,
    first_request_at: Option<Duration>,
    /// Most ordinary replicas seen before the work was known.
    initial_replicas: u32,
    initial_replicas_changed_at: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Ordered {
    replicas: u32,
    at: Duration,
    /// Whether all of them were there at some time since.
    was_met: bool,
}

/// Plans of all services.
#[derive(Debug, Default)]
pub struct Planner {
    ordered: BTreeMap<ReplicaGroup, Ordered>,
    refused_until: BTreeMap<ReplicaGroup, Duration>,
    demands: BTreeMap<String, ServiceDemand>,
    surplus_since: BTreeMap<String, Duration>,
}

/// Counts by data centre.
type ReplicaCounts = BTreeMap<String, u32>;

impl Planner {
    /// Orders that bring a service to its plan.
    pub fn plan(&mut self, now: Duration, inputs: &PlanInputs<'_>) -> Vec<Order> {
        self.record_met_orders(inputs);
        let needed = self.needed(now, inputs);
        let reclaimable = self.reclaimable_targets(now, inputs, needed);
        // Before there is work, the replicas of the start may still be appearing.
        let may_order =
            self.demands.get(inputs.service).is_some_and(|each| each.may_plan_on_demand(now));
        let ordinary = if may_order {
            self.on_demand_targets(now, inputs, needed, &reclaimable)
        } else {
            ReplicaCounts::new()
        };
        let mut orders = Vec::new();
        for (targets, is_reclaimable) in [(reclaimable, true), (ordinary, false)] {
            for (data_centre, replicas) in targets {
                let group = group(inputs, &data_centre, is_reclaimable);
                if self.must_order(now, inputs, &group, replicas) {
                    orders.push(Order { group, replicas });
                }
            }
        }
        orders
    }

    /// Notes which orders are met, so that a later loss shows.
    fn record_met_orders(&mut self, inputs: &PlanInputs<'_>) {
        let (ordinary, reclaimable) = (count(inputs, false), count(inputs, true));
        let places = self.ordered.iter_mut().filter(|(group, _)| group.service == inputs.service);
        for (group, ordered) in places {
            let counts = if group.is_reclaimable { &reclaimable } else { &ordinary };
            let present = counts.get(&group.data_centre).copied().unwrap_or_default();
            ordered.was_met |= present >= ordered.replicas;
        }
    }

    /// Takes the answer to an order.
    pub fn on_order_outcome(&mut self, now: Duration, order: &Order, answer: OrderOutcome) {
        match answer {
            OrderOutcome::Accepted => {
                let ordered = Ordered { replicas: order.replicas, at: now, was_met: false };
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

    /// Forgets all orders, as another gateway may have given others since.
    pub fn clear_orders(&mut self) {
        self.ordered.clear();
        self.refused_until.clear();
        self.surplus_since.clear();
    }

    fn needed(&mut self, now: Duration, inputs: &PlanInputs<'_>) -> u32 {
        let demand = self.demands.entry(inputs.service.to_owned()).or_insert(ServiceDemand {
            at: now,
            peak_tokens_per_s: 0.0,
            growth_factor: 1.0,
            growth_changed_at: now,
            first_request_at: None,
            initial_replicas: 0,
            initial_replicas_changed_at: now,
        });
        let waiting: u64 = inputs.endpoints.iter().map(|each| each.waiting_tokens()).sum();
        let is_short = waiting > WAITING_TOKENS_HIGH * inputs.endpoints.len() as u64;
        demand.update(now, &inputs.arrivals, is_short);
        let replicas = demand.peak_tokens_per_s / TOKENS_PER_REPLICA_S * demand.growth_factor;
        let needed = (replicas + SPARE_REPLICAS).ceil().max(2.0);
        if demand.is_demand_known(now) {
            return needed as u32;
        }
        let present: u32 = count(inputs, false).values().sum();
        if present > demand.initial_replicas {
            demand.initial_replicas = present;
            demand.initial_replicas_changed_at = now;
        }
        needed.max(f64::from(demand.initial_replicas) * STARTUP_NEEDED_SHARE) as u32
    }

    fn reclaimable_targets(
        &self,
        now: Duration,
        inputs: &PlanInputs<'_>,
        needed: u32,
    ) -> ReplicaCounts {
        let scaling = inputs.scaling;
        if scaling.reclaimable_price.is_none() || scaling.prices.is_empty() {
            return ReplicaCounts::new();
        }
        // What is left when one data centre's leave is to suffice.
        let remaining = (scaling.prices.len() as u32 - 1).max(1);
        let each = needed.div_ceil(remaining).clamp(1, scaling.max_replicas);
        let present = count(inputs, true);
        let ordinary = count(inputs, false);
        let targets = scaling.prices.keys().map(|data_centre| {
            let group = group(inputs, data_centre, true);
            let must_refuse = self.refused_until.get(&group).is_some_and(|&until| now < until);
            let present = present.get(data_centre).copied().unwrap_or_default();
            let others = self.expected_replicas(now, inputs, &ordinary, data_centre, false);
            let room = scaling.max_replicas.saturating_sub(others);
            (data_centre.clone(), if must_refuse { present } else { each.min(room) })
        });
        targets.collect()
    }

    /// Changes as few ordinary replicas as possible: added where they are cheap, given up
    /// where they are dear.
    fn on_demand_targets(
        &mut self,
        now: Duration,
        inputs: &PlanInputs<'_>,
        needed: u32,
        reclaimable_targets: &ReplicaCounts,
    ) -> ReplicaCounts {
        let scaling = inputs.scaling;
        let reclaimable = count(inputs, true);
        let present = count(inputs, false);
        let mut targets: ReplicaCounts = scaling
            .prices
            .keys()
            .map(|name| (name.clone(), self.expected_replicas(now, inputs, &present, name, false)))
            .collect();
        let total: u32 = targets.values().sum();
        let base = (f64::from(needed) * ON_DEMAND_SHARE).ceil() as u32;
        // Reclaims come in waves: the data centre with most of them may be next.
        let live: u32 = reclaimable.values().sum();
        let remaining = live - reclaimable.values().max().copied().unwrap_or_default();
        let wanted = base.max(needed.saturating_sub(remaining));
        let wanted = self.delay_shrink(now, inputs, wanted, total);
        let mut by_price: Vec<(&String, f64)> =
            scaling.prices.iter().map(|(name, &price)| (name, price)).collect();
        by_price.sort_by(|left, right| left.1.total_cmp(&right.1));
        let mut missing = wanted.saturating_sub(total);
        let mut surplus = total.saturating_sub(wanted);
        for (name, _) in &by_price {
            let others = reclaimable.get(*name).copied().unwrap_or_default();
            let planned = reclaimable_targets.get(*name).copied().unwrap_or_default();
            let ordered =
                self.expected_replicas(now, inputs, &reclaimable, name, true).max(planned);
            let target = targets.entry((*name).clone()).or_default();
            let least = scaling.min_replicas.saturating_sub(others);
            let room = scaling.max_replicas.saturating_sub(ordered + *target);
            let added = missing.min(room).max(least.saturating_sub(*target));
            *target += added;
            missing = missing.saturating_sub(added);
        }
        for (name, _) in by_price.iter().rev() {
            let others = reclaimable.get(*name).copied().unwrap_or_default();
            let target = targets.entry((*name).clone()).or_default();
            let least = scaling.min_replicas.saturating_sub(others);
            let removed = surplus.min(target.saturating_sub(least));
            *target -= removed;
            surplus -= removed;
        }
        targets
    }

    /// Replicas of a data centre and market, those just ordered included.
    fn expected_replicas(
        &self,
        now: Duration,
        inputs: &PlanInputs<'_>,
        present: &ReplicaCounts,
        data_centre: &str,
        is_reclaimable: bool,
    ) -> u32 {
        let present = present.get(data_centre).copied().unwrap_or_default();
        match self.ordered.get(&group(inputs, data_centre, is_reclaimable)) {
            Some(ordered) if now < ordered.at + inputs.scaling.boot_time + ORDER_REPEAT_DELAY => {
                ordered.replicas
            }
            _ => present,
        }
    }

    /// Keeps ordinary replicas until fewer have sufficed for a while.
    fn delay_shrink(
        &mut self,
        now: Duration,
        inputs: &PlanInputs<'_>,
        wanted: u32,
        total: u32,
    ) -> u32 {
        let kept =
            self.demands.get(inputs.service).map_or(total, |each| each.min_kept_replicas(now));
        let wanted = wanted.max(kept);
        if wanted >= total {
            self.surplus_since.remove(inputs.service);
            return wanted.max(total);
        }
        let since = *self.surplus_since.entry(inputs.service.to_owned()).or_insert(now);
        if now >= since + SHRINK_DELAY { wanted } else { total }
    }

    fn must_order(
        &self,
        now: Duration,
        inputs: &PlanInputs<'_>,
        group: &ReplicaGroup,
        replicas: u32,
    ) -> bool {
        if self.refused_until.get(group).is_some_and(|&until| now < until) {
            return false;
        }
        let present = count(inputs, group.is_reclaimable);
        let present = present.get(&group.data_centre).copied().unwrap_or_default();
        match self.ordered.get(group) {
            None => present != replicas,
            Some(ordered) if ordered.replicas != replicas => true,
            Some(ordered) => {
                let is_overdue = now >= ordered.at + inputs.scaling.boot_time + ORDER_REPEAT_DELAY;
                present < replicas && (ordered.was_met || is_overdue)
            }
        }
    }
}

fn group(inputs: &PlanInputs<'_>, data_centre: &str, is_reclaimable: bool) -> ReplicaGroup {
    ReplicaGroup {
        service: inputs.service.to_owned(),
        data_centre: data_centre.to_owned(),
        is_reclaimable,
    }
}

impl ServiceDemand {
    /// Whether there is work, or the replicas of the start have all appeared.
    fn may_plan_on_demand(&self, now: Duration) -> bool {
        let have_appeared = self.initial_replicas > 0
            && now >= self.initial_replicas_changed_at + STARTUP_QUIET_TIME;
        self.first_request_at.is_some() || have_appeared
    }

    /// Ordinary replicas that stay whatever the plan says, until the work is known.
    fn min_kept_replicas(&self, now: Duration) -> u32 {
        let share = if self.is_demand_known(now) { 0.0 } else { STARTUP_KEPT_SHARE };
        (f64::from(self.initial_replicas) * share).ceil() as u32
    }

    /// Whether the work was seen for long enough to give replicas up.
    fn is_demand_known(&self, now: Duration) -> bool {
        self.first_request_at.is_some_and(|at| now >= at + KNOWN_DEMAND_DELAY)
    }

    fn update(&mut self, now: Duration, arrivals: &ArrivalRates, is_short: bool) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        let decayed = self.peak_tokens_per_s * (-elapsed / PEAK_DECAY.as_secs_f64()).exp();
        self.peak_tokens_per_s = decayed.max(arrivals.tokens_per_s);
        if arrivals.tokens_per_s > 0.0 {
            self.first_request_at.get_or_insert(now);
        }
        if now < self.growth_changed_at + GROWTH_INTERVAL {
            return;
        }
        let late_share = arrivals.late_share();
        if late_share > LATE_SHARE_HIGH && is_short {
            self.growth_factor = (self.growth_factor * GROWTH_STEP_FACTOR).min(MAX_GROWTH_FACTOR);
            self.growth_changed_at = now;
        } else if late_share < LATE_SHARE_LOW || !is_short {
            self.growth_factor = (self.growth_factor / GROWTH_STEP_FACTOR).max(1.0);
            self.growth_changed_at = now;
        }
    }
}

fn count(inputs: &PlanInputs<'_>, is_reclaimable: bool) -> ReplicaCounts {
    let mut counts = ReplicaCounts::new();
    for endpoint in &inputs.endpoints {
        if endpoint.entry.is_reclaimable == is_reclaimable {
            *counts.entry(endpoint.entry.data_centre.clone()).or_default() += 1;
        }
    }
    counts
}
