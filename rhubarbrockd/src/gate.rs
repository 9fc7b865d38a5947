//! The callers' side of the way to the decision thread and back.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use rhubarbrock::{action, event, id};

use crate::{answer, pending, problem, ring};

/// What the decisions say to a caller's call.
#[derive(Debug)]
pub enum Verdict {
    /// Not accepted or not worked out.
    Refuse(action::Refusal),
    /// Read this answer from a byte offset on.
    Attach(Arc<answer::Answer>, u64),
    /// Ask other nodes for the answer.
    Relay(Relay),
    /// A plain service answered.
    Plain(PlainVerdict),
    /// The services.
    Services(Vec<action::ServiceSummary>),
}

/// A request that another node may hold.
#[derive(Debug)]
pub struct Relay {
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
pub struct PlainVerdict {
    /// The request.
    pub request: id::RequestId,
    /// The answer.
    pub answer: event::PlainAnswer,
    /// Whether it was recorded for an earlier call with the same key.
    pub repeated: bool,
}

/// Calls that wait for a verdict, and the ring to the decision thread.
#[derive(Debug)]
pub struct Gate {
    node: id::NodeId,
    events: ring::Sender<event::Event>,
    pending: pending::Pending<Verdict>,
    ready: AtomicBool,
    closing: AtomicBool,
}

impl Gate {
    /// A gate of `node` that puts events into `events`.
    pub fn new(node: id::NodeId, events: ring::Sender<event::Event>) -> Gate {
        Gate {
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
    /// `event` makes the event from the call's number. Where the decision
    /// thread is too far behind, the call is refused before it is accepted.
    pub async fn ask(
        self: &Arc<Gate>,
        event: impl FnOnce(event::CallId) -> event::CallerEvent,
    ) -> Verdict {
        let (call, receiver) = self.pending.open();
        let _waiting = Waiting { gate: Arc::clone(self), call };
        if self.events.push(event::Event::Caller(event(call))).is_err() {
            self.pending.close(call);
            metrics::counter!("rhubarbrock_ring_full_total").increment(1);
            return Verdict::Refuse(problem::not_run(
                action::RefusalKind::Overloaded,
                "this node is too busy to decide on the request",
            ));
        }
        match receiver.await {
            Ok(verdict) => verdict,
            Err(_) => Verdict::Refuse(action::Refusal {
                kind: action::RefusalKind::Unavailable,
                detail: "this node stopped before it decided on the request".to_owned(),
                outcome: action::Outcome::InDoubt,
                retry_after: None,
                request: None,
            }),
        }
    }

    /// Gives a verdict to the call that waits for it; a call that went away is passed over.
    pub fn answer(&self, call: event::CallId, verdict: Verdict) {
        self.pending.answer(call, verdict);
    }

    /// Tells the decisions that the caller has taken all of an answer.
    pub fn taken(&self, request: id::RequestId) {
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
    pub fn close(&self) {
        self.closing.store(true, Ordering::Release);
    }
}

/// Tells the decisions of a caller that goes away while it waits.
struct Waiting {
    gate: Arc<Gate>,
    call: event::CallId,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.gate.pending.close(self.call) {
            let gone = event::Event::Caller(event::CallerEvent::Disconnected { call: self.call });
            let _ = self.gate.events.push(gone);
        }
    }
}
