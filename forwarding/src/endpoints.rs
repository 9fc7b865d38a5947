//! Endpoints of all services: what their entries in the store say, and what
//! this gateway's own requests found.
//!
//! An entry is believed only if it is newer than what is known: a later start
//! of the process, or a higher sequence number of the same start. A start that
//! was seen to leave never comes back, however its later entries read.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use rhubarbrock::health::{self, Health, Status};

use crate::release::ServiceName;
use crate::suspects;

/// Id of one endpoint.
pub type EndpointId = String;

/// Start of an endpoint's process, in milliseconds since the Unix epoch.
pub type ProcessStartMs = u64;

/// Time after the store's return by which live endpoints have renewed their entries.
///
/// The platform promises about two seconds.
const RENEWAL_AFTER_OUTAGE: Duration = Duration::from_millis(2_300);

/// Time for which a departure is remembered; entries older than this are not replayed.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(120);

/// Weight of a new answer in an endpoint's share of failures, which looks back some ten.
const FAILURE_RATE_WEIGHT: f64 = 0.1;

/// Ejections: two failures in a row, as one may be the request's own fault, and short,
/// as most troubles of an endpoint last some seconds.
const HEALTH: health::Settings = health::Settings {
    failure_threshold: 2,
    shortest_ejection: Duration::from_millis(700),
    longest_ejection: Duration::from_secs(6),
};

/// What an endpoint says of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Its id, which another process may take over later.
    pub id: EndpointId,
    /// Service it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Requests it runs at once.
    pub capacity: u32,
    /// Whether it is about to leave.
    pub is_leaving: bool,
    /// Whether the platform may take it back.
    pub is_reclaimable: bool,
    /// Time for which it stays slow.
    pub warm_up: Duration,
    /// Start of its process.
    pub process_start_ms: ProcessStartMs,
    /// Grows with each entry of one start.
    pub sequence: u64,
}

/// What an entry changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing that matters.
    None,
    /// A new endpoint or a new start of one.
    Joined,
    /// The endpoint began to leave.
    Leaving,
    /// The endpoint is gone.
    Gone,
    /// The endpoint's entry is missing after an outage of the store; it is used a while longer.
    Lapsed,
}

/// Unfinished requests at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests.
    pub requests: u32,
    /// Prompt tokens of requests without a first event.
    pub waiting_tokens: u64,
}

/// One endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Its latest entry.
    pub entry: Entry,
    /// Load that this gateway put on it.
    pub own_load: Load,
    /// Load that the other gateways reported.
    pub peer_load: Load,
    /// Part of its recent answers that were failures of its own.
    pub failure_rate: f64,
    /// Whether it sent bytes that belong to no answer, so that its connections are not reused.
    pub no_reuse_until: Option<Duration>,
    health: Health,
    joined_at: Duration,
    lapses_at: Option<Duration>,
    refuses_until: Option<Duration>,
}

impl Endpoint {
    /// Requests of all gateways.
    pub fn requests(&self) -> u32 {
        self.own_load.requests + self.peer_load.requests
    }

    /// Prompt tokens of all gateways' requests without a first event.
    pub fn waiting_tokens(&self) -> u64 {
        self.own_load.waiting_tokens + self.peer_load.waiting_tokens
    }

    /// Whether its recent answers speak for it.
    pub fn is_healthy(&self, now: Duration) -> bool {
        let is_refusing = self.refuses_until.is_some_and(|until| now < until);
        !is_refusing && !matches!(self.health.status(now), Status::Ejected { .. })
    }

    /// Whether its connections may be used again.
    pub fn may_reuse_connections(&self, now: Duration) -> bool {
        self.no_reuse_until.is_none_or(|until| now >= until)
    }

    /// Whether it is still slow after its start.
    pub fn is_warming_up(&self, now: Duration) -> bool {
        now < self.joined_at + self.entry.warm_up
    }
}

#[derive(Debug, Clone, Copy)]
struct Departure {
    process_start_ms: ProcessStartMs,
    at: Duration,
}

/// All endpoints known.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    latest: HashMap<EndpointId, (ProcessStartMs, u64)>,
    departures: BTreeMap<EndpointId, Departure>,
    store_available_at: Option<Duration>,
    is_store_unavailable: bool,
}

impl EndpointTable {
    /// Takes an entry from the store.
    pub fn on_entry(&mut self, now: Duration, entry: Entry) -> Change {
        if !self.is_newer(&entry) {
            return Change::None;
        }
        self.latest.insert(entry.id.clone(), (entry.process_start_ms, entry.sequence));
        if entry.is_leaving {
            return self.record_departure(now, &entry.id, entry.process_start_ms, Change::Leaving);
        }
        if let Some(known) = self.endpoints.get_mut(&entry.id) {
            let is_same = known.entry.process_start_ms == entry.process_start_ms
                && known.entry.address == entry.address
                && known.entry.service == entry.service;
            if is_same {
                known.entry = entry;
                known.lapses_at = None;
                return Change::None;
            }
        }
        self.departures.remove(&entry.id);
        self.endpoints.insert(entry.id.clone(), Endpoint::new(now, entry));
        Change::Joined
    }

    fn is_newer(&self, entry: &Entry) -> bool {
        let is_departed = self
            .departures
            .get(&entry.id)
            .is_some_and(|departure| entry.process_start_ms <= departure.process_start_ms);
        let is_old = self
            .latest
            .get(&entry.id)
            .is_some_and(|&latest| (entry.process_start_ms, entry.sequence) <= latest);
        !is_departed && !is_old
    }

    /// Takes the removal of an entry.
    pub fn on_removed(&mut self, now: Duration, id: &str) -> Change {
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
        self.record_departure(now, id, process_start_ms, Change::Gone)
    }

    /// Takes all entries that the store has; those missing count as removed.
    pub fn on_snapshot(&mut self, now: Duration, entries: Vec<Entry>) -> Vec<(EndpointId, Change)> {
        let present: Vec<EndpointId> = entries.iter().map(|entry| entry.id.clone()).collect();
        let mut changes: Vec<(EndpointId, Change)> = Vec::new();
        for entry in entries {
            let id = entry.id.clone();
            changes.push((id, self.on_entry(now, entry)));
        }
        let missing: Vec<EndpointId> =
            self.endpoints.keys().filter(|id| !present.contains(id)).cloned().collect();
        for id in missing {
            let change = self.on_removed(now, &id);
            changes.push((id, change));
        }
        changes.retain(|(_, change)| *change != Change::None);
        changes
    }

    /// Takes another gateway's word that a start of an endpoint leaves.
    pub fn on_peer_departure(
        &mut self,
        now: Duration,
        id: &str,
        process_start_ms: ProcessStartMs,
    ) -> Change {
        let is_known =
            self.departures.get(id).is_some_and(|known| known.process_start_ms >= process_start_ms);
        if is_known {
            return Change::None;
        }
        self.record_departure(now, id, process_start_ms, Change::Leaving)
    }

    fn record_departure(
        &mut self,
        now: Duration,
        id: &str,
        process_start_ms: ProcessStartMs,
        change: Change,
    ) -> Change {
        self.departures.insert(id.to_owned(), Departure { process_start_ms, at: now });
        let is_this_start = self
            .endpoints
            .get(id)
            .is_some_and(|endpoint| endpoint.entry.process_start_ms <= process_start_ms);
        if !is_this_start {
            return Change::None;
        }
        self.endpoints.remove(id);
        change
    }

    /// The store stopped answering.
    pub fn on_store_unavailable(&mut self) {
        self.is_store_unavailable = true;
    }

    /// The store answers again.
    pub fn on_store_available(&mut self, now: Duration) {
        if self.is_store_unavailable {
            self.is_store_unavailable = false;
            self.store_available_at = Some(now);
        }
    }

    /// End of the time in which a missing entry may only have lapsed.
    fn renewal_end(&self, now: Duration) -> Option<Duration> {
        let until = self.store_available_at? + RENEWAL_AFTER_OUTAGE;
        (now < until).then_some(until)
    }

    /// Whether an entry lapsed whose endpoint may still renew it.
    pub fn is_waiting_for_renewals(&self) -> bool {
        self.endpoints.values().any(|endpoint| endpoint.lapses_at.is_some())
    }

    /// Drops endpoints whose entries lapsed and did not come back, and old departures.
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
            self.record_departure(now, id, *process_start_ms, Change::Gone);
        }
        self.departures.retain(|_, departure| now < departure.at + DEPARTURE_RETENTION);
        let endpoints = &self.endpoints;
        let departures = &self.departures;
        self.latest.retain(|id, _| endpoints.contains_key(id) || departures.contains_key(id));
        lapsed.into_iter().map(|(id, _)| id).collect()
    }

    /// Endpoints that joined within the last `window`, for other gateways.
    pub fn recently_joined(&self, now: Duration, window: Duration) -> Vec<&Endpoint> {
        self.endpoints.values().filter(|endpoint| now < endpoint.joined_at + window).collect()
    }

    /// Hash over all endpoints and their starts, alike wherever the same ones are known.
    pub fn hash(&self) -> u64 {
        self.endpoints.values().fold(0, |hash, endpoint| {
            let entry = &endpoint.entry;
            hash ^ suspects::endpoint_hash(&entry.id, entry.process_start_ms)
        })
    }

    /// Departures of the last `window`, for other gateways.
    pub fn recent_departures(
        &self,
        now: Duration,
        window: Duration,
    ) -> Vec<(EndpointId, ProcessStartMs)> {
        self.departures
            .iter()
            .filter(|(_, departure)| now < departure.at + window)
            .map(|(id, departure)| (id.clone(), departure.process_start_ms))
            .collect()
    }

    /// An endpoint by id.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Endpoints of one service.
    pub fn of_service<'t, 's>(
        &'t self,
        service: &'s str,
    ) -> impl Iterator<Item = &'t Endpoint> + use<'t, 's> {
        self.endpoints.values().filter(move |endpoint| endpoint.entry.service == service)
    }

    /// A request was sent.
    pub fn on_sent(&mut self, now: Duration, id: &str, waiting_tokens: u64) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.own_load.requests += 1;
        endpoint.own_load.waiting_tokens += waiting_tokens;
        endpoint.health.on_sent(now);
    }

    /// A request's prompt was read.
    pub fn on_first_event(&mut self, id: &str, waiting_tokens: u64) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let load = &mut endpoint.own_load;
        load.waiting_tokens = load.waiting_tokens.saturating_sub(waiting_tokens);
    }

    /// A request ended, however.
    pub fn on_ended(&mut self, id: &str) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.own_load.requests = endpoint.own_load.requests.saturating_sub(1);
    }

    /// An endpoint answered properly; returns whether that ended an ejection.
    pub fn on_success(&mut self, id: &str) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return false };
        endpoint.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT;
        endpoint.refuses_until = None;
        endpoint.health.on_success()
    }

    /// An endpoint answered with a failure of its own, which may be the request's fault.
    pub fn on_error_answer(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.failure_rate += (1.0 - endpoint.failure_rate) * FAILURE_RATE_WEIGHT;
            endpoint.health.on_unknown();
        }
    }

    /// A request ended without showing whether its endpoint is sound.
    pub fn on_inconclusive(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.health.on_unknown();
        }
    }

    /// A request failed at an endpoint; returns whether it is ejected by this.
    pub fn on_failure(&mut self, now: Duration, id: &str) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return false };
        endpoint.health.on_failure(now, &HEALTH)
    }

    /// An endpoint refused a request for want of room.
    pub fn on_refused(&mut self, id: &str, until: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.refuses_until = Some(until);
            endpoint.health.on_unknown();
        }
    }

    /// An endpoint sent bytes that belong to no answer.
    pub fn on_stray_bytes(&mut self, id: &str, until: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.no_reuse_until = Some(until);
        }
    }

    /// Sets the load that other gateways reported.
    pub fn set_peer_loads(&mut self, loads: &HashMap<EndpointId, Load>) {
        for (id, endpoint) in &mut self.endpoints {
            endpoint.peer_load = loads.get(id).copied().unwrap_or_default();
        }
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
