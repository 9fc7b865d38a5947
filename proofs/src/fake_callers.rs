//! Simulated callers: their requests, the answers they have read, and refusals.

use std::collections::BTreeMap;
use std::time::Duration;

use rhubarbrock::{action, id};

/// Number of a caller, counted from 1 over all nodes. Each caller sends one request.
pub type CallerId = u64;

/// Request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestSpec {
    /// Completion by a model.
    Model {
        /// Body of the request.
        body: String,
        /// Length of the answer in tokens.
        tokens: u32,
    },
    /// Plain call that must run at most once.
    Order {
        /// Idempotency key.
        key: String,
    },
}

/// Progress of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Stage {
    /// Has sent its request and waits for the node to accept or refuse it.
    AwaitingDecision {
        /// Slot of the node.
        slot: usize,
        /// Id of the node's process.
        process: u64,
    },
    /// Reads its answer from a node.
    Reading {
        /// Slot of the node.
        slot: usize,
        /// Id of the node's process.
        process: u64,
    },
    /// Has lost its node and looks for the answer at the others.
    Searching {
        /// Earliest simulated time of the next search.
        retry_at: Duration,
    },
    /// Has its whole answer, was refused, or lost its node before acceptance.
    Done,
}

/// State of one caller.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Request that it sends.
    pub spec: RequestSpec,
    /// Current stage.
    pub stage: Stage,
    /// Id of the request, once a node has accepted it.
    pub request: Option<id::RequestId>,
    /// Text of the answer read so far.
    pub text: String,
    /// Simulated time at which the request was sent.
    pub requested_at: Duration,
    /// Simulated time at which the answer ended.
    pub finished_at: Option<Duration>,
    /// Refusal received in place of an answer.
    pub refusal: Option<action::Refusal>,
    /// Whether an order was answered; false for model requests.
    pub is_order_answered: bool,
}

/// All callers of one simulation.
#[derive(Debug, Clone, Default)]
pub struct Callers {
    /// Callers by number.
    pub by_id: BTreeMap<CallerId, Caller>,
}

impl Callers {
    /// Adds a caller that sends its request to a node at `now`.
    pub fn add(&mut self, now: Duration, spec: RequestSpec, slot: usize, process: u64) -> CallerId {
        let id = self.by_id.len() as CallerId + 1;
        let caller = Caller {
            spec,
            stage: Stage::AwaitingDecision { slot, process },
            request: None,
            text: String::new(),
            requested_at: now,
            finished_at: None,
            refusal: None,
            is_order_answered: false,
        };
        self.by_id.insert(id, caller);
        id
    }

    /// Updates the callers of a node process that has ended: those with an accepted request search
    /// for their answer elsewhere.
    pub fn on_process_lost(&mut self, now: Duration, slot: usize, process: u64) {
        for caller in self.by_id.values_mut() {
            match caller.stage {
                Stage::AwaitingDecision { slot: at, process: of }
                    if (at, of) == (slot, process) =>
                {
                    // The caller has no acceptance, so no answer is guaranteed.
                    caller.stage = Stage::Done;
                }
                Stage::Reading { slot: at, process: of } if (at, of) == (slot, process) => {
                    caller.stage = Stage::Searching { retry_at: now };
                }
                _ => {}
            }
        }
    }
}
