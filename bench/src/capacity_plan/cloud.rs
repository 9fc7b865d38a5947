//! Simulated cloud, which starts and reclaims instances.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbrock::capacity::{
    self, CapacityPool, Planner, Replica, ReplicaState, ScalingAction, ServiceLoad,
};
use rhubarbrock::endpoint::Market;
use rhubarbrock_schema::release as schema;

use super::{Day, HOLDING_TIME, MAX_START_S, Outcome, SLOTS_PER_CLASS, STEP, slots_of};

const RECLAIM_NOTICE: Duration = Duration::from_secs(30);

/// Mean lifetime of a reclaimable instance outside of reclaim waves, in hours.
const MEAN_RECLAIMABLE_LIFETIME_H: f64 = 8.0;

/// Probability that a start is refused, beside the refusals after waves.
const RECLAIMABLE_REFUSAL_RATE: f64 = 0.15;

const ON_DEMAND_REFUSAL_RATE: f64 = 0.02;

const MIN_START_S: u64 = 60;

struct Instance {
    replica: Replica,
    live_at: u32,
    gone_at: Option<u32>,
}

/// Instances of the simulated cloud.
pub(super) struct CloudFleet {
    rng: ChaCha8Rng,
    instances: Vec<Instance>,
    next: u64,
}

impl CloudFleet {
    pub(super) fn new(seed: u64) -> CloudFleet {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
        CloudFleet { rng, instances: Vec::new(), next: 1 }
    }

    /// Completes starts, and reclaims and removes instances, for one step.
    pub(super) fn advance(&mut self, day: &Day, step: u32, outcome: &mut Outcome) {
        self.instances.retain(|instance| instance.gone_at.is_none_or(|at| at > step));
        let notice = (RECLAIM_NOTICE.as_secs() / STEP.as_secs()) as u32;
        let reclaim_probability = STEP.as_secs_f64() / 3_600.0 / MEAN_RECLAIMABLE_LIFETIME_H;
        for instance in &mut self.instances {
            if instance.replica.state == ReplicaState::Starting && instance.live_at <= step {
                instance.replica.state = ReplicaState::Live;
            }
            let pool = &instance.replica.pool;
            let is_reclaimable = pool.market == Market::Reclaimable;
            let is_reclaimed_alone = self.rng.random_bool(reclaim_probability);
            let is_hit_by_wave =
                day.waves.iter().any(|(at, hit, _)| *at == step && *hit == pool.data_centre);
            if is_reclaimable
                && instance.gone_at.is_none()
                && (is_reclaimed_alone || is_hit_by_wave)
            {
                instance.replica.state = ReplicaState::Leaving;
                instance.gone_at = Some(step + notice);
                outcome.reclaimed += 1;
            }
        }
    }

    /// Slots of live instances.
    pub(super) fn live_slots(&self) -> u32 {
        let live =
            self.instances.iter().filter(|instance| instance.replica.state == ReplicaState::Live);
        live.map(|instance| slots_of(&instance.replica.pool.class)).sum()
    }

    pub(super) fn slots(&self, matches: impl Fn(&CapacityPool) -> bool) -> u32 {
        let pools = self.instances.iter().map(|instance| &instance.replica.pool);
        pools.filter(|pool| matches(pool)).map(|pool| slots_of(&pool.class)).sum()
    }

    /// Price of one step; an instance is paid for from its start request until it is removed.
    pub(super) fn cost(&self, prices: &BTreeMap<CapacityPool, f64>) -> f64 {
        let hourly: f64 =
            self.instances.iter().map(|instance| prices[&instance.replica.pool]).sum();
        hourly * STEP.as_secs_f64() / 3_600.0
    }

    pub(super) fn decide(
        &mut self,
        planner: &mut Planner,
        services: &[schema::Service],
        policy: &schema::Policy,
        day: &Day,
        step: u32,
        outcome: &mut Outcome,
    ) {
        // The planner sees the load of the previous step.
        let busy_slots = day.busy[step.saturating_sub(1) as usize];
        let loads = BTreeMap::from([(
            services[0].name.clone(),
            ServiceLoad { busy_slots, holding_time: HOLDING_TIME },
        )]);
        let slots =
            SLOTS_PER_CLASS.iter().map(|(class, slots)| ((*class).to_owned(), *slots)).collect();
        let replicas: Vec<Replica> =
            self.instances.iter().map(|instance| instance.replica.clone()).collect();
        let now = STEP * step;
        let input = capacity::PlanInput {
            now,
            policy,
            services,
            loads: &loads,
            slots: &slots,
            prices: &day.prices[step as usize],
            replicas: &replicas,
            lead_time: Duration::from_secs(MAX_START_S),
        };
        for action in planner.plan(&input) {
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
                ScalingAction::Reassign { .. } => {
                    unreachable!("a plan with one service reassigns no instance")
                }
            }
        }
    }

    pub(super) fn start(
        &mut self,
        service: String,
        pool: &CapacityPool,
        day: &Day,
        step: u32,
    ) -> bool {
        let refused = match pool.market {
            Market::Reclaimable => RECLAIMABLE_REFUSAL_RATE,
            Market::OnDemand => ON_DEMAND_REFUSAL_RATE,
        };
        let start_s = self.rng.random_range(MIN_START_S..=MAX_START_S);
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
