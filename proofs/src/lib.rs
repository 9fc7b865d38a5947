//! Randomised worlds: the decisions of a few nodes over small fakes.
//!
//! A world takes a seed and a number of events, draws what happens next (a call,
//! a lost answer, a paused or killed node, an outage, any of them together) and
//! checks its invariants at every step. The tests run a few fixed seeds, `bench
//! soak` runs many. A broken invariant names the seed that replays it.

pub mod claim_log;
pub mod claim_service;
pub mod claim_simulation;
pub mod fake_callers;
pub mod fake_engine;
pub mod fake_node;
pub mod fake_topics;
pub mod node_setup;
pub mod node_simulation;
pub mod poison_simulation;

mod node_callers;
mod node_faults;
mod node_io;

use derive_more::{Display, Error};

/// A broken invariant.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("seed {seed}, event {event}: {description}")]
pub struct Violation {
    /// Seed that replays it.
    pub seed: u64,
    /// Event at which it was seen.
    pub event: u64,
    /// What was broken.
    pub description: String,
}
