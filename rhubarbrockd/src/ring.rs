//! Bounded rings between threads.
//!
//! A ring has one producer and one consumer. A push wakes the consumer, which
//! is either a parked thread or an asynchronous task. Clones of a [`Sender`]
//! share the producer behind a mutex that is held only during a push.

use std::sync::{Arc, Mutex, PoisonError};
use std::thread::Thread;
use std::time::Duration;

use derive_more::{Display, Error};
use tokio::sync::Notify;

/// Delay before a push to a full ring is repeated.
const FULL_RETRY_DELAY: Duration = Duration::from_micros(200);

/// Error of a push to a full ring, with the item.
#[derive(Debug, Display, Error)]
#[display("ring is full")]
pub struct Full<T>(#[error(not(source))] pub T);

/// Consumer that a push wakes.
#[derive(Debug, Clone)]
enum Waker {
    Thread(Thread),
    Task(Arc<Notify>),
}

/// Producing side of a ring; clones share one producer.
#[derive(Debug)]
pub struct Sender<T> {
    producer: Arc<Mutex<rtrb::Producer<T>>>,
    waker: Waker,
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Sender<T> {
        Sender { producer: Arc::clone(&self.producer), waker: self.waker.clone() }
    }
}

impl<T> Sender<T> {
    /// Puts `item` into the ring; fails with the item if the ring is full.
    pub fn push(&self, item: T) -> Result<(), Full<T>> {
        let mut producer = self.producer.lock().unwrap_or_else(PoisonError::into_inner);
        let pushed = producer.push(item);
        drop(producer);
        match pushed {
            Ok(()) => {
                self.wake();
                Ok(())
            }
            Err(rtrb::PushError::Full(item)) => Err(Full(item)),
        }
    }

    /// Puts `item` into the ring, waiting while it is full.
    pub async fn send(&self, item: T) {
        let mut pending_item = item;
        while let Err(Full(item)) = self.push(pending_item) {
            pending_item = item;
            tokio::time::sleep(FULL_RETRY_DELAY).await;
        }
    }

    /// Puts `item` into the ring, blocking the thread while it is full.
    pub fn send_blocking(&self, item: T) {
        let mut pending_item = item;
        while let Err(Full(item)) = self.push(pending_item) {
            pending_item = item;
            std::thread::sleep(FULL_RETRY_DELAY);
        }
    }

    fn wake(&self) {
        match &self.waker {
            Waker::Thread(thread) => thread.unpark(),
            Waker::Task(notify) => notify.notify_one(),
        }
    }
}

/// Consuming side for a thread, which has to park when the ring is empty.
#[derive(Debug)]
pub struct Receiver<T> {
    consumer: rtrb::Consumer<T>,
}

impl<T> Receiver<T> {
    /// Takes the next item; `None` if the ring is empty.
    pub fn pop(&mut self) -> Option<T> {
        self.consumer.pop().ok()
    }
}

/// Consuming side for an asynchronous task.
#[derive(Debug)]
pub struct TaskReceiver<T> {
    consumer: rtrb::Consumer<T>,
    notify: Arc<Notify>,
}

impl<T> TaskReceiver<T> {
    /// Waits for the next item; `None` if the ring is empty and the producer was dropped.
    pub async fn recv(&mut self) -> Option<T> {
        loop {
            if let Ok(item) = self.consumer.pop() {
                return Some(item);
            }
            if self.consumer.is_abandoned() {
                return self.consumer.pop().ok();
            }
            self.notify.notified().await;
        }
    }
}

/// Creates a ring of `capacity` items whose consumer is the thread `consumer`.
pub fn to_thread<T>(capacity: usize, consumer: Thread) -> (Sender<T>, Receiver<T>) {
    let (producer, consumer_end) = rtrb::RingBuffer::new(capacity);
    let producer = Arc::new(Mutex::new(producer));
    (Sender { producer, waker: Waker::Thread(consumer) }, Receiver { consumer: consumer_end })
}

/// Creates a ring of `capacity` items whose consumer is an asynchronous task.
pub fn to_task<T>(capacity: usize) -> (Sender<T>, TaskReceiver<T>) {
    let (producer, consumer_end) = rtrb::RingBuffer::new(capacity);
    let producer = Arc::new(Mutex::new(producer));
    let notify = Arc::new(Notify::new());
    let sender = Sender { producer, waker: Waker::Task(Arc::clone(&notify)) };
    (sender, TaskReceiver { consumer: consumer_end, notify })
}
