//! The endpoints' thread: attempts at model engines and plain services, and polls of their load.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use rhubarbrock::{action, event, id};
use serde::Deserialize;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use crate::{answer, engine, http_client, ring};

/// Time limit for connecting to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time between load polls of one endpoint.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time limit of a load poll.
const LOAD_POLL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum size of a load report, in bytes.
const MAX_LOAD_REPORT_BYTES: usize = 64 * 1024;

/// Maximum size of a plain service's answer, in bytes.
const MAX_PLAIN_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Time limit of the call that cancels an attempt at its engine.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// Command of the decision thread to the endpoints' thread.
#[derive(Debug)]
pub enum Command {
    /// Send a request to a model engine and append its text to the answer.
    Model(Box<action::ModelAttempt>, Arc<answer::Answer>),
    /// Call a plain service.
    Plain(Box<action::PlainAttempt>),
    /// Cancel a model attempt.
    Cancel(id::AttemptId),
    /// Poll the load of exactly these endpoints from now on.
    Watch(Vec<action::WatchedEndpoint>),
}

/// Body of an endpoint's load report.
#[derive(Debug, Deserialize)]
struct EngineLoad {
    sequence: u64,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
    #[serde(default)]
    kv_used_percent: u32,
    #[serde(default)]
    queued_tokens: u32,
    #[serde(default)]
    leaving: bool,
}

/// Client of the endpoints, with the running model attempts.
#[derive(Clone)]
pub struct Endpoints {
    events: ring::Sender<event::Event>,
    client: http_client::HttpClient,
    cancellations: Arc<Mutex<HashMap<id::AttemptId, oneshot::Sender<()>>>>,
    node: id::NodeId,
}

impl Endpoints {
    /// Creates the client. `events` receives what happens; `node` is part of the attempts' names.
    pub fn new(node: id::NodeId, events: ring::Sender<event::Event>) -> Endpoints {
        Endpoints {
            events,
            client: http_client::new(CONNECT_TIMEOUT),
            cancellations: Arc::new(Mutex::new(HashMap::new())),
            node,
        }
    }

    /// Executes commands until the decision thread ends.
    pub async fn run(self, mut commands: ring::TaskReceiver<Command>) {
        let mut load_polls = JoinSet::new();
        while let Some(command) = commands.recv().await {
            match command {
                Command::Model(attempt, answer) => {
                    let (cancel, cancelled) = oneshot::channel();
                    self.lock().insert(attempt.attempt, cancel);
                    tokio::spawn(self.clone().run_model(attempt, answer, cancelled));
                }
                Command::Plain(attempt) => {
                    tokio::spawn(self.clone().run_plain(attempt));
                }
                Command::Cancel(attempt) => {
                    let cancel_sender = self.lock().remove(&attempt);
                    if let Some(cancel) = cancel_sender {
                        let _ = cancel.send(());
                    }
                }
                Command::Watch(endpoints) => {
                    load_polls.abort_all();
                    for endpoint in endpoints {
                        load_polls.spawn(self.clone().poll_load(endpoint));
                    }
                }
            }
        }
    }

    async fn run_model(
        self,
        attempt: Box<action::ModelAttempt>,
        answer: Arc<answer::Answer>,
        cancelled: oneshot::Receiver<()>,
    ) {
        let name = engine::attempt_name(self.node, attempt.attempt);
        let outcome = tokio::select! {
            outcome = engine::run(&self.client, &name, &attempt, &answer, &self.events) => outcome,
            Ok(()) = cancelled => event::ModelOutcome::Cancelled,
        };
        self.lock().remove(&attempt.attempt);
        engine::report_progress(attempt.attempt, &answer, &self.events).await;
        let is_cancelled = outcome == event::ModelOutcome::Cancelled;
        self.send_event(event::EndpointEvent::ModelEnded { attempt: attempt.attempt, outcome })
            .await;
        if is_cancelled {
            self.cancel_at_engine(&attempt, &name).await;
        }
    }

    /// Cancels the attempt at the engine, in case a proxy hides that the connection was closed.
    async fn cancel_at_engine(&self, attempt: &action::ModelAttempt, name: &str) {
        let url = format!("http://{}/v1/attempts/{name}", attempt.address);
        if let Ok(request) = http::Request::delete(url).body(Full::new(Bytes::new())) {
            let _ = http_client::call(&self.client, request, CANCEL_TIMEOUT, MAX_LOAD_REPORT_BYTES)
                .await;
        }
    }

    async fn run_plain(self, attempt: Box<action::PlainAttempt>) {
        let number = attempt.attempt;
        let outcome = match plain_request(*attempt) {
            Ok(call) => self.send_plain(call).await,
            Err(error) => event::PlainOutcome::NotSent { message: error.to_string() },
        };
        self.send_event(event::EndpointEvent::PlainEnded { attempt: number, outcome }).await;
    }

    async fn send_plain(&self, call: PreparedCall) -> event::PlainOutcome {
        let called =
            http_client::call(&self.client, call.request, call.timeout, MAX_PLAIN_ANSWER_BYTES)
                .await;
        match called {
            Ok(answer) if is_stale_token_rejection(&answer) => {
                event::PlainOutcome::FencingTokenRejected
            }
            Ok(answer) => event::PlainOutcome::Answered(event::PlainAnswer {
                status: answer.status.as_u16(),
                content_type: content_type(&answer.headers),
                body: answer.body.to_vec(),
            }),
            Err(http_client::CallError::NotSent { message }) => {
                event::PlainOutcome::NotSent { message }
            }
            Err(http_client::CallError::Unknown { message }) => {
                event::PlainOutcome::Unknown { message }
            }
        }
    }

    async fn poll_load(self, endpoint: action::WatchedEndpoint) {
        let mut interval = tokio::time::interval(LOAD_POLL_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let event = self.fetch_load(endpoint).await;
            // A report that does not fit into the ring is dropped; the next one replaces it.
            let _ = self.events.push(event::Event::Endpoint(event));
        }
    }

    async fn fetch_load(&self, endpoint: action::WatchedEndpoint) -> event::EndpointEvent {
        let failed = event::EndpointEvent::LoadFailed { endpoint: endpoint.endpoint };
        let url = format!("http://{}/load", endpoint.address);
        let Ok(request) = http::Request::get(url).body(Full::new(Bytes::new())) else {
            return failed;
        };
        let called =
            http_client::call(&self.client, request, LOAD_POLL_TIMEOUT, MAX_LOAD_REPORT_BYTES)
                .await;
        let Ok(answer) = called else { return failed };
        let Ok(load) = serde_json::from_slice::<EngineLoad>(&answer.body) else { return failed };
        event::EndpointEvent::Load(event::LoadReport {
            endpoint: endpoint.endpoint,
            sequence: load.sequence,
            running: load.running,
            waiting: load.waiting,
            kv_used_percent: load.kv_used_percent,
            queued_tokens: load.queued_tokens,
            leaving: load.leaving,
        })
    }

    async fn send_event(&self, event: event::EndpointEvent) {
        self.events.send(event::Event::Endpoint(event)).await;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<id::AttemptId, oneshot::Sender<()>>> {
        self.cancellations.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct PreparedCall {
    request: http::Request<Full<Bytes>>,
    timeout: Duration,
}

fn plain_request(attempt: action::PlainAttempt) -> Result<PreparedCall, http::Error> {
    let url = format!("http://{}/{}", attempt.address, attempt.path_and_query);
    let mut builder = http::Request::builder()
        .method(attempt.method.as_str())
        .uri(url)
        .header("x-request-id", attempt.request.to_string());
    if !attempt.content_type.is_empty() {
        builder = builder.header(http::header::CONTENT_TYPE, attempt.content_type);
    }
    if let Some(key) = attempt.idempotency_key {
        builder = builder.header("idempotency-key", key);
    }
    if let Some(token) = attempt.fencing_token {
        builder = builder.header("x-fencing-number", token);
    }
    let request = builder.body(Full::new(Bytes::from(attempt.body)))?;
    Ok(PreparedCall { request, timeout: attempt.timeout })
}

fn is_stale_token_rejection(answer: &http_client::Answer) -> bool {
    let is_refused = answer.headers.get("x-fencing").is_some_and(|value| value == "refused");
    answer.status == http::StatusCode::CONFLICT && is_refused
}

fn content_type(headers: &http::HeaderMap) -> String {
    let value = headers.get(http::header::CONTENT_TYPE);
    value.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}
