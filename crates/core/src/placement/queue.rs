//! Queueing order: by priority, then by weighted dominant share of the contracts, then by arrival.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use crate::job::{Kind, Priority};
use crate::placement::Kernel;
use crate::placement::jobs::{Job, Key, Serial};
use crate::placement::pick::{Misses, Outcome};
use crate::time::Instant;

/// Most jobs of one contract that a round fetches at once.
const CANDIDATES_MAX: usize = 64;
/// Most placements per `Tick`.
const PLACEMENTS_PER_TICK: usize = 512;
/// Most jobs tried per `Tick`.
const ATTEMPTS_PER_TICK: usize = 2_048;
/// Most placements per other event.
const PLACEMENTS_PER_EVENT: usize = 64;
/// Most jobs tried per other event.
const ATTEMPTS_PER_EVENT: usize = 128;
/// Most jobs promoted per tick.
const PROMOTIONS_PER_CALL: usize = 1_000;

/// Remaining work of one event.
#[derive(Debug)]
struct Budget {
    placements: usize,
    attempts: usize,
}

/// Jobs of one contract that a round tries.
#[derive(Debug, Default)]
struct Candidates {
    jobs: Vec<Serial>,
    next: usize,
    placed: usize,
}

/// One pass over the waiting jobs of a priority.
#[derive(Debug, Default)]
struct Round {
    heap: BinaryHeap<Reverse<(u64, usize)>>,
    contracts: HashMap<usize, Candidates>,
    misses: Misses,
}

impl Kernel {
    /// Adds a job to its contract's queue if it has tasks that can be placed.
    pub(crate) fn enqueue(&mut self, serial: Serial) {
        let priority = self.effective_priority(serial);
        let Some(job) = self.jobs.get_mut(serial) else {
            return;
        };
        if job.queued || job.is_stopping() || !job.is_ready() {
            return;
        }
        job.queued = true;
        job.member_lost = false;
        self.accounts.all[job.account].enqueue(priority, serial);
    }

    /// Removes a job from its contract's queue.
    pub(crate) fn dequeue(&mut self, serial: Serial) {
        let priority = self.effective_priority(serial);
        let Some(job) = self.jobs.get_mut(serial) else {
            return;
        };
        if job.queued {
            job.queued = false;
            self.accounts.all[job.account].dequeue(priority, serial);
        }
    }

    /// Removes a waiting task from the queue.
    pub(crate) fn remove_waiting(&mut self, key: Key) {
        let Some(job) = self.jobs.get_mut(key.serial) else {
            return;
        };
        let before = job.waiting.len();
        job.waiting.retain(|index| *index != key.index);
        let removed = before - job.waiting.len();
        self.accounts.all[job.account].waiting -= removed as u64;
        if removed > 0 && !job.is_ready() {
            self.dequeue(key.serial);
        }
    }

    /// Promotes nightly jobs to normal priority after half of the time to their deadline.
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
            if let Some(job) = self.jobs.get_mut(serial) {
                job.priority = job.priority.max(Priority::Normal);
            }
            self.enqueue(serial);
        }
    }

    /// Places a bounded number of urgent tasks, or of any tasks under a policy without priorities.
    pub(crate) fn place_urgent(&mut self, now: Instant) {
        let priority = match self.policy.rules.fair {
            true => Priority::Urgent,
            false => Priority::Normal,
        };
        let mut budget = Budget {
            placements: PLACEMENTS_PER_EVENT,
            attempts: ATTEMPTS_PER_EVENT,
        };
        self.run_round(now, priority, &mut budget);
    }

    /// Places a bounded number of waiting tasks of all priorities.
    pub(crate) fn place_waiting(&mut self, now: Instant) {
        let mut budget = Budget {
            placements: PLACEMENTS_PER_TICK,
            attempts: ATTEMPTS_PER_TICK,
        };
        for priority in [Priority::Urgent, Priority::Normal, Priority::Nightly] {
            self.run_round(now, priority, &mut budget);
        }
        self.review_reservations(now);
    }

    fn run_round(&mut self, now: Instant, priority: Priority, budget: &mut Budget) {
        let mut round = Round::default();
        for account in 0..self.accounts.all.len() {
            self.add_candidates(&mut round, priority, account);
        }
        while budget.placements > 0 && budget.attempts > 0 {
            let Some(Reverse((_, account))) = round.heap.pop() else {
                return;
            };
            let Some(candidates) = round.contracts.get_mut(&account) else {
                continue;
            };
            let serial = candidates.jobs[candidates.next];
            budget.attempts -= 1;
            match self.try_job(now, serial, &mut round.misses) {
                Outcome::Placed(tasks) => {
                    budget.placements = budget.placements.saturating_sub(tasks);
                    candidates.placed += 1;
                    let queued = self.jobs.get(serial).is_some_and(|job| job.queued);
                    candidates.next += usize::from(!queued);
                }
                Outcome::NoCapacity if self.policy.rules.blocking => return,
                Outcome::Limited | Outcome::NoCapacity => candidates.next += 1,
            }
            self.continue_candidates(&mut round, priority, account);
        }
    }

    fn add_candidates(&mut self, round: &mut Round, priority: Priority, account: usize) {
        let queue = &mut self.accounts.all[account];
        if !queue.has_waiting(priority) {
            return;
        }
        let jobs = queue.candidates(priority, CANDIDATES_MAX);
        let candidates = Candidates {
            jobs,
            ..Candidates::default()
        };
        let sort_key = self.sort_key(account, &candidates);
        round.contracts.insert(account, candidates);
        round.heap.push(Reverse((sort_key, account)));
    }

    fn continue_candidates(&mut self, round: &mut Round, priority: Priority, account: usize) {
        let Some(candidates) = round.contracts.get_mut(&account) else {
            return;
        };
        if candidates.next < candidates.jobs.len() {
            let sort_key = self.sort_key(account, candidates);
            round.heap.push(Reverse((sort_key, account)));
        } else if candidates.placed >= CANDIDATES_MAX / 2 {
            self.add_candidates(round, priority, account);
        }
    }

    /// Returns the sort key of a contract in a round; the smallest is served first.
    fn sort_key(&self, account: usize, candidates: &Candidates) -> u64 {
        match self.policy.rules.fair {
            true => self.accounts.all[account].dominant_share(&self.fleet.total),
            false => candidates.jobs[candidates.next],
        }
    }

    fn effective_priority(&self, serial: Serial) -> Priority {
        match self.jobs.get(serial) {
            Some(job) if self.policy.rules.fair => job.priority,
            _ => Priority::Normal,
        }
    }
}

impl Job {
    /// Returns whether the job has tasks that can be placed. A gang needs all of its unfinished
    /// tasks to be waiting.
    pub(crate) fn is_ready(&self) -> bool {
        let waiting = self.waiting.len();
        match self.spec.kind {
            Kind::Gang => waiting > 0 && waiting + self.ended_total() as usize == self.tasks.len(),
            Kind::Batch | Kind::Service => waiting > 0,
        }
    }
}
