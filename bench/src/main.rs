//! Measures the decisions of rhubarbrock without sockets, on a virtual clock.

mod baseline;
mod capacity_plan;
mod choice_study;
mod custody;
mod deadline_study;
mod fairness_study;
mod fit;
mod fleet;
mod membership;
mod node_cost;
mod outcome;
mod plot;
mod policies;
mod process;
mod replay;
mod report;
mod simulation;
mod soak;
mod stale_study;
mod trace;
mod workload;

use argh::FromArgs;

/// Measures the decisions of rhubarbrock.
#[derive(FromArgs)]
struct Bench {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Soak(soak::Soak),
    Node(node_cost::NodeCost),
    Policies(policies::Policies),
    Trace(trace::Generate),
    Replay(policies::Replay),
    CapacityPlan(capacity_plan::CapacityPlan),
    Membership(membership::Membership),
}

fn main() -> anyhow::Result<()> {
    let bench: Bench = argh::from_env();
    match bench.command {
        Command::Soak(soak) => soak.run(),
        Command::Node(node) => node.run(),
        Command::Policies(policies) => policies.run(),
        Command::Trace(generate) => generate.run(),
        Command::Replay(replay) => replay.run(),
        Command::CapacityPlan(plan) => plan.run(),
        Command::Membership(membership) => membership.run(),
    }
}
