//! Decision logic of rhubarbrock, without I/O.
//!
//! Each module is a state machine: it takes events and the current time and
//! returns the actions to perform. Nothing here opens a socket, reads a clock
//! or starts a thread, so the daemon, replays and randomised tests run the same
//! code.
//!
//! ```
//! use rhubarbrock::id;
//!
//! let text = "r00000000000000010000000000000000000000000000002a";
//! let request: id::RequestId = text.parse().unwrap();
//! assert_eq!(request.holder, 1);
//! assert_eq!(request.to_string(), text);
//! ```

pub mod action;
pub mod admission;
pub mod answer;
mod answer_cache;
pub mod backoff;
pub mod broadcast;
pub mod cache;
pub mod capacity;
mod choice;
pub mod claim;
pub mod claim_batch;
mod claim_call;
mod claim_config;
mod claim_record;
mod claim_table;
pub mod clock;
mod contacts;
pub mod counter;
pub mod custody;
mod custody_custodian;
mod custody_holder;
mod custody_progress;
pub mod defaults;
pub mod digest;
pub mod dispatch;
pub mod drain;
pub mod endpoint;
pub mod event;
pub mod fairness;
pub mod forecast;
mod hand_over;
pub mod health;
pub mod id;
pub mod lease;
pub mod limit;
pub mod member_table;
pub mod membership;
mod membership_config;
mod membership_datagram;
pub mod node;
mod node_custody;
mod node_drain;
mod node_model;
mod node_peer;
mod node_plain;
mod node_platform;
mod node_quarantine;
mod node_status;
pub mod note;
mod note_fields;
pub mod placement;
mod probe;
pub mod prompt;
pub mod publisher;
pub mod quarantine;
pub mod rates;
pub mod release;
pub mod rendezvous;
pub mod retry;
pub mod route;
pub mod routing;
pub mod sizing;
pub mod slots;
pub mod snapshot;
pub mod suspicion;
pub mod timeline;
pub mod validation;
mod view;
pub mod watch;
