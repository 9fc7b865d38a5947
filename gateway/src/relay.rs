//! Relay of event streams from endpoints to callers.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use forwarding::dispatcher::Outcome;
use forwarding::event_stream::{Position, Splitter};
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use platform::headers::AnswerHead;
use slog::info;

use crate::answer_buffer::HeldMemory;
use crate::exchange::{Answer, Exchange};
use crate::give_up::GiveUpReason;
use crate::logger;
use crate::pool::Connection;

/// Time without an event after which a stream is resumed at another endpoint if possible, as a
/// multiple of the route's gap target. Callers give up after eight gap targets.
const IDLE_TIMEOUT_GAPS: f64 = 5.0;

/// Minimum time without an event after which a stream is resumed at another endpoint. Callers give
/// up after two seconds at the earliest.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Stream whose first events have arrived, or that has ended without any.
pub(crate) struct StartedStream {
    /// Status of the first endpoint's answer.
    pub(crate) status: StatusCode,
    /// Headers of the first endpoint's answer.
    pub(crate) headers: HeaderMap,
    /// Source of the events.
    pub(crate) relay: Relay,
}

/// Reads a stream, and resumes it at another endpoint if it breaks, or if it stops and another
/// endpoint can be tried.
pub(crate) struct Relay {
    exchange: Exchange,
    source: Option<Source>,
    splitter: Splitter,
    /// Memory that the splitter holds.
    memory: HeldMemory,
    position: Position,
    idle_timeout: Duration,
    /// Complete events that have not been passed to the caller yet.
    buffered: Vec<u8>,
    /// Whether an event came that cannot be passed on. What follows it is not read.
    is_out_of_order: bool,
    /// Whether the stream has been resumed and the new endpoint has not sent an event yet.
    awaits_continuation: bool,
}

struct Source {
    body: Incoming,
    connection: Connection,
    head: AnswerHead,
}

enum Progress {
    Events,
    Ended,
}

/// Waits for the first event of a stream. On an error, returns the exchange with the outcome of the
/// attempt, so that the caller of this function can make another one.
pub(crate) async fn start(
    exchange: Exchange,
    answer: Answer,
) -> Result<StartedStream, (Box<Exchange>, Outcome)> {
    let Answer { status, headers, head, body, connection } = answer;
    let position = Position::after(exchange.outgoing.last_event_id);
    let timeout = exchange.first_event_timeout(exchange.context.now());
    let idle_timeout =
        exchange.admitted.gap_target.mul_f64(IDLE_TIMEOUT_GAPS).max(MIN_IDLE_TIMEOUT);
    let memory = HeldMemory::new(exchange.context.clone());
    let mut relay = Relay {
        exchange,
        source: Some(Source { body, connection, head }),
        splitter: Splitter::default(),
        memory,
        position,
        idle_timeout,
        buffered: Vec::new(),
        is_out_of_order: false,
        awaits_continuation: false,
    };
    match relay.read_events(timeout).await {
        Ok(Progress::Events | Progress::Ended) => Ok(StartedStream { status, headers, relay }),
        Err(outcome) => Err((Box::new(relay.exchange), outcome)),
    }
}

impl Relay {
    /// Returns the next events, `None` at the end of the stream, or an error if the stream broke and
    /// cannot be resumed.
    pub(crate) async fn next(&mut self) -> Option<io::Result<Bytes>> {
        while self.buffered.is_empty() {
            self.source.as_ref()?;
            let outcome = match self.read_events(self.idle_timeout).await {
                Ok(Progress::Events) => continue,
                Ok(Progress::Ended) => break,
                Err(outcome) => outcome,
            };
            self.source = None;
            if let Err(reason) = self.resume(outcome).await {
                return Some(Err(self.on_broken_stream(reason)));
            }
        }
        let events = std::mem::take(&mut self.buffered);
        (!events.is_empty()).then(|| Ok(events.into()))
    }

    /// Reads until an event is complete or the stream ends. `timeout` applies to the whole event.
    async fn read_events(&mut self, timeout: Duration) -> Result<Progress, Outcome> {
        let mut silent_at = self.exchange.context.now().saturating_add(timeout);
        loop {
            // A frame that is always ready must not keep the clock from being read.
            self.exchange.check_progress(&mut silent_at)?;
            if self.buffer_events()? {
                self.exchange.on_first_event();
                return Ok(Progress::Events);
            }
            let Some(source) = &mut self.source else { return Err(Outcome::Broken) };
            match self.exchange.wait(source.body.frame(), &mut silent_at).await? {
                Some(Err(_)) => return Err(Outcome::Broken),
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.splitter.push(data);
                    }
                }
                None if self.splitter.has_partial_event() => return Err(Outcome::Broken),
                // An endpoint that takes up a broken stream has at least one event left.
                None if self.awaits_continuation => return Err(Outcome::Failed),
                None => {
                    self.buffered.extend(self.splitter.take_rest());
                    self.finish();
                    return Ok(Progress::Ended);
                }
            }
        }
    }

    fn buffer_events(&mut self) -> Result<bool, Outcome> {
        let len_before = self.buffered.len();
        while !self.is_out_of_order {
            match self.splitter.next() {
                Ok(None) => break,
                Ok(Some(event)) if self.position.advance(event.id).is_ok() => {
                    self.buffered.extend_from_slice(&event.bytes);
                }
                Ok(Some(_)) | Err(_) => self.is_out_of_order = true,
            }
        }
        if !self.memory.resize(self.splitter.held_bytes()) {
            info!(self.exchange.context.logger, "event of a stream too long";
                "request" => &self.exchange.admitted.attempt_id,
                "endpoint" => self.exchange.admitted.tried.last(),
                "bytes" => self.splitter.held_bytes());
            self.is_out_of_order = true;
        }
        if !self.position.is_resumable() {
            self.exchange.admitted.forbid_further_attempts();
        }
        let has_events = self.buffered.len() > len_before;
        if self.is_out_of_order && !has_events {
            return Err(Outcome::Broken);
        }
        self.awaits_continuation &= !has_events;
        Ok(has_events)
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            self.exchange.return_connection(source.connection, &source.head);
        }
        self.exchange.succeed();
    }

    async fn resume(&mut self, mut outcome: Outcome) -> Result<(), GiveUpReason> {
        self.splitter = Splitter::default();
        self.is_out_of_order = false;
        self.awaits_continuation = true;
        self.position.on_resumed();
        let last_event_id = self.position.last();
        loop {
            self.exchange.fail(outcome)?;
            let answer = self.exchange.send_until_answered(last_event_id).await?;
            if answer.head.is_event_stream && answer.status == StatusCode::OK {
                info!(self.exchange.context.logger, "stream continued";
                    "request" => &self.exchange.admitted.attempt_id, "after_event" => last_event_id,
                    "endpoint" => self.exchange.admitted.tried.last());
                let Answer { head, body, connection, .. } = answer;
                self.source = Some(Source { body, connection, head });
                return Ok(());
            }
            outcome = Outcome::Failed;
        }
    }

    fn on_broken_stream(&self, reason: GiveUpReason) -> io::Error {
        let admitted = &self.exchange.admitted;
        let context = &self.exchange.context;
        let age = context.now().saturating_sub(admitted.arrived_at);
        metrics::counter!("gateway_streams_broken_off_total").increment(1);
        info!(context.logger, "stream broken off";
            "request" => &admitted.attempt_id, "route" => &admitted.route,
            "reason" => ?reason, "last_event" => self.position.last(),
            "runs" => admitted.possible_runs, "tried" => admitted.tried.join(","),
            "age_ms" => logger::as_ms(age));
        io::Error::other("the stream broke and cannot be resumed")
    }
}
