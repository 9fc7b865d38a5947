//! Sends a streamed request and measures its times.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// A client that reuses connections.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Destination of requests.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    /// Address of the node or engine.
    pub(crate) address: SocketAddr,
    /// Bearer key.
    pub(crate) key: String,
    /// Value of `model`.
    pub(crate) model: String,
}

/// Times of one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Times {
    /// From sending to the first chunk with text.
    pub(crate) first_token: Duration,
    /// From sending to the end of the answer.
    pub(crate) total: Duration,
}

/// Creates a client with `TCP_NODELAY` set.
pub(crate) fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// Sends one request and reads its answer to the end.
///
/// # Errors
///
/// Fails if the request fails, the status is not a success, or the answer is truncated or has no
/// text.
pub(crate) async fn send_request(
    client: &HttpClient,
    target: &Target,
    prompt: &str,
    max_tokens: u32,
) -> anyhow::Result<Times> {
    let body = serde_json::json!({
        "model": target.model,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": max_tokens,
        "stream": true,
    });
    let request = http::Request::post(format!("http://{}/v1/chat/completions", target.address))
        .header(http::header::AUTHORIZATION, format!("Bearer {}", target.key))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body.to_string())))?;
    let started = Instant::now();
    let response = client.request(request).await?;
    ensure!(
        response.status().is_success(),
        "expected a success status from {1}, got {0}",
        response.status(),
        target.address
    );
    let mut answer = response.into_body();
    let mut text = Vec::new();
    let mut first_token = None;
    while let Some(frame) = answer.frame().await {
        if let Ok(data) = frame?.into_data() {
            text.extend_from_slice(&data);
        }
        if first_token.is_none() && has_content(&text) {
            first_token = Some(started.elapsed());
        }
    }
    ensure!(
        text.ends_with(b"data: [DONE]\n\n"),
        "answer from {} truncated: expected a final `data: [DONE]`",
        target.address
    );
    let first_token = first_token.context("answer contains no text")?;
    Ok(Times { first_token, total: started.elapsed() })
}

/// Whether a chunk contains text; the first chunk of a stream contains only the role.
fn has_content(stream: &[u8]) -> bool {
    let stream = String::from_utf8_lossy(stream);
    let mut parts = stream.split("\"content\":\"");
    parts.next();
    parts.any(|part| !part.starts_with('"') && !part.is_empty())
}
