//! Memory of one gateway process that answers ordinary requests for a long time.
//!
//! The requests follow each other without a pause, so that the number of answers of some days fits
//! into a run. Nothing else happens. Without the disruption, the metrics of the process are fetched
//! every five seconds.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time;

use crate::desk::Desk;
use crate::fleet::{self, Gateway, Machine, Record};
use crate::http::Reader;
use crate::store::Store;

/// Smallest machine on the sheet of the Donantes Unidos Valle router fleet.
const MACHINE: Machine = Machine { memory_mb: 120, max_fds: 3_075 };

/// Requests a second for one machine on the same sheet: 992.7 for 77.
const SHEET_REQUESTS_PER_S: f64 = 12.9;

/// Answers after which a process that stays within its machine has passed.
const ANSWERS: u64 = 3_600_000;

/// Replicas of the service.
const REPLICAS: u64 = 6;

/// Channels of consumers, as many as there are slots at the replicas.
const CHANNELS: u64 = 36;

/// Requests that may be passed on and stay without an answer.
const ALLOWED: u64 = 3;

/// Slots of a replica of the desk.
const SLOTS: u32 = 6;

/// Time after which the run ends.
const TIME_LIMIT: Duration = Duration::from_secs(108);

/// Interval at which the platform looks at the memory.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which the platform fetches the metrics while it examines an incident.
const METRICS_INTERVAL: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Counts {
    answered: AtomicU64,
    other: AtomicU64,
    unanswered: AtomicU64,
}

/// Returns whether the rule held; `None` if that is not known.
pub async fn run(folder: &Path, scratch: &Path, has_trouble: bool) -> Option<bool> {
    let record = Record::create(&folder.join("record.txt"));
    let ip = fleet::address(0);
    let store = Store::default();
    let route = fleet::route("/look/", "safe", "desk", 1_000, 2);
    store.write("keyed.op", "config", &fleet::config(1, &[route], &["desk"]).to_string());
    let mut desks = Vec::new();
    for number in 1..=REPLICAS {
        let desk = Desk::start(&format!("i-desk{number}"), ip).await;
        let entry = fleet::entry("desk", desk.address, "ready", SLOTS, 1, 1_000 + number);
        store.write("keyed.servers", &desk.id, &entry);
        desks.push(desk);
    }
    let address = store.listen(ip).await;
    let port = fleet::free_ports(&[ip]);
    let mut gateway = Gateway::new("edge-berkshire-1", ip, port, address, MACHINE, scratch);
    gateway.start();
    if !gateway.wait_until_ready(Duration::from_secs(20)).await {
        record.say("the gateway did not get ready");
        return None;
    }
    let limit_kb = MACHINE.memory_mb * 1_024;
    record.say(format!(
        "ready; memory {} kB of {limit_kb} kB; metrics are {}",
        gateway.memory_kb(),
        if has_trouble { "not fetched" } else { "fetched every 5 s" }
    ));
    let counts = Arc::new(Counts::default());
    for channel in 0..CHANNELS {
        tokio::spawn(send(gateway.callers, channel, Arc::clone(&counts)));
    }
    let mut next_line = Duration::ZERO;
    let mut next_metrics = METRICS_INTERVAL;
    let is_known = loop {
        time::sleep(LOOK_INTERVAL).await;
        let answered = counts.answered.load(Ordering::Relaxed);
        let memory_kb = gateway.memory_kb();
        let has_ended = gateway.has_ended();
        if record.elapsed() >= next_line || memory_kb > limit_kb || has_ended {
            next_line = record.elapsed() + Duration::from_secs(5);
            record.say(format!(
                "{answered} requests answered 200 ({:.1} h of the sheet's traffic), memory {memory_kb} kB",
                answered as f64 / SHEET_REQUESTS_PER_S / 3_600.0
            ));
        }
        if has_ended || memory_kb > limit_kb {
            record.say(if has_ended {
                "the process has ended by itself"
            } else {
                "the process exceeds the memory of its machine: the platform kills it"
            });
            gateway.kill();
            time::sleep(Duration::from_millis(500)).await;
            break true;
        }
        if answered >= ANSWERS {
            break true;
        }
        if record.elapsed() >= TIME_LIMIT {
            record.say("too few answers within the time limit for a result");
            break false;
        }
        if !has_trouble && record.elapsed() >= next_metrics {
            next_metrics = record.elapsed() + METRICS_INTERVAL;
            let length = gateway.fetch_metrics().await;
            record.line(format!("metrics fetched: {length:?} bytes"));
        }
    };
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let (answered, other) = (count(&counts.answered), count(&counts.other));
    let run: u64 = desks.iter().map(Desk::answered).sum();
    record.say(format!(
        "requests answered 200: {answered}, otherwise: {other}, channels ended without an answer: {}; \
         run by the replicas: {run}",
        count(&counts.unanswered),
    ));
    // Each request is run once, as no attempt fails.
    let has_ended = count(&counts.unanswered) > 0;
    let lost = if has_ended { run.saturating_sub(answered + other) } else { 0 };
    record.say(format!(
        "passed on, and the kept channel ended without an answer: {lost} ({ALLOWED} are allowed)"
    ));
    is_known.then_some(lost <= ALLOWED)
}

/// Sends one request after the other on a kept channel.
async fn send(callers: std::net::SocketAddr, channel: u64, counts: Arc<Counts>) {
    let Ok(mut stream) = TcpStream::connect(callers).await else { return };
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.split();
    let mut reader = Reader::new(read);
    for number in 0_u64.. {
        let request = format!(
            "GET /look/{number} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {channel:02x}{number:014x}\r\n\
             X-Api-Key: key\r\nDeadline-Ms: 1000\r\n\r\n",
            fleet::HOST
        );
        let answer = async {
            write.write_all(request.as_bytes()).await.ok()?;
            let head = reader.head().await.ok()??;
            reader.body(&head).await.ok()?;
            Some(head.status())
        };
        match answer.await {
            Some(200) => counts.answered.fetch_add(1, Ordering::Relaxed),
            Some(_) => counts.other.fetch_add(1, Ordering::Relaxed),
            None => {
                counts.unanswered.fetch_add(1, Ordering::Relaxed);
                return;
            }
        };
    }
}
