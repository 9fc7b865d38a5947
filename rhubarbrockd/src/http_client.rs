//! HTTP client for endpoints and the platform.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{self, Client};
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Maximum number of idle connections kept to one address.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Client with a pool of connections.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Reason why a call has no answer.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// The connection failed before any byte of the request was sent.
    #[display("not sent: {message}")]
    NotSent {
        /// Description of the error.
        message: String,
    },
    /// The request was or may have been sent, but no complete answer was received.
    #[display("no answer: {message}")]
    Unknown {
        /// Description of the error.
        message: String,
    },
}

/// Complete answer.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: http::StatusCode,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Creates a client. `connect_timeout` limits the TCP handshake.
pub fn new(connect_timeout: Duration) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(connect_timeout));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .retry_canceled_requests(false)
        .build(connector)
}

/// Sends a request and returns the response head; the body is read from the returned value.
///
/// Has no time limit other than that for connecting.
pub async fn send(
    client: &HttpClient,
    request: http::Request<Full<Bytes>>,
) -> Result<http::Response<hyper::body::Incoming>, CallError> {
    client.request(request).await.map_err(call_error)
}

/// Sends a request and reads the whole answer.
///
/// Fails if that takes longer than `timeout` or if the body is larger than `max_body_bytes`.
pub async fn call(
    client: &HttpClient,
    request: http::Request<Full<Bytes>>,
    timeout: Duration,
    max_body_bytes: usize,
) -> Result<Answer, CallError> {
    let full_answer = async {
        let (parts, body) = send(client, request).await?.into_parts();
        let collected = Limited::new(body, max_body_bytes)
            .collect()
            .await
            .map_err(|error| CallError::Unknown { message: error.to_string() })?;
        let body = collected.to_bytes();
        Ok(Answer { status: parts.status, headers: parts.headers, body })
    };
    match tokio::time::timeout(timeout, full_answer).await {
        Ok(answered) => answered,
        Err(_) => Err(CallError::Unknown {
            message: format!("no whole answer in {} ms", timeout.as_millis()),
        }),
    }
}

/// Classifies an error: only if connecting failed is it certain that nothing was sent.
fn call_error(error: legacy::Error) -> CallError {
    let message = with_causes(&error);
    if error.is_connect() { CallError::NotSent { message } } else { CallError::Unknown { message } }
}

fn with_causes(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
