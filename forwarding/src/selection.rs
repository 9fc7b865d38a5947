//! Selection of the endpoint for a request.
//!
//! A model request goes to an endpoint that probably has its shared prompt
//! parts cached: one that is known to hold them, or, where that is not known,
//! one of the first of an order that rendezvous hashing gives each affinity key,
//! the same at all gateways. Load moves the request to other endpoints, because
//! waiting for queued prompt tokens takes as long as reading missing ones. A
//! plain request goes to the least loaded endpoint, with a preference for the own
//! data centre.

use std::time::Duration;

use rhubarbrock::rendezvous;
use xxhash_rust::xxh3;

use crate::endpoints::{Endpoint, EndpointId, EndpointTable};
use crate::request::Prompt;
use crate::residency::Residency;

/// Cost in tokens of each running request: it lengthens a decoding step by about one percent, and a
/// prompt is read within a few steps.
const RUNNING_REQUEST_COST_TOKENS: f64 = 60.0;

/// Fraction of the shared tokens assumed uncached at the second endpoint of the order. While the
/// first one is loaded, many keys have overflowed to the second and are cached there.
const SECOND_RANK_UNCACHED_SHARE: f64 = 0.5;

/// Fraction of the tokens not known to be held that is expected to be held at the first endpoint of
/// the order, as other gateways send requests with the same parts there.
const FIRST_RANK_EXPECTED_SHARE: f64 = 0.5;

/// Cost of another data centre, in requests, so that equally loaded endpoints nearby are preferred.
const REMOTE_COST_REQUESTS: f64 = 0.5;

/// Cost of another data centre, in tokens: some milliseconds of prompt processing.
const REMOTE_COST_TOKENS: f64 = 300.0;

/// Additional cost of another data centre per output token, as packet loss between data centres
/// delays streams.
const REMOTE_COST_TOKENS_PER_OUTPUT_TOKEN: f64 = 4.0;

/// Cost of an endpoint that always fails, in full batches: it is avoided unless the others are
/// busy.
const FAILURE_COST_BATCHES: f64 = 2.0;

/// Cost factor of an endpoint that is warming up.
const WARM_UP_FACTOR: f64 = 3.0;

/// What the endpoint of an attempt is selected by.
#[derive(Debug, Clone, Copy)]
pub struct SelectionCriteria<'c> {
    /// Service that the request is for.
    pub service: &'c str,
    /// Prompt of a model request; `None` for a plain request.
    pub prompt: Option<&'c Prompt>,
    /// Data centre of this gateway.
    pub data_centre: &'c str,
    /// Endpoints that earlier attempts were sent to; they are not selected again.
    pub tried: &'c [EndpointId],
    /// Parts of prompts that the endpoints hold.
    pub residency: &'c Residency,
    /// Memory of an endpoint for prompts, in tokens; `None` if it is not known.
    pub prompt_memory_tokens: Option<u64>,
}

/// Selects the endpoint with the lowest cost among those that `is_allowed` accepts, or returns
/// `None` if none is left to try.
///
/// Ejected or refusing endpoints are selected only if no healthy one is left, endpoints that
/// requested a wait not at all.
pub fn select<'t>(
    table: &'t EndpointTable,
    now: Duration,
    criteria: &SelectionCriteria<'_>,
    is_allowed: impl Fn(&Endpoint) -> bool,
) -> Option<&'t Endpoint> {
    let candidates: Vec<&Endpoint> = table
        .of_service(criteria.service)
        .filter(|endpoint| is_allowed(endpoint))
        .filter(|endpoint| !criteria.tried.contains(&endpoint.entry.id))
        .filter(|endpoint| table.wait_end(now, endpoint).is_none())
        .collect();
    let healthy: Vec<&Endpoint> =
        candidates.iter().copied().filter(|endpoint| endpoint.is_healthy(now)).collect();
    let candidates = if healthy.is_empty() { candidates } else { healthy };
    match criteria.prompt.and_then(|prompt| Some((prompt, prompt.affinity_key()?))) {
        Some((prompt, key)) => select_by_cache(candidates, now, criteria, prompt, key),
        None => select_by_load(candidates, now, criteria),
    }
}

/// Earliest end of the waits that the endpoints of a service requested. `None` if the service has
/// no endpoints, or one that requested no wait.
pub fn earliest_wait_end(table: &EndpointTable, now: Duration, service: &str) -> Option<Duration> {
    let endpoints = table.of_service(service);
    let ends = endpoints.map(|endpoint| table.wait_end(now, endpoint));
    ends.collect::<Option<Vec<Duration>>>()?.into_iter().min()
}

fn select_by_cache<'t>(
    mut candidates: Vec<&'t Endpoint>,
    now: Duration,
    criteria: &SelectionCriteria<'_>,
    prompt: &Prompt,
    key: u64,
) -> Option<&'t Endpoint> {
    candidates.sort_by_cached_key(|endpoint| {
        let id = xxh3::xxh3_64(endpoint.entry.id.as_bytes());
        std::cmp::Reverse(rendezvous::score(key, id))
    });
    let remote_cost_tokens =
        REMOTE_COST_TOKENS + prompt.max_output_tokens as f64 * REMOTE_COST_TOKENS_PER_OUTPUT_TOKEN;
    let costs = candidates.iter().enumerate().map(|(rank, endpoint)| {
        let reading_tokens = reading_cost_tokens(endpoint, now, criteria, prompt, rank);
        let waiting_tokens = endpoint.waiting_tokens() as f64;
        let running_cost_tokens = f64::from(endpoint.requests()) * RUNNING_REQUEST_COST_TOKENS;
        let is_local = endpoint.entry.data_centre == criteria.data_centre;
        let remote_cost = if is_local { 0.0 } else { remote_cost_tokens };
        (reading_tokens + waiting_tokens + running_cost_tokens + remote_cost)
            * warm_up_factor(endpoint, now)
            + full_cost(endpoint)
    });
    lowest_cost(costs, &candidates)
}

/// Cost of the shared tokens of a prompt that an endpoint would have to read, and of what it would
/// drop for them. Where it is not known what the endpoint holds, that is guessed by its rank.
fn reading_cost_tokens(
    endpoint: &Endpoint,
    now: Duration,
    criteria: &SelectionCriteria<'_>,
    prompt: &Prompt,
    rank: usize,
) -> f64 {
    let shared_tokens = prompt.shared_tokens() as f64;
    let guessed_tokens = match rank {
        0 => 0.0,
        1 => shared_tokens * SECOND_RANK_UNCACHED_SHARE,
        _ => shared_tokens,
    };
    let capacity_tokens = criteria.prompt_memory_tokens;
    let estimate = criteria.residency.estimate(now, &endpoint.entry.id, prompt, capacity_tokens);
    let Some(estimate) = estimate else { return guessed_tokens };
    let missing_tokens = shared_tokens - estimate.held_tokens as f64;
    if !estimate.is_complete {
        return guessed_tokens.min(missing_tokens);
    }
    let expected_share = if rank == 0 { FIRST_RANK_EXPECTED_SHARE } else { 0.0 };
    missing_tokens * (1.0 - expected_share) + estimate.displaced_tokens
}

fn select_by_load<'t>(
    candidates: Vec<&'t Endpoint>,
    now: Duration,
    criteria: &SelectionCriteria<'_>,
) -> Option<&'t Endpoint> {
    let costs = candidates.iter().map(|endpoint| {
        let capacity = f64::from(endpoint.entry.capacity.max(1));
        let requests = f64::from(endpoint.requests()) + 1.0;
        let remote_cost = if endpoint.entry.data_centre == criteria.data_centre {
            0.0
        } else {
            REMOTE_COST_REQUESTS
        };
        let failure_cost = endpoint.failure_rate * FAILURE_COST_BATCHES;
        (requests + remote_cost) / capacity * warm_up_factor(endpoint, now)
            + failure_cost
            + full_cost(endpoint)
    });
    lowest_cost(costs, &candidates)
}

fn warm_up_factor(endpoint: &Endpoint, now: Duration) -> f64 {
    if endpoint.is_warming_up(now) { WARM_UP_FACTOR } else { 1.0 }
}

/// Outweighs all other costs: a request at a full batch waits for another one to finish.
fn full_cost(endpoint: &Endpoint) -> f64 {
    const FULL_COST: f64 = 1e9;
    if endpoint.requests() >= endpoint.entry.capacity { FULL_COST } else { 0.0 }
}

fn lowest_cost<'t>(
    costs: impl Iterator<Item = f64>,
    candidates: &[&'t Endpoint],
) -> Option<&'t Endpoint> {
    costs.zip(candidates).min_by(|left, right| left.0.total_cmp(&right.0)).map(|(_, &best)| best)
}
