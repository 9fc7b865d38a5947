//! Measures rhubarbrock with stale information about endpoints at the nodes.

use std::time::Duration;

use crate::baseline::Policy;
use crate::outcome::Outcomes;
use crate::policies::Extent;
use crate::replay;
use crate::report::{Figure, Report};
use crate::simulation::{Outage, Setup, Staleness};
use crate::workload::{Deployment, TraceConfig};

const HEAD: [&str; 6] = [
    "deployment",
    "view",
    "recomputed tokens",
    "first token p95, ms",
    "in time, %",
    "without an answer",
];

pub(crate) fn measure(extent: Extent, report: &mut Report) {
    let mut rows = Vec::new();
    for deployment in [Deployment::Gourd, Deployment::Shucking] {
        for (name, staleness) in views(extent) {
            let runs = extent.each(|seed| {
                let setup = Setup::new(deployment, Policy::Own, seed);
                let setup = Setup { staleness: staleness.clone(), ..setup };
                replay::replay(&setup, &TraceConfig::new(deployment, extent.seconds).generate(seed))
            });
            rows.push(row(deployment, name, &runs));
        }
    }
    let text = "Ordinary load. In the outage the platform's list is down for half of the trace, and two \
                endpoints go away without notice in it; nodes have only their own failures to go by. \
                \"Without an answer\" counts requests neither answered nor refused.";
    report.table("Stale views", text, &HEAD, &rows);
}

fn views(extent: Extent) -> Vec<(&'static str, Staleness)> {
    let usual = Staleness::default();
    let seconds = Duration::from_secs;
    let outage = Outage {
        from: seconds(extent.seconds / 4),
        crash_at: seconds(extent.seconds / 3),
        to: seconds(extent.seconds * 3 / 4),
        crashes: 2,
    };
    let slow = |lag: Duration| Staleness { load_interval: lag, load_lag: lag, ..usual.clone() };
    vec![
        ("usual", usual.clone()),
        ("loads 2 s old", slow(seconds(2))),
        ("loads 10 s old", slow(seconds(10))),
        (
            "cache events 5 s late, half lost",
            Staleness { cache_lag: Some(seconds(5)), cache_gap_percent: 50, ..usual.clone() },
        ),
        ("no cache events", Staleness { cache_lag: None, ..usual.clone() }),
        ("list down, two endpoints gone", Staleness { outage: Some(outage), ..usual.clone() }),
        ("all of these", Staleness { cache_lag: None, outage: Some(outage), ..slow(seconds(10)) }),
    ]
}

fn row(deployment: Deployment, view: &str, runs: &[Outcomes]) -> Vec<String> {
    let figure = |value: &dyn Fn(&Outcomes) -> f64| Figure::lower_is_better(runs.iter().map(value));
    let in_time = |run: &Outcomes| run.in_time() as f64 * 100.0 / run.requests.len() as f64;
    vec![
        deployment.name().to_owned(),
        view.to_owned(),
        figure(&|run| run.recomputed_tokens() as f64).show(0),
        figure(&Outcomes::first_token_p95_ms).show(0),
        Figure::higher_is_better(runs.iter().map(in_time)).show(2),
        figure(&|run| run.unanswered() as f64).show(0),
    ]
}
