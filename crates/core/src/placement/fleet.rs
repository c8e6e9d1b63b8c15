//! The shard's workers, their free-capacity indexes and their poll schedule.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::placement::fit;
use crate::placement::index::{Index, Slot};
use crate::placement::jobs::Key;
use crate::placement::worker::{Departure, Health, Link, Poll, Worker};
use crate::size::Size;
use crate::target;
use crate::time::Instant;

/// Least loaded workers tried before the search falls back to first fit.
const CANDIDATES_MAX: usize = 16;
/// Workers compared for the best fit. Twice as many pack no tighter at twice the search time.
const FITS_COMPARED: usize = 4;

/// Number of listed workers of one size.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) general: u64,
    pub(crate) short_only: u64,
}

/// The shard's workers.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    workers: Vec<Option<Worker>>,
    names: HashMap<Arc<str>, Slot>,
    free_slots: Vec<Slot>,
    racks: HashMap<Arc<str>, u32>,
    pub(crate) rack_members: Vec<Vec<Slot>>,
    /// Usable workers that accept all tasks.
    pub(crate) general: Index,
    /// Usable workers that accept only short tasks.
    pub(crate) short_only: Index,
    /// Usable workers that are reserved for a gang or an urgent job.
    pub(crate) reserved: Index,
    polls: BTreeSet<Poll>,
    sizes: HashMap<Size, Counts>,
    /// Sizes of listed workers that no other size dominates.
    largest: Vec<Size>,
    /// The same among the workers that accept long tasks.
    largest_general: Vec<Size>,
    /// Sum of the listed workers' sizes.
    pub(crate) total: Size,
    /// Workers whose leases of earlier epochs are not known yet.
    pub(crate) unsurveyed: usize,
    /// Share of the workers that accepts only short tasks, in percent.
    short_only_percent: u64,
}

impl Fleet {
    /// Returns the slot of a worker.
    pub(crate) fn slot(&self, name: &str) -> Option<Slot> {
        self.names.get(name).copied()
    }

    /// Returns a worker.
    pub(crate) fn get(&self, slot: Slot) -> Option<&Worker> {
        self.workers.get(slot as usize)?.as_ref()
    }

    /// Returns a worker mutably. Call [`Fleet::reindex`] after a change of its capacity.
    pub(crate) fn get_mut(&mut self, slot: Slot) -> Option<&mut Worker> {
        self.workers.get_mut(slot as usize)?.as_mut()
    }

    /// Returns all workers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Slot, &Worker)> {
        let workers = self.workers.iter().enumerate();
        workers.filter_map(|(slot, worker)| Some((slot as Slot, worker.as_ref()?)))
    }

    /// Returns all workers, starting at a slot and wrapping around.
    pub(crate) fn iter_from(&self, from: Slot) -> impl Iterator<Item = (Slot, &Worker)> {
        let slots = (from..self.len()).chain(0..from);
        slots.filter_map(|slot| Some((slot, self.get(slot)?)))
    }

    /// Returns the number of slots, used or not.
    pub(crate) fn len(&self) -> Slot {
        self.workers.len() as Slot
    }

    /// Returns the sizes of listed workers with their counts.
    pub(crate) fn sizes(&self) -> impl Iterator<Item = (&Size, &Counts)> {
        self.sizes.iter()
    }

    /// Returns whether no worker is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Returns whether any listed worker can hold `size` when it is empty.
    pub(crate) fn can_hold(&self, size: &Size) -> bool {
        self.largest.iter().any(|largest| size.fits(largest))
    }

    /// Returns whether any listed worker that accepts long tasks can hold `size` when it is empty.
    pub(crate) fn general_can_hold(&self, size: &Size) -> bool {
        self.largest_general
            .iter()
            .any(|largest| size.fits(largest))
    }

    /// Returns the size of the largest listed worker that can hold `size`, or `size` if none can.
    pub(crate) fn ceiling(&self, size: &Size) -> Size {
        let holding = self.largest.iter().filter(|largest| size.fits(largest));
        let largest = holding.max_by_key(|largest| (largest.millicores, largest.memory_mb));
        largest.copied().unwrap_or(*size)
    }

    /// Returns the number of usable workers.
    pub(crate) fn usable(&self) -> usize {
        self.general.len() + self.short_only.len() + self.reserved.len()
    }

    /// Sets the share of the workers that accepts only short tasks.
    pub(crate) fn set_short_only_percent(&mut self, percent: u64) {
        self.short_only_percent = percent;
        for slot in 0..self.workers.len() as Slot {
            self.set_short_only(slot, short_only_rank(slot) < percent);
        }
        self.update_largest();
    }

    fn set_short_only(&mut self, slot: Slot, short_only: bool) {
        let Some(worker) = self.get_mut(slot) else {
            return;
        };
        if worker.short_only == short_only {
            return;
        }
        let listed = worker.listed;
        self.set_listed(slot, false);
        if let Some(worker) = self.get_mut(slot) {
            worker.short_only = short_only;
        }
        self.set_listed(slot, listed);
        self.reindex(slot);
    }

    /// Recomputes the largest sizes after a change of the list.
    pub(crate) fn update_largest(&mut self) {
        let general = self.sizes.iter().filter(|entry| entry.1.general > 0);
        self.largest_general = maximal(general.map(|entry| *entry.0).collect());
        self.largest = maximal(self.sizes.keys().copied().collect());
    }

    /// Adds a worker whose first poll is due at `now`.
    pub(crate) fn add(&mut self, target: target::Worker, link: Link, now: Instant) -> Slot {
        let slot = self.free_slots.pop().unwrap_or(self.workers.len() as Slot);
        let rack = self.rack(&target.rack);
        self.rack_members[rack as usize].push(slot);
        self.names.insert(target.name.clone(), slot);
        self.unsurveyed += usize::from(!link.surveyed);
        let short_only = short_only_rank(slot) < self.short_only_percent;
        let worker = Worker {
            target,
            rack,
            listed: false,
            departure: None,
            announced: false,
            link,
            keys: Vec::new(),
            held: Size::ZERO,
            orphaned: Size::ZERO,
            acknowledge: Vec::new(),
            acknowledging: Vec::new(),
            health: Health::default(),
            short_only,
            reserved: false,
            pressure: 0,
            next_poll: now,
        };
        match self.workers.get_mut(slot as usize) {
            Some(entry) => *entry = Some(worker),
            None => self.workers.push(Some(worker)),
        }
        self.polls.insert((now, slot));
        slot
    }

    /// Removes a worker.
    pub(crate) fn remove(&mut self, slot: Slot) {
        self.set_listed(slot, false);
        let Some(worker) = self.workers.get_mut(slot as usize).and_then(Option::take) else {
            return;
        };
        self.polls.remove(&(worker.next_poll, slot));
        self.names.remove(&worker.target.name);
        self.rack_members[worker.rack as usize].retain(|member| *member != slot);
        self.unsurveyed -= usize::from(!worker.link.surveyed);
        self.reindex(slot);
        self.free_slots.push(slot);
    }

    /// Records whether the platform lists the worker.
    pub(crate) fn set_listed(&mut self, slot: Slot, listed: bool) {
        let Some(worker) = self.get_mut(slot) else {
            return;
        };
        if worker.listed == listed {
            return;
        }
        worker.listed = listed;
        let (size, short_only) = (worker.target.size, worker.short_only);
        self.count_size(size, short_only, listed);
        self.reindex(slot);
    }

    /// Updates a known worker from the platform's list.
    pub(crate) fn update_target(&mut self, slot: Slot, target: target::Worker) {
        if self.get(slot).is_some_and(|worker| worker.target == target) {
            return;
        }
        let listed = self.get(slot).is_some_and(|worker| worker.listed);
        self.set_listed(slot, false);
        if let Some(worker) = self.get_mut(slot) {
            worker.target = target;
        }
        self.set_listed(slot, listed);
    }

    /// Records when the worker will shut down.
    pub(crate) fn set_departure(&mut self, slot: Slot, departure: Option<Departure>) {
        if let Some(worker) = self.get_mut(slot) {
            worker.departure = departure;
        }
        self.reindex(slot);
    }

    /// Records that the worker's leases of earlier epochs are known.
    pub(crate) fn set_surveyed(&mut self, slot: Slot) {
        let Some(worker) = self.get_mut(slot) else {
            return;
        };
        if !worker.link.surveyed {
            worker.link.surveyed = true;
            self.unsurveyed -= 1;
        }
    }

    /// Allocates a task's charge on a worker.
    pub(crate) fn allocate(&mut self, slot: Slot, key: Key, charge: &Size) {
        if let Some(worker) = self.get_mut(slot) {
            worker.held += *charge;
            worker.keys.push(key);
        }
        self.reindex(slot);
    }

    /// Releases a task's charge.
    pub(crate) fn release(&mut self, slot: Slot, key: Key, charge: &Size) {
        if let Some(worker) = self.get_mut(slot) {
            worker.held -= *charge;
            if let Some(position) = worker.keys.iter().position(|held| *held == key) {
                worker.keys.swap_remove(position);
            }
        }
        self.reindex(slot);
    }

    /// Updates the capacity indexes after a change of the worker's state.
    pub(crate) fn reindex(&mut self, slot: Slot) {
        let worker = self.workers.get(slot as usize).and_then(Option::as_ref);
        let usable = worker.filter(|worker| worker.is_usable());
        let free = usable.map_or(Size::ZERO, Worker::free);
        let class = usable.map(|worker| (worker.reserved, worker.short_only));
        let free_if = |wanted: bool| if wanted { free } else { Size::ZERO };
        self.general
            .set(slot, free_if(class == Some((false, false))));
        self.short_only
            .set(slot, free_if(class == Some((false, true))));
        self.reserved
            .set(slot, free_if(class.is_some_and(|class| class.0)));
    }

    /// Sets the time of the worker's next poll.
    pub(crate) fn schedule_poll(&mut self, slot: Slot, at: Instant) {
        let Some(worker) = self.workers.get_mut(slot as usize).and_then(Option::as_mut) else {
            return;
        };
        self.polls.remove(&(worker.next_poll, slot));
        worker.next_poll = at;
        self.polls.insert((at, slot));
    }

    /// Returns the time of the earliest poll.
    pub(crate) fn first_poll(&self) -> Option<Instant> {
        self.polls.first().map(|poll| poll.0)
    }

    /// Returns the worker of the earliest poll if that is due.
    pub(crate) fn due_worker(&self, now: Instant) -> Option<Slot> {
        let (at, slot) = self.polls.first()?;
        (*at <= now).then_some(*slot)
    }

    /// Removes the worker's poll from the schedule.
    pub(crate) fn cancel_poll(&mut self, slot: Slot) {
        if let Some(worker) = self.workers.get(slot as usize).and_then(Option::as_ref) {
            self.polls.remove(&(worker.next_poll, slot));
        }
    }

    /// Returns the worker of `index` with the lowest fit cost among the first that have capacity.
    pub(crate) fn best_fit(&self, index: &Index, size: &Size, avoid: &[Slot]) -> Option<Slot> {
        let mut best: Option<(u64, Slot)> = None;
        let mut from = 0;
        for _ in 0..FITS_COMPARED {
            let Some(slot) = self.first_fit(index, from, size, avoid) else {
                break;
            };
            let cost = self.fit_cost(index, slot, size);
            if best.is_none_or(|best| cost < best.0) {
                best = Some((cost, slot));
            }
            from = slot + 1;
        }
        best.map(|best| best.1)
    }

    fn fit_cost(&self, index: &Index, slot: Slot, size: &Size) -> u64 {
        let total = self
            .get(slot)
            .map_or(Size::ZERO, |worker| worker.target.size);
        fit::fit_cost(&total, &index.free(slot), size)
    }

    /// Returns the first worker of `index` at or after `from` that has capacity.
    pub(crate) fn first_fit(
        &self,
        index: &Index,
        from: Slot,
        size: &Size,
        avoid: &[Slot],
    ) -> Option<Slot> {
        let mut slot = index.first(from, size)?;
        while avoid.contains(&slot) {
            slot = index.first(slot + 1, size)?;
        }
        Some(slot)
    }

    /// Returns a worker of `index` that has capacity and the most free processor time.
    pub(crate) fn least_loaded(&self, index: &Index, size: &Size, avoid: &[Slot]) -> Option<Slot> {
        let fits = |slot: &Slot| size.fits(&index.free(*slot)) && !avoid.contains(slot);
        let candidate = index
            .by_free_processor_time()
            .take(CANDIDATES_MAX)
            .find(fits);
        candidate.or_else(|| self.first_fit(index, 0, size, avoid))
    }

    fn rack(&mut self, name: &Arc<str>) -> u32 {
        if let Some(rack) = self.racks.get(name) {
            return *rack;
        }
        let rack = self.rack_members.len() as u32;
        self.racks.insert(name.clone(), rack);
        self.rack_members.push(Vec::new());
        rack
    }

    fn count_size(&mut self, size: Size, short_only: bool, listed: bool) {
        let counts = self.sizes.entry(size).or_default();
        let count = if short_only {
            &mut counts.short_only
        } else {
            &mut counts.general
        };
        if listed {
            *count += 1;
            self.total += size;
        } else {
            *count -= 1;
            self.total -= size;
        }
        if counts.general + counts.short_only == 0 {
            self.sizes.remove(&size);
        }
    }
}

/// Returns the sizes that no other size dominates (the Pareto front).
fn maximal(mut sizes: Vec<Size>) -> Vec<Size> {
    let key = |size: &Size| (size.millicores, size.memory_mb, size.accelerators);
    sizes.sort_unstable_by_key(|size| std::cmp::Reverse(key(size)));
    let mut maximal: Vec<Size> = Vec::new();
    for size in sizes {
        if !maximal.iter().any(|larger| size.fits(larger)) {
            maximal.push(size);
        }
    }
    maximal
}

/// Returns the short-only share in percent above which the worker accepts only short tasks.
///
/// The ranks spread the short-only workers evenly over the slots, so that a small pool also has
/// about the requested share of them.
fn short_only_rank(slot: Slot) -> u64 {
    const RANKS: [u64; 20] = [
        12, 4, 16, 8, 0, 14, 6, 18, 10, 2, 13, 5, 17, 9, 1, 15, 7, 19, 11, 3,
    ];
    RANKS[slot as usize % RANKS.len()] * 100 / RANKS.len() as u64
}
