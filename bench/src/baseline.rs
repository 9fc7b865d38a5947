//! Endpoint choices to compare with.

use std::collections::HashSet;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rhubarbrock::{endpoint, id, routing};

/// Ways to choose an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// rhubarbrock's.
    Own,
    /// Each in turn.
    RoundRobin,
    /// The one with the lowest corrected load.
    LeastLoaded,
    /// The less loaded of two drawn at random.
    PowerOfTwo,
    /// The longest prefix by the true caches, below the same bound by the true loads.
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

/// What is true of one endpoint; only the oracle looks at it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Truth {
    pub(crate) cached: HashSet<id::BlockHash>,
    /// Requests sent and not ended, of all nodes.
    pub(crate) requests: u32,
}

/// State of a baseline at one node.
pub(crate) struct Baseline {
    policy: Policy,
    rng: ChaCha8Rng,
    turn: u64,
}

impl Baseline {
    pub(crate) fn new(policy: Policy, rng: ChaCha8Rng) -> Baseline {
        Baseline { policy, rng, turn: 0 }
    }

    /// Chooses among the endpoints that are below their limit, by which every way abides.
    pub(crate) fn choose(
        &mut self,
        truths: &[Truth],
        router: &routing::Router,
        now: Duration,
        query: &routing::Query<'_>,
    ) -> Result<routing::Choice, routing::NoEndpoint> {
        if self.policy == Policy::Own {
            return router.choose(now, query);
        }
        let open = open(router, now, query);
        let chosen = match self.policy {
            Policy::Own | Policy::LeastLoaded => least(&open),
            Policy::RoundRobin => self.next(&open),
            Policy::PowerOfTwo => self.two(&open),
            Policy::Oracle => oracle(truths, &open, query),
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
            candidates: open.len(),
            is_stale: false,
        };
        Ok(routing::Choice { endpoint, reason })
    }

    fn next(&mut self, open: &[(id::EndpointId, f64)]) -> Option<(id::EndpointId, f64)> {
        self.turn += 1;
        (!open.is_empty()).then(|| open[self.turn as usize % open.len()])
    }

    fn two(&mut self, open: &[(id::EndpointId, f64)]) -> Option<(id::EndpointId, f64)> {
        if open.is_empty() {
            return None;
        }
        let one = open[self.rng.random_range(0..open.len())];
        let other = open[self.rng.random_range(0..open.len())];
        Some(if other.1 < one.1 { other } else { one })
    }
}

fn open(
    router: &routing::Router,
    now: Duration,
    query: &routing::Query<'_>,
) -> Vec<(id::EndpointId, f64)> {
    let mut open = Vec::new();
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
            open.push((id, load));
        }
    }
    open
}

fn least(open: &[(id::EndpointId, f64)]) -> Option<(id::EndpointId, f64)> {
    open.iter().copied().min_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)))
}

fn oracle(
    truths: &[Truth],
    open: &[(id::EndpointId, f64)],
    query: &routing::Query<'_>,
) -> Option<(id::EndpointId, f64)> {
    let settings = routing::Settings::default();
    let load = |id: id::EndpointId| f64::from(truths[id as usize - 1].requests);
    let mean = open.iter().map(|(id, _)| load(*id)).sum::<f64>() / open.len().max(1) as f64;
    let bound = mean * settings.load_bound + settings.load_slack;
    let below = open.iter().filter(|(id, _)| load(*id) < bound);
    let matched = |id: id::EndpointId| {
        let cached = &truths[id as usize - 1].cached;
        query.blocks.iter().take_while(|block| cached.contains(block)).count()
    };
    let best = below.max_by(|(a, _), (b, _)| {
        let by_load = load(*b).total_cmp(&load(*a));
        matched(*a).cmp(&matched(*b)).then(by_load).then(b.cmp(a))
    });
    best.copied()
}
