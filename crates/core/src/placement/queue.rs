//! Order of waiting work: priorities, then fair shares of the contracts, then arrival.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use crate::job::{Kind, Priority};
use crate::placement::Kernel;
use crate::placement::pick::{Misses, Outcome};
use crate::placement::work::{Job, Key, Serial};
use crate::time::Instant;

/// Jobs of one contract that a round looks at before it refreshes the list.
const CANDIDATES: usize = 64;
/// Placements decided by one call for `Tick`.
const PLACES_PER_TICK: usize = 512;
/// Jobs tried by one call for `Tick`.
const TRIES_PER_TICK: usize = 2_048;
/// Placements decided by one call for another event.
const PLACES_PER_EVENT: usize = 64;
/// Jobs tried by one call for another event.
const TRIES_PER_EVENT: usize = 128;
/// Jobs whose priority rises per call.
const PROMOTIONS_PER_CALL: usize = 1_000;

/// Work that one round may do.
#[derive(Debug)]
struct Budget {
    places: usize,
    tries: usize,
}

/// The jobs of one contract that a round looks at.
#[derive(Debug, Default)]
struct Lane {
    jobs: Vec<Serial>,
    next: usize,
    placed: usize,
}

/// One pass over the waiting jobs of a priority.
#[derive(Debug, Default)]
struct Round {
    heap: BinaryHeap<Reverse<(u64, usize)>>,
    lanes: HashMap<usize, Lane>,
    misses: Misses,
}

impl Kernel {
    /// Puts a job into its contract's queue if it has tasks that can be placed.
    pub(crate) fn enqueue(&mut self, serial: Serial) {
        let level = self.level(serial);
        let Some(job) = self.book.get_mut(serial) else {
            return;
        };
        if job.queued || job.is_stopping() || !job.is_ready() {
            return;
        }
        job.queued = true;
        job.broken = false;
        self.accounts.all[job.account].enqueue(level, serial);
    }

    /// Takes a job out of its contract's queue.
    pub(crate) fn dequeue(&mut self, serial: Serial) {
        let level = self.level(serial);
        let Some(job) = self.book.get_mut(serial) else {
            return;
        };
        if job.queued {
            job.queued = false;
            self.accounts.all[job.account].dequeue(level, serial);
        }
    }

    /// Takes a waiting task out of the queue.
    pub(crate) fn withdraw(&mut self, key: Key) {
        let Some(job) = self.book.get_mut(key.serial) else {
            return;
        };
        let before = job.waiting.len();
        job.waiting.retain(|index| *index != key.index);
        let gone = before - job.waiting.len();
        self.accounts.all[job.account].waiting -= gone as u64;
        if gone > 0 && !job.is_ready() {
            self.dequeue(key.serial);
        }
    }

    /// Raises the priority of nightly jobs whose deadline comes near.
    pub(crate) fn promote(&mut self, now: Instant) {
        for _ in 0..PROMOTIONS_PER_CALL {
            let Some((at, serial)) = self.promotions.first().copied() else {
                return;
            };
            if at > now {
                return;
            }
            self.promotions.pop_first();
            self.dequeue(serial);
            if let Some(job) = self.book.get_mut(serial) {
                job.priority = job.priority.max(Priority::Normal);
            }
            self.enqueue(serial);
        }
    }

    /// Places a bounded amount of the work that goes first.
    pub(crate) fn place_urgent(&mut self, now: Instant) {
        let level = match self.policy.rules.fair {
            true => Priority::Urgent,
            false => Priority::Normal,
        };
        let mut budget = Budget {
            places: PLACES_PER_EVENT,
            tries: TRIES_PER_EVENT,
        };
        self.round(now, level, &mut budget);
    }

    /// Places a bounded amount of all waiting work.
    pub(crate) fn place_rest(&mut self, now: Instant) {
        let mut budget = Budget {
            places: PLACES_PER_TICK,
            tries: TRIES_PER_TICK,
        };
        for level in [Priority::Urgent, Priority::Normal, Priority::Nightly] {
            self.round(now, level, &mut budget);
        }
        self.review_reservations(now);
    }

    fn round(&mut self, now: Instant, level: Priority, budget: &mut Budget) {
        let mut round = Round::default();
        for account in 0..self.accounts.all.len() {
            self.open_lane(&mut round, level, account);
        }
        while budget.places > 0 && budget.tries > 0 {
            let Some(Reverse((_, account))) = round.heap.pop() else {
                return;
            };
            let Some(lane) = round.lanes.get_mut(&account) else {
                continue;
            };
            let serial = lane.jobs[lane.next];
            budget.tries -= 1;
            match self.try_job(now, serial, &mut round.misses) {
                Outcome::Placed(tasks) => {
                    budget.places = budget.places.saturating_sub(tasks);
                    lane.placed += 1;
                    let queued = self.book.get(serial).is_some_and(|job| job.queued);
                    lane.next += usize::from(!queued);
                }
                Outcome::NoRoom if self.policy.rules.blocking => return,
                Outcome::Limited | Outcome::NoRoom => lane.next += 1,
            }
            self.continue_lane(&mut round, level, account);
        }
    }

    fn open_lane(&mut self, round: &mut Round, level: Priority, account: usize) {
        let waiting = &mut self.accounts.all[account];
        if !waiting.has_waiting(level) {
            return;
        }
        let jobs = waiting.candidates(level, CANDIDATES);
        let lane = Lane {
            jobs,
            ..Lane::default()
        };
        let order = self.order(account, &lane);
        round.lanes.insert(account, lane);
        round.heap.push(Reverse((order, account)));
    }

    fn continue_lane(&mut self, round: &mut Round, level: Priority, account: usize) {
        let Some(lane) = round.lanes.get_mut(&account) else {
            return;
        };
        if lane.next < lane.jobs.len() {
            let order = self.order(account, lane);
            round.heap.push(Reverse((order, account)));
        } else if lane.placed >= CANDIDATES / 2 {
            self.open_lane(round, level, account);
        }
    }

    /// Returns the order of a contract in a round; the smallest goes first.
    fn order(&self, account: usize, lane: &Lane) -> u64 {
        match self.policy.rules.fair {
            true => self.accounts.all[account].share(&self.fleet.total),
            false => lane.jobs[lane.next],
        }
    }

    fn level(&self, serial: Serial) -> Priority {
        match self.book.get(serial) {
            Some(job) if self.policy.rules.fair => job.priority,
            _ => Priority::Normal,
        }
    }
}

impl Job {
    /// Tells whether the job has tasks that can be placed; a gang needs all that are open.
    pub(crate) fn is_ready(&self) -> bool {
        let waiting = self.waiting.len();
        match self.spec.kind {
            Kind::Gang => waiting > 0 && waiting + self.ended_total() as usize == self.items.len(),
            Kind::Batch | Kind::Service => waiting > 0,
        }
    }
}
