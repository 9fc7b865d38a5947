//! Limits on what the process holds for callers, and the connections that have to yield to them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use forwarding::caller_connections::{CallerConnections, ConnectionId, Held, Stage, Yielding};
use forwarding::settings::Settings;
use rhubarbrock::clock::Clock;
use slog::{Logger, info};
use tokio::sync::Notify;

use crate::clock::BootClock;

/// Counts that a limit acted. `limit` is `connections`, `body_memory`, `answer_memory`,
/// `body_length` or `body_time`.
pub(crate) fn count_limit(limit: &'static str) {
    metrics::counter!("gateway_caller_limits_total", "limit" => limit).increment(1);
}

/// Limits of one gateway on its callers.
#[derive(Debug)]
pub(crate) struct CallerLimits {
    state: Mutex<State>,
    logger: Logger,
}

#[derive(Debug)]
struct State {
    connections: CallerConnections,
    signals: HashMap<ConnectionId, Arc<Signals>>,
    next_id: ConnectionId,
}

/// Wake-ups of the tasks of one connection.
#[derive(Debug, Default)]
struct Signals {
    refuse_body: Notify,
    close: Notify,
}

/// Connection within the limits; counted until this is dropped.
#[derive(Debug)]
pub(crate) struct Caller {
    id: ConnectionId,
    limits: Arc<CallerLimits>,
    signals: Arc<Signals>,
}

impl CallerLimits {
    pub(crate) fn new(settings: &Settings, logger: Logger) -> CallerLimits {
        let connections = CallerConnections::new(settings.memory_bytes, settings.max_fds);
        let state = State { connections, signals: HashMap::new(), next_id: 0 };
        CallerLimits { state: Mutex::new(state), logger }
    }

    /// Counts a connection. Returns `None` if there is no room for it.
    pub(crate) fn open(limits: &Arc<CallerLimits>) -> Option<Caller> {
        let signals: Arc<Signals> = Arc::default();
        let mut state = limits.lock();
        let id = state.next_id;
        state.next_id += 1;
        state.signals.insert(id, Arc::clone(&signals));
        let yielding = state.connections.open(BootClock.now(), id);
        drop(state);
        if let Some(yielding) = &yielding {
            limits.signal(yielding, "connections");
        }
        let caller = Caller { id, limits: Arc::clone(limits), signals };
        yielding.is_none_or(|yielding| yielding.id != id).then_some(caller)
    }

    /// Whether a new connection takes the place of another one.
    pub(crate) fn is_full(&self) -> bool {
        self.lock().connections.is_full()
    }

    fn signal(&self, yielding: &Yielding, limit: &'static str) {
        count_limit(limit);
        info!(self.logger, "a caller's connection yields";
            "limit" => limit, "stage" => ?yielding.stage, "held_bytes" => yielding.held_bytes);
        let Some(signals) = self.lock().signals.get(&yielding.id).cloned() else { return };
        match yielding.stage {
            Stage::ReadingBody => signals.refuse_body.notify_one(),
            _ => signals.close.notify_one(),
        }
    }

    fn signal_all(&self, yielding: &[Yielding]) {
        for yielding in yielding {
            let is_answer = yielding.stage == Stage::Answering;
            self.signal(yielding, if is_answer { "answer_memory" } else { "body_memory" });
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Caller {
    /// Resolves when the connection has to be closed at once.
    pub(crate) fn closing(&self) -> impl Future<Output = ()> + use<> {
        let signals = Arc::clone(&self.signals);
        async move { signals.close.notified().await }
    }

    /// Has the connection closed at once.
    pub(crate) fn close(&self) {
        self.signals.close.notify_one();
    }

    /// Resolves when the body that is being read has to be refused.
    pub(crate) async fn body_refused(&self) {
        self.signals.refuse_body.notified().await;
    }

    pub(crate) fn set_stage(&self, stage: Stage) {
        self.limits.lock().connections.set_stage(BootClock.now(), self.id, stage);
    }

    pub(crate) fn set_organisation(&self, organisation: &str) {
        self.limits.lock().connections.set_organisation(self.id, organisation);
    }

    /// Sets what a body that is being read holds; returns whether there is memory.
    pub(crate) fn hold(&self, bytes: usize) -> bool {
        let Held { is_enough, yielding } =
            self.limits.lock().connections.hold(BootClock.now(), self.id, bytes);
        self.limits.signal_all(&yielding);
        is_enough
    }

    /// Sets the length of the complete answers that are being written.
    pub(crate) fn hold_answer(&self, bytes: usize) {
        let yielding = self.limits.lock().connections.hold_answer(BootClock.now(), self.id, bytes);
        self.limits.signal_all(&yielding);
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        let mut state = self.limits.lock();
        state.connections.close(self.id);
        state.signals.remove(&self.id);
    }
}
