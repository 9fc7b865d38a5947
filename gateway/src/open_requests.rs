//! Callers' requests whose answers are not completely written yet.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
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
    unwritten: Weak<Unwritten>,
}

impl StateData for OpenRequest {}

/// Requests of one connection whose answers are encoded but not written yet.
type Unwritten = Mutex<Vec<OpenRequest>>;

impl OpenRequest {
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
    unwritten: Arc<Unwritten>,
}

/// Opens requests on one connection.
#[derive(Debug, Clone)]
pub(crate) struct Opener {
    counters: Arc<Counters>,
    unwritten: Weak<Unwritten>,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, counters: Arc<Counters>) -> CallerStream {
        counters.connections.fetch_add(1, Ordering::Relaxed);
        CallerStream { stream: TokioIo::new(stream), counters, unwritten: Arc::default() }
    }

    pub(crate) fn opener(&self) -> Opener {
        Opener { counters: Arc::clone(&self.counters), unwritten: Arc::downgrade(&self.unwritten) }
    }
}

impl Opener {
    /// Opens a request whose head has been read.
    pub(crate) fn open(&self) -> OpenRequest {
        let stage = Stage::ReadingBody;
        self.counters.stage(stage).fetch_add(1, Ordering::Relaxed);
        let (counters, unwritten) = (Arc::clone(&self.counters), Weak::clone(&self.unwritten));
        OpenRequest { counters, stage, unwritten }
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
        close_written(&self.unwritten);
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

fn close_written(unwritten: &Unwritten) {
    unwritten.lock().unwrap_or_else(PoisonError::into_inner).clear();
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
        let Some(unwritten) = open_request.unwritten.upgrade() else { return };
        unwritten.lock().unwrap_or_else(PoisonError::into_inner).push(open_request);
    }
}
