//! `membership`: cost of failure detector, digests and custody at one node, by size of the fleet.

use std::time::Duration;

use argh::FromArgs;

use crate::custody;
use crate::fit::{self, Column};
use crate::fleet::Fleet;
use crate::process;

const REPLICAS: u32 = 600;
const ORGANISATIONS: u32 = 5;
const MEASURED: Duration = Duration::from_secs(60);
const LIMIT: Duration = Duration::from_secs(120);

/// measure membership, digest and custody of one node
#[derive(FromArgs)]
#[argh(subcommand, name = "membership")]
pub(crate) struct Membership {
    /// nodes of the largest fleet; 390 unless given
    #[argh(option, default = "390")]
    nodes: u32,
}

/// Cost of one node and propagation times in a fleet of one size.
#[derive(Default)]
struct Cost {
    cpu_us: f64,
    sent_bytes: f64,
    messages: f64,
    largest_bytes: f64,
    memory_kib: f64,
    known_percent: f64,
    age_median_s: f64,
    age_95th_s: f64,
    death_first_known_s: f64,
    death_known_s: f64,
    version_known_s: f64,
}

impl Membership {
    pub(crate) fn run(&self) -> anyhow::Result<()> {
        println!("CPU is this thread's time; bytes include 60 per datagram for IP, UDP and HMAC.");
        println!(
            "A node receives as much as it sends, on average. Memory is resident, averaged over the fleet."
        );
        let largest = self.nodes;
        let nodes = [largest / 8, largest / 4, largest / 2, largest * 3 / 4, largest];
        table("Nodes (600 replicas, 5 organisations)", "node", &nodes, |nodes| {
            measure(nodes, REPLICAS, ORGANISATIONS)
        })?;
        let replicas = [75, 150, 300, 600];
        table("Replicas (100 nodes, 5 organisations)", "replica", &replicas, |replicas| {
            measure(100, replicas, ORGANISATIONS)
        })?;
        let organisations = [5, 10, 20, 40];
        table(
            "Organisations (100 nodes, 600 replicas)",
            "organisation",
            &organisations,
            |count| measure(100, REPLICAS, count),
        )?;
        custody::run()
    }
}

fn table(
    title: &str,
    unit: &str,
    sizes: &[u32],
    measure: impl Fn(u32) -> anyhow::Result<Cost>,
) -> anyhow::Result<()> {
    let costs = sizes.iter().map(|&size| measure(size)).collect::<anyhow::Result<Vec<Cost>>>()?;
    let column = |name: &'static str, value: &dyn Fn(&Cost) -> f64| Column {
        name,
        values: costs.iter().map(value).collect(),
    };
    let columns = [
        column("CPU, µs/s", &|cost| cost.cpu_us),
        column("sent, bytes/s", &|cost| cost.sent_bytes),
        column("sent, datagrams/s", &|cost| cost.messages),
        column("largest, bytes", &|cost| cost.largest_bytes),
        column("memory, KiB", &|cost| cost.memory_kib),
        column("loads known, %", &|cost| cost.known_percent),
        column("load age, median, s", &|cost| cost.age_median_s),
        column("load age, 95th, s", &|cost| cost.age_95th_s),
        column("death known to first, s", &|cost| cost.death_first_known_s),
        column("death known to all, s", &|cost| cost.death_known_s),
        column("version known to all, s", &|cost| cost.version_known_s),
    ];
    fit::print(title, unit, sizes, &columns);
    Ok(())
}

fn measure(nodes: u32, replicas: u32, organisations: u32) -> anyhow::Result<Cost> {
    let resident_before = process::resident_bytes()?;
    let mut fleet = Fleet::joined(nodes as usize);
    let watchers = fleet.watchers(replicas);
    let mut sequence = 1;
    let mut observe = |fleet: &mut Fleet| {
        sequence += 1;
        fleet.put_loads(&watchers, sequence);
        if sequence % 5 == 0 {
            fleet.put_usage(organisations, sequence * 1_000);
        }
    };
    fleet.run(Duration::from_secs(60), &mut observe);
    fleet.traffic = Default::default();
    let cpu_before = process::cpu_time()?;
    fleet.run(MEASURED, &mut observe);
    let cpu = process::cpu_time()? - cpu_before;
    let node_seconds = f64::from(nodes) * MEASURED.as_secs_f64();
    let resident = process::resident_bytes()?.saturating_sub(resident_before);
    let mut cost = Cost {
        cpu_us: cpu.as_secs_f64() * 1e6 / node_seconds,
        sent_bytes: fleet.traffic.bytes as f64 / node_seconds,
        messages: fleet.traffic.messages as f64 / node_seconds,
        largest_bytes: fleet.traffic.largest_bytes as f64,
        memory_kib: resident as f64 / 1024.0 / f64::from(nodes),
        ..Default::default()
    };
    measure_ages(&mut fleet, replicas, &mut cost);
    measure_propagation(&mut fleet, &mut cost);
    // Not freed: the next fleet would reuse the memory, and its growth could not be measured.
    std::mem::forget(fleet);
    Ok(cost)
}

fn measure_ages(fleet: &mut Fleet, replicas: u32, cost: &mut Cost) {
    let now = fleet.now;
    let mut ages_s = Vec::new();
    let mut wanted = 0;
    for node in &mut fleet.nodes {
        for endpoint in 1..=replicas {
            wanted += 1;
            let load = node.digest_store().load(now, endpoint.into());
            ages_s.extend(load.map(|load| f64::from(load.age_ms) / 1_000.0));
        }
    }
    ages_s.sort_by(f64::total_cmp);
    cost.known_percent = ages_s.len() as f64 / f64::from(wanted) * 100.0;
    cost.age_median_s = ages_s.get(ages_s.len() / 2).copied().unwrap_or_default();
    cost.age_95th_s = ages_s.get(ages_s.len() * 95 / 100).copied().unwrap_or_default();
}

fn measure_propagation(fleet: &mut Fleet, cost: &mut Cost) {
    fleet.nodes[0].set_release_version(7);
    let all_know =
        |fleet: &Fleet| fleet.nodes.iter().all(|node| node.newest_release_version() == 7);
    adopt_newest_version(fleet);
    cost.version_known_s = run_until_known(fleet, all_know).as_secs_f64();
    let victim = fleet.nodes.len() / 2;
    let id = fleet.nodes[victim].own_record().node;
    fleet.kill(victim);
    let knows_death = move |fleet: &Fleet, node: usize| {
        let known = fleet.nodes[node].member(id);
        known.is_some_and(|known| known.state == rhubarbrock::membership::State::Dead)
    };
    let first = fleet.run_until(LIMIT, |fleet| fleet.alive().any(|node| knows_death(fleet, node)));
    let rest = fleet.run_until(LIMIT, |fleet| fleet.alive().all(|node| knows_death(fleet, node)));
    cost.death_first_known_s = first.as_secs_f64();
    cost.death_known_s = (first + rest).as_secs_f64();
}

/// Runs until all nodes know a version, at most for [`LIMIT`]. After each step, every node adopts the
/// newest version that it knows.
fn run_until_known(fleet: &mut Fleet, all_know: impl Fn(&Fleet) -> bool) -> Duration {
    let start = fleet.now;
    while fleet.now < start + LIMIT && !all_know(fleet) {
        fleet.run(Duration::from_millis(100), |_| {});
        adopt_newest_version(fleet);
    }
    fleet.now - start
}

fn adopt_newest_version(fleet: &mut Fleet) {
    for node in &mut fleet.nodes {
        let version = node.newest_release_version();
        node.set_release_version(version);
    }
}
