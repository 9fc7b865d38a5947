//! What answers show of the old and the new version, and the comparison of both.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use derive_more::Display;

use crate::endpoints::{Endpoint, EndpointId};
use crate::request::Prompt;

/// Multiple of the usual time of a route and size from which on an answer counts as slow.
const SLOW_FACTOR: f64 = 1.7;

/// Time by which a slow answer exceeds the usual time at least. Less is jitter of busy machines, and
/// of the connections that a rarely used endpoint needs anew.
const MIN_SLOW_EXCESS: Duration = Duration::from_millis(40);

/// Answers after which the usual time of a route and size is known.
const MIN_BASELINE_ANSWERS: f64 = 4.0;

/// Number of answers over which usual times are averaged.
const BASELINE_MEMORY: f64 = 50.0;

/// Time within which connections to an endpoint that break count once: all of its requests break
/// when it crashes or is reclaimed.
const BREAK_WINDOW: Duration = Duration::from_secs(1);

/// Standard errors between the shares of two versions that do not occur by chance, even if the
/// shares are compared several times a second on each route.
const MIN_STANDARD_ERRORS: f64 = 4.5;

/// Bad answers below which no version is judged.
const MIN_BAD_ANSWERS: u64 = 5;

/// Excess of failures, as a share of the answers, below which a version is not worse.
const MIN_FAILURE_EXCESS: f64 = 0.03;

/// Excess of slow answers, as a share of the answers, below which a version is not worse.
const MIN_SLOW_SHARE_EXCESS: f64 = 0.15;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// With a complete answer.
    Answered,
    /// With a server error, or without an answer in time.
    Failed,
    /// The connection broke.
    Broken,
    /// The caller left.
    Abandoned,
}

/// An attempt that has ended.
#[derive(Debug, Clone, Copy)]
pub struct Observation<'o> {
    /// Name of the route.
    pub route: &'o str,
    /// Prompt of a model request.
    pub prompt: Option<&'o Prompt>,
    /// How it ended.
    pub ending: Ending,
    /// Time until the first byte or event; `None` if there was none.
    pub first_event_time: Option<Duration>,
    /// Time until the end.
    pub total_time: Duration,
}

/// Counts of the answers of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Attempts that showed something of the version.
    pub answers: u64,
    /// Of these, failures.
    pub failures: u64,
    /// Answers whose time was compared.
    pub timed: u64,
    /// Of these, slow ones.
    pub slow: u64,
}

impl Tally {
    /// What was counted since `earlier`.
    fn since(self, earlier: Tally) -> Tally {
        Tally {
            answers: self.answers.saturating_sub(earlier.answers),
            failures: self.failures.saturating_sub(earlier.failures),
            timed: self.timed.saturating_sub(earlier.timed),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }

    /// Sum of two tallies.
    pub fn plus(self, other: Tally) -> Tally {
        Tally {
            answers: self.answers.saturating_add(other.answers),
            failures: self.failures.saturating_add(other.failures),
            timed: self.timed.saturating_add(other.timed),
            slow: self.slow.saturating_add(other.slow),
        }
    }
}

/// Counts of one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouteEvidence {
    /// Of all other versions.
    pub old: Tally,
    /// Of the new version.
    pub new: Tally,
}

impl RouteEvidence {
    /// Sum of both.
    pub fn plus(&self, other: &RouteEvidence) -> RouteEvidence {
        RouteEvidence { old: self.old.plus(other.old), new: self.new.plus(other.new) }
    }

    /// In what the new version is worse than the old one, if it is.
    pub fn fault(&self) -> Option<Fault> {
        let RouteEvidence { old, new } = self;
        let failures = [(old.failures, old.answers), (new.failures, new.answers)];
        let slow = [(old.slow, old.timed), (new.slow, new.timed)];
        if is_worse(failures, MIN_FAILURE_EXCESS) {
            Some(Fault::Failures)
        } else if is_worse(slow, MIN_SLOW_SHARE_EXCESS) {
            Some(Fault::Slowness)
        } else {
            None
        }
    }
}

/// Counts of all routes, by name.
pub type Evidence = BTreeMap<String, RouteEvidence>;

/// Counts of the last seconds, as sound answers from before must not hide a fault that shows later.
#[derive(Debug, Default)]
pub struct History {
    snapshots: VecDeque<(Duration, Evidence)>,
}

impl History {
    /// Takes the counts at `now`; returns those since the oldest snapshot of the last `window`.
    pub fn recent(&mut self, now: Duration, window: Duration, evidence: &Evidence) -> Evidence {
        self.snapshots.push_back((now, evidence.clone()));
        while self.snapshots.front().is_some_and(|(at, _)| *at + window < now) {
            self.snapshots.pop_front();
        }
        let oldest = self.snapshots.front().map(|(_, evidence)| evidence);
        let since = |(route, each): (&String, &RouteEvidence)| {
            let earlier = oldest.and_then(|oldest| oldest.get(route)).copied().unwrap_or_default();
            let recent = RouteEvidence {
                old: each.old.since(earlier.old),
                new: each.new.since(earlier.new),
            };
            (route.clone(), recent)
        };
        evidence.iter().map(since).collect()
    }
}

/// In what a version is worse than the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Fault {
    /// More of its answers are failures.
    #[display("failures")]
    Failures,
    /// More of its answers are slow.
    #[display("slow answers")]
    Slowness,
}

/// Whether the second share of bad answers exceeds the first by `min_excess`, and not by chance.
fn is_worse(shares: [(u64, u64); 2], min_excess: f64) -> bool {
    let [(old_bad, old), (new_bad, new)] = shares;
    if new_bad < MIN_BAD_ANSWERS {
        return false;
    }
    // As many answers without a fault stand for an old version of which little is known.
    let old = old as f64 + 1.0;
    let (old_share, new_share) = (old_bad as f64 / old, new_bad as f64 / new.max(1) as f64);
    let pooled = (old_bad + new_bad) as f64 / (old + new as f64);
    let variance = pooled * (1.0 - pooled) * (1.0 / old + 1.0 / new.max(1) as f64);
    let excess = new_share - old_share;
    excess > min_excess && excess > MIN_STANDARD_ERRORS * variance.sqrt()
}

/// Usual time of one route and size, as the mean of logarithms.
#[derive(Debug, Clone, Copy, Default)]
struct Baseline {
    answers: f64,
    log_s: f64,
}

impl Baseline {
    fn is_slow(&self, time: Duration, factor: f64) -> Option<bool> {
        let usual = Duration::from_secs_f64(self.log_s.exp().min(1e6));
        let is_slow = time > usual.mul_f64(factor) && time > usual + MIN_SLOW_EXCESS;
        (self.answers >= MIN_BASELINE_ANSWERS).then_some(is_slow)
    }

    fn add(&mut self, time: Duration) {
        self.answers = (self.answers + 1.0).min(BASELINE_MEMORY);
        self.log_s += (time.as_secs_f64().max(1e-6).ln() - self.log_s) / self.answers;
    }
}

/// What a usual time is kept for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct TimeKey {
    route: String,
    is_generation: bool,
    /// Logarithm of the number of tokens to base 2.
    size: u32,
}

/// Usual times of the old versions at this gateway.
#[derive(Debug, Default)]
pub(super) struct Observations {
    baselines: HashMap<TimeKey, Baseline>,
    broken_at: HashMap<EndpointId, Duration>,
}

impl Observations {
    /// Counts of one attempt. `is_usual` is whether its times are those of an old version.
    pub(super) fn judge(
        &mut self,
        now: Duration,
        endpoint: &Endpoint,
        seen: &Observation<'_>,
        is_usual: bool,
    ) -> Tally {
        let mut tally = Tally::default();
        match seen.ending {
            Ending::Answered => tally.answers = 1,
            Ending::Failed => (tally.answers, tally.failures) = (1, 1),
            Ending::Broken => {
                self.broken_at.retain(|_, &mut at| now < at + BREAK_WINDOW);
                if self.broken_at.insert(endpoint.entry.id.clone(), now).is_none() {
                    (tally.answers, tally.failures) = (1, 1);
                }
                return tally;
            }
            Ending::Abandoned => {}
        }
        if seen.ending != Ending::Failed && !endpoint.is_warming_up(now) {
            let is_slow = self.is_slow(seen, is_usual && seen.ending == Ending::Answered);
            // An answer that nobody waited for shows only that it was slow.
            let is_compared = seen.ending == Ending::Answered || is_slow == Some(true);
            if let Some(is_slow) = is_slow.filter(|_| is_compared) {
                (tally.timed, tally.slow) = (1, u64::from(is_slow));
            }
        }
        tally
    }

    fn is_slow(&mut self, seen: &Observation<'_>, is_usual: bool) -> Option<bool> {
        let prompt = seen.prompt;
        let prompt_tokens = prompt.map_or(0, Prompt::unshared_tokens);
        // The endpoints of a new version have not read the shared parts yet.
        let reading_factor = prompt
            .map_or(1.0, |prompt| prompt.input_tokens.max(1) as f64 / prompt_tokens.max(1) as f64);
        let first_time = seen.first_event_time.unwrap_or(seen.total_time);
        let first_factor = SLOW_FACTOR * reading_factor.max(1.0);
        let mut is_slow =
            self.compare(seen.route, false, prompt_tokens, first_time, first_factor, is_usual);
        if let (Some(prompt), Some(first)) = (prompt, seen.first_event_time) {
            let time = seen.total_time.saturating_sub(first);
            let tokens = prompt.max_output_tokens;
            let generation = self.compare(seen.route, true, tokens, time, SLOW_FACTOR, is_usual);
            is_slow = match (is_slow, generation) {
                (Some(first), Some(generation)) => Some(first || generation),
                (first, generation) => first.or(generation),
            };
        }
        is_slow
    }

    fn compare(
        &mut self,
        route: &str,
        is_generation: bool,
        tokens: u64,
        time: Duration,
        factor: f64,
        is_usual: bool,
    ) -> Option<bool> {
        let size = tokens.saturating_add(1).ilog2();
        let key = TimeKey { route: route.to_owned(), is_generation, size };
        let baseline = self.baselines.entry(key).or_default();
        let is_slow = baseline.is_slow(time, factor);
        if is_usual {
            baseline.add(time);
        }
        is_slow
    }
}
