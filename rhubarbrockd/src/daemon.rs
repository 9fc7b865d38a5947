//! Starts the threads of a node and waits for it to stop.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::Context;
use metrics_exporter_prometheus::PrometheusBuilder;
use rhubarbrock::{clock, event, id, node};
use slog::{Logger, info};
use tokio::runtime;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::{
    answer, callers, decision_client, decision_thread, endpoints, handlers, monitoring,
    peer_client, peer_key, peers, pending, platform, ring, settings, tls,
};

/// Capacity of a ring, in items.
const RING_CAPACITY: usize = 8_192;

/// Time limit for open connections to close after the node has stopped.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between checks for open connections.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a node until it is terminated by a signal and its drain is complete.
///
/// Fails if metrics, TLS, the listening sockets or the threads cannot be set up.
pub fn run(settings: settings::Settings, logger: Logger) -> anyhow::Result<()> {
    let metrics = PrometheusBuilder::new().install_recorder().context("cannot install metrics")?;
    let acceptor = settings.tls.as_ref().map(tls::acceptor).transpose()?;
    let listener = callers::bind(settings.caller_address)?;
    let sockets = peers::bind(settings.peer_address)?;
    let node_id: id::NodeId = rand::random_range(1..=id::NodeId::MAX);
    info!(logger, "starting"; "node_id" => format!("{node_id:016x}"),
        "caller_address" => settings.caller_address.to_string(),
        "peer_address" => settings.peer_address.to_string());

    let decision_thread_handle = thread::current();
    let new_ring =
        || ring::to_thread::<event::Event>(RING_CAPACITY, decision_thread_handle.clone());
    let (from_callers, callers_ring) = new_ring();
    let (from_peers, peers_ring) = new_ring();
    let (from_endpoints, endpoints_ring) = new_ring();
    let (from_platform, platform_ring) = new_ring();
    let (from_signals, signals_ring) = new_ring();
    let (to_endpoints, endpoint_commands) = ring::to_task(RING_CAPACITY);
    let (to_platform, platform_commands) = ring::to_task(RING_CAPACITY);
    let (to_peers, peer_commands) = ring::to_task(RING_CAPACITY);

    let decision_client =
        Arc::new(decision_client::DecisionClient::new(node_id, from_callers.clone()));
    let answers = Arc::new(answer::Answers::default());
    let replies = Arc::new(pending::Pending::default());
    let open_connections = Arc::new(AtomicUsize::new(0));
    let stopped = Arc::new(AtomicBool::new(false));
    let (closing, closing_receiver) = watch::channel(false);
    let key = peer_key::PeerKey::new(&settings.peer_key);

    let context = handlers::Context {
        decision_client: Arc::clone(&decision_client),
        peers: peer_client::PeerClient::new(&key),
        monitoring: monitoring::NodeMonitor { events: from_callers, replies: Arc::clone(&replies) },
        metrics,
        limits: settings.limits,
    };
    let server =
        callers::Server::new(context, acceptor, closing_receiver, Arc::clone(&open_connections));
    let caller_threads = settings.limits.caller_threads as usize;
    spawn_thread("callers", caller_threads, async move {
        server.serve(tokio::net::TcpListener::from_std(listener)?).await;
        Ok(())
    })?;
    let peers = peers::Peers {
        events: from_peers,
        replies: Arc::clone(&replies),
        client: peer_client::PeerClient::new(&key),
        key,
    };
    spawn_thread("peers", 1, peers.run(sockets, peer_commands))?;
    let endpoints = endpoints::Endpoints::new(node_id, from_endpoints);
    spawn_thread("endpoints", 1, async move {
        endpoints.run(endpoint_commands).await;
        Ok(())
    })?;
    let platform = platform::Platform::new(&settings.platform_url, from_platform);
    spawn_thread("platform", 1, async move {
        platform.run(platform_commands).await;
        Ok(())
    })?;
    spawn_thread("signals", 1, forward_signals(from_signals))?;

    let inputs = decision_thread::Inputs {
        rings: vec![signals_ring, platform_ring, endpoints_ring, peers_ring, callers_ring],
    };
    let outputs = decision_thread::Outputs {
        decision_client,
        answers,
        endpoints: to_endpoints,
        platform: to_platform,
        peers: to_peers,
        replies,
        closing,
        stopped,
        logger: logger.clone(),
    };
    let clock = clock::SystemClock::new();
    let node = node::Node::new(node_config(&settings, node_id, &clock));
    decision_thread::run(node, &clock, inputs, &outputs);
    wait_for_connections(&open_connections);
    info!(logger, "stopped"; "open_connections" => open_connections.load(Ordering::Acquire));
    Ok(())
}

fn node_config(
    settings: &settings::Settings,
    node_id: id::NodeId,
    clock: &dyn clock::Clock,
) -> node::Config {
    node::Config {
        node: node_id,
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        region: settings.region.clone(),
        instance: settings.instance,
        caller_address: settings.caller_address,
        peer_address: settings.peer_address,
        seeds: settings.seeds.clone(),
        probe_interval: settings.probe_interval,
        drain_limit: settings.drain_limit,
        started_at: clock.unix_time(),
        random_seed: rand::random(),
    }
}

/// Runs a task in a runtime of its own, on `thread_count` threads.
fn spawn_thread(
    name: &str,
    thread_count: usize,
    task: impl Future<Output = anyhow::Result<()>> + Send + 'static,
) -> anyhow::Result<()> {
    let runtime = if thread_count == 1 {
        runtime::Builder::new_current_thread().enable_all().build()?
    } else {
        runtime::Builder::new_multi_thread()
            .worker_threads(thread_count)
            .thread_name(name)
            .enable_all()
            .build()?
    };
    thread::Builder::new().name(name.to_owned()).spawn(move || runtime.block_on(task))?;
    Ok(())
}

async fn forward_signals(events: ring::Sender<event::Event>) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        events.send(event::Event::Terminate).await;
    }
}

/// Waits until the last bytes of complete answers are sent.
fn wait_for_connections(open_connections: &AtomicUsize) {
    let started = Instant::now();
    while open_connections.load(Ordering::Acquire) > 0 && started.elapsed() < CLOSE_TIMEOUT {
        thread::sleep(CLOSE_POLL_INTERVAL);
    }
}
