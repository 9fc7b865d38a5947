//! Memory of one gateway process while many clients send one legal request each.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::time;

use crate::desk::Desk;
use crate::fleet::{self, Gateway, Machine, Record};
use crate::store::Store;
use crate::writer::Writers;

/// Smallest machine on the sheet of the Donantes Unidos Valle router fleet.
const MACHINE: Machine = Machine { memory_mb: 120, max_fds: 3_075 };

/// Replicas of the model service; each runs 128 requests at once.
const REPLICAS: usize = 9;

/// Clients of the crowd, and of the run without it.
const CROWD: u64 = 1_000;
const FEW: u64 = 50;

/// Header lines of a request and their values' length: a head of 14 kB, of at most 16,384 bytes.
const LINES: usize = 92;
const VALUE_BYTES: usize = 140;

/// Length of a body, of at most 4,194,304 bytes.
const BODY_BYTES: usize = 31_000;

/// Time until the first event of an answer: the replicas read the prompts of the whole crowd.
const FIRST_EVENT_DELAY: Duration = Duration::from_secs(5);

/// Events of an answer.
const EVENTS: u64 = 13;

/// Time over which the clients come.
const ARRIVAL_TIME: Duration = Duration::from_secs(2);

/// Time from the ready gateway to the end.
const LENGTH: Duration = Duration::from_secs(22);

/// Requests that may be passed on and stay without an answer.
const ALLOWED: u64 = 3;

/// Interval at which the platform looks at the memory.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Default)]
struct Counts {
    whole: AtomicU64,
    refused: AtomicU64,
    other: AtomicU64,
    unanswered_ids: Mutex<Vec<String>>,
}

/// Returns whether the rule held; `None` if that is not known.
pub async fn run(folder: &Path, scratch: &Path, has_trouble: bool) -> Option<bool> {
    let record = Record::create(&folder.join("record.txt"));
    let ip = fleet::address(0);
    let store = Store::default();
    let routes = [
        fleet::route("/guide/", "stream", "writers", 15_000, 2),
        fleet::route("/look/", "safe", "desk", 1_000, 2),
    ];
    let config = fleet::config(1, &routes, &["writers", "desk"]);
    store.write("keyed.op", "config", &config.to_string());
    let writers = Writers::new(store.clone(), record.clone(), "none", EVENTS, FIRST_EVENT_DELAY);
    for replica in 0..REPLICAS {
        writers.start(&format!("writer{replica}"), ip);
    }
    let desk = Desk::start("i-desk1", ip).await;
    let entry = fleet::entry("desk", desk.address, "ready", 6, 1, 1_000);
    store.write("keyed.servers", &desk.id, &entry);
    let address = store.listen(ip).await;
    let port = fleet::free_ports(&[ip]);
    let mut gateway = Gateway::new("edge-berkshire-1", ip, port, address, MACHINE, scratch);
    gateway.start();
    if !gateway.wait_until_ready(Duration::from_secs(20)).await {
        record.say("the gateway did not get ready");
        return None;
    }
    time::sleep(Duration::from_secs(3)).await;
    let limit_kb = MACHINE.memory_mb * 1_024;
    record.say(format!("ready; memory {} kB of {limit_kb} kB", gateway.memory_kb()));
    record.say(format!("an ordinary request is answered: {}", is_served(gateway.callers).await));
    let counts = Arc::new(Counts::default());
    let clients = if has_trouble { CROWD } else { FEW };
    let pause = ARRIVAL_TIME / clients as u32;
    let (callers, sent) = (gateway.callers, Arc::clone(&counts));
    let started = Instant::now();
    tokio::spawn(async move {
        for number in 0..clients {
            tokio::spawn(send(callers, number, Arc::clone(&sent)));
            time::sleep_until((started + pause * number as u32).into()).await;
        }
    });
    let mut next_line = Duration::ZERO;
    let mut peak_kb = 0;
    let mut is_within = true;
    while started.elapsed() < LENGTH {
        time::sleep(LOOK_INTERVAL).await;
        let memory_kb = gateway.memory_kb();
        peak_kb = peak_kb.max(memory_kb);
        if started.elapsed() >= next_line {
            next_line += Duration::from_secs(1);
            let running = writers.arrivals().len();
            record.say(format!("memory {memory_kb} kB; {running} requests have reached replicas"));
        }
        if memory_kb > limit_kb || gateway.has_ended() {
            record.say(format!("memory {memory_kb} kB: the platform kills the process"));
            gateway.kill();
            is_within = false;
            time::sleep(Duration::from_secs(1)).await;
            break;
        }
    }
    if is_within {
        record
            .say(format!("an ordinary request is answered: {}", is_served(gateway.callers).await));
    }
    let arrivals = writers.arrivals();
    let passed_on: HashSet<&str> = arrivals.iter().map(|each| each.id.as_str()).collect();
    let unanswered = counts.unanswered_ids.lock().unwrap();
    let lost = unanswered.iter().filter(|id| passed_on.contains(id.as_str())).count() as u64;
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    record.say(format!(
        "peak {peak_kb} kB; clients: {clients}, requests passed on to replicas: {}, answered whole: {}, \
         refused 429 or 503: {}, answered otherwise: {}, channel ended without an answer: {}",
        passed_on.len(),
        count(&counts.whole),
        count(&counts.refused),
        count(&counts.other),
        unanswered.len(),
    ));
    record.say(format!(
        "passed on, and the kept channel ended without an answer: {lost} ({ALLOWED} are allowed)"
    ));
    // A run in which the crowd did not come to the gateway shows nothing.
    let has_come = passed_on.len() as u64 > clients / 2;
    if lost <= ALLOWED && !has_come { None } else { Some(lost <= ALLOWED) }
}

async fn is_served(callers: SocketAddr) -> bool {
    let request = format!(
        "GET /look/1 HTTP/1.1\r\nHost: {}\r\nAttempt-Id: 0d\r\nX-Api-Key: key\r\n\
         Deadline-Ms: 1000\r\nConnection: close\r\n\r\n",
        fleet::HOST
    );
    let answer = fleet::call(callers, &request, Duration::from_secs(2)).await;
    answer.is_ok_and(|answer| answer.status == 200 && answer.is_signed)
}

async fn send(callers: SocketAddr, number: u64, counts: Arc<Counts>) {
    let mut request = format!(
        "POST /guide/{number} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {number:016x}\r\nX-Api-Key: key\r\n\
         Model: m\r\nToken-Usage: 9190,52\r\nPrefix-Hash: c0ffee:6300,{number:x}:2890\r\n\
         Deadline-Ms: 15000\r\nContent-Length: {BODY_BYTES}\r\n",
        fleet::HOST
    );
    for line in 0..LINES {
        request.push_str(&format!("X-Note-{line}: {}\r\n", "n".repeat(VALUE_BYTES)));
    }
    request.push_str("\r\n");
    request.push_str(&"b".repeat(BODY_BYTES));
    let answer = fleet::call(callers, &request, Duration::from_secs(16)).await;
    let counter = match &answer {
        Err(_) => {
            counts.unanswered_ids.lock().unwrap().push(format!("{number:016x}"));
            return;
        }
        Ok(answer) if answer.status == 200 && answer.is_signed => &counts.whole,
        Ok(answer) if [429, 503].contains(&answer.status) => &counts.refused,
        Ok(_) => &counts.other,
    };
    counter.fetch_add(1, Ordering::Relaxed);
}
