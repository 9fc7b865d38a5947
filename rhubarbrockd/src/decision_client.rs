//! The callers' side of the way to the decision thread and back.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use rhubarbrock::{action, event, id};

use crate::{answer, pending, problem, ring};

/// What the decisions say to a caller's call.
#[derive(Debug)]
pub enum Decision {
    /// Not accepted or not worked out.
    Refuse(action::Refusal),
    /// Read this answer from a byte offset on.
    Attach(Arc<answer::Answer>, u64),
    /// Ask other nodes for the answer.
    Relay(RelayTarget),
    /// A plain service answered.
    Plain(AnsweredCall),
    /// The services.
    Services(Vec<action::ServiceSummary>),
}

/// A request that another node may hold.
#[derive(Debug)]
pub struct RelayTarget {
    /// The request.
    pub request: id::RequestId,
    /// Organisation that asks.
    pub organisation: String,
    /// Byte offset from which text is wanted.
    pub offset: u64,
    /// Nodes to ask, in order.
    pub nodes: Vec<action::PeerAddress>,
}

/// A plain service's answer.
#[derive(Debug)]
pub struct AnsweredCall {
    /// The request.
    pub request: id::RequestId,
    /// The answer.
    pub answer: event::PlainAnswer,
    /// Whether it was recorded for an earlier call with the same key.
    pub is_replay: bool,
}

/// Calls that wait for a verdict, and the ring to the decision thread.
#[derive(Debug)]
pub struct DecisionClient {
    node: id::NodeId,
    events: ring::Sender<event::Event>,
    pending: pending::Pending<Decision>,
    ready: AtomicBool,
    closing: AtomicBool,
}

impl DecisionClient {
    /// A gate of `node` that puts events into `events`.
    pub fn new(node: id::NodeId, events: ring::Sender<event::Event>) -> DecisionClient {
        DecisionClient {
            node,
            events,
            pending: pending::Pending::default(),
            ready: AtomicBool::new(false),
            closing: AtomicBool::new(false),
        }
    }

    /// An id for a request that arrives now.
    pub fn new_request(&self) -> id::RequestId {
        id::RequestId { holder: self.node, secret: rand::random() }
    }

    /// Puts a call to the decisions and waits for the verdict.
    ///
    /// `make_event` makes the event from the call's number. Where the decision
    /// thread is too far behind, the call is refused before it is accepted.
    pub async fn decide(
        self: &Arc<DecisionClient>,
        make_event: impl FnOnce(event::CallId) -> event::CallerEvent,
    ) -> Decision {
        let (call, receiver) = self.pending.register();
        let _guard = DisconnectGuard { decision_client: Arc::clone(self), call };
        if self.events.push(event::Event::Caller(make_event(call))).is_err() {
            self.pending.cancel(call);
            metrics::counter!("rhubarbrock_ring_full_total").increment(1);
            return Decision::Refuse(problem::not_run(
                action::RefusalKind::Overloaded,
                "this node is too busy to decide on the request",
            ));
        }
        match receiver.await {
            Ok(decision) => decision,
            Err(_) => Decision::Refuse(action::Refusal {
                kind: action::RefusalKind::Unavailable,
                detail: "this node stopped before it decided on the request".to_owned(),
                outcome: action::Outcome::InDoubt,
                retry_after: None,
                request: None,
            }),
        }
    }

    /// Gives a verdict to the call that waits for it; a call that went away is passed over.
    pub fn resolve(&self, call: event::CallId, decision: Decision) {
        self.pending.resolve(call, decision);
    }

    /// Tells the decisions that the caller has taken all of an answer.
    pub fn report_delivered(&self, request: id::RequestId) {
        // A lost hint costs only memory until the answer's life ends.
        let _ =
            self.events.push(event::Event::Caller(event::CallerEvent::AnswerDelivered { request }));
    }

    /// Whether the node takes new requests.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Sets whether the node takes new requests.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// Whether connections end after their next answer.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    /// Makes connections end after their next answer.
    pub fn close_connections(&self) {
        self.closing.store(true, Ordering::Release);
    }
}

/// Tells the decisions of a caller that goes away while it waits.
struct DisconnectGuard {
    decision_client: Arc<DecisionClient>,
    call: event::CallId,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if self.decision_client.pending.cancel(self.call) {
            let disconnected =
                event::Event::Caller(event::CallerEvent::Disconnected { call: self.call });
            let _ = self.decision_client.events.push(disconnected);
        }
    }
}
