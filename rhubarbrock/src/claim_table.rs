//! Fold of topic "claims": who holds each idempotency key and how its call ended.
//!
//! Every node folds the same records in the same order and so comes to the
//! same answer. The table holds no text: keys, sequences and requests are
//! hashes, so that its size depends on the number of keys within their life.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use prost::Message;
use rhubarbrock_schema::log;
use sha2::{Digest, Sha256};

use crate::id::Offset;

/// Random number of one attempt to claim a key.
pub(crate) type Nonce = u64;

/// Hash of an organisation and its idempotency key.
pub(crate) type KeyHash = u128;

/// Hash of an organisation, a service and a sequence of calls.
pub(crate) type SequenceHash = u128;

/// Hash of what a call asks for.
pub(crate) type RequestHash = u128;

/// Length of a request's SHA-256, in bytes.
const SHA256_BYTES: usize = 32;

/// Answer of an endpoint, as kept for callers who ask again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body; empty where it was too large to keep.
    pub body: Vec<u8>,
    /// Whether the body was too large to keep.
    pub body_omitted: bool,
}

/// State of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum State {
    /// Claimed; the outcome is not in the log.
    Open,
    /// The endpoint answered.
    Answered(Answer),
    /// The last claim did not run; a call that arrived after `at` was read may claim the key.
    NotRun { at: Offset },
    /// The call may have run.
    InDoubt,
    /// The key is past its life and is refused.
    Expired,
}

/// What the log says of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) request: RequestHash,
    /// Nonce of the claim that holds the key.
    pub(crate) nonce: Nonce,
    /// Offset of that claim: its fencing number.
    pub(crate) fencing_token: Offset,
    pub(crate) state: State,
    /// Log time of that claim, in milliseconds since the Unix epoch.
    pub(crate) time_ms: u64,
    /// Monotonic time at which this node read it.
    pub(crate) read_at: Duration,
    place: Option<Place>,
}

/// Place of a call in a sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Place {
    pub(crate) sequence: SequenceHash,
    pub(crate) position: u64,
}

/// Whether a call may run at its place now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Turn {
    /// Its predecessor is answered.
    Now,
    /// Its predecessor has no recorded answer.
    Later,
    /// A later position, or this one, has been answered.
    Passed,
    /// Another key claimed the position.
    Taken,
}

#[derive(Debug, Default)]
struct Sequence {
    /// Highest position answered.
    answered: u64,
    /// Claims of positions past it.
    claims: BTreeMap<u64, Nonce>,
    /// Log time of the last change, in milliseconds.
    time_ms: u64,
}

/// Keys and sequences read from one entry of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Change {
    pub(crate) key: KeyHash,
    pub(crate) nonce: Nonce,
    /// Whether the entry was a claim or a refusal, and not an end.
    pub(crate) is_attempt: bool,
}

/// Sizes of a table and what it skipped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Records or entries that could not be read.
    pub bad_records: u64,
    /// Keys held, expired ones included.
    pub keys: usize,
    /// Sequences held.
    pub sequences: usize,
}

/// What the topic says, from the oldest record that this node read.
#[derive(Debug)]
pub(crate) struct Table {
    key_life_ms: u64,
    entries: BTreeMap<KeyHash, Entry>,
    sequences: BTreeMap<SequenceHash, Sequence>,
    /// Claims by log time: first those within their life, then the expired ones.
    live: VecDeque<(u64, KeyHash)>,
    expired: VecDeque<(u64, KeyHash)>,
    sequence_ages: VecDeque<(u64, SequenceHash)>,
    latest_ms: u64,
    bad_records: u64,
}

impl Table {
    pub(crate) fn new(key_lifetime: Duration) -> Table {
        Table {
            key_life_ms: key_lifetime.as_millis() as u64,
            entries: BTreeMap::new(),
            sequences: BTreeMap::new(),
            live: VecDeque::new(),
            expired: VecDeque::new(),
            sequence_ages: VecDeque::new(),
            latest_ms: 0,
            bad_records: 0,
        }
    }

    /// Takes another life of keys; keys that have expired stay so.
    pub(crate) fn set_key_lifetime(&mut self, key_lifetime: Duration) {
        self.key_life_ms = key_lifetime.as_millis() as u64;
    }

    /// Forgets all but the counters.
    pub(crate) fn reset(&mut self) {
        let bad_records = self.bad_records;
        *self = Table::new(Duration::from_millis(self.key_life_ms));
        self.bad_records = bad_records;
    }

    pub(crate) fn get(&self, key: KeyHash) -> Option<&Entry> {
        self.entries.get(&key)
    }

    /// Log time of the newest record read, in milliseconds.
    pub(crate) fn latest_ms(&self) -> u64 {
        self.latest_ms
    }

    pub(crate) fn counters(&self) -> Counters {
        Counters {
            bad_records: self.bad_records,
            keys: self.entries.len(),
            sequences: self.sequences.len(),
        }
    }

    /// Folds one record in; an unreadable one is counted and skipped.
    pub(crate) fn fold(
        &mut self,
        now: Duration,
        offset: Offset,
        time_ms: u64,
        bytes: &[u8],
    ) -> Vec<Change> {
        self.latest_ms = self.latest_ms.max(time_ms);
        self.expire();
        let Ok(batch) = log::ClaimBatch::decode(bytes) else {
            self.bad_records += 1;
            return Vec::new();
        };
        let mut changes = Vec::new();
        for entry in batch.entries {
            match self.fold_entry(now, offset, entry) {
                Some(change) => changes.push(change),
                None => self.bad_records += 1,
            }
        }
        changes
    }

    fn fold_entry(
        &mut self,
        now: Duration,
        offset: Offset,
        entry: log::ClaimEntry,
    ) -> Option<Change> {
        match entry.body? {
            log::claim_entry::Body::Claim(claim) => self.fold_claim(now, offset, &claim),
            log::claim_entry::Body::End(end) => self.fold_end(offset, end),
            log::claim_entry::Body::Refusal(refusal) => self.fold_refusal(now, offset, &refusal),
        }
    }

    fn fold_claim(&mut self, now: Duration, offset: Offset, claim: &log::Claim) -> Option<Change> {
        let key = key_hash(&claim.organisation, &claim.key);
        let request = request_hash(&claim.request_sha256)?;
        let place = place(&claim.organisation, &claim.service, &claim.sequence, claim.position);
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
                time_ms: self.latest_ms,
                read_at: now,
                place,
            };
            self.hold(key, entry);
            self.claim_place(place, claim.nonce);
        }
        Some(Change { key, nonce: claim.nonce, is_attempt: true })
    }

    fn fold_refusal(
        &mut self,
        now: Duration,
        offset: Offset,
        refusal: &log::Refusal,
    ) -> Option<Change> {
        let key = key_hash(&refusal.organisation, &refusal.key);
        let request = request_hash(&refusal.request_sha256)?;
        let nonce = refusal.nonce;
        let place = match self.entries.get(&key) {
            None => None,
            Some(entry) if entry.request != request => {
                return Some(Change { key, nonce, is_attempt: true });
            }
            Some(entry) => match entry.state {
                State::NotRun { .. } => None,
                State::Open if entry.nonce == nonce => entry.place,
                _ => return Some(Change { key, nonce, is_attempt: true }),
            },
        };
        self.release_place(place, nonce);
        let entry = Entry {
            request,
            nonce,
            fencing_token: offset,
            state: State::NotRun { at: offset },
            time_ms: self.latest_ms,
            read_at: now,
            place: None,
        };
        self.hold(key, entry);
        Some(Change { key, nonce, is_attempt: true })
    }

    fn fold_end(&mut self, offset: Offset, end: log::ClaimEnd) -> Option<Change> {
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
        let place = entry.place;
        let is_answered = matches!(state, State::Answered(_));
        let is_not_run = matches!(state, State::NotRun { .. });
        entry.state = state;
        if is_answered {
            self.answer_place(place, end.nonce);
        } else if is_not_run {
            self.release_place(place, end.nonce);
        }
        Some(change)
    }

    fn hold(&mut self, key: KeyHash, entry: Entry) {
        self.live.push_back((entry.time_ms, key));
        self.entries.insert(key, entry);
    }

    /// Whether the call of this nonce may run at its place.
    pub(crate) fn turn(&self, place: Place, nonce: Nonce) -> Turn {
        let Some(sequence) = self.sequences.get(&place.sequence) else {
            return if place.position == 1 { Turn::Now } else { Turn::Later };
        };
        if place.position <= sequence.answered {
            return Turn::Passed;
        }
        match sequence.claims.get(&place.position) {
            Some(&claimed) if claimed != nonce => Turn::Taken,
            _ if place.position - 1 == sequence.answered => Turn::Now,
            _ => Turn::Later,
        }
    }

    fn claim_place(&mut self, place: Option<Place>, nonce: Nonce) {
        let Some(place) = place else { return };
        let time_ms = self.latest_ms;
        let sequence = self.sequences.entry(place.sequence).or_default();
        sequence.time_ms = time_ms;
        if place.position > sequence.answered {
            sequence.claims.entry(place.position).or_insert(nonce);
        }
        self.sequence_ages.push_back((time_ms, place.sequence));
    }

    fn release_place(&mut self, place: Option<Place>, nonce: Nonce) {
        let Some(place) = place else { return };
        if let Some(sequence) = self.sequences.get_mut(&place.sequence)
            && sequence.claims.get(&place.position) == Some(&nonce)
        {
            sequence.claims.remove(&place.position);
        }
    }

    fn answer_place(&mut self, place: Option<Place>, nonce: Nonce) {
        let Some(place) = place else { return };
        let time_ms = self.latest_ms;
        let Some(sequence) = self.sequences.get_mut(&place.sequence) else { return };
        if sequence.claims.get(&place.position) != Some(&nonce) {
            return;
        }
        sequence.claims.remove(&place.position);
        sequence.answered = sequence.answered.max(place.position);
        sequence.time_ms = time_ms;
        self.sequence_ages.push_back((time_ms, place.sequence));
    }

    /// Marks keys past their life, and forgets those past twice their life.
    fn expire(&mut self) {
        let latest_ms = self.latest_ms;
        let life_ms = self.key_life_ms;
        while let Some(&(time_ms, key)) = self.live.front()
            && time_ms.saturating_add(life_ms) < latest_ms
        {
            self.live.pop_front();
            if let Some(entry) = self.entries.get_mut(&key)
                && entry.time_ms == time_ms
            {
                entry.state = State::Expired;
                self.expired.push_back((time_ms, key));
            }
        }
        while let Some(&(time_ms, key)) = self.expired.front()
            && time_ms.saturating_add(2 * life_ms) < latest_ms
        {
            self.expired.pop_front();
            if self.entries.get(&key).is_some_and(|entry| entry.time_ms == time_ms) {
                self.entries.remove(&key);
            }
        }
        while let Some(&(time_ms, hash)) = self.sequence_ages.front()
            && time_ms.saturating_add(life_ms) < latest_ms
        {
            self.sequence_ages.pop_front();
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

/// Hash of a request from its SHA-256; `None` where that has a wrong length.
pub(crate) fn request_hash(sha256: &[u8]) -> Option<RequestHash> {
    let digest: &[u8; SHA256_BYTES] = sha256.try_into().ok()?;
    Some(half_hash(digest))
}

/// The first half of a SHA-256, as a number.
pub(crate) fn half_hash(digest: &[u8; SHA256_BYTES]) -> u128 {
    let mut half = [0; SHA256_BYTES / 2];
    half.copy_from_slice(&digest[..SHA256_BYTES / 2]);
    u128::from_le_bytes(half)
}

/// Place of a call in its sequence; `None` where it names none.
pub(crate) fn place(
    organisation: &str,
    service: &str,
    sequence: &str,
    position: u64,
) -> Option<Place> {
    if sequence.is_empty() {
        return None;
    }
    let sequence = hash_texts(&[organisation, service, sequence]);
    Some(Place { sequence, position })
}

fn hash_texts(texts: &[&str]) -> u128 {
    let mut hasher = Sha256::new();
    for text in texts {
        hasher.update((text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    half_hash(&hasher.finalize().into())
}
