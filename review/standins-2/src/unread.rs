//! Clients that begin a stream and do not read it, and the callers that come after them.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::time;

use crate::desk::Desk;
use crate::fleet::{self, Gateway, Machine, Record};
use crate::store::Store;
use crate::writer::Writers;

/// Smallest machine on the sheet of the Donantes Unidos Valle router fleet.
const MACHINE: Machine = Machine { memory_mb: 120, max_fds: 3_075 };

/// Replicas of the model service; each runs 128 requests at once and queues others.
const REPLICAS: usize = 9;

/// Clients that do not read.
const CLIENTS: u64 = 1_000;

/// Events of an answer, and length of the text of each.
const EVENTS: u64 = 93;
const EVENT_BYTES: usize = 1_500;

/// Time until the first event of an answer.
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(200);

/// `timeout_ms` of the route, and the time that the clients wait.
const TIME_LIMIT_MS: u64 = 15_000;

/// Time over which the clients come.
const ARRIVAL_TIME: Duration = Duration::from_secs(4);

/// Time from the first client until the ordinary callers come: all time limits have passed.
const CALLERS_AT: Duration = Duration::from_secs(24);

/// Time for which ordinary callers try, and the pause between two of them.
const CALLERS_TIME: Duration = Duration::from_secs(20);
const CALLERS_PAUSE: Duration = Duration::from_millis(100);

/// `contact_ms` of the sheet.
const CONTACT: Duration = Duration::from_secs(3);

/// Consumers that have to try in that time.
const MIN_CALLERS: usize = 7;

/// Segment size of a network link; that of the loopback interface is 64 KiB.
const SEGMENT_BYTES: u32 = 1_460;

/// Receive buffer of a client that does not read.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;

/// Returns whether the rule held; `None` if that is not known.
pub async fn run(folder: &Path, scratch: &Path, has_trouble: bool) -> Option<bool> {
    let record = Record::create(&folder.join("record.txt"));
    let ip = fleet::address(0);
    let store = Store::default();
    let routes = [
        fleet::route("/blurb/", "stream", "writers", TIME_LIMIT_MS, 2),
        fleet::route("/look/", "safe", "desk", 1_000, 2),
    ];
    let config = fleet::config(1, &routes, &["writers", "desk"]);
    store.write("keyed.op", "config", &config.to_string());
    let writers = Writers::new(store.clone(), record.clone(), "none", EVENTS, FIRST_EVENT_DELAY)
        .with_event_text("t".repeat(EVENT_BYTES));
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
    time::sleep(CONTACT + Duration::from_secs(1)).await;
    record.say(format!(
        "ready; an ordinary request is answered: {}",
        is_served(gateway.callers).await
    ));
    let begun = Arc::new(AtomicU64::new(0));
    let started = Instant::now();
    let callers = gateway.callers;
    let counted = Arc::clone(&begun);
    tokio::spawn(async move {
        for number in 0..CLIENTS {
            tokio::spawn(begin_stream(callers, number, has_trouble, Arc::clone(&counted)));
            time::sleep_until((started + ARRIVAL_TIME / CLIENTS as u32 * number as u32).into())
                .await;
        }
    });
    time::sleep_until((started + CALLERS_AT).into()).await;
    record.say(format!(
        "{} of {CLIENTS} clients got the head of their answer and {}; memory {} kB",
        begun.load(Ordering::Relaxed),
        if has_trouble { "do not read on" } else { "read it to its end" },
        gateway.memory_kb()
    ));
    let mut refused_since: Option<Instant> = None;
    let (mut tried, mut served, mut tried_since) = (0, 0, 0);
    let mut longest = Duration::ZERO;
    let mut longest_tries = 0;
    let mut was_ready = true;
    let mut next_line = Duration::ZERO;
    let from = Instant::now();
    while from.elapsed() < CALLERS_TIME {
        tried += 1;
        if is_served(callers).await {
            served += 1;
            (refused_since, tried_since) = (None, 0);
        } else {
            let since = *refused_since.get_or_insert_with(Instant::now);
            tried_since += 1;
            if since.elapsed() > longest {
                (longest, longest_tries) = (since.elapsed(), tried_since);
            }
        }
        if from.elapsed() >= next_line {
            next_line += Duration::from_secs(2);
            let is_ready = gateway.is_ready().await;
            was_ready &= is_ready;
            record.say(format!(
                "the readiness address says ready: {is_ready}; callers on new channels so far: \
                 {tried}, answered: {served}"
            ));
        }
        time::sleep(CALLERS_PAUSE).await;
    }
    record.say(format!(
        "longest time without a new channel taken: {:.1} s, {longest_tries} callers tried ({} s and \
         {MIN_CALLERS} callers break the rule while the machine says that it is ready: {was_ready})",
        longest.as_secs_f64(),
        CONTACT.as_secs()
    ));
    if has_trouble && begun.load(Ordering::Relaxed) < CLIENTS / 2 {
        return None;
    }
    Some(!(was_ready && longest >= CONTACT && longest_tries >= MIN_CALLERS))
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

/// Begins a stream; reads its head, and the rest unless `stops`. The channel stays open.
async fn begin_stream(callers: SocketAddr, number: u64, stops: bool, begun: Arc<AtomicU64>) {
    let Ok(socket) = TcpSocket::new_v4() else { return };
    let _ = socket2::SockRef::from(&socket).set_tcp_mss(SEGMENT_BYTES);
    if stops {
        let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    }
    let Ok(mut stream) = socket.connect(callers).await else { return };
    let body = format!("describe {number}");
    let request = format!(
        "POST /blurb/{number} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {number:016x}\r\nX-Api-Key: key\r\n\
         Model: m\r\nToken-Usage: 715,280\r\nPrefix-Hash: c0ffee:172,{number:x}:543\r\n\
         Deadline-Ms: {TIME_LIMIT_MS}\r\nContent-Length: {}\r\n\r\n{body}",
        fleet::HOST,
        body.len()
    );
    if stream.write_all(request.as_bytes()).await.is_err() {
        return;
    }
    let mut buffer = [0; 512];
    if stream
        .read(&mut buffer)
        .await
        .is_ok_and(|count| buffer[..count].starts_with(b"HTTP/1.1 200"))
    {
        begun.fetch_add(1, Ordering::Relaxed);
    }
    if !stops {
        let mut rest = [0; 8_192];
        while stream.read(&mut rest).await.is_ok_and(|count| count > 0) {}
        return;
    }
    time::sleep(Duration::from_secs(120)).await;
}
