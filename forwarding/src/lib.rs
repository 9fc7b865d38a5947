//! Decisions of a gateway that forwards unchanged HTTP requests to endpoints.
//!
//! A gateway finds the route of a request, checks the caller's key and quota,
//! selects an endpoint, and decides after each failure whether the request may
//! be sent again. The gateways share quotas and retry budgets. Duties such as
//! usage reports and replica orders are performed by one gateway at a time, the
//! holder of a lease. This crate does no I/O and reads no clock; the caller
//! passes in the time.
//!
//! ```
//! use forwarding::event_stream::Splitter;
//!
//! let mut splitter = Splitter::default();
//! splitter.push(b"id: 1\ndata: a\n\nid: 2\n");
//! let event = splitter.next().unwrap().unwrap();
//! assert_eq!(event.id, Some(1));
//! assert!(splitter.next().unwrap().is_none());
//! ```

pub mod answer_memory;
pub mod arrivals;
pub mod caller_connections;
pub mod catch_up;
mod departures;
pub mod dispatcher;
pub mod endpoints;
pub mod event_stream;
pub mod lease;
pub mod peers;
pub mod prompt_speed;
pub mod prompt_suspects;
pub mod quota;
pub mod refusal;
mod refusals;
pub mod release;
pub mod report_schedule;
pub mod request;
mod requested_waits;
pub mod residency;
pub mod retry_budget;
pub mod rollout;
pub mod scaling;
pub mod selection;
pub mod settings;
pub mod store_role;
pub mod suspects;
pub mod urgency;
pub mod usage;
