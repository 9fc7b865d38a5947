//! Other gateways as their reports describe them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use rhubarbrock_schema::gossip;

use crate::arrivals::ArrivalRates;
use crate::endpoints::{EndpointId, Load};
use crate::quota::PeerDemand;
use crate::suspects::{Fingerprint, RequestHistory};
use crate::usage::Source;

/// Silence after which a gateway's load no longer counts; several reports may be lost.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Silence after which a gateway's share of quotas goes to the others. It outlasts a process
/// restart, and the window in which quotas are counted.
const ABSENCE: Duration = Duration::from_secs(12);

/// Difference of clocks that is taken for a step rather than for delay and drift.
const CLOCK_STEP_MS: i64 = 300;

/// One other gateway.
#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    heard_at: Duration,
    /// Its time of day less ours, in milliseconds.
    clock_ahead_ms: i64,
    report: gossip::Report,
}

impl Peer {
    fn is_reader(&self) -> bool {
        self.report.reads_entries
    }

    /// Whether the store answered the gateway within the last `freshness`, as far as is known.
    fn is_fresh(&self, now: Duration, freshness: Duration) -> bool {
        let at_report = Duration::from_millis(self.report.store_age_ms.into());
        at_report + now.saturating_sub(self.heard_at) < freshness
    }
}

/// Other gateways.
#[derive(Debug, Default)]
pub struct Peers {
    peers: BTreeMap<String, Peer>,
    /// Addresses of members, with the time at which they were learnt or heard last.
    addresses: BTreeMap<SocketAddr, Duration>,
    /// Units of quota that others were seen to spend, by organisation.
    spent_units: HashMap<String, u64>,
}

impl Peers {
    /// Learns a member's address.
    pub fn add_address(&mut self, now: Duration, address: SocketAddr) {
        self.addresses.entry(address).or_insert(now);
    }

    /// Addresses to send reports to.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.keys().copied().collect()
    }

    /// Takes a report; returns whether it is newer than what is known of its sender.
    pub fn on_report(
        &mut self,
        now: Duration,
        wall: Duration,
        from: SocketAddr,
        report: gossip::Report,
    ) -> bool {
        self.addresses.insert(from, now);
        if let Some(known) = self.peers.get(&report.name) {
            let is_same_start = known.report.incarnation == report.incarnation;
            if is_same_start && known.report.sequence >= report.sequence {
                return false;
            }
        }
        self.add_spending(&report);
        let clock_ahead_ms = report.wall_ms as i64 - wall.as_millis() as i64;
        let peer = Peer { address: from, heard_at: now, clock_ahead_ms, report };
        self.peers.insert(peer.report.name.clone(), peer);
        true
    }

    /// Adds what a gateway spent since its last report. Of one that was not known before, it
    /// is unknown how much of its spending is recent, and none is added.
    fn add_spending(&mut self, report: &gossip::Report) {
        let Some(known) = self.peers.get(&report.name) else { return };
        let is_same_start = known.report.incarnation == report.incarnation;
        for demand in &report.demands {
            let before = known.report.demands.iter().filter(|_| is_same_start);
            let before = before.filter(|each| each.organisation == demand.organisation);
            let before: u64 = before.map(|each| each.spent_units).sum();
            let spent = demand.spent_units.saturating_sub(before);
            *self.spent_units.entry(demand.organisation.clone()).or_default() += spent;
        }
    }

    /// Forgets gateways that have been silent for long.
    pub fn tick(&mut self, now: Duration) {
        self.peers.retain(|_, peer| now < peer.heard_at + ABSENCE);
    }

    /// Number of gateways that quotas and budgets are split among, this one included.
    pub fn gateway_count(&self, now: Duration) -> u32 {
        let present = self.addresses.values().filter(|&&at| now < at + ABSENCE).count();
        present.max(self.peers.len()) as u32 + 1
    }

    /// Gateways that reported lately, this one included.
    pub fn live_gateway_count(&self, now: Duration) -> u32 {
        self.live(now).count() as u32 + 1
    }

    /// Addresses of gateways with a release that reported lately, the newest release first.
    pub fn addresses_by_release(&self, now: Duration) -> Vec<SocketAddr> {
        let mut able: Vec<&Peer> =
            self.live(now).filter(|peer| peer.report.release_version > 0).collect();
        able.sort_by_key(|peer| Reverse(peer.report.release_version));
        able.into_iter().map(|peer| peer.address).collect()
    }

    /// Highest release version that a gateway reports.
    pub fn newest_release_version(&self) -> u64 {
        self.peers.values().map(|peer| peer.report.release_version).max().unwrap_or_default()
    }

    /// Number of gateways that follow the store and heard from it within `freshness`.
    pub fn fresh_readers(&self, now: Duration, freshness: Duration) -> u32 {
        self.live(now).filter(|peer| peer.is_reader() && peer.is_fresh(now, freshness)).count()
            as u32
    }

    /// Number of live gateways whose names come before `name`, without those that try to follow
    /// the store and have heard nothing from it within `freshness`.
    pub fn reader_rank(&self, now: Duration, freshness: Duration, name: &str) -> u32 {
        let able = self.live(now).filter(|peer| !peer.is_reader() || peer.is_fresh(now, freshness));
        able.filter(|peer| peer.report.name.as_str() < name).count() as u32
    }

    /// Whether a live gateway that follows the entries knows just the endpoints of `hash`.
    pub fn has_reader_with_hash(&self, now: Duration, hash: u64) -> bool {
        let mut readers = self.live(now).filter(|peer| peer.report.reads_entries);
        readers.any(|peer| peer.report.endpoints_hash == hash)
    }

    /// Whether a gateway that was heard lately holds the lease on the duties.
    pub fn has_lease_holder(&self, now: Duration) -> bool {
        self.live(now).any(|peer| peer.report.holds_lease)
    }

    /// Addresses of the holder of the lease and of those `backups` that come next.
    pub fn duty_addresses(&self, now: Duration, backups: u32) -> BTreeSet<SocketAddr> {
        let holders = self.live(now).filter(|peer| peer.report.holds_lease);
        let next = self.live(now).take(backups as usize);
        holders.chain(next).map(|peer| peer.address).collect()
    }

    /// Number of live gateways whose names come before `name`.
    pub fn name_rank(&self, now: Duration, name: &str) -> u32 {
        self.live(now).filter(|peer| peer.report.name.as_str() < name).count() as u32
    }

    /// Sum of the loads that live gateways put on each endpoint.
    pub fn loads(&self, now: Duration) -> HashMap<EndpointId, Load> {
        let mut loads: HashMap<EndpointId, Load> = HashMap::new();
        for each in self.live(now).flat_map(|peer| &peer.report.loads) {
            let load = loads.entry(each.endpoint.clone()).or_default();
            load.requests += each.requests;
            load.waiting_tokens += each.waiting_tokens;
        }
        loads
    }

    /// Sums of the demands on each organisation's quota.
    pub fn demands(&self, now: Duration) -> HashMap<String, PeerDemand> {
        let gateways = self.gateway_count(now);
        let live_gateways = self.live_gateway_count(now);
        let mut demands: HashMap<String, PeerDemand> = HashMap::new();
        for each in self.peers.values().flat_map(|peer| &peer.report.demands) {
            let demand = demands.entry(each.organisation.clone()).or_default();
            let spent_units = self.spent_units.get(&each.organisation).copied();
            demand.units_per_s += each.units_per_s as f64;
            demand.spent_units = spent_units.unwrap_or_default() as f64;
            demand.gateways = gateways;
            demand.live_gateways = live_gateways.min(gateways);
        }
        demands
    }

    /// Work that live gateways see for one service.
    pub fn arrivals(&self, now: Duration, service: &str) -> ArrivalRates {
        let rows = self.live(now).flat_map(|peer| &peer.report.arrivals);
        let mut sum = ArrivalRates::default();
        for row in rows.filter(|row| row.service == service) {
            sum.tokens_per_s += row.tokens_per_s as f64;
            sum.first_events_per_s += row.first_events_milli_per_s as f64 / 1_000.0;
            sum.late_first_events_per_s += row.late_milli_per_s as f64 / 1_000.0;
        }
        sum
    }

    /// Names and starts of live gateways.
    pub fn live_sources(&self, now: Duration) -> BTreeSet<Source> {
        let reports = self.live(now).map(|peer| &peer.report);
        reports.map(|report| (report.name.clone(), report.incarnation)).collect()
    }

    /// What other gateways saw of requests that may crash endpoints.
    pub fn suspects(&self) -> HashMap<Fingerprint, Vec<RequestHistory>> {
        let mut suspects: HashMap<Fingerprint, Vec<RequestHistory>> = HashMap::new();
        for peer in self.peers.values() {
            let at =
                |age_ms: u32| peer.heard_at.saturating_sub(Duration::from_millis(age_ms.into()));
            for each in &peer.report.suspects {
                let breaks = each.breaks.iter().map(|each| (each.endpoint, at(each.age_ms)));
                suspects.entry(each.fingerprint).or_default().push(RequestHistory {
                    breaks: breaks.collect(),
                    finished_at: each.finished_age_ms.map(at),
                });
            }
        }
        suspects
    }

    /// The time of day `wall` by the median of all gateways' clocks.
    pub fn median_wall_time(&self, now: Duration, wall: Duration) -> Duration {
        let wall_ms = wall.as_millis() as i64 + self.clock_correction_ms(now);
        Duration::from_millis(wall_ms.max(0) as u64)
    }

    /// How far the median clock of all gateways is ahead of ours, in milliseconds.
    ///
    /// A small difference counts as none.
    fn clock_correction_ms(&self, now: Duration) -> i64 {
        let mut ahead: Vec<i64> = self.live(now).map(|peer| peer.clock_ahead_ms).collect();
        ahead.push(0);
        ahead.sort_unstable();
        let median = ahead[ahead.len() / 2];
        if median.abs() < CLOCK_STEP_MS { 0 } else { median }
    }

    fn live(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| now < peer.heard_at + SILENCE)
    }
}
