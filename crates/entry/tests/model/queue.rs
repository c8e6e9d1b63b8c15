//! Events of a simulated world in the order of their times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// An event with its place in the order.
struct Entry<T> {
    /// Time, number drawn by the seed, number of the event.
    place: (u64, u32, u64),
    event: T,
}

/// Pending events. Events of the same time come in an order that the seed draws.
pub(crate) struct Queue<T> {
    entries: BinaryHeap<Reverse<Entry<T>>>,
    count: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            entries: BinaryHeap::new(),
            count: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Adds an event. `order` decides between events of the same time.
    pub(crate) fn push(&mut self, at_ms: u64, order: u32, event: T) {
        self.count += 1;
        let place = (at_ms, order, self.count);
        self.entries.push(Reverse(Entry { place, event }));
    }

    /// Removes the next event and returns it with its time.
    pub(crate) fn pop(&mut self) -> Option<(u64, T)> {
        let Reverse(entry) = self.entries.pop()?;
        Some((entry.place.0, entry.event))
    }
}

impl<T> Eq for Entry<T> {}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.place.cmp(&other.place)
    }
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.place == other.place
    }
}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
