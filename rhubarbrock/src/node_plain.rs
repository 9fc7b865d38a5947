//! A node's calls to plain services.
//!
//! A repeatable call may be sent again after a failure. A call that is not
//! repeatable is first claimed in the log and then sent at most once.

use std::time::Duration;

use rhubarbrock_schema::release as schema;

use crate::node::{Node, Work};
use crate::{action, admission, claim, dispatch, event, fairness, id, route, routing};

/// Largest number of attempts of a repeatable call.
const MAX_ATTEMPTS: u32 = 4;

/// Back-off before a repeatable call is sent again, multiplied by the attempts made.
const BACKOFF_STEP: Duration = Duration::from_millis(30);

/// Call to a plain service that is not concluded yet.
#[derive(Debug, Clone)]
pub(crate) struct PlainRequest {
    pub(crate) request: id::RequestId,
    pub(crate) organisation: String,
    call: event::PlainCall,
    is_repeatable: bool,
    timeout: Duration,
    ticket: Option<fairness::Ticket>,
    attempt: Option<id::AttemptId>,
    attempts: u32,
    failed_endpoints: Vec<id::EndpointId>,
    /// Whether a failed attempt may have run.
    may_have_run: bool,
    /// Claim of a call that is not repeatable; set once it was read back from the log.
    claim: Option<HeldClaim>,
    /// Whether the caller disconnected.
    is_caller_gone: bool,
    arrived_at: Duration,
    give_up_at: Duration,
}

#[derive(Debug, Clone)]
struct HeldClaim {
    key: String,
    fencing_token: id::Offset,
}

impl PlainRequest {
    /// Endpoints that the next attempt avoids: all that were tried.
    pub(crate) fn excluded(&self) -> Vec<id::EndpointId> {
        self.failed_endpoints.clone()
    }
}

impl Node {
    pub(crate) fn on_plain_call(&mut self, call: event::PlainCall) {
        let Some(organisation) = self.admit_caller(call.call, &call.key_sha256) else { return };
        let kind = schema::ServiceKind::Plain;
        let body_bytes = call.body.len();
        let Some(service) = self.service_for(call.call, &call.service, kind, body_bytes) else {
            return;
        };
        let timeout = Duration::from_millis(u64::from(service.timeout_ms));
        let is_repeatable = route::is_repeatable(&service, &call.method, &call.path);
        let number = call.call;
        let plain = PlainRequest {
            request: id::RequestId { holder: self.config.node, secret: call.secret },
            organisation,
            is_repeatable,
            timeout,
            ticket: None,
            attempt: None,
            attempts: 0,
            failed_endpoints: Vec::new(),
            may_have_run: false,
            claim: None,
            is_caller_gone: false,
            arrived_at: self.now,
            give_up_at: self.now + timeout,
            call,
        };
        self.plain_requests.insert(number, plain);
        if is_repeatable {
            self.submit_plain(number);
        } else {
            self.begin_claim(number);
        }
    }

    fn begin_claim(&mut self, call: event::CallId) {
        let plain = &self.plain_requests[&call];
        let sequence_position =
            plain.call.sequence.as_ref().map(|sequence| claim::SequencePosition {
                sequence: sequence.sequence.clone(),
                position: sequence.position,
            });
        let new = claim::NewCall {
            call,
            organisation: plain.organisation.clone(),
            key: plain.call.idempotency_key.clone(),
            is_repetition: plain.call.is_repetition,
            key_created_at: plain.call.key_created_at,
            request_sha256: plain.call.request_sha256,
            service: plain.call.service.clone(),
            sequence_position,
        };
        let actions = self.claims.begin(self.now, self.unix_time, new);
        self.perform_claim_actions(actions);
    }

    pub(crate) fn perform_claim_actions(&mut self, actions: Vec<claim::Action>) {
        for action in actions {
            match action {
                claim::Action::Append { batch, record } => {
                    self.append_claims(batch, record);
                }
                claim::Action::Dispatch { call, key, fencing_token } => {
                    self.dispatch_claimed(call, HeldClaim { key, fencing_token });
                }
                claim::Action::Finish { call, conclusion } => self.conclude(call, conclusion),
            }
        }
    }

    fn dispatch_claimed(&mut self, call: event::CallId, held: HeldClaim) {
        let Some(plain) = self.plain_requests.get_mut(&call) else {
            self.end_claim(call, claim::DispatchResult::NotSent);
            return;
        };
        let request = plain.request;
        let detail = format!("key claimed at offset {}", held.fencing_token);
        plain.claim = Some(held);
        self.record_event("call.claimed", Some(request), detail);
        self.submit_plain(call);
    }

    /// Submits the call to the dispatcher.
    fn submit_plain(&mut self, call: event::CallId) {
        let ticket = self.new_ticket(Work::Plain(call));
        let plain =
            self.plain_requests.get_mut(&call).expect("a submitted call is in plain_requests");
        plain.ticket = Some(ticket);
        let job = dispatch::Job {
            ticket,
            service: plain.call.service.clone(),
            organisation: plain.organisation.clone(),
            blocks: Vec::new(),
            prompt_tokens: 1,
            dialogue: 0,
            settled_tokens: 0,
            max_tokens: Some(1),
            deadline: plain.call.deadline,
            may_probe: plain.is_repeatable,
        };
        if let Err(refusal) = self.dispatcher.submit(self.now, job) {
            self.work.remove(&ticket);
            self.refuse_plain(call, &refusal);
        }
    }

    /// Handles the dispatcher's refusal of a call.
    pub(crate) fn refuse_plain(&mut self, call: event::CallId, refusal: &admission::Refusal) {
        let Some(plain) = self.plain_requests.get(&call) else { return };
        if plain.claim.is_some() {
            self.end_claim(call, claim::DispatchResult::NotSent);
            return;
        }
        let outcome = outcome_of_failure(plain);
        self.end_plain_unanswered(
            call,
            action::RefusalKind::Overloaded,
            refusal.to_string(),
            outcome,
            Some(refusal.retry_after),
        );
    }

    /// Sends a call to the endpoint that the dispatcher chose.
    pub(crate) fn send_plain(
        &mut self,
        call: event::CallId,
        attempt: id::AttemptId,
        choice: &routing::Choice,
        waited: Duration,
    ) {
        let is_allowed = match self.plain_requests.get(&call) {
            Some(plain) if plain.claim.is_some() => self.claims.confirm_dispatch(self.now, call),
            Some(_) => true,
            None => false,
        };
        if !is_allowed {
            self.attempts.remove(&attempt);
            let ticket = self.plain_requests.get(&call).and_then(|plain| plain.ticket);
            if let Some(ticket) = ticket {
                self.work.remove(&ticket);
                self.dispatcher.give_up(self.now, ticket);
            }
            self.end_claim(call, claim::DispatchResult::NotSent);
            return;
        }
        let address = self.endpoint_address(choice.endpoint);
        let plain =
            self.plain_requests.get_mut(&call).expect("an unfinished call is in plain_requests");
        plain.attempt = Some(attempt);
        plain.attempts += 1;
        let request = plain.request;
        let start = action::PlainAttempt {
            attempt,
            request,
            endpoint: choice.endpoint,
            address,
            method: plain.call.method.clone(),
            path_and_query: path_and_query(&plain.call),
            content_type: plain.call.content_type.clone(),
            body: plain.call.body.clone(),
            idempotency_key: match &plain.claim {
                Some(held) => Some(held.key.clone()),
                None => plain.call.idempotency_key.clone(),
            },
            fencing_token: plain.claim.as_ref().map(|held| held.fencing_token),
            timeout: plain.timeout,
        };
        plain.failed_endpoints.push(choice.endpoint);
        self.counters.plain_attempts += 1;
        self.push_action(action::Action::StartPlain(Box::new(start)));
        let detail = format!("to endpoint {}: {}", choice.endpoint, choice.reason);
        self.record_span("call.sent", Some(request), detail, waited);
    }

    pub(crate) fn on_plain_ended(&mut self, attempt: id::AttemptId, outcome: event::PlainOutcome) {
        let ticket = self.attempts.remove(&attempt);
        let work = ticket.and_then(|ticket| self.work.get(&ticket).copied());
        let Some(Work::Plain(call)) = work else {
            self.dispatcher.on_failure(self.now, attempt, routing::Failure::ConnectionLost);
            return;
        };
        let failure = match &outcome {
            event::PlainOutcome::Answered(_) | event::PlainOutcome::FencingTokenRejected => None,
            event::PlainOutcome::NotSent { .. } => Some(routing::Failure::ConnectFailed),
            event::PlainOutcome::Unknown { .. } => Some(routing::Failure::ConnectionLost),
        };
        let change = match failure {
            None => {
                let answered = routing::Answered { answer_tokens: 1 };
                self.dispatcher.on_done(self.now, attempt, &answered)
            }
            Some(failure) => self.dispatcher.on_failure(self.now, attempt, failure),
        };
        self.report_endpoint_change(change);
        let Some(plain) = self.plain_requests.get_mut(&call) else { return };
        plain.attempt = None;
        if plain.claim.is_some() {
            self.end_claim(call, dispatch_result(outcome));
        } else {
            self.end_repeatable(call, outcome);
        }
    }

    /// Reports the result of a claimed call's dispatch to the claims, which conclude the call.
    fn end_claim(&mut self, call: event::CallId, result: claim::DispatchResult) {
        let ticket = self.plain_requests.get(&call).and_then(|plain| plain.ticket);
        if let Some(ticket) = ticket {
            self.work.remove(&ticket);
            self.dispatcher.give_up(self.now, ticket);
        }
        let actions = self.claims.on_dispatch_result(self.now, call, result);
        self.perform_claim_actions(actions);
    }

    fn end_repeatable(&mut self, call: event::CallId, attempt_outcome: event::PlainOutcome) {
        match attempt_outcome {
            event::PlainOutcome::Answered(answer) => self.answer_plain(call, answer, false),
            event::PlainOutcome::FencingTokenRejected => {
                let detail = "the endpoint refused the call".to_owned();
                let outcome = action::Outcome::InDoubt;
                self.end_plain_unanswered(call, action::RefusalKind::Failed, detail, outcome, None);
            }
            event::PlainOutcome::NotSent { message } => self.retry_plain(call, message, false),
            event::PlainOutcome::Unknown { message } => self.retry_plain(call, message, true),
        }
    }

    fn retry_plain(&mut self, call: event::CallId, message: String, may_have_run: bool) {
        let plain =
            self.plain_requests.get_mut(&call).expect("an unfinished call is in plain_requests");
        plain.may_have_run |= may_have_run;
        let request = plain.request;
        let due = self.now + BACKOFF_STEP * plain.attempts;
        if plain.attempts < MAX_ATTEMPTS && due < plain.give_up_at {
            let ticket = plain.ticket.expect("a call that was sent has a ticket");
            self.delayed.insert((due, ticket));
            self.record_event("call.retry", Some(request), message);
            return;
        }
        let outcome = outcome_of_failure(plain);
        let detail = format!("the service could not be reached: {message}");
        let wait = Some(Duration::from_secs(1));
        self.end_plain_unanswered(call, action::RefusalKind::Failed, detail, outcome, wait);
    }

    fn conclude(&mut self, call: event::CallId, conclusion: claim::Conclusion) {
        match conclusion {
            claim::Conclusion::Answered { answer, is_replay } => {
                let answer = event::PlainAnswer {
                    status: answer.status,
                    content_type: answer.content_type,
                    body: answer.body,
                };
                self.answer_plain(call, answer, is_replay);
            }
            claim::Conclusion::NotRun { reason, retry_after } => {
                let kind = match reason {
                    claim::NotRunReason::PredecessorUnanswered
                    | claim::NotRunReason::PositionPassed
                    | claim::NotRunReason::PositionTaken => action::RefusalKind::OutOfSequence,
                    _ => action::RefusalKind::Unavailable,
                };
                let detail = format!("not run: {reason}");
                self.end_plain_unanswered(call, kind, detail, action::Outcome::NotRun, retry_after);
            }
            claim::Conclusion::InDoubt { reason } => {
                let detail = format!("the call may have run: {reason}");
                let kind = action::RefusalKind::InDoubt;
                self.end_plain_unanswered(call, kind, detail, action::Outcome::InDoubt, None);
            }
            claim::Conclusion::Mismatch => {
                let detail = "the idempotency key was used for another request".to_owned();
                let kind = action::RefusalKind::KeyReused;
                self.end_plain_unanswered(call, kind, detail, action::Outcome::NotRun, None);
            }
            claim::Conclusion::KeyExpired => {
                let detail = "the idempotency key is past its life, and earlier calls with it are \
                              not known any more; this one was not sent"
                    .to_owned();
                let kind = action::RefusalKind::KeyExpired;
                self.end_plain_unanswered(call, kind, detail, action::Outcome::InDoubt, None);
            }
        }
    }

    fn answer_plain(&mut self, call: event::CallId, answer: event::PlainAnswer, is_replay: bool) {
        let Some(plain) = self.plain_requests.remove(&call) else { return };
        self.remove_plain_work(&plain);
        self.counters.plain_answered += 1;
        let request = plain.request;
        let took = self.now.saturating_sub(plain.arrived_at);
        let detail =
            format!("status {}{}", answer.status, if is_replay { ", recorded" } else { "" });
        self.record_span("call.answered", Some(request), detail, took);
        self.answer_cache.insert(self.now, request, plain.organisation, answer.clone());
        if !plain.is_caller_gone {
            self.push_action(action::Action::AnswerPlain { call, request, answer, is_replay });
        }
    }

    fn end_plain_unanswered(
        &mut self,
        call: event::CallId,
        kind: action::RefusalKind,
        detail: String,
        outcome: action::Outcome,
        retry_after: Option<Duration>,
    ) {
        let Some(plain) = self.plain_requests.remove(&call) else { return };
        self.remove_plain_work(&plain);
        match outcome {
            action::Outcome::NotRun => self.counters.plain_not_run += 1,
            action::Outcome::InDoubt | action::Outcome::Answered => {
                self.counters.plain_in_doubt += 1;
            }
        }
        let request = Some(plain.request);
        self.record_event("call.not_answered", request, format!("{outcome}: {detail}"));
        if !plain.is_caller_gone {
            let refusal = action::Refusal { kind, detail, outcome, retry_after, request };
            self.push_action(action::Action::Refuse { call, refusal });
        }
    }

    fn remove_plain_work(&mut self, plain: &PlainRequest) {
        let Some(ticket) = plain.ticket else { return };
        self.work.remove(&ticket);
        self.delayed.retain(|(_, delayed)| *delayed != ticket);
        self.dispatcher.give_up(self.now, ticket);
    }

    /// Continues a call without its caller; a repeatable call that is not running is dropped.
    pub(crate) fn abandon_plain_call(&mut self, call: event::CallId) {
        let Some(plain) = self.plain_requests.get_mut(&call) else { return };
        plain.is_caller_gone = true;
        if plain.is_repeatable && plain.attempt.is_none() {
            let plain = plain.clone();
            self.plain_requests.remove(&call);
            self.remove_plain_work(&plain);
        }
    }

    pub(crate) fn tick_claims(&mut self) {
        let actions = self.claims.tick(self.now, self.unix_time);
        self.perform_claim_actions(actions);
    }

    pub(crate) fn tick_plains(&mut self) {
        let now = self.now;
        let late: Vec<event::CallId> = self
            .plain_requests
            .iter()
            .filter(|(_, plain)| plain.is_repeatable && plain.attempt.is_none())
            .filter(|(_, plain)| now > plain.give_up_at)
            .map(|(call, _)| *call)
            .collect();
        for call in late {
            let outcome = outcome_of_failure(&self.plain_requests[&call]);
            let detail = "the service did not take the call in time".to_owned();
            let wait = Some(Duration::from_secs(1));
            self.end_plain_unanswered(call, action::RefusalKind::Overloaded, detail, outcome, wait);
        }
        let lifetime = Duration::from_secs(u64::from(self.policy.answer_life_s.max(1)));
        self.answer_cache.expire(now.saturating_sub(lifetime));
    }
}

fn outcome_of_failure(plain: &PlainRequest) -> action::Outcome {
    if plain.may_have_run { action::Outcome::InDoubt } else { action::Outcome::NotRun }
}

fn dispatch_result(outcome: event::PlainOutcome) -> claim::DispatchResult {
    match outcome {
        event::PlainOutcome::Answered(answer) => claim::DispatchResult::Answered {
            status: answer.status,
            content_type: answer.content_type,
            body: answer.body,
        },
        event::PlainOutcome::NotSent { .. } => claim::DispatchResult::NotSent,
        event::PlainOutcome::Unknown { .. } => claim::DispatchResult::Unknown,
        event::PlainOutcome::FencingTokenRejected => claim::DispatchResult::FencingTokenRejected,
    }
}

fn path_and_query(call: &event::PlainCall) -> String {
    if call.query.is_empty() { call.path.clone() } else { format!("{}?{}", call.path, call.query) }
}
