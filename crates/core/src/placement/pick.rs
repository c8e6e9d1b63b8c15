//! Decides whether a waiting job's tasks can be placed now, and where.

use std::collections::HashMap;

use crate::job::{Kind, Priority};
use crate::placement::Kernel;
use crate::placement::index::Slot;
use crate::placement::policy::Ask;
use crate::placement::work::{Key, Serial};
use crate::size::Size;
use crate::time::Instant;

/// Milliseconds between attempts to place a gang that found no room.
const GANG_RETRY_MS: u64 = 500;
/// Milliseconds in the queue during which a task keeps off the workers on which it failed.
const AVOID_MS: u64 = 5_000;
/// Sizes without room that one round remembers.
const MISSES_MAX: usize = 16;

/// What became of an attempt to place a job's next tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// The contract's limit leaves no room.
    Limited,
    /// No worker has room.
    NoRoom,
    /// Tasks were placed.
    Placed(usize),
}

/// Sizes that found no room in this round; nothing at least as large is tried again.
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

/// What a job's tasks need.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Need {
    kind: Kind,
    pub(crate) size: Size,
    /// Expected run time in milliseconds.
    pub(crate) run_ms: u64,
    pub(crate) long: bool,
    backfill: bool,
    urgent: bool,
    account: usize,
}

impl Kernel {
    /// Tries to place the next task of a job, or a whole gang.
    pub(crate) fn try_job(&mut self, now: Instant, serial: Serial, misses: &mut Misses) -> Outcome {
        let Some(need) = self.need(now, serial) else {
            return Outcome::Limited;
        };
        match need.kind {
            Kind::Gang => self.try_gang(now, serial, &need, misses),
            Kind::Batch | Kind::Service => self.try_task(now, serial, &need, misses),
        }
    }

    /// Returns the expected run time of a job's tasks in milliseconds.
    pub(crate) fn expected_ms(&self, serial: Serial) -> u64 {
        let job = self.book.get(serial);
        job.map_or(0, |job| self.learned.run_ms(job.group, &job.spec))
    }

    /// Returns the size that is counted for a new lease of a job.
    pub(crate) fn charge_of(&self, serial: Serial) -> Size {
        let Some(job) = self.book.get(serial) else {
            return Size::ZERO;
        };
        let declared = job.spec.size;
        let learned = self.learned.size(job.group, &declared);
        if learned == declared {
            return declared;
        }
        // Learned use beyond the largest VM or the contract's limit must not stop the work forever.
        let account = &self.accounts.all[job.account];
        let ceiling = self.fleet.ceiling(&declared).min(&account.limit);
        learned.min(&ceiling).max(&declared)
    }

    fn need(&self, now: Instant, serial: Serial) -> Option<Need> {
        let job = self.book.get(serial)?;
        let size = self.charge_of(serial);
        let run_ms = self.expected_ms(serial);
        let urgent = job.spec.priority == Priority::Urgent;
        // A declared run time may be wrong, so that only learned ones open the closed share.
        let known = urgent || self.learned.knows_run(job.group);
        let service = job.spec.kind == Kind::Service;
        let long = service || !known || run_ms >= self.mix.long_ms();
        Some(Need {
            kind: job.spec.kind,
            size,
            run_ms,
            long: long && self.fleet.open_can_hold(&size),
            backfill: urgent || (!long && self.may_backfill(now, run_ms)),
            urgent,
            account: job.account,
        })
    }

    fn try_task(
        &mut self,
        now: Instant,
        serial: Serial,
        need: &Need,
        misses: &mut Misses,
    ) -> Outcome {
        if !self.accounts.all[need.account].allows(&need.size, need.urgent) {
            return Outcome::Limited;
        }
        let reserved = self.has_reservation(serial);
        if !reserved && misses.contains(need.kind, need.long, &need.size) {
            return Outcome::NoRoom;
        }
        let Some(index) = self.first_waiting(serial) else {
            return Outcome::Limited;
        };
        let key = Key { serial, index };
        let Some(slot) = self.pick(now, key, need) else {
            if self.avoided(key).is_empty() && (!need.backfill || need.urgent) {
                misses.add(need.kind, need.long, &need.size);
            }
            self.mix.starved |= !need.long;
            self.consider_reservation(now, serial, need);
            return Outcome::NoRoom;
        };
        self.withdraw_first(serial);
        self.grant(now, key, slot, need);
        Outcome::Placed(1)
    }

    fn try_gang(
        &mut self,
        now: Instant,
        serial: Serial,
        need: &Need,
        misses: &mut Misses,
    ) -> Outcome {
        let Some(job) = self.book.get(serial) else {
            return Outcome::Limited;
        };
        let tasks: Vec<u32> = job.waiting.iter().copied().collect();
        let retry = job.retry;
        let together = need.size.times(tasks.len() as u64);
        if !self.accounts.all[need.account].allows(&together, need.urgent) {
            return Outcome::Limited;
        }
        if now < retry || misses.contains(need.kind, need.long, &together) {
            return Outcome::NoRoom;
        }
        let Some(slots) = self.pick_all(now, serial, &tasks, need) else {
            self.defer_gang(now, serial, need);
            return Outcome::NoRoom;
        };
        self.drop_reservation(serial);
        for (index, slot) in tasks.iter().zip(slots) {
            let key = Key {
                serial,
                index: *index,
            };
            self.withdraw_first(serial);
            self.grant(now, key, slot, need);
        }
        Outcome::Placed(tasks.len())
    }

    /// Picks workers for all tasks of a gang, or none.
    fn pick_all(
        &mut self,
        now: Instant,
        serial: Serial,
        tasks: &[u32],
        need: &Need,
    ) -> Option<Vec<Slot>> {
        let mut slots: Vec<Slot> = Vec::with_capacity(tasks.len());
        for index in tasks {
            let key = Key {
                serial,
                index: *index,
            };
            let Some(slot) = self.pick(now, key, need) else {
                break;
            };
            slots.push(slot);
            self.fleet.hold(slot, key, &need.size);
        }
        // The capacity was only counted to pick the next worker; the grants count it again.
        for (index, slot) in tasks.iter().zip(&slots) {
            let key = Key {
                serial,
                index: *index,
            };
            self.fleet.release(*slot, key, &need.size);
        }
        (slots.len() == tasks.len()).then_some(slots)
    }

    fn pick(&mut self, now: Instant, key: Key, need: &Need) -> Option<Slot> {
        let none = HashMap::new();
        let job = self.book.get(key.serial)?;
        let item = job.items.get(key.index as usize)?;
        let ask = Ask {
            size: need.size,
            long: need.long,
            backfill: need.backfill,
            avoid: &item.failed_on,
            racks: if need.kind == Kind::Service {
                &job.racks
            } else {
                &none
            },
        };
        let reserved = self.pick_reserved(key.serial, &need.size, ask.avoid);
        if reserved.is_some() {
            return reserved;
        }
        let policy = self.policy.of(need.kind);
        let found = policy.pick(&self.fleet, &ask, &mut self.random);
        if found.is_some() || ask.avoid.is_empty() {
            return found;
        }
        // The other workers may be unable to hold the task for ever.
        let patient = now.since(item.queued) < AVOID_MS;
        if patient && ask.avoid.len() < self.fleet.usable() {
            return None;
        }
        let ask = Ask { avoid: &[], ..ask };
        policy.pick(&self.fleet, &ask, &mut self.random)
    }

    fn avoided(&self, key: Key) -> &[Slot] {
        self.book.item(key).map_or(&[], |item| &item.failed_on)
    }

    fn first_waiting(&self, serial: Serial) -> Option<u32> {
        self.book.get(serial)?.waiting.front().copied()
    }

    fn withdraw_first(&mut self, serial: Serial) {
        let Some(job) = self.book.get_mut(serial) else {
            return;
        };
        if job.waiting.pop_front().is_some() {
            self.accounts.all[job.account].waiting -= 1;
        }
        if job.waiting.is_empty() {
            self.dequeue(serial);
        }
    }

    fn defer_gang(&mut self, now: Instant, serial: Serial, need: &Need) {
        if let Some(job) = self.book.get_mut(serial) {
            job.retry = now + GANG_RETRY_MS;
        }
        self.consider_reservation(now, serial, need);
    }
}
