//! A worker as the owner of the shard sees it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use rosemaryworks_core::size::Size;

use crate::action::Stop;
use crate::backoff::Backoff;
use crate::lease::Lease;
use crate::task::Key;
use crate::worker::Worker;

/// Bits of a fencing token below the owner's epoch. The rest counts what made older orders void.
const TOKEN_COUNTER_BITS: u32 = 20;

/// Time without an answer to a start after which a worker gets no further ones, in milliseconds.
/// Answers take a few milliseconds.
const START_ANSWER_LATE_MS: u64 = 40;

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
    Unresolved,
    /// The run is there.
    Running,
    /// A stop was ordered.
    Stopping,
}

/// What is known of the start of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StartState {
    /// The worker has told that the run is there.
    Confirmed,
    /// The order is on its way.
    Sent,
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
    pub(crate) start: StartState,
    /// Owner's time of the last change of `phase`.
    pub(crate) phase_since_ms: u64,
    /// Share of the work done in percent.
    pub(crate) percent: u32,
    /// Owner's time at which `percent` last rose.
    pub(crate) progressed_ms: u64,
    /// Last figure of the worker for this run.
    pub(crate) metric: f64,
    /// Share of its speed that it may use, in percent.
    pub(crate) pace_percent: u32,
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
    pub(crate) liveness: Liveness,
    pub(crate) backoff: Backoff,
    /// Highest number of an end that was processed.
    pub(crate) last_processed_end: u64,
    /// Highest number of an end that is durable.
    pub(crate) last_durable_end: u64,
    /// Ends that wait for their record: number of the record, number of the end.
    pub(crate) pending_ends: VecDeque<(u64, u64)>,
    /// Whether the platform still lists the worker.
    pub(crate) listed: bool,
    /// Owner's time at which the worker stopped answering.
    pub(crate) unresponsive_since_ms: Option<u64>,
    /// Owner's time at which this life was first seen.
    pub(crate) first_seen_ms: u64,
    token_base: u64,
    token_increments: u64,
}

impl Host {
    pub(crate) fn new(worker: Worker, epoch: u64, now_ms: u64) -> Self {
        Self {
            worker,
            runs: BTreeMap::new(),
            used: Size::ZERO,
            lease: Lease::default(),
            liveness: Liveness::Unconfirmed,
            backoff: Backoff::default(),
            last_processed_end: 0,
            last_durable_end: 0,
            pending_ends: VecDeque::new(),
            listed: true,
            unresponsive_since_ms: None,
            first_seen_ms: now_ms,
            token_base: epoch << TOKEN_COUNTER_BITS,
            token_increments: 0,
        }
    }

    /// Returns the token of orders to this worker.
    #[must_use]
    pub fn token(&self) -> u64 {
        self.token_base + self.token_increments
    }

    /// Returns the highest number of an end that the worker may forget.
    #[must_use]
    pub fn acknowledged(&self) -> u64 {
        self.last_durable_end
    }

    /// Returns the worker.
    #[must_use]
    pub fn worker(&self) -> &Worker {
        &self.worker
    }

    /// Tells whether ends wait for their records.
    #[must_use]
    pub fn has_pending_ends(&self) -> bool {
        !self.pending_ends.is_empty()
    }

    /// Tells whether the worker holds, or may hold, anything.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty() && self.pending_ends.is_empty() && self.liveness == Liveness::Confirmed
    }

    /// Returns the number of runs.
    #[must_use]
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Makes all orders void that were sent and not yet carried out.
    pub(crate) fn invalidate_orders(&mut self) {
        self.token_increments += 1;
        if self.liveness == Liveness::Confirmed {
            self.liveness = Liveness::Unconfirmed;
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
    pub(crate) fn begin_incarnation(&mut self, incarnation: u64, now_ms: u64) -> Vec<(Key, Run)> {
        self.worker.incarnation = incarnation;
        self.worker.draining = false;
        self.lease = Lease::default();
        self.last_processed_end = 0;
        self.last_durable_end = 0;
        self.pending_ends.clear();
        self.used = Size::ZERO;
        self.first_seen_ms = now_ms;
        self.invalidate_orders();
        self.liveness = Liveness::Unconfirmed;
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
    pub(crate) fn is_schedulable(&self, now_ms: u64) -> bool {
        self.listed
            && !self.worker.draining
            && self.liveness == Liveness::Confirmed
            && self.backoff.allows(now_ms)
            && !self.has_late_start(now_ms)
    }

    /// Tells whether a start has waited long for its answer. A worker that went silent without
    /// runs is noticed first by this.
    fn has_late_start(&self, now_ms: u64) -> bool {
        let late = |run: &Run| {
            run.phase == Phase::Starting && now_ms >= run.phase_since_ms + START_ANSWER_LATE_MS
        };
        self.runs.values().any(late)
    }
}
