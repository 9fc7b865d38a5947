//! What the claims of a node are told: new calls, results of actions, and records of the log.

use std::time::Duration;

use crate::id::{CallId, Offset};

/// A call that arrived at this node.
#[derive(Debug, Clone)]
pub struct NewCall {
    /// Number of the call, unique within a node.
    pub call: CallId,
    /// Organisation of the caller.
    pub organisation: String,
    /// The caller's idempotency key. If absent, a random key is generated: the call still runs at
    /// most once, but its outcome cannot be queried by a repetition.
    pub key: Option<String>,
    /// Whether the caller states that it may have sent the key before.
    pub is_repetition: bool,
    /// Creation time of the key as stated by the caller, since the Unix epoch.
    pub key_created_at: Option<Duration>,
    /// SHA-256 of method, path and body; a key is bound to one such hash.
    pub request_sha256: [u8; 32],
    /// Name of the called service.
    pub service: String,
    /// Position in a sequence of calls, if the caller names one.
    pub sequence_position: Option<SequencePosition>,
}

/// Position of a call in a sequence named by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SequencePosition {
    /// Name of the sequence, unique within organisation and service.
    pub sequence: String,
    /// Position, counted from 1.
    pub position: u64,
}

/// Result of an append to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResult {
    /// The record was appended at this offset.
    At(Offset),
    /// The log rejected the record; it will not appear.
    Failed,
    /// The reply was lost; the record may appear at any later time.
    Unknown,
}

/// How the dispatch of a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchResult {
    /// The endpoint answered.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Value of the `Content-Type` header.
        content_type: String,
        /// Complete body.
        body: Vec<u8>,
    },
    /// No byte of the call was or will be sent, for example if the connection was refused.
    NotSent,
    /// The call may have reached the endpoint, whose answer was not received.
    Unknown,
    /// The endpoint rejected the fencing token.
    FencingTokenRejected,
}

/// A record read from topic "claims".
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Offset of the record in the topic.
    pub offset: Offset,
    /// Time at which the log accepted the record, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Encoded `ClaimBatch`; may be malformed.
    pub bytes: Vec<u8>,
}

/// Result of one read of topic "claims".
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Records in ascending order of offsets.
    pub records: Vec<Record>,
    /// Offset from which to read the next page.
    pub next_offset: Offset,
    /// Oldest offset that the log still retains.
    pub oldest_offset: Offset,
    /// Offset that the next appended record will get.
    pub end_offset: Offset,
}
