//! Tests of the desk over real sockets.

mod support;

use std::net::SocketAddr;

use serde_json::{Value, json};
use standins::desk::Desk;
use standins::fleet::Instance;
use support::{Reply, call, call_with, listen};
use tokio::sync::watch;

async fn start_desk(checks_fencing: bool) -> ([SocketAddr; 2], watch::Sender<u64>) {
    let (first, first_address) = listen().await;
    let (second, second_address) = listen().await;
    let stop = watch::Sender::new(0);
    let instances = vec![Instance::default(); 2];
    let desk = Desk::new(instances, checks_fencing, 1);
    tokio::spawn(desk.serve(vec![first, second], stop.subscribe()));
    ([first_address, second_address], stop)
}

async fn order(address: SocketAddr, key: &str, fencing_token: &str) -> Option<Reply> {
    let headers = [("idempotency-key", key), ("x-fencing-number", fencing_token)];
    call_with(address, "POST", "/orders", &headers, json!({ "gourds": 12 })).await
}

async fn runs_by_key(address: SocketAddr) -> Value {
    call(address, "GET", "/runs", Value::Null).await.unwrap().body
}

#[tokio::test]
async fn counts_runs_over_all_replicas() {
    let (addresses, _stop) = start_desk(false).await;
    let first = order(addresses[0], "a", "5").await.unwrap();
    let second = order(addresses[1], "a", "4").await.unwrap();
    assert_eq!((first.status.as_u16(), second.status.as_u16()), (200, 200));
    assert_ne!(first.body["confirmation"], second.body["confirmation"]);
    let payout = call_with(
        addresses[1],
        "POST",
        "/payouts",
        &[("idempotency-key", "b")],
        json!({ "house": "Sò" }),
    );
    assert_eq!(payout.await.unwrap().status, 200);
    assert_eq!(runs_by_key(addresses[0]).await, json!({ "a": 2, "b": 1 }));
    assert_eq!(runs_by_key(addresses[1]).await, json!({ "a": 2, "b": 1 }));
}

#[tokio::test]
async fn refuses_stale_fencing_token_without_running() {
    let (addresses, _stop) = start_desk(true).await;
    assert_eq!(order(addresses[0], "a", "5").await.unwrap().status, 200);
    let refused = order(addresses[1], "a", "4").await.unwrap();
    assert_eq!(refused.status, 409);
    assert_eq!(refused.headers["x-fencing"], "refused");
    assert_eq!(order(addresses[1], "b", "4").await.unwrap().status, 200);
    assert_eq!(runs_by_key(addresses[0]).await, json!({ "a": 1, "b": 1 }));
}

#[tokio::test]
async fn counts_run_of_call_with_lost_answer() {
    let (addresses, _stop) = start_desk(false).await;
    let change = json!({ "all": true, "lose_answers": 1 });
    assert_eq!(call(addresses[0], "POST", "/faults", change).await.unwrap().status, 200);
    assert!(order(addresses[1], "a", "1").await.is_none());
    assert_eq!(runs_by_key(addresses[0]).await, json!({ "a": 1 }));
    assert_eq!(order(addresses[1], "a", "1").await.unwrap().status, 200);
    assert_eq!(runs_by_key(addresses[0]).await, json!({ "a": 2 }));
}

#[tokio::test]
async fn refused_and_invalid_calls_do_not_run() {
    let (addresses, _stop) = start_desk(false).await;
    let invalid = call(addresses[0], "POST", "/orders", json!([1])).await.unwrap();
    assert_eq!(invalid.status, 400);
    let change = json!({ "refuse": true });
    assert_eq!(call(addresses[0], "POST", "/faults", change).await.unwrap().status, 200);
    assert_eq!(order(addresses[0], "a", "1").await.unwrap().status, 503);
    assert_eq!(runs_by_key(addresses[0]).await, json!({}));
    // Without `all`, faults apply to one replica.
    assert_eq!(order(addresses[1], "a", "1").await.unwrap().status, 200);
}

#[tokio::test]
async fn returns_same_stock_on_all_replicas() {
    let (addresses, _stop) = start_desk(false).await;
    let first = call(addresses[0], "GET", "/stock/gourd", Value::Null).await.unwrap();
    let second = call(addresses[1], "GET", "/stock/gourd", Value::Null).await.unwrap();
    assert!(first.body["in_stock"].is_u64());
    assert_eq!(first.body, second.body);
}
