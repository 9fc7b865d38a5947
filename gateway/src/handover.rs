//! Handover of the release and the endpoints between gateways, for gateways that do not get them
//! from the store in time.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use forwarding::catch_up::CatchUp;
use forwarding::endpoints::EndpointTable;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use platform::channel::{self, CallLimits, Channel};
use prost::Message;
use rhubarbrock_schema::gossip;
use slog::{info, warn};
use tokio::net::TcpListener;
use tokio::time;

use crate::context::Context;
use crate::gossip as gossip_reports;
use crate::release_record;
use crate::server::{self, ClientSettings};
use crate::store_watch;

/// Path of the handover.
const PATH: &str = "/handover";

/// Maximum silence of either side of a handover.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Header by which a gateway that requests a handover states that it can inflate the release.
const ACCEPT_ENCODING: &str = "accept-encoding";

/// Value of that header.
const DEFLATE: &str = "deflate";

/// Maximum number of gateways that are tried in a row. Some of them may be unreachable or have too
/// many transfers in progress.
const MAX_SOURCES: usize = 5;

/// Interval at which this gateway compares what it has with what others report.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of handovers to other gateways at a time. The link of an instance is too slow for
/// more of them to complete in time; those turned away ask another gateway, or come back.
const MAX_TRANSFERS: usize = 3;

/// Every handover uses a new connection, so their number is that of the transfers.
const GATEWAY_CLIENTS: ClientSettings = ClientSettings {
    connection_kind: "a gateway connection",
    idle_timeout: SILENCE_TIMEOUT,
    max_connections: MAX_TRANSFERS,
    max_age: Some(channel::MAX_TRANSFER_TIME),
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
    let endpoints = {
        let dispatcher = context.dispatcher();
        dispatcher.endpoints.iter().map(gossip_reports::encode_joined).collect()
    };
    let accepted = request.headers().get(ACCEPT_ENCODING);
    let release = context.release_record();
    let handover = match accepted.is_some_and(|encoding| encoding == DEFLATE) {
        true => gossip::Handover {
            deflated_release: release.deflated().to_vec(),
            endpoints,
            ..gossip::Handover::default()
        },
        false => gossip::Handover {
            release: release.encoded().to_vec(),
            endpoints,
            ..gossip::Handover::default()
        },
    };
    Response::new(Full::new(handover.encode_to_vec().into()))
}

/// Watches what this gateway lacks, and requests handovers while the store does not provide it.
pub(crate) async fn follow(context: Context) {
    let release_delay = context.dispatcher().settings.bounds.release_delay;
    let mut catch_up = CatchUp::new(release_delay);
    let mut round = 0;
    loop {
        time::sleep(CHECK_INTERVAL).await;
        let now = context.now();
        let need = Need::of(&context);
        let was_late = catch_up.is_late(now);
        catch_up.update(now, need.is_behind());
        metrics::gauge!("gateway_release_behind_seconds")
            .set(catch_up.behind_for(now).as_secs_f64());
        if catch_up.is_late(now) && !was_late {
            warn!(context.logger, "release is behind"; "version" => need.version,
                "reported" => need.reported_version, "is_store_failing" => need.is_store_failing);
        }
        let must_get_ready = need.is_store_failing && !need.is_ready;
        if must_get_ready || catch_up.must_ask_others(now, need.is_store_failing) {
            request_until_complete(&context, round).await;
            round += 1;
        }
    }
}

/// What this gateway has, compared with what others report.
struct Need {
    version: u64,
    reported_version: u64,
    is_ready: bool,
    is_store_failing: bool,
}

impl Need {
    fn of(context: &Context) -> Need {
        let dispatcher = context.dispatcher();
        Need {
            version: dispatcher.release_version(),
            reported_version: dispatcher.peers.newest_release_version(),
            is_ready: dispatcher.is_ready(),
            is_store_failing: dispatcher.store_answer_times.is_failing,
        }
    }

    fn is_behind(&self) -> bool {
        self.version < self.reported_version
    }

    /// Whether a handover has nothing to add.
    fn is_met(&self) -> bool {
        self.is_ready && !self.is_behind()
    }
}

/// Requests a handover from one gateway after the other until nothing is missing.
async fn request_until_complete(context: &Context, round: u64) {
    let sources = {
        let dispatcher = context.dispatcher();
        let settings = &dispatcher.settings;
        let (name, data_centre) = (&settings.name, &settings.data_centre);
        dispatcher.peers.handover_sources(context.now(), name, data_centre, round)
    };
    for address in sources.into_iter().take(MAX_SOURCES) {
        match request(address).await {
            Ok(handover) => {
                apply(context, address, &handover);
                if Need::of(context).is_met() {
                    return;
                }
            }
            Err(error) => {
                info!(context.logger, "handover failed"; "source" => %address, "error" => %error);
            }
        }
    }
}

async fn request(address: SocketAddr) -> anyhow::Result<gossip::Handover> {
    let mut channel = Channel::new(address);
    let headers = [(ACCEPT_ENCODING, DEFLATE.to_owned())];
    let limits = CallLimits::transfer(SILENCE_TIMEOUT);
    let answer = channel.call(Method::GET, PATH, &headers, Bytes::new(), limits).await?;
    anyhow::ensure!(answer.status == StatusCode::OK, "expected status 200, got {}", answer.status);
    let mut handover = gossip::Handover::decode(answer.body)?;
    if !handover.deflated_release.is_empty() {
        handover.release = release_record::inflate(&handover.deflated_release)?;
    }
    Ok(handover)
}

fn apply(context: &Context, source: SocketAddr, handover: &gossip::Handover) {
    info!(context.logger, "handover"; "source" => %source,
        "release_bytes" => handover.release.len(),
        "deflated_bytes" => handover.deflated_release.len(), "endpoints" => handover.endpoints.len());
    if !handover.release.is_empty() {
        store_watch::apply_release_record(context, &handover.release);
    }
    // While the store answers, its entries are newer than those of another gateway.
    let need = Need::of(context);
    if need.is_ready && !need.is_store_failing {
        return;
    }
    for row in &handover.endpoints {
        let source = source.to_string();
        gossip_reports::apply_joined(context, row, &source, EndpointTable::on_handover_entry);
    }
}
