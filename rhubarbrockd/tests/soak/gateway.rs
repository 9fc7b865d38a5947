//! One gateway as a process.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};

use platform_standins::config;

use crate::child::Child;

/// Environment variable that names the settings file.
const SETTINGS_VARIABLE: &str = "RHUBARBROCK_NODE_FILE";

pub(crate) struct Gateway {
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
    pub(crate) child: Child,
    settings: PathBuf,
    log: PathBuf,
    starts: u32,
}

impl Gateway {
    pub(crate) fn start(node: &config::GatewaySettings, folder: &std::path::Path) -> Gateway {
        fs::create_dir_all(folder).unwrap();
        let settings = folder.join(format!("{}.settings", node.name));
        fs::write(&settings, config::settings(node)).unwrap();
        let log = folder.join(&node.name);
        Gateway {
            callers: SocketAddr::new(node.ip, node.first_port),
            readiness: SocketAddr::new(node.ip, node.first_port + 1),
            child: spawn(&settings, &log, 0),
            settings,
            log,
            starts: 1,
        }
    }

    /// Starts the process again; the one before has ended.
    pub(crate) fn restart(&mut self) {
        self.child = spawn(&self.settings, &self.log, self.starts);
        self.starts += 1;
    }
}

fn spawn(settings: &PathBuf, log: &std::path::Path, start: u32) -> Child {
    let log = File::create(log.with_extension(format!("{start}.log"))).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_rhubarbrockd"))
        .arg("gateway")
        .env(SETTINGS_VARIABLE, settings)
        .stdout(Stdio::from(log))
        .spawn();
    Child(child.expect("rhubarbrockd starts"))
}
