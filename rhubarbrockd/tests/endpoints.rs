//! Runs attempts against a stand-in engine, without starting nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rhubarbrock::{action, event, id};
use rhubarbrockd::answer::{Answer, Metadata};
use rhubarbrockd::endpoints::{Command, Endpoints};
use rhubarbrockd::ring;
use standins::engine;
use standins::engines::{EngineGroup, Settings};
use standins::fleet::Instance;
use standins::replica::{self, Replica};
use tokio::net::TcpListener;
use tokio::time;

const RING_LEN: usize = 64;

/// Starts a stand-in engine and returns its address.
async fn engine() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let replica = Replica::new(replica::Settings {
        instance: Instance { id: 1, ..Instance::default() },
        poison: "<<poison>>".to_owned(),
        checks_fencing: true,
        model: String::new(),
        seed: 1,
        engine: engine::Settings { step_base_us: 2_000, ..engine::Settings::default() },
    });
    let settings = Settings { restart_delay: Duration::from_millis(100), kv_bytes_per_token: 64 };
    tokio::spawn(EngineGroup::new(settings, vec![Arc::new(replica)], None).serve(vec![listener]));
    address
}

/// Runs attempt 1 of a node and returns its outcome.
async fn first_attempt(node: id::NodeId, engine: SocketAddr) -> event::ModelOutcome {
    let (events, mut event_receiver) = ring::to_task(RING_LEN);
    let (commands, command_receiver) = ring::to_task(RING_LEN);
    tokio::spawn(Endpoints::new(node, events).run(command_receiver));
    let request: id::RequestId = format!("r{node:016x}{:032x}", 7).parse().unwrap();
    let metadata = Metadata {
        request,
        organisation: "gourds".to_owned(),
        service: "writers".to_owned(),
        is_chat: false,
        streamed: true,
        stream_usage: false,
        created_s: 0,
    };
    let attempt = action::ModelAttempt {
        attempt: 1,
        request,
        endpoint: 1,
        address: engine,
        path: "/v1/completions".to_owned(),
        body: r#"{"prompt": "How do I cure a gourd?"}"#.to_owned(),
        model: String::new(),
        priority: 0,
        max_tokens: 100,
        idle_timeout: Duration::from_secs(5),
        kv_source: None,
    };
    commands
        .send(Command::Model(Box::new(attempt), Arc::new(Answer::new(metadata, "", &[], 0))))
        .await;
    let ended = async {
        loop {
            let event = event_receiver.recv().await.expect("the endpoints task has not ended");
            if let event::Event::Endpoint(event::EndpointEvent::ModelEnded { outcome, .. }) = event
            {
                return outcome;
            }
        }
    };
    time::timeout(Duration::from_secs(20), ended).await.expect("the attempt ends in time")
}

/// Each node counts its attempts from 1, so one engine may get the same number from two nodes.
#[tokio::test]
async fn attempts_of_two_nodes_with_equal_numbers_run_concurrently() {
    let engine = engine().await;
    let (first, second) = tokio::join!(first_attempt(1, engine), first_attempt(2, engine));
    assert!(matches!(first, event::ModelOutcome::Finished(_)), "{first:?}");
    assert!(matches!(second, event::ModelOutcome::Finished(_)), "{second:?}");
}
