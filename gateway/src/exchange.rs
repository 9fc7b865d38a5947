//! Exchange with endpoints for one admitted request, in one or more attempts.

use std::pin;
use std::time::Duration;

use bytes::Bytes;
use forwarding::dispatcher::{AdmittedRequest, Outcome, Target};
use forwarding::endpoints::Change;
use forwarding::refusal::RefusalReason;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use platform::headers::{self, AnswerHead, GatewayHeaders};
use slog::{info, warn};
use tokio::time;

use crate::answer_buffer;
use crate::context::{AdmittedCount, Context};
use crate::give_up::GiveUpReason;
use crate::logger;
use crate::pool::Connection;

/// Fraction of a repeatable request's remaining time after which another endpoint is tried.
const FIRST_EVENT_TIMEOUT_SHARE: f64 = 0.4;

/// Minimum time before another endpoint is tried, as a multiple of the route's latency target.
const MIN_FIRST_EVENT_TIMEOUT_TARGETS: f64 = 2.0;

/// Interval at which another endpoint is looked for while the current one is silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Caller's request as it is forwarded.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    /// Request target in origin form.
    pub(crate) uri: Uri,
    /// Headers of the caller, not yet filtered.
    pub(crate) headers: HeaderMap,
    /// Complete body.
    pub(crate) body: Bytes,
    /// Id of the last event that the caller received before this request.
    pub(crate) last_event_id: Option<u64>,
}

/// Attempt in progress.
#[derive(Debug)]
pub(crate) struct CurrentAttempt {
    /// Endpoint of the attempt.
    pub(crate) target: Target,
    /// Time at which the endpoint was selected, before a connection was made.
    pub(crate) sent_at: Duration,
    /// Time of the first byte of the answer, or of the first event of a stream.
    pub(crate) first_event_at: Option<Duration>,
    /// Whether nothing has been sent yet, as it has just replaced a silent attempt.
    is_pending: bool,
    /// Whether its endpoint has been silent and the attempt has gone on.
    was_silent: bool,
}

/// Head of an endpoint's answer, with the body still to be read.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) head: AnswerHead,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
}

/// Admitted request with its current attempt. An attempt that has not ended when this is dropped
/// counts as abandoned by the caller.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) context: Context,
    pub(crate) admitted: AdmittedRequest,
    pub(crate) outgoing: OutgoingRequest,
    pub(crate) current_attempt: Option<CurrentAttempt>,
    _admitted_count: AdmittedCount,
}

impl CurrentAttempt {
    fn new(target: Target, sent_at: Duration) -> CurrentAttempt {
        CurrentAttempt {
            target,
            sent_at,
            first_event_at: None,
            is_pending: false,
            was_silent: false,
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let Some(current_attempt) = self.current_attempt.take() else { return };
        let had_first_event = current_attempt.first_event_at.is_some();
        let now = self.context.now();
        self.context.dispatcher().on_abandoned(
            now,
            &self.admitted,
            &current_attempt.target,
            had_first_event,
        );
        metrics::counter!("gateway_abandoned_total").increment(1);
        info!(self.context.logger, "request abandoned by its caller";
            "request" => &self.admitted.attempt_id, "route" => &self.admitted.route,
            "endpoint" => current_attempt.target.id, "had_first_event" => had_first_event,
            "age_ms" => logger::as_ms(now.saturating_sub(self.admitted.arrived_at)));
    }
}

impl Exchange {
    /// Creates an exchange without an attempt.
    pub(crate) fn new(
        context: Context,
        admitted: AdmittedRequest,
        outgoing: OutgoingRequest,
    ) -> Exchange {
        let admitted_count = context.count_admitted();
        Exchange {
            context,
            admitted,
            outgoing,
            current_attempt: None,
            _admitted_count: admitted_count,
        }
    }

    /// Sends the request to one endpoint after another until one answers or no further attempt is
    /// allowed.
    ///
    /// `last_event_id` is the id of the last event passed to the caller, if a stream is resumed.
    pub(crate) async fn send_until_answered(
        &mut self,
        last_event_id: Option<u64>,
    ) -> Result<Answer, GiveUpReason> {
        loop {
            if !self.start_pending() {
                let now = self.context.now();
                let target = self.context.dispatcher().next_target(now, &mut self.admitted);
                let target = target.map_err(|refusal| self.give_up(refusal))?;
                self.current_attempt = Some(CurrentAttempt::new(target, now));
            }
            match self.try_endpoint(last_event_id).await {
                Ok(answer) => return Ok(answer),
                Err(outcome) => self.fail(outcome)?,
            }
        }
    }

    /// Ends the current attempt as failed, unless it has already been replaced. Returns an error if
    /// no further attempt is allowed.
    pub(crate) fn fail(&mut self, outcome: Outcome) -> Result<(), GiveUpReason> {
        if self.current_attempt.as_ref().is_some_and(|attempt| attempt.is_pending) {
            return Ok(());
        }
        let Some(current_attempt) = self.current_attempt.take() else {
            return Err(GiveUpReason::Failed(outcome));
        };
        let now = self.context.now();
        let had_first_event = current_attempt.first_event_at.is_some();
        let is_ejected = self.context.dispatcher().on_failed(
            now,
            &mut self.admitted,
            &current_attempt.target,
            outcome,
            had_first_event,
        );
        self.log_failure(now, &current_attempt, outcome, is_ejected);
        if self.admitted.may_repeat() { Ok(()) } else { Err(GiveUpReason::Failed(outcome)) }
    }

    fn log_failure(
        &self,
        now: Duration,
        attempt: &CurrentAttempt,
        outcome: Outcome,
        is_ejected: bool,
    ) {
        metrics::counter!("gateway_attempt_failures_total", "outcome" => outcome.to_string())
            .increment(1);
        info!(self.context.logger, "attempt failed";
            "request" => &self.admitted.attempt_id, "endpoint" => &attempt.target.id,
            "outcome" => %outcome, "after_ms" => logger::as_ms(now.saturating_sub(attempt.sent_at)),
            "runs" => self.admitted.possible_runs, "max_attempts" => self.admitted.max_attempts,
            "time_left_ms" => logger::as_ms(self.admitted.time_left(now)),
            "had_first_event" => attempt.first_event_at.is_some());
        if is_ejected {
            warn!(self.context.logger, "endpoint ejected";
                "endpoint" => &attempt.target.id, "outcome" => %outcome);
        }
    }

    /// Waits for the next part of an answer until the deadline. From `silent_at` on, the attempt ends
    /// as soon as another one can be made; [`Exchange::fail`] then keeps that one.
    pub(crate) async fn wait<T>(
        &mut self,
        part: impl Future<Output = T>,
        silent_at: &mut Duration,
    ) -> Result<T, Outcome> {
        let mut part = pin::pin!(part);
        loop {
            let now = self.context.now();
            let timeout = silent_at.saturating_sub(now).min(self.admitted.time_left(now));
            if let Ok(part) = time::timeout(timeout, part.as_mut()).await {
                return Ok(part);
            }
            self.check_progress(silent_at)?;
        }
    }

    /// Fails if the deadline has passed, or if the attempt has been silent since `silent_at` and
    /// another one has replaced it. Otherwise, sets `silent_at` to the time of the next check.
    pub(crate) fn check_progress(&mut self, silent_at: &mut Duration) -> Result<(), Outcome> {
        let now = self.context.now();
        if self.admitted.time_left(now).is_zero() {
            return Err(Outcome::TimedOut);
        }
        if now < *silent_at {
            return Ok(());
        }
        if self.replace_silent(now) {
            return Err(Outcome::TimedOut);
        }
        let may_run_again = self.admitted.may_run_again();
        *silent_at = if may_run_again { now + SILENCE_CHECK_INTERVAL } else { Duration::MAX };
        Ok(())
    }

    /// Replaces the current attempt by one at another endpoint; returns whether that was possible.
    fn replace_silent(&mut self, now: Duration) -> bool {
        let Some(silent) = &mut self.current_attempt else { return false };
        let had_first_event = silent.first_event_at.is_some();
        let mut dispatcher = self.context.dispatcher();
        let replacement =
            dispatcher.replace_silent(now, &mut self.admitted, &silent.target, had_first_event);
        let Some(replacement) = replacement else {
            if !std::mem::replace(&mut silent.was_silent, true) {
                let is_ejected = dispatcher.on_silence(now, &silent.target);
                info!(self.context.logger, "endpoint silent";
                    "request" => &self.admitted.attempt_id, "endpoint" => &silent.target.id,
                    "after_ms" => logger::as_ms(now.saturating_sub(silent.sent_at)),
                    "had_first_event" => had_first_event, "is_ejected" => is_ejected);
            }
            return false;
        };
        drop(dispatcher);
        let mut attempt = CurrentAttempt::new(replacement.target, now);
        attempt.is_pending = true;
        let silent = std::mem::replace(silent, attempt);
        self.log_failure(now, &silent, Outcome::TimedOut, replacement.is_ejected);
        true
    }

    /// Starts the attempt that replaced a silent one; returns whether there is one.
    fn start_pending(&mut self) -> bool {
        let attempt = self.current_attempt.as_mut();
        attempt.is_some_and(|attempt| std::mem::take(&mut attempt.is_pending))
    }

    /// Ends the current attempt with a complete answer.
    pub(crate) fn succeed(&mut self) {
        let Some(current_attempt) = self.current_attempt.take() else { return };
        let now = self.context.now();
        let latency =
            current_attempt.first_event_at.unwrap_or(now).saturating_sub(current_attempt.sent_at);
        let was_ejected =
            self.context.dispatcher().on_answered(now, &self.admitted, &current_attempt.target);
        let total = now.saturating_sub(self.admitted.arrived_at);
        metrics::histogram!("gateway_first_byte_seconds").record(latency.as_secs_f64());
        metrics::histogram!("gateway_answer_seconds").record(total.as_secs_f64());
        metrics::counter!("gateway_answers_total").increment(1);
        if was_ejected {
            info!(self.context.logger, "endpoint reinstated"; "endpoint" => &current_attempt.target.id);
        }
        if logger::is_sampled(&self.admitted.attempt_id) || self.admitted.tried.len() > 1 {
            info!(self.context.logger, "request answered";
                "request" => &self.admitted.attempt_id, "route" => &self.admitted.route,
                "service" => &self.admitted.service, "endpoint" => &current_attempt.target.id,
                "release" => self.admitted.release_version, "sent" => self.admitted.tried.len(),
                "urgency" => self.admitted.urgency,
                "first_byte_ms" => logger::as_ms(latency), "whole_ms" => logger::as_ms(total));
        }
    }

    /// Records the first byte of an answer, or the first event of a stream.
    pub(crate) fn on_first_event(&mut self) {
        let Some(current_attempt) = &mut self.current_attempt else { return };
        if current_attempt.first_event_at.is_some() {
            return;
        }
        let now = self.context.now();
        current_attempt.first_event_at = Some(now);
        let unix_time = self.context.unix_time();
        self.context.dispatcher().on_first_event(
            now,
            unix_time,
            &mut self.admitted,
            &current_attempt.target,
        );
    }

    /// Returns the connection of a completely read answer to the pool, unless the endpoint closes it.
    pub(crate) fn return_connection(&self, connection: Connection, head: &AnswerHead) {
        if let Some(current_attempt) = &self.current_attempt
            && !head.closes_connection
            && !head.is_leaving
        {
            self.context.pool.check_in(
                &current_attempt.target,
                connection,
                head.keep_alive_timeout,
            );
        }
    }

    fn give_up(&self, refusal: RefusalReason) -> GiveUpReason {
        if self.admitted.possible_runs > 0 {
            return GiveUpReason::Exhausted(refusal);
        }
        self.context.dispatcher().on_not_run(&self.admitted);
        GiveUpReason::NotRun(refusal)
    }

    async fn try_endpoint(&mut self, last_event_id: Option<u64>) -> Result<Answer, Outcome> {
        let Some(target) = self.current_attempt.as_ref().map(|attempt| attempt.target.clone())
        else {
            return Err(Outcome::Unreachable);
        };
        let mut may_reuse = target.may_reuse_connections;
        loop {
            let connection = self.context.pool.check_out(&target, may_reuse).await;
            let connection = connection.map_err(|_| Outcome::Unreachable)?;
            let is_reused = connection.is_reused;
            match self.send(&target, connection, last_event_id).await {
                Err(SendError::NotSent) if is_reused => may_reuse = false,
                Err(SendError::NotSent) => return Err(Outcome::Unreachable),
                Err(SendError::Sent(outcome)) => return Err(outcome),
                Ok(answer) => {
                    self.apply_notices(&target, &answer);
                    return self.validate(&target, answer);
                }
            }
        }
    }

    async fn send(
        &mut self,
        target: &Target,
        mut connection: Connection,
        last_event_id: Option<u64>,
    ) -> Result<Answer, SendError> {
        let now = self.context.now();
        let gateway_headers = GatewayHeaders {
            endpoint: &target.id,
            organisation: self.admitted.organisation.as_deref(),
            time_left: self.admitted.time_left(now),
            last_event_id: last_event_id.or(self.outgoing.last_event_id),
            urgency: self.admitted.urgency,
        };
        let mut request = Request::new(Full::new(self.outgoing.body.clone()));
        *request.method_mut() = self.outgoing.method.clone();
        *request.uri_mut() = self.outgoing.uri.clone();
        *request.headers_mut() = headers::encode_request(&self.outgoing.headers, &gateway_headers);
        let mut silent_at = now.saturating_add(self.first_event_timeout(now));
        let answer =
            match self.wait(connection.sender.try_send_request(request), &mut silent_at).await {
                Err(outcome) => return Err(SendError::Sent(outcome)),
                Ok(Err(mut error)) => {
                    let was_sent = error.take_message().is_none();
                    let outcome = SendError::Sent(Outcome::Broken);
                    return Err(if was_sent { outcome } else { SendError::NotSent });
                }
                Ok(Ok(answer)) => answer,
            };
        let (parts, body) = answer.into_parts();
        let head = headers::decode_answer(&parts.headers);
        Ok(Answer { status: parts.status, headers: parts.headers, head, body, connection })
    }

    /// How long to wait for the first byte of an answer or the first event of a stream: until the
    /// deadline, or for a part of the time left if another endpoint may be tried.
    pub(crate) fn first_event_timeout(&self, now: Duration) -> Duration {
        let time_left = self.admitted.time_left(now);
        if !self.admitted.may_run_again() {
            return time_left;
        }
        let min_timeout = self.admitted.latency_target.mul_f64(MIN_FIRST_EVENT_TIMEOUT_TARGETS);
        time_left.min(time_left.mul_f64(FIRST_EVENT_TIMEOUT_SHARE).max(min_timeout))
    }

    /// Applies what an endpoint says of itself in an answer to this request.
    fn apply_notices(&self, target: &Target, answer: &Answer) {
        // Another endpoint at the same address says nothing of the selected one.
        let is_from_target = answer.status != StatusCode::MISDIRECTED_REQUEST
            && answer.head.attempt_id.as_deref() == Some(self.admitted.attempt_id.as_str());
        if !is_from_target {
            return;
        }
        let Target { id, process_start_ms, .. } = target;
        let now = self.context.now();
        if answer.head.is_leaving {
            let endpoints = &mut self.context.dispatcher().endpoints;
            if endpoints.on_leaving_answer(now, id, *process_start_ms) != Change::None {
                info!(self.context.logger, "endpoint leaving according to its answer";
                    "request" => &self.admitted.attempt_id, "endpoint" => id);
            }
            self.context.pool.remove(id);
        }
        if answer.status == StatusCode::SERVICE_UNAVAILABLE
            && let Some(wait) = answer.head.requested_wait
        {
            let endpoints = &mut self.context.dispatcher().endpoints;
            if endpoints.on_wait_requested(now, id, *process_start_ms, now + wait) {
                info!(self.context.logger, "endpoint requested a wait";
                    "request" => &self.admitted.attempt_id, "endpoint" => id,
                    "wait_ms" => logger::as_ms(wait));
            }
        }
    }

    fn validate(&self, target: &Target, answer: Answer) -> Result<Answer, Outcome> {
        let is_refusal = answer.head.is_not_run || answer.status == StatusCode::MISDIRECTED_REQUEST;
        let is_own = match answer.head.attempt_id.as_deref() {
            Some(id) => id == self.admitted.attempt_id,
            // On a connection that carried no other request, it cannot belong to one.
            None => is_refusal && !answer.connection.is_reused,
        };
        if !is_own {
            let now = self.context.now();
            self.context.dispatcher().on_stray_bytes(now, &target.id);
            warn!(self.context.logger, "answer belongs to another request";
                "request" => &self.admitted.attempt_id, "endpoint" => &target.id,
                "answered" => answer.head.attempt_id.as_deref().unwrap_or("none"));
            return Err(Outcome::Broken);
        }
        if answer.status == StatusCode::MISDIRECTED_REQUEST {
            return Err(Outcome::Misdirected);
        }
        if answer.head.is_not_run && !answer.status.is_success() {
            return Err(Outcome::Refused);
        }
        if answer.head.is_not_run || !answer.head.is_signed || answer.head.is_encoded {
            return Err(Outcome::Broken);
        }
        Ok(answer)
    }

    /// Reads the body of an answer that is not a stream, and builds the answer to the caller.
    pub(crate) async fn read_whole(&mut self, answer: Answer) -> Result<Response<Bytes>, Outcome> {
        self.on_first_event();
        let Answer { status, headers, head, body, connection } = answer;
        let time_left = self.admitted.time_left(self.context.now());
        let body = match time::timeout(time_left, answer_buffer::read(self.context.clone(), body))
            .await
        {
            Err(_) => return Err(Outcome::TimedOut),
            Ok(Err(error)) => {
                info!(self.context.logger, "answer not read"; "request" => &self.admitted.attempt_id,
                    "endpoint" => self.admitted.tried.last(), "error" => %error);
                return Err(Outcome::Broken);
            }
            Ok(Ok(body)) => body,
        };
        self.return_connection(connection, &head);
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers::encode_answer(&headers);
        response.headers_mut().remove(http::header::CONTENT_LENGTH);
        Ok(response)
    }
}

enum SendError {
    /// Nothing of the request was sent.
    NotSent,
    /// The request was sent, at least in part, and the attempt ended with this outcome.
    Sent(Outcome),
}
