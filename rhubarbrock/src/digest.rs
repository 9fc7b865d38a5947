//! News that datagrams carry besides membership: endpoint loads, usage and suspects.
//!
//! [`DigestStore`] keeps the newest item of each key, says which items a datagram
//! carries next, and forgets items by age. Both its size and the number of
//! times that an item is told are bounded.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use prost::Message;
use rhubarbrock_schema::peer;

use crate::id;

const LOAD_LIFE: Duration = Duration::from_secs(120);
const USAGE_LIFE: Duration = Duration::from_secs(600);
const SUSPECT_LIFE: Duration = Duration::from_secs(3_600);

/// Time between restarts of a load's tellings, for each load kept.
pub const RESEND_INTERVAL_PER_LOAD: Duration = Duration::from_millis(100);

/// Time between restarts of a usage count's tellings, for each count kept.
pub const RESEND_INTERVAL_PER_USAGE: Duration = Duration::from_millis(200);

const MAX_ORGANISATION_BYTES: usize = 128;
const MAX_CRASHED_ENDPOINTS: usize = 8;

/// One item of news.
#[derive(Debug, Clone, PartialEq)]
pub enum Item {
    /// Load of an endpoint, newest by sequence.
    Load(peer::EndpointLoad),
    /// Tokens an organisation was served by a node, newest by count.
    Usage(peer::OrganisationUsage),
    /// A request fingerprint seen at crashes, newest by what it holds.
    Suspect(peer::Suspect),
}

/// What an item is about; a newer item of the same key replaces the older.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Suspect(id::Fingerprint),
    Load(id::EndpointId),
    Usage(id::NodeId, String, String),
}

/// Place in the order in which items are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    ordinary: bool,
    told: u32,
    serial: Reverse<u64>,
}

#[derive(Debug, Clone)]
struct Entry {
    item: Item,
    observed_at: Duration,
    /// When the key's tellings were last counted from 0.
    restarted_at: Duration,
    turn: Turn,
}

/// Bounded store of the newest item of each key.
#[derive(Debug, Clone)]
pub struct DigestStore {
    max_items: usize,
    entries: BTreeMap<Key, Entry>,
    turns: BTreeSet<(Turn, Key)>,
    serial: u64,
    usage_len: usize,
}

impl DigestStore {
    /// An empty store that holds at most `max_items`.
    pub fn new(max_items: usize) -> DigestStore {
        assert!(max_items > 0, "a store without room tells nothing");
        DigestStore {
            max_items,
            entries: BTreeMap::new(),
            turns: BTreeSet::new(),
            serial: 0,
            usage_len: 0,
        }
    }

    /// Number of items kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes an item in, observed here or heard; true if it was new.
    ///
    /// Its age field says when it was observed. An item that is malformed, too
    /// old or no newer than the one kept changes nothing.
    pub fn put(&mut self, now: Duration, item: Item) -> bool {
        if !is_valid(&item) || age(&item) >= life(&item) {
            return false;
        }
        let key = key(&item);
        let observed_at = now.saturating_sub(age(&item));
        let spacing = self.spacing(&item);
        if let Some(entry) = self.entries.get(&key) {
            if !is_newer(&item, &entry.item) {
                return false;
            }
            let goes_on = now < entry.restarted_at + spacing;
            if goes_on && !is_urgent(&item) && entry.turn.ordinary {
                let entry = self.entries.get_mut(&key).expect("just looked up");
                entry.item = item;
                entry.observed_at = observed_at;
                return true;
            }
            self.remove(&key);
        }
        if self.entries.len() >= self.max_items {
            self.evict();
        }
        self.serial += 1;
        let turn = Turn { ordinary: !is_urgent(&item), told: 0, serial: Reverse(self.serial) };
        self.turns.insert((turn, key.clone()));
        self.usage_len += usize::from(matches!(item, Item::Usage(_)));
        self.entries.insert(key, Entry { item, observed_at, restarted_at: now, turn });
        true
    }

    /// Takes in what a datagram carried; gives back what was new.
    pub fn merge(&mut self, now: Duration, digest: &peer::Digest) -> Vec<Item> {
        let loads = digest.loads.iter().cloned().map(Item::Load);
        let usages = digest.usages.iter().cloned().map(Item::Usage);
        let suspects = digest.suspects.iter().cloned().map(Item::Suspect);
        let items: Vec<Item> = suspects.chain(loads).chain(usages).collect();
        items.into_iter().filter(|item| self.put(now, item.clone())).collect()
    }

    /// Adds items to `digest` while they fit in `budget_bytes`; gives back the bytes left.
    ///
    /// Urgent items come first (suspects, endpoints that leave or cannot be
    /// reached), then the least told, then the newest. An item told `max_told`
    /// times is told no more. A newer item of its key is told from the beginning
    /// only after [`RESEND_INTERVAL_PER_LOAD`] or [`RESEND_INTERVAL_PER_USAGE`] for each item kept,
    /// so that what all keys together say fits into the datagrams.
    pub fn fill(
        &mut self,
        now: Duration,
        digest: &mut peer::Digest,
        mut budget_bytes: usize,
        max_told: u32,
    ) -> usize {
        let mut told = Vec::new();
        for (turn, key) in &self.turns {
            if turn.told >= max_told {
                if turn.ordinary {
                    break;
                }
                continue;
            }
            let entry = &self.entries[key];
            let item = aged(&entry.item, now.saturating_sub(entry.observed_at));
            let Some(left_bytes) = budget_bytes.checked_sub(encoded_bytes(&item)) else {
                break;
            };
            budget_bytes = left_bytes;
            push(digest, item);
            told.push(key.clone());
        }
        for key in told {
            self.count_told(key);
        }
        budget_bytes
    }

    /// Forgets items past their life.
    pub fn expire(&mut self, now: Duration) {
        let is_old = |entry: &Entry| now.saturating_sub(entry.observed_at) >= life(&entry.item);
        let old: Vec<Key> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_old(entry))
            .map(|(key, _)| key.clone())
            .collect();
        for key in old {
            self.remove(&key);
        }
    }

    /// Newest load heard of an endpoint, with its age at `now`.
    pub fn load(&self, now: Duration, endpoint: id::EndpointId) -> Option<peer::EndpointLoad> {
        let entry = self.entries.get(&Key::Load(endpoint))?;
        match aged(&entry.item, now.saturating_sub(entry.observed_at)) {
            Item::Load(load) => Some(load),
            Item::Usage(_) | Item::Suspect(_) => None,
        }
    }

    /// All items kept, by key.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.entries.values().map(|entry| &entry.item)
    }

    fn count_told(&mut self, key: Key) {
        let entry = self.entries.get_mut(&key).expect("an item that was told is kept");
        self.turns.remove(&(entry.turn, key.clone()));
        entry.turn.told += 1;
        self.turns.insert((entry.turn, key));
    }

    fn remove(&mut self, key: &Key) {
        if let Some(entry) = self.entries.remove(key) {
            self.turns.remove(&(entry.turn, key.clone()));
            self.usage_len -= usize::from(matches!(entry.item, Item::Usage(_)));
        }
    }

    /// Shortest time between two restarts of a key's tellings.
    fn spacing(&self, item: &Item) -> Duration {
        let usages = self.usage_len as u32;
        match item {
            Item::Load(_) => RESEND_INTERVAL_PER_LOAD * (self.entries.len() as u32 - usages),
            Item::Usage(_) => RESEND_INTERVAL_PER_USAGE * usages,
            Item::Suspect(_) => Duration::ZERO,
        }
    }

    /// Makes room by dropping the item whose turn comes last.
    fn evict(&mut self) {
        let last = self.turns.last().map(|(_, key)| key.clone());
        if let Some(key) = last {
            self.remove(&key);
        }
    }
}

fn key(item: &Item) -> Key {
    match item {
        Item::Load(load) => Key::Load(load.endpoint),
        Item::Usage(usage) => {
            Key::Usage(usage.node, usage.service.clone(), usage.organisation.clone())
        }
        Item::Suspect(suspect) => Key::Suspect(suspect.fingerprint),
    }
}

fn is_valid(item: &Item) -> bool {
    match item {
        Item::Load(load) => load.endpoint != 0,
        Item::Usage(usage) => {
            (1..=MAX_ORGANISATION_BYTES).contains(&usage.organisation.len()) && usage.node != 0
        }
        Item::Suspect(suspect) => suspect.crashed_endpoints.len() <= MAX_CRASHED_ENDPOINTS,
    }
}

fn is_newer(item: &Item, kept: &Item) -> bool {
    match (item, kept) {
        (Item::Load(item), Item::Load(kept)) => {
            let rank = |load: &peer::EndpointLoad| (load.sequence, load.leaving, load.unreachable);
            rank(item) > rank(kept)
        }
        (Item::Usage(item), Item::Usage(kept)) => item.served_tokens > kept.served_tokens,
        (Item::Suspect(item), Item::Suspect(kept)) => {
            let rank =
                |suspect: &peer::Suspect| (suspect.quarantined, suspect.crashed_endpoints.len());
            rank(item) > rank(kept)
        }
        _ => false,
    }
}

fn is_urgent(item: &Item) -> bool {
    match item {
        Item::Load(load) => load.leaving || load.unreachable,
        Item::Usage(_) => false,
        Item::Suspect(_) => true,
    }
}

fn life(item: &Item) -> Duration {
    match item {
        Item::Load(_) => LOAD_LIFE,
        Item::Usage(_) => USAGE_LIFE,
        Item::Suspect(_) => SUSPECT_LIFE,
    }
}

fn age(item: &Item) -> Duration {
    match item {
        Item::Load(load) => Duration::from_millis(load.age_ms.into()),
        Item::Usage(usage) => Duration::from_millis(usage.age_ms.into()),
        Item::Suspect(suspect) => Duration::from_millis(suspect.age_ms.into()),
    }
}

fn aged(item: &Item, age: Duration) -> Item {
    let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
    let mut item = item.clone();
    match &mut item {
        Item::Load(load) => load.age_ms = age_ms,
        Item::Usage(usage) => usage.age_ms = age_ms,
        Item::Suspect(suspect) => suspect.age_ms = age_ms,
    }
    item
}

fn push(digest: &mut peer::Digest, item: Item) {
    match item {
        Item::Load(load) => digest.loads.push(load),
        Item::Usage(usage) => digest.usages.push(usage),
        Item::Suspect(suspect) => digest.suspects.push(suspect),
    }
}

fn encoded_bytes(item: &Item) -> usize {
    match item {
        Item::Load(load) => nested_bytes(load.encoded_len()),
        Item::Usage(usage) => nested_bytes(usage.encoded_len()),
        Item::Suspect(suspect) => nested_bytes(suspect.encoded_len()),
    }
}

/// Bytes of a message of `len_bytes` as an element of a repeated field.
pub(crate) fn nested_bytes(len_bytes: usize) -> usize {
    1 + prost::length_delimiter_len(len_bytes) + len_bytes
}
