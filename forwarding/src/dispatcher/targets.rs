//! Selection of the endpoints of a request's attempts.

use std::time::Duration;

use super::{AdmittedRequest, Dispatcher, Outcome, Target};
use crate::refusal::{RefusalReason, UNAVAILABLE_RETRY_AFTER};
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
    /// Selects the endpoint of the next attempt and counts the attempt as sent.
    ///
    /// Fails if the deadline has passed, the request crashes endpoints, no endpoint is left, or the
    /// retry budget is spent.
    pub fn next_target(
        &mut self,
        now: Duration,
        admitted: &mut AdmittedRequest,
    ) -> Result<Target, RefusalReason> {
        let (target, is_idle) = self.select_target(now, admitted, admitted.possible_runs > 0)?;
        self.on_sent(now, admitted, &target, is_idle);
        Ok(target)
    }

    /// Selects an endpoint and takes a retry from the budget if the request was sent before. Also
    /// returns whether the endpoint is idle.
    fn select_target(
        &mut self,
        now: Duration,
        admitted: &AdmittedRequest,
        has_run: bool,
    ) -> Result<(Target, bool), RefusalReason> {
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
            tried: &admitted.tried,
        };
        let endpoint = selection::select(&self.endpoints, now, &criteria).ok_or_else(|| {
            selection::earliest_wait_end(&self.endpoints, now, &admitted.service)
                .map_or(RefusalReason::NoEndpoint, |end| RefusalReason::Full {
                    wait: end.saturating_sub(now),
                })
        })?;
        let is_idle = endpoint.waiting_tokens() == 0 && !endpoint.is_warming_up(now);
        let target = Target {
            id: endpoint.entry.id.clone(),
            address: endpoint.entry.address,
            process_start_ms: endpoint.entry.process_start_ms,
            may_reuse_connections: endpoint.may_reuse_connections(now),
        };
        if !admitted.tried.is_empty() {
            let gateways = self.peers.gateway_count(now);
            let bounds = &self.settings.bounds;
            if !self.retry_budget.try_take(now, bounds, &admitted.service, gateways) {
                return Err(RefusalReason::Full { wait: UNAVAILABLE_RETRY_AFTER });
            }
        }
        Ok((target, is_idle))
    }

    fn on_sent(
        &mut self,
        now: Duration,
        admitted: &mut AdmittedRequest,
        target: &Target,
        is_idle: bool,
    ) {
        self.endpoints.on_sent(now, &target.id, admitted.waiting_tokens());
        admitted.sent_to_idle_at = is_idle.then_some(now);
        admitted.first_event_at = None;
        admitted.tried.push(target.id.clone());
    }

    /// Ends an attempt whose endpoint is silent, and selects another endpoint and counts the new
    /// attempt as sent.
    ///
    /// Returns `None` and changes nothing if no other attempt is possible or allowed now.
    pub fn replace_silent(
        &mut self,
        now: Duration,
        admitted: &mut AdmittedRequest,
        silent: &Target,
        had_first_event: bool,
    ) -> Option<Replacement> {
        if !admitted.may_run_again() {
            return None;
        }
        let (target, is_idle) = self.select_target(now, admitted, true).ok()?;
        let is_ejected = self.on_failed(now, admitted, silent, Outcome::TimedOut, had_first_event);
        self.on_sent(now, admitted, &target, is_idle);
        Some(Replacement { target, is_ejected })
    }

    /// Records the silence of an endpoint whose attempt goes on; returns whether it ejected the
    /// endpoint.
    pub fn on_silence(&mut self, now: Duration, target: &Target) -> bool {
        self.endpoints.on_failure(now, &target.id)
    }
}
