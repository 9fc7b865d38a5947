//! Compares endpoint choice with the baseline policies.

use crate::baseline::Policy;
use crate::outcome::Outcomes;
use crate::plot::{self, Plot};
use crate::policies::Extent;
use crate::replay;
use crate::report::{self, Figure, Report};
use crate::simulation::Setup;
use crate::workload::{Deployment, TraceConfig};

/// Target: highest ratio of recomputed tokens to those of power of two.
const MAX_POWER_OF_TWO_RATIO: f64 = 0.5;

/// Target: highest ratio of recomputed tokens to those of the oracle.
const MAX_ORACLE_RATIO: f64 = 1.1;

const HEAD: [&str; 7] = [
    "deployment",
    "policy",
    "recomputed tokens",
    "per prompt token, %",
    "first token p50, ms",
    "first token p95, ms",
    "token interval p95, ms",
];

/// Outcomes of one policy, one entry per seed.
type Runs = Vec<Outcomes>;

pub(crate) fn measure(extent: Extent, report: &mut Report) {
    let mut rows = Vec::new();
    let mut verdicts = Vec::new();
    for deployment in [Deployment::Gourd, Deployment::Shucking] {
        let runs: Vec<Runs> = Policy::ALL.map(|policy| run(extent, deployment, policy)).into();
        for (policy, runs) in Policy::ALL.iter().zip(&runs) {
            rows.push(row(deployment, *policy, runs));
        }
        verdicts.extend(compare_with_targets(deployment, &runs));
        report.plot(plot_of(deployment, &runs));
    }
    let text = "Three nodes, each request at any of them; load reports 250 ms old and 250 ms apart, \
                cache events 1 s late with 5% lost. All policies abide by the same learnt concurrency \
                limits and queues; \"recomputed\" are prompt tokens computed at an endpoint though some \
                endpoint had computed them before.";
    report.table("Endpoint choice", text, &HEAD, &rows);
    let head = ["deployment", "target", "figure", "verdict"];
    report.table(
        "Endpoint choice: targets",
        "Worst of the seeds, each on one trace.",
        &head,
        &verdicts,
    );
}

fn run(extent: Extent, deployment: Deployment, policy: Policy) -> Runs {
    extent.each(|seed| {
        let trace = TraceConfig::new(deployment, extent.seconds).generate(seed);
        replay::replay(&Setup::new(deployment, policy, seed), &trace)
    })
}

fn row(deployment: Deployment, policy: Policy, runs: &Runs) -> Vec<String> {
    let figure = |value: &dyn Fn(&Outcomes) -> f64| Figure::lower_is_better(runs.iter().map(value));
    let share =
        |run: &Outcomes| run.recomputed_tokens() as f64 * 100.0 / run.prompt_tokens() as f64;
    vec![
        deployment.name().to_owned(),
        policy.name().to_owned(),
        figure(&|run| run.recomputed_tokens() as f64).show(0),
        figure(&share).show(2),
        figure(&Outcomes::first_token_p50_ms).show(0),
        figure(&Outcomes::first_token_p95_ms).show(0),
        figure(&Outcomes::interval_p95_ms).show(1),
    ]
}

/// Compares the runs of rhubarbrock with the targets, seed by seed.
fn compare_with_targets(deployment: Deployment, runs: &[Runs]) -> Vec<Vec<String>> {
    let of = |policy: Policy| {
        let index = Policy::ALL.iter().position(|other| *other == policy);
        &runs[index.expect("every policy is in Policy::ALL")]
    };
    let ratio = |policy: Policy, value: &dyn Fn(&Outcomes) -> f64| {
        let pairs = of(Policy::Own).iter().zip(of(policy));
        Figure::lower_is_better(pairs.map(|(own, other)| value(own) / value(other).max(1.0)))
    };
    let recomputed = |run: &Outcomes| run.recomputed_tokens() as f64;
    let targets = [
        (
            "recomputed / power of two's ≤ 0.5",
            ratio(Policy::PowerOfTwo, &recomputed),
            MAX_POWER_OF_TWO_RATIO,
        ),
        ("recomputed / oracle's ≤ 1.1", ratio(Policy::Oracle, &recomputed), MAX_ORACLE_RATIO),
        (
            "first token p95 / least loaded's ≤ 1",
            ratio(Policy::LeastLoaded, &Outcomes::first_token_p95_ms),
            1.0,
        ),
    ];
    let rows = targets.map(|(target, figure, bound)| {
        let verdict = report::verdict(figure.worst <= bound);
        vec![deployment.name().into(), target.into(), figure.show(2), verdict.into()]
    });
    rows.into()
}

fn plot_of(deployment: Deployment, runs: &[Runs]) -> Plot {
    let lines = Policy::ALL.iter().zip(runs);
    let lines =
        lines.map(|(policy, runs)| plot::first_token_line(policy.name(), &runs[0], |_| true));
    Plot {
        name: format!("choice-{}", deployment.name()),
        title: format!("Endpoint choice, {}, seed 1", deployment.name()),
        lines: lines.collect(),
    }
}
