//! Pool of persistent connections to endpoints.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use forwarding::dispatcher::Target;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time;

/// Timeout of a connection attempt: several round trips between data centres, and less than half of
/// the shortest latency target of a plain service.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Keep-alive time that is assumed if the endpoint states none.
const DEFAULT_KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum time for which an idle connection is kept, whatever the endpoint states.
const MAX_KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Fraction of the keep-alive time after which an idle connection is closed, so that the endpoint
/// does not close it while a request is being sent.
const KEEP_ALIVE_SHARE: f64 = 0.6;

/// Maximum number of idle connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 24;

/// Time after which the kernel closes a connection whose sent bytes are not acknowledged.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum length of the head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Connection to an endpoint, closed when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: http1::SendRequest<Full<Bytes>>,
    /// Whether it has carried a request before.
    pub(crate) is_reused: bool,
    task: AbortHandle,
    /// Whether the endpoint sent bytes that belong to no answer.
    has_stray_bytes: Arc<AtomicBool>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    process_start_ms: u64,
    expires_at: Instant,
}

/// Idle connections by endpoint id.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<String, Vec<IdleConnection>>>,
}

impl Pool {
    /// Returns an idle connection to the endpoint if `may_reuse` allows it and there is one, or else
    /// a new connection.
    pub(crate) async fn check_out(
        &self,
        target: &Target,
        may_reuse: bool,
    ) -> std::io::Result<Connection> {
        if may_reuse && let Some(connection) = self.take_idle(target) {
            return Ok(connection);
        }
        connect(target).await
    }

    fn take_idle(&self, target: &Target) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&target.id)?;
        let now = Instant::now();
        while let Some(idle_connection) = connections.pop() {
            let is_current = idle_connection.process_start_ms == target.process_start_ms
                && now < idle_connection.expires_at;
            if is_current && idle_connection.connection.sender.is_ready() {
                return Some(idle_connection.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool. The last answer must have been read completely.
    pub(crate) fn check_in(
        &self,
        target: &Target,
        mut connection: Connection,
        keep_alive_timeout: Option<Duration>,
    ) {
        if connection.sender.is_closed() {
            return;
        }
        connection.is_reused = true;
        let timeout =
            keep_alive_timeout.unwrap_or(DEFAULT_KEEP_ALIVE_TIMEOUT).min(MAX_KEEP_ALIVE_TIMEOUT);
        let lifetime = timeout.mul_f64(KEEP_ALIVE_SHARE);
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(target.id.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_ENDPOINT {
            let expires_at = Instant::now() + lifetime;
            connections.push(IdleConnection {
                connection,
                process_start_ms: target.process_start_ms,
                expires_at,
            });
        }
    }

    /// Closes all idle connections to an endpoint.
    pub(crate) fn remove(&self, endpoint: &str) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(endpoint);
    }

    /// Closes expired connections. Returns the ids of endpoints that sent bytes on idle connections.
    pub(crate) fn remove_expired(&self) -> Vec<String> {
        let now = Instant::now();
        let mut with_stray_bytes = Vec::new();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for (id, connections) in idle.iter_mut() {
            if connections.iter().any(|idle_connection| {
                idle_connection.connection.has_stray_bytes.load(Ordering::Relaxed)
            }) {
                with_stray_bytes.push(id.clone());
            }
            connections.retain(|idle_connection| {
                now < idle_connection.expires_at && !idle_connection.connection.sender.is_closed()
            });
        }
        idle.retain(|_, connections| !connections.is_empty());
        with_stray_bytes
    }
}

async fn connect(target: &Target) -> std::io::Result<Connection> {
    let connecting = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target.address));
    let stream = connecting.await.map_err(|_| std::io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    let handshake = builder.handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.map_err(std::io::Error::other)?;
    let has_stray_bytes = Arc::new(AtomicBool::new(false));
    let stray_bytes_flag = Arc::clone(&has_stray_bytes);
    let task = tokio::spawn(async move {
        let Err(error) = connection.await else { return };
        // Errors from the transport have a source; those from bytes outside an answer have none.
        if std::error::Error::source(&error).is_none() && !error.is_incomplete_message() {
            stray_bytes_flag.store(true, Ordering::Relaxed);
        }
    });
    metrics::counter!("gateway_endpoint_connections_total").increment(1);
    Ok(Connection { sender, is_reused: false, task: task.abort_handle(), has_stray_bytes })
}
