//! Publishes one release note: appends it to the log and reads back the decision.
//!
//! The response to an append can be lost after the record was written, and the
//! record may be written late. The publisher therefore reads the log to its end
//! before it appends again, always with the same base version and nonce: if the
//! note is already in force, the base of a second record is outdated and every
//! reader rejects it. Once another note has come into force on the same base, no
//! record of this one can, whether it was appended or not.

use derive_more::Display;
use prost::Message;
use rhubarbrock_schema::{log, release as schema};

use crate::defaults;
use crate::id::{Offset, Version};
use crate::note::{Fault, ParsedNote};
use crate::release::{RejectionReason, ReleaseLog, Successor};

/// Maximum number of appends of one note.
pub const MAX_APPENDS: u32 = 4;

/// What the user of the publisher does next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Read the log to its end, apply the records, call [`Publisher::on_read_to_end`], then
    /// [`Publisher::next`].
    Read,
    /// Append this record, call [`Publisher::on_append`], then [`Publisher::next`].
    Append(Vec<u8>),
    /// Publishing has ended with this outcome.
    Done(Outcome),
}

/// Result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record was written at this offset.
    Appended(Offset),
    /// The record was not written and will not be.
    Refused,
    /// The record may have been written, or may be written later.
    Unknown,
}

/// Outcome of publishing a note.
#[derive(Debug, Clone, PartialEq, Display)]
pub enum Outcome {
    /// The note came into force.
    #[display("in force as version {version}")]
    InForce {
        /// Version of the release with the note.
        version: Version,
    },
    /// The note was appended and rejected; the release is unchanged.
    #[display("rejected: {_0}")]
    Rejected(RejectionReason),
    /// The note has these faults and was not appended.
    #[display("not published: the note has {} faults", _0.len())]
    Faults(Vec<Fault>),
    /// Another note came into force first; this one is not and never will be in force.
    #[display(
        "not in force and never will be: another note came into force first, version {version}, \"{title}\" by {author}"
    )]
    Conflict {
        /// Version of the other note.
        version: Version,
        /// Title of the other note.
        title: String,
        /// Author of the other note.
        author: String,
    },
    /// The note was not appended.
    #[display("not published: the platform's log accepted no append")]
    NotPublished,
    /// The note may have been appended, or may be appended later.
    #[display(
        "unknown: an append was sent but its record was not read back from the log; the note may be in force or come into force later"
    )]
    Unknown,
}

/// Publisher of one note.
#[derive(Debug, Clone)]
pub struct Publisher {
    parsed: ParsedNote,
    author: String,
    nonce: u64,
    base_version: Option<Version>,
    append_count: u32,
    /// Whether an append with an unknown result may have written the note.
    may_be_appended: bool,
    /// Whether the log was read to its end since the last append.
    has_read_to_end: bool,
    /// Offset at which the note is known to be written.
    appended_offset: Option<Offset>,
}

impl Publisher {
    /// Creates a publisher of this note; `nonce` must be random, as it identifies the note in the log.
    pub fn new(parsed: ParsedNote, author: String, nonce: u64) -> Publisher {
        Publisher {
            parsed,
            author,
            nonce,
            base_version: None,
            append_count: 0,
            may_be_appended: false,
            has_read_to_end: false,
            appended_offset: None,
        }
    }

    /// Version that the note is written against; `None` before the log was first read to its end.
    pub fn base_version(&self) -> Option<Version> {
        self.base_version
    }

    /// Records that the log was read to its end after the response to the last append, or after it
    /// was given up.
    pub fn on_read_to_end(&mut self) {
        self.has_read_to_end = true;
    }

    /// Records the result of the last append.
    pub fn on_append(&mut self, outcome: AppendOutcome) {
        self.has_read_to_end = false;
        match outcome {
            AppendOutcome::Appended(offset) => self.appended_offset = Some(offset),
            AppendOutcome::Refused => {}
            AppendOutcome::Unknown => self.may_be_appended = true,
        }
    }

    /// Returns the next step; `log` is the publisher's own reader of the log.
    pub fn next(&mut self, log: &ReleaseLog) -> Step {
        if let Some(outcome) = self.decided_outcome(log) {
            return Step::Done(outcome);
        }
        if !self.has_read_to_end {
            return Step::Read;
        }
        let Some(in_force) = log.complete_release() else { return Step::Read };
        match self.base_version {
            None => self.start(in_force),
            Some(_) if self.appended_offset.is_some() => Step::Read,
            Some(base) => self.append(base),
        }
    }

    /// Returns the outcome if publishing is abandoned now.
    pub fn give_up(&mut self, log: &ReleaseLog) -> Outcome {
        if let Some(outcome) = self.decided_outcome(log) {
            return outcome;
        }
        self.undecided_outcome()
    }

    fn decided_outcome(&self, log: &ReleaseLog) -> Option<Outcome> {
        let base = self.base_version?;
        if let Some(Some(reason @ RejectionReason::Invalid { .. })) =
            log.decision(self.nonce).map(|decision| &decision.rejection)
        {
            return Some(Outcome::Rejected(reason.clone()));
        }
        // A second record of this note is rejected because the first one made its base outdated.
        match log.successor(base) {
            Successor::NoneYet => None,
            Successor::Known(successor) if successor.nonce == self.nonce => {
                Some(Outcome::InForce { version: successor.offset })
            }
            Successor::Known(successor) => Some(Outcome::Conflict {
                version: successor.offset,
                title: successor.title.clone(),
                author: successor.author.clone(),
            }),
            Successor::Unknown => log.complete_release().map(|_| self.undecided_outcome()),
        }
    }

    /// Outcome if the log does not show a decision on the note.
    fn undecided_outcome(&self) -> Outcome {
        let may_be_in_log = self.may_be_appended || self.appended_offset.is_some();
        if may_be_in_log { Outcome::Unknown } else { Outcome::NotPublished }
    }

    fn start(&mut self, in_force: &schema::Release) -> Step {
        let faults = self.parsed.faults(in_force);
        if !faults.is_empty() {
            return Step::Done(Outcome::Faults(faults));
        }
        self.parsed.note = defaults::with_defaults(std::mem::take(&mut self.parsed.note), in_force);
        self.base_version = Some(in_force.version);
        self.append(in_force.version)
    }

    fn append(&mut self, base: Version) -> Step {
        if self.append_count == MAX_APPENDS {
            return Step::Done(self.undecided_outcome());
        }
        self.append_count += 1;
        self.has_read_to_end = false;
        let published = log::PublishedNote {
            base_version: base,
            nonce: self.nonce,
            author: self.author.clone(),
            note: Some(self.parsed.note.clone()),
        };
        let body = log::release_record::Body::Published(published);
        Step::Append(log::ReleaseRecord { body: Some(body) }.encode_to_vec())
    }
}
