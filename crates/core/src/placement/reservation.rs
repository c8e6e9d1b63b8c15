//! Resource reservation against starvation: keeps workers free for gangs that waited long and for
//! urgent jobs that found no capacity.
//!
//! Other tasks may backfill reserved workers if they are expected to end in time.

use crate::job::{Kind, Priority};
use crate::placement::Kernel;
use crate::placement::index::Slot;
use crate::placement::jobs::{Key, Serial};
use crate::placement::pick::Demand;
use crate::placement::worker::Worker;
use crate::size::Size;
use crate::time::Instant;

/// Milliseconds that a gang waits before workers are reserved for it.
const GANG_WAIT_MS: u64 = 5_000;
/// Milliseconds that an urgent job waits before workers are reserved for it.
const URGENT_WAIT_MS: u64 = 500;
/// Milliseconds beyond the expected time after which a reservation is dropped and other workers may
/// be chosen.
const OVERDUE_MS: u64 = 10_000;
/// Workers compared for a reservation, unless the job's tasks need more.
const WORKERS_COMPARED: usize = 512;
/// Workers compared per task to place.
const WORKERS_COMPARED_PER_TASK: usize = 4;
/// Milliseconds between two comparisons, each of which takes about 0.1 ms.
const COMPARE_EVERY_MS: u64 = 50;
/// Most reservations at a time. Further jobs wait until one is dropped.
const RESERVATIONS_MAX: usize = 8;
/// Most tasks of one urgent job for which workers are reserved at a time.
const URGENT_TASKS_MAX: usize = 8;

/// Workers reserved for one job.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    serial: Serial,
    gang: bool,
    workers: Vec<Slot>,
    /// When the workers are expected to have enough free capacity.
    ready: Instant,
}

impl Kernel {
    /// Returns whether a task that ends within `run_ms` may backfill reserved workers: it ends
    /// before any of the reservations is ready.
    pub(crate) fn may_backfill(&self, now: Instant, run_ms: u64) -> bool {
        let end = now + run_ms;
        let mut reservations = self.reservations.iter();
        !self.reservations.is_empty() && reservations.all(|reservation| end <= reservation.ready)
    }

    /// Returns whether workers are reserved for a job.
    pub(crate) fn has_reservation(&self, serial: Serial) -> bool {
        self.reservations
            .iter()
            .any(|reservation| reservation.serial == serial)
    }

    /// Returns a worker with enough capacity among those reserved for the job.
    pub(crate) fn pick_reserved(
        &self,
        serial: Serial,
        size: &Size,
        avoid: &[Slot],
    ) -> Option<Slot> {
        let own = self
            .reservations
            .iter()
            .find(|reservation| reservation.serial == serial)?;
        let fits = |slot: &Slot| size.fits(&self.fleet.reserved.free(*slot));
        let workers = own.workers.iter().copied();
        workers.filter(|slot| !avoid.contains(slot)).find(fits)
    }

    /// Reserves workers for a job that found no capacity, if it waited long enough.
    pub(crate) fn consider_reservation(&mut self, now: Instant, serial: Serial, demand: &Demand) {
        let Some(job) = self.jobs.get(serial) else {
            return;
        };
        let gang = job.spec.kind == Kind::Gang;
        let urgent = job.spec.priority == Priority::Urgent;
        let wait_ms = if urgent { URGENT_WAIT_MS } else { GANG_WAIT_MS };
        let waited_enough = now.since(job.accepted) >= wait_ms && (gang || urgent);
        let has_reservation = self.has_reservation(serial);
        let early = now < self.next_comparison;
        if !self.policy.rules.reserves
            || !waited_enough
            || has_reservation
            || early
            || !self.admit_reservation(serial, gang)
        {
            return;
        }
        self.next_comparison = now + COMPARE_EVERY_MS;
        let Some(reservation) = self.reserve(now, serial, gang, &demand.size) else {
            return;
        };
        self.set_reserved(&reservation.workers, true);
        self.reservations.push(reservation);
    }

    /// Drops the reservation of a job.
    pub(crate) fn drop_reservation(&mut self, serial: Serial) {
        let position = self
            .reservations
            .iter()
            .position(|reservation| reservation.serial == serial);
        if let Some(position) = position {
            let reservation = self.reservations.swap_remove(position);
            self.set_reserved(&reservation.workers, false);
        }
    }

    /// Drops reservations whose job no longer waits or whose workers didn't become free in time.
    pub(crate) fn review_reservations(&mut self, now: Instant) {
        let stale = |reservation: &&Reservation| {
            let overdue = now >= reservation.ready + OVERDUE_MS;
            overdue
                || self
                    .jobs
                    .get(reservation.serial)
                    .is_none_or(|job| !job.queued)
        };
        let stale = self.reservations.iter().filter(stale);
        let stale: Vec<Serial> = stale.map(|reservation| reservation.serial).collect();
        for serial in stale {
            self.drop_reservation(serial);
        }
    }

    /// Returns whether one more reservation may be made. At most one gang holds a reservation: that
    /// of a younger gang is dropped in favor of an older one. Serials follow the order of arrival.
    fn admit_reservation(&mut self, serial: Serial, gang: bool) -> bool {
        if gang {
            let other = self
                .reservations
                .iter()
                .find(|reservation| reservation.gang);
            match other.map(|reservation| reservation.serial) {
                Some(holder) if holder < serial => return false,
                Some(holder) => self.drop_reservation(holder),
                None => {}
            }
        }
        self.reservations.len() < RESERVATIONS_MAX
    }

    fn set_reserved(&mut self, workers: &[Slot], reserved: bool) {
        for slot in workers {
            if let Some(worker) = self.fleet.get_mut(*slot) {
                worker.reserved = reserved;
            }
            self.fleet.reindex(*slot);
        }
    }

    /// Chooses the workers that are expected to have capacity for the tasks first.
    fn reserve(
        &mut self,
        now: Instant,
        serial: Serial,
        gang: bool,
        size: &Size,
    ) -> Option<Reservation> {
        let waiting = self.jobs.get(serial)?.waiting.len();
        let tasks = if gang {
            waiting
        } else {
            waiting.min(URGENT_TASKS_MAX)
        };
        let eligible = |worker: &Worker| worker.is_usable() && !worker.reserved;
        let compared = WORKERS_COMPARED.max(WORKERS_COMPARED_PER_TASK * tasks);
        let from = self.random.below(self.fleet.len() as u64) as Slot;
        let workers = self.fleet.iter_from(from).take(compared);
        let workers = workers.filter(|(_, worker)| eligible(worker));
        let mut available: Vec<(Instant, Slot)> = workers
            .flat_map(|(slot, worker)| self.available_times(now, slot, worker, size, tasks))
            .collect();
        if available.len() < tasks {
            return None;
        }
        available.sort_unstable();
        available.truncate(tasks);
        let ready = available.last()?.0;
        let mut workers: Vec<Slot> = available.iter().map(|entry| entry.1).collect();
        workers.sort_unstable();
        workers.dedup();
        Some(Reservation {
            serial,
            gang,
            workers,
            ready,
        })
    }

    /// Returns when a worker is expected to have capacity for each further task of `size`, up to
    /// `tasks_max` tasks.
    fn available_times(
        &self,
        now: Instant,
        slot: Slot,
        worker: &Worker,
        size: &Size,
        tasks_max: usize,
    ) -> Vec<(Instant, Slot)> {
        let mut ends: Vec<(Instant, Size)> = Vec::new();
        for key in &worker.keys {
            ends.extend(self.expected_end(now, *key));
        }
        ends.sort_unstable_by_key(|end| end.0);
        let mut free = worker.free();
        let mut available =
            vec![(now, slot); free.count_fitting(size).min(tasks_max as u64) as usize];
        for (end, charge) in ends {
            free += charge;
            let fitting = free.count_fitting(size).min(tasks_max as u64) as usize;
            available.resize(fitting.max(available.len()), (end, slot));
        }
        available
    }

    /// Returns when a lease is expected to end and the capacity it frees. Services never end.
    fn expected_end(&self, now: Instant, key: Key) -> Option<(Instant, Size)> {
        let job = self.jobs.get(key.serial)?;
        let placement = job.tasks.get(key.index as usize)?.placement()?;
        if job.spec.kind == Kind::Service {
            return None;
        }
        let ran_ms = now.since(placement.since);
        let expected_ms = self.expected_ms(key.serial);
        // An overdue task is expected to run as long again as it has run so far.
        let left_ms = expected_ms.checked_sub(ran_ms).unwrap_or(ran_ms);
        Some((now + left_ms, placement.charge))
    }
}
