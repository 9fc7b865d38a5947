//! Callers of whole nodes: what they asked, were told and have read.

use std::collections::BTreeMap;
use std::time::Duration;

use rhubarbrock::{action, id};

/// Number of a caller's request, over all nodes.
pub type CallerId = u64;

/// What a caller wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestSpec {
    /// A model's answer of this many tokens.
    Model {
        /// Body.
        body: String,
        /// Tokens.
        tokens: u32,
    },
    /// A call that must not run twice, with its idempotency key.
    Order {
        /// The key.
        key: String,
    },
}

/// Where a caller is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Stage {
    /// Waits for a verdict of a node's process.
    AwaitingDecision {
        /// Node.
        slot: usize,
        /// The node's process.
        process: u64,
    },
    /// Reads at a node's process.
    Reading {
        /// Node.
        slot: usize,
        /// The node's process.
        process: u64,
    },
    /// Lost its node and looks for the answer.
    Searching {
        /// When it asks next.
        retry_at: Duration,
    },
    /// Has what there is.
    Done,
}

/// One caller.
#[derive(Debug, Clone)]
pub struct Caller {
    /// What it wants.
    pub spec: RequestSpec,
    /// Where it is.
    pub stage: Stage,
    /// The request, once accepted.
    pub request: Option<id::RequestId>,
    /// Text read so far.
    pub text: String,
    /// When it asked.
    pub requested_at: Duration,
    /// When its answer was complete.
    pub finished_at: Option<Duration>,
    /// What it was told instead of an answer.
    pub refusal: Option<action::Refusal>,
    /// Whether an order was answered.
    pub is_order_answered: bool,
}

/// All callers.
#[derive(Debug, Clone, Default)]
pub struct Callers {
    /// By number.
    pub by_id: BTreeMap<CallerId, Caller>,
}

impl Callers {
    /// A new caller that asks a node now.
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

    /// Callers at a node's process that is gone.
    pub fn on_process_lost(&mut self, now: Duration, slot: usize, process: u64) {
        for caller in self.by_id.values_mut() {
            match caller.stage {
                Stage::AwaitingDecision { slot: at, process: of }
                    if (at, of) == (slot, process) =>
                {
                    // Never accepted as far as it knows; nothing is promised to it.
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
