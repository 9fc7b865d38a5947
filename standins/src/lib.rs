//! Small stand-ins for the systems outside rhubarbrock: the platform, model engines and a
//! plain service. They speak `docs/design/interfaces.md`.
//!
//! [`engine`] is a pure model of one engine that also serves without sockets, under a
//! virtual clock.

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
