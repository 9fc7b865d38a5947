//! Checks the log output of a gateway process.

mod child;

use std::collections::BTreeMap;
use std::fs;
use std::io::Read as _;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Stdio;
use std::time::{Duration, Instant};

use bytes::Bytes;
use child::Child;
use http::StatusCode;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use platform_standins::caller;
use platform_standins::config::{self, KEY};
use platform_standins::replica::{Mode, Replica};
use platform_standins::store::Store;
use tokio::net::TcpStream;
use tokio::time;

/// Number of refused requests; their log lines overfill the pipe (64 KiB) and the log queue (4,096
/// lines).
const REFUSED_REQUESTS: u32 = 7_000;

/// Longest time of an answer, whether or not the log is read.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(300);

/// Time within which the gateway must answer its first request.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time that callers wait.
const DEADLINE: Duration = Duration::from_millis(2_000);

struct Gateway {
    child: Child,
    caller_address: SocketAddr,
    replica: Replica,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl Gateway {
    /// Starts a gateway with one replica and waits until it serves; its log goes to `stdout`.
    async fn start(host: u8, stdout: Stdio) -> Gateway {
        let store = Store::default();
        let replica = Replica::start("r0").await;
        store.write_replica(&replica.id, &replica.entry("desk", "ready", 1));
        store.write_config(&config::config(1));
        let ip = Ipv4Addr::new(127, 90, (std::process::id() % 250) as u8, host).into();
        let first_port = config::free_ports(ip);
        let name = format!("g{host}");
        let gateway_settings = config::GatewaySettings {
            name: name.clone(),
            ip,
            first_port,
            store: store.start().await,
            max_delay_ms: 2_000,
        };
        let child = Child::start_gateway(&name, &config::settings(&gateway_settings), stdout);
        let caller_address = SocketAddr::new(ip, first_port);
        let mut gateway = Gateway { child, caller_address, replica, sender: None };
        let started = Instant::now();
        while gateway.send("start", KEY).await != Some(StatusCode::OK) {
            assert!(started.elapsed() < START_TIMEOUT, "the gateway did not answer 200 in time");
            time::sleep(Duration::from_millis(50)).await;
        }
        gateway
    }

    /// Sends a request over a reused connection; none if the connection fails.
    async fn send(&mut self, id: &str, key: &str) -> Option<StatusCode> {
        if self.sender.as_ref().is_none_or(SendRequest::is_closed) {
            let stream = TcpStream::connect(self.caller_address).await.ok()?;
            let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
            tokio::spawn(connection);
            self.sender = Some(sender);
        }
        let sender = self.sender.as_mut()?;
        sender.ready().await.ok()?;
        let request = caller::request("/order/1", id, key, DEADLINE);
        let request = request.body(Full::new(Bytes::from_static(b"order"))).unwrap();
        let answer = sender.send_request(request).await.ok()?;
        let status = answer.status();
        answer.into_body().collect().await.ok()?;
        Some(status)
    }
}

#[tokio::test]
async fn blocked_log_reader_delays_no_request_and_dropped_lines_are_reported() {
    let mut gateway = Gateway::start(1, Stdio::piped()).await;
    for number in 0..REFUSED_REQUESTS {
        let status = gateway.send(&format!("refused-{number}"), "nobody's key").await;
        assert_eq!(status, Some(StatusCode::UNAUTHORIZED));
    }
    let mut slowest = Duration::ZERO;
    for number in 0..50 {
        let sent_at = Instant::now();
        let status = gateway.send(&format!("served-{number}"), KEY).await;
        assert_eq!(status, Some(StatusCode::OK));
        slowest = slowest.max(sent_at.elapsed());
    }
    assert!(
        slowest < MAX_ANSWER_TIME,
        "slowest answer took {slowest:?} while the log was not read"
    );
    let mut pipe = gateway.child.0.stdout.take().unwrap();
    let reader = std::thread::spawn(move || {
        let mut text = Vec::new();
        let _ = pipe.read_to_end(&mut text);
        String::from_utf8_lossy(&text).into_owned()
    });
    time::sleep(Duration::from_millis(500)).await;
    // The number of dropped lines is logged together with the next line.
    gateway.send("last", "nobody's key").await;
    time::sleep(Duration::from_millis(500)).await;
    drop(gateway);
    let text = reader.join().unwrap();
    assert!(text.contains("dropped"), "{} bytes of log do not mention dropped lines", text.len());
}

#[tokio::test]
async fn logs_each_refusal_and_each_failed_attempt() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("lines.log");
    let mut gateway = Gateway::start(2, fs::File::create(&path).unwrap().into()).await;
    for number in 0..20 {
        gateway.send(&format!("unknown-{number}"), "nobody's key").await;
    }
    gateway.replica.set_mode(Mode::Break);
    assert_eq!(gateway.send("broken", KEY).await, Some(StatusCode::BAD_GATEWAY));
    gateway.replica.set_mode(Mode::Full);
    let refused = gateway.send("full", KEY).await;
    assert_eq!(refused, Some(StatusCode::SERVICE_UNAVAILABLE));
    time::sleep(Duration::from_millis(500)).await;
    drop(gateway);
    let mut counts: BTreeMap<(String, String), u32> = BTreeMap::new();
    for line in fs::read_to_string(&path).unwrap().lines() {
        let line: serde_json::Value = serde_json::from_str(line).expect("each line is JSON");
        let text = |name: &str| line[name].as_str().unwrap_or_default().to_owned();
        assert!(!text("ts").is_empty() && !text("gateway").is_empty(), "{line}");
        *counts.entry((text("msg"), text("request"))).or_default() += 1;
    }
    let count = |message: &str, request: &str| {
        counts.get(&(message.to_owned(), request.to_owned())).copied().unwrap_or_default()
    };
    for number in 0..20 {
        assert_eq!(count("request not answered", &format!("unknown-{number}")), 1);
    }
    for request in ["broken", "full"] {
        assert_eq!(count("request not answered", request), 1, "{request}");
        assert!(count("attempt failed", request) >= 1, "{request}");
    }
}
