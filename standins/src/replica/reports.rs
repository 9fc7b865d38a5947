//! What a replica reports of itself.

use serde::Serialize;

use crate::text::BlockHash;

/// Load report.
#[derive(Debug, Clone, Serialize)]
pub struct LoadReport {
    /// Number of the report, from 1.
    pub sequence: u64,
    /// Attempts in the batch.
    pub running: u32,
    /// Attempts in the queue.
    pub waiting: u32,
    /// KV memory reserved by running attempts, in percent.
    pub kv_used_percent: u32,
    /// Tokens still to be prefilled or generated.
    pub queued_tokens: u64,
    /// Tokens generated per second.
    pub tokens_per_s: f64,
    /// Whether the replica is leaving.
    pub leaving: bool,
    /// Time until it ends, in milliseconds; 0 without a notice.
    pub leave_in_ms: u64,
    /// Model that it serves or loads.
    pub model: String,
    /// Adapters that it serves.
    pub adapters: Vec<String>,
    /// Role in the last order.
    pub role: String,
    /// Version of the release in the last order.
    pub version: u64,
}

/// Change of the prefix cache, as published to callers.
#[derive(Debug, Clone, Serialize)]
pub struct CacheEvent {
    /// Number of the event, from 1.
    pub sequence: u64,
    /// Blocks added.
    pub stored: Vec<BlockHash>,
    /// Blocks evicted.
    pub removed: Vec<BlockHash>,
    #[serde(skip)]
    pub(super) at_ms: u64,
    #[serde(skip)]
    pub(super) is_gap: bool,
}

/// Attempts that were sent to a replica after its notice.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct LateWork {
    /// Number of attempts.
    pub requests: u64,
    /// Time from the notice to the last of them, in milliseconds.
    pub last_after_ms: u64,
}
