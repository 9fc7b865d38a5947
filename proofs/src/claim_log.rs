//! In-memory log with outages and a retention limit, for the claim simulation.

use std::time::Duration;

use rhubarbrock::claim;

/// What happens to an append and its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendScenario {
    /// The record is appended and the answer arrives.
    Confirmed,
    /// The record is appended, perhaps late, and the answer is lost.
    ResponseLost,
    /// The record is not appended, and no answer arrives.
    RequestLost,
}

/// A log with a single topic; offsets start at 1.
#[derive(Debug, Default)]
pub struct Log {
    records: Vec<claim::Record>,
    oldest_offset: u64,
    /// Whether the log is unavailable. The simulation checks it before each call.
    pub is_down: bool,
}

impl Log {
    /// Creates an empty log.
    pub fn new() -> Log {
        Log { records: Vec::new(), oldest_offset: 1, is_down: false }
    }

    /// Offset of the next record to be appended.
    pub fn end_offset(&self) -> u64 {
        self.oldest_offset + self.records.len() as u64
    }

    /// Appends a record and returns its offset. Record times never decrease.
    pub fn append(&mut self, now: Duration, bytes: Vec<u8>) -> u64 {
        let offset = self.end_offset();
        let last_ms = self.records.last().map_or(0, |record| record.time_ms);
        let time_ms = (now.as_millis() as u64).max(last_ms);
        self.records.push(claim::Record { offset, time_ms, bytes });
        offset
    }

    /// Removes records older than `retention`.
    pub fn drop_expired(&mut self, now: Duration, retention: Duration) {
        let from_ms = now.saturating_sub(retention).as_millis() as u64;
        let gone = self.records.iter().take_while(|record| record.time_ms < from_ms).count();
        self.records.drain(..gone);
        self.oldest_offset += gone as u64;
    }

    /// Reads up to `max` records from an offset on. If the offset is already removed, the page is
    /// empty and its next offset is the oldest one kept.
    pub fn read(&self, from: u64, max: usize) -> claim::Page {
        let is_gone = from < self.oldest_offset;
        let skip = from.saturating_sub(self.oldest_offset) as usize;
        let records: Vec<claim::Record> = if is_gone {
            Vec::new()
        } else {
            self.records.iter().skip(skip).take(max).cloned().collect()
        };
        let next_offset = if is_gone { self.oldest_offset } else { from + records.len() as u64 };
        claim::Page {
            records,
            next_offset,
            oldest_offset: self.oldest_offset,
            end_offset: self.end_offset(),
        }
    }
}
