//! Answers held by other nodes.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::Response;
use rhubarbrock::action;
use rhubarbrock_schema::peer;

use crate::{answer, body, gate, openai, peer_client, problem, streaming};

/// Longest time one question waits for new text.
const WAIT: Duration = Duration::from_millis(1_000);

/// Rounds of asking all nodes before the request counts as unknown.
const ROUNDS: u32 = 8;

/// Pause between rounds, while an adopter may still be taking over.
const ROUND_PAUSE: Duration = Duration::from_millis(400);

/// The answer of `wanted`, read from the node that holds it.
pub async fn answer(
    peers: &peer_client::PeerClient,
    wanted: &gate::Relay,
    as_events: bool,
) -> Result<Response<Body>, action::Refusal> {
    let mut reader = Reader {
        peers: peers.clone(),
        request: wanted.request.to_string(),
        organisation: wanted.organisation.clone(),
        nodes: wanted.nodes.clone(),
        offset: wanted.offset,
    };
    let Some(first) = reader.read().await else { return Err(unknown()) };
    let Some(head) = first.head else { return Err(unknown()) };
    if head.streamed || as_events {
        let start = wanted.offset;
        return Ok(events(reader, head, first.part, start));
    }
    let mut text = first.part.chunks.concat();
    let mut finish = first.part.finish;
    while finish.is_none() {
        let Some(next) = reader.read().await else { return Err(lost(&head)) };
        text.push_str(&next.part.chunks.concat());
        finish = next.part.finish;
    }
    streaming::whole_response(&head, &text, &finish.unwrap_or_default())
}

fn unknown() -> action::Refusal {
    problem::not_run(action::RefusalKind::NotFound, "there is no request of this id")
}

fn lost(head: &answer::Head) -> action::Refusal {
    action::Refusal {
        kind: action::RefusalKind::Unavailable,
        detail: "the node that holds the request cannot be reached now".to_owned(),
        outcome: action::Outcome::InDoubt,
        retry_after: Some(Duration::from_secs(1)),
        request: Some(head.request),
    }
}

struct EventState {
    reader: Reader,
    writer: openai::EventWriter,
    ready: Option<answer::Part>,
    start: u64,
    is_ended: bool,
}

fn events(reader: Reader, head: answer::Head, first: answer::Part, start: u64) -> Response<Body> {
    let head = Arc::new(head);
    let mut response = streaming::events_response(&head);
    let writer = openai::EventWriter::new(head);
    let state = EventState { reader, writer, ready: Some(first), start, is_ended: false };
    *response.body_mut() = body::stream(stream::unfold(state, next_piece));
    response
}

async fn next_piece(mut state: EventState) -> Option<(io::Result<Bytes>, EventState)> {
    if state.is_ended {
        return None;
    }
    let part = match state.ready.take() {
        Some(part) => part,
        None => match state.reader.read().await {
            Some(found) => found.part,
            None => {
                state.is_ended = true;
                return Some((Err(io::ErrorKind::ConnectionReset.into()), state));
            }
        },
    };
    let piece = state.writer.part(state.start, &part);
    state.start = part.next_offset;
    state.is_ended = part.finish.is_some();
    Some((Ok(piece), state))
}

struct Reader {
    peers: peer_client::PeerClient,
    request: String,
    organisation: String,
    nodes: Vec<action::PeerAddress>,
    offset: u64,
}

struct Found {
    head: Option<answer::Head>,
    part: answer::Part,
}

impl Reader {
    /// Text past the offset, or the end; `None` where no node knows the request.
    async fn read(&mut self) -> Option<Found> {
        for _ in 0..ROUNDS {
            for index in 0..self.nodes.len() {
                let Some(reply) = self.ask(self.nodes[index]).await else { continue };
                if reply.state() == peer::FindState::Held {
                    self.nodes.swap(0, index);
                    return Some(self.take(reply));
                }
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
        None
    }

    async fn ask(&self, node: action::PeerAddress) -> Option<peer::FindReply> {
        let call = peer::FindCall {
            request: self.request.clone(),
            organisation: self.organisation.clone(),
            offset: self.offset,
            wait_ms: WAIT.as_millis() as u32,
        };
        self.peers.find(node.address, call).await.ok()
    }

    fn take(&mut self, reply: peer::FindReply) -> Found {
        let head = reply.record.as_ref().and_then(head);
        let chunks = answer::split_chunks(&reply.text, &reply.chunk_bytes);
        self.offset += reply.text.len() as u64;
        let part = answer::Part { chunks, finish: reply.finish, next_offset: self.offset };
        Found { head, part }
    }
}

/// What never changes of the request's answer.
pub fn head(record: &peer::RequestRecord) -> Option<answer::Head> {
    Some(answer::Head {
        request: record.request.parse().ok()?,
        organisation: record.organisation.clone(),
        service: record.service.clone(),
        is_chat: record.path == openai::CHAT_PATH,
        streamed: record.streamed,
        stream_usage: record.stream_usage,
        created_s: record.created_s,
    })
}
