//! Serves answers that need no I/O: readiness, metrics and handovers.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::warn;
use tokio::net::TcpListener;
use tokio::time;

use crate::context::Context;

/// Pause after a failed accept, such as for want of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Whom a server is for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClientSettings {
    /// What log lines call one of them.
    pub(crate) connection_kind: &'static str,
    /// Time for which a connection may be idle.
    pub(crate) idle_timeout: Duration,
}

/// Answers requests with `respond` until the gateway ends.
pub(crate) async fn serve(
    context: Context,
    listener: TcpListener,
    clients: ClientSettings,
    respond: impl Fn(&Context, &Request<Incoming>) -> Response<Full<Bytes>> + Clone + Send + 'static,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (context, respond) = (context.clone(), respond.clone());
                tokio::spawn(async move {
                    let service = hyper::service::service_fn(move |request| {
                        let response = respond(&context, &request);
                        std::future::ready(Ok::<_, Infallible>(response))
                    });
                    let connection = http1::Builder::new()
                        .timer(TokioTimer::new())
                        .header_read_timeout(clients.idle_timeout)
                        .serve_connection(TokioIo::new(stream), service);
                    // Its error is the other side's leaving.
                    let _ = connection.await;
                });
            }
            Err(error) => {
                warn!(context.logger, "cannot accept {}", clients.connection_kind; "error" => %error);
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
