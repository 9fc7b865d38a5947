//! The pieces that a replay moves: nodes, engines and what is between them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rhubarbrock::{admission, dispatch, endpoint, fairness, id, routing};
use standins::{cache, engine};

use crate::baseline;
use crate::trace::Request;
use crate::workload::Deployment;

/// How stale the nodes' views are.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Staleness {
    /// Time between two load reports of an engine.
    pub(crate) load_interval: Duration,
    /// Age of a load report when it comes.
    pub(crate) load_lag: Duration,
    /// Age of a cache event when it comes; none for no events.
    pub(crate) cache_lag: Option<Duration>,
    /// Cache events lost, in percent.
    pub(crate) cache_gap_percent: u32,
    /// When the list goes down, endpoints crash unannounced, and the list is back.
    pub(crate) outage: Option<Outage>,
}

/// The list is down while some endpoints go away without notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Outage {
    pub(crate) from: Duration,
    pub(crate) crash_at: Duration,
    pub(crate) to: Duration,
    /// Endpoints that crash, from the first.
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

/// What is replayed how.
#[derive(Debug, Clone)]
pub(crate) struct Setup {
    pub(crate) deployment: Deployment,
    pub(crate) policy: baseline::Policy,
    pub(crate) settings: dispatch::Settings,
    /// Whether organisations are told apart.
    pub(crate) is_fair: bool,
    /// Whether deadlines are looked at before dispatch.
    pub(crate) admits: bool,
    pub(crate) nodes: usize,
    /// Node that an organisation's requests come through; none for any.
    pub(crate) pinned: Option<fn(usize) -> usize>,
    pub(crate) staleness: Staleness,
    /// Time after the last arrival at which a replay ends, whatever is open.
    pub(crate) drain: Duration,
    pub(crate) seed: u64,
}

impl Setup {
    pub(crate) fn new(deployment: Deployment, policy: baseline::Policy, seed: u64) -> Setup {
        Setup {
            deployment,
            policy,
            settings: dispatch::Settings::default(),
            is_fair: true,
            admits: true,
            nodes: 3,
            pinned: None,
            staleness: Staleness::default(),
            drain: Duration::from_secs(60),
            seed,
        }
    }

    /// Data centre of a node or engine by its index.
    pub(crate) fn data_centre(&self, index: usize) -> usize {
        index % 3
    }

    /// Delay between a node and an engine, one way.
    pub(crate) fn delay(&self, node: usize, engine: usize) -> Duration {
        let is_near = self.data_centre(node) == self.data_centre(engine);
        let delay_us = if is_near { 300 } else { self.deployment.delay_us() };
        Duration::from_micros(delay_us)
    }

    /// Node that takes a request.
    pub(crate) fn entry(&self, request: &Request) -> usize {
        let any = request.balancer as usize;
        self.pinned.map_or(any, |pinned| pinned(request.organisation)) % self.nodes
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

/// One node.
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
        if !setup.admits {
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

/// One engine and the attempts that run there.
pub(crate) struct Engine {
    pub(crate) engine: engine::Engine,
    pub(crate) is_gone: bool,
    pub(crate) sequence: u64,
    /// Raised with each planned wake, so that an older one is ignored.
    pub(crate) wake: u64,
    pub(crate) attempts: HashMap<engine::AttemptId, Running>,
}

/// An attempt at an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Running {
    pub(crate) node: usize,
    pub(crate) attempt: id::AttemptId,
    pub(crate) request: usize,
    pub(crate) last_token_at: Option<Duration>,
    /// Tokens at the last progress mark.
    pub(crate) marked_tokens: u32,
}

impl Engine {
    pub(crate) fn new() -> Engine {
        Engine {
            engine: engine::Engine::new(engine::Settings::default()),
            is_gone: false,
            sequence: 0,
            wake: 0,
            attempts: HashMap::new(),
        }
    }
}

/// What a node hears of an attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Signal {
    FirstToken,
    Progress { tokens: u32 },
    Done { answer_tokens: u32 },
    Failed { failure: routing::Failure },
}

/// What happens next.
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

/// Events in order of their times, then of their making.
#[derive(Debug, Default)]
pub(crate) struct Agenda {
    events: BTreeMap<(Duration, u64), Event>,
    made: u64,
}

impl Agenda {
    pub(crate) fn add(&mut self, at: Duration, event: Event) {
        self.made += 1;
        self.events.insert((at, self.made), event);
    }

    pub(crate) fn next(&mut self) -> Option<(Duration, Event)> {
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }
}
