//! HTTP calls as callers make them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde_json::{Value, json};
use standins::http;
use standins::text::Answer;

use super::TIMEOUT;

/// Longest wait for a frame or a body when a failure is described.
const DESCRIBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Header with the key of the example's first organisation.
pub(crate) const KEY: (&str, &str) = ("authorization", "Bearer demo-key");
/// Header with the key of the example's second organisation.
pub(crate) const OTHER_KEY: (&str, &str) = ("authorization", "Bearer other-key");

/// A complete answer.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Reply {
    /// The body as JSON; null if it is not JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Value of a header; empty if it is missing.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    pub(crate) fn request_id(&self) -> &str {
        self.header("x-request-id")
    }

    /// The outcome in the answer's headers: `answered`, `not_run` or `in_doubt`.
    pub(crate) fn outcome(&self) -> &str {
        self.header("x-outcome")
    }
}

/// Sends a request and reads the whole answer; none if the connection is refused or lost.
pub(crate) async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Option<Reply> {
    let response = open(address, method, path, headers, body).await?;
    let (parts, body) = response.into_parts();
    let collected = tokio::time::timeout(TIMEOUT, body.collect()).await;
    let body = collected.expect("the whole body is received in time").ok()?.to_bytes();
    Some(Reply { status: parts.status, headers: parts.headers, body })
}

/// Sends a request and returns once the answer's head has come; none if the connection is refused
/// or lost.
pub(crate) async fn open(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Option<Response<Incoming>> {
    let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let bytes = if body.is_null() { Bytes::new() } else { Bytes::from(body.to_string()) };
    let request = request.body(Full::new(bytes)).expect("the request is well-formed");
    let called = tokio::time::timeout(TIMEOUT, http::client().request(request)).await;
    called.expect("the call is answered in time").ok()
}

/// Posts JSON as the first organisation.
pub(crate) async fn post(address: SocketAddr, path: &str, body: &Value) -> Option<Reply> {
    call(address, "POST", path, &[KEY, ("content-type", "application/json")], body).await
}

/// Posts an order as the first organisation, under an idempotency key.
pub(crate) async fn order(address: SocketAddr, key: &str) -> Option<Reply> {
    let headers = [KEY, ("idempotency-key", key), ("content-type", "application/json")];
    let body = json!({ "item": "gourd", "count": 12 });
    call(address, "POST", "/v1/services/order-desk/orders", &headers, &body).await
}

/// A chat request and the text that the stand-in engine answers it with.
#[derive(Debug, Clone)]
pub(crate) struct ChatRequest {
    pub(crate) body: Value,
    pub(crate) expected_text: String,
}

/// Creates a streamed chat request about `subject`, with an answer of `tokens` tokens.
pub(crate) fn chat_request(subject: &str, tokens: u32) -> ChatRequest {
    let content = format!("Write a guide about {subject}.");
    let answer = Answer::new(&format!("user\n{content}\n"), Some(tokens), 0);
    let body = json!({
        "model": "guide-writers",
        "stream": true,
        "max_tokens": tokens,
        "messages": [{ "role": "user", "content": content }],
    });
    ChatRequest { body, expected_text: answer.text(0, tokens) }
}

/// The part of a streamed answer that has been received.
#[derive(Debug, Default, Clone)]
pub(crate) struct Received {
    pub(crate) request_id: String,
    pub(crate) text: String,
    pub(crate) last_event_id: String,
    pub(crate) is_complete: bool,
}

/// A stream that is being read.
pub(crate) struct Stream {
    body: Incoming,
    buffer: String,
    pub(crate) received: Received,
}

/// Sends a streamed request to a node; none if it is refused.
pub(crate) async fn stream(node: SocketAddr, chat_request: &ChatRequest) -> Option<Stream> {
    let headers = [KEY, ("content-type", "application/json")];
    let response = open(node, "POST", "/v1/chat/completions", &headers, &chat_request.body).await?;
    Stream::from_response(response)
}

/// Attaches to a request on any node and continues after the last received event; none if the node
/// refuses.
pub(crate) async fn attach(node: SocketAddr, received: &Received) -> Option<Stream> {
    let path = format!("/v1/requests/{}", received.request_id);
    let mut headers = vec![KEY, ("accept", "text/event-stream")];
    if !received.last_event_id.is_empty() {
        headers.push(("last-event-id", &received.last_event_id));
    }
    let response = open(node, "GET", &path, &headers, &Value::Null).await?;
    let mut stream = Stream::from_response(response)?;
    stream.received = received.clone();
    Some(stream)
}

/// Describes what a node knows of a request: how many it holds and keeps copies of, how it answers
/// an attach after the last received event, and where the stream goes on.
pub(crate) async fn describe(node: SocketAddr, received: &Received) -> String {
    let status = call(node, "GET", "/v1/status", &[], &Value::Null).await;
    let Some(status) = status.map(|reply| reply.json()) else {
        return format!("{node}: no answer");
    };
    let counts = ["name", "held", "kept", "waiting", "leaving", "peers_alive", "troubles"]
        .map(|field| format!("{field}={}", status[field]));
    let path = format!("/v1/requests/{}", received.request_id);
    let headers =
        [KEY, ("accept", "text/event-stream"), ("last-event-id", &*received.last_event_id)];
    let offset = match open(node, "GET", &path, &headers, &Value::Null).await {
        None => "no answer".to_owned(),
        Some(response) if response.status() != StatusCode::OK => {
            let status = response.status();
            let body = response.into_body().collect();
            let body = tokio::time::timeout(DESCRIBE_TIMEOUT, body).await.ok();
            let body = body.and_then(|body| Some(body.ok()?.to_bytes()));
            format!("refused with {status}: {:?}", body.unwrap_or_default())
        }
        Some(response) => match Stream::from_response(response) {
            None => "answer without a request id".to_owned(),
            Some(mut stream) => {
                let frame = tokio::time::timeout(DESCRIBE_TIMEOUT, stream.read_frame()).await;
                format!("first frame {frame:?}, then at event {}", stream.received.last_event_id)
            }
        },
    };
    format!("{}; attach: {offset}", counts.join(" "))
}

impl Stream {
    fn from_response(response: Response<Incoming>) -> Option<Stream> {
        if response.status() != StatusCode::OK {
            return None;
        }
        let id = response.headers().get("x-request-id")?.to_str().ok()?.to_owned();
        let received = Received { request_id: id, ..Received::default() };
        Some(Stream { body: response.into_body(), buffer: String::new(), received })
    }

    /// Reads until `bytes` bytes of text have been received; false if the stream ends or breaks
    /// before.
    pub(crate) async fn read(&mut self, bytes: usize) -> bool {
        while self.received.text.len() < bytes {
            if !self.read_frame().await {
                return false;
            }
        }
        true
    }

    /// Reads until the stream ends or breaks.
    pub(crate) async fn read_to_end(mut self) -> Received {
        while self.read_frame().await {}
        self.received
    }

    /// Reads one frame; false if the stream has ended or broken.
    async fn read_frame(&mut self) -> bool {
        let frame = tokio::time::timeout(TIMEOUT, self.body.frame()).await;
        let Some(Ok(frame)) = frame.expect("the next frame is received in time") else {
            return false;
        };
        let Ok(bytes) = frame.into_data() else { return true };
        self.buffer.push_str(std::str::from_utf8(&bytes).expect("events are UTF-8"));
        while let Some(end) = self.buffer.find("\n\n") {
            let event: String = self.buffer.drain(..end + 2).collect();
            self.handle_event(&event);
        }
        true
    }

    fn handle_event(&mut self, event: &str) {
        for line in event.lines() {
            if let Some(id) = line.strip_prefix("id: ") {
                self.received.last_event_id = id.to_owned();
            }
            let Some(data) = line.strip_prefix("data: ") else { continue };
            if data == "[DONE]" {
                self.received.is_complete = true;
                continue;
            }
            let chunk: Value = serde_json::from_str(data).unwrap_or_default();
            let choice = &chunk["choices"][0];
            let text = choice["delta"]["content"].as_str().or(choice["text"].as_str());
            self.received.text.push_str(text.unwrap_or_default());
        }
    }
}
