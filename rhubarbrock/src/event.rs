//! What the decisions are told.

use std::net::SocketAddr;
use std::time::Duration;

use rhubarbrock_schema::{observe, peer};

use crate::{custody, id};

/// Number of a caller's call while it waits for a decision, unique within a node.
pub type CallId = u64;

/// Number of an append to the log, unique within a node.
pub type AppendId = u64;

/// Number of a call from another node that waits for its answer.
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

/// Anything that a decision may follow from.
#[derive(Debug, Clone)]
pub enum Event {
    /// From a caller.
    Caller(CallerEvent),
    /// From an endpoint.
    Endpoint(EndpointEvent),
    /// From the platform.
    Platform(PlatformEvent),
    /// From another node.
    Peer(PeerEvent),
    /// The operating system asks the process to end (SIGTERM).
    Terminate,
}

/// From a caller.
#[derive(Debug, Clone)]
pub enum CallerEvent {
    /// A completion is asked for.
    Model(Box<ModelCall>),
    /// A plain service is called.
    Plain(Box<PlainCall>),
    /// A request's answer or outcome is asked for by its id.
    Find(FindCall),
    /// The list of services is asked for.
    Services {
        /// The call.
        call: CallId,
        /// Digest of the bearer key.
        key_sha256: Sha256,
    },
    /// The caller of `call` went away before a decision.
    Disconnected {
        /// The call.
        call: CallId,
    },
    /// The caller took the whole answer.
    AnswerDelivered {
        /// The request.
        request: id::RequestId,
    },
}

/// A completion asked for by a caller.
#[derive(Debug, Clone)]
pub struct ModelCall {
    /// The call.
    pub call: CallId,
    /// Digest of the bearer key.
    pub key_sha256: Sha256,
    /// Service named by `model`.
    pub service: String,
    /// Path, such as `/v1/chat/completions`.
    pub path: String,
    /// Body as sent.
    pub body: String,
    /// Whether chat completions are asked for.
    pub is_chat: bool,
    /// Whether a stream is asked for.
    pub streamed: bool,
    /// Whether usage is asked for at a stream's end.
    pub stream_usage: bool,
    /// Token limit of the caller, if any.
    pub max_tokens: Option<u32>,
    /// Hashes of the prompt's blocks.
    pub blocks: Vec<id::BlockHash>,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Names the dialogue that the request belongs to; 0 for none.
    pub dialogue: u64,
    /// Tokens of the prompt of the dialogue's turn before.
    pub settled_tokens: u32,
    /// Hash of what is asked for.
    pub fingerprint: id::Fingerprint,
    /// Time to first token the caller allows, if it says so.
    pub deadline: Option<Duration>,
    /// Random part of the request id, should it be accepted.
    pub secret: u128,
}

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct PlainCall {
    /// The call.
    pub call: CallId,
    /// Digest of the bearer key.
    pub key_sha256: Sha256,
    /// Service in the path.
    pub service: String,
    /// HTTP method in upper case.
    pub method: String,
    /// Path below the service, without leading slash, without query.
    pub path: String,
    /// Query, without question mark.
    pub query: String,
    /// Content type, empty for none.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
    /// Digest of method, path, query and body.
    pub request_sha256: Sha256,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// Whether the caller says that it may have sent the key before.
    pub is_repetition: bool,
    /// Time since the Unix epoch at which the caller says that it made the key.
    pub key_created: Option<Duration>,
    /// Sequence that the call belongs to.
    pub sequence: Option<SequencePosition>,
    /// Time that the caller allows, if it says so.
    pub deadline: Option<Duration>,
    /// Random part of the request id.
    pub secret: u128,
}

/// Place of a call in a caller's sequence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SequencePosition {
    /// Name of the sequence.
    pub sequence: String,
    /// Position, from 1.
    pub position: u64,
}

/// A question for a request's answer.
#[derive(Debug, Clone)]
pub struct FindCall {
    /// The call.
    pub call: CallId,
    /// Digest of the bearer key.
    pub key_sha256: Sha256,
    /// The request.
    pub request: id::RequestId,
    /// Byte offset from which text is wanted.
    pub offset: u64,
}

/// From an endpoint.
#[derive(Debug, Clone)]
pub enum EndpointEvent {
    /// The first token of an attempt came.
    FirstToken {
        /// The attempt.
        attempt: id::AttemptId,
    },
    /// Text of an attempt since its last mark.
    Progress {
        /// The attempt.
        attempt: id::AttemptId,
        /// Byte offset of `text` in the answer.
        offset: u64,
        /// The text.
        text: String,
        /// Lengths of the chunks in `text`, in bytes.
        chunk_bytes: Vec<u32>,
        /// Tokens up to the end of `text`.
        tokens: u32,
    },
    /// A model attempt ended.
    ModelEnded {
        /// The attempt.
        attempt: id::AttemptId,
        /// How.
        outcome: ModelOutcome,
    },
    /// A plain attempt ended.
    PlainEnded {
        /// The attempt.
        attempt: id::AttemptId,
        /// How.
        outcome: PlainOutcome,
    },
    /// An endpoint reported its load.
    Load(LoadReport),
    /// An endpoint did not answer a load probe.
    LoadFailed {
        /// The endpoint.
        endpoint: id::EndpointId,
    },
}

/// How a model attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub enum ModelOutcome {
    /// The answer is complete.
    Finished(peer::Finish),
    /// The endpoint refused the request with an HTTP status that says that the request is at fault.
    Rejected {
        /// HTTP status.
        status: u16,
        /// The endpoint's words.
        message: String,
    },
    /// The endpoint takes no work now.
    Refused {
        /// Time after which it may.
        retry_after: Option<Duration>,
    },
    /// The request could not be sent.
    NotSent {
        /// Why.
        message: String,
    },
    /// The connection broke after the request was sent.
    Broken {
        /// Why.
        message: String,
    },
    /// Nothing came for too long after the request was sent.
    TimedOut,
    /// This node cancelled the attempt.
    Cancelled,
}

/// How a plain attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlainOutcome {
    /// The endpoint answered.
    Answered(PlainAnswer),
    /// No byte of the call can have left.
    NotSent {
        /// Why.
        message: String,
    },
    /// The call may have run.
    Unknown {
        /// Why.
        message: String,
    },
    /// The endpoint refused the fencing number.
    FencingTokenRejected,
}

/// Answer of a plain service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, empty for none.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// An engine's load report.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadReport {
    /// The endpoint.
    pub endpoint: id::EndpointId,
    /// Raised with each report.
    pub sequence: u64,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Share of KV cache memory in use, in percent.
    pub kv_used_percent: u32,
    /// Tokens that wait for prefill.
    pub queued_tokens: u32,
    /// Whether the endpoint leaves.
    pub leaving: bool,
}

/// From the platform.
#[derive(Debug, Clone)]
pub enum PlatformEvent {
    /// Records of a topic were read.
    Records(RecordPage),
    /// A topic could not be read.
    ReadFailed {
        /// The topic.
        topic: Topic,
    },
    /// An append ended.
    Appended {
        /// The append.
        append: AppendId,
        /// How.
        outcome: AppendOutcome,
    },
    /// The list of instances was read.
    Instances(InstanceList),
    /// The list could not be read.
    InstancesFailed,
    /// Instances were given notice.
    Notices(Vec<Notice>),
}

/// Records of a topic.
#[derive(Debug, Clone)]
pub struct RecordPage {
    /// The topic.
    pub topic: Topic,
    /// Records in order of offset.
    pub records: Vec<Record>,
    /// Offset to read next.
    pub next_offset: id::Offset,
    /// Oldest offset kept.
    pub oldest_offset: id::Offset,
    /// Offset that the next append gets.
    pub end_offset: id::Offset,
}

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Offset.
    pub offset: id::Offset,
    /// Wall-clock time at which the log took it, since the Unix epoch.
    pub time: Duration,
    /// Bytes.
    pub data: Vec<u8>,
}

/// How an append ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// It took effect; the first record is at this offset.
    At(id::Offset),
    /// It took no effect.
    Failed,
    /// It may have taken effect.
    Unknown,
}

/// The platform's list of instances.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct InstanceList {
    /// Wall-clock time at which the list was true, since the Unix epoch.
    pub taken_at: Duration,
    /// Instances.
    pub instances: Vec<Instance>,
}

/// What an instance is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceKind {
    /// Runs a node.
    Entry,
    /// Runs a model engine or a plain service.
    Endpoint,
}

/// Where an instance is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceState {
    /// Not ready yet.
    Starting,
    /// Ready.
    Live,
    /// Given notice.
    Leaving,
    /// Ended.
    Gone,
}

/// How an instance is paid for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum Market {
    /// Can be reclaimed on notice.
    #[display("reclaimable")]
    Reclaimable,
    /// Kept until ended by its owner.
    #[display("on_demand")]
    OnDemand,
}

/// One instance of the platform's list.
#[derive(Debug, Clone, PartialEq)]
pub struct Instance {
    /// The platform's number.
    pub id: id::InstanceId,
    /// What it is for.
    pub kind: InstanceKind,
    /// Data centre.
    pub data_centre: String,
    /// Machine class.
    pub class: String,
    /// Market.
    pub market: Market,
    /// State.
    pub state: InstanceState,
    /// Service that it was started for, empty for entry instances.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Address for other nodes; entry instances only.
    pub peer_address: Option<SocketAddr>,
}

/// Notice that an instance is about to be reclaimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notice {
    /// The instance.
    pub instance: id::InstanceId,
    /// Wall-clock time at which it goes, since the Unix epoch.
    pub leave_at: Duration,
}

/// From another node.
#[derive(Debug, Clone)]
pub enum PeerEvent {
    /// A datagram whose authentication was checked.
    Datagram {
        /// Sender's address.
        from: SocketAddr,
        /// The datagram.
        datagram: Box<peer::Datagram>,
    },
    /// Records to keep.
    Store {
        /// To answer with [`Reply::Store`].
        rpc: RpcId,
        /// The call.
        call: peer::StoreCall,
    },
    /// Progress of records kept.
    Progress {
        /// To answer with [`Reply::Progress`].
        rpc: RpcId,
        /// The call.
        call: peer::ProgressCall,
    },
    /// A question for a request.
    Find {
        /// To answer with [`Reply::Find`].
        rpc: RpcId,
        /// The call.
        call: peer::FindCall,
    },
    /// A question for the release in force.
    ReleaseFetch {
        /// To answer with [`Reply::Release`].
        rpc: RpcId,
    },
    /// A question for the status.
    Status {
        /// To answer with [`Reply::Status`].
        rpc: RpcId,
    },
    /// A question for a page of the time line.
    Timeline {
        /// To answer with [`Reply::Timeline`].
        rpc: RpcId,
        /// Number of the first event wanted.
        after: u64,
        /// Most events wanted.
        limit: usize,
    },
    /// The answer to a store call of this node; `None` where there was none.
    StoreReplied {
        /// Number of the call.
        number: custody::CallNumber,
        /// The answer.
        reply: Option<peer::StoreReply>,
    },
    /// The answer to a progress call of this node; `None` where there was none.
    ProgressReplied {
        /// Node that was called.
        to: id::NodeId,
        /// Number of the call.
        number: custody::CallNumber,
        /// The answer.
        reply: Option<peer::ProgressReply>,
    },
    /// The answer to a release fetch of this node; `None` where there was none.
    ReleaseFetched {
        /// The answer.
        reply: Option<Box<peer::ReleaseReply>>,
    },
}

/// Answers to calls from other nodes and observers.
#[derive(Debug, Clone)]
pub enum Reply {
    /// To [`PeerEvent::Store`].
    Store(peer::StoreReply),
    /// To [`PeerEvent::Progress`].
    Progress(peer::ProgressReply),
    /// To [`PeerEvent::Find`].
    Find(Box<peer::FindReply>),
    /// To [`PeerEvent::ReleaseFetch`].
    Release(Box<peer::ReleaseReply>),
    /// To [`PeerEvent::Status`].
    Status(Box<observe::NodeStatus>),
    /// To [`PeerEvent::Timeline`].
    Timeline(observe::TimelinePage),
}
