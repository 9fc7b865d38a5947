//! In-memory log with several topics and outages, for the node simulation.

use std::collections::BTreeMap;
use std::time::Duration;

use rhubarbrock::{event, id};

/// Records by topic; offsets start at 1 and records are never removed.
#[derive(Debug, Clone, Default)]
pub struct Topics {
    records: BTreeMap<event::Topic, Vec<event::Record>>,
    /// Simulated time at which the current outage ends.
    pub unavailable_until: Duration,
}

impl Topics {
    /// Whether reads and appends succeed.
    pub fn is_available(&self, now: Duration) -> bool {
        now >= self.unavailable_until
    }

    /// Appends a record and returns its offset.
    pub fn append(&mut self, now: Duration, topic: event::Topic, data: Vec<u8>) -> id::Offset {
        let records = self.records.entry(topic).or_default();
        let offset = records.len() as id::Offset + 1;
        records.push(event::Record { offset, time: now, data });
        offset
    }

    /// Reads all records of a topic from an offset on.
    pub fn read(&self, topic: event::Topic, from: id::Offset) -> event::RecordPage {
        let all = self.records.get(&topic).map_or(&[][..], Vec::as_slice);
        let start = (from.max(1) as usize - 1).min(all.len());
        let end = all.len() as id::Offset + 1;
        event::RecordPage {
            topic,
            records: all[start..].to_vec(),
            next_offset: end,
            oldest_offset: 1,
            end_offset: end,
        }
    }
}
