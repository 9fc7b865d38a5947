//! What a gateway is told at its start.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::quota::QuotaBounds;

/// Settings of one gateway, from the deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the instance, unique in the deployment.
    pub name: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the balancer asks for readiness.
    pub readiness_address: SocketAddr,
    /// Where metrics are served.
    pub metrics_address: SocketAddr,
    /// Address at which other gateways reach this one.
    pub peer_ip: IpAddr,
    /// Port of datagrams between gateways, alike on all instances.
    pub peer_port: u16,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Address of the platform's API for duties, if there are any.
    pub duty_address: Option<SocketAddr>,
    /// Whether usage has to be reported.
    pub reports_usage: bool,
    /// Whether replicas are ordered.
    pub orders_replicas: bool,
    /// Memory the process may use, in bytes.
    pub memory_bytes: u64,
    /// Interval at which endpoints renew their entries.
    pub heartbeat_interval: Duration,
    /// Bounds the deployment sets.
    pub bounds: Bounds,
}

/// Bounds that the deployment sets on all gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time in which a leaving endpoint must be left alone.
    pub drain_delay: Duration,
    /// Time in which a release must be in force everywhere.
    pub release_delay: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Retries allowed for each first attempt.
    pub retry_ratio: f64,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Retries allowed in a window beyond the ratio.
    pub retry_slack: f64,
    /// By how much all gateways together may exceed a quota.
    pub quota: QuotaBounds,
    /// Window in which two holders of a duty must not alternate.
    pub lease_duration: Duration,
    /// Length of a window of usage.
    pub usage_window: Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            drain_delay: Duration::from_secs(2),
            release_delay: Duration::from_secs(2),
            grace: Duration::from_secs(8),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_slack: 10.0,
            quota: QuotaBounds { window: Duration::from_secs(8), overshoot: 0.1, slack_units: 0.0 },
            lease_duration: Duration::from_secs(3),
            usage_window: Duration::from_secs(5),
        }
    }
}

impl Bounds {
    /// Age up to which news from the store is passed on as fresh; what is left of the shorter
    /// bound is for others to notice and to read themselves.
    pub fn freshness(&self) -> Duration {
        self.drain_delay.min(self.release_delay) / 2
    }
}
