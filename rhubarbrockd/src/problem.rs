//! Error responses: `application/problem+json` with the outcome of the call.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use rhubarbrock::action;
use serde::Serialize;

use crate::body;

/// Header with the id of the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Content type of error responses.
const CONTENT_TYPE: &str = "application/problem+json";

#[derive(Serialize)]
struct Problem<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    outcome: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<String>,
    /// Error in the form that OpenAI clients read.
    error: OpenAiError<'a>,
}

#[derive(Serialize)]
struct OpenAiError<'a> {
    message: &'a str,
    r#type: &'a str,
    code: String,
}

/// Response to a call that is refused.
pub fn response(refusal: &action::Refusal) -> Response<body::Body> {
    let status =
        StatusCode::from_u16(refusal.kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let problem = Problem {
        r#type: format!("urn:rhubarbrock:{}", refusal.kind),
        title: status.canonical_reason().unwrap_or("Error"),
        status: status.as_u16(),
        detail: &refusal.detail,
        outcome: refusal.outcome.to_string(),
        request: refusal.request.map(|request| request.to_string()),
        error: OpenAiError {
            message: &refusal.detail,
            r#type: if status.is_client_error() { "invalid_request_error" } else { "server_error" },
            code: refusal.kind.to_string(),
        },
    };
    let text = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = Response::new(body::full(text));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(CONTENT_TYPE));
    headers.insert("x-outcome", header_value(&refusal.outcome.to_string()));
    if let Some(retry_after) = refusal.retry_after {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(ceil_seconds(retry_after)));
    }
    if let Some(request) = refusal.request {
        headers.insert(REQUEST_ID_HEADER, header_value(&request.to_string()));
    }
    if status == StatusCode::UNAUTHORIZED {
        headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    response
}

/// Refusal of a call that was not accepted and has therefore not run.
pub fn not_run(kind: action::RefusalKind, detail: impl Into<String>) -> action::Refusal {
    action::Refusal {
        kind,
        detail: detail.into(),
        outcome: action::Outcome::NotRun,
        retry_after: None,
        request: None,
    }
}

/// Seconds, rounded up and at least 1.
fn ceil_seconds(duration: Duration) -> u64 {
    duration.as_millis().div_ceil(1_000).max(1) as u64
}

fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static("invalid"))
}
