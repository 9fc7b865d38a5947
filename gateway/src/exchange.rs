//! One request's attempts at endpoints.

use std::time::Duration;

use bytes::Bytes;
use forwarding::dispatcher::{AdmittedRequest, Outcome, RefusalReason, Target};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use platform::headers::{self, AnswerHead, GatewayHeaders};
use slog::{info, warn};
use tokio::time;

use crate::context::{Context, OpenRequest};
use crate::logger;
use crate::pool::Connection;

/// Longest answer that is read whole before it is passed on, in bytes.
const MAX_BUFFERED_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Part of a repeatable request's remaining time after which another endpoint is tried.
const FIRST_EVENT_TIMEOUT_FRACTION: f64 = 0.4;

/// Latency targets for which an endpoint is waited for at least before another is tried.
const MIN_FIRST_EVENT_TIMEOUT_TARGETS: f64 = 2.0;

/// A caller's request as it will be sent.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    /// Method.
    pub(crate) method: Method,
    /// Target as the caller wrote it.
    pub(crate) uri: Uri,
    /// The caller's headers.
    pub(crate) headers: HeaderMap,
    /// Whole body.
    pub(crate) body: Bytes,
    /// Last event that the caller has.
    pub(crate) last_event_id: Option<u64>,
}

/// An attempt in progress.
#[derive(Debug)]
pub(crate) struct CurrentAttempt {
    /// Its endpoint.
    pub(crate) target: Target,
    /// When it was sent.
    pub(crate) sent_at: Duration,
    /// When the first byte or event of its answer came.
    pub(crate) first_event_at: Option<Duration>,
}

/// An endpoint's answer without its body.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) head: AnswerHead,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
}

/// A request with its ticket; an attempt that is still open when it is dropped counts as
/// abandoned by the caller.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) context: Context,
    pub(crate) admitted: AdmittedRequest,
    pub(crate) outgoing: OutgoingRequest,
    pub(crate) current_attempt: Option<CurrentAttempt>,
    _open_request: OpenRequest,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let Some(current_attempt) = self.current_attempt.take() else { return };
        let had_first_event = current_attempt.first_event_at.is_some();
        self.context.dispatcher().on_abandoned(
            &self.admitted,
            &current_attempt.target,
            had_first_event,
        );
        metrics::counter!("gateway_abandoned_total").increment(1);
        info!(self.context.logger, "request abandoned by its caller";
            "request" => &self.admitted.attempt_id, "route" => &self.admitted.route,
            "endpoint" => current_attempt.target.id, "had_first_event" => had_first_event,
            "age_ms" => logger::as_ms(self.context.now().saturating_sub(self.admitted.arrived_at)));
    }
}

impl Exchange {
    /// An admitted request that was not sent yet.
    pub(crate) fn new(
        context: Context,
        admitted: AdmittedRequest,
        outgoing: OutgoingRequest,
    ) -> Exchange {
        let open_request = context.open_request(outgoing.body.len());
        Exchange { context, admitted, outgoing, current_attempt: None, _open_request: open_request }
    }

    /// Sends the request to the best endpoint left, over and over until one answers.
    ///
    /// `last_event_id` is the last event passed on of a stream that is continued.
    pub(crate) async fn send_until_answered(
        &mut self,
        last_event_id: Option<u64>,
    ) -> Result<Answer, GiveUpReason> {
        loop {
            let now = self.context.now();
            let target = self.context.dispatcher().next_target(now, &mut self.admitted);
            let target = target.map_err(|refusal| self.give_up(refusal))?;
            self.current_attempt =
                Some(CurrentAttempt { target, sent_at: now, first_event_at: None });
            match self.try_endpoint(last_event_id).await {
                Ok(answer) => return Ok(answer),
                Err(outcome) => self.fail(outcome)?,
            }
        }
    }

    /// Ends the current attempt without an answer; an error if there must be no other.
    pub(crate) fn fail(&mut self, outcome: Outcome) -> Result<(), GiveUpReason> {
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
        metrics::counter!("gateway_attempt_failures_total", "outcome" => outcome.to_string())
            .increment(1);
        info!(self.context.logger, "attempt failed";
            "request" => &self.admitted.attempt_id, "endpoint" => &current_attempt.target.id,
            "outcome" => %outcome, "after_ms" => logger::as_ms(now.saturating_sub(current_attempt.sent_at)),
            "runs" => self.admitted.possible_runs, "max_attempts" => self.admitted.max_attempts,
            "time_left_ms" => logger::as_ms(self.admitted.time_left(now)),
            "had_first_event" => had_first_event);
        if is_ejected {
            warn!(self.context.logger, "endpoint ejected";
                "endpoint" => &current_attempt.target.id, "outcome" => %outcome);
        }
        if self.admitted.may_repeat() { Ok(()) } else { Err(GiveUpReason::Failed(outcome)) }
    }

    /// Ends the current attempt with a whole answer.
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
            info!(self.context.logger, "endpoint sound again"; "endpoint" => &current_attempt.target.id);
        }
        if logger::is_sampled(&self.admitted.attempt_id) || self.admitted.tried.len() > 1 {
            info!(self.context.logger, "request answered";
                "request" => &self.admitted.attempt_id, "route" => &self.admitted.route,
                "service" => &self.admitted.service, "endpoint" => &current_attempt.target.id,
                "release" => self.admitted.release_version, "sent" => self.admitted.tried.len(),
                "first_byte_ms" => logger::as_ms(latency), "whole_ms" => logger::as_ms(total));
        }
    }

    /// Notes the first byte of an answer, or the first event of a stream.
    pub(crate) fn on_first_event(&mut self) {
        let Some(current_attempt) = &mut self.current_attempt else { return };
        if current_attempt.first_event_at.is_some() {
            return;
        }
        let now = self.context.now();
        current_attempt.first_event_at = Some(now);
        let wall_time = self.context.wall_time();
        self.context.dispatcher().on_first_event(
            now,
            wall_time,
            &mut self.admitted,
            &current_attempt.target,
        );
    }

    /// Keeps the connection of an answer that was read to its end, if the endpoint does.
    pub(crate) fn return_connection(&self, connection: Connection, head: &AnswerHead) {
        if let Some(current_attempt) = &self.current_attempt
            && !head.closes_connection
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
                Ok(answer) => return self.validate(&target, answer),
            }
        }
    }

    async fn send(
        &self,
        target: &Target,
        mut connection: Connection,
        last_event_id: Option<u64>,
    ) -> Result<Answer, SendError> {
        let now = self.context.now();
        let forwarded = GatewayHeaders {
            endpoint: &target.id,
            organisation: self.admitted.organisation.as_deref(),
            time_left: self.admitted.time_left(now),
            last_event_id: last_event_id.or(self.outgoing.last_event_id),
        };
        let mut request = Request::new(Full::new(self.outgoing.body.clone()));
        *request.method_mut() = self.outgoing.method.clone();
        *request.uri_mut() = self.outgoing.uri.clone();
        *request.headers_mut() = headers::encode_request(&self.outgoing.headers, &forwarded);
        let first_event_timeout = self.first_event_timeout(now);
        let answer =
            match time::timeout(first_event_timeout, connection.sender.try_send_request(request))
                .await
            {
                Err(_) => return Err(SendError::Sent(Outcome::TimedOut)),
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

    /// How long to wait for an answer's first byte: to the end, unless another endpoint may be
    /// asked.
    pub(crate) fn first_event_timeout(&self, now: Duration) -> Duration {
        let time_left = self.admitted.time_left(now);
        let may_repeat = self.admitted.kind.is_repeatable()
            && self.admitted.possible_runs + 1 < self.admitted.max_attempts;
        if !may_repeat {
            return time_left;
        }
        let targets = self.admitted.latency_target.mul_f64(MIN_FIRST_EVENT_TIMEOUT_TARGETS);
        time_left.min(time_left.mul_f64(FIRST_EVENT_TIMEOUT_FRACTION).max(targets))
    }

    fn validate(&self, target: &Target, answer: Answer) -> Result<Answer, Outcome> {
        if answer.status == StatusCode::MISDIRECTED_REQUEST {
            return Err(Outcome::Misdirected);
        }
        if answer.head.is_not_run {
            return Err(Outcome::Refused);
        }
        let is_own = answer.head.attempt_id.as_deref() == Some(self.admitted.attempt_id.as_str());
        if !is_own {
            let now = self.context.now();
            self.context.dispatcher().on_stray_bytes(now, &target.id);
            warn!(self.context.logger, "answer belongs to another request";
                "request" => &self.admitted.attempt_id, "endpoint" => &target.id,
                "answered" => answer.head.attempt_id.as_deref().unwrap_or("none"));
            return Err(Outcome::Broken);
        }
        if !answer.head.is_signed || answer.head.is_encoded {
            return Err(Outcome::Broken);
        }
        Ok(answer)
    }

    /// Reads the rest of an answer that is passed on whole.
    pub(crate) async fn read_whole(&mut self, answer: Answer) -> Result<Response<Bytes>, Outcome> {
        self.on_first_event();
        let Answer { status, headers, head, body, connection } = answer;
        let time_left = self.admitted.time_left(self.context.now());
        let reading = Limited::new(body, MAX_BUFFERED_ANSWER_BYTES).collect();
        let body = match time::timeout(time_left, reading).await {
            Err(_) => return Err(Outcome::TimedOut),
            Ok(Err(_)) => return Err(Outcome::Broken),
            Ok(Ok(body)) => body.to_bytes(),
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
    /// Nothing was sent on the connection.
    NotSent,
    /// The request was sent, at least in part.
    Sent(Outcome),
}

/// Why a request gets no answer of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GiveUpReason {
    /// It has not run and will not.
    NotRun(RefusalReason),
    /// It may have run, and nothing is left to try.
    Exhausted(RefusalReason),
    /// It may have run, and must not be sent again.
    Failed(Outcome),
}

impl GiveUpReason {
    /// Status for the caller; only those of requests that did not run promise so.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            GiveUpReason::NotRun(refusal) => refusal_status(refusal),
            GiveUpReason::Failed(Outcome::TimedOut)
            | GiveUpReason::Exhausted(RefusalReason::Expired) => StatusCode::GATEWAY_TIMEOUT,
            GiveUpReason::Failed(_) | GiveUpReason::Exhausted(_) => StatusCode::BAD_GATEWAY,
        }
    }

    /// `Retry-After` for the caller.
    pub(crate) fn retry_after(&self) -> Option<HeaderValue> {
        match self {
            GiveUpReason::NotRun(refusal) => refusal.retry_after().map(headers::retry_after),
            GiveUpReason::Exhausted(_) | GiveUpReason::Failed(_) => None,
        }
    }
}

fn refusal_status(refusal: &RefusalReason) -> StatusCode {
    match refusal {
        RefusalReason::NoRoute => StatusCode::NOT_FOUND,
        RefusalReason::UnknownKey => StatusCode::UNAUTHORIZED,
        RefusalReason::OverQuota(_) => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
