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

/// Time after the start by which the reports of the other gateways have come.
const START_DELAY: Duration = Duration::from_secs(3);

/// Interval of the calls to one endpoint.
const INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a call, without the time for which the endpoint may keep it waiting.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which changes are kept for reports; longer than any of them is reported.
const CHANGE_RETENTION: Duration = Duration::from_secs(15);

/// Listens to the endpoints that fall to this gateway until the shutdown.
pub(crate) async fn run(context: Context) {
    time::sleep(START_DELAY).await;
    let mut listeners: HashMap<EndpointId, (SocketAddr, Listener)> = HashMap::new();
    while context.phase() == Phase::Serving {
        let next_at = time::Instant::now() + INTERVAL;
        let endpoints = tick(&context);
        listeners.retain(|id, (address, _)| {
            endpoints.get(id).is_some_and(|endpoint| endpoint.address == *address)
        });
        for (id, endpoint) in &endpoints {
            let address = endpoint.address;
            let listener = || (address, Listener::new(id.clone(), address, CALL_TIMEOUT));
            listeners.entry(id.clone()).or_insert_with(listener);
        }
        metrics::gauge!("gateway_listened_endpoints").set(listeners.len() as f64);
        let due = listeners.iter_mut().filter(|(id, _)| endpoints[*id].may_be_called);
        let calls = due.map(|(id, (_, listener))| listen(&context, id, listener));
        future::join_all(calls).await;
        time::sleep_until(next_at).await;
    }
}

struct ListenedEndpoint {
    address: SocketAddr,
    /// Whether it has not requested a wait.
    may_be_called: bool,
}

/// Forgets what is no longer needed; returns the endpoints to listen to.
fn tick(context: &Context) -> HashMap<EndpointId, ListenedEndpoint> {
    let now = context.now();
    let mut dispatcher = context.dispatcher();
    let dispatcher = &mut *dispatcher;
    let endpoints = &dispatcher.endpoints;
    dispatcher.residency.tick(now, CHANGE_RETENTION, |id| endpoints.get(id).is_some());
    let listened = dispatcher.listened_endpoints(now).into_iter();
    let listened = listened.map(|endpoint| {
        let may_be_called = endpoints.wait_end(now, endpoint).is_none();
        let address = endpoint.entry.address;
        (endpoint.entry.id.clone(), ListenedEndpoint { address, may_be_called })
    });
    listened.collect()
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
