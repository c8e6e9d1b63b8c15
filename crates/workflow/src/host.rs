//! A worker as the owner of the shard sees it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use rosemaryworks_core::size::Size;

use crate::action::Stop;
use crate::lease::Lease;
use crate::suspicion::Suspicion;
use crate::target::Worker;
use crate::task::Key;

/// Bits of a fencing token below the owner's epoch. The rest counts what made older orders void.
const TOKEN_BITS: u32 = 20;

/// Time without an answer to a start after which a worker gets no further ones, in milliseconds.
/// Answers take a few milliseconds.
const ANSWER_LATE_MS: u64 = 40;

/// Whether the owner knows what a worker runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// It has answered under the current token.
    Confirmed,
    /// It has not answered under the current token.
    Unconfirmed,
    /// It doesn't answer.
    Unresponsive,
}

/// Progress of a run on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// The start is on its way.
    Starting,
    /// The start got no answer; the run may be there.
    Unsure,
    /// The run is there.
    Running,
    /// A stop was ordered.
    Stopping,
}

/// What is known of the start of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Start {
    /// The worker has told that the run is there.
    Known,
    /// The order is on its way.
    Ordered,
    /// The order got no answer.
    Unanswered,
}

/// A run that takes room on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// Attempt.
    pub(crate) attempt: u32,
    /// What it takes.
    pub(crate) size: Size,
    /// Progress.
    pub(crate) phase: Phase,
    /// What is known of its start. A run may be ordered to stop before it is there.
    pub(crate) start: Start,
    /// Owner's time of the last change of `phase`.
    pub(crate) since_ms: u64,
    /// Share of the work done in percent.
    pub(crate) percent: u32,
    /// Owner's time at which `percent` last rose.
    pub(crate) risen_ms: u64,
    /// Last figure of the worker for this run.
    pub(crate) figure: f64,
    /// Share of its speed that it may use, in percent.
    pub(crate) pace: u32,
    /// Token of the order that started it.
    pub(crate) token: u64,
}

/// A worker, its runs and what is known of it.
#[derive(Debug)]
pub struct Host {
    pub(crate) worker: Worker,
    pub(crate) runs: BTreeMap<Key, Run>,
    pub(crate) used: Size,
    pub(crate) lease: Lease,
    pub(crate) sight: Liveness,
    pub(crate) suspicion: Suspicion,
    /// Highest number of an end that was processed.
    pub(crate) seen: u64,
    /// Highest number of an end that is durable.
    pub(crate) durable: u64,
    /// Ends that wait for their record: number of the record, number of the end.
    pub(crate) pending: VecDeque<(u64, u64)>,
    /// Whether the platform still lists the worker.
    pub(crate) listed: bool,
    /// Owner's time at which the worker stopped answering.
    pub(crate) dark_since_ms: Option<u64>,
    /// Owner's time at which this life was first seen.
    pub(crate) added_ms: u64,
    token_floor: u64,
    voids: u64,
}

impl Host {
    pub(crate) fn new(worker: Worker, epoch: u64, now_ms: u64) -> Self {
        Self {
            worker,
            runs: BTreeMap::new(),
            used: Size::ZERO,
            lease: Lease::default(),
            sight: Liveness::Unconfirmed,
            suspicion: Suspicion::default(),
            seen: 0,
            durable: 0,
            pending: VecDeque::new(),
            listed: true,
            dark_since_ms: None,
            added_ms: now_ms,
            token_floor: epoch << TOKEN_BITS,
            voids: 0,
        }
    }

    /// Returns the token of orders to this worker.
    #[must_use]
    pub fn token(&self) -> u64 {
        self.token_floor + self.voids
    }

    /// Returns the highest number of an end that the worker may forget.
    #[must_use]
    pub fn acknowledged(&self) -> u64 {
        self.durable
    }

    /// Returns the worker.
    #[must_use]
    pub fn worker(&self) -> &Worker {
        &self.worker
    }

    /// Tells whether ends wait for their records.
    #[must_use]
    pub fn has_pending_ends(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Tells whether the worker holds, or may hold, anything.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty() && self.pending.is_empty() && self.sight == Liveness::Confirmed
    }

    /// Returns the number of runs.
    #[must_use]
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Makes all orders void that were sent and not yet carried out.
    pub(crate) fn void_orders(&mut self) {
        self.voids += 1;
        if self.sight == Liveness::Confirmed {
            self.sight = Liveness::Unconfirmed;
        }
    }

    pub(crate) fn free(&self) -> Size {
        self.worker.capacity - self.used
    }

    pub(crate) fn insert(&mut self, key: Key, run: Run) {
        self.remove(&key);
        self.used += run.size;
        self.runs.insert(key, run);
    }

    pub(crate) fn remove(&mut self, key: &Key) -> Option<Run> {
        let run = self.runs.remove(key)?;
        self.used = self
            .runs
            .values()
            .fold(Size::ZERO, |used, run| used + run.size);
        Some(run)
    }

    /// Starts over with a new life of the worker. Returns the runs of the old one.
    pub(crate) fn reborn(&mut self, born: u64, now_ms: u64) -> Vec<(Key, Run)> {
        self.worker.incarnation = born;
        self.worker.draining = false;
        self.lease = Lease::default();
        self.seen = 0;
        self.durable = 0;
        self.pending.clear();
        self.used = Size::ZERO;
        self.added_ms = now_ms;
        self.void_orders();
        self.sight = Liveness::Unconfirmed;
        std::mem::take(&mut self.runs).into_iter().collect()
    }

    /// Returns the order that stops a run.
    pub(crate) fn stop_order(&self, key: Key, attempt: u32) -> Stop {
        Stop {
            worker: self.worker.id.clone(),
            address: self.worker.address,
            key,
            attempt,
            token: self.token(),
        }
    }

    /// Returns the identifier as a shared name.
    pub(crate) fn id(&self) -> Arc<str> {
        self.worker.id.clone()
    }

    /// Tells whether tasks may be placed here.
    pub(crate) fn takes_work(&self, now_ms: u64) -> bool {
        self.listed
            && !self.worker.draining
            && self.sight == Liveness::Confirmed
            && self.suspicion.allows(now_ms)
            && !self.answers_late(now_ms)
    }

    /// Tells whether a start has waited long for its answer. A worker that went silent without
    /// runs is noticed first by this.
    fn answers_late(&self, now_ms: u64) -> bool {
        let late =
            |run: &Run| run.phase == Phase::Starting && now_ms >= run.since_ms + ANSWER_LATE_MS;
        self.runs.values().any(late)
    }
}
