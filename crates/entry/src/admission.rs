//! Refusal of jobs that can't start in time to be of use, and the time after which their callers should
//! return.

use std::collections::{HashSet, VecDeque};

use rosemaryworks_workflow::{Id, Record, Shard};

/// Time for which a job that the owner has tried to store is not refused, in milliseconds. Its caller
/// may repeat a call whose outcome is unknown, and the owner may not have read the record yet.
const ATTEMPT_KEPT_MS: u64 = 30_000;

/// Upper bound of the attempts that are kept.
const ATTEMPTS_MAX: usize = 20_000;

/// Shortest and longest time after which a caller is told to return, in seconds.
const RETRY_AFTER_S: (f64, f64) = (1.0, 30.0);

/// Share of the time by which the times of callers differ at most.
const RETRY_SPREAD: f64 = 0.5;

/// Shortest time by which the times of callers differ at most, in seconds.
const RETRY_SPREAD_MIN_S: f64 = 2.0;

/// Factor that spreads consecutive numbers evenly over all numbers (golden ratio).
const HASH_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// Jobs that an owner has tried to store.
#[derive(Debug, Default)]
pub struct Attempts {
    ids: HashSet<Id>,
    /// The same jobs, in the order in which they arrived, with the times of their arrival.
    order: VecDeque<(u64, Id)>,
}

impl Attempts {
    /// Returns the time that the caller of a job should wait if the job is refused, in milliseconds.
    /// Otherwise the owner may try to store the job.
    pub fn judge(&mut self, shard: &Shard, record: &Record, now_ms: u64) -> Option<u64> {
        let Record::Submitted { id, queue, spec } = record else {
            return None;
        };
        if self.contains(*id, now_ms) {
            return None;
        }
        let Some(wait_ms) = shard.refusal(*id, queue, spec, now_ms) else {
            self.add(*id, now_ms);
            return None;
        };
        Some(wait_ms)
    }

    /// Records that the owner tries to store a job.
    pub fn add(&mut self, id: Id, now_ms: u64) {
        self.forget(now_ms);
        if self.ids.insert(id) {
            self.order.push_back((now_ms, id));
        }
    }

    /// Returns whether the owner has tried to store a job.
    pub fn contains(&mut self, id: Id, now_ms: u64) -> bool {
        self.forget(now_ms);
        self.ids.contains(&id)
    }

    fn forget(&mut self, now_ms: u64) {
        while let Some((at_ms, id)) = self.order.front().copied() {
            let is_old = now_ms >= at_ms + ATTEMPT_KEPT_MS;
            if !is_old && self.order.len() <= ATTEMPTS_MAX {
                return;
            }
            self.order.pop_front();
            self.ids.remove(&id);
        }
    }
}

/// Returns the time after which the caller of a refused job should return, in whole seconds. It differs
/// from job to job, so that callers don't return together.
#[must_use]
pub fn retry_after_s(wait_ms: u64, id: Id) -> u64 {
    let position = id.0.wrapping_mul(HASH_FACTOR) as f64 / u64::MAX as f64;
    let (min_s, max_s) = RETRY_AFTER_S;
    let wait_s = (wait_ms as f64 / 1_000.0).clamp(min_s, max_s);
    let spread_s = (wait_s * RETRY_SPREAD).max(RETRY_SPREAD_MIN_S);
    (wait_s + spread_s * position).round() as u64
}
