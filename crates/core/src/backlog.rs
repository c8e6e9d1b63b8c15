//! FIFO queue, with optional expiry, of the records that wait to be appended to the log.
//!
//! ```
//! use rosemaryworks_core::backlog::Backlog;
//! use rosemaryworks_core::time::Instant;
//!
//! let mut backlog = Backlog::default();
//! backlog.push("lasting", None);
//! backlog.push("brief", Some(Instant(1_000)));
//! assert_eq!(backlog.expire(Instant(1_000)), 1);
//! assert_eq!(backlog.take(10), ["lasting"]);
//! ```

use std::collections::VecDeque;

use crate::time::Instant;

/// A FIFO queue of items with an optional expiry time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Backlog<T> {
    items: VecDeque<(T, Option<Instant>)>,
}

impl<T> Default for Backlog<T> {
    fn default() -> Self {
        Self {
            items: VecDeque::new(),
        }
    }
}

impl<T> Backlog<T> {
    /// Appends an item, which expires at `expires` if that is given.
    pub fn push(&mut self, item: T, expires: Option<Instant>) {
        self.items.push_back((item, expires));
    }

    /// Drops the expired items and returns their number.
    pub fn expire(&mut self, now: Instant) -> usize {
        let before = self.items.len();
        self.items
            .retain(|(_, expires)| expires.is_none_or(|expires| now < expires));
        let dropped = before - self.items.len();
        // Releases the memory that a long outage of the log has used.
        if self.items.len() < self.items.capacity() / 4 {
            self.items.shrink_to(self.items.len() * 2);
        }
        dropped
    }

    /// Removes and returns the oldest items, at most `max`.
    pub fn take(&mut self, max: usize) -> Vec<T> {
        let count = self.items.len().min(max);
        let taken = self.items.drain(..count);
        taken.map(|(item, _)| item).collect()
    }

    /// Returns the number of items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
