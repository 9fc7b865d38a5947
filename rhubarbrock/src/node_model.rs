//! A node's model requests, from the call to the end of the answer.

use std::time::Duration;

use rhubarbrock_schema::{peer, release as schema};

use crate::node::{Node, Work};
use crate::{action, admission, dispatch, event, fairness, id, node_custody, retry, routing};

/// Time without any token after which an attempt is given up.
const IDLE_TIMEOUT: Duration = Duration::from_millis(10_000);

/// Largest number of endpoints that a request avoids.
const MAX_EXCLUDED_ENDPOINTS: usize = 2;

/// Time for which a busy engine that sent no `Retry-After` gets no requests.
const DEFAULT_BUSY_PAUSE: Duration = Duration::from_millis(500);

/// Priority of a request without any text yet.
const PRIORITY_NEW: i32 = 1;

/// Priority of a request whose caller may have received a part of the answer.
const PRIORITY_RESUMED: i32 = 0;

/// Model request that this node holds.
#[derive(Debug, Clone)]
pub(crate) struct ModelRequest {
    /// Record as in the backup copies, without the text.
    pub(crate) record: peer::RequestRecord,
    /// Call that waits for the request to be accepted.
    pub(crate) waiting_call: Option<event::CallId>,
    /// Whether the request was accepted; its caller then knows the request's id.
    pub(crate) is_accepted: bool,
    /// Whether another node has a backup copy, or no node can keep one.
    pub(crate) is_custody_settled: bool,
    pub(crate) ticket: fairness::Ticket,
    pub(crate) attempt: Option<id::AttemptId>,
    /// Endpoints at which attempts failed, oldest first.
    pub(crate) failed_endpoints: Vec<id::EndpointId>,
    /// Tokens of the answer up to the last progress event.
    pub(crate) tokens: u32,
    pub(crate) arrived_at: Duration,
    pub(crate) first_token_at: Option<Duration>,
    pub(crate) give_up_at: Duration,
    pub(crate) finished_at: Option<Duration>,
}

impl ModelRequest {
    /// Endpoints that the next attempt avoids: the latest at which attempts failed.
    pub(crate) fn excluded(&self) -> Vec<id::EndpointId> {
        let skipped = self.failed_endpoints.len().saturating_sub(MAX_EXCLUDED_ENDPOINTS);
        self.failed_endpoints[skipped..].to_vec()
    }
}

impl Node {
    pub(crate) fn on_model_call(&mut self, call: event::ModelCall) {
        let Some(organisation) = self.admit_caller(call.call, &call.key_sha256) else { return };
        let kind = schema::ServiceKind::Model;
        let body_bytes = call.body.len();
        let Some(service) = self.service_for(call.call, &call.service, kind, body_bytes) else {
            return;
        };
        let max_tokens = call.max_tokens.unwrap_or(service.max_tokens).min(service.max_tokens);
        let timeout = Duration::from_millis(u64::from(service.timeout_ms));
        if self.refuse_quarantined(call.call, call.fingerprint) {
            return;
        }
        let request = id::RequestId { holder: self.config.node, secret: call.secret };
        let ticket = self.new_ticket(Work::Model(request));
        let job = model_job(ticket, &organisation, &call);
        if let Err(refusal) = self.dispatcher.submit(self.now, job) {
            self.work.remove(&ticket);
            self.refuse_admission(call.call, &refusal);
            return;
        }
        let closed = self.endpoints_barred_to(call.fingerprint);
        self.dispatcher.exclude(ticket, &closed);
        let record = peer::RequestRecord {
            request: request.to_string(),
            organisation,
            service: call.service,
            path: call.path,
            body: call.body,
            holder: self.config.node,
            term: 1,
            fingerprint: call.fingerprint,
            streamed: call.streamed,
            stream_usage: call.stream_usage,
            created_s: self.unix_time.as_secs(),
            max_tokens,
            ..Default::default()
        };
        self.open_model(request, record, ticket, timeout, Some(call.call));
    }

    /// Creates the answer and the state of a request, new or adopted.
    pub(crate) fn open_model(
        &mut self,
        request: id::RequestId,
        record: peer::RequestRecord,
        ticket: fairness::Ticket,
        timeout: Duration,
        waiting_call: Option<event::CallId>,
    ) {
        let open = action::OpenAnswer { record: record.clone(), request };
        self.push_action(action::Action::OpenAnswer(Box::new(open)));
        let held = ModelRequest {
            is_accepted: waiting_call.is_none(),
            waiting_call,
            is_custody_settled: false,
            ticket,
            attempt: None,
            failed_endpoints: Vec::new(),
            tokens: record.tokens,
            arrived_at: self.now,
            first_token_at: None,
            give_up_at: self.now + timeout,
            finished_at: None,
            record: peer::RequestRecord {
                text: String::new(),
                chunk_bytes: Vec::new(),
                ..record.clone()
            },
        };
        let is_new = held.waiting_call.is_some();
        self.model_requests.insert(request, held);
        if is_new {
            self.back_up_request(record);
        }
    }

    fn refuse_admission(&mut self, call: event::CallId, refusal: &admission::Refusal) {
        self.record_event("request.refused", None, refusal.to_string());
        let kind = action::RefusalKind::Overloaded;
        self.refuse(call, kind, refusal.to_string(), Some(refusal.retry_after));
    }

    /// Handles the dispatcher's refusal of a request.
    pub(crate) fn refuse_model(&mut self, request: id::RequestId, refusal: &admission::Refusal) {
        let Some(held) = self.model_requests.get(&request) else { return };
        if held.is_accepted {
            self.fail_model(request, refusal.to_string());
            return;
        }
        if let Some(call) = held.waiting_call {
            self.refuse_admission(call, refusal);
        }
        self.drop_model(request);
    }

    /// Sends a request to the endpoint that the dispatcher chose.
    pub(crate) fn send_model(
        &mut self,
        request: id::RequestId,
        attempt: id::AttemptId,
        choice: &routing::Choice,
        waited: Duration,
    ) {
        let endpoint = choice.endpoint;
        let address = self.endpoint_address(endpoint);
        let held = self
            .model_requests
            .get_mut(&request)
            .expect("the request of a ticket is in model_requests");
        held.attempt = Some(attempt);
        held.record.endpoint = endpoint;
        held.record.attempts += 1;
        let is_resumed = held.tokens > 0;
        let is_first = held.record.attempts == 1;
        let service = held.record.service.clone();
        let model = self.services.get(&held.record.service).map(|s| s.model.clone());
        let start = action::ModelAttempt {
            attempt,
            request,
            endpoint,
            address,
            path: held.record.path.clone(),
            body: held.record.body.clone(),
            model: model.unwrap_or_default(),
            priority: if is_resumed { PRIORITY_RESUMED } else { PRIORITY_NEW },
            max_tokens: held.record.max_tokens,
            idle_timeout: IDLE_TIMEOUT,
            kv_source: None,
        };
        let number = held.record.attempts;
        if is_first {
            self.retries.on_first_attempt(&service);
        }
        self.counters.model_attempts += 1;
        self.counters.model_resumed += u64::from(is_resumed);
        self.push_action(action::Action::StartModel(Box::new(start)));
        let detail = format!("attempt {number} to endpoint {endpoint}: {}", choice.reason);
        self.record_span("request.sent", Some(request), detail, waited);
        self.accept_if_due(request);
    }

    /// Accepts a request once it was sent and another node has a backup copy, if one can.
    pub(crate) fn accept_if_due(&mut self, request: id::RequestId) {
        let Some(held) = self.model_requests.get_mut(&request) else { return };
        if held.is_accepted || !held.is_custody_settled || held.record.attempts == 0 {
            return;
        }
        held.is_accepted = true;
        let took = self.now.saturating_sub(held.arrived_at);
        let call = held.waiting_call.take();
        let organisation = held.record.organisation.clone();
        let service = held.record.service.clone();
        self.counters.model_accepted += 1;
        if let Some(call) = call {
            self.push_action(action::Action::Attach { call, request, offset: 0 });
        }
        let detail = format!("{service} for {organisation}");
        self.record_span("request.accepted", Some(request), detail, took);
    }

    pub(crate) fn on_endpoint(&mut self, event: event::EndpointEvent) {
        match event {
            event::EndpointEvent::FirstToken { attempt } => self.on_first_token(attempt),
            event::EndpointEvent::Progress { attempt, offset, text, chunk_bytes, tokens } => {
                let part = node_custody::TextPart { offset, text, chunk_bytes, tokens };
                self.on_model_progress(attempt, part);
            }
            event::EndpointEvent::ModelEnded { attempt, outcome } => {
                self.on_model_ended(attempt, outcome);
            }
            event::EndpointEvent::PlainEnded { attempt, outcome } => {
                self.on_plain_ended(attempt, outcome);
            }
            event::EndpointEvent::Load(report) => self.on_load(&report),
            event::EndpointEvent::LoadFailed { endpoint } => self.on_load_failed(endpoint),
        }
    }

    fn model_of(&self, attempt: id::AttemptId) -> Option<id::RequestId> {
        let ticket = self.attempts.get(&attempt)?;
        match self.work.get(ticket)? {
            Work::Model(request) => Some(*request),
            Work::Plain(_) => None,
        }
    }

    fn on_first_token(&mut self, attempt: id::AttemptId) {
        self.dispatcher.on_first_token(self.now, attempt);
        let Some(request) = self.model_of(attempt) else { return };
        let held = self
            .model_requests
            .get_mut(&request)
            .expect("the request of a ticket is in model_requests");
        if held.first_token_at.is_none() {
            held.first_token_at = Some(self.now);
            let took = self.now.saturating_sub(held.arrived_at);
            self.record_span("request.first_token", Some(request), String::new(), took);
        }
    }

    fn on_model_progress(&mut self, attempt: id::AttemptId, part: node_custody::TextPart) {
        self.dispatcher.on_progress(self.now, attempt, part.tokens);
        let Some(request) = self.model_of(attempt) else { return };
        let held = self
            .model_requests
            .get_mut(&request)
            .expect("the request of a ticket is in model_requests");
        held.tokens = part.tokens;
        if !self.back_up_progress(request, part) {
            self.push_action(action::Action::Cancel { attempt });
        }
    }

    fn on_model_ended(&mut self, attempt: id::AttemptId, outcome: event::ModelOutcome) {
        let request = self.model_of(attempt);
        self.attempts.remove(&attempt);
        let Some(request) = request else {
            self.dispatcher.on_failure(self.now, attempt, routing::Failure::ConnectionLost);
            return;
        };
        let held = self
            .model_requests
            .get_mut(&request)
            .expect("the request of a ticket is in model_requests");
        held.attempt = None;
        let (failed_endpoint, request_fingerprint) =
            (held.record.endpoint, held.record.fingerprint);
        match outcome {
            event::ModelOutcome::Finished(finish) => self.finish_model(request, attempt, finish),
            event::ModelOutcome::Rejected { status, message } => {
                let answered = routing::Answered { answer_tokens: 0 };
                self.dispatcher.on_done(self.now, attempt, &answered);
                let shown: String = message.chars().take(300).collect();
                let reason = format!("the engine refused the request ({status}): {shown}");
                self.record_event("attempt.rejected", Some(request), reason.clone());
                self.end_model(request, failed(reason));
            }
            event::ModelOutcome::Refused { retry_after } => {
                let retry_after = retry_after.unwrap_or(DEFAULT_BUSY_PAUSE);
                self.retry_model(request, attempt, routing::Failure::Busy { retry_after });
            }
            event::ModelOutcome::NotSent { message } => {
                self.record_event("attempt.not_sent", Some(request), message);
                self.retry_model(request, attempt, routing::Failure::ConnectFailed);
            }
            event::ModelOutcome::Broken { message } => {
                self.record_event("attempt.broken", Some(request), message);
                let (endpoint, fingerprint) = (failed_endpoint, request_fingerprint);
                self.retry_model(request, attempt, routing::Failure::ConnectionLost);
                self.on_connection_broken(endpoint, fingerprint);
            }
            event::ModelOutcome::TimedOut => {
                self.retry_model(request, attempt, routing::Failure::Timeout);
            }
            event::ModelOutcome::Cancelled => {
                self.retry_model(request, attempt, routing::Failure::ConnectionLost);
            }
        }
    }

    fn finish_model(
        &mut self,
        request: id::RequestId,
        attempt: id::AttemptId,
        finish: peer::Finish,
    ) {
        let held = &self.model_requests[&request];
        let fingerprint = held.record.fingerprint;
        let answered = routing::Answered { answer_tokens: finish.completion_tokens };
        let took = self.now.saturating_sub(held.arrived_at);
        let change = self.dispatcher.on_done(self.now, attempt, &answered);
        self.report_endpoint_change(change);
        self.quarantine.on_finished(self.now, fingerprint);
        self.counters.model_answered += 1;
        self.counters.cached_tokens += u64::from(finish.cached_tokens);
        self.counters.computed_tokens +=
            u64::from(finish.prompt_tokens.saturating_sub(finish.cached_tokens));
        self.counters.generated_tokens += u64::from(finish.completion_tokens);
        let detail = format!(
            "{} tokens, {} of {} prompt tokens cached",
            finish.completion_tokens, finish.cached_tokens, finish.prompt_tokens
        );
        self.record_span("request.answered", Some(request), detail, took);
        self.end_model(request, finish);
    }

    fn retry_model(
        &mut self,
        request: id::RequestId,
        attempt: id::AttemptId,
        failure: routing::Failure,
    ) {
        let change = self.dispatcher.on_failure(self.now, attempt, failure);
        self.report_endpoint_change(change);
        let held = self
            .model_requests
            .get_mut(&request)
            .expect("the request of a ticket is in model_requests");
        let endpoint = held.record.endpoint;
        held.record.endpoint = 0;
        if !held.failed_endpoints.contains(&endpoint) {
            held.failed_endpoints.push(endpoint);
        }
        let ticket = held.ticket;
        let retry_after = match failure {
            routing::Failure::Busy { retry_after } => Some(retry_after),
            _ => None,
        };
        let failed = retry::Failure {
            service: &held.record.service,
            attempts: held.record.attempts,
            repeat: retry::Repeat::Required,
            retry_after,
            deadline: Some(held.give_up_at),
        };
        match self.retries.decide(self.now, &failed) {
            retry::Decision::RetryAt(due) => {
                let wait_ms = due.saturating_sub(self.now).as_millis();
                let detail = format!("endpoint {endpoint}: {failure}; again in {wait_ms} ms");
                self.delayed.insert((due, ticket));
                self.record_event("request.retry", Some(request), detail);
            }
            retry::Decision::GiveUp { reason, .. } => self.fail_model(request, reason.to_string()),
        }
    }

    /// Ends a request that cannot be answered.
    pub(crate) fn fail_model(&mut self, request: id::RequestId, reason: String) {
        self.counters.model_failed += 1;
        self.record_event("request.failed", Some(request), reason.clone());
        self.end_model(request, failed(reason));
    }

    fn end_model(&mut self, request: id::RequestId, finish: peer::Finish) {
        let Some(held) = self.model_requests.get_mut(&request) else { return };
        held.finished_at = Some(self.now);
        held.attempt = None;
        let ticket = held.ticket;
        self.end_work(ticket);
        let waiting_call =
            self.model_requests.get_mut(&request).and_then(|held| held.waiting_call.take());
        self.push_action(action::Action::FinishAnswer { request, finish: finish.clone() });
        if let Some(call) = waiting_call {
            self.push_action(action::Action::Attach { call, request, offset: 0 });
        }
        self.back_up_finish(request, finish);
    }

    /// Ends the work of a ticket and cancels its attempt.
    pub(crate) fn end_work(&mut self, ticket: fairness::Ticket) {
        self.work.remove(&ticket);
        self.delayed.retain(|(_, delayed)| *delayed != ticket);
        if let Some(attempt) = self.dispatcher.give_up(self.now, ticket) {
            self.attempts.remove(&attempt);
            self.push_action(action::Action::Cancel { attempt });
        }
    }

    /// Discards a request that was not accepted.
    pub(crate) fn drop_model(&mut self, request: id::RequestId) {
        let Some(held) = self.model_requests.remove(&request) else { return };
        self.end_work(held.ticket);
        self.push_action(action::Action::DropAnswer { request });
        self.back_up_finish(request, failed("the request was not accepted".to_owned()));
        self.custody.mark_delivered(request);
    }

    /// Discards the request of a caller that disconnected before it knew the request's id, since
    /// nobody can ask for the answer.
    pub(crate) fn abandon_model_call(&mut self, call: event::CallId) {
        let abandoned = self
            .model_requests
            .iter()
            .find(|(_, held)| held.waiting_call == Some(call))
            .map(|(id, _)| *id);
        if let Some(request) = abandoned {
            self.record_event("request.abandoned", Some(request), String::new());
            self.drop_model(request);
        }
    }

    pub(crate) fn tick_models(&mut self) {
        let now = self.now;
        let late: Vec<id::RequestId> = self
            .model_requests
            .iter()
            .filter(|(_, held)| held.finished_at.is_none() && now > held.give_up_at)
            .map(|(request, _)| *request)
            .collect();
        for request in late {
            self.fail_model(request, "the answer was not complete in time".to_owned());
        }
    }

    pub(crate) fn report_endpoint_change(&mut self, change: Option<routing::Change>) {
        let Some(change) = change else { return };
        if change == routing::Change::Ejected {
            self.counters.endpoints_ejected += 1;
        }
        self.log_event(action::LogLevel::Warning, "endpoint.changed", change.to_string());
    }
}

fn model_job(
    ticket: fairness::Ticket,
    organisation: &str,
    call: &event::ModelCall,
) -> dispatch::Job {
    dispatch::Job {
        ticket,
        service: call.service.clone(),
        organisation: organisation.to_owned(),
        blocks: call.blocks.clone(),
        prompt_tokens: call.prompt_tokens,
        dialogue: call.dialogue,
        settled_tokens: call.settled_tokens,
        max_tokens: call.max_tokens,
        deadline: call.deadline,
        may_probe: true,
    }
}

fn failed(error: String) -> peer::Finish {
    peer::Finish { error, ..Default::default() }
}
