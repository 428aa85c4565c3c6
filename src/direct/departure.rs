//! Whether the caller of an operation has left while the operation waits.
//!
//! Without this, an operation whose caller has disconnected keeps its place in a queue, and takes a token and
//! a slot for an answer that nobody reads.

use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::task::Poll;
use tokio::sync::Notify;

/// What is known of the caller of one operation.
#[derive(Debug, Default)]
pub struct Departure {
    waits: Cell<u32>,
    left: Cell<bool>,
    noticed: Notify,
}

/// Counts a wait in progress until dropped.
#[derive(Debug)]
struct Wait<'a>(&'a Departure);

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        self.0.waits.set(self.0.waits.get() - 1);
    }
}

impl Departure {
    /// Records that the caller has left.
    pub fn leave(&self) {
        self.left.set(true);
        self.noticed.notify_waiters();
    }

    /// Whether the caller has left.
    pub fn has_left(&self) -> bool {
        self.left.get()
    }

    /// Completes when the caller has left.
    pub async fn left(&self) {
        while !self.left.get() {
            self.noticed.notified().await;
        }
    }

    /// Waits for `work` while the caller is there; `None` if it has left before.
    pub async fn unless_left<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        self.waits.set(self.waits.get() + 1);
        let _wait = Wait(self);
        tokio::select! {
            biased;
            done = work => Some(done),
            () = self.left() => None,
        }
    }

    /// Runs an operation, and while it waits, also `watch`, which completes when the caller has left or need
    /// not be watched any more; it returns whether the caller has left.
    ///
    /// The operation is not dropped when the caller leaves: a statement that a database runs is left to end.
    pub async fn watch<T>(
        &self,
        operation: impl Future<Output = T>,
        watch: impl Future<Output = bool>,
    ) -> T {
        let (mut operation, mut watch) = (pin!(operation), pin!(watch));
        let mut watched = true;
        poll_fn(|context| {
            loop {
                if let Poll::Ready(done) = operation.as_mut().poll(context) {
                    return Poll::Ready(done);
                }
                if !watched || self.waits.get() == 0 {
                    return Poll::Pending;
                }
                let Poll::Ready(left) = watch.as_mut().poll(context) else {
                    return Poll::Pending;
                };
                watched = false;
                if !left {
                    return Poll::Pending;
                }
                self.leave();
            }
        })
        .await
    }
}
