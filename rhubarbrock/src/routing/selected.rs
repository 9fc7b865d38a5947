//! Results of a selection, with the reason.

use std::time::Duration;

use derive_more::{Display, Error};

use crate::id;

/// Rule by which an endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Rule {
    /// The endpoint has the longest known cached prefix of the prompt.
    #[display("prefix")]
    Prefix,
    /// The endpoint is the dialogue's home.
    #[display("home")]
    Home,
    /// A home endpoint or a longer cached prefix exists, but this endpoint was cheaper or below
    /// the load bound.
    #[display("spill")]
    Spill,
    /// The endpoint had the lowest cost; no cached prefix and no home endpoint was known.
    #[display("cheapest")]
    Cheapest,
    /// The endpoint's ejection has ended and the request probes it.
    #[display("probe")]
    Probe,
    /// Peers report the endpoint unreachable, but no other is available.
    #[display("last resort")]
    LastResort,
}

impl Rule {
    /// All rules, in the order of declaration.
    pub const ALL: [Rule; 6] =
        [Rule::Prefix, Rule::Home, Rule::Spill, Rule::Cheapest, Rule::Probe, Rule::LastResort];
}

/// Why an endpoint was chosen, for the timeline.
#[derive(Debug, Clone, Copy, PartialEq, Display)]
#[display(
    "{rule}: {matched_tokens} of {prompt_tokens} prompt tokens cached there, load {load:.1} \
     (bound {bound:.1}, limit {limit:.0}), cost {cost_us} us, {candidates} candidates{}",
    if *is_stale { ", on stale loads" } else { "" }
)]
pub struct Reason {
    /// Rule that applied.
    pub rule: Rule,
    /// Prompt tokens known to be cached at the endpoint.
    pub matched_tokens: u32,
    /// Size of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Requests at the endpoint: the last report, corrected by this node's requests since.
    pub load: f64,
    /// Load below which an endpoint could be chosen, in requests.
    pub bound: f64,
    /// Concurrency limit of the endpoint for this request, in requests.
    pub limit: f64,
    /// Expected wait plus penalties, in microseconds; 0 for a probe.
    pub cost_us: u64,
    /// Number of endpoints compared.
    pub candidates: usize,
    /// Whether no load report within [`Settings::max_load_age`](super::Settings::max_load_age) was available.
    pub is_stale: bool,
}

/// Endpoint selected for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// The endpoint to send to.
    pub endpoint: id::EndpointId,
    /// Why it was chosen.
    pub reason: Reason,
}

/// Why no endpoint can be selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum NoEndpointReason {
    /// No endpoint of the service is live.
    #[display("no live endpoint")]
    NoneLive,
    /// All live endpoints are excluded for this request.
    #[display("every live endpoint was tried")]
    AllExcluded,
    /// All live endpoints are ejected, busy or excluded.
    #[display("every live endpoint is ejected")]
    AllEjected,
    /// All candidates are at their concurrency limit or at the load bound.
    #[display("every live endpoint is full")]
    AllFull,
}

/// No endpoint can be selected now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("{reason}")]
pub struct NoEndpoint {
    /// What ruled the endpoints out.
    pub reason: NoEndpointReason,
    /// Time until an endpoint may be available.
    pub retry_after: Duration,
}
