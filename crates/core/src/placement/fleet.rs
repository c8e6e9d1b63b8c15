//! The shard's workers with their indexes.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::placement::fit;
use crate::placement::index::{Index, Slot};
use crate::placement::work::Key;
use crate::placement::worker::{Departure, Due, Health, Link, Worker};
use crate::size::Size;
use crate::target;
use crate::time::Instant;

/// Candidates that a search looks at before it gives up.
const LOOK_AT: usize = 16;
/// Workers compared for the best fit. Twice as many pack no tighter and cost twice the search.
const FITS_COMPARED: usize = 4;

/// Workers of one size.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Kin {
    pub(crate) open: u64,
    pub(crate) closed: u64,
}

/// The shard's workers.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    workers: Vec<Option<Worker>>,
    names: HashMap<Arc<str>, Slot>,
    vacant: Vec<Slot>,
    racks: HashMap<Arc<str>, u32>,
    pub(crate) rack_members: Vec<Vec<Slot>>,
    /// Usable workers that take any work.
    pub(crate) open: Index,
    /// Usable workers that take only short work.
    pub(crate) closed: Index,
    /// Usable workers that are reserved for a gang.
    pub(crate) reserved: Index,
    due: BTreeSet<Due>,
    sizes: HashMap<Size, Kin>,
    /// Sizes of listed workers that no other size covers.
    largest: Vec<Size>,
    /// The same among the workers that take long work.
    largest_open: Vec<Size>,
    /// Sum of the listed workers' sizes.
    pub(crate) total: Size,
    /// Workers whose leases of earlier epochs are not known yet.
    pub(crate) unsurveyed: usize,
    /// Share of the workers that is closed to long work.
    closed_percent: u64,
}

impl Fleet {
    /// Returns the position of a worker.
    pub(crate) fn slot(&self, name: &str) -> Option<Slot> {
        self.names.get(name).copied()
    }

    /// Returns a worker.
    pub(crate) fn get(&self, slot: Slot) -> Option<&Worker> {
        self.workers.get(slot as usize)?.as_ref()
    }

    /// Returns a worker for changes; call [`Fleet::refresh`] after a change of its capacity.
    pub(crate) fn get_mut(&mut self, slot: Slot) -> Option<&mut Worker> {
        self.workers.get_mut(slot as usize)?.as_mut()
    }

    /// Returns all workers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Slot, &Worker)> {
        let workers = self.workers.iter().enumerate();
        workers.filter_map(|(slot, worker)| Some((slot as Slot, worker.as_ref()?)))
    }

    /// Returns all workers, starting at a position.
    pub(crate) fn iter_from(&self, from: Slot) -> impl Iterator<Item = (Slot, &Worker)> {
        let slots = (from..self.len()).chain(0..from);
        slots.filter_map(|slot| Some((slot, self.get(slot)?)))
    }

    /// Returns the number of positions, used or not.
    pub(crate) fn len(&self) -> Slot {
        self.workers.len() as Slot
    }

    /// Returns the sizes of listed workers with their counts.
    pub(crate) fn sizes(&self) -> impl Iterator<Item = (&Size, &Kin)> {
        self.sizes.iter()
    }

    /// Tells whether no worker is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Tells whether any listed worker can hold `size` when it is empty.
    pub(crate) fn can_hold(&self, size: &Size) -> bool {
        self.largest.iter().any(|largest| size.fits(largest))
    }

    /// Tells whether any listed worker that takes long work can hold `size` when it is empty.
    pub(crate) fn open_can_hold(&self, size: &Size) -> bool {
        self.largest_open.iter().any(|largest| size.fits(largest))
    }

    /// Returns the largest listed worker that can hold `size`.
    pub(crate) fn ceiling(&self, size: &Size) -> Size {
        let holding = self.largest.iter().filter(|largest| size.fits(largest));
        let largest = holding.max_by_key(|largest| (largest.millicores, largest.memory_mb));
        largest.copied().unwrap_or(*size)
    }

    /// Returns the number of usable workers.
    pub(crate) fn usable(&self) -> usize {
        self.open.len() + self.closed.len() + self.reserved.len()
    }

    /// Closes a share of the workers to long work.
    pub(crate) fn close(&mut self, percent: u64) {
        self.closed_percent = percent;
        for slot in 0..self.workers.len() as Slot {
            self.set_closed(slot, rank(slot) < percent);
        }
        self.measure();
    }

    fn set_closed(&mut self, slot: Slot, closed: bool) {
        let Some(worker) = self.get_mut(slot) else {
            return;
        };
        if worker.closed == closed {
            return;
        }
        let listed = worker.listed;
        self.set_listed(slot, false);
        if let Some(worker) = self.get_mut(slot) {
            worker.closed = closed;
        }
        self.set_listed(slot, listed);
        self.refresh(slot);
    }

    /// Finds the largest sizes after a change of the list.
    pub(crate) fn measure(&mut self) {
        let open = self.sizes.iter().filter(|entry| entry.1.open > 0);
        self.largest_open = front(open.map(|entry| *entry.0).collect());
        self.largest = front(self.sizes.keys().copied().collect());
    }

    /// Adds a worker that is looked at from `now` on.
    pub(crate) fn add(&mut self, target: target::Worker, link: Link, now: Instant) -> Slot {
        let slot = self.vacant.pop().unwrap_or(self.workers.len() as Slot);
        let rack = self.rack(&target.rack);
        self.rack_members[rack as usize].push(slot);
        self.names.insert(target.name.clone(), slot);
        self.unsurveyed += usize::from(!link.surveyed);
        let closed = rank(slot) < self.closed_percent;
        let worker = Worker {
            target,
            rack,
            listed: false,
            departure: None,
            announced: false,
            link,
            keys: Vec::new(),
            held: Size::ZERO,
            foreign: Size::ZERO,
            acknowledge: Vec::new(),
            acknowledging: Vec::new(),
            health: Health::default(),
            closed,
            reserved: false,
            pressure: 0,
            wake: now,
        };
        match self.workers.get_mut(slot as usize) {
            Some(place) => *place = Some(worker),
            None => self.workers.push(Some(worker)),
        }
        self.due.insert((now, slot));
        slot
    }

    /// Removes a worker.
    pub(crate) fn remove(&mut self, slot: Slot) {
        self.set_listed(slot, false);
        let Some(worker) = self.workers.get_mut(slot as usize).and_then(Option::take) else {
            return;
        };
        self.due.remove(&(worker.wake, slot));
        self.names.remove(&worker.target.name);
        self.rack_members[worker.rack as usize].retain(|member| *member != slot);
        self.unsurveyed -= usize::from(!worker.link.surveyed);
        self.refresh(slot);
        self.vacant.push(slot);
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
        let (size, closed) = (worker.target.size, worker.closed);
        self.count_size(size, closed, listed);
        self.refresh(slot);
    }

    /// Takes over what the platform lists of a known worker.
    pub(crate) fn relist(&mut self, slot: Slot, target: target::Worker) {
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

    /// Records when the worker leaves.
    pub(crate) fn set_departure(&mut self, slot: Slot, departure: Option<Departure>) {
        if let Some(worker) = self.get_mut(slot) {
            worker.departure = departure;
        }
        self.refresh(slot);
    }

    /// Records that the worker's leases are known.
    pub(crate) fn set_surveyed(&mut self, slot: Slot) {
        let Some(worker) = self.get_mut(slot) else {
            return;
        };
        if !worker.link.surveyed {
            worker.link.surveyed = true;
            self.unsurveyed -= 1;
        }
    }

    /// Counts a task's charge on a worker.
    pub(crate) fn hold(&mut self, slot: Slot, key: Key, charge: &Size) {
        if let Some(worker) = self.get_mut(slot) {
            worker.held += *charge;
            worker.keys.push(key);
        }
        self.refresh(slot);
    }

    /// Stops counting a task's charge.
    pub(crate) fn release(&mut self, slot: Slot, key: Key, charge: &Size) {
        if let Some(worker) = self.get_mut(slot) {
            worker.held -= *charge;
            if let Some(position) = worker.keys.iter().position(|held| *held == key) {
                worker.keys.swap_remove(position);
            }
        }
        self.refresh(slot);
    }

    /// Brings the indexes in line with the worker's state.
    pub(crate) fn refresh(&mut self, slot: Slot) {
        let worker = self.workers.get(slot as usize).and_then(Option::as_ref);
        let usable = worker.filter(|worker| worker.is_usable());
        let free = usable.map_or(Size::ZERO, Worker::free);
        let class = usable.map(|worker| (worker.reserved, worker.closed));
        let only = |wanted: bool| if wanted { free } else { Size::ZERO };
        self.open.set(slot, only(class == Some((false, false))));
        self.closed.set(slot, only(class == Some((false, true))));
        self.reserved
            .set(slot, only(class.is_some_and(|class| class.0)));
    }

    /// Sets when the worker is looked at next.
    pub(crate) fn wake_at(&mut self, slot: Slot, at: Instant) {
        let Some(worker) = self.workers.get_mut(slot as usize).and_then(Option::as_mut) else {
            return;
        };
        self.due.remove(&(worker.wake, slot));
        worker.wake = at;
        self.due.insert((at, slot));
    }

    /// Returns when the next worker is to be looked at.
    pub(crate) fn first_due(&self) -> Option<Instant> {
        self.due.first().map(|due| due.0)
    }

    /// Returns the next worker to look at if its time has come.
    pub(crate) fn next_due(&self, now: Instant) -> Option<Slot> {
        let (at, slot) = self.due.first()?;
        (*at <= now).then_some(*slot)
    }

    /// Takes the worker out of the schedule.
    pub(crate) fn forget_due(&mut self, slot: Slot) {
        if let Some(worker) = self.workers.get(slot as usize).and_then(Option::as_ref) {
            self.due.remove(&(worker.wake, slot));
        }
    }

    /// Returns the worker of `index` that wastes the least room, among the first with room.
    pub(crate) fn best_fit(&self, index: &Index, size: &Size, avoid: &[Slot]) -> Option<Slot> {
        let mut best: Option<(u64, Slot)> = None;
        let mut from = 0;
        for _ in 0..FITS_COMPARED {
            let Some(slot) = self.first_fit(index, from, size, avoid) else {
                break;
            };
            let waste = self.waste(index, slot, size);
            if best.is_none_or(|best| waste < best.0) {
                best = Some((waste, slot));
            }
            from = slot + 1;
        }
        best.map(|best| best.1)
    }

    fn waste(&self, index: &Index, slot: Slot, size: &Size) -> u64 {
        let total = self
            .get(slot)
            .map_or(Size::ZERO, |worker| worker.target.size);
        fit::fit_cost(&total, &index.free(slot), size)
    }

    /// Returns the first worker of `index` at or after `from` that has room.
    pub(crate) fn first_fit(
        &self,
        index: &Index,
        from: Slot,
        size: &Size,
        avoid: &[Slot],
    ) -> Option<Slot> {
        let mut found = index.first(from, size)?;
        while avoid.contains(&found) {
            found = index.first(found + 1, size)?;
        }
        Some(found)
    }

    /// Returns the emptiest worker of `index` that has room.
    pub(crate) fn least_loaded(&self, index: &Index, size: &Size, avoid: &[Slot]) -> Option<Slot> {
        let fits = |slot: &Slot| size.fits(&index.free(*slot)) && !avoid.contains(slot);
        let near = index.emptiest().take(LOOK_AT).find(fits);
        near.or_else(|| self.first_fit(index, 0, size, avoid))
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

    fn count_size(&mut self, size: Size, closed: bool, listed: bool) {
        let kin = self.sizes.entry(size).or_default();
        let count = if closed {
            &mut kin.closed
        } else {
            &mut kin.open
        };
        if listed {
            *count += 1;
            self.total += size;
        } else {
            *count -= 1;
            self.total -= size;
        }
        if kin.open + kin.closed == 0 {
            self.sizes.remove(&size);
        }
    }
}

/// Returns the sizes that no other size covers.
fn front(mut sizes: Vec<Size>) -> Vec<Size> {
    let key = |size: &Size| (size.millicores, size.memory_mb, size.accelerators);
    sizes.sort_unstable_by_key(|size| std::cmp::Reverse(key(size)));
    let mut front: Vec<Size> = Vec::new();
    for size in sizes {
        if !front.iter().any(|larger| size.fits(larger)) {
            front.push(size);
        }
    }
    front
}

/// Returns the closed share in percent above which a worker is closed.
///
/// Closed workers are spread evenly, and a pool of few workers closes no more than its share.
fn rank(slot: Slot) -> u64 {
    const RANKS: [u64; 20] = [
        12, 4, 16, 8, 0, 14, 6, 18, 10, 2, 13, 5, 17, 9, 1, 15, 7, 19, 11, 3,
    ];
    RANKS[slot as usize % RANKS.len()] * 100 / RANKS.len() as u64
}
