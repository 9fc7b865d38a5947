//! Deterministic simulation tests of the decision code.
//!
//! A simulation runs a few nodes against fake services in simulated time. A
//! seeded random generator draws the calls and the faults (lost answers, paused
//! or killed nodes, outages, and combinations of them), and invariants are
//! checked at every step. The tests run a few fixed seeds, `bench soak` runs
//! many. A [`Violation`] names the seed that reproduces it.

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

/// An invariant that did not hold.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("seed {seed}, event {event}: {description}")]
pub struct Violation {
    /// Seed that reproduces the run.
    pub seed: u64,
    /// Number of the event, or of the simulation step, at which the check failed.
    pub event: u64,
    /// The invariant that failed and the values involved.
    pub description: String,
}
