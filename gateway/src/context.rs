//! What all tasks of the gateway share.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use forwarding::dispatcher::Dispatcher;
use gotham::state::StateData;
use rhubarbrock::clock::Clock;
use slog::Logger;
use tokio::sync::watch;

use crate::clock::BootClock;
use crate::pool::Pool;
use crate::shutdown::Phase;

/// State behind the context.
#[derive(Debug)]
pub(crate) struct Shared {
    dispatcher: Mutex<Dispatcher>,
    /// Connections to endpoints.
    pub(crate) pool: Pool,
    /// Log.
    pub(crate) logger: Logger,
    /// Start of this process.
    pub(crate) incarnation: u64,
    /// Whether this gateway holds the lease on the duties.
    pub(crate) holds_lease: AtomicBool,
    /// Requests that are not finished.
    pub(crate) open_requests: AtomicUsize,
    /// Bytes of request bodies in memory.
    pub(crate) body_bytes: AtomicUsize,
    /// How far the shutdown is.
    pub(crate) phase: watch::Receiver<Phase>,
    /// Release in force, as it stands in the store.
    release_record: Mutex<Bytes>,
}

/// Shared state and clock; cheap to clone.
#[derive(Debug, Clone)]
pub(crate) struct Context {
    shared: Arc<Shared>,
    clock: BootClock,
}

impl StateData for Context {}

impl std::ops::Deref for Context {
    type Target = Shared;

    fn deref(&self) -> &Shared {
        &self.shared
    }
}

impl Context {
    /// A context around a dispatcher.
    pub(crate) fn new(
        dispatcher: Dispatcher,
        logger: Logger,
        phase: watch::Receiver<Phase>,
    ) -> Context {
        let clock = BootClock;
        let shared = Shared {
            dispatcher: Mutex::new(dispatcher),
            pool: Pool::default(),
            logger,
            incarnation: clock.wall().as_nanos() as u64,
            holds_lease: AtomicBool::new(false),
            open_requests: AtomicUsize::new(0),
            body_bytes: AtomicUsize::new(0),
            phase,
            release_record: Mutex::new(Bytes::new()),
        };
        Context { shared: Arc::new(shared), clock }
    }

    /// Time since the instance's start.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Time of day since the Unix epoch.
    pub(crate) fn wall_time(&self) -> Duration {
        self.clock.wall()
    }

    /// How far the shutdown is.
    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// The decisions; held only for one of them, never across an await.
    pub(crate) fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatcher.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The release in force, as it stands in the store; empty if there is none.
    pub(crate) fn release_record(&self) -> Bytes {
        self.release_record.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Keeps the record of the release in force.
    pub(crate) fn set_release_record(&self, record: Bytes) {
        *self.release_record.lock().unwrap_or_else(PoisonError::into_inner) = record;
    }

    /// Counts a request as open until the guard is dropped.
    pub(crate) fn open_request(&self, body_bytes: usize) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        self.body_bytes.fetch_add(body_bytes, Ordering::Relaxed);
        OpenRequest { context: self.clone(), body_bytes }
    }
}

/// One open request.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    context: Context,
    body_bytes: usize,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.context.open_requests.fetch_sub(1, Ordering::Relaxed);
        self.context.body_bytes.fetch_sub(self.body_bytes, Ordering::Relaxed);
    }
}
