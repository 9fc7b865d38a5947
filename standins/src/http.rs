//! HTTP helpers that the stand-ins share.

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

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Pause after a failed accept, such as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time between looks at a fault that keeps a call from going on.
const FROZEN_POLL: Duration = Duration::from_millis(10);

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;
/// Answer to a call; the error cuts the connection without one.
pub type HandlerResult = Result<Response<Body>, ConnectionCut>;
/// What answers the calls of one listener.
pub type Handler =
    Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, HandlerResult> + Send + Sync>;
/// Client for calls between stand-ins.
pub type Client = legacy::Client<HttpConnector, Full<Bytes>>;

/// The connection is cut without an answer.
#[derive(Debug, Clone, Copy, derive_more::Display, derive_more::Error)]
#[display("connection cut on purpose")]
pub struct ConnectionCut;

/// Binds `address`; the error names it.
pub async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("cannot listen on {address}"))
}

/// Serves calls until `stop` changes, then drops the listener and all connections.
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
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
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

/// Waits for as long as `is_frozen` holds.
pub async fn wait_while(is_frozen: impl Fn() -> bool) {
    while is_frozen() {
        tokio::time::sleep(FROZEN_POLL).await;
    }
}

/// Bytes as a body.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed_unsync()
}

/// JSON answer.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("plain values serialise");
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Answer without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// JSON answer that says what is wrong.
pub fn error_response(status: StatusCode, message: &str) -> Response<Body> {
    json(status, &serde_json::json!({ "error": { "message": message } }))
}

/// The response with a header added.
pub fn with_header(
    mut response: Response<Body>,
    name: &'static str,
    value: &'static str,
) -> Response<Body> {
    let name = HeaderName::from_static(name);
    response.headers_mut().insert(name, HeaderValue::from_static(value));
    response
}

/// Reads a whole body; the error is the answer to give.
pub async fn read_body(body: Incoming) -> Result<Bytes, Response<Body>> {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(_) => {
            Err(error_response(StatusCode::PAYLOAD_TOO_LARGE, "body is too large or incomplete"))
        }
    }
}

/// Reads a JSON body; the error is the answer to give.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, Response<Body>> {
    let bytes = read_body(body).await?;
    serde_json::from_slice(&bytes).map_err(|e| invalid_body_response(&e))
}

/// Answer to a body that is not as expected.
pub fn invalid_body_response(problem: &serde_json::Error) -> Response<Body> {
    error_response(StatusCode::BAD_REQUEST, &format!("body is not as expected: {problem}"))
}

/// Segments of the path without leading slash.
pub fn segments(path: &str) -> Vec<&str> {
    path.trim_start_matches('/').split('/').collect()
}

/// Number in the query under `name`, or `default` where it is missing or no number.
pub fn query_number(query: Option<&str>, name: &str, default: u64) -> u64 {
    let pairs = query.unwrap_or("").split('&').filter_map(|pair| pair.split_once('='));
    let found: HashMap<&str, &str> = pairs.collect();
    found.get(name).and_then(|value| value.parse().ok()).unwrap_or(default)
}

/// Text of a header, empty where it is missing.
pub fn header(request: &Request<Incoming>, name: &str) -> String {
    let value = request.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or("").to_owned()
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A client with its own connections.
pub fn client() -> Client {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_secs(2)));
    legacy::Client::builder(TokioExecutor::new()).build(connector)
}

/// Calls `url` with a JSON body (none where `body` is empty) and returns status and body.
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

/// `current` with the fields of the object `change` laid over it.
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
