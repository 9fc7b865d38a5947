//! Responses with the answers to model requests, as server-sent events or as one JSON body.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::{HeaderValue, Response, header};
use rhubarbrock::action;
use rhubarbrock_schema::peer;

use crate::{answer, body, openai, problem, reader};

/// Content type of server-sent events.
pub const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// `Retry-After` if no node that holds the request can be reached.
const HOLDER_RETRY_DELAY: Duration = Duration::from_secs(1);

struct EventState {
    reader: reader::Reader,
    metadata: Arc<answer::Metadata>,
    writer: openai::EventWriter,
    is_finished: bool,
}

/// Response that streams the answer as server-sent events while it is generated.
pub fn stream_response(metadata: answer::Metadata, reader: reader::Reader) -> Response<Body> {
    let metadata = Arc::new(metadata);
    let mut response = Response::new(body::full(Bytes::new()));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(EVENT_STREAM_TYPE));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    insert_request(headers, &metadata);
    let writer = openai::EventWriter::new(Arc::clone(&metadata));
    let state = EventState { reader, metadata, writer, is_finished: false };
    *response.body_mut() = body::stream(stream::unfold(state, next_piece));
    response
}

async fn next_piece(mut state: EventState) -> Option<(io::Result<Bytes>, EventState)> {
    if state.is_finished {
        state.reader.report_delivered(state.metadata.request);
        return None;
    }
    let start = state.reader.offset();
    match state.reader.read().await {
        Ok(part) => {
            let piece = state.writer.part_events(start, &part);
            state.is_finished = part.finish.is_some();
            Some((Ok(piece), state))
        }
        Err(unreachable) => {
            state.is_finished = true;
            Some((Err(io::Error::other(unreachable)), state))
        }
    }
}

/// Waits for the end of the answer and returns it as one JSON body.
///
/// Fails if the request failed or if no node that holds it can be reached.
pub async fn full_response(
    metadata: &answer::Metadata,
    mut reader: reader::Reader,
) -> Result<Response<Body>, action::Refusal> {
    let mut text = String::new();
    loop {
        let part =
            reader.read().await.map_err(|unreachable| holder_unreachable(metadata, unreachable))?;
        text.push_str(&part.chunks.concat());
        if let Some(finish) = part.finish {
            return json_response(metadata, &text, &finish);
        }
    }
}

fn holder_unreachable(
    metadata: &answer::Metadata,
    unreachable: reader::HolderUnreachable,
) -> action::Refusal {
    action::Refusal {
        kind: action::RefusalKind::Unavailable,
        detail: unreachable.to_string(),
        outcome: action::Outcome::InDoubt,
        retry_after: Some(HOLDER_RETRY_DELAY),
        request: Some(metadata.request),
    }
}

fn json_response(
    metadata: &answer::Metadata,
    text: &str,
    finish: &peer::Finish,
) -> Result<Response<Body>, action::Refusal> {
    if !finish.error.is_empty() {
        return Err(action::Refusal {
            kind: action::RefusalKind::Failed,
            detail: finish.error.clone(),
            outcome: action::Outcome::InDoubt,
            retry_after: None,
            request: Some(metadata.request),
        });
    }
    let mut response = Response::new(body::full(openai::full_answer(metadata, text, finish)));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    insert_request(headers, metadata);
    Ok(response)
}

fn insert_request(headers: &mut http::HeaderMap, metadata: &answer::Metadata) {
    if let Ok(value) = HeaderValue::from_str(&metadata.request.to_string()) {
        headers.insert(problem::REQUEST_ID_HEADER, value);
    }
}
