//! `rhubarbrock`, the command-line tool for operators.

mod check;
mod exit;
mod explain;
mod http;
mod log;
mod publish;
mod settings;
mod show;
mod status;
mod timeline;
mod trace;

use argh::FromArgs;

use crate::exit::Exit;

/// Command-line tool for operators of rhubarbrock: checks and publishes release notes, and shows
/// the state of the system. A flag overrides its environment variable.
#[derive(FromArgs)]
struct Arguments {
    /// print the version
    #[argh(switch)]
    version: bool,
    #[argh(subcommand)]
    command: Option<Command>,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(check::Check),
    Explain(explain::Explain),
    Publish(publish::Publish),
    Show(show::Show),
    Status(status::Status),
    Timeline(timeline::Timeline),
}

fn main() -> std::process::ExitCode {
    let exit = match parse() {
        Ok(Some(command)) => run(command),
        Ok(None) => Exit::Done,
        Err(exit) => exit,
    };
    exit.into()
}

fn parse() -> Result<Option<Command>, Exit> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match Arguments::from_args(&["rhubarbrock"], &arguments) {
        Ok(Arguments { version: true, .. }) => {
            println!("rhubarbrock {}", env!("CARGO_PKG_VERSION"));
            Ok(None)
        }
        Ok(Arguments { command: Some(command), .. }) => Ok(Some(command)),
        Ok(_) => Err(exit::usage("no command given; see rhubarbrock --help")),
        Err(early) if early.status.is_ok() => {
            println!("{}", early.output);
            Ok(None)
        }
        Err(early) => Err(exit::usage(early.output.trim())),
    }
}

fn run(command: Command) -> Exit {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return exit::unreachable(format!("cannot start the async runtime: {error}")),
    };
    runtime.block_on(async {
        match command {
            Command::Check(command) => command.run().await,
            Command::Explain(command) => command.run(),
            Command::Publish(command) => command.run().await,
            Command::Show(command) => command.run().await,
            Command::Status(command) => command.run().await,
            Command::Timeline(command) => command.run().await,
        }
    })
}
