//! Requests that seem to crash each endpoint that runs them.
//!
//! A connection that breaks during a request may mean that the request crashed
//! its endpoint. Callers send such a request again at any gateway, so gateways
//! share what they saw. One endpoint proves little, however often it breaks
//! connections: it may fail by itself, and batch mates of the cause break with
//! it. A request that ran to its end at any gateway is cleared of all before.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hasher;
use std::time::Duration;

use xxhash_rust::xxh3::{self, Xxh3};

/// Hash of what a repeated request has in common with itself.
pub type Fingerprint = u64;

/// Hash of an endpoint's id and start.
pub type EndpointHash = u64;

/// Endpoints that broke during a request after which it is refused; the third crash is the last
/// that the deployment allows without penalty.
const BROKEN_ENDPOINTS_TO_REFUSE: usize = 3;

/// Time for which a break or an end counts.
const RETENTION: Duration = Duration::from_secs(60);

/// Most requests remembered.
const MAX_SUSPECTS: usize = 512;

/// Most suspects told to other gateways at once.
const MAX_REPORTED: usize = 24;

/// Fingerprint of a request.
pub fn fingerprint(service: &str, path: &str, organisation: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = Xxh3::new();
    for part in [service.as_bytes(), path.as_bytes(), organisation.as_bytes(), body] {
        hasher.write_usize(part.len());
        hasher.write(part);
    }
    hasher.finish()
}

/// Hash of one start of an endpoint.
pub fn endpoint_hash(id: &str, process_start_ms: u64) -> EndpointHash {
    xxh3::xxh3_64_with_seed(id.as_bytes(), process_start_ms)
}

/// What one gateway saw of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHistory {
    /// Endpoints whose connections broke during it, each with the last time.
    pub breaks: Vec<(EndpointHash, Duration)>,
    /// When it last ran to its end.
    pub finished_at: Option<Duration>,
}

impl RequestHistory {
    fn last(&self) -> Duration {
        let breaks = self.breaks.iter().map(|&(_, at)| at);
        breaks.chain(self.finished_at).max().unwrap_or_default()
    }
}

/// What this gateway and the others saw.
#[derive(Debug, Default)]
pub struct Suspects {
    own: HashMap<Fingerprint, RequestHistory>,
    peers: HashMap<Fingerprint, Vec<RequestHistory>>,
}

impl Suspects {
    /// A connection to an endpoint broke during a request.
    pub fn on_connection_break(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        endpoint: EndpointHash,
    ) {
        let history = self.own.entry(fingerprint).or_default();
        history.breaks.retain(|&(known, _)| known != endpoint);
        history.breaks.push((endpoint, now));
        self.evict_oldest();
    }

    /// A request ran to its end, so it crashes nothing.
    pub fn on_finished(&mut self, now: Duration, fingerprint: Fingerprint) {
        let is_reported = self.peers.contains_key(&fingerprint);
        if is_reported || self.own.contains_key(&fingerprint) {
            let finished_at = Some(now);
            self.own.insert(fingerprint, RequestHistory { breaks: Vec::new(), finished_at });
        }
    }

    /// Sets what the other gateways saw, and forgets what is old.
    pub fn set_peer_histories(
        &mut self,
        now: Duration,
        peers: HashMap<Fingerprint, Vec<RequestHistory>>,
    ) {
        self.peers = peers;
        self.own.retain(|_, history| now < history.last() + RETENTION);
    }

    /// Whether a request has to be refused.
    pub fn must_refuse(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        let peers = self.peers.get(&fingerprint).into_iter().flatten();
        let all: Vec<&RequestHistory> = peers.chain(self.own.get(&fingerprint)).collect();
        let finished_at = all.iter().filter_map(|history| history.finished_at).max();
        let breaks = all.iter().flat_map(|history| &history.breaks);
        let counted = breaks.filter(|&&(_, at)| {
            now < at + RETENTION && finished_at.is_none_or(|finished_at| at > finished_at)
        });
        let endpoints: BTreeSet<EndpointHash> = counted.map(|&(endpoint, _)| endpoint).collect();
        endpoints.len() >= BROKEN_ENDPOINTS_TO_REFUSE
    }

    /// What this gateway saw, the latest first, for the other gateways.
    pub fn to_report(&self) -> Vec<(Fingerprint, &RequestHistory)> {
        let mut rows: Vec<(Fingerprint, &RequestHistory)> =
            self.own.iter().map(|(&fingerprint, history)| (fingerprint, history)).collect();
        rows.sort_by_key(|&(fingerprint, history)| {
            (std::cmp::Reverse(history.last()), fingerprint)
        });
        rows.truncate(MAX_REPORTED);
        rows
    }

    fn evict_oldest(&mut self) {
        if self.own.len() > MAX_SUSPECTS {
            let oldest = self.own.iter().min_by_key(|(print, history)| (history.last(), **print));
            if let Some(oldest) = oldest.map(|(&fingerprint, _)| fingerprint) {
                self.own.remove(&oldest);
            }
        }
    }
}
