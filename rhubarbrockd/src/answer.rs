//! Answers that are being generated, shared by the threads that write and read them.
//!
//! Text passes from the endpoints' thread to the callers' threads through an
//! [`Answer`], not through the decision thread. An answer keeps all its text:
//! callers can read from any offset, and slow readers need no buffer of their
//! own. The service's `max_tokens` limits its size.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rhubarbrock::{action, id};
use rhubarbrock_schema::peer;
use tokio::sync::Notify;

/// Immutable metadata of the answer to a model request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Metadata {
    /// Request that the answer belongs to.
    pub request: id::RequestId,
    /// Organisation whose callers may read the answer.
    pub organisation: String,
    /// Service that generates the answer; sent as `model`.
    pub service: String,
    /// Whether the request is a chat completion rather than a text completion.
    pub is_chat: bool,
    /// Whether the request has `stream: true`.
    pub streamed: bool,
    /// Whether the stream ends with a usage event (`stream_options.include_usage`).
    pub stream_usage: bool,
    /// Creation time in seconds since the Unix epoch; sent as `created`.
    pub created_s: u64,
}

/// Text of an answer that follows an offset.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Part {
    /// Text, split at the boundaries of the endpoint's chunks.
    pub chunks: Vec<String>,
    /// Finish of the answer if it is complete and `chunks` reach its end.
    pub finish: Option<peer::Finish>,
    /// Byte offset after the last chunk.
    pub next_offset: u64,
    /// Nodes that continue the answer after `chunks`; empty if it is generated here.
    pub moved_to: Vec<action::PeerAddress>,
}

impl Part {
    /// Lengths of the chunks, in bytes.
    pub fn chunk_bytes(&self) -> Vec<u32> {
        self.chunks.iter().map(|chunk| chunk.len() as u32).collect()
    }
}

/// Text that was not reported to the decision thread yet, see [`Answer::take_unreported`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreportedText {
    /// Byte offset of `text` in the answer.
    pub offset: u64,
    /// Text appended since the previous report.
    pub text: String,
    /// Lengths of the chunks in `text`, in bytes.
    pub chunk_bytes: Vec<u32>,
    /// Tokens of the answer up to the end of `text`.
    pub tokens: u32,
}

#[derive(Debug, Default)]
struct State {
    text: String,
    /// Byte offsets at which chunks end; the last one equals the length of the text.
    chunk_ends: Vec<u32>,
    tokens: u32,
    reported_chunks: usize,
    /// The only attempt that may append.
    writer: id::AttemptId,
    finish: Option<peer::Finish>,
    moved_to: Vec<action::PeerAddress>,
}

/// Answer to one model request.
#[derive(Debug)]
pub struct Answer {
    /// Immutable metadata.
    pub metadata: Metadata,
    state: Mutex<State>,
    changed: Notify,
}

impl Answer {
    /// Creates an answer that continues after `text`, which has `tokens` tokens.
    pub fn new(metadata: Metadata, text: &str, chunk_bytes: &[u32], tokens: u32) -> Answer {
        let mut state = State { text: text.to_owned(), tokens, ..State::default() };
        state.chunk_ends = chunk_ends(text, chunk_bytes);
        state.reported_chunks = state.chunk_ends.len();
        Answer { metadata, state: Mutex::new(state), changed: Notify::new() }
    }

    /// Makes `attempt` the only one that may append; returns the text and its number of tokens.
    pub fn take_over(&self, attempt: id::AttemptId) -> (String, u32) {
        let mut state = self.lock();
        state.writer = attempt;
        (state.text.clone(), state.tokens)
    }

    /// Appends a chunk of `tokens` tokens. Returns false, without appending, if another attempt has
    /// taken over or if the answer is finished or was moved to another node.
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

    /// Returns the text appended since the last call; `None` if there is none.
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

    /// Finishes the answer; has no effect if it is finished already.
    pub fn finish(&self, finish: peer::Finish) {
        let mut state = self.lock();
        if state.finish.is_none() {
            state.finish = Some(finish);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Refers readers to the nodes that continue the answer.
    pub fn move_to(&self, nodes: Vec<action::PeerAddress>) {
        self.lock().moved_to = nodes;
        self.changed.notify_waiters();
    }

    /// Waits until there is text after `offset`, or the answer is finished or moved.
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

    /// Text after `offset` and the finish; `None` if there is neither and the answer was not moved.
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

/// End offsets of chunks with these lengths. Text that they do not cover, or that follows an
/// invalid length, is one more chunk.
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

/// Splits `text` into chunks of these lengths; text that they do not cover is one more chunk.
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

/// All answers of this node, by request.
#[derive(Debug, Default)]
pub struct Answers {
    by_request: Mutex<HashMap<id::RequestId, Arc<Answer>>>,
}

impl Answers {
    /// Inserts an answer unless the request has one; returns the request's answer.
    pub fn insert(&self, answer: Answer) -> Arc<Answer> {
        let request = answer.metadata.request;
        let mut by_request = self.lock();
        Arc::clone(by_request.entry(request).or_insert_with(|| Arc::new(answer)))
    }

    /// Answer to `request`, if this node has it.
    pub fn get(&self, request: id::RequestId) -> Option<Arc<Answer>> {
        self.lock().get(&request).cloned()
    }

    /// Removes the answer to `request`; current readers keep it.
    pub fn remove(&self, request: id::RequestId) {
        self.lock().remove(&request);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<id::RequestId, Arc<Answer>>> {
        self.by_request.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
