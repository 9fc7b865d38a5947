//! Stand-ins and cases of the second review: starts gateways as separate processes, with a store,
//! replicas and clients in this one.

mod crowd;
mod deadly;
mod desk;
mod fleet;
mod http;
mod memory;
mod store;
mod unread;
mod writer;

use std::path::PathBuf;
use std::process::ExitCode;

use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    // Where `record.txt` is written, and a folder for settings and logs that the script removes.
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_owned()));
    let scratch = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_owned()));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(5).enable_all().build();
    let outcome = runtime.expect("a runtime").block_on(async {
        let run = async {
            match case.as_str() {
                "crowd" => crowd::run(&folder, &scratch, has_trouble).await,
                "deadly" => deadly::run(&folder, &scratch, has_trouble).await,
                "unread" => unread::run(&folder, &scratch, has_trouble).await,
                "memory" => memory::run(&folder, &scratch, has_trouble).await,
                _ => None,
            }
        };
        let mut terminate = signal(SignalKind::terminate()).expect("a signal handler");
        // The processes that a case started end when it is dropped.
        tokio::select! {
            outcome = run => outcome,
            _ = terminate.recv() => None,
        }
    });
    match outcome {
        Some(true) => ExitCode::SUCCESS,
        Some(false) => ExitCode::from(1),
        None => ExitCode::from(2),
    }
}
