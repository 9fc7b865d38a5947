//! Callers that send requests of all kinds in sequence, over connections that they reuse.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use platform_standins::caller;
use platform_standins::config::HOST;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::time;

use crate::testbed::{GATEWAYS, MAX_DELAY, STORE_CONTACT_TIME, Testbed};

/// Deadline that callers send with their requests.
pub(crate) const DEADLINE: Duration = Duration::from_millis(2_500);

/// Timeout of a request; whether an answer came too late is decided by the checks.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(8_000);

/// Delay after a failed connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Events in each stream that a replica sends.
pub(crate) const EVENTS_PER_STREAM: u64 = 10;

/// Routes of the configuration; `Answer` and `Write` are answered with event streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RouteKind {
    Order,
    Look,
    Answer,
    Write,
}

impl RouteKind {
    fn path(self) -> &'static str {
        match self {
            RouteKind::Order => "/order/1",
            RouteKind::Look => "/order/look/1",
            RouteKind::Answer => "/answer/1",
            RouteKind::Write => "/write/1",
        }
    }

    pub(crate) fn is_stream(self) -> bool {
        matches!(self, RouteKind::Answer | RouteKind::Write)
    }

    /// Largest number of replicas that may run one attempt.
    pub(crate) fn max_runs(self) -> usize {
        match self {
            RouteKind::Order | RouteKind::Answer => 1,
            RouteKind::Look | RouteKind::Write => 2,
        }
    }
}

/// Outcome of an attempt as the caller observed it.
#[derive(Debug, Clone)]
pub(crate) enum Outcome {
    Answered {
        status: StatusCode,
        is_from_replica: bool,
        body: String,
        is_complete: bool,
    },
    /// The connection ended before the head of an answer.
    ConnectionLost,
    /// No complete answer came within [`ANSWER_TIMEOUT`].
    TimedOut,
}

/// One request and its outcome.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) id: String,
    pub(crate) kind: RouteKind,
    pub(crate) key: String,
    pub(crate) gateway: usize,
    /// Id of the last event that the caller had before this attempt; 0 for none.
    pub(crate) after_event: u64,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    pub(crate) outcome: Outcome,
}

struct Connection {
    gateway: usize,
    sender: SendRequest<Full<Bytes>>,
}

/// Polls the readiness of each gateway.
pub(crate) async fn watch_readiness(testbed: Arc<Testbed>, interval: Duration) {
    let mut addresses = Vec::new();
    for gateway in &testbed.gateways {
        addresses.push(gateway.lock().await.readiness_address);
    }
    loop {
        for (index, address) in addresses.iter().enumerate() {
            let check = async {
                let mut connection = connect(index, *address).await?;
                let request = Request::get("/readyz").header("Host", HOST);
                let request = request.body(Full::default()).unwrap();
                let answer = connection.sender.send_request(request).await.ok()?;
                Some(answer.status() == StatusCode::OK)
            };
            let is_ready = time::timeout(interval, check).await.ok().flatten().unwrap_or(false);
            testbed.ready.lock().unwrap()[index] = is_ready;
        }
        time::sleep(interval).await;
    }
}

/// Runs one caller until the task is aborted.
pub(crate) async fn run(testbed: Arc<Testbed>, caller: u64, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed << 8 | caller);
    let mut connection: Option<Connection> = None;
    for number in 0_u64.. {
        let kinds = [RouteKind::Order, RouteKind::Look, RouteKind::Answer, RouteKind::Write];
        let kind = kinds[random.random_range(0..kinds.len())];
        let key = pick_key(&testbed, &mut random);
        let mut after_event = 0;
        for retry in 0..2 {
            let id = format!("c{caller}-{number}-{retry}");
            let Some(mut open) = reuse_or_connect(&testbed, connection.take(), &mut random).await
            else {
                time::sleep(RECONNECT_DELAY).await;
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
                Outcome::Answered { status: StatusCode::OK, is_complete: false, .. }
            );
            if is_done && matches!(attempt.outcome, Outcome::Answered { .. }) {
                connection = Some(open);
            }
            testbed.attempts.lock().unwrap().push(attempt);
            // Only `Write` streams can be resumed after their last event.
            if is_done || kind != RouteKind::Write {
                break;
            }
            after_event = last;
        }
        time::sleep(Duration::from_millis(random.random_range(5..60))).await;
    }
}

/// Picks a key that all gateways know or, in one of six cases, one that was revoked.
fn pick_key(testbed: &Testbed, random: &mut ChaCha8Rng) -> String {
    let now = Instant::now();
    let keys = testbed.keys();
    let revoked = keys.iter().rfind(|key| key.revoked_at.is_some());
    if let Some(key) = revoked
        && random.random_ratio(1, 6)
    {
        return key.name.clone();
    }
    let is_known = |published_at: Instant| {
        published_at <= testbed.started || now > published_at + MAX_DELAY + STORE_CONTACT_TIME
    };
    let known = keys.iter().rfind(|key| key.revoked_at.is_none() && is_known(key.published_at));
    known.or(keys.first()).expect("the list of keys is never empty").name.clone()
}

/// Returns the idle connection in nine of ten cases, otherwise a new one to a random ready gateway.
async fn reuse_or_connect(
    testbed: &Testbed,
    idle: Option<Connection>,
    random: &mut ChaCha8Rng,
) -> Option<Connection> {
    if let Some(mut idle) = idle
        && random.random_ratio(9, 10)
        && idle.sender.ready().await.is_ok()
    {
        return Some(idle);
    }
    let ready: Vec<usize> = {
        let ready = testbed.ready.lock().unwrap();
        (0..GATEWAYS).filter(|&index| ready[index]).collect()
    };
    let gateway = *ready.get(random.random_range(0..ready.len().max(1)))?;
    let address = testbed.caller_addresses[gateway];
    time::timeout(ANSWER_TIMEOUT, connect(gateway, address)).await.ok()?
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
    kind: RouteKind,
    key: &str,
    after_event: u64,
) -> Outcome {
    let mut request = caller::request(&format!("{}?n={id}", kind.path()), id, key, DEADLINE);
    if after_event > 0 {
        request = request.header("Last-Event-Id", after_event.to_string());
    }
    let request = request.body(Full::new(Bytes::from_static(b"body"))).unwrap();
    let exchange = async {
        let Ok(answer) = connection.sender.send_request(request).await else {
            return Outcome::ConnectionLost;
        };
        let (status, is_from_replica) = (answer.status(), caller::is_signed(answer.headers()));
        let mut body = answer.into_body();
        let mut text = Vec::new();
        let mut is_complete = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => text.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
                Err(_) => {
                    is_complete = false;
                    break;
                }
            }
        }
        let body = String::from_utf8_lossy(&text).into_owned();
        Outcome::Answered { status, is_from_replica, body, is_complete }
    };
    time::timeout(ANSWER_TIMEOUT, exchange).await.unwrap_or(Outcome::TimedOut)
}

/// Id of the last complete event that the caller has after an attempt.
fn last_event(attempt: &Attempt) -> u64 {
    let Outcome::Answered { body, .. } = &attempt.outcome else { return attempt.after_event };
    let complete_events = body.rfind("\n\n").map_or("", |end| &body[..end]);
    let last = complete_events.lines().filter_map(|line| line.strip_prefix("id: ")).next_back();
    last.and_then(|id| id.parse().ok()).unwrap_or(attempt.after_event)
}
