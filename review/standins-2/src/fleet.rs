//! Gateways as separate processes, each with its own loopback address and settings file, and the
//! operator's configuration.

use std::fs::{self, File};
use std::io::Write as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::time;

use crate::http::Reader;

/// Host name of all routes.
pub const HOST: &str = "desk.example";

/// Command of the deploy file.
const GATEWAY: &str = "target/release/rhubarbrockd";

/// Variable of the deploy file's programs that names the settings file.
const SETTINGS: &str = "RHUBARBROCK_NODE_FILE";

/// Record of a run, written to `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} s  {}", text.as_ref());
    }

    /// Writes a line that is printed too.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }
}

/// Settings that a case chooses.
#[derive(Debug, Clone, Copy)]
pub struct Machine {
    pub memory_mb: u64,
    pub max_fds: usize,
}

/// One machine with a gateway process.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
    starts: u32,
}

impl Gateway {
    /// Prepares a machine without starting its process.
    pub fn new(
        name: &str,
        ip: IpAddr,
        first_port: u16,
        store: SocketAddr,
        machine: Machine,
        folder: &Path,
    ) -> Gateway {
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, settings_text(name, ip, first_port, store, machine)).unwrap();
        Gateway {
            name: name.to_owned(),
            callers: SocketAddr::new(ip, first_port),
            readiness: SocketAddr::new(ip, first_port + 1),
            settings,
            folder: folder.to_owned(),
            child: None,
            starts: 0,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = self.folder.join(format!("{}.{}.log", self.name, self.starts));
        self.starts += 1;
        let child = Command::new(GATEWAY)
            .arg("gateway")
            .env(SETTINGS, &self.settings)
            .stdin(Stdio::null())
            .stdout(File::create(log).unwrap())
            .stderr(Stdio::inherit())
            .spawn();
        self.child = Some(child.expect("the gateway starts"));
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|end| end.is_some()))
    }

    /// Resident memory of the process without mapped files, in kB.
    pub fn memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let digits = line.unwrap_or_default().trim().trim_end_matches(" kB").to_owned();
        digits.parse().unwrap_or(0)
    }

    /// Asks the readiness address once, as the platform's balancer does.
    pub async fn is_ready(&self) -> bool {
        let asked = time::timeout(Duration::from_millis(900), get(self.readiness, "/readyz")).await;
        asked.is_ok_and(|answer| answer.is_some_and(|(status, _)| status == 200))
    }

    pub async fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready().await {
                return true;
            }
            time::sleep(Duration::from_millis(50)).await;
        }
        false
    }

    /// Fetches the metrics, as the platform does while an incident is examined.
    pub async fn fetch_metrics(&self) -> Option<usize> {
        let address = SocketAddr::new(self.callers.ip(), self.callers.port() + 3);
        let answer =
            time::timeout(Duration::from_secs(5), get(address, "/metrics")).await.ok()??;
        Some(answer.1.len())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn get(address: SocketAddr, path: &str) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let (read, mut write) = stream.split();
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    tokio::io::AsyncWriteExt::write_all(&mut write, request.as_bytes()).await.ok()?;
    let mut reader = Reader::new(read);
    let head = reader.head().await.ok()??;
    Some((head.status(), reader.body(&head).await.ok()?))
}

/// Loopback address of a machine of this run.
pub fn address(index: usize) -> IpAddr {
    let process = std::process::id();
    let (high, low) = ((process / 200 % 200) as u8, (process % 200) as u8);
    IpAddr::V4(Ipv4Addr::new(127, 20 + high / 4, low + 1, 1 + index as u8))
}

/// First of four ports that are free at all these addresses.
pub fn free_ports(addresses: &[IpAddr]) -> u16 {
    let first = 13_000 + (std::process::id() % 1_500) as u16 * 4;
    let is_free = |port: u16| {
        addresses
            .iter()
            .all(|&ip| (port..port + 4).all(|port| TcpListener::bind((ip, port)).is_ok()))
    };
    (first..19_900).step_by(4).find(|&port| is_free(port)).expect("four free ports")
}

/// Settings of the deployment on the sheet "Gourd Guidance Router Fleet".
fn settings_text(
    name: &str,
    ip: IpAddr,
    first_port: u16,
    store: SocketAddr,
    machine: Machine,
) -> String {
    let Machine { memory_mb, max_fds } = machine;
    format!(
        "node_name={name}\nrole=gateway\nmachine_class=edge\nserves=edge\nip={ip}\nzone=berkshire\n\
         region=new-england\nzones.berkshire=new-england\nlisten.frontend={ip}:{first_port}\n\
         listen.readiness={ip}:{}\nport_range={},{}\nbootstrap=true\nlimits.cpu_quota=0.25\n\
         limits.cpu_cores=1\nlimits.memory_mb={memory_mb}\nlimits.max_fds={max_fds}\n\
         discovery=platform\nentry=vip\nheartbeat_ms=1200\nbounds.seed_lag_s=3\n\
         bounds.reuse_after_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.sync_s=4\n\
         bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
         bounds.config_apply_ms=2000\nbounds.downgrade_slack_ms=250\n\
         bounds.partition_max_ms=5000\nbounds.strict_revocation=false\nbounds.revoke_ms=5000\n\
         bounds.retry_ratio=0.2\nbounds.retry_window_s=10\nbounds.retry_slack=56\n\
         bounds.quota_window_s=8\nbounds.quota_overshoot=0.1\nbounds.quota_slack=72000\n\
         bounds.fencing_enforced=false\nbounds.lease_ms=3000\nbounds.thaw_ms=300\n\
         bounds.report_window_s=5\nbounds.usage_off=0.05\nbounds.usage_late_s=10\n\
         bounds.recover_s=12\nbounds.pass_ms=120\nbounds.reuse_window_s=7.6\n\
         platform.address={store}\nplatform.form=log\nplatform.writes_per_s=400\n\
         platform.reads_per_s=2000\nplatform.parts=24\nplatform.keep_s=300\n\
         platform.ttl_min_ms=1000\ncloud.address={store}\ncloud.rate_per_s=50.0\n\
         cloud.duties=usage\ncloud.duty_per_s=50.0\n",
        first_port + 1,
        first_port + 2,
        first_port + 3,
    )
}

/// Route to a service. `kind` is `safe`, `unsafe` or `stream`.
pub fn route(prefix: &str, kind: &str, service: &str, timeout_ms: u64, attempts: u32) -> Value {
    json!({
        "name": prefix.trim_matches('/'), "hostname": HOST, "path_prefix": prefix,
        "route_type": kind, "timeout_ms": timeout_ms, "target_latency_ms": 120,
        "gap_target_ms": 300, "priority": 0, "service": service, "max_attempts": attempts,
        "public": false, "stream_resume": kind == "stream", "session_affinity": kind == "stream",
    })
}

/// Configuration with one tenant, whose key is `key`.
pub fn config(version: u64, routes: &[Value], services: &[&str]) -> Value {
    let services = services.iter().map(|name| json!({"name": name, "max_connections": 620}));
    let services: Vec<Value> = services.collect();
    json!({
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "tenant-a", "api_keys": ["key"]}],
    })
}

/// Entry of a replica in the store.
pub fn entry(
    service: &str,
    address: SocketAddr,
    state: &str,
    capacity: u32,
    sequence: u64,
    born: u64,
) -> String {
    json!({
        "service": service, "address": address.to_string(), "zone": "berkshire", "version": "v1",
        "capacity": capacity, "state": state, "warmup_left_ms": 0, "sequence": sequence,
        "born": born,
    })
    .to_string()
}

/// A whole answer as a client sees it.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub is_signed: bool,
    pub body: Vec<u8>,
}

/// Sends a request on a new connection and reads the whole answer; fails if that does not come.
pub async fn call(address: SocketAddr, request: &str, limit: Duration) -> std::io::Result<Reply> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (read, mut write) = stream.split();
        tokio::io::AsyncWriteExt::write_all(&mut write, request.as_bytes()).await?;
        let mut reader = Reader::new(read);
        let head = reader.head().await?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        let body = reader.body(&head).await?;
        let is_signed = head.get("replica-signature").is_some();
        Ok(Reply { status: head.status(), is_signed, body })
    };
    time::timeout(limit, exchange)
        .await
        .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
}
