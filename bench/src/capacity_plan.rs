//! A day of load, prices, reclaims and refused starts, replayed against capacity plans.
//!
//! One planner state and a small fake of the cloud, seeded, under a virtual
//! clock. The same day meets the policy, the policy with on-demand or
//! reclaimable instances only, and a plan that knows each step's load and
//! prices beforehand and may change its fleet at no cost.

use std::collections::BTreeMap;
use std::f64::consts::TAU;
use std::time::Duration;

use argh::FromArgs;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbrock::capacity::{
    self, CapacityPool, Planner, Replica, ReplicaState, ScalingAction, ServiceLoad,
};
use rhubarbrock::endpoint::Market;
use rhubarbrock::{note, sizing};
use rhubarbrock_schema::release as schema;

const STEP: Duration = Duration::from_secs(10);
const STEPS: u32 = 8_640;
/// Time that a request of the model takes its slot.
const HOLD: Duration = Duration::from_secs(6);
const SLOTS: [(&str, u32); 2] = [("accelerator-small", 8), ("accelerator-large", 16)];
/// Price per hour of an on-demand instance of each class.
const ON_DEMAND: [f64; 2] = [1.0, 1.95];
const SHORTEST_START_S: u64 = 60;
const LONGEST_START_S: u64 = 120;
const NOTICE: Duration = Duration::from_secs(30);
const WAVES_A_DAY: f64 = 3.0;
/// Mean life of a reclaimable instance apart from waves, in hours.
const RECLAIMABLE_LIFE_H: f64 = 8.0;
const REFUSED_RECLAIMABLE: f64 = 0.15;
const REFUSED_ON_DEMAND: f64 = 0.02;
/// Longest time after a wave in which its data centre gives no reclaimable instance.
const LONGEST_REFUSAL_S: u64 = 2_400;

/// replay a seeded day against capacity plans and print a table
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity-plan")]
pub(crate) struct CapacityPlan {
    /// number of seeds (5)
    #[argh(option, default = "5")]
    seeds: u64,
    /// first seed (1)
    #[argh(option, default = "1")]
    first_seed: u64,
}

struct Deployment {
    name: &'static str,
    note: &'static str,
    data_centres: [&'static str; 3],
    /// Busy slots at the day's peak, bursts apart.
    peak: f64,
    bursts: u32,
    burst_factor: f64,
    burst_s: u64,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "gourd (cost first)",
        note: include_str!("../../examples/gourd.release.toml"),
        data_centres: ["berkshire", "merrimack", "narragansett"],
        peak: 60.0,
        bursts: 3,
        burst_factor: 1.3,
        burst_s: 600,
    },
    Deployment {
        name: "shucking (latency first)",
        note: include_str!("../../examples/shucking.release.toml"),
        data_centres: ["can-gio", "vung-tau", "ben-tre"],
        peak: 60.0,
        bursts: 12,
        burst_factor: 1.5,
        burst_s: 240,
    },
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Plan {
    Policy,
    OnDemand,
    Reclaimable,
    Clairvoyant,
}

const PLANS: [(Plan, &str); 4] = [
    (Plan::Policy, "policy"),
    (Plan::OnDemand, "all on-demand"),
    (Plan::Reclaimable, "all reclaimable"),
    (Plan::Clairvoyant, "clairvoyant"),
];

/// What happens on one day, whatever the plan.
struct Day {
    busy: Vec<f64>,
    prices: Vec<BTreeMap<CapacityPool, f64>>,
    /// Step and data centre of each wave, and the step up to which starts are refused there.
    waves: Vec<(u32, String, u32)>,
}

#[derive(Debug, Clone, Default)]
struct Outcome {
    cost: f64,
    /// Steps in which 95 in 100 requests had their first token in time, in percent.
    steps_met: f64,
    /// Requests that had it in time, in percent.
    requests_met: f64,
    starts: u32,
    refused: u32,
    lost: u32,
    /// Mean number of slots paid for.
    slots: f64,
    /// Share of them that is on demand, in percent.
    on_demand: f64,
}

impl CapacityPlan {
    pub(crate) fn run(self) -> anyhow::Result<()> {
        anyhow::ensure!(self.seeds > 0, "--seeds must be at least 1");
        println!(
            "| deployment | plan | cost / on-demand | cost / clairvoyant | steps in target, % | requests in target, % | slots paid | on demand, % | starts | refused | reclaimed |"
        );
        println!("|---|---|---|---|---|---|---|---|---|---|---|");
        for deployment in &DEPLOYMENTS {
            self.report(deployment)?;
        }
        Ok(())
    }

    fn report(&self, deployment: &Deployment) -> anyhow::Result<()> {
        let note = note::parse(deployment.note)
            .map_err(|faults| anyhow::anyhow!("{}: {}", deployment.name, faults[0]))?;
        let mut outcomes: Vec<Vec<Outcome>> = Vec::new();
        for seed in self.first_seed..self.first_seed + self.seeds {
            let day = Day::new(deployment, seed);
            let run = |(plan, _): &(Plan, &str)| run(deployment, &note, &day, *plan, seed);
            outcomes.push(PLANS.iter().map(run).collect());
        }
        for (index, (_, name)) in PLANS.iter().enumerate() {
            let column = |value: &dyn Fn(&[Outcome]) -> f64| -> Vec<f64> {
                outcomes.iter().map(|plans| value(plans)).collect()
            };
            let on_demand = column(&|plans| plans[index].cost / plans[1].cost);
            let clairvoyant = column(&|plans| plans[index].cost / plans[3].cost);
            let steps = column(&|plans| plans[index].steps_met);
            let requests = column(&|plans| plans[index].requests_met);
            let starts = column(&|plans| f64::from(plans[index].starts));
            let refused = column(&|plans| f64::from(plans[index].refused));
            let lost = column(&|plans| f64::from(plans[index].lost));
            println!(
                "| {} | {name} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
                deployment.name,
                highest(on_demand, 2),
                highest(clairvoyant, 2),
                lowest(steps, 2),
                lowest(requests, 2),
                highest(column(&|plans| plans[index].slots), 0),
                highest(column(&|plans| plans[index].on_demand), 0),
                highest(starts, 0),
                highest(refused, 0),
                highest(lost, 0),
            );
        }
        Ok(())
    }
}

/// Median and worst, where more is worse.
fn highest(mut values: Vec<f64>, digits: usize) -> String {
    values.sort_by(f64::total_cmp);
    format!("{:.digits$} ({:.digits$})", values[values.len() / 2], values[values.len() - 1])
}

/// Median and worst, where less is worse.
fn lowest(mut values: Vec<f64>, digits: usize) -> String {
    values.sort_by(f64::total_cmp);
    format!("{:.digits$} ({:.digits$})", values[values.len() / 2], values[0])
}

impl Day {
    fn new(deployment: &Deployment, seed: u64) -> Day {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let busy = load(deployment, &mut rng);
        let prices = prices(deployment, &mut rng);
        let waves = waves(deployment, &mut rng);
        Day { busy, prices, waves }
    }

    fn refuses(&self, step: u32, pool: &CapacityPool) -> bool {
        let is_hit = |(from, data_centre, until): &(u32, String, u32)| {
            (*from..*until).contains(&step) && *data_centre == pool.data_centre
        };
        pool.market == Market::Reclaimable && self.waves.iter().any(is_hit)
    }
}

fn load(deployment: &Deployment, rng: &mut ChaCha8Rng) -> Vec<f64> {
    let steps_of = |seconds: u64| (seconds / STEP.as_secs()) as u32;
    let bursts: Vec<u32> =
        (0..deployment.bursts).map(|_| rng.random_range(STEPS / 4..STEPS)).collect();
    let mut noise = 0.0;
    (0..STEPS)
        .map(|step| {
            noise = 0.97 * noise + rng.random_range(-0.02..0.02);
            let hour = f64::from(step) / f64::from(STEPS);
            let daily = 0.65 - 0.35 * (TAU * hour).cos();
            let in_burst =
                |&from: &u32| (from..from + steps_of(deployment.burst_s)).contains(&step);
            let factor = if bursts.iter().any(in_burst) { deployment.burst_factor } else { 1.0 };
            deployment.peak * daily * factor * (1.0 + noise)
        })
        .collect()
}

fn prices(deployment: &Deployment, rng: &mut ChaCha8Rng) -> Vec<BTreeMap<CapacityPool, f64>> {
    let mut shares: BTreeMap<CapacityPool, f64> = BTreeMap::new();
    for (index, data_centre) in deployment.data_centres.iter().enumerate() {
        for (class, _) in SLOTS {
            for market in [Market::Reclaimable, Market::OnDemand] {
                let pool = CapacityPool {
                    data_centre: (*data_centre).to_owned(),
                    class: class.to_owned(),
                    market,
                };
                let base = 1.0 + 0.03 * index as f64;
                let share = if market == Market::OnDemand { base } else { 0.35 };
                shares.insert(pool, share);
            }
        }
    }
    let mut all = Vec::new();
    for step in 0..STEPS {
        if step % 30 == 0 {
            for (pool, share) in &mut shares {
                if pool.market == Market::Reclaimable {
                    let drawn = 0.98 * *share + 0.02 * 0.35 + rng.random_range(-0.02..0.02);
                    *share = drawn.clamp(0.2, 0.7);
                }
            }
        }
        let price = |(pool, share): (&CapacityPool, &f64)| {
            let class = SLOTS.iter().position(|(class, _)| *class == pool.class).unwrap();
            (pool.clone(), share * ON_DEMAND[class])
        };
        all.push(shares.iter().map(price).collect());
    }
    all
}

fn waves(deployment: &Deployment, rng: &mut ChaCha8Rng) -> Vec<(u32, String, u32)> {
    let mut waves = Vec::new();
    for step in 0..STEPS {
        if rng.random_bool(WAVES_A_DAY / f64::from(STEPS)) {
            let data_centre = deployment.data_centres[rng.random_range(0..3)].to_owned();
            let refusal_s = rng.random_range(LONGEST_REFUSAL_S / 4..LONGEST_REFUSAL_S);
            waves.push((step, data_centre, step + (refusal_s / STEP.as_secs()) as u32));
        }
    }
    waves
}

fn run(
    deployment: &Deployment,
    note: &schema::ReleaseNote,
    day: &Day,
    plan: Plan,
    seed: u64,
) -> Outcome {
    let mut policy = note.policy.unwrap_or_else(rhubarbrock::defaults::policy);
    match plan {
        Plan::OnDemand => policy.max_reclaimable_percent = 0,
        Plan::Reclaimable => policy.max_reclaimable_percent = 100,
        Plan::Policy | Plan::Clairvoyant => {}
    }
    let services: Vec<schema::Service> =
        note.added.iter().flat_map(|added| added.services.iter().take(1).cloned()).collect();
    assert!(services[0].kind() == schema::ServiceKind::Model, "{}", deployment.name);
    if plan == Plan::Clairvoyant {
        return clairvoyant(&services[0], &policy, day);
    }
    let mut fleet = CloudFleet::new(seed);
    let mut planner = Planner::new(seed);
    let mut outcome = Outcome::default();
    let mut met = Met::default();
    for step in 0..STEPS {
        fleet.pass(day, step, &mut outcome);
        let slots = fleet.live_slots();
        met.add(slots, day.busy[step as usize], &services[0]);
        outcome.cost += fleet.cost(&day.prices[step as usize]);
        outcome.slots += f64::from(fleet.slots(|_| true)) / f64::from(STEPS);
        let on_demand = fleet.slots(|pool| pool.market == Market::OnDemand);
        outcome.on_demand += 100.0 * f64::from(on_demand) / f64::from(STEPS);
        fleet.decide(&mut planner, &services, &policy, day, step, &mut outcome);
    }
    met.finish(&mut outcome);
    outcome.on_demand /= outcome.slots;
    outcome
}

/// Cheapest fleet of each step that meets the target, without starts to wait for.
fn clairvoyant(service: &schema::Service, policy: &schema::Policy, day: &Day) -> Outcome {
    let mut outcome = Outcome::default();
    let mut met = Met::default();
    let target = Duration::from_millis(u64::from(service.first_token_target_ms));
    for step in 0..STEPS {
        let busy = day.busy[step as usize];
        let needed = sizing::slots_needed(busy, HOLD, target, sizing::MAX_LATE_SHARE);
        let replicas = needed.div_ceil(SLOTS[0].1).max(service.min_replicas);
        // Whole instances, and no more reclaimable slots than the policy allows.
        let slots = replicas * SLOTS[0].1;
        let reclaimable = replicas * policy.max_reclaimable_percent / 100 * SLOTS[0].1;
        let hourly = cheapest(day, step, Market::Reclaimable, reclaimable)
            + cheapest(day, step, Market::OnDemand, slots - reclaimable);
        let slots = f64::from(slots);
        outcome.cost += hourly * STEP.as_secs_f64() / 3_600.0;
        outcome.slots += slots / f64::from(STEPS);
        met.add(replicas * SLOTS[0].1, busy, service);
    }
    met.finish(&mut outcome);
    outcome.on_demand = f64::from(100 - policy.max_reclaimable_percent);
    outcome
}

/// Lowest price per hour of this many slots, in whole instances.
fn cheapest(day: &Day, step: u32, market: Market, slots: u32) -> f64 {
    let prices = &day.prices[step as usize];
    let lowest = |class: &str| {
        let open = prices.iter().filter(|(pool, _)| {
            let is_reclaimable = pool.market == Market::Reclaimable && !day.refuses(step, pool);
            let is_allowed = pool.market == market || market == Market::Reclaimable;
            let is_had = pool.market == Market::OnDemand || is_reclaimable;
            pool.class == class && is_allowed && is_had
        });
        open.map(|(_, price)| *price).fold(f64::INFINITY, f64::min)
    };
    let [(small, small_slots), (large, large_slots)] = SLOTS;
    let pair = lowest(large).min(2.0 * lowest(small));
    let (pairs, rest) = (slots / large_slots, slots % large_slots / small_slots);
    f64::from(pairs) * pair + f64::from(rest) * lowest(small)
}

/// How often the target was met.
#[derive(Default)]
struct Met {
    steps: u32,
    requests: f64,
    requests_late: f64,
    /// Work that waits, in slot-seconds.
    backlog_s: f64,
}

impl Met {
    fn add(&mut self, slots: u32, busy: f64, service: &schema::Service) {
        let target = Duration::from_millis(u64::from(service.first_token_target_ms));
        let excess_s = (busy - f64::from(slots)) * STEP.as_secs_f64();
        self.backlog_s = (self.backlog_s + excess_s).max(0.0);
        let late = match self.backlog_s > 0.0 {
            true => 1.0,
            false => sizing::late_share(slots, busy, HOLD, target),
        };
        self.steps += u32::from(late <= sizing::MAX_LATE_SHARE);
        self.requests += busy;
        self.requests_late += busy * late;
    }

    fn finish(&self, outcome: &mut Outcome) {
        outcome.steps_met = 100.0 * f64::from(self.steps) / f64::from(STEPS);
        outcome.requests_met = 100.0 * (1.0 - self.requests_late / self.requests);
    }
}

struct Instance {
    replica: Replica,
    live_at: u32,
    gone_at: Option<u32>,
}

/// The fake cloud's instances.
struct CloudFleet {
    rng: ChaCha8Rng,
    instances: Vec<Instance>,
    next: u64,
}

impl CloudFleet {
    fn new(seed: u64) -> CloudFleet {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
        CloudFleet { rng, instances: Vec::new(), next: 1 }
    }

    /// Starts end, instances are reclaimed.
    fn pass(&mut self, day: &Day, step: u32, outcome: &mut Outcome) {
        self.instances.retain(|instance| instance.gone_at.is_none_or(|at| at > step));
        let notice = (NOTICE.as_secs() / STEP.as_secs()) as u32;
        let hazard = STEP.as_secs_f64() / 3_600.0 / RECLAIMABLE_LIFE_H;
        for instance in &mut self.instances {
            if instance.replica.state == ReplicaState::Starting && instance.live_at <= step {
                instance.replica.state = ReplicaState::Live;
            }
            let pool = &instance.replica.pool;
            let is_reclaimable = pool.market == Market::Reclaimable;
            let is_chance = self.rng.random_bool(hazard);
            let is_wave =
                day.waves.iter().any(|(at, hit, _)| *at == step && *hit == pool.data_centre);
            if is_reclaimable && instance.gone_at.is_none() && (is_chance || is_wave) {
                instance.replica.state = ReplicaState::Leaving;
                instance.gone_at = Some(step + notice);
                outcome.lost += 1;
            }
        }
    }

    /// Slots that take new work.
    fn live_slots(&self) -> u32 {
        let live =
            self.instances.iter().filter(|instance| instance.replica.state == ReplicaState::Live);
        live.map(|instance| slots_of(&instance.replica.pool.class)).sum()
    }

    fn slots(&self, wanted: impl Fn(&CapacityPool) -> bool) -> u32 {
        let pools = self.instances.iter().map(|instance| &instance.replica.pool);
        pools.filter(|pool| wanted(pool)).map(|pool| slots_of(&pool.class)).sum()
    }

    /// Price of one step; an instance is paid from its start to its end.
    fn cost(&self, prices: &BTreeMap<CapacityPool, f64>) -> f64 {
        let hourly: f64 =
            self.instances.iter().map(|instance| prices[&instance.replica.pool]).sum();
        hourly * STEP.as_secs_f64() / 3_600.0
    }

    fn decide(
        &mut self,
        planner: &mut Planner,
        services: &[schema::Service],
        policy: &schema::Policy,
        day: &Day,
        step: u32,
        outcome: &mut Outcome,
    ) {
        // What is known of the load is one step old.
        let busy_slots = day.busy[step.saturating_sub(1) as usize];
        let loads = BTreeMap::from([(
            services[0].name.clone(),
            ServiceLoad { busy_slots, holding_time: HOLD },
        )]);
        let slots = SLOTS.iter().map(|(class, slots)| ((*class).to_owned(), *slots)).collect();
        let replicas: Vec<Replica> =
            self.instances.iter().map(|instance| instance.replica.clone()).collect();
        let now = STEP * step;
        let view = capacity::PlanInput {
            now,
            policy,
            services,
            loads: &loads,
            slots: &slots,
            prices: &day.prices[step as usize],
            replicas: &replicas,
            lead_time: Duration::from_secs(LONGEST_START_S),
        };
        for action in planner.plan(&view) {
            match action {
                ScalingAction::Start { service, pool } => {
                    if self.start(service, &pool, day, step) {
                        planner.on_start_accepted(&pool);
                        outcome.starts += 1;
                    } else {
                        planner.on_start_refused(&pool, now);
                        outcome.refused += 1;
                    }
                }
                ScalingAction::Terminate { instance } => {
                    self.instances.retain(|known| known.replica.instance != instance);
                }
                ScalingAction::Reassign { .. } => unreachable!("there is one service"),
            }
        }
    }

    fn start(&mut self, service: String, pool: &CapacityPool, day: &Day, step: u32) -> bool {
        let refused = match pool.market {
            Market::Reclaimable => REFUSED_RECLAIMABLE,
            Market::OnDemand => REFUSED_ON_DEMAND,
        };
        let start_s = self.rng.random_range(SHORTEST_START_S..=LONGEST_START_S);
        if self.rng.random_bool(refused) || day.refuses(step, pool) {
            return false;
        }
        let replica = Replica {
            instance: self.next,
            service,
            pool: pool.clone(),
            state: ReplicaState::Starting,
        };
        self.next += 1;
        let live_at = step + start_s.div_ceil(STEP.as_secs()) as u32;
        self.instances.push(Instance { replica, live_at, gone_at: None });
        true
    }
}

fn slots_of(class: &str) -> u32 {
    SLOTS.iter().find(|(known, _)| *known == class).map_or(1, |(_, slots)| *slots)
}
