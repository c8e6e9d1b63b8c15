//! Memory that jobs hold. All shards of a process share one bound.
//!
//! A client may submit a job that holds a hundred times the memory of an ordinary one. Such large jobs
//! are counted apart, so that there is always memory left for ordinary jobs.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::job::{Spec, Step};
use crate::run::{StepRun, Task};

/// Memory of a known job in bytes, whether or not it has ended.
const JOB_BYTES: u64 = 512;

/// Memory of an allocation beyond its contents, in bytes.
const ALLOCATION_BYTES: u64 = 32;

/// Memory of the entry of a ready step in the placement order, in bytes.
const READY_BYTES: u64 = 64;

/// Size in bytes from which a job is large.
const LARGE_BYTES: u64 = 256 * 1024;

/// Part of the memory that is left for jobs that are not large.
const SMALL_SHARE: u64 = 8;

const fn size_of<T>() -> u64 {
    std::mem::size_of::<T>() as u64
}

/// Memory of one job in bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Cost {
    /// Specification.
    pub(crate) spec: u64,
    /// Each occurrence in progress.
    pub(crate) occurrence: u64,
}

impl Cost {
    pub(crate) fn of(spec: &Spec) -> Self {
        let step = |step: &Step| {
            let names = [&step.preferred_rack, &step.requires].into_iter().flatten();
            let names = names.chain([&step.image]);
            let names = names.map(|name| ALLOCATION_BYTES + name.len() as u64);
            let after = step.after.len() as u64 * size_of::<u16>();
            size_of::<Step>() + names.sum::<u64>() + after
        };
        let run = |step: &Step| {
            let tasks = u64::from(step.count) * size_of::<Task>();
            size_of::<StepRun>() + ALLOCATION_BYTES + READY_BYTES + tasks
        };
        Self {
            spec: spec.text.len() as u64 + spec.steps.iter().map(step).sum::<u64>(),
            occurrence: spec.steps.iter().map(run).sum(),
        }
    }

    /// Returns the memory of an open job with a number of occurrences in progress. Memory for one is
    /// counted before it begins.
    pub(crate) fn open(self, occurrences: usize) -> u64 {
        let occurrences = self.occurrence.saturating_mul(occurrences.max(1) as u64);
        JOB_BYTES + self.spec.saturating_add(occurrences)
    }

    /// Returns the memory of a job that has ended.
    pub(crate) fn ended(self) -> u64 {
        JOB_BYTES + self.spec
    }
}

/// Returns a lower bound of the memory in bytes that a job with a number of steps holds.
#[must_use]
pub fn steps_min_bytes(steps: u64) -> u64 {
    steps.saturating_mul(size_of::<Step>() + size_of::<StepRun>() + size_of::<Task>())
}

/// Memory that is held, in bytes.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    large: u64,
    small: u64,
    /// Largest sum so far.
    peak: u64,
}

impl Held {
    fn class(&mut self, bytes: u64) -> &mut u64 {
        match bytes >= LARGE_BYTES {
            true => &mut self.large,
            false => &mut self.small,
        }
    }

    /// Counts `bytes` that a job holds from now on.
    fn add(&mut self, bytes: u64) {
        *self.class(bytes) += bytes;
        self.peak = self.peak.max(self.large + self.small);
    }
}

#[derive(Debug)]
struct Inner {
    limit: u64,
    held: Mutex<Held>,
}

/// Memory for the jobs of a process. Clones share it.
#[derive(Clone, Debug)]
pub struct Pool(Arc<Inner>);

impl Default for Pool {
    /// Returns a pool without a bound.
    fn default() -> Self {
        Self::new(u64::MAX)
    }
}

impl Pool {
    /// Creates a pool of `limit` bytes.
    #[must_use]
    pub fn new(limit: u64) -> Self {
        Self(Arc::new(Inner {
            limit,
            held: Mutex::default(),
        }))
    }

    /// Returns the bytes that are held.
    #[must_use]
    pub fn held(&self) -> u64 {
        let held = *self.lock();
        held.large + held.small
    }

    /// Returns the most bytes that were held at a time.
    #[must_use]
    pub fn peak(&self) -> u64 {
        self.lock().peak
    }

    /// Returns whether a job of `bytes` bytes has room. A large one has if it is the only large one
    /// and there are few others, even if it exceeds the pool.
    #[must_use]
    pub fn has_room(&self, bytes: u64) -> bool {
        self.fits(&self.lock(), bytes)
    }

    /// Reserves memory for a job; `None` if it has no room.
    #[must_use]
    pub fn reserve(&self, bytes: u64) -> Option<Share> {
        let mut held = self.lock();
        if !self.fits(&held, bytes) {
            return None;
        }
        held.add(bytes);
        drop(held);
        let pool = self.clone();
        Some(Share { pool, bytes })
    }

    /// Returns whether a job has room for `bytes` more than it holds.
    pub(crate) fn has_room_to_grow(&self, bytes: u64) -> bool {
        let held = self.lock();
        let total = held.large.saturating_add(held.small);
        total.saturating_add(bytes) <= self.large_limit()
    }

    /// Returns a share that holds nothing yet.
    pub(crate) fn share(&self) -> Share {
        Share {
            pool: self.clone(),
            bytes: 0,
        }
    }

    fn large_limit(&self) -> u64 {
        self.0.limit - self.0.limit / SMALL_SHARE
    }

    fn fits(&self, held: &Held, bytes: u64) -> bool {
        let (limit, large_limit) = (self.0.limit, self.large_limit());
        if bytes < LARGE_BYTES {
            return held.small.saturating_add(held.large.min(large_limit))
                <= limit - bytes.min(limit);
        }
        let total = held.large.saturating_add(held.small);
        let is_alone = held.large == 0 && held.small <= limit / SMALL_SHARE;
        is_alone || total.saturating_add(bytes) <= large_limit
    }

    fn lock(&self) -> MutexGuard<'_, Held> {
        self.0.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory of one job in a pool. It is released when the share is dropped.
#[derive(Debug)]
pub struct Share {
    pool: Pool,
    bytes: u64,
}

impl Share {
    /// Sets the bytes that are held, whether or not there is room.
    pub(crate) fn set(&mut self, bytes: u64) {
        if bytes == self.bytes {
            return;
        }
        let mut held = self.pool.lock();
        *held.class(self.bytes) -= self.bytes;
        held.add(bytes);
        drop(held);
        self.bytes = bytes;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        *self.pool.lock().class(self.bytes) -= self.bytes;
    }
}
