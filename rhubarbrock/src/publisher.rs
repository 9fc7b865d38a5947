//! Publishing one release note: append it, read back its fate.
//!
//! The answer of an append can be lost after it took effect, and an append may
//! take effect late. So the publisher reads the log to its end before it
//! appends again, always with the same base and nonce: a second record of the
//! same note finds its base moved on and is rejected by every reader. Once
//! another note is in force, no record of this one can come in force any more,
//! whether it was ever appended or not.

use derive_more::Display;
use prost::Message;
use rhubarbrock_schema::{log, release as schema};

use crate::defaults;
use crate::id::{Offset, Version};
use crate::note::{Fault, ParsedNote};
use crate::release::{RejectionReason, ReleaseLog, Successor};

/// Appends tried before the publisher gives up.
pub const MAX_APPENDS: u32 = 4;

/// What the caller does next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Read the log to its end, apply it, then ask again.
    Read,
    /// Append this record, tell how that went, then ask again.
    Append(Vec<u8>),
    /// The note's fate.
    Done(Outcome),
}

/// How an append went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// It took effect at this offset.
    Appended(Offset),
    /// It certainly had no effect.
    Refused,
    /// It may have taken effect, or may still.
    Unknown,
}

/// Fate of a note.
#[derive(Debug, Clone, PartialEq, Display)]
pub enum Outcome {
    /// In force.
    #[display("in force as version {version}")]
    InForce {
        /// Its version.
        version: Version,
    },
    /// Rejected by the rules; nothing was changed.
    #[display("rejected: {_0}")]
    Rejected(RejectionReason),
    /// It has these faults and was never appended.
    #[display("not published: {} faults", _0.len())]
    Faults(Vec<Fault>),
    /// Another note came in force first; this one is not and never will be.
    #[display(
        "not in force and never will be: another note came first, version {version}, \"{title}\" by {author}"
    )]
    Conflict {
        /// Version of the other note.
        version: Version,
        /// Its title.
        title: String,
        /// Who published it.
        author: String,
    },
    /// It was certainly never appended.
    #[display("not published: the platform's log took no append")]
    NotPublished,
    /// An append may have taken effect, or may still; whether it did is not known.
    #[display(
        "unknown: an append was sent and its effect is not to be seen in the log; the note may be in force or come in force"
    )]
    Unknown,
}

/// The publishing of one note.
#[derive(Debug, Clone)]
pub struct Publisher {
    parsed: ParsedNote,
    author: String,
    nonce: u64,
    base: Option<Version>,
    appends: u32,
    /// Whether an append may have taken effect.
    may_be_appended: bool,
    /// Whether the log was read to its end since the last append.
    has_read: bool,
    /// Offset of an append that was answered.
    appended_at: Option<Offset>,
}

impl Publisher {
    /// A publisher of this note; `nonce` must be drawn at random.
    pub fn new(parsed: ParsedNote, author: String, nonce: u64) -> Publisher {
        Publisher {
            parsed,
            author,
            nonce,
            base: None,
            appends: 0,
            may_be_appended: false,
            has_read: false,
            appended_at: None,
        }
    }

    /// Version the note is written against, once that is settled.
    pub fn base_version(&self) -> Option<Version> {
        self.base
    }

    /// Tells that `log` was read to its end, after the last append's answer was in or given up.
    pub fn on_read_to_end(&mut self) {
        self.has_read = true;
    }

    /// Tells how the last append went.
    pub fn on_append(&mut self, outcome: AppendOutcome) {
        self.has_read = false;
        match outcome {
            AppendOutcome::Appended(offset) => self.appended_at = Some(offset),
            AppendOutcome::Refused => {}
            AppendOutcome::Unknown => self.may_be_appended = true,
        }
    }

    /// What to do next, by what the publisher's own reader of the log knows.
    pub fn next(&mut self, log: &ReleaseLog) -> Step {
        if let Some(outcome) = self.decided(log) {
            return Step::Done(outcome);
        }
        if !self.has_read {
            return Step::Read;
        }
        let Some(in_force) = log.complete_release() else { return Step::Read };
        match self.base {
            None => self.start(in_force),
            Some(_) if self.appended_at.is_some() => Step::Read,
            Some(base) => self.append(base),
        }
    }

    /// What can be said truly if the caller gives up now.
    pub fn give_up(&mut self, log: &ReleaseLog) -> Outcome {
        if let Some(outcome) = self.decided(log) {
            return outcome;
        }
        self.undecided()
    }

    fn decided(&self, log: &ReleaseLog) -> Option<Outcome> {
        let base = self.base?;
        if let Some(Some(reason @ RejectionReason::Invalid { .. })) =
            log.decision(self.nonce).map(|decision| &decision.rejection)
        {
            return Some(Outcome::Rejected(reason.clone()));
        }
        // A doubled record of this note is rejected as its first one moved the base.
        match log.successor(base) {
            Successor::NoneYet => None,
            Successor::Known(winner) if winner.nonce == self.nonce => {
                Some(Outcome::InForce { version: winner.offset })
            }
            Successor::Known(winner) => Some(Outcome::Conflict {
                version: winner.offset,
                title: winner.title.clone(),
                author: winner.author.clone(),
            }),
            Successor::Unknown => log.complete_release().map(|_| self.undecided()),
        }
    }

    /// What is certain where the log does not say.
    fn undecided(&self) -> Outcome {
        let may_have_won = self.may_be_appended || self.appended_at.is_some();
        if may_have_won { Outcome::Unknown } else { Outcome::NotPublished }
    }

    fn start(&mut self, in_force: &schema::Release) -> Step {
        let faults = self.parsed.faults(in_force);
        if !faults.is_empty() {
            return Step::Done(Outcome::Faults(faults));
        }
        self.parsed.note = defaults::with_defaults(std::mem::take(&mut self.parsed.note), in_force);
        self.base = Some(in_force.version);
        self.append(in_force.version)
    }

    fn append(&mut self, base: Version) -> Step {
        if self.appends == MAX_APPENDS {
            return Step::Done(self.undecided());
        }
        self.appends += 1;
        self.has_read = false;
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
