//! The release in force, folded from topic "release" of the platform's log.
//!
//! A note is in force if its base is the version in force at its place in the
//! log and it is valid; its offset is the new version. Each reader comes to the
//! same release at the same offset, whether it read from the first record,
//! from a snapshot or from a peer's copy. A reader that misses records between
//! what it knows and what it reads holds notes back until a snapshot or a copy
//! closes the gap.

use std::collections::{BTreeMap, VecDeque};

use derive_more::Display;
use prost::Message;
use rhubarbrock_schema::{log, release as schema};
use xxhash_rust::xxh3;

use crate::id::{Offset, Version};
use crate::validation;

/// Topic of the log that holds release notes and snapshots.
pub const TOPIC: &str = "release";

/// Notes whose fate is kept for publishers to ask, and versions for snapshots to be compared with.
const MAX_DECISIONS: usize = 128;

/// Highest offset that is believed; a log that counts from 1 never comes there.
const MAX_OFFSET: Offset = 1 << 62;

/// What one record did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// The note is in force.
    InForce {
        /// Its version.
        version: Version,
    },
    /// The note is not and never will be in force.
    Rejected {
        /// Nonce of its publisher.
        nonce: u64,
        /// Why.
        reason: RejectionReason,
    },
    /// The note is kept until a snapshot or a copy says what it builds on.
    Deferred {
        /// Nonce of its publisher.
        nonce: u64,
    },
    /// A snapshot.
    Snapshot(SnapshotUse),
    /// The record changed nothing.
    Ignored(IgnoredReason),
}

/// What a snapshot was used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotUse {
    /// It became the base of this reader; this many notes held back were placed.
    BecameBase {
        /// Notes that were held back.
        notes: usize,
    },
    /// It is what this reader has itself.
    Agrees,
    /// It is too old for this reader to compare with.
    TooOld,
    /// It says otherwise than this reader's own fold; nothing was changed.
    Mismatch,
    /// Records between it and the first one read are missing.
    Gap,
}

/// Why a note is not in force.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum RejectionReason {
    /// Another version was in force at its place.
    #[display("it was written against version {base}, but version {in_force} was in force")]
    OutdatedBase {
        /// Version it was written against.
        base: Version,
        /// Version in force at its place.
        in_force: Version,
    },
    /// It breaks a rule.
    #[display("{field}: {message}")]
    Invalid {
        /// Field of the first fault.
        field: String,
        /// The first fault.
        message: String,
    },
}

/// Why a record was ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum IgnoredReason {
    /// It is no record of this topic.
    #[display("not a release record")]
    Malformed,
    /// This reader knows its effect already.
    #[display("covered already")]
    AlreadyCovered,
}

/// Fate of one note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoteDecision {
    /// Offset of the note.
    pub offset: Offset,
    /// Nonce of its publisher.
    pub nonce: u64,
    /// Its title.
    pub title: String,
    /// Who published it.
    pub author: String,
    /// None where it came in force.
    pub rejection: Option<RejectionReason>,
}

/// What a reader knows of the note that came in force after another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Successor<'l> {
    /// No note did, up to the last record read.
    NoneYet,
    /// This one did.
    Known(&'l NoteDecision),
    /// This reader did not read that far back, or no longer remembers.
    Unknown,
}

/// Counters of a reader.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Notes that came in force here.
    pub in_force: u64,
    /// Notes rejected.
    pub rejected: u64,
    /// Records that could not be read.
    pub malformed: u64,
    /// Snapshots that agreed with this reader.
    pub snapshots_agreed: u64,
    /// Snapshots or copies that said otherwise; each is a fault to look into.
    pub mismatches: u64,
    /// Times that records were lost to retention before they were read.
    pub gaps: u64,
}

/// A reader of the topic.
#[derive(Debug, Clone)]
pub struct ReleaseLog {
    /// Release after the record at `covered`.
    release: schema::Release,
    covered: Offset,
    /// First record of the unbroken run of records read.
    read_from: Offset,
    /// Record to read next.
    next: Offset,
    /// Notes read, but not placed.
    held: BTreeMap<Offset, log::PublishedNote>,
    decisions: VecDeque<NoteDecision>,
    /// The latest versions without a gap, and the digest of each one's release.
    history: VecDeque<(Version, u64)>,
    last_snapshot: Option<LastSnapshot>,
    counters: Counters,
}

/// The last snapshot that a later reader could start from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LastSnapshot {
    /// Offset up to which it covers the topic.
    pub covered: Offset,
    /// Wall-clock time of writing, in milliseconds since the Unix epoch.
    pub written_at_ms: u64,
}

impl Default for ReleaseLog {
    fn default() -> ReleaseLog {
        ReleaseLog::new()
    }
}

impl ReleaseLog {
    /// A reader that has read nothing.
    pub fn new() -> ReleaseLog {
        let release = schema::Release::default();
        ReleaseLog {
            history: VecDeque::from([(0, digest(&release))]),
            release,
            covered: 0,
            read_from: 1,
            next: 1,
            held: BTreeMap::new(),
            decisions: VecDeque::new(),
            last_snapshot: None,
            counters: Counters::default(),
        }
    }

    /// The release in force as far as this reader knows; none before the first note.
    pub fn release(&self) -> Option<&schema::Release> {
        (self.release.version > 0).then_some(&self.release)
    }

    /// Version in force as far as this reader knows; 0 for none.
    pub fn version(&self) -> Version {
        self.release.version
    }

    /// Offset to read from next.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Offset up to which all records are folded into the release.
    pub fn covered_offset(&self) -> Offset {
        self.covered
    }

    /// The release after all records read; none while some before them are missing.
    pub fn complete_release(&self) -> Option<&schema::Release> {
        self.is_placed().then_some(&self.release)
    }

    /// Notes held back.
    pub fn deferred_notes(&self) -> usize {
        self.held.len()
    }

    /// Fate of the latest note with this nonce, if it was placed of late.
    pub fn decision(&self, nonce: u64) -> Option<&NoteDecision> {
        self.decisions.iter().rev().find(|decision| decision.nonce == nonce)
    }

    /// Fate of the note at this offset, if it was placed of late.
    pub fn decision_at(&self, offset: Offset) -> Option<&NoteDecision> {
        self.decisions.iter().rev().find(|decision| decision.offset == offset)
    }

    /// Fates of the notes placed of late, in order.
    pub fn decisions(&self) -> impl Iterator<Item = &NoteDecision> {
        self.decisions.iter()
    }

    /// The note that came in force right after version `base`.
    pub fn successor(&self, base: Version) -> Successor<'_> {
        if self.complete_release().is_some_and(|release| release.version == base) {
            return Successor::NoneYet;
        }
        let is_base = |(version, _): &(Version, u64)| *version == base;
        let next = self.history.iter().position(is_base).and_then(|at| self.history.get(at + 1));
        match next.and_then(|(version, _)| self.decision_at(*version)) {
            Some(decision) => Successor::Known(decision),
            None => Successor::Unknown,
        }
    }

    /// The last snapshot seen that a later reader could start from.
    pub fn last_snapshot(&self) -> Option<LastSnapshot> {
        self.last_snapshot
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Tells that the log now starts at `oldest`; records before it are lost to this reader.
    pub fn skip_to(&mut self, oldest: Offset) {
        if oldest <= self.next || oldest > MAX_OFFSET {
            return;
        }
        self.counters.gaps += 1;
        self.held.clear();
        self.read_from = oldest;
        self.next = oldest;
        self.place();
    }

    /// Folds the record at `offset` in. Records before it that were not given are lost.
    pub fn apply(&mut self, offset: Offset, data: &[u8]) -> Applied {
        if offset < self.next {
            return Applied::Ignored(IgnoredReason::AlreadyCovered);
        }
        if offset > MAX_OFFSET {
            return self.malformed();
        }
        self.skip_to(offset);
        self.next = offset + 1;
        let body = log::ReleaseRecord::decode(data).ok().and_then(|record| record.body);
        let applied = match body {
            Some(log::release_record::Body::Published(published)) => self.note(offset, published),
            Some(log::release_record::Body::Snapshot(snapshot)) => self.snapshot(offset, snapshot),
            None => self.malformed(),
        };
        self.place();
        applied
    }

    /// Takes a peer's copy that covers the topic up to `covered`; whether it changed anything.
    ///
    /// `covered` is what the peer's [`ReleaseLog::covered_offset`] gave, or the copy's
    /// version where that is not known.
    pub fn adopt(&mut self, release: schema::Release, covered: Offset) -> bool {
        let covered = covered.max(release.version);
        let is_old = release.version < self.release.version;
        if is_old || covered > MAX_OFFSET || !validation::is_valid_release(&release) {
            return false;
        }
        if release.version == self.release.version && release != self.release {
            self.counters.mismatches += 1;
            return false;
        }
        if covered <= self.covered {
            self.counters.mismatches += u64::from(release.version > self.release.version);
            return false;
        }
        self.rebase(release, covered);
        true
    }

    fn is_placed(&self) -> bool {
        self.covered + 1 >= self.read_from
    }

    fn malformed(&mut self) -> Applied {
        self.counters.malformed += 1;
        Applied::Ignored(IgnoredReason::Malformed)
    }

    fn note(&mut self, offset: Offset, mut published: log::PublishedNote) -> Applied {
        let nonce = published.nonce;
        published.note.get_or_insert_default();
        self.held.insert(offset, published);
        if !self.is_placed() {
            return Applied::Deferred { nonce };
        }
        self.place();
        match self.decisions.back().map(|decision| &decision.rejection) {
            Some(Some(reason)) => Applied::Rejected { nonce, reason: reason.clone() },
            _ => Applied::InForce { version: self.release.version },
        }
    }

    fn snapshot(&mut self, offset: Offset, snapshot: log::ReleaseSnapshot) -> Applied {
        let Some(release) = snapshot.release else { return self.malformed() };
        let covered = snapshot.covered_offset;
        let in_order = release.version <= covered && covered < offset;
        if !in_order || !validation::is_valid_release(&release) {
            return self.malformed();
        }
        let used = if self.is_placed() {
            self.compare(&release, covered)
        } else {
            self.start_from(release, covered)
        };
        if matches!(used, SnapshotUse::Agrees | SnapshotUse::BecameBase { .. }) {
            self.last_snapshot =
                Some(LastSnapshot { covered, written_at_ms: snapshot.written_at_ms });
        }
        Applied::Snapshot(used)
    }

    /// Compares a snapshot with what this reader had at that offset; changes only counters.
    fn compare(&mut self, release: &schema::Release, covered: Offset) -> SnapshotUse {
        let known = self.history.iter().rev().find(|(version, _)| *version <= covered);
        match known {
            None => SnapshotUse::TooOld,
            Some(&known) if known == (release.version, digest(release)) => {
                self.counters.snapshots_agreed += 1;
                SnapshotUse::Agrees
            }
            Some(_) => {
                self.counters.mismatches += 1;
                SnapshotUse::Mismatch
            }
        }
    }

    fn start_from(&mut self, release: schema::Release, covered: Offset) -> SnapshotUse {
        if covered + 1 < self.read_from {
            return SnapshotUse::Gap;
        }
        let goes_back = release.version < self.release.version || covered < self.covered;
        let differs = release.version == self.release.version && release != self.release;
        if goes_back || differs {
            self.counters.mismatches += 1;
            return SnapshotUse::Mismatch;
        }
        let notes = self.held.len();
        self.rebase(release, covered);
        SnapshotUse::BecameBase { notes }
    }

    /// Goes on from a release that covers the topic further than this reader's own.
    fn rebase(&mut self, release: schema::Release, covered: Offset) {
        assert!(release.version >= self.release.version, "a release never goes back");
        self.held = self.held.split_off(&(covered + 1));
        if release.version > self.release.version {
            self.history.clear();
            self.remember(&release);
        }
        self.release = release;
        self.covered = covered;
        if self.next <= covered {
            self.next = covered + 1;
            self.read_from = self.next;
        }
        self.place();
    }

    /// Folds in all notes read, once nothing before them is missing.
    fn place(&mut self) {
        if !self.is_placed() {
            return;
        }
        while let Some((offset, published)) = self.held.pop_first() {
            self.decide(offset, published);
        }
        self.covered = self.covered.max(self.next - 1);
    }

    fn decide(&mut self, offset: Offset, published: log::PublishedNote) {
        let note = published.note.unwrap_or_default();
        let rejection = rejection(&note, published.base_version, &self.release);
        if rejection.is_none() {
            assert!(offset > self.release.version, "a version only moves upward");
            let release = validation::fold(&self.release, &note, offset);
            self.remember(&release);
            self.release = release;
            self.counters.in_force += 1;
        } else {
            self.counters.rejected += 1;
        }
        let decision = NoteDecision {
            offset,
            nonce: published.nonce,
            title: note.title,
            author: published.author,
            rejection,
        };
        push_bounded(&mut self.decisions, decision);
    }

    fn remember(&mut self, release: &schema::Release) {
        push_bounded(&mut self.history, (release.version, digest(release)));
    }
}

fn push_bounded<T>(kept: &mut VecDeque<T>, item: T) {
    if kept.len() == MAX_DECISIONS {
        kept.pop_front();
    }
    kept.push_back(item);
}

fn digest(release: &schema::Release) -> u64 {
    xxh3::xxh3_64(&release.encode_to_vec())
}

fn rejection(
    note: &schema::ReleaseNote,
    base: Version,
    in_force: &schema::Release,
) -> Option<RejectionReason> {
    if base != in_force.version {
        return Some(RejectionReason::OutdatedBase { base, in_force: in_force.version });
    }
    let fault = validation::validate(note, in_force).into_iter().next()?;
    Some(RejectionReason::Invalid { field: fault.field, message: fault.message })
}
