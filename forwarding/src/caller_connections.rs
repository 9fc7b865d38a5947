//! Connections of callers, and the memory that a gateway holds for them.
//!
//! Some callers send more, or leave more unread, than an instance can hold. Connections without an
//! open request yield to new ones, those unused for longest first. Bodies that are still read, and
//! answers that are still written, yield to others when memory runs out: those of the organisation
//! that holds most, and of these the ones that hold most and have moved least. A request that may
//! run never yields.
//!
//! ```
//! use std::time::Duration;
//! use forwarding::caller_connections::{CallerConnections, Stage};
//!
//! let mut connections = CallerConnections::new(64_000_000, 4_096);
//! connections.open(Duration::ZERO, 1);
//! connections.set_stage(Duration::ZERO, 1, Stage::ReadingBody);
//! assert!(connections.hold(Duration::ZERO, 1, 4_000_000).is_enough);
//! ```

use std::collections::HashMap;
use std::time::Duration;

/// Descriptors that the platform reserves for files.
const FILE_FDS: usize = 200;

/// Share of the other descriptors for callers' connections, in eighths. As many go to endpoints that
/// run their requests; the others are for idle connections to endpoints, the store, other gateways
/// and monitoring.
const CALLER_EIGHTHS: usize = 3;

/// Part of the instance's memory for buffers of connections, as a divisor.
const BUFFER_MEMORY_DIVISOR: u64 = 8;

/// Memory of a connection's buffers, in bytes.
const BUFFER_BYTES: u64 = 16 * 1024;

/// Part of the instance's memory for bodies and answers, as a divisor.
const HELD_MEMORY_DIVISOR: u64 = 4;

/// Added to the time without progress, so that the length counts among those that have just moved.
const PROGRESS_TIME: Duration = Duration::from_millis(50);

/// Time after which the caller of a refused request may retry.
pub const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Number of a connection, unique in the process.
pub type ConnectionId = u64;

/// What happens on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// No request is open; a head may be incomplete.
    Waiting,
    /// A body is being read.
    ReadingBody,
    /// A request may run, or its stream is passed on.
    Running,
    /// A complete answer is being written.
    Answering,
    /// Its body or answer has yielded, and it is about to be closed.
    Yielding,
}

/// Whether there is memory for a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    /// Whether the body may hold what it asked for.
    pub is_enough: bool,
    /// Connections that yield to it.
    pub yielding: Vec<Yielding>,
}

/// A connection that yields.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Yielding {
    /// Number of the connection.
    pub id: ConnectionId,
    /// What happened on it.
    pub stage: Stage,
    /// Bytes that it held.
    pub held_bytes: usize,
}

#[derive(Debug)]
struct Connection {
    stage: Stage,
    organisation: String,
    held_bytes: usize,
    moved_at: Duration,
}

impl Connection {
    fn yields_memory(&self) -> bool {
        matches!(self.stage, Stage::ReadingBody | Stage::Answering) && self.held_bytes > 0
    }

    /// Byte-seconds; the connection with most yields first.
    fn weight(&self, now: Duration) -> f64 {
        let still_for = now.saturating_sub(self.moved_at) + PROGRESS_TIME;
        self.held_bytes as f64 * still_for.as_secs_f64()
    }
}

/// Callers' connections of one gateway.
#[derive(Debug)]
pub struct CallerConnections {
    max_connections: usize,
    max_held_bytes: usize,
    held_bytes: usize,
    connections: HashMap<ConnectionId, Connection>,
}

impl CallerConnections {
    /// Connections on an instance with `memory_bytes` and `max_fds` descriptors in all.
    pub fn new(memory_bytes: u64, max_fds: usize) -> CallerConnections {
        let sockets = max_fds.saturating_sub(FILE_FDS);
        let by_fds = sockets / 8 * CALLER_EIGHTHS;
        let by_memory = memory_bytes / BUFFER_MEMORY_DIVISOR / BUFFER_BYTES;
        CallerConnections {
            max_connections: by_fds.min(to_usize(by_memory)).max(1),
            max_held_bytes: to_usize(memory_bytes / HELD_MEMORY_DIVISOR),
            held_bytes: 0,
            connections: HashMap::new(),
        }
    }

    /// Maximum number of connections.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// Whether a new connection takes the place of another one.
    pub fn is_full(&self) -> bool {
        self.connections.len() >= self.max_connections
    }

    /// Memory that bodies and answers hold, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Adds a connection. If there are too many, returns the one that has to be closed, which may be
    /// the new one.
    pub fn open(&mut self, now: Duration, id: ConnectionId) -> Option<Yielding> {
        let connection = Connection {
            stage: Stage::Waiting,
            organisation: String::new(),
            held_bytes: 0,
            moved_at: now,
        };
        self.connections.insert(id, connection);
        if self.connections.len() <= self.max_connections {
            return None;
        }
        let unused = self.connections.iter().filter(|(other_id, other)| {
            **other_id != id && matches!(other.stage, Stage::Waiting | Stage::Yielding)
        });
        let oldest = unused.min_by_key(|(_, other)| other.moved_at).map(|(&id, _)| id);
        self.remove(oldest.unwrap_or(id))
    }

    /// Removes a closed connection.
    pub fn close(&mut self, id: ConnectionId) {
        self.remove(id);
    }

    /// Sets what happens on a connection. While it waits, it holds nothing.
    pub fn set_stage(&mut self, now: Duration, id: ConnectionId, stage: Stage) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.stage == Stage::Yielding {
            return;
        }
        connection.stage = stage;
        connection.moved_at = now;
        if stage == Stage::Waiting {
            self.held_bytes -= std::mem::take(&mut connection.held_bytes);
        }
    }

    /// Sets the organisation of the request on a connection; empty if it is unknown.
    pub fn set_organisation(&mut self, id: ConnectionId, organisation: &str) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.organisation.clear();
            connection.organisation.push_str(organisation);
        }
    }

    /// Sets what a body that is being read holds, in bytes. Unless there is memory, it holds what it
    /// did before, and its request has to be refused.
    pub fn hold(&mut self, now: Duration, id: ConnectionId, bytes: usize) -> Held {
        let mut held = Held { is_enough: false, yielding: Vec::new() };
        let own = self.connections.get_mut(&id).filter(|own| own.stage != Stage::Yielding);
        let Some(own) = own else { return held };
        own.moved_at = now;
        let own_bytes = own.held_bytes;
        while self.held_bytes - own_bytes + bytes > self.max_held_bytes {
            match self.heaviest(now) {
                Some(heaviest) if heaviest != id => {
                    held.yielding.extend(self.yield_memory(heaviest))
                }
                _ => return held,
            }
        }
        self.set_held(id, bytes);
        held.is_enough = true;
        held
    }

    /// Sets the length of a complete answer that is being written, and returns the connections that
    /// yield to it. It is held even if there is no memory, as its request has run.
    pub fn hold_answer(&mut self, now: Duration, id: ConnectionId, bytes: usize) -> Vec<Yielding> {
        self.set_stage(now, id, Stage::Answering);
        self.set_held(id, 0);
        let mut yielding = Vec::new();
        while self.held_bytes + bytes > self.max_held_bytes {
            let Some(heaviest) = self.heaviest(now) else { break };
            yielding.extend(self.yield_memory(heaviest));
        }
        self.set_held(id, bytes);
        yielding
    }

    fn yield_memory(&mut self, id: ConnectionId) -> Option<Yielding> {
        let connection = self.connections.get_mut(&id)?;
        let stage = std::mem::replace(&mut connection.stage, Stage::Yielding);
        let held_bytes = std::mem::take(&mut connection.held_bytes);
        self.held_bytes -= held_bytes;
        Some(Yielding { id, stage, held_bytes })
    }

    fn set_held(&mut self, id: ConnectionId, bytes: usize) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        self.held_bytes = self.held_bytes - connection.held_bytes + bytes;
        connection.held_bytes = bytes;
    }

    fn remove(&mut self, id: ConnectionId) -> Option<Yielding> {
        let Connection { stage, held_bytes, .. } = self.connections.remove(&id)?;
        self.held_bytes -= held_bytes;
        Some(Yielding { id, stage, held_bytes })
    }

    fn heaviest(&self, now: Duration) -> Option<ConnectionId> {
        let yielding = || self.connections.iter().filter(|(_, other)| other.yields_memory());
        let mut held_by_organisation: HashMap<&str, usize> = HashMap::new();
        for (_, other) in yielding() {
            *held_by_organisation.entry(&other.organisation).or_default() += other.held_bytes;
        }
        let organisation = held_by_organisation.into_iter().max_by_key(|&(_, bytes)| bytes)?.0;
        yielding()
            .filter(|(_, other)| other.organisation == organisation)
            .max_by(|(_, one), (_, other)| one.weight(now).total_cmp(&other.weight(now)))
            .map(|(&id, _)| id)
    }
}

fn to_usize(bytes: u64) -> usize {
    usize::try_from(bytes).unwrap_or(usize::MAX)
}
