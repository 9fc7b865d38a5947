//! Answers in progress, shared by the threads that write and read them.
//!
//! Tokens go from the endpoints' thread to the callers' thread through an
//! answer and never through the decision thread. An answer keeps all its text,
//! so a caller can read it again from any offset, a slow reader costs no
//! memory of its own, and an answer's size is bounded by the service's
//! `max_tokens`.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rhubarbrock::{action, id};
use rhubarbrock_schema::peer;
use tokio::sync::Notify;

/// What never changes of a model request's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Metadata {
    /// Request that is answered.
    pub request: id::RequestId,
    /// Organisation that may read it.
    pub organisation: String,
    /// Service that answers, shown as `model`.
    pub service: String,
    /// Whether chat completions were asked for.
    pub is_chat: bool,
    /// Whether the caller asked for a stream.
    pub streamed: bool,
    /// Whether the caller asked for usage at a stream's end.
    pub stream_usage: bool,
    /// Wall-clock second of creation, shown in the answer.
    pub created_s: u64,
}

/// Text of an answer from some offset on.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Part {
    /// Text, cut where the endpoint's chunks ended.
    pub chunks: Vec<String>,
    /// Set once the answer is complete and `chunks` reach its end.
    pub finish: Option<peer::Finish>,
    /// Byte offset after the last chunk.
    pub next_offset: u64,
    /// Nodes that go on with the answer after `chunks`; empty while it is written here.
    pub moved_to: Vec<action::PeerAddress>,
}

impl Part {
    /// Lengths of the chunks, in bytes.
    pub fn chunk_bytes(&self) -> Vec<u32> {
        self.chunks.iter().map(|chunk| chunk.len() as u32).collect()
    }
}

/// Text that was not yet reported as progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreportedText {
    /// Byte offset of `text`.
    pub offset: u64,
    /// The text.
    pub text: String,
    /// Lengths of the chunks in `text`, in bytes.
    pub chunk_bytes: Vec<u32>,
    /// Tokens up to the end of `text`.
    pub tokens: u32,
}

#[derive(Debug, Default)]
struct State {
    text: String,
    /// Byte offsets at which chunks end; the last is the text's length.
    chunk_ends: Vec<u32>,
    tokens: u32,
    reported_chunks: usize,
    /// Attempt that may append.
    writer: id::AttemptId,
    finish: Option<peer::Finish>,
    moved_to: Vec<action::PeerAddress>,
}

/// One answer.
#[derive(Debug)]
pub struct Answer {
    /// What never changes of it.
    pub metadata: Metadata,
    state: Mutex<State>,
    changed: Notify,
}

impl Answer {
    /// An answer that goes on after `text`, which held `tokens` tokens.
    pub fn new(metadata: Metadata, text: &str, chunk_bytes: &[u32], tokens: u32) -> Answer {
        let mut state = State { text: text.to_owned(), tokens, ..State::default() };
        state.chunk_ends = chunk_ends(text, chunk_bytes);
        state.reported_chunks = state.chunk_ends.len();
        Answer { metadata, state: Mutex::new(state), changed: Notify::new() }
    }

    /// Makes `attempt` the only one that may append; gives the text and tokens so far.
    pub fn take_over(&self, attempt: id::AttemptId) -> (String, u32) {
        let mut state = self.lock();
        state.writer = attempt;
        (state.text.clone(), state.tokens)
    }

    /// Appends one chunk of `attempt`; false where another attempt took over or the answer ended.
    pub fn append(&self, attempt: id::AttemptId, chunk: &str, tokens: u32) -> bool {
        let mut state = self.lock();
        if state.writer != attempt || state.finish.is_some() || !state.moved_to.is_empty() {
            return false;
        }
        if !chunk.is_empty() {
            state.text.push_str(chunk);
            let end = state.text.len() as u32;
            state.chunk_ends.push(end);
        }
        state.tokens += tokens;
        drop(state);
        self.changed.notify_waiters();
        true
    }

    /// Takes the text appended since the last mark.
    pub fn take_unreported(&self) -> Option<UnreportedText> {
        let mut state = self.lock();
        let first = state.reported_chunks;
        if first == state.chunk_ends.len() {
            return None;
        }
        let offset = chunk_start(&state.chunk_ends, first);
        let chunk_bytes = chunk_lengths(&state.chunk_ends, first);
        state.reported_chunks = state.chunk_ends.len();
        let text = state.text[offset..].to_owned();
        Some(UnreportedText { offset: offset as u64, text, chunk_bytes, tokens: state.tokens })
    }

    /// Ends the answer; a second end changes nothing.
    pub fn finish(&self, finish: peer::Finish) {
        let mut state = self.lock();
        if state.finish.is_none() {
            state.finish = Some(finish);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Says that other nodes go on with the answer.
    pub fn move_to(&self, nodes: Vec<action::PeerAddress>) {
        self.lock().moved_to = nodes;
        self.changed.notify_waiters();
    }

    /// Waits until there is text past `offset`, the answer has ended or went to other nodes.
    pub async fn read(&self, offset: u64) -> Part {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(part) = self.try_read(offset) {
                return part;
            }
            changed.await;
        }
    }

    /// Text past `offset` or the end, if there is either.
    pub fn try_read(&self, offset: u64) -> Option<Part> {
        let state = self.lock();
        let offset = floor_char_boundary(&state.text, offset as usize);
        let is_open = state.finish.is_none() && state.moved_to.is_empty();
        if offset == state.text.len() && is_open {
            return None;
        }
        let mut chunks = Vec::new();
        let mut start = offset;
        let first = state.chunk_ends.partition_point(|end| *end as usize <= offset);
        for end in &state.chunk_ends[first..] {
            chunks.push(state.text[start..*end as usize].to_owned());
            start = *end as usize;
        }
        Some(Part {
            chunks,
            finish: state.finish.clone(),
            next_offset: start as u64,
            moved_to: state.moved_to.clone(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Ends of chunks with these lengths; whatever the lengths leave over is one more chunk.
fn chunk_ends(text: &str, chunk_bytes: &[u32]) -> Vec<u32> {
    let mut ends = Vec::with_capacity(chunk_bytes.len() + 1);
    let mut end: usize = 0;
    for bytes in chunk_bytes {
        let next = end + *bytes as usize;
        if next <= end || !text.is_char_boundary(next) {
            break;
        }
        end = next;
        ends.push(end as u32);
    }
    if end < text.len() {
        ends.push(text.len() as u32);
    }
    ends
}

/// The chunks of `text` with these lengths.
pub fn split_chunks(text: &str, chunk_bytes: &[u32]) -> Vec<String> {
    let mut start = 0;
    let mut chunks = Vec::new();
    for end in chunk_ends(text, chunk_bytes) {
        chunks.push(text[start..end as usize].to_owned());
        start = end as usize;
    }
    chunks
}

fn chunk_lengths(ends: &[u32], first: usize) -> Vec<u32> {
    let mut start = chunk_start(ends, first) as u32;
    let mut lengths = Vec::with_capacity(ends.len() - first);
    for end in &ends[first..] {
        lengths.push(end - start);
        start = *end;
    }
    lengths
}

fn chunk_start(ends: &[u32], chunk: usize) -> usize {
    if chunk == 0 { 0 } else { ends[chunk - 1] as usize }
}

fn floor_char_boundary(text: &str, offset: usize) -> usize {
    let mut offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    offset
}

/// All answers of this node by request.
#[derive(Debug, Default)]
pub struct Answers {
    by_request: Mutex<HashMap<id::RequestId, Arc<Answer>>>,
}

impl Answers {
    /// Adds an answer; one that is there already stays.
    pub fn insert(&self, answer: Answer) -> Arc<Answer> {
        let request = answer.metadata.request;
        let mut by_request = self.lock();
        Arc::clone(by_request.entry(request).or_insert_with(|| Arc::new(answer)))
    }

    /// The answer of `request`.
    pub fn get(&self, request: id::RequestId) -> Option<Arc<Answer>> {
        self.lock().get(&request).cloned()
    }

    /// Forgets the answer of `request`; whoever reads it now reads on.
    pub fn remove(&self, request: id::RequestId) {
        self.lock().remove(&request);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<id::RequestId, Arc<Answer>>> {
        self.by_request.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
