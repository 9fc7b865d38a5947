//! Leases in topic "leases" of the platform's log.
//!
//! A record is granted if no other holder's lease is valid at the record's time
//! in the log; its offset is the fencing token. A reader that starts at a later
//! record does not know which leases were granted before it, so it reports
//! nothing until every lease that may have been granted has expired.
//!
//! A holder measures its lease on its own monotonic clock from before it sent
//! the append, and stops a margin early. It has therefore stopped before the
//! log can grant the lease to another node, even if it was paused in between.
//! Requests that it sent before the pause may still arrive later, so they must
//! carry the fencing token or a slot's client token.

use std::collections::BTreeMap;
use std::time::Duration;

use prost::Message;
use rhubarbrock_schema::log;

use crate::id::{NodeId, Offset};
use crate::slots;

/// Topic of the log that holds leases.
pub const TOPIC: &str = "leases";

/// Longest lease; a record that requests a longer one is malformed.
pub const MAX_DURATION: Duration = Duration::from_secs(60);

/// A holder stops one tenth of the duration early, as clocks may run at different rates.
const MARGIN_DIVISOR: u32 = 10;

/// Requests of one holder that are kept until they are read back; the oldest is dropped beyond.
const MAX_PENDING_REQUESTS: usize = 8;

/// A granted lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Node that holds the lease.
    pub holder: NodeId,
    /// Nonce of the last granted record.
    pub nonce: u64,
    /// Offset of the record with which the holder acquired the lease; renewals keep it.
    pub fencing_token: Offset,
    /// End of the lease in the log's time, since the Unix epoch.
    pub expires_at: Duration,
}

/// Effect of one record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The lease was granted, renewed or, with a duration of zero, released.
    Granted,
    /// Another holder's lease is valid.
    Denied,
    /// Unknown, as the reader has not read the earlier records.
    Undetermined,
    /// Not a valid record of this topic; ignored.
    Malformed,
    /// The reader has already read a record at this or a later offset; ignored.
    AlreadyRead,
}

#[derive(Debug, Clone)]
struct Scope {
    grant: Option<Grant>,
    slots: slots::SlotState,
}

/// State of a reader of the topic.
#[derive(Debug, Clone)]
pub struct LeaseLog {
    next_offset: Offset,
    /// Highest log time of a record, since the Unix epoch.
    latest_time: Duration,
    /// Log time from which on the reader knows all granted leases; `None` after records were
    /// skipped, until the next record is read.
    known_from: Option<Duration>,
    /// Whether every record was read.
    is_complete: bool,
    scopes: BTreeMap<String, Scope>,
}

impl Default for LeaseLog {
    fn default() -> LeaseLog {
        LeaseLog::new()
    }
}

impl LeaseLog {
    /// A reader that has read no records.
    pub fn new() -> LeaseLog {
        LeaseLog {
            next_offset: 1,
            latest_time: Duration::ZERO,
            known_from: Some(Duration::ZERO),
            is_complete: true,
            scopes: BTreeMap::new(),
        }
    }

    /// Offset to read from next.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Skips the unread records before `oldest`, if any, and then forgets all grants.
    pub fn skip_to(&mut self, oldest: Offset) {
        if oldest > self.next_offset {
            self.next_offset = oldest;
            self.known_from = None;
            self.is_complete = false;
            self.scopes.clear();
        }
    }

    /// Applies a record; `time` is the record's time in the log, since the Unix epoch.
    pub fn apply(&mut self, offset: Offset, time: Duration, data: &[u8]) -> Applied {
        if offset < self.next_offset {
            return Applied::AlreadyRead;
        }
        self.skip_to(offset);
        self.next_offset = offset.saturating_add(1);
        self.latest_time = self.latest_time.max(time);
        let known_from = *self.known_from.get_or_insert(self.latest_time + MAX_DURATION);
        let Some(record) = decode(data) else { return Applied::Malformed };
        let end = self.latest_time + Duration::from_millis(record.duration_ms);
        if self.latest_time < known_from {
            self.known_from = Some(known_from.max(end));
            return Applied::Undetermined;
        }
        self.grant(offset, end, record)
    }

    fn grant(&mut self, offset: Offset, end: Duration, record: log::LeaseRecord) -> Applied {
        let now = self.latest_time;
        let is_complete = self.is_complete;
        let new_scope = || Scope { grant: None, slots: slots::SlotState::new(is_complete) };
        let scope = self.scopes.entry(record.scope).or_insert_with(new_scope);
        let held = scope.grant.filter(|grant| grant.expires_at > now);
        let is_own = held.is_some_and(|grant| grant.holder == record.holder);
        if held.is_some() && !is_own {
            return Applied::Denied;
        }
        let fencing_token = held.map_or(offset, |grant| grant.fencing_token);
        scope.grant = Some(Grant {
            holder: record.holder,
            nonce: record.nonce,
            fencing_token,
            expires_at: end,
        });
        if record.replaces_slots {
            scope.slots.apply(offset, record.slots_base, record.slots);
        }
        Applied::Granted
    }

    /// Returns the lease of `scope` that is valid at the time of the last record, if this reader
    /// knows it.
    pub fn current(&self, scope: &str) -> Option<Grant> {
        let grant = self.scopes.get(scope)?.grant?;
        (grant.expires_at > self.latest_time).then_some(grant)
    }

    /// Returns the slots of `scope` and the record that wrote them; `None` if this reader does not
    /// know them.
    pub fn slots(&self, scope: &str) -> Option<slots::SlotRecord> {
        match self.scopes.get(scope) {
            Some(scope) => scope.slots.current().cloned(),
            None => self.is_complete.then(slots::SlotRecord::default),
        }
    }

    /// Returns the log time from which on `scope` can be leased by any node, as far as this reader
    /// knows.
    pub fn free_from(&self, scope: &str) -> Duration {
        let end =
            self.scopes.get(scope).and_then(|scope| scope.grant).map(|grant| grant.expires_at);
        end.unwrap_or_default().max(self.known_from.unwrap_or_default())
    }
}

fn decode(data: &[u8]) -> Option<log::LeaseRecord> {
    let record = log::LeaseRecord::decode(data).ok()?;
    let is_duration_valid = Duration::from_millis(record.duration_ms) <= MAX_DURATION;
    (is_duration_valid && record.holder != 0 && !record.scope.is_empty()).then_some(record)
}

#[derive(Debug, Clone, Copy)]
struct LeaseRequest {
    nonce: u64,
    sent_at: Duration,
}

/// Acquires and renews one lease for one node.
#[derive(Debug, Clone)]
pub struct Holder {
    scope: String,
    node: NodeId,
    duration: Duration,
    requests: Vec<LeaseRequest>,
    held: Option<Held>,
}

/// A lease held by this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// Fencing token: offset of the record with which the lease was acquired.
    pub fencing_token: Offset,
    /// Time on this node's monotonic clock from which on it must not act on the lease.
    pub expires_at: Duration,
}

impl Holder {
    /// A node that requests `scope` for `duration` at a time.
    ///
    /// # Panics
    ///
    /// Panics if `duration` is longer than [`MAX_DURATION`].
    pub fn new(scope: String, node: NodeId, duration: Duration) -> Holder {
        assert!(
            duration <= MAX_DURATION,
            "lease of {duration:?} is longer than the maximum of {MAX_DURATION:?}"
        );
        Holder { scope, node, duration, requests: Vec::new(), held: None }
    }

    /// Returns the lease if this node may act on it now.
    pub fn held(&self, now: Duration) -> Option<Held> {
        self.held.filter(|held| now < held.expires_at)
    }

    /// Whether no lease is held, or at most half of its duration is left.
    pub fn needs_renewal(&self, now: Duration) -> bool {
        self.held.is_none_or(|held| now + self.duration / 2 >= held.expires_at)
    }

    /// Returns a record that requests or renews the lease; it must be appended at once, as the
    /// lease is measured from `now`.
    ///
    /// `slots` are the new slots, with the offset of the record whose slots they replace; only a
    /// node that holds the lease may pass them.
    pub fn request(
        &mut self,
        now: Duration,
        nonce: u64,
        slots: Option<slots::SlotRecord>,
    ) -> Vec<u8> {
        if self.requests.len() == MAX_PENDING_REQUESTS {
            self.requests.remove(0);
        }
        self.requests.push(LeaseRequest { nonce, sent_at: now });
        let record = log::LeaseRecord {
            scope: self.scope.clone(),
            holder: self.node,
            nonce,
            duration_ms: self.duration.as_millis() as u64,
            replaces_slots: slots.is_some(),
            slots_base: slots.as_ref().map_or(0, |slots| slots.offset),
            slots: slots.map(|slots| slots.slots).unwrap_or_default(),
        };
        record.encode_to_vec()
    }

    /// Updates the held lease from the log; must be called after each page of records.
    pub fn read_back(&mut self, log: &LeaseLog) {
        let Some(grant) = log.current(&self.scope) else { return };
        if grant.holder != self.node {
            self.held = None;
            return;
        }
        let Some(request) = self.requests.iter().find(|request| request.nonce == grant.nonce)
        else {
            return;
        };
        let margin = self.duration / MARGIN_DIVISOR;
        let expires_at = request.sent_at + self.duration - margin;
        self.held = Some(Held { fencing_token: grant.fencing_token, expires_at });
    }
}
