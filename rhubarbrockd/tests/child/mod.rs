//! A child process of a test; it is killed when dropped.

#![allow(dead_code)]

use std::fs;
use std::path::PathBuf;
use std::process::{self, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use platform_standins::config;

/// Interval between checks whether a process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

pub(crate) struct Child(pub(crate) process::Child);

impl Child {
    /// Starts a gateway with this text as its settings file, which is called after `name`.
    pub(crate) fn start_gateway(name: &str, settings: &str, stdout: Stdio) -> Child {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let settings_path = folder.join(format!("{name}.settings"));
        fs::write(&settings_path, settings).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_rhubarbrockd"))
            .arg("gateway")
            .env(config::SETTINGS_VARIABLE, &settings_path)
            .stdout(stdout)
            .spawn();
        Child(child.expect("rhubarbrockd starts"))
    }

    /// Memory of the process, in MB, by the name of a line in its status, such as `VmHWM:`.
    pub(crate) fn memory_mb(&self, name: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.0.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
        let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().unwrap();
        kilobytes / 1024
    }

    /// Sends SIGKILL and waits until the process has exited.
    pub(crate) fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    /// Sends a signal by its name without `SIG`, such as `STOP`.
    pub(crate) fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.0.id());
        let status = Command::new("sh").args(["-c", &command]).status();
        assert!(status.expect("sh can be started").success(), "{command}");
    }

    /// Exit status; none while the process runs.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.0.try_wait().expect("the status of a child can be read")
    }

    /// Waits for the process to exit; none if it still runs after `limit`.
    pub(crate) async fn wait_for_exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Some(status) = self.exit_status() {
                return Some(status);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        None
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        self.kill();
    }
}
