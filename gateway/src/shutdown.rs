//! The end of the process, step by step.

use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::BoxFuture;
use slog::{Logger, info};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time;

use crate::context::Context;

/// Time after SIGTERM for which requests are taken. The balancer takes a gateway out after two
/// missed questions, one second apart; requests that come three seconds after SIGTERM must be
/// finished within the grace time, which streams may not be.
const LEAVING_PERIOD: Duration = Duration::from_millis(2_600);

/// Part of the grace time that is left unused before SIGKILL.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Interval at which open requests are counted.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How far the shutdown is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Not begun.
    Serving,
    /// Not ready any more; requests are still taken.
    Leaving,
    /// Requests in progress are finished, others refused.
    Closing,
}

/// Waits until the gateway closes.
pub(crate) fn wait_until_closing(mut phase: watch::Receiver<Phase>) -> BoxFuture<'static, ()> {
    Box::pin(async move {
        // Without a sender the process is at its end.
        let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
    })
}

/// Ready at SIGTERM. SIGHUP is only noted, as no setting changes at run time.
pub(crate) fn stop_signal(logger: Logger) -> anyhow::Result<BoxFuture<'static, ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    Ok(Box::pin(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => return,
                _ = reload.recv() => info!(logger, "reload: no setting changes at run time"),
            }
        }
    }))
}

/// Takes the gateway out of service and waits for the requests in progress.
pub(crate) async fn run(context: Context, phase: watch::Sender<Phase>) {
    let grace = context.dispatcher().settings.bounds.grace;
    let started_at = context.now();
    info!(context.logger, "leaving"; "open_requests" => open_requests(&context));
    phase.send_replace(Phase::Leaving);
    time::sleep(LEAVING_PERIOD.min(grace / 2)).await;
    phase.send_replace(Phase::Closing);
    let deadline = started_at + grace.saturating_sub(GRACE_MARGIN);
    while context.now() < deadline && open_requests(&context) > 0 {
        time::sleep(POLL_INTERVAL).await;
    }
    // Lets the last answers reach the network.
    time::sleep(POLL_INTERVAL).await;
    info!(context.logger, "stopped"; "open_requests" => open_requests(&context));
}

fn open_requests(context: &Context) -> usize {
    context.open_requests.load(Ordering::Relaxed)
}
