//! Selects the endpoint with the lowest cost for a request.
//!
//! The cost is the expected wait for the first token plus penalties for price, distance and
//! missing information. Endpoints at their concurrency limit or above the load bound are skipped.

use std::time::Duration;

use crate::{endpoint, health, id, prompt, rendezvous, routing, view};

/// Tokens of a cache block, at the estimate of [`prompt::TOKEN_BYTES`] bytes per token.
const BLOCK_TOKENS: u32 = (prompt::BLOCK_BYTES / prompt::TOKEN_BYTES) as u32;

/// Retry time when no ejection or busy period has a known end.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An endpoint that can be selected, with the inputs of its cost.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    endpoint: id::EndpointId,
    load: endpoint::Load,
    limit: f64,
    matched_tokens: u32,
    is_home: bool,
    /// Rank for the shared prefix, from 0; the number of ranked endpoints for all others.
    rank: usize,
    price: f64,
    delay_us: f64,
}

/// Endpoints of a service, by whether they can be selected.
#[derive(Debug, Default)]
struct CandidateSets {
    live: usize,
    excluded: usize,
    /// Earliest time at which an ejected or busy endpoint may be tried.
    next_retry_at: Option<Duration>,
    probe: Option<Candidate>,
    unreachable: Vec<Candidate>,
    healthy: Vec<Candidate>,
}

/// Prompt tokens known to be cached at an endpoint.
pub(crate) fn matched_tokens(matches: &[(id::EndpointId, usize)], endpoint: id::EndpointId) -> u32 {
    let found = matches.iter().find(|(holder, _)| *holder == endpoint);
    found.map_or(0, |(_, blocks)| *blocks as u32 * BLOCK_TOKENS)
}

/// Selects an endpoint; see [`routing::Router::choose`].
pub(crate) fn choose(
    router: &routing::Router,
    now: Duration,
    query: &routing::Query<'_>,
) -> Result<routing::Choice, routing::NoEndpoint> {
    let Some(endpoints) = router.view.services.get(query.service) else {
        return Err(no_endpoint(routing::NoEndpointReason::NoneLive, DEFAULT_RETRY_AFTER));
    };
    let matches = router.prefix_index.matches(query.blocks);
    let homes = Homes::new(router, now, query, endpoints);
    let sets = collect_candidates(router, now, query, endpoints, &matches, &homes);
    if let Some(probe) = sets.probe.filter(|_| query.may_probe && query.exclude.is_empty()) {
        let decision = Decision { rule: routing::Rule::Probe, bound: probe.limit, cost_us: 0.0 };
        return Ok(build_choice(query, &probe, decision, sets.healthy.len() + 1));
    }
    if !sets.healthy.is_empty() {
        return choose_cheapest(router, query, &homes, &sets.healthy, false);
    }
    if !sets.unreachable.is_empty() {
        return choose_cheapest(router, query, &homes, &sets.unreachable, true);
    }
    if let Some(probe) = sets.probe {
        let decision = Decision { rule: routing::Rule::Probe, bound: probe.limit, cost_us: 0.0 };
        return Ok(build_choice(query, &probe, decision, 1));
    }
    let retry_after = sets.next_retry_at.map_or(DEFAULT_RETRY_AFTER, |at| at.saturating_sub(now));
    let reason = match () {
        () if sets.live == 0 => routing::NoEndpointReason::NoneLive,
        () if sets.live == sets.excluded => routing::NoEndpointReason::AllExcluded,
        () => routing::NoEndpointReason::AllEjected,
    };
    Err(no_endpoint(reason, retry_after))
}

fn no_endpoint(reason: routing::NoEndpointReason, retry_after: Duration) -> routing::NoEndpoint {
    routing::NoEndpoint { reason, retry_after }
}

/// Endpoints that every node prefers for a request, by rendezvous hashing.
#[derive(Debug, Default)]
struct Homes {
    /// Home of the dialogue: the highest ranked endpoint for its hash.
    dialogue: Option<id::EndpointId>,
    /// Endpoints for requests with the same shared prefix, highest ranked first.
    shared_prefix: Vec<id::EndpointId>,
    /// Prompt tokens that other dialogues share.
    shared_tokens: u32,
}

impl Homes {
    fn new(
        router: &routing::Router,
        now: Duration,
        query: &routing::Query<'_>,
        endpoints: &view::ServiceEndpoints,
    ) -> Homes {
        if query.dialogue == 0 || !router.settings.prefers_home {
            return Homes::default();
        }
        let dialogue = ranked(router, now, query.dialogue, endpoints, 1).first().copied();
        let shared_blocks = router.prefix_index.shared_prefix_blocks(query.dialogue, query.blocks);
        let shared_prefix = match shared_blocks.checked_ilog2() {
            // Rounding down to a power of two keeps the key while a prefix grows to twice its length.
            Some(power) => {
                let key = query.blocks[(1 << power) - 1];
                ranked(router, now, key, endpoints, router.settings.shared_prefix_endpoints)
            }
            None => Vec::new(),
        };
        Homes { dialogue, shared_prefix, shared_tokens: shared_blocks as u32 * BLOCK_TOKENS }
    }

    fn rank(&self, endpoint: id::EndpointId) -> usize {
        let rank = self.shared_prefix.iter().position(|ranked| *ranked == endpoint);
        rank.unwrap_or(self.shared_prefix.len())
    }
}

/// The `count` healthy endpoints that rank highest for a key, highest first.
fn ranked(
    router: &routing::Router,
    now: Duration,
    key: u64,
    endpoints: &view::ServiceEndpoints,
    count: usize,
) -> Vec<id::EndpointId> {
    let mut ranked: Vec<(u64, id::EndpointId)> = Vec::new();
    for id in &endpoints.all {
        let score = rendezvous::score(key, *id);
        let lowest = ranked.last().map_or(0, |(score, _)| *score);
        if ranked.len() >= count && score <= lowest {
            continue;
        }
        let known = &router.view.endpoints[id];
        if known.health.status(now) != health::Status::Healthy {
            continue;
        }
        ranked.push((score, *id));
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.truncate(count);
    }
    ranked.into_iter().map(|(_, endpoint)| endpoint).collect()
}

/// Classifies the endpoints whose load this node tracks, and the homes.
fn collect_candidates(
    router: &routing::Router,
    now: Duration,
    query: &routing::Query<'_>,
    endpoints: &view::ServiceEndpoints,
    matches: &[(id::EndpointId, usize)],
    homes: &Homes,
) -> CandidateSets {
    let mut sets = CandidateSets::default();
    let mut compared = endpoints.subset.clone();
    compared.extend(homes.dialogue);
    compared.extend(&homes.shared_prefix);
    compared.sort_unstable();
    compared.dedup();
    let usable_limit_share =
        if query.leaves_headroom { router.settings.usable_limit_share } else { 1.0 };
    for id in &compared {
        let known = &router.view.endpoints[id];
        sets.live += 1;
        if query.exclude.contains(id) {
            sets.excluded += 1;
            continue;
        }
        if now < known.busy_until {
            keep_earliest(&mut sets.next_retry_at, known.busy_until);
            continue;
        }
        let candidate = Candidate {
            endpoint: *id,
            load: known.load(now, router.settings.max_load_age),
            limit: known.limit.requests() * usable_limit_share,
            matched_tokens: matched_tokens(matches, *id),
            is_home: homes.dialogue == Some(*id),
            rank: homes.rank(*id),
            price: known.listing.price_per_hour,
            delay_us: delay_us(router, now, known),
        };
        match known.health.status(now) {
            health::Status::Healthy if now < known.unreachable_until => {
                sets.unreachable.push(candidate);
            }
            health::Status::Healthy => sets.healthy.push(candidate),
            health::Status::HalfOpen => {
                sets.probe.get_or_insert(candidate);
            }
            health::Status::Ejected { until } => keep_earliest(&mut sets.next_retry_at, until),
        }
    }
    sets
}

fn keep_earliest(next: &mut Option<Duration>, at: Duration) {
    *next = Some(next.map_or(at, |next| next.min(at)));
}

/// Cost of an endpoint that does not depend on its load: round-trip time and missing information.
fn delay_us(router: &routing::Router, now: Duration, known: &endpoint::Endpoint) -> f64 {
    let data_centre = &known.listing.data_centre;
    let round_trip = router.round_trips.get(data_centre).copied();
    let is_local = *data_centre == router.data_centre;
    let default = if is_local { Duration::ZERO } else { router.settings.unknown_distance_cost };
    let round_trip = round_trip.unwrap_or(default);
    let is_list_stale =
        router.view.list_age(now).is_none_or(|age| age > router.settings.max_list_age);
    let has_recent_contact = known
        .last_contact_at
        .is_some_and(|at| now.saturating_sub(at) <= router.settings.max_list_age);
    let is_unconfirmed = is_list_stale && !has_recent_contact;
    let unconfirmed_cost =
        if is_unconfirmed { router.settings.unconfirmed_cost } else { Duration::ZERO };
    (round_trip + unconfirmed_cost).as_micros() as f64
}

/// Rule, load bound and cost of a selected endpoint.
#[derive(Debug, Clone, Copy)]
struct Decision {
    rule: routing::Rule,
    bound: f64,
    cost_us: f64,
}

fn choose_cheapest(
    router: &routing::Router,
    query: &routing::Query<'_>,
    homes: &Homes,
    candidates: &[Candidate],
    is_last_resort: bool,
) -> Result<routing::Choice, routing::NoEndpoint> {
    let bound = load_bound(&router.settings, candidates);
    let cost_model = CostModel::new(router, query, homes, candidates);
    let open = candidates.iter().filter(|c| c.load.requests < c.limit);
    let cheapest = open
        .filter(|candidate| candidate.load.requests < bound)
        .map(|candidate| (cost_model.cost_us(candidate), candidate))
        .min_by(|(a, x), (b, y)| a.total_cmp(b).then(x.endpoint.cmp(&y.endpoint)));
    let Some((cost_us, candidate)) = cheapest else {
        return Err(no_endpoint(
            routing::NoEndpointReason::AllFull,
            retry_when_full(router, query, candidates),
        ));
    };
    let rule = match () {
        () if is_last_resort => routing::Rule::LastResort,
        () => cost_model.rule(candidate, candidates),
    };
    Ok(build_choice(query, candidate, Decision { rule, bound, cost_us }, candidates.len()))
}

/// Load below which an endpoint can be selected, in requests.
fn load_bound(settings: &routing::Settings, candidates: &[Candidate]) -> f64 {
    let open = candidates.iter().filter(|c| c.load.requests < c.limit);
    let (mut requests, mut endpoints) = (0.0, 0.0);
    for candidate in open {
        requests += candidate.load.requests;
        endpoints += 1.0;
    }
    let mean = requests / f64::max(endpoints, 1.0);
    mean * settings.load_bound + settings.load_slack.max(1.0)
}

/// Expected time until a candidate finishes a request.
fn retry_when_full(
    router: &routing::Router,
    query: &routing::Query<'_>,
    candidates: &[Candidate],
) -> Duration {
    let running: f64 = candidates.iter().map(|candidate| candidate.load.requests).sum();
    let service_us = router.rates(query.service).service_us;
    Duration::from_micros((service_us / running.max(1.0)) as u64)
}

fn build_choice(
    query: &routing::Query<'_>,
    candidate: &Candidate,
    decision: Decision,
    candidates: usize,
) -> routing::Choice {
    let reason = routing::Reason {
        rule: decision.rule,
        matched_tokens: candidate.matched_tokens.min(query.prompt_tokens),
        prompt_tokens: query.prompt_tokens,
        load: candidate.load.requests,
        bound: decision.bound,
        limit: candidate.limit,
        cost_us: decision.cost_us.max(0.0) as u64,
        candidates,
        is_stale: !candidate.load.is_fresh,
    };
    routing::Choice { endpoint: candidate.endpoint, reason }
}

/// Terms of the cost that are the same for all candidates.
struct CostModel {
    prompt_tokens: f64,
    /// Tokens of previous turns expected in the home's cache; 0 if another cache is known to
    /// hold them.
    home_tokens: f64,
    /// Tokens that later turns are expected to find at the home if a first turn is sent there.
    future_tokens: f64,
    prefill_us_per_token: f64,
    /// See [`routing::Settings::prefill_weight`].
    prefill_weight: f64,
    service_us: f64,
    request_us: f64,
    rank_us: f64,
    price_us: f64,
    lowest_price: f64,
}

impl CostModel {
    fn new(
        router: &routing::Router,
        query: &routing::Query<'_>,
        homes: &Homes,
        candidates: &[Candidate],
    ) -> CostModel {
        let rates = router.rates(query.service);
        let cache_share = router.settings.home_cache_share;
        let previous_tokens = f64::from(query.settled_tokens);
        let longest_match = candidates.iter().map(|c| c.matched_tokens).max().unwrap_or(0);
        // The home's assumed cache counts only while no cache is known to hold the previous turns.
        let is_cached = f64::from(longest_match) >= previous_tokens * cache_share;
        let own_tokens = f64::from(query.prompt_tokens.saturating_sub(homes.shared_tokens));
        let is_first_turn = query.settled_tokens == 0;
        let prices = candidates.iter().map(|c| c.price).filter(|price| *price > 0.0);
        CostModel {
            prompt_tokens: f64::from(query.prompt_tokens),
            home_tokens: if is_cached { 0.0 } else { previous_tokens * cache_share },
            future_tokens: if is_first_turn { own_tokens * cache_share } else { 0.0 },
            prefill_us_per_token: rates.prefill_us_per_token,
            prefill_weight: router.settings.prefill_weight,
            service_us: rates.service_us,
            request_us: router.settings.request_cost.as_micros() as f64,
            rank_us: router.settings.shared_prefix_rank_cost.as_micros() as f64,
            price_us: router.price_cost.as_micros() as f64,
            lowest_price: prices.min_by(f64::total_cmp).unwrap_or(0.0),
        }
    }

    fn cost_us(&self, candidate: &Candidate) -> f64 {
        let matched = f64::from(candidate.matched_tokens).min(self.prompt_tokens);
        let (home, future) = match candidate.is_home {
            true => (self.home_tokens, self.future_tokens),
            false => (0.0, 0.0),
        };
        let cached = matched.max(home) + future;
        let recomputed = (self.prompt_tokens - cached) * self.prefill_weight;
        let prefill = candidate.load.prefill_tokens + recomputed;
        let running = (candidate.load.requests - candidate.load.waiting).max(1.0);
        prefill * self.prefill_us_per_token
            + candidate.load.requests * self.request_us
            + candidate.load.waiting * self.service_us / running
            + candidate.rank as f64 * self.rank_us
            + candidate.delay_us
            + self.price_penalty_us(candidate)
    }

    fn price_penalty_us(&self, candidate: &Candidate) -> f64 {
        if candidate.price <= 0.0 || self.lowest_price <= 0.0 {
            return 0.0;
        }
        (candidate.price / self.lowest_price - 1.0) * self.price_us
    }

    fn rule(&self, chosen: &Candidate, candidates: &[Candidate]) -> routing::Rule {
        let longest_match = candidates.iter().map(|c| c.matched_tokens).max().unwrap_or(0);
        let has_home = candidates.iter().any(|c| c.is_home);
        match () {
            () if longest_match > 0 && chosen.matched_tokens == longest_match => {
                routing::Rule::Prefix
            }
            () if chosen.is_home => routing::Rule::Home,
            () if longest_match > 0 || has_home => routing::Rule::Spill,
            () => routing::Rule::Cheapest,
        }
    }
}
