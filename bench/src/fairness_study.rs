//! Compares fair queueing between organisations with first come, first served.

use crate::baseline::Policy;
use crate::outcome::{self, Outcome, Outcomes};
use crate::plot::{self, Plot};
use crate::policies::Extent;
use crate::replay;
use crate::report::{self, Figure, Report};
use crate::simulation::Setup;
use crate::workload::{Deployment, ORGANISATIONS, TraceConfig};

/// Target: highest ratio of the small organisations' 95th percentile of the time to first token
/// beside a large organisation to that at equal load.
const MAX_SLOWDOWN: f64 = 1.2;

/// Target: largest relative difference of an organisation's token share from an equal share.
const MAX_SHARE_ERROR: f64 = 0.1;

/// Offered load of each organisation: equal shares of the ordinary load.
const EQUAL_LOAD: [f64; ORGANISATIONS] = [0.2; ORGANISATIONS];

/// Offered load of each organisation: the first at ten times its equal share.
const FIRST_AT_TENFOLD: [f64; ORGANISATIONS] = [2.0, 0.2, 0.2, 0.2, 0.2];

/// Offered load of each organisation: all above an equal share of the endpoints' capacity.
const SATURATING_LOAD: [f64; ORGANISATIONS] = [2.4, 1.8, 1.2, 1.0, 0.9];

/// Time excluded from the token shares at the start and at the end of a run, in seconds.
const EXCLUDED_EDGE_S: u64 = 60;

pub(crate) fn measure(extent: Extent, report: &mut Report) {
    let mut rows = Vec::new();
    for deployment in [Deployment::Gourd, Deployment::Shucking] {
        for is_fair in [true, false] {
            rows.extend(slowdown(extent, deployment, is_fair, report));
        }
    }
    let text = "The first organisation offers ten times its fifth of the ordinary load; the other four \
                offer their fifth. \"Moved\" is the small ones' 95th percentile of the time to first \
                token, as a multiple of that of the run where all five offer their fifth.";
    let head = ["deployment", "queue", "alone, ms", "beside it, ms", "moved", "target ≤ 1.2"];
    report.table("Fairness: a large organisation beside small ones", text, &head, &rows);

    let mut rows = Vec::new();
    for deployment in [Deployment::Gourd, Deployment::Shucking] {
        for (entry, pinned) in ENTRIES {
            for is_fair in [true, false] {
                rows.push(shares(extent, deployment, entry, pinned, is_fair));
            }
        }
    }
    let text = "All five organisations offer more than their share (2.4, 1.8, 1.2, 1.0 and 0.9 times the \
                ordinary load). The error is the largest difference of an organisation's share of \
                weighted tokens (prompt + 2 x answer) from a fifth, as a part of a fifth; the first and \
                last 60 s are left out.";
    let head = ["deployment", "entry", "queue", "share error", "target ≤ 0.1"];
    report.table("Fairness: token shares under saturation", text, &head, &rows);
}

/// Maps an organisation to the node that receives its requests; `None` for any node.
type Pinned = Option<fn(usize) -> usize>;

const ENTRIES: [(&str, Pinned); 2] =
    [("any node", None), ("large ones at one node, small ones at the others", Some(node_by_size))];

fn node_by_size(organisation: usize) -> usize {
    if organisation < 2 { 0 } else { 1 + organisation % 2 }
}

fn queue_name(is_fair: bool) -> &'static str {
    if is_fair { "rhubarbrock" } else { "first come, first served" }
}

fn run(extent: Extent, setup: &Setup, offered: [f64; ORGANISATIONS]) -> Outcomes {
    let plan =
        TraceConfig::new(setup.deployment, extent.seconds).offered(offered).without_deadlines();
    replay::replay(setup, &plan.generate(setup.seed))
}

fn setup(deployment: Deployment, is_fair: bool, pinned: Pinned, seed: u64) -> Setup {
    Setup { is_fair, pinned, ..Setup::new(deployment, Policy::Own, seed) }
}

fn is_small(request: &Outcome) -> bool {
    request.organisation != 0
}

fn slowdown(
    extent: Extent,
    deployment: Deployment,
    is_fair: bool,
    report: &mut Report,
) -> Option<Vec<String>> {
    let p95 = |run: &Outcomes| outcome::quantile_ms(run.first_tokens(is_small), 0.95);
    let runs = extent.each(|seed| {
        let setup = setup(deployment, is_fair, None, seed);
        (run(extent, &setup, EQUAL_LOAD), run(extent, &setup, FIRST_AT_TENFOLD))
    });
    let alone = Figure::lower_is_better(runs.iter().map(|(alone, _)| p95(alone)));
    let beside = Figure::lower_is_better(runs.iter().map(|(_, beside)| p95(beside)));
    let slowdown = Figure::lower_is_better(runs.iter().map(|(a, b)| p95(b) / p95(a).max(0.001)));
    if is_fair {
        let lines = vec![
            plot::first_token_line("small, alone", &runs[0].0, is_small),
            plot::first_token_line("small, beside ten times", &runs[0].1, is_small),
        ];
        let name = format!("fairness-{}", deployment.name());
        let title = format!("Small organisations, {}, seed 1", deployment.name());
        report.plot(Plot { name, title, lines });
    }
    Some(vec![
        deployment.name().into(),
        queue_name(is_fair).into(),
        alone.show(0),
        beside.show(0),
        slowdown.show(2),
        report::verdict(slowdown.worst <= MAX_SLOWDOWN).into(),
    ])
}

fn shares(
    extent: Extent,
    deployment: Deployment,
    entry: &str,
    pinned: Pinned,
    is_fair: bool,
) -> Vec<String> {
    let errors = extent.each(|seed| {
        let setup = setup(deployment, is_fair, pinned, seed);
        share_error(extent, &run(extent, &setup, SATURATING_LOAD))
    });
    let error = Figure::lower_is_better(errors);
    vec![
        deployment.name().into(),
        entry.into(),
        queue_name(is_fair).into(),
        error.show(3),
        report::verdict(error.worst <= MAX_SHARE_ERROR).into(),
    ]
}

/// Largest relative difference of an organisation's token share from an equal share.
fn share_error(extent: Extent, outcomes: &Outcomes) -> f64 {
    let window = EXCLUDED_EDGE_S as f64..(extent.seconds - EXCLUDED_EDGE_S) as f64;
    let mut served = [0.0; ORGANISATIONS];
    for request in &outcomes.requests {
        let Some(done_at) = request.done_at.filter(|at| window.contains(&at.as_secs_f64())) else {
            continue;
        };
        assert!(done_at >= request.arrived_at, "an answer comes after its request");
        let tokens = request.prompt_tokens + 2 * request.answer_tokens;
        served[request.organisation] += f64::from(tokens);
    }
    let equal = served.iter().sum::<f64>() / ORGANISATIONS as f64;
    served.iter().map(|tokens| (tokens / equal - 1.0).abs()).fold(0.0, f64::max)
}
