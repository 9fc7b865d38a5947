//! Orders of what a replica is to serve.

use serde::{Deserialize, Serialize};

/// Order of what a replica is to serve.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Order {
    /// Fencing token of the sender.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// Name of the sender.
    pub holder: String,
    /// Model to load.
    pub model: String,
    /// Adapters to load.
    pub adapters: Vec<String>,
    /// Role to take.
    pub role: String,
    /// Version of the release that the order follows from.
    pub version: u64,
}

/// An order was refused because a newer fencing token has been seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("old fencing number")]
pub struct StaleFencingToken;
