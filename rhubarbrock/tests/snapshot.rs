//! Snapshots are written before the log drops the records they cover, and not too often.

use std::time::Duration;

use bolero::TypeGenerator;
use prost::Message;
use rhubarbrock::id::{NodeId, Offset};
use rhubarbrock::release::ReleaseLog;
use rhubarbrock::{note, snapshot};
use rhubarbrock_schema::log;

mod seeds;

const SEEDS: u64 = 24;
const STEPS: u64 = 400;
const STEP: Duration = Duration::from_secs(5);
const NODES: u64 = 8;
const START: Duration = Duration::from_secs(1_000_000);

#[derive(Debug, Clone, TypeGenerator)]
struct Scenario {
    /// Number of records that the log retains; `None` if it retains records by age.
    retained_records: Option<u8>,
    /// Number of nodes that are listed as live but are dead.
    dead: u8,
    notes_in_256_steps: u8,
    is_slow: bool,
}

struct FakeLog {
    records: Vec<(Duration, Vec<u8>)>,
    oldest: Offset,
    retained_records: Option<u64>,
}

impl FakeLog {
    fn append(&mut self, now: Duration, data: Vec<u8>) {
        self.records.push((now, data));
    }

    fn drop_old(&mut self, now: Duration) {
        const RETENTION: Duration = Duration::from_secs(900);
        let end = self.records.len() as u64 + 1;
        let by_count = self.retained_records.map(|retained| end.saturating_sub(retained));
        let is_old = |(at, _): &&(Duration, Vec<u8>)| *at + RETENTION < now;
        let by_time = 1 + self.records.iter().take_while(is_old).count() as u64;
        self.oldest = self.oldest.max(by_count.unwrap_or(by_time));
    }

    fn read(&self, reader: &mut ReleaseLog) {
        reader.skip_to(self.oldest);
        for at in reader.next_offset()..=self.records.len() as u64 {
            reader.apply(at, &self.records[at as usize - 1].1);
        }
    }
}

fn record(nonce: u64, base_version: u64) -> Vec<u8> {
    let text = format!("title = \"n{nonce}\"\npolicy.max_queue = {}\n", nonce + 1);
    let note = Some(note::parse_lenient(&text).note);
    let published = log::PublishedNote { base_version, nonce, author: String::new(), note };
    let body = log::release_record::Body::Published(published);
    log::ReleaseRecord { body: Some(body) }.encode_to_vec()
}

#[test]
fn new_reader_can_always_start() {
    seeds::for_each_seed(SEEDS, |source| {
        let scenario = Scenario::generate(source).unwrap();
        let is_slow = scenario.is_slow;
        let rate = if is_slow { 1 } else { scenario.notes_in_256_steps.max(1) };
        let retained_records = scenario.retained_records.map(|retained| 16 + u64::from(retained));
        let dead = u64::from(scenario.dead) % 3;
        let mut log = FakeLog { records: Vec::new(), oldest: 1, retained_records };
        let live: Vec<NodeId> = (1..=NODES).collect();
        let mut nodes = vec![(ReleaseLog::new(), snapshot::Writer::default()); NODES as usize];
        let mut notes = 0;
        let mut snapshots = 0;
        for step in 0..STEPS {
            let now = STEP * step as u32;
            if u8::generate(source).unwrap() < rate {
                let mut reader = nodes[NODES as usize - 1].0.clone();
                log.read(&mut reader);
                notes += 1;
                log.append(now, record(notes, reader.version()));
            }
            for (index, (reader, writer)) in nodes.iter_mut().enumerate().skip(dead as usize) {
                log.read(reader);
                let end_offset = log.records.len() as u64 + 1;
                let node = index as u64 + 1;
                let unix_time = START + now;
                let input = snapshot::SnapshotInput {
                    node,
                    live_nodes: &live,
                    oldest_offset: log.oldest,
                    end_offset,
                    unix_time,
                };
                if let Some(data) = writer.due(reader, &input, now) {
                    snapshots += 1;
                    log.append(now, data);
                }
            }
            let oldest = log.oldest;
            log.drop_old(now);
            if log.oldest == oldest {
                continue;
            }
            let mut new_reader = ReleaseLog::new();
            log.read(&mut new_reader);
            assert!(
                new_reader.complete_release().is_some(),
                "step {step}: no complete release in {scenario:?}"
            );
            assert_eq!(new_reader.version(), nodes[NODES as usize - 1].0.version());
        }
        let by_age = (STEP * STEPS as u32).as_secs() / (snapshot::MAX_AGE.as_secs() / 2) + 1;
        let by_count =
            retained_records.map_or(0, |retained| 4 * (notes + by_age) / retained.min(256));
        assert!(
            snapshots <= 2 * (by_age + by_count) + 2,
            "{snapshots} snapshots for {notes} notes in {scenario:?}"
        );
    });
}
