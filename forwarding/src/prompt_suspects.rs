//! Detects parts of prompts that crash the endpoints which begin to answer them.
//!
//! Requests with such a part differ in everything else, and the other parts occur
//! in sound requests too. A crash also breaks the requests that the endpoint
//! runs beside the one that caused it, and in an outage of a service all requests
//! break. A part is therefore refused only after several requests with it broke
//! at several endpoints, before or after their first event, while other requests
//! of the service finished, and none with this part did.
//!
//! Gateways share their observations. A part that one of them refuses is refused
//! by all at which it has not finished shortly before, also after the gateways
//! that saw its crashes are gone. Requests that are refused renew the suspicion.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use xxhash_rust::xxh3;

use crate::refusals::Refusals;
use crate::request::{Prompt, PromptPart};
use crate::suspects::{EndpointHash, Fingerprint};

/// Hash of a service and of a part of a prompt.
pub type PartHash = u64;

/// Distinct endpoints and distinct requests that must have broken. Fewer may be accounted for by
/// requests that ran beside those which crashed the endpoints.
const BREAKS_TO_REFUSE: usize = 3;

/// Distinct endpoints and requests that must have broken for requests with the part to be sent once
/// only.
const BREAKS_TO_HOLD_RETRIES: usize = 2;

/// Breaks of a part that another suspect does not share, though that one is the cause.
const MAX_ACCIDENTAL_BREAKS: usize = 1;

/// Time for which a break counts.
const RETENTION: Duration = Duration::from_secs(60);

/// Time for which a break counts if the part is refused, after the break or the last refusal. Each
/// time that it is forgotten, further endpoints crash.
const REFUSED_RETENTION: Duration = Duration::from_secs(600);

/// Time for which a completion shows that a part is in use and sound.
const SOUND_RETENTION: Duration = Duration::from_secs(10);

/// Period of breaks without a completion after which a part that was sound is refused. In the
/// meantime, a completion at any gateway is reported to all.
const SOUND_GRACE: Duration = Duration::from_secs(2);

/// Other requests that may break for each one that finishes between the first and the last break.
/// In an outage of the service hardly any finish; crashes that follow each other break many.
const MAX_BROKEN_PER_COMPLETION: u64 = 4;

/// Minimum number of completions of other requests between the first and the last break, for a part
/// that was sound. A part in common use finishes among so many.
const SOUND_OTHER_COMPLETIONS: u64 = 60;

/// Maximum number of parts that are remembered, of each kind.
const MAX_PARTS: usize = 1_024;

/// Maximum number of parts with breaks in a report to other gateways, about a hundred bytes each.
const MAX_REPORTED_SUSPECTS: usize = 12;

/// Maximum number of parts that are reported as finished, sixteen bytes each.
const MAX_REPORTED_COMPLETIONS: usize = 24;

/// Maximum number of breaks that are remembered of one part.
const MAX_BREAKS: usize = 4;

/// Maximum difference in the time of one break from one report of another gateway to the next, as
/// reports state ages and take different times.
const REPORT_JITTER: Duration = Duration::from_millis(100);

/// Hash of a service.
type ServiceHash = u64;

/// Parts that a prompt shares with other prompts of a service. Its last part is its own.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SharedParts {
    service: ServiceHash,
    parts: Vec<PartHash>,
}

impl SharedParts {
    /// Parts of `prompt`, a request to `service`.
    pub fn new(service: &str, prompt: &Prompt) -> SharedParts {
        let shared = prompt.parts.len().saturating_sub(1);
        let service = xxh3::xxh3_64(service.as_bytes());
        let hash = |part: &PromptPart| xxh3::xxh3_64_with_seed(&part.id.to_le_bytes(), service);
        SharedParts { service, parts: prompt.parts[..shared].iter().map(hash).collect() }
    }

    /// Hashes of the parts, in order.
    pub fn hashes(&self) -> &[PartHash] {
        &self.parts
    }
}

/// Connection to an endpoint that broke during a request.
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
    /// Latest breaks, of distinct requests at distinct endpoints.
    pub breaks: Vec<PartBreak>,
    /// Time of the last completion of a request with the part.
    pub finished_at: Option<Duration>,
    /// Whether the gateway refuses the part.
    pub is_refused: bool,
}

impl PartHistory {
    fn last(&self) -> Duration {
        let breaks = self.breaks.iter().map(|each| each.at);
        breaks.chain(self.finished_at).max().unwrap_or_default()
    }

    /// Adds a break of another request at another endpoint; others give no further evidence.
    fn add(&mut self, new: PartBreak) {
        let is_alike =
            |known: &PartBreak| known.endpoint == new.endpoint || known.request == new.request;
        if self.breaks.iter().any(is_alike) {
            return;
        }
        if self.breaks.len() == MAX_BREAKS {
            self.breaks.remove(0);
        }
        self.breaks.push(new);
    }
}

/// Requests of a service at this gateway that finished, and that broke.
#[derive(Debug, Clone, Copy, Default)]
struct Outcomes {
    finished: u64,
    broken: u64,
}

/// Outcomes of the service's requests between the first and the latest break of a part.
#[derive(Debug, Clone, Copy)]
struct Period {
    service: ServiceHash,
    start: Outcomes,
    end: Outcomes,
    last_break_at: Duration,
}

/// Observations of this gateway and of the others.
#[derive(Debug, Default)]
pub struct PromptSuspects {
    own: HashMap<PartHash, PartHistory>,
    peers: HashMap<PartHash, Vec<PartHistory>>,
    /// Last completions at this gateway.
    finished: HashMap<PartHash, Duration>,
    outcomes: HashMap<ServiceHash, Outcomes>,
    /// Periods of the parts with breaks at this gateway.
    periods: HashMap<PartHash, Period>,
    refusals: Refusals,
}

impl PromptSuspects {
    /// Records that the connection to an endpoint broke during a request with these parts.
    pub fn on_connection_break(
        &mut self,
        shared: &SharedParts,
        endpoint: EndpointHash,
        request: Fingerprint,
        at: Duration,
    ) {
        let outcomes = self.outcomes.entry(shared.service).or_default();
        outcomes.broken += 1;
        let (service, end) = (shared.service, *outcomes);
        for &part in &shared.parts {
            let finished_at = self.finished.get(&part).copied();
            let unsuspected = PartHistory { finished_at, ..PartHistory::default() };
            let history = self.own.entry(part).or_insert(unsuspected);
            history.add(PartBreak { endpoint, request, at });
            let start = self.periods.get(&part).map_or(end, |period| period.start);
            self.periods.insert(part, Period { service, start, end, last_break_at: at });
        }
        let refusals = &self.refusals;
        evict_oldest(&mut self.own, |part, history| {
            refusals.last(part).unwrap_or_default().max(history.last())
        });
    }

    /// Records that a request with these parts finished.
    pub fn on_finished(&mut self, now: Duration, shared: &SharedParts) {
        self.outcomes.entry(shared.service).or_default().finished += 1;
        for &part in &shared.parts {
            self.finished.insert(part, now);
            let is_suspected = self.own.contains_key(&part) || self.peers.contains_key(&part);
            if is_suspected {
                let finished = PartHistory { finished_at: Some(now), ..PartHistory::default() };
                self.own.insert(part, finished);
                self.periods.remove(&part);
            }
        }
        evict_oldest(&mut self.finished, |_, &at| at);
    }

    /// Records that a request with these parts was refused.
    pub fn on_refused(&mut self, now: Duration, shared: &SharedParts) {
        let parts = shared.parts.iter().copied();
        let refused: Vec<PartHash> =
            parts.filter(|&part| self.is_cause(now, part, &shared.parts)).collect();
        for part in refused {
            self.refusals.on_refused(now, part);
        }
    }

    /// Replaces the last refusals at the other gateways.
    pub fn set_peer_refusals(&mut self, peers: HashMap<PartHash, Duration>) {
        self.refusals.set_peers(peers);
    }

    /// Last refusal of a part at this gateway.
    pub fn refused_at(&self, part: PartHash) -> Option<Duration> {
        self.refusals.own(part)
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
        self.answer_suspicions();
        let own_parts: Vec<PartHash> = self.periods.keys().copied().collect();
        for part in own_parts {
            self.extend_period(now, part);
        }
        for part in self.refused_parts(now) {
            let reported = self.peers.get(&part).into_iter().flatten();
            let own = self.own.entry(part).or_default();
            for &each in reported.flat_map(|history| &history.breaks) {
                own.add(each);
            }
            own.is_refused = true;
        }
        self.refusals.remove_expired(now, REFUSED_RETENTION);
        let refusals = &self.refusals;
        self.own.retain(|&part, history| {
            let last = refusals.last(part).unwrap_or_default().max(history.last());
            now < last + if history.is_refused { REFUSED_RETENTION } else { RETENTION }
        });
        let (own, peers) = (&self.own, &self.peers);
        let is_suspected = |part: &PartHash| own.contains_key(part) || peers.contains_key(part);
        self.periods.retain(|part, _| own.contains_key(part));
        self.finished.retain(|part, &mut at| now < at + SOUND_RETENTION || is_suspected(part));
    }

    /// Adds the last completions here of parts that others suspect, for the next report.
    fn answer_suspicions(&mut self) {
        for part in self.peers.keys() {
            if let Some(&at) = self.finished.get(part) {
                let finished = PartHistory { finished_at: Some(at), ..PartHistory::default() };
                self.own.entry(*part).or_insert(finished);
            }
        }
    }

    /// Extends the period of a part to now if another gateway reports a later break.
    fn extend_period(&mut self, now: Duration, part: PartHash) {
        let last = self.counted_breaks(now, part).iter().map(|each| each.at).max();
        let Some((period, last)) = self.periods.get_mut(&part).zip(last) else { return };
        if last > period.last_break_at + REPORT_JITTER {
            period.last_break_at = last;
            period.end = self.outcomes.get(&period.service).copied().unwrap_or_default();
        }
    }

    /// Clears own breaks that are older than a completion at another gateway.
    fn apply_peer_completions(&mut self) {
        for (part, own) in &mut self.own {
            let reported = self.peers.get(part).into_iter().flatten();
            let reported = reported.filter_map(|history| history.finished_at).max();
            if let Some(finished_at) = reported.filter(|_| reported > own.finished_at) {
                let known = own.breaks.len();
                own.finished_at = Some(finished_at);
                own.breaks.retain(|each| each.at > finished_at);
                if own.breaks.len() < known {
                    own.is_refused = false;
                    self.periods.remove(part);
                }
            }
        }
    }

    /// Whether a request with these parts is to be refused.
    ///
    /// A part that broke only beside another suspect is admitted without that one: the outcome tells
    /// which of them is to blame.
    pub fn must_refuse(&self, now: Duration, shared: &SharedParts) -> bool {
        shared.parts.iter().any(|&part| self.is_cause(now, part, &shared.parts))
    }

    /// Whether a part is refused in a request with these parts.
    fn is_cause(&self, now: Duration, part: PartHash, request_parts: &[PartHash]) -> bool {
        self.must_refuse_part(now, part) && !self.has_other_cause(now, part, request_parts)
    }

    /// Whether a request with these parts may be sent again after it broke: not if one of them broke
    /// under another request too, and was not in use before.
    pub fn may_retry(&self, now: Duration, shared: &SharedParts) -> bool {
        shared.parts.iter().all(|&part| {
            let counted = self.counted_breaks(now, part);
            distinct_breaks(&counted) < BREAKS_TO_HOLD_RETRIES || self.was_sound(part, &counted)
        })
    }

    /// Whether a suspect outside of a request's parts accounts for the breaks of `part`, but for one
    /// that may be due to a request beside it.
    fn has_other_cause(&self, now: Duration, part: PartHash, request_parts: &[PartHash]) -> bool {
        let breaks = self.counted_breaks(now, part);
        let others = self.own.keys().chain(self.peers.keys()).copied();
        let mut others = others.filter(|other| !request_parts.contains(other));
        others.any(|other| {
            let other_breaks = self.counted_breaks(now, other);
            let is_shared = |each: &PartBreak| {
                let mut known = other_breaks.iter();
                known.any(|known| (known.endpoint, known.request) == (each.endpoint, each.request))
            };
            let (shared, unshared): (Vec<PartBreak>, Vec<PartBreak>) =
                breaks.iter().partition(|each| is_shared(each));
            !shared.is_empty()
                && distinct_breaks(&unshared) <= MAX_ACCIDENTAL_BREAKS
                && self.must_refuse_part(now, other)
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
        let refused_at = self.refusals.last(part).unwrap_or_default();
        let breaks = self.histories(part).flat_map(|history| &history.breaks).copied();
        let counted = breaks.filter(|each| {
            now < each.at.max(refused_at) + REFUSED_RETENTION
                && finished_at.is_none_or(|at| each.at > at)
        });
        counted.collect()
    }

    /// Observations of a part by this gateway and the others.
    fn histories(&self, part: PartHash) -> impl Iterator<Item = &PartHistory> {
        self.peers.get(&part).into_iter().flatten().chain(self.own.get(&part))
    }

    /// Whether a part is to blame for crashes, or another gateway says so.
    fn must_refuse_part(&self, now: Duration, part: PartHash) -> bool {
        let counted = self.counted_breaks(now, part);
        if distinct_breaks(&counted) < BREAKS_TO_REFUSE {
            return false;
        }
        // A gateway at which the part finished knows more than one that reports to refuse it.
        let is_refused = self.histories(part).any(|history| history.is_refused);
        (is_refused && !self.was_sound(part, &counted)) || self.is_only_cause(part, &counted)
    }

    /// Whether a request with the part finished shortly before the first of these breaks.
    fn was_sound(&self, part: PartHash, breaks: &[PartBreak]) -> bool {
        let first = breaks.iter().map(|each| each.at).min().unwrap_or_default();
        self.finished_at(part).is_some_and(|at| first < at + SOUND_RETENTION)
    }

    /// Whether the part explains its breaks: other requests of the service finished meanwhile, so that
    /// the service as a whole was not at fault.
    fn is_only_cause(&self, part: PartHash, breaks: &[PartBreak]) -> bool {
        let Some(period) = self.periods.get(&part) else { return false };
        let first = breaks.iter().map(|each| each.at).min().unwrap_or_default();
        let last = breaks.iter().map(|each| each.at).max().unwrap_or_default();
        let was_sound = self.was_sound(part, breaks);
        let own_breaks = self.own.get(&part).map_or(0, |history| history.breaks.len()) as u64;
        let finished = period.end.finished - period.start.finished;
        let broken = (period.end.broken - period.start.broken).saturating_sub(own_breaks);
        let min_finished = if was_sound { SOUND_OTHER_COMPLETIONS } else { 1 };
        let lasts_long = last >= first + SOUND_GRACE;
        let is_outage = broken > finished * MAX_BROKEN_PER_COMPLETION;
        finished >= min_finished && !is_outage && (lasts_long || !was_sound)
    }

    /// Parts that are refused.
    pub fn refused_parts(&self, now: Duration) -> BTreeSet<PartHash> {
        let parts = self.own.keys().chain(self.peers.keys()).copied();
        parts.filter(|&part| self.must_refuse_part(now, part)).collect()
    }

    /// Own observations for a report to the other gateways: the refused parts and those with most
    /// breaks, and the latest completions.
    pub fn to_report(&self) -> Vec<(PartHash, &PartHistory)> {
        let rows = self.own.iter().map(|(&part, history)| (part, history));
        let (mut suspects, mut finished): (Vec<_>, Vec<_>) =
            rows.partition(|(_, history)| !history.breaks.is_empty());
        suspects.sort_by_key(|&(part, history)| {
            (!history.is_refused, Reverse(history.breaks.len()), Reverse(history.last()), part)
        });
        finished.sort_by_key(|&(part, history)| (Reverse(history.last()), part));
        suspects.truncate(MAX_REPORTED_SUSPECTS);
        finished.truncate(MAX_REPORTED_COMPLETIONS);
        suspects.extend(finished);
        suspects
    }
}

/// Number of distinct requests that broke, or of distinct endpoints if those are fewer.
fn distinct_breaks(breaks: &[PartBreak]) -> usize {
    let endpoints: BTreeSet<EndpointHash> = breaks.iter().map(|each| each.endpoint).collect();
    let requests: BTreeSet<Fingerprint> = breaks.iter().map(|each| each.request).collect();
    endpoints.len().min(requests.len())
}

/// Removes the oldest entries of a map that is too large.
fn evict_oldest<T>(map: &mut HashMap<PartHash, T>, last: impl Fn(PartHash, &T) -> Duration) {
    while map.len() > MAX_PARTS {
        let oldest = map.iter().min_by_key(|&(&part, value)| (last(part, value), part));
        let Some(part) = oldest.map(|(&part, _)| part) else { return };
        map.remove(&part);
    }
}
