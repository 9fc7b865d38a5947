//! Tests of engine replicas over real sockets.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use standins::engine;
use standins::engines::{EngineGroup, Settings};
use standins::fleet::Instance;
use standins::replica::{self, Replica};
use support::{call, call_with, listen};

async fn start_replicas() -> [SocketAddr; 2] {
    let mut listeners = Vec::new();
    let mut addresses = Vec::new();
    let mut all = Vec::new();
    for id in 0..2 {
        let (listener, address) = listen().await;
        listeners.push(listener);
        addresses.push(address);
        all.push(Arc::new(Replica::new(replica::Settings {
            instance: Instance { id, ..Instance::default() },
            poison: "<<poison>>".to_owned(),
            checks_fencing: true,
            model: String::new(),
            seed: 1,
            engine: engine::Settings { step_base_us: 2_000, ..engine::Settings::default() },
        })));
    }
    let settings = Settings { restart_delay: Duration::from_millis(100), kv_bytes_per_token: 64 };
    tokio::spawn(EngineGroup::new(settings, all, None).serve(listeners));
    [addresses[0], addresses[1]]
}

async fn complete(address: SocketAddr, body: Value) -> Value {
    let reply = call(address, "POST", "/v1/completions", body).await.unwrap();
    assert_eq!(reply.status, 200, "{}", reply.body);
    reply.body
}

fn answer_text(answer: &Value) -> &str {
    answer["choices"][0]["text"].as_str().unwrap()
}

#[tokio::test]
async fn resumed_answer_equals_uninterrupted_answer() {
    let addresses = start_replicas().await;
    let prompt = "How do I cure a gourd? ".repeat(20);
    let full_answer = complete(addresses[0], json!({ "prompt": prompt, "max_tokens": 40 })).await;
    let (start, rest) = answer_text(&full_answer).split_at(60);
    let resume = json!({ "prompt": prompt, "max_tokens": 40, "resume_text": start });
    let resumed = complete(addresses[1], resume).await;
    assert_eq!(answer_text(&resumed), rest);
    assert_eq!(resumed["usage"]["completion_tokens"], 40);
    assert_eq!(resumed["usage"]["prompt_tokens"], full_answer["usage"]["prompt_tokens"]);
    let wrong = json!({ "prompt": prompt, "max_tokens": 40, "resume_text": "else" });
    let refused = call(addresses[1], "POST", "/v1/completions", wrong).await.unwrap();
    assert_eq!(refused.status, 400);
}

#[tokio::test]
async fn does_not_recompute_imported_cache() {
    let addresses = start_replicas().await;
    let prompt = "x".repeat(64 * 10);
    let body = json!({ "prompt": prompt, "max_tokens": 5_000 });
    let long = tokio::spawn(async move {
        call_with(addresses[0], "POST", "/v1/completions", &[("x-attempt", "one")], body).await
    });
    let deadline = Instant::now() + Duration::from_secs(10);
    let export = loop {
        let body = json!({ "attempt": "one" });
        let reply = call(addresses[0], "POST", "/kv/export", body).await.unwrap();
        if reply.status == 200 && reply.body["tokens"].as_u64() >= Some(160) {
            break reply.body;
        }
        assert!(Instant::now() < deadline);
    };
    let source = json!({ "address": addresses[0].to_string(), "handle": export["handle"] });
    let body = json!({ "prompt": prompt, "max_tokens": 4, "kv_source": source });
    let answer = complete(addresses[1], body).await;
    assert_eq!(answer["usage"]["prompt_tokens_details"]["cached_tokens"], 159);
    let reply = call(addresses[0], "DELETE", "/v1/attempts/one", Value::Null).await.unwrap();
    assert_eq!(reply.status, 204);
    assert!(long.await.unwrap().is_none());
}

#[tokio::test]
async fn poison_request_closes_connections_and_replica_restarts() {
    let addresses = start_replicas().await;
    let co_batched = tokio::spawn(async move {
        let body = json!({ "prompt": "mate", "max_tokens": 5_000 });
        call(addresses[0], "POST", "/v1/completions", body).await
    });
    let deadline = Instant::now() + Duration::from_secs(10);
    while call(addresses[0], "GET", "/counters", Value::Null).await.unwrap().body["generated_tokens"]
        == 0
    {
        assert!(Instant::now() < deadline);
    }
    let poison = json!({ "prompt": "say <<poison>>" });
    assert!(call(addresses[0], "POST", "/v1/completions", poison).await.is_none());
    assert!(co_batched.await.unwrap().is_none());
    let counters = loop {
        if let Some(reply) = call(addresses[0], "GET", "/counters", Value::Null).await {
            break reply.body;
        }
        assert!(Instant::now() < deadline);
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(counters["crashes"], 1);
    complete(addresses[0], json!({ "prompt": "mate", "max_tokens": 3 })).await;
}

#[tokio::test]
async fn disconnect_cancels_attempt() {
    let addresses = start_replicas().await;
    let body = json!({ "prompt": "mate", "max_tokens": 50_000 });
    let calling = call(addresses[0], "POST", "/v1/completions", body);
    let result = tokio::time::timeout(Duration::from_millis(200), calling).await;
    assert!(result.is_err());
    let deadline = Instant::now() + Duration::from_secs(10);
    while call(addresses[0], "GET", "/counters", Value::Null).await.unwrap().body["cancelled"] != 1
    {
        assert!(Instant::now() < deadline);
    }
}

#[tokio::test]
async fn leaving_replica_refuses_and_reports_it_without_lag() {
    let addresses = start_replicas().await;
    // This also records the report that is still shown once the replica is leaving.
    let load = call(addresses[0], "GET", "/load", Value::Null).await.unwrap();
    assert_eq!(load.body["leaving"], false);
    let faults = json!({ "leaving": true, "load_lag_ms": 60_000 });
    assert_eq!(call(addresses[0], "POST", "/faults", faults).await.unwrap().status, 200);
    let load = call(addresses[0], "GET", "/load", Value::Null).await.unwrap();
    assert_eq!(load.body["leaving"], true);
    let body = json!({ "prompt": "late", "max_tokens": 3 });
    let refused = call(addresses[0], "POST", "/v1/completions", body.clone()).await.unwrap();
    assert_eq!(refused.status, 503);
    assert!(refused.headers.contains_key("retry-after"));
    complete(addresses[1], body).await;
}

#[tokio::test]
async fn refuses_order_with_stale_fencing_token() {
    let addresses = start_replicas().await;
    let order = |fencing_token: u64, role: &str| {
        let body = json!({ "fence": fencing_token, "holder": "n1", "model": "m", "adapters": [],
            "role": role, "version": 3 });
        async move { call(addresses[0], "POST", "/orders", body).await.unwrap() }
    };
    assert_eq!(order(5, "new").await.body["sequence"], 1);
    assert_eq!(order(4, "old").await.status, 409);
    let faults = json!({ "load_lag_ms": 0 });
    call(addresses[0], "POST", "/faults", faults).await.unwrap();
    let load = call(addresses[0], "GET", "/load", Value::Null).await.unwrap().body;
    assert_eq!(
        (&load["role"], &load["model"], &load["version"]),
        (&json!("new"), &json!("m"), &json!(3))
    );
}

#[tokio::test]
async fn cache_events_list_blocks_of_prompt() {
    let addresses = start_replicas().await;
    let faults = json!({ "cache_event_lag_ms": 0, "cache_event_gap_percent": 0 });
    call(addresses[0], "POST", "/faults", faults).await.unwrap();
    let prompt = "y".repeat(200);
    complete(addresses[0], json!({ "prompt": prompt, "max_tokens": 2 })).await;
    let path = "/cache-events?after=0&wait_ms=10000";
    let events = call(addresses[0], "GET", path, Value::Null).await.unwrap().body;
    let expected = standins::text::block_hashes(prompt.as_bytes());
    assert_eq!(events["events"][0]["stored"], json!(expected));
    assert_eq!(events["next"], 1);
}
