//! Parser for the server-sent events of an engine.

use derive_more::{Display, Error};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Error for an event larger than 1 MiB.
#[derive(Debug, Display, Error, PartialEq, Eq)]
#[display("event too large")]
pub struct EventTooLarge;

/// Splits a byte stream into events and extracts their `data`.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: Vec<u8>,
}

impl Parser {
    /// Parses further bytes and returns the data of each event that they complete.
    ///
    /// Fails if the incomplete event at the end is larger than 1 MiB.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<String>, EventTooLarge> {
        self.buffer.extend_from_slice(bytes);
        let mut messages = Vec::new();
        let mut start = 0;
        while let Some(end) = event_end(&self.buffer[start..]) {
            messages.extend(event_data(&self.buffer[start..start + end.content_bytes]));
            start += end.total_bytes;
        }
        self.buffer.drain(..start);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        Ok(messages)
    }
}

struct EventEnd {
    content_bytes: usize,
    total_bytes: usize,
}

/// Finds the end of the first event: an empty line. Lines end in LF or CRLF.
fn event_end(bytes: &[u8]) -> Option<EventEnd> {
    let mut line_start = 0;
    while let Some(length) = bytes[line_start..].iter().position(|byte| *byte == b'\n') {
        let line = &bytes[line_start..line_start + length];
        let next = line_start + length + 1;
        if line.is_empty() || line == b"\r" {
            return Some(EventEnd { content_bytes: line_start, total_bytes: next });
        }
        line_start = next;
    }
    None
}

/// `data` lines of an event, joined by line feeds; `None` if it has none.
fn event_data(event: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(event);
    let mut lines = Vec::new();
    for line in text.lines() {
        if let Some(rest) = line.strip_prefix("data:") {
            lines.push(rest.strip_prefix(' ').unwrap_or(rest));
        }
    }
    if lines.is_empty() { None } else { Some(lines.join("\n")) }
}
