//! One streamed request and its times.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// A client that keeps connections.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Where requests go.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    /// Address.
    pub(crate) address: SocketAddr,
    /// Bearer key.
    pub(crate) key: String,
    /// Value of `model`.
    pub(crate) model: String,
}

/// Times of one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Times {
    /// Until the first chunk with text.
    pub(crate) first_token: Duration,
    /// Until the end of the answer.
    pub(crate) whole: Duration,
}

/// A client for many requests.
pub(crate) fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// Sends one request and reads its answer to the end.
pub(crate) async fn ask(
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
    ensure!(response.status().is_success(), "{} from {}", response.status(), target.address);
    let mut answer = response.into_body();
    let mut text = Vec::new();
    let mut first_token = None;
    while let Some(frame) = answer.frame().await {
        if let Ok(data) = frame?.into_data() {
            text.extend_from_slice(&data);
        }
        if first_token.is_none() && has_text(&text) {
            first_token = Some(started.elapsed());
        }
    }
    ensure!(text.ends_with(b"data: [DONE]\n\n"), "the answer of {} is cut", target.address);
    let first_token = first_token.context("an answer without text")?;
    Ok(Times { first_token, whole: started.elapsed() })
}

/// Whether some chunk carries text; the first one of a stream carries only the role.
fn has_text(stream: &[u8]) -> bool {
    let stream = String::from_utf8_lossy(stream);
    let mut parts = stream.split("\"content\":\"");
    parts.next();
    parts.any(|part| !part.starts_with('"') && !part.is_empty())
}
