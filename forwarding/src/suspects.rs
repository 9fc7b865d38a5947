//! Detects poison requests, which crash the endpoints that run them.
//!
//! A connection that breaks during a request may mean that the request crashed
//! its endpoint. Callers resend such a request to any gateway, so gateways
//! share their observations. Repeated breaks at one endpoint are not
//! sufficient: the endpoint may be faulty, and a crash also breaks co-batched
//! requests. A request that finished at any gateway is cleared of all earlier
//! breaks.
//!
//! Repetitions that are refused renew the suspicion, so that a request which is
//! sent all the time crashes no further endpoints. It is admitted again some
//! time after the last one.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::hash::Hasher;
use std::time::Duration;

use xxhash_rust::xxh3::{self, Xxh3};

use crate::refusals::Refusals;

/// Hash that is equal for repetitions of a request.
pub type Fingerprint = u64;

/// Hash of an endpoint's id and process start.
pub type EndpointHash = u64;

/// Distinct endpoints with broken connections after which a request is refused; the third crash is
/// the last one that the deployment allows without penalty.
const BROKEN_ENDPOINTS_TO_REFUSE: usize = 3;

/// Time for which a break or a completion counts, and a break after the last refusal.
const RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of requests that are remembered.
const MAX_SUSPECTS: usize = 512;

/// Maximum number of suspects in a report to other gateways.
const MAX_REPORTED_SUSPECTS: usize = 24;

/// Hashes the service, path, organisation and body of a request.
pub fn fingerprint(service: &str, path: &str, organisation: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = Xxh3::new();
    for part in [service.as_bytes(), path.as_bytes(), organisation.as_bytes(), body] {
        hasher.write_usize(part.len());
        hasher.write(part);
    }
    hasher.finish()
}

/// Hashes an endpoint's id and process start, the latter in milliseconds since the Unix epoch.
pub fn endpoint_hash(id: &str, process_start_ms: u64) -> EndpointHash {
    xxh3::xxh3_64_with_seed(id.as_bytes(), process_start_ms)
}

/// What one gateway observed of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHistory {
    /// Endpoints whose connections broke during the request, each with the time of the last break.
    pub breaks: Vec<(EndpointHash, Duration)>,
    /// Time of the last completion.
    pub finished_at: Option<Duration>,
}

impl RequestHistory {
    fn last(&self) -> Duration {
        let breaks = self.breaks.iter().map(|&(_, at)| at);
        breaks.chain(self.finished_at).max().unwrap_or_default()
    }
}

/// Observations of this gateway and of the others.
#[derive(Debug, Default)]
pub struct Suspects {
    own: HashMap<Fingerprint, RequestHistory>,
    peers: HashMap<Fingerprint, Vec<RequestHistory>>,
    refusals: Refusals,
}

impl Suspects {
    /// Records that the connection to an endpoint broke during a request.
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

    /// Records that a request finished. Does nothing if no gateway suspects the request.
    pub fn on_finished(&mut self, now: Duration, fingerprint: Fingerprint) {
        let is_reported = self.peers.contains_key(&fingerprint);
        if is_reported || self.own.contains_key(&fingerprint) {
            let finished_at = Some(now);
            self.own.insert(fingerprint, RequestHistory { breaks: Vec::new(), finished_at });
        }
    }

    /// Records that a repetition of a request was refused. This gateway keeps the breaks at the
    /// others, which may restart.
    pub fn on_refused(&mut self, now: Duration, fingerprint: Fingerprint) {
        let breaks = self.counted_breaks(now, fingerprint);
        self.refusals.on_refused(now, fingerprint);
        let own = self.own.entry(fingerprint).or_default();
        for (endpoint, at) in breaks {
            let is_known = own.breaks.iter().any(|&(known, _)| known == endpoint);
            if !is_known && own.breaks.len() < BROKEN_ENDPOINTS_TO_REFUSE {
                own.breaks.push((endpoint, at));
            }
        }
        self.evict_oldest();
    }

    /// Replaces the last refusals at the other gateways.
    pub fn set_peer_refusals(&mut self, peers: HashMap<Fingerprint, Duration>) {
        self.refusals.set_peers(peers);
    }

    /// Last refusal of a request at this gateway.
    pub fn refused_at(&self, fingerprint: Fingerprint) -> Option<Duration> {
        self.refusals.own(fingerprint)
    }

    /// Replaces the observations of the other gateways and drops expired own ones.
    pub fn set_peer_histories(
        &mut self,
        now: Duration,
        peers: HashMap<Fingerprint, Vec<RequestHistory>>,
    ) {
        self.peers = peers;
        self.refusals.remove_expired(now, RETENTION);
        let refusals = &self.refusals;
        self.own.retain(|&fingerprint, history| {
            now < refusals.last(fingerprint).unwrap_or_default().max(history.last()) + RETENTION
        });
    }

    /// Whether the request is to be refused.
    pub fn must_refuse(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        let counted = self.counted_breaks(now, fingerprint).into_iter();
        let endpoints: BTreeSet<EndpointHash> = counted.map(|(endpoint, _)| endpoint).collect();
        endpoints.len() >= BROKEN_ENDPOINTS_TO_REFUSE
    }

    /// Breaks after the last completion that have not expired.
    fn counted_breaks(
        &self,
        now: Duration,
        fingerprint: Fingerprint,
    ) -> Vec<(EndpointHash, Duration)> {
        let peers = self.peers.get(&fingerprint).into_iter().flatten();
        let all: Vec<&RequestHistory> = peers.chain(self.own.get(&fingerprint)).collect();
        let finished_at = all.iter().filter_map(|history| history.finished_at).max();
        let refused_at = self.refusals.last(fingerprint).unwrap_or_default();
        let breaks = all.iter().flat_map(|history| &history.breaks).copied();
        let counted = breaks.filter(|&(_, at)| {
            now < at.max(refused_at) + RETENTION
                && finished_at.is_none_or(|finished_at| at > finished_at)
        });
        counted.collect()
    }

    /// Own observations for a report to the other gateways, latest first.
    pub fn to_report(&self) -> Vec<(Fingerprint, &RequestHistory)> {
        let mut rows: Vec<(Fingerprint, &RequestHistory)> =
            self.own.iter().map(|(&fingerprint, history)| (fingerprint, history)).collect();
        rows.sort_by_key(|&(fingerprint, history)| {
            (Reverse(self.last(fingerprint, history)), fingerprint)
        });
        rows.truncate(MAX_REPORTED_SUSPECTS);
        rows
    }

    /// Last observation of a request, or its last refusal.
    fn last(&self, fingerprint: Fingerprint, history: &RequestHistory) -> Duration {
        self.refusals.last(fingerprint).unwrap_or_default().max(history.last())
    }

    fn evict_oldest(&mut self) {
        if self.own.len() > MAX_SUSPECTS {
            let rows = self.own.iter();
            let oldest = rows.min_by_key(|&(&print, history)| (self.last(print, history), print));
            if let Some(oldest) = oldest.map(|(&fingerprint, _)| fingerprint) {
                self.own.remove(&oldest);
            }
        }
    }
}
