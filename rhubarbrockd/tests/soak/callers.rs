//! Callers: requests of all kinds over kept connections, one after the other.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use platform_standins::config::HOST;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::time;

use crate::world::{BOUND, CONTACT, GATEWAYS, World};

/// Time that callers give their requests.
pub(crate) const TIME_LIMIT: Duration = Duration::from_millis(2_500);

/// Longest wait for an answer; one that takes so long is judged by the checks.
const PATIENCE: Duration = Duration::from_millis(8_000);

/// Pause after a failed connection.
const PAUSE: Duration = Duration::from_millis(50);

/// Events in each stream of a replica.
pub(crate) const EVENTS: u64 = 10;

/// Routes of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    Order,
    Look,
    Answer,
    Write,
}

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Kind::Order => "/order/1",
            Kind::Look => "/order/look/1",
            Kind::Answer => "/answer/1",
            Kind::Write => "/write/1",
        }
    }

    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Kind::Answer | Kind::Write)
    }

    /// Most replicas that one attempt may run on.
    pub(crate) fn max_runs(self) -> usize {
        match self {
            Kind::Order | Kind::Answer => 1,
            Kind::Look | Kind::Write => 2,
        }
    }
}

/// What a caller saw.
#[derive(Debug, Clone)]
pub(crate) enum Outcome {
    Answered {
        status: StatusCode,
        is_replicas: bool,
        body: String,
        is_whole: bool,
    },
    /// The connection ended without a head.
    Cut,
    /// No answer came while the caller waited.
    Silent,
}

#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    pub(crate) key: String,
    pub(crate) gateway: usize,
    /// Last event that the caller had before.
    pub(crate) after_event: u64,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    pub(crate) outcome: Outcome,
}

struct Connection {
    gateway: usize,
    sender: SendRequest<Full<Bytes>>,
}

/// Asks each gateway for readiness over and over.
pub(crate) async fn watch_readiness(world: Arc<World>, interval: Duration) {
    let mut addresses = Vec::new();
    for gateway in &world.gateways {
        addresses.push(gateway.lock().await.readiness);
    }
    loop {
        for (index, address) in addresses.iter().enumerate() {
            let asked = async {
                let mut connection = connect(index, *address).await?;
                let request = Request::get("/readyz").header("Host", HOST);
                let request = request.body(Full::default()).unwrap();
                let answer = connection.sender.send_request(request).await.ok()?;
                Some(answer.status() == StatusCode::OK)
            };
            let is_ready = time::timeout(interval, asked).await.ok().flatten().unwrap_or(false);
            world.ready.lock().unwrap()[index] = is_ready;
        }
        time::sleep(interval).await;
    }
}

/// One caller.
pub(crate) async fn run(world: Arc<World>, caller: u64, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed << 8 | caller);
    let mut connection: Option<Connection> = None;
    for number in 0_u64.. {
        let kinds = [Kind::Order, Kind::Look, Kind::Answer, Kind::Write];
        let kind = kinds[random.random_range(0..kinds.len())];
        let key = pick_key(&world, &mut random);
        let mut after_event = 0;
        for again in 0..2 {
            let id = format!("c{caller}-{number}-{again}");
            let Some(mut open) = open(&world, connection.take(), &mut random).await else {
                time::sleep(PAUSE).await;
                break;
            };
            let sent_at = Instant::now();
            let outcome = send(&mut open, &id, kind, &key, after_event).await;
            let attempt = Attempt {
                id,
                kind,
                key: key.clone(),
                gateway: open.gateway,
                after_event,
                sent_at,
                ended_at: Instant::now(),
                outcome,
            };
            let last = last_event(&attempt);
            let is_done = !matches!(
                attempt.outcome,
                Outcome::Answered { status: StatusCode::OK, is_whole: false, .. }
            );
            if is_done && matches!(attempt.outcome, Outcome::Answered { .. }) {
                connection = Some(open);
            }
            world.attempts.lock().unwrap().push(attempt);
            // Only the one kind of stream goes on after its last event.
            if is_done || kind != Kind::Write {
                break;
            }
            after_event = last;
        }
        time::sleep(Duration::from_millis(random.random_range(5..60))).await;
    }
}

/// A key that all gateways know, and at times one that was revoked.
fn pick_key(world: &World, random: &mut ChaCha8Rng) -> String {
    let now = Instant::now();
    let keys = world.keys();
    let revoked = keys.iter().rfind(|key| key.revoked_at.is_some());
    if let Some(key) = revoked
        && random.random_ratio(1, 6)
    {
        return key.name.clone();
    }
    let is_known = |since: Instant| since <= world.started || now > since + BOUND + CONTACT;
    let known = keys.iter().rfind(|key| key.revoked_at.is_none() && is_known(key.since));
    known.or(keys.first()).expect("there is a first key").name.clone()
}

async fn open(
    world: &World,
    kept: Option<Connection>,
    random: &mut ChaCha8Rng,
) -> Option<Connection> {
    if let Some(mut kept) = kept
        && random.random_ratio(9, 10)
        && kept.sender.ready().await.is_ok()
    {
        return Some(kept);
    }
    let ready: Vec<usize> = {
        let ready = world.ready.lock().unwrap();
        (0..GATEWAYS).filter(|&index| ready[index]).collect()
    };
    let gateway = *ready.get(random.random_range(0..ready.len().max(1)))?;
    let address = world.callers[gateway];
    time::timeout(PATIENCE, connect(gateway, address)).await.ok()?
}

async fn connect(gateway: usize, address: std::net::SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(Connection { gateway, sender })
}

async fn send(
    connection: &mut Connection,
    id: &str,
    kind: Kind,
    key: &str,
    after_event: u64,
) -> Outcome {
    let mut request = Request::post(format!("{}?n={id}", kind.path()))
        .header("Host", HOST)
        .header("Attempt-Id", id)
        .header("X-Api-Key", key)
        .header("Deadline-Ms", TIME_LIMIT.as_millis().to_string());
    if after_event > 0 {
        request = request.header("Last-Event-Id", after_event.to_string());
    }
    let request = request.body(Full::new(Bytes::from_static(b"body"))).unwrap();
    let exchange = async {
        let Ok(answer) = connection.sender.send_request(request).await else { return Outcome::Cut };
        let (status, is_replicas) = (answer.status(), is_signed(answer.headers()));
        let mut body = answer.into_body();
        let mut text = Vec::new();
        let mut is_whole = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => text.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
                Err(_) => {
                    is_whole = false;
                    break;
                }
            }
        }
        let body = String::from_utf8_lossy(&text).into_owned();
        Outcome::Answered { status, is_replicas, body, is_whole }
    };
    time::timeout(PATIENCE, exchange).await.unwrap_or(Outcome::Silent)
}

fn is_signed(headers: &HeaderMap) -> bool {
    headers.contains_key("replica-signature")
}

/// Last whole event that the caller has after an attempt.
fn last_event(attempt: &Attempt) -> u64 {
    let Outcome::Answered { body, .. } = &attempt.outcome else { return attempt.after_event };
    let whole = body.rfind("\n\n").map_or("", |end| &body[..end]);
    let last = whole.lines().filter_map(|line| line.strip_prefix("id: ")).next_back();
    last.and_then(|id| id.parse().ok()).unwrap_or(attempt.after_event)
}
