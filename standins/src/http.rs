//! HTTP server, client and body helpers shared by the stand-ins.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::Context;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::{BodyExt, Full, Limited, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::{self, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use serde::Serialize;
use serde::de::{DeserializeOwned, Error};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Delay after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time between checks whether a fault still blocks a call.
const FROZEN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;
/// Response to a call; the error closes the connection without one.
pub type HandlerResult = Result<Response<Body>, ConnectionCut>;
/// Handler of the calls to one listener.
pub type Handler =
    Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, HandlerResult> + Send + Sync>;
/// Client for calls between stand-ins.
pub type Client = legacy::Client<HttpConnector, Full<Bytes>>;

/// The connection is to be closed without a response.
#[derive(Debug, Clone, Copy, derive_more::Display, derive_more::Error)]
#[display("connection closed without a response")]
pub struct ConnectionCut;

/// Binds a listener to `address`.
pub async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("cannot listen on {address}"))
}

/// Serves calls until `stop` changes, then closes the listener and all connections.
pub async fn serve(listener: TcpListener, handler: Handler, mut stop: watch::Receiver<u64>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.changed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, handler.clone(), stop.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection(stream: TcpStream, handler: Handler, mut stop: watch::Receiver<u64>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| handler(request));
    let builder = auto::Builder::new(TokioExecutor::new());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        _ = stop.changed() => {}
    }
}

/// Waits while `is_frozen` returns true.
pub async fn wait_while(is_frozen: impl Fn() -> bool) {
    while is_frozen() {
        tokio::time::sleep(FROZEN_POLL_INTERVAL).await;
    }
}

/// Body with these bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed_unsync()
}

/// Response with `value` as JSON.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("value serialises to JSON");
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Response without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// JSON response with an error message.
pub fn error_response(status: StatusCode, message: &str) -> Response<Body> {
    json(status, &serde_json::json!({ "error": { "message": message } }))
}

/// Adds a header to a response.
pub fn with_header(
    mut response: Response<Body>,
    name: &'static str,
    value: &'static str,
) -> Response<Body> {
    let name = HeaderName::from_static(name);
    response.headers_mut().insert(name, HeaderValue::from_static(value));
    response
}

/// Reads a whole body; the error is the response to send.
pub async fn read_body(body: Incoming) -> Result<Bytes, Response<Body>> {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(_) => {
            Err(error_response(StatusCode::PAYLOAD_TOO_LARGE, "body is too large or incomplete"))
        }
    }
}

/// Reads a JSON body; the error is the response to send.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, Response<Body>> {
    let bytes = read_body(body).await?;
    serde_json::from_slice(&bytes).map_err(|e| invalid_body_response(&e))
}

/// Response with status 400 to a body that does not parse.
pub fn invalid_body_response(problem: &serde_json::Error) -> Response<Body> {
    error_response(StatusCode::BAD_REQUEST, &format!("body is not as expected: {problem}"))
}

/// Segments of a path, without leading slashes.
pub fn segments(path: &str) -> Vec<&str> {
    path.trim_start_matches('/').split('/').collect()
}

/// Value of the query parameter `name`; `default` if it is absent or not an unsigned integer.
pub fn query_number(query: Option<&str>, name: &str, default: u64) -> u64 {
    let pairs = query.unwrap_or("").split('&').filter_map(|pair| pair.split_once('='));
    let found: HashMap<&str, &str> = pairs.collect();
    found.get(name).and_then(|value| value.parse().ok()).unwrap_or(default)
}

/// Value of a header; empty if it is absent or not visible ASCII.
pub fn header(request: &Request<Incoming>, name: &str) -> String {
    let value = request.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or("").to_owned()
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A client with its own connection pool. Connecting times out after 2 s; responses have no
/// time-out.
pub fn client() -> Client {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_secs(2)));
    legacy::Client::builder(TokioExecutor::new()).build(connector)
}

/// Calls `url` with a JSON body (no body if `body` is empty); returns status and body of the
/// response, whatever the status is. Fails if the connection does.
pub async fn call(
    client: &Client,
    method: Method,
    url: &str,
    body: Bytes,
) -> anyhow::Result<(StatusCode, Bytes)> {
    let request = Request::builder()
        .method(method)
        .uri(url)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))?;
    let response = client.request(request).await.with_context(|| format!("cannot call {url}"))?;
    let status = response.status();
    let bytes = response.into_body().collect().await?.to_bytes();
    Ok((status, bytes))
}

/// Returns `current` with the fields in the JSON object `change` replaced.
pub fn merge_fields<T: Serialize + DeserializeOwned>(
    current: &T,
    change: serde_json::Value,
) -> serde_json::Result<T> {
    let mut merged = serde_json::to_value(current)?;
    let (Some(fields), serde_json::Value::Object(change)) = (merged.as_object_mut(), change) else {
        return Err(serde_json::Error::custom("expected a JSON object"));
    };
    fields.extend(change);
    serde_json::from_value(merged)
}
