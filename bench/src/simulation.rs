//! Parts of the discrete-event simulation behind a replay: setup, nodes, engines and event queue.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rhubarbrock::{admission, dispatch, endpoint, fairness, id, routing};
use standins::{cache, engine};

use crate::baseline;
use crate::trace::Request;
use crate::workload::Deployment;

/// Delays and losses of the information that nodes have about endpoints.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Staleness {
    /// Interval between two load reports of an engine.
    pub(crate) load_interval: Duration,
    /// Age of a load report on arrival.
    pub(crate) load_lag: Duration,
    /// Age of a cache event on arrival; `None` if no cache events are sent.
    pub(crate) cache_lag: Option<Duration>,
    /// Share of cache events that are lost, in percent.
    pub(crate) cache_gap_percent: u32,
    /// Outage of the instance list, if there is one.
    pub(crate) outage: Option<Outage>,
}

/// Outage of the instance list, during which some endpoints crash; times count from the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Outage {
    pub(crate) from: Duration,
    pub(crate) crash_at: Duration,
    pub(crate) to: Duration,
    /// Number of endpoints that crash, counted from the first.
    pub(crate) crashes: usize,
}

impl Default for Staleness {
    fn default() -> Staleness {
        Staleness {
            load_interval: Duration::from_millis(250),
            load_lag: Duration::from_millis(250),
            cache_lag: Some(Duration::from_millis(1000)),
            cache_gap_percent: 5,
            outage: None,
        }
    }
}

/// Configuration of a replay.
#[derive(Debug, Clone)]
pub(crate) struct Setup {
    pub(crate) deployment: Deployment,
    pub(crate) policy: baseline::Policy,
    pub(crate) settings: dispatch::Settings,
    /// Whether the queue tells organisations apart; otherwise all requests count as one organisation.
    pub(crate) is_fair: bool,
    /// Whether admission refuses requests that cannot meet their deadline.
    pub(crate) enforces_deadlines: bool,
    pub(crate) nodes: usize,
    /// Maps an organisation to the node that receives its requests; `None` for any node.
    pub(crate) pinned: Option<fn(usize) -> usize>,
    pub(crate) staleness: Staleness,
    /// Time after the last arrival at which a replay ends, even with unfinished requests.
    pub(crate) max_drain: Duration,
    pub(crate) seed: u64,
}

impl Setup {
    pub(crate) fn new(deployment: Deployment, policy: baseline::Policy, seed: u64) -> Setup {
        Setup {
            deployment,
            policy,
            settings: dispatch::Settings::default(),
            is_fair: true,
            enforces_deadlines: true,
            nodes: 3,
            pinned: None,
            staleness: Staleness::default(),
            max_drain: Duration::from_secs(60),
            seed,
        }
    }

    /// Index of the data centre of a node or engine.
    pub(crate) fn data_centre(&self, index: usize) -> usize {
        index % 3
    }

    /// One-way delay between a node and an engine.
    pub(crate) fn one_way_delay(&self, node: usize, engine: usize) -> Duration {
        let is_same_data_centre = self.data_centre(node) == self.data_centre(engine);
        let delay_us = if is_same_data_centre { 300 } else { self.deployment.delay_us() };
        Duration::from_micros(delay_us)
    }

    /// Index of the node that receives a request.
    pub(crate) fn entry_node(&self, request: &Request) -> usize {
        let drawn = request.balancer as usize;
        self.pinned.map_or(drawn, |pinned| pinned(request.organisation)) % self.nodes
    }

    pub(crate) fn organisation(&self, index: usize) -> String {
        if self.is_fair { format!("organisation-{index}") } else { "all".to_owned() }
    }

    pub(crate) fn listing(&self, engine: usize) -> endpoint::Listing {
        endpoint::Listing {
            endpoint: engine as u64 + 1,
            service: self.deployment.service().to_owned(),
            data_centre: self.deployment.data_centres()[self.data_centre(engine)].to_owned(),
            class: "small".to_owned(),
            address: String::new(),
            market: endpoint::Market::Reclaimable,
            price_per_hour: 1.0,
            state: endpoint::ListedState::Live,
        }
    }
}

/// A node's dispatcher and the policy that chooses its endpoints.
pub(crate) struct Node {
    pub(crate) dispatcher: dispatch::Dispatcher,
    pub(crate) baseline: baseline::Baseline,
}

impl Node {
    pub(crate) fn new(setup: &Setup, index: usize) -> Node {
        let data_centres = setup.deployment.data_centres();
        let data_centre = data_centres[setup.data_centre(index)];
        let id = index as id::NodeId + 1;
        let mut dispatcher = dispatch::Dispatcher::new(id, data_centre, setup.settings.clone());
        if !setup.enforces_deadlines {
            dispatcher.admission = admission::Admission::ignoring_deadlines();
        }
        let limits = admission::ServiceLimits { max_queue: 100_000, deadline: None };
        dispatcher.admission.set_limits(setup.deployment.service(), limits);
        dispatcher.router.set_node_count(setup.nodes);
        let round_trip = Duration::from_micros(2 * setup.deployment.delay_us());
        for other in data_centres.iter().filter(|other| **other != data_centre) {
            dispatcher.router.set_round_trip(other, round_trip);
        }
        let rng = ChaCha8Rng::seed_from_u64(setup.seed * 1000 + index as u64);
        Node { dispatcher, baseline: baseline::Baseline::new(setup.policy, rng) }
    }
}

/// A simulated engine and the attempts that run on it.
pub(crate) struct Engine {
    pub(crate) engine: engine::Engine,
    pub(crate) has_crashed: bool,
    pub(crate) sequence: u64,
    /// Number of the last scheduled wake; earlier wakes are ignored.
    pub(crate) wake: u64,
    pub(crate) attempts: HashMap<engine::AttemptId, RunningAttempt>,
}

/// An attempt that runs on an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunningAttempt {
    pub(crate) node: usize,
    pub(crate) attempt: id::AttemptId,
    pub(crate) request: usize,
    pub(crate) last_token_at: Option<Duration>,
    /// Tokens at the last progress report.
    pub(crate) reported_tokens: u32,
}

impl Engine {
    pub(crate) fn new() -> Engine {
        Engine {
            engine: engine::Engine::new(engine::Settings::default()),
            has_crashed: false,
            sequence: 0,
            wake: 0,
            attempts: HashMap::new(),
        }
    }
}

/// What an engine reports to a node about an attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Signal {
    FirstToken,
    Progress { tokens: u32 },
    Done { answer_tokens: u32 },
    Failed { failure: routing::Failure },
}

/// An event of the simulation.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    Arrive { request: usize },
    Submit { node: usize, engine: usize, attempt: id::AttemptId, request: usize },
    Wake { engine: usize, wake: u64 },
    Signal { node: usize, attempt: id::AttemptId, request: usize, signal: Signal },
    Sample,
    Load { engine: usize, report: endpoint::LoadReport },
    Cache { engine: usize, change: cache::Change },
    Tick,
    List,
    Digest,
    Usage { node: usize, usages: Vec<fairness::Usage> },
    Crash { engines: usize },
}

/// Pending events, ordered by time and then by the order of scheduling.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    events: BTreeMap<(Duration, u64), Event>,
    scheduled: u64,
}

impl EventQueue {
    pub(crate) fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    pub(crate) fn next(&mut self) -> Option<(Duration, Event)> {
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }
}
