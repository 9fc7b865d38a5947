//! Draining of a node that is told to stop or whose instance is reclaimed.
//!
//! Readiness becomes false and new work is refused at once. Running requests
//! continue until the drain limit, or until shortly before the instance ends;
//! then model requests are handed over to other nodes. A second signal only
//! starts the hand-over earlier. The node stops only when no work is left: a
//! signal never interrupts a request in progress. Only shortly before the
//! instance itself ends do claimed calls in progress get the outcome known at
//! that time.

use std::time::Duration;

/// Time bounds of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Maximum time for running requests to finish here before the hand-over.
    pub limit: Duration,
    /// Time before the instance ends at which the hand-over starts.
    pub hand_over_margin: Duration,
    /// Time before the instance ends at which callers of claimed calls are answered; at most
    /// `hand_over_margin`.
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

/// Time between two attempts to hand over the remaining requests.
const HAND_OVER_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Phase of a node. Times are on the monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Accepts and runs work.
    Serving,
    /// Refuses new work and continues running work.
    Draining {
        /// Time at which the hand-over starts.
        until: Duration,
    },
    /// Hands model requests over to other nodes.
    HandingOver {
        /// Time of the next attempt.
        next_attempt_at: Duration,
    },
    /// No work is left.
    Stopped,
}

/// Work that a node still has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RemainingWork {
    /// Model requests that run here, or whose finished answer neither the caller nor another
    /// node has in full.
    pub model_requests: usize,
    /// Calls to plain services whose callers wait for an answer.
    pub calls: usize,
    /// Outcomes of claimed calls that are not yet written to the log.
    pub outcomes: usize,
    /// Responses that are being written to callers.
    pub responses: usize,
}

impl RemainingWork {
    fn is_empty(self) -> bool {
        self == RemainingWork::default()
    }
}

/// Action that the node has to perform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Answer `/readyz` with 503, refuse new requests as not run, announce the leave to the
    /// peers, and close idle connections.
    StopAccepting,
    /// Hand over every unfinished model request, most remaining tokens first.
    HandOver,
    /// Answer each caller of a claimed call with the outcome known now.
    ConcludeCalls,
    /// End the process.
    Stop,
}

/// Drain state of one node.
#[derive(Debug)]
pub struct Drain {
    config: Config,
    phase: Phase,
    /// Time at which the instance ends, if it is reclaimed.
    leave_at: Option<Duration>,
    has_concluded: bool,
}

impl Drain {
    /// Creates the state of a serving node.
    ///
    /// # Panics
    ///
    /// If `conclude_margin` exceeds `hand_over_margin`.
    pub fn new(config: Config) -> Drain {
        assert!(
            config.conclude_margin <= config.hand_over_margin,
            "conclude_margin exceeds hand_over_margin"
        );
        Drain { config, phase: Phase::Serving, leave_at: None, has_concluded: false }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether new work is accepted; `/readyz` reports the same.
    pub fn accepts_work(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Time at which the instance ends, if it is reclaimed.
    pub fn leave_at(&self) -> Option<Duration> {
        self.leave_at
    }

    /// Handles SIGTERM. The second one starts the hand-over at the next tick; further ones have no
    /// effect.
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

    /// Handles a notice that the platform reclaims the instance in `leave_in`. Of several notices,
    /// the earliest end counts.
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

    /// Performs what is due at `now`, given the work that remains.
    pub fn tick(&mut self, now: Duration, remaining: RemainingWork) -> Vec<Action> {
        let mut actions = Vec::new();
        match self.phase {
            Phase::Serving | Phase::Stopped => return actions,
            Phase::Draining { .. } | Phase::HandingOver { .. } if remaining.is_empty() => {
                self.phase = Phase::Stopped;
                return vec![Action::Stop];
            }
            Phase::Draining { until } if now >= until => {
                self.hand_over(now, remaining, &mut actions)
            }
            Phase::HandingOver { next_attempt_at } if now >= next_attempt_at => {
                self.hand_over(now, remaining, &mut actions)
            }
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

    /// Time at which the hand-over must start because the instance ends: `hand_over_margin` before
    /// the end, or half-way to it if the notice is short. `Duration::MAX` without a notice.
    fn hand_over_at(&self, now: Duration) -> Duration {
        let Some(leave_at) = self.leave_at else { return Duration::MAX };
        let notice = leave_at.saturating_sub(now);
        let margin = self.config.hand_over_margin.min(notice / 2);
        leave_at.saturating_sub(margin)
    }

    fn hand_over(&mut self, now: Duration, remaining: RemainingWork, actions: &mut Vec<Action>) {
        self.phase = Phase::HandingOver { next_attempt_at: now + HAND_OVER_RETRY_INTERVAL };
        if remaining.model_requests > 0 {
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
