//! Gateways, replicas, store and callers for the run of one seed.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use platform_standins::config;
use platform_standins::replica::Replica;
use platform_standins::store::Store;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time;

use crate::callers::{self, Attempt};
use crate::gateway::Gateway;
use crate::proxy::Proxy;
use crate::{checks, faults};

pub(crate) const GATEWAYS: usize = 5;
pub(crate) const REPLICAS: usize = 4;
const CALLERS: u64 = 12;

/// Bound on the time until a release or a draining replica is known everywhere; the value that
/// larger deployments set.
pub(crate) const MAX_DELAY: Duration = Duration::from_millis(3_000);

/// Time without a disturbance after which the bounds apply to a gateway.
pub(crate) const STORE_CONTACT_TIME: Duration = Duration::from_millis(4_000);

/// Time within which a terminated gateway must exit: the grace time of the settings file, and 1 s
/// for a busy machine.
pub(crate) const EXIT_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Time with callers but without faults, before the first fault.
const WARM_UP_PERIOD: Duration = Duration::from_millis(1_500);

/// Time after the last fault; in its last part, all requests must be served.
const RECOVERY_PERIOD: Duration = Duration::from_millis(8_000);

/// Longest time until all gateways are ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

const READINESS_INTERVAL: Duration = Duration::from_millis(200);

/// What a disturbance affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Target {
    Gateway(usize),
    /// A gateway that was terminated gracefully and has no other fault.
    Leaving(usize),
    Replica(usize),
    Store,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Disturbance {
    pub(crate) target: Target,
    pub(crate) from: Instant,
    pub(crate) until: Option<Instant>,
}

/// A replica and the proxy through which gateways reach it.
pub(crate) struct ProxiedReplica {
    pub(crate) replica: Replica,
    pub(crate) link: Proxy,
    registration: tokio::sync::Mutex<Registration>,
}

/// What the replica's entry in the store says of its process.
struct Registration {
    process_start: u64,
    sequence: u64,
}

/// Period in which a replica was registered as draining.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DrainPeriod {
    pub(crate) replica: usize,
    pub(crate) from: Instant,
    pub(crate) until: Instant,
}

#[derive(Debug, Clone)]
pub(crate) struct Key {
    pub(crate) name: String,
    pub(crate) published_at: Instant,
    pub(crate) revoked_at: Option<Instant>,
}

struct Release {
    version: u64,
    keys: Vec<Key>,
}

pub(crate) struct Testbed {
    pub(crate) store: Store,
    pub(crate) store_links: Vec<Proxy>,
    pub(crate) caller_addresses: Vec<SocketAddr>,
    pub(crate) gateways: Vec<tokio::sync::Mutex<Gateway>>,
    pub(crate) replicas: Vec<ProxiedReplica>,
    pub(crate) ready: Mutex<Vec<bool>>,
    pub(crate) attempts: Mutex<Vec<Attempt>>,
    pub(crate) disturbances: Mutex<Vec<Disturbance>>,
    pub(crate) drain_periods: Mutex<Vec<DrainPeriod>>,
    pub(crate) started: Instant,
    release: Mutex<Release>,
    violations: Mutex<Vec<String>>,
    fault_log: Mutex<Vec<String>>,
}

/// Runs one seed; returns the violations of guarantees.
pub(crate) fn run(seed: u64) -> Vec<String> {
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    runtime.worker_threads(2).enable_all().build().unwrap().block_on(run_seed(seed))
}

async fn run_seed(seed: u64) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let testbed = Arc::new(Testbed::start(seed).await);
    let mut tasks = JoinSet::new();
    tasks.spawn(callers::watch_readiness(Arc::clone(&testbed), READINESS_INTERVAL));
    let started = Instant::now();
    while !testbed.ready.lock().unwrap().iter().all(|ready| *ready) {
        assert!(started.elapsed() < START_TIMEOUT, "the gateways were not ready in time");
        time::sleep(READINESS_INTERVAL).await;
    }
    for caller in 0..CALLERS {
        tasks.spawn(callers::run(Arc::clone(&testbed), caller, seed));
    }
    time::sleep(WARM_UP_PERIOD).await;
    let mut injections = JoinSet::new();
    for planned in faults::plan(&mut random) {
        injections.spawn(faults::inject(Arc::clone(&testbed), planned));
    }
    injections.join_all().await;
    let faults_ended_at = Instant::now();
    time::sleep(RECOVERY_PERIOD).await;
    tasks.shutdown().await;
    for (index, gateway) in testbed.gateways.iter().enumerate() {
        if let Some(status) = gateway.lock().await.child.exit_status() {
            testbed.record_violation(format!("gateway {index} exited unexpectedly: {status}"));
        }
    }
    for line in testbed.fault_log.lock().unwrap().iter() {
        println!("seed {seed}: {line}");
    }
    println!("seed {seed}: {}", checks::summary(&testbed));
    let mut violations = testbed.violations.lock().unwrap().clone();
    violations.extend(checks::violations(&testbed, faults_ended_at));
    violations
}

impl Testbed {
    async fn start(seed: u64) -> Testbed {
        let store = Store::default();
        let keys =
            vec![Key { name: "key-0".to_owned(), published_at: Instant::now(), revoked_at: None }];
        let release = Release { version: 1, keys };
        let mut store_links = Vec::new();
        let mut gateways = Vec::new();
        let mut caller_addresses = Vec::new();
        let mut replicas = Vec::new();
        for index in 0..REPLICAS {
            let replica = Replica::start(&format!("r{index}")).await;
            let link = Proxy::start(replica.address).await;
            store
                .write_replica(&replica.id, &replica.entry_at(link.address, "desk", "ready", 1, 1));
            let registration =
                tokio::sync::Mutex::new(Registration { process_start: 1, sequence: 1 });
            replicas.push(ProxiedReplica { replica, link, registration });
        }
        let testbed_with = |gateways, store_links, caller_addresses| Testbed {
            store: store.clone(),
            store_links,
            caller_addresses,
            gateways,
            replicas,
            ready: Mutex::new(vec![false; GATEWAYS]),
            attempts: Mutex::default(),
            disturbances: Mutex::default(),
            drain_periods: Mutex::default(),
            started: Instant::now(),
            release: Mutex::new(release),
            violations: Mutex::default(),
            fault_log: Mutex::default(),
        };
        store.write_config(&configuration(1, &["key-0"]));
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak").join(seed.to_string());
        let block = (std::process::id() % 120) as u8;
        for index in 0..GATEWAYS {
            let link = Proxy::start(store.start().await).await;
            let ip = Ipv4Addr::new(127, 100 + block, seed as u8, index as u8 + 1).into();
            let node = config::GatewaySettings {
                name: format!("g{index}"),
                ip,
                first_port: config::free_ports(ip),
                store: link.address,
                max_delay_ms: MAX_DELAY.as_millis() as u64,
            };
            let gateway = Gateway::start(&node, &folder);
            caller_addresses.push(gateway.caller_address);
            gateways.push(tokio::sync::Mutex::new(gateway));
            store_links.push(link);
        }
        testbed_with(gateways, store_links, caller_addresses)
    }

    /// Records the start of a disturbance; returns its index.
    pub(crate) fn begin_disturbance(&self, target: Target) -> usize {
        let mut disturbances = self.disturbances.lock().unwrap();
        disturbances.push(Disturbance { target, from: Instant::now(), until: None });
        disturbances.len() - 1
    }

    /// Records the end of a disturbance.
    pub(crate) fn end_disturbance(&self, disturbance: usize) {
        self.disturbances.lock().unwrap()[disturbance].until = Some(Instant::now());
    }

    pub(crate) fn record_violation(&self, what: String) {
        self.violations.lock().unwrap().push(what);
    }

    /// Records a fault for the output of the run.
    pub(crate) fn log_fault(&self, what: &str) {
        let at_ms = self.started.elapsed().as_millis();
        self.fault_log.lock().unwrap().push(format!("at {at_ms} ms: {what}"));
    }

    pub(crate) fn keys(&self) -> Vec<Key> {
        self.release.lock().unwrap().keys.clone()
    }

    /// Adds a key; revokes the oldest valid one if at least two valid ones were published more than
    /// [`STORE_CONTACT_TIME`] ago, so that callers have had a newer one for some time.
    pub(crate) fn change_keys(&self) {
        let mut release = self.release.lock().unwrap();
        let now = Instant::now();
        release.version += 1;
        let name = format!("key-{}", release.version);
        let is_known =
            |key: &Key| key.revoked_at.is_none() && now > key.published_at + STORE_CONTACT_TIME;
        if release.keys.iter().filter(|key| is_known(key)).count() > 1 {
            let oldest = release.keys.iter_mut().find(|key| key.revoked_at.is_none()).unwrap();
            oldest.revoked_at = Some(now);
        }
        release.keys.push(Key { name, published_at: now, revoked_at: None });
        let valid = release.keys.iter().filter(|key| key.revoked_at.is_none());
        let names: Vec<&str> = valid.map(|key| key.name.as_str()).collect();
        self.store.write_config(&configuration(release.version, &names));
    }

    /// Registers a replica as draining and, after `duration` plus [`MAX_DELAY`], as a new process
    /// that is ready.
    pub(crate) async fn drain(&self, index: usize, duration: Duration) {
        let proxied = &self.replicas[index];
        let mut registration = proxied.registration.lock().await;
        registration.sequence += 1;
        let entry = |registration: &Registration, state| {
            let address = proxied.link.address;
            proxied.replica.entry_at(
                address,
                "desk",
                state,
                registration.sequence,
                registration.process_start,
            )
        };
        let from = Instant::now();
        self.store.write_replica(&proxied.replica.id, &entry(&registration, "draining"));
        time::sleep(duration + MAX_DELAY).await;
        self.drain_periods.lock().unwrap().push(DrainPeriod {
            replica: index,
            from,
            until: Instant::now(),
        });
        *registration = Registration { process_start: registration.process_start + 1, sequence: 1 };
        self.store.write_replica(&proxied.replica.id, &entry(&registration, "ready"));
    }
}

fn configuration(version: u64, keys: &[&str]) -> serde_json::Value {
    let mut config = config::config(version);
    config["tenants"][0]["api_keys"] = json!(keys);
    config
}
