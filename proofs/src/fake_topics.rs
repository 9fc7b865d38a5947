//! The platform's log for whole nodes: topics that lose answers and go down.

use std::collections::BTreeMap;
use std::time::Duration;

use rhubarbrock::{event, id};

/// Topics of the log.
#[derive(Debug, Clone, Default)]
pub struct Topics {
    records: BTreeMap<event::Topic, Vec<event::Record>>,
    /// Until when nothing can be read or appended.
    pub unavailable_until: Duration,
}

impl Topics {
    /// Whether it answers.
    pub fn is_available(&self, now: Duration) -> bool {
        now >= self.unavailable_until
    }

    /// Appends a record; gives its offset.
    pub fn append(&mut self, now: Duration, topic: event::Topic, data: Vec<u8>) -> id::Offset {
        let records = self.records.entry(topic).or_default();
        let offset = records.len() as id::Offset + 1;
        records.push(event::Record { offset, time: now, data });
        offset
    }

    /// Records of a topic from an offset on.
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
