//! Settings of endpoint selection.

use std::time::Duration;

use crate::{cache, health, limit};

/// Settings of a [`Router`](super::Router).
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Highest load of an endpoint that may be chosen, as a multiple of the mean load.
    pub load_bound: f64,
    /// Requests allowed in addition to `load_bound` times the mean load; at least 1 is used.
    pub load_slack: f64,
    /// Endpoints of a service whose load this node tracks.
    pub subset_size: usize,
    /// Number of endpoints on which requests with the same shared prefix are concentrated.
    pub shared_prefix_endpoints: usize,
    /// Cost added per rank among those endpoints, so that the highest ranked fill up first.
    pub shared_prefix_rank_cost: Duration,
    /// Whether a dialogue's home endpoint (the highest ranked for its hash) is preferred.
    pub prefers_home: bool,
    /// Share of a dialogue's previous turns expected in its home endpoint's cache, 0 to 1.
    pub home_cache_share: f64,
    /// Share of an endpoint's limit that requests with [`Query::leaves_headroom`](super::Query::leaves_headroom) may use, 0 to 1.
    pub usable_limit_share: f64,
    /// Weight of computing a prompt token, relative to waiting for one: it slows other requests.
    pub prefill_weight: f64,
    /// Cost per request already at an endpoint.
    pub request_cost: Duration,
    /// Cost of twice the lowest price (linear in the excess) under the objective `Cost`.
    pub cost_objective_price_cost: Duration,
    /// Cost of twice the lowest price (linear in the excess) under the objective `Latency`.
    pub latency_objective_price_cost: Duration,
    /// Cost of another data centre whose round-trip time is not set.
    pub unknown_distance_cost: Duration,
    /// Cost of an endpoint that has not answered within `max_list_age` while the list is stale.
    pub unconfirmed_cost: Duration,
    /// Age up to which a load report is used.
    pub max_load_age: Duration,
    /// Age beyond which the list counts as stale.
    pub max_list_age: Duration,
    /// How long a peer's report that an endpoint is unreachable stays valid.
    pub unreachable_duration: Duration,
    /// A report taken this much later than the last one replaces it even if its sequence is
    /// lower, because the endpoint has restarted.
    pub restart_gap: Duration,
    /// Ejection after failed requests of this node.
    pub health: health::Settings,
    /// Adaptive concurrency limit of each endpoint.
    pub limit: limit::Settings,
    /// Prefix cache index.
    pub cache: cache::Settings,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            load_bound: 1.25,
            load_slack: 6.0,
            subset_size: 64,
            shared_prefix_endpoints: 6,
            shared_prefix_rank_cost: Duration::from_micros(1500),
            prefers_home: true,
            home_cache_share: 0.8,
            usable_limit_share: 0.75,
            prefill_weight: 4.0,
            request_cost: Duration::from_micros(1500),
            cost_objective_price_cost: Duration::from_millis(20),
            latency_objective_price_cost: Duration::ZERO,
            unknown_distance_cost: Duration::from_millis(10),
            unconfirmed_cost: Duration::from_millis(500),
            max_load_age: Duration::from_secs(5),
            max_list_age: Duration::from_secs(30),
            unreachable_duration: Duration::from_secs(5),
            restart_gap: Duration::from_secs(10),
            health: health::Settings::default(),
            limit: limit::Settings::default(),
            cache: cache::Settings::default(),
        }
    }
}

impl Settings {
    /// Sets the load bound (a multiple of the mean, at least 1) and the requests added to it.
    pub fn load_bound(mut self, bound: f64, slack: f64) -> Settings {
        self.load_bound = bound.max(1.0);
        self.load_slack = slack.max(0.0);
        self
    }

    /// Sets the number of endpoints of a service whose load is tracked, at least 1.
    pub fn subset_size(mut self, endpoints: usize) -> Settings {
        self.subset_size = endpoints.max(1);
        self
    }

    /// Sets whether a dialogue's home endpoint is preferred, and the share (0 to 1) of previous
    /// turns expected in its cache.
    pub fn home_preference(mut self, prefers: bool, cache_share: f64) -> Settings {
        self.prefers_home = prefers;
        self.home_cache_share = cache_share.clamp(0.0, 1.0);
        self
    }

    /// Sets the cost per request already at an endpoint.
    pub fn request_cost(mut self, cost: Duration) -> Settings {
        self.request_cost = cost;
        self
    }

    /// Sets the cost of twice the lowest price, as waiting time, under the objectives `Cost` and
    /// `Latency`.
    pub fn price_cost(mut self, cost_objective: Duration, latency_objective: Duration) -> Settings {
        self.cost_objective_price_cost = cost_objective;
        self.latency_objective_price_cost = latency_objective;
        self
    }

    /// Sets the default target for the time between two tokens.
    pub fn interval_target(mut self, target: Duration) -> Settings {
        self.limit.interval_target = target;
        self
    }

    /// Sets the ages up to which load reports and the list are used.
    pub fn max_ages(mut self, load: Duration, list: Duration) -> Settings {
        self.max_load_age = load;
        self.max_list_age = list;
        self
    }
}
