//! `rhubarbrock check`.

use argh::FromArgs;
use rhubarbrock::note::{self, Fault, ParsedNote};
use rhubarbrock::release;

use crate::exit::{self, Exit};
use crate::http::Client;
use crate::{log, settings, show};

/// check a release note and print one line for each fault, as FILE:LINE: field: message. Exit
/// codes: 0 no fault, 1 faults, 2 wrong command line, 4 platform not reached
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// release note in TOML
    #[argh(positional)]
    file: String,
    /// platform's base URL (RHUBARBROCK_PLATFORM); with it, the note is checked against the release
    /// in force as well
    #[argh(option)]
    platform: Option<String>,
}

impl Check {
    pub(crate) async fn run(self) -> Exit {
        let platform = match settings::platform_if_any(&self.platform) {
            Ok(platform) => platform,
            Err(message) => return exit::usage(message),
        };
        let parsed = match read(&self.file) {
            Ok(parsed) => parsed,
            Err(exit) => return exit,
        };
        let own = parsed.own_faults();
        let Some(platform) = platform else {
            let note = "not compared with the release in force";
            return report(&self.file, &own, note);
        };
        let mut log = release::ReleaseLog::new();
        if let Err(error) = log::read_to_end(&Client::new(), &platform, &mut log).await {
            report(&self.file, &own, "not compared with the release in force");
            return exit::unreachable(error);
        }
        let Some(base) = log.complete_release() else {
            report(&self.file, &own, "not compared with the release in force");
            return exit::unreachable(show::NO_BASE);
        };
        report(
            &self.file,
            &parsed.faults(base),
            &format!("as the next after version {}", base.version),
        )
    }
}

fn report(file: &str, faults: &[Fault], note: &str) -> Exit {
    if faults.is_empty() {
        println!("{file}: no fault, {note}");
        return Exit::Done;
    }
    print_faults(file, faults)
}

/// Reads a note; prints why where its file cannot be read.
pub(crate) fn read(file: &str) -> Result<ParsedNote, Exit> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| exit::usage(format!("{file}: cannot be read: {error}")))?;
    Ok(note::parse_lenient(&text))
}

/// Prints one line a fault.
pub(crate) fn print_faults(file: &str, faults: &[Fault]) -> Exit {
    for fault in faults {
        let line = fault.line.unwrap_or(1);
        eprintln!("{file}:{line}: {}: {}", fault.field, fault.message);
    }
    Exit::Faults
}
