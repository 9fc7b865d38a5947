//! Stand-in for a replica. A request that is meant for another replica gets status 421.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};

/// What a replica does with a request: it writes its answer and returns whether the connection is
/// kept.
pub type Behaviour = dyn Fn(&Call<'_>, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// Request as a behaviour sees it.
pub struct Call<'c> {
    /// Replica that received it.
    pub replica: &'c Replica,
    /// Head and body.
    pub request: &'c Message,
    /// Value of `Attempt-Id`.
    pub id: &'c str,
}

/// Request that was meant for a replica and that it began to run.
#[derive(Debug, Clone)]
pub struct Run {
    /// Time at which the request was complete.
    pub at: Instant,
    /// Value of `Attempt-Id`.
    pub id: String,
    /// Id of the replica.
    pub replica: String,
}

/// One replica; clones share its state.
#[derive(Clone)]
pub struct Replica {
    /// Id under which it is registered.
    pub id: String,
    /// Listening address.
    pub address: SocketAddr,
    /// All runs of all replicas of a case.
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Whether the replica is in trouble; what that means is up to its behaviour.
    pub is_troubled: Arc<AtomicBool>,
    /// End of the time in which the process does not run.
    down_until: Arc<Mutex<Option<Instant>>>,
    /// Start of the process, in milliseconds since the Unix epoch.
    born: Arc<AtomicU64>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    behaviour: Arc<Behaviour>,
}

/// Interval at which a replica checks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

impl Replica {
    /// Starts a replica at a free loopback address.
    pub fn start(id: &str, runs: &Arc<Mutex<Vec<Run>>>, behaviour: Arc<Behaviour>) -> Replica {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let replica = Replica {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            runs: Arc::clone(runs),
            is_troubled: Arc::default(),
            down_until: Arc::default(),
            born: Arc::new(AtomicU64::new(unix_ms())),
            open: Arc::default(),
            behaviour,
        };
        let served = replica.clone();
        thread::spawn(move || served.accept(listener));
        replica
    }

    fn accept(&self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let down_until = *self.down_until.lock().unwrap();
            if let Some(until) = down_until {
                listener = None;
                thread::sleep(until.saturating_duration_since(Instant::now()));
                *self.down_until.lock().unwrap() = None;
                self.born.store(unix_ms(), Ordering::Relaxed);
            }
            let Some(bound) = &listener else {
                listener = TcpListener::bind(self.address).ok();
                continue;
            };
            let _ = bound.set_nonblocking(true);
            match bound.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    if let Ok(copy) = stream.try_clone() {
                        self.open.lock().unwrap().push(copy);
                    }
                    let replica = self.clone();
                    thread::spawn(move || replica.serve(stream));
                }
                Err(_) => thread::sleep(ACCEPT_INTERVAL),
            }
        }
    }

    /// Ends the process: all its connections break, and no other can be made until it is back.
    pub fn crash(&self, down_for: Duration) {
        let mut down_until = self.down_until.lock().unwrap();
        if down_until.is_none() {
            *down_until = Some(Instant::now() + down_for);
            for stream in self.open.lock().unwrap().drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        }
    }

    /// Whether the process runs.
    pub fn is_up(&self) -> bool {
        self.down_until.lock().unwrap().is_none()
    }

    /// Start of the process, in milliseconds since the Unix epoch.
    pub fn born(&self) -> u64 {
        self.born.load(Ordering::Relaxed)
    }

    /// Entry of the replica in the store.
    pub fn entry(&self, service: &str, capacity: u32, state: &str, sequence: u64) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"berkshire","version":"v1","capacity":{capacity},"state":"{state}","warmup_left_ms":0,"sequence":{sequence},"born":{}}}"#,
            self.address,
            self.born()
        )
    }

    /// Whether the replica is in trouble.
    pub fn is_troubled(&self) -> bool {
        self.is_troubled.load(Ordering::Relaxed)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = http::read_head(&mut reader) {
            if http::read_request_body(&mut reader, &mut request).is_err() {
                return;
            }
            let id = request.header("attempt-id").unwrap_or_default().to_owned();
            if request.header("expect-replica") != Some(self.id.as_str()) {
                let head = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
                if writer.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.runs.lock().unwrap().push(Run {
                at: Instant::now(),
                id: id.clone(),
                replica: self.id.clone(),
            });
            let call = Call { replica: self, request: &request, id: &id };
            if !matches!((self.behaviour)(&call, &mut writer), Ok(true)) {
                let _ = writer.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}

fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    time.as_millis() as u64
}

/// Head of an answer, without the empty line that ends it.
pub fn head(call: &Call<'_>, status: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {}\r\nReplica-Signature: {}.{}\r\n",
        call.id, call.replica.id, call.id
    )
}

/// Answers a plain request after `work`.
pub fn answer_plain(call: &Call<'_>, writer: &mut TcpStream, work: Duration) -> io::Result<bool> {
    thread::sleep(work);
    let body = format!("{}:{}", call.id, "x".repeat(760));
    let head = head(call, "200 OK");
    write!(writer, "{head}Content-Length: {}\r\n\r\n{body}", body.len())?;
    Ok(true)
}

/// Text of one event.
pub fn event(call: &Call<'_>, number: u64) -> String {
    format!("id: {number}\ndata: {} piece {number} of the answer text\n\n", call.id)
}

/// Answers with a stream of `events` events, in chunks, with a pause before each.
pub fn answer_stream(
    call: &Call<'_>,
    writer: &mut TcpStream,
    events: u64,
    pause: Duration,
) -> io::Result<bool> {
    let last: u64 =
        call.request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
    let head = head(call, "200 OK");
    write!(writer, "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    for number in last + 1..=events {
        thread::sleep(pause);
        let event = event(call, number);
        write!(writer, "{:x}\r\n{event}\r\n", event.len())?;
    }
    writer.write_all(b"0\r\n\r\n")?;
    Ok(true)
}
