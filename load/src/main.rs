//! `load`: measures streamed requests at an engine and through a node in one run.
//!
//! All requests go first straight to the engine and then through the node, with different prompts.
//! Only loopback addresses are accepted, and the number of requests is limited.

mod caller;
mod compare;

use argh::FromArgs;

/// Measures rhubarbrock as a caller sees it.
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
