//! One attempt at a model engine: sends the request and reads the streamed answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use rhubarbrock::{action, event, id};
use rhubarbrock_schema::peer;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{answer, event_stream, http_client, ring};

/// Maximum size of an error body, in bytes.
const MAX_ERROR_BYTES: usize = 64 * 1024;

/// Interval of progress reports while text arrives.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// Header with the name of the attempt.
const ATTEMPT_HEADER: &str = "x-attempt";

/// Name of an attempt at its engine. It includes the node id because nodes number their attempts
/// from 1 and an engine accepts each name once.
pub fn attempt_name(node: id::NodeId, attempt: id::AttemptId) -> String {
    format!("{node:016x}-{attempt}")
}

/// Chunk of an engine's event stream.
#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    #[serde(default)]
    usage: Option<ChunkUsage>,
    #[serde(default)]
    error: Option<Value>,
}

#[derive(Debug, Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: Option<ChunkDelta>,
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Debug, Deserialize)]
struct ChunkDelta {
    #[serde(default)]
    content: Option<String>,
}

#[derive(Debug, Clone, Deserialize)]
struct ChunkUsage {
    #[serde(default)]
    prompt_tokens: u32,
    #[serde(default)]
    completion_tokens: u32,
    #[serde(default)]
    prompt_tokens_details: Option<UsageDetails>,
}

#[derive(Debug, Clone, Deserialize)]
struct UsageDetails {
    #[serde(default)]
    cached_tokens: u32,
}

/// Runs the attempt and returns its outcome. Text is appended to `answer`; the first token and
/// progress are reported through `events`.
pub async fn run(
    client: &http_client::HttpClient,
    name: &str,
    attempt: &action::ModelAttempt,
    answer: &Arc<answer::Answer>,
    events: &ring::Sender<event::Event>,
) -> event::ModelOutcome {
    let (text, tokens) = answer.take_over(attempt.attempt);
    let request = match request(name, attempt, &text, tokens) {
        Ok(request) => request,
        Err(message) => return event::ModelOutcome::Rejected { status: 400, message },
    };
    let sent = tokio::time::timeout(attempt.idle_timeout, http_client::send(client, request));
    let response = match sent.await {
        Ok(Ok(response)) => response,
        Ok(Err(http_client::CallError::NotSent { message })) => {
            return event::ModelOutcome::NotSent { message };
        }
        Ok(Err(http_client::CallError::Unknown { message })) => {
            return event::ModelOutcome::Broken { message };
        }
        Err(_) => return event::ModelOutcome::TimedOut,
    };
    if !response.status().is_success() {
        return outcome_of_error_response(response).await;
    }
    let mut run = StreamReader {
        attempt,
        answer,
        events,
        finish: peer::Finish::default(),
        is_before_first_token: true,
        resumed_tokens: tokens,
        streamed_tokens: 0,
        last_report_at: Instant::now(),
    };
    run.read(response.into_body()).await
}

/// Request to the engine: the caller's body with the fields that this system sets.
fn request(
    name: &str,
    attempt: &action::ModelAttempt,
    text: &str,
    tokens: u32,
) -> Result<http::Request<Full<Bytes>>, String> {
    let mut body: Value = serde_json::from_str(&attempt.body).map_err(|error| error.to_string())?;
    let fields = body.as_object_mut().ok_or("the body is no JSON object")?;
    fields.insert("model".to_owned(), json!(attempt.model));
    fields.insert("stream".to_owned(), json!(true));
    fields.insert("stream_options".to_owned(), json!({ "include_usage": true }));
    fields.insert("priority".to_owned(), json!(attempt.priority));
    fields.remove("deadline_ms");
    fields.remove("max_completion_tokens");
    fields.insert("max_tokens".to_owned(), json!(attempt.max_tokens));
    if tokens > 0 {
        fields.insert("resume_text".to_owned(), json!(text));
        fields.insert("resume_tokens".to_owned(), json!(tokens));
    }
    if let Some(source) = &attempt.kv_source {
        let value = json!({ "address": source.address.to_string(), "handle": source.handle });
        fields.insert("kv_source".to_owned(), value);
    }
    http::Request::post(format!("http://{}{}", attempt.address, attempt.path))
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(ATTEMPT_HEADER, name)
        .body(Full::new(Bytes::from(body.to_string())))
        .map_err(|error| error.to_string())
}

async fn outcome_of_error_response(response: http::Response<Incoming>) -> event::ModelOutcome {
    let status = response.status();
    let retry_after = retry_after(response.headers());
    if status.is_server_error() || status == http::StatusCode::TOO_MANY_REQUESTS {
        return event::ModelOutcome::Refused { retry_after };
    }
    let body = Limited::new(response.into_body(), MAX_ERROR_BYTES).collect().await;
    let bytes = body.map(http_body_util::Collected::to_bytes).unwrap_or_default();
    let message = String::from_utf8_lossy(&bytes).into_owned();
    event::ModelOutcome::Rejected { status: status.as_u16(), message }
}

/// `Retry-After` of a response, if it is a number of seconds.
pub fn retry_after(headers: &http::HeaderMap) -> Option<Duration> {
    let value = headers.get(http::header::RETRY_AFTER)?;
    let seconds: u64 = value.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::from_secs(seconds))
}

struct StreamReader<'a> {
    attempt: &'a action::ModelAttempt,
    answer: &'a Arc<answer::Answer>,
    events: &'a ring::Sender<event::Event>,
    finish: peer::Finish,
    is_before_first_token: bool,
    resumed_tokens: u32,
    streamed_tokens: u32,
    last_report_at: Instant,
}

impl StreamReader<'_> {
    async fn read(&mut self, mut body: Incoming) -> event::ModelOutcome {
        let mut parser = event_stream::Parser::default();
        loop {
            let frame = tokio::time::timeout(self.attempt.idle_timeout, body.frame()).await;
            let bytes = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(error))) => return broken(error.to_string()),
                Ok(None) => return broken("the stream ended before [DONE]".to_owned()),
                Err(_) => return event::ModelOutcome::TimedOut,
            };
            let Ok(messages) = parser.push(&bytes) else {
                return broken("the stream has an event of more than 1 MiB".to_owned());
            };
            for message in messages {
                if let Some(outcome) = self.on_message(&message).await {
                    return outcome;
                }
            }
        }
    }

    async fn on_message(&mut self, message: &str) -> Option<event::ModelOutcome> {
        if message == "[DONE]" {
            return Some(self.on_done());
        }
        let chunk: Chunk = match serde_json::from_str(message) {
            Ok(chunk) => chunk,
            Err(error) => {
                return Some(broken(format!("the stream has an invalid chunk: {error}")));
            }
        };
        if let Some(error) = chunk.error {
            return Some(broken(error.to_string()));
        }
        if let Some(usage) = chunk.usage {
            self.finish.prompt_tokens = usage.prompt_tokens;
            self.finish.completion_tokens = usage.completion_tokens;
            self.finish.cached_tokens =
                usage.prompt_tokens_details.map_or(0, |details| details.cached_tokens);
        }
        for choice in chunk.choices {
            if let Some(outcome) = self.on_choice(choice).await {
                return Some(outcome);
            }
        }
        None
    }

    async fn on_choice(&mut self, choice: ChunkChoice) -> Option<event::ModelOutcome> {
        let text = choice.delta.and_then(|delta| delta.content).or(choice.text);
        if let Some(text) = text.filter(|text| !text.is_empty()) {
            self.streamed_tokens += 1;
            if !self.answer.append(self.attempt.attempt, &text, 1) {
                return Some(event::ModelOutcome::Cancelled);
            }
            self.on_text().await;
        }
        if let Some(reason) = choice.finish_reason {
            self.finish.reason = reason;
        }
        None
    }

    async fn on_text(&mut self) {
        if self.is_before_first_token {
            self.is_before_first_token = false;
            let event = event::EndpointEvent::FirstToken { attempt: self.attempt.attempt };
            self.events.send(event::Event::Endpoint(event)).await;
        }
        if self.last_report_at.elapsed() >= PROGRESS_INTERVAL {
            self.last_report_at = Instant::now();
            report_progress(self.attempt.attempt, self.answer, self.events).await;
        }
    }

    fn on_done(&mut self) -> event::ModelOutcome {
        if self.finish.reason.is_empty() {
            return broken("the stream ended without a finish reason".to_owned());
        }
        self.finish.completion_tokens = self.resumed_tokens + self.streamed_tokens;
        event::ModelOutcome::Finished(self.finish.clone())
    }
}

/// Reports the text appended since the last report to the decision thread.
pub async fn report_progress(
    attempt: rhubarbrock::id::AttemptId,
    answer: &answer::Answer,
    events: &ring::Sender<event::Event>,
) {
    if let Some(report_progress) = answer.take_unreported() {
        let event = event::EndpointEvent::Progress {
            attempt,
            offset: report_progress.offset,
            text: report_progress.text,
            chunk_bytes: report_progress.chunk_bytes,
            tokens: report_progress.tokens,
        };
        events.send(event::Event::Endpoint(event)).await;
    }
}

fn broken(message: String) -> event::ModelOutcome {
    event::ModelOutcome::Broken { message }
}
