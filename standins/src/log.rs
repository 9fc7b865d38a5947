//! The platform's append-only log: topics, offsets, retention and append rate.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;

/// Position of a record in its topic; the first is 1.
pub type Offset = u64;

/// One record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Its position.
    pub offset: Offset,
    /// When it was appended, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Its content.
    pub data: Bytes,
}

/// Part of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Records in order.
    pub records: Vec<Record>,
    /// Offset to read next.
    pub next_offset: Offset,
    /// Oldest offset kept.
    pub oldest_offset: Offset,
    /// Offset of the next append.
    pub end_offset: Offset,
    /// Whether the offset asked for is no longer kept.
    pub is_expired: bool,
}

/// Append was refused: too many appends in the last second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("over the append rate")]
pub struct RateExceeded;

#[derive(Debug, Default)]
struct Topic {
    oldest_offset: Offset,
    records: VecDeque<Record>,
}

/// All topics.
#[derive(Debug)]
pub struct Log {
    topics: BTreeMap<String, Topic>,
    rate: RateLimiter,
    /// Records kept in each topic; 0 keeps all.
    pub retention_records: usize,
}

impl Log {
    /// An empty log that takes `appends_per_s` appends a second.
    pub fn new(appends_per_s: u32, retention_records: usize) -> Log {
        Log { topics: BTreeMap::new(), rate: RateLimiter::new(appends_per_s), retention_records }
    }

    /// Changes the append rate.
    pub fn set_appends_per_s(&mut self, appends_per_s: u32) {
        self.rate.set_per_s(appends_per_s);
    }

    /// Takes one append from the rate's allowance.
    pub fn admit(&mut self, now: Duration) -> Result<(), RateExceeded> {
        if self.rate.try_acquire(now) { Ok(()) } else { Err(RateExceeded) }
    }

    /// Appends `records` together; returns the first offset.
    pub fn append(&mut self, topic: &str, records: Vec<Bytes>, time_ms: u64) -> Offset {
        let topic = self.topics.entry(topic.to_owned()).or_default();
        topic.oldest_offset = topic.oldest_offset.max(1);
        let first_offset = topic.oldest_offset + topic.records.len() as u64;
        for (offset, data) in (first_offset..).zip(records) {
            topic.records.push_back(Record { offset, time_ms, data });
        }
        let keep = if self.retention_records == 0 { usize::MAX } else { self.retention_records };
        while topic.records.len() > keep {
            topic.records.pop_front();
            topic.oldest_offset += 1;
        }
        first_offset
    }

    /// At most `max` records from the offset `from` on.
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

/// Token bucket that holds one second's allowance.
#[derive(Debug)]
pub struct RateLimiter {
    per_s: u32,
    allowance: f64,
    updated: Duration,
}

impl RateLimiter {
    /// A full bucket.
    pub fn new(per_s: u32) -> RateLimiter {
        RateLimiter { per_s, allowance: f64::from(per_s), updated: Duration::ZERO }
    }

    /// Changes the rate.
    pub fn set_per_s(&mut self, per_s: u32) {
        self.per_s = per_s;
    }

    /// Takes one unit at `now`; false if there is none.
    pub fn try_acquire(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        let limit = f64::from(self.per_s);
        self.allowance = (self.allowance + elapsed * limit).min(limit);
        self.updated = self.updated.max(now);
        if self.allowance < 1.0 {
            return false;
        }
        self.allowance -= 1.0;
        true
    }
}
