//! Starts and ends a gateway.

use std::net::SocketAddr;

use anyhow::Context as _;
use forwarding::dispatcher::Dispatcher;
use forwarding::settings::Settings;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use slog::info;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;

use crate::context::Context;
use crate::shutdown::{self, Phase};
use crate::{duties, front, gossip, logger, observation, store_watch};

/// Upper bounds of latency histograms, in seconds, around the usual latency targets.
const LATENCY_BUCKETS_S: [f64; 10] = [0.01, 0.03, 0.06, 0.12, 0.25, 0.5, 1.0, 2.0, 5.0, 15.0];

/// Runs a gateway with the settings that the platform gives, until SIGTERM.
pub fn run() -> anyhow::Result<()> {
    let settings = platform::settings::load()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> anyhow::Result<()> {
    let logger = logger::new(&settings.name);
    let metrics = install_metrics()?;
    let callers = bind(settings.caller_address).await?;
    let readiness = bind(settings.readiness_address).await?;
    let observers = bind(settings.metrics_address).await?;
    let peer_address = SocketAddr::new(settings.peer_ip, settings.peer_port);
    let socket = UdpSocket::bind(peer_address)
        .await
        .with_context(|| format!("cannot listen for gateways on {peer_address}"))?;
    info!(logger, "started"; "data_centre" => &settings.data_centre,
        "callers" => %settings.caller_address, "store" => %settings.store_address);
    let (phase_sender, phase) = watch::channel(Phase::Serving);
    let context = Context::new(Dispatcher::new(settings), logger, phase);
    tokio::spawn(store_watch::follow_release(context.clone()));
    tokio::spawn(store_watch::follow_endpoints(context.clone()));
    tokio::spawn(observation::serve(context.clone(), readiness, None));
    tokio::spawn(observation::serve(context.clone(), observers, Some(metrics)));
    tokio::spawn(gossip::join(context.clone(), peer_address));
    tokio::spawn(gossip::exchange(context.clone(), socket));
    tokio::spawn(duties::run(context.clone()));
    tokio::spawn(front::serve(context.clone(), callers));
    shutdown::run(context, phase_sender).await
}

fn install_metrics() -> anyhow::Result<PrometheusHandle> {
    let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS_S)?;
    builder.install_recorder().context("cannot install the metrics recorder")
}

async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("cannot listen on {address}"))
}
