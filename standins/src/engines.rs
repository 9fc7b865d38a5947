//! Engine replicas over HTTP. One process serves many replicas, each on its own port.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::api::{CallKind, CompletionRequest, KvSource, ResponseFormatter};
use crate::engine::{AttemptId, SubmitError, Usage};
use crate::http::{self, Body, Client, ConnectionCut, HandlerResult};
use crate::registration::PlatformClient;
use crate::replica::{KvExport, NewAttempt, Order, Progress, Replica, StartError};

/// Time between load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Time between checks for cache events during a long poll.
const CACHE_EVENT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum duration of a long poll, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;
/// Time between attempts to listen again after a crash.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The engine replicas of one process.
pub struct EngineGroup {
    replicas: Vec<Arc<Replica>>,
    platform_client: Option<PlatformClient>,
    client: Client,
    restart_delay: Duration,
    kv_bytes_per_token: usize,
}

/// Settings of a group of replicas.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Time from a crash until the replica listens again.
    pub restart_delay: Duration,
    /// Size of an exported KV cache, in bytes per token.
    pub kv_bytes_per_token: usize,
}

#[derive(Deserialize)]
struct ExportCall {
    attempt: String,
}

impl EngineGroup {
    /// A group of `replicas`; without a platform client, model loads finish at once.
    pub fn new(
        settings: Settings,
        replicas: Vec<Arc<Replica>>,
        platform_client: Option<PlatformClient>,
    ) -> Arc<EngineGroup> {
        Arc::new(EngineGroup {
            replicas,
            platform_client,
            client: http::client(),
            restart_delay: settings.restart_delay,
            kv_bytes_per_token: settings.kv_bytes_per_token,
        })
    }

    /// Serves each replica on the listener at the same index. Does not return.
    pub async fn serve(self: Arc<EngineGroup>, listeners: Vec<TcpListener>) {
        let mut tasks = tokio::task::JoinSet::new();
        for (replica, listener) in self.replicas.iter().zip(listeners) {
            tasks.spawn(self.clone().serve_replica(replica.clone(), listener));
        }
        let group = self.clone();
        tasks.spawn(async move {
            loop {
                tokio::time::sleep(REPORT_INTERVAL).await;
                group.replicas.iter().for_each(|replica| replica.take_load_report());
            }
        });
        while tasks.join_next().await.is_some() {}
    }

    /// Passes notices to the replicas that they are for, and closes these at the end.
    pub async fn apply_notices(
        self: Arc<EngineGroup>,
        mut notices: mpsc::UnboundedReceiver<crate::fleet::Notice>,
    ) {
        while let Some(notice) = notices.recv().await {
            let is_target = |r: &&Arc<Replica>| r.settings.instance.id == notice.instance;
            let Some(replica) = self.replicas.iter().find(is_target).cloned() else { continue };
            replica.give_notice(notice.leave_at_ms);
            let remaining_ms = notice.leave_at_ms.saturating_sub(http::unix_ms());
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(remaining_ms)).await;
                replica.close();
            });
        }
    }

    async fn serve_replica(self: Arc<EngineGroup>, replica: Arc<Replica>, listener: TcpListener) {
        let Ok(address) = listener.local_addr() else { return };
        let mut listener = Some(listener);
        loop {
            let listening = match listener.take() {
                Some(listening) => listening,
                None => rebind(address).await,
            };
            let stop = watch::Sender::new(0);
            let group = self.clone();
            let served = replica.clone();
            let handler: http::Handler = Arc::new(move |request| {
                let (group, replica) = (group.clone(), served.clone());
                Box::pin(async move { group.handle_request(replica, request).await })
            });
            let server = tokio::spawn(http::serve(listening, handler, stop.subscribe()));
            let crashed = replica.run_engine().await;
            stop.send_replace(1);
            let _ = server.await;
            if !crashed {
                return;
            }
            tokio::time::sleep(self.restart_delay).await;
            replica.restart();
        }
    }

    async fn handle_request(
        self: Arc<EngineGroup>,
        replica: Arc<Replica>,
        request: Request<Incoming>,
    ) -> HandlerResult {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().map(str::to_owned);
        let method = request.method().clone();
        let segments = http::segments(&path);
        if let ["faults"] = segments[..] {
            return Ok(self.handle_faults(&replica, &method, request.into_body()).await);
        }
        http::wait_while(|| replica.faults().frozen).await;
        match (&method, &segments[..]) {
            (&Method::POST, ["v1", "chat", "completions"]) => {
                self.handle_completion(replica, CallKind::Chat, request).await
            }
            (&Method::POST, ["v1", "completions"]) => {
                self.handle_completion(replica, CallKind::Completion, request).await
            }
            (&Method::GET, ["v1", "models"]) => {
                let model = json!({ "id": replica.load_report().model, "object": "model" });
                Ok(http::json(StatusCode::OK, &json!({ "object": "list", "data": [model] })))
            }
            (&Method::DELETE, ["v1", "attempts", name]) => {
                replica.cancel_named(name);
                Ok(http::empty(StatusCode::NO_CONTENT))
            }
            (&Method::GET, ["load"]) => Ok(http::json(StatusCode::OK, &replica.load_report())),
            (&Method::GET, ["cache-events"]) => {
                Ok(handle_cache_events(&replica, query.as_deref()).await)
            }
            (&Method::POST, ["orders"]) => {
                Ok(self.handle_order(replica, request.into_body()).await)
            }
            (&Method::POST, ["kv", "export"]) => {
                Ok(self.handle_export(&replica, request.into_body()).await)
            }
            (&Method::GET, ["kv", handle]) => Ok(match replica.find_export(handle) {
                Some(export) => Response::new(http::full_body(self.encode_export(&export))),
                None => http::error_response(StatusCode::NOT_FOUND, "no such export"),
            }),
            (&Method::GET, ["counters"]) => {
                Ok(http::json(StatusCode::OK, &counters_json(&replica)))
            }
            _ => Ok(http::error_response(StatusCode::NOT_FOUND, "no such call")),
        }
    }

    async fn handle_faults(
        &self,
        replica: &Replica,
        method: &Method,
        body: Incoming,
    ) -> Response<Body> {
        if method == Method::POST {
            let mut change: Value = match http::read_json(body).await {
                Ok(change) => change,
                Err(response) => return response,
            };
            let all = change.as_object_mut().and_then(|fields| fields.remove("all"));
            let is_for_all = all == Some(Value::Bool(true));
            let others = self.replicas.iter().map(|replica| &**replica);
            let targets: Vec<&Replica> = if is_for_all { others.collect() } else { vec![replica] };
            for replica in targets {
                match http::merge_fields(&replica.faults(), change.clone()) {
                    Ok(faults) => replica.set_faults(faults),
                    Err(problem) => return http::invalid_body_response(&problem),
                }
            }
        }
        http::json(StatusCode::OK, &replica.faults())
    }

    async fn handle_completion(
        &self,
        replica: Arc<Replica>,
        kind: CallKind,
        request: Request<Incoming>,
    ) -> HandlerResult {
        let name = http::header(&request, "x-attempt");
        let call: CompletionRequest = match http::read_json(request.into_body()).await {
            Ok(call) => call,
            Err(response) => return Ok(response),
        };
        let prompt = match call.prompt_text(kind) {
            Ok(prompt) => prompt,
            Err(e) => return Ok(http::error_response(StatusCode::BAD_REQUEST, &e.to_string())),
        };
        let answer = call.answer(&prompt);
        let resume_tokens = match call.resumed_tokens(&answer) {
            Ok(tokens) => tokens,
            Err(e) => return Ok(http::error_response(StatusCode::BAD_REQUEST, &e.to_string())),
        };
        let import = match &call.kv_source {
            Some(source) => self.fetch_export(source).await,
            None => None,
        };
        let mut formatter = ResponseFormatter {
            kind,
            id: String::new(),
            model: call.model.clone(),
            created: http::unix_ms() / 1_000,
            finish_reason: if call.has_max_tokens() { "length" } else { "stop" },
        };
        let new_attempt = NewAttempt {
            name,
            prompt,
            resume_text: call.resume_text,
            resume_tokens,
            answer,
            import,
            priority: call.priority,
        };
        let (id, progress) = match replica.start(new_attempt) {
            Ok(started) => started,
            Err(error) => return start_error(error),
        };
        formatter.id = format!("cmpl-{}-{id}", replica.settings.instance.id);
        let running = RunningAttempt { replica, id, progress, answer };
        if call.stream {
            Ok(streaming_response(running, formatter))
        } else {
            collected_response(running, formatter).await
        }
    }

    async fn handle_order(
        self: Arc<EngineGroup>,
        replica: Arc<Replica>,
        body: Incoming,
    ) -> Response<Body> {
        let order: Order = match http::read_json(body).await {
            Ok(order) => order,
            Err(response) => return response,
        };
        let model = order.model.clone();
        let (sequence, changes_model) = match replica.order(order) {
            Ok(accepted) => accepted,
            Err(refusal) => {
                return http::error_response(StatusCode::CONFLICT, &refusal.to_string());
            }
        };
        if changes_model {
            tokio::spawn(async move {
                if let Some(platform_client) = &self.platform_client {
                    platform_client.read_weights(&model).await;
                }
                replica.finish_loading();
            });
        }
        http::json(StatusCode::OK, &json!({ "sequence": sequence }))
    }

    async fn handle_export(&self, replica: &Replica, body: Incoming) -> Response<Body> {
        let call: ExportCall = match http::read_json(body).await {
            Ok(call) => call,
            Err(response) => return response,
        };
        let Some((handle, export)) = replica.export(&call.attempt) else {
            return http::error_response(StatusCode::NOT_FOUND, "no such attempt is running");
        };
        let bytes = self.encode_export(&export).len();
        let answer = json!({ "handle": handle, "tokens": export.tokens, "bytes": bytes });
        http::json(StatusCode::OK, &answer)
    }

    /// Fetches an exported KV cache from another engine; `None` if that fails.
    async fn fetch_export(&self, source: &KvSource) -> Option<KvExport> {
        let url = format!("http://{}/kv/{}", source.address, source.handle);
        let fetched = http::call(&self.client, Method::GET, &url, Bytes::new()).await;
        match fetched {
            Ok((StatusCode::OK, bytes)) => decode_export(bytes),
            _ => None,
        }
    }

    /// Encodes an export: tokens, number of blocks and block hashes, zero-padded to the size that
    /// the tokens would take.
    fn encode_export(&self, export: &KvExport) -> Bytes {
        let mut bytes = BytesMut::new();
        bytes.put_u32_le(export.tokens);
        bytes.put_u32_le(export.blocks.len() as u32);
        export.blocks.iter().for_each(|&block| bytes.put_u64_le(block));
        let size = export.tokens as usize * self.kv_bytes_per_token;
        if bytes.len() < size {
            bytes.resize(size, 0);
        }
        bytes.freeze()
    }
}

fn decode_export(mut bytes: Bytes) -> Option<KvExport> {
    if bytes.len() < 8 {
        return None;
    }
    let tokens = bytes.get_u32_le();
    let count = bytes.get_u32_le() as usize;
    if bytes.len() / 8 < count {
        return None;
    }
    let blocks = (0..count).map(|_| bytes.get_u64_le()).collect();
    Some(KvExport { tokens, blocks })
}

/// Attempt in progress, which is cancelled when dropped before its end.
struct RunningAttempt {
    replica: Arc<Replica>,
    id: AttemptId,
    progress: mpsc::UnboundedReceiver<Progress>,
    answer: crate::text::Answer,
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        self.replica.cancel(self.id);
    }
}

enum StreamPhase {
    FirstChunk,
    TextChunks,
    DoneMarker,
    Ended,
}

/// Answer as server-sent events; a crash or cancellation ends them without `[DONE]`.
fn streaming_response(running: RunningAttempt, formatter: ResponseFormatter) -> Response<Body> {
    let first = (running, formatter, StreamPhase::FirstChunk);
    let frames = stream::unfold(first, |(mut running, formatter, mut phase)| async move {
        let frame = loop {
            match phase {
                StreamPhase::FirstChunk => {
                    phase = StreamPhase::TextChunks;
                    if let Some(opening) = formatter.first_chunk() {
                        break sse_event(&opening);
                    }
                }
                StreamPhase::TextChunks => match running.progress.recv().await? {
                    Progress::Tokens { from, to } => {
                        break sse_event(&formatter.text_chunk(&running.answer.text(from, to)));
                    }
                    Progress::Finished(usage) => {
                        phase = StreamPhase::DoneMarker;
                        break sse_event(&formatter.last_chunk(&usage));
                    }
                },
                StreamPhase::DoneMarker => {
                    phase = StreamPhase::Ended;
                    break Bytes::from_static(b"data: [DONE]\n\n");
                }
                StreamPhase::Ended => return None,
            }
        };
        Some((Ok(Frame::data(frame)), (running, formatter, phase)))
    });
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

async fn collected_response(
    mut running: RunningAttempt,
    formatter: ResponseFormatter,
) -> HandlerResult {
    let mut text = String::new();
    let usage: Usage = loop {
        match running.progress.recv().await {
            Some(Progress::Tokens { from, to }) => text.push_str(&running.answer.text(from, to)),
            Some(Progress::Finished(usage)) => break usage,
            None => return Err(ConnectionCut),
        }
    };
    Ok(http::json(StatusCode::OK, &formatter.full_response(&text, &usage)))
}

fn sse_event(value: &Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}

fn start_error(error: StartError) -> HandlerResult {
    match error {
        StartError::Engine(SubmitError::Down) => Err(ConnectionCut),
        StartError::Engine(SubmitError::Duplicate) => {
            Ok(http::error_response(StatusCode::CONFLICT, &error.to_string()))
        }
        StartError::Unavailable | StartError::Engine(SubmitError::Full) => {
            let response =
                http::error_response(StatusCode::SERVICE_UNAVAILABLE, &error.to_string());
            Ok(http::with_header(response, "retry-after", "1"))
        }
    }
}

async fn handle_cache_events(replica: &Replica, query: Option<&str>) -> Response<Body> {
    let after = http::query_number(query, "after", 0);
    let wait_ms = http::query_number(query, "wait_ms", 0).min(MAX_WAIT_MS);
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let (events, next) = replica.cache_events(after);
        if next > after || Instant::now() >= deadline {
            return http::json(StatusCode::OK, &json!({ "events": events, "next": next }));
        }
        tokio::time::sleep(CACHE_EVENT_POLL_INTERVAL).await;
    }
}

fn counters_json(replica: &Replica) -> Value {
    let counters = replica.counters();
    json!({
        "computed_prompt_tokens": counters.computed_prompt_tokens,
        "cached_tokens": counters.cached_tokens,
        "recomputed_tokens": counters.recomputed_tokens,
        "generated_tokens": counters.generated_tokens,
        "finished": counters.finished,
        "cancelled": counters.cancelled,
        "crashes": counters.crashes,
        "late_work": replica.late_work(),
    })
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(BIND_RETRY_DELAY).await,
        }
    }
}
