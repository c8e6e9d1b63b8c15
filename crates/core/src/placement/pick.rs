//! Worker selection: tries to place the waiting tasks of a job.

use std::collections::HashMap;

use crate::job::{Kind, Priority};
use crate::placement::Kernel;
use crate::placement::index::Slot;
use crate::placement::jobs::{Key, Serial};
use crate::placement::policy::Request;
use crate::size::Size;
use crate::time::Instant;

/// Milliseconds between attempts to place a gang that found no capacity.
const GANG_RETRY_MS: u64 = 500;
/// Milliseconds in the queue during which a task avoids the workers on which it failed.
const AVOID_MS: u64 = 5_000;
/// Most misses recorded per round.
const MISSES_MAX: usize = 16;

/// Result of an attempt to place a job's next tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// The contract's limit is reached, or no task is waiting.
    Limited,
    /// No worker has enough capacity.
    NoCapacity,
    /// That many tasks were placed.
    Placed(usize),
}

/// Sizes that found no capacity in this round. Tasks at least as large are not tried again.
#[derive(Debug, Default)]
pub(crate) struct Misses(Vec<(Kind, bool, Size)>);

impl Misses {
    fn contains(&self, kind: Kind, long: bool, size: &Size) -> bool {
        let covers =
            |miss: &(Kind, bool, Size)| miss.0 == kind && (long || !miss.1) && miss.2.fits(size);
        self.0.iter().any(covers)
    }

    fn add(&mut self, kind: Kind, long: bool, size: &Size) {
        if self.0.len() < MISSES_MAX {
            self.0.push((kind, long, *size));
        }
    }
}

/// Resources and run time that a job's next tasks need.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    kind: Kind,
    pub(crate) size: Size,
    /// Expected run time in milliseconds.
    pub(crate) run_ms: u64,
    /// Whether the task must not use short-only workers.
    pub(crate) long: bool,
    /// Whether the task may use reserved workers.
    backfill: bool,
    urgent: bool,
    account: usize,
}

impl Kernel {
    /// Tries to place the next task of a job, or a whole gang.
    pub(crate) fn try_job(&mut self, now: Instant, serial: Serial, misses: &mut Misses) -> Outcome {
        let Some(demand) = self.demand(now, serial) else {
            return Outcome::Limited;
        };
        match demand.kind {
            Kind::Gang => self.try_gang(now, serial, &demand, misses),
            Kind::Batch | Kind::Service => self.try_task(now, serial, &demand, misses),
        }
    }

    /// Returns the expected run time of a job's tasks in milliseconds.
    pub(crate) fn expected_ms(&self, serial: Serial) -> u64 {
        let job = self.jobs.get(serial);
        job.map_or(0, |job| self.estimates.run_ms(job.group, &job.spec))
    }

    /// Returns the size charged for a new lease of a job.
    pub(crate) fn charge_for(&self, serial: Serial) -> Size {
        let Some(job) = self.jobs.get(serial) else {
            return Size::ZERO;
        };
        let declared = job.spec.size;
        let estimated = self.estimates.size(job.group, &declared);
        if estimated == declared {
            return declared;
        }
        // An estimate beyond the largest VM or the contract's limit must not block the job forever.
        let account = &self.accounts.all[job.account];
        let ceiling = self.fleet.ceiling(&declared).min(&account.limit);
        estimated.min(&ceiling).max(&declared)
    }

    fn demand(&self, now: Instant, serial: Serial) -> Option<Demand> {
        let job = self.jobs.get(serial)?;
        let size = self.charge_for(serial);
        let run_ms = self.expected_ms(serial);
        let urgent = job.spec.priority == Priority::Urgent;
        // A declared run time may be wrong. Only estimated ones qualify for short-only workers.
        let predictable = urgent || self.estimates.has_run_estimate(job.group);
        let service = job.spec.kind == Kind::Service;
        let long = service || !predictable || run_ms >= self.mix.long_ms();
        Some(Demand {
            kind: job.spec.kind,
            size,
            run_ms,
            long: long && self.fleet.general_can_hold(&size),
            backfill: urgent || (!long && self.may_backfill(now, run_ms)),
            urgent,
            account: job.account,
        })
    }

    fn try_task(
        &mut self,
        now: Instant,
        serial: Serial,
        demand: &Demand,
        misses: &mut Misses,
    ) -> Outcome {
        if !self.accounts.all[demand.account].allows(&demand.size, demand.urgent) {
            return Outcome::Limited;
        }
        let reserved = self.has_reservation(serial);
        if !reserved && misses.contains(demand.kind, demand.long, &demand.size) {
            return Outcome::NoCapacity;
        }
        let Some(index) = self.first_waiting(serial) else {
            return Outcome::Limited;
        };
        let key = Key { serial, index };
        let Some(slot) = self.pick(now, key, demand) else {
            if self.avoided(key).is_empty() && (!demand.backfill || demand.urgent) {
                misses.add(demand.kind, demand.long, &demand.size);
            }
            self.mix.starved |= !demand.long;
            self.consider_reservation(now, serial, demand);
            return Outcome::NoCapacity;
        };
        self.pop_waiting(serial);
        self.grant(now, key, slot, demand);
        Outcome::Placed(1)
    }

    fn try_gang(
        &mut self,
        now: Instant,
        serial: Serial,
        demand: &Demand,
        misses: &mut Misses,
    ) -> Outcome {
        let Some(job) = self.jobs.get(serial) else {
            return Outcome::Limited;
        };
        let tasks: Vec<u32> = job.waiting.iter().copied().collect();
        let retry = job.retry;
        let total = demand.size.times(tasks.len() as u64);
        if !self.accounts.all[demand.account].allows(&total, demand.urgent) {
            return Outcome::Limited;
        }
        if now < retry || misses.contains(demand.kind, demand.long, &total) {
            return Outcome::NoCapacity;
        }
        let Some(slots) = self.pick_all(now, serial, &tasks, demand) else {
            self.defer_gang(now, serial, demand);
            return Outcome::NoCapacity;
        };
        self.drop_reservation(serial);
        for (index, slot) in tasks.iter().zip(slots) {
            let key = Key {
                serial,
                index: *index,
            };
            self.pop_waiting(serial);
            self.grant(now, key, slot, demand);
        }
        Outcome::Placed(tasks.len())
    }

    /// Picks workers for all tasks of a gang, or none.
    fn pick_all(
        &mut self,
        now: Instant,
        serial: Serial,
        tasks: &[u32],
        demand: &Demand,
    ) -> Option<Vec<Slot>> {
        let mut slots: Vec<Slot> = Vec::with_capacity(tasks.len());
        for index in tasks {
            let key = Key {
                serial,
                index: *index,
            };
            let Some(slot) = self.pick(now, key, demand) else {
                break;
            };
            slots.push(slot);
            self.fleet.allocate(slot, key, &demand.size);
        }
        // The allocation only served to pick the next worker; the grants allocate it again.
        for (index, slot) in tasks.iter().zip(&slots) {
            let key = Key {
                serial,
                index: *index,
            };
            self.fleet.release(*slot, key, &demand.size);
        }
        (slots.len() == tasks.len()).then_some(slots)
    }

    fn pick(&mut self, now: Instant, key: Key, demand: &Demand) -> Option<Slot> {
        let no_racks = HashMap::new();
        let job = self.jobs.get(key.serial)?;
        let state = job.tasks.get(key.index as usize)?;
        let request = Request {
            size: demand.size,
            long: demand.long,
            backfill: demand.backfill,
            avoid: &state.failed_on,
            racks: if demand.kind == Kind::Service {
                &job.racks
            } else {
                &no_racks
            },
        };
        let reserved = self.pick_reserved(key.serial, &demand.size, request.avoid);
        if reserved.is_some() {
            return reserved;
        }
        let policy = self.policy.for_kind(demand.kind);
        let found = policy.pick(&self.fleet, &request, &mut self.random);
        if found.is_some() || request.avoid.is_empty() {
            return found;
        }
        // The other workers may never be able to hold the task, so the task avoids the workers on
        // which it failed only for a limited time.
        let still_avoiding = now.since(state.queued) < AVOID_MS;
        if still_avoiding && request.avoid.len() < self.fleet.usable() {
            return None;
        }
        let request = Request {
            avoid: &[],
            ..request
        };
        policy.pick(&self.fleet, &request, &mut self.random)
    }

    fn avoided(&self, key: Key) -> &[Slot] {
        self.jobs.task(key).map_or(&[], |state| &state.failed_on)
    }

    fn first_waiting(&self, serial: Serial) -> Option<u32> {
        self.jobs.get(serial)?.waiting.front().copied()
    }

    fn pop_waiting(&mut self, serial: Serial) {
        let Some(job) = self.jobs.get_mut(serial) else {
            return;
        };
        if job.waiting.pop_front().is_some() {
            self.accounts.all[job.account].waiting -= 1;
        }
        if job.waiting.is_empty() {
            self.dequeue(serial);
        }
    }

    fn defer_gang(&mut self, now: Instant, serial: Serial, demand: &Demand) {
        if let Some(job) = self.jobs.get_mut(serial) {
            job.retry = now + GANG_RETRY_MS;
        }
        self.consider_reservation(now, serial, demand);
    }
}
