//! Leaving: a node that is told to stop, or whose instance is reclaimed, ends its work first.
//!
//! Readiness goes false and no new work is accepted at once. What runs goes on
//! until the drain limit, or until shortly before the instance goes; then model
//! requests are handed over to other nodes. A second signal only brings that
//! moment forward. The node stops when nothing is left, and not before: a
//! request in progress is never cut by a signal. Only where the instance itself
//! goes do claimed calls under way get the outcome that is true at that time.

use std::time::Duration;

/// Bounds of leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Longest time that running requests are left to finish here.
    pub limit: Duration,
    /// Time before the instance goes at which the hand-over starts.
    pub hand_over_margin: Duration,
    /// Time before the instance goes at which callers still waiting are told; less than the other.
    pub conclude_margin: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            limit: Duration::from_secs(30),
            hand_over_margin: Duration::from_secs(5),
            conclude_margin: Duration::from_secs(1),
        }
    }
}

/// Time between two tries to hand over what is left.
const HAND_OVER_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Phase of a node. Times are monotonic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Takes and runs work.
    Serving,
    /// Takes no work, runs what it has.
    Draining {
        /// When the hand-over starts.
        until: Duration,
    },
    /// Hands over what it has.
    HandingOver {
        /// When the next try starts.
        next: Duration,
    },
    /// Nothing is left.
    Stopped,
}

/// What a node still holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RemainingWork {
    /// Model requests that run here or whose answer is not yet taken or handed over.
    pub model_requests: usize,
    /// Calls to plain services whose callers wait.
    pub calls: usize,
    /// Outcomes of claimed calls that are not in the log yet.
    pub outcomes: usize,
    /// Answers being written to callers.
    pub responses: usize,
}

impl RemainingWork {
    fn is_empty(self) -> bool {
        self == RemainingWork::default()
    }
}

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Answer `/readyz` with 503, refuse new requests as not run, tell the peers, and close
    /// connections once they are idle.
    StopAccepting,
    /// Hand over every unfinished model request, most remaining work first.
    HandOver,
    /// Tell each caller of a claimed call what is true now.
    ConcludeCalls,
    /// End the process.
    Stop,
}

/// Leaving of one node.
#[derive(Debug)]
pub struct Drain {
    config: Config,
    phase: Phase,
    /// When the instance goes, if it is reclaimed.
    leave_at: Option<Duration>,
    has_concluded: bool,
}

impl Drain {
    /// A node that serves.
    pub fn new(config: Config) -> Drain {
        assert!(config.conclude_margin <= config.hand_over_margin, "callers are told last");
        Drain { config, phase: Phase::Serving, leave_at: None, has_concluded: false }
    }

    /// Phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether new work is accepted; `/readyz` tells the same.
    pub fn accepts_work(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// When the instance goes, if it is reclaimed.
    pub fn leave_at(&self) -> Option<Duration> {
        self.leave_at
    }

    /// SIGTERM. The second one starts the hand-over at once; further ones change nothing.
    pub fn on_signal(&mut self, now: Duration) -> Vec<Action> {
        match self.phase {
            Phase::Serving => self.start(now),
            Phase::Draining { .. } => {
                self.phase = Phase::Draining { until: now };
                Vec::new()
            }
            Phase::HandingOver { .. } | Phase::Stopped => Vec::new(),
        }
    }

    /// The platform reclaims the instance in this time. The earliest notice counts.
    pub fn on_reclaim(&mut self, now: Duration, leave_in: Duration) -> Vec<Action> {
        let leave_at = now + leave_in;
        let leave_at = self.leave_at.map_or(leave_at, |known| known.min(leave_at));
        self.leave_at = Some(leave_at);
        match self.phase {
            Phase::Serving => self.start(now),
            Phase::Draining { until } => {
                self.phase = Phase::Draining { until: until.min(self.hand_over_at(now)) };
                Vec::new()
            }
            Phase::HandingOver { .. } | Phase::Stopped => Vec::new(),
        }
    }

    /// Time passes.
    pub fn tick(&mut self, now: Duration, left: RemainingWork) -> Vec<Action> {
        let mut actions = Vec::new();
        match self.phase {
            Phase::Serving | Phase::Stopped => return actions,
            Phase::Draining { .. } | Phase::HandingOver { .. } if left.is_empty() => {
                self.phase = Phase::Stopped;
                return vec![Action::Stop];
            }
            Phase::Draining { until } if now >= until => self.hand_over(now, left, &mut actions),
            Phase::HandingOver { next } if now >= next => self.hand_over(now, left, &mut actions),
            Phase::Draining { .. } | Phase::HandingOver { .. } => {}
        }
        self.conclude(now, &mut actions);
        actions
    }

    fn start(&mut self, now: Duration) -> Vec<Action> {
        let until = (now + self.config.limit).min(self.hand_over_at(now));
        self.phase = Phase::Draining { until };
        vec![Action::StopAccepting]
    }

    /// When the hand-over must start for the instance's end: by its margin before it, but a short
    /// notice is halved between running on and handing over.
    fn hand_over_at(&self, now: Duration) -> Duration {
        let Some(leave_at) = self.leave_at else { return Duration::MAX };
        let notice = leave_at.saturating_sub(now);
        let margin = self.config.hand_over_margin.min(notice / 2);
        leave_at.saturating_sub(margin)
    }

    fn hand_over(&mut self, now: Duration, left: RemainingWork, actions: &mut Vec<Action>) {
        self.phase = Phase::HandingOver { next: now + HAND_OVER_RETRY_INTERVAL };
        if left.model_requests > 0 {
            actions.push(Action::HandOver);
        }
    }

    fn conclude(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(leave_at) = self.leave_at else { return };
        if !self.has_concluded && now + self.config.conclude_margin >= leave_at {
            self.has_concluded = true;
            actions.push(Action::ConcludeCalls);
        }
    }
}
