//! Client with which replicas register with the platform, receive notices and read model
//! weights.

use std::time::Duration;

use anyhow::{Context, bail};
use bytes::Bytes;
use hyper::Method;
use serde::Deserialize;
use tokio::sync::mpsc;

use crate::fleet::{Instance, Notice};
use crate::http::{self, Client};

/// Retries of the first call, while the platform may still be starting.
const MAX_START_RETRIES: u32 = 100;
/// Time before a retry.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// How long one call waits for notices, in milliseconds.
const NOTICE_WAIT_MS: u64 = 10_000;

/// Client of the platform.
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
    /// A client of the platform at the base URL `platform`.
    pub fn new(platform: &str) -> PlatformClient {
        let platform = platform.trim_end_matches('/').to_owned();
        PlatformClient { platform, client: http::client() }
    }

    /// Registers `instances` and returns a channel with the notices given from now on, which may
    /// be for any instance. Retries for at least 20 s if the platform does not answer yet; fails
    /// if it still does not, or refuses an instance.
    pub async fn register(
        &self,
        instances: &[Instance],
    ) -> anyhow::Result<mpsc::UnboundedReceiver<Notice>> {
        let after = self.latest_notice().await?;
        for instance in instances {
            self.put_instance(instance).await?;
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        tokio::spawn(self.clone().forward_notices(after, sender));
        Ok(receiver)
    }

    /// Registers one instance or updates its state.
    pub async fn put_instance(&self, instance: &Instance) -> anyhow::Result<()> {
        let url = format!("{}/instances/{}", self.platform, instance.id);
        let body = Bytes::from(serde_json::to_vec(instance)?);
        let (status, _) = http::call(&self.client, Method::PUT, &url, body).await?;
        if !status.is_success() {
            bail!("platform refused instance {}: status {status}", instance.id);
        }
        Ok(())
    }

    /// Downloads a model from the weight store, with retries until it succeeds; returns its size
    /// in bytes.
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
        let mut retries = 0;
        loop {
            match self.notices(0, 0).await {
                Ok(notices) => return Ok(notices.next),
                Err(error) if retries >= MAX_START_RETRIES => {
                    return Err(error).context("platform did not answer a call for notices");
                }
                Err(_) => retries += 1,
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    async fn notices(&self, after: u64, wait_ms: u64) -> anyhow::Result<Notices> {
        let url = format!("{}/cloud/notices?after={after}&wait_ms={wait_ms}", self.platform);
        let (status, bytes) = http::call(&self.client, Method::GET, &url, Bytes::new()).await?;
        if !status.is_success() {
            bail!("platform refused a call for notices: status {status}");
        }
        Ok(serde_json::from_slice(&bytes)?)
    }

    async fn forward_notices(self, mut after: u64, sender: mpsc::UnboundedSender<Notice>) {
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
