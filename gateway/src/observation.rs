//! Readiness for the balancer, and metrics.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use slog::warn;
use tokio::net::TcpListener;
use tokio::time;

use crate::context::Context;
use crate::shutdown::Phase;

/// Time for which a connection for readiness or metrics may be idle; the balancer asks every
/// second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Where metrics are served.
const METRICS_PATH: &str = "/metrics";

/// Serves readiness, and metrics where `metrics` is given.
pub(crate) async fn serve(
    context: Context,
    listener: TcpListener,
    metrics: Option<PrometheusHandle>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let context = context.clone();
                let metrics = metrics.clone();
                tokio::spawn(async move {
                    let service = hyper::service::service_fn(move |request| {
                        let response = respond(&context, metrics.as_ref(), &request);
                        std::future::ready(Ok::<_, Infallible>(response))
                    });
                    let connection = http1::Builder::new()
                        .timer(TokioTimer::new())
                        .header_read_timeout(IDLE_TIMEOUT)
                        .serve_connection(TokioIo::new(stream), service);
                    // Its error is the other side's leaving.
                    let _ = connection.await;
                });
            }
            Err(error) => {
                warn!(context.logger, "cannot accept an observer"; "error" => %error);
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn respond(
    context: &Context,
    metrics: Option<&PrometheusHandle>,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    if let (METRICS_PATH, Some(metrics)) = (request.uri().path(), metrics) {
        return Response::new(Full::new(metrics.render().into()));
    }
    let is_ready = context.phase() == Phase::Serving && context.dispatcher().is_ready();
    let mut response = Response::new(Full::default());
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
