//! Events that [`Node::handle`](crate::node::Node::handle) takes.

mod instance;

use std::net::SocketAddr;
use std::time::Duration;

use rhubarbrock_schema::{observe, peer};

use crate::{custody, id};

pub use instance::{Instance, InstanceKind, InstanceList, InstanceState, Market, Notice};

/// Number of a call from a caller, unique within a node; valid until the call is answered.
pub type CallId = u64;

/// Number of an append to the log, unique within a node.
pub type AppendId = u64;

/// Number of a call from another node or an observer, to match its [`Reply`].
pub type RpcId = u64;

/// SHA-256 digest.
pub type Sha256 = [u8; 32];

/// Topics of the platform's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub enum Topic {
    /// Release notes and snapshots.
    #[display("release")]
    Release,
    /// Claims of calls that are not repeatable.
    #[display("claims")]
    Claims,
    /// Leases.
    #[display("leases")]
    Leases,
}

/// Input of a node's decisions.
#[derive(Debug, Clone)]
pub enum Event {
    /// Event from a caller.
    Caller(CallerEvent),
    /// Event from an endpoint.
    Endpoint(EndpointEvent),
    /// Event from the platform.
    Platform(PlatformEvent),
    /// Event from another node or an observer.
    Peer(PeerEvent),
    /// SIGTERM: the process is asked to exit.
    Terminate,
}

/// Event from a caller.
#[derive(Debug, Clone)]
pub enum CallerEvent {
    /// Request for a completion.
    Model(Box<ModelCall>),
    /// Call to a plain service.
    Plain(Box<PlainCall>),
    /// Query for the answer or outcome of a request, by its id.
    Find(FindCall),
    /// Query for the list of services.
    Services {
        /// Call to answer.
        call: CallId,
        /// SHA-256 of the bearer key.
        key_sha256: Sha256,
    },
    /// The caller disconnected before its call was answered.
    Disconnected {
        /// Call of that caller.
        call: CallId,
    },
    /// The caller received the complete answer.
    AnswerDelivered {
        /// Request that was answered.
        request: id::RequestId,
    },
}

/// Call for a completion.
#[derive(Debug, Clone)]
pub struct ModelCall {
    /// Call to answer.
    pub call: CallId,
    /// SHA-256 of the bearer key.
    pub key_sha256: Sha256,
    /// Service named in the body's `model` field.
    pub service: String,
    /// Path of the HTTP request, such as `/v1/chat/completions`.
    pub path: String,
    /// Request body as the caller sent it.
    pub body: String,
    /// Whether the path is that of chat completions.
    pub is_chat: bool,
    /// Whether the answer is to be streamed.
    pub streamed: bool,
    /// Whether a stream is to end with a usage chunk.
    pub stream_usage: bool,
    /// Limit on generated tokens; `None` uses the service's.
    pub max_tokens: Option<u32>,
    /// Chained hashes of the prompt's blocks, in order.
    pub blocks: Vec<id::BlockHash>,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Identifies the dialogue that the request belongs to; 0 for none.
    pub dialogue: u64,
    /// Prompt tokens of the dialogue's previous turn.
    pub settled_tokens: u32,
    /// Hash of the request's content.
    pub fingerprint: id::Fingerprint,
    /// Time to first token that the caller allows; `None` uses the service's.
    pub deadline: Option<Duration>,
    /// Random part of the request id.
    pub secret: u128,
}

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct PlainCall {
    /// Call to answer.
    pub call: CallId,
    /// SHA-256 of the bearer key.
    pub key_sha256: Sha256,
    /// Service named in the path.
    pub service: String,
    /// HTTP method in upper case.
    pub method: String,
    /// Path below the service, without leading slash and query.
    pub path: String,
    /// Query string without the question mark, empty for none.
    pub query: String,
    /// Content type, empty for none.
    pub content_type: String,
    /// Request body.
    pub body: Vec<u8>,
    /// SHA-256 of method, path, query and body.
    pub request_sha256: Sha256,
    /// Idempotency key that the caller set.
    pub idempotency_key: Option<String>,
    /// Whether the caller states that it may have sent the key before.
    pub is_repetition: bool,
    /// When the caller created the key, by its own statement, since the Unix epoch.
    pub key_created_at: Option<Duration>,
    /// Position in a sequence; `None` if the call belongs to none.
    pub sequence: Option<SequencePosition>,
    /// Time from arrival that the caller allows; `None` uses the service's.
    pub deadline: Option<Duration>,
    /// Random part of the request id.
    pub secret: u128,
}

/// Position of a call in a caller's sequence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SequencePosition {
    /// Name that the caller gave the sequence.
    pub sequence: String,
    /// Position in the sequence, from 1.
    pub position: u64,
}

/// Query for a request's answer.
#[derive(Debug, Clone)]
pub struct FindCall {
    /// Call to answer.
    pub call: CallId,
    /// SHA-256 of the bearer key.
    pub key_sha256: Sha256,
    /// Request asked for.
    pub request: id::RequestId,
    /// Byte offset in the answer from which text is wanted.
    pub offset: u64,
}

/// Event from an endpoint.
#[derive(Debug, Clone)]
pub enum EndpointEvent {
    /// The first token of an attempt arrived.
    FirstToken {
        /// Attempt that generates the answer.
        attempt: id::AttemptId,
    },
    /// Text of an attempt since its previous progress event.
    Progress {
        /// Attempt that generates the answer.
        attempt: id::AttemptId,
        /// Byte offset of `text` in the answer.
        offset: u64,
        /// New text.
        text: String,
        /// Lengths of the chunks that make up `text`, in bytes.
        chunk_bytes: Vec<u32>,
        /// Tokens of the answer up to the end of `text`.
        tokens: u32,
    },
    /// A model attempt ended.
    ModelEnded {
        /// Attempt that ended.
        attempt: id::AttemptId,
        /// How it ended.
        outcome: ModelOutcome,
    },
    /// A plain attempt ended.
    PlainEnded {
        /// Attempt that ended.
        attempt: id::AttemptId,
        /// How it ended.
        outcome: PlainOutcome,
    },
    /// An endpoint reported its load.
    Load(LoadReport),
    /// An endpoint did not answer a load probe.
    LoadFailed {
        /// Endpoint that was probed.
        endpoint: id::EndpointId,
    },
}

/// How a model attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub enum ModelOutcome {
    /// The answer is complete.
    Finished(peer::Finish),
    /// The request itself is invalid, by an HTTP status other than success, 429 and 5xx.
    Rejected {
        /// HTTP status of the endpoint.
        status: u16,
        /// Error message of the endpoint.
        message: String,
    },
    /// The endpoint accepts no work at present (HTTP status 429 or 5xx).
    Refused {
        /// `Retry-After` of the endpoint; `None` if it sent none.
        retry_after: Option<Duration>,
    },
    /// The request could not be sent.
    NotSent {
        /// Cause of the failure.
        message: String,
    },
    /// The connection broke after the request was sent.
    Broken {
        /// Cause of the failure.
        message: String,
    },
    /// The endpoint sent nothing for the idle timeout.
    TimedOut,
    /// This node cancelled the attempt.
    Cancelled,
}

/// How a plain attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlainOutcome {
    /// The endpoint answered, with any HTTP status.
    Answered(PlainAnswer),
    /// The call has not run: no byte of it was sent.
    NotSent {
        /// Cause of the failure.
        message: String,
    },
    /// The call may have run; no answer arrived.
    Unknown {
        /// Cause of the failure.
        message: String,
    },
    /// The endpoint rejected the fencing token.
    FencingTokenRejected,
}

/// Answer of a plain service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, empty for none.
    pub content_type: String,
    /// Response body.
    pub body: Vec<u8>,
}

/// Load report of an engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadReport {
    /// Endpoint that the report is about.
    pub endpoint: id::EndpointId,
    /// Number of the report, increasing with each report of the endpoint.
    pub sequence: u64,
    /// Number of requests in execution.
    pub running: u32,
    /// Number of requests queued at the engine.
    pub waiting: u32,
    /// KV cache memory in use, in percent.
    pub kv_used_percent: u32,
    /// Prompt tokens that wait for prefill.
    pub queued_tokens: u32,
    /// Whether the endpoint is leaving.
    pub leaving: bool,
}

/// Event from the platform.
#[derive(Debug, Clone)]
pub enum PlatformEvent {
    /// Records of a topic were read.
    Records(RecordPage),
    /// A topic could not be read.
    ReadFailed {
        /// Topic that was read.
        topic: Topic,
    },
    /// An append ended.
    Appended {
        /// Number given in [`Action::Append`](crate::action::Action::Append).
        append: AppendId,
        /// How it ended.
        outcome: AppendOutcome,
    },
    /// The list of instances was read.
    Instances(InstanceList),
    /// The list of instances could not be read.
    InstancesFailed,
    /// The platform announced that instances will be reclaimed.
    Notices(Vec<Notice>),
}

/// Page of records read from a topic.
#[derive(Debug, Clone)]
pub struct RecordPage {
    /// Topic that was read.
    pub topic: Topic,
    /// Records in ascending order of offset.
    pub records: Vec<Record>,
    /// Offset to read next.
    pub next_offset: id::Offset,
    /// Oldest offset that the log retains.
    pub oldest_offset: id::Offset,
    /// Offset that the next appended record gets.
    pub end_offset: id::Offset,
}

/// Record of the platform's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Offset in its topic.
    pub offset: id::Offset,
    /// Wall-clock time at which the log accepted the record, since the Unix epoch.
    pub time: Duration,
    /// Content; its encoding depends on the topic.
    pub data: Vec<u8>,
}

/// How an append ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The append took effect; its first record has this offset.
    At(id::Offset),
    /// The append had no effect.
    Failed,
    /// The append may have taken effect.
    Unknown,
}

/// Event from another node or an observer.
#[derive(Debug, Clone)]
pub enum PeerEvent {
    /// A datagram whose authentication was checked.
    Datagram {
        /// Address of the sender.
        from: SocketAddr,
        /// Decoded datagram.
        datagram: Box<peer::Datagram>,
    },
    /// Records to back up.
    Store {
        /// Call to answer with [`Reply::Store`].
        rpc: RpcId,
        /// Decoded message of the call.
        call: peer::StoreCall,
    },
    /// Progress of records backed up here.
    Progress {
        /// Call to answer with [`Reply::Progress`].
        rpc: RpcId,
        /// Decoded message of the call.
        call: peer::ProgressCall,
    },
    /// Query for a request.
    Find {
        /// Call to answer with [`Reply::Find`].
        rpc: RpcId,
        /// Decoded message of the call.
        call: peer::FindCall,
    },
    /// Query for the release in force.
    ReleaseFetch {
        /// Call to answer with [`Reply::Release`].
        rpc: RpcId,
    },
    /// Query for the status.
    Status {
        /// Call to answer with [`Reply::Status`].
        rpc: RpcId,
    },
    /// Query for a page of the timeline.
    Timeline {
        /// Call to answer with [`Reply::Timeline`].
        rpc: RpcId,
        /// Number of the first event wanted.
        after: u64,
        /// Largest number of events wanted.
        limit: usize,
    },
    /// A store call of this node ended.
    StoreReplied {
        /// Number that this node gave the call.
        number: custody::CallNumber,
        /// Reply of the other node; `None` if the call failed.
        reply: Option<peer::StoreReply>,
    },
    /// A progress call of this node ended.
    ProgressReplied {
        /// Node that was called.
        to: id::NodeId,
        /// Number that this node gave the call.
        number: custody::CallNumber,
        /// Reply of the other node; `None` if the call failed.
        reply: Option<peer::ProgressReply>,
    },
    /// A release fetch of this node ended.
    ReleaseFetched {
        /// Reply of the other node; `None` if the call failed.
        reply: Option<Box<peer::ReleaseReply>>,
    },
}

/// Reply to a call from another node or an observer.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Reply to [`PeerEvent::Store`].
    Store(peer::StoreReply),
    /// Reply to [`PeerEvent::Progress`].
    Progress(peer::ProgressReply),
    /// Reply to [`PeerEvent::Find`].
    Find(Box<peer::FindReply>),
    /// Reply to [`PeerEvent::ReleaseFetch`].
    Release(Box<peer::ReleaseReply>),
    /// Reply to [`PeerEvent::Status`].
    Status(Box<observe::NodeStatus>),
    /// Reply to [`PeerEvent::Timeline`].
    Timeline(observe::TimelinePage),
}
