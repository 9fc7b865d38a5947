//! Detects parts of prompts that crash the endpoints which begin to answer them.
//!
//! Requests with such a part differ in everything else, and the other parts occur
//! in sound requests too. A crash also breaks the requests that the endpoint
//! runs beside the one that caused it. A part is therefore refused only after
//! several requests with it broke before their first event, at several
//! endpoints, while other requests finished and none with this part did.
//! Gateways share their observations, and take over those that suffice, so that
//! they outlast the gateway that made them.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use xxhash_rust::xxh3;

use crate::request::Prompt;
use crate::suspects::{EndpointHash, Fingerprint};

/// Hash of a service and of a part of a prompt.
pub type PartHash = u64;

/// Distinct endpoints and distinct requests that must have broken. Fewer may be accounted for by
/// requests that ran beside those which crashed the endpoints.
const BREAKS_TO_REFUSE: usize = 3;

/// Time for which a break counts.
const RETENTION: Duration = Duration::from_secs(60);

/// Time for which a break counts if the part is refused. Each time that it is forgotten, further
/// endpoints crash.
const REFUSED_RETENTION: Duration = Duration::from_secs(600);

/// Time for which a completion shows that a part is in use and sound.
const SOUND_RETENTION: Duration = Duration::from_secs(10);

/// Period of breaks without a completion after which a part that was sound is refused. In the
/// meantime, a completion at any gateway is reported to all.
const SOUND_GRACE: Duration = Duration::from_secs(2);

/// Completions of other requests in that period, without which an outage of the service would
/// count against the part.
const OTHER_COMPLETIONS: u64 = 20;

/// Maximum number of parts that are remembered, of each kind.
const MAX_PARTS: usize = 1_024;

/// Maximum number of parts in a report to other gateways.
const MAX_REPORTED_PARTS: usize = 32;

/// Maximum number of breaks that are remembered of one part.
const MAX_BREAKS: usize = 8;

/// Hashes of the parts that a prompt shares with other prompts. The last part is its own.
pub fn shared_parts(service: &str, prompt: &Prompt) -> Vec<PartHash> {
    let shared = prompt.parts.len().saturating_sub(1);
    let service = xxh3::xxh3_64(service.as_bytes());
    let parts = prompt.parts[..shared].iter();
    parts.map(|part| xxh3::xxh3_64_with_seed(&part.id.to_le_bytes(), service)).collect()
}

/// Connection to an endpoint that broke before the first event of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartBreak {
    /// Process of the endpoint.
    pub endpoint: EndpointHash,
    /// Fingerprint of the request, equal for its repetitions.
    pub request: Fingerprint,
    /// Time of the break.
    pub at: Duration,
}

/// What one gateway observed of a part.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartHistory {
    /// Latest breaks.
    pub breaks: Vec<PartBreak>,
    /// Time of the last completion of a request with the part.
    pub finished_at: Option<Duration>,
}

impl PartHistory {
    fn last(&self) -> Duration {
        let breaks = self.breaks.iter().map(|each| each.at);
        breaks.chain(self.finished_at).max().unwrap_or_default()
    }

    fn add(&mut self, new: PartBreak) {
        let is_same =
            |known: &PartBreak| known.endpoint == new.endpoint && known.request == new.request;
        if !self.breaks.iter().any(is_same) && self.breaks.len() < MAX_BREAKS {
            self.breaks.push(new);
        }
    }
}

/// Observations of this gateway and of the others.
#[derive(Debug, Default)]
pub struct PromptSuspects {
    own: HashMap<PartHash, PartHistory>,
    peers: HashMap<PartHash, Vec<PartHistory>>,
    /// Last completions at this gateway.
    finished: HashMap<PartHash, Duration>,
    /// Number of requests that finished at this gateway.
    completions: u64,
    /// That number when a part was first suspected, or last finished.
    completions_before: HashMap<PartHash, u64>,
}

impl PromptSuspects {
    /// Records that the connection to an endpoint broke before the first event of a request with
    /// these parts.
    pub fn on_connection_break(
        &mut self,
        parts: &[PartHash],
        endpoint: EndpointHash,
        request: Fingerprint,
        at: Duration,
    ) {
        for &part in parts {
            let history = self.own.entry(part).or_default();
            history.add(PartBreak { endpoint, request, at });
            self.completions_before.entry(part).or_insert(self.completions);
        }
        evict_oldest(&mut self.own, PartHistory::last);
    }

    /// Records that a request with these parts finished.
    pub fn on_finished(&mut self, now: Duration, parts: &[PartHash]) {
        self.completions += 1;
        for &part in parts {
            self.finished.insert(part, now);
            let is_suspected = self.own.contains_key(&part) || self.peers.contains_key(&part);
            if is_suspected {
                let finished = PartHistory { breaks: Vec::new(), finished_at: Some(now) };
                self.own.insert(part, finished);
                self.completions_before.insert(part, self.completions);
            }
        }
        evict_oldest(&mut self.finished, |&at| at);
    }

    /// Replaces the observations of the other gateways, takes over those that suffice to refuse a
    /// part, and drops expired ones.
    pub fn set_peer_histories(
        &mut self,
        now: Duration,
        peers: HashMap<PartHash, Vec<PartHistory>>,
    ) {
        self.peers = peers;
        self.apply_peer_completions();
        let mut refused = Vec::new();
        for &part in self.peers.keys() {
            self.completions_before.entry(part).or_insert(self.completions);
            if self.must_refuse_part(now, part) {
                refused.push(part);
            }
        }
        for &part in &refused {
            let known = self.peers[&part].iter().flat_map(|history| &history.breaks);
            let own = self.own.entry(part).or_default();
            for &each in known {
                own.add(each);
            }
        }
        let (peers, own) = (&self.peers, &mut self.own);
        own.retain(|_, history| {
            let is_refused = history.breaks.len() >= BREAKS_TO_REFUSE;
            now < history.last() + if is_refused { REFUSED_RETENTION } else { RETENTION }
        });
        self.completions_before
            .retain(|part, _| own.contains_key(part) || peers.contains_key(part));
        self.finished.retain(|_, &mut at| now < at + SOUND_RETENTION);
    }

    /// Clears own breaks that are older than a completion at another gateway.
    fn apply_peer_completions(&mut self) {
        for (part, own) in &mut self.own {
            let reported = self.peers.get(part).into_iter().flatten();
            let reported = reported.filter_map(|history| history.finished_at).max();
            if let Some(finished_at) = reported.filter(|_| reported > own.finished_at) {
                own.finished_at = Some(finished_at);
                own.breaks.retain(|each| each.at > finished_at);
            }
        }
    }

    /// Whether a request with these parts is to be refused.
    ///
    /// A part that broke only beside another suspect is admitted without that one: the outcome tells
    /// which of them is to blame.
    pub fn must_refuse(&self, now: Duration, parts: &[PartHash]) -> bool {
        parts.iter().any(|&part| {
            self.must_refuse_part(now, part) && !self.has_other_cause(now, part, parts)
        })
    }

    /// Whether a suspect outside of a request's parts broke whenever `part` did.
    fn has_other_cause(&self, now: Duration, part: PartHash, request_parts: &[PartHash]) -> bool {
        let breaks = self.counted_breaks(now, part);
        let others = self.own.keys().chain(self.peers.keys()).copied();
        let mut others = others.filter(|other| !request_parts.contains(other));
        others.any(|other| {
            let other_breaks = self.counted_breaks(now, other);
            let is_beside = |each: &PartBreak| {
                let mut known = other_breaks.iter();
                known.any(|known| (known.endpoint, known.request) == (each.endpoint, each.request))
            };
            breaks.iter().all(is_beside) && self.must_refuse_part(now, other)
        })
    }

    /// Time of the last known completion of a request with a part.
    fn finished_at(&self, part: PartHash) -> Option<Duration> {
        let reported = self.histories(part).filter_map(|history| history.finished_at);
        reported.chain(self.finished.get(&part).copied()).max()
    }

    /// Breaks after the last completion.
    fn counted_breaks(&self, now: Duration, part: PartHash) -> Vec<PartBreak> {
        let finished_at = self.finished_at(part);
        let breaks = self.histories(part).flat_map(|history| &history.breaks).copied();
        let counted = breaks.filter(|each| {
            now < each.at + REFUSED_RETENTION && finished_at.is_none_or(|at| each.at > at)
        });
        counted.collect()
    }

    fn histories(&self, part: PartHash) -> impl Iterator<Item = &PartHistory> {
        self.peers.get(&part).into_iter().flatten().chain(self.own.get(&part))
    }

    fn must_refuse_part(&self, now: Duration, part: PartHash) -> bool {
        let counted = self.counted_breaks(now, part);
        let endpoints: BTreeSet<EndpointHash> = counted.iter().map(|each| each.endpoint).collect();
        let requests: BTreeSet<Fingerprint> = counted.iter().map(|each| each.request).collect();
        if endpoints.len().min(requests.len()) < BREAKS_TO_REFUSE {
            return false;
        }
        let first = counted.iter().map(|each| each.at).min().unwrap_or_default();
        let last = counted.iter().map(|each| each.at).max().unwrap_or_default();
        let was_sound = self.finished_at(part).is_some_and(|at| first < at + SOUND_RETENTION);
        let completions_before = self.completions_before.get(&part).copied();
        let others = self.completions - completions_before.unwrap_or(self.completions);
        match was_sound {
            true => last >= first + SOUND_GRACE && others >= OTHER_COMPLETIONS,
            false => others > 0,
        }
    }

    /// Parts that are refused.
    pub fn refused_parts(&self, now: Duration) -> BTreeSet<PartHash> {
        let parts = self.own.keys().chain(self.peers.keys()).copied();
        parts.filter(|&part| self.must_refuse_part(now, part)).collect()
    }

    /// Own observations for a report to the other gateways: first the parts with most breaks, then
    /// the latest.
    pub fn to_report(&self) -> Vec<(PartHash, &PartHistory)> {
        let mut rows: Vec<(PartHash, &PartHistory)> =
            self.own.iter().map(|(&part, history)| (part, history)).collect();
        rows.sort_by_key(|&(part, history)| {
            let is_refused = history.breaks.len() >= BREAKS_TO_REFUSE;
            (!is_refused, std::cmp::Reverse(history.last()), part)
        });
        rows.truncate(MAX_REPORTED_PARTS);
        rows
    }
}

/// Removes the oldest entries of a map that is too large.
fn evict_oldest<T>(map: &mut HashMap<PartHash, T>, last: impl Fn(&T) -> Duration) {
    while map.len() > MAX_PARTS {
        let oldest = map.iter().min_by_key(|&(&part, value)| (last(value), part));
        let Some(part) = oldest.map(|(&part, _)| part) else { return };
        map.remove(&part);
    }
}
