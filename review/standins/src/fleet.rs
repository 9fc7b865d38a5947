//! Gateway processes with a store and replicas, started for one case.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::replica::{Behaviour, Replica, Run};
use crate::store::Store;

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// Key of the only tenant.
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// Time between two entries of a replica.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time within which a gateway is ready.
const START_LIMIT: Duration = Duration::from_secs(20);

/// One gateway process.
pub struct Gateway {
    /// Name of its machine.
    pub name: String,
    /// Address for callers.
    pub frontend: SocketAddr,
    /// Address of the readiness check.
    pub readiness: SocketAddr,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    /// Starts the process; nothing may be running.
    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log_path)?;
        let child = Command::new("target/release/rhubarbrockd")
            .arg("gateway")
            .env("RHUBARBROCK_NODE_FILE", &self.settings_path)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Id of the process.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Processor time of the process so far, in seconds.
    pub fn processor_s(&self) -> f64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid())).unwrap_or_default();
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |index: usize| {
            fields.get(index).and_then(|text| text.parse::<f64>().ok()).unwrap_or_default()
        };
        (ticks(11) + ticks(12)) / 100.0
    }

    /// Status of the readiness check; 0 if there is none within a second.
    pub fn readiness_status(&self) -> u16 {
        let text = b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        http::request(self.readiness, text, Duration::from_secs(1)).status()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Everything that a case runs.
pub struct Fleet {
    /// Store.
    pub store: Store,
    /// Replicas with the services that they serve.
    pub replicas: Vec<(String, Replica)>,
    /// Gateways.
    pub gateways: Vec<Gateway>,
    /// Runs at all replicas.
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Start of the case.
    pub started: Instant,
    record: Arc<Mutex<File>>,
    folder: PathBuf,
}

impl Fleet {
    /// Creates a fleet without processes; `record` is the path of the case's record.
    pub fn new(record: &str) -> io::Result<Fleet> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        Ok(Fleet {
            store: Store::default(),
            replicas: Vec::new(),
            gateways: Vec::new(),
            runs: Arc::default(),
            started: Instant::now(),
            record: Arc::new(Mutex::new(File::create(record)?)),
            folder,
        })
    }

    /// Returns a function that writes a line with the time to the record.
    pub fn recorder(&self) -> impl Fn(&str) + Clone + Send + Sync + 'static {
        let (record, started) = (Arc::clone(&self.record), self.started);
        move |line: &str| {
            let at_s = started.elapsed().as_secs_f64();
            let _ = writeln!(record.lock().unwrap(), "{at_s:8.3} {line}");
        }
    }

    /// Writes a line with the time to the record.
    pub fn record(&self, line: &str) {
        self.recorder()(line);
    }

    /// Starts a replica and registers it; it renews its entry from now on.
    pub fn add_replica(&mut self, id: &str, service: &str, capacity: u32, run: Arc<Behaviour>) {
        let replica = Replica::start(id, &self.runs, run);
        let (store, renewed, name) = (self.store.clone(), replica.clone(), service.to_owned());
        thread::spawn(move || {
            let (mut born, mut sequence) = (0, 0);
            let mut renewal = Instant::now();
            loop {
                if renewed.is_up() {
                    sequence = if renewed.born() == born { sequence + 1 } else { 1 };
                    born = renewed.born();
                    let entry = renewed.entry(&name, capacity, "ready", sequence);
                    store.check_in(&renewed.id, &entry);
                }
                renewal += HEARTBEAT;
                while Instant::now() < renewal && (!renewed.is_up() || renewed.born() == born) {
                    thread::sleep(Duration::from_millis(5));
                }
            }
        });
        self.replicas.push((service.to_owned(), replica));
    }

    /// Replica by id.
    pub fn replica(&self, id: &str) -> &Replica {
        let found = self.replicas.iter().find(|(_, replica)| replica.id == id);
        &found.expect("the replica was added").1
    }

    /// Removes the entries of replicas that missed three check-ins, from now on.
    pub fn remove_silent_replicas(&self) {
        let (store, record) = (self.store.clone(), self.recorder());
        thread::spawn(move || {
            loop {
                for id in store.remove_silent(3 * HEARTBEAT) {
                    record(&format!("store: the entry of {id} is removed after three check-ins"));
                }
                thread::sleep(Duration::from_millis(10));
            }
        });
    }

    /// Starts gateways, each at its own loopback address, and waits until they are ready.
    pub fn start_gateways(&mut self, count: u8) -> io::Result<()> {
        let store = self.store.start();
        let base = (std::process::id() % 200) as u8 + 20;
        for index in 1..=count {
            let ip = IpAddr::V4(Ipv4Addr::new(127, 61, base, index));
            let port = free_ports(ip)?;
            let name = format!("edge-berkshire-{index}");
            let settings_path = self.folder.join(format!("{name}.conf"));
            fs::write(&settings_path, settings(&name, ip, port, store))?;
            let mut gateway = Gateway {
                frontend: SocketAddr::new(ip, port),
                readiness: SocketAddr::new(ip, port + 1),
                log_path: self.folder.join(format!("{name}.log")),
                settings_path,
                name,
                child: None,
            };
            gateway.start()?;
            self.gateways.push(gateway);
        }
        let until = Instant::now() + START_LIMIT;
        while !self.gateways.iter().all(|gateway| gateway.readiness_status() == 200) {
            if Instant::now() > until {
                return Err(io::Error::other("a gateway did not become ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record(&format!("{count} gateways are ready"));
        Ok(())
    }

    /// Writes all runs at the replicas to the record.
    pub fn record_runs(&self) {
        for run in self.runs.lock().unwrap().iter() {
            let at_s = run.at.saturating_duration_since(self.started).as_secs_f64();
            self.record(&format!("{} reached {} at {at_s:.3}", run.id, run.replica));
        }
    }

    /// Writes the verdict to the record and returns it.
    pub fn conclude(&self, is_broken: bool) -> bool {
        self.record(if is_broken { "rule broken" } else { "rule held" });
        is_broken
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.gateways.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// First of sixteen free ports.
fn free_ports(ip: IpAddr) -> io::Result<u16> {
    let is_free = |port: u16| TcpListener::bind((ip, port)).is_ok();
    (13_000..20_000)
        .step_by(16)
        .find(|&first| (first..first + 16).all(is_free))
        .ok_or_else(|| io::Error::other("no free ports"))
}

/// Settings like those of the pages' example.
fn settings(name: &str, ip: IpAddr, port: u16, store: SocketAddr) -> String {
    format!(
        "node_name={name}\nrole=gateway\nmachine_class=edge\nserves=edge\nip={ip}\n\
         zone=berkshire\nregion=new-england\nzones.berkshire=new-england\n\
         listen.frontend={ip}:{port}\nlisten.readiness={ip}:{}\nlisten.admin={ip}:{}\n\
         port_range={},{}\nseeds=\nbootstrap=true\nfault_counted=false\n\
         limits.cpu_quota=0.25\nlimits.cpu_cores=1\nlimits.memory_mb=260\n\
         limits.max_fds=4100\nlimits.bandwidth_mbps=1000.0\nlimits.disk_mb=0\n\
         discovery=platform\nentry=vip\nheartbeat_ms=1200\n\
         bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=3000\n\
         bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
         bounds.config_apply_ms=2000\nbounds.downgrade_slack_ms=250\n\
         bounds.retry_ratio=0.2\nbounds.retry_window_s=10\nbounds.retry_slack=56\n\
         bounds.quota_window_s=8\nbounds.quota_overshoot=0.1\nbounds.quota_slack=72000\n\
         bounds.fencing_enforced=false\nbounds.lease_ms=3000\nbounds.thaw_ms=300\n\
         bounds.report_window_s=5\nbounds.usage_late_s=10\n\
         platform.address={store}\nplatform.form=log\ncloud.address={store}\n\
         cloud.rate_per_s=50.0\ncloud.duties=usage\ncloud.duty_per_s=50.0\n",
        port + 1,
        port + 2,
        port + 3,
        port + 8,
    )
}

/// Configuration like the pages' example: two kinds of streams and two of plain requests.
pub fn config(version: u64) -> String {
    config_with_timeout(version, 5_000)
}

/// The same with another timeout of the route `/guide/`.
pub fn config_with_timeout(version: u64, guide_timeout_ms: u32) -> String {
    let stream = |name: &str, prefix: &str, timeout_ms: u32, attempts: u32, resume: bool| {
        format!(
            r#"{{"name":"{name}","hostname":"{HOST}","path_prefix":"{prefix}","route_type":"stream","timeout_ms":{timeout_ms},"target_latency_ms":500,"priority":0,"service":"guide-writers","max_attempts":{attempts},"public":false,"session_affinity":true,"stream_resume":{resume},"gap_target_ms":300}}"#
        )
    };
    let plain = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"{name}","hostname":"{HOST}","path_prefix":"{prefix}","route_type":"{kind}","timeout_ms":1000,"target_latency_ms":120,"priority":2,"service":"order-desk","max_attempts":{attempts},"public":false}}"#
        )
    };
    let routes = [
        stream("guide", "/guide/", guide_timeout_ms, 2, true),
        stream("answer", "/answer/", 3_000, 1, false),
        plain("order", "/order/", "unsafe", 1),
        plain("stock", "/stock/", "safe", 2),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"guide-writers","health_path":"/healthz","max_connections":620}},{{"name":"order-desk","health_path":"/healthz","max_connections":110}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["{KEY}"],"priority":1,"unit":"tokens","uncached_tokens":200,"rate_per_s":2000000,"burst":2000000}}]}}"#,
        routes.join(",")
    )
}
