//! Start and end of a gateway process.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use anyhow::Context as _;
use forwarding::dispatcher::Dispatcher;
use forwarding::settings::Settings;
use futures_util::future::BoxFuture;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use slog::{Logger, info};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::context::Context;
use crate::shutdown::{self, Phase};
use crate::{
    duties, frontend, gossip, handover, logger, monitoring, residency_watch, rollouts, store_watch,
};

/// Upper bounds of the buckets of latency histograms, in seconds, around common latency targets.
const LATENCY_BUCKETS_S: [f64; 10] = [0.01, 0.03, 0.06, 0.12, 0.25, 0.5, 1.0, 2.0, 5.0, 15.0];

/// Runs a gateway with the platform's settings file until SIGTERM.
///
/// Fails if the settings are invalid, or if the signal handlers or a listener cannot be set up.
pub fn run() -> anyhow::Result<()> {
    let settings = platform::settings::load()?;
    let logger = logger::new(&settings.name);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let stop = {
        let _entered = runtime.enter();
        shutdown::stop_signal(logger.clone())?
    };
    runtime.block_on(serve(settings, logger, stop))
}

/// Runs a gateway until `stop` resolves, then shuts it down: requests in progress are finished
/// within the grace time of the settings.
///
/// Fails if the metrics recorder or a listener cannot be set up.
pub async fn serve(
    settings: Settings,
    logger: Logger,
    stop: BoxFuture<'static, ()>,
) -> anyhow::Result<()> {
    let metrics = metrics_handle()?;
    let caller_listener = bind(settings.caller_address).await?;
    let readiness_listener = bind(settings.readiness_address).await?;
    let metrics_listener = bind(settings.metrics_address).await?;
    let peer_address = SocketAddr::new(settings.peer_ip, settings.peer_port);
    let socket = UdpSocket::bind(peer_address).await.with_context(|| {
        format!("cannot listen for reports of other gateways on {peer_address}")
    })?;
    let handover_listener = bind(peer_address).await?;
    info!(logger, "started"; "data_centre" => &settings.data_centre,
        "callers" => %settings.caller_address, "store" => %settings.store_address);
    let (phase_sender, phase) = watch::channel(Phase::Serving);
    let context = Context::new(Dispatcher::new(settings), logger, phase);
    let mut tasks = JoinSet::new();
    tasks.spawn(store_watch::follow_release(context.clone()));
    tasks.spawn(store_watch::follow_endpoints(context.clone()));
    tasks.spawn(monitoring::serve(context.clone(), readiness_listener, None));
    tasks.spawn(monitoring::serve(context.clone(), metrics_listener, Some(metrics)));
    tasks.spawn(gossip::join(context.clone(), peer_address));
    tasks.spawn(handover::follow(context.clone()));
    tasks.spawn(handover::serve(context.clone(), handover_listener));
    tasks.spawn(gossip::run(context.clone(), socket));
    tasks.spawn(residency_watch::run(context.clone()));
    tasks.spawn(duties::run(context.clone()));
    tasks.spawn(rollouts::run(context.clone()));
    tasks.spawn(frontend::serve(context.clone(), caller_listener));
    stop.await;
    shutdown::run(context, phase_sender).await;
    Ok(())
}

/// Installs the metrics recorder of the process at the first call. Gateways in one process share it.
fn metrics_handle() -> anyhow::Result<PrometheusHandle> {
    static HANDLE: Mutex<Option<PrometheusHandle>> = Mutex::new(None);
    let mut handle = HANDLE.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(handle) = handle.as_ref() {
        return Ok(handle.clone());
    }
    let installed = install_metrics()?;
    *handle = Some(installed.clone());
    Ok(installed)
}

fn install_metrics() -> anyhow::Result<PrometheusHandle> {
    let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS_S)?;
    builder.install_recorder().context("cannot install the metrics recorder")
}

async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("cannot listen on {address}"))
}
