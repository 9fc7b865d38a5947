//! The daemon of rhubarbrock: threads that do I/O around the decisions.
//!
//! One thread serves callers, one talks to endpoints, one to the platform, one
//! to other nodes, and one decides. Bounded rings join them.
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
