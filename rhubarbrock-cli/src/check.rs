//! `rhubarbrock check`: checks a release note without publishing it.

use argh::FromArgs;
use rhubarbrock::note::{self, Fault, ParsedNote};
use rhubarbrock::release;

use crate::exit::{self, Exit};
use crate::http::Client;
use crate::{log, settings, show};

/// check a release note and print one line for each fault, as FILE:LINE: field: message. Exit
/// codes: 0 no faults, 1 faults, 2 wrong command line, 4 platform not reached
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// release note in TOML
    #[argh(positional)]
    file: String,
    /// platform's base URL (RHUBARBROCK_PLATFORM); if given, the note is also checked against the
    /// release in force
    #[argh(option)]
    platform: Option<String>,
}

impl Check {
    pub(crate) async fn run(self) -> Exit {
        let platform = match settings::optional_platform(&self.platform) {
            Ok(platform) => platform,
            Err(message) => return exit::usage(message),
        };
        let parsed = match read(&self.file) {
            Ok(parsed) => parsed,
            Err(exit) => return exit,
        };
        let own_faults = parsed.own_faults();
        let Some(platform) = platform else {
            let scope = "not checked against the release in force";
            return report(&self.file, &own_faults, scope);
        };
        let mut log = release::ReleaseLog::new();
        if let Err(error) = log::read_to_end(&Client::new(), &platform, &mut log).await {
            report(&self.file, &own_faults, "not checked against the release in force");
            return exit::unreachable(error);
        }
        let Some(base) = log.complete_release() else {
            report(&self.file, &own_faults, "not checked against the release in force");
            return exit::unreachable(show::NO_SNAPSHOT);
        };
        report(
            &self.file,
            &parsed.faults(base),
            &format!("checked against release version {}", base.version),
        )
    }
}

/// Prints the faults, or that there are none; `scope` says what the note was checked against.
fn report(file: &str, faults: &[Fault], scope: &str) -> Exit {
    if faults.is_empty() {
        println!("{file}: no faults, {scope}");
        return Exit::Done;
    }
    print_faults(file, faults)
}

/// Reads and parses a note; prints an error if its file cannot be read.
pub(crate) fn read(file: &str) -> Result<ParsedNote, Exit> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| exit::usage(format!("{file}: cannot be read: {error}")))?;
    Ok(note::parse_lenient(&text))
}

/// Prints one line for each fault; line 1 stands for faults without a position.
pub(crate) fn print_faults(file: &str, faults: &[Fault]) -> Exit {
    for fault in faults {
        let line = fault.line.unwrap_or(1);
        eprintln!("{file}:{line}: {}: {}", fault.field, fault.message);
    }
    Exit::Faults
}
