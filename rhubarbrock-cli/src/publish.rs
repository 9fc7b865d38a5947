//! `rhubarbrock publish`: publishes a release note and waits until its outcome is known.

use std::time::Duration;

use argh::FromArgs;
use rhubarbrock::note::ParsedNote;
use rhubarbrock::publisher::{AppendOutcome, Outcome, Publisher, Step};
use rhubarbrock::release;
use tokio::time::Instant;

use crate::exit::{self, Exit};
use crate::http::{BaseUrl, Client};
use crate::{check, log, settings, show};

/// Default timeout of the command.
const TIMEOUT: Duration = Duration::from_secs(30);

/// publish a release note and print its version once it is in force. Exit codes: 0 in force, 1
/// faults in the note, 2 wrong command line, 3 another note came into force first and this one
/// never will, 4 platform not reached or outcome not known (the message says which)
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub(crate) struct Publish {
    /// release note in TOML
    #[argh(positional)]
    file: String,
    /// platform's base URL (RHUBARBROCK_PLATFORM)
    #[argh(option)]
    platform: Option<String>,
    /// author's name, stored with the note (RHUBARBROCK_AUTHOR, else USER)
    #[argh(option)]
    author: Option<String>,
    /// timeout of the command, in seconds (RHUBARBROCK_TIMEOUT_S); 30 by default
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
    platform: &BaseUrl,
    timeout: Duration,
) -> Outcome {
    let client = Client::new();
    let mut log = release::ReleaseLog::new();
    let mut publisher = Publisher::new(parsed, author, rand::random());
    let deadline = Instant::now() + timeout;
    let mut tries = 0;
    let mut consecutive_reads = 0;
    loop {
        let failure = match publisher.next(&log) {
            Step::Done(outcome) => return outcome,
            Step::Read => {
                let read = log::read_to_end(&client, platform, &mut log);
                let Ok(read) = tokio::time::timeout_at(deadline, read).await else { break };
                if read.is_ok() {
                    publisher.on_read_to_end();
                }
                consecutive_reads += 1;
                read.err()
            }
            Step::Append(record) => {
                let append = log::append(&client, platform, &record);
                let Ok((append, failure)) = tokio::time::timeout_at(deadline, append).await else {
                    publisher.on_append(AppendOutcome::Unknown);
                    break;
                };
                publisher.on_append(append);
                consecutive_reads = 0;
                failure
            }
        };
        if let Some(error) = &failure {
            eprintln!("{error}; retrying");
        }
        if failure.is_some() || consecutive_reads > 1 {
            tries += 1;
            tokio::time::sleep_until(deadline.min(Instant::now() + log::backoff_delay(tries)))
                .await;
        }
    }
    if log.next_offset() > 1 && log.complete_release().is_none() {
        eprintln!("{}", show::NO_SNAPSHOT);
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
        Outcome::Conflict { .. } => {
            eprintln!("{file}: {outcome}");
            Exit::Conflict
        }
        Outcome::NotPublished => exit::unreachable(format!("{file}: {outcome}")),
        Outcome::Unknown => {
            let advice = "run `rhubarbrock show` before publishing again";
            exit::unreachable(format!("{file}: {outcome}; {advice}"))
        }
    }
}
