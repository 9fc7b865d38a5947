//! Fairness between organisations against first come, first served.

use crate::baseline::Policy;
use crate::outcome::{self, Outcome, Outcomes};
use crate::plot::{self, Plot};
use crate::policies::Extent;
use crate::replay;
use crate::report::{self, Figure, Report};
use crate::simulation::Setup;
use crate::workload::{Deployment, ORGANISATIONS, Plan};

/// Most by which the small organisations' 95th percentile may move.
const MAX_MOVE: f64 = 1.2;

/// Most by which a token share may differ from an equal one.
const MAX_SHARE_ERROR: f64 = 0.1;

/// Load of each organisation where all have an equal share of the ordinary load.
const EQUAL: [f64; ORGANISATIONS] = [0.2; ORGANISATIONS];

/// The same with the first organisation at ten times its share.
const ONE_AT_TEN: [f64; ORGANISATIONS] = [2.0, 0.2, 0.2, 0.2, 0.2];

/// All above their share of what the endpoints can do.
const SATURATED: [f64; ORGANISATIONS] = [2.4, 1.8, 1.2, 1.0, 0.9];

/// From when to when shares are counted, in seconds after the start and before the end.
const EDGE_S: u64 = 60;

pub(crate) fn measure(extent: Extent, report: &mut Report) {
    let mut rows = Vec::new();
    for deployment in [Deployment::Gourd, Deployment::Shucking] {
        for is_fair in [true, false] {
            rows.extend(moved(extent, deployment, is_fair, report));
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

/// Node that an organisation's requests come through.
type Pinned = Option<fn(usize) -> usize>;

const ENTRIES: [(&str, Pinned); 2] =
    [("any node", None), ("large ones at one node, small ones at the others", Some(split))];

fn split(organisation: usize) -> usize {
    if organisation < 2 { 0 } else { 1 + organisation % 2 }
}

fn queue_name(is_fair: bool) -> &'static str {
    if is_fair { "rhubarbrock" } else { "first come, first served" }
}

fn run(extent: Extent, setup: &Setup, offered: [f64; ORGANISATIONS]) -> Outcomes {
    let plan = Plan::new(setup.deployment, extent.seconds).offered(offered).without_deadlines();
    replay::replay(setup, &plan.generate(setup.seed))
}

fn setup(deployment: Deployment, is_fair: bool, pinned: Pinned, seed: u64) -> Setup {
    Setup { is_fair, pinned, ..Setup::new(deployment, Policy::Own, seed) }
}

fn is_small(request: &Outcome) -> bool {
    request.organisation != 0
}

fn moved(
    extent: Extent,
    deployment: Deployment,
    is_fair: bool,
    report: &mut Report,
) -> Option<Vec<String>> {
    let p95 = |run: &Outcomes| outcome::quantile_ms(run.first_tokens(is_small), 0.95);
    let runs = extent.each(|seed| {
        let setup = setup(deployment, is_fair, None, seed);
        (run(extent, &setup, EQUAL), run(extent, &setup, ONE_AT_TEN))
    });
    let alone = Figure::lower_is_better(runs.iter().map(|(alone, _)| p95(alone)));
    let beside = Figure::lower_is_better(runs.iter().map(|(_, beside)| p95(beside)));
    let moved = Figure::lower_is_better(runs.iter().map(|(a, b)| p95(b) / p95(a).max(0.001)));
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
        moved.show(2),
        report::verdict(moved.worst <= MAX_MOVE).into(),
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
        share_error(extent, &run(extent, &setup, SATURATED))
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

/// Largest difference from an equal share, as a part of it.
fn share_error(extent: Extent, outcomes: &Outcomes) -> f64 {
    let window = EDGE_S as f64..(extent.seconds - EDGE_S) as f64;
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
