//! Gateway process that forwards callers' HTTP requests to endpoints.
//!
//! This crate does the I/O. Decisions are made by [`forwarding`], and formats
//! of the platform are encoded and decoded by [`platform`]. All tasks run on
//! one thread, because instances have a fraction of a core and each wake-up
//! costs time. A second thread writes log lines.
//!
//! ```
//! use gateway::clock::BootClock;
//! use rhubarbrock::clock::Clock;
//!
//! let clock = BootClock;
//! assert!(clock.now() <= clock.now());
//! ```

mod answer_buffer;
mod caller_limits;
pub mod clock;
mod context;
mod duties;
mod exchange;
mod frontend;
mod give_up;
mod gossip;
mod handover;
mod logger;
mod monitoring;
mod open_requests;
mod pool;
mod relay;
mod release_record;
mod reporter;
mod request_body;
mod residency_watch;
mod rollouts;
pub mod run;
mod server;
mod shutdown;
mod store_watch;
