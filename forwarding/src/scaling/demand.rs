//! Demand on one service, from which its replicas are planned.

use std::time::Duration;

use super::{PlanInput, prompt_utilisation, usable_slots};

/// Time constant with which a demand peak decays. Ordering a released replica again costs its boot
/// time, and it starts with an empty cache.
const PEAK_DECAY: Duration = Duration::from_secs(20);

/// Time for which demand must have been observed before on-demand replicas are released.
const KNOWN_DEMAND_DELAY: Duration = Duration::from_secs(4);

/// Fraction of late first events above which the plan grows.
const LATE_SHARE_HIGH: f64 = 0.06;

/// Fraction of late first events below which the plan shrinks back.
const LATE_SHARE_LOW: f64 = 0.04;

/// Minimum fraction of the initial on-demand replicas that is kept until the demand is known.
const MIN_STARTUP_SHARE: f64 = 0.4;

/// Time without a new on-demand replica after which all initial ones have appeared: three
/// heartbeats.
const STARTUP_QUIET_TIME: Duration = Duration::from_millis(3_600);

/// Average time to process the waiting prompts of a replica above which more replicas help. With
/// less, late first events have other causes.
const BACKLOG_TIME: Duration = Duration::from_millis(50);

/// Factor per step by which the plan grows while first events are late.
const GROWTH_STEP_FACTOR: f64 = 1.25;

/// Maximum factor by which the plan grows.
const MAX_GROWTH_FACTOR: f64 = 2.5;

/// Interval between two growth steps: the time until an order takes effect.
const GROWTH_INTERVAL: Duration = Duration::from_secs(4);

/// Demand on one service.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceDemand {
    pub(super) updated_at: Duration,
    /// Last known prompt speed of a replica.
    pub(super) tokens_per_s_per_replica: f64,
    /// Peak of the replicas that the demand takes.
    pub(super) peak_replicas: f64,
    pub(super) growth_factor: f64,
    pub(super) growth_changed_at: Duration,
    pub(super) first_request_at: Option<Duration>,
    /// Most on-demand replicas seen before the demand was known.
    pub(super) initial_replicas: u32,
    pub(super) initial_replicas_changed_at: Duration,
}

impl ServiceDemand {
    /// Whether there was demand, or all initial replicas have appeared.
    pub(super) fn may_plan_on_demand(&self, now: Duration) -> bool {
        let have_all_appeared = self.initial_replicas > 0
            && now >= self.initial_replicas_changed_at + STARTUP_QUIET_TIME;
        self.first_request_at.is_some() || have_all_appeared
    }

    /// On-demand replicas that are kept until the demand is known, whatever the plan.
    pub(super) fn min_kept_replicas(&self, now: Duration) -> u32 {
        let share = if self.is_demand_known(now) { 0.0 } else { MIN_STARTUP_SHARE };
        (f64::from(self.initial_replicas) * share).ceil() as u32
    }

    /// Whether demand was observed for long enough to release replicas.
    pub(super) fn is_demand_known(&self, now: Duration) -> bool {
        self.first_request_at.is_some_and(|at| now >= at + KNOWN_DEMAND_DELAY)
    }

    pub(super) fn update(&mut self, now: Duration, input: &PlanInput<'_>) {
        let arrivals = &input.arrivals;
        if let Some(tokens_per_s) = arrivals.prompt_samples.tokens_per_s() {
            self.tokens_per_s_per_replica = tokens_per_s;
        }
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let decayed = self.peak_replicas * (-elapsed / PEAK_DECAY.as_secs_f64()).exp();
        self.peak_replicas = decayed.max(self.busy_replicas(input));
        if arrivals.tokens_per_s > 0.0 {
            self.first_request_at.get_or_insert(now);
        }
        if now < self.growth_changed_at + GROWTH_INTERVAL {
            return;
        }
        let late_share = arrivals.late_share();
        let is_backlogged = self.is_backlogged(input);
        if late_share > LATE_SHARE_HIGH && is_backlogged {
            self.growth_factor = (self.growth_factor * GROWTH_STEP_FACTOR).min(MAX_GROWTH_FACTOR);
            self.growth_changed_at = now;
        } else if late_share < LATE_SHARE_LOW || !is_backlogged {
            self.growth_factor = (self.growth_factor / GROWTH_STEP_FACTOR).max(1.0);
            self.growth_changed_at = now;
        }
    }

    /// Replicas that the arriving work takes at the planned utilisation: for its prompts, or for the
    /// requests in progress.
    pub(super) fn busy_replicas(&self, input: &PlanInput<'_>) -> f64 {
        let for_prompts = input.arrivals.tokens_per_s
            / self.tokens_per_s_per_replica
            / prompt_utilisation(input.report_interval);
        let capacities = input.endpoints.iter().map(|endpoint| f64::from(endpoint.entry.capacity));
        let capacity: f64 = capacities.sum();
        if capacity == 0.0 {
            return for_prompts;
        }
        let slots_per_replica = capacity / input.endpoints.len() as f64;
        for_prompts.max(input.arrivals.requests_in_progress() / usable_slots(slots_per_replica))
    }

    pub(super) fn is_backlogged(&self, input: &PlanInput<'_>) -> bool {
        let waiting_tokens: f64 =
            input.endpoints.iter().map(|endpoint| endpoint.waiting_tokens() as f64).sum();
        let tokens_per_s = self.tokens_per_s_per_replica * input.endpoints.len() as f64;
        waiting_tokens > tokens_per_s * BACKLOG_TIME.as_secs_f64()
    }
}
