//! Test values shared by several tests.
#![allow(dead_code)]

pub(crate) mod fleet_load;
pub(crate) mod quota_fleet;
pub(crate) mod rollout_fleet;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use forwarding::endpoints::Entry;
use forwarding::prompt_suspects::SharedParts;
use forwarding::quota::QuotaBounds;
use forwarding::release::{
    Destination, Limits, Organisation, Quota, Release, Route, RouteKind, Service, Unit,
};
use forwarding::request::{Prompt, PromptPart, Request};
use forwarding::settings::{Bounds, Settings};

pub(crate) const MODEL_SERVICE: &str = "writers";
pub(crate) const PLAIN_SERVICE: &str = "desk";

/// Allowed excess over quotas.
pub(crate) const QUOTA_BOUNDS: QuotaBounds =
    QuotaBounds { window: Duration::from_secs(8), overshoot: 0.1, slack_units: 72_000.0 };

pub(crate) const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

pub(crate) fn settings(name: &str) -> Settings {
    Settings {
        name: name.to_owned(),
        data_centre: "north".to_owned(),
        caller_address: "127.0.0.1:1".parse().unwrap(),
        readiness_address: "127.0.0.1:2".parse().unwrap(),
        metrics_address: "127.0.0.1:3".parse().unwrap(),
        peer_ip: "127.0.0.1".parse().unwrap(),
        peer_port: 4,
        store_address: "127.0.0.1:5".parse().unwrap(),
        duty_address: None,
        reports_usage: true,
        orders_replicas: true,
        memory_bytes: 1 << 28,
        max_fds: 4_096,
        heartbeat_interval: ms(1_200),
        bounds: Bounds { retry_slack: 56.0, quota: QUOTA_BOUNDS, ..Bounds::default() },
    }
}

pub(crate) fn entry(id: &str, service: &str, process_start_ms: u64, sequence: u64) -> Entry {
    Entry {
        id: id.to_owned(),
        service: service.to_owned(),
        address: "127.0.0.1:9000".parse().unwrap(),
        data_centre: "north".to_owned(),
        version: "v1".to_owned(),
        capacity: 6,
        is_leaving: false,
        is_reclaimable: false,
        warm_up: Duration::ZERO,
        process_start_ms,
        sequence,
    }
}

pub(crate) fn prompt(shared: u64, own_tokens: u32) -> Prompt {
    let parts = vec![
        PromptPart { id: 1, tokens: 2_500 },
        PromptPart { id: shared, tokens: 3_700 },
        PromptPart { id: 1 << 40, tokens: own_tokens },
    ];
    Prompt { input_tokens: 6_200 + u64::from(own_tokens), max_output_tokens: 50, parts }
}

/// Parts of a prompt of `service` that has these parts and one of its own.
pub(crate) fn shared_parts(service: &str, ids: &[u64]) -> SharedParts {
    let own = PromptPart { id: u64::MAX, tokens: 10 };
    let parts = ids.iter().map(|&id| PromptPart { id, tokens: 100 }).chain([own]);
    SharedParts::new(service, &Prompt { parts: parts.collect(), ..Prompt::default() })
}

pub(crate) fn organisation(name: &str, units_per_s: f64) -> Organisation {
    let unit = Unit::Tokens { unnamed_tokens: 200.0 };
    let quota = Quota { units_per_s, burst_units: units_per_s, unit };
    Organisation { name: name.to_owned(), quota: Some(quota), priority: None }
}

pub(crate) fn route(path_prefix: &str, kind: RouteKind, service: &str) -> Route {
    Route {
        name: path_prefix.to_owned(),
        host: "host.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind,
        timeout: ms(5_000),
        latency_target: ms(500),
        gap_target: ms(300),
        destinations: vec![Destination { service: service.to_owned(), weight: 1 }],
        max_attempts: 2,
        priority: None,
        is_public: false,
    }
}

pub(crate) fn release(version: u64) -> Release {
    let service = Service { max_connections: 100, scaling: None, prompt_memory: None };
    Release {
        version,
        routes: vec![
            route("/write/", RouteKind::Stream { is_resumable: true }, MODEL_SERVICE),
            route("/answer/", RouteKind::Stream { is_resumable: false }, MODEL_SERVICE),
            route("/order/", RouteKind::AtMostOnce, PLAIN_SERVICE),
            route("/look/", RouteKind::Idempotent, PLAIN_SERVICE),
        ],
        services: BTreeMap::from([
            (MODEL_SERVICE.to_owned(), service.clone()),
            (PLAIN_SERVICE.to_owned(), service),
        ]),
        limits: Limits::default(),
        organisations: vec![organisation("acme", 100_000.0)],
        keys: HashMap::from([("key".to_owned(), 0)]),
    }
}

pub(crate) fn request(attempt_id: &str, path: &str) -> Request {
    Request {
        attempt_id: attempt_id.to_owned(),
        host: "host.example".to_owned(),
        path: path.to_owned(),
        time_left: Some(ms(1_000)),
        key: Some("key".to_owned()),
        prompt: None,
        last_event_id: None,
    }
}
