//! Committed traces of events against the outcomes stated in them.

use std::path::Path;
use std::time::Duration;

use rhubarbrock::{endpoint, id, routing};
use serde::Deserialize;

const SERVICE: &str = "guide-writers";

/// One line of a case.
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

/// A request and where it must go.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Send {
    dialogue: u64,
    blocks: Vec<id::BlockHash>,
    endpoint: Option<id::EndpointId>,
    not: Option<Vec<id::EndpointId>>,
    rule: Option<String>,
    lack: Option<String>,
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
    let case = std::fs::read_to_string(&path).unwrap();
    let mut router = routing::Router::new(1, "berkshire", routing::Settings::default());
    let mut sends = 0;
    for (index, text) in case.lines().enumerate() {
        let line: Line = serde_json::from_str(text).unwrap();
        let place = format!("{name}:{}", index + 1);
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
            send(&mut router, now, &place, sends, &sent);
        }
    }
    sends as usize
}

fn send(router: &mut routing::Router, now: Duration, place: &str, attempt: u64, sent: &Send) {
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
        (Err(none), Some(lack)) => return assert_eq!(none.reason.to_string(), *lack, "{place}"),
        (choice, lack) => panic!("{place}: {choice:?} where {lack:?} is stated"),
    };
    if let Some(endpoint) = sent.endpoint {
        assert_eq!(choice.endpoint, endpoint, "{place}: {}", choice.reason);
    }
    let is_barred = sent.not.as_ref().is_some_and(|not| not.contains(&choice.endpoint));
    assert!(!is_barred, "{place}: {}", choice.reason);
    if let Some(rule) = &sent.rule {
        assert_eq!(choice.reason.rule.to_string(), *rule, "{place}");
    }
    router.on_sent(now, attempt, choice.endpoint, &query);
    if sent.fail {
        router.on_failure(now, attempt, routing::Failure::ConnectFailed);
    }
}

#[test]
fn leaving_endpoints_stay_out() {
    assert_eq!(replay("routing-leaving.jsonl"), 6);
}

#[test]
fn failing_endpoints_are_ejected_and_probed() {
    assert_eq!(replay("routing-ejection.jsonl"), 8);
}
