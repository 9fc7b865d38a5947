//! Sends the calls of callers to the decision thread and waits for its decisions.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use rhubarbrock::{action, event, id};

use crate::{answer, pending, problem, ring};

/// Decision on the call of a caller.
#[derive(Debug)]
pub enum Decision {
    /// Refuse the call, or report that it failed.
    Refuse(action::Refusal),
    /// Send this answer, starting at a byte offset.
    Attach(Arc<answer::Answer>, u64),
    /// Fetch the answer from other nodes.
    Relay(RelayTarget),
    /// Send the answer of a plain service.
    Plain(AnsweredCall),
    /// Send the list of model services.
    Services(Vec<action::ServiceSummary>),
}

/// Request whose answer another node may have.
#[derive(Debug)]
pub struct RelayTarget {
    /// Request to look up.
    pub request: id::RequestId,
    /// Organisation of the caller.
    pub organisation: String,
    /// Byte offset of the first text to send.
    pub offset: u64,
    /// Nodes to query, in this order.
    pub nodes: Vec<action::PeerAddress>,
}

/// Call that a plain service answered.
#[derive(Debug)]
pub struct AnsweredCall {
    /// Id of the call; sent as `x-request-id`.
    pub request: id::RequestId,
    /// Answer of the service.
    pub answer: event::PlainAnswer,
    /// Whether the answer was recorded for an earlier call with the same idempotency key.
    pub is_replay: bool,
}

/// Ring to the decision thread, the calls that wait for a decision and the node's readiness.
#[derive(Debug)]
pub struct DecisionClient {
    node: id::NodeId,
    events: ring::Sender<event::Event>,
    pending: pending::Pending<Decision>,
    is_ready: AtomicBool,
    is_closing: AtomicBool,
}

impl DecisionClient {
    /// Creates a client for `node`, whose decision thread reads `events`.
    pub fn new(node: id::NodeId, events: ring::Sender<event::Event>) -> DecisionClient {
        DecisionClient {
            node,
            events,
            pending: pending::Pending::default(),
            is_ready: AtomicBool::new(false),
            is_closing: AtomicBool::new(false),
        }
    }

    /// Generates an id for a new request.
    pub fn new_request(&self) -> id::RequestId {
        id::RequestId { holder: self.node, secret: rand::random() }
    }

    /// Sends a call to the decision thread and waits for the decision.
    ///
    /// `make_event` builds the event for a call id. If the ring is full, the call is refused
    /// without being sent. Dropping the future reports that the caller has disconnected.
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

    /// Passes a decision to the waiting call; ignored if the caller has disconnected.
    pub fn resolve(&self, call: event::CallId, decision: Decision) {
        self.pending.resolve(call, decision);
    }

    /// Reports that the caller has received the whole answer.
    pub fn report_delivered(&self, request: id::RequestId) {
        // If the event is lost, the answer stays in memory until its lifetime ends.
        let _ =
            self.events.push(event::Event::Caller(event::CallerEvent::AnswerDelivered { request }));
    }

    /// Whether the node accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Acquire)
    }

    /// Sets whether the node accepts new requests.
    pub fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Release);
    }

    /// Whether connections close after their next response.
    pub fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Acquire)
    }

    /// Makes connections close after their next response.
    pub fn close_connections(&self) {
        self.is_closing.store(true, Ordering::Release);
    }
}

/// Reports, when dropped, that the caller disconnected before it got a decision.
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
