//! Compares admission by deadline with accepting all requests.

use crate::baseline::Policy;
use crate::outcome::Outcomes;
use crate::plot::{self, Plot};
use crate::policies::Extent;
use crate::replay;
use crate::report::{self, Figure, Report};
use crate::simulation::Setup;
use crate::trace::Kind;
use crate::workload::{Deployment, TraceConfig};

/// Highest load that the endpoints can serve, as a multiple of the ordinary load.
const SATURATING_LOAD: f64 = 3.2;

/// Target: lowest ratio of requests in time at twice the saturating load to those at that load.
const MIN_THROUGHPUT_RATIO: f64 = 0.9;

pub(crate) fn measure(extent: Extent, report: &mut Report) {
    let mut rows = Vec::new();
    let mut lines = Vec::new();
    for enforces_deadlines in [true, false] {
        let name = if enforces_deadlines { "rhubarbrock" } else { "accept all" };
        let runs = extent.each(|seed| {
            (run(extent, enforces_deadlines, 1.0, seed), run(extent, enforces_deadlines, 2.0, seed))
        });
        let throughput_ratio = |(saturated, overloaded): &(Outcomes, Outcomes)| {
            overloaded.in_time() as f64 / saturated.in_time() as f64
        };
        let throughput_ratio = Figure::higher_is_better(runs.iter().map(throughput_ratio));
        let per_s = |run: &Outcomes| run.in_time() as f64 / extent.seconds as f64;
        let late = |run: &Outcomes| run.served_late() as f64 * 100.0 / run.requests.len() as f64;
        rows.push(vec![
            name.into(),
            Figure::higher_is_better(runs.iter().map(|(saturated, _)| per_s(saturated))).show(1),
            Figure::higher_is_better(runs.iter().map(|(_, overloaded)| per_s(overloaded))).show(1),
            throughput_ratio.show(2),
            Figure::lower_is_better(runs.iter().map(|(_, overloaded)| late(overloaded))).show(2),
            Figure::lower_is_better(runs.iter().map(|(_, overloaded)| refused_percent(overloaded)))
                .show(1),
            report::verdict(throughput_ratio.worst >= MIN_THROUGHPUT_RATIO).into(),
        ]);
        let is_live = |request: &crate::outcome::Outcome| request.kind == Kind::Commentary;
        lines.push(plot::first_token_line(&format!("{name}, 2x"), &runs[0].1, is_live));
    }
    let text = format!(
        "The shucking circuit, all commentary with a deadline of 570 ms to the first token and summaries \
         with 5 s; 1x is {SATURATING_LOAD} times the ordinary load, 2x twice that. \"In time\" are requests whose \
         first token came within their own deadline."
    );
    let head = [
        "admission",
        "in time at 1x, 1/s",
        "in time at 2x, 1/s",
        "kept",
        "served late at 2x, %",
        "refused at 2x, %",
        "target kept ≥ 0.9",
    ];
    report.table("Deadlines under overload", &text, &head, &rows);
    let title = "Commentary at twice the load, seed 1".to_owned();
    report.plot(Plot { name: "deadline-shucking".into(), title, lines });
}

fn run(extent: Extent, enforces_deadlines: bool, load: f64, seed: u64) -> Outcomes {
    let setup = Setup { enforces_deadlines, ..Setup::new(Deployment::Shucking, Policy::Own, seed) };
    let plan = TraceConfig::new(Deployment::Shucking, extent.seconds).load(SATURATING_LOAD * load);
    replay::replay(&setup, &plan.generate(seed))
}

fn refused_percent(run: &Outcomes) -> f64 {
    run.refused() as f64 * 100.0 / run.requests.len() as f64
}
