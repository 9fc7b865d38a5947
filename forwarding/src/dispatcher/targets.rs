//! Selection of the endpoints of a request's attempts.

use std::time::Duration;

use super::{AdmittedRequest, Dispatcher, Outcome, Target};
use crate::endpoints::{Endpoint, EndpointId};
use crate::refusal::{RefusalReason, UNAVAILABLE_RETRY_AFTER};
use crate::rollout::Choice;
use crate::rollout::evidence::{Ending, Observation};
use crate::selection::{self, SelectionCriteria};

/// Attempt that replaces a silent one.
#[derive(Debug, Clone, PartialEq)]
pub struct Replacement {
    /// Endpoint of the new attempt.
    pub target: Target,
    /// Whether the end of the silent attempt ejected its endpoint.
    pub is_ejected: bool,
}

impl Dispatcher {
    /// Selects the endpoint of the next attempt and counts the attempt as sent. If no other one is
    /// left, an endpoint that was replaced for its silence is selected once more.
    ///
    /// Fails if the deadline has passed, the request crashes endpoints, no endpoint is left, or the
    /// retry budget is spent.
    pub fn next_target(
        &mut self,
        now: Duration,
        admitted: &mut AdmittedRequest,
    ) -> Result<Target, RefusalReason> {
        let has_run = admitted.possible_runs > 0;
        let choice = self.rollouts.choose(now, &admitted.service, admitted.tried.is_empty());
        let select = |choice, tried: &[EndpointId]| {
            self.select_endpoint(now, admitted, has_run, tried, choice)
        };
        let selected = select(choice, &admitted.tried).or_else(|refusal| match choice {
            Choice::New => select(Choice::Old, &admitted.tried),
            Choice::Any | Choice::Old => Err(refusal),
        });
        let is_silent_one = selected.is_err();
        let endpoint = selected.or_else(|refusal| {
            // An endpoint that was silent may be sound, unlike one that failed.
            let silent = admitted.silent.as_ref().ok_or(refusal)?;
            let others = admitted.tried.iter().filter(|&tried| tried != silent);
            let others: Vec<EndpointId> = others.cloned().collect();
            select(choice, &others)
        })?;
        let (target, is_idle) = (target(endpoint, now), is_idle(endpoint, now));
        if is_silent_one {
            admitted.silent = None;
        }
        self.take_retry(now, admitted)?;
        self.on_sent(now, admitted, &target, is_idle);
        Ok(target)
    }

    fn select_endpoint(
        &self,
        now: Duration,
        admitted: &AdmittedRequest,
        has_run: bool,
        tried: &[EndpointId],
        choice: Choice,
    ) -> Result<&Endpoint, RefusalReason> {
        if admitted.time_left(now).is_zero() {
            return Err(RefusalReason::Expired);
        }
        self.check_suspects(now, admitted.fingerprint, &admitted.shared_parts)?;
        if has_run && !self.prompt_suspects.may_retry(now, &admitted.shared_parts) {
            return Err(RefusalReason::SuspectPart);
        }
        let criteria = SelectionCriteria {
            service: &admitted.service,
            prompt: admitted.prompt.as_ref(),
            data_centre: &self.settings.data_centre,
            tried,
            residency: &self.residency,
            prompt_memory_tokens: self.prompt_memory_tokens(&admitted.service),
        };
        let allowed = self.rollouts.allowed(now, &self.endpoints, &admitted.service, choice);
        let is_allowed = |endpoint: &Endpoint| {
            allowed.as_ref().is_none_or(|allowed| allowed.contains(&endpoint.entry.id))
        };
        selection::select(&self.endpoints, now, &criteria, is_allowed).ok_or_else(|| {
            selection::earliest_wait_end(&self.endpoints, now, &admitted.service)
                .map_or(RefusalReason::NoEndpoint, |end| RefusalReason::Full {
                    wait: end.saturating_sub(now),
                })
        })
    }

    fn prompt_memory_tokens(&self, service: &str) -> Option<u64> {
        let service = self.release()?.services.get(service)?;
        service.prompt_memory.map(|memory| memory.capacity_tokens)
    }

    /// Takes a retry from the budget if the request was sent before.
    fn take_retry(
        &mut self,
        now: Duration,
        admitted: &AdmittedRequest,
    ) -> Result<(), RefusalReason> {
        if admitted.tried.is_empty() {
            return Ok(());
        }
        let gateways = self.peers.gateway_count(now);
        let bounds = &self.settings.bounds;
        if self.retry_budget.try_take(now, bounds, &admitted.service, gateways) {
            Ok(())
        } else {
            Err(RefusalReason::Full { wait: UNAVAILABLE_RETRY_AFTER })
        }
    }

    fn on_sent(
        &mut self,
        now: Duration,
        admitted: &mut AdmittedRequest,
        target: &Target,
        is_idle: bool,
    ) {
        self.endpoints.on_sent(now, &target.id, admitted.waiting_tokens());
        if let Some(endpoint) = self.endpoints.get(&target.id) {
            self.rollouts.on_sent(&admitted.service, &endpoint.entry.version);
        }
        admitted.sent_to_idle_at = is_idle.then_some(now);
        admitted.sent_at = now;
        admitted.first_event_at = None;
        admitted.tried.push(target.id.clone());
    }

    /// Records what an attempt showed of its endpoint's version.
    pub(super) fn observe(
        &mut self,
        now: Duration,
        admitted: &AdmittedRequest,
        target: &Target,
        ending: Ending,
    ) {
        let Some(endpoint) = self.endpoints.get(&target.id) else { return };
        let first_event_at = admitted.first_event_at;
        let seen = Observation {
            route: &admitted.route,
            prompt: admitted.prompt.as_ref(),
            ending,
            first_event_time: first_event_at.map(|at| at.saturating_sub(admitted.sent_at)),
            total_time: now.saturating_sub(admitted.sent_at),
        };
        self.rollouts.on_observation(now, endpoint, &seen);
    }

    /// Ends an attempt whose endpoint is silent, and selects another endpoint and counts the new
    /// attempt as sent.
    ///
    /// Returns `None` and changes nothing if no other attempt is possible or allowed now, or if the
    /// other endpoint would probably refuse it or not answer before the deadline.
    pub fn replace_silent(
        &mut self,
        now: Duration,
        admitted: &mut AdmittedRequest,
        silent: &Target,
        had_first_event: bool,
    ) -> Option<Replacement> {
        if !admitted.may_run_again() || admitted.time_left(now) < admitted.latency_target {
            return None;
        }
        let choice = self.rollouts.choose(now, &admitted.service, false);
        let selected = self.select_endpoint(now, admitted, true, &admitted.tried, choice);
        let endpoint = selected.ok()?;
        if !endpoint.is_healthy(now) || endpoint.requests() >= endpoint.entry.capacity {
            return None;
        }
        let (target, is_idle) = (target(endpoint, now), is_idle(endpoint, now));
        self.take_retry(now, admitted).ok()?;
        let is_ejected = self.on_failed(now, admitted, silent, Outcome::TimedOut, had_first_event);
        admitted.silent = Some(silent.id.clone());
        self.on_sent(now, admitted, &target, is_idle);
        Some(Replacement { target, is_ejected })
    }

    /// Records the silence of an endpoint whose attempt goes on; returns whether it ejected the
    /// endpoint.
    pub fn on_silence(&mut self, now: Duration, target: &Target) -> bool {
        self.endpoints.on_failure(now, &target.id)
    }
}

fn target(endpoint: &Endpoint, now: Duration) -> Target {
    Target {
        id: endpoint.entry.id.clone(),
        address: endpoint.entry.address,
        process_start_ms: endpoint.entry.process_start_ms,
        may_reuse_connections: endpoint.may_reuse_connections(now),
    }
}

fn is_idle(endpoint: &Endpoint, now: Duration) -> bool {
    endpoint.waiting_tokens() == 0 && !endpoint.is_warming_up(now)
}
