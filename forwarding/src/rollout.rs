//! Roll-outs: a service's traffic moves to another version of its endpoints.
//!
//! An operator orders the move. The holder of the duties keeps a record of it
//! in the store and decides on its phases ([`plan`]), by what all gateways
//! observe of both versions ([`evidence`]). Each gateway limits by itself which
//! share of its requests it sends to the new version, and stops when it does
//! not hear the holder.

pub mod evidence;
pub mod plan;
mod reports;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use derive_more::Display;
use xxhash_rust::xxh3;

use crate::endpoints::{Endpoint, EndpointId, EndpointTable};
use crate::release::ServiceName;
use evidence::{Evidence, Observation, Observations};

/// Version of the software of an endpoint.
pub type Version = String;

/// Position of an order in the operator's records; later orders have higher ones.
pub type OrderPosition = u64;

/// Number of a record; each change of a service's record has a higher one.
pub type Revision = u64;

/// Share of the allowed exposure that a trial uses. The rest is for the switch, and for requests that
/// count as arrived but never reach an endpoint.
const TRIAL_EXPOSURE: f64 = 0.5;

/// Time without word from the holder of the duties after which the new version gets no requests, as
/// a share of the time allowed to roll back.
const GRANT_SHARE: f64 = 0.3;

/// Requests that a gateway may save up while it sends none to the new version.
const MAX_SAVED_REQUESTS: f64 = 2.0;

/// Limits on the requests that a version gets before it has proved sound.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutBounds {
    /// Share of the requests for the service between the order and its time limit.
    pub exposure_share: f64,
    /// Requests in addition to the share.
    pub exposure_slack: f64,
    /// Time after which a version with many bad answers gets no requests.
    pub rollback_delay: Duration,
}

impl RolloutBounds {
    /// Share of the requests that the new version gets in a trial.
    pub fn trial_share(&self) -> f64 {
        self.exposure_share * TRIAL_EXPOSURE
    }

    /// Time for which word from the holder of the duties permits requests to the new version.
    pub fn grant_duration(&self) -> Duration {
        self.rollback_delay.mul_f64(GRANT_SHARE)
    }
}

/// Order to move a service's traffic. Equal orders are the same one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Version to which it moves.
    pub to: Version,
    /// Time limit, from the order on.
    pub duration: Duration,
}

/// Phase of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Phase {
    /// A small share of the requests goes to the new version.
    #[display("trial")]
    Trial,
    /// All requests go to the new version; the old endpoints still run.
    #[display("switch")]
    Switch,
    /// The traffic has moved; the old endpoints stop.
    #[display("completed")]
    Completed,
    /// The new version gets no requests.
    #[display("rolled back")]
    RolledBack,
}

impl Phase {
    /// Whether the roll-out has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Phase::Completed | Phase::RolledBack)
    }
}

/// What the store holds about the roll-outs of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Latest order that the holder of the duties has taken up.
    pub order: Order,
    /// Number of the record.
    pub revision: Revision,
    /// Phase of the order.
    pub phase: Phase,
    /// Time of day at which the order was taken up, since the Unix epoch.
    pub ordered_at: Duration,
    /// Versions that get no requests, apart from that of an order in progress.
    pub barred: BTreeSet<Version>,
    /// Why the roll-out ended; empty while it is in progress.
    pub reason: String,
}

/// Versions that an attempt may be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// All but barred ones.
    Any,
    /// All but barred ones and that of the order.
    Old,
    /// That of the order.
    New,
}

/// State of one service at this gateway.
#[derive(Debug, Default)]
struct ServiceState {
    /// Latest order; `None` if it was withdrawn or none is known.
    order: Option<Order>,
    order_position: OrderPosition,
    withdrawn_at: Option<Duration>,
    /// Versions whose orders were withdrawn or replaced before they were completed.
    left: BTreeSet<Version>,
    record: Option<Record>,
    /// When the holder of the duties was last heard to permit the phase of the record.
    granted_at: Option<Duration>,
    /// Until when this gateway, as the holder, permits the phase of the record to the others.
    grants_until: Option<Duration>,
    /// Requests that may be sent to the new version in a trial.
    credit: f64,
    /// Evidence on the order of the record, by route.
    evidence: Evidence,
}

impl ServiceState {
    fn is_taken_up(&self) -> bool {
        let record = self.record.as_ref();
        record.is_some_and(|record| self.order.as_ref() == Some(&record.order))
    }

    /// Version that only gets the requests that a roll-out gives it.
    fn limited_version(&self) -> Option<&Version> {
        if self.is_taken_up() && self.record.as_ref().is_some_and(|record| record.phase.is_final())
        {
            return None;
        }
        self.order.as_ref().map(|order| &order.to)
    }

    fn is_barred(&self, version: &Version) -> bool {
        // A version whose order was withdrawn or replaced has not proved sound.
        let Some(record) = &self.record else { return self.left.contains(version) };
        let has_moved = record.phase == Phase::Completed && record.order.to == *version;
        let was_left = !record.phase.is_final() && !self.is_taken_up();
        record.barred.contains(version)
            || (was_left && record.order.to == *version)
            || (!has_moved && self.left.contains(version))
    }
}

/// Roll-outs as one gateway knows them.
#[derive(Debug)]
pub struct Rollouts {
    bounds: Option<RolloutBounds>,
    /// Part of a request that this gateway begins with, so that the gateways together send the
    /// share even if each one has few requests.
    first_credit: f64,
    /// Time for which a version that is new to a service gets no requests, as an order for it may
    /// not be known yet.
    hold_time: Duration,
    services: BTreeMap<ServiceName, ServiceState>,
    /// Versions of each service, with the time from which they may get requests.
    versions: HashMap<ServiceName, HashMap<Version, Duration>>,
    observations: Observations,
}

impl Rollouts {
    /// Creates the state of the gateway `name`. Without bounds, no order has an effect. Orders reach
    /// all gateways within `hold_time`.
    pub fn new(name: &str, bounds: Option<RolloutBounds>, hold_time: Duration) -> Rollouts {
        Rollouts {
            bounds,
            first_credit: f64::from(xxh3::xxh3_64(name.as_bytes()) as u32) / f64::from(u32::MAX),
            hold_time,
            services: BTreeMap::new(),
            versions: HashMap::new(),
            observations: Observations::default(),
        }
    }

    /// Limits, if the deployment has roll-outs.
    pub fn bounds(&self) -> Option<RolloutBounds> {
        self.bounds
    }

    /// Services with an order or a record.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Order in force for a service; `None` if it was withdrawn or there was none.
    pub fn order(&self, service: &str) -> Option<&Order> {
        self.services.get(service)?.order.as_ref()
    }

    /// When the order for a service was seen to be withdrawn.
    pub fn withdrawn_at(&self, service: &str) -> Option<Duration> {
        self.services.get(service)?.withdrawn_at
    }

    /// Newest record of a service.
    pub fn record(&self, service: &str) -> Option<&Record> {
        self.services.get(service)?.record.as_ref()
    }

    /// Takes an order, or with `None` its withdrawal, which was found at `position`.
    pub fn on_order(
        &mut self,
        now: Duration,
        service: &str,
        order: Option<Order>,
        position: OrderPosition,
    ) {
        if self.bounds.is_none() || (order.is_none() && !self.services.contains_key(service)) {
            return;
        }
        let state = self.services.entry(service.to_owned()).or_default();
        if position < state.order_position || state.order == order {
            return;
        }
        let is_over = state.is_taken_up()
            && state.record.as_ref().is_some_and(|record| record.phase.is_final());
        if let Some(left) = state.order.take().filter(|_| !is_over) {
            state.left.insert(left.to);
        }
        state.withdrawn_at = order.is_none().then_some(now);
        state.order_position = position;
        state.order = order;
    }

    /// Takes all orders of the operator, which were listed at `position`. Others were withdrawn.
    pub fn on_orders(&mut self, now: Duration, orders: Vec<Order>, position: OrderPosition) {
        let ordered: BTreeSet<&ServiceName> = orders.iter().map(|order| &order.service).collect();
        let left: Vec<ServiceName> =
            self.services.keys().filter(|service| !ordered.contains(service)).cloned().collect();
        for service in left {
            self.on_order(now, &service, None, position);
        }
        for order in orders {
            let service = order.service.clone();
            self.on_order(now, &service, Some(order), position);
        }
    }

    /// Takes a record that the store holds; returns whether it is newer than the known one.
    pub fn on_record(&mut self, record: Record) -> bool {
        if self.bounds.is_none() {
            return false;
        }
        let state = self.services.entry(record.order.service.clone()).or_default();
        if state.record.as_ref().is_some_and(|known| known.revision >= record.revision) {
            return false;
        }
        if state.record.as_ref().is_none_or(|known| known.order != record.order) {
            state.evidence.clear();
            state.credit = self.first_credit;
        }
        if state.order.is_none() && state.withdrawn_at.is_none() && !record.phase.is_final() {
            state.order = Some(record.order.clone());
        }
        // A permission for the phase before says nothing of this one.
        state.granted_at = None;
        state.grants_until = None;
        state.record = Some(record);
        true
    }

    /// Takes word from the holder of the duties that the phase of this revision may go on.
    pub fn on_grant(&mut self, now: Duration, service: &str, revision: Revision) {
        let Some(state) = self.services.get_mut(service) else { return };
        if state.record.as_ref().is_some_and(|record| record.revision == revision) {
            state.granted_at = Some(now);
        }
    }

    /// Permits, as the holder of the duties, that the phase of a service's record goes on.
    pub fn grant(&mut self, now: Duration, service: &str) {
        let Some(bounds) = self.bounds else { return };
        let Some(state) = self.services.get_mut(service) else { return };
        state.granted_at = Some(now);
        state.grants_until = Some(now + bounds.grant_duration());
    }

    /// Ends the permission, before the end of the roll-out is written.
    pub fn revoke(&mut self, service: &str) {
        let Some(state) = self.services.get_mut(service) else { return };
        state.granted_at = None;
        state.grants_until = None;
    }

    /// Whether the record of some service has to be read from the store, as the reports of the others
    /// do not tell whether its roll-out goes on.
    pub fn must_read_records(&self, now: Duration) -> bool {
        self.services.values().any(|state| {
            let is_over = state.is_taken_up()
                && state.record.as_ref().is_some_and(|record| record.phase.is_final());
            state.order.is_some() && !is_over && !self.is_granted(now, state)
        })
    }

    fn is_granted(&self, now: Duration, state: &ServiceState) -> bool {
        let Some(bounds) = self.bounds else { return false };
        state.granted_at.is_some_and(|at| now < at + bounds.grant_duration())
    }

    /// Versions for an attempt. `is_first` is whether the request has not been sent before; only
    /// then it can be part of a trial.
    pub fn choose(&mut self, now: Duration, service: &str, is_first: bool) -> Choice {
        let Some(bounds) = self.bounds else { return Choice::Any };
        let Some(state) = self.services.get(service) else { return Choice::Any };
        let Some(record) = state.record.as_ref().filter(|_| state.is_taken_up()) else {
            return Choice::Old;
        };
        let (phase, is_granted) = (record.phase, self.is_granted(now, state));
        match phase {
            Phase::Trial if is_first => {
                let Some(state) = self.services.get_mut(service) else { return Choice::Old };
                state.credit = (state.credit + bounds.trial_share()).min(MAX_SAVED_REQUESTS);
                if is_granted && state.credit >= 1.0 { Choice::New } else { Choice::Old }
            }
            Phase::Trial => Choice::Old,
            Phase::Switch if is_granted => Choice::New,
            // Whether the old endpoints still run is unknown.
            Phase::Switch | Phase::Completed | Phase::RolledBack => Choice::Any,
        }
    }

    /// Counts an attempt that is sent to an endpoint.
    pub fn on_sent(&mut self, service: &str, version: &Version) {
        let Some(state) = self.services.get_mut(service) else { return };
        if state.limited_version() == Some(version) {
            state.credit -= 1.0;
        }
    }

    /// Endpoints of a service that an attempt with this choice may be sent to; `None` if all may be.
    pub fn allowed(
        &self,
        now: Duration,
        endpoints: &EndpointTable,
        service: &str,
        choice: Choice,
    ) -> Option<BTreeSet<EndpointId>> {
        self.bounds?;
        let state = self.services.get(service);
        let versions = self.versions.get(service);
        let is_held = |endpoint: &&Endpoint| {
            versions.is_some_and(|versions| {
                versions.get(&endpoint.entry.version).is_none_or(|&from| now < from)
            })
        };
        let ids = |endpoints: &[&Endpoint]| -> BTreeSet<EndpointId> {
            endpoints.iter().map(|endpoint| endpoint.entry.id.clone()).collect()
        };
        let Some(state) = state else {
            let all: Vec<&Endpoint> = endpoints.of_service(service).collect();
            let known: Vec<&Endpoint> =
                all.iter().copied().filter(|endpoint| !is_held(endpoint)).collect();
            let is_limited = !known.is_empty() && known.len() < all.len();
            return is_limited.then(|| ids(&known));
        };
        let limited = state.limited_version();
        let usable = endpoints.of_service(service).filter(|endpoint| {
            let version = &endpoint.entry.version;
            limited == Some(version) || !(state.is_barred(version) || is_held(endpoint))
        });
        let (new, old): (Vec<&Endpoint>, Vec<&Endpoint>) =
            usable.partition(|endpoint| limited == Some(&endpoint.entry.version));
        let is_trial = state.record.as_ref().is_some_and(|record| record.phase == Phase::Trial);
        Some(match choice {
            Choice::Old => ids(&old),
            Choice::New if is_trial => ids(&self.trial_endpoints(new, old.len())),
            Choice::New => ids(&new),
            Choice::Any => ids(&[new, old].concat()),
        })
    }

    /// Endpoints that get the requests of a trial: so few that each one has about the load of an old
    /// endpoint, as some faults show only under load. All gateways select the same ones.
    fn trial_endpoints<'t>(
        &self,
        mut new: Vec<&'t Endpoint>,
        old_endpoints: usize,
    ) -> Vec<&'t Endpoint> {
        let share = self.bounds.map_or(0.0, |bounds| bounds.trial_share());
        let count = (old_endpoints as f64 * share).round().max(1.0) as usize;
        new.sort_by_key(|endpoint| xxh3::xxh3_64(endpoint.entry.id.as_bytes()));
        new.truncate(count);
        new
    }

    /// Notes the versions of all endpoints.
    pub fn observe_versions(&mut self, now: Duration, endpoints: &EndpointTable) {
        if self.bounds.is_none() {
            return;
        }
        let mut present: HashMap<&ServiceName, BTreeSet<&Version>> = HashMap::new();
        for endpoint in endpoints.iter() {
            present.entry(&endpoint.entry.service).or_default().insert(&endpoint.entry.version);
        }
        self.versions.retain(|service, _| present.contains_key(service));
        for (service, versions) in present {
            let is_new = !self.versions.contains_key(service);
            let known = self.versions.entry(service.clone()).or_default();
            known.retain(|version, _| versions.contains(version));
            for version in versions {
                let from = if is_new { Duration::ZERO } else { now + self.hold_time };
                known.entry(version.clone()).or_insert(from);
            }
        }
    }

    /// Takes what an attempt showed of the version of its endpoint.
    pub fn on_observation(&mut self, now: Duration, endpoint: &Endpoint, seen: &Observation<'_>) {
        if self.bounds.is_none() {
            return;
        }
        let (service, version) = (&endpoint.entry.service, &endpoint.entry.version);
        let state = self.services.get_mut(service);
        let limited = state.as_ref().and_then(|state| state.limited_version());
        let is_new = limited == Some(version);
        let tally = self.observations.judge(now, endpoint, seen, !is_new);
        let Some(state) = state.filter(|state| state.is_taken_up()) else { return };
        let evidence = state.evidence.entry(seen.route.to_owned()).or_default();
        let side = if is_new { &mut evidence.new } else { &mut evidence.old };
        *side = side.plus(tally);
    }

    /// Evidence of this gateway and, from `reports`, of the others on the order of a service's record.
    pub fn evidence<'e>(
        &'e self,
        service: &str,
        reports: impl Iterator<Item = &'e rhubarbrock_schema::gossip::Rollout>,
    ) -> Evidence {
        let Some(state) = self.services.get(service) else { return Evidence::new() };
        let mut sum = state.evidence.clone();
        let order = state.record.as_ref().map(|record| &record.order);
        for report in reports {
            if order.is_none() || reports::record_order(report).as_ref() != order {
                continue;
            }
            for row in &report.evidence {
                let total = sum.entry(row.route.clone()).or_default();
                *total = total.plus(&reports::decode_evidence(row));
            }
        }
        sum
    }
}
