//! HTTP endpoints for the load balancer's readiness check and for metrics.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;

use crate::context::Context;
use crate::server::{self, ClientSettings};
use crate::shutdown::Phase;

/// The load balancer checks readiness every second.
const MONITORING_CLIENTS: ClientSettings = ClientSettings {
    connection_kind: "a monitoring connection",
    idle_timeout: Duration::from_secs(20),
    max_connections: 64,
    max_age: None,
};

/// Path of the metrics. Every other path answers the readiness check.
const METRICS_PATH: &str = "/metrics";

/// Serves the readiness check, and metrics if `metrics` is given.
pub(crate) async fn serve(
    context: Context,
    listener: TcpListener,
    metrics: Option<PrometheusHandle>,
) {
    let respond = move |context: &Context, request: &Request<Incoming>| {
        respond(context, metrics.as_ref(), request)
    };
    server::serve(context, listener, MONITORING_CLIENTS, respond).await;
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
