//! Simulations of the systems around rhubarbrock for tests: the platform, model engines and a
//! plain service. They implement the interfaces in `docs/design/interfaces.md` over HTTP, with
//! faults that can be changed while they run.
//!
//! [`engine`] models an engine without I/O or a clock, and can be used alone under a virtual
//! clock.

pub mod api;
pub mod cache;
pub mod desk;
pub mod engine;
pub mod engines;
pub mod fleet;
pub mod http;
pub mod log;
pub mod platform;
pub mod registration;
pub mod replica;
pub mod text;
