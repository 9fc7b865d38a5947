//! The rhubarbrock daemon: the threads that do the I/O of a node.
//!
//! Separate threads serve callers, talk to endpoints, to the platform and to
//! other nodes, and run the state machine of [`rhubarbrock::node`] (the
//! decision thread). They exchange events and commands through bounded rings.
//!
//! ```
//! use rhubarbrockd::settings;
//!
//! let arguments = ["--name", "n1"].map(String::from);
//! let faults = settings::load(&arguments, std::iter::empty()).unwrap_err();
//! assert!(!faults.0.is_empty());
//! ```

pub mod answer;
pub mod callers;
pub mod daemon;
pub mod decision_client;
pub mod decision_thread;
pub mod endpoints;
pub mod engine;
pub mod event_stream;
pub mod handlers;
pub mod http_client;
pub mod logger;
pub mod monitoring;
pub mod openai;
pub mod peer_api;
pub mod peer_client;
pub mod peer_key;
pub mod peers;
pub mod pending;
pub mod platform;
pub mod problem;
pub mod reader;
pub mod relay;
pub mod ring;
pub mod settings;
pub mod streaming;
pub mod tls;

mod body;
