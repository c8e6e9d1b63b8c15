//! State of a worker as tracked by the owner of the shard.

use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use rosemaryworks_core::size::Size;

use crate::action::Stop;
use crate::backoff::Backoff;
use crate::incarnation::Restart;
use crate::lease::{LATE_CALL_MAX_MS, Lease};
use crate::pending_renewal::PendingRenewal;
use crate::run_times::Speed;
use crate::silent::Silence;
use crate::task::Key;
use crate::team::usage::{Charge, Tally};
use crate::worker::Worker;

/// Number of low bits of a fencing token that count how often the owner has invalidated earlier
/// requests to the worker. The owner's epoch is in the bits above.
const TOKEN_COUNTER_BITS: u32 = 20;

/// Number of invalidations from which an owner releases its shard: with the next epoch they begin anew.
/// Leaves room for those until it has done so.
const INVALIDATIONS_MAX: u64 = (1 << TOKEN_COUNTER_BITS) - (1 << 12);

/// Time without an answer to a start after which a worker gets no further starts, in milliseconds.
/// Answers usually take a few milliseconds.
const START_ANSWER_LATE_MS: u64 = 40;

/// Whether a worker answers lease renewals.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// It has answered a renewal with the current fencing token.
    Confirmed,
    /// It has not answered a renewal with the current fencing token yet.
    Unconfirmed,
    /// It doesn't answer.
    Unresponsive,
}

/// State of an attempt on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// The start request was sent.
    Starting,
    /// The start request got no answer, so the attempt may be running.
    Unresolved,
    /// The worker runs the attempt.
    Running,
    /// A stop request was sent.
    Stopping,
}

/// What the owner knows about the start of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StartState {
    /// The worker has accepted the start request and not reported the attempt yet. If the worker
    /// has started again unnoticed, its new incarnation may run the attempt.
    Accepted,
    /// The current incarnation of the worker has reported the attempt.
    Confirmed,
    /// The start request was sent and may still be answered.
    Sent,
    /// The start request got no answer.
    Unanswered,
}

/// An attempt of a task that occupies capacity on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// Number of the attempt.
    pub(crate) attempt: u32,
    /// Capacity that it occupies.
    pub(crate) size: Size,
    /// Whose use of resources it counts as.
    pub(crate) charge: Charge,
    /// Current state.
    pub(crate) phase: Phase,
    /// What is known about its start. An attempt may be stopped before its start is confirmed.
    pub(crate) start: StartState,
    /// Time on the owner's clock of the last change of `phase`.
    pub(crate) phase_since_ms: u64,
    /// Time on the owner's clock at which the worker confirmed the start; that of the start request
    /// until then.
    pub(crate) started_ms: u64,
    /// Time on the owner's clock at which the start request was answered or given up; `None` before.
    pub(crate) outcome_ms: Option<u64>,
    /// Whether the answer to the start request shows the clock of the incarnation that it was meant for.
    pub(crate) is_same_clock: bool,
    /// Time on the owner's clock by which the start request counts as carried out, if it is at all.
    pub(crate) carried_out_ms: u64,
    /// Progress in percent.
    pub(crate) percent: u32,
    /// Time on the owner's clock at which `percent` last increased.
    pub(crate) progressed_ms: u64,
    /// Last metric that the worker reported for the attempt.
    pub(crate) metric: f64,
    /// Share of full speed that it may use, in percent.
    pub(crate) pace_percent: u32,
    /// Whether the worker has taken that speed for certain. A previous owner may have set another one.
    pub(crate) is_pace_known: bool,
    /// Fencing token of the start request.
    pub(crate) token: u64,
    /// Whether it began from a checkpoint, or under another owner.
    pub(crate) is_resumed: bool,
    /// Time on the owner's clock and progress in percent of the first report of a resumed attempt.
    pub(crate) first_report: Option<(u64, u32)>,
}

/// A worker with its lease and the attempts on it.
#[derive(Debug)]
pub struct Host {
    pub(crate) worker: Worker,
    pub(crate) runs: BTreeMap<Key, Run>,
    /// Capacity that the attempts occupy.
    pub(crate) used: Size,
    /// What the attempts use, by team.
    pub(crate) tally: Tally,
    pub(crate) lease: Lease,
    /// What calls for earlier incarnations may do.
    pub(crate) restart: Restart,
    /// Renewal whose answer is awaited.
    pub(crate) renewal: Option<PendingRenewal>,
    pub(crate) liveness: Liveness,
    pub(crate) backoff: Backoff,
    /// Highest number of an ended attempt that was processed, see [`crate::Finished::number`].
    pub(crate) last_processed_end: u64,
    /// Highest number of an ended attempt whose record is durable.
    pub(crate) last_durable_end: u64,
    /// Highest number of an end that the worker has forgotten for certain.
    pub(crate) last_acknowledged_end: u64,
    /// Time on the owner's clock at which the last renewal was sent that this incarnation has answered.
    pub(crate) answered_ms: u64,
    /// Ends whose records are not durable yet, as (record number, end number).
    pub(crate) pending_ends: VecDeque<(u64, u64)>,
    /// Whether the platform's directory lists the worker.
    pub(crate) listed: bool,
    /// Incarnation that the directory's entry is about; 0 if it doesn't say. A later one may be of
    /// another kind.
    pub(crate) listed_incarnation: u64,
    /// Time on the owner's clock at which the worker stopped answering.
    pub(crate) unresponsive_since_ms: Option<u64>,
    /// Time on the owner's clock at which the last renewal that the worker answered was sent. The
    /// answer may have arrived long before it was read.
    pub(crate) reported_ms: u64,
    /// What is recorded about the worker's silence.
    pub(crate) silence: Silence,
    /// Entry in the directory of an incarnation that seems to be an earlier one. It is a later one if the
    /// worker's time of day was set back, which its report tells.
    pub(crate) older_entry: Option<Worker>,
    /// Earlier incarnations with later start times, because the worker's time of day was set back.
    superseded: Vec<u64>,
    /// Speed relative to other workers.
    pub(crate) speed: Speed,
    /// Time on the owner's clock at which the worker last answered again after a silence.
    pub(crate) returned_ms: u64,
    /// Time on the owner's clock at which this incarnation was first seen.
    pub(crate) first_seen_ms: u64,
    /// Fencing token before any request was invalidated.
    token_base: u64,
    /// How often earlier requests were invalidated.
    pub(crate) token_increments: u64,
    /// Lowest fencing token of requests to the current incarnation.
    incarnation_token: u64,
}

impl Host {
    /// Creates the state of a worker that was not known before. `token_increments` is at least the
    /// value with which a host of the same worker was removed.
    pub(crate) fn new(
        worker: Worker,
        epoch: u64,
        token_increments: u64,
        lease: Lease,
        now_ms: u64,
    ) -> Self {
        Self {
            listed_incarnation: worker.incarnation,
            worker,
            runs: BTreeMap::new(),
            used: Size::ZERO,
            tally: Tally::default(),
            lease,
            restart: Restart::None,
            renewal: None,
            liveness: Liveness::Unconfirmed,
            backoff: Backoff::default(),
            last_processed_end: 0,
            last_durable_end: 0,
            last_acknowledged_end: 0,
            answered_ms: 0,
            pending_ends: VecDeque::new(),
            listed: true,
            unresponsive_since_ms: None,
            reported_ms: now_ms,
            silence: Silence::default(),
            older_entry: None,
            superseded: Vec::new(),
            speed: Speed::default(),
            returned_ms: 0,
            first_seen_ms: now_ms,
            token_base: epoch << TOKEN_COUNTER_BITS,
            token_increments,
            incarnation_token: 0,
        }
    }

    /// Returns the fencing token for requests to this worker.
    #[must_use]
    pub fn token(&self) -> u64 {
        self.token_base + self.token_increments
    }

    /// Returns the worker.
    #[must_use]
    pub fn worker(&self) -> &Worker {
        &self.worker
    }

    /// Returns whether some ends have no durable record yet.
    #[must_use]
    pub fn has_pending_ends(&self) -> bool {
        !self.pending_ends.is_empty()
    }

    /// Returns whether the worker has confirmed that it runs nothing, and none of its ended
    /// attempts waits for a durable record.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty() && self.pending_ends.is_empty() && self.liveness == Liveness::Confirmed
    }

    /// Returns the number of attempts on the worker.
    #[must_use]
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Raises the fencing token, so that the worker rejects requests that were sent and not carried
    /// out yet.
    pub(crate) fn invalidate_requests(&mut self) {
        self.token_increments += 1;
        if self.liveness == Liveness::Confirmed {
            self.liveness = Liveness::Unconfirmed;
        }
    }

    /// Returns whether the owner can hardly invalidate further requests.
    pub(crate) fn has_used_up_tokens(&self) -> bool {
        self.token_increments >= INVALIDATIONS_MAX
    }

    pub(crate) fn free(&self) -> Size {
        self.worker.capacity - self.used
    }

    pub(crate) fn insert(&mut self, key: Key, run: Run) {
        self.remove(&key);
        self.used += run.size;
        self.tally.add(&run);
        self.runs.insert(key, run);
    }

    pub(crate) fn remove(&mut self, key: &Key) -> Option<Run> {
        let run = self.runs.remove(key)?;
        self.used = self.occupied();
        self.tally = Tally::of(self.runs.values());
        Some(run)
    }

    /// Resets the state for a new incarnation of the worker. Returns the attempts that ended with the
    /// previous one: those that it had reported. The new one, which had seen no fencing token, may
    /// have received the start requests of the others, so these stay until it reports.
    pub(crate) fn begin_incarnation(&mut self, incarnation: u64, now_ms: u64) -> Vec<(Key, Run)> {
        self.abandon_renewal(now_ms);
        if self.worker.incarnation > incarnation {
            self.superseded.push(self.worker.incarnation);
        }
        self.worker.incarnation = incarnation;
        self.restart = Restart::Unfenced;
        self.lease.begin_incarnation(now_ms);
        self.speed = Speed::default();
        self.last_processed_end = 0;
        self.last_durable_end = 0;
        self.last_acknowledged_end = 0;
        self.answered_ms = 0;
        self.pending_ends.clear();
        self.first_seen_ms = now_ms;
        self.invalidate_requests();
        self.incarnation_token = self.token();
        self.liveness = Liveness::Unconfirmed;
        let runs = std::mem::take(&mut self.runs).into_iter();
        let (ended, pending): (BTreeMap<Key, Run>, _) =
            runs.partition(|(_, run)| run.start == StartState::Confirmed);
        self.runs = pending;
        self.used = self.occupied();
        self.tally = Tally::of(self.runs.values());
        ended.into_iter().collect()
    }

    /// Lets a worker that is listed again count as started again. Calls that were sent before it was
    /// removed carry lower tokens.
    pub(crate) fn count_as_restarted(&mut self, now_ms: u64) {
        self.restart = Restart::Unfenced;
        self.lease.assume_late_calls(now_ms);
        self.invalidate_requests();
        self.incarnation_token = self.token();
    }

    /// Takes over what previous owners recorded, which command no worker from `fenced_ms` on.
    pub(crate) fn inherit(&mut self, recorded: &Worker, restart: Restart, fenced_ms: u64) {
        let is_other = recorded.incarnation != self.worker.incarnation;
        self.restart = match is_other && recorded.incarnation > 0 {
            true => Restart::Unfenced,
            false => restart,
        };
        self.lease.call_unanswered(fenced_ms + LATE_CALL_MAX_MS);
        match self.restart {
            Restart::Fenced => self.lease.assume_longest(fenced_ms),
            Restart::None => {}
            Restart::Unfenced => self.lease.assume_late_calls(fenced_ms),
        }
    }

    /// Returns whether calls for earlier incarnations can have no effect any more, although they could
    /// have one when that was last recorded.
    pub(crate) fn has_settled(&self, now_ms: u64) -> bool {
        let is_over = match self.restart {
            Restart::Fenced => true,
            Restart::None => false,
            Restart::Unfenced => self.runs.is_empty(),
        };
        is_over && self.lease.is_as_granted(now_ms)
    }

    /// Applies that the first `durable` records of the owner are durable. Returns whether the worker
    /// waits for no further one.
    pub(crate) fn mark_durable(&mut self, durable: u64) -> bool {
        if matches!(self.silence, Silence::Returning(record) if record <= durable) {
            self.silence = Silence::Unrecorded;
        }
        while let Some((record, end)) = self.pending_ends.front().copied() {
            if record > durable {
                break;
            }
            self.last_durable_end = self.last_durable_end.max(end);
            self.pending_ends.pop_front();
        }
        self.pending_ends.is_empty() && !matches!(self.silence, Silence::Returning(_))
    }

    /// Compares an incarnation that answered a renewal which was sent at `sent_ms` with the current one.
    /// Start times tell their order, unless the worker's time of day was set back: an incarnation that
    /// answers what was sent after the current one was known is a later one.
    pub(crate) fn compare(&self, incarnation: u64, sent_ms: u64) -> Ordering {
        if self.superseded.contains(&incarnation) {
            return Ordering::Less;
        }
        match incarnation.cmp(&self.worker.incarnation) {
            Ordering::Less if incarnation > 0 && sent_ms > self.first_seen_ms => Ordering::Greater,
            order => order,
        }
    }

    /// Returns whether an entry of the directory is about an incarnation before the current one.
    pub(crate) fn is_outdated(&self, entry: &Worker) -> bool {
        entry.incarnation < self.worker.incarnation || self.superseded.contains(&entry.incarnation)
    }

    /// Returns whether a request was meant for an earlier incarnation of the worker.
    pub(crate) fn is_for_earlier_incarnation(&self, token: u64) -> bool {
        token < self.incarnation_token
    }

    fn occupied(&self) -> Size {
        let sizes = self.runs.values().map(|run| run.size);
        sizes.fold(Size::ZERO, |used, size| used + size)
    }

    /// Returns the request that stops an attempt.
    pub(crate) fn stop_request(&self, key: Key, attempt: u32) -> Stop {
        Stop {
            worker: self.worker.id.clone(),
            address: self.worker.address,
            key,
            attempt,
            token: self.token(),
        }
    }

    /// Returns the identifier of the worker.
    pub(crate) fn id(&self) -> Arc<str> {
        self.worker.id.clone()
    }

    /// Returns whether tasks may be placed on the worker.
    pub(crate) fn is_schedulable(&self, now_ms: u64) -> bool {
        self.listed
            && self.is_described()
            && !self.worker.draining
            && self.liveness == Liveness::Confirmed
            && self.silence == Silence::Unrecorded
            && self.backoff.allows(now_ms)
            && !self.has_late_start(now_ms)
            && !self.must_acknowledge()
    }

    /// Returns whether labels and capacity are those of the current incarnation.
    fn is_described(&self) -> bool {
        self.listed_incarnation == 0 || self.listed_incarnation == self.worker.incarnation
    }

    /// Returns whether a start request has waited too long for its answer. For a worker without
    /// earlier attempts this is the first sign that it stopped answering.
    fn has_late_start(&self, now_ms: u64) -> bool {
        let is_late = |run: &Run| {
            run.phase == Phase::Starting && now_ms >= run.phase_since_ms + START_ANSWER_LATE_MS
        };
        self.runs.values().any(is_late)
    }
}
