//! Measurements of the decisions, without sockets and under a virtual clock.

mod soak;

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
}

fn main() -> anyhow::Result<()> {
    let bench: Bench = argh::from_env();
    match bench.command {
        Command::Soak(soak) => soak.run(),
    }
}
