//! Listens to endpoints for the parts of prompts that they hold.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use forwarding::endpoints::EndpointId;
use futures_util::future;
use platform::prompt_memory::{Listener, News};
use slog::info;
use tokio::time;

use crate::context::Context;
use crate::shutdown::Phase;

/// Interval of the calls to one endpoint.
const INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a call, without the time for which the endpoint may keep it waiting.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which changes are kept for reports; longer than any of them is reported.
const CHANGE_RETENTION: Duration = Duration::from_secs(15);

/// Listens to the endpoints that fall to this gateway until the shutdown.
pub(crate) async fn run(context: Context) {
    let mut listeners: HashMap<EndpointId, (SocketAddr, Listener)> = HashMap::new();
    while context.phase() == Phase::Serving {
        let next_at = time::Instant::now() + INTERVAL;
        let endpoints = tick(&context);
        listeners.retain(|id, (address, _)| endpoints.contains(&(id.clone(), *address)));
        for (id, address) in endpoints {
            let listener = || Listener::new(id.clone(), address, CALL_TIMEOUT);
            listeners.entry(id.clone()).or_insert_with(|| (address, listener()));
        }
        metrics::gauge!("gateway_listened_endpoints").set(listeners.len() as f64);
        let calls = listeners.iter_mut().map(|(id, (_, listener))| listen(&context, id, listener));
        future::join_all(calls).await;
        time::sleep_until(next_at).await;
    }
}

/// Forgets what is no longer needed; returns the endpoints to listen to.
fn tick(context: &Context) -> Vec<(EndpointId, SocketAddr)> {
    let now = context.now();
    let mut dispatcher = context.dispatcher();
    let dispatcher = &mut *dispatcher;
    let endpoints = &dispatcher.endpoints;
    dispatcher.residency.tick(now, CHANGE_RETENTION, |id| endpoints.get(id).is_some());
    dispatcher.listened_endpoints(now)
}

async fn listen(context: &Context, id: &str, listener: &mut Listener) {
    let news = listener.listen().await;
    let now = context.now();
    match news {
        Ok(News::Listing(epoch, held)) => {
            info!(context.logger, "endpoint's prompt parts listed"; "endpoint" => id,
                "parts" => held.len(), "epoch" => epoch);
            context.dispatcher().residency.on_listing(now, id, epoch, held);
        }
        Ok(News::Changes(epoch, changes)) => {
            metrics::counter!("gateway_prompt_part_changes_total").increment(changes.len() as u64);
            context.dispatcher().residency.on_changes(now, id, epoch, &changes);
        }
        Err(error) => {
            metrics::counter!("gateway_listen_failures_total").increment(1);
            info!(context.logger, "cannot ask for prompt parts"; "endpoint" => id,
                "error" => %error);
        }
    }
}
