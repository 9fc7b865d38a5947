//! Gateways that share a service during a roll-out, with a store that holds one record.
//!
//! A request takes [`USUAL_TIME`] at a sound endpoint, with noise. Reports reach the holder and come
//! from it at [`REPORT_INTERVAL`].

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use forwarding::endpoints::{EndpointTable, Entry};
use forwarding::rollout::evidence::{Ending, Evidence, History, Observation};
use forwarding::rollout::plan::{self, View};
use forwarding::rollout::{Choice, Order, Phase, Record, RolloutBounds, Rollouts};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbrock_schema::gossip;

use super::{PLAIN_SERVICE, entry, ms};

const STEP: Duration = ms(50);
const REPORT_INTERVAL: Duration = ms(300);
const USUAL_TIME: Duration = ms(100);
pub(crate) const ROUTES: [&str; 3] = ["confirm", "look", "list"];
pub(crate) const BOUNDS: RolloutBounds =
    RolloutBounds { exposure_share: 0.1, exposure_slack: 50.0, rollback_delay: ms(5_000) };

/// Answer of an endpoint: whether it fails, and the multiple of the usual time that it takes.
pub(crate) type Answer = (bool, f64);

/// A request as an endpoint sees it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sent<'s> {
    pub(crate) is_new: bool,
    pub(crate) route: &'s str,
    /// Time since the order.
    pub(crate) at: Duration,
    /// Requests that the endpoint got in the last second.
    pub(crate) load: usize,
    /// Random number from 0 to 1.
    pub(crate) random: f64,
}

pub(crate) struct Fleet {
    pub(crate) gateways: Vec<Rollouts>,
    pub(crate) holder: usize,
    pub(crate) is_store_down: bool,
    /// Share of the reports that are lost.
    pub(crate) lost: f64,
    pub(crate) now: Duration,
    pub(crate) requests: usize,
    pub(crate) exposed: usize,
    /// Time of each bad answer of the new version.
    pub(crate) bad_at: Vec<Duration>,
    pub(crate) last_exposed_at: Duration,
    pub(crate) ended_at: Option<Duration>,
    stored: Option<Record>,
    order: Order,
    reports: BTreeMap<usize, Vec<gossip::Rollout>>,
    history: History,
    phase_since: Option<Duration>,
    sent: BTreeMap<String, Vec<Duration>>,
    endpoints: EndpointTable,
    random: ChaCha8Rng,
}

impl Fleet {
    pub(crate) fn new(seed: u64, gateways: usize, old: usize, new: usize) -> Fleet {
        let mut endpoints = EndpointTable::default();
        for index in 0..old + new {
            let version = if index < old { "v1" } else { "v2" }.to_owned();
            let id = format!("e{index}");
            endpoints.on_entry(ms(0), Entry { version, ..entry(&id, PLAIN_SERVICE, 1, 1) });
        }
        let gateway = |index| Rollouts::new(&format!("g{index}"), Some(BOUNDS), ms(1_000));
        let service = PLAIN_SERVICE.to_owned();
        Fleet {
            gateways: (0..gateways).map(gateway).collect(),
            holder: 0,
            is_store_down: false,
            lost: 0.0,
            now: ms(0),
            requests: 0,
            exposed: 0,
            bad_at: Vec::new(),
            last_exposed_at: ms(0),
            ended_at: None,
            stored: None,
            order: Order { service, to: "v2".to_owned(), duration: ms(30_000) },
            reports: BTreeMap::new(),
            history: History::default(),
            phase_since: None,
            sent: BTreeMap::new(),
            endpoints,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub(crate) fn phase(&self) -> Option<Phase> {
        self.stored.as_ref().map(|record| record.phase)
    }

    pub(crate) fn reason(&self) -> &str {
        self.stored.as_ref().map_or("", |record| &record.reason)
    }

    /// Orders the roll-out, as three readers of the store learn at once.
    pub(crate) fn order(&mut self, duration: Duration) {
        self.order.duration = duration;
        for gateway in self.gateways.iter_mut().take(3) {
            gateway.on_order(self.now, PLAIN_SERVICE, Some(self.order.clone()), 1);
        }
        (self.requests, self.exposed) = (0, 0);
    }

    /// Plays requests until `until`; `answer` is how endpoints answer them.
    pub(crate) fn run(
        &mut self,
        until: Duration,
        per_s: f64,
        mut answer: impl FnMut(Sent<'_>) -> Answer,
    ) {
        while self.now < until {
            self.now += STEP;
            let count = per_s * STEP.as_secs_f64() + self.random.random::<f64>();
            for _ in 0..count as usize {
                self.request(&mut answer);
            }
            if self.now.as_millis().is_multiple_of(REPORT_INTERVAL.as_millis()) {
                self.exchange_reports();
                self.decide();
            }
        }
    }

    fn request(&mut self, answer: &mut impl FnMut(Sent<'_>) -> Answer) {
        self.requests += 1;
        let index = self.random.random_range(0..self.gateways.len());
        let route = ROUTES[self.random.random_range(0..ROUTES.len())];
        let gateway = &mut self.gateways[index];
        let mut choice = gateway.choose(self.now, PLAIN_SERVICE, true);
        let mut allowed = gateway.allowed(self.now, &self.endpoints, PLAIN_SERVICE, choice);
        if choice == Choice::New && allowed.as_ref().is_some_and(BTreeSet::is_empty) {
            choice = Choice::Old;
            allowed = gateway.allowed(self.now, &self.endpoints, PLAIN_SERVICE, choice);
        }
        let all = || self.endpoints.iter().map(|endpoint| endpoint.entry.id.clone()).collect();
        let allowed: Vec<String> = allowed.map_or_else(all, |ids| ids.into_iter().collect());
        let Some(id) = allowed.get(self.random.random_range(0..allowed.len().max(1))) else {
            return;
        };
        let endpoint = self.endpoints.get(id).unwrap();
        let is_new = endpoint.entry.version == "v2";
        gateway.on_sent(PLAIN_SERVICE, &endpoint.entry.version);
        let now = self.now;
        let sent = self.sent.entry(id.clone()).or_default();
        sent.retain(|&at| now < at + ms(1_000));
        sent.push(now);
        let (load, random) = (sent.len(), self.random.random());
        let (is_failed, factor) = answer(Sent { is_new, route, at: now, load, random });
        if is_new {
            self.exposed += 1;
            self.last_exposed_at = now;
        }
        if is_new && (is_failed || factor >= 2.0) {
            self.bad_at.push(now);
        }
        let noise = self.random.random_range(-0.4_f64..0.4).exp();
        let time = USUAL_TIME.mul_f64(factor * noise);
        let ending = if is_failed { Ending::Failed } else { Ending::Answered };
        let first_event_time = (!is_failed).then_some(time);
        let seen = Observation { route, prompt: None, ending, first_event_time, total_time: time };
        gateway.on_observation(now, endpoint, &seen);
    }

    /// Reports of all gateways to the holder, and of the holder to all.
    fn exchange_reports(&mut self) {
        let holder = self.holder;
        for index in 0..self.gateways.len() {
            if index != holder && !self.random.random_bool(self.lost) {
                let report = self.gateways[index].to_report(self.now);
                self.gateways[holder].on_report(self.now, &report);
                self.reports.insert(index, report);
            }
        }
        if !self.is_store_down {
            self.gateways[holder].grant(self.now, PLAIN_SERVICE);
        }
        let report = self.gateways[holder].to_report(self.now);
        for index in 0..self.gateways.len() {
            if index != holder && !self.random.random_bool(self.lost) {
                self.gateways[index].on_report(self.now, &report);
            }
        }
        self.reports.remove(&holder);
    }

    fn decide(&mut self) {
        let holder = &self.gateways[self.holder];
        let rows = self.reports.values().flatten();
        let evidence: Evidence = holder.evidence(PLAIN_SERVICE, rows);
        let recent = self.history.recent(self.now, BOUNDS.rollback_delay, &evidence);
        let known = holder.record(PLAIN_SERVICE);
        let revision = known.map_or(0, |record| record.revision);
        let behind = self.reports.values().flatten().filter(|row| row.revision < revision);
        let capacity = |version: &str| {
            let endpoints = self.endpoints.iter();
            let of_version = endpoints.filter(|endpoint| endpoint.entry.version == version);
            of_version.map(|endpoint| endpoint.entry.capacity).sum()
        };
        let next = plan::next(&View {
            unix_time: self.now,
            bounds: BOUNDS,
            order: holder.order(PLAIN_SERVICE),
            withdrawn_for: holder.withdrawn_at(PLAIN_SERVICE).map(|at| self.now - at),
            record: known,
            evidence: &evidence,
            recent: &recent,
            new_capacity: capacity("v2"),
            old_capacity: capacity("v1"),
            old_versions: BTreeSet::from(["v1".to_owned()]),
            old_requests: 0,
            gateways_behind: behind.count() as u32,
            phase_age: self.phase_since.map(|since| self.now - since),
        });
        let Some(next) = next.filter(|_| !self.is_store_down) else { return };
        self.phase_since = Some(self.now);
        if next.phase.is_final() {
            self.ended_at = Some(self.now);
        }
        self.stored = Some(next.clone());
        self.gateways[self.holder].on_record(next);
    }
}
