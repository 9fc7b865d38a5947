//! The choice of one endpoint out of those that a router knows.

use std::time::Duration;

use crate::{endpoint, health, id, prompt, rendezvous, routing, view};

/// Tokens of a cache block, where tokens are as short as engines count them.
const BLOCK_TOKENS: u32 = (prompt::BLOCK_BYTES / prompt::TOKEN_BYTES) as u32;

/// Retry time where nothing tells a better one.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// An endpoint that may be chosen.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    endpoint: id::EndpointId,
    load: endpoint::Load,
    limit: f64,
    matched_tokens: u32,
    is_home: bool,
    /// Place among the endpoints that its shared prefix is packed onto.
    rank: usize,
    price: f64,
    delay_us: f64,
}

/// What keeps endpoints from being candidates.
#[derive(Debug, Default)]
struct Tally {
    live: usize,
    excluded: usize,
    /// Soonest time at which an ejected or busy one may be tried.
    next_try: Option<Duration>,
    probe: Option<Candidate>,
    unreachable: Vec<Candidate>,
    sound: Vec<Candidate>,
}

/// Prompt tokens that an endpoint is known to hold.
pub(crate) fn matched_tokens(matches: &[(id::EndpointId, usize)], endpoint: id::EndpointId) -> u32 {
    let found = matches.iter().find(|(holder, _)| *holder == endpoint);
    found.map_or(0, |(_, blocks)| *blocks as u32 * BLOCK_TOKENS)
}

/// Chooses an endpoint for a request.
pub(crate) fn choose(
    router: &routing::Router,
    now: Duration,
    query: &routing::Query<'_>,
) -> Result<routing::Choice, routing::NoEndpoint> {
    let Some(members) = router.view.services.get(query.service) else {
        return Err(lack(routing::NoEndpointReason::NoneLive, RETRY_AFTER));
    };
    let matches = router.prefix_index.matches(query.blocks);
    let homes = Homes::new(router, now, query, members);
    let tally = gather(router, now, query, members, &matches, &homes);
    if let Some(probe) = tally.probe.filter(|_| query.may_probe && query.exclude.is_empty()) {
        let pick = Pick { rule: routing::Rule::Probe, bound: probe.limit, cost_us: 0.0 };
        return Ok(chosen(query, &probe, pick, tally.sound.len() + 1));
    }
    if !tally.sound.is_empty() {
        return pick(router, query, &homes, &tally.sound, false);
    }
    if !tally.unreachable.is_empty() {
        return pick(router, query, &homes, &tally.unreachable, true);
    }
    if let Some(probe) = tally.probe {
        let pick = Pick { rule: routing::Rule::Probe, bound: probe.limit, cost_us: 0.0 };
        return Ok(chosen(query, &probe, pick, 1));
    }
    let retry_after = tally.next_try.map_or(RETRY_AFTER, |at| at.saturating_sub(now));
    let reason = match () {
        () if tally.live == 0 => routing::NoEndpointReason::NoneLive,
        () if tally.live == tally.excluded => routing::NoEndpointReason::AllExcluded,
        () => routing::NoEndpointReason::AllEjected,
    };
    Err(lack(reason, retry_after))
}

fn lack(reason: routing::NoEndpointReason, retry_after: Duration) -> routing::NoEndpoint {
    routing::NoEndpoint { reason, retry_after }
}

/// Endpoints at which other nodes will look for a request's prefix, too.
#[derive(Debug, Default)]
struct Homes {
    /// Where the dialogue's turns go.
    dialogue: Option<id::EndpointId>,
    /// Where requests with the same shared prefix are packed, best first.
    packed: Vec<id::EndpointId>,
    /// Prompt tokens that other dialogues have as well.
    shared_tokens: u32,
}

impl Homes {
    fn new(
        router: &routing::Router,
        now: Duration,
        query: &routing::Query<'_>,
        members: &view::ServiceEndpoints,
    ) -> Homes {
        if query.dialogue == 0 || !router.settings.prefers_home {
            return Homes::default();
        }
        let dialogue = ranked(router, now, query.dialogue, members, 1).first().copied();
        let shared_blocks = router.prefix_index.shared_prefix_blocks(query.dialogue, query.blocks);
        let packed = match shared_blocks.checked_ilog2() {
            // A prefix that grows keeps its key until its length has doubled.
            Some(power) => {
                let key = query.blocks[(1 << power) - 1];
                ranked(router, now, key, members, router.settings.shared_prefix_endpoints)
            }
            None => Vec::new(),
        };
        Homes { dialogue, packed, shared_tokens: shared_blocks as u32 * BLOCK_TOKENS }
    }

    fn rank(&self, endpoint: id::EndpointId) -> usize {
        let rank = self.packed.iter().position(|packed| *packed == endpoint);
        rank.unwrap_or(self.packed.len())
    }
}

/// The sound endpoints that rank highest for a key, best first.
fn ranked(
    router: &routing::Router,
    now: Duration,
    key: u64,
    members: &view::ServiceEndpoints,
    count: usize,
) -> Vec<id::EndpointId> {
    let mut ranked: Vec<(u64, id::EndpointId)> = Vec::new();
    for id in &members.all {
        let weight = rendezvous::score(key, *id);
        let last = ranked.last().map_or(0, |(weight, _)| *weight);
        if ranked.len() >= count && weight <= last {
            continue;
        }
        let known = &router.view.endpoints[id];
        if known.health.status(now) != health::Status::Healthy {
            continue;
        }
        ranked.push((weight, *id));
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.truncate(count);
    }
    ranked.into_iter().map(|(_, endpoint)| endpoint).collect()
}

/// Sorts the endpoints that this node follows, and the homes, by whether they may be chosen.
fn gather(
    router: &routing::Router,
    now: Duration,
    query: &routing::Query<'_>,
    members: &view::ServiceEndpoints,
    matches: &[(id::EndpointId, usize)],
    homes: &Homes,
) -> Tally {
    let mut tally = Tally::default();
    let mut compared = members.subset.clone();
    compared.extend(homes.dialogue);
    compared.extend(&homes.packed);
    compared.sort_unstable();
    compared.dedup();
    let usable_limit_share =
        if query.leaves_headroom { router.settings.usable_limit_share } else { 1.0 };
    for id in &compared {
        let known = &router.view.endpoints[id];
        tally.live += 1;
        if query.exclude.contains(id) {
            tally.excluded += 1;
            continue;
        }
        if now < known.busy_until {
            sooner(&mut tally.next_try, known.busy_until);
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
                tally.unreachable.push(candidate);
            }
            health::Status::Healthy => tally.sound.push(candidate),
            health::Status::HalfOpen => {
                tally.probe.get_or_insert(candidate);
            }
            health::Status::Ejected { until } => sooner(&mut tally.next_try, until),
        }
    }
    tally
}

fn sooner(next: &mut Option<Duration>, at: Duration) {
    *next = Some(next.map_or(at, |next| next.min(at)));
}

/// Delay and doubt of an endpoint whatever its load.
fn delay_us(router: &routing::Router, now: Duration, known: &endpoint::Endpoint) -> f64 {
    let data_centre = &known.listing.data_centre;
    let told = router.distances.get(data_centre).copied();
    let is_near = *data_centre == router.data_centre;
    let far = if is_near { Duration::ZERO } else { router.settings.unknown_distance_cost };
    let distance = told.unwrap_or(far);
    let is_list_stale =
        router.view.list_age(now).is_none_or(|age| age > router.settings.max_list_age);
    let is_heard = known
        .last_contact_at
        .is_some_and(|at| now.saturating_sub(at) <= router.settings.max_list_age);
    let is_doubtful = is_list_stale && !is_heard;
    let doubt = if is_doubtful { router.settings.unconfirmed_cost } else { Duration::ZERO };
    (distance + doubt).as_micros() as f64
}

/// Result of comparing candidates.
#[derive(Debug, Clone, Copy)]
struct Pick {
    rule: routing::Rule,
    bound: f64,
    cost_us: f64,
}

fn pick(
    router: &routing::Router,
    query: &routing::Query<'_>,
    homes: &Homes,
    candidates: &[Candidate],
    is_last_resort: bool,
) -> Result<routing::Choice, routing::NoEndpoint> {
    let bound = bound(&router.settings, candidates);
    let costing = Costing::new(router, query, homes, candidates);
    let open = candidates.iter().filter(|c| c.load.requests < c.limit);
    let cheapest = open
        .filter(|candidate| candidate.load.requests < bound)
        .map(|candidate| (costing.cost_us(candidate), candidate))
        .min_by(|(a, x), (b, y)| a.total_cmp(b).then(x.endpoint.cmp(&y.endpoint)));
    let Some((cost_us, candidate)) = cheapest else {
        return Err(lack(
            routing::NoEndpointReason::AllFull,
            retry_when_full(router, query, candidates),
        ));
    };
    let rule = match () {
        () if is_last_resort => routing::Rule::LastResort,
        () => costing.rule(candidate, candidates),
    };
    Ok(chosen(query, candidate, Pick { rule, bound, cost_us }, candidates.len()))
}

/// Load that an endpoint may carry at most to be chosen.
fn bound(settings: &routing::Settings, candidates: &[Candidate]) -> f64 {
    let open = candidates.iter().filter(|c| c.load.requests < c.limit);
    let (mut requests, mut endpoints) = (0.0, 0.0);
    for candidate in open {
        requests += candidate.load.requests;
        endpoints += 1.0;
    }
    let mean = requests / f64::max(endpoints, 1.0);
    mean * settings.load_bound + settings.load_slack.max(1.0)
}

/// Time until an endpoint is likely to end a request.
fn retry_when_full(
    router: &routing::Router,
    query: &routing::Query<'_>,
    candidates: &[Candidate],
) -> Duration {
    let running: f64 = candidates.iter().map(|candidate| candidate.load.requests).sum();
    let service_us = router.rates(query.service).service_us;
    Duration::from_micros((service_us / running.max(1.0)) as u64)
}

fn chosen(
    query: &routing::Query<'_>,
    candidate: &Candidate,
    pick: Pick,
    candidates: usize,
) -> routing::Choice {
    let reason = routing::Reason {
        rule: pick.rule,
        matched_tokens: candidate.matched_tokens.min(query.prompt_tokens),
        prompt_tokens: query.prompt_tokens,
        load: candidate.load.requests,
        bound: pick.bound,
        limit: candidate.limit,
        cost_us: pick.cost_us.max(0.0) as u64,
        candidates,
        is_stale: !candidate.load.is_fresh,
    };
    routing::Choice { endpoint: candidate.endpoint, reason }
}

/// How candidates are compared: expected wait for the first token, and penalties.
struct Costing {
    prompt_tokens: f64,
    /// Tokens expected in the cache of the dialogue's home, besides those known.
    home_tokens: f64,
    /// Tokens that later turns will find there if this one goes there.
    future_tokens: f64,
    prefill_us_per_token: f64,
    /// What computing a token of this prompt counts, as it slows the endpoint's other requests.
    prefill_weight: f64,
    slot_us: f64,
    request_us: f64,
    rank_us: f64,
    price_us: f64,
    lowest_price: f64,
}

impl Costing {
    fn new(
        router: &routing::Router,
        query: &routing::Query<'_>,
        homes: &Homes,
        candidates: &[Candidate],
    ) -> Costing {
        let rates = router.rates(query.service);
        let trust = router.settings.home_cache_share;
        let settled = f64::from(query.settled_tokens);
        let known = candidates.iter().map(|c| c.matched_tokens).max().unwrap_or(0);
        // Once a cache is known to hold the turns before, the home has no claim on them.
        let is_known = f64::from(known) >= settled * trust;
        let own_tokens = f64::from(query.prompt_tokens.saturating_sub(homes.shared_tokens));
        let is_first_turn = query.settled_tokens == 0;
        let prices = candidates.iter().map(|c| c.price).filter(|price| *price > 0.0);
        Costing {
            prompt_tokens: f64::from(query.prompt_tokens),
            home_tokens: if is_known { 0.0 } else { settled * trust },
            future_tokens: if is_first_turn { own_tokens * trust } else { 0.0 },
            prefill_us_per_token: rates.prefill_us_per_token,
            prefill_weight: router.settings.prefill_weight,
            slot_us: rates.service_us,
            request_us: router.settings.request_cost.as_micros() as f64,
            rank_us: router.settings.shared_prefix_rank_cost.as_micros() as f64,
            price_us: router.price_cost.as_micros() as f64,
            lowest_price: prices.min_by(f64::total_cmp).unwrap_or(0.0),
        }
    }

    fn cost_us(&self, candidate: &Candidate) -> f64 {
        let known = f64::from(candidate.matched_tokens).min(self.prompt_tokens);
        let (home, future) = match candidate.is_home {
            true => (self.home_tokens, self.future_tokens),
            false => (0.0, 0.0),
        };
        let cached = known.max(home) + future;
        let recomputed = (self.prompt_tokens - cached) * self.prefill_weight;
        let prefill = candidate.load.prefill_tokens + recomputed;
        let running = (candidate.load.requests - candidate.load.waiting).max(1.0);
        prefill * self.prefill_us_per_token
            + candidate.load.requests * self.request_us
            + candidate.load.waiting * self.slot_us / running
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
        let longest = candidates.iter().map(|c| c.matched_tokens).max().unwrap_or(0);
        let has_home = candidates.iter().any(|c| c.is_home);
        match () {
            () if longest > 0 && chosen.matched_tokens == longest => routing::Rule::Prefix,
            () if chosen.is_home => routing::Rule::Home,
            () if longest > 0 || has_home => routing::Rule::Spill,
            () => routing::Rule::Cheapest,
        }
    }
}
