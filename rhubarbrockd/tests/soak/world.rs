//! Gateways, replicas, store and callers of one seed.

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

/// Bound on releases and on leaving replicas, as the larger deployments set it.
pub(crate) const BOUND: Duration = Duration::from_millis(3_000);

/// Time without a disturbance after which the bounds hold for a gateway.
pub(crate) const CONTACT: Duration = Duration::from_millis(4_000);

/// Grace time of the settings file, and a second for a busy machine.
pub(crate) const GRACE: Duration = Duration::from_millis(5_000);

/// Time before the first fault.
const CALM: Duration = Duration::from_millis(1_500);

/// Time after the last fault, of which the last part must be served whole.
const RECOVERY: Duration = Duration::from_millis(8_000);

/// Longest time for the start of all processes.
const START_LIMIT: Duration = Duration::from_secs(20);

const READINESS_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Place {
    Gateway(usize),
    /// A gateway that was told to end, and has no other fault.
    Leaving(usize),
    Replica(usize),
    Store,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Disturbance {
    pub(crate) place: Place,
    pub(crate) from: Instant,
    pub(crate) until: Option<Instant>,
}

pub(crate) struct Served {
    pub(crate) replica: Replica,
    pub(crate) link: Proxy,
    life: tokio::sync::Mutex<Life>,
}

struct Life {
    born: u64,
    sequence: u64,
}

/// Time in which a replica wanted to be left alone.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Drained {
    pub(crate) replica: usize,
    pub(crate) from: Instant,
    pub(crate) until: Instant,
}

#[derive(Debug, Clone)]
pub(crate) struct Key {
    pub(crate) name: String,
    pub(crate) since: Instant,
    pub(crate) revoked_at: Option<Instant>,
}

struct Release {
    version: u64,
    keys: Vec<Key>,
}

pub(crate) struct World {
    pub(crate) store: Store,
    pub(crate) store_links: Vec<Proxy>,
    pub(crate) callers: Vec<SocketAddr>,
    pub(crate) gateways: Vec<tokio::sync::Mutex<Gateway>>,
    pub(crate) replicas: Vec<Served>,
    pub(crate) ready: Mutex<Vec<bool>>,
    pub(crate) attempts: Mutex<Vec<Attempt>>,
    pub(crate) disturbances: Mutex<Vec<Disturbance>>,
    pub(crate) drained: Mutex<Vec<Drained>>,
    pub(crate) started: Instant,
    release: Mutex<Release>,
    broken: Mutex<Vec<String>>,
    told: Mutex<Vec<String>>,
}

/// Plays one seed; returns the promises that were broken.
pub(crate) fn run(seed: u64) -> Vec<String> {
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    runtime.worker_threads(2).enable_all().build().unwrap().block_on(play(seed))
}

async fn play(seed: u64) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let world = Arc::new(World::start(seed).await);
    let mut tasks = JoinSet::new();
    tasks.spawn(callers::watch_readiness(Arc::clone(&world), READINESS_INTERVAL));
    let started = Instant::now();
    while !world.ready.lock().unwrap().iter().all(|ready| *ready) {
        assert!(started.elapsed() < START_LIMIT, "the gateways do not become ready");
        time::sleep(READINESS_INTERVAL).await;
    }
    for caller in 0..CALLERS {
        tasks.spawn(callers::run(Arc::clone(&world), caller, seed));
    }
    time::sleep(CALM).await;
    let mut playing = JoinSet::new();
    for planned in faults::plan(&mut random) {
        playing.spawn(faults::play(Arc::clone(&world), planned));
    }
    playing.join_all().await;
    let healed = Instant::now();
    time::sleep(RECOVERY).await;
    tasks.shutdown().await;
    for (index, gateway) in world.gateways.iter().enumerate() {
        if let Some(status) = gateway.lock().await.child.exit_status() {
            world.broken(format!("gateway {index} ended by itself: {status}"));
        }
    }
    for line in world.told.lock().unwrap().iter() {
        println!("seed {seed}: {line}");
    }
    println!("seed {seed}: {}", checks::summary(&world));
    let mut broken = world.broken.lock().unwrap().clone();
    broken.extend(checks::broken(&world, healed));
    broken
}

impl World {
    async fn start(seed: u64) -> World {
        let store = Store::default();
        let keys = vec![Key { name: "key-0".to_owned(), since: Instant::now(), revoked_at: None }];
        let release = Release { version: 1, keys };
        let mut store_links = Vec::new();
        let mut gateways = Vec::new();
        let mut callers = Vec::new();
        let mut replicas = Vec::new();
        for index in 0..REPLICAS {
            let replica = Replica::start(&format!("r{index}")).await;
            let link = Proxy::start(replica.address).await;
            store
                .write_replica(&replica.id, &replica.entry_at(link.address, "desk", "ready", 1, 1));
            let life = tokio::sync::Mutex::new(Life { born: 1, sequence: 1 });
            replicas.push(Served { replica, link, life });
        }
        let world_of = |gateways, store_links, callers| World {
            store: store.clone(),
            store_links,
            callers,
            gateways,
            replicas,
            ready: Mutex::new(vec![false; GATEWAYS]),
            attempts: Mutex::default(),
            disturbances: Mutex::default(),
            drained: Mutex::default(),
            started: Instant::now(),
            release: Mutex::new(release),
            broken: Mutex::default(),
            told: Mutex::default(),
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
                max_delay_ms: BOUND.as_millis() as u64,
            };
            let gateway = Gateway::start(&node, &folder);
            callers.push(gateway.callers);
            gateways.push(tokio::sync::Mutex::new(gateway));
            store_links.push(link);
        }
        world_of(gateways, store_links, callers)
    }

    /// Notes that a disturbance begins; returns its number.
    pub(crate) fn disturb(&self, place: Place) -> usize {
        let mut disturbances = self.disturbances.lock().unwrap();
        disturbances.push(Disturbance { place, from: Instant::now(), until: None });
        disturbances.len() - 1
    }

    /// Notes that a disturbance is over.
    pub(crate) fn end(&self, disturbance: usize) {
        self.disturbances.lock().unwrap()[disturbance].until = Some(Instant::now());
    }

    pub(crate) fn broken(&self, what: String) {
        self.broken.lock().unwrap().push(what);
    }

    /// Notes a fault for the run's output.
    pub(crate) fn tell(&self, what: &str) {
        let at_ms = self.started.elapsed().as_millis();
        self.told.lock().unwrap().push(format!("at {at_ms} ms: {what}"));
    }

    pub(crate) fn keys(&self) -> Vec<Key> {
        self.release.lock().unwrap().keys.clone()
    }

    /// Adds a key, and revokes the oldest one where callers have had a newer one for some time.
    pub(crate) fn change_keys(&self) {
        let mut release = self.release.lock().unwrap();
        let now = Instant::now();
        release.version += 1;
        let name = format!("key-{}", release.version);
        let is_known = |key: &Key| key.revoked_at.is_none() && now > key.since + CONTACT;
        if release.keys.iter().filter(|key| is_known(key)).count() > 1 {
            let oldest = release.keys.iter_mut().find(|key| key.revoked_at.is_none()).unwrap();
            oldest.revoked_at = Some(now);
        }
        release.keys.push(Key { name, since: now, revoked_at: None });
        let valid = release.keys.iter().filter(|key| key.revoked_at.is_none());
        let names: Vec<&str> = valid.map(|key| key.name.as_str()).collect();
        self.store.write_config(&configuration(release.version, &names));
    }

    /// Lets a replica say that it leaves, and come back as another start.
    pub(crate) async fn drain(&self, index: usize, lasts: Duration) {
        let served = &self.replicas[index];
        let mut life = served.life.lock().await;
        life.sequence += 1;
        let entry = |life: &Life, state| {
            let address = served.link.address;
            served.replica.entry_at(address, "desk", state, life.sequence, life.born)
        };
        let from = Instant::now();
        self.store.write_replica(&served.replica.id, &entry(&life, "draining"));
        time::sleep(lasts + BOUND).await;
        self.drained.lock().unwrap().push(Drained { replica: index, from, until: Instant::now() });
        *life = Life { born: life.born + 1, sequence: 1 };
        self.store.write_replica(&served.replica.id, &entry(&life, "ready"));
    }
}

fn configuration(version: u64, keys: &[&str]) -> serde_json::Value {
    let mut config = config::config(version);
    config["tenants"][0]["api_keys"] = json!(keys);
    config
}
