//! The release in force, computed from topic "release" of the platform's log.
//!
//! A note comes into force if it is valid and its base version is the version in
//! force just before its offset; its offset becomes the new version. All readers
//! have the same release at the same offset, whether they started from the first
//! record, from a snapshot or from another node's copy. If records are missing
//! between the release that a reader has and the records that it reads, it defers
//! notes until a snapshot or a copy closes the gap.

use std::collections::{BTreeMap, VecDeque};

use derive_more::Display;
use prost::Message;
use rhubarbrock_schema::{log, release as schema};
use xxhash_rust::xxh3;

use crate::id::{Offset, Version};
use crate::validation;

/// Topic of the log that holds release notes and snapshots.
pub const TOPIC: &str = "release";

/// Number of decisions kept for publishers to look up, and of versions kept to compare snapshots
/// with.
const MAX_HISTORY_LEN: usize = 128;

/// Highest valid offset. A log that counts from 1 does not reach it.
const MAX_OFFSET: Offset = 1 << 62;

/// Effect of one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// The note came into force.
    InForce {
        /// Version of the release with the note.
        version: Version,
    },
    /// The note was rejected and will never be in force.
    Rejected {
        /// Nonce drawn by its publisher.
        nonce: u64,
        /// Reason of the rejection.
        reason: RejectionReason,
    },
    /// Records before the note are missing; it is decided once a snapshot or a copy covers them.
    Deferred {
        /// Nonce drawn by its publisher.
        nonce: u64,
    },
    /// The record was a snapshot, used in this way.
    Snapshot(SnapshotUse),
    /// The record changed nothing.
    Ignored(IgnoredReason),
}

/// Use made of a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotUse {
    /// It replaced the release of this reader, so that deferred notes could be decided.
    BecameBase {
        /// Number of notes that had been deferred.
        deferred_notes: usize,
    },
    /// It equals this reader's release at the offset that it covers.
    Agrees,
    /// It is older than the versions that this reader keeps to compare with.
    TooOld,
    /// It contradicts this reader's own release and was not used.
    Mismatch,
    /// Records between it and the first record read are missing, so it was not used.
    Gap,
}

/// Reason why a note was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum RejectionReason {
    /// Its base version was no longer in force at its offset.
    #[display("it was written against version {base}, but version {in_force} was in force")]
    OutdatedBase {
        /// Version that it was written against.
        base: Version,
        /// Version in force just before its offset.
        in_force: Version,
    },
    /// It is invalid.
    #[display("{field}: {message}")]
    Invalid {
        /// Path of the field with the first fault.
        field: String,
        /// Description of the first fault.
        message: String,
    },
}

/// Reason why a record was ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum IgnoredReason {
    /// It is not a valid record of this topic.
    #[display("not a release record")]
    Malformed,
    /// The release of this reader already includes its effect.
    #[display("already covered")]
    AlreadyCovered,
}

/// Decision on one note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoteDecision {
    /// Offset of the note in the topic.
    pub offset: Offset,
    /// Nonce drawn by its publisher.
    pub nonce: u64,
    /// Title of the note.
    pub title: String,
    /// Author given by its publisher.
    pub author: String,
    /// Reason of the rejection; `None` if the note came into force.
    pub rejection: Option<RejectionReason>,
}

/// What a reader knows of the note that came into force right after a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Successor<'l> {
    /// There is none up to the last record read.
    NoneYet,
    /// Decision on that note.
    Known(&'l NoteDecision),
    /// This reader did not read those records, or no longer keeps the decision.
    Unknown,
}

/// Counters of a reader since it was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Notes that came into force.
    pub in_force: u64,
    /// Notes that were rejected.
    pub rejected: u64,
    /// Records that are not valid records of the topic.
    pub malformed: u64,
    /// Snapshots that equal this reader's release at the offset that they cover.
    pub snapshots_agreed: u64,
    /// Snapshots or copies that contradict this reader's release. Each indicates a fault.
    pub mismatches: u64,
    /// Times that records were dropped by the log before they were read.
    pub gaps: u64,
}

/// Reader of the topic.
#[derive(Debug, Clone)]
pub struct ReleaseLog {
    /// Release after the record at `covered_offset`.
    release: schema::Release,
    covered_offset: Offset,
    /// First offset of the contiguous records that end before `next_offset`.
    contiguous_from: Offset,
    /// Offset to read next.
    next_offset: Offset,
    /// Notes that were read but cannot be decided yet.
    deferred: BTreeMap<Offset, log::PublishedNote>,
    decisions: VecDeque<NoteDecision>,
    /// The latest consecutive versions, each with the hash of its release.
    history: VecDeque<(Version, u64)>,
    last_snapshot: Option<LastSnapshot>,
    counters: Counters,
}

/// The last snapshot read that a new reader can start from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LastSnapshot {
    /// Last offset whose effect it includes.
    pub covered_offset: Offset,
    /// Wall-clock time at which it was written, in milliseconds since the Unix epoch.
    pub written_at_ms: u64,
}

impl Default for ReleaseLog {
    fn default() -> ReleaseLog {
        ReleaseLog::new()
    }
}

impl ReleaseLog {
    /// Creates a reader that starts at offset 1.
    pub fn new() -> ReleaseLog {
        let release = schema::Release::default();
        ReleaseLog {
            history: VecDeque::from([(0, release_hash(&release))]),
            release,
            covered_offset: 0,
            contiguous_from: 1,
            next_offset: 1,
            deferred: BTreeMap::new(),
            decisions: VecDeque::new(),
            last_snapshot: None,
            counters: Counters::default(),
        }
    }

    /// Release in force as far as this reader knows; `None` before the first note. It may lack notes
    /// that are deferred.
    pub fn release(&self) -> Option<&schema::Release> {
        (self.release.version > 0).then_some(&self.release)
    }

    /// Version of [`ReleaseLog::release`]; 0 before the first note.
    pub fn version(&self) -> Version {
        self.release.version
    }

    /// Offset to read from next.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Last offset whose effect the release includes.
    pub fn covered_offset(&self) -> Offset {
        self.covered_offset
    }

    /// Release after all records read, with version 0 if there is no note; `None` while earlier records
    /// are missing.
    pub fn complete_release(&self) -> Option<&schema::Release> {
        self.is_complete().then_some(&self.release)
    }

    /// Number of deferred notes.
    pub fn deferred_notes(&self) -> usize {
        self.deferred.len()
    }

    /// Decision on the last note with this nonce, if it is among the 128 latest decisions.
    pub fn decision(&self, nonce: u64) -> Option<&NoteDecision> {
        self.decisions.iter().rev().find(|decision| decision.nonce == nonce)
    }

    /// Decision on the note at this offset, if it is among the 128 latest decisions.
    pub fn decision_at(&self, offset: Offset) -> Option<&NoteDecision> {
        self.decisions.iter().rev().find(|decision| decision.offset == offset)
    }

    /// The latest decisions, at most 128, in order of offset.
    pub fn decisions(&self) -> impl Iterator<Item = &NoteDecision> {
        self.decisions.iter()
    }

    /// Decision on the note that came into force right after version `base`.
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

    /// The last snapshot read that a new reader can start from.
    pub fn last_snapshot(&self) -> Option<LastSnapshot> {
        self.last_snapshot
    }

    /// Counters since this reader was created.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// To be called when the log now starts at `oldest_offset`. If that is above the next offset to
    /// read, the records in between are lost to this reader.
    pub fn skip_to(&mut self, oldest_offset: Offset) {
        if oldest_offset <= self.next_offset || oldest_offset > MAX_OFFSET {
            return;
        }
        self.counters.gaps += 1;
        self.deferred.clear();
        self.contiguous_from = oldest_offset;
        self.next_offset = oldest_offset;
        self.apply_deferred();
    }

    /// Applies the record at `offset`. Records before it that were not applied count as lost.
    pub fn apply(&mut self, offset: Offset, data: &[u8]) -> Applied {
        if offset < self.next_offset {
            return Applied::Ignored(IgnoredReason::AlreadyCovered);
        }
        if offset > MAX_OFFSET {
            return self.ignore_malformed();
        }
        self.skip_to(offset);
        self.next_offset = offset + 1;
        let body = log::ReleaseRecord::decode(data).ok().and_then(|record| record.body);
        let applied = match body {
            Some(log::release_record::Body::Published(published)) => {
                self.on_note(offset, published)
            }
            Some(log::release_record::Body::Snapshot(snapshot)) => {
                self.on_snapshot(offset, snapshot)
            }
            None => self.ignore_malformed(),
        };
        self.apply_deferred();
        applied
    }

    /// Adopts a peer's copy of the release, which includes the records up to `covered_offset`. Returns
    /// whether it replaced the release or the covered offset.
    ///
    /// `covered_offset` is the result of the peer's [`ReleaseLog::covered_offset`] or, if that is
    /// unknown, the copy's version.
    pub fn adopt(&mut self, release: schema::Release, covered_offset: Offset) -> bool {
        let covered_offset = covered_offset.max(release.version);
        let is_old = release.version < self.release.version;
        if is_old || covered_offset > MAX_OFFSET || !validation::is_valid_release(&release) {
            return false;
        }
        if release.version == self.release.version && release != self.release {
            self.counters.mismatches += 1;
            return false;
        }
        if covered_offset <= self.covered_offset {
            self.counters.mismatches += u64::from(release.version > self.release.version);
            return false;
        }
        self.replace_release(release, covered_offset);
        true
    }

    fn is_complete(&self) -> bool {
        self.covered_offset + 1 >= self.contiguous_from
    }

    fn ignore_malformed(&mut self) -> Applied {
        self.counters.malformed += 1;
        Applied::Ignored(IgnoredReason::Malformed)
    }

    fn on_note(&mut self, offset: Offset, mut published: log::PublishedNote) -> Applied {
        let nonce = published.nonce;
        published.note.get_or_insert_default();
        self.deferred.insert(offset, published);
        if !self.is_complete() {
            return Applied::Deferred { nonce };
        }
        self.apply_deferred();
        match self.decisions.back().map(|decision| &decision.rejection) {
            Some(Some(reason)) => Applied::Rejected { nonce, reason: reason.clone() },
            _ => Applied::InForce { version: self.release.version },
        }
    }

    fn on_snapshot(&mut self, offset: Offset, snapshot: log::ReleaseSnapshot) -> Applied {
        let Some(release) = snapshot.release else { return self.ignore_malformed() };
        let covered_offset = snapshot.covered_offset;
        let in_order = release.version <= covered_offset && covered_offset < offset;
        if !in_order || !validation::is_valid_release(&release) {
            return self.ignore_malformed();
        }
        let snapshot_use = if self.is_complete() {
            self.compare_snapshot(&release, covered_offset)
        } else {
            self.start_from_snapshot(release, covered_offset)
        };
        if matches!(snapshot_use, SnapshotUse::Agrees | SnapshotUse::BecameBase { .. }) {
            self.last_snapshot =
                Some(LastSnapshot { covered_offset, written_at_ms: snapshot.written_at_ms });
        }
        Applied::Snapshot(snapshot_use)
    }

    /// Compares a snapshot with this reader's release at the same offset; changes only counters.
    fn compare_snapshot(
        &mut self,
        release: &schema::Release,
        covered_offset: Offset,
    ) -> SnapshotUse {
        let known = self.history.iter().rev().find(|(version, _)| *version <= covered_offset);
        match known {
            None => SnapshotUse::TooOld,
            Some(&known) if known == (release.version, release_hash(release)) => {
                self.counters.snapshots_agreed += 1;
                SnapshotUse::Agrees
            }
            Some(_) => {
                self.counters.mismatches += 1;
                SnapshotUse::Mismatch
            }
        }
    }

    fn start_from_snapshot(
        &mut self,
        release: schema::Release,
        covered_offset: Offset,
    ) -> SnapshotUse {
        if covered_offset + 1 < self.contiguous_from {
            return SnapshotUse::Gap;
        }
        let is_older =
            release.version < self.release.version || covered_offset < self.covered_offset;
        let differs = release.version == self.release.version && release != self.release;
        if is_older || differs {
            self.counters.mismatches += 1;
            return SnapshotUse::Mismatch;
        }
        let deferred_notes = self.deferred.len();
        self.replace_release(release, covered_offset);
        SnapshotUse::BecameBase { deferred_notes }
    }

    /// Replaces the release by one that covers more records, and decides the deferred notes after it.
    fn replace_release(&mut self, release: schema::Release, covered_offset: Offset) {
        assert!(
            release.version >= self.release.version,
            "the version of a release must not decrease"
        );
        self.deferred = self.deferred.split_off(&(covered_offset + 1));
        if release.version > self.release.version {
            self.history.clear();
            self.record_version(&release);
        }
        self.release = release;
        self.covered_offset = covered_offset;
        if self.next_offset <= covered_offset {
            self.next_offset = covered_offset + 1;
            self.contiguous_from = self.next_offset;
        }
        self.apply_deferred();
    }

    /// Decides all deferred notes, unless records before them are missing.
    fn apply_deferred(&mut self) {
        if !self.is_complete() {
            return;
        }
        while let Some((offset, published)) = self.deferred.pop_first() {
            self.decide_note(offset, published);
        }
        self.covered_offset = self.covered_offset.max(self.next_offset - 1);
    }

    fn decide_note(&mut self, offset: Offset, published: log::PublishedNote) {
        let note = published.note.unwrap_or_default();
        let rejection = rejection_reason(&note, published.base_version, &self.release);
        if rejection.is_none() {
            assert!(
                offset > self.release.version,
                "the offset of a note must be above the version in force"
            );
            let release = validation::apply_note(&self.release, &note, offset);
            self.record_version(&release);
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

    fn record_version(&mut self, release: &schema::Release) {
        push_bounded(&mut self.history, (release.version, release_hash(release)));
    }
}

fn push_bounded<T>(items: &mut VecDeque<T>, item: T) {
    if items.len() == MAX_HISTORY_LEN {
        items.pop_front();
    }
    items.push_back(item);
}

fn release_hash(release: &schema::Release) -> u64 {
    xxh3::xxh3_64(&release.encode_to_vec())
}

fn rejection_reason(
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
