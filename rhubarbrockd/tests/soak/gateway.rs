//! A gateway process.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};

use platform_standins::config;

use crate::child::Child;

pub(crate) struct Gateway {
    pub(crate) caller_address: SocketAddr,
    pub(crate) readiness_address: SocketAddr,
    pub(crate) child: Child,
    settings_path: PathBuf,
    log_path: PathBuf,
    start_count: u32,
}

impl Gateway {
    pub(crate) fn start(node: &config::GatewaySettings, folder: &std::path::Path) -> Gateway {
        fs::create_dir_all(folder).unwrap();
        let settings_path = folder.join(format!("{}.settings", node.name));
        fs::write(&settings_path, config::settings(node)).unwrap();
        let log_path = folder.join(&node.name);
        Gateway {
            caller_address: SocketAddr::new(node.ip, node.first_port),
            readiness_address: SocketAddr::new(node.ip, node.first_port + 1),
            child: spawn(&settings_path, &log_path, 0),
            settings_path,
            log_path,
            start_count: 1,
        }
    }

    /// Starts the process again; the previous one must have exited.
    pub(crate) fn restart(&mut self) {
        self.child = spawn(&self.settings_path, &self.log_path, self.start_count);
        self.start_count += 1;
    }
}

fn spawn(settings_path: &PathBuf, log_path: &std::path::Path, start: u32) -> Child {
    let log_file = File::create(log_path.with_extension(format!("{start}.log"))).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_rhubarbrockd"))
        .arg("gateway")
        .env(config::SETTINGS_VARIABLE, settings_path)
        .stdout(Stdio::from(log_file))
        .spawn();
    Child(child.expect("rhubarbrockd starts"))
}
