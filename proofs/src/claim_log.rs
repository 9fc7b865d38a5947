//! A log in memory that loses answers, delays appends, has outages and forgets.

use std::time::Duration;

use rhubarbrock::claim;

/// How an append goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It takes effect and says so.
    Kept,
    /// It takes effect, perhaps late, and its answer is lost.
    AnswerLost,
    /// It has no effect and its answer is lost.
    Lost,
}

/// The log's one topic.
#[derive(Debug, Default)]
pub struct Log {
    records: Vec<claim::Record>,
    oldest: u64,
    /// Whether every call fails.
    pub down: bool,
}

impl Log {
    /// An empty log.
    pub fn new() -> Log {
        Log { records: Vec::new(), oldest: 1, down: false }
    }

    /// Offset of the next record.
    pub fn end(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }

    /// Appends a record and gives its offset.
    pub fn append(&mut self, now: Duration, bytes: Vec<u8>) -> u64 {
        let offset = self.end();
        let last_ms = self.records.last().map_or(0, |record| record.time_ms);
        let time_ms = (now.as_millis() as u64).max(last_ms);
        self.records.push(claim::Record { offset, time_ms, bytes });
        offset
    }

    /// Forgets records older than `keep`.
    pub fn expire(&mut self, now: Duration, keep: Duration) {
        let from_ms = now.saturating_sub(keep).as_millis() as u64;
        let gone = self.records.iter().take_while(|record| record.time_ms < from_ms).count();
        self.records.drain(..gone);
        self.oldest += gone as u64;
    }

    /// Reads up to `max` records from an offset on.
    pub fn read(&self, from: u64, max: usize) -> claim::Page {
        let is_gone = from < self.oldest;
        let skip = from.saturating_sub(self.oldest) as usize;
        let records: Vec<claim::Record> = if is_gone {
            Vec::new()
        } else {
            self.records.iter().skip(skip).take(max).cloned().collect()
        };
        let next = if is_gone { self.oldest } else { from + records.len() as u64 };
        claim::Page {
            records,
            next_offset: next,
            oldest_offset: self.oldest,
            end_offset: self.end(),
        }
    }
}
