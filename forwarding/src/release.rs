//! The release in force: routes, services, limits and organisations.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use xxhash_rust::xxh3;

/// Name of a service.
pub type ServiceName = String;

/// Index of an organisation in [`Release::organisations`].
pub type OrganisationIndex = usize;

/// Everything one version of the configuration says.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Release {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes, in no order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Limits on callers.
    pub limits: Limits,
    /// Organisations; none means that no key is asked for.
    pub organisations: Vec<Organisation>,
    /// Organisation of each key.
    pub keys: HashMap<String, OrganisationIndex>,
}

/// Where requests of one host and path prefix go.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Beginning of the paths, with a slash at both ends.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time to keep a caller waiting.
    pub timeout: Duration,
    /// Time to the answer, or a stream's first event, that callers expect.
    pub latency_target: Duration,
    /// Longest pause between events that callers expect.
    pub gap_target: Duration,
    /// Services by weight.
    pub destinations: Vec<Destination>,
    /// Most endpoints that one request may run on.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// What may be done twice with a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run again.
    Idempotent,
    /// Runs once at most.
    AtMostOnce,
    /// An event stream, which another endpoint may continue where `is_resumable`.
    Stream {
        /// Whether another endpoint may go on after the last event.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Stream { is_resumable: true })
    }

    /// Whether answers are event streams.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// Service.
    pub service: ServiceName,
    /// Share relative to the route's other destinations.
    pub weight: u32,
}

/// Endpoints behind one name.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Connections that one endpoint accepts from all callers.
    pub max_connections: u32,
    /// Bounds on its replicas where they are ordered.
    pub scaling: Option<ScalingPolicy>,
}

/// Bounds and prices of a service's replicas, for each data centre.
#[derive(Debug, Clone, PartialEq)]
pub struct ScalingPolicy {
    /// Fewest replicas in a data centre.
    pub min_replicas: u32,
    /// Most replicas in a data centre.
    pub max_replicas: u32,
    /// Time from an order until a replica serves.
    pub boot_time: Duration,
    /// Price of a reclaimable replica relative to an ordinary one, if there are any.
    pub reclaimable_price: Option<f64>,
    /// Relative price of a replica by data centre.
    pub prices: BTreeMap<String, f64>,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest request head, in bytes.
    pub max_header_bytes: usize,
    /// Longest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time a connection may be idle.
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

/// Who pays for requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Name.
    pub name: String,
    /// Quota, if it has one.
    pub quota: Option<Quota>,
}

/// Most that an organisation may ask for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Units a second.
    pub units_per_s: f64,
    /// Units beyond the rate that may be asked for at once.
    pub burst_units: f64,
    /// What is counted.
    pub unit: Unit,
}

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens; a request that names none counts as `unnamed_tokens`.
    Tokens {
        /// Tokens of a request without a count of its own.
        unnamed_tokens: f64,
    },
}

impl Release {
    /// The route of `host` whose prefix is the longest that `path` begins with.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// The organisation that holds `key`.
    pub fn organisation_of(&self, key: &str) -> Option<&Organisation> {
        self.keys.get(key).map(|&index| &self.organisations[index])
    }
}

impl Route {
    /// The service for a request; requests of one `attempt_id` always get the same.
    pub fn service_for(&self, attempt_id: &str) -> Option<&ServiceName> {
        let total: u64 = self.destinations.iter().map(|each| u64::from(each.weight)).sum();
        if total == 0 {
            return self.destinations.first().map(|each| &each.service);
        }
        let mut left = xxh3::xxh3_64(attempt_id.as_bytes()) % total;
        for destination in &self.destinations {
            let weight = u64::from(destination.weight);
            if left < weight {
                return Some(&destination.service);
            }
            left -= weight;
        }
        None
    }
}
