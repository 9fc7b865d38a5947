//! The release in force: routes, services, limits and organisations.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use xxhash_rust::xxh3;

/// Unique name of a service within a release.
pub type ServiceName = String;

/// Index of an organisation in [`Release::organisations`].
pub type OrganisationIndex = usize;

/// Rank among requests that wait for the same endpoints; 0 is the highest.
pub type Priority = u32;

/// One version of the operator's configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Release {
    /// Version number; a higher one replaces a lower one.
    pub version: u64,
    /// Routes, in any order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Limits on callers' connections and requests.
    pub limits: Limits,
    /// Organisations. If there are none, no route requires a key.
    pub organisations: Vec<Organisation>,
    /// Organisation of each API key.
    pub keys: HashMap<String, OrganisationIndex>,
}

/// Destination and limits of the requests to one host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name used in logs.
    pub name: String,
    /// Host that callers name, without a port; compared regardless of case.
    pub host: String,
    /// Prefix of the path, with a leading and a trailing slash.
    pub path_prefix: String,
    /// Whether requests may be repeated and whether answers are streams.
    pub kind: RouteKind,
    /// Maximum time for a request; a caller's shorter deadline takes precedence.
    pub timeout: Duration,
    /// Expected time to the answer or to a stream's first event.
    pub latency_target: Duration,
    /// Expected maximum pause between two events of a stream.
    pub gap_target: Duration,
    /// Services that share the requests, by weight.
    pub destinations: Vec<Destination>,
    /// Maximum number of endpoints that may run one request.
    pub max_attempts: u32,
    /// Priority of its requests; `None` if it has none.
    pub priority: Option<Priority>,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// How the requests of a route may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    AtMostOnce,
    /// The answer is an event stream.
    Stream {
        /// Whether another endpoint can continue the stream after the last event.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Stream { is_resumable: true })
    }

    /// Whether the answers are event streams.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// Service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// Name of the service.
    pub service: ServiceName,
    /// Share relative to the weights of the route's other destinations.
    pub weight: u32,
}

/// Limits of a service and the scaling of its replicas.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Maximum connections that one endpoint accepts from all clients together.
    pub max_connections: u32,
    /// Scaling policy; `None` if replicas are not ordered for the service.
    pub scaling: Option<ScalingPolicy>,
    /// Memory for prompts; `None` if its endpoints do not tell what they hold.
    pub prompt_memory: Option<PromptMemory>,
}

/// Memory of an endpoint for the prompts that it has read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptMemory {
    /// Tokens that it holds at most.
    pub capacity_tokens: u64,
}

/// Bounds and prices for the replicas of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ScalingPolicy {
    /// Minimum number of replicas per data centre.
    pub min_replicas: u32,
    /// Maximum number of replicas per data centre.
    pub max_replicas: u32,
    /// Time from an order until the replica serves requests.
    pub boot_time: Duration,
    /// Price of a reclaimable replica relative to an on-demand one; `None` if there are none.
    pub reclaimable_price: Option<f64>,
    /// Relative price of a replica, by data centre.
    pub prices: BTreeMap<String, f64>,
}

/// Limits on connections and requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum length of a request head.
    pub max_header_bytes: usize,
    /// Maximum length of a request body.
    pub max_body_bytes: usize,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Organisation that pays for requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Unique name.
    pub name: String,
    /// Quota; `None` if unlimited.
    pub quota: Option<Quota>,
    /// Priority of its requests, which takes precedence over that of routes; `None` if it has none.
    pub priority: Option<Priority>,
}

/// Limit on the demand of an organisation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Rate at which the quota refills.
    pub units_per_s: f64,
    /// Maximum balance, available at once.
    pub burst_units: f64,
    /// What a unit is.
    pub unit: Unit,
}

/// Unit that a quota counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Unit {
    /// One unit per request.
    Requests,
    /// One unit per token of the prompt and of the maximum answer.
    Tokens {
        /// Units of a request that states no token counts.
        unnamed_tokens: f64,
    },
}

impl Release {
    /// Route with the longest matching path prefix among those of `host`; a port in `host` is
    /// ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Organisation that holds `key`.
    pub fn organisation_of(&self, key: &str) -> Option<&Organisation> {
        self.keys.get(key).map(|&index| &self.organisations[index])
    }
}

impl Route {
    /// Service that a request goes to; equal `attempt_id`s get the same service. `None` without
    /// destinations.
    pub fn service_for(&self, attempt_id: &str) -> Option<&ServiceName> {
        let total_weight: u64 =
            self.destinations.iter().map(|destination| u64::from(destination.weight)).sum();
        if total_weight == 0 {
            return self.destinations.first().map(|destination| &destination.service);
        }
        let mut point = xxh3::xxh3_64(attempt_id.as_bytes()) % total_weight;
        for destination in &self.destinations {
            let weight = u64::from(destination.weight);
            if point < weight {
                return Some(&destination.service);
            }
            point -= weight;
        }
        None
    }
}
