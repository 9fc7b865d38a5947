//! `soak`: runs the randomised simulations of crate `proofs` over many seeds.

use std::thread;

use anyhow::bail;
use argh::FromArgs;
use proofs::Violation;
use proofs::claim_simulation::{self, Options};
use proofs::{node_simulation, poison_simulation};

/// Runs the randomised simulations over many seeds and stops at the first violated invariant.
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
pub(crate) struct Soak {
    /// number of seeds
    #[argh(option, default = "1000")]
    seeds: u64,
    /// events per seed, in the simulations of claims and of poison requests
    #[argh(option, default = "10000")]
    events: u64,
    /// first seed
    #[argh(option, default = "0")]
    first: u64,
    /// number of threads
    #[argh(option, default = "2")]
    threads: u64,
    /// fault rate of the claim simulation, in percent of the highest; at most 100
    #[argh(option, default = "100")]
    fault_percent: u32,
    /// simulation to run: claims, poison or nodes; all unless given
    #[argh(option)]
    world: Option<String>,
}

impl Soak {
    /// Runs the chosen simulations and prints their counts.
    pub(crate) fn run(&self) -> anyhow::Result<()> {
        match self.world.as_deref() {
            Some("claims") => self.run_claims(),
            Some("poison") => self.run_poison(),
            Some("nodes") => self.run_nodes(),
            None => {
                self.run_claims()?;
                self.run_poison()?;
                self.run_nodes()
            }
            Some(other) => bail!("--world: expected claims, poison or nodes, got {other}"),
        }
    }

    fn run_claims(&self) -> anyhow::Result<()> {
        let fault_percent = self.fault_percent.min(100);
        let reports = self.run_seeds(|seed| {
            let options = Options { fault_percent, ..Options::with_faults(seed) };
            claim_simulation::run(seed, self.events, options)
        })?;
        let mut total = claim_simulation::Report::default();
        for report in &reports {
            total.add(report);
        }
        println!("claims: {} seeds, {} events, 0 violations", self.seeds, total.events);
        println!("  calls {}, runs {}, callers lost {}", total.calls, total.runs, total.lost_calls);
        println!("  answered {}, repeated answers {}", total.answered, total.replayed);
        println!("  other request {}, key expired {}", total.mismatches, total.expired_keys);
        println!("  not run {}: {:?}", total.not_run.values().sum::<u64>(), total.not_run);
        println!("  in doubt {}: {:?}", total.in_doubt.values().sum::<u64>(), total.in_doubt);
        println!("  in doubt of a key that never ran {}", total.in_doubt_without_run);
        Ok(())
    }

    fn run_poison(&self) -> anyhow::Result<()> {
        let reports = self.run_seeds(|seed| poison_simulation::run(seed, self.events))?;
        let mut total = poison_simulation::Report::default();
        for report in &reports {
            total.add(report);
        }
        let max_lost = reports.iter().map(|report| report.lost_endpoints).max().unwrap_or(0);
        println!("poison: {} seeds, {} events, 0 violations", self.seeds, total.events);
        println!(
            "  sent {} times, endpoints lost {}, most {max_lost}",
            total.poison_submissions, total.lost_endpoints
        );
        println!(
            "  others answered {}, refused for a time {}",
            total.answered, total.wrongly_quarantined
        );
        Ok(())
    }

    fn run_nodes(&self) -> anyhow::Result<()> {
        let run = |seed| node_simulation::run(seed, node_simulation::Options::with_faults(seed));
        let reports = self.run_seeds(run)?;
        let mut total = node_simulation::Report::default();
        for report in &reports {
            total.add(report);
        }
        println!("nodes: {} seeds, {} events, 0 violations", self.seeds, total.events);
        println!("  faults {}, requests adopted {}", total.faults, total.adopted);
        println!(
            "  requests {}, accepted {}, answered in full {}, given up {}, longest {} ms",
            total.requested,
            total.accepted,
            total.answered,
            total.given_up,
            total.max_answer_time.as_millis()
        );
        println!(
            "  orders {}, answered {}, not run {}, in doubt {}",
            total.orders, total.orders_answered, total.orders_not_run, total.orders_in_doubt
        );
        println!(
            "  tokens generated {}, of complete answers {}",
            total.generated_tokens, total.answer_tokens
        );
        Ok(())
    }

    /// Runs every seed, distributed over the threads, and collects the reports.
    fn run_seeds<T: Send>(
        &self,
        run: impl Fn(u64) -> Result<T, Violation> + Sync,
    ) -> Result<Vec<T>, Violation> {
        let threads = self.threads.max(1);
        let run = &run;
        thread::scope(|scope| {
            let workers: Vec<_> = (0..threads)
                .map(|thread| {
                    let seeds =
                        (self.first + thread..self.first + self.seeds).step_by(threads as usize);
                    scope.spawn(move || seeds.map(run).collect::<Result<Vec<T>, Violation>>())
                })
                .collect();
            let mut reports = Vec::new();
            for worker in workers {
                reports.extend(worker.join().expect("a simulation thread panicked")?);
            }
            Ok(reports)
        })
    }
}
