//! Replica orders at start-up, under load and after reclaims.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use forwarding::arrivals::ArrivalRates;
use forwarding::endpoints::EndpointTable;
use forwarding::prompt_speed::PromptSamples;
use forwarding::release::ScalingPolicy;
use forwarding::scaling::{Order, OrderOutcome, PlanInput, Planner};
use support::{MODEL_SERVICE, entry, ms};

const DATA_CENTRES: [&str; 3] = ["east", "north", "west"];

fn scaling() -> ScalingPolicy {
    ScalingPolicy {
        min_replicas: 1,
        max_replicas: 6,
        boot_time: Duration::from_secs(4),
        reclaimable_price: Some(0.22),
        prices: BTreeMap::from([
            ("east".to_owned(), 0.85),
            ("north".to_owned(), 1.2),
            ("west".to_owned(), 1.0),
        ]),
    }
}

/// Platform that starts ordered replicas immediately, or with [`SimulatedPlatform::plan_and_boot`]
/// after their boot time.
struct SimulatedPlatform {
    table: EndpointTable,
    planner: Planner,
    scaling: ScalingPolicy,
    counts: BTreeMap<(String, bool), u32>,
    refuses_reclaimable: bool,
    started: u32,
    slots: u32,
    report_interval: Duration,
    /// Accepted orders whose replicas still boot.
    booting: Vec<(Duration, Order)>,
}

impl SimulatedPlatform {
    fn new(on_demand: u32) -> SimulatedPlatform {
        let mut platform = SimulatedPlatform {
            table: EndpointTable::default(),
            planner: Planner::default(),
            scaling: scaling(),
            counts: BTreeMap::new(),
            refuses_reclaimable: false,
            started: 0,
            slots: 64,
            report_interval: ms(150),
            booting: Vec::new(),
        };
        for data_centre in DATA_CENTRES {
            platform.set(ms(0), data_centre, false, on_demand);
        }
        platform
    }

    fn set(&mut self, now: Duration, data_centre: &str, is_reclaimable: bool, replicas: u32) {
        let key = (data_centre.to_owned(), is_reclaimable);
        let present: Vec<String> = self
            .table
            .iter()
            .filter(|each| each.entry.data_centre == data_centre)
            .filter(|each| each.entry.is_reclaimable == is_reclaimable)
            .map(|each| each.entry.id.clone())
            .collect();
        for id in present.iter().skip(replicas as usize) {
            self.table.on_removed(now, id);
        }
        for _ in present.len() as u32..replicas {
            self.started += 1;
            let mut entry = entry(&format!("i{}", self.started), MODEL_SERVICE, 1, 1);
            entry.data_centre = data_centre.to_owned();
            entry.is_reclaimable = is_reclaimable;
            entry.capacity = self.slots;
            self.table.on_entry(now, entry);
        }
        self.counts.insert(key, replicas);
    }

    fn plan(&mut self, at_s: u64, tokens_per_s: f64) -> Vec<Order> {
        let arrivals =
            ArrivalRates { tokens_per_s, first_events_per_s: 10.0, ..ArrivalRates::default() };
        self.plan_for(at_s, arrivals)
    }

    fn plan_for(&mut self, at_s: u64, arrivals: ArrivalRates) -> Vec<Order> {
        let now = Duration::from_secs(at_s);
        let endpoints = self.table.of_service(MODEL_SERVICE).collect();
        let input = PlanInput {
            service: MODEL_SERVICE,
            scaling: &self.scaling,
            endpoints,
            arrivals,
            report_interval: self.report_interval,
        };
        let orders = self.planner.plan(now, &input);
        for order in &orders {
            let group = &order.group;
            let is_refused = self.refuses_reclaimable && group.is_reclaimable;
            let answer = if is_refused { OrderOutcome::Refused } else { OrderOutcome::Accepted };
            self.planner.on_order_outcome(now, order, answer);
            if !is_refused {
                self.set(now, &group.data_centre, group.is_reclaimable, order.replicas);
            }
        }
        orders
    }

    /// Like `plan_for`, but replicas that are added serve after the boot time only.
    fn plan_and_boot(&mut self, at_s: u64, arrivals: ArrivalRates) -> Vec<Order> {
        let now = Duration::from_secs(at_s);
        let (started, booting) = std::mem::take(&mut self.booting)
            .into_iter()
            .partition(|(ready_at, _)| now >= *ready_at);
        self.booting = booting;
        let started: Vec<(Duration, Order)> = started;
        for (_, order) in started {
            let group = order.group;
            self.set(now, &group.data_centre, group.is_reclaimable, order.replicas);
        }
        let endpoints = self.table.of_service(MODEL_SERVICE).collect();
        let input = PlanInput {
            service: MODEL_SERVICE,
            scaling: &self.scaling,
            endpoints,
            arrivals,
            report_interval: self.report_interval,
        };
        let orders = self.planner.plan(now, &input);
        for order in &orders {
            self.planner.on_order_outcome(now, order, OrderOutcome::Accepted);
            let group = &order.group;
            self.booting.retain(|(_, other)| other.group != *group);
            let key = (group.data_centre.clone(), group.is_reclaimable);
            if self.counts.get(&key).is_some_and(|&present| present > order.replicas) {
                self.set(now, &group.data_centre, group.is_reclaimable, order.replicas);
            } else {
                self.booting.push((now + self.scaling.boot_time, order.clone()));
            }
        }
        orders
    }

    fn total(&self, is_reclaimable: bool) -> u32 {
        let rows = self.counts.iter().filter(|((_, each), _)| *each == is_reclaimable);
        rows.map(|(_, replicas)| replicas).sum()
    }
}

#[test]
fn keeps_on_demand_replicas_while_initial_ones_appear() {
    let mut platform = SimulatedPlatform::new(1);
    for at_s in 0..8 {
        let replicas = 1 + at_s as u32;
        platform.set(Duration::from_secs(at_s), "east", false, replicas.min(4));
        let orders = platform.plan(at_s, 0.0);
        if at_s < 7 {
            assert!(orders.iter().all(|order| order.group.is_reclaimable), "{at_s}: {orders:?}");
        }
    }
}

#[test]
fn keeps_initial_capacity_until_demand_is_known() {
    let mut platform = SimulatedPlatform::new(3);
    for at_s in 0..20 {
        platform.plan(at_s, 0.0);
        let total = platform.total(false) + platform.total(true);
        assert!(total >= 9, "{total} replicas left after {at_s} s");
        assert!(
            platform.total(false) >= 4,
            "{} on-demand replicas after {at_s} s",
            platform.total(false)
        );
    }
    assert!(platform.total(false) <= 5, "{} on-demand replicas left", platform.total(false));
}

#[test]
fn converges_to_mostly_reclaimable_replicas() {
    let mut platform = SimulatedPlatform::new(3);
    for at_s in 0..40 {
        platform.plan(at_s, 120_000.0);
    }
    assert!(platform.total(true) >= 6, "{:?}", platform.counts);
    assert!(platform.total(false) <= 2, "{:?}", platform.counts);
    assert!(platform.plan(41, 120_000.0).is_empty(), "the plan does not converge");
}

#[test]
fn replaces_reclaimed_replicas_with_on_demand_ones() {
    let mut platform = SimulatedPlatform::new(3);
    for at_s in 0..40 {
        platform.plan(at_s, 120_000.0);
    }
    let needed = 5;
    platform.refuses_reclaimable = true;
    platform.set(Duration::from_secs(41), "east", true, 0);
    assert!(platform.total(true) + platform.total(false) >= needed, "{:?}", platform.counts);
    platform.set(Duration::from_secs(42), "west", true, 0);
    for at_s in 42..46 {
        platform.plan(at_s, 120_000.0);
    }
    assert!(platform.total(true) + platform.total(false) >= needed, "{:?}", platform.counts);
    for data_centre in DATA_CENTRES {
        let of = |is_reclaimable| platform.counts[&(data_centre.to_owned(), is_reclaimable)];
        assert!(of(true) + of(false) >= 1, "{data_centre} has fewer than min_replicas");
    }
}

#[test]
fn pauses_after_refused_order() {
    let mut platform = SimulatedPlatform::new(3);
    platform.refuses_reclaimable = true;
    assert!(!platform.plan(0, 120_000.0).is_empty());
    let again = platform.plan(1, 120_000.0);
    assert!(again.iter().all(|order| !order.group.is_reclaimable), "{again:?}");
}

#[test]
fn respects_max_replicas_per_data_centre() {
    let mut platform = SimulatedPlatform::new(3);
    for at_s in 0..60 {
        platform.plan(at_s, 900_000.0);
        for data_centre in DATA_CENTRES {
            let rows = platform.counts.iter().filter(|((name, _), _)| name == data_centre);
            let total: u32 = rows.map(|(_, replicas)| replicas).sum();
            assert!(total <= 6, "{data_centre} has {total} replicas");
        }
    }
}

#[test]
fn keeps_enough_replicas_after_successive_reclaims() {
    let mut platform = SimulatedPlatform::new(3);
    for at_s in 0..40 {
        platform.plan(at_s, 120_000.0);
    }
    let needed = 5;
    platform.refuses_reclaimable = true;
    for (turn, data_centre) in ["north", "east", "west"].into_iter().enumerate() {
        let at_s = 40 + 10 * turn as u64;
        platform.set(Duration::from_secs(at_s), data_centre, true, 0);
        let left = platform.total(true) + platform.total(false);
        assert!(
            left >= needed,
            "{left} replicas left after the reclaim in {data_centre}: {:?}",
            platform.counts
        );
        for second in 0..10 {
            platform.plan(at_s + second, 120_000.0);
        }
    }
}

/// Samples of a service whose replicas process `tokens_per_s`; every third one misses the cache.
fn samples(tokens_per_s: f64) -> PromptSamples {
    let mut samples = PromptSamples::default();
    for index in 0..200 {
        let tokens = 200 + index * 37 % 9_000;
        let uncached = if index % 3 == 0 { 2_500.0 } else { 0.0 };
        let latency_s = 0.02 + (tokens as f64 + uncached) / tokens_per_s;
        samples.add(tokens, Duration::from_secs_f64(latency_s));
    }
    samples
}

/// Services of 5 to 500 prompt tokens per millisecond and 1 to 64 slots, with work for 1 to 400 busy
/// replicas and boot times up to 30 s, get the replicas that their work takes and not many more.
#[test]
fn plans_for_speed_slots_and_boot_time_of_any_service() {
    bolero::check!().with_type::<[u16; 5]>().with_iterations(60).for_each(|values| {
        let pick = |index: usize, min: u64, max: u64| {
            min + u64::from(values[index]) * (max - min) / u64::from(u16::MAX)
        };
        let tokens_per_s = pick(0, 5, 500) as f64 * 1_000.0;
        let busy_replicas = pick(2, 1, 400) as f64;
        let slot_share = pick(3, 0, 150) as f64 / 100.0;
        let mut platform = SimulatedPlatform::new(1);
        platform.slots = pick(1, 1, 64) as u32;
        platform.scaling.max_replicas = 2_000;
        platform.scaling.boot_time = Duration::from_secs(pick(4, 0, 30));
        let generating_requests = busy_replicas * slot_share * f64::from(platform.slots);
        let arrivals = ArrivalRates {
            tokens_per_s: tokens_per_s * busy_replicas,
            generating_requests,
            first_events_per_s: 10.0,
            prompt_samples: samples(tokens_per_s),
            ..ArrivalRates::default()
        };
        let mut orders = 0;
        for at_s in 0..150 {
            orders += platform.plan_and_boot(at_s, arrivals).len();
        }
        let in_progress = arrivals.requests_in_progress();
        let work = busy_replicas.max(in_progress / f64::from(platform.slots));
        let reclaimable = platform.total(true);
        let left = reclaimable - reclaimable.div_ceil(3) + platform.total(false);
        assert!(f64::from(left) >= work, "{left} replicas for {work}: {:?}", platform.counts);
        let total = reclaimable + platform.total(false);
        // Replicas with one slot need most of their time free, as requests arrive at random.
        let headroom = if platform.slots < 4 { 14.0 } else { 5.0 };
        assert!(
            f64::from(total) <= 10.0 + headroom * work,
            "{total} for {work}: {:?}",
            platform.counts
        );
        assert!(orders <= 60, "{orders} orders");
    });
}

/// The demand peaks every third second. A replica that is released and ordered again
/// costs its boot time and its cache.
#[test]
fn keeps_replicas_while_demand_varies() {
    let mut platform = SimulatedPlatform::new(3);
    let mut changes = 0;
    for at_s in 0..120 {
        let tokens_per_s = if at_s % 3 == 0 { 91_000.0 } else { 60_000.0 };
        let orders = platform.plan(at_s, tokens_per_s);
        if at_s >= 40 {
            changes += orders.len();
        }
    }
    assert_eq!(changes, 0);
}

/// Gateways that do not see each other's requests load the replicas unevenly.
#[test]
fn plans_more_replicas_with_older_reports() {
    let mut last = 0;
    for report_interval_ms in [150, 550, 2_060] {
        let mut platform = SimulatedPlatform::new(3);
        platform.scaling.max_replicas = 100;
        platform.report_interval = ms(report_interval_ms);
        for at_s in 0..60 {
            platform.plan(at_s, 600_000.0);
        }
        let total = platform.total(true) + platform.total(false);
        assert!(total > last, "{total} replicas at {report_interval_ms} ms, {last} before");
        last = total;
    }
}
