//! How replicas tell the platform that they are there, and hear of notices.

use std::time::Duration;

use anyhow::{Context, bail};
use bytes::Bytes;
use hyper::Method;
use serde::Deserialize;
use tokio::sync::mpsc;

use crate::fleet::{Instance, Notice};
use crate::http::{self, Client};

/// Tries to reach the platform at the start.
const START_TRIES: u32 = 100;
/// Time between tries.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait of one call for notices, in milliseconds.
const NOTICE_WAIT_MS: u64 = 10_000;

/// Connection to the platform.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    platform: String,
    client: Client,
}

#[derive(Deserialize)]
struct Notices {
    notices: Vec<Notice>,
    next: u64,
}

impl PlatformClient {
    /// A connection to the platform at the base URL `platform`.
    pub fn new(platform: &str) -> PlatformClient {
        let platform = platform.trim_end_matches('/').to_owned();
        PlatformClient { platform, client: http::client() }
    }

    /// Registers `instances` and follows the notices that come afterwards. Waits some seconds
    /// for a platform that is not there yet.
    pub async fn register(
        &self,
        instances: &[Instance],
    ) -> anyhow::Result<mpsc::UnboundedReceiver<Notice>> {
        let after = self.latest_notice().await?;
        for instance in instances {
            self.put(instance).await?;
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        tokio::spawn(self.clone().follow(after, sender));
        Ok(receiver)
    }

    /// Tells the platform the present state of one instance.
    pub async fn put(&self, instance: &Instance) -> anyhow::Result<()> {
        let url = format!("{}/instances/{}", self.platform, instance.id);
        let body = Bytes::from(serde_json::to_vec(instance)?);
        let (status, _) = http::call(&self.client, Method::PUT, &url, body).await?;
        if !status.is_success() {
            bail!("platform refused instance {}: {status}", instance.id);
        }
        Ok(())
    }

    /// Reads a model from the weight store; returns its size in bytes.
    pub async fn read_weights(&self, model: &str) -> usize {
        let url = format!("{}/weights/{model}", self.platform);
        loop {
            let answer = http::call(&self.client, Method::GET, &url, Bytes::new()).await;
            match answer {
                Ok((status, bytes)) if status.is_success() => return bytes.len(),
                _ => tokio::time::sleep(RETRY_INTERVAL).await,
            }
        }
    }

    async fn latest_notice(&self) -> anyhow::Result<u64> {
        let mut tries = 0;
        loop {
            match self.notices(0, 0).await {
                Ok(notices) => return Ok(notices.next),
                Err(error) if tries >= START_TRIES => {
                    return Err(error).context("platform does not answer");
                }
                Err(_) => tries += 1,
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    async fn notices(&self, after: u64, wait_ms: u64) -> anyhow::Result<Notices> {
        let url = format!("{}/cloud/notices?after={after}&wait_ms={wait_ms}", self.platform);
        let (status, bytes) = http::call(&self.client, Method::GET, &url, Bytes::new()).await?;
        if !status.is_success() {
            bail!("platform answered {status}");
        }
        Ok(serde_json::from_slice(&bytes)?)
    }

    async fn follow(self, mut after: u64, sender: mpsc::UnboundedSender<Notice>) {
        loop {
            match self.notices(after, NOTICE_WAIT_MS).await {
                Ok(answer) => {
                    after = answer.next;
                    for notice in answer.notices {
                        if sender.send(notice).is_err() {
                            return;
                        }
                    }
                }
                Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
            }
        }
    }
}
