//! `policies`: compares each decision with its baselines on the same traces.

use std::path::PathBuf;
use std::thread;

use argh::FromArgs;

use crate::baseline::Policy;
use crate::report::Report;
use crate::simulation::Setup;
use crate::workload::Deployment;
use crate::{choice_study, deadline_study, fairness_study, replay, stale_study, trace};

/// Compare endpoint choice, fairness and admission with their baselines.
#[derive(FromArgs)]
#[argh(subcommand, name = "policies")]
pub(crate) struct Policies {
    /// length of each trace, in seconds
    #[argh(option, default = "240")]
    seconds: u64,
    /// seeds, from 1
    #[argh(option, default = "5")]
    seeds: u64,
    /// folder to write the tables and plots to; without it they are only printed
    #[argh(option)]
    out: Option<PathBuf>,
    /// measure only this: choice, fairness, deadline, stale
    #[argh(option)]
    only: Option<String>,
}

/// Replays that run concurrently.
const THREADS: usize = 3;

/// Length and seeds of the traces.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Extent {
    pub(crate) seconds: u64,
    pub(crate) seeds: u64,
}

impl Extent {
    /// Calls `measure` for each seed, for [`THREADS`] seeds concurrently; results are in order of seeds.
    pub(crate) fn each<T: Send>(self, measure: impl Fn(u64) -> T + Sync) -> Vec<T> {
        let seeds: Vec<u64> = (1..=self.seeds).collect();
        let measure = &measure;
        let mut measured = Vec::new();
        for batch in seeds.chunks(THREADS) {
            thread::scope(|scope| {
                let threads = batch.iter().map(|seed| scope.spawn(move || measure(*seed)));
                let threads: Vec<_> = threads.collect();
                let results = threads.into_iter().map(|thread| thread.join());
                measured.extend(results.map(|result| result.expect("a replay thread panicked")));
            });
        }
        measured
    }
}

impl Policies {
    pub(crate) fn run(self) -> anyhow::Result<()> {
        let extent = Extent { seconds: self.seconds, seeds: self.seeds };
        let mut report = Report::new(extent);
        let is_wanted = |name: &str| self.only.as_deref().is_none_or(|only| only == name);
        if is_wanted("choice") {
            choice_study::measure(extent, &mut report);
        }
        if is_wanted("fairness") {
            fairness_study::measure(extent, &mut report);
        }
        if is_wanted("deadline") {
            deadline_study::measure(extent, &mut report);
        }
        if is_wanted("stale") {
            stale_study::measure(extent, &mut report);
        }
        println!("{}", report.markdown());
        if let Some(out) = &self.out {
            report.write(out)?;
        }
        Ok(())
    }
}

/// Replay a recorded trace and print the outcomes of its requests.
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
pub(crate) struct Replay {
    /// deployment: gourd or shucking
    #[argh(positional)]
    deployment: Deployment,
    /// trace, as JSON lines
    #[argh(positional)]
    file: PathBuf,
}

impl Replay {
    pub(crate) fn run(self) -> anyhow::Result<()> {
        let trace = trace::read(&self.file)?;
        let outcomes = replay::replay(&Setup::new(self.deployment, Policy::Own, 1), &trace);
        println!("requests {}", outcomes.requests.len());
        println!("in time {}", outcomes.in_time());
        println!("refused {}", outcomes.refused());
        println!("recomputed tokens {}", outcomes.recomputed_tokens());
        println!("first token p95 {:.0} ms", outcomes.first_token_p95_ms());
        Ok(())
    }
}
