//! Answers held by this node, as server-sent events or as a whole.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::{HeaderValue, Response, header};
use rhubarbrock::action;

use crate::{answer, body, gate, openai, problem};

/// Content type of server-sent events.
pub const EVENTS_TYPE: &str = "text/event-stream";

struct Reader {
    gate: Arc<gate::Gate>,
    answer: Arc<answer::Answer>,
    writer: openai::EventWriter,
    offset: u64,
    is_ended: bool,
}

/// The answer from a byte offset on, as events while it grows.
pub fn events(gate: Arc<gate::Gate>, answer: Arc<answer::Answer>, offset: u64) -> Response<Body> {
    let head = Arc::new(answer.head.clone());
    let mut response = events_response(&head);
    let writer = openai::EventWriter::new(head);
    let reader = Reader { gate, answer, writer, offset, is_ended: false };
    *response.body_mut() = body::stream(stream::unfold(reader, next_piece));
    response
}

async fn next_piece(mut reader: Reader) -> Option<(io::Result<Bytes>, Reader)> {
    if reader.is_ended {
        reader.gate.taken(reader.answer.head.request);
        return None;
    }
    let part = reader.answer.read(reader.offset).await;
    let piece = reader.writer.part(reader.offset, &part);
    reader.offset = part.next_offset;
    reader.is_ended = part.finish.is_some();
    Some((Ok(piece), reader))
}

/// An event stream's response without its body.
pub fn events_response(head: &answer::Head) -> Response<Body> {
    let mut response = Response::new(body::full(Bytes::new()));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(EVENTS_TYPE));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    insert_request(headers, head);
    response
}

/// The answer as one body, once it has ended.
pub async fn whole(answer: &answer::Answer) -> Result<Response<Body>, action::Refusal> {
    let (text, finish) = answer.whole().await;
    whole_response(&answer.head, &text, &finish)
}

/// One body from an ended answer's text.
pub fn whole_response(
    head: &answer::Head,
    text: &str,
    finish: &rhubarbrock_schema::peer::Finish,
) -> Result<Response<Body>, action::Refusal> {
    if !finish.error.is_empty() {
        return Err(action::Refusal {
            kind: action::RefusalKind::Failed,
            detail: finish.error.clone(),
            outcome: action::Outcome::InDoubt,
            retry_after: None,
            request: Some(head.request),
        });
    }
    let mut response = Response::new(body::full(openai::whole(head, text, finish)));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    insert_request(headers, head);
    Ok(response)
}

fn insert_request(headers: &mut http::HeaderMap, head: &answer::Head) {
    if let Ok(value) = HeaderValue::from_str(&head.request.to_string()) {
        headers.insert(problem::REQUEST_ID_HEADER, value);
    }
}
