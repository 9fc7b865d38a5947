//! What the decisions ask the threads that do I/O to do.

use std::net::SocketAddr;
use std::time::Duration;

use rhubarbrock_schema::peer;

use crate::{custody, event, id};

/// One thing to do. Actions are carried out in order.
#[derive(Debug, Clone)]
pub enum Action {
    /// Tell the caller that its call was not accepted or did not work out.
    Refuse {
        /// The call.
        call: event::CallId,
        /// Why.
        refusal: Refusal,
    },
    /// Give the caller the answer of a request held here, from a byte offset on.
    Attach {
        /// The call.
        call: event::CallId,
        /// The request.
        request: id::RequestId,
        /// Byte offset.
        offset: u64,
    },
    /// Give the caller the answer of a request that another node may hold.
    Relay {
        /// The call.
        call: event::CallId,
        /// The request.
        request: id::RequestId,
        /// Organisation of the caller.
        organisation: String,
        /// Byte offset.
        offset: u64,
        /// Nodes to ask, in order.
        nodes: Vec<PeerAddress>,
    },
    /// Give the caller a plain service's answer.
    AnswerPlain {
        /// The call.
        call: event::CallId,
        /// The request.
        request: id::RequestId,
        /// The answer.
        answer: event::PlainAnswer,
        /// Whether it was recorded for an earlier call with the same key.
        is_replay: bool,
    },
    /// Give the caller the names of its services.
    AnswerServices {
        /// The call.
        call: event::CallId,
        /// The services.
        services: Vec<ServiceSummary>,
    },
    /// Make an answer that attempts can write to.
    OpenAnswer(Box<OpenAnswer>),
    /// End an answer.
    FinishAnswer {
        /// The request.
        request: id::RequestId,
        /// The end.
        finish: peer::Finish,
    },
    /// Another node goes on with an answer; whoever reads it here reads on there.
    MoveAnswer {
        /// The request.
        request: id::RequestId,
        /// Nodes to read on from, in order.
        nodes: Vec<PeerAddress>,
    },
    /// Forget an answer.
    DropAnswer {
        /// The request.
        request: id::RequestId,
    },
    /// Send a request to a model engine.
    StartModel(Box<ModelAttempt>),
    /// Call a plain service.
    StartPlain(Box<PlainAttempt>),
    /// Cancel an attempt.
    Cancel {
        /// The attempt.
        attempt: id::AttemptId,
    },
    /// Ask these engines for their load, again and again, until the next such action.
    Watch {
        /// The engines.
        endpoints: Vec<WatchedEndpoint>,
    },
    /// Append to the log.
    Append {
        /// To name it in [`event::PlatformEvent::Appended`].
        append: event::AppendId,
        /// Topic.
        topic: event::Topic,
        /// Record.
        record: Vec<u8>,
    },
    /// Read a topic from this offset on (until the next such action).
    ReadFrom {
        /// Topic.
        topic: event::Topic,
        /// Offset.
        offset: id::Offset,
    },
    /// Send a datagram.
    SendDatagram {
        /// Receiver.
        to: SocketAddr,
        /// Datagram.
        datagram: Box<peer::Datagram>,
    },
    /// Call `custody_store`.
    SendStore {
        /// Receiver.
        to: PeerAddress,
        /// Number of the call.
        number: custody::CallNumber,
        /// Call.
        call: peer::StoreCall,
    },
    /// Call `custody_progress`.
    SendProgress {
        /// Receiver.
        to: PeerAddress,
        /// Number of the call.
        number: custody::CallNumber,
        /// Call.
        call: peer::ProgressCall,
    },
    /// Call `release_fetch`.
    FetchRelease {
        /// Receiver.
        to: PeerAddress,
    },
    /// Answer a call from another node or an observer.
    Reply {
        /// The call.
        rpc: event::RpcId,
        /// The answer.
        reply: event::Reply,
    },
    /// Log a change of state.
    Log {
        /// How grave it is.
        level: LogLevel,
        /// What changed.
        message: String,
    },
    /// Say on `/readyz` whether the node takes new requests.
    SetReady(bool),
    /// Close connections that have nothing in progress; open ones end after their answer.
    CloseIdle,
    /// End the process; nothing is left to do.
    Stop,
}

/// Where a node takes calls from other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerAddress {
    /// The node.
    pub node: id::NodeId,
    /// Its address.
    pub address: SocketAddr,
}

/// A service as `/v1/models` shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSummary {
    /// Name.
    pub name: String,
    /// Wall-clock second at which its release came into force here.
    pub created_s: u64,
}

/// An answer to be made.
#[derive(Debug, Clone)]
pub struct OpenAnswer {
    /// The request as accepted, with the text so far where it was adopted.
    pub record: peer::RequestRecord,
    /// The request's id.
    pub request: id::RequestId,
}

/// A request to a model engine.
#[derive(Debug, Clone)]
pub struct ModelAttempt {
    /// Attempt.
    pub attempt: id::AttemptId,
    /// Request.
    pub request: id::RequestId,
    /// Endpoint.
    pub endpoint: id::EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// Path, such as `/v1/chat/completions`.
    pub path: String,
    /// Body as the caller sent it.
    pub body: String,
    /// Name of the model at the engine.
    pub model: String,
    /// Priority, lower first.
    pub priority: i32,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Longest time without any chunk before the engine counts as broken.
    pub idle_timeout: Duration,
    /// Where a KV cache of the text so far was exported.
    pub kv_source: Option<KvSource>,
}

/// An exported KV cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvSource {
    /// Engine that exported it.
    pub address: SocketAddr,
    /// Handle.
    pub handle: String,
}

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct PlainAttempt {
    /// Attempt.
    pub attempt: id::AttemptId,
    /// Request.
    pub request: id::RequestId,
    /// Endpoint.
    pub endpoint: id::EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path_and_query: String,
    /// Content type, empty for none.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
    /// Caller's idempotency key, if any.
    pub idempotency_key: Option<String>,
    /// Fencing number, if claimed.
    pub fencing_token: Option<id::Offset>,
    /// Longest time for the whole call.
    pub timeout: Duration,
}

/// An engine whose load this node watches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchedEndpoint {
    /// Endpoint.
    pub endpoint: id::EndpointId,
    /// Its address.
    pub address: SocketAddr,
}

/// How grave a logged change is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// Part of normal life.
    Info,
    /// Trouble that the node works around.
    Warning,
    /// Trouble that callers feel.
    Error,
}

/// What a caller is told about the run of its call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Outcome {
    /// An endpoint answered.
    #[display("answered")]
    Answered,
    /// It did not run and will not.
    #[display("not_run")]
    NotRun,
    /// It may have run.
    #[display("in_doubt")]
    InDoubt,
}

/// Why a call has no answer of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Kind.
    pub kind: RefusalKind,
    /// For the caller, one sentence.
    pub detail: String,
    /// What is true of the call's run.
    pub outcome: Outcome,
    /// Time after which it is worth sending again.
    pub retry_after: Option<Duration>,
    /// Request, where one was accepted.
    pub request: Option<id::RequestId>,
}

/// Kinds of refusal, each with its own HTTP status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum RefusalKind {
    /// The bearer key is unknown.
    #[display("unauthorized")]
    Unauthorized,
    /// No such service, request or route.
    #[display("not-found")]
    NotFound,
    /// The request itself is at fault.
    #[display("bad-request")]
    BadRequest,
    /// The body is too large.
    #[display("too-large")]
    TooLarge,
    /// The request did not come in time.
    #[display("timeout")]
    Timeout,
    /// The same idempotency key came with another request.
    #[display("key-reused")]
    KeyReused,
    /// The idempotency key is past its life.
    #[display("key-expired")]
    KeyExpired,
    /// Its turn in the sequence has not come.
    #[display("out-of-sequence")]
    OutOfSequence,
    /// The organisation has too many requests in progress.
    #[display("too-many-requests")]
    TooManyRequests,
    /// It cannot be answered in time, or no endpoint takes it now.
    #[display("overloaded")]
    Overloaded,
    /// The request crashed endpoints before.
    #[display("quarantined")]
    Quarantined,
    /// The node leaves or is not ready.
    #[display("unavailable")]
    Unavailable,
    /// The call may have run, and nobody can tell.
    #[display("in-doubt")]
    InDoubt,
    /// Endpoints failed it.
    #[display("failed")]
    Failed,
}

impl RefusalKind {
    /// The HTTP status that goes with it.
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
