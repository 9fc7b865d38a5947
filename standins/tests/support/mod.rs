//! HTTP calls to stand-ins over real sockets.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, StatusCode};
use serde_json::Value;
use standins::http;
use tokio::net::TcpListener;

/// Maximum duration of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// A listener on a free port.
pub(crate) async fn listen() -> (TcpListener, SocketAddr) {
    let listener = http::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Response to a call.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Value,
}

/// Calls `path` with the given headers; `None` if the connection closes before the end of the
/// response.
pub(crate) async fn call_with(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Value,
) -> Option<Reply> {
    let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let bytes = if body.is_null() { Bytes::new() } else { Bytes::from(body.to_string()) };
    let request = request.body(Full::new(bytes)).unwrap();
    let client = http::client();
    let called = tokio::time::timeout(CALL_TIMEOUT, client.request(request)).await;
    let response = called.expect("call ends within the time-out").ok()?;
    let status = response.status();
    let headers = response.headers().clone();
    let bytes = response.into_body().collect().await.ok()?.to_bytes();
    let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
    Some(Reply { status, headers, body })
}

/// Calls `path`; `None` if the connection closes before the end of the response.
pub(crate) async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: Value,
) -> Option<Reply> {
    call_with(address, method, path, &[], body).await
}
