//! Things that wait, some of them only for a limited time.
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

/// Items in the order in which they came.
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
    /// Adds an item, which waits until `expires` at the longest if that is given.
    pub fn push(&mut self, item: T, expires: Option<Instant>) {
        self.items.push_back((item, expires));
    }

    /// Drops the items that have waited too long and returns their number.
    pub fn expire(&mut self, now: Instant) -> usize {
        let before = self.items.len();
        self.items
            .retain(|(_, expires)| expires.is_none_or(|expires| now < expires));
        let dropped = before - self.items.len();
        // A long outage must not leave its memory behind.
        if self.items.len() < self.items.capacity() / 4 {
            self.items.shrink_to(self.items.len() * 2);
        }
        dropped
    }

    /// Takes the first items, at most `max`.
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

    /// Tells whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
