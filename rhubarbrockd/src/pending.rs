//! Questions that wait for their answer from another thread.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

/// Questions by number; `T` is the answer.
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
    /// A new question: its number and where its answer comes.
    pub fn register(&self) -> (u64, oneshot::Receiver<T>) {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        let number = state.next_number;
        state.next_number += 1;
        state.waiting.insert(number, sender);
        (number, receiver)
    }

    /// Gives the answer; false where nobody waits for it any more.
    pub fn resolve(&self, number: u64, value: T) -> bool {
        let sender = self.lock().waiting.remove(&number);
        sender.is_some_and(|sender| sender.send(value).is_ok())
    }

    /// Stops waiting; true where the answer had not come.
    pub fn cancel(&self, number: u64) -> bool {
        self.lock().waiting.remove(&number).is_some()
    }

    fn lock(&self) -> MutexGuard<'_, State<T>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
