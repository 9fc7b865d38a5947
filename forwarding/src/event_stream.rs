//! Event streams, event by event.
//!
//! Only whole events are passed on, and only in order without a gap, so that a
//! stream can be continued by another endpoint at the last event.

use derive_more::{Display, Error};

/// Longest event, in bytes; a longer one is taken for a broken stream.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Why a stream cannot be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum StreamError {
    /// An event is longer than any that is passed on.
    #[display("an event exceeds {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// An event's id doesn't follow the one before.
    #[display("event {found} follows event {last}")]
    OutOfOrder {
        /// Last event passed on.
        last: u64,
        /// Id of the event after it.
        found: u64,
    },
}

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has one that is a number.
    pub id: Option<u64>,
    /// Its bytes with the empty line that ends it.
    pub bytes: Vec<u8>,
}

/// Cuts the bytes of a stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: Vec<u8>,
    scanned_bytes: usize,
}

impl Splitter {
    /// Takes bytes as they arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether bytes of an unfinished event are left.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next whole event.
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

/// Position in a stream that several endpoints may have made.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Position {
    last: Option<u64>,
}

impl Position {
    /// A position after the last event that the caller has.
    pub fn after(last: Option<u64>) -> Position {
        Position { last }
    }

    /// Id of the last event passed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Moves past an event, which must follow the last one.
    pub fn advance(&mut self, id: Option<u64>) -> Result<(), StreamError> {
        let Some(found) = id else { return Ok(()) };
        match self.last {
            Some(last) if found != last + 1 => Err(StreamError::OutOfOrder { last, found }),
            _ => {
                self.last = Some(found);
                Ok(())
            }
        }
    }
}
