//! Memory of a gateway process while replicas send bytes without end.

mod child;

use std::net::{Ipv4Addr, SocketAddr};
use std::process::Stdio;
use std::time::{Duration, Instant};

use child::Child;
use platform_standins::caller;
use platform_standins::config::{self, KEY};
use platform_standins::replica::{self, Replica};
use platform_standins::store::Store;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

/// Memory of a small instance.
const MEMORY_MB: u64 = 160;

/// Time within which the gateway must answer its first request.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Requests to the faulty replica, all at once.
const REQUESTS: usize = 600;

/// Time that callers wait.
const DEADLINE: Duration = Duration::from_millis(2_500);

/// Bytes of the request body.
const BODY: &str = "order";

/// Where bytes without end begin.
#[derive(Debug, Clone, Copy)]
enum Place {
    Head,
    Body,
    Stream,
}

impl Place {
    fn path(self) -> &'static str {
        match self {
            Place::Head | Place::Body => "/order/1",
            Place::Stream => "/answer/1",
        }
    }

    /// Start of the answer to the request `id`.
    fn start(self, id: &str) -> String {
        let head = replica::head_text(id);
        match self {
            Place::Head => head + "Filler: ",
            Place::Body => head + "Content-Type: text/plain\r\n\r\n",
            Place::Stream => head + "Content-Type: text/event-stream\r\n\r\ndata: ",
        }
    }
}

/// Starts a replica that answers every request with bytes without end.
async fn start_replica(place: Place) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, place));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, place: Place) {
    let mut received = Vec::new();
    let request = loop {
        let text = String::from_utf8_lossy(&received).into_owned();
        if text.ends_with(BODY) {
            break text;
        }
        if stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
            return;
        }
    };
    let Some(id) = replica::request_id(&request) else { return };
    let start = place.start(&id);
    let mut is_open = stream.write_all(start.as_bytes()).await.is_ok();
    while is_open {
        is_open = stream.write_all(&[b'x'; 16 * 1024]).await.is_ok();
    }
}

/// Sends a request and waits until the connection ends; returns the first bytes of the answer.
async fn call(callers: SocketAddr, path: &str, id: String) -> String {
    let Ok(mut stream) = TcpStream::connect(callers).await else { return String::new() };
    let request = caller::request_text(path, &id, KEY, DEADLINE, BODY);
    let _ = stream.write_all(request.as_bytes()).await;
    let mut start = String::new();
    let mut buffer = vec![0; 4 * 1024];
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        if start.is_empty() {
            start = String::from_utf8_lossy(&buffer[..count]).into_owned();
        }
    }
    start
}

async fn check(host: u8, place: Place) {
    let store = Store::default();
    let sound = Replica::start("sound").await;
    store.write_config(&config::config(1));
    store.write_replica("sound", &sound.entry("desk", "ready", 1));
    let ip = Ipv4Addr::new(127, 91, (std::process::id() % 250) as u8, host).into();
    let first_port = config::free_ports(ip);
    let name = format!("m{host}");
    let gateway_settings = config::GatewaySettings {
        name: name.clone(),
        ip,
        first_port,
        store: store.start().await,
        max_delay_ms: 2_000,
    };
    let settings = config::settings(&gateway_settings) + &config::memory_setting(MEMORY_MB);
    let mut child = Child::start_gateway(&name, &settings, Stdio::null());
    let callers = SocketAddr::new(ip, first_port);
    let started = Instant::now();
    while !call(callers, "/order/1", "start".to_owned()).await.starts_with("HTTP/1.1 200") {
        assert!(started.elapsed() < START_TIMEOUT, "the gateway did not answer 200 in time");
        time::sleep(Duration::from_millis(50)).await;
    }
    let faulty = start_replica(place).await;
    store.write_replica("faulty", &sound.entry_at(faulty, "desk", "ready", 1, 1));
    store.write_replica("sound", "");
    time::sleep(Duration::from_secs(4)).await;
    let requests =
        (0..REQUESTS).map(|number| tokio::spawn(call(callers, place.path(), format!("r{number}"))));
    let requests: Vec<_> = requests.collect();
    let mut answered = 0;
    for request in requests {
        answered += usize::from(request.await.unwrap().starts_with("HTTP/1.1 "));
    }
    assert!(child.exit_status().is_none(), "{place:?}: the process has ended");
    let peak = child.memory_mb("VmHWM:");
    println!("{place:?}: {peak} MB");
    assert!(peak < MEMORY_MB, "{place:?}: {peak} MB");
    assert_eq!(answered, REQUESTS, "{place:?}");
}

/// Guards against running out of memory, which ends the requests of all callers of a gateway.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_without_end_do_not_use_up_the_memory() {
    check(1, Place::Head).await;
}

/// The same, in answers that are read completely before they are passed on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_without_end_do_not_use_up_the_memory() {
    check(2, Place::Body).await;
}

/// The same, in an event of a stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn events_without_end_do_not_use_up_the_memory() {
    check(3, Place::Stream).await;
}
