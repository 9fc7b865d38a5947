//! Which gateway performs the duties.
//!
//! The lease is the newest record of a partition of the platform's log, written
//! only on condition that nothing was appended since it was read. Its holder
//! counts its time from before a write was sent; others count from when they
//! read the record. So the holder has stopped before another may take over. The
//! offset at which a holder took the lease is its epoch, which thus only grows.
//!
//! The record also carries the usage of the latest windows. A window's counts
//! are written there before they are reported, so that no two holders ever
//! report different counts.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::usage::{RequestCounts, WindowIndex};

/// Time that the holder keeps in reserve for a call it has just begun.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Part of the lease after which it is renewed.
const RENEWAL_DIVISOR: u32 = 3;

/// Time by which clocks of two instances may run unlike within one lease.
const CLOCK_MARGIN: Duration = Duration::from_millis(300);

/// Wait of each gateway for those ranked before it.
const RANK_DELAY: Duration = Duration::from_millis(300);

/// Windows kept in the record, enough for a successor to report again what may be missing.
const WINDOWS_KEPT: usize = 4;

/// Offset in the partition that holds the lease.
pub type Offset = u64;

/// The lease as the log holds it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeaseRecord {
    /// Name of the holder.
    pub holder: String,
    /// The holder's start.
    pub incarnation: u64,
    /// Epoch under which the holder acts.
    pub epoch: u64,
    /// Counts settled for the latest windows.
    pub windows: BTreeMap<WindowIndex, RequestCounts>,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Nothing for now.
    Wait,
    /// Read the newest record.
    Read,
    /// Append a record on condition that the partition ends at `at`.
    Append {
        /// Offset at which the partition has to end.
        at: Offset,
        /// What to append.
        record: LeaseRecord,
    },
}

/// Outcome of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// It took effect; the partition ends at this offset.
    Done(Offset),
    /// Another record came first.
    Conflict,
    /// It may have taken effect, or may still do so.
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct ReadState {
    end: Offset,
    record: Option<LeaseRecord>,
    since: Duration,
}

/// One gateway's view of the lease.
#[derive(Debug)]
pub struct Lease {
    name: String,
    incarnation: u64,
    duration: Duration,
    seen: Option<ReadState>,
    must_read: bool,
    held_until: Option<Duration>,
    renewed_at: Duration,
    appending: Option<LeaseRecord>,
    no_holder_since: Option<Duration>,
}

impl Lease {
    /// A view of a gateway that was started as `incarnation`; `duration` is the least time
    /// between the actions of two holders.
    pub fn new(name: String, incarnation: u64, duration: Duration) -> Lease {
        Lease {
            name,
            incarnation,
            duration: duration + CALL_TIMEOUT,
            seen: None,
            must_read: true,
            held_until: None,
            renewed_at: Duration::ZERO,
            appending: None,
            no_holder_since: None,
        }
    }

    /// Whether this gateway may act for as long as a call takes.
    pub fn may_act(&self, now: Duration) -> bool {
        self.held_until.is_some_and(|until| now + CALL_TIMEOUT < until)
    }

    /// Whether this gateway holds the lease, perhaps for too short a time to act.
    pub fn is_held(&self, now: Duration) -> bool {
        self.held_until.is_some_and(|until| now < until)
    }

    /// Epoch under which this gateway acts.
    pub fn epoch(&self) -> Option<u64> {
        self.own_record().map(|record| record.epoch)
    }

    /// Windows settled in the record, if this gateway holds the lease.
    pub fn settled_windows(&self) -> Option<&BTreeMap<WindowIndex, RequestCounts>> {
        self.own_record().map(|record| &record.windows)
    }

    /// Decides the next step. `has_live_holder` says that another gateway reports to hold the
    /// lease; `rank` orders the gateways that may take it; `due_window` holds the counts of a
    /// window to be written, if one is due.
    pub fn step(
        &mut self,
        now: Duration,
        has_live_holder: bool,
        rank: u32,
        due_window: Option<(WindowIndex, RequestCounts)>,
    ) -> Step {
        if self.appending.is_some() {
            return Step::Wait;
        }
        if self.is_held(now) {
            return self.renew(now, due_window);
        }
        self.held_until = None;
        if has_live_holder {
            self.no_holder_since = None;
            self.must_read = true;
            return Step::Wait;
        }
        let since = *self.no_holder_since.get_or_insert(now);
        if now < since + RANK_DELAY * rank {
            return Step::Wait;
        }
        if self.must_read {
            return Step::Read;
        }
        let Some(seen) = &self.seen else { return Step::Read };
        let is_free = match &seen.record {
            None => true,
            Some(record) if record.holder == self.name => true,
            Some(_) => now >= seen.since + self.duration + CLOCK_MARGIN,
        };
        if !is_free {
            return Step::Wait;
        }
        let windows = seen.record.as_ref().map(|record| record.windows.clone());
        let record = LeaseRecord {
            holder: self.name.clone(),
            incarnation: self.incarnation,
            epoch: seen.end + 1,
            windows: windows.unwrap_or_default(),
        };
        self.append(seen.end, record)
    }

    fn renew(&mut self, now: Duration, due_window: Option<(WindowIndex, RequestCounts)>) -> Step {
        let is_due = now >= self.renewed_at + self.duration / RENEWAL_DIVISOR;
        if self.must_read {
            return Step::Read;
        }
        let Some(seen) = &self.seen else { return Step::Read };
        let Some(mut record) = seen.record.clone() else { return Step::Read };
        let end = seen.end;
        let unsettled = due_window.filter(|(window, _)| !record.windows.contains_key(window));
        if !is_due && unsettled.is_none() {
            return Step::Wait;
        }
        if let Some((window, counts)) = unsettled {
            record.windows.insert(window, counts);
            while record.windows.len() > WINDOWS_KEPT {
                record.windows.pop_first();
            }
        }
        self.append(end, record)
    }

    fn append(&mut self, at: Offset, record: LeaseRecord) -> Step {
        self.appending = Some(record.clone());
        Step::Append { at, record }
    }

    /// Takes the newest record, read at `now`; `end` is where the partition ends.
    pub fn on_read(&mut self, now: Duration, end: Offset, record: Option<LeaseRecord>) {
        self.must_read = false;
        let is_own = record.as_ref().is_some_and(|record| self.is_own(record));
        if !is_own {
            self.held_until = None;
        }
        if self.seen.as_ref().is_some_and(|seen| seen.end == end) {
            return;
        }
        self.seen = Some(ReadState { end, record, since: now });
    }

    /// Takes the outcome of an append that was sent at `sent_at`.
    pub fn on_append_outcome(&mut self, sent_at: Duration, outcome: AppendOutcome) {
        let Some(record) = self.appending.take() else { return };
        match outcome {
            AppendOutcome::Done(end) => {
                self.seen = Some(ReadState { end, record: Some(record), since: sent_at });
                self.renewed_at = sent_at;
                self.held_until = Some(sent_at + self.duration);
                self.must_read = false;
            }
            AppendOutcome::Conflict => {
                self.held_until = None;
                self.must_read = true;
            }
            AppendOutcome::Unknown => self.must_read = true,
        }
    }

    fn own_record(&self) -> Option<&LeaseRecord> {
        let record = self.seen.as_ref()?.record.as_ref()?;
        self.is_own(record).then_some(record)
    }

    fn is_own(&self, record: &LeaseRecord) -> bool {
        record.holder == self.name && record.incarnation == self.incarnation
    }
}
