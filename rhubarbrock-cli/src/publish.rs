//! `rhubarbrock publish`.

use std::time::{Duration, Instant};

use argh::FromArgs;
use rhubarbrock::note::ParsedNote;
use rhubarbrock::publisher::{Outcome, Publisher, Step};
use rhubarbrock::release;

use crate::exit::{self, Exit};
use crate::http::{Base, Client};
use crate::{check, log, settings};

/// Longest time of publishing.
const TIMEOUT: Duration = Duration::from_secs(30);

/// publish a release note and print its version once it is in force. Exit codes: 0 in force, 1
/// faults in the note, 2 wrong command line, 3 another note came in force first and this one never
/// will, 4 platform not reached or fate not known (the message says which)
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub(crate) struct Publish {
    /// release note in TOML
    #[argh(positional)]
    file: String,
    /// platform's base URL (RHUBARBROCK_PLATFORM)
    #[argh(option)]
    platform: Option<String>,
    /// your name, shown to others (RHUBARBROCK_AUTHOR, else USER)
    #[argh(option)]
    author: Option<String>,
    /// longest time of the command, in seconds (RHUBARBROCK_TIMEOUT_S); 30 by default
    #[argh(option)]
    timeout_s: Option<u64>,
}

impl Publish {
    pub(crate) async fn run(self) -> Exit {
        let parsed = match check::read(&self.file) {
            Ok(parsed) => parsed,
            Err(exit) => return exit,
        };
        let faults = parsed.own_faults();
        if !faults.is_empty() {
            return check::print_faults(&self.file, &faults);
        }
        let platform = settings::platform(&self.platform);
        let timeout = settings::timeout(self.timeout_s, TIMEOUT);
        let (platform, timeout) = match (platform, timeout) {
            (Ok(platform), Ok(timeout)) => (platform, timeout),
            (Err(message), _) | (_, Err(message)) => return exit::usage(message),
        };
        let author = settings::author(&self.author);
        let outcome = publish(parsed, author, &platform, timeout).await;
        report(&self.file, outcome)
    }
}

async fn publish(
    parsed: ParsedNote,
    author: String,
    platform: &Base,
    timeout: Duration,
) -> Outcome {
    let client = Client::new();
    let mut log = release::ReleaseLog::new();
    let mut publisher = Publisher::new(parsed, author, rand::random());
    let start = Instant::now();
    let mut tries = 0;
    let mut reads = 0;
    while start.elapsed() < timeout {
        let failure = match publisher.next(&log) {
            Step::Done(outcome) => return outcome,
            Step::Read => match log::read_to_end(&client, platform, &mut log).await {
                Ok(()) => {
                    publisher.read_to_end();
                    reads += 1;
                    None
                }
                Err(error) => Some(error),
            },
            Step::Append(record) => {
                let (append, failure) = log::append(&client, platform, &record).await;
                publisher.appended(append);
                reads = 0;
                failure
            }
        };
        if let Some(error) = &failure {
            eprintln!("{error}; trying again");
        }
        if failure.is_some() || reads > 1 {
            tries += 1;
            tokio::time::sleep(log::back_off(tries)).await;
        }
    }
    publisher.give_up(&log)
}

fn report(file: &str, outcome: Outcome) -> Exit {
    match outcome {
        Outcome::InForce { version } => {
            println!("{file}: in force as version {version}");
            Exit::Done
        }
        Outcome::Faults(faults) => check::print_faults(file, &faults),
        Outcome::Rejected(_) => {
            eprintln!("{file}: {outcome}");
            Exit::Faults
        }
        Outcome::AnotherWon { .. } => {
            eprintln!("{file}: {outcome}");
            Exit::AnotherWon
        }
        Outcome::NotPublished => exit::unreachable(format!("{file}: {outcome}")),
        Outcome::Unknown => {
            let advice = "ask `rhubarbrock show` before you publish again";
            exit::unreachable(format!("{file}: {outcome}; {advice}"))
        }
    }
}
