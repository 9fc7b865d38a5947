//! HTTP server for callers.

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use std::{future, io};

use bytes::Bytes;
use forwarding::dispatcher::{Dispatcher, Outcome};
use forwarding::refusal::RefusalReason;
use forwarding::release::Limits;
use forwarding::request::Request;
use futures_util::stream;
use gotham::handler::{Handler, HandlerFuture, HandlerResult, NewHandler};
use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;
use platform::headers;
use slog::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{self, JoinSet};
use tokio::time;

use crate::caller_limits::{Caller, CallerLimits};
use crate::context::Context;
use crate::exchange::{Exchange, OutgoingRequest};
use crate::give_up::GiveUpReason;
use crate::logger;
use crate::open_requests::{CallerStream, ConnectionState, OpenRequest, Stage};
use crate::relay::{self, Relay};
use crate::request_body::{self, BodyError};
use crate::shutdown::{self, Phase};

/// Delay after a failed accept, for example when the process has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Header read timeout of a connection, as a multiple of the idle timeout in force when it is
/// accepted. The surplus covers a later release with a longer idle timeout.
const HEADER_READ_TIMEOUT_FACTOR: u32 = 4;

/// Accepts callers' connections until the last phase of the shutdown, and serves them. All of them
/// are closed when this is dropped.
pub(crate) async fn serve(context: Context, listener: TcpListener) {
    let mut connections = JoinSet::new();
    let mut listener = Some(listener);
    let mut ending = shutdown::wait_until(Phase::Ending, context.phase.clone());
    loop {
        tokio::select! {
            () = &mut ending, if listener.is_some() => listener = None,
            accepted = accept(&listener) => match accepted {
                Ok((stream, caller)) => {
                    if let Some(limited) = CallerLimits::open(&context.caller_limits) {
                        let context = context.clone();
                        connections.spawn(serve_connection(context, stream, limited, caller));
                    }
                    // The task of a connection that yields closes it.
                    if context.caller_limits.is_full() {
                        task::yield_now().await;
                    }
                }
                Err(error) => {
                    warn!(context.logger, "cannot accept a connection"; "error" => %error);
                    time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(ended) = connections.join_next() => {
                if let Err(error) = ended {
                    warn!(context.logger, "a connection's task failed"; "error" => %error);
                }
            }
        }
    }
}

async fn accept(listener: &Option<TcpListener>) -> io::Result<(TcpStream, SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await,
        None => future::pending().await,
    }
}

async fn serve_connection(
    context: Context,
    stream: TcpStream,
    limited: Caller,
    caller: SocketAddr,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limits = limits(&context.dispatcher());
    let mut closing = shutdown::wait_until(Phase::Closing, context.phase.clone());
    let stream = CallerStream::new(stream, limited, Arc::clone(&context.open_requests));
    let opener = stream.opener();
    let yielding = stream.closing();
    let service = {
        let opener = opener.clone();
        hyper::service::service_fn(move |request| {
            respond(context.clone(), opener.open(), request, caller)
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout * HEADER_READ_TIMEOUT_FACTOR)
        .max_buf_size(limits.max_header_bytes.max(8 * 1024))
        .serve_connection(stream, service);
    tokio::pin!(connection, yielding);
    tokio::select! {
        // Fails if the caller disconnects or sends an invalid request.
        _ = connection.as_mut() => return,
        () = &mut yielding => return,
        () = &mut closing => {}
    }
    // The request of a new connection is under way, and is refused with an answer.
    if opener.had_request() {
        connection.as_mut().graceful_shutdown();
    }
    tokio::select! {
        _ = connection.as_mut() => {}
        () = &mut yielding => {}
    }
}

fn limits(dispatcher: &Dispatcher) -> Limits {
    dispatcher.release().map(|release| release.limits).unwrap_or_default()
}

async fn respond(
    context: Context,
    open_request: OpenRequest,
    request: http::Request<Incoming>,
    caller: SocketAddr,
) -> anyhow::Result<Response<Body>> {
    let mut state = State::from_request(request, caller);
    state.put(context.clone());
    state.put(open_request);
    let mut response = gotham::service::call_handler(Forward, AssertUnwindSafe(state)).await?;
    if response.headers().contains_key(CONNECTION) {
        return Ok(response);
    }
    if context.phase() == Phase::Serving {
        let grace = context.dispatcher().settings.bounds.grace;
        let idle_time = shutdown::keep_alive_time(grace);
        response.headers_mut().insert(headers::KEEP_ALIVE, headers::keep_alive(idle_time));
    } else {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Handler of all requests, regardless of method and path.
#[derive(Debug, Clone, Copy)]
struct Forward;

impl NewHandler for Forward {
    type Instance = Forward;

    fn new_handler(&self) -> anyhow::Result<Forward> {
        Ok(Forward)
    }
}

impl Handler for Forward {
    fn handle(self, state: State) -> Pin<Box<HandlerFuture>> {
        Box::pin(handle(state))
    }
}

async fn handle(mut state: State) -> HandlerResult {
    let context = Context::borrow_from(&state).clone();
    let method = Method::take_from(&mut state);
    let uri = Uri::take_from(&mut state);
    let headers = HeaderMap::take_from(&mut state);
    let body = Body::take_from(&mut state);
    let mut open_request = OpenRequest::take_from(&mut state);
    let response = tokio::select! {
        biased;
        response = forward(&context, &mut open_request, method, uri, headers, body) => response,
        () = shutdown::wait_until(Phase::Ending, context.phase.clone()) => {
            ended_response(&context, &open_request)
        }
    };
    Ok((state, response.map(|body| open_request.answer_with(body))))
}

/// Answer to a request that the end of the grace time interrupts.
fn ended_response(context: &Context, open_request: &OpenRequest) -> Response<Body> {
    let (reason, text) = match open_request.stage() {
        Stage::ReadingBody => {
            let refusal = RefusalReason::Stopping;
            (GiveUpReason::NotRun(refusal), refusal.to_string())
        }
        Stage::Running | Stage::Answering => (
            GiveUpReason::Failed(Outcome::TimedOut),
            "the request may have run; the gateway is about to stop".to_owned(),
        ),
    };
    let status = reason.status();
    info!(context.logger, "request ended by the shutdown"; "status" => status.as_u16());
    error_response(status, reason.retry_after(), &text)
}

async fn forward(
    context: &Context,
    open_request: &mut OpenRequest,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Body,
) -> Response<Body> {
    let mut parts = http::Request::new(()).into_parts().0;
    parts.method = method;
    parts.uri = uri;
    parts.headers = headers;
    let request = match headers::decode_request(&parts) {
        Ok(request) => request,
        Err(error) => {
            info!(context.logger, "invalid request head"; "error" => %error);
            return error_response(StatusCode::BAD_REQUEST, None, &error.to_string());
        }
    };
    let arrived_at = context.now();
    let connection = open_request.connection();
    if let Some(connection) = &connection {
        set_organisation(context, connection, &request);
    }
    let limits = limits(&context.dispatcher());
    let body = match request_body::read(connection, body, limits, request.time_left).await {
        Ok(body) => body,
        Err(error) => {
            info!(context.logger, "request body not read";
                "request" => &request.attempt_id, "reason" => %error);
            return unread_response(open_request, error);
        }
    };
    open_request.set_stage(Stage::Running);
    let admission = match context.phase() {
        Phase::Closing | Phase::Ending => Err(RefusalReason::Stopping),
        Phase::Serving | Phase::Leaving => context.dispatcher().admit(arrived_at, &request, &body),
    };
    let admitted = match admission {
        Ok(admitted) => admitted,
        Err(refusal) => {
            let reason = GiveUpReason::NotRun(refusal);
            log_spent_quota(context, &request, &refusal);
            return refusal_response(context, &request.attempt_id, arrived_at, reason);
        }
    };
    let outgoing = OutgoingRequest {
        method: parts.method,
        uri: origin_form(&parts.uri),
        headers: parts.headers,
        body,
        last_event_id: request.last_event_id,
    };
    let attempt_id = request.attempt_id;
    match run_attempts(Exchange::new(context.clone(), admitted, outgoing)).await {
        Ok(response) => response,
        Err(reason) => refusal_response(context, &attempt_id, arrived_at, reason),
    }
}

/// Makes attempts until an answer can be passed to the caller. If the last attempt allowed ends with
/// a server error of an endpoint, passes on that answer.
async fn run_attempts(mut exchange: Exchange) -> Result<Response<Body>, GiveUpReason> {
    let mut failed_answer = None;
    loop {
        let answer = match exchange.send_until_answered(None).await {
            Ok(answer) => answer,
            Err(reason) => return failed_answer.ok_or(reason),
        };
        if answer.head.is_event_stream && answer.status == StatusCode::OK {
            match relay::start(exchange, answer).await {
                Ok(stream) => return Ok(stream_response(stream)),
                Err((returned_exchange, outcome)) => {
                    exchange = *returned_exchange;
                    exchange.fail(outcome)?;
                }
            }
            continue;
        }
        match exchange.read_whole(answer).await {
            Err(outcome) => exchange.fail(outcome)?,
            Ok(response) if response.status().is_server_error() => {
                failed_answer = Some(response.map(full));
                if let Err(reason) = exchange.fail(Outcome::Failed) {
                    return failed_answer.ok_or(reason);
                }
            }
            Ok(response) => {
                exchange.succeed();
                return Ok(response.map(full));
            }
        }
    }
}

fn stream_response(stream: relay::StartedStream) -> Response<Body> {
    let frames = stream::unfold(Some(stream.relay), |relay: Option<Relay>| async move {
        let mut relay = relay?;
        let chunk = relay.next().await?;
        let next = chunk.is_ok().then_some(relay);
        Some((chunk.map(Frame::data), next))
    });
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
    *response.status_mut() = stream.status;
    *response.headers_mut() = headers::encode_answer(&stream.headers);
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    response
}

/// Counts what a request holds towards its organisation, if its key names one.
fn set_organisation(context: &Context, connection: &ConnectionState, request: &Request) {
    let release = context.dispatcher().release().cloned();
    let known = release.as_ref().zip(request.key.as_ref());
    let organisation = known.and_then(|(release, key)| release.organisation_of(key));
    connection.caller.set_organisation(organisation.map_or("", |known| &known.name));
}

/// Answer to a request whose body has not been read to its end; its connection is closed.
fn unread_response(open_request: &OpenRequest, error: BodyError) -> Response<Body> {
    if let Some(connection) = open_request.connection() {
        connection.on_unread_body();
    }
    let mut response = error_response(error.status(), error.retry_after(), &error.to_string());
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Logs the organisation whose quota is spent. The answer to the caller does not name it.
fn log_spent_quota(context: &Context, request: &Request, refusal: &RefusalReason) {
    let RefusalReason::OverQuota(shortage) = refusal else { return };
    let release = context.dispatcher().release().cloned();
    let Some((release, key)) = release.zip(request.key.as_ref()) else { return };
    let Some(organisation) = release.organisation_of(key) else { return };
    info!(context.logger, "quota spent";
        "request" => &request.attempt_id, "organisation" => &organisation.name,
        "quota" => ?organisation.quota, "release" => release.version,
        "units" => shortage.units, "balance_units" => shortage.balance_units,
        "share_percent" => shortage.share_percent, "room_units" => shortage.room_units);
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}

fn refusal_response(
    context: &Context,
    attempt_id: &str,
    arrived_at: Duration,
    reason: GiveUpReason,
) -> Response<Body> {
    let status = reason.status();
    metrics::counter!("gateway_refusals_total", "status" => status.as_str().to_owned())
        .increment(1);
    info!(context.logger, "request not answered";
        "request" => attempt_id, "status" => status.as_u16(), "reason" => ?reason,
        "after_ms" => logger::as_ms(context.now().saturating_sub(arrived_at)));
    let text = match reason {
        GiveUpReason::NotRun(refusal) => refusal.to_string(),
        GiveUpReason::Exhausted(_) => {
            "the request may have run; no endpoint is left to try".to_owned()
        }
        GiveUpReason::Failed(outcome) => {
            format!("the request may have run; its attempt: {outcome}")
        }
    };
    error_response(status, reason.retry_after(), &text)
}

fn error_response(
    status: StatusCode,
    retry_after: Option<HeaderValue>,
    text: &str,
) -> Response<Body> {
    let mut response = Response::new(full(Bytes::from(text.to_owned())));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(wait) = retry_after {
        response.headers_mut().insert(RETRY_AFTER, wait);
    }
    response
}

fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
