//! The gateway: forwards callers' HTTP requests to endpoints unchanged.
//!
//! The decisions are those of [`forwarding`], the platform's wire is that of
//! [`platform`]; this crate does the I/O between them. One thread runs all of
//! it, as instances have a fraction of one core and each wake-up costs; log
//! lines are written by a second one.
//!
//! ```
//! use gateway::clock::BootClock;
//! use rhubarbrock::clock::Clock;
//!
//! let clock = BootClock;
//! assert!(clock.now() <= clock.now());
//! ```

pub mod clock;
mod context;
mod duties;
mod exchange;
mod frontend;
mod gossip;
mod handover;
mod logger;
mod monitoring;
mod pool;
mod relay;
pub mod run;
mod server;
mod shutdown;
mod store_watch;
