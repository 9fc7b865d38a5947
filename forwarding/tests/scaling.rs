//! Orders for replicas in typical situations.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use forwarding::arrivals::ArrivalRates;
use forwarding::endpoints::EndpointTable;
use forwarding::release::ScalingPolicy;
use forwarding::scaling::{Order, OrderOutcome, PlanInputs, Planner};
use support::{SERVICE, entry, ms};

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

/// A platform that starts what is ordered at once.
struct World {
    table: EndpointTable,
    planner: Planner,
    scaling: ScalingPolicy,
    counts: BTreeMap<(String, bool), u32>,
    is_dry: bool,
    started: u32,
}

impl World {
    fn new(ordinary: u32) -> World {
        let mut world = World {
            table: EndpointTable::default(),
            planner: Planner::default(),
            scaling: scaling(),
            counts: BTreeMap::new(),
            is_dry: false,
            started: 0,
        };
        for data_centre in DATA_CENTRES {
            world.set(ms(0), data_centre, false, ordinary);
        }
        world
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
            let mut entry = entry(&format!("i{}", self.started), SERVICE, 1, 1);
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
        let endpoints = self.table.of_service(SERVICE).collect();
        let inputs = PlanInputs { service: SERVICE, scaling: &self.scaling, endpoints, arrivals };
        let orders = self.planner.plan(now, &inputs);
        for order in &orders {
            let group = &order.group;
            let must_refuse = self.is_dry && group.is_reclaimable;
            let answer = if must_refuse { OrderOutcome::Refused } else { OrderOutcome::Accepted };
            self.planner.on_order_outcome(now, order, answer);
            if !must_refuse {
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
fn no_ordinary_replica_is_given_up_while_those_of_the_start_still_appear() {
    let mut world = World::new(1);
    for at_s in 0..8 {
        let replicas = 1 + at_s as u32;
        world.set(Duration::from_secs(at_s), "east", false, replicas.min(4));
        let orders = world.plan(at_s, 0.0);
        if at_s < 7 {
            assert!(orders.iter().all(|order| order.group.is_reclaimable), "{at_s}: {orders:?}");
        }
    }
}

#[test]
fn until_there_is_work_as_many_replicas_stay_as_there_were_at_the_start() {
    let mut world = World::new(3);
    for at_s in 0..20 {
        world.plan(at_s, 0.0);
        let total = world.total(false) + world.total(true);
        assert!(total >= 9, "{total} left after {at_s} s");
        assert!(world.total(false) >= 4, "{} ordinary ones after {at_s} s", world.total(false));
    }
    assert!(world.total(false) <= 5, "{} ordinary ones stay", world.total(false));
}

#[test]
fn most_replicas_are_reclaimable_in_the_end() {
    let mut world = World::new(3);
    for at_s in 0..40 {
        world.plan(at_s, 120_000.0);
    }
    assert!(world.total(true) >= 6, "{:?}", world.counts);
    assert!(world.total(false) <= 2, "{:?}", world.counts);
    assert!(world.plan(41, 120_000.0).is_empty(), "the plan does not settle");
}

#[test]
fn what_is_left_after_a_reclaim_suffices_or_is_filled_with_ordinary_replicas() {
    let mut world = World::new(3);
    for at_s in 0..40 {
        world.plan(at_s, 120_000.0);
    }
    let needed = 5;
    world.is_dry = true;
    world.set(Duration::from_secs(41), "east", true, 0);
    assert!(world.total(true) + world.total(false) >= needed, "{:?}", world.counts);
    world.set(Duration::from_secs(42), "west", true, 0);
    for at_s in 42..46 {
        world.plan(at_s, 120_000.0);
    }
    assert!(world.total(true) + world.total(false) >= needed, "{:?}", world.counts);
    for data_centre in DATA_CENTRES {
        let of = |is_reclaimable| world.counts[&(data_centre.to_owned(), is_reclaimable)];
        assert!(of(true) + of(false) >= 1, "{data_centre} has fewer than the least");
    }
}

#[test]
fn refused_orders_are_not_repeated_at_once() {
    let mut world = World::new(3);
    world.is_dry = true;
    assert!(!world.plan(0, 120_000.0).is_empty());
    let again = world.plan(1, 120_000.0);
    assert!(again.iter().all(|order| !order.group.is_reclaimable), "{again:?}");
}

#[test]
fn no_data_centre_exceeds_its_most() {
    let mut world = World::new(3);
    for at_s in 0..60 {
        world.plan(at_s, 900_000.0);
        for data_centre in DATA_CENTRES {
            let rows = world.counts.iter().filter(|((name, _), _)| name == data_centre);
            let total: u32 = rows.map(|(_, replicas)| replicas).sum();
            assert!(total <= 6, "{data_centre} has {total}");
        }
    }
}

#[test]
fn after_each_reclaim_enough_is_left_for_the_next() {
    let mut world = World::new(3);
    for at_s in 0..40 {
        world.plan(at_s, 120_000.0);
    }
    let needed = 5;
    world.is_dry = true;
    for (turn, data_centre) in ["north", "east", "west"].into_iter().enumerate() {
        let at_s = 40 + 10 * turn as u64;
        world.set(Duration::from_secs(at_s), data_centre, true, 0);
        let left = world.total(true) + world.total(false);
        assert!(left >= needed, "{left} left after {data_centre}: {:?}", world.counts);
        for second in 0..10 {
            world.plan(at_s + second, 120_000.0);
        }
    }
}
