//! Quarantine of poison requests, which crash every endpoint that runs them.
//!
//! All requests that run on an endpoint when it crashes become suspects: one of
//! them may be the cause, and the others, which shared its batch, still need
//! their answer. A suspect may run again, but never beside another suspect, so
//! that the next crash tells them apart; one that finishes is cleared. A suspect
//! of several crashes that no other suspect shares is quarantined for a time and
//! refused. After that time it may run again as a suspect, so that a request
//! that was quarantined by mistake can clear itself. A request of another node
//! may have caused the same crashes, so a suspect is first put on hold until the
//! reports of the other nodes must have arrived.
//!
//! Endpoints that crash together, as when a data centre or a rack fails, do not
//! point to a poison request: such crashes make no suspects, except of requests
//! that ran on more than one of the endpoints.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rhubarbrock_schema::peer;

use crate::id::{EndpointId, Fingerprint};

/// Crashed endpoints stored per suspect.
const MAX_CRASHES_PER_SUSPECT: usize = 8;

/// Settings of [`Quarantine`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Number of crashed endpoints from which a sole suspect is quarantined.
    pub min_crashes: usize,
    /// Time for which a suspect is on hold before it is quarantined, so that the reports of other
    /// nodes arrive; zero quarantines at once.
    pub hold_time: Duration,
    /// Length of a request's first quarantine; each further one is twice as long.
    pub initial_quarantine: Duration,
    /// Limit of the length of a quarantine.
    pub max_quarantine: Duration,
    /// Time after its last crash at which a suspect is dropped.
    pub suspect_lifetime: Duration,
    /// Number of crashes within `correlation_window` that count as a failure of the platform.
    pub correlated_crashes: usize,
    /// Time within which crashes count as correlated.
    pub correlation_window: Duration,
    /// Largest number of suspects stored.
    pub max_suspects: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            min_crashes: 2,
            hold_time: Duration::ZERO,
            initial_quarantine: Duration::from_secs(600),
            max_quarantine: Duration::from_secs(4 * 3600),
            suspect_lifetime: Duration::from_secs(1200),
            correlated_crashes: 4,
            correlation_window: Duration::from_secs(2),
            max_suspects: 1024,
        }
    }
}

/// Status of a request. Times are monotonic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It is no suspect and may run anywhere.
    Unrestricted,
    /// It may run at endpoints where no other suspect runs.
    Suspect,
    /// It must not run until it is decided whether it is quarantined.
    OnHold {
        /// Time of the decision.
        until: Duration,
    },
    /// It is refused.
    Quarantined {
        /// End of the quarantine.
        until: Duration,
    },
}

#[derive(Debug, Clone)]
struct Suspect {
    crashes: BTreeSet<EndpointId>,
    last_crash: Duration,
    quarantined_until: Option<Duration>,
    on_hold_until: Option<Duration>,
    quarantine_count: u32,
}

#[derive(Debug)]
struct Crash {
    at: Duration,
    running: Vec<Fingerprint>,
}

/// Suspects that one node knows of.
#[derive(Debug)]
pub struct Quarantine {
    config: Config,
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// When requests were cleared; reports of older crashes are ignored.
    cleared: BTreeMap<Fingerprint, Duration>,
    recent_crashes: VecDeque<Crash>,
}

impl Quarantine {
    /// Creates a state without suspects.
    pub fn new(config: Config) -> Quarantine {
        Quarantine {
            config,
            suspects: BTreeMap::new(),
            cleared: BTreeMap::new(),
            recent_crashes: VecDeque::new(),
        }
    }

    /// Sets what the release's policy states; `min_crashes` is at least 1.
    pub fn set_policy(&mut self, min_crashes: usize, initial_quarantine: Duration) {
        self.config.min_crashes = min_crashes.max(1);
        self.config.initial_quarantine = initial_quarantine;
    }

    /// Number of suspects, including those in quarantine.
    pub fn suspects(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the status of a request at `now`.
    pub fn status(&self, now: Duration, fingerprint: Fingerprint) -> Status {
        match self.suspects.get(&fingerprint) {
            None => Status::Unrestricted,
            Some(suspect) => match suspect.quarantined_until {
                Some(until) if now < until => Status::Quarantined { until },
                _ => match suspect.on_hold_until {
                    Some(until) => Status::OnHold { until },
                    None => Status::Suspect,
                },
            },
        }
    }

    /// Whether a request may be sent to an endpoint that runs the requests `running`.
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

    /// Handles the unannounced crash of an endpoint that ran the requests `running`; returns the
    /// requests that are quarantined because of it.
    pub fn on_crash(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        running: &[Fingerprint],
    ) -> Vec<Fingerprint> {
        for &fingerprint in running {
            self.add_suspect(now, fingerprint, [endpoint]);
        }
        self.recent_crashes.push_back(Crash { at: now, running: running.to_vec() });
        self.drop_correlated_suspects(now);
        let quarantined = self.quarantine_or_hold(now, running);
        self.evict_excess();
        quarantined
    }

    /// Clears a request, because it ran to its end.
    pub fn on_finished(&mut self, now: Duration, fingerprint: Fingerprint) {
        if self.suspects.remove(&fingerprint).is_some() {
            self.cleared.insert(fingerprint, now);
        }
    }

    /// Takes in the suspects that a peer reports; returns the requests that are quarantined
    /// because of them.
    pub fn on_peer_suspects(
        &mut self,
        now: Duration,
        reports: &[peer::Suspect],
    ) -> Vec<Fingerprint> {
        let mut affected = Vec::new();
        for report in reports {
            let age = Duration::from_millis(u64::from(report.age_ms));
            let crashed_at = now.saturating_sub(age);
            let is_old = age > self.config.suspect_lifetime;
            let is_cleared =
                self.cleared.get(&report.fingerprint).is_some_and(|&at| crashed_at <= at);
            if is_old || is_cleared {
                continue;
            }
            self.add_suspect(
                crashed_at,
                report.fingerprint,
                report.crashed_endpoints.iter().copied(),
            );
            if report.quarantined {
                self.quarantine(now, crashed_at, report.fingerprint);
            }
            affected.push(report.fingerprint);
        }
        let quarantined = self.quarantine_or_hold(now, &affected);
        self.evict_excess();
        quarantined
    }

    /// Returns at most `max` suspects to report to peers: quarantined ones first, then those with
    /// the latest crashes.
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
            .map(|(is_free, _, fingerprint)| self.peer_report(now, !is_free, fingerprint))
            .collect()
    }

    /// Drops outdated suspects and decides about those whose hold has ended; returns the requests
    /// that are quarantined.
    pub fn tick(&mut self, now: Duration) -> Vec<Fingerprint> {
        let is_due = |suspect: &Suspect| suspect.on_hold_until.is_some_and(|until| now >= until);
        let due: Vec<Fingerprint> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| is_due(suspect))
            .map(|(&fingerprint, _)| fingerprint)
            .collect();
        let quarantined = self.quarantine_or_hold(now, &due);
        for suspect in self.suspects.values_mut().filter(|suspect| is_due(suspect)) {
            suspect.on_hold_until = None;
        }

        let suspect_lifetime = self.config.suspect_lifetime;
        self.suspects.retain(|_, suspect| {
            let end = suspect.last_crash + suspect_lifetime;
            now <= end.max(suspect.quarantined_until.map_or(end, |until| until + suspect_lifetime))
        });
        self.cleared.retain(|_, at| now <= *at + suspect_lifetime);
        quarantined
    }

    fn peer_report(
        &self,
        now: Duration,
        quarantined: bool,
        fingerprint: Fingerprint,
    ) -> peer::Suspect {
        let suspect = &self.suspects[&fingerprint];
        let age = now.saturating_sub(suspect.last_crash);
        peer::Suspect {
            fingerprint,
            crashed_endpoints: suspect.crashes.iter().copied().collect(),
            quarantined,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }

    fn add_suspect(
        &mut self,
        crashed_at: Duration,
        fingerprint: Fingerprint,
        endpoints: impl IntoIterator<Item = EndpointId>,
    ) {
        let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect {
            crashes: BTreeSet::new(),
            last_crash: crashed_at,
            quarantined_until: None,
            on_hold_until: None,
            quarantine_count: 0,
        });
        suspect.last_crash = suspect.last_crash.max(crashed_at);
        suspect.crashes.extend(endpoints);
        while suspect.crashes.len() > MAX_CRASHES_PER_SUSPECT {
            suspect.crashes.pop_first();
        }
    }

    /// If many endpoints crashed together, drops the suspects that ran on only one endpoint.
    fn drop_correlated_suspects(&mut self, now: Duration) {
        let window = self.config.correlation_window;
        while self.recent_crashes.front().is_some_and(|crash| crash.at + window < now) {
            self.recent_crashes.pop_front();
        }
        if self.recent_crashes.len() < self.config.correlated_crashes {
            return;
        }
        for fingerprint in self.recent_crashes.iter().flat_map(|crash| &crash.running) {
            if self.suspects.get(fingerprint).is_some_and(|suspect| suspect.crashes.len() == 1) {
                self.suspects.remove(fingerprint);
            }
        }
    }

    /// Puts sole suspects of enough crashes on hold, and quarantines those that still are when
    /// their hold ends.
    fn quarantine_or_hold(&mut self, now: Duration, affected: &[Fingerprint]) -> Vec<Fingerprint> {
        let mut quarantined = Vec::new();
        for &fingerprint in affected {
            let is_hold_over = match self.status(now, fingerprint) {
                Status::Suspect => self.config.hold_time.is_zero(),
                Status::OnHold { until } if now >= until => true,
                Status::Unrestricted | Status::OnHold { .. } | Status::Quarantined { .. } => {
                    continue;
                }
            };
            let suspect = &self.suspects[&fingerprint];
            let has_new_crash =
                suspect.quarantined_until.is_none_or(|until| suspect.last_crash >= until);
            let has_min_crashes = suspect.crashes.len() >= self.config.min_crashes;
            if !has_new_crash || !has_min_crashes || !self.is_sole_suspect(fingerprint) {
                continue;
            }
            if is_hold_over {
                let crashed_at = suspect.last_crash;
                self.quarantine(now, crashed_at, fingerprint);
                quarantined.push(fingerprint);
            } else if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
                suspect.on_hold_until = Some(now + self.config.hold_time);
            }
        }
        quarantined
    }

    /// Whether no other suspect was involved in all crashes of this one.
    fn is_sole_suspect(&self, fingerprint: Fingerprint) -> bool {
        let crashes = &self.suspects[&fingerprint].crashes;
        !self
            .suspects
            .iter()
            .any(|(&other, suspect)| other != fingerprint && suspect.crashes.is_superset(crashes))
    }

    fn quarantine(&mut self, now: Duration, crashed_at: Duration, fingerprint: Fingerprint) {
        let max = self.config.max_quarantine;
        let first = self.config.initial_quarantine;
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return };
        if suspect.quarantined_until.is_some_and(|until| crashed_at < until) {
            return;
        }
        let length = first.saturating_mul(1 << suspect.quarantine_count.min(16)).min(max);
        let until = crashed_at + length;
        if until > now {
            suspect.quarantine_count += 1;
            suspect.quarantined_until = Some(until);
        }
    }

    /// Evicts the oldest suspects above the limit, quarantined ones last.
    fn evict_excess(&mut self) {
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
            let oldest =
                self.cleared.iter().min_by_key(|(_, at)| **at).map(|(&fingerprint, _)| fingerprint);
            let Some(oldest) = oldest else { return };
            self.cleared.remove(&oldest);
        }
    }
}
