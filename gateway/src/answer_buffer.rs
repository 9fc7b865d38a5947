//! Bytes of an answer that is not complete yet, within the memory for such answers.

use std::error::Error;

use bytes::{Bytes, BytesMut};
use derive_more::Display;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use crate::context::Context;

/// Maximum length of an answer that is not a stream, in bytes. It is read completely before it is
/// passed on.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Memory that one answer holds; given back when this is dropped.
#[derive(Debug)]
pub(crate) struct HeldMemory {
    context: Context,
    bytes: usize,
}

impl HeldMemory {
    pub(crate) fn new(context: Context) -> HeldMemory {
        HeldMemory { context, bytes: 0 }
    }

    /// Sets how much the answer holds; returns whether there is enough memory.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        if bytes == self.bytes {
            return true;
        }
        let is_enough = self.context.dispatcher().answer_memory.resize(self.bytes, bytes);
        if is_enough {
            self.bytes = bytes;
        }
        is_enough
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// Buffer that grows for as long as there is memory.
#[derive(Debug)]
struct AnswerBuffer {
    received: BytesMut,
    memory: HeldMemory,
}

impl AnswerBuffer {
    fn new(context: Context) -> AnswerBuffer {
        AnswerBuffer { received: BytesMut::new(), memory: HeldMemory::new(context) }
    }

    /// Appends received bytes; returns whether there is enough memory for them.
    fn append(&mut self, data: &[u8]) -> bool {
        let is_enough = self.memory.resize(self.received.len() + data.len());
        if is_enough {
            self.received.extend_from_slice(data);
        }
        is_enough
    }

    fn into_bytes(self) -> Bytes {
        self.received.freeze()
    }
}

/// Reads a body completely.
pub(crate) async fn read(context: Context, body: Incoming) -> Result<Bytes, BodyError> {
    let mut body = Limited::new(body, MAX_ANSWER_BYTES);
    let mut buffer = AnswerBuffer::new(context);
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(BodyError::Broken)?.into_data()
            && !buffer.append(&data)
        {
            return Err(BodyError::NoMemory);
        }
    }
    Ok(buffer.into_bytes())
}

/// Why a body was not read completely.
#[derive(Debug, Display)]
pub(crate) enum BodyError {
    /// The connection broke, or the body is longer than the maximum.
    #[display("{_0}")]
    Broken(Box<dyn Error + Send + Sync>),
    /// There is not enough memory for it.
    #[display("not enough memory for the body")]
    NoMemory,
}
