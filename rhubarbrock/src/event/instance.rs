//! Instances in the platform's list, and notices of their end.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id;

/// List of instances as the platform gives it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct InstanceList {
    /// Wall-clock time at which the platform made the list, since the Unix epoch.
    pub taken_at: Duration,
    /// Instances in the order of the list.
    pub instances: Vec<Instance>,
}

/// Role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceKind {
    /// Runs a node.
    Entry,
    /// Runs a model engine or a plain service.
    Endpoint,
}

/// Lifecycle state of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceState {
    /// Started, and not ready yet.
    Starting,
    /// Ready for work.
    Live,
    /// Has been given notice and will end.
    Leaving,
    /// Terminated.
    Gone,
}

/// Market in which an instance is bought.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum Market {
    /// The platform may reclaim it after a notice.
    #[display("reclaimable")]
    Reclaimable,
    /// Runs until its owner terminates it.
    #[display("on_demand")]
    OnDemand,
}

/// Instance in the platform's list.
#[derive(Debug, Clone, PartialEq)]
pub struct Instance {
    /// Number that the platform assigned.
    pub id: id::InstanceId,
    /// Role of the instance.
    pub kind: InstanceKind,
    /// Data centre that the instance runs in.
    pub data_centre: String,
    /// Machine class, by the platform's name for it.
    pub class: String,
    /// Market in which it was bought.
    pub market: Market,
    /// Lifecycle state at the time of the list.
    pub state: InstanceState,
    /// Service that it was started for, empty for entry instances.
    pub service: String,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Address that takes calls of other nodes; entry instances only.
    pub peer_address: Option<SocketAddr>,
}

/// Notice that an instance is about to be reclaimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notice {
    /// Instance to be reclaimed.
    pub instance: id::InstanceId,
    /// Wall-clock time at which it is reclaimed, since the Unix epoch.
    pub leave_at: Duration,
}
