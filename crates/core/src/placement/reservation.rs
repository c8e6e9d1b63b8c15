//! Workers reserved for gangs that waited long and for urgent work that found no room.

use crate::job::{Kind, Priority};
use crate::placement::Kernel;
use crate::placement::index::Slot;
use crate::placement::pick::Need;
use crate::placement::work::{Key, Serial};
use crate::placement::worker::Worker;
use crate::size::Size;
use crate::time::Instant;

/// Milliseconds that a gang waits before workers are reserved for it.
const GANG_AFTER_MS: u64 = 5_000;
/// Milliseconds that urgent work waits before workers are reserved for it.
const URGENT_AFTER_MS: u64 = 500;
/// Milliseconds beyond the expected time after which other workers are chosen.
const OVERDUE_MS: u64 = 10_000;
/// Workers compared for a reservation, unless the job needs more places.
const COMPARED: usize = 512;
/// Workers compared for each place.
const COMPARED_PER_PLACE: usize = 4;
/// Milliseconds between two comparisons, each of which takes about 0.1 ms.
const COMPARE_EVERY_MS: u64 = 50;
/// Reservations at a time; further work waits for its turn.
const RESERVATIONS_MAX: usize = 8;
/// Places reserved for one urgent batch job at a time.
const URGENT_PLACES: usize = 8;

/// Workers kept free for one job.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    serial: Serial,
    gang: bool,
    workers: Vec<Slot>,
    /// When the workers are expected to be free.
    ready: Instant,
}

impl Kernel {
    /// Tells whether work that ends within `run_ms` leaves all reserved workers in time.
    pub(crate) fn may_backfill(&self, now: Instant, run_ms: u64) -> bool {
        let end = now + run_ms;
        let mut reservations = self.reservations.iter();
        !self.reservations.is_empty() && reservations.all(|held| end <= held.ready)
    }

    /// Tells whether workers are reserved for a job.
    pub(crate) fn has_reservation(&self, serial: Serial) -> bool {
        self.reservations.iter().any(|held| held.serial == serial)
    }

    /// Returns a worker with room among those reserved for the job.
    pub(crate) fn pick_reserved(
        &self,
        serial: Serial,
        size: &Size,
        avoid: &[Slot],
    ) -> Option<Slot> {
        let own = self
            .reservations
            .iter()
            .find(|held| held.serial == serial)?;
        let fits = |slot: &Slot| size.fits(&self.fleet.reserved.free(*slot));
        let workers = own.workers.iter().copied();
        workers.filter(|slot| !avoid.contains(slot)).find(fits)
    }

    /// Reserves workers for a job that found no room, if it waited long enough.
    pub(crate) fn consider_reservation(&mut self, now: Instant, serial: Serial, need: &Need) {
        let Some(job) = self.book.get(serial) else {
            return;
        };
        let gang = job.spec.kind == Kind::Gang;
        let urgent = job.spec.priority == Priority::Urgent;
        let after_ms = if urgent {
            URGENT_AFTER_MS
        } else {
            GANG_AFTER_MS
        };
        let ripe = now.since(job.accepted) >= after_ms && (gang || urgent);
        let held = self.has_reservation(serial);
        let early = now < self.compare_at;
        if !self.policy.rules.reserves || !ripe || held || early || !self.make_way(serial, gang) {
            return;
        }
        self.compare_at = now + COMPARE_EVERY_MS;
        let Some(reservation) = self.reserve(now, serial, gang, &need.size) else {
            return;
        };
        self.mark(&reservation.workers, true);
        self.reservations.push(reservation);
    }

    /// Drops the reservation of a job.
    pub(crate) fn drop_reservation(&mut self, serial: Serial) {
        let held = self
            .reservations
            .iter()
            .position(|held| held.serial == serial);
        if let Some(position) = held {
            let reservation = self.reservations.swap_remove(position);
            self.mark(&reservation.workers, false);
        }
    }

    /// Drops reservations whose job no longer waits or whose workers didn't become free.
    pub(crate) fn review_reservations(&mut self, now: Instant) {
        let stale = |held: &&Reservation| {
            let overdue = now >= held.ready + OVERDUE_MS;
            overdue || self.book.get(held.serial).is_none_or(|job| !job.queued)
        };
        let stale = self.reservations.iter().filter(stale);
        let stale: Vec<Serial> = stale.map(|held| held.serial).collect();
        for serial in stale {
            self.drop_reservation(serial);
        }
    }

    /// Tells whether one more reservation may be made. Only the oldest waiting gang holds one;
    /// numbers follow the order of arrival.
    fn make_way(&mut self, serial: Serial, gang: bool) -> bool {
        if gang {
            let other = self.reservations.iter().find(|held| held.gang);
            match other.map(|held| held.serial) {
                Some(holder) if holder < serial => return false,
                Some(holder) => self.drop_reservation(holder),
                None => {}
            }
        }
        self.reservations.len() < RESERVATIONS_MAX
    }

    fn mark(&mut self, workers: &[Slot], reserved: bool) {
        for slot in workers {
            if let Some(worker) = self.fleet.get_mut(*slot) {
                worker.reserved = reserved;
            }
            self.fleet.refresh(*slot);
        }
    }

    /// Chooses the places that are expected to be free first.
    fn reserve(
        &mut self,
        now: Instant,
        serial: Serial,
        gang: bool,
        size: &Size,
    ) -> Option<Reservation> {
        let waiting = self.book.get(serial)?.waiting.len();
        let tasks = if gang {
            waiting
        } else {
            waiting.min(URGENT_PLACES)
        };
        let eligible = |worker: &Worker| worker.is_usable() && !worker.reserved;
        let compared = COMPARED.max(COMPARED_PER_PLACE * tasks);
        let from = self.random.below(self.fleet.len() as u64) as Slot;
        let workers = self.fleet.iter_from(from).take(compared);
        let workers = workers.filter(|(_, worker)| eligible(worker));
        let mut offers: Vec<(Instant, Slot)> = workers
            .flat_map(|(slot, worker)| self.offers(now, slot, worker, size, tasks))
            .collect();
        if offers.len() < tasks {
            return None;
        }
        offers.sort_unstable();
        offers.truncate(tasks);
        let ready = offers.last()?.0;
        let mut workers: Vec<Slot> = offers.iter().map(|offer| offer.1).collect();
        workers.sort_unstable();
        workers.dedup();
        Some(Reservation {
            serial,
            gang,
            workers,
            ready,
        })
    }

    /// Returns when each further place for a task of `size` is expected to be free on a worker.
    fn offers(
        &self,
        now: Instant,
        slot: Slot,
        worker: &Worker,
        size: &Size,
        most: usize,
    ) -> Vec<(Instant, Slot)> {
        let mut ends: Vec<(Instant, Size)> = Vec::new();
        for key in &worker.keys {
            ends.extend(self.expected_end(now, *key));
        }
        ends.sort_unstable_by_key(|end| end.0);
        let mut free = worker.free();
        let mut offers = vec![(now, slot); free.count_fitting(size).min(most as u64) as usize];
        for (end, charge) in ends {
            free += charge;
            let places = free.count_fitting(size).min(most as u64) as usize;
            offers.resize(places.max(offers.len()), (end, slot));
        }
        offers
    }

    /// Returns when a lease is expected to end and what becomes free then; services never end.
    fn expected_end(&self, now: Instant, key: Key) -> Option<(Instant, Size)> {
        let job = self.book.get(key.serial)?;
        let hold = job.items.get(key.index as usize)?.hold()?;
        if job.spec.kind == Kind::Service {
            return None;
        }
        let ran_ms = now.since(hold.since);
        let expected_ms = self.expected_ms(key.serial);
        // A task that overran its expected time is expected to run as long again.
        let left_ms = expected_ms.checked_sub(ran_ms).unwrap_or(ran_ms);
        Some((now + left_ms, hold.charge))
    }
}
