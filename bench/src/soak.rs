//! `soak`: the randomised worlds of crate `proofs`, for long.

use std::thread;

use anyhow::bail;
use argh::FromArgs;
use proofs::Violation;
use proofs::claim_world::{self, Options};
use proofs::{node_world, poison_world};

/// Runs the randomised worlds over many seeds and stops at the first broken invariant.
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
pub(crate) struct Soak {
    /// number of seeds
    #[argh(option, default = "1000")]
    seeds: u64,
    /// events a seed
    #[argh(option, default = "10000")]
    events: u64,
    /// first seed
    #[argh(option, default = "0")]
    first: u64,
    /// threads
    #[argh(option, default = "2")]
    threads: u64,
    /// how often things fail in the world of claims: 100 for a storm
    #[argh(option, default = "100")]
    fault_percent: u32,
    /// world: claims, poison or nodes; all if not said
    #[argh(option)]
    world: Option<String>,
}

impl Soak {
    /// Runs the soak and prints its counts.
    pub(crate) fn run(&self) -> anyhow::Result<()> {
        match self.world.as_deref() {
            Some("claims") => self.claims(),
            Some("poison") => self.poison(),
            Some("nodes") => self.nodes(),
            None => {
                self.claims()?;
                self.poison()?;
                self.nodes()
            }
            Some(other) => bail!("--world: there is no world called {other}"),
        }
    }

    fn claims(&self) -> anyhow::Result<()> {
        let fault_percent = self.fault_percent.min(100);
        let reports = self.spread(|seed| {
            let options = Options { fault_percent, ..Options::stormy(seed) };
            claim_world::run(seed, self.events, options)
        })?;
        let mut total = claim_world::Report::default();
        for report in &reports {
            total.add(report);
        }
        println!("claims: {} seeds, {} events, 0 violations", self.seeds, total.events);
        println!("  calls {}, runs {}, callers lost {}", total.calls, total.runs, total.lost);
        println!("  answered {}, repeated answers {}", total.answered, total.repeated);
        println!("  other request {}, key expired {}", total.mismatch, total.expired);
        println!("  not run {}: {:?}", total.not_run.values().sum::<u64>(), total.not_run);
        println!("  in doubt {}: {:?}", total.in_doubt.values().sum::<u64>(), total.in_doubt);
        println!("  in doubt of a key that never ran {}", total.in_doubt_of_unrun);
        Ok(())
    }

    fn poison(&self) -> anyhow::Result<()> {
        let reports = self.spread(|seed| poison_world::run(seed, self.events))?;
        let mut total = poison_world::Report::default();
        for report in &reports {
            total.add(report);
        }
        let most = reports.iter().map(|report| report.lost).max().unwrap_or(0);
        println!("poison: {} seeds, {} events, 0 violations", self.seeds, total.events);
        println!("  sent {} times, endpoints lost {}, most {most}", total.sendings, total.lost);
        println!(
            "  others answered {}, refused for a time {}",
            total.answered, total.wrongly_quarantined
        );
        Ok(())
    }

    fn nodes(&self) -> anyhow::Result<()> {
        let run = |seed| node_world::run(seed, node_world::Options::stormy(seed));
        let reports = self.spread(run)?;
        let mut total = node_world::Report::default();
        for report in &reports {
            total.add(report);
        }
        println!("nodes: {} seeds, {} events, 0 violations", self.seeds, total.events);
        println!("  faults {}, requests adopted {}", total.faults, total.adopted);
        println!(
            "  requests {}, accepted {}, answered in full {}, given up {}, longest {} ms",
            total.asked,
            total.accepted,
            total.answered,
            total.given_up,
            total.longest.as_millis()
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

    /// Runs every seed, spread over the threads.
    fn spread<T: Send>(
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
                reports.extend(worker.join().expect("a world asserts what it breaks")?);
            }
            Ok(reports)
        })
    }
}
