//! Endpoints of all services: their entries in the store and the results of
//! this gateway's own requests.
//!
//! An entry is accepted only if it is newer than the known one: from a later
//! process start, or with a higher sequence number of the same start. Once a
//! process was seen to leave, none of its entries is accepted again. A process
//! whose entry is missing is used again with its next entry.

mod attempts;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use rhubarbrock::health::{Health, Status};

use crate::departures::{self, Cause, Departures};
use crate::release::ServiceName;
use crate::requested_waits::RequestedWaits;
use crate::rollout::Version;
use crate::suspects;

/// Id of an endpoint; a later process may reuse it.
pub type EndpointId = String;

/// Start of an endpoint process, in milliseconds since the Unix epoch.
pub type ProcessStartMs = u64;

/// Time after the end of a store outage by which live endpoints have renewed their entries. The
/// platform promises about two seconds.
const RENEWAL_AFTER_OUTAGE: Duration = Duration::from_millis(2_300);

/// An endpoint's entry in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Endpoint id.
    pub id: EndpointId,
    /// Service that the endpoint serves.
    pub service: ServiceName,
    /// Listening address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Version of its software; empty if the entry has none.
    pub version: Version,
    /// Maximum number of concurrent requests.
    pub capacity: u32,
    /// Whether the endpoint is about to leave.
    pub is_leaving: bool,
    /// Whether the platform may reclaim the endpoint.
    pub is_reclaimable: bool,
    /// Remaining time for which the endpoint is slow after its start.
    pub warm_up: Duration,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub process_start_ms: ProcessStartMs,
    /// Sequence number, which increases with each entry of one process start.
    pub sequence: u64,
}

/// What an entry or its removal changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing of interest to callers.
    None,
    /// A new endpoint, or a new process, service or address of a known one.
    Joined,
    /// The endpoint began to leave.
    Leaving,
    /// The endpoint is gone.
    Gone,
    /// The entry is missing after a store outage; the endpoint stays in use for a limited time.
    Lapsed,
}

/// Unfinished requests at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of requests.
    pub requests: u32,
    /// Prompt tokens of requests that have no first event yet.
    pub waiting_tokens: u64,
}

/// An endpoint with its load and health.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Latest entry.
    pub entry: Entry,
    /// Load from this gateway.
    pub own_load: Load,
    /// Load reported by the other gateways.
    pub peer_load: Load,
    /// Smoothed fraction of its answers that reported a failure, from 0 to 1.
    pub failure_rate: f64,
    /// End of the time in which its connections are not reused because it sent bytes outside an
    /// answer.
    pub no_reuse_until: Option<Duration>,
    health: Health,
    joined_at: Duration,
    lapses_at: Option<Duration>,
    refuses_until: Option<Duration>,
}

impl Endpoint {
    /// Unfinished requests of all gateways.
    pub fn requests(&self) -> u32 {
        self.own_load.requests.saturating_add(self.peer_load.requests)
    }

    /// Prompt tokens of requests without a first event, of all gateways.
    pub fn waiting_tokens(&self) -> u64 {
        self.own_load.waiting_tokens.saturating_add(self.peer_load.waiting_tokens)
    }

    /// Whether it is neither ejected nor refusing requests.
    pub fn is_healthy(&self, now: Duration) -> bool {
        let is_refusing = self.refuses_until.is_some_and(|until| now < until);
        !is_refusing && !matches!(self.health.status(now), Status::Ejected { .. })
    }

    /// Whether its idle connections may be reused.
    pub fn may_reuse_connections(&self, now: Duration) -> bool {
        self.no_reuse_until.is_none_or(|until| now >= until)
    }

    /// Whether it is still slow after its start.
    pub fn is_warming_up(&self, now: Duration) -> bool {
        now.saturating_sub(self.joined_at) < self.entry.warm_up
    }
}

/// All known endpoints.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    latest: HashMap<EndpointId, (ProcessStartMs, u64)>,
    departures: Departures,
    /// Endpoints whose entry became unreadable, with the time at which it did.
    unreadable: BTreeMap<EndpointId, Duration>,
    waits: RequestedWaits,
    store_available_at: Option<Duration>,
    is_store_unavailable: bool,
    /// Whether a complete list of entries was read from the store.
    is_listed: bool,
}

impl EndpointTable {
    /// Applies an entry from the store.
    pub fn on_entry(&mut self, now: Duration, entry: Entry) -> Change {
        // After a restoration, the entry that the store lost is written again as it was.
        let is_written_again = self.latest.get(&entry.id)
            == Some(&(entry.process_start_ms, entry.sequence))
            && !entry.is_leaving;
        if is_written_again && let Some(known) = self.endpoints.get_mut(&entry.id) {
            known.lapses_at = None;
        }
        self.apply(now, entry)
    }

    fn apply(&mut self, now: Duration, entry: Entry) -> Change {
        if !self.is_newer(&entry) {
            self.departures.on_listed(&entry.id, entry.process_start_ms);
            return Change::None;
        }
        self.latest.insert(entry.id.clone(), (entry.process_start_ms, entry.sequence));
        if entry.is_leaving {
            let start = entry.process_start_ms;
            return self.record_departure(now, &entry.id, start, Cause::Left, Change::Leaving);
        }
        if let Some(known) = self.endpoints.get_mut(&entry.id) {
            let is_same_process = known.entry.process_start_ms == entry.process_start_ms
                && known.entry.address == entry.address
                && known.entry.service == entry.service;
            if is_same_process {
                known.entry = entry;
                known.lapses_at = None;
                return Change::None;
            }
        }
        self.departures.remove(&entry.id);
        self.unreadable.remove(&entry.id);
        self.endpoints.insert(entry.id.clone(), Endpoint::new(now, entry));
        Change::Joined
    }

    fn is_newer(&self, entry: &Entry) -> bool {
        let is_outdated =
            self.departures.is_outdated(&entry.id, entry.process_start_ms, entry.sequence);
        let is_old = self
            .latest
            .get(&entry.id)
            .is_some_and(|&latest| (entry.process_start_ms, entry.sequence) <= latest);
        !is_outdated && !is_old
    }

    /// Applies the removal of an entry.
    pub fn on_removed(&mut self, now: Duration, id: &str) -> Change {
        self.departures.on_unlisted(now, id);
        let renewal_end = self.renewal_end(now);
        let Some(endpoint) = self.endpoints.get_mut(id) else { return Change::None };
        if let Some(until) = renewal_end {
            if endpoint.lapses_at.is_some() {
                return Change::None;
            }
            endpoint.lapses_at = Some(until);
            return Change::Lapsed;
        }
        let process_start_ms = endpoint.entry.process_start_ms;
        self.record_missing(now, id, process_start_ms)
    }

    /// Records that the entry of a known endpoint is missing.
    fn record_missing(
        &mut self,
        now: Duration,
        id: &str,
        process_start_ms: ProcessStartMs,
    ) -> Change {
        let sequence = self.latest.get(id).map_or(0, |&(_, sequence)| sequence);
        let cause = Cause::Missing { sequence };
        self.record_departure(now, id, process_start_ms, cause, Change::Gone)
    }

    /// Applies an entry that cannot be read, as another writer replaced it. The endpoint is not used
    /// until its next entry.
    pub fn on_unreadable_entry(&mut self, now: Duration, id: &str) -> Change {
        if self.endpoints.remove(id).is_none() {
            return Change::None;
        }
        self.unreadable.insert(id.to_owned(), now);
        Change::Gone
    }

    /// Applies an entry that another gateway reported when the endpoint joined.
    pub fn on_reported_entry(&mut self, now: Duration, entry: Entry) -> Change {
        // An entry that lapsed in an outage may be missing from the first list.
        self.is_store_unavailable |= !self.is_listed;
        self.apply(now, entry)
    }

    /// Applies an entry that another gateway handed over, because the store does not answer.
    ///
    /// After this gateway has listed the entries itself, a new endpoint is used for a limited time
    /// only, unless the store confirms it: the other gateway may know it from before it left.
    pub fn on_handover_entry(&mut self, now: Duration, entry: Entry) -> Change {
        let id = entry.id.clone();
        let change = self.on_reported_entry(now, entry);
        if self.is_listed
            && change == Change::Joined
            && let Some(endpoint) = self.endpoints.get_mut(&id)
        {
            endpoint.lapses_at = Some(now + RENEWAL_AFTER_OUTAGE);
        }
        change
    }

    /// Applies a complete list of entries; missing entries count as removed.
    pub fn on_snapshot(&mut self, now: Duration, entries: Vec<Entry>) -> Vec<(EndpointId, Change)> {
        self.is_listed = true;
        self.on_store_available(now);
        let present: Vec<EndpointId> = entries.iter().map(|entry| entry.id.clone()).collect();
        let mut changes: Vec<(EndpointId, Change)> = Vec::new();
        for entry in entries {
            let id = entry.id.clone();
            changes.push((id, self.on_entry(now, entry)));
        }
        self.departures.on_listing(now, |id| present.contains(id));
        let missing: Vec<EndpointId> =
            self.endpoints.keys().filter(|id| !present.contains(id)).cloned().collect();
        for id in missing {
            let change = self.on_removed(now, &id);
            changes.push((id, change));
        }
        changes.retain(|(_, change)| *change != Change::None);
        changes
    }

    /// Applies another gateway's report that an endpoint process leaves.
    pub fn on_peer_departure(
        &mut self,
        now: Duration,
        id: &str,
        process_start_ms: ProcessStartMs,
    ) -> Change {
        if self.departures.has_left(id, process_start_ms) {
            return Change::None;
        }
        self.record_departure(now, id, process_start_ms, Cause::Left, Change::Leaving)
    }

    /// Applies another gateway's report that the entry of an endpoint process is missing; the last
    /// one that it knew has this sequence number. An endpoint with a newer entry stays in use.
    pub fn on_peer_missing(
        &mut self,
        now: Duration,
        id: &str,
        process_start_ms: ProcessStartMs,
        sequence: u64,
    ) -> Change {
        let is_newer_known =
            self.latest.get(id).is_some_and(|&latest| latest > (process_start_ms, sequence));
        if is_newer_known
            || self.departures.has_left(id, process_start_ms)
            || self.departures.extend(id, process_start_ms, sequence)
        {
            return Change::None;
        }
        let renewal_end = self.renewal_end(now);
        if let Some((endpoint, until)) = self.endpoints.get_mut(id).zip(renewal_end) {
            let change = if endpoint.lapses_at.is_some() { Change::None } else { Change::Lapsed };
            endpoint.lapses_at.get_or_insert(until);
            return change;
        }
        let cause = Cause::Missing { sequence };
        self.record_departure(now, id, process_start_ms, cause, Change::Gone)
    }

    /// Applies an answer in which an endpoint process says that it leaves. Its entries are refused
    /// for as long as the store lists them.
    pub fn on_leaving_answer(
        &mut self,
        now: Duration,
        id: &str,
        process_start_ms: ProcessStartMs,
    ) -> Change {
        let change = self.on_peer_departure(now, id, process_start_ms);
        self.departures.keep_while_listed(id, process_start_ms);
        change
    }

    fn record_departure(
        &mut self,
        now: Duration,
        id: &str,
        process_start_ms: ProcessStartMs,
        cause: Cause,
        change: Change,
    ) -> Change {
        self.departures.record(now, id, process_start_ms, cause);
        let is_this_process = self
            .endpoints
            .get(id)
            .is_some_and(|endpoint| endpoint.entry.process_start_ms <= process_start_ms);
        if !is_this_process {
            return Change::None;
        }
        self.endpoints.remove(id);
        change
    }

    /// Records that the store was unavailable for so long that entries may have lapsed.
    pub fn on_store_unavailable(&mut self) {
        self.is_store_unavailable = true;
    }

    /// Records that the store answers again.
    pub fn on_store_available(&mut self, now: Duration) {
        if self.is_store_unavailable {
            self.is_store_unavailable = false;
            self.store_available_at = Some(now);
            let lapses_at = now + RENEWAL_AFTER_OUTAGE;
            for endpoint in self.endpoints.values_mut().filter(|each| each.lapses_at.is_some()) {
                endpoint.lapses_at = Some(lapses_at);
            }
        }
    }

    /// Records that the store was restored from a copy, from which entries may be missing until they
    /// are written again.
    pub fn on_store_restored(&mut self, now: Duration) {
        self.on_store_unavailable();
        self.on_store_available(now);
    }

    /// End of the time in which a missing entry may only have lapsed; `None` outside that time.
    fn renewal_end(&self, now: Duration) -> Option<Duration> {
        let until = self.store_available_at? + RENEWAL_AFTER_OUTAGE;
        (now < until).then_some(until)
    }

    /// Whether an entry lapsed that its endpoint may still renew.
    pub fn is_waiting_for_renewals(&self) -> bool {
        self.endpoints.values().any(|endpoint| endpoint.lapses_at.is_some())
    }

    /// Removes endpoints whose lapsed entries were not renewed, and expired departures. Returns the
    /// ids of the removed endpoints.
    pub fn tick(&mut self, now: Duration) -> Vec<EndpointId> {
        let is_lapsed =
            |endpoint: &Endpoint| endpoint.lapses_at.is_some_and(|lapses_at| now >= lapses_at);
        let lapsed: Vec<(EndpointId, ProcessStartMs)> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| is_lapsed(endpoint))
            .map(|(id, endpoint)| (id.clone(), endpoint.entry.process_start_ms))
            .collect();
        for (id, process_start_ms) in &lapsed {
            self.record_missing(now, id, *process_start_ms);
        }
        self.departures.remove_expired(now);
        self.waits.remove_expired(now);
        self.unreadable.retain(|_, &mut at| now < at + departures::RETENTION);
        let EndpointTable { endpoints, departures, unreadable, latest, .. } = self;
        latest.retain(|id, _| {
            endpoints.contains_key(id) || departures.contains(id) || unreadable.contains_key(id)
        });
        lapsed.into_iter().map(|(id, _)| id).collect()
    }

    /// Endpoints that joined within the last `window`, for reports.
    pub fn recently_joined(&self, now: Duration, window: Duration) -> Vec<&Endpoint> {
        self.endpoints.values().filter(|endpoint| now < endpoint.joined_at + window).collect()
    }

    /// Hash over the ids and process starts of all endpoints; independent of their order.
    pub fn hash(&self) -> u64 {
        self.endpoints.values().fold(0, |hash, endpoint| {
            let entry = &endpoint.entry;
            hash ^ suspects::endpoint_hash(&entry.id, entry.process_start_ms)
        })
    }

    /// Processes seen to leave within the last `window`, for reports.
    pub fn recent_departures(
        &self,
        now: Duration,
        window: Duration,
    ) -> Vec<(EndpointId, ProcessStartMs)> {
        let recent = self.departures.recent(now, window);
        let left = recent.filter(|&(_, _, cause)| cause == Cause::Left);
        left.map(|(id, process_start_ms, _)| (id.clone(), process_start_ms)).collect()
    }

    /// Processes whose entries were found missing within the last `window`, each with the sequence
    /// number of its last known entry, for reports.
    pub fn recently_missing(
        &self,
        now: Duration,
        window: Duration,
    ) -> Vec<(EndpointId, ProcessStartMs, u64)> {
        let recent = self.departures.recent(now, window);
        let missing = recent.filter_map(|(id, process_start_ms, cause)| match cause {
            Cause::Left => None,
            Cause::Missing { sequence } => Some((id.clone(), process_start_ms, sequence)),
        });
        missing.collect()
    }

    /// Endpoint by id.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// All endpoints, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Endpoints of one service, ordered by id.
    pub fn of_service<'t, 's>(
        &'t self,
        service: &'s str,
    ) -> impl Iterator<Item = &'t Endpoint> + use<'t, 's> {
        self.endpoints.values().filter(move |endpoint| endpoint.entry.service == service)
    }
}

impl Endpoint {
    fn new(now: Duration, entry: Entry) -> Endpoint {
        Endpoint {
            entry,
            own_load: Load::default(),
            peer_load: Load::default(),
            failure_rate: 0.0,
            no_reuse_until: None,
            health: Health::default(),
            joined_at: now,
            lapses_at: None,
            refuses_until: None,
        }
    }
}
