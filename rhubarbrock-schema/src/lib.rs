//! Messages and settings of rhubarbrock, generated from the files in `proto/`.
//!
//! The generated code in `src/generated` is committed; run `cargo run -p schema-gen` after a
//! change of the schema.
//!
//! ```
//! use rhubarbrock_schema::release;
//!
//! let policy = release::Policy { retry_percent: 10, ..Default::default() };
//! assert_eq!(policy.objective(), release::Objective::Unspecified);
//! ```

pub mod words;

/// Release notes and releases.
#[allow(missing_docs)]
#[rustfmt::skip]
#[path = "generated/release.rs"]
pub mod release;

/// Records of the platform's log.
#[allow(missing_docs)]
#[rustfmt::skip]
#[path = "generated/log.rs"]
pub mod log;

/// Messages between nodes.
#[allow(missing_docs)]
#[rustfmt::skip]
#[path = "generated/peer.rs"]
pub mod peer;

/// Timeline and status of nodes.
#[allow(missing_docs)]
#[rustfmt::skip]
#[path = "generated/observe.rs"]
pub mod observe;

/// Settings of the daemon.
#[allow(missing_docs)]
#[rustfmt::skip]
#[path = "generated/settings.rs"]
pub mod settings;

/// Datagrams that gateways send each other.
#[allow(missing_docs)]
#[rustfmt::skip]
#[path = "generated/gossip.rs"]
pub mod gossip;
