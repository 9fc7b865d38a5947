//! State shared by all tasks of the gateway.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use forwarding::dispatcher::Dispatcher;
use forwarding::store_role::StoreEra;
use gotham::state::StateData;
use rhubarbrock::clock::Clock;
use slog::{Logger, info, warn};
use tokio::sync::watch;

use crate::caller_limits::CallerLimits;
use crate::clock::BootClock;
use crate::open_requests::Counters;
use crate::pool::Pool;
use crate::release_record::ReleaseRecord;
use crate::shutdown::Phase;

/// State that a [`Context`] refers to.
#[derive(Debug)]
pub(crate) struct Shared {
    dispatcher: Mutex<Dispatcher>,
    /// Idle connections to endpoints.
    pub(crate) pool: Pool,
    pub(crate) logger: Logger,
    /// Start of this process, in nanoseconds since the Unix epoch.
    pub(crate) incarnation: u64,
    /// Whether this gateway holds the lease on the duties.
    pub(crate) holds_lease: AtomicBool,
    /// Number of admitted requests that are not finished.
    pub(crate) admitted_requests: AtomicUsize,
    /// Limits on what is held for callers.
    pub(crate) caller_limits: Arc<CallerLimits>,
    /// Requests that are not completely answered, and callers' connections.
    pub(crate) open_requests: Arc<Counters>,
    /// Phase of the shutdown.
    pub(crate) phase: watch::Receiver<Phase>,
    /// Release in force, as read from the store.
    release_record: Mutex<ReleaseRecord>,
    /// Latest era of the store; `None` until it is known.
    store_era: watch::Sender<Option<StoreEra>>,
    /// First era of the store in this process.
    first_store_era: OnceLock<StoreEra>,
}

/// Handle of the shared state and the clock; cheap to clone.
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
    pub(crate) fn new(
        dispatcher: Dispatcher,
        logger: Logger,
        phase: watch::Receiver<Phase>,
    ) -> Context {
        let clock = BootClock;
        let caller_limits = CallerLimits::new(&dispatcher.settings, logger.clone());
        let shared = Shared {
            dispatcher: Mutex::new(dispatcher),
            pool: Pool::default(),
            logger,
            incarnation: clock.unix_time().as_nanos() as u64,
            holds_lease: AtomicBool::new(false),
            admitted_requests: AtomicUsize::new(0),
            caller_limits: Arc::new(caller_limits),
            open_requests: Arc::default(),
            phase,
            release_record: Mutex::default(),
            store_era: watch::Sender::new(None),
            first_store_era: OnceLock::new(),
        };
        Context { shared: Arc::new(shared), clock }
    }

    /// Time since the instance booted.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Time of day since the Unix epoch.
    pub(crate) fn unix_time(&self) -> Duration {
        self.clock.unix_time()
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Locks the dispatcher. The guard must not be held across an await.
    pub(crate) fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatcher.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Encoded release in force; empty if there is none.
    pub(crate) fn release_record(&self) -> ReleaseRecord {
        self.release_record.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sets the encoded release in force.
    pub(crate) fn set_release_record(&self, encoded: Bytes) {
        let record = ReleaseRecord::new(encoded);
        *self.release_record.lock().unwrap_or_else(PoisonError::into_inner) = record;
    }

    /// Takes the era of the store from one of its answers.
    pub(crate) fn on_store_era(&self, era: StoreEra) {
        let known = *self.store_era.borrow();
        if known.is_some_and(|known| era <= known) {
            return;
        }
        self.first_store_era.get_or_init(|| era);
        self.store_era.send_replace(Some(era));
        metrics::gauge!("gateway_store_era").set(era as f64);
        if known.is_some() {
            metrics::counter!("gateway_store_restorations_total").increment(1);
            warn!(self.logger, "store restored from a copy"; "era" => era, "known" => known);
            self.dispatcher().endpoints.on_store_restored(self.now());
        } else {
            info!(self.logger, "store era known"; "era" => era);
        }
    }

    /// First era of the store in this process; `None` until the store answers.
    pub(crate) fn first_store_era(&self) -> Option<StoreEra> {
        self.first_store_era.get().copied()
    }

    /// Latest era of the store, to wait for its changes.
    pub(crate) fn store_era(&self) -> watch::Receiver<Option<StoreEra>> {
        self.store_era.subscribe()
    }

    /// Counts an admitted request until the guard is dropped.
    pub(crate) fn count_admitted(&self) -> AdmittedCount {
        self.admitted_requests.fetch_add(1, Ordering::Relaxed);
        AdmittedCount { context: self.clone() }
    }
}

/// Guard that counts one admitted request.
#[derive(Debug)]
pub(crate) struct AdmittedCount {
    context: Context,
}

impl Drop for AdmittedCount {
    fn drop(&mut self) {
        self.context.admitted_requests.fetch_sub(1, Ordering::Relaxed);
    }
}
