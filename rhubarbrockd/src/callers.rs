//! HTTP server for callers: connections, their limits and time-outs, TLS.

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anyhow::Context as _;
use gotham::router::Router;
use gotham::state::State;
use hyper::body::Incoming;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio_rustls::TlsAcceptor;

use crate::{handlers, settings};

/// Delay after a failed accept, e.g. when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time for the first request on a connection that is accepted while the node is closing.
const LATE_CONNECTION_GRACE: Duration = Duration::from_millis(500);

/// Time limit of the TLS handshake.
const TLS_HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves callers on one listener.
pub struct Server {
    router: Router,
    context: handlers::Context,
    limits: settings::Limits,
    tls: Option<TlsAcceptor>,
    closing: watch::Receiver<bool>,
    open_connections: Arc<AtomicUsize>,
}

impl Server {
    /// Creates a server that closes its connections after their current response once `closing` is
    /// true. `open_connections` is kept up to date.
    pub fn new(
        context: handlers::Context,
        tls: Option<TlsAcceptor>,
        closing: watch::Receiver<bool>,
        open_connections: Arc<AtomicUsize>,
    ) -> Server {
        let limits = context.limits;
        let router = handlers::router();
        Server { router, context, limits, tls, closing, open_connections }
    }

    /// Accepts connections until the process ends.
    pub async fn serve(self, listener: TcpListener) {
        let server = Arc::new(self);
        let permits = Arc::new(Semaphore::new(server.limits.max_connections as usize));
        loop {
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
            match listener.accept().await {
                Ok((stream, caller)) => {
                    let server = Arc::clone(&server);
                    tokio::spawn(async move {
                        server.open_connections.fetch_add(1, Ordering::AcqRel);
                        Arc::clone(&server).handle_connection(stream, caller).await;
                        server.open_connections.fetch_sub(1, Ordering::AcqRel);
                        drop(permit);
                    });
                }
                Err(_) => {
                    metrics::counter!("rhubarbrock_accept_failures_total").increment(1);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn handle_connection(self: Arc<Self>, stream: TcpStream, caller: SocketAddr) {
        let _ = stream.set_nodelay(true);
        match self.tls.clone() {
            None => self.serve_requests(stream, caller).await,
            Some(acceptor) => {
                let handshake =
                    tokio::time::timeout(TLS_HANDSHAKE_TIMEOUT, acceptor.accept(stream));
                if let Ok(Ok(stream)) = handshake.await {
                    self.serve_requests(stream, caller).await;
                } else {
                    metrics::counter!("rhubarbrock_tls_failures_total").increment(1);
                }
            }
        }
    }

    async fn serve_requests(
        self: Arc<Self>,
        stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
        caller: SocketAddr,
    ) {
        let builder = self.builder();
        let mut closing = self.closing.clone();
        let service = hyper::service::service_fn(move |request| {
            Arc::clone(&self).handle_request(request, caller)
        });
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        // A connection that is accepted while the node is closing still gets its first response.
        let grace = if *closing.borrow() { LATE_CONNECTION_GRACE } else { Duration::ZERO };
        let shutdown_due = async move {
            let _ = closing.wait_for(|closing| *closing).await;
            tokio::time::sleep(grace).await;
        };
        tokio::pin!(shutdown_due);
        let mut is_shutting_down = false;
        loop {
            tokio::select! {
                _ = connection.as_mut() => return,
                () = shutdown_due.as_mut(), if !is_shutting_down => {
                    connection.as_mut().graceful_shutdown();
                    is_shutting_down = true;
                }
            }
        }
    }

    async fn handle_request(
        self: Arc<Self>,
        request: http::Request<Incoming>,
        caller: SocketAddr,
    ) -> anyhow::Result<http::Response<gotham::helpers::http::Body>> {
        let mut state = State::from_request(request, caller);
        state.put(self.context.clone());
        gotham::service::call_handler(self.router.clone(), AssertUnwindSafe(state)).await
    }

    fn builder(&self) -> auto::Builder<TokioExecutor> {
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.read_timeout)
            .max_buf_size(self.limits.max_header_bytes as usize);
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_concurrent_streams(self.limits.max_streams)
            .max_header_list_size(self.limits.max_header_bytes)
            .keep_alive_interval(Some(self.limits.read_timeout));
        builder
    }
}

/// Binds the callers' address.
///
/// The error names the address and its flag.
pub fn bind(address: SocketAddr) -> anyhow::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)
        .with_context(|| format!("cannot listen on {address} (--caller-address)"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
