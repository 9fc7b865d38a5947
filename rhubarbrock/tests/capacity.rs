//! The capacity plan: size, spread, share, moves, back-off, and no flapping.

use std::collections::BTreeMap;
use std::time::Duration;

use bolero::TypeGenerator;
use rhubarbrock::back_off::BackOff;
use rhubarbrock::capacity::{
    CapacityPool, PlanInput, Planner, Replica, ReplicaState, ScalingAction, ServiceLoad,
};
use rhubarbrock::endpoint::Market;
use rhubarbrock::{defaults, sizing};
use rhubarbrock_schema::release as schema;

mod seeds;

const STEP: Duration = Duration::from_secs(10);
const HOLD: Duration = Duration::from_secs(6);
const CLASS: &str = "small";
const SLOTS: u32 = 8;

/// A cloud that gives what is asked at once, except where it refuses.
struct World {
    policy: schema::Policy,
    services: Vec<schema::Service>,
    loads: BTreeMap<String, ServiceLoad>,
    prices: BTreeMap<CapacityPool, f64>,
    replicas: Vec<Replica>,
    planner: Planner,
    now: Duration,
    next: u64,
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
            next: 1,
        }
    }

    fn set_busy(&mut self, name: &str, busy_slots: f64) {
        self.loads.insert(name.to_owned(), ServiceLoad { busy_slots, holding_time: HOLD });
    }

    fn step(&mut self, is_refused: impl Fn(&CapacityPool) -> bool) -> Vec<ScalingAction> {
        self.now += STEP;
        let slots = BTreeMap::from([(CLASS.to_owned(), SLOTS)]);
        let view = PlanInput {
            now: self.now,
            policy: &self.policy,
            services: &self.services,
            loads: &self.loads,
            slots: &slots,
            prices: &self.prices,
            replicas: &self.replicas,
            lead_time: STEP,
        };
        let actions = self.planner.plan(&view);
        for action in &actions {
            self.obey(action, &is_refused);
        }
        actions
    }

    fn obey(&mut self, action: &ScalingAction, is_refused: &impl Fn(&CapacityPool) -> bool) {
        match action {
            ScalingAction::Start { pool, .. } if is_refused(pool) => {
                self.planner.on_start_refused(pool, self.now);
            }
            ScalingAction::Start { service, pool } => {
                self.planner.on_start_accepted(pool);
                let (instance, service) = (self.next, service.clone());
                self.next += 1;
                let state = ReplicaState::Live;
                self.replicas.push(Replica { instance, service, pool: pool.clone(), state });
            }
            ScalingAction::Terminate { instance } => {
                self.replicas.retain(|replica| replica.instance != *instance);
            }
            ScalingAction::Reassign { instance, service } => {
                let moved = self.replicas.iter_mut().find(|known| known.instance == *instance);
                moved.unwrap().service.clone_from(service);
            }
        }
    }

    fn count(&self, name: &str, wanted: impl Fn(&CapacityPool) -> bool) -> usize {
        let own = self.replicas.iter().filter(|replica| replica.service == name);
        own.filter(|replica| wanted(&replica.pool)).count()
    }
}

fn no_refusal(_: &CapacityPool) -> bool {
    false
}

#[test]
fn the_target_the_share_and_the_spread_are_kept() {
    let all: &[&str] = &["a", "b", "c"];
    // The data centres that give reclaimable instances.
    let cases = [(3.0, all), (20.0, all), (45.0, all), (150.0, all), (45.0, &["a"])];
    for (busy, giving) in cases {
        let mut world = World::new(&["one"]);
        world.set_busy("one", busy);
        for _ in 0..30 {
            world.step(|pool| {
                pool.market == Market::Reclaimable && !giving.contains(&pool.data_centre.as_str())
            });
        }
        let total = world.count("one", |_| true);
        let reclaimable = world.count("one", |pool| pool.market == Market::Reclaimable);
        let target = Duration::from_millis(defaults::FIRST_TOKEN_TARGET_MS.into());
        let late = sizing::late_share(total as u32 * SLOTS, busy, HOLD, target);
        assert!(late <= sizing::MAX_LATE_SHARE, "{busy}: {late}");
        assert!(reclaimable * 100 <= total * 80, "{busy}: {reclaimable} of {total}");
        for data_centre in ["a", "b", "c"] {
            let lost = world.count("one", |pool| {
                pool.market == Market::Reclaimable && pool.data_centre == data_centre
            });
            let left = (total - lost) as f64 * f64::from(SLOTS);
            assert!(left >= 0.8 * busy, "{busy}: {left} slots without {data_centre}");
        }
    }
}

#[test]
fn idle_replicas_move_before_any_is_bought() {
    let mut world = World::new(&["one", "two"]);
    world.set_busy("one", 60.0);
    world.set_busy("two", 1.0);
    for _ in 0..40 {
        world.step(no_refusal);
    }
    let before = world.replicas.len();
    world.set_busy("one", 1.0);
    // The peak of the last minutes keeps the replicas until it is past.
    for _ in 0..36 {
        world.step(no_refusal);
    }
    world.set_busy("two", 40.0);
    let mut moved = 0;
    for _ in 0..10 {
        for action in world.step(no_refusal) {
            let is_bought = matches!(action, ScalingAction::Start { .. });
            let is_idle_left = world.count("one", |_| true) > 1;
            assert!(!is_bought || !is_idle_left, "bought although replicas were idle");
            moved += usize::from(matches!(action, ScalingAction::Reassign { .. }));
        }
    }
    assert!(moved >= 4 && world.replicas.len() <= before, "{moved} moved");
}

#[test]
fn steady_work_and_small_noise_change_nothing() {
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
            // Two percent of the work, ten percent of the price.
            world.set_busy("one", 45.0 * (0.98 + 0.04 * f64::from(noise.busy) / 255.0));
            let price = 0.35 * (0.9 + 0.2 * f64::from(noise.price) / 255.0);
            world.prices.insert(pool("b", Market::Reclaimable), price);
            let actions = world.step(no_refusal);
            if step >= 60 {
                changes += actions.len();
            }
        }
        assert!(changes <= 4, "{changes} changes in an hour");
    });
}

#[test]
fn refused_places_are_asked_ever_less() {
    let mut world = World::new(&["one"]);
    world.set_busy("one", 45.0);
    let mut asked = Vec::new();
    for _ in 0..360 {
        let is_asked = |action: &ScalingAction| match action {
            ScalingAction::Start { pool, .. } => pool.market == Market::Reclaimable,
            _ => false,
        };
        let actions = world.step(|pool| pool.market == Market::Reclaimable);
        asked.push(actions.iter().filter(|action| is_asked(action)).count());
    }
    // The work is done meanwhile by what can be had.
    let target = Duration::from_millis(defaults::FIRST_TOKEN_TARGET_MS.into());
    let total = world.replicas.len() as u32 * SLOTS;
    assert!(sizing::late_share(total, 45.0, HOLD, target) <= sizing::MAX_LATE_SHARE);
    let count = |asked: &[usize]| asked.iter().sum::<usize>();
    let (first, last) = (count(&asked[..60]), count(&asked[300..]));
    assert!(
        first > 0 && last <= 3 * 3,
        "{first} starts in the first ten minutes, {last} in the last"
    );
}

#[test]
fn back_off_doubles_with_jitter() {
    let mut waits = Vec::new();
    for seed in 0..50 {
        let mut back_off = BackOff::new(seed);
        let mut now = Duration::ZERO;
        for refusals in 0..8 {
            back_off.record_refusal(&"place", now);
            let from = now;
            while !back_off.is_open(&"place", now) {
                now += Duration::from_millis(100);
            }
            let longest = Duration::from_secs((15 << refusals).min(600));
            let waited = now - from;
            assert!(waited + Duration::from_millis(200) >= longest / 2 && waited <= longest + STEP);
            if refusals == 0 {
                waits.push(waited);
            }
        }
        back_off.record_acceptance(&"place");
        assert!(back_off.is_open(&"place", Duration::ZERO) && !back_off.was_last_refused(&"place"));
    }
    waits.sort();
    waits.dedup();
    assert!(waits.len() > 10, "no jitter: {waits:?}");
}

/// Erlang C against its closed forms: one slot, and a queue without patience.
#[test]
fn sizing_follows_erlang() {
    let hold = Duration::from_secs(1);
    for percent in [10, 50, 90] {
        let busy = f64::from(percent) / 100.0;
        // One slot: a request waits at all with the share of time that the slot is taken.
        let waiting = sizing::late_share(1, busy, hold, Duration::ZERO);
        assert!((waiting - busy).abs() < 1e-9);
        let target = Duration::from_secs(2);
        let late = sizing::late_share(1, busy, hold, target);
        assert!((late - busy * (-2.0 * (1.0 - busy)).exp()).abs() < 1e-9);
    }
    for busy in [0.5, 7.0, 80.0, 1_000.0] {
        let target = Duration::from_millis(570);
        let slots = sizing::slots_needed(busy, HOLD, target, 0.05);
        assert!(sizing::late_share(slots, busy, HOLD, target) <= 0.05);
        assert!(sizing::late_share(slots - 1, busy, HOLD, target) > 0.05);
    }
}
