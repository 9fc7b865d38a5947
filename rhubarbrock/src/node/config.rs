//! Settings of a node, and what its parts take from them.

use std::net::SocketAddr;
use std::time::Duration;

use rhubarbrock_schema::peer;

use crate::{drain, id, placement};

/// Settings of a node.
#[derive(Debug, Clone)]
pub struct Config {
    /// Id drawn at random for this process.
    pub node: id::NodeId,
    /// Name of the node in its status and timeline and at other nodes.
    pub name: String,
    /// Data centre that the node runs in.
    pub data_centre: String,
    /// Region of the data centre; empty if not configured.
    pub region: String,
    /// Time at which the process started, since the Unix epoch.
    pub started_at: Duration,
    /// Instance that the node runs on; 0 for none.
    pub instance: id::InstanceId,
    /// Address that takes the requests of callers.
    pub caller_address: SocketAddr,
    /// Address that takes the calls and datagrams of other nodes.
    pub peer_address: SocketAddr,
    /// Addresses of nodes to join through, besides those in the platform's list.
    pub seeds: Vec<SocketAddr>,
    /// Time between membership probes.
    pub probe_interval: Duration,
    /// Limit of the duration of a drain; `None` uses the default of [`drain::Config`].
    pub drain_limit: Option<Duration>,
    /// Seed of the node's random number generators.
    pub random_seed: u64,
}

pub(super) fn own_place(config: &Config) -> placement::Place {
    placement::Place {
        node: config.node,
        data_centre: config.data_centre.clone(),
        region: config.region.clone(),
        running: true,
        leaving: false,
    }
}

pub(super) fn drain_config(config: &Config) -> drain::Config {
    let default = drain::Config::default();
    drain::Config { limit: config.drain_limit.unwrap_or(default.limit), ..default }
}

pub(super) fn own_record(config: &Config) -> peer::Member {
    peer::Member {
        node: config.node,
        name: config.name.clone(),
        data_centre: config.data_centre.clone(),
        datagram_address: config.peer_address.to_string(),
        peer_address: config.peer_address.to_string(),
        caller_address: config.caller_address.to_string(),
        region: config.region.clone(),
        started_at_ms: config.started_at.as_millis() as u64,
        instance: config.instance,
        ..Default::default()
    }
}
