//! Replicated table of idempotency keys: the holder of each key and the outcome of its call.
//!
//! Every node applies the records of topic "claims" in log order and so reaches
//! the same state. Keys, sequences and requests are stored as hashes, so memory
//! depends on the number of keys within their lifetime and not on their length.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use prost::Message;
use rhubarbrock_schema::log;
use sha2::{Digest, Sha256};

use crate::id::Offset;

/// Random number that identifies one attempt to claim or refuse a key.
pub(crate) type Nonce = u64;

/// Hash of an organisation and its idempotency key.
pub(crate) type KeyHash = u128;

/// Hash of an organisation, a service and a sequence of calls.
pub(crate) type SequenceHash = u128;

/// First half of the SHA-256 of method, path and body.
pub(crate) type RequestHash = u128;

/// Length of a SHA-256 digest, in bytes.
const SHA256_BYTES: usize = 32;

/// Answer of an endpoint, as kept in the log for repetitions of the call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Body; empty if `body_omitted` is set.
    pub body: Vec<u8>,
    /// Whether the body was larger than [`Config::max_answer_bytes`](crate::claim::Config::max_answer_bytes).
    pub body_omitted: bool,
}

/// State of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum State {
    /// Claimed, without an outcome in the log.
    Open,
    /// The endpoint answered.
    Answered(Answer),
    /// The last claim ended without a run, or a call was refused, at offset `at`. Only calls that
    /// arrived after their node had read this offset may claim the key.
    NotRun { at: Offset },
    /// The call may have run.
    InDoubt,
    /// The key has outlived its lifetime; calls with it are refused.
    Expired,
}

/// State of a key, with its effective claim or refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) request: RequestHash,
    /// Nonce of the effective claim or refusal.
    pub(crate) nonce: Nonce,
    /// Offset of that record; for a claim, its fencing token.
    pub(crate) fencing_token: Offset,
    pub(crate) state: State,
    /// Log time of that record, in milliseconds since the Unix epoch.
    pub(crate) time_ms: u64,
    /// Monotonic time at which this node read that record.
    pub(crate) read_at: Duration,
    position_key: Option<PositionKey>,
}

/// Position of a call in a sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PositionKey {
    pub(crate) sequence: SequenceHash,
    pub(crate) position: u64,
}

/// Whether a call may run at its position now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PositionState {
    /// The predecessor is answered, or the position is the first.
    Ready,
    /// The predecessor has no recorded answer.
    PredecessorPending,
    /// This position or a later one has been answered.
    Passed,
    /// Another claim holds the position.
    Taken,
}

#[derive(Debug, Default)]
struct Sequence {
    /// Highest answered position; 0 for none.
    last_answered: u64,
    /// Nonces of the claims of later positions.
    claims: BTreeMap<u64, Nonce>,
    /// Log time of the last change, in milliseconds since the Unix epoch.
    time_ms: u64,
}

/// The key and the attempt that one entry of the log is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Change {
    pub(crate) key: KeyHash,
    pub(crate) nonce: Nonce,
    /// Whether the entry is a claim or a refusal; `false` for an end.
    pub(crate) is_attempt: bool,
}

/// Sizes of a table, and the number of malformed records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Malformed records and entries skipped.
    pub bad_records: u64,
    /// Number of keys, including expired ones.
    pub keys: usize,
    /// Number of sequences.
    pub sequences: usize,
}

/// State of the topic, from the oldest record that this node has read.
#[derive(Debug)]
pub(crate) struct Table {
    key_lifetime_ms: u64,
    entries: BTreeMap<KeyHash, Entry>,
    sequences: BTreeMap<SequenceHash, Sequence>,
    /// Keys within their lifetime, in order of the log time of their effective record.
    live_by_time: VecDeque<(u64, KeyHash)>,
    /// Expired keys, in the same order.
    expired_by_time: VecDeque<(u64, KeyHash)>,
    /// Sequences, in order of the log times of their changes.
    sequences_by_time: VecDeque<(u64, SequenceHash)>,
    latest_time_ms: u64,
    bad_records: u64,
}

impl Table {
    pub(crate) fn new(key_lifetime: Duration) -> Table {
        Table {
            key_lifetime_ms: key_lifetime.as_millis() as u64,
            entries: BTreeMap::new(),
            sequences: BTreeMap::new(),
            live_by_time: VecDeque::new(),
            expired_by_time: VecDeque::new(),
            sequences_by_time: VecDeque::new(),
            latest_time_ms: 0,
            bad_records: 0,
        }
    }

    /// Sets the lifetime of keys; keys that have expired stay expired.
    pub(crate) fn set_key_lifetime(&mut self, key_lifetime: Duration) {
        self.key_lifetime_ms = key_lifetime.as_millis() as u64;
    }

    /// Clears all state except the count of malformed records.
    pub(crate) fn reset(&mut self) {
        let bad_records = self.bad_records;
        *self = Table::new(Duration::from_millis(self.key_lifetime_ms));
        self.bad_records = bad_records;
    }

    pub(crate) fn get(&self, key: KeyHash) -> Option<&Entry> {
        self.entries.get(&key)
    }

    /// Highest log time of a record read, in milliseconds since the Unix epoch.
    pub(crate) fn latest_time_ms(&self) -> u64 {
        self.latest_time_ms
    }

    pub(crate) fn counters(&self) -> Counters {
        Counters {
            bad_records: self.bad_records,
            keys: self.entries.len(),
            sequences: self.sequences.len(),
        }
    }

    /// Applies one record and returns the changes; malformed entries are counted and skipped.
    pub(crate) fn apply(
        &mut self,
        now: Duration,
        offset: Offset,
        time_ms: u64,
        bytes: &[u8],
    ) -> Vec<Change> {
        self.latest_time_ms = self.latest_time_ms.max(time_ms);
        self.expire();
        let Ok(batch) = log::ClaimBatch::decode(bytes) else {
            self.bad_records += 1;
            return Vec::new();
        };
        let mut changes = Vec::new();
        for entry in batch.entries {
            match self.apply_entry(now, offset, entry) {
                Some(change) => changes.push(change),
                None => self.bad_records += 1,
            }
        }
        changes
    }

    fn apply_entry(
        &mut self,
        now: Duration,
        offset: Offset,
        entry: log::ClaimEntry,
    ) -> Option<Change> {
        match entry.body? {
            log::claim_entry::Body::Claim(claim) => self.apply_claim(now, offset, &claim),
            log::claim_entry::Body::End(end) => self.apply_end(offset, end),
            log::claim_entry::Body::Refusal(refusal) => self.apply_refusal(now, offset, &refusal),
        }
    }

    fn apply_claim(&mut self, now: Duration, offset: Offset, claim: &log::Claim) -> Option<Change> {
        let key = key_hash(&claim.organisation, &claim.key);
        let request = request_hash(&claim.request_sha256)?;
        let position_key =
            position_key(&claim.organisation, &claim.service, &claim.sequence, claim.position);
        let is_free = match self.entries.get(&key) {
            None => true,
            Some(entry) => {
                let is_released = matches!(entry.state, State::NotRun { at } if claim.base >= at);
                is_released && entry.request == request
            }
        };
        if is_free {
            let entry = Entry {
                request,
                nonce: claim.nonce,
                fencing_token: offset,
                state: State::Open,
                time_ms: self.latest_time_ms,
                read_at: now,
                position_key,
            };
            self.insert_entry(key, entry);
            self.claim_position(position_key, claim.nonce);
        }
        Some(Change { key, nonce: claim.nonce, is_attempt: true })
    }

    fn apply_refusal(
        &mut self,
        now: Duration,
        offset: Offset,
        refusal: &log::Refusal,
    ) -> Option<Change> {
        let key = key_hash(&refusal.organisation, &refusal.key);
        let request = request_hash(&refusal.request_sha256)?;
        let nonce = refusal.nonce;
        let position_key = match self.entries.get(&key) {
            None => None,
            Some(entry) if entry.request != request => {
                return Some(Change { key, nonce, is_attempt: true });
            }
            Some(entry) => match entry.state {
                State::NotRun { .. } => None,
                State::Open if entry.nonce == nonce => entry.position_key,
                _ => return Some(Change { key, nonce, is_attempt: true }),
            },
        };
        self.release_position(position_key, nonce);
        let entry = Entry {
            request,
            nonce,
            fencing_token: offset,
            state: State::NotRun { at: offset },
            time_ms: self.latest_time_ms,
            read_at: now,
            position_key: None,
        };
        self.insert_entry(key, entry);
        Some(Change { key, nonce, is_attempt: true })
    }

    fn apply_end(&mut self, offset: Offset, end: log::ClaimEnd) -> Option<Change> {
        let key = key_hash(&end.organisation, &end.key);
        let state = match end.outcome() {
            log::ClaimOutcome::Unspecified => return None,
            log::ClaimOutcome::NotRun => State::NotRun { at: offset },
            log::ClaimOutcome::InDoubt => State::InDoubt,
            log::ClaimOutcome::Answered => State::Answered(Answer {
                status: u16::try_from(end.status).ok()?,
                content_type: end.content_type,
                body: end.body,
                body_omitted: end.body_omitted,
            }),
        };
        let change = Change { key, nonce: end.nonce, is_attempt: false };
        let Some(entry) = self.entries.get_mut(&key) else {
            return Some(change);
        };
        if entry.nonce != end.nonce || entry.state != State::Open {
            return Some(change);
        }
        let position_key = entry.position_key;
        let is_answered = matches!(state, State::Answered(_));
        let is_not_run = matches!(state, State::NotRun { .. });
        entry.state = state;
        if is_answered {
            self.advance_sequence(position_key, end.nonce);
        } else if is_not_run {
            self.release_position(position_key, end.nonce);
        }
        Some(change)
    }

    fn insert_entry(&mut self, key: KeyHash, entry: Entry) {
        self.live_by_time.push_back((entry.time_ms, key));
        self.entries.insert(key, entry);
    }

    /// Whether the call with this nonce may run at its position.
    pub(crate) fn position_state(&self, position_key: PositionKey, nonce: Nonce) -> PositionState {
        let Some(sequence) = self.sequences.get(&position_key.sequence) else {
            return if position_key.position == 1 {
                PositionState::Ready
            } else {
                PositionState::PredecessorPending
            };
        };
        if position_key.position <= sequence.last_answered {
            return PositionState::Passed;
        }
        match sequence.claims.get(&position_key.position) {
            Some(&claimed) if claimed != nonce => PositionState::Taken,
            _ if position_key.position - 1 == sequence.last_answered => PositionState::Ready,
            _ => PositionState::PredecessorPending,
        }
    }

    fn claim_position(&mut self, position_key: Option<PositionKey>, nonce: Nonce) {
        let Some(position_key) = position_key else { return };
        let time_ms = self.latest_time_ms;
        let sequence = self.sequences.entry(position_key.sequence).or_default();
        sequence.time_ms = time_ms;
        if position_key.position > sequence.last_answered {
            sequence.claims.entry(position_key.position).or_insert(nonce);
        }
        self.sequences_by_time.push_back((time_ms, position_key.sequence));
    }

    fn release_position(&mut self, position_key: Option<PositionKey>, nonce: Nonce) {
        let Some(position_key) = position_key else { return };
        if let Some(sequence) = self.sequences.get_mut(&position_key.sequence)
            && sequence.claims.get(&position_key.position) == Some(&nonce)
        {
            sequence.claims.remove(&position_key.position);
        }
    }

    fn advance_sequence(&mut self, position_key: Option<PositionKey>, nonce: Nonce) {
        let Some(position_key) = position_key else { return };
        let time_ms = self.latest_time_ms;
        let Some(sequence) = self.sequences.get_mut(&position_key.sequence) else { return };
        if sequence.claims.get(&position_key.position) != Some(&nonce) {
            return;
        }
        sequence.claims.remove(&position_key.position);
        sequence.last_answered = sequence.last_answered.max(position_key.position);
        sequence.time_ms = time_ms;
        self.sequences_by_time.push_back((time_ms, position_key.sequence));
    }

    /// Marks keys older than their lifetime as expired, and removes those older than twice their
    /// lifetime and sequences unchanged for one lifetime.
    fn expire(&mut self) {
        let latest_time_ms = self.latest_time_ms;
        let lifetime_ms = self.key_lifetime_ms;
        while let Some(&(time_ms, key)) = self.live_by_time.front()
            && time_ms.saturating_add(lifetime_ms) < latest_time_ms
        {
            self.live_by_time.pop_front();
            if let Some(entry) = self.entries.get_mut(&key)
                && entry.time_ms == time_ms
            {
                entry.state = State::Expired;
                self.expired_by_time.push_back((time_ms, key));
            }
        }
        while let Some(&(time_ms, key)) = self.expired_by_time.front()
            && time_ms.saturating_add(2 * lifetime_ms) < latest_time_ms
        {
            self.expired_by_time.pop_front();
            if self.entries.get(&key).is_some_and(|entry| entry.time_ms == time_ms) {
                self.entries.remove(&key);
            }
        }
        while let Some(&(time_ms, hash)) = self.sequences_by_time.front()
            && time_ms.saturating_add(lifetime_ms) < latest_time_ms
        {
            self.sequences_by_time.pop_front();
            if self.sequences.get(&hash).is_some_and(|sequence| sequence.time_ms == time_ms) {
                self.sequences.remove(&hash);
            }
        }
    }
}

/// Hash of an organisation and its idempotency key.
pub(crate) fn key_hash(organisation: &str, key: &str) -> KeyHash {
    hash_texts(&[organisation, key])
}

/// Hash of a request from its SHA-256; `None` if the length is wrong.
pub(crate) fn request_hash(sha256: &[u8]) -> Option<RequestHash> {
    let digest: &[u8; SHA256_BYTES] = sha256.try_into().ok()?;
    Some(truncated_hash(digest))
}

/// First half of a SHA-256 digest, as a little-endian number.
pub(crate) fn truncated_hash(digest: &[u8; SHA256_BYTES]) -> u128 {
    let mut truncated = [0; SHA256_BYTES / 2];
    truncated.copy_from_slice(&digest[..SHA256_BYTES / 2]);
    u128::from_le_bytes(truncated)
}

/// Position of a call in its sequence; `None` if `sequence` is empty.
pub(crate) fn position_key(
    organisation: &str,
    service: &str,
    sequence: &str,
    position: u64,
) -> Option<PositionKey> {
    if sequence.is_empty() {
        return None;
    }
    let sequence = hash_texts(&[organisation, service, sequence]);
    Some(PositionKey { sequence, position })
}

fn hash_texts(texts: &[&str]) -> u128 {
    let mut hasher = Sha256::new();
    for text in texts {
        hasher.update((text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    truncated_hash(&hasher.finalize().into())
}
