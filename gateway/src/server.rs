//! HTTP server for answers that need no I/O: readiness, metrics and handovers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::warn;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time;

use crate::context::Context;

/// Delay after a failed accept, for example when the process has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Properties of the connections that a server accepts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClientSettings {
    /// Name of a connection in log lines, with an article.
    pub(crate) connection_kind: &'static str,
    /// Maximum time until the next request head is complete, and for which a client may leave sent
    /// bytes unacknowledged.
    pub(crate) idle_timeout: Duration,
    /// Maximum number of connections; others are closed at once.
    pub(crate) max_connections: usize,
    /// Maximum age of a connection; `None` if unlimited.
    pub(crate) max_age: Option<Duration>,
}

/// Answers requests with `respond` for as long as the process runs.
pub(crate) async fn serve(
    context: Context,
    listener: TcpListener,
    clients: ClientSettings,
    respond: impl Fn(&Context, &Request<Incoming>) -> Response<Full<Bytes>> + Clone + Send + 'static,
) {
    let slots = Arc::new(Semaphore::new(clients.max_connections));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Ok(slot) = slots.clone().try_acquire_owned() else { continue };
                let timeout = Some(clients.idle_timeout);
                if socket2::SockRef::from(&stream).set_tcp_user_timeout(timeout).is_err() {
                    continue;
                }
                let (context, respond) = (context.clone(), respond.clone());
                tokio::spawn(async move {
                    let _slot = slot;
                    let service = hyper::service::service_fn(move |request| {
                        let response = respond(&context, &request);
                        std::future::ready(Ok::<_, Infallible>(response))
                    });
                    let connection = http1::Builder::new()
                        .timer(TokioTimer::new())
                        .header_read_timeout(clients.idle_timeout)
                        .serve_connection(TokioIo::new(stream), service);
                    // Fails if the client disconnects or sends an invalid request.
                    match clients.max_age {
                        Some(max_age) => drop(time::timeout(max_age, connection).await),
                        None => drop(connection.await),
                    }
                });
            }
            Err(error) => {
                warn!(context.logger, "cannot accept {}", clients.connection_kind; "error" => %error);
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
