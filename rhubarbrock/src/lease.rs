//! Leases in topic "leases" of the platform's log.
//!
//! A record is granted if no other holder's lease holds at the record's time in
//! the log; its offset is the fencing number. A reader that starts at a later
//! record cannot tell what was granted before it, so it is sure of nothing
//! until each record that it saw has certainly ended, granted or not.
//!
//! A holder counts its lease from before the append was sent, by its own
//! monotonic clock, and stops a margin early. So it has stopped before the log
//! grants the lease to another, even if it was paused meanwhile; what it may
//! have sent before the pause must carry the fencing number or a slot's token.

use std::collections::BTreeMap;
use std::time::Duration;

use prost::Message;
use rhubarbrock_schema::log;

use crate::id::{NodeId, Offset};
use crate::slots;

/// Topic of the log that holds leases.
pub const TOPIC: &str = "leases";

/// Longest lease; a record that asks for more is malformed.
pub const MAX_DURATION: Duration = Duration::from_secs(60);

/// Part of a lease by which its holder stops early, as clocks may run unlike: one tenth.
const MARGIN_DIVISOR: u32 = 10;

/// Asks of one holder that may still be found in the log.
const MAX_PENDING_REQUESTS: usize = 8;

/// A lease that was granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Who holds it.
    pub holder: NodeId,
    /// Nonce of the record that was granted last.
    pub nonce: u64,
    /// Offset of the first record of the holder's unbroken lease: its fencing number.
    pub fencing_token: Offset,
    /// End in the log's time, since the Unix epoch.
    pub expires_at: Duration,
}

/// What one record did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// Granted, prolonged or, with a duration of zero, given back.
    Granted,
    /// Another holder's lease holds.
    Denied,
    /// Not known, as the reader did not read what came before.
    Undetermined,
    /// It is no record of this topic.
    Malformed,
    /// Read before.
    AlreadyRead,
}

#[derive(Debug, Clone)]
struct Scope {
    grant: Option<Grant>,
    slots: slots::SlotState,
}

/// A reader of the topic.
#[derive(Debug, Clone)]
pub struct LeaseLog {
    next: Offset,
    /// Highest time of a record.
    time: Duration,
    /// Time from which on the reader knows all grants; none while it met no record yet.
    sure_from: Option<Duration>,
    /// Whether every record was read.
    is_whole: bool,
    scopes: BTreeMap<String, Scope>,
}

impl Default for LeaseLog {
    fn default() -> LeaseLog {
        LeaseLog::new()
    }
}

impl LeaseLog {
    /// A reader that has read nothing.
    pub fn new() -> LeaseLog {
        LeaseLog {
            next: 1,
            time: Duration::ZERO,
            sure_from: Some(Duration::ZERO),
            is_whole: true,
            scopes: BTreeMap::new(),
        }
    }

    /// Offset to read from next.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Tells that records before `oldest` are lost to this reader.
    pub fn skip_to(&mut self, oldest: Offset) {
        if oldest > self.next {
            self.next = oldest;
            self.sure_from = None;
            self.is_whole = false;
            self.scopes.clear();
        }
    }

    /// Folds a record in; `time` is the record's time in the log, since the Unix epoch.
    pub fn apply(&mut self, offset: Offset, time: Duration, data: &[u8]) -> Applied {
        if offset < self.next {
            return Applied::AlreadyRead;
        }
        self.skip_to(offset);
        self.next = offset.saturating_add(1);
        self.time = self.time.max(time);
        let sure_from = *self.sure_from.get_or_insert(self.time + MAX_DURATION);
        let Some(record) = decode(data) else { return Applied::Malformed };
        let end = self.time + Duration::from_millis(record.duration_ms);
        if self.time < sure_from {
            self.sure_from = Some(sure_from.max(end));
            return Applied::Undetermined;
        }
        self.grant(offset, end, record)
    }

    fn grant(&mut self, offset: Offset, end: Duration, record: log::LeaseRecord) -> Applied {
        let now = self.time;
        let is_whole = self.is_whole;
        let new_scope = || Scope { grant: None, slots: slots::SlotState::new(is_whole) };
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

    /// The lease of `scope` that holds at the time of the last record, if this reader is sure.
    pub fn current(&self, scope: &str) -> Option<Grant> {
        let grant = self.scopes.get(scope)?.grant?;
        (grant.expires_at > self.time).then_some(grant)
    }

    /// Slots of `scope` and the record that wrote them; none where this reader does not know.
    pub fn slots(&self, scope: &str) -> Option<slots::SlotRecord> {
        match self.scopes.get(scope) {
            Some(scope) => scope.slots.current().cloned(),
            None => self.is_whole.then(slots::SlotRecord::default),
        }
    }

    /// Time of the log from which on `scope` is free for others, as far as this reader knows.
    pub fn free_from(&self, scope: &str) -> Duration {
        let end =
            self.scopes.get(scope).and_then(|scope| scope.grant).map(|grant| grant.expires_at);
        end.unwrap_or_default().max(self.sure_from.unwrap_or_default())
    }
}

fn decode(data: &[u8]) -> Option<log::LeaseRecord> {
    let record = log::LeaseRecord::decode(data).ok()?;
    let is_short = Duration::from_millis(record.duration_ms) <= MAX_DURATION;
    (is_short && record.holder != 0 && !record.scope.is_empty()).then_some(record)
}

#[derive(Debug, Clone, Copy)]
struct LeaseRequest {
    nonce: u64,
    sent_at: Duration,
}

/// One node's side of one lease.
#[derive(Debug, Clone)]
pub struct Holder {
    scope: String,
    node: NodeId,
    duration: Duration,
    requests: Vec<LeaseRequest>,
    held: Option<Held>,
}

/// A lease that this node holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// Fencing number.
    pub fencing_token: Offset,
    /// End by this node's monotonic clock.
    pub expires_at: Duration,
}

impl Holder {
    /// A node that wants `scope` for `duration` at a time, [`MAX_DURATION`] at most.
    pub fn new(scope: String, node: NodeId, duration: Duration) -> Holder {
        assert!(duration <= MAX_DURATION, "a lease of {duration:?} is too long");
        Holder { scope, node, duration, requests: Vec::new(), held: None }
    }

    /// The lease, if this node may act on it now.
    pub fn held(&self, now: Duration) -> Option<Held> {
        self.held.filter(|held| now < held.expires_at)
    }

    /// Whether half of the lease is used up, or none is held.
    pub fn needs_renewal(&self, now: Duration) -> bool {
        self.held.is_none_or(|held| now + self.duration / 2 >= held.expires_at)
    }

    /// The record that asks for the lease or prolongs it; append it at once.
    ///
    /// `slots` are the new slots, with the offset of the record whose slots they replace;
    /// only a holder gives them.
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

    /// Reads back what became of the asks; call it after each page of records.
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
