//! Splits server-sent event streams into events.
//!
//! Only complete events are passed on, in order and without gaps, so that
//! another endpoint can continue a stream after the last event.

use derive_more::{Display, Error};

/// Maximum event length; a longer event is treated as a broken stream.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Why a stream cannot be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum StreamError {
    /// An event is longer than the maximum.
    #[display("an event exceeds {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// An event's id is not the successor of the previous one.
    #[display("event {found} follows event {last}")]
    OutOfOrder {
        /// Id of the last event passed on.
        last: u64,
        /// Id of the event that was received after it.
        found: u64,
    },
    /// An event of a resumed stream has no id.
    #[display("an event of a resumed stream has no id")]
    MissingId,
}

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has a numeric one.
    pub id: Option<u64>,
    /// Its bytes, including the blank line that ends it.
    pub bytes: Vec<u8>,
}

/// Splits the bytes of a stream into events.
///
/// Blank lines and comments are no events; they are part of the event that follows them.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: Vec<u8>,
    /// Bytes at the start of the buffer that have been returned.
    returned_bytes: usize,
    /// Bytes after these that are complete lines of an incomplete event.
    scanned_bytes: usize,
    /// Whether one of these lines has a field.
    has_field: bool,
}

impl Splitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.returned_bytes);
        self.returned_bytes = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Length of what has not been returned, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.buffer.len() - self.returned_bytes
    }

    /// Whether there are bytes of an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        self.has_field || !self.unscanned().is_empty()
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    ///
    /// Fails with [`StreamError::TooLong`] if an incomplete event exceeds the maximum length.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<Event>, StreamError> {
        while let Some(line_bytes) = self.unscanned().iter().position(|&byte| byte == b'\n') {
            let line = &self.unscanned()[..line_bytes];
            let is_blank = line.is_empty() || line == b"\r";
            let is_comment = line.starts_with(b":");
            self.scanned_bytes += line_bytes + 1;
            if is_blank && self.has_field {
                let bytes = self.take_scanned();
                return Ok(Some(Event { id: event_id(&bytes), bytes }));
            }
            self.has_field |= !is_blank && !is_comment;
        }
        if self.held_bytes() > MAX_EVENT_BYTES {
            return Err(StreamError::TooLong);
        }
        Ok(None)
    }

    /// Takes the blank lines and comments after the last event, at the end of a stream without a
    /// partial event.
    pub fn take_rest(&mut self) -> Vec<u8> {
        self.take_scanned()
    }

    fn unscanned(&self) -> &[u8] {
        &self.buffer[self.returned_bytes + self.scanned_bytes..]
    }

    fn take_scanned(&mut self) -> Vec<u8> {
        let start = self.returned_bytes;
        self.returned_bytes += std::mem::take(&mut self.scanned_bytes);
        self.has_field = false;
        self.buffer[start..self.returned_bytes].to_vec()
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|&byte| byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Position in a stream that several endpoints may have sent parts of.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Position {
    last: Option<u64>,
    has_events_without_id: bool,
    is_resumed: bool,
}

impl Position {
    /// Position after the event with id `last`; `None` at the start of a stream.
    pub fn after(last: Option<u64>) -> Position {
        Position { last, ..Position::default() }
    }

    /// Id of the last event passed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether another endpoint can continue the stream: all events passed on have an id.
    pub fn is_resumable(&self) -> bool {
        !self.has_events_without_id
    }

    /// Records that another endpoint continues the stream.
    pub fn on_resumed(&mut self) {
        self.is_resumed = true;
    }

    /// Advances past an event. An event without id is accepted at any position of a stream that has
    /// not been resumed.
    ///
    /// Fails with [`StreamError::OutOfOrder`] if the id is not the successor of the last one, and
    /// with [`StreamError::MissingId`] if a resumed stream's event has none.
    pub fn advance(&mut self, id: Option<u64>) -> Result<(), StreamError> {
        match (id, self.last) {
            (None, _) if self.is_resumed => Err(StreamError::MissingId),
            (None, _) => {
                self.has_events_without_id = true;
                Ok(())
            }
            (Some(found), Some(last)) if found != last + 1 => {
                Err(StreamError::OutOfOrder { last, found })
            }
            (Some(found), _) => {
                self.last = Some(found);
                Ok(())
            }
        }
    }
}
