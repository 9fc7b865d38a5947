//! Lease that decides which gateway performs the duties.
//!
//! The lease is the newest record of a partition of the platform's log. It is
//! written only on the condition that nothing was appended since it was read.
//! The holder counts the lease time from before it sent a write, the others
//! from when they read the record. The holder therefore stops before another
//! gateway takes over. The epoch of a lease derives from the era of the log and
//! the offset at which it was taken, so it increases with every holder.
//!
//! The record also contains the request counts of the latest usage windows.
//! Counts are recorded there before they are reported, so that different
//! holders never report different counts for a window.
//!
//! When the log is restored from a copy, which begins a new era, the record of
//! the holder may be gone. The holder writes it again while its lease lasts.
//! The others wait for the lease time even if the restored record is their own
//! or there is none. The next holder drops the windows before the restoration,
//! as the lost records may have had other counts.
//!
//! Nothing was lost if the log is empty in the first era that any gateway knows.
//! The lease is then taken at once, without the windows that were complete before
//! the gateway reached the log.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::store_role::StoreEra;
use crate::usage::{RequestCounts, WindowIndex};

/// Time limit of a call made by the holder, reserved at the end of the lease.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Renewals per lease duration.
const RENEWAL_DIVISOR: u32 = 3;

/// Maximum drift between the clocks of two instances during one lease.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(300);

/// Delay per rank before a gateway tries to take a free lease.
const RANK_DELAY: Duration = Duration::from_millis(300);

/// Windows kept in the record, enough for the next holder to repeat reports that may be missing.
const MAX_RECORD_WINDOWS: usize = 4;

/// Bits of an epoch that hold the offset; the higher ones hold the era.
const EPOCH_OFFSET_BITS: u32 = 32;

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

/// Content of the partition, as read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartitionContent {
    /// Era of the log.
    pub era: StoreEra,
    /// End of the partition.
    pub end: Offset,
    /// Newest record.
    pub record: Option<LeaseRecord>,
}

/// First era of the log that any gateway knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstEra {
    /// Era.
    pub era: StoreEra,
    /// First window whose counts were not complete yet when this gateway reached the log in it.
    pub open_window: WindowIndex,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct PartitionState {
    era: StoreEra,
    end: Offset,
    record: Option<LeaseRecord>,
    known_since: Duration,
    /// First window that no earlier record can contain.
    open_window: WindowIndex,
}

impl PartitionState {
    /// Whether the record was written in this era, so that no later one was lost.
    fn is_current(&self) -> bool {
        match &self.record {
            Some(record) => record.epoch >> EPOCH_OFFSET_BITS == self.era,
            // A later era may have lost a record.
            None => self.era == 0,
        }
    }

    /// Whether nothing was ever written, and nothing lost.
    fn is_new(&self, first: FirstEra) -> bool {
        self.record.is_none() && self.end == 0 && self.era == first.era
    }

    /// Epoch of a lease that is taken at the end of the partition.
    fn next_epoch(&self) -> u64 {
        (self.era << EPOCH_OFFSET_BITS) + self.end + 1
    }
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
    first_era: Option<FirstEra>,
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
            first_era: None,
        }
    }

    /// Sets the first era of the log; `None` if the gateways do not agree on it.
    pub fn set_first_era(&mut self, first_era: Option<FirstEra>) {
        self.first_era = first_era;
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
        let is_current = partition.is_current();
        let is_free = match &partition.record {
            None => true,
            Some(record) => record.holder == self.name,
        };
        let is_expired = now >= partition.known_since + self.duration + CLOCK_MARGIN;
        let new_since = self.first_era.filter(|&first| partition.is_new(first));
        if !(is_current && is_free || new_since.is_some() || is_expired) {
            return Step::Wait;
        }
        let windows = match &partition.record {
            Some(record) if is_current => record.windows.clone(),
            _ if is_current => BTreeMap::new(),
            // An empty window keeps this holder and later ones from reporting it or earlier ones.
            _ => {
                let open_window = new_since.map_or(partition.open_window, |new| new.open_window);
                BTreeMap::from([(open_window.saturating_sub(1), RequestCounts::new())])
            }
        };
        let record = LeaseRecord {
            holder: self.name.clone(),
            incarnation: self.incarnation,
            epoch: partition.next_epoch(),
            windows,
        };
        self.append(partition.end, record)
    }

    fn renew(&mut self, now: Duration, due_window: Option<(WindowIndex, RequestCounts)>) -> Step {
        if self.must_read {
            return Step::Read;
        }
        let Some(partition) = &self.partition else { return Step::Read };
        let Some(mut record) = partition.record.clone() else { return Step::Read };
        let end = partition.end;
        let is_current = partition.is_current();
        let is_due = !is_current || now >= self.renewed_at + self.duration / RENEWAL_DIVISOR;
        if !is_current {
            record.epoch = partition.next_epoch();
        }
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

    /// Takes the content of the partition, as read at `now`. `open_window` is the first window whose
    /// counts no holder can have recorded yet.
    pub fn on_read(&mut self, now: Duration, read: PartitionContent, open_window: WindowIndex) {
        self.must_read = false;
        let PartitionContent { era, end, record } = read;
        let mut read = PartitionState { era, end, record, known_since: now, open_window };
        let is_own = read.record.as_ref().is_some_and(|record| self.is_own(record));
        if self.is_held(now) && !read.is_current() {
            // No other gateway has taken the lease in this era. What this one holds is newer.
            read.record = self.own_record().cloned();
        } else if !is_own {
            self.held_until = None;
        }
        let is_known = self.partition.as_ref().is_some_and(|known| {
            (known.era, known.end, &known.record) == (read.era, read.end, &read.record)
        });
        if !is_known {
            self.partition = Some(read);
        }
    }

    /// Takes the outcome of the append that was sent at `sent_at`, as stated in this era.
    pub fn on_append_outcome(&mut self, sent_at: Duration, era: StoreEra, outcome: AppendOutcome) {
        let Some(record) = self.pending_append.take() else { return };
        if self.partition.as_ref().is_none_or(|partition| partition.era != era) {
            // The condition on the end of the partition was for another era.
            self.must_read = true;
            return;
        }
        match outcome {
            AppendOutcome::Done(end) => {
                if let Some(partition) = &mut self.partition {
                    partition.end = end;
                    partition.record = Some(record);
                    partition.known_since = sent_at;
                }
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
