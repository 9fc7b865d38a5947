//! A gateway process with low limits, and crowds of connections to it.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::Stdio;
use std::time::{Duration, Instant};

use platform_standins::caller;
use platform_standins::config::{self, KEY};
use platform_standins::replica::{Mode, Replica};
use platform_standins::store::Store;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;
use tokio::time;

use crate::child::Child;

/// Memory of the gateway's machine, in MB; the smallest of any deployment.
const MEMORY_MB: u64 = 120;

/// Descriptors of the gateway's machine.
const MAX_FDS: usize = 400;

/// Of these, the platform reserves as many for files; sockets share the others.
const FILE_FDS: usize = 200;

/// Connections of a crowd, fewer than there are descriptors for sockets.
pub(crate) const CROWD: usize = 120;

/// Time that a crowd sends and stays open, so that the gateway reads what lies in the kernel's
/// buffers. A gateway may stop reading.
const CROWD_TIME: Duration = Duration::from_secs(10);

/// Time within which an ordinary request must have been answered, in one of several tries.
const ANSWER_TIME: Duration = Duration::from_secs(40);

/// Time that a caller of an ordinary request waits.
const DEADLINE: Duration = Duration::from_millis(2_500);

/// Interval at which the descriptors of the process are counted.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// One test runs at a time.
static TURN: Mutex<()> = Mutex::const_new(());

pub(crate) struct Gateway {
    child: Child,
    pub(crate) callers: SocketAddr,
    pub(crate) replica: Replica,
    memory_mb: u64,
    max_fds: usize,
    _store: Store,
    _turn: MutexGuard<'static, ()>,
}

impl Gateway {
    /// Starts a gateway with one replica and waits until it serves.
    pub(crate) async fn start(host: u8) -> Gateway {
        Gateway::start_with_memory(host, MEMORY_MB).await
    }

    pub(crate) async fn start_with_memory(host: u8, memory_mb: u64) -> Gateway {
        let turn = TURN.lock().await;
        let store = Store::default();
        let replica = Replica::start("r0").await;
        store.write_replica(&replica.id, &replica.entry("desk", "ready", 1));
        store.write_config(&config::config(1));
        let ip = Ipv4Addr::new(127, 92, (std::process::id() % 250) as u8, host).into();
        let first_port = config::free_ports(ip);
        let name = format!("c{host}");
        let gateway_settings = config::GatewaySettings {
            name: name.clone(),
            ip,
            first_port,
            store: store.start().await,
            max_delay_ms: 2_000,
        };
        let settings = config::settings(&gateway_settings)
            + &config::memory_setting(memory_mb)
            + &config::descriptors_setting(MAX_FDS);
        let child = Child::start_gateway(&name, &settings, Stdio::null());
        let callers = SocketAddr::new(ip, first_port);
        let mut gateway =
            Gateway { child, callers, replica, memory_mb, max_fds: 0, _store: store, _turn: turn };
        gateway.check_answers("start").await;
        gateway
    }

    /// Lets a crowd of `connections` send what `pieces` gives for each of them and stay open. Checks
    /// that the process lives within its bounds and answers an ordinary request, beside the crowd
    /// and after it.
    pub(crate) async fn withstand<P>(&mut self, connections: usize, pieces: impl Fn(usize) -> P)
    where
        P: Iterator<Item = Vec<u8>> + Send + 'static,
    {
        let mut sending = JoinSet::new();
        for number in 0..connections {
            sending.spawn(send(self.callers, pieces(number)));
        }
        let mut crowd = Vec::new();
        let started = Instant::now();
        while started.elapsed() < CROWD_TIME {
            if let Ok(Some(sent)) = time::timeout(POLL_INTERVAL, sending.join_next()).await {
                crowd.push(sent.unwrap());
            } else {
                time::sleep(POLL_INTERVAL).await;
            }
            self.max_fds = self.max_fds.max(open_fds(&self.child));
        }
        let blocked = sending.len();
        self.replica.set_mode(Mode::Healthy);
        self.check_answers("beside the crowd").await;
        let (beside_mb, fds) = (self.child.memory_mb("VmRSS:"), self.max_fds);
        sending.shutdown().await;
        drop(crowd);
        self.check_answers("after the crowd").await;
        let (peak_mb, after_mb) = (self.child.memory_mb("VmHWM:"), self.child.memory_mb("VmRSS:"));
        println!(
            "peak {peak_mb} MB, beside the crowd {beside_mb} MB, after it {after_mb} MB, \
             {fds} descriptors, {blocked} connections still sending"
        );
        assert!(peak_mb < self.memory_mb, "{peak_mb} MB");
        assert!(fds < MAX_FDS - FILE_FDS, "{fds} descriptors");
    }

    /// Repeats an ordinary request until it is answered with status 200.
    pub(crate) async fn check_answers(&mut self, when: &str) {
        let started = Instant::now();
        let mut last = String::new();
        while started.elapsed() < ANSWER_TIME {
            let status = self.child.exit_status();
            assert!(status.is_none(), "{when}: the process has ended: {status:?}");
            self.max_fds = self.max_fds.max(open_fds(&self.child));
            let request = caller::request_text("/order/1", "ordinary", KEY, DEADLINE, "order");
            last = call(self.callers, request.as_bytes()).await;
            if last.starts_with("HTTP/1.1 200") {
                return;
            }
            time::sleep(POLL_INTERVAL).await;
        }
        panic!("{when}: an ordinary request was not answered; the last answer: {last:?}");
    }
}

/// Sends a request and reads until the connection ends.
pub(crate) async fn call(callers: SocketAddr, request: &[u8]) -> String {
    let exchange = async {
        let mut stream = TcpStream::connect(callers).await?;
        stream.write_all(request).await?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await?;
        Ok::<_, std::io::Error>(answer)
    };
    match time::timeout(DEADLINE * 2, exchange).await {
        Ok(Ok(answer)) => String::from_utf8_lossy(&answer).into_owned(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "none in time".to_owned(),
    }
}

/// Sends pieces until the gateway closes the connection; returns it open and does not read.
async fn send(callers: SocketAddr, pieces: impl Iterator<Item = Vec<u8>>) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(4 * 1024).ok()?;
    let mut stream = socket.connect(callers).await.ok()?;
    for piece in pieces {
        stream.write_all(&piece).await.ok()?;
        tokio::task::yield_now().await;
    }
    Some(stream)
}

/// Head of the request of one connection in a crowd.
pub(crate) fn head(path: &str, number: usize, framing: &str) -> Vec<u8> {
    caller::head_text(path, &format!("crowd-{number}"), KEY, framing).into_bytes()
}

/// A chunk of a chunked body.
pub(crate) fn chunk(data: &[u8], extension: &str) -> Vec<u8> {
    let mut chunk = format!("{:x}{extension}\r\n", data.len()).into_bytes();
    chunk.extend_from_slice(data);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

fn open_fds(child: &Child) -> usize {
    fs::read_dir(format!("/proc/{}/fd", child.0.id())).map_or(0, Iterator::count)
}
