//! `standin` runs a stand-in for the platform, model engines or a plain service, for tests on one
//! machine.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use argh::FromArgs;
use standins::fleet::{Instance, InstanceState};
use standins::registration::PlatformClient;
use standins::{desk, engine, engines, http, platform, replica};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Stands in for the systems around rhubarbrock in tests on one machine. Start the platform
/// first, then engines and desks, which register with it. Every stand-in returns its faults at
/// GET /faults and changes them at POST /faults while it runs.
#[derive(Debug, FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Platform(PlatformArguments),
    Engines(EnginesArguments),
    Desk(DeskArguments),
}

/// The platform: log, instance list, cloud API and weight store.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArguments {
    /// IP:port to serve on (127.0.0.1:7000)
    #[argh(option, default = "local(7000)")]
    address: SocketAddr,
    /// instance known from the start, as KIND=ID=DATA_CENTRE=ADDRESS[=PEER_ADDRESS]; may be
    /// repeated
    #[argh(option)]
    instance: Vec<Instance>,
    /// age of the instance list, in milliseconds (1000)
    #[argh(option, default = "1000")]
    list_lag_ms: u64,
    /// appends admitted per second (400)
    #[argh(option, default = "400")]
    appends_per_s: u32,
    /// records retained in each topic; 0 retains all (100000)
    #[argh(option, default = "100_000")]
    retention_records: usize,
    /// seed that decides which starts are refused (1)
    #[argh(option, default = "1")]
    seed: u64,
}

/// Model engines: many replicas in one process, on consecutive ports.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "engines")]
struct EnginesArguments {
    /// base URL of the platform, such as http://127.0.0.1:7000
    #[argh(option)]
    platform: String,
    /// IP:port of the first replica (127.0.0.1:7300)
    #[argh(option, default = "local(7300)")]
    address: SocketAddr,
    /// service of the replicas
    #[argh(option)]
    service: String,
    /// data centre of the replicas
    #[argh(option)]
    data_centre: String,
    /// machine class (accelerator-small)
    #[argh(option, default = "String::from(\"accelerator-small\")")]
    class: String,
    /// market: reclaimable or on_demand (reclaimable)
    #[argh(option, default = "String::from(\"reclaimable\")")]
    market: String,
    /// number of live replicas
    #[argh(option)]
    replicas: u16,
    /// number of spare replicas, which become live when ordered from the platform (0)
    #[argh(option, default = "0")]
    spare: u16,
    /// instance number of the first replica; the others follow it
    #[argh(option)]
    first_id: u64,
    /// text that crashes a replica if a prompt contains it (`<<poison>>`)
    #[argh(option, default = "String::from(\"<<poison>>\")")]
    poison: String,
    /// time from a crash until the replica listens again, in milliseconds (3000)
    #[argh(option, default = "3000")]
    restart_ms: u64,
    /// refuse orders with a stale fencing token
    #[argh(switch)]
    checks_fencing: bool,
    /// model served before the first order
    #[argh(option, default = "String::new()")]
    model: String,
    /// maximum number of sequences in a batch (32)
    #[argh(option, default = "32")]
    max_batch: usize,
    /// fixed part of the duration of a step, in microseconds (12000)
    #[argh(option, default = "12_000")]
    token_interval_us: u64,
    /// KV memory for running requests and cached prefixes, in blocks of 64 bytes of text (16384)
    #[argh(option, default = "16_384")]
    kv_blocks: usize,
    /// size of an exported KV cache, in bytes per token (512)
    #[argh(option, default = "512")]
    kv_bytes_per_token: usize,
    /// seed that decides which cache events are never shown (1)
    #[argh(option, default = "1")]
    seed: u64,
}

/// A plain service: POST /orders, POST /payouts, GET /stock/{item}; GET /runs returns how often
/// the calls of each key ran.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "desk")]
struct DeskArguments {
    /// base URL of the platform, such as http://127.0.0.1:7000
    #[argh(option)]
    platform: String,
    /// IP:port of the first replica (127.0.0.1:7200)
    #[argh(option, default = "local(7200)")]
    address: SocketAddr,
    /// service of the replicas
    #[argh(option)]
    service: String,
    /// data centre of the replicas; if repeated, the replicas are spread over them in turn
    #[argh(option)]
    data_centre: Vec<String>,
    /// machine class (general)
    #[argh(option, default = "String::from(\"general\")")]
    class: String,
    /// market: reclaimable or on_demand (reclaimable)
    #[argh(option, default = "String::from(\"reclaimable\")")]
    market: String,
    /// number of replicas, on consecutive ports (1)
    #[argh(option, default = "1")]
    replicas: u16,
    /// instance number of the first replica; the others follow it
    #[argh(option)]
    first_id: u64,
    /// refuse calls with a stale fencing token
    #[argh(switch)]
    checks_fencing: bool,
    /// seed of the stock counts (1)
    #[argh(option, default = "1")]
    seed: u64,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match run(arguments.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(command: Command) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let serving = async {
        match command {
            Command::Platform(arguments) => run_platform(arguments).await,
            Command::Engines(arguments) => run_engines(arguments).await,
            Command::Desk(arguments) => run_desk(arguments).await,
        }
    };
    tokio::select! {
        result = serving => result,
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
    }
}

async fn run_platform(arguments: PlatformArguments) -> anyhow::Result<()> {
    let listener = http::bind(arguments.address).await?;
    let faults = platform::Faults {
        list_lag_ms: arguments.list_lag_ms,
        appends_per_s: arguments.appends_per_s,
        retention_records: arguments.retention_records,
        ..platform::Faults::default()
    };
    let platform = platform::Platform::new(arguments.seed, faults, arguments.instance);
    let stop = watch::Sender::new(0);
    println!("platform on http://{}", listener.local_addr()?);
    platform.serve(listener, stop.subscribe()).await;
    Ok(())
}

async fn run_engines(arguments: EnginesArguments) -> anyhow::Result<()> {
    let live = arguments.replicas;
    let listeners = bind_all(arguments.address, live + arguments.spare).await?;
    let mut replicas = Vec::new();
    for (index, listener) in listeners.iter().enumerate() {
        let instance = Instance {
            id: arguments.first_id + index as u64,
            kind: "endpoint".to_owned(),
            data_centre: arguments.data_centre.clone(),
            class: arguments.class.clone(),
            market: arguments.market.clone(),
            state: if index < usize::from(live) {
                InstanceState::Live
            } else {
                InstanceState::Starting
            },
            service: arguments.service.clone(),
            address: listener.local_addr()?.to_string(),
            ..Instance::default()
        };
        replicas.push(Arc::new(replica::Replica::new(replica_settings(&arguments, instance))));
    }
    let instances: Vec<Instance> = replicas.iter().map(|r| r.settings.instance.clone()).collect();
    let settings = engines::Settings {
        restart_delay: Duration::from_millis(arguments.restart_ms),
        kv_bytes_per_token: arguments.kv_bytes_per_token,
    };
    let platform_client = PlatformClient::new(&arguments.platform);
    let group = engines::EngineGroup::new(settings, replicas, Some(platform_client.clone()));
    let serving = tokio::spawn(group.clone().serve(listeners));
    let notices = platform_client.register(&instances).await?;
    tokio::spawn(group.apply_notices(notices));
    println!("{} engine replicas from http://{}", instances.len(), arguments.address);
    serving.await.context("server task failed")
}

fn replica_settings(arguments: &EnginesArguments, instance: Instance) -> replica::Settings {
    replica::Settings {
        instance,
        poison: arguments.poison.clone(),
        checks_fencing: arguments.checks_fencing,
        model: arguments.model.clone(),
        seed: arguments.seed,
        engine: engine::Settings {
            max_batch: arguments.max_batch,
            step_base_us: arguments.token_interval_us,
            kv_blocks: arguments.kv_blocks,
            ..engine::Settings::default()
        },
    }
}

async fn run_desk(arguments: DeskArguments) -> anyhow::Result<()> {
    let data_centres = &arguments.data_centre;
    anyhow::ensure!(!data_centres.is_empty(), "--data-centre is missing");
    let listeners = bind_all(arguments.address, arguments.replicas).await?;
    let mut instances = Vec::new();
    for (index, listener) in listeners.iter().enumerate() {
        instances.push(Instance {
            id: arguments.first_id + index as u64,
            kind: "desk".to_owned(),
            data_centre: data_centres[index % data_centres.len()].clone(),
            class: arguments.class.clone(),
            market: arguments.market.clone(),
            state: InstanceState::Live,
            service: arguments.service.clone(),
            address: listener.local_addr()?.to_string(),
            ..Instance::default()
        });
    }
    let desk = desk::Desk::new(instances.clone(), arguments.checks_fencing, arguments.seed);
    let stop = watch::Sender::new(0);
    let serving = tokio::spawn(desk.clone().serve(listeners, stop.subscribe()));
    let platform_client = PlatformClient::new(&arguments.platform);
    let notices = platform_client.register(&instances).await?;
    tokio::spawn(desk.apply_notices(notices));
    println!("{} desk replicas from http://{}", instances.len(), arguments.address);
    serving.await.context("server task failed")
}

/// Binds `count` consecutive ports, from that of `address` on.
async fn bind_all(address: SocketAddr, count: u16) -> anyhow::Result<Vec<TcpListener>> {
    let mut listeners = Vec::new();
    for index in 0..count {
        let port =
            address.port().checked_add(index).context("port of the last replica is above 65535")?;
        listeners.push(http::bind(SocketAddr::new(address.ip(), port)).await?);
    }
    Ok(listeners)
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
