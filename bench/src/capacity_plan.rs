//! `capacity-plan`: simulates a day of load, prices, reclaims and refused starts under several plans.
//!
//! A planner runs against a simulated cloud, with a seed and on a virtual clock. The plans are the
//! policy, the policy with on-demand or reclaimable instances only, and a clairvoyant plan, which
//! knows load and prices of each step in advance and changes its fleet at no cost.

mod cloud;

use std::collections::BTreeMap;
use std::f64::consts::TAU;
use std::time::Duration;

use argh::FromArgs;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbrock::capacity::{CapacityPool, Planner};
use rhubarbrock::endpoint::Market;
use rhubarbrock::{note, sizing};
use rhubarbrock_schema::release as schema;

use cloud::CloudFleet;

const STEP: Duration = Duration::from_secs(10);
const STEPS: u32 = 8_640;
/// Time that a request holds its slot.
const HOLDING_TIME: Duration = Duration::from_secs(6);
/// Machine classes, with the slots of an instance of each.
const SLOTS_PER_CLASS: [(&str, u32); 2] = [("accelerator-small", 8), ("accelerator-large", 16)];
/// Price per hour of an on-demand instance of each class.
const ON_DEMAND_PRICES: [f64; 2] = [1.0, 1.95];
const MAX_START_S: u64 = 120;
const RECLAIM_WAVES_PER_DAY: f64 = 3.0;
/// Longest time for which a data centre refuses to start reclaimable instances after a wave.
const MAX_REFUSAL_S: u64 = 2_400;

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
    /// Busy slots at the day's peak, without bursts.
    peak_busy_slots: f64,
    bursts: u32,
    burst_factor: f64,
    burst_s: u64,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "gourd (cost first)",
        note: include_str!("../../examples/gourd.release.toml"),
        data_centres: ["berkshire", "merrimack", "narragansett"],
        peak_busy_slots: 60.0,
        bursts: 3,
        burst_factor: 1.3,
        burst_s: 600,
    },
    Deployment {
        name: "shucking (latency first)",
        note: include_str!("../../examples/shucking.release.toml"),
        data_centres: ["can-gio", "vung-tau", "ben-tre"],
        peak_busy_slots: 60.0,
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

/// Load, prices and reclaim waves of one day, the same for all plans.
struct Day {
    /// Busy slots in each step.
    busy: Vec<f64>,
    prices: Vec<BTreeMap<CapacityPool, f64>>,
    /// Step and data centre of each wave, and the step at which starts there are possible again.
    waves: Vec<(u32, String, u32)>,
}

#[derive(Debug, Clone, Default)]
struct Outcome {
    cost: f64,
    /// Steps in which 95 in 100 requests had their first token in time, in percent of all steps.
    steps_met: f64,
    /// Requests that had their first token in time, in percent of all requests.
    requests_met: f64,
    starts: u32,
    refused: u32,
    reclaimed: u32,
    /// Mean number of slots paid for.
    slots: f64,
    /// Share of these slots that is on demand, in percent.
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
            let reclaimed = column(&|plans| f64::from(plans[index].reclaimed));
            println!(
                "| {} | {name} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
                deployment.name,
                median_and_max(on_demand, 2),
                median_and_max(clairvoyant, 2),
                median_and_min(steps, 2),
                median_and_min(requests, 2),
                median_and_max(column(&|plans| plans[index].slots), 0),
                median_and_max(column(&|plans| plans[index].on_demand), 0),
                median_and_max(starts, 0),
                median_and_max(refused, 0),
                median_and_max(reclaimed, 0),
            );
        }
        Ok(())
    }
}

/// Formats the median and the worst value, the highest.
fn median_and_max(mut values: Vec<f64>, digits: usize) -> String {
    values.sort_by(f64::total_cmp);
    format!("{:.digits$} ({:.digits$})", values[values.len() / 2], values[values.len() - 1])
}

/// Formats the median and the worst value, the lowest.
fn median_and_min(mut values: Vec<f64>, digits: usize) -> String {
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
            let day_fraction = f64::from(step) / f64::from(STEPS);
            let daily = 0.65 - 0.35 * (TAU * day_fraction).cos();
            let in_burst =
                |&from: &u32| (from..from + steps_of(deployment.burst_s)).contains(&step);
            let factor = if bursts.iter().any(in_burst) { deployment.burst_factor } else { 1.0 };
            deployment.peak_busy_slots * daily * factor * (1.0 + noise)
        })
        .collect()
}

fn prices(deployment: &Deployment, rng: &mut ChaCha8Rng) -> Vec<BTreeMap<CapacityPool, f64>> {
    let mut shares: BTreeMap<CapacityPool, f64> = BTreeMap::new();
    for (index, data_centre) in deployment.data_centres.iter().enumerate() {
        for (class, _) in SLOTS_PER_CLASS {
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
            let class = SLOTS_PER_CLASS.iter().position(|(class, _)| *class == pool.class).unwrap();
            (pool.clone(), share * ON_DEMAND_PRICES[class])
        };
        all.push(shares.iter().map(price).collect());
    }
    all
}

fn waves(deployment: &Deployment, rng: &mut ChaCha8Rng) -> Vec<(u32, String, u32)> {
    let mut waves = Vec::new();
    for step in 0..STEPS {
        if rng.random_bool(RECLAIM_WAVES_PER_DAY / f64::from(STEPS)) {
            let data_centre = deployment.data_centres[rng.random_range(0..3)].to_owned();
            let refusal_s = rng.random_range(MAX_REFUSAL_S / 4..MAX_REFUSAL_S);
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
    let mut tracker = TargetTracker::default();
    for step in 0..STEPS {
        fleet.advance(day, step, &mut outcome);
        let slots = fleet.live_slots();
        tracker.add(slots, day.busy[step as usize], &services[0]);
        outcome.cost += fleet.cost(&day.prices[step as usize]);
        outcome.slots += f64::from(fleet.slots(|_| true)) / f64::from(STEPS);
        let on_demand = fleet.slots(|pool| pool.market == Market::OnDemand);
        outcome.on_demand += 100.0 * f64::from(on_demand) / f64::from(STEPS);
        fleet.decide(&mut planner, &services, &policy, day, step, &mut outcome);
    }
    tracker.finish(&mut outcome);
    outcome.on_demand /= outcome.slots;
    outcome
}

/// Outcome of the cheapest fleet that meets the target in each step, with instances that start at
/// once.
fn clairvoyant(service: &schema::Service, policy: &schema::Policy, day: &Day) -> Outcome {
    let mut outcome = Outcome::default();
    let mut tracker = TargetTracker::default();
    let target = Duration::from_millis(u64::from(service.first_token_target_ms));
    for step in 0..STEPS {
        let busy = day.busy[step as usize];
        let needed = sizing::slots_needed(busy, HOLDING_TIME, target, sizing::MAX_LATE_SHARE);
        let replicas = needed.div_ceil(SLOTS_PER_CLASS[0].1).max(service.min_replicas);
        // Whole instances, and at most the share of reclaimable slots that the policy allows.
        let slots = replicas * SLOTS_PER_CLASS[0].1;
        let reclaimable = replicas * policy.max_reclaimable_percent / 100 * SLOTS_PER_CLASS[0].1;
        let hourly = cheapest(day, step, Market::Reclaimable, reclaimable)
            + cheapest(day, step, Market::OnDemand, slots - reclaimable);
        let slots = f64::from(slots);
        outcome.cost += hourly * STEP.as_secs_f64() / 3_600.0;
        outcome.slots += slots / f64::from(STEPS);
        tracker.add(replicas * SLOTS_PER_CLASS[0].1, busy, service);
    }
    tracker.finish(&mut outcome);
    outcome.on_demand = f64::from(100 - policy.max_reclaimable_percent);
    outcome
}

/// Lowest price per hour of this many slots, in whole instances.
fn cheapest(day: &Day, step: u32, market: Market, slots: u32) -> f64 {
    let prices = &day.prices[step as usize];
    let lowest = |class: &str| {
        let offers = prices.iter().filter(|(pool, _)| {
            let is_reclaimable = pool.market == Market::Reclaimable && !day.refuses(step, pool);
            let is_allowed = pool.market == market || market == Market::Reclaimable;
            let is_available = pool.market == Market::OnDemand || is_reclaimable;
            pool.class == class && is_allowed && is_available
        });
        offers.map(|(_, price)| *price).fold(f64::INFINITY, f64::min)
    };
    let [(small, small_slots), (large, large_slots)] = SLOTS_PER_CLASS;
    let pair = lowest(large).min(2.0 * lowest(small));
    let (pairs, rest) = (slots / large_slots, slots % large_slots / small_slots);
    f64::from(pairs) * pair + f64::from(rest) * lowest(small)
}

/// Counts how often the target of the time to first token was met.
#[derive(Default)]
struct TargetTracker {
    steps: u32,
    requests: f64,
    requests_late: f64,
    /// Queued work, in slot-seconds.
    backlog_s: f64,
}

impl TargetTracker {
    fn add(&mut self, slots: u32, busy: f64, service: &schema::Service) {
        let target = Duration::from_millis(u64::from(service.first_token_target_ms));
        let excess_s = (busy - f64::from(slots)) * STEP.as_secs_f64();
        self.backlog_s = (self.backlog_s + excess_s).max(0.0);
        let late = match self.backlog_s > 0.0 {
            true => 1.0,
            false => sizing::late_share(slots, busy, HOLDING_TIME, target),
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

fn slots_of(class: &str) -> u32 {
    SLOTS_PER_CLASS.iter().find(|(known, _)| *known == class).map_or(1, |(_, slots)| *slots)
}
