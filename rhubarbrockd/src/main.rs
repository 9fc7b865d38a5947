//! Command line of the daemon: `rhubarbrockd` runs a node, `rhubarbrockd gateway` a gateway.

use std::process::ExitCode;

use rhubarbrockd::{daemon, logger, settings};

/// Exit code for invalid settings.
const EXIT_USAGE: u8 = 2;

/// Exit code if the node or gateway cannot start or fails.
const EXIT_FAILURE: u8 = 1;

/// First argument that starts a gateway instead of a node.
const GATEWAY_COMMAND: &str = "gateway";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|argument| argument == GATEWAY_COMMAND) {
        return exit_code(gateway::run::run());
    }
    let settings = match settings::load(&arguments, std::env::vars()) {
        Ok(settings::Request::Run(settings)) => *settings,
        Ok(settings::Request::Print(text)) => {
            println!("{}", text.trim_end());
            return ExitCode::SUCCESS;
        }
        Err(faults) => {
            for fault in faults.0 {
                eprintln!("rhubarbrockd: {fault}");
            }
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let logger = logger::new(settings.log, &settings.name);
    exit_code(daemon::run(settings, logger))
}

fn exit_code(outcome: anyhow::Result<()>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rhubarbrockd: {error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
