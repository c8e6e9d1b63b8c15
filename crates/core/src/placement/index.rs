//! Index of the workers of one class by free capacity.

use std::collections::BTreeSet;

use crate::size::Size;

/// Slot of a worker in the fleet.
pub(crate) type Slot = u32;

/// Finds workers by free capacity without scanning all of them.
///
/// A segment tree of the largest free amount of each resource per subtree finds the first worker
/// with enough capacity. An ordered set by free processor time finds the least loaded workers.
#[derive(Debug, Default)]
pub(crate) struct Index {
    leaves: usize,
    tree: Vec<Size>,
    order: BTreeSet<(u64, Slot)>,
}

impl Index {
    /// Sets the free capacity of a worker; `Size::ZERO` removes it from the index.
    pub(crate) fn set(&mut self, slot: Slot, free: Size) {
        self.grow(slot);
        let mut node = self.leaves + slot as usize;
        let before = self.tree[node];
        if before == free {
            return;
        }
        if before != Size::ZERO {
            self.order.remove(&(before.millicores, slot));
        }
        if free != Size::ZERO {
            self.order.insert((free.millicores, slot));
        }
        self.tree[node] = free;
        while node > 1 {
            node /= 2;
            let largest = self.tree[2 * node].max(&self.tree[2 * node + 1]);
            if self.tree[node] == largest {
                break;
            }
            self.tree[node] = largest;
        }
    }

    /// Returns the free capacity of a worker, `Size::ZERO` if it isn't in the index.
    pub(crate) fn free(&self, slot: Slot) -> Size {
        let leaf = self.leaves + slot as usize;
        self.tree.get(leaf).copied().unwrap_or(Size::ZERO)
    }

    /// Returns the number of workers in the index.
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns the number of slots covered, used or not.
    pub(crate) fn slot_count(&self) -> Slot {
        self.leaves as Slot
    }

    /// Returns the first worker at or after `from` with enough capacity for `size`.
    pub(crate) fn first(&self, from: Slot, size: &Size) -> Option<Slot> {
        if self.tree.is_empty() {
            return None;
        }
        self.descend(1, 0, self.leaves, from as usize, size)
    }

    /// Returns the workers by free processor time, in descending order.
    pub(crate) fn by_free_processor_time(&self) -> impl Iterator<Item = Slot> + '_ {
        self.order.iter().rev().map(|entry| entry.1)
    }

    fn descend(
        &self,
        node: usize,
        start: usize,
        len: usize,
        from: usize,
        size: &Size,
    ) -> Option<Slot> {
        if start + len <= from || !size.fits(&self.tree[node]) {
            return None;
        }
        if len == 1 {
            return Some(start as Slot);
        }
        let half = len / 2;
        self.descend(2 * node, start, half, from, size)
            .or_else(|| self.descend(2 * node + 1, start + half, half, from, size))
    }

    fn grow(&mut self, slot: Slot) {
        let needed = (slot as usize + 1).next_power_of_two().max(16);
        if needed <= self.leaves {
            return;
        }
        let mut tree = vec![Size::ZERO; 2 * needed];
        for leaf in 0..self.leaves {
            tree[needed + leaf] = self.tree[self.leaves + leaf];
        }
        for node in (1..needed).rev() {
            tree[node] = tree[2 * node].max(&tree[2 * node + 1]);
        }
        self.tree = tree;
        self.leaves = needed;
    }
}
