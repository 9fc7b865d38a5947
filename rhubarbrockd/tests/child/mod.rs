//! A process that a test started; it is killed when dropped.

#![allow(dead_code)]

use std::process::{self, Command, ExitStatus};
use std::time::{Duration, Instant};

/// Time between looks at a process that is to end.
const POLL: Duration = Duration::from_millis(25);

pub(crate) struct Child(pub(crate) process::Child);

impl Child {
    /// SIGKILL, and waits for the end.
    pub(crate) fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    /// Sends a signal by name, such as `STOP`.
    pub(crate) fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.0.id());
        let status = Command::new("sh").args(["-c", &command]).status();
        assert!(status.expect("sh is there").success(), "{command}");
    }

    /// Whether the process has ended, and how.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        self.0.try_wait().expect("a child can be asked")
    }

    /// Waits until the process has ended by itself, for some time.
    pub(crate) async fn wait_for_end(&mut self, limit: Duration) -> Option<ExitStatus> {
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Some(status) = self.ended() {
                return Some(status);
            }
            tokio::time::sleep(POLL).await;
        }
        None
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        self.kill();
    }
}
