//! Which endpoint a request goes to.
//!
//! A model request goes where its shared prompt parts are likely cached: each
//! key has an order of endpoints by rendezvous hashing that all gateways
//! compute alike. Load moves it down that order, as prompt tokens waiting there
//! cost as much time as tokens that must be read again. A plain request goes to
//! the least loaded endpoint, near ones first.

use std::time::Duration;

use rhubarbrock::rendezvous;
use xxhash_rust::xxh3;

use crate::endpoints::{Endpoint, EndpointId, EndpointTable};
use crate::request::Prompt;

/// Tokens that each running request costs a newcomer: a decode step grows by about one
/// percent per running request, and a prompt is read in a few steps.
const TOKENS_PER_RUNNING: f64 = 60.0;

/// Part of the shared tokens charged at the second endpoint in a key's order; the share of
/// keys that have overflowed there lately is high while the first is loaded.
const SECOND_CHOICE_COST: f64 = 0.5;

/// Cost of another data centre in requests of load, so that equal loads stay near.
const DISTANCE_COST: f64 = 0.5;

/// Tokens charged for another data centre: some milliseconds of reading a prompt.
const DISTANCE_TOKENS: f64 = 300.0;

/// Tokens charged for another data centre for each token of the answer, as a packet lost
/// between data centres makes a stream late.
const DISTANCE_TOKENS_PER_OUTPUT: f64 = 4.0;

/// Cost of an endpoint that always fails, in full batches of load: enough to be avoided unless
/// the others are busy.
const FAILURE_COST: f64 = 2.0;

/// Cost factor of an endpoint that is slow after its start.
const WARM_UP_FACTOR: f64 = 3.0;

/// What is asked of the choice.
#[derive(Debug, Clone, Copy)]
pub struct SelectionCriteria<'q> {
    /// Service to be served.
    pub service: &'q str,
    /// Prompt of a model request.
    pub prompt: Option<&'q Prompt>,
    /// Data centre of this gateway.
    pub data_centre: &'q str,
    /// Endpoints tried before.
    pub tried: &'q [EndpointId],
}

/// The best endpoint, or none if the service has none left to try.
///
/// Ejected endpoints are used only where no sound one is left.
pub fn select<'t>(
    table: &'t EndpointTable,
    now: Duration,
    question: &SelectionCriteria<'_>,
) -> Option<&'t Endpoint> {
    let candidates: Vec<&Endpoint> = table
        .of_service(question.service)
        .filter(|endpoint| !question.tried.contains(&endpoint.entry.id))
        .collect();
    let sound: Vec<&Endpoint> =
        candidates.iter().copied().filter(|endpoint| endpoint.is_healthy(now)).collect();
    let candidates = if sound.is_empty() { candidates } else { sound };
    match question.prompt.and_then(|prompt| Some((prompt, prompt.affinity_key()?))) {
        Some((prompt, key)) => select_by_cache(candidates, now, question, prompt, key),
        None => select_by_load(candidates, now, question),
    }
}

fn select_by_cache<'t>(
    mut candidates: Vec<&'t Endpoint>,
    now: Duration,
    question: &SelectionCriteria<'_>,
    prompt: &Prompt,
    key: u64,
) -> Option<&'t Endpoint> {
    candidates.sort_by_cached_key(|endpoint| {
        let id = xxh3::xxh3_64(endpoint.entry.id.as_bytes());
        std::cmp::Reverse(rendezvous::score(key, id))
    });
    let shared = prompt.shared_tokens() as f64;
    let far = DISTANCE_TOKENS + prompt.max_output_tokens as f64 * DISTANCE_TOKENS_PER_OUTPUT;
    let costs = candidates.iter().enumerate().map(|(rank, endpoint)| {
        let missing = match rank {
            0 => 0.0,
            1 => shared * SECOND_CHOICE_COST,
            _ => shared,
        };
        let waiting = endpoint.waiting_tokens() as f64;
        let running = f64::from(endpoint.requests()) * TOKENS_PER_RUNNING;
        let is_near = endpoint.entry.data_centre == question.data_centre;
        let distance = if is_near { 0.0 } else { far };
        (missing + waiting + running + distance) * warm_up_factor(endpoint, now)
            + full_cost(endpoint)
    });
    lowest(costs, &candidates)
}

fn select_by_load<'t>(
    candidates: Vec<&'t Endpoint>,
    now: Duration,
    question: &SelectionCriteria<'_>,
) -> Option<&'t Endpoint> {
    let costs = candidates.iter().map(|endpoint| {
        let capacity = f64::from(endpoint.entry.capacity.max(1));
        let load = f64::from(endpoint.requests()) + 1.0;
        let distance =
            if endpoint.entry.data_centre == question.data_centre { 0.0 } else { DISTANCE_COST };
        let failures = endpoint.failure_rate * FAILURE_COST;
        (load + distance) / capacity * warm_up_factor(endpoint, now)
            + failures
            + full_cost(endpoint)
    });
    lowest(costs, &candidates)
}

fn warm_up_factor(endpoint: &Endpoint, now: Duration) -> f64 {
    if endpoint.is_warming_up(now) { WARM_UP_FACTOR } else { 1.0 }
}

/// A full batch makes a request wait for another's end, which outweighs all else.
fn full_cost(endpoint: &Endpoint) -> f64 {
    const FULL: f64 = 1e9;
    if endpoint.requests() >= endpoint.entry.capacity { FULL } else { 0.0 }
}

fn lowest<'t>(
    costs: impl Iterator<Item = f64>,
    candidates: &[&'t Endpoint],
) -> Option<&'t Endpoint> {
    costs.zip(candidates).min_by(|left, right| left.0.total_cmp(&right.0)).map(|(_, &best)| best)
}
