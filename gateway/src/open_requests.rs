//! Callers' requests whose answers are not completely written yet.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use gotham::helpers::http::Body;
use gotham::state::StateData;
use hyper::body::{Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Progress of an open request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its body is being read.
    ReadingBody,
    /// Its answer has not begun.
    Running,
    /// Its answer is being written.
    Answering,
}

/// Number of open requests by stage, and number of callers' connections.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    reading_body: AtomicUsize,
    running: AtomicUsize,
    answering: AtomicUsize,
    connections: AtomicUsize,
}

impl Counters {
    /// Number of open requests in a stage.
    pub(crate) fn in_stage(&self, stage: Stage) -> usize {
        self.stage(stage).load(Ordering::Relaxed)
    }

    /// Number of all open requests.
    pub(crate) fn total(&self) -> usize {
        [Stage::ReadingBody, Stage::Running, Stage::Answering]
            .into_iter()
            .map(|stage| self.in_stage(stage))
            .sum()
    }

    /// Number of open connections, idle ones included.
    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    fn stage(&self, stage: Stage) -> &AtomicUsize {
        match stage {
            Stage::ReadingBody => &self.reading_body,
            Stage::Running => &self.running,
            Stage::Answering => &self.answering,
        }
    }
}

/// Guard that counts one request as open.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    counters: Arc<Counters>,
    stage: Stage,
    connection: Weak<ConnectionState>,
}

impl StateData for OpenRequest {}

/// State that a connection shares with its requests.
#[derive(Debug, Default)]
struct ConnectionState {
    had_request: AtomicBool,
    /// Requests whose answers are encoded but not written yet.
    unwritten: Mutex<Vec<OpenRequest>>,
}

impl OpenRequest {
    pub(crate) fn stage(&self) -> Stage {
        self.stage
    }

    pub(crate) fn set_stage(&mut self, stage: Stage) {
        self.counters.stage(self.stage).fetch_sub(1, Ordering::Relaxed);
        self.counters.stage(stage).fetch_add(1, Ordering::Relaxed);
        self.stage = stage;
    }

    /// Returns the body of the answer, which keeps the request open until the body is written.
    pub(crate) fn answer_with(mut self, body: Body) -> Body {
        self.set_stage(Stage::Answering);
        Body::new(AnswerBody { body, open_request: Some(self) })
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.counters.stage(self.stage).fetch_sub(1, Ordering::Relaxed);
    }
}

/// Caller's connection. An answer counts as written when the connection is flushed after it.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TokioIo<TcpStream>,
    counters: Arc<Counters>,
    state: Arc<ConnectionState>,
}

/// Opens requests on one connection.
#[derive(Debug, Clone)]
pub(crate) struct Opener {
    counters: Arc<Counters>,
    connection: Weak<ConnectionState>,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, counters: Arc<Counters>) -> CallerStream {
        counters.connections.fetch_add(1, Ordering::Relaxed);
        CallerStream { stream: TokioIo::new(stream), counters, state: Arc::default() }
    }

    pub(crate) fn opener(&self) -> Opener {
        Opener { counters: Arc::clone(&self.counters), connection: Arc::downgrade(&self.state) }
    }
}

impl Opener {
    /// Opens a request whose head has been read.
    pub(crate) fn open(&self) -> OpenRequest {
        let stage = Stage::ReadingBody;
        self.counters.stage(stage).fetch_add(1, Ordering::Relaxed);
        if let Some(connection) = self.connection.upgrade() {
            connection.had_request.store(true, Ordering::Relaxed);
        }
        let (counters, connection) = (Arc::clone(&self.counters), Weak::clone(&self.connection));
        OpenRequest { counters, stage, connection }
    }

    /// Whether a request has been opened. A connection without one is new: its request is under way.
    pub(crate) fn had_request(&self) -> bool {
        let connection = self.connection.upgrade();
        connection.is_some_and(|connection| connection.had_request.load(Ordering::Relaxed))
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.counters.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Read for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl Write for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    /// Called by hyper when its write buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.state.close_written();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}

impl ConnectionState {
    fn close_written(&self) {
        // Dropped after the lock, as each request refers to this state.
        let written = std::mem::take(&mut *self.lock_unwritten());
        drop(written);
    }

    fn lock_unwritten(&self) -> MutexGuard<'_, Vec<OpenRequest>> {
        self.unwritten.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Body of an answer. When hyper drops it, its last bytes may still be in hyper's write buffer.
struct AnswerBody {
    body: Body,
    open_request: Option<OpenRequest>,
}

impl hyper::body::Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        let Some(open_request) = self.open_request.take() else { return };
        // hyper drops the connection before the body of an answer that it has not finished.
        let Some(connection) = open_request.connection.upgrade() else { return };
        connection.lock_unwritten().push(open_request);
    }
}
