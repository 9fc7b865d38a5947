//! Bodies of callers' requests, read within the limits.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use forwarding::caller_connections;
use forwarding::release::Limits;
use gotham::helpers::http::Body;
use http::{HeaderValue, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use platform::headers;
use tokio::time;

use crate::caller_limits;
use crate::open_requests::ConnectionState;

/// Minimum size of a body's buffer, in bytes.
const MIN_BUFFER_BYTES: usize = 1024;

/// Why a body was not read. Its request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum BodyError {
    #[display("the body is too long")]
    TooLong,
    #[display("the body did not come in time")]
    Late,
    #[display("the body broke off")]
    BrokenOff,
    #[display("request bodies take too much memory")]
    NoMemory,
}

impl BodyError {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::Late => StatusCode::REQUEST_TIMEOUT,
            BodyError::BrokenOff => StatusCode::BAD_REQUEST,
            BodyError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    pub(crate) fn retry_after(self) -> Option<HeaderValue> {
        let wait = caller_connections::RETRY_AFTER;
        (self == BodyError::NoMemory).then(|| headers::retry_after(wait))
    }
}

/// Reads a body completely. `time_left` is the time that its caller waits, if the caller says so.
pub(crate) async fn read(
    connection: Option<Arc<ConnectionState>>,
    body: Body,
    limits: Limits,
    time_left: Option<Duration>,
) -> Result<Bytes, BodyError> {
    let Some(connection) = connection else { return Err(BodyError::BrokenOff) };
    let timeout = time_left.unwrap_or(limits.idle_timeout).min(limits.idle_timeout);
    let reading = read_frames(&connection, body, limits.max_body_bytes);
    let outcome = tokio::select! {
        biased;
        () = connection.caller.body_refused() => Err(BodyError::NoMemory),
        outcome = time::timeout(timeout, reading) => outcome.unwrap_or(Err(BodyError::Late)),
    };
    match outcome {
        Err(BodyError::TooLong) => caller_limits::count_limit("body_length"),
        Err(BodyError::Late) => caller_limits::count_limit("body_time"),
        _ => {}
    }
    outcome
}

async fn read_frames(
    connection: &ConnectionState,
    mut body: Body,
    max_bytes: usize,
) -> Result<Bytes, BodyError> {
    let announced_bytes = body.size_hint();
    if announced_bytes.lower() > max_bytes as u64 {
        return Err(BodyError::TooLong);
    }
    let upper = announced_bytes.upper().and_then(|upper| usize::try_from(upper).ok());
    let upper = upper.map_or(max_bytes, |upper| upper.min(max_bytes));
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::BrokenOff)?.into_data() else { continue };
        let bytes = buffer.len() + data.len();
        if bytes > max_bytes {
            return Err(BodyError::TooLong);
        }
        if bytes > buffer.capacity() {
            let capacity = (2 * buffer.capacity()).max(MIN_BUFFER_BYTES).min(upper).max(bytes);
            if !connection.hold(capacity) {
                return Err(BodyError::NoMemory);
            }
            buffer.reserve_exact(capacity - buffer.len());
        }
        // Copied, as each frame refers to a larger buffer of the connection.
        buffer.extend_from_slice(&data);
    }
    // It may have yielded since the last frame.
    if connection.hold(buffer.capacity()) { Ok(buffer.into()) } else { Err(BodyError::NoMemory) }
}
