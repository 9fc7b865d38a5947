//! Actions that [`Node`](crate::node::Node) returns, for the threads that do I/O.

use std::net::SocketAddr;
use std::time::Duration;

use rhubarbrock_schema::peer;

use crate::{custody, event, id};

/// Action to perform. Actions are performed in the order in which they are returned.
#[derive(Debug, Clone)]
pub enum Action {
    /// Answer the caller's call with an error.
    Refuse {
        /// Call to answer.
        call: event::CallId,
        /// Error to answer with.
        refusal: Refusal,
    },
    /// Answer the caller with the answer of a request held here, from a byte offset on.
    Attach {
        /// Call to answer.
        call: event::CallId,
        /// Request to answer with.
        request: id::RequestId,
        /// Byte offset in the answer from which on to send.
        offset: u64,
    },
    /// Answer the caller with the answer of a request that another node may hold.
    Relay {
        /// Call to answer.
        call: event::CallId,
        /// Request to answer with.
        request: id::RequestId,
        /// Organisation of the caller, which the request must belong to.
        organisation: String,
        /// Byte offset in the answer from which on to send.
        offset: u64,
        /// Nodes to ask, in this order.
        nodes: Vec<PeerAddress>,
    },
    /// Answer the caller with a plain service's answer.
    AnswerPlain {
        /// Call to answer.
        call: event::CallId,
        /// Id of the answered request.
        request: id::RequestId,
        /// Answer to send.
        answer: event::PlainAnswer,
        /// Whether the answer was recorded for an earlier call with the same key.
        is_replay: bool,
    },
    /// Answer the caller with the list of model services.
    AnswerServices {
        /// Call to answer.
        call: event::CallId,
        /// Entries of the list, in order of name.
        services: Vec<ServiceSummary>,
    },
    /// Create an answer that attempts can write to.
    OpenAnswer(Box<OpenAnswer>),
    /// Finish an answer; nothing is written to it any more.
    FinishAnswer {
        /// Request that the answer belongs to.
        request: id::RequestId,
        /// Finish reason and usage, or the error.
        finish: peer::Finish,
    },
    /// Redirect the readers of an answer to other nodes, because another node continues it.
    MoveAnswer {
        /// Request that the answer belongs to.
        request: id::RequestId,
        /// Nodes to continue reading from, in order of preference.
        nodes: Vec<PeerAddress>,
    },
    /// Discard an answer.
    DropAnswer {
        /// Request that the answer belongs to.
        request: id::RequestId,
    },
    /// Send a request to a model engine.
    StartModel(Box<ModelAttempt>),
    /// Call a plain service.
    StartPlain(Box<PlainAttempt>),
    /// Cancel an attempt.
    Cancel {
        /// Attempt to cancel.
        attempt: id::AttemptId,
    },
    /// Poll the load of these engines until the next action of this kind.
    Watch {
        /// Engines to poll; replaces the previous list.
        endpoints: Vec<WatchedEndpoint>,
    },
    /// Append a record to the log.
    Append {
        /// Number to report the result with in [`event::PlatformEvent::Appended`].
        append: event::AppendId,
        /// Topic to append to.
        topic: event::Topic,
        /// Encoded record.
        record: Vec<u8>,
    },
    /// Read a topic from an offset on, until the next action of this kind for the topic.
    ReadFrom {
        /// Topic to read.
        topic: event::Topic,
        /// Offset of the first record to read.
        offset: id::Offset,
    },
    /// Send a datagram.
    SendDatagram {
        /// Address of the receiver.
        to: SocketAddr,
        /// Datagram to encode and send.
        datagram: Box<peer::Datagram>,
    },
    /// Call `custody_store` of another node.
    SendStore {
        /// Node to call.
        to: PeerAddress,
        /// Number to report the reply with.
        number: custody::CallNumber,
        /// Message to send.
        call: peer::StoreCall,
    },
    /// Call `custody_progress` of another node.
    SendProgress {
        /// Node to call.
        to: PeerAddress,
        /// Number to report the reply with.
        number: custody::CallNumber,
        /// Message to send.
        call: peer::ProgressCall,
    },
    /// Call `release_fetch` of another node.
    FetchRelease {
        /// Node to call.
        to: PeerAddress,
    },
    /// Answer a call from another node or an observer.
    Reply {
        /// Call to answer.
        rpc: event::RpcId,
        /// Reply to send.
        reply: event::Reply,
    },
    /// Write a log line.
    Log {
        /// Severity of the line.
        level: LogLevel,
        /// Kind of the event and details.
        message: String,
    },
    /// Set whether `/readyz` reports that the node takes new requests.
    SetReady(bool),
    /// Close idle connections now, and the others after their current answer.
    CloseIdle,
    /// Exit the process; no work is left.
    Stop,
}

/// Address at which a node takes calls from other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerAddress {
    /// Id of the node.
    pub node: id::NodeId,
    /// TCP address of the node.
    pub address: SocketAddr,
}

/// Entry of `/v1/models`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSummary {
    /// Name of the service.
    pub name: String,
    /// Time at which the release came into force on this node, in seconds since the Unix epoch.
    pub created_s: u64,
}

/// Answer to create.
#[derive(Debug, Clone)]
pub struct OpenAnswer {
    /// Record of the request, with the text so far if it was adopted from another node.
    pub record: peer::RequestRecord,
    /// Id of the request, parsed from the record.
    pub request: id::RequestId,
}

/// Attempt to serve a request at a model engine.
#[derive(Debug, Clone)]
pub struct ModelAttempt {
    /// Number of the attempt.
    pub attempt: id::AttemptId,
    /// Request that the attempt serves.
    pub request: id::RequestId,
    /// Endpoint to send to.
    pub endpoint: id::EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Path of the HTTP request, such as `/v1/chat/completions`.
    pub path: String,
    /// Body as the caller sent it.
    pub body: String,
    /// Name by which the engine knows the model.
    pub model: String,
    /// Priority at the engine; lower values go first.
    pub priority: i32,
    /// Token limit that the engine is sent as `max_tokens`.
    pub max_tokens: u32,
    /// Time without any chunk after which the attempt fails.
    pub idle_timeout: Duration,
    /// Exported KV cache of the text so far; `None` if there is none.
    pub kv_source: Option<KvSource>,
}

/// Exported KV cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvSource {
    /// Address of the engine that exported it.
    pub address: SocketAddr,
    /// Handle by which that engine knows the export.
    pub handle: String,
}

/// Attempt to run a call at a plain service.
#[derive(Debug, Clone)]
pub struct PlainAttempt {
    /// Number of the attempt.
    pub attempt: id::AttemptId,
    /// Request that the attempt serves.
    pub request: id::RequestId,
    /// Endpoint to send to.
    pub endpoint: id::EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// HTTP method in upper case.
    pub method: String,
    /// Path below the service, without leading slash, with the query string if any.
    pub path_and_query: String,
    /// Content type, empty for none.
    pub content_type: String,
    /// Request body.
    pub body: Vec<u8>,
    /// Idempotency key to pass on; `None` if the caller set none.
    pub idempotency_key: Option<String>,
    /// Fencing token of the claim; `None` for calls that need no claim.
    pub fencing_token: Option<id::Offset>,
    /// Limit on the duration of the whole call.
    pub timeout: Duration,
}

/// Engine whose load this node polls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchedEndpoint {
    /// Id of the engine's endpoint.
    pub endpoint: id::EndpointId,
    /// Address of the engine.
    pub address: SocketAddr,
}

/// Severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// Normal operation.
    Info,
    /// Fault that the node compensates.
    Warning,
    /// Fault that affects callers.
    Error,
}

/// Whether a call has run, as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Outcome {
    /// An endpoint answered.
    #[display("answered")]
    Answered,
    /// The call did not run and will not.
    #[display("not_run")]
    NotRun,
    /// The call may have run.
    #[display("in_doubt")]
    InDoubt,
}

/// Error that a call is answered with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of error; determines the HTTP status.
    pub kind: RefusalKind,
    /// Explanation for the caller, one sentence.
    pub detail: String,
    /// Whether the call has run.
    pub outcome: Outcome,
    /// Time after which the caller may send the call again; `None` if that is of no use.
    pub retry_after: Option<Duration>,
    /// Id of the request, if it got one.
    pub request: Option<id::RequestId>,
}

/// Kind of refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum RefusalKind {
    /// The bearer key is unknown.
    #[display("unauthorized")]
    Unauthorized,
    /// The service, request or route does not exist.
    #[display("not-found")]
    NotFound,
    /// The request is invalid.
    #[display("bad-request")]
    BadRequest,
    /// The body exceeds the service's size limit.
    #[display("too-large")]
    TooLarge,
    /// The request was not received in time.
    #[display("timeout")]
    Timeout,
    /// The idempotency key was used for another request.
    #[display("key-reused")]
    KeyReused,
    /// The lifetime of the idempotency key is over.
    #[display("key-expired")]
    KeyExpired,
    /// The call's position in its sequence is taken, passed or not reached yet.
    #[display("out-of-sequence")]
    OutOfSequence,
    /// The organisation has too many requests in progress.
    #[display("too-many-requests")]
    TooManyRequests,
    /// The call cannot be answered in time, or no endpoint accepts it at present.
    #[display("overloaded")]
    Overloaded,
    /// The request crashed endpoints, or is suspected of it.
    #[display("quarantined")]
    Quarantined,
    /// The node is leaving or not ready.
    #[display("unavailable")]
    Unavailable,
    /// It is unknown whether the call has run.
    #[display("in-doubt")]
    InDoubt,
    /// The attempts at endpoints failed.
    #[display("failed")]
    Failed,
}

impl RefusalKind {
    /// Returns the HTTP status that callers get.
    pub fn status(self) -> u16 {
        match self {
            RefusalKind::Unauthorized => 401,
            RefusalKind::NotFound => 404,
            RefusalKind::BadRequest => 400,
            RefusalKind::TooLarge => 413,
            RefusalKind::Timeout => 408,
            RefusalKind::KeyReused => 422,
            RefusalKind::KeyExpired => 410,
            RefusalKind::OutOfSequence => 409,
            RefusalKind::TooManyRequests => 429,
            RefusalKind::Quarantined => 422,
            RefusalKind::Overloaded | RefusalKind::Unavailable => 503,
            RefusalKind::InDoubt => 504,
            RefusalKind::Failed => 502,
        }
    }
}
