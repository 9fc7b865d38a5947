//! Capacity plans: size, spread, reclaimable share, reassignment, back-off and stability.

use std::collections::BTreeMap;
use std::time::Duration;

use bolero::TypeGenerator;
use rhubarbrock::backoff::Backoff;
use rhubarbrock::capacity::{
    CapacityPool, PlanInput, Planner, Replica, ReplicaState, ScalingAction, ServiceLoad,
};
use rhubarbrock::endpoint::Market;
use rhubarbrock::{defaults, sizing};
use rhubarbrock_schema::release as schema;

mod seeds;

const PLAN_INTERVAL: Duration = Duration::from_secs(10);
const HOLDING_TIME: Duration = Duration::from_secs(6);
const CLASS: &str = "small";
const SLOTS_PER_REPLICA: u32 = 8;

/// A cloud in which starts succeed at once, except in pools that refuse them.
struct World {
    policy: schema::Policy,
    services: Vec<schema::Service>,
    loads: BTreeMap<String, ServiceLoad>,
    prices: BTreeMap<CapacityPool, f64>,
    replicas: Vec<Replica>,
    planner: Planner,
    now: Duration,
    next_instance: u64,
}

fn pool(data_centre: &str, market: Market) -> CapacityPool {
    CapacityPool { data_centre: data_centre.to_owned(), class: CLASS.to_owned(), market }
}

fn service(name: &str) -> schema::Service {
    schema::Service {
        name: name.to_owned(),
        classes: vec![CLASS.to_owned()],
        min_replicas: 1,
        max_replicas: 40,
        ..defaults::service(schema::ServiceKind::Model)
    }
}

impl World {
    fn new(names: &[&str]) -> World {
        let mut prices = BTreeMap::new();
        for data_centre in ["a", "b", "c"] {
            prices.insert(pool(data_centre, Market::OnDemand), 1.0);
            prices.insert(pool(data_centre, Market::Reclaimable), 0.35);
        }
        World {
            policy: schema::Policy { max_reclaimable_percent: 80, ..defaults::policy() },
            services: names.iter().map(|name| service(name)).collect(),
            loads: BTreeMap::new(),
            prices,
            replicas: Vec::new(),
            planner: Planner::new(7),
            now: Duration::ZERO,
            next_instance: 1,
        }
    }

    fn set_busy(&mut self, name: &str, busy_slots: f64) {
        self.loads.insert(name.to_owned(), ServiceLoad { busy_slots, holding_time: HOLDING_TIME });
    }

    fn step(&mut self, refuses: impl Fn(&CapacityPool) -> bool) -> Vec<ScalingAction> {
        self.now += PLAN_INTERVAL;
        let slots = BTreeMap::from([(CLASS.to_owned(), SLOTS_PER_REPLICA)]);
        let view = PlanInput {
            now: self.now,
            policy: &self.policy,
            services: &self.services,
            loads: &self.loads,
            slots: &slots,
            prices: &self.prices,
            replicas: &self.replicas,
            lead_time: PLAN_INTERVAL,
        };
        let actions = self.planner.plan(&view);
        for action in &actions {
            self.apply(action, &refuses);
        }
        actions
    }

    fn apply(&mut self, action: &ScalingAction, refuses: &impl Fn(&CapacityPool) -> bool) {
        match action {
            ScalingAction::Start { pool, .. } if refuses(pool) => {
                self.planner.on_start_refused(pool, self.now);
            }
            ScalingAction::Start { service, pool } => {
                self.planner.on_start_accepted(pool);
                let (instance, service) = (self.next_instance, service.clone());
                self.next_instance += 1;
                let state = ReplicaState::Live;
                self.replicas.push(Replica { instance, service, pool: pool.clone(), state });
            }
            ScalingAction::Terminate { instance } => {
                self.replicas.retain(|replica| replica.instance != *instance);
            }
            ScalingAction::Reassign { instance, service } => {
                let reassigned = self.replicas.iter_mut().find(|known| known.instance == *instance);
                reassigned.unwrap().service.clone_from(service);
            }
        }
    }

    fn count(&self, name: &str, wanted: impl Fn(&CapacityPool) -> bool) -> usize {
        let own = self.replicas.iter().filter(|replica| replica.service == name);
        own.filter(|replica| wanted(&replica.pool)).count()
    }
}

fn refuses_none(_: &CapacityPool) -> bool {
    false
}

#[test]
fn keeps_latency_target_reclaimable_share_and_spread() {
    let all: &[&str] = &["a", "b", "c"];
    // Busy slots, and the data centres in which reclaimable instances can be started.
    let cases = [(3.0, all), (20.0, all), (45.0, all), (150.0, all), (45.0, &["a"])];
    for (busy, available_in) in cases {
        let mut world = World::new(&["one"]);
        world.set_busy("one", busy);
        for _ in 0..30 {
            world.step(|pool| {
                pool.market == Market::Reclaimable
                    && !available_in.contains(&pool.data_centre.as_str())
            });
        }
        let total_replicas = world.count("one", |_| true);
        let reclaimable_replicas = world.count("one", |pool| pool.market == Market::Reclaimable);
        let target = Duration::from_millis(defaults::FIRST_TOKEN_TARGET_MS.into());
        let late = sizing::late_share(
            total_replicas as u32 * SLOTS_PER_REPLICA,
            busy,
            HOLDING_TIME,
            target,
        );
        assert!(late <= sizing::MAX_LATE_SHARE, "{busy} busy slots: a share of {late} is late");
        assert!(
            reclaimable_replicas * 100 <= total_replicas * 80,
            "{busy} busy slots: {reclaimable_replicas} of {total_replicas} are reclaimable"
        );
        for data_centre in ["a", "b", "c"] {
            let lost_replicas = world.count("one", |pool| {
                pool.market == Market::Reclaimable && pool.data_centre == data_centre
            });
            let residual_slots =
                (total_replicas - lost_replicas) as f64 * f64::from(SLOTS_PER_REPLICA);
            assert!(
                residual_slots >= 0.8 * busy,
                "{busy} busy slots: {residual_slots} slots left without {data_centre}"
            );
        }
    }
}

#[test]
fn reassigns_idle_replicas_before_starting_instances() {
    let mut world = World::new(&["one", "two"]);
    world.set_busy("one", 60.0);
    world.set_busy("two", 1.0);
    for _ in 0..40 {
        world.step(refuses_none);
    }
    let replicas_before = world.replicas.len();
    world.set_busy("one", 1.0);
    // The replicas are kept until the earlier peak has left the forecast's window.
    for _ in 0..36 {
        world.step(refuses_none);
    }
    world.set_busy("two", 40.0);
    let mut reassigned = 0;
    for _ in 0..10 {
        for action in world.step(refuses_none) {
            let is_start = matches!(action, ScalingAction::Start { .. });
            let is_replica_idle = world.count("one", |_| true) > 1;
            assert!(
                !is_start || !is_replica_idle,
                "started an instance although replicas were idle"
            );
            reassigned += usize::from(matches!(action, ScalingAction::Reassign { .. }));
        }
    }
    assert!(reassigned >= 4 && world.replicas.len() <= replicas_before, "{reassigned} reassigned");
}

#[test]
fn changes_little_under_steady_load_with_noise() {
    #[derive(Debug, TypeGenerator)]
    struct Noise {
        busy: u8,
        price: u8,
    }
    seeds::for_each_seed(20, |source| {
        let mut world = World::new(&["one"]);
        let mut changes = 0;
        for step in 0..400 {
            let noise = Noise::generate(source).unwrap();
            // Load varies by up to two percent and the price by up to ten percent, up and down.
            world.set_busy("one", 45.0 * (0.98 + 0.04 * f64::from(noise.busy) / 255.0));
            let price = 0.35 * (0.9 + 0.2 * f64::from(noise.price) / 255.0);
            world.prices.insert(pool("b", Market::Reclaimable), price);
            let actions = world.step(refuses_none);
            if step >= 60 {
                changes += actions.len();
            }
        }
        assert!(changes <= 4, "{changes} changes in the last 340 steps");
    });
}

#[test]
fn retries_refused_pools_less_often() {
    let mut world = World::new(&["one"]);
    world.set_busy("one", 45.0);
    let mut start_counts = Vec::new();
    for _ in 0..360 {
        let is_reclaimable_start = |action: &ScalingAction| match action {
            ScalingAction::Start { pool, .. } => pool.market == Market::Reclaimable,
            _ => false,
        };
        let actions = world.step(|pool| pool.market == Market::Reclaimable);
        start_counts.push(actions.iter().filter(|action| is_reclaimable_start(action)).count());
    }
    // The latency target is still met, with on-demand replicas.
    let target = Duration::from_millis(defaults::FIRST_TOKEN_TARGET_MS.into());
    let total_slots = world.replicas.len() as u32 * SLOTS_PER_REPLICA;
    assert!(sizing::late_share(total_slots, 45.0, HOLDING_TIME, target) <= sizing::MAX_LATE_SHARE);
    let count = |start_counts: &[usize]| start_counts.iter().sum::<usize>();
    let (first, last) = (count(&start_counts[..60]), count(&start_counts[300..]));
    assert!(
        first > 0 && last <= 3 * 3,
        "{first} starts in the first ten minutes, {last} in the last"
    );
}

#[test]
fn doubles_backoff_with_jitter() {
    let mut waits = Vec::new();
    for seed in 0..50 {
        let mut backoff = Backoff::new(seed);
        let mut now = Duration::ZERO;
        for refusals in 0..8 {
            backoff.record_refusal(&"pool", now);
            let from = now;
            while !backoff.is_open(&"pool", now) {
                now += Duration::from_millis(100);
            }
            let max_wait = Duration::from_secs((15 << refusals).min(600));
            let wait = now - from;
            assert!(
                wait + Duration::from_millis(200) >= max_wait / 2
                    && wait <= max_wait + PLAN_INTERVAL
            );
            if refusals == 0 {
                waits.push(wait);
            }
        }
        backoff.record_acceptance(&"pool");
        assert!(backoff.is_open(&"pool", Duration::ZERO) && !backoff.was_last_refused(&"pool"));
    }
    waits.sort();
    waits.dedup();
    assert!(waits.len() > 10, "no jitter: {waits:?}");
}

/// Checks Erlang C against its closed form for one slot, and that the fewest slots are chosen.
#[test]
fn sizes_by_erlang_c() {
    let holding_time = Duration::from_secs(1);
    for percent in [10, 50, 90] {
        let busy = f64::from(percent) / 100.0;
        // With one slot, the probability of waiting is the share of time in which it is busy.
        let waiting = sizing::late_share(1, busy, holding_time, Duration::ZERO);
        assert!((waiting - busy).abs() < 1e-9);
        let target = Duration::from_secs(2);
        let late = sizing::late_share(1, busy, holding_time, target);
        assert!((late - busy * (-2.0 * (1.0 - busy)).exp()).abs() < 1e-9);
    }
    for busy in [0.5, 7.0, 80.0, 1_000.0] {
        let target = Duration::from_millis(570);
        let slots = sizing::slots_needed(busy, HOLDING_TIME, target, 0.05);
        assert!(sizing::late_share(slots, busy, HOLDING_TIME, target) <= 0.05);
        assert!(sizing::late_share(slots - 1, busy, HOLDING_TIME, target) > 0.05);
    }
}
