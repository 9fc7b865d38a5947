//! Request handlers of the callers' API, by route.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, build_simple_router};
use gotham::state::{FromState, State, StateData};
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Limited};
use rhubarbrock::{action, event, id};
use sha2::{Digest, Sha256};

use crate::{
    answer, body, decision_client, monitoring, openai, peer_client, problem, reader, relay,
    settings, streaming,
};

/// Path prefix of the plain services.
const SERVICES_PREFIX: &str = "/v1/services/";

/// Header with the caller's idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header that is `true` if the caller may have sent the key before.
const KEY_REPEATED: &str = "idempotency-key-repeated";

/// Header with the time at which the key was created, in milliseconds since the Unix epoch.
const KEY_CREATED: &str = "idempotency-key-created-ms";

/// Maximum length of an idempotency key or sequence name, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Header with the name of a sequence of calls.
const SEQUENCE: &str = "x-sequence";

/// Header with the position of a call in its sequence, counted from 1.
const SEQUENCE_POSITION: &str = "x-sequence-position";

/// Header with the time until the answer must start, in milliseconds.
const DEADLINE: &str = "x-deadline-ms";

/// Header with the id of the last event that the caller received.
const LAST_EVENT_ID: &str = "last-event-id";

/// Detail of the refusal if no request has the given id.
const UNKNOWN_REQUEST: &str = "there is no request of this id";

/// Maximum number of timeline events in one page.
const TIMELINE_PAGE_EVENTS: usize = 1_000;

/// Dependencies of the handlers; stored in the state of each request.
#[derive(Clone)]
pub struct Context {
    /// Access to the decision thread.
    pub decision_client: Arc<decision_client::DecisionClient>,
    /// Client of the other nodes.
    pub peers: peer_client::PeerClient,
    /// Source of this node's status and timeline.
    pub monitoring: monitoring::NodeMonitor,
    /// Renders the metrics in the Prometheus text format.
    pub metrics: metrics_exporter_prometheus::PrometheusHandle,
    /// Limits on what callers send.
    pub limits: settings::Limits,
}

impl StateData for Context {}

type RouteResult = Result<Response<Body>, action::Refusal>;

/// Routes of the callers' API.
pub fn router() -> Router {
    build_simple_router(|route| {
        route.post(openai::CHAT_PATH).to_async(|state| handle(state, Route::Model));
        route.post(openai::COMPLETIONS_PATH).to_async(|state| handle(state, Route::Model));
        route.get("/v1/models").to_async(|state| handle(state, Route::Models));
        route.get("/v1/requests/:request").to_async(|state| handle(state, Route::Find));
        let methods = vec![Method::GET, Method::POST, Method::PUT, Method::PATCH, Method::DELETE];
        route
            .request(methods, "/v1/services/:service/*")
            .to_async(|state| handle(state, Route::Plain));
        route.get("/v1/status").to_async(|state| handle(state, Route::Status));
        route.get("/v1/timeline").to_async(|state| handle(state, Route::Timeline));
        route.get("/healthz").to_async(|state| handle(state, Route::Health));
        route.get("/readyz").to_async(|state| handle(state, Route::Ready));
        route.get("/metrics").to_async(|state| handle(state, Route::Metrics));
    })
}

#[derive(Debug, Clone, Copy)]
enum Route {
    Model,
    Models,
    Find,
    Plain,
    Status,
    Timeline,
    Health,
    Ready,
    Metrics,
}

async fn handle(mut state: State, route: Route) -> gotham::handler::HandlerResult {
    let context = Context::borrow_from(&state).clone();
    let request = context.decision_client.new_request();
    let result = match route {
        Route::Model => model(&mut state, &context, request).await,
        Route::Models => models(&mut state, &context).await,
        Route::Find => find(&mut state, &context).await,
        Route::Plain => plain(&mut state, &context, request).await,
        Route::Status => status(&context).await,
        Route::Timeline => timeline(&mut state, &context).await,
        Route::Health => Ok(text("ok\n")),
        Route::Ready => Ok(ready(&context)),
        Route::Metrics => Ok(text(context.metrics.render())),
    };
    let mut response = result.unwrap_or_else(|refusal| problem::response(&refusal));
    let headers = response.headers_mut();
    if !headers.contains_key(problem::REQUEST_ID_HEADER) {
        headers.insert(problem::REQUEST_ID_HEADER, request_header(request));
    }
    if context.decision_client.is_closing()
        && http::Version::borrow_from(&state) != &http::Version::HTTP_2
    {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok((state, response))
}

async fn model(state: &mut State, context: &Context, request: id::RequestId) -> RouteResult {
    let key_sha256 = bearer_sha256(HeaderMap::borrow_from(state))?;
    let deadline = duration_header(HeaderMap::borrow_from(state), DEADLINE)?;
    let path = Uri::borrow_from(state).path().to_owned();
    let bytes = read_body(state, context).await?;
    let parsed = openai::parse(&path, &bytes);
    let mut call =
        parsed.map_err(|fault| problem::not_run(action::RefusalKind::BadRequest, fault))?;
    call.key_sha256 = key_sha256;
    call.deadline = call.deadline.or(deadline);
    call.secret = request.secret;
    let decision = context.decision_client.decide(|number| {
        call.call = number;
        event::CallerEvent::Model(Box::new(call))
    });
    respond(context, decision.await, AnswerFormat::AsRequested).await
}

async fn models(state: &mut State, context: &Context) -> RouteResult {
    let key_sha256 = bearer_sha256(HeaderMap::borrow_from(state))?;
    let decision =
        context.decision_client.decide(|call| event::CallerEvent::Services { call, key_sha256 });
    respond(context, decision.await, AnswerFormat::AsRequested).await
}

async fn find(state: &mut State, context: &Context) -> RouteResult {
    let headers = HeaderMap::borrow_from(state);
    let key_sha256 = bearer_sha256(headers)?;
    let text = Uri::borrow_from(state).path().rsplit('/').next().unwrap_or_default();
    let not_found = |_| problem::not_run(action::RefusalKind::NotFound, UNKNOWN_REQUEST);
    let request: id::RequestId = text.parse().map_err(not_found)?;
    let offset = last_event_offset(headers, request)?;
    let decision = context.decision_client.decide(|call| {
        event::CallerEvent::Find(event::FindCall { call, key_sha256, request, offset })
    });
    respond(context, decision.await, answer_format(headers)).await
}

async fn plain(state: &mut State, context: &Context, request: id::RequestId) -> RouteResult {
    let headers = HeaderMap::borrow_from(state);
    let key_sha256 = bearer_sha256(headers)?;
    let idempotency_key = key_header(headers, IDEMPOTENCY_KEY)?;
    let is_repetition = text_header(headers, KEY_REPEATED).is_some_and(|value| value == "true");
    let key_created_at = duration_header(headers, KEY_CREATED)?;
    let sequence = sequence_position(headers)?;
    let deadline = duration_header(headers, DEADLINE)?;
    let content_type = text_header(headers, header::CONTENT_TYPE.as_str()).unwrap_or_default();
    let method = Method::borrow_from(state).as_str().to_owned();
    let uri = Uri::borrow_from(state);
    let rest = uri.path().strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let (service, path) = (service.to_owned(), path.to_owned());
    let query = uri.query().unwrap_or_default().to_owned();
    let bytes = read_body(state, context).await?;
    let mut call = event::PlainCall {
        call: 0,
        key_sha256,
        request_sha256: request_sha256(&[&method, &service, &path, &query], &bytes),
        service,
        method,
        path,
        query,
        content_type,
        body: bytes.to_vec(),
        idempotency_key,
        is_repetition,
        key_created_at,
        sequence,
        deadline,
        secret: request.secret,
    };
    let decision = context.decision_client.decide(|number| {
        call.call = number;
        event::CallerEvent::Plain(Box::new(call))
    });
    respond(context, decision.await, AnswerFormat::AsRequested).await
}

/// Format in which an answer is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerFormat {
    /// As the original request asked: an event stream if it set `stream`, else one JSON body.
    AsRequested,
    /// Always an event stream.
    Events,
}

async fn respond(
    context: &Context,
    decision: decision_client::Decision,
    answer_format: AnswerFormat,
) -> RouteResult {
    match decision {
        decision_client::Decision::Refuse(refusal) => Err(refusal),
        decision_client::Decision::Attach(answer, offset) => {
            let metadata = answer.metadata.clone();
            let decision_client = Arc::clone(&context.decision_client);
            let reader =
                reader::Reader::local(decision_client, context.peers.clone(), answer, offset);
            answer_response(metadata, reader, answer_format).await
        }
        decision_client::Decision::Relay(target) => {
            relay_answer(context, target, answer_format).await
        }
        decision_client::Decision::Plain(answered) => Ok(plain_response(answered)),
        decision_client::Decision::Services(services) => Ok(json(openai::models(&services))),
    }
}

async fn answer_response(
    metadata: answer::Metadata,
    reader: reader::Reader,
    answer_format: AnswerFormat,
) -> RouteResult {
    if metadata.streamed || answer_format == AnswerFormat::Events {
        Ok(streaming::stream_response(metadata, reader))
    } else {
        streaming::full_response(&metadata, reader).await
    }
}

/// Sends the answer to a request that another node holds.
async fn relay_answer(
    context: &Context,
    target: decision_client::RelayTarget,
    answer_format: AnswerFormat,
) -> RouteResult {
    let decision_client::RelayTarget { request, organisation, offset, nodes } = target;
    let mut remote =
        relay::RemoteAnswer::new(context.peers.clone(), request, organisation, nodes, offset);
    match remote.read().await {
        Some(relay::FoundAnswer::Model(Some(metadata), first)) => {
            let decision_client = Arc::clone(&context.decision_client);
            let peers = context.peers.clone();
            let reader = reader::Reader::remote(decision_client, peers, remote, offset, first);
            answer_response(metadata, reader, answer_format).await
        }
        Some(relay::FoundAnswer::Plain(reply)) => {
            Ok(plain_response(decision_client::AnsweredCall {
                request,
                answer: event::PlainAnswer {
                    status: reply.status as u16,
                    content_type: reply.content_type,
                    body: reply.body,
                },
                is_replay: false,
            }))
        }
        Some(relay::FoundAnswer::Model(None, _)) | None => {
            Err(problem::not_run(action::RefusalKind::NotFound, UNKNOWN_REQUEST))
        }
    }
}

fn plain_response(answered: decision_client::AnsweredCall) -> Response<Body> {
    let mut response = Response::new(body::full(answered.answer.body));
    *response.status_mut() =
        StatusCode::from_u16(answered.answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    if let Ok(content_type) = HeaderValue::from_str(&answered.answer.content_type)
        && !content_type.is_empty()
    {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    headers.insert(problem::REQUEST_ID_HEADER, request_header(answered.request));
    headers.insert("x-outcome", HeaderValue::from_static("answered"));
    if answered.is_replay {
        headers.insert("idempotent-replayed", HeaderValue::from_static("true"));
    }
    response
}

async fn status(context: &Context) -> RouteResult {
    let status = context.monitoring.status().await.ok_or_else(stopping_refusal)?;
    Ok(json(serde_json::to_vec(&status).unwrap_or_default()))
}

async fn timeline(state: &mut State, context: &Context) -> RouteResult {
    let query = Uri::borrow_from(state).query().unwrap_or_default();
    let after = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("after="))
        .map_or(Ok(0), str::parse)
        .map_err(|_| problem::not_run(action::RefusalKind::BadRequest, "`after` is no number"))?;
    let page = context
        .monitoring
        .timeline(after, TIMELINE_PAGE_EVENTS)
        .await
        .ok_or_else(stopping_refusal)?;
    Ok(json(serde_json::to_vec(&page).unwrap_or_default()))
}

fn stopping_refusal() -> action::Refusal {
    problem::not_run(action::RefusalKind::Unavailable, "this node is stopping")
}

fn ready(context: &Context) -> Response<Body> {
    if context.decision_client.is_ready() {
        return text("ready\n");
    }
    let mut response = text("not ready\n");
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

async fn read_body(state: &mut State, context: &Context) -> Result<Bytes, action::Refusal> {
    let limit_bytes = context.limits.max_body_bytes as usize;
    let limited = Limited::new(Body::take_from(state), limit_bytes);
    match tokio::time::timeout(context.limits.read_timeout, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(problem::not_run(
            action::RefusalKind::TooLarge,
            format!("the body is larger than {limit_bytes} bytes"),
        )),
        Ok(Err(_)) => Err(problem::not_run(
            action::RefusalKind::BadRequest,
            "the body could not be read to its end",
        )),
        Err(_) => {
            Err(problem::not_run(action::RefusalKind::Timeout, "the body did not come in time"))
        }
    }
}

fn bearer_sha256(headers: &HeaderMap) -> Result<event::Sha256, action::Refusal> {
    let value = text_header(headers, header::AUTHORIZATION.as_str()).unwrap_or_default();
    let (scheme, key) = value.split_once(' ').unwrap_or_default();
    if !scheme.eq_ignore_ascii_case("bearer") || key.trim().is_empty() {
        return Err(problem::not_run(
            action::RefusalKind::Unauthorized,
            "a key is wanted as `Authorization: Bearer KEY`",
        ));
    }
    Ok(Sha256::digest(key.trim()).into())
}

fn request_sha256(parts: &[&str], bytes: &[u8]) -> event::Sha256 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.update(bytes);
    hasher.finalize().into()
}

fn text_header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

fn invalid_header(name: &str, expected: &str) -> action::Refusal {
    problem::not_run(action::RefusalKind::BadRequest, format!("header {name} must be {expected}"))
}

fn key_header(headers: &HeaderMap, name: &str) -> Result<Option<String>, action::Refusal> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(invalid_header(name, "1 to 255 visible ASCII characters"));
    }
    Ok(Some(text.to_owned()))
}

fn sequence_position(
    headers: &HeaderMap,
) -> Result<Option<event::SequencePosition>, action::Refusal> {
    let sequence = key_header(headers, SEQUENCE)?;
    let position = text_header(headers, SEQUENCE_POSITION);
    match (sequence, position) {
        (None, None) => Ok(None),
        (Some(sequence), Some(position)) => match position.parse() {
            Ok(position) if position > 0 => {
                Ok(Some(event::SequencePosition { sequence, position }))
            }
            _ => Err(invalid_header(SEQUENCE_POSITION, "a whole number from 1")),
        },
        (Some(_), None) => Err(invalid_header(SEQUENCE_POSITION, "given with x-sequence")),
        (None, Some(_)) => Err(invalid_header(SEQUENCE, "given with x-sequence-position")),
    }
}

fn duration_header(headers: &HeaderMap, name: &str) -> Result<Option<Duration>, action::Refusal> {
    let Some(text) = text_header(headers, name) else { return Ok(None) };
    let parsed: Result<u64, _> = text.parse();
    let millis = parsed.map_err(|_| invalid_header(name, "a whole number of milliseconds"))?;
    Ok(Some(Duration::from_millis(millis)))
}

/// Byte offset in `Last-Event-ID`; 0 if the header is absent.
fn last_event_offset(headers: &HeaderMap, request: id::RequestId) -> Result<u64, action::Refusal> {
    let Some(last) = text_header(headers, LAST_EVENT_ID) else { return Ok(0) };
    let fault = || invalid_header("Last-Event-ID", "the id of an event of this request");
    let (id, offset) = last.split_once(':').ok_or_else(fault)?;
    if id != request.to_string() {
        return Err(fault());
    }
    offset.parse().map_err(|_| fault())
}

fn answer_format(headers: &HeaderMap) -> AnswerFormat {
    let accept = text_header(headers, header::ACCEPT.as_str()).unwrap_or_default();
    let wants_events = accept.contains(streaming::EVENT_STREAM_TYPE);
    if wants_events || headers.contains_key(LAST_EVENT_ID) {
        AnswerFormat::Events
    } else {
        AnswerFormat::AsRequested
    }
}

fn request_header(request: id::RequestId) -> HeaderValue {
    HeaderValue::from_str(&request.to_string()).unwrap_or(HeaderValue::from_static("invalid"))
}

fn text(text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(body::full(text));
    let value = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

fn json(bytes: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(body::full(bytes));
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
