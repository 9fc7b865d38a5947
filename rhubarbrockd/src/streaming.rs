//! Answers to model requests, as server-sent events or as a whole.

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
pub const EVENTS_TYPE: &str = "text/event-stream";

/// Time after which a caller should ask again where its answer's holder was lost.
const HOLDER_RETRY: Duration = Duration::from_secs(1);

struct EventState {
    reader: reader::Reader,
    head: Arc<answer::Head>,
    writer: openai::EventWriter,
    is_ended: bool,
}

/// The answer as events while it grows.
pub fn events(head: answer::Head, reader: reader::Reader) -> Response<Body> {
    let head = Arc::new(head);
    let mut response = Response::new(body::full(Bytes::new()));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(EVENTS_TYPE));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    insert_request(headers, &head);
    let writer = openai::EventWriter::new(Arc::clone(&head));
    let state = EventState { reader, head, writer, is_ended: false };
    *response.body_mut() = body::stream(stream::unfold(state, next_piece));
    response
}

async fn next_piece(mut state: EventState) -> Option<(io::Result<Bytes>, EventState)> {
    if state.is_ended {
        state.reader.taken(state.head.request);
        return None;
    }
    let start = state.reader.offset();
    match state.reader.read().await {
        Ok(part) => {
            let piece = state.writer.part(start, &part);
            state.is_ended = part.finish.is_some();
            Some((Ok(piece), state))
        }
        Err(lost) => {
            state.is_ended = true;
            Some((Err(io::Error::other(lost)), state))
        }
    }
}

/// The answer as one body, once it has ended.
pub async fn whole(
    head: &answer::Head,
    mut reader: reader::Reader,
) -> Result<Response<Body>, action::Refusal> {
    let mut text = String::new();
    loop {
        let part = reader.read().await.map_err(|lost| holder_lost(head, lost))?;
        text.push_str(&part.chunks.concat());
        if let Some(finish) = part.finish {
            return whole_response(head, &text, &finish);
        }
    }
}

fn holder_lost(head: &answer::Head, lost: reader::HolderLost) -> action::Refusal {
    action::Refusal {
        kind: action::RefusalKind::Unavailable,
        detail: lost.to_string(),
        outcome: action::Outcome::InDoubt,
        retry_after: Some(HOLDER_RETRY),
        request: Some(head.request),
    }
}

fn whole_response(
    head: &answer::Head,
    text: &str,
    finish: &peer::Finish,
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
