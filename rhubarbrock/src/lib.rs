//! Decisions of rhubarbrock, without I/O.
//!
//! Each module holds one matter as a state that takes events and the time and
//! gives back what to do. Nothing here opens a socket, reads a clock or starts
//! a thread, so the same code runs in the daemon, under replay and in
//! randomised tests.
//!
//! ```
//! use rhubarbrock::id;
//!
//! let text = "r00000000000000010000000000000000000000000000002a";
//! let request: id::RequestId = text.parse().unwrap();
//! assert_eq!(request.holder, 1);
//! assert_eq!(request.to_string(), text);
//! ```

pub mod admission;
pub mod broadcast;
pub mod cache;
mod choice;
pub mod claim;
pub mod claim_batch;
pub(crate) mod claim_call;
pub(crate) mod claim_config;
pub(crate) mod claim_record;
pub(crate) mod claim_table;
pub mod clock;
mod contacts;
pub mod defaults;
pub mod digest;
pub mod dispatch;
pub mod endpoint;
pub mod fairness;
pub mod health;
pub mod id;
pub mod limit;
pub mod member_table;
pub mod membership;
pub mod note;
mod note_fields;
mod probe;
pub mod prompt;
pub mod publisher;
pub mod rates;
pub mod release;
pub mod rendezvous;
pub mod routing;
pub mod snapshot;
pub mod suspicion;
pub mod validation;
mod view;
pub mod watch;
