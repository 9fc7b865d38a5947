//! Replica orders at start-up, under load and after reclaims.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use forwarding::arrivals::ArrivalRates;
use forwarding::endpoints::EndpointTable;
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

/// Platform that starts ordered replicas immediately.
struct SimulatedPlatform {
    table: EndpointTable,
    planner: Planner,
    scaling: ScalingPolicy,
    counts: BTreeMap<(String, bool), u32>,
    refuses_reclaimable: bool,
    started: u32,
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
            self.table.on_entry(now, entry);
        }
        self.counts.insert(key, replicas);
    }

    fn plan(&mut self, at_s: u64, tokens_per_s: f64) -> Vec<Order> {
        let now = Duration::from_secs(at_s);
        let arrivals =
            ArrivalRates { tokens_per_s, first_events_per_s: 10.0, late_first_events_per_s: 0.0 };
        let endpoints = self.table.of_service(MODEL_SERVICE).collect();
        let input =
            PlanInput { service: MODEL_SERVICE, scaling: &self.scaling, endpoints, arrivals };
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
