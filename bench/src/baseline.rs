//! Baseline policies for endpoint choice.

use std::collections::HashSet;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rhubarbrock::{endpoint, id, routing};

/// A policy that chooses an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The policy of rhubarbrock's router.
    Own,
    /// Each endpoint in turn.
    RoundRobin,
    /// The endpoint with the lowest corrected load.
    LeastLoaded,
    /// The less loaded of two endpoints drawn at random.
    PowerOfTwo,
    /// The longest prefix match by the actual caches, among endpoints below the router's load bound by
    /// the actual loads.
    Oracle,
}

impl Policy {
    pub(crate) const ALL: [Policy; 5] =
        [Policy::Own, Policy::RoundRobin, Policy::LeastLoaded, Policy::PowerOfTwo, Policy::Oracle];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Policy::Own => "rhubarbrock",
            Policy::RoundRobin => "round robin",
            Policy::LeastLoaded => "least loaded",
            Policy::PowerOfTwo => "power of two",
            Policy::Oracle => "oracle",
        }
    }
}

/// Actual state of one endpoint; only the oracle reads it.
#[derive(Debug, Clone, Default)]
pub(crate) struct ActualState {
    pub(crate) cached: HashSet<id::BlockHash>,
    /// Requests in flight, of all nodes.
    pub(crate) requests: u32,
}

/// State of a policy at one node.
pub(crate) struct Baseline {
    policy: Policy,
    rng: ChaCha8Rng,
    turn: u64,
}

impl Baseline {
    pub(crate) fn new(policy: Policy, rng: ChaCha8Rng) -> Baseline {
        Baseline { policy, rng, turn: 0 }
    }

    /// Chooses among the endpoints that are below their concurrency limit, which every policy obeys.
    pub(crate) fn choose(
        &mut self,
        actual_states: &[ActualState],
        router: &routing::Router,
        now: Duration,
        query: &routing::Query<'_>,
    ) -> Result<routing::Choice, routing::NoEndpoint> {
        if self.policy == Policy::Own {
            return router.choose(now, query);
        }
        let available = available_endpoints(router, now, query);
        let chosen = match self.policy {
            Policy::Own | Policy::LeastLoaded => least_loaded(&available),
            Policy::RoundRobin => self.round_robin(&available),
            Policy::PowerOfTwo => self.power_of_two(&available),
            Policy::Oracle => oracle(actual_states, &available, query),
        };
        let Some((endpoint, load)) = chosen else {
            let reason = routing::NoEndpointReason::AllFull;
            return Err(routing::NoEndpoint { reason, retry_after: Duration::from_millis(100) });
        };
        let reason = routing::Reason {
            rule: routing::Rule::Cheapest,
            matched_tokens: 0,
            prompt_tokens: query.prompt_tokens,
            load,
            bound: 0.0,
            limit: 0.0,
            cost_us: 0,
            candidates: available.len(),
            is_stale: false,
        };
        Ok(routing::Choice { endpoint, reason })
    }

    fn round_robin(
        &mut self,
        available: &[(id::EndpointId, f64)],
    ) -> Option<(id::EndpointId, f64)> {
        self.turn += 1;
        (!available.is_empty()).then(|| available[self.turn as usize % available.len()])
    }

    fn power_of_two(
        &mut self,
        available: &[(id::EndpointId, f64)],
    ) -> Option<(id::EndpointId, f64)> {
        if available.is_empty() {
            return None;
        }
        let one = available[self.rng.random_range(0..available.len())];
        let other = available[self.rng.random_range(0..available.len())];
        Some(if other.1 < one.1 { other } else { one })
    }
}

fn available_endpoints(
    router: &routing::Router,
    now: Duration,
    query: &routing::Query<'_>,
) -> Vec<(id::EndpointId, f64)> {
    let mut available = Vec::new();
    for known in router.endpoints() {
        let id = known.listing.endpoint;
        let load = router.load(now, id).requests;
        let usable_limit_share = if query.leaves_headroom {
            routing::Settings::default().usable_limit_share
        } else {
            1.0
        };
        let is_live = known.state(now) == endpoint::State::Live;
        if is_live
            && load < known.limit_requests() * usable_limit_share
            && !query.exclude.contains(&id)
        {
            available.push((id, load));
        }
    }
    available
}

fn least_loaded(available: &[(id::EndpointId, f64)]) -> Option<(id::EndpointId, f64)> {
    available.iter().copied().min_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)))
}

fn oracle(
    actual_states: &[ActualState],
    available: &[(id::EndpointId, f64)],
    query: &routing::Query<'_>,
) -> Option<(id::EndpointId, f64)> {
    let settings = routing::Settings::default();
    let load = |id: id::EndpointId| f64::from(actual_states[id as usize - 1].requests);
    let mean =
        available.iter().map(|(id, _)| load(*id)).sum::<f64>() / available.len().max(1) as f64;
    let bound = mean * settings.load_bound + settings.load_slack;
    let below = available.iter().filter(|(id, _)| load(*id) < bound);
    let matched = |id: id::EndpointId| {
        let cached = &actual_states[id as usize - 1].cached;
        query.blocks.iter().take_while(|block| cached.contains(block)).count()
    };
    let best = below.max_by(|(a, _), (b, _)| {
        let by_load = load(*b).total_cmp(&load(*a));
        matched(*a).cmp(&matched(*b)).then(by_load).then(b.cmp(a))
    });
    best.copied()
}
