//! Readers and publishers of topic "release" in random interleavings.
//!
//! A fake log keeps the appended records and, by its own simple implementation of
//! the rule, the version in force at each offset. Publishers and readers meet
//! lost and late responses, dropped old records, restarts, invalid bytes, late
//! snapshots and peers' copies. Their state is compared with the fake log after
//! each event.

use bolero::TypeGenerator;
use prost::Message;
use rhubarbrock::id::{Offset, Version};
use rhubarbrock::publisher::{AppendOutcome, Outcome, Publisher, Step};
use rhubarbrock::release::{Applied, ReleaseLog, SnapshotUse};
use rhubarbrock::{note, snapshot};
use rhubarbrock_schema::{log, release};
use sha2::Digest;
use std::time::Duration;

mod seeds;

const EVENTS: usize = 120;
const SEEDS: u64 = 1_000;
const PUBLISHERS: usize = 3;
const READERS: usize = 3;

#[derive(Debug, Clone, TypeGenerator)]
enum Event {
    /// A publisher performs some steps; a finished one is replaced by one of another note.
    Step { publisher: u8, steps: u8, append: AppendBehaviour, is_valid: bool },
    /// A publisher that does not check its note appends an invalid one on the version in force.
    PublishUnchecked { publisher: u8 },
    /// A delayed append is written.
    Deliver { which: u8 },
    /// A reader reads some records.
    Read { reader: u8, records: u8 },
    /// A reader restarts without its state.
    Restart { reader: u8, dice: u8 },
    /// A reader adopts another's copy.
    Adopt { reader: u8, peer: u8, knows_covered_offset: bool },
    /// A reader writes a snapshot, whose append may be delayed.
    Snapshot { reader: u8, is_late: bool },
    /// The log drops old records.
    DropOld { records: u8 },
    /// Bytes that are not a record are appended.
    AppendInvalid { bytes: [u8; 12] },
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum AppendBehaviour {
    Answered,
    Refused,
    AnswerLost,
    Delayed,
    Lost,
}

#[derive(Debug, Clone)]
struct Published {
    base: Version,
    nonce: u64,
    is_valid: bool,
}

/// Log with the version in force at each offset.
#[derive(Default)]
struct FakeLog {
    records: Vec<Vec<u8>>,
    versions: Vec<Version>,
    in_force_notes: Vec<(Version, u64)>,
    snapshots: Vec<(Offset, Offset)>,
    dropped: u64,
    delayed: Vec<(Vec<u8>, Option<Published>)>,
}

impl FakeLog {
    fn oldest(&self) -> Offset {
        self.dropped + 1
    }

    fn end(&self) -> Offset {
        self.records.len() as u64 + 1
    }

    fn version_at(&self, offset: Offset) -> Version {
        if offset == 0 { 0 } else { self.versions[offset as usize - 1] }
    }

    fn append(&mut self, data: Vec<u8>, published: Option<Published>) -> Offset {
        let offset = self.end();
        let in_force = self.version_at(offset - 1);
        let comes_into_force =
            published.as_ref().is_some_and(|note| note.base == in_force && note.is_valid);
        if comes_into_force {
            self.in_force_notes.push((offset, published.unwrap().nonce));
        }
        let body = log::ReleaseRecord::decode(data.as_slice()).ok().and_then(|record| record.body);
        if let Some(log::release_record::Body::Snapshot(snapshot)) = body {
            self.snapshots.push((offset, snapshot.covered_offset));
        }
        self.versions.push(if comes_into_force { offset } else { in_force });
        self.records.push(data);
        offset
    }

    fn read(&self, reader: &mut ReleaseLog, records: u64) -> Vec<Applied> {
        reader.skip_to(self.oldest());
        let from = reader.next_offset();
        let to = self.end().min(from + records);
        (from..to).map(|at| reader.apply(at, &self.records[at as usize - 1])).collect()
    }

    fn can_start_reader(&self) -> bool {
        let from = self.oldest();
        let usable = |&(at, covered): &(Offset, Offset)| at >= from && covered + 1 >= from;
        from == 1 || self.snapshots.iter().any(usable)
    }

    /// Checks that a reader's release is the result of all notes in force up to its version.
    fn check(&self, reader: &ReleaseLog) {
        if let Some(base) = reader.complete_release() {
            assert_eq!(base.version, self.version_at(reader.next_offset() - 1), "version in force");
        }
        assert_eq!(reader.counters().mismatches, 0, "a copy or snapshot contradicts the reader");
        for decision in reader.decisions() {
            let found = self.in_force_notes.binary_search_by_key(&decision.offset, |note| note.0);
            assert_eq!(decision.rejection.is_none(), found.is_ok(), "decision on a note");
        }
        let Some(release) = reader.release() else { return };
        let notes: Vec<&(Version, u64)> =
            self.in_force_notes.iter().filter(|(version, _)| *version <= release.version).collect();
        let &&(version, nonce) = notes.last().expect("the version was in force");
        assert_eq!(release.version, version);
        assert_eq!(release.title, title(nonce));
        assert_eq!(release.policy.unwrap().max_queue, max_queue(nonce));
        let mut names: Vec<String> = notes.iter().map(|(_, nonce)| title(*nonce)).collect();
        names.sort();
        let found: Vec<&String> = release.organisations.iter().map(|entry| &entry.name).collect();
        assert_eq!(found, names.iter().collect::<Vec<_>>());
    }
}

fn title(nonce: u64) -> String {
    format!("n{nonce}")
}

fn max_queue(nonce: u64) -> u32 {
    nonce as u32 + 1
}

/// Note that adds an organisation of its own name; an invalid one also withdraws an unknown service.
fn note_of(nonce: u64, is_valid: bool) -> note::ParsedNote {
    let name = title(nonce);
    let hash = hex::encode(sha2::Sha256::digest(&name));
    let mut text = format!("title = \"{name}\"\npolicy.max_queue = {}\n", max_queue(nonce));
    if !is_valid {
        text.push_str("withdrawn.services = [\"missing\"]\n");
    }
    text.push_str(&format!(
        "[[added.organisations]]\nname = \"{name}\"\nkey_sha256s = [\"{hash}\"]\n"
    ));
    note::parse_lenient(&text)
}

struct PublisherRun {
    publisher: Publisher,
    reader: ReleaseLog,
    nonce: u64,
    is_valid: bool,
}

#[derive(Debug, Default)]
struct Coverage {
    in_force: u64,
    rejected: u64,
    conflict: u64,
    unknown: u64,
    not_published: u64,
    faults: u64,
    became_base: u64,
    gaps: u64,
    adopted: u64,
    agreed: u64,
    skipped_ahead: u64,
}

struct World {
    log: FakeLog,
    publishers: Vec<PublisherRun>,
    readers: Vec<ReleaseLog>,
    next_nonce: u64,
    outcomes: Vec<(u64, Outcome)>,
}

impl World {
    fn new() -> World {
        let mut world = World {
            log: FakeLog::default(),
            publishers: Vec::new(),
            readers: vec![ReleaseLog::new(); READERS],
            next_nonce: 1,
            outcomes: Vec::new(),
        };
        for _ in 0..PUBLISHERS {
            let publisher = world.start(true);
            world.publishers.push(publisher);
        }
        world
    }

    fn start(&mut self, is_valid: bool) -> PublisherRun {
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        let publisher = Publisher::new(note_of(nonce, is_valid), "ana".into(), nonce);
        PublisherRun { publisher, reader: ReleaseLog::new(), nonce, is_valid }
    }

    fn step(&mut self, index: usize, append: AppendBehaviour, is_valid: bool) {
        let run = &mut self.publishers[index];
        match run.publisher.next(&run.reader) {
            Step::Done(outcome) => {
                self.outcomes.push((run.nonce, outcome));
                self.publishers[index] = self.start(is_valid);
            }
            Step::Read => {
                self.log.read(&mut run.reader, u64::MAX >> 1);
                run.publisher.on_read_to_end();
                self.log.check(&run.reader);
            }
            Step::Append(data) => {
                let base = run.publisher.base_version().unwrap();
                let published = Published { base, nonce: run.nonce, is_valid: run.is_valid };
                let answer = self.log.append_with_behaviour(data, published, append);
                self.publishers[index].publisher.on_append(answer);
            }
        }
    }

    fn apply(&mut self, event: Event, seen: &mut Coverage) {
        match event {
            Event::Step { publisher, steps, append, is_valid } => {
                for _ in 0..=steps % 4 {
                    self.step(publisher as usize % PUBLISHERS, append, is_valid);
                }
            }
            Event::PublishUnchecked { publisher } => {
                let nonce = self.next_nonce;
                self.next_nonce += 1;
                let base = self.log.version_at(self.log.end() - 1);
                let published = log::PublishedNote {
                    base_version: base,
                    nonce,
                    author: format!("{publisher}"),
                    note: Some(note_of(nonce, false).note),
                };
                let body = log::release_record::Body::Published(published);
                let data = log::ReleaseRecord { body: Some(body) }.encode_to_vec();
                self.log.append(data, Some(Published { base, nonce, is_valid: false }));
            }
            Event::Deliver { which } => self.deliver(which as usize),
            Event::Read { reader, records } => {
                let reader = &mut self.readers[reader as usize % READERS];
                for applied in self.log.read(reader, u64::from(records % 8)) {
                    seen.count(&applied);
                }
            }
            Event::Restart { reader, dice } => {
                if dice % 4 == 0 {
                    let index = reader as usize % READERS;
                    seen.gaps += self.readers[index].counters().gaps;
                    self.readers[index] = ReleaseLog::new();
                }
            }
            Event::Adopt { reader, peer, knows_covered_offset } => {
                let peer = &self.readers[peer as usize % READERS];
                let Some(release) = peer.release().cloned() else { return };
                let covered =
                    if knows_covered_offset { peer.covered_offset() } else { release.version };
                let reader = &mut self.readers[reader as usize % READERS];
                let next = reader.next_offset();
                seen.adopted += u64::from(reader.adopt(release, covered));
                seen.skipped_ahead += u64::from(reader.next_offset() > next);
            }
            Event::Snapshot { reader, is_late } => {
                let reader = &self.readers[reader as usize % READERS];
                let Some(data) = snapshot::record(reader, Duration::ZERO) else { return };
                if is_late {
                    self.log.delayed.push((data, None));
                } else {
                    self.log.append(data, None);
                }
            }
            Event::DropOld { records } => {
                let left = self.log.records.len() as u64 - self.log.dropped;
                if records % 3 == 0 {
                    self.log.dropped += u64::from(records % 7).min(left);
                }
            }
            Event::AppendInvalid { bytes } => {
                self.log.append(bytes.to_vec(), None);
            }
        }
    }

    fn deliver(&mut self, which: usize) {
        if !self.log.delayed.is_empty() {
            let index = which % self.log.delayed.len();
            let (data, published) = self.log.delayed.swap_remove(index);
            self.log.append(data, published);
        }
    }

    /// Checks that no reader's version decreases and that each agrees with the log.
    fn check(&self, versions: &mut [Version], restarted: Option<usize>) {
        for (index, reader) in self.readers.iter().enumerate() {
            self.log.check(reader);
            let is_new = restarted == Some(index) && reader.version() == 0;
            assert!(is_new || reader.version() >= versions[index], "a version decreased");
            versions[index] = reader.version();
        }
    }

    fn finish(&mut self, seen: &mut Coverage) {
        while !self.log.delayed.is_empty() {
            self.deliver(0);
        }
        let mut late = ReleaseLog::new();
        self.log.read(&mut late, u64::MAX >> 1);
        self.log.check(&late);
        assert_eq!(
            late.complete_release().is_some(),
            self.log.can_start_reader(),
            "whether a new reader has a complete release"
        );
        for run in &mut self.publishers {
            self.outcomes.push((run.nonce, run.publisher.give_up(&run.reader)));
        }
        for (nonce, outcome) in &self.outcomes {
            self.check_outcome(*nonce, outcome, seen);
        }
    }

    /// Checks an outcome returned to a publisher against the final log.
    fn check_outcome(&self, nonce: u64, outcome: &Outcome, seen: &mut Coverage) {
        let own: Vec<Version> = self
            .log
            .in_force_notes
            .iter()
            .filter(|(_, own)| *own == nonce)
            .map(|(at, _)| *at)
            .collect();
        assert!(own.len() <= 1, "note {nonce} came into force twice");
        match outcome {
            Outcome::InForce { version } => {
                assert_eq!(own, [*version]);
                seen.in_force += 1;
            }
            Outcome::Conflict { version, title: other_title, author } => {
                assert!(own.is_empty(), "note {nonce} is in force");
                let other = self.log.in_force_notes.iter().find(|(at, _)| at == version).unwrap();
                assert_eq!(
                    (other_title.as_str(), author.as_str()),
                    (title(other.1).as_str(), "ana")
                );
                seen.conflict += 1;
            }
            Outcome::Unknown => seen.unknown += 1,
            Outcome::NotPublished => {
                assert!(own.is_empty());
                seen.not_published += 1;
            }
            Outcome::Rejected(_) => assert!(own.is_empty()),
            Outcome::Faults(_) => {
                assert!(own.is_empty());
                seen.faults += 1;
            }
        }
    }
}

impl FakeLog {
    fn append_with_behaviour(
        &mut self,
        data: Vec<u8>,
        published: Published,
        behaviour: AppendBehaviour,
    ) -> AppendOutcome {
        match behaviour {
            AppendBehaviour::Answered => {
                AppendOutcome::Appended(self.append(data, Some(published)))
            }
            AppendBehaviour::Refused => AppendOutcome::Refused,
            AppendBehaviour::AnswerLost => {
                self.append(data, Some(published));
                AppendOutcome::Unknown
            }
            AppendBehaviour::Delayed => {
                self.delayed.push((data, Some(published)));
                AppendOutcome::Unknown
            }
            AppendBehaviour::Lost => AppendOutcome::Unknown,
        }
    }
}

impl Coverage {
    fn count(&mut self, applied: &Applied) {
        match applied {
            Applied::Rejected { .. } => self.rejected += 1,
            Applied::Snapshot(SnapshotUse::BecameBase { .. }) => self.became_base += 1,
            Applied::Snapshot(SnapshotUse::Agrees) => self.agreed += 1,
            _ => {}
        }
    }
}

/// A snapshot with a covered offset at or after its own, or a version after its covered offset, must
/// not become the base of a new reader.
#[test]
fn ignores_snapshots_with_impossible_offsets() {
    let mut honest = ReleaseLog::new();
    let base_version = 0;
    let note = Some(note_of(1, true).note);
    let published = log::PublishedNote { base_version, nonce: 1, author: String::new(), note };
    let body = log::release_record::Body::Published(published);
    honest.apply(1, &log::ReleaseRecord { body: Some(body) }.encode_to_vec());
    let offset = 9;
    for (version, covered_offset, is_possible) in
        [(1, 0, false), (1, 7, false), (1, 8, true), (1, 9, false), (8, 8, true), (9, 8, false)]
    {
        let release = release::Release { version, ..honest.release().unwrap().clone() };
        let release = Some(release);
        let snapshot = log::ReleaseSnapshot { release, covered_offset, written_at_ms: 0 };
        let body = log::release_record::Body::Snapshot(snapshot);
        let data = log::ReleaseRecord { body: Some(body) }.encode_to_vec();
        let mut reader = ReleaseLog::new();
        reader.apply(offset, &data);
        assert_eq!(
            reader.complete_release().is_some(),
            is_possible,
            "{version} covers {covered_offset}"
        );
    }
}

#[test]
fn readers_and_publishers_agree_with_the_log() {
    let mut seen = Coverage::default();
    seeds::for_each_seed(SEEDS, |source| {
        let mut world = World::new();
        let mut versions = vec![0; READERS];
        for _ in 0..EVENTS {
            let event = Event::generate(source).unwrap();
            let restarted = match event {
                Event::Restart { reader, .. } => Some(reader as usize % READERS),
                _ => None,
            };
            world.apply(event, &mut seen);
            world.check(&mut versions, restarted);
        }
        world.finish(&mut seen);
    });
    println!("{seen:?}");
    if std::env::var_os("RHUBARBROCK_SEED").is_none() {
        let counts = [
            seen.in_force,
            seen.rejected,
            seen.conflict,
            seen.unknown,
            seen.not_published,
            seen.faults,
            seen.became_base,
            seen.gaps,
            seen.adopted,
            seen.agreed,
            seen.skipped_ahead,
        ];
        assert!(
            counts.iter().all(|&count| count > 50),
            "a case occurred at most 50 times: {seen:?}"
        );
    }
}
