//! `rhubarbrock show`: prints the release in force.

use argh::FromArgs;
use rhubarbrock::release;
use rhubarbrock_schema::release as schema;

use crate::exit::{self, Exit};
use crate::http::Client;
use crate::{log, settings};

/// Error where the log no longer has all notes that make up the release, nor a snapshot of it.
pub(crate) const NO_SNAPSHOT: &str =
    "the log has no snapshot of the release in force; a live node writes one within a minute";

/// show the release in force, read from the platform's log. Exit codes: 0 shown, 2 wrong command
/// line, 4 platform not reached or nothing to show
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct Show {
    /// platform's base URL (RHUBARBROCK_PLATFORM)
    #[argh(option)]
    platform: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Show {
    pub(crate) async fn run(self) -> Exit {
        let platform = match settings::platform(&self.platform) {
            Ok(platform) => platform,
            Err(message) => return exit::usage(message),
        };
        let mut log = release::ReleaseLog::new();
        if let Err(error) = log::read_to_end(&Client::new(), &platform, &mut log).await {
            return exit::unreachable(error);
        }
        match log.complete_release() {
            None => exit::unreachable(NO_SNAPSHOT),
            Some(base) if base.version == 0 => exit::unreachable("no release note is in force yet"),
            Some(base) if self.json => {
                let text =
                    serde_json::to_string_pretty(base).expect("releases always serialize to JSON");
                println!("{text}");
                Exit::Done
            }
            Some(base) => {
                print_release(base);
                Exit::Done
            }
        }
    }
}

fn print_release(release: &schema::Release) {
    println!("version {}: {}", release.version, release.title);
    if let Some(policy) = &release.policy {
        let objective = policy.objective().as_str_name().trim_start_matches("OBJECTIVE_");
        println!("objective {}", objective.to_lowercase());
    }
    println!("organisations");
    for organisation in &release.organisations {
        println!("  {} ({} keys)", organisation.name, organisation.key_sha256s.len());
    }
    println!("services");
    for service in &release.services {
        let kind = service.kind().as_str_name().trim_start_matches("SERVICE_KIND_").to_lowercase();
        let replicas = format!("{} to {} replicas", service.min_replicas, service.max_replicas);
        println!("  {} ({kind} {}), {replicas}", service.name, service.model);
    }
}
