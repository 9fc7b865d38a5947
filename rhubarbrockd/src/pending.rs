//! Requests to another thread that wait for its reply.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

/// Waiting requests by number; `T` is the type of the reply.
#[derive(Debug)]
pub struct Pending<T> {
    state: Mutex<State<T>>,
}

#[derive(Debug)]
struct State<T> {
    next_number: u64,
    waiting: HashMap<u64, oneshot::Sender<T>>,
}

impl<T> Default for Pending<T> {
    fn default() -> Pending<T> {
        Pending { state: Mutex::new(State { next_number: 1, waiting: HashMap::new() }) }
    }
}

impl<T> Pending<T> {
    /// Registers a request; returns its number and the receiver of its reply.
    pub fn register(&self) -> (u64, oneshot::Receiver<T>) {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        let number = state.next_number;
        state.next_number += 1;
        state.waiting.insert(number, sender);
        (number, receiver)
    }

    /// Sends the reply; returns false if the request no longer waits.
    pub fn resolve(&self, number: u64, value: T) -> bool {
        let sender = self.lock().waiting.remove(&number);
        sender.is_some_and(|sender| sender.send(value).is_ok())
    }

    /// Removes a request; returns true if it was still waiting.
    pub fn cancel(&self, number: u64) -> bool {
        self.lock().waiting.remove(&number).is_some()
    }

    fn lock(&self) -> MutexGuard<'_, State<T>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
