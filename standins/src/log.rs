//! The platform's append-only log: topics, offsets, retention and rate of appends.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;

/// Position of a record in its topic; the first is 1.
pub type Offset = u64;

/// One record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Position in the topic.
    pub offset: Offset,
    /// When it was appended, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Content.
    pub data: Bytes,
}

/// Records read from a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Records, ordered by offset.
    pub records: Vec<Record>,
    /// Offset to read from next.
    pub next_offset: Offset,
    /// Oldest offset that is retained.
    pub oldest_offset: Offset,
    /// Offset that the next record will get.
    pub end_offset: Offset,
    /// Whether the requested offset is no longer retained.
    pub is_expired: bool,
}

/// An append was refused because it exceeds the allowed rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("over the append rate")]
pub struct RateExceeded;

#[derive(Debug, Default)]
struct Topic {
    oldest_offset: Offset,
    records: VecDeque<Record>,
}

/// Log with any number of topics; the first append creates a topic.
#[derive(Debug)]
pub struct Log {
    topics: BTreeMap<String, Topic>,
    rate: RateLimiter,
    /// Records retained in each topic; 0 retains all.
    pub retention_records: usize,
}

impl Log {
    /// An empty log that admits `appends_per_s` appends per second, counted over all topics.
    pub fn new(appends_per_s: u32, retention_records: usize) -> Log {
        Log { topics: BTreeMap::new(), rate: RateLimiter::new(appends_per_s), retention_records }
    }

    /// Changes the allowed rate of appends.
    pub fn set_appends_per_s(&mut self, appends_per_s: u32) {
        self.rate.set_per_s(appends_per_s);
    }

    /// Counts an append against the allowed rate.
    pub fn admit(&mut self, now: Duration) -> Result<(), RateExceeded> {
        if self.rate.try_acquire(now) { Ok(()) } else { Err(RateExceeded) }
    }

    /// Appends `records` at consecutive offsets and returns the first of these. Drops the oldest
    /// records beyond the retention.
    pub fn append(&mut self, topic: &str, records: Vec<Bytes>, time_ms: u64) -> Offset {
        let topic = self.topics.entry(topic.to_owned()).or_default();
        topic.oldest_offset = topic.oldest_offset.max(1);
        let first_offset = topic.oldest_offset + topic.records.len() as u64;
        for (offset, data) in (first_offset..).zip(records) {
            topic.records.push_back(Record { offset, time_ms, data });
        }
        let max_records =
            if self.retention_records == 0 { usize::MAX } else { self.retention_records };
        while topic.records.len() > max_records {
            topic.records.pop_front();
            topic.oldest_offset += 1;
        }
        first_offset
    }

    /// Reads at most `max` records from the offset `from` on.
    pub fn read(&self, topic: &str, from: Offset, max: usize) -> Page {
        let from = from.max(1);
        let Some(topic) = self.topics.get(topic) else {
            return Page {
                records: vec![],
                next_offset: from,
                oldest_offset: 1,
                end_offset: 1,
                is_expired: false,
            };
        };
        let oldest_offset = topic.oldest_offset;
        let end_offset = oldest_offset + topic.records.len() as u64;
        if from < oldest_offset {
            return Page {
                records: vec![],
                next_offset: oldest_offset,
                oldest_offset,
                end_offset,
                is_expired: true,
            };
        }
        let skipped = (from - oldest_offset) as usize;
        let records: Vec<Record> = topic.records.iter().skip(skipped).take(max).cloned().collect();
        let next_offset = records.last().map_or(from, |r| r.offset + 1);
        Page { records, next_offset, oldest_offset, end_offset, is_expired: false }
    }
}

/// Rate limiter: a token bucket with the capacity of one second.
#[derive(Debug)]
pub struct RateLimiter {
    per_s: u32,
    available: f64,
    updated_at: Duration,
}

impl RateLimiter {
    /// A full bucket that refills at `per_s` units per second.
    pub fn new(per_s: u32) -> RateLimiter {
        RateLimiter { per_s, available: f64::from(per_s), updated_at: Duration::ZERO }
    }

    /// Changes the rate and the capacity.
    pub fn set_per_s(&mut self, per_s: u32) {
        self.per_s = per_s;
    }

    /// Takes one unit at `now`, a time since any fixed origin; false if none is available.
    pub fn try_acquire(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let limit = f64::from(self.per_s);
        self.available = (self.available + elapsed * limit).min(limit);
        self.updated_at = self.updated_at.max(now);
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
