//! Handover of the release and the endpoints between gateways, for gateways that the store does not
//! answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use forwarding::catch_up::CatchUp;
use forwarding::endpoints::EndpointTable;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use platform::channel::Channel;
use prost::Message;
use rhubarbrock_schema::gossip;
use slog::{info, warn};
use tokio::net::TcpListener;
use tokio::time;

use crate::context::Context;
use crate::gossip as gossip_reports;
use crate::server::{self, ClientSettings};
use crate::store_watch;

/// Path of the handover.
const PATH: &str = "/handover";

/// Timeout of a call. A release with a thousand routes takes 0.2 s on a 10 Mbit/s link.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum number of gateways that are tried in a row. One of them may be unreachable, and one may
/// have started only recently itself.
const MAX_SOURCES: usize = 3;

/// Interval at which this gateway compares its release with those that others report.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Every handover uses a new connection.
const GATEWAY_CLIENTS: ClientSettings = ClientSettings {
    connection_kind: "a gateway connection",
    idle_timeout: Duration::from_secs(5),
};

/// Serves this gateway's release and endpoints to other gateways.
pub(crate) async fn serve(context: Context, listener: TcpListener) {
    server::serve(context, listener, GATEWAY_CLIENTS, respond).await;
}

fn respond(context: &Context, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() != PATH {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let release = context.release_record();
    let dispatcher = context.dispatcher();
    let endpoints = dispatcher.endpoints.iter().map(gossip_reports::encode_joined).collect();
    let handover = gossip::Handover { release: release.to_vec(), endpoints };
    Response::new(Full::new(handover.encode_to_vec().into()))
}

/// Watches for newer releases that this gateway does not get.
pub(crate) async fn follow(context: Context) {
    let mut catch_up = CatchUp::default();
    loop {
        time::sleep(CHECK_INTERVAL).await;
        let now = context.now();
        let (own, reported, is_store_failing) = {
            let dispatcher = context.dispatcher();
            let reported = dispatcher.peers.newest_release_version();
            (dispatcher.release_version(), reported, dispatcher.store_answer_times.is_failing)
        };
        let was_late = catch_up.is_late(now);
        catch_up.update(now, own < reported);
        metrics::gauge!("gateway_release_behind_seconds")
            .set(catch_up.behind_for(now).as_secs_f64());
        if catch_up.is_late(now) && !was_late {
            warn!(context.logger, "release is behind"; "version" => own,
                "reported" => reported, "is_store_failing" => is_store_failing);
        }
    }
}

/// Requests a handover from other gateways until this one has a release and an endpoint and no
/// newer release is reported.
pub(crate) async fn request_if_needed(context: &Context) {
    if !is_needed(context) {
        return;
    }
    let addresses = context.dispatcher().peers.addresses_by_release(context.now());
    for address in addresses.into_iter().take(MAX_SOURCES) {
        match request(address).await {
            Ok(handover) => {
                apply(context, address, &handover);
                if !is_needed(context) {
                    return;
                }
            }
            Err(error) => {
                info!(context.logger, "handover failed"; "source" => %address, "error" => %error);
            }
        }
    }
}

/// Whether this gateway has no release or no endpoint, or another gateway reports a newer release.
fn is_needed(context: &Context) -> bool {
    let dispatcher = context.dispatcher();
    !dispatcher.is_ready()
        || dispatcher.peers.newest_release_version() > dispatcher.release_version()
}

async fn request(address: SocketAddr) -> anyhow::Result<gossip::Handover> {
    let mut channel = Channel::new(address);
    let answer = channel.call(Method::GET, PATH, &[], Bytes::new(), CALL_TIMEOUT).await?;
    anyhow::ensure!(answer.status == StatusCode::OK, "expected status 200, got {}", answer.status);
    Ok(gossip::Handover::decode(answer.body)?)
}

fn apply(context: &Context, source: SocketAddr, handover: &gossip::Handover) {
    info!(context.logger, "handover"; "source" => %source,
        "release_bytes" => handover.release.len(), "endpoints" => handover.endpoints.len());
    if !handover.release.is_empty() {
        store_watch::apply_release_record(context, &handover.release);
    }
    for row in &handover.endpoints {
        let source = source.to_string();
        gossip_reports::apply_joined(context, row, &source, EndpointTable::on_handover_entry);
    }
}
