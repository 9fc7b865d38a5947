//! `compare`: time to first token that the node adds.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::ensure;
use argh::FromArgs;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::caller;

/// Significant decimal digits of the histograms.
const DIGITS: u8 = 3;

/// Maximum number of requests to each target.
const MAX_REQUESTS: u32 = 1_000_000;

/// measure streamed requests through a node and straight to an engine
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
pub(crate) struct Compare {
    /// IP:port of the node
    #[argh(option)]
    node: SocketAddr,
    /// IP:port of the engine
    #[argh(option)]
    engine: SocketAddr,
    /// bearer key
    #[argh(option, default = "String::from(\"demo-key\")")]
    key: String,
    /// name of the service at the node
    #[argh(option, default = "String::from(\"guide-writers\")")]
    service: String,
    /// name of the model at the engine
    #[argh(option, default = "String::from(\"guide-writers\")")]
    model: String,
    /// number of requests to each target
    #[argh(option, default = "400")]
    requests: u32,
    /// concurrent requests
    #[argh(option, default = "4")]
    concurrency: u32,
    /// tokens of each answer
    #[argh(option, default = "16")]
    max_tokens: u32,
    /// process id of the node, to measure its CPU time
    #[argh(option)]
    node_pid: Option<u32>,
    /// seed of the prompts
    #[argh(option, default = "1")]
    seed: u64,
}

/// Times of all requests to one target.
struct Recorded {
    first_token_us: Histogram<u64>,
    total_us: Histogram<u64>,
    took: Duration,
}

impl Compare {
    /// Measures both targets and prints a table.
    pub(crate) async fn run(&self) -> anyhow::Result<()> {
        let is_local = self.node.ip().is_loopback() && self.engine.ip().is_loopback();
        ensure!(
            is_local,
            "--node and --engine: expected loopback addresses, got {} and {}",
            self.node,
            self.engine
        );
        ensure!(
            self.requests <= MAX_REQUESTS,
            "--requests: expected at most {MAX_REQUESTS}, got {}",
            self.requests
        );
        let node = caller::Target {
            address: self.node,
            key: self.key.clone(),
            model: self.service.clone(),
        };
        let engine = caller::Target {
            address: self.engine,
            key: self.key.clone(),
            model: self.model.clone(),
        };
        let direct = self.measure(&engine, 0).await?;
        let cpu_before = self.node_cpu_time();
        let via_node = self.measure(&node, 1).await?;
        let cpu_after = self.node_cpu_time();
        println!("| way | requests/s | first token, median ms | 99th ms | whole, median ms |");
        println!("|---|---:|---:|---:|---:|");
        print_row("engine", self.requests, &direct);
        print_row("node", self.requests, &via_node);
        let added = |share: f64| {
            let via_node = via_node.first_token_us.value_at_quantile(share) as f64;
            (via_node - direct.first_token_us.value_at_quantile(share) as f64) / 1e3
        };
        println!("added to first token: median {:.2} ms, 99th {:.2} ms", added(0.5), added(0.99));
        if let (Some(cpu_before), Some(cpu_after)) = (cpu_before, cpu_after) {
            let cpu = cpu_after.saturating_sub(cpu_before);
            let cpu_per_request_s = cpu.as_secs_f64() / f64::from(self.requests);
            println!(
                "node CPU: {:.0} us a request, so {:.0} requests/s on one core",
                cpu_per_request_s * 1e6,
                1.0 / cpu_per_request_s
            );
        }
        Ok(())
    }

    async fn measure(&self, target: &caller::Target, salt: u64) -> anyhow::Result<Recorded> {
        let started = Instant::now();
        let mut workers = tokio::task::JoinSet::new();
        for worker in 0..self.concurrency.max(1) {
            let count = self.requests / self.concurrency.max(1);
            let target = target.clone();
            let max_tokens = self.max_tokens;
            let seed = self.seed ^ (u64::from(worker) << 32) ^ (salt << 63);
            workers.spawn(async move { worker_run(&target, count, max_tokens, seed).await });
        }
        let mut recorded = Recorded {
            first_token_us: Histogram::new(DIGITS)?,
            total_us: Histogram::new(DIGITS)?,
            took: Duration::ZERO,
        };
        while let Some(times) = workers.join_next().await {
            for times in times?? {
                recorded.first_token_us.record(times.first_token.as_micros() as u64)?;
                recorded.total_us.record(times.total.as_micros() as u64)?;
            }
        }
        recorded.took = started.elapsed();
        Ok(recorded)
    }

    /// CPU time of the node's process, to a resolution of 10 ms (one clock tick).
    fn node_cpu_time(&self) -> Option<Duration> {
        let pid = self.node_pid?;
        let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let fields: Vec<&str> = text.rsplit(')').next()?.split_whitespace().collect();
        let user: u64 = fields.get(11)?.parse().ok()?;
        let system: u64 = fields.get(12)?.parse().ok()?;
        Some(Duration::from_millis((user + system) * 10))
    }
}

async fn worker_run(
    target: &caller::Target,
    count: u32,
    max_tokens: u32,
    seed: u64,
) -> anyhow::Result<Vec<caller::Times>> {
    let client = caller::client();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut all = Vec::new();
    for _ in 0..count {
        let prompt = format!("How is gourd number {} cured?", rng.random::<u64>());
        all.push(caller::send_request(&client, target, &prompt, max_tokens).await?);
    }
    Ok(all)
}

fn print_row(target_name: &str, requests: u32, recorded: &Recorded) {
    let millis =
        |histogram: &Histogram<u64>, share| histogram.value_at_quantile(share) as f64 / 1e3;
    println!(
        "| {target_name} | {:.0} | {:.2} | {:.2} | {:.2} |",
        f64::from(requests) / recorded.took.as_secs_f64(),
        millis(&recorded.first_token_us, 0.5),
        millis(&recorded.first_token_us, 0.99),
        millis(&recorded.total_us, 0.5),
    );
}
