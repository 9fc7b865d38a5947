//! Items that datagrams carry besides membership updates: endpoint loads, served tokens of
//! organisations and suspect requests.
//!
//! [`DigestStore`] keeps the newest item of each key, selects the items that the
//! next datagram carries, and drops items by age. The number of items and the
//! number of transmissions of each are bounded.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use prost::Message;
use rhubarbrock_schema::peer;

use crate::id;

const LOAD_LIFETIME: Duration = Duration::from_secs(120);
const USAGE_LIFETIME: Duration = Duration::from_secs(600);
const SUSPECT_LIFETIME: Duration = Duration::from_secs(3_600);

/// Minimum interval between resets of a load's transmission count, per stored load or suspect.
pub const RESEND_INTERVAL_PER_LOAD: Duration = Duration::from_millis(100);

/// Minimum interval between resets of a usage count's transmission count, per stored usage count.
pub const RESEND_INTERVAL_PER_USAGE: Duration = Duration::from_millis(200);

const MAX_ORGANISATION_BYTES: usize = 128;
const MAX_CRASHED_ENDPOINTS: usize = 8;

/// One item of a digest.
#[derive(Debug, Clone, PartialEq)]
pub enum Item {
    /// Load of an endpoint; the higher sequence is the newer one. At equal sequence, one that leaves
    /// or is unreachable is newer.
    Load(peer::EndpointLoad),
    /// Tokens that a node served to an organisation; the higher count is the newer one.
    Usage(peer::OrganisationUsage),
    /// Fingerprint of a request that ran at endpoints when they crashed; a quarantined one is newer,
    /// then one with more crashed endpoints.
    Suspect(peer::Suspect),
}

/// Identity of an item; a newer item replaces the older one of the same key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Suspect(id::Fingerprint),
    Load(id::EndpointId),
    Usage(id::NodeId, String, String),
}

/// Rank in the order of transmission, first to last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SendRank {
    is_ordinary: bool,
    transmissions: u32,
    serial: Reverse<u64>,
}

#[derive(Debug, Clone)]
struct Entry {
    item: Item,
    observed_at: Duration,
    /// When the transmission count of the key was last reset.
    count_reset_at: Duration,
    rank: SendRank,
}

/// Bounded store of the newest item of each key.
#[derive(Debug, Clone)]
pub struct DigestStore {
    max_items: usize,
    entries: BTreeMap<Key, Entry>,
    send_order: BTreeSet<(SendRank, Key)>,
    serial: u64,
    usage_count: usize,
}

impl DigestStore {
    /// Creates an empty store for at most `max_items`, which must be above 0.
    pub fn new(max_items: usize) -> DigestStore {
        assert!(max_items > 0, "max_items must be above 0");
        DigestStore {
            max_items,
            entries: BTreeMap::new(),
            send_order: BTreeSet::new(),
            serial: 0,
            usage_count: 0,
        }
    }

    /// Number of stored items.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no item is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Stores an item that was observed here or received; returns whether it was new.
    ///
    /// Its age field gives the time of observation. An item that is malformed, past
    /// its lifetime or no newer than the stored one is ignored.
    pub fn put(&mut self, now: Duration, item: Item) -> bool {
        if !is_valid(&item) || age(&item) >= lifetime(&item) {
            return false;
        }
        let key = key(&item);
        let observed_at = now.saturating_sub(age(&item));
        let resend_interval = self.resend_interval(&item);
        if let Some(entry) = self.entries.get(&key) {
            if !is_newer(&item, &entry.item) {
                return false;
            }
            let keeps_count = now < entry.count_reset_at + resend_interval;
            if keeps_count && !is_urgent(&item) && entry.rank.is_ordinary {
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
        let rank = SendRank {
            is_ordinary: !is_urgent(&item),
            transmissions: 0,
            serial: Reverse(self.serial),
        };
        self.send_order.insert((rank, key.clone()));
        self.usage_count += usize::from(matches!(item, Item::Usage(_)));
        self.entries.insert(key, Entry { item, observed_at, count_reset_at: now, rank });
        true
    }

    /// Stores the items of a received digest; returns those that were new.
    pub fn merge(&mut self, now: Duration, digest: &peer::Digest) -> Vec<Item> {
        let loads = digest.loads.iter().cloned().map(Item::Load);
        let usages = digest.usages.iter().cloned().map(Item::Usage);
        let suspects = digest.suspects.iter().cloned().map(Item::Suspect);
        let items: Vec<Item> = suspects.chain(loads).chain(usages).collect();
        items.into_iter().filter(|item| self.put(now, item.clone())).collect()
    }

    /// Adds items to `digest` while they fit in `budget_bytes`; returns the bytes left.
    ///
    /// Urgent items come first (suspects, endpoints that leave or are unreachable),
    /// then the least often sent, then the newest. Each item is sent at most
    /// `max_transmissions` times. A newer item of its key resets this count: at once
    /// if it or its predecessor is urgent, else only after [`RESEND_INTERVAL_PER_LOAD`]
    /// or [`RESEND_INTERVAL_PER_USAGE`] times the number of stored items, so that the
    /// datagrams have room for the items of all keys. The first item that does not
    /// fit ends the selection.
    pub fn fill(
        &mut self,
        now: Duration,
        digest: &mut peer::Digest,
        mut budget_bytes: usize,
        max_transmissions: u32,
    ) -> usize {
        let mut sent = Vec::new();
        for (rank, key) in &self.send_order {
            if rank.transmissions >= max_transmissions {
                if rank.is_ordinary {
                    break;
                }
                continue;
            }
            let entry = &self.entries[key];
            let item = with_age(&entry.item, now.saturating_sub(entry.observed_at));
            let Some(left_bytes) = budget_bytes.checked_sub(encoded_bytes(&item)) else {
                break;
            };
            budget_bytes = left_bytes;
            push(digest, item);
            sent.push(key.clone());
        }
        for key in sent {
            self.record_transmission(key);
        }
        budget_bytes
    }

    /// Removes items past their lifetime.
    pub fn expire(&mut self, now: Duration) {
        let is_old = |entry: &Entry| now.saturating_sub(entry.observed_at) >= lifetime(&entry.item);
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

    /// Newest stored load of an endpoint, with its age at `now`.
    pub fn load(&self, now: Duration, endpoint: id::EndpointId) -> Option<peer::EndpointLoad> {
        let entry = self.entries.get(&Key::Load(endpoint))?;
        match with_age(&entry.item, now.saturating_sub(entry.observed_at)) {
            Item::Load(load) => Some(load),
            Item::Usage(_) | Item::Suspect(_) => None,
        }
    }

    /// All stored items, in order of key, with the age that they had when they were stored.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.entries.values().map(|entry| &entry.item)
    }

    fn record_transmission(&mut self, key: Key) {
        let entry = self.entries.get_mut(&key).expect("a sent item is stored");
        self.send_order.remove(&(entry.rank, key.clone()));
        entry.rank.transmissions += 1;
        self.send_order.insert((entry.rank, key));
    }

    fn remove(&mut self, key: &Key) {
        if let Some(entry) = self.entries.remove(key) {
            self.send_order.remove(&(entry.rank, key.clone()));
            self.usage_count -= usize::from(matches!(entry.item, Item::Usage(_)));
        }
    }

    /// Minimum time between two resets of the transmission count of the item's key.
    fn resend_interval(&self, item: &Item) -> Duration {
        let usages = self.usage_count as u32;
        match item {
            Item::Load(_) => RESEND_INTERVAL_PER_LOAD * (self.entries.len() as u32 - usages),
            Item::Usage(_) => RESEND_INTERVAL_PER_USAGE * usages,
            Item::Suspect(_) => Duration::ZERO,
        }
    }

    /// Removes the item that is last in send order.
    fn evict(&mut self) {
        let last = self.send_order.last().map(|(_, key)| key.clone());
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

fn is_newer(item: &Item, stored: &Item) -> bool {
    match (item, stored) {
        (Item::Load(item), Item::Load(stored)) => {
            let recency =
                |load: &peer::EndpointLoad| (load.sequence, load.leaving, load.unreachable);
            recency(item) > recency(stored)
        }
        (Item::Usage(item), Item::Usage(stored)) => item.served_tokens > stored.served_tokens,
        (Item::Suspect(item), Item::Suspect(stored)) => {
            let recency =
                |suspect: &peer::Suspect| (suspect.quarantined, suspect.crashed_endpoints.len());
            recency(item) > recency(stored)
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

fn lifetime(item: &Item) -> Duration {
    match item {
        Item::Load(_) => LOAD_LIFETIME,
        Item::Usage(_) => USAGE_LIFETIME,
        Item::Suspect(_) => SUSPECT_LIFETIME,
    }
}

fn age(item: &Item) -> Duration {
    match item {
        Item::Load(load) => Duration::from_millis(load.age_ms.into()),
        Item::Usage(usage) => Duration::from_millis(usage.age_ms.into()),
        Item::Suspect(suspect) => Duration::from_millis(suspect.age_ms.into()),
    }
}

fn with_age(item: &Item, age: Duration) -> Item {
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

/// Encoded size of a message of `len_bytes` as an element of a repeated field with a one-byte tag.
pub(crate) fn nested_bytes(len_bytes: usize) -> usize {
    1 + prost::length_delimiter_len(len_bytes) + len_bytes
}
