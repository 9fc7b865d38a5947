//! Requests that crash each endpoint that runs them.
//!
//! Whatever ran on an endpoint when it crashed is a suspect: one of them may be
//! the cause, and the others are batch mates that need their answer. A suspect
//! may run again, but never beside another suspect, so that the next crash tells
//! them apart; one that finishes is cleared. A suspect of several crashes that no
//! other suspect shares is quarantined for a time and refused. After that time
//! it may run again as a suspect, so that an innocent request clears itself.
//! Another node's request may have caused the same crashes, so the suspect is
//! first held until the other nodes' news must have come.
//!
//! Endpoints that crash together, as with a data centre or a rack, are no sign of
//! a poisonous request and make no suspects, apart from what they have in common.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rhubarbrock_schema::peer;

use crate::id::{EndpointId, Fingerprint};

/// Crashes kept of one suspect.
const MAX_CRASHES_KEPT: usize = 8;

/// Bounds of suspicion and quarantine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Crashes after which a sole suspect is quarantined.
    pub min_crashes: usize,
    /// Time for which a suspect is held before it is quarantined: that of other nodes' news.
    pub hold_time: Duration,
    /// Length of the first quarantine; doubled at each further one of the same request.
    pub first_quarantine: Duration,
    /// Longest quarantine.
    pub max_quarantine: Duration,
    /// Time from its last crash after which a suspect is forgotten.
    pub suspect_lifetime: Duration,
    /// Number of crashes within `correlation_window` that are taken for a failure of the platform.
    pub correlated_crashes: usize,
    /// Time within which crashes belong together.
    pub correlation_window: Duration,
    /// Largest number of suspects kept.
    pub max_suspects: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            min_crashes: 2,
            hold_time: Duration::ZERO,
            first_quarantine: Duration::from_secs(600),
            max_quarantine: Duration::from_secs(4 * 3600),
            suspect_lifetime: Duration::from_secs(1200),
            correlated_crashes: 4,
            correlation_window: Duration::from_secs(2),
            max_suspects: 1024,
        }
    }
}

/// How a request stands. Times are monotonic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It may run anywhere.
    Unrestricted,
    /// It may run where no other suspect runs.
    Suspect,
    /// It may not run until its crashes are judged.
    OnHold {
        /// When that is.
        until: Duration,
    },
    /// It is refused.
    Quarantined {
        /// Until then.
        until: Duration,
    },
}

#[derive(Debug, Clone)]
struct Suspect {
    crashes: BTreeSet<EndpointId>,
    last_crash: Duration,
    quarantined_until: Option<Duration>,
    held_until: Option<Duration>,
    /// Number of quarantines so far.
    quarantines: u32,
}

#[derive(Debug)]
struct Crash {
    at: Duration,
    running: Vec<Fingerprint>,
}

/// Suspects of one node.
#[derive(Debug)]
pub struct Quarantine {
    config: Config,
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// When requests were cleared, so that news of older crashes counts no more.
    cleared: BTreeMap<Fingerprint, Duration>,
    recent: VecDeque<Crash>,
}

impl Quarantine {
    /// No suspects.
    pub fn new(config: Config) -> Quarantine {
        Quarantine {
            config,
            suspects: BTreeMap::new(),
            cleared: BTreeMap::new(),
            recent: VecDeque::new(),
        }
    }

    /// Takes the release note's policy.
    pub fn set_policy(&mut self, min_crashes: usize, quarantine: Duration) {
        self.config.min_crashes = min_crashes.max(1);
        self.config.first_quarantine = quarantine;
    }

    /// Number of suspects, quarantined ones included.
    pub fn suspects(&self) -> usize {
        self.suspects.len()
    }

    /// How a request stands now.
    pub fn status(&self, now: Duration, fingerprint: Fingerprint) -> Status {
        match self.suspects.get(&fingerprint) {
            None => Status::Unrestricted,
            Some(suspect) => match suspect.quarantined_until {
                Some(until) if now < until => Status::Quarantined { until },
                _ => match suspect.held_until {
                    Some(until) => Status::OnHold { until },
                    None => Status::Suspect,
                },
            },
        }
    }

    /// Whether a request may be sent to an endpoint that runs these.
    pub fn may_place(
        &self,
        now: Duration,
        fingerprint: Fingerprint,
        running: &[Fingerprint],
    ) -> bool {
        match self.status(now, fingerprint) {
            Status::Unrestricted => true,
            Status::OnHold { .. } | Status::Quarantined { .. } => false,
            Status::Suspect => !running.iter().any(|other| self.suspects.contains_key(other)),
        }
    }

    /// An endpoint crashed unannounced while it ran these. Gives what is quarantined by it.
    pub fn on_crash(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        running: &[Fingerprint],
    ) -> Vec<Fingerprint> {
        for &fingerprint in running {
            self.suspect(now, fingerprint, [endpoint]);
        }
        self.recent.push_back(Crash { at: now, running: running.to_vec() });
        self.forgive_wave(now);
        let quarantined = self.judge(now, running);
        self.bound();
        quarantined
    }

    /// A request ran to its end.
    pub fn on_finished(&mut self, now: Duration, fingerprint: Fingerprint) {
        if self.suspects.remove(&fingerprint).is_some() {
            self.cleared.insert(fingerprint, now);
        }
    }

    /// News from a peer. Gives what is quarantined by it.
    pub fn on_peer_suspects(&mut self, now: Duration, news: &[peer::Suspect]) -> Vec<Fingerprint> {
        let mut touched = Vec::new();
        for told in news {
            let age = Duration::from_millis(u64::from(told.age_ms));
            let crashed_at = now.saturating_sub(age);
            let is_old = age > self.config.suspect_lifetime;
            let is_cleared =
                self.cleared.get(&told.fingerprint).is_some_and(|&at| crashed_at <= at);
            if is_old || is_cleared {
                continue;
            }
            self.suspect(crashed_at, told.fingerprint, told.crashed_endpoints.iter().copied());
            if told.quarantined {
                self.quarantine(now, crashed_at, told.fingerprint);
            }
            touched.push(told.fingerprint);
        }
        let quarantined = self.judge(now, &touched);
        self.bound();
        quarantined
    }

    /// The most useful news for peers: quarantined requests first, then the latest crashes.
    pub fn digest(&self, now: Duration, max: usize) -> Vec<peer::Suspect> {
        let mut ranked: Vec<(bool, Reverse<Duration>, Fingerprint)> = self
            .suspects
            .iter()
            .map(|(&fingerprint, suspect)| {
                let is_quarantined = suspect.quarantined_until.is_some_and(|until| now < until);
                (!is_quarantined, Reverse(suspect.last_crash), fingerprint)
            })
            .collect();
        ranked.sort_unstable();
        ranked.truncate(max);
        ranked
            .into_iter()
            .map(|(is_unrestricted, _, print)| self.news(now, !is_unrestricted, print))
            .collect()
    }

    /// Time passes: old suspicions end, and those held long enough are judged. Gives what is
    /// quarantined by it.
    pub fn tick(&mut self, now: Duration) -> Vec<Fingerprint> {
        let is_due = |suspect: &Suspect| suspect.held_until.is_some_and(|until| now >= until);
        let due: Vec<Fingerprint> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| is_due(suspect))
            .map(|(&fingerprint, _)| fingerprint)
            .collect();
        let quarantined = self.judge(now, &due);
        for suspect in self.suspects.values_mut().filter(|suspect| is_due(suspect)) {
            suspect.held_until = None;
        }

        let suspect_lifetime = self.config.suspect_lifetime;
        self.suspects.retain(|_, suspect| {
            let end = suspect.last_crash + suspect_lifetime;
            now <= end.max(suspect.quarantined_until.map_or(end, |until| until + suspect_lifetime))
        });
        self.cleared.retain(|_, at| now <= *at + suspect_lifetime);
        quarantined
    }

    fn news(&self, now: Duration, quarantined: bool, fingerprint: Fingerprint) -> peer::Suspect {
        let suspect = &self.suspects[&fingerprint];
        let age = now.saturating_sub(suspect.last_crash);
        peer::Suspect {
            fingerprint,
            crashed_endpoints: suspect.crashes.iter().copied().collect(),
            quarantined,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }

    fn suspect(
        &mut self,
        crashed_at: Duration,
        fingerprint: Fingerprint,
        endpoints: impl IntoIterator<Item = EndpointId>,
    ) {
        let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect {
            crashes: BTreeSet::new(),
            last_crash: crashed_at,
            quarantined_until: None,
            held_until: None,
            quarantines: 0,
        });
        suspect.last_crash = suspect.last_crash.max(crashed_at);
        suspect.crashes.extend(endpoints);
        while suspect.crashes.len() > MAX_CRASHES_KEPT {
            suspect.crashes.pop_first();
        }
    }

    /// Where many endpoints crashed together, clears what only one of them ran.
    fn forgive_wave(&mut self, now: Duration) {
        let window = self.config.correlation_window;
        while self.recent.front().is_some_and(|crash| crash.at + window < now) {
            self.recent.pop_front();
        }
        if self.recent.len() < self.config.correlated_crashes {
            return;
        }
        for fingerprint in self.recent.iter().flat_map(|crash| &crash.running) {
            if self.suspects.get(fingerprint).is_some_and(|suspect| suspect.crashes.len() == 1) {
                self.suspects.remove(fingerprint);
            }
        }
    }

    /// Holds those that have crashes enough which no other suspect shares, and quarantines them
    /// if that still holds after the time.
    fn judge(&mut self, now: Duration, touched: &[Fingerprint]) -> Vec<Fingerprint> {
        let mut quarantined = Vec::new();
        for &fingerprint in touched {
            let is_settled = match self.status(now, fingerprint) {
                Status::Suspect => self.config.hold_time.is_zero(),
                Status::OnHold { until } if now >= until => true,
                Status::Unrestricted | Status::OnHold { .. } | Status::Quarantined { .. } => {
                    continue;
                }
            };
            let suspect = &self.suspects[&fingerprint];
            let has_new_crash =
                suspect.quarantined_until.is_none_or(|until| suspect.last_crash >= until);
            let is_enough = suspect.crashes.len() >= self.config.min_crashes;
            if !has_new_crash || !is_enough || !self.is_sole(fingerprint) {
                continue;
            }
            if is_settled {
                let crashed_at = suspect.last_crash;
                self.quarantine(now, crashed_at, fingerprint);
                quarantined.push(fingerprint);
            } else if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
                suspect.held_until = Some(now + self.config.hold_time);
            }
        }
        quarantined
    }

    fn is_sole(&self, fingerprint: Fingerprint) -> bool {
        let crashes = &self.suspects[&fingerprint].crashes;
        !self
            .suspects
            .iter()
            .any(|(&other, suspect)| other != fingerprint && suspect.crashes.is_superset(crashes))
    }

    fn quarantine(&mut self, now: Duration, crashed_at: Duration, fingerprint: Fingerprint) {
        let longest = self.config.max_quarantine;
        let first = self.config.first_quarantine;
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return };
        if suspect.quarantined_until.is_some_and(|until| crashed_at < until) {
            return;
        }
        let time = first.saturating_mul(1 << suspect.quarantines.min(16)).min(longest);
        let until = crashed_at + time;
        if until > now {
            suspect.quarantines += 1;
            suspect.quarantined_until = Some(until);
        }
    }

    /// Forgets the oldest suspects past the bound, quarantined ones last.
    fn bound(&mut self) {
        while self.suspects.len() > self.config.max_suspects {
            let oldest = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| (suspect.quarantined_until, suspect.last_crash))
                .map(|(&fingerprint, _)| fingerprint);
            let Some(oldest) = oldest else { return };
            self.suspects.remove(&oldest);
        }
        while self.cleared.len() > self.config.max_suspects {
            let oldest = self.cleared.iter().min_by_key(|(_, at)| **at).map(|(&print, _)| print);
            let Some(oldest) = oldest else { return };
            self.cleared.remove(&oldest);
        }
    }
}
