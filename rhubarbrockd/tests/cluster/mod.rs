//! A cluster for one test: real `rhubarbrockd` processes, with a stand-in platform and stand-in
//! endpoints that run inside the test process.

#![allow(dead_code)]

pub(crate) mod calls;

use std::net::{SocketAddr, TcpListener as StdListener, UdpSocket};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rhubarbrock::note;
use rhubarbrock::publisher::{AppendOutcome, Outcome, Publisher, Step};
use rhubarbrock::release::{self, ReleaseLog};
use serde_json::{Value, json};
use standins::desk::Desk;
use standins::fleet::{Instance, InstanceState};
use standins::platform::{Faults, Platform};
use standins::registration::PlatformClient;
use standins::replica::{self, Replica};
use standins::{engine, engines, http};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, SemaphorePermit, watch};

use calls::call;

use crate::child::Child;

/// The example note of the gourd cooperative.
const NOTE: &str = include_str!("../../../examples/gourd.release.toml");

/// Data centres of the nodes, in order; engines and desk replicas are spread over them in turn.
pub(crate) const DATA_CENTRES: [&str; 3] = ["berkshire", "merrimack", "narragansett"];

/// Longest wait for any condition.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Replicas of the model service.
const ENGINES: u64 = 6;

/// Replicas of the plain service `order-desk`.
const DESKS: u64 = 3;

/// First port of the nodes' addresses. The range lies below the ephemeral ports, from which the
/// kernel picks those of outgoing connections.
const FIRST_PORT: u32 = 12_000;
const PORT_COUNT: u32 = 18_000;

/// Limits concurrent clusters, so that tests do not slow each other down.
static CLUSTER_PERMITS: Semaphore = Semaphore::const_new(3);

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// A node's process and the address on which it serves callers.
pub(crate) struct Node {
    pub(crate) child: Child,
    pub(crate) caller_address: SocketAddr,
}

/// Stand-ins and nodes; the nodes are killed when this value is dropped.
pub(crate) struct Cluster {
    pub(crate) platform: SocketAddr,
    pub(crate) engines: Vec<SocketAddr>,
    pub(crate) desk: SocketAddr,
    pub(crate) nodes: Vec<Node>,
    peer_addresses: Vec<SocketAddr>,
    _stop: watch::Sender<u64>,
    _permit: SemaphorePermit<'static>,
}

impl Cluster {
    /// Starts the stand-ins and three nodes, publishes the note and waits until the nodes are
    /// ready and reach the endpoints.
    pub(crate) async fn start() -> Cluster {
        Cluster::start_with(engine::Settings::default()).await
    }

    /// Like [`Cluster::start`], with the given engine settings.
    pub(crate) async fn start_with(engine: engine::Settings) -> Cluster {
        let permit = CLUSTER_PERMITS.acquire().await.expect("the semaphore is never closed");
        let stop = watch::Sender::new(0);
        let caller_addresses: Vec<SocketAddr> =
            DATA_CENTRES.iter().map(|_| free_address()).collect();
        let peer_addresses: Vec<SocketAddr> = DATA_CENTRES.iter().map(|_| free_address()).collect();
        let platform = start_platform(&caller_addresses, &peer_addresses, &stop).await;
        let engines = start_engines(platform, engine).await;
        let desk = start_desk(platform, &stop).await;
        publish(platform, NOTE).await;
        let nodes = Vec::new();
        let mut cluster = Cluster {
            platform,
            engines,
            desk,
            nodes,
            peer_addresses,
            _stop: stop,
            _permit: permit,
        };
        for (index, caller_address) in caller_addresses.into_iter().enumerate() {
            let node = cluster.start_node(index, caller_address);
            cluster.nodes.push(node);
        }
        for node in &cluster.nodes {
            node.wait_until_ready().await;
        }
        cluster.wait_until_endpoints_answer().await;
        cluster
    }

    /// Starts the process of the node at `index`.
    pub(crate) fn start_node(&self, index: usize, caller_address: SocketAddr) -> Node {
        let child = Command::new(env!("CARGO_BIN_EXE_rhubarbrockd"))
            .args(["--name", &format!("node-{}", index + 1)])
            .args(["--data-centre", DATA_CENTRES[index], "--region", "new-england"])
            .args(["--instance", &(index + 1).to_string()])
            .args(["--caller-address", &caller_address.to_string()])
            .args(["--peer-address", &self.peer_addresses[index].to_string()])
            .args(["--platform-url", &format!("http://{}", self.platform)])
            .args(["--log-level", "warning"])
            .stdout(Stdio::null())
            .spawn()
            .expect("rhubarbrockd starts");
        Node { child: Child(child), caller_address }
    }

    /// Kills the node at `index` and starts it again with the same addresses.
    pub(crate) fn restart_node(&mut self, index: usize) {
        let caller_address = self.nodes[index].caller_address;
        self.nodes[index].child.kill();
        let node = self.start_node(index, caller_address);
        self.nodes[index] = node;
    }

    /// Sets the faults that the platform injects.
    pub(crate) async fn set_platform_faults(&self, faults: Value) {
        let reply = call(self.platform, "POST", "/faults", &[], &faults).await;
        assert_eq!(reply.expect("platform answers").status, 200);
    }

    /// Sets the faults that all desk replicas inject.
    pub(crate) async fn set_desk_faults(&self, mut faults: Value) {
        faults["all"] = json!(true);
        let reply = call(self.desk, "POST", "/faults", &[], &faults).await;
        assert_eq!(reply.expect("desk answers").status, 200);
    }

    /// Number of times that the desk ran the call with this key.
    pub(crate) async fn run_count(&self, key: &str) -> u64 {
        let reply = call(self.desk, "GET", "/runs", &[], &Value::Null).await;
        reply.expect("desk answers").json()[key].as_u64().unwrap_or(0)
    }

    /// Waits until the desk has run the call with this key.
    pub(crate) async fn wait_for_run(&self, key: &str) {
        wait_until("the desk has run the call", async || self.run_count(key).await > 0).await;
    }

    /// Sum of a counter over all engine replicas that answer.
    pub(crate) async fn engine_total(&self, counter: &str) -> u64 {
        let mut total = 0;
        for counters in self.engine_counters().await {
            total += counters[counter].as_u64().unwrap_or(0);
        }
        total
    }

    /// Counters of the engine replicas that answer.
    pub(crate) async fn engine_counters(&self) -> Vec<Value> {
        let mut all = Vec::new();
        for &address in &self.engines {
            if let Some(reply) = call(address, "GET", "/counters", &[], &Value::Null).await {
                all.push(reply.json());
            }
        }
        all
    }

    /// Waits until each node gets answers from both services, so that it has the instance list, and
    /// knows its peers.
    async fn wait_until_endpoints_answer(&self) {
        for node in &self.nodes {
            let text = json!({ "model": "guide-writers", "prompt": "warm", "max_tokens": 1 });
            wait_until("a model request is answered", async || {
                let reply = calls::post(node.caller_address, "/v1/completions", &text).await;
                reply.is_some_and(|reply| reply.status == 200)
            })
            .await;
            wait_until("the desk is reached", async || {
                let stock = "/v1/services/order-desk/stock/gourd";
                let reply =
                    call(node.caller_address, "GET", stock, &[calls::KEY], &Value::Null).await;
                reply.is_some_and(|reply| reply.status == 200)
            })
            .await;
            wait_until("the peers are known", async || {
                let reply = call(node.caller_address, "GET", "/v1/status", &[], &Value::Null).await;
                let status = reply.map(|reply| reply.json()).unwrap_or_default();
                status["peers_alive"].as_u64() >= Some(self.nodes.len() as u64 - 1)
            })
            .await;
        }
    }
}

impl Node {
    /// Waits until the node's readiness check passes.
    pub(crate) async fn wait_until_ready(&self) {
        wait_until("the node is ready", async || {
            let reply = call(self.caller_address, "GET", "/readyz", &[], &Value::Null).await;
            reply.is_some_and(|reply| reply.status == 200)
        })
        .await;
    }
}

/// Waits until `condition` holds; panics after [`TIMEOUT`].
pub(crate) async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) {
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < TIMEOUT, "timed out waiting until {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn start_platform(
    caller_addresses: &[SocketAddr],
    peer_addresses: &[SocketAddr],
    stop: &watch::Sender<u64>,
) -> SocketAddr {
    let entry = |index: usize| Instance {
        id: index as u64 + 1,
        kind: "entry".to_owned(),
        data_centre: DATA_CENTRES[index].to_owned(),
        class: "general".to_owned(),
        market: "reclaimable".to_owned(),
        address: caller_addresses[index].to_string(),
        peer_address: peer_addresses[index].to_string(),
        ..Instance::default()
    };
    let instances = (0..caller_addresses.len()).map(entry).collect();
    let listener = http::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let address = listener.local_addr().unwrap();
    let faults = Faults { list_lag_ms: 300, ..Faults::default() };
    tokio::spawn(Platform::new(1, faults, instances).serve(listener, stop.subscribe()));
    address
}

async fn start_engines(platform: SocketAddr, engine: engine::Settings) -> Vec<SocketAddr> {
    let (listeners, instances) = bind_endpoints("endpoint", "guide-writers", 100, ENGINES).await;
    let replica = |instance: &Instance| {
        Arc::new(Replica::new(replica::Settings {
            instance: instance.clone(),
            poison: "<<poison>>".to_owned(),
            checks_fencing: true,
            model: "guide-7b".to_owned(),
            seed: 1,
            engine: engine.clone(),
        }))
    };
    let replicas = instances.iter().map(replica).collect();
    let platform_client = PlatformClient::new(&format!("http://{platform}"));
    let settings =
        engines::Settings { restart_delay: Duration::from_millis(500), kv_bytes_per_token: 64 };
    let group = engines::EngineGroup::new(settings, replicas, Some(platform_client.clone()));
    let addresses = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
    tokio::spawn(group.clone().serve(listeners));
    let notices = platform_client.register(&instances).await.unwrap();
    tokio::spawn(group.apply_notices(notices));
    addresses
}

async fn start_desk(platform: SocketAddr, stop: &watch::Sender<u64>) -> SocketAddr {
    let (listeners, instances) = bind_endpoints("desk", "order-desk", 200, DESKS).await;
    let address = listeners[0].local_addr().unwrap();
    let desk = Desk::new(instances.clone(), true, 1);
    tokio::spawn(desk.clone().serve(listeners, stop.subscribe()));
    let platform_client = PlatformClient::new(&format!("http://{platform}"));
    let notices = platform_client.register(&instances).await.unwrap();
    tokio::spawn(desk.apply_notices(notices));
    address
}

/// Listeners and instance list entries of `count` replicas, with ids from `first_id`.
async fn bind_endpoints(
    kind: &str,
    service: &str,
    first_id: u64,
    count: u64,
) -> (Vec<TcpListener>, Vec<Instance>) {
    let mut listeners = Vec::new();
    let mut instances = Vec::new();
    for index in 0..count {
        let listener = http::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
        instances.push(Instance {
            id: first_id + index,
            kind: kind.to_owned(),
            data_centre: DATA_CENTRES[index as usize % DATA_CENTRES.len()].to_owned(),
            class: "accelerator-small".to_owned(),
            market: "reclaimable".to_owned(),
            state: InstanceState::Live,
            service: service.to_owned(),
            address: listener.local_addr().unwrap().to_string(),
            ..Instance::default()
        });
        listeners.push(listener);
    }
    (listeners, instances)
}

/// Publishes a note and returns its version.
pub(crate) async fn publish(platform: SocketAddr, note: &str) -> u64 {
    let parsed = note::parse_lenient(note);
    let mut publisher = Publisher::new(parsed, "test".to_owned(), rand::random());
    let mut log = ReleaseLog::new();
    loop {
        match publisher.next(&log) {
            Step::Done(Outcome::InForce { version }) => return version,
            Step::Done(outcome) => panic!("{outcome}"),
            Step::Read => {
                read_to_end(platform, &mut log).await;
                publisher.on_read_to_end();
            }
            Step::Append(record) => {
                let body = json!({ "records": [STANDARD.encode(record)] });
                let path = format!("/log/{}/records", release::TOPIC);
                let reply = call(platform, "POST", &path, &[], &body).await;
                let offset = reply.filter(|reply| reply.status == 200);
                let offset = offset.and_then(|reply| reply.json()["first_offset"].as_u64());
                publisher.on_append(offset.map_or(AppendOutcome::Unknown, AppendOutcome::Appended));
            }
        }
    }
}

async fn read_to_end(platform: SocketAddr, log: &mut ReleaseLog) {
    let from = log.next_offset();
    let path = format!("/log/{}/records?from={from}&max=1000", release::TOPIC);
    let reply = call(platform, "GET", &path, &[], &Value::Null).await.expect("platform answers");
    for record in reply.json()["records"].as_array().into_iter().flatten() {
        let data = STANDARD.decode(record["data"].as_str().unwrap()).unwrap();
        log.apply(record["offset"].as_u64().unwrap(), &data);
    }
}

/// A loopback address whose port is free for both TCP and UDP.
fn free_address() -> SocketAddr {
    loop {
        let offset =
            std::process::id().wrapping_mul(61) + NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = (FIRST_PORT + offset % PORT_COUNT) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if StdListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
