//! Simulation of the quarantine of a poison request: one that crashes every endpoint on which it
//! runs, together with harmless co-batched requests. Nodes exchange digests of their suspects.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbrock::quarantine::{Config, Quarantine, Status};
use rhubarbrock_schema::peer;

use crate::Violation;

const POISON_FINGERPRINT: u64 = 1;
const STEP_INTERVAL: Duration = Duration::from_millis(100);
const NODES: usize = 3;
const ENDPOINTS: usize = 10;
const MAX_BATCH_REQUESTS: usize = 8;
const MIN_CRASHES: usize = 2;
const QUARANTINE_TIME: Duration = Duration::from_secs(60);
const RESTART_TIME: Duration = Duration::from_secs(20);
/// Attempts of one accepted poison request before it fails and its caller sends it again.
const MAX_ATTEMPTS: u32 = 4;
/// Maximum number of suspects in one digest.
const MAX_DIGEST_SUSPECTS: usize = 16;
/// Time without new requests at the end, in which all harmless requests must be answered.
const DRAIN_TIME: Duration = Duration::from_secs(600);

/// Counts of one run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Steps of 100 ms.
    pub events: u64,
    /// Endpoints crashed by the poison request.
    pub lost_endpoints: u64,
    /// Number of times that the caller sent the poison request.
    pub poison_submissions: u64,
    /// Harmless requests that were answered.
    pub answered: u64,
    /// Harmless requests that were refused at least once because of a quarantine.
    pub wrongly_quarantined: u64,
}

impl Report {
    /// Adds another run's counts.
    pub fn add(&mut self, other: &Report) {
        self.events += other.events;
        self.lost_endpoints += other.lost_endpoints;
        self.poison_submissions += other.poison_submissions;
        self.answered += other.answered;
        self.wrongly_quarantined += other.wrongly_quarantined;
    }
}

#[derive(Debug, Clone, Copy)]
struct Request {
    fingerprint: u64,
    attempts: u32,
}

#[derive(Debug)]
struct Run {
    node: usize,
    request: Request,
    ends_at: Duration,
}

#[derive(Debug)]
struct Endpoint {
    id: u64,
    available_at: Duration,
    runs: Vec<Run>,
}

struct Simulation {
    rng: ChaCha8Rng,
    now: Duration,
    nodes: Vec<Quarantine>,
    queues: Vec<VecDeque<Request>>,
    endpoints: Vec<Endpoint>,
    digests_in_flight: Vec<(Duration, usize, Vec<peer::Suspect>)>,
    last_fingerprint: u64,
    last_endpoint_id: u64,
    next_poison_at: Duration,
    refusal_counts: BTreeMap<u64, u64>,
    report: Report,
}

/// Runs one simulation of this number of steps.
///
/// # Errors
///
/// The first violation of an invariant.
pub fn run(seed: u64, steps: u64) -> Result<Report, Violation> {
    let mut simulation = Simulation::new(seed);
    let broken = |event, description| Violation { seed, event, description };
    for event in 0..steps {
        simulation.step(true);
        simulation.check_losses().map_err(|description| broken(event, description))?;
    }
    let until = simulation.now + DRAIN_TIME;
    while simulation.now < until {
        simulation.step(false);
    }
    simulation.check_answers().map_err(|description| broken(steps, description))?;
    simulation.report.events = steps;
    Ok(simulation.report)
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let config = Config {
            min_crashes: MIN_CRASHES,
            initial_quarantine: QUARANTINE_TIME,
            max_quarantine: QUARANTINE_TIME,
            suspect_lifetime: QUARANTINE_TIME * 4,
            ..Config::default()
        };
        let endpoints = (0..ENDPOINTS as u64)
            .map(|id| Endpoint { id, available_at: Duration::ZERO, runs: Vec::new() })
            .collect();
        Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            nodes: (0..NODES).map(|_| Quarantine::new(config.clone())).collect(),
            queues: vec![VecDeque::new(); NODES],
            endpoints,
            digests_in_flight: Vec::new(),
            last_fingerprint: POISON_FINGERPRINT,
            last_endpoint_id: ENDPOINTS as u64,
            next_poison_at: Duration::from_secs(3),
            refusal_counts: BTreeMap::new(),
            report: Report::default(),
        }
    }

    fn step(&mut self, has_arrivals: bool) {
        self.now += STEP_INTERVAL;
        if has_arrivals {
            self.add_requests();
        }
        self.place_queued();
        self.finish_runs();
        self.exchange_digests();
        for node in &mut self.nodes {
            node.tick(self.now);
        }
    }

    fn add_requests(&mut self) {
        for _ in 0..self.rng.random_range(0..4) {
            self.last_fingerprint += 1;
            let node = self.rng.random_range(0..NODES);
            let request = Request { fingerprint: self.last_fingerprint, attempts: 0 };
            self.queues[node].push_back(request);
        }
        if self.now >= self.next_poison_at {
            self.next_poison_at = Duration::MAX;
            self.report.poison_submissions += 1;
            let node = self.rng.random_range(0..NODES);
            self.queues[node].push_back(Request { fingerprint: POISON_FINGERPRINT, attempts: 0 });
        }
        if self.rng.random_ratio(1, 2_000) {
            self.crash_half();
        }
    }

    /// Crashes half of the endpoints at once, independently of their requests.
    fn crash_half(&mut self) {
        for index in 0..ENDPOINTS / 2 {
            self.crash(index);
        }
    }

    fn place_queued(&mut self) {
        for node in 0..NODES {
            for _ in 0..self.queues[node].len() {
                let Some(request) = self.queues[node].pop_front() else { break };
                self.place_request(node, request);
            }
        }
    }

    fn place_request(&mut self, node: usize, request: Request) {
        let fingerprint = request.fingerprint;
        if let Status::Quarantined { .. } = self.nodes[node].status(self.now, fingerprint) {
            self.refuse(node, request);
            return;
        }
        let start = self.rng.random_range(0..ENDPOINTS);
        for step in 0..ENDPOINTS {
            let endpoint = &self.endpoints[(start + step) % ENDPOINTS];
            if endpoint.available_at > self.now || endpoint.runs.len() >= MAX_BATCH_REQUESTS {
                continue;
            }
            let own_fingerprints: Vec<u64> = endpoint
                .runs
                .iter()
                .filter(|run| run.node == node)
                .map(|run| run.request.fingerprint)
                .collect();
            if self.nodes[node].may_place(self.now, fingerprint, &own_fingerprints) {
                self.start(node, request, (start + step) % ENDPOINTS);
                return;
            }
        }
        self.queues[node].push_back(request);
    }

    fn start(&mut self, node: usize, request: Request, index: usize) {
        let time_ms = self.rng.random_range(300..3_000);
        let ends_at = self.now + Duration::from_millis(time_ms);
        let request = Request { attempts: request.attempts + 1, ..request };
        self.endpoints[index].runs.push(Run { node, request, ends_at });
    }

    /// Refuses a quarantined request. Its caller sends it again: the poison request after 2 s,
    /// others at once.
    fn refuse(&mut self, node: usize, request: Request) {
        if request.fingerprint == POISON_FINGERPRINT {
            self.next_poison_at = self.now + Duration::from_secs(2);
            return;
        }
        let refusals = self.refusal_counts.entry(request.fingerprint).or_default();
        if *refusals == 0 {
            self.report.wrongly_quarantined += 1;
        }
        *refusals += 1;
        self.queues[node].push_back(request);
    }

    fn finish_runs(&mut self) {
        for index in 0..ENDPOINTS {
            let now = self.now;
            let (ended, running): (Vec<Run>, Vec<Run>) =
                self.endpoints[index].runs.drain(..).partition(|run| run.ends_at <= now);
            self.endpoints[index].runs = running;
            let (poison, harmless): (Vec<Run>, Vec<Run>) =
                ended.into_iter().partition(|run| run.request.fingerprint == POISON_FINGERPRINT);
            for run in harmless {
                self.report.answered += 1;
                self.nodes[run.node].on_finished(now, run.request.fingerprint);
            }
            if !poison.is_empty() {
                self.endpoints[index].runs.extend(poison);
                self.report.lost_endpoints += 1;
                self.crash(index);
            }
        }
    }

    /// Crashes and restarts an endpoint. Every node learns of the crash with its own requests only,
    /// and queues them again.
    fn crash(&mut self, index: usize) {
        let id = self.endpoints[index].id;
        let runs = std::mem::take(&mut self.endpoints[index].runs);
        self.last_endpoint_id += 1;
        self.endpoints[index].id = self.last_endpoint_id;
        self.endpoints[index].available_at = self.now + RESTART_TIME;
        let nodes: BTreeSet<usize> = runs.iter().map(|run| run.node).collect();
        for node in nodes {
            let own_fingerprints: Vec<u64> = runs
                .iter()
                .filter(|run| run.node == node)
                .map(|run| run.request.fingerprint)
                .collect();
            self.nodes[node].on_crash(self.now, id, &own_fingerprints);
        }
        for run in runs {
            let is_poison = run.request.fingerprint == POISON_FINGERPRINT;
            if is_poison && run.request.attempts >= MAX_ATTEMPTS {
                self.next_poison_at = self.now + Duration::from_secs(2);
            } else {
                self.queues[run.node].push_back(run.request);
            }
        }
    }

    fn exchange_digests(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.digests_in_flight)
            .into_iter()
            .partition(|(at, _, _)| *at <= now);
        self.digests_in_flight = later;
        for (_, node, suspects) in due {
            self.nodes[node].on_peer_suspects(now, &suspects);
        }
        if !self.now.as_millis().is_multiple_of(1_000) {
            return;
        }
        for node in 0..NODES {
            let other = (node + self.rng.random_range(1..NODES)) % NODES;
            if self.rng.random_ratio(1, 10) {
                continue;
            }
            let at = now + Duration::from_millis(self.rng.random_range(100..500));
            self.digests_in_flight.push((
                at,
                other,
                self.nodes[node].digest(now, MAX_DIGEST_SUSPECTS),
            ));
        }
    }

    /// Checks the total number of lost endpoints: at most [`MIN_CRASHES`] for each node before it
    /// quarantines the request, and one more for each node and quarantine period since the start.
    fn check_losses(&self) -> Result<(), String> {
        let periods = (self.now.as_millis() / QUARANTINE_TIME.as_millis()) as u64;
        let nodes = NODES as u64;
        let bound = nodes * MIN_CRASHES as u64 + nodes * periods;
        if self.report.lost_endpoints > bound {
            return Err(format!(
                "{} endpoints lost, expected at most {bound}",
                self.report.lost_endpoints
            ));
        }
        Ok(())
    }

    fn check_answers(&self) -> Result<(), String> {
        let answered = self.report.answered;
        let expected = self.last_fingerprint - POISON_FINGERPRINT;
        if answered != expected {
            return Err(format!("{answered} of {expected} harmless requests answered"));
        }
        for (node, quarantine) in self.nodes.iter().enumerate() {
            for fingerprint in POISON_FINGERPRINT + 1..=self.last_fingerprint {
                let status = quarantine.status(self.now, fingerprint);
                if let Status::Quarantined { .. } = status {
                    return Err(format!(
                        "node {node} still quarantines harmless request {fingerprint}"
                    ));
                }
            }
        }
        Ok(())
    }
}
