//! Tests of the platform over real sockets.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use standins::log::RateLimiter;
use standins::platform::{Faults, Platform};
use support::{Reply, call, listen};
use tokio::sync::watch;

async fn start_platform(faults: Faults) -> (SocketAddr, watch::Sender<u64>) {
    let (listener, address) = listen().await;
    let stop = watch::Sender::new(0);
    let instances = vec!["entry=1=berkshire=127.0.0.1:1=127.0.0.1:2".parse().unwrap()];
    tokio::spawn(Platform::new(1, faults, instances).serve(listener, stop.subscribe()));
    (address, stop)
}

async fn append(address: SocketAddr, records: &[&str]) -> Option<Reply> {
    call(address, "POST", "/log/notes/records", json!({ "records": records })).await
}

async fn read(address: SocketAddr, query: &str) -> Reply {
    let path = format!("/log/notes/records?{query}");
    call(address, "GET", &path, Value::Null).await.unwrap()
}

async fn set_faults(address: SocketAddr, faults: Value) {
    let reply = call(address, "POST", "/faults", faults).await.unwrap();
    assert_eq!(reply.status, 200);
}

fn record_data(reply: &Reply) -> Vec<&str> {
    let records = reply.body["records"].as_array().unwrap();
    records.iter().map(|record| record["data"].as_str().unwrap()).collect()
}

#[tokio::test]
async fn offsets_start_at_one_and_follow_append_order() {
    let (address, _stop) = start_platform(Faults::default()).await;
    assert_eq!(append(address, &["YQ==", "Yg=="]).await.unwrap().body["first_offset"], 1);
    assert_eq!(append(address, &["Yw=="]).await.unwrap().body["first_offset"], 3);
    let all = read(address, "from=0").await;
    assert_eq!(record_data(&all), ["YQ==", "Yg==", "Yw=="]);
    assert_eq!((&all.body["next"], &all.body["end"]), (&json!(4), &json!(4)));
    let part = read(address, "from=2&max=1").await;
    assert_eq!(record_data(&part), ["Yg=="]);
    assert_eq!(part.body["next"], 3);
    let none = read(address, "from=4").await;
    assert_eq!((none.status.as_u16(), &none.body["next"]), (200, &json!(4)));
}

#[tokio::test]
async fn invalid_append_changes_nothing() {
    let (address, _stop) = start_platform(Faults::default()).await;
    assert_eq!(append(address, &["YQ==", "!"]).await.unwrap().status, 400);
    assert_eq!(append(address, &[]).await.unwrap().status, 400);
    assert_eq!(read(address, "from=1").await.body["end"], 1);
}

#[tokio::test]
async fn append_with_lost_response_takes_effect() {
    let (address, _stop) = start_platform(Faults::default()).await;
    set_faults(address, json!({ "lose_append_answers": 1 })).await;
    assert!(append(address, &["YQ=="]).await.is_none());
    assert_eq!(append(address, &["Yg=="]).await.unwrap().body["first_offset"], 2);
    assert_eq!(record_data(&read(address, "from=1").await), ["YQ==", "Yg=="]);
}

#[tokio::test]
async fn reading_before_retention_returns_gone() {
    let (address, _stop) = start_platform(Faults::default()).await;
    set_faults(address, json!({ "retention_records": 2 })).await;
    for record in ["YQ==", "Yg==", "Yw=="] {
        append(address, &[record]).await.unwrap();
    }
    let expired = read(address, "from=1").await;
    assert_eq!(expired.status, 410);
    assert_eq!(expired.body["records"], json!([]));
    assert_eq!((&expired.body["oldest"], &expired.body["end"]), (&json!(2), &json!(4)));
    assert_eq!(record_data(&read(address, "from=2").await), ["Yg==", "Yw=="]);
}

#[tokio::test]
async fn append_ends_long_poll() {
    let (address, _stop) = start_platform(Faults::default()).await;
    // The wait exceeds the time-out of a call, so that only the append can end the poll in time.
    let polling = tokio::spawn(async move { read(address, "from=1&wait_ms=60000").await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    append(address, &["YQ=="]).await.unwrap();
    assert_eq!(record_data(&polling.await.unwrap()), ["YQ=="]);
}

#[tokio::test]
async fn outage_refuses_calls_and_keeps_records() {
    let (address, _stop) = start_platform(Faults::default()).await;
    append(address, &["YQ=="]).await.unwrap();
    set_faults(address, json!({ "log_down": true })).await;
    assert_eq!(append(address, &["Yg=="]).await.unwrap().status, 503);
    assert_eq!(read(address, "from=1").await.status, 503);
    let list = call(address, "GET", "/instances", Value::Null).await.unwrap();
    assert_eq!(list.status, 200);
    set_faults(address, json!({ "log_down": false, "platform_down": true })).await;
    let list = call(address, "GET", "/instances", Value::Null).await.unwrap();
    assert_eq!(list.status, 503);
    set_faults(address, json!({ "platform_down": false })).await;
    assert_eq!(record_data(&read(address, "from=1").await), ["YQ=="]);
}

#[tokio::test]
async fn refuses_appends_above_rate() {
    let (address, _stop) = start_platform(Faults { appends_per_s: 0, ..Faults::default() }).await;
    let refused = append(address, &["YQ=="]).await.unwrap();
    assert_eq!(refused.status, 429);
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(read(address, "from=1").await.body["end"], 1);
}

#[test]
fn rate_limiter_bounds_units_over_time() {
    let mut rate = RateLimiter::new(10);
    let step = Duration::from_millis(7);
    let acquired = (0..1_000).filter(|&i| rate.try_acquire(step * i)).count();
    // The allowance of seven seconds, and the initial one of a second.
    assert!((75..=80).contains(&acquired), "{acquired}");
    // What remains is the rest of 80, however often units are requested.
    let rest = (0..100).filter(|_| rate.try_acquire(Duration::from_secs(7))).count();
    assert_eq!(acquired + rest, 80);
}

#[tokio::test]
async fn refuses_unknown_fault() {
    let (address, _stop) = start_platform(Faults::default()).await;
    let reply = call(address, "POST", "/faults", json!({ "log_dwon": true })).await.unwrap();
    assert_eq!(reply.status, 400);
}

#[tokio::test]
async fn list_lags_but_notices_do_not() {
    let (address, _stop) =
        start_platform(Faults { list_lag_ms: 600_000, ..Faults::default() }).await;
    let reclaim = json!({ "data_centre": "berkshire", "notice_ms": 60_000 });
    let reply = call(address, "POST", "/reclaim", reclaim).await.unwrap();
    assert_eq!(reply.body["instances"], json!([1]));
    let notices = call(address, "GET", "/cloud/notices?after=0", Value::Null).await.unwrap();
    assert_eq!(notices.body["notices"][0]["instance"], 1);
    assert_eq!(notices.body["next"], 1);
    let list = call(address, "GET", "/instances", Value::Null).await.unwrap();
    assert_eq!(list.body["instances"], json!([]));
    set_faults(address, json!({ "list_lag_ms": 0 })).await;
    let list = call(address, "GET", "/instances", Value::Null).await.unwrap();
    assert_eq!(list.body["instances"][0]["state"], "leaving");
}

#[tokio::test]
async fn starts_one_instance_per_client_token() {
    let faults = Faults { start_delay_ms: 0, list_lag_ms: 0, ..Faults::default() };
    let (address, _stop) = start_platform(faults).await;
    for id in [7, 8] {
        let spare = json!({ "kind": "endpoint", "data_centre": "berkshire", "class": "c",
            "market": "reclaimable", "state": "starting", "service": "s" });
        let put = call(address, "PUT", &format!("/instances/{id}"), spare).await.unwrap();
        assert_eq!(put.status, 204);
    }
    let start = |token: &str| {
        let body = json!({ "client_token": token, "data_centre": "berkshire", "class": "c",
            "market": "reclaimable", "service": "s" });
        async move { call(address, "POST", "/cloud/instances", body).await.unwrap() }
    };
    assert_eq!(start("a").await.body["id"], 7);
    assert_eq!(start("a").await.body["id"], 7);
    assert_eq!(start("b").await.body["id"], 8);
    let refused = start("c").await;
    assert_eq!((refused.status.as_u16(), &refused.body["reason"]), (409, &json!("no capacity")));
    set_faults(address, json!({ "refuse_starts_percent": 100 })).await;
    assert_eq!(start("a").await.body["id"], 7);
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let list = call(address, "GET", "/instances", Value::Null).await.unwrap();
        let states: Vec<&Value> = list.body["instances"].as_array().unwrap()[1..]
            .iter()
            .map(|instance| &instance["state"])
            .collect();
        if states == ["live", "live"] {
            break;
        }
        assert!(Instant::now() < deadline, "{states:?}");
    }
}

#[tokio::test]
async fn weight_store_refuses_readers_above_limit() {
    let faults = Faults { max_weight_readers: 0, weight_bytes: 10, ..Faults::default() };
    let (address, _stop) = start_platform(faults).await;
    let refused = call(address, "GET", "/weights/m", Value::Null).await.unwrap();
    assert_eq!(refused.status, 429);
    assert!(refused.headers.contains_key("retry-after"));
    set_faults(address, json!({ "max_weight_readers": 1 })).await;
    for _ in 0..2 {
        let served = call(address, "GET", "/weights/m", Value::Null).await.unwrap();
        assert_eq!(served.status, 200);
        assert_eq!(served.headers.get("content-length"), None);
    }
}
