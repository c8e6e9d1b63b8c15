//! Workers reserved for a gang that waited long for room.

use crate::job::Kind;
use crate::placement::Kernel;
use crate::placement::index::Slot;
use crate::placement::work::{Key, Serial};
use crate::placement::worker::Worker;
use crate::size::Size;
use crate::time::Instant;

/// Milliseconds that a gang waits before workers are reserved for it.
const RESERVE_AFTER_MS: u64 = 5_000;
/// Milliseconds beyond the expected time after which other workers are chosen.
const OVERDUE_MS: u64 = 10_000;
/// Workers compared for a reservation.
const COMPARED_MAX: usize = 4_096;

/// Workers kept free for one gang.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    serial: Serial,
    workers: Vec<Slot>,
    /// When the workers are expected to be free.
    ready: Instant,
}

impl Kernel {
    /// Tells whether a job's tasks may use reserved workers.
    pub(crate) fn may_backfill(&self, now: Instant, serial: Serial, run_ms: u64) -> bool {
        let reservation = self.reservation.as_ref();
        reservation.is_some_and(|held| held.serial == serial || now + run_ms <= held.ready)
    }

    /// Reserves workers for a gang that found no room, if it waited long enough.
    pub(crate) fn consider_reservation(&mut self, now: Instant, serial: Serial) {
        let waited = self
            .book
            .get(serial)
            .map_or(0, |job| now.since(job.accepted));
        let idle = self.reservation.is_none();
        if !self.policy.rules.reserves || !idle || waited < RESERVE_AFTER_MS {
            return;
        }
        let Some(reservation) = self.reserve(now, serial) else {
            return;
        };
        self.mark(&reservation.workers, true);
        self.reservation = Some(reservation);
    }

    /// Drops the reservation of a gang.
    pub(crate) fn drop_reservation(&mut self, serial: Serial) {
        let held = self.reservation.take_if(|held| held.serial == serial);
        if let Some(reservation) = held {
            self.mark(&reservation.workers, false);
        }
    }

    /// Drops a reservation whose gang no longer waits or whose workers didn't become free.
    pub(crate) fn review_reservation(&mut self, now: Instant) {
        let Some(held) = &self.reservation else {
            return;
        };
        let serial = held.serial;
        let overdue = now >= held.ready + OVERDUE_MS;
        let queued = self.book.get(serial).is_some_and(|job| job.queued);
        if overdue || !queued {
            self.drop_reservation(serial);
        }
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
    fn reserve(&mut self, now: Instant, serial: Serial) -> Option<Reservation> {
        let size = self.charge_of(serial);
        let tasks = self.book.get(serial)?.waiting.len();
        let workers = self.fleet.iter().filter(|(_, worker)| worker.is_usable());
        let mut offers: Vec<(Instant, Slot)> = workers
            .take(COMPARED_MAX)
            .flat_map(|(slot, worker)| self.offers(now, slot, worker, &size, tasks))
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
        let mut offers = vec![(now, slot); free.holds(size).min(most as u64) as usize];
        for (end, charge) in ends {
            free += charge;
            let places = free.holds(size).min(most as u64) as usize;
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
