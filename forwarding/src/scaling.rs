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

use crate::arrivals::Arrivals;
use crate::endpoints::Endpoint;
use crate::release::Scaling;

/// Tokens of prompts a second planned for one replica: a third of what engines of this kind
/// read, as shared parts are read again after a loss and decoding goes on beside prompts.
const TOKENS_PER_REPLICA_S: f64 = 30_000.0;

/// Time in which a peak of the work fades from the plan; replicas that were given up take
/// their start and their empty cache to come back.
const PEAK_FADES: Duration = Duration::from_secs(20);

/// Time for which work must have been seen before ordinary replicas are given up.
const FIRST_SHRINK_DELAY: Duration = Duration::from_secs(4);

/// Part of late first events above which more replicas are planned.
const LATE_SHARE_HIGH: f64 = 0.06;

/// Part of late first events below which the plan goes back.
const LATE_SHARE_LOW: f64 = 0.04;

/// Part of the ordinary replicas found at the start that are taken for needed until the work
/// is known.
const UNKNOWN_WORK_SHARE: f64 = 0.6;

/// Part of the ordinary replicas found at the start that stay until the work is known.
const KEPT_SHARE: f64 = 0.4;

/// Time without a new ordinary replica after which those of the start have all appeared: three
/// heartbeats.
const START_SETTLED: Duration = Duration::from_millis(3_600);

/// Prompt tokens that wait at a replica, on average, above which more replicas help: what one
/// reads in some 50 ms. First events are late for other reasons where less waits.
const WAITING_TOKENS_HIGH: u64 = 4_000;

/// Step by which the plan grows while first events are late.
const GROWTH: f64 = 1.25;

/// Largest growth of the plan.
const MAX_GROWTH: f64 = 2.5;

/// Interval between two steps of growth, the time that an order takes to show.
const GROWTH_INTERVAL: Duration = Duration::from_secs(4);

/// Part of the planned replicas that are ordinary where reclaimable ones are to be had.
const ORDINARY_SHARE: f64 = 0.2;

/// Replicas planned beyond the need, so that one may fail.
const SPARE_REPLICAS: f64 = 1.0;

/// Time for which fewer ordinary replicas must suffice before some are given up.
const SHRINK_DELAY: Duration = Duration::from_secs(4);

/// Pause after an order that was refused.
const REFUSED_PAUSE: Duration = Duration::from_secs(4);

/// Time beyond a replica's start after which an order that did not show is repeated.
const REPEAT_DELAY: Duration = Duration::from_secs(4);

/// Replicas of one service, data centre and market.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
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
    pub place: Place,
    /// How many there should be.
    pub replicas: u32,
}

/// Answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answered {
    /// Accepted.
    Accepted,
    /// There are none to be had now.
    Refused,
    /// Nobody knows.
    Unknown,
}

/// What a plan is made from.
#[derive(Debug)]
pub struct View<'v> {
    /// Service.
    pub service: &'v str,
    /// Bounds and prices.
    pub scaling: &'v Scaling,
    /// Its endpoints that don't leave.
    pub endpoints: Vec<&'v Endpoint>,
    /// Work asked of it.
    pub arrivals: Arrivals,
}

/// Demand on one service as the plan sees it.
#[derive(Debug, Clone, Copy)]
struct Demand {
    at: Duration,
    peak_tokens_per_s: f64,
    growth: f64,
    grown_at: Duration,
    first_work_at: Option<Duration>,
    /// Most ordinary replicas seen before the work was known.
    found_replicas: u32,
    found_at: Duration,
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
    ordered: BTreeMap<Place, Ordered>,
    refused_until: BTreeMap<Place, Duration>,
    demands: BTreeMap<String, Demand>,
    surplus_since: BTreeMap<String, Duration>,
}

/// Counts by data centre.
type Counts = BTreeMap<String, u32>;

impl Planner {
    /// Orders that bring a service to its plan.
    pub fn plan(&mut self, now: Duration, view: &View<'_>) -> Vec<Order> {
        self.note_met(view);
        let needed = self.needed(now, view);
        let reclaimable = self.reclaimable_targets(now, view, needed);
        // Before there is work, the replicas of the start may still be appearing.
        let may_order = self.demands.get(view.service).is_some_and(|each| each.is_settled(now));
        let ordinary = if may_order {
            self.ordinary_targets(now, view, needed, &reclaimable)
        } else {
            Counts::new()
        };
        let mut orders = Vec::new();
        for (targets, is_reclaimable) in [(reclaimable, true), (ordinary, false)] {
            for (data_centre, replicas) in targets {
                let place = place(view, &data_centre, is_reclaimable);
                if self.must_order(now, view, &place, replicas) {
                    orders.push(Order { place, replicas });
                }
            }
        }
        orders
    }

    /// Notes which orders are met, so that a later loss shows.
    fn note_met(&mut self, view: &View<'_>) {
        let (ordinary, reclaimable) = (count(view, false), count(view, true));
        let places = self.ordered.iter_mut().filter(|(place, _)| place.service == view.service);
        for (place, ordered) in places {
            let counts = if place.is_reclaimable { &reclaimable } else { &ordinary };
            let present = counts.get(&place.data_centre).copied().unwrap_or_default();
            ordered.was_met |= present >= ordered.replicas;
        }
    }

    /// Takes the answer to an order.
    pub fn on_answer(&mut self, now: Duration, order: &Order, answer: Answered) {
        match answer {
            Answered::Accepted => {
                let ordered = Ordered { replicas: order.replicas, at: now, was_met: false };
                self.ordered.insert(order.place.clone(), ordered);
                self.refused_until.remove(&order.place);
            }
            Answered::Refused => {
                self.ordered.remove(&order.place);
                self.refused_until.insert(order.place.clone(), now + REFUSED_PAUSE);
            }
            Answered::Unknown => {
                self.ordered.remove(&order.place);
            }
        }
    }

    /// Forgets all orders, as another gateway may have given others since.
    pub fn forget_orders(&mut self) {
        self.ordered.clear();
        self.refused_until.clear();
        self.surplus_since.clear();
    }

    fn needed(&mut self, now: Duration, view: &View<'_>) -> u32 {
        let demand = self.demands.entry(view.service.to_owned()).or_insert(Demand {
            at: now,
            peak_tokens_per_s: 0.0,
            growth: 1.0,
            grown_at: now,
            first_work_at: None,
            found_replicas: 0,
            found_at: now,
        });
        let waiting: u64 = view.endpoints.iter().map(|each| each.waiting_tokens()).sum();
        let is_short = waiting > WAITING_TOKENS_HIGH * view.endpoints.len() as u64;
        demand.update(now, &view.arrivals, is_short);
        let replicas = demand.peak_tokens_per_s / TOKENS_PER_REPLICA_S * demand.growth;
        let needed = (replicas + SPARE_REPLICAS).ceil().max(2.0);
        if demand.is_known(now) {
            return needed as u32;
        }
        let present: u32 = count(view, false).values().sum();
        if present > demand.found_replicas {
            demand.found_replicas = present;
            demand.found_at = now;
        }
        needed.max(f64::from(demand.found_replicas) * UNKNOWN_WORK_SHARE) as u32
    }

    fn reclaimable_targets(&self, now: Duration, view: &View<'_>, needed: u32) -> Counts {
        let scaling = view.scaling;
        if scaling.reclaimable_price.is_none() || scaling.prices.is_empty() {
            return Counts::new();
        }
        // What is left when one data centre's leave is to suffice.
        let remaining = (scaling.prices.len() as u32 - 1).max(1);
        let each = needed.div_ceil(remaining).clamp(1, scaling.max_replicas);
        let present = count(view, true);
        let ordinary = count(view, false);
        let targets = scaling.prices.keys().map(|data_centre| {
            let place = place(view, data_centre, true);
            let is_refused = self.refused_until.get(&place).is_some_and(|&until| now < until);
            let present = present.get(data_centre).copied().unwrap_or_default();
            let others = self.standing(now, view, &ordinary, data_centre, false);
            let room = scaling.max_replicas.saturating_sub(others);
            (data_centre.clone(), if is_refused { present } else { each.min(room) })
        });
        targets.collect()
    }

    /// Changes as few ordinary replicas as possible: added where they are cheap, given up
    /// where they are dear.
    fn ordinary_targets(
        &mut self,
        now: Duration,
        view: &View<'_>,
        needed: u32,
        reclaimable_targets: &Counts,
    ) -> Counts {
        let scaling = view.scaling;
        let reclaimable = count(view, true);
        let present = count(view, false);
        let mut targets: Counts = scaling
            .prices
            .keys()
            .map(|name| (name.clone(), self.standing(now, view, &present, name, false)))
            .collect();
        let total: u32 = targets.values().sum();
        let base = (f64::from(needed) * ORDINARY_SHARE).ceil() as u32;
        // Reclaims come in waves: the data centre with most of them may be next.
        let live: u32 = reclaimable.values().sum();
        let remaining = live - reclaimable.values().max().copied().unwrap_or_default();
        let wanted = base.max(needed.saturating_sub(remaining));
        let wanted = self.shrink_slowly(now, view, wanted, total);
        let mut by_price: Vec<(&String, f64)> =
            scaling.prices.iter().map(|(name, &price)| (name, price)).collect();
        by_price.sort_by(|left, right| left.1.total_cmp(&right.1));
        let mut missing = wanted.saturating_sub(total);
        let mut surplus = total.saturating_sub(wanted);
        for (name, _) in &by_price {
            let others = reclaimable.get(*name).copied().unwrap_or_default();
            let planned = reclaimable_targets.get(*name).copied().unwrap_or_default();
            let ordered = self.standing(now, view, &reclaimable, name, true).max(planned);
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
    fn standing(
        &self,
        now: Duration,
        view: &View<'_>,
        present: &Counts,
        data_centre: &str,
        is_reclaimable: bool,
    ) -> u32 {
        let present = present.get(data_centre).copied().unwrap_or_default();
        match self.ordered.get(&place(view, data_centre, is_reclaimable)) {
            Some(ordered) if now < ordered.at + view.scaling.boot + REPEAT_DELAY => {
                ordered.replicas
            }
            _ => present,
        }
    }

    /// Keeps ordinary replicas until fewer have sufficed for a while.
    fn shrink_slowly(&mut self, now: Duration, view: &View<'_>, wanted: u32, total: u32) -> u32 {
        let kept = self.demands.get(view.service).map_or(total, |each| each.kept(now));
        let wanted = wanted.max(kept);
        if wanted >= total {
            self.surplus_since.remove(view.service);
            return wanted.max(total);
        }
        let since = *self.surplus_since.entry(view.service.to_owned()).or_insert(now);
        if now >= since + SHRINK_DELAY { wanted } else { total }
    }

    fn must_order(&self, now: Duration, view: &View<'_>, place: &Place, replicas: u32) -> bool {
        if self.refused_until.get(place).is_some_and(|&until| now < until) {
            return false;
        }
        let present = count(view, place.is_reclaimable);
        let present = present.get(&place.data_centre).copied().unwrap_or_default();
        match self.ordered.get(place) {
            None => present != replicas,
            Some(ordered) if ordered.replicas != replicas => true,
            Some(ordered) => {
                let is_overdue = now >= ordered.at + view.scaling.boot + REPEAT_DELAY;
                present < replicas && (ordered.was_met || is_overdue)
            }
        }
    }
}

fn place(view: &View<'_>, data_centre: &str, is_reclaimable: bool) -> Place {
    Place { service: view.service.to_owned(), data_centre: data_centre.to_owned(), is_reclaimable }
}

impl Demand {
    /// Whether there is work, or the replicas of the start have all appeared.
    fn is_settled(&self, now: Duration) -> bool {
        let have_appeared = self.found_replicas > 0 && now >= self.found_at + START_SETTLED;
        self.first_work_at.is_some() || have_appeared
    }

    /// Ordinary replicas that stay whatever the plan says, until the work is known.
    fn kept(&self, now: Duration) -> u32 {
        let share = if self.is_known(now) { 0.0 } else { KEPT_SHARE };
        (f64::from(self.found_replicas) * share).ceil() as u32
    }

    /// Whether the work was seen for long enough to give replicas up.
    fn is_known(&self, now: Duration) -> bool {
        self.first_work_at.is_some_and(|at| now >= at + FIRST_SHRINK_DELAY)
    }

    fn update(&mut self, now: Duration, arrivals: &Arrivals, is_short: bool) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        let faded = self.peak_tokens_per_s * (-elapsed / PEAK_FADES.as_secs_f64()).exp();
        self.peak_tokens_per_s = faded.max(arrivals.tokens_per_s);
        if arrivals.tokens_per_s > 0.0 {
            self.first_work_at.get_or_insert(now);
        }
        if now < self.grown_at + GROWTH_INTERVAL {
            return;
        }
        let late_share = arrivals.late_share();
        if late_share > LATE_SHARE_HIGH && is_short {
            self.growth = (self.growth * GROWTH).min(MAX_GROWTH);
            self.grown_at = now;
        } else if late_share < LATE_SHARE_LOW || !is_short {
            self.growth = (self.growth / GROWTH).max(1.0);
            self.grown_at = now;
        }
    }
}

fn count(view: &View<'_>, is_reclaimable: bool) -> Counts {
    let mut counts = Counts::new();
    for endpoint in &view.endpoints {
        if endpoint.entry.is_reclaimable == is_reclaimable {
            *counts.entry(endpoint.entry.data_centre.clone()).or_default() += 1;
        }
    }
    counts
}
