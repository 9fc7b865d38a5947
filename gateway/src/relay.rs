//! Event streams on their way to a caller.

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
use tokio::time;

use crate::exchange::{Answer, Exchange, GiveUp};
use crate::logger;
use crate::pool::Connection;

/// Silence, in targets of the pause between events, after which a stream is continued
/// elsewhere; callers leave after eight.
const SILENT_GAPS: f64 = 5.0;

/// Shortest such silence: callers leave after two seconds.
const MIN_SILENCE: Duration = Duration::from_millis(1_200);

/// A stream whose first events are there.
pub(crate) struct Stream {
    /// Status of the first endpoint's answer.
    pub(crate) status: StatusCode,
    /// Headers of the first endpoint's answer.
    pub(crate) headers: HeaderMap,
    /// The stream itself.
    pub(crate) relay: Relay,
}

/// Reads a stream and continues it at other endpoints where it breaks.
pub(crate) struct Relay {
    exchange: Exchange,
    source: Option<Source>,
    splitter: Splitter,
    position: Position,
    silence: Duration,
    /// Events that wait to be passed on.
    ready: Vec<u8>,
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

/// Waits for the first event of an answer that is a stream. On an error the attempt has
/// failed, and the exchange is given back for another.
pub(crate) async fn start(
    exchange: Exchange,
    answer: Answer,
) -> Result<Stream, (Box<Exchange>, Outcome)> {
    let Answer { status, headers, head, body, connection } = answer;
    let position = Position::after(exchange.outgoing.last_event_id);
    let patience = exchange.patience(exchange.context.now());
    let silence = exchange.ticket.gap_target.mul_f64(SILENT_GAPS).max(MIN_SILENCE);
    let mut relay = Relay {
        exchange,
        source: Some(Source { body, connection, head }),
        splitter: Splitter::default(),
        position,
        silence,
        ready: Vec::new(),
    };
    match relay.advance(patience).await {
        Ok(Progress::Events | Progress::Ended) => Ok(Stream { status, headers, relay }),
        Err(outcome) => Err((Box::new(relay.exchange), outcome)),
    }
}

impl Relay {
    /// The next events, none at the stream's end, or an error if it cannot be finished.
    pub(crate) async fn next(&mut self) -> Option<io::Result<Bytes>> {
        while self.ready.is_empty() {
            self.source.as_ref()?;
            let outcome = match self.advance(self.silence).await {
                Ok(Progress::Events) => continue,
                Ok(Progress::Ended) => break,
                Err(outcome) => outcome,
            };
            self.source = None;
            if let Err(reason) = self.resume(outcome).await {
                return Some(Err(self.broken_off(reason)));
            }
        }
        let events = std::mem::take(&mut self.ready);
        (!events.is_empty()).then(|| Ok(events.into()))
    }

    /// Reads until there is an event or the end.
    async fn advance(&mut self, patience: Duration) -> Result<Progress, Outcome> {
        loop {
            if self.take_events()? {
                self.exchange.on_first_event();
                return Ok(Progress::Events);
            }
            let Some(source) = &mut self.source else { return Err(Outcome::Broken) };
            let time_left = self.exchange.ticket.time_left(self.exchange.context.now());
            match time::timeout(patience.min(time_left), source.body.frame()).await {
                Err(_) => return Err(Outcome::TimedOut),
                Ok(Some(Err(_))) => return Err(Outcome::Broken),
                Ok(Some(Ok(frame))) => {
                    if let Some(data) = frame.data_ref() {
                        self.splitter.push(data);
                    }
                }
                Ok(None) if self.splitter.has_partial_event() => return Err(Outcome::Broken),
                Ok(None) => {
                    self.finish();
                    return Ok(Progress::Ended);
                }
            }
        }
    }

    fn take_events(&mut self) -> Result<bool, Outcome> {
        let had = self.ready.len();
        loop {
            let event = self.splitter.next().map_err(|_| Outcome::Broken)?;
            let Some(event) = event else { break };
            if self.position.advance(event.id).is_err() {
                return if self.ready.len() > had { Ok(true) } else { Err(Outcome::Broken) };
            }
            self.ready.extend_from_slice(&event.bytes);
        }
        Ok(self.ready.len() > had)
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            self.exchange.give_back(source.connection, &source.head);
        }
        self.exchange.succeed();
    }

    async fn resume(&mut self, outcome: Outcome) -> Result<(), GiveUp> {
        self.exchange.fail(outcome)?;
        self.splitter = Splitter::default();
        let last = self.position.last();
        let answer = self.exchange.answer(last).await?;
        if !answer.head.is_event_stream || answer.status != StatusCode::OK {
            return self.exchange.fail(Outcome::Failed).and(Err(GiveUp::Failed(Outcome::Failed)));
        }
        info!(self.exchange.context.logger, "stream continued";
            "request" => &self.exchange.ticket.attempt_id, "after_event" => last,
            "endpoint" => self.exchange.ticket.tried.last());
        let Answer { head, body, connection, .. } = answer;
        self.source = Some(Source { body, connection, head });
        Ok(())
    }

    fn broken_off(&self, reason: GiveUp) -> io::Error {
        let ticket = &self.exchange.ticket;
        let context = &self.exchange.context;
        let age = context.now().saturating_sub(ticket.arrived_at);
        metrics::counter!("gateway_streams_broken_off_total").increment(1);
        info!(context.logger, "stream broken off";
            "request" => &ticket.attempt_id, "route" => &ticket.route,
            "reason" => ?reason, "last_event" => self.position.last(),
            "runs" => ticket.possible_runs, "tried" => ticket.tried.join(","),
            "age_ms" => logger::ms(age));
        io::Error::other("the stream cannot be finished")
    }
}
