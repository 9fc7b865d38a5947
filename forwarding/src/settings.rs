//! Settings of a gateway, fixed at its start.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::quota::QuotaBounds;
use crate::rollout::RolloutBounds;

/// Settings of one gateway, as the deployment gives them.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the gateway instance, unique in the deployment.
    pub name: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Listening address for callers.
    pub caller_address: SocketAddr,
    /// Listening address of the readiness check that the load balancer calls.
    pub readiness_address: SocketAddr,
    /// Listening address of the metrics endpoint.
    pub metrics_address: SocketAddr,
    /// IP address at which other gateways reach this one.
    pub peer_ip: IpAddr,
    /// Port of reports (UDP) and handovers (TCP) between gateways, the same on all instances.
    pub peer_port: u16,
    /// Address of the platform's store of releases, endpoint entries and the lease.
    pub store_address: SocketAddr,
    /// Address of the platform's API for usage reports and replica orders; `None` if there is none.
    pub duty_address: Option<SocketAddr>,
    /// Whether the lease holder reports usage to the platform.
    pub reports_usage: bool,
    /// Whether the lease holder orders replicas from the platform.
    pub orders_replicas: bool,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// Descriptors that the process may use.
    pub max_fds: usize,
    /// Interval at which endpoints renew their entries in the store.
    pub heartbeat_interval: Duration,
    /// Limits on the behaviour of the gateways.
    pub bounds: Bounds,
}

/// Limits that the deployment sets for the gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time after which a leaving endpoint must no longer receive requests.
    pub drain_delay: Duration,
    /// Time after which a release must be in force at all gateways.
    pub release_delay: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Retries allowed per first attempt.
    pub retry_ratio: f64,
    /// Window over which the retry budget is counted.
    pub retry_window: Duration,
    /// Retries allowed in a window in addition to the ratio.
    pub retry_slack: f64,
    /// How far all gateways together may exceed a quota.
    pub quota: QuotaBounds,
    /// Window within which two gateways must not perform the duties alternately.
    pub lease_duration: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Limits on roll-outs; `None` if the deployment has none, and orders have no effect.
    pub rollout: Option<RolloutBounds>,
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
            rollout: None,
        }
    }
}

impl Bounds {
    /// Maximum age of data from the store that counts as fresh: half of the shorter propagation
    /// limit. The other half is for the other gateways to detect stale reports and read the store.
    pub fn freshness(&self) -> Duration {
        self.drain_delay.min(self.release_delay) / 2
    }
}
