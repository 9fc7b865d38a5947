//! State of the other gateways, as they report it.

mod reports;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use rhubarbrock::rendezvous;
use rhubarbrock_schema::gossip;
use xxhash_rust::xxh3;

use crate::arrivals::ArrivalRates;
use crate::endpoints::{EndpointId, Load};
use crate::prompt_suspects::{PartBreak, PartHash, PartHistory};
use crate::quota::PeerDemand;
use crate::report_schedule::{self, Schedule};
use crate::rollout::Revision;
use crate::store_role::StoreEra;
use crate::suspects::{Fingerprint, RequestHistory};
use crate::usage::Source;

/// Time without reports after which a gateway's share of quotas goes to the others. It exceeds a
/// process restart and the window in which quotas are counted.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(12);

/// Minimum time without reports after which a gateway counts as silent for quotas; covers one lost
/// report.
const MIN_QUOTA_SILENCE: Duration = Duration::from_millis(450);

/// Intervals without reports for the same purpose.
const QUOTA_SILENCE_INTERVALS: f64 = 2.5;

/// Time for which quota standings are reported after a gateway was heard for the first time.
const NEWCOMER_TIME: Duration = Duration::from_secs(2);

/// Minimum clock difference that is treated as a clock step rather than as delay and drift.
const CLOCK_STEP_MS: u64 = 300;

/// Another gateway with its last report.
#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    heard_at: Duration,
    /// Time of its last complete report, or of its first one.
    complete_at: Duration,
    /// Its wall clock minus ours, including the transit time of the report.
    clock_offset_ms: i64,
    report: gossip::Report,
}

impl Peer {
    fn is_reader(&self) -> bool {
        self.report.reads_entries
    }

    fn is_live(&self, now: Duration) -> bool {
        let interval = Duration::from_millis(self.report.interval_ms.into());
        now < self.heard_at + report_schedule::liveness_timeout(interval)
    }

    /// Whether the gateway has been silent for so long that it may be cut off.
    fn is_silent(&self, now: Duration) -> bool {
        let interval = Duration::from_millis(self.report.interval_ms.into());
        let silence = interval.mul_f64(QUOTA_SILENCE_INTERVALS).max(MIN_QUOTA_SILENCE);
        now >= self.heard_at + silence.min(report_schedule::liveness_timeout(interval))
    }

    /// Whether the store answered the gateway within the last `freshness`, judging by its last
    /// report.
    fn is_fresh(&self, now: Duration, freshness: Duration) -> bool {
        let age_at_report = Duration::from_millis(self.report.store_age_ms.into());
        age_at_report + now.saturating_sub(self.heard_at) < freshness
    }
}

/// Address of a gateway.
#[derive(Debug, Clone)]
struct KnownAddress {
    /// Time of the last report from there or of the discovery.
    heard_at: Duration,
    /// Data centre; `None` before the first report.
    data_centre: Option<String>,
}

/// Addresses that reports are sent to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recipients {
    /// In the own data centre, or in an unknown one.
    pub near: Vec<SocketAddr>,
    /// In other data centres.
    pub far: Vec<SocketAddr>,
}

/// The other gateways.
#[derive(Debug, Default)]
pub struct Peers {
    peers: BTreeMap<String, Peer>,
    addresses: BTreeMap<SocketAddr, KnownAddress>,
    /// Quota units that the other gateways were seen to spend less refunds, by organisation.
    spent_units: HashMap<String, i64>,
    /// Total of the times, over all other gateways, for which their spending is known.
    contact: Duration,
    /// Time of the first report of the latest gateway that started.
    newcomer_at: Option<Duration>,
}

impl Peers {
    /// Adds the address of a gateway found in the store.
    pub fn add_address(&mut self, now: Duration, address: SocketAddr) {
        let known = KnownAddress { heard_at: now, data_centre: None };
        self.addresses.entry(address).or_insert(known);
    }

    /// Addresses that reports are sent to by a gateway in `data_centre`.
    pub fn recipients(&self, data_centre: &str) -> Recipients {
        let mut recipients = Recipients::default();
        for (&address, known) in &self.addresses {
            let is_near = known.data_centre.as_deref().is_none_or(|name| name == data_centre);
            if is_near { &mut recipients.near } else { &mut recipients.far }.push(address);
        }
        recipients
    }

    /// Intervals of the reports of a gateway in `data_centre`.
    pub fn report_schedule(&self, data_centre: &str) -> Schedule {
        let is_near = |known: &&KnownAddress| {
            known.data_centre.as_deref().is_none_or(|name| name == data_centre)
        };
        let near = self.addresses.values().filter(is_near).count();
        Schedule::new(self.addresses.len() as u32, near as u32)
    }

    /// Takes a report; returns whether it is newer than the last one of its sender.
    pub fn on_report(
        &mut self,
        now: Duration,
        unix_time: Duration,
        from: SocketAddr,
        mut report: gossip::Report,
    ) -> bool {
        let data_centre = (!report.data_centre.is_empty()).then(|| report.data_centre.clone());
        self.addresses.insert(from, KnownAddress { heard_at: now, data_centre });
        let mut is_partial = report.is_brief;
        if let Some(known) = self.peers.get_mut(&report.name) {
            let is_same_start = known.report.incarnation == report.incarnation;
            if is_same_start && known.report.sequence >= report.sequence {
                return false;
            }
            if is_same_start && report.is_brief && !known.report.is_brief {
                is_partial = true;
                reports::complete_brief(&mut report, known, now);
            }
        }
        self.add_spending(now, &report);
        let known = self.peers.get(&report.name);
        let known = known.filter(|known| known.report.incarnation == report.incarnation);
        if known.is_none() {
            self.newcomer_at = Some(now);
        }
        let complete_at = match known {
            Some(known) if is_partial => known.complete_at,
            _ => now,
        };
        let clock_offset_ms = (report.wall_ms as i64).saturating_sub(unix_time.as_millis() as i64);
        let peer = Peer { address: from, heard_at: now, complete_at, clock_offset_ms, report };
        self.peers.insert(peer.report.name.clone(), peer);
        true
    }

    /// Adds what a gateway spent since its last report. Nothing is added for a gateway that was not
    /// known, or by brief reports only, as it is unclear how much of its spending is recent.
    fn add_spending(&mut self, now: Duration, report: &gossip::Report) {
        let Some(known) = self.peers.get(&report.name) else { return };
        if known.report.is_brief {
            return;
        }
        let is_same_start = known.report.incarnation == report.incarnation;
        // A gateway that started anew was not there to spend for some of the time.
        if is_same_start {
            let seen = now.saturating_sub(known.complete_at).min(MEMBERSHIP_TIMEOUT);
            self.contact = self.contact.saturating_add(seen);
        }
        for demand in &report.demands {
            let reported = known.report.demands.iter().filter(|_| is_same_start);
            let reported = reported.filter(|each| each.organisation == demand.organisation);
            let reported = reported.map(|each| each.spent_units).fold(0, u64::saturating_add);
            // Less than was reported before if requests were refunded.
            let spent =
                reports::signed(demand.spent_units).saturating_sub(reports::signed(reported));
            let total = self.spent_units.entry(demand.organisation.clone()).or_default();
            *total = total.saturating_add(spent);
        }
    }

    /// Removes gateways that have been silent for too long.
    pub fn tick(&mut self, now: Duration) {
        self.peers.retain(|_, peer| now < peer.heard_at + MEMBERSHIP_TIMEOUT);
    }

    /// Number of gateways that share quotas and retry budgets, including this one.
    pub fn gateway_count(&self, now: Duration) -> u32 {
        let is_member = |known: &&KnownAddress| now < known.heard_at + MEMBERSHIP_TIMEOUT;
        let members = self.addresses.values().filter(is_member).count();
        members.max(self.peers.len()) as u32 + 1
    }

    /// Number of gateways that reported recently, including this one.
    pub fn live_gateway_count(&self, now: Duration) -> u32 {
        self.live(now).count() as u32 + 1
    }

    /// Addresses of live gateways that can hand over a release to the gateway `name` in
    /// `data_centre`: the newest release first, then the same data centre.
    ///
    /// Gateways that look for a source at the same time get different ones, and so does one gateway
    /// in each `round`.
    pub fn handover_sources(
        &self,
        now: Duration,
        name: &str,
        data_centre: &str,
        round: u64,
    ) -> Vec<SocketAddr> {
        let mut eligible: Vec<&Peer> =
            self.live(now).filter(|peer| peer.report.release_version > 0).collect();
        let seed = xxh3::xxh3_64_with_seed(name.as_bytes(), round);
        eligible.sort_by_cached_key(|peer| {
            let report = &peer.report;
            let order = xxh3::xxh3_64_with_seed(report.name.as_bytes(), seed);
            (Reverse(report.release_version), report.data_centre != data_centre, order)
        });
        eligible.into_iter().map(|peer| peer.address).collect()
    }

    /// Highest release version reported by a known gateway; 0 if there is none.
    pub fn newest_release_version(&self) -> u64 {
        self.peers.values().map(|peer| peer.report.release_version).max().unwrap_or_default()
    }

    /// Number of live readers of the store that it answered within the last `freshness`.
    pub fn fresh_readers(&self, now: Duration, freshness: Duration) -> u32 {
        self.live(now).filter(|peer| peer.is_reader() && peer.is_fresh(now, freshness)).count()
            as u32
    }

    /// Number of live gateways whose names sort before `name`, without readers that the store has
    /// not answered within the last `freshness`.
    pub fn reader_rank(&self, now: Duration, freshness: Duration, name: &str) -> u32 {
        let eligible =
            self.live(now).filter(|peer| !peer.is_reader() || peer.is_fresh(now, freshness));
        eligible.filter(|peer| peer.report.name.as_str() < name).count() as u32
    }

    /// Whether a live reader of the store knows exactly the endpoints with `hash`.
    pub fn has_reader_with_hash(&self, now: Duration, hash: u64) -> bool {
        let mut readers = self.live(now).filter(|peer| peer.report.reads_entries);
        readers.any(|peer| peer.report.endpoints_hash == hash)
    }

    /// Whether a live gateway reports that it holds the lease on the duties.
    pub fn has_lease_holder(&self, now: Duration) -> bool {
        self.live(now).any(|peer| peer.report.holds_lease)
    }

    /// Addresses of the lease holder and of the first `backups` live gateways by name, which are
    /// next to hold the lease.
    pub fn duty_addresses(&self, now: Duration, backups: u32) -> BTreeSet<SocketAddr> {
        let holders = self.live(now).filter(|peer| peer.report.holds_lease);
        let next = self.live(now).take(backups as usize);
        holders.chain(next).map(|peer| peer.address).collect()
    }

    /// Number of live gateways whose names sort before `name`.
    pub fn name_rank(&self, now: Duration, name: &str) -> u32 {
        self.live(now).filter(|peer| peer.report.name.as_str() < name).count() as u32
    }

    /// Whether the gateway `name` in `data_centre` is the one of that data centre that asks
    /// `endpoint` what it holds: the first of the live ones in the endpoint's own order.
    pub fn is_listener(
        &self,
        now: Duration,
        name: &str,
        data_centre: &str,
        endpoint: &str,
    ) -> bool {
        let key = xxh3::xxh3_64(endpoint.as_bytes());
        let score = |name: &str| rendezvous::score(key, xxh3::xxh3_64(name.as_bytes()));
        let mut near = self.live(now).filter(|peer| peer.report.data_centre == data_centre);
        let own_score = score(name);
        near.all(|peer| score(&peer.report.name) < own_score)
    }

    /// Total load of the live gateways on each endpoint.
    pub fn loads(&self, now: Duration) -> HashMap<EndpointId, Load> {
        let mut loads: HashMap<EndpointId, Load> = HashMap::new();
        for each in self.live(now).flat_map(|peer| &peer.report.loads) {
            let load = loads.entry(each.endpoint.clone()).or_default();
            load.requests = load.requests.saturating_add(each.requests);
            load.waiting_tokens = load.waiting_tokens.saturating_add(each.waiting_tokens);
        }
        loads
    }

    /// Total demand and spending on each organisation's quota.
    pub fn demands(&self, now: Duration) -> HashMap<String, PeerDemand> {
        let gateways = self.gateway_count(now);
        let heard = self.peers.values().filter(|peer| !peer.is_silent(now));
        let unseen = heard.clone().map(|peer| now.saturating_sub(peer.complete_at));
        let unseen = unseen.fold(Duration::ZERO, Duration::saturating_add) / gateways;
        let live_gateways = heard.clone().count() as u32 + 1;
        let mut standings = reports::mean_standings(heard);
        let silent = self.peers.values().filter(|peer| peer.is_silent(now));
        let silence = silent.map(|peer| now.saturating_sub(peer.heard_at)).min();
        let mut demands: HashMap<String, PeerDemand> = HashMap::new();
        for each in self.peers.values().flat_map(|peer| &peer.report.demands) {
            let demand = demands.entry(each.organisation.clone()).or_default();
            let spent_units = self.spent_units.get(&each.organisation).copied();
            demand.units_per_s += each.units_per_s as f64;
            demand.spent_units = spent_units.unwrap_or_default() as f64;
            demand.contact = self.contact;
            demand.unseen = unseen;
            demand.silence = silence.unwrap_or_default();
            if let Some(standing) = standings.remove(&each.organisation) {
                demand.standing = Some(standing);
            }
            demand.gateways = gateways;
            demand.live_gateways = live_gateways.min(gateways);
        }
        demands
    }

    /// Whether a gateway has just started, which needs the others' quota standings.
    pub fn has_newcomer(&self, now: Duration) -> bool {
        self.newcomer_at.is_some_and(|at| now < at + NEWCOMER_TIME)
    }

    /// Total work rates of one service at the live gateways.
    pub fn arrivals(&self, now: Duration, service: &str) -> ArrivalRates {
        let rows = self.live(now).flat_map(|peer| &peer.report.arrivals);
        let mut sum = ArrivalRates::default();
        for row in rows.filter(|row| row.service == service) {
            sum.tokens_per_s += row.tokens_per_s as f64;
            sum.first_events_per_s += row.first_events_milli_per_s as f64 / 1_000.0;
            sum.late_first_events_per_s += row.late_milli_per_s as f64 / 1_000.0;
            sum.generating_requests += row.generating_milli as f64 / 1_000.0;
            if let Some(samples) = &row.prompt_samples {
                sum.prompt_samples = sum.prompt_samples.plus(reports::decode_samples(samples));
            }
        }
        sum
    }

    /// Roll-outs that the other gateways last reported.
    pub fn rollouts(&self) -> impl Iterator<Item = &gossip::Rollout> {
        self.peers.values().flat_map(|peer| &peer.report.rollouts)
    }

    /// Number of live gateways that have not reported this revision of a service's roll-out.
    pub fn gateways_behind(&self, now: Duration, service: &str, revision: Revision) -> u32 {
        let has_revision = |peer: &&Peer| {
            let mut rows = peer.report.rollouts.iter();
            rows.any(|row| row.service == service && row.revision >= revision)
        };
        self.live(now).filter(|peer| !has_revision(peer)).count() as u32
    }

    /// Names and incarnations of the live gateways.
    pub fn live_sources(&self, now: Duration) -> BTreeSet<Source> {
        let reports = self.live(now).map(|peer| &peer.report);
        reports.map(|report| (report.name.clone(), report.incarnation)).collect()
    }

    /// Observations of the other gateways on requests that may crash endpoints.
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

    /// Whether all known gateways are live and report this era as the first one that they know.
    pub fn agree_on_first_era(&self, now: Duration, era: StoreEra) -> bool {
        let agreeing = self.live(now).filter(|peer| peer.report.first_store_era == Some(era));
        let agreeing: BTreeSet<SocketAddr> = agreeing.map(|peer| peer.address).collect();
        self.peers.values().all(|peer| agreeing.contains(&peer.address))
            && self.addresses.keys().all(|address| agreeing.contains(address))
    }

    /// Last refusals of suspected requests at the other gateways.
    pub fn request_refusals(&self) -> HashMap<Fingerprint, Duration> {
        self.last_refusals(|report| {
            let rows = report.suspects.iter();
            rows.map(|each| (each.fingerprint, each.refused_age_ms)).collect()
        })
    }

    /// Last refusals of suspected parts of prompts at the other gateways.
    pub fn part_refusals(&self) -> HashMap<PartHash, Duration> {
        self.last_refusals(|report| {
            let rows = report.prompt_suspects.iter();
            rows.map(|each| (each.part, each.refused_age_ms)).collect()
        })
    }

    fn last_refusals(
        &self,
        ages_ms: impl Fn(&gossip::Report) -> Vec<(u64, Option<u32>)>,
    ) -> HashMap<u64, Duration> {
        let mut refusals: HashMap<u64, Duration> = HashMap::new();
        for peer in self.peers.values() {
            for (hash, age_ms) in ages_ms(&peer.report) {
                let Some(age_ms) = age_ms else { continue };
                let at = peer.heard_at.saturating_sub(Duration::from_millis(age_ms.into()));
                let last = refusals.entry(hash).or_insert(at);
                *last = at.max(*last);
            }
        }
        refusals
    }

    /// Observations of the other gateways on parts of prompts that may crash endpoints.
    pub fn prompt_suspects(&self) -> HashMap<PartHash, Vec<PartHistory>> {
        let mut suspects: HashMap<PartHash, Vec<PartHistory>> = HashMap::new();
        for peer in self.peers.values() {
            let at =
                |age_ms: u32| peer.heard_at.saturating_sub(Duration::from_millis(age_ms.into()));
            for each in &peer.report.prompt_suspects {
                let breaks = each.breaks.iter().map(|each| PartBreak {
                    endpoint: each.endpoint,
                    request: each.request,
                    at: at(each.age_ms),
                });
                suspects.entry(each.part).or_default().push(PartHistory {
                    breaks: breaks.collect(),
                    finished_at: each.finished_age_ms.map(at),
                    is_refused: each.is_refused,
                });
            }
        }
        suspects
    }

    /// Converts our time of day to the median of all live gateways' clocks.
    pub fn median_unix_time(&self, now: Duration, unix_time: Duration) -> Duration {
        let wall_ms = (unix_time.as_millis() as i64).saturating_add(self.clock_correction_ms(now));
        Duration::from_millis(wall_ms.max(0) as u64)
    }

    /// Difference of the median clock of all live gateways to ours, in milliseconds.
    ///
    /// Differences below [`CLOCK_STEP_MS`] count as zero.
    fn clock_correction_ms(&self, now: Duration) -> i64 {
        let mut offsets_ms: Vec<i64> = self.live(now).map(|peer| peer.clock_offset_ms).collect();
        offsets_ms.push(0);
        offsets_ms.sort_unstable();
        let median_ms = offsets_ms[offsets_ms.len() / 2];
        if median_ms.unsigned_abs() < CLOCK_STEP_MS { 0 } else { median_ms }
    }

    fn live(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| peer.is_live(now))
    }
}
