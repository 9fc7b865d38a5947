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
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: Vec<u8>,
    scanned_bytes: usize,
}

impl Splitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether there are bytes of an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    ///
    /// Fails with [`StreamError::TooLong`] if an incomplete event exceeds the maximum length.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<Event>, StreamError> {
        let Some(end) = self.event_end() else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(StreamError::TooLong);
            }
            return Ok(None);
        };
        let rest = self.buffer.split_off(end);
        let bytes = std::mem::replace(&mut self.buffer, rest);
        self.scanned_bytes = 0;
        Ok(Some(Event { id: event_id(&bytes), bytes }))
    }

    fn event_end(&mut self) -> Option<usize> {
        let from = self.scanned_bytes.saturating_sub(3);
        for at in from..self.buffer.len() {
            let rest = &self.buffer[at..];
            if rest.starts_with(b"\n\n") {
                return Some(at + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(at + 3);
            }
        }
        self.scanned_bytes = self.buffer.len();
        None
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
