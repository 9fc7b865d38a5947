//! The desk over real sockets.

mod support;

use std::net::SocketAddr;

use serde_json::{Value, json};
use standins::desk::Desk;
use standins::fleet::Instance;
use support::{Reply, call, call_with, listen};
use tokio::sync::watch;

async fn desk(checks_fencing: bool) -> ([SocketAddr; 2], watch::Sender<u64>) {
    let (first, first_address) = listen().await;
    let (second, second_address) = listen().await;
    let stop = watch::Sender::new(0);
    let instances = vec![Instance::default(); 2];
    let desk = Desk::new(instances, checks_fencing, 1);
    tokio::spawn(desk.serve(vec![first, second], stop.subscribe()));
    ([first_address, second_address], stop)
}

async fn order(address: SocketAddr, key: &str, fence: &str) -> Option<Reply> {
    let headers = [("idempotency-key", key), ("x-fencing-number", fence)];
    call_with(address, "POST", "/orders", &headers, json!({ "gourds": 12 })).await
}

async fn runs(address: SocketAddr) -> Value {
    call(address, "GET", "/runs", Value::Null).await.unwrap().body
}

#[tokio::test]
async fn counts_every_run_over_all_replicas() {
    let (addresses, _stop) = desk(false).await;
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
    assert_eq!(runs(addresses[0]).await, json!({ "a": 2, "b": 1 }));
    assert_eq!(runs(addresses[1]).await, json!({ "a": 2, "b": 1 }));
}

#[tokio::test]
async fn refuses_an_old_fencing_number_without_running() {
    let (addresses, _stop) = desk(true).await;
    assert_eq!(order(addresses[0], "a", "5").await.unwrap().status, 200);
    let refused = order(addresses[1], "a", "4").await.unwrap();
    assert_eq!(refused.status, 409);
    assert_eq!(refused.headers["x-fencing"], "refused");
    assert_eq!(order(addresses[1], "b", "4").await.unwrap().status, 200);
    assert_eq!(runs(addresses[0]).await, json!({ "a": 1, "b": 1 }));
}

#[tokio::test]
async fn lost_answer_ran() {
    let (addresses, _stop) = desk(false).await;
    let change = json!({ "all": true, "lose_answers": 1 });
    assert_eq!(call(addresses[0], "POST", "/faults", change).await.unwrap().status, 200);
    assert!(order(addresses[1], "a", "1").await.is_none());
    assert_eq!(runs(addresses[0]).await, json!({ "a": 1 }));
    assert_eq!(order(addresses[1], "a", "1").await.unwrap().status, 200);
    assert_eq!(runs(addresses[0]).await, json!({ "a": 2 }));
}

#[tokio::test]
async fn refusal_and_bad_bodies_run_nothing() {
    let (addresses, _stop) = desk(false).await;
    let bad = call(addresses[0], "POST", "/orders", json!([1])).await.unwrap();
    assert_eq!(bad.status, 400);
    let change = json!({ "refuse": true });
    assert_eq!(call(addresses[0], "POST", "/faults", change).await.unwrap().status, 200);
    assert_eq!(order(addresses[0], "a", "1").await.unwrap().status, 503);
    assert_eq!(runs(addresses[0]).await, json!({}));
    // Faults are those of one replica.
    assert_eq!(order(addresses[1], "a", "1").await.unwrap().status, 200);
}

#[tokio::test]
async fn stock_is_the_same_on_all_replicas() {
    let (addresses, _stop) = desk(false).await;
    let first = call(addresses[0], "GET", "/stock/gourd", Value::Null).await.unwrap();
    let second = call(addresses[1], "GET", "/stock/gourd", Value::Null).await.unwrap();
    assert!(first.body["in_stock"].is_u64());
    assert_eq!(first.body, second.body);
}
