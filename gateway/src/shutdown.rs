//! Graceful shutdown.

use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::BoxFuture;
use slog::{Logger, info};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time;

use crate::context::Context;
use crate::open_requests::Stage;

/// Time after SIGTERM in which requests are accepted. The load balancer stops sending requests after
/// two failed readiness checks, one second apart. A request that arrives three seconds after SIGTERM
/// must still finish within the grace time, which a stream may exceed.
const LEAVING_PERIOD: Duration = Duration::from_millis(2_600);

/// Time left between the end of requests in progress and SIGKILL.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Part of that time in which the last answers are written.
const LAST_ANSWERS_PERIOD: Duration = Duration::from_millis(200);

/// Maximum time that an answer and the next request take between gateway and caller.
const MAX_CROSSING_TIME: Duration = Duration::from_millis(500);

/// Interval at which the number of open requests is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Consecutive checks without an open request after which a phase ends. A request that has arrived
/// but is not read yet counts as open at a later check only.
const QUIET_CHECKS: u32 = 3;

/// Phase of the shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// The shutdown has not begun.
    Serving,
    /// The readiness check fails; new requests are still accepted.
    Leaving,
    /// Requests in progress are finished; new requests are refused.
    Closing,
    /// No connection is accepted any more, and requests without an answer get an error.
    Ending,
}

/// How long callers may leave a connection idle before they reuse it, in whole seconds. A connection
/// that was last used before the leaving phase is not reused after it, so that closing it then does
/// not cross a request.
pub(crate) fn keep_alive_time(grace: Duration) -> Duration {
    Duration::from_secs(leaving_period(grace).saturating_sub(MAX_CROSSING_TIME).as_secs().max(1))
}

fn leaving_period(grace: Duration) -> Duration {
    LEAVING_PERIOD.min(grace / 2)
}

/// Resolves when a phase begins.
pub(crate) fn wait_until(
    begun: Phase,
    mut phase: watch::Receiver<Phase>,
) -> BoxFuture<'static, ()> {
    Box::pin(async move {
        // Fails if the sender is dropped, which happens at the end of the process.
        let _ = phase.wait_for(|phase| *phase >= begun).await;
    })
}

/// Returns a future that resolves at SIGTERM. SIGHUP is only logged, as no setting can change at run
/// time.
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

/// Runs the phases of the shutdown and waits for requests in progress until shortly before the grace
/// time ends.
pub(crate) async fn run(context: Context, phase: watch::Sender<Phase>) {
    let grace = context.dispatcher().settings.bounds.grace;
    let started_at = context.now();
    log_phase(&context, "leaving");
    phase.send_replace(Phase::Leaving);
    time::sleep(leaving_period(grace)).await;
    log_phase(&context, "closing");
    phase.send_replace(Phase::Closing);
    let deadline = started_at + grace.saturating_sub(GRACE_MARGIN);
    wait_until_answered(&context, deadline).await;
    phase.send_replace(Phase::Ending);
    wait_until_answered(&context, deadline + LAST_ANSWERS_PERIOD).await;
    log_phase(&context, "stopped");
}

/// Waits until all answers are written and no request follows, or until the deadline.
async fn wait_until_answered(context: &Context, deadline: Duration) {
    let mut quiet_checks = 0;
    while context.now() < deadline && quiet_checks < QUIET_CHECKS {
        time::sleep(POLL_INTERVAL).await;
        quiet_checks = if context.open_requests.total() > 0 { 0 } else { quiet_checks + 1 };
    }
}

fn log_phase(context: &Context, phase: &'static str) {
    let open = &context.open_requests;
    info!(context.logger, "{}", phase; "open_requests" => open.total(),
        "reading_body" => open.in_stage(Stage::ReadingBody),
        "running" => open.in_stage(Stage::Running),
        "answering" => open.in_stage(Stage::Answering),
        "admitted" => context.admitted_requests.load(Ordering::Relaxed),
        "connections" => open.connections());
}
