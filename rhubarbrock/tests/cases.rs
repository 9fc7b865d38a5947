//! Replays recorded event traces and checks the routing decisions stated in them.

use std::path::Path;
use std::time::Duration;

use rhubarbrock::{endpoint, id, routing};
use serde::Deserialize;

const SERVICE: &str = "guide-writers";

/// One line of a trace.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    at_ms: u64,
    list: Option<List>,
    notice: Option<id::EndpointId>,
    load: Option<Load>,
    cache: Option<Cache>,
    send: Option<Send>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct List {
    /// Time at which the platform made the list, in seconds.
    taken_s: u64,
    live: Vec<id::EndpointId>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Load {
    endpoint: id::EndpointId,
    sequence: u64,
    running: u32,
    leaving: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Cache {
    endpoint: id::EndpointId,
    blocks: Vec<id::BlockHash>,
}

/// Request, and what its routing must result in.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Send {
    dialogue: u64,
    blocks: Vec<id::BlockHash>,
    /// Endpoint that must be chosen.
    endpoint: Option<id::EndpointId>,
    /// Endpoints that must not be chosen.
    not: Option<Vec<id::EndpointId>>,
    /// Rule by which the endpoint must be chosen.
    rule: Option<String>,
    /// Reason for which no endpoint must be found.
    lack: Option<String>,
    /// Whether the attempt then fails to connect.
    #[serde(default)]
    fail: bool,
}

fn listing(endpoint: id::EndpointId) -> endpoint::Listing {
    endpoint::Listing {
        endpoint,
        service: SERVICE.to_owned(),
        data_centre: "berkshire".to_owned(),
        class: "small".to_owned(),
        address: format!("127.0.0.1:{endpoint}"),
        market: endpoint::Market::Reclaimable,
        price_per_hour: 1.0,
        state: endpoint::ListedState::Live,
    }
}

fn replay(name: &str) -> usize {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases").join(name);
    let trace = std::fs::read_to_string(&path).unwrap();
    let mut router = routing::Router::new(1, "berkshire", routing::Settings::default());
    let mut sends = 0;
    for (index, text) in trace.lines().enumerate() {
        let line: Line = serde_json::from_str(text).unwrap();
        let location = format!("{name}:{}", index + 1);
        let now = Duration::from_millis(line.at_ms);
        if let Some(list) = line.list {
            let listings = list.live.into_iter().map(listing).collect();
            router.on_list(now, Duration::from_secs(list.taken_s), listings);
        }
        if let Some(endpoint) = line.notice {
            router.on_notice(now, endpoint);
        }
        if let Some(load) = line.load {
            let report = endpoint::LoadReport {
                sequence: load.sequence,
                running: load.running,
                waiting: 0,
                kv_used_percent: 0,
                queued_tokens: 0,
                leaving: load.leaving,
                age: Duration::ZERO,
            };
            router.on_load(now, load.endpoint, &report);
        }
        if let Some(cache) = line.cache {
            router.on_cache_event(now, cache.endpoint, &cache.blocks, &[]);
        }
        if let Some(sent) = line.send {
            sends += 1;
            send(&mut router, now, &location, sends, &sent);
        }
    }
    sends as usize
}

fn send(router: &mut routing::Router, now: Duration, location: &str, attempt: u64, sent: &Send) {
    let query = routing::Query {
        service: SERVICE,
        blocks: &sent.blocks,
        prompt_tokens: sent.blocks.len() as u32 * 16,
        dialogue: sent.dialogue,
        settled_tokens: 0,
        may_probe: true,
        leaves_headroom: false,
        exclude: &[],
    };
    let choice = match (router.choose(now, &query), &sent.lack) {
        (Ok(choice), None) => choice,
        (Err(none), Some(lack)) => return assert_eq!(none.reason.to_string(), *lack, "{location}"),
        (choice, lack) => panic!("{location}: {choice:?} but expected {lack:?}"),
    };
    if let Some(endpoint) = sent.endpoint {
        assert_eq!(choice.endpoint, endpoint, "{location}: {}", choice.reason);
    }
    let is_excluded = sent.not.as_ref().is_some_and(|not| not.contains(&choice.endpoint));
    assert!(!is_excluded, "{location}: {}", choice.reason);
    if let Some(rule) = &sent.rule {
        assert_eq!(choice.reason.rule.to_string(), *rule, "{location}");
    }
    router.on_sent(now, attempt, choice.endpoint, &query);
    if sent.fail {
        router.on_failure(now, attempt, routing::Failure::ConnectFailed);
    }
}

#[test]
fn sends_nothing_to_leaving_endpoints() {
    assert_eq!(replay("routing-leaving.jsonl"), 6);
}

#[test]
fn ejects_and_probes_failing_endpoints() {
    assert_eq!(replay("routing-ejection.jsonl"), 8);
}
