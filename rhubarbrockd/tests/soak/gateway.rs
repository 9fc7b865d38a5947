//! One gateway as a process.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use platform_standins::config;
use tokio::time;

const POLL: Duration = Duration::from_millis(20);

/// Environment variable that names the settings file.
const SETTINGS_VARIABLE: &str = "RHUBARBROCK_NODE_FILE";

pub(crate) struct Gateway {
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    starts: u32,
}

impl Gateway {
    pub(crate) fn start(node: &config::Node, folder: &std::path::Path) -> Gateway {
        fs::create_dir_all(folder).unwrap();
        let settings = folder.join(format!("{}.settings", node.name));
        fs::write(&settings, config::settings(node)).unwrap();
        let log = folder.join(&node.name);
        Gateway {
            callers: SocketAddr::new(node.ip, node.port),
            readiness: SocketAddr::new(node.ip, node.port + 1),
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

    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by name, such as `STOP`.
    pub(crate) fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &command]).status();
        assert!(status.expect("sh is there").success(), "{command}");
    }

    /// How the process ended, if it did.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("a child can be asked")
    }

    /// Waits until the process has ended by itself.
    pub(crate) async fn wait_for_end(&mut self, limit: Duration) -> Option<ExitStatus> {
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Some(status) = self.ended() {
                return Some(status);
            }
            time::sleep(POLL).await;
        }
        None
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &PathBuf, log: &std::path::Path, start: u32) -> Child {
    let log = File::create(log.with_extension(format!("{start}.log"))).unwrap();
    Command::new(env!("CARGO_BIN_EXE_rhubarbrockd"))
        .arg("gateway")
        .env(SETTINGS_VARIABLE, settings)
        .stdout(Stdio::from(log))
        .spawn()
        .expect("rhubarbrockd starts")
}
