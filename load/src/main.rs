//! `load`: times streamed requests at a node and at an engine in one run.
//!
//! Each worker sends the same prompts in turn through the node and straight to
//! the engine, so both see the same machine at the same time. Load stays on
//! loopback addresses and ends by itself.

mod caller;
mod compare;

use argh::FromArgs;

/// Measures rhubarbrock from a caller's side.
#[derive(FromArgs)]
struct Load {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Compare(compare::Compare),
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let load: Load = argh::from_env();
    match load.command {
        Command::Compare(compare) => compare.run().await,
    }
}
