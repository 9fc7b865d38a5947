//! Callers' requests whose answers are not completely written yet.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use forwarding::caller_connections;
use gotham::helpers::http::Body;
use gotham::state::StateData;
use hyper::body::{Body as _, Frame, SizeHint};
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{self, Sleep};

use crate::caller_limits::Caller;

/// Maximum time for which a connection is kept after the refusal of a body that has not been read.
/// Closing it with unread bytes could take the refusal from the caller.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Maximum length of what is read and dropped in that time, in bytes.
const MAX_LINGER_BYTES: usize = 1024 * 1024;

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
    answer_bytes: usize,
    connection: Weak<ConnectionState>,
}

impl StateData for OpenRequest {}

/// State that a connection shares with its requests.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    pub(crate) caller: Caller,
    had_request: AtomicBool,
    /// Whether a body was refused before its end.
    has_unread_body: AtomicBool,
    /// Number of open requests. A pipelined one may be open before the previous answer is written.
    open_requests: AtomicUsize,
    /// Length of the complete answers that are not written yet.
    answer_bytes: AtomicUsize,
    /// Requests whose answers are encoded but not written yet.
    unwritten: Mutex<Vec<OpenRequest>>,
}

impl OpenRequest {
    pub(crate) fn stage(&self) -> Stage {
        self.stage
    }

    /// Connection of the request; `None` if it is closed.
    pub(crate) fn connection(&self) -> Option<Arc<ConnectionState>> {
        self.connection.upgrade()
    }

    pub(crate) fn set_stage(&mut self, stage: Stage) {
        self.counters.stage(self.stage).fetch_sub(1, Ordering::Relaxed);
        self.counters.stage(stage).fetch_add(1, Ordering::Relaxed);
        self.stage = stage;
        if stage == Stage::Running
            && let Some(connection) = self.connection()
        {
            connection.caller.set_stage(caller_connections::Stage::Running);
        }
    }

    /// Returns the body of the answer, which keeps the request open until the body is written.
    pub(crate) fn answer_with(mut self, body: Body) -> Body {
        self.set_stage(Stage::Answering);
        if let (Some(bytes), Some(connection)) = (body.size_hint().exact(), self.connection()) {
            self.answer_bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
            let before = connection.answer_bytes.fetch_add(self.answer_bytes, Ordering::Relaxed);
            connection.caller.hold_answer(before.saturating_add(self.answer_bytes));
        }
        Body::new(AnswerBody { body, open_request: Some(self) })
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.counters.stage(self.stage).fetch_sub(1, Ordering::Relaxed);
        let Some(connection) = self.connection() else { return };
        connection.answer_bytes.fetch_sub(self.answer_bytes, Ordering::Relaxed);
        if connection.open_requests.fetch_sub(1, Ordering::Relaxed) == 1 {
            connection.caller.set_stage(caller_connections::Stage::Waiting);
        }
    }
}

/// Caller's connection. An answer counts as written when the connection is flushed after it.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TokioIo<TcpStream>,
    counters: Arc<Counters>,
    state: Arc<ConnectionState>,
    /// End of the time after the refusal of a body.
    linger: Option<Pin<Box<Sleep>>>,
    lingered_bytes: usize,
}

/// Opens requests on one connection.
#[derive(Debug, Clone)]
pub(crate) struct Opener {
    counters: Arc<Counters>,
    connection: Weak<ConnectionState>,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, caller: Caller, counters: Arc<Counters>) -> CallerStream {
        counters.connections.fetch_add(1, Ordering::Relaxed);
        let state = ConnectionState {
            caller,
            had_request: AtomicBool::new(false),
            has_unread_body: AtomicBool::new(false),
            open_requests: AtomicUsize::new(0),
            answer_bytes: AtomicUsize::new(0),
            unwritten: Mutex::default(),
        };
        CallerStream {
            stream: TokioIo::new(stream),
            counters,
            state: Arc::new(state),
            linger: None,
            lingered_bytes: 0,
        }
    }

    /// Resolves when the connection has to be closed at once.
    pub(crate) fn closing(&self) -> impl Future<Output = ()> + use<> {
        self.state.caller.closing()
    }

    /// Reads and drops what the caller still sends, for a limited time and length.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let linger = self.linger.get_or_insert_with(|| Box::pin(time::sleep(LINGER_TIME)));
        let mut buffer = [0; 8 * 1024];
        while linger.as_mut().poll(context).is_pending() && self.lingered_bytes < MAX_LINGER_BYTES {
            let mut unread = ReadBuf::new(&mut buffer);
            let reading = Pin::new(&mut self.stream).poll_read(context, unread.unfilled());
            match (ready!(reading), unread.filled().len()) {
                (Ok(()), count @ 1..) => self.lingered_bytes += count,
                _ => break,
            }
        }
        Poll::Ready(())
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
            connection.open_requests.fetch_add(1, Ordering::Relaxed);
            connection.caller.set_stage(caller_connections::Stage::ReadingBody);
        }
        let (counters, connection) = (Arc::clone(&self.counters), Weak::clone(&self.connection));
        OpenRequest { counters, stage, answer_bytes: 0, connection }
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
        ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
        if self.state.has_unread_body.load(Ordering::Relaxed) {
            ready!(self.poll_linger(context));
        }
        Poll::Ready(Ok(()))
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
    /// Sets the memory of the body that is being read; returns whether there is enough.
    pub(crate) fn hold(&self, body_bytes: usize) -> bool {
        self.caller.hold(self.answer_bytes.load(Ordering::Relaxed) + body_bytes)
    }

    /// Has the connection read on for a short time before it is closed.
    pub(crate) fn on_unread_body(&self) {
        self.has_unread_body.store(true, Ordering::Relaxed);
        // The refusal would wait for earlier answers that the caller may not read.
        if self.answer_bytes.load(Ordering::Relaxed) > 0 {
            self.caller.close();
        }
    }

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
