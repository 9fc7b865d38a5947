//! Lease that decides which gateway performs the duties.
//!
//! The lease is the newest record of a partition of the platform's log. It is
//! written only on the condition that nothing was appended since it was read.
//! The holder counts the lease time from before it sent a write, the others
//! from when they read the record. The holder therefore stops before another
//! gateway takes over. The epoch of a lease derives from the log offset at
//! which it was taken, so it increases with every holder.
//!
//! The record also contains the request counts of the latest usage windows.
//! Counts are recorded there before they are reported, so that different
//! holders never report different counts for a window.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::usage::{RequestCounts, WindowIndex};

/// Time limit of a call made by the holder, reserved at the end of the lease.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Renewals per lease duration.
const RENEWAL_DIVISOR: u32 = 3;

/// Maximum drift between the clocks of two instances during one lease.
const CLOCK_MARGIN: Duration = Duration::from_millis(300);

/// Delay per rank before a gateway tries to take a free lease.
const RANK_DELAY: Duration = Duration::from_millis(300);

/// Windows kept in the record, enough for the next holder to repeat reports that may be missing.
const MAX_RECORD_WINDOWS: usize = 4;

/// Offset in the partition of the lease.
pub type Offset = u64;

/// Content of a lease record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeaseRecord {
    /// Name of the gateway that holds the lease.
    pub holder: String,
    /// Incarnation of the holder, drawn at each process start.
    pub incarnation: u64,
    /// Epoch of the lease, the fencing token of the holder's calls.
    pub epoch: u64,
    /// Final request counts of the latest usage windows.
    pub windows: BTreeMap<WindowIndex, RequestCounts>,
}

/// What the gateway has to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Nothing for now.
    Wait,
    /// Read the newest record.
    Read,
    /// Append a record on the condition that the partition ends at `at`.
    Append {
        /// Expected end of the partition.
        at: Offset,
        /// Record to append.
        record: LeaseRecord,
    },
}

/// Outcome of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record was appended; the partition now ends at this offset.
    Done(Offset),
    /// Another record was appended first.
    Conflict,
    /// The record may have been appended, or may still be.
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct PartitionState {
    end: Offset,
    record: Option<LeaseRecord>,
    known_since: Duration,
}

/// One gateway's view of the lease.
#[derive(Debug)]
pub struct Lease {
    name: String,
    incarnation: u64,
    duration: Duration,
    partition: Option<PartitionState>,
    must_read: bool,
    held_until: Option<Duration>,
    renewed_at: Duration,
    pending_append: Option<LeaseRecord>,
    no_holder_since: Option<Duration>,
}

impl Lease {
    /// Creates the view of the gateway `name` with this process start. `duration` is the minimum
    /// time between the actions of two holders.
    pub fn new(name: String, incarnation: u64, duration: Duration) -> Lease {
        Lease {
            name,
            incarnation,
            duration: duration + CALL_TIMEOUT,
            partition: None,
            must_read: true,
            held_until: None,
            renewed_at: Duration::ZERO,
            pending_append: None,
            no_holder_since: None,
        }
    }

    /// Whether this gateway holds the lease for at least another [`CALL_TIMEOUT`].
    pub fn may_act(&self, now: Duration) -> bool {
        self.held_until.is_some_and(|until| now + CALL_TIMEOUT < until)
    }

    /// Whether this gateway holds the lease, possibly for too short a time to act.
    pub fn is_held(&self, now: Duration) -> bool {
        self.held_until.is_some_and(|until| now < until)
    }

    /// Epoch of this gateway's lease; `None` if the newest record is not its own.
    pub fn epoch(&self) -> Option<u64> {
        self.own_record().map(|record| record.epoch)
    }

    /// Windows in this gateway's record; `None` if the newest record is not its own.
    pub fn settled_windows(&self) -> Option<&BTreeMap<WindowIndex, RequestCounts>> {
        self.own_record().map(|record| &record.windows)
    }

    /// Decides the next step. `has_live_holder` is whether another gateway reports that it holds
    /// the lease, `rank` the position of this gateway among the candidates, and `due_window` a
    /// window whose counts are to be recorded.
    pub fn step(
        &mut self,
        now: Duration,
        has_live_holder: bool,
        rank: u32,
        due_window: Option<(WindowIndex, RequestCounts)>,
    ) -> Step {
        if self.pending_append.is_some() {
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
        let Some(partition) = &self.partition else { return Step::Read };
        let may_take = match &partition.record {
            None => true,
            Some(record) if record.holder == self.name => true,
            Some(_) => now >= partition.known_since + self.duration + CLOCK_MARGIN,
        };
        if !may_take {
            return Step::Wait;
        }
        let windows = partition.record.as_ref().map(|record| record.windows.clone());
        let record = LeaseRecord {
            holder: self.name.clone(),
            incarnation: self.incarnation,
            epoch: partition.end + 1,
            windows: windows.unwrap_or_default(),
        };
        self.append(partition.end, record)
    }

    fn renew(&mut self, now: Duration, due_window: Option<(WindowIndex, RequestCounts)>) -> Step {
        let is_due = now >= self.renewed_at + self.duration / RENEWAL_DIVISOR;
        if self.must_read {
            return Step::Read;
        }
        let Some(partition) = &self.partition else { return Step::Read };
        let Some(mut record) = partition.record.clone() else { return Step::Read };
        let end = partition.end;
        let unsettled = due_window.filter(|(window, _)| !record.windows.contains_key(window));
        if !is_due && unsettled.is_none() {
            return Step::Wait;
        }
        if let Some((window, counts)) = unsettled {
            record.windows.insert(window, counts);
            while record.windows.len() > MAX_RECORD_WINDOWS {
                record.windows.pop_first();
            }
        }
        self.append(end, record)
    }

    fn append(&mut self, at: Offset, record: LeaseRecord) -> Step {
        self.pending_append = Some(record.clone());
        Step::Append { at, record }
    }

    /// Takes the newest record and the end of the partition, as read at `now`.
    pub fn on_read(&mut self, now: Duration, end: Offset, record: Option<LeaseRecord>) {
        self.must_read = false;
        let is_own = record.as_ref().is_some_and(|record| self.is_own(record));
        if !is_own {
            self.held_until = None;
        }
        if self.partition.as_ref().is_some_and(|partition| partition.end == end) {
            return;
        }
        self.partition = Some(PartitionState { end, record, known_since: now });
    }

    /// Takes the outcome of the append that was sent at `sent_at`.
    pub fn on_append_outcome(&mut self, sent_at: Duration, outcome: AppendOutcome) {
        let Some(record) = self.pending_append.take() else { return };
        match outcome {
            AppendOutcome::Done(end) => {
                self.partition =
                    Some(PartitionState { end, record: Some(record), known_since: sent_at });
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
        let record = self.partition.as_ref()?.record.as_ref()?;
        self.is_own(record).then_some(record)
    }

    fn is_own(&self, record: &LeaseRecord) -> bool {
        record.holder == self.name && record.incarnation == self.incarnation
    }
}
