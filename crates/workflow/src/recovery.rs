//! Takeover of a shard: replays its records, then waits until no previous owner can act and every
//! worker has reported its attempts.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::action::Action;
use crate::host::{Host, Liveness};
use crate::incarnation::{Restart, Unreported};
use crate::lease::LATE_CALL_MAX_MS;
use crate::record::Record;
use crate::shard::Shard;
use crate::silent::Silence;
use crate::task::Key;
use crate::worker::Worker;

/// Margin on top of the longest lease, after which no attempt of a previous owner is left, in
/// milliseconds. Covers a renewal that was under way when the previous owner was fenced.
const LEASE_MARGIN_MS: u64 = 300;

/// Recovery of the state after a takeover.
#[derive(Debug, Default)]
pub(crate) struct Recovery {
    stage: Stage,
    /// Workers that previous owners used, with what calls for their earlier incarnations may do.
    known_workers: BTreeMap<Arc<str>, (Worker, Restart)>,
    /// Workers that may run attempts of a previous owner, with the time on the owner's clock from which
    /// such attempts have certainly ended.
    unconfirmed: BTreeMap<Arc<str>, u64>,
    /// Workers that didn't answer the previous owner, with the tasks that they may run.
    silent: BTreeMap<Arc<str>, Vec<Key>>,
    /// Time on the owner's clock from which no previous owner acts any more.
    fenced_ms: u64,
    /// Whether all jobs that were stored before then have been read.
    jobs_read: bool,
}

/// Stage of a takeover.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Stage {
    /// The records of previous owners are being replayed.
    #[default]
    Replaying,
    /// Some workers may still run attempts of a previous owner that they have not reported.
    Confirming,
    /// Every attempt of previous owners has been reported or has ended.
    Complete,
}

impl Recovery {
    pub(crate) fn is_replaying(&self) -> bool {
        self.stage == Stage::Replaying
    }

    /// Returns whether tasks that a previous owner may have started may be started again.
    pub(crate) fn is_complete(&self) -> bool {
        self.stage == Stage::Complete
    }

    /// Returns whether previous owners can no longer start tasks. Until then they may start tasks
    /// of new jobs on workers that have not seen the fencing token of this owner.
    pub(crate) fn is_fenced(&self, now_ms: u64) -> bool {
        match self.stage {
            Stage::Replaying => false,
            Stage::Confirming => now_ms >= self.fenced_ms,
            Stage::Complete => true,
        }
    }

    /// Returns whether a previous owner may have started the tasks of a job that is read now, on a
    /// worker that has not seen the fencing token of this owner. That it is read late doesn't mean
    /// that it was stored late.
    pub(crate) fn predecessors_may_start(&self) -> bool {
        match self.stage {
            Stage::Replaying => true,
            Stage::Confirming => !self.jobs_read,
            Stage::Complete => false,
        }
    }

    /// Returns whether a worker may run attempts of a previous owner that it has not reported.
    pub(crate) fn may_run_attempts(&self, worker: &str) -> bool {
        self.unconfirmed.contains_key(worker)
    }

    /// Returns whether some worker may run any task of a previous owner.
    pub(crate) fn may_run_any_task(&self) -> bool {
        let is_unknown = |worker: &Arc<str>| !self.silent.contains_key(worker);
        self.unconfirmed.keys().any(is_unknown)
    }

    /// Returns whether a worker didn't answer the previous owner, which recorded its tasks.
    pub(crate) fn is_silent(&self, worker: &str) -> bool {
        self.silent.contains_key(worker)
    }

    /// Returns the tasks that silent workers may run.
    pub(crate) fn silent_tasks(&self) -> impl Iterator<Item = &Key> {
        let silent = self.silent.iter();
        silent
            .filter(|(worker, _)| self.unconfirmed.contains_key(*worker))
            .flat_map(|(_, tasks)| tasks)
    }

    /// Returns whether some silent worker may run a task.
    pub(crate) fn may_run_silently(&self, task: &Key) -> bool {
        let silent = self.silent.iter();
        silent
            .filter(|(worker, _)| self.unconfirmed.contains_key(*worker))
            .any(|(_, tasks)| tasks.contains(task))
    }

    pub(crate) fn worker_confirmed(&mut self, worker: &str) {
        self.unconfirmed.remove(worker);
        self.complete_if_confirmed();
    }

    /// Records that every job that was stored before `at_ms` has been read.
    pub(crate) fn jobs_read(&mut self, at_ms: u64) {
        self.jobs_read |= self.stage == Stage::Confirming && at_ms >= self.fenced_ms;
    }

    /// Returns the time until no previous owner acts any more, unless all jobs from before have been
    /// read.
    pub(crate) fn fenced_in(&self, now_ms: u64) -> Option<u64> {
        self.predecessors_may_start()
            .then(|| self.fenced_ms.saturating_sub(now_ms))
    }

    /// Waits longer for a worker of which a later incarnation became known, whose attempts have certainly
    /// ended at `expires_ms`.
    pub(crate) fn postpone(&mut self, worker: &str, expires_ms: u64) {
        if let Some(expiry_ms) = self.unconfirmed.get_mut(worker) {
            *expiry_ms = (*expiry_ms).max(expires_ms + LEASE_MARGIN_MS);
        }
    }

    /// Ends the wait for workers whose lease had certainly expired at `at_ms`, and returns them.
    fn tick(&mut self, at_ms: u64) -> Vec<Arc<str>> {
        let expired = match self.stage {
            Stage::Confirming => {
                let expired = self
                    .unconfirmed
                    .extract_if(.., |_, expiry| at_ms >= *expiry);
                expired.map(|(worker, _)| worker).collect()
            }
            Stage::Complete | Stage::Replaying => Vec::new(),
        };
        self.complete_if_confirmed();
        expired
    }

    fn complete_if_confirmed(&mut self) {
        if self.stage == Stage::Confirming && self.unconfirmed.is_empty() {
            self.stage = Stage::Complete;
        }
    }
}

impl Shard {
    /// Time after a takeover from which no previous owner commands a worker, in milliseconds. An
    /// owner may do so only for a shorter time after a moment at which it certainly was the owner.
    pub const PREDECESSOR_FENCED_MS: u64 = 1_200;

    /// Returns whether no previous owner acts any more.
    #[must_use]
    pub fn has_fenced_predecessors(&self, now_ms: u64) -> bool {
        self.recovery.is_fenced(now_ms)
    }

    /// Records that at `at_ms` no other process had claimed the shard. Until then nobody else
    /// renewed the leases of its workers, so only a lease that had expired by then counts as expired.
    pub fn confirm_ownership(&mut self, at_ms: u64) {
        self.owned_until_ms = self.owned_until_ms.max(at_ms);
    }

    /// Records that every job that was stored before `at_ms` has been read.
    pub fn jobs_read(&mut self, at_ms: u64) {
        self.jobs_read_ms = self.jobs_read_ms.max(at_ms);
        self.recovery.jobs_read(at_ms);
    }

    /// Returns the time until previous owners can start no task, in milliseconds, unless every job
    /// that was stored before then has been read.
    #[must_use]
    pub fn fenced_in(&self, now_ms: u64) -> Option<u64> {
        self.recovery.fenced_in(now_ms)
    }

    /// Ends the wait for workers whose lease has certainly expired.
    pub(crate) fn end_waits(&mut self, now_ms: u64) {
        let at_ms = self.owned_until_ms.min(now_ms);
        for worker in self.recovery.tick(at_ms) {
            let incarnation = self
                .hosts
                .get(&worker)
                .map_or(0, |host| host.worker.incarnation);
            self.actions.push(Action::LogUnreported(Unreported {
                worker,
                incarnation,
                waited_ms: at_ms.saturating_sub(self.recovery.fenced_ms),
            }));
        }
    }

    /// Applies a record of the shard's snapshot or streams. The snapshot comes first.
    pub fn replay(&mut self, record: Record, now_ms: u64) {
        match record {
            Record::Submitted { id, queue, spec } => self.submit(id, queue, spec, now_ms),
            Record::Cancelled { id, team } => self.cancel_for(id, team, now_ms),
            Record::Ended {
                key,
                attempt,
                how,
                checkpoint,
            } => self.apply_end(None, key, attempt, how, checkpoint, now_ms),
            Record::WorkerAdded { worker, restart } => {
                self.recovery.silent.remove(&worker.id);
                self.removed.forget(&worker.id);
                self.recovery
                    .known_workers
                    .insert(worker.id.clone(), (worker, restart));
            }
            Record::WorkerRemoved { worker } => {
                self.recovery.silent.remove(&worker);
                let known = self.recovery.known_workers.remove(&worker);
                let (incarnation, restart) = known
                    .map_or((0, Restart::None), |(known, restart)| {
                        (known.incarnation, restart)
                    });
                self.removed.add_recorded(worker, incarnation, restart);
            }
            Record::WorkerSilent { worker, tasks } => {
                self.recovery.silent.insert(worker, tasks);
            }
            Record::Final { id, state, at_ms } => self.replay_end(id, state, at_ms, None),
            Record::Retained { state, jobs, team } => {
                for (id, at_ms) in jobs {
                    self.replay_end(id, state, Some(at_ms), team.as_ref());
                }
            }
            Record::CancelledEarly { jobs, team } => {
                let jobs = jobs
                    .into_iter()
                    .map(|(id, at_ms)| ((id, team.clone()), at_ms));
                self.early_cancellations.extend(jobs);
            }
            Record::Completed { step, tasks } => self.replay_completed(step, tasks, now_ms),
            Record::Open {
                id,
                order,
                next_occurrence,
                completed,
            } => self.replay_open(id, order, next_occurrence, completed),
            Record::Moved {
                address,
                version,
                from,
                shard,
            } => self.replay_move(address, version, from, shard),
            Record::Terms(queue) => self.replay_terms(queue),
            Record::Clock { at_ms } => self.clock.advance(at_ms),
            Record::Members { version, sets } => self.quota.counter.replay_sets(version, sets),
            Record::Given {
                members,
                shard,
                totals,
            } => self.quota.counter.replay_given(members, shard, &totals),
        }
    }

    /// Ends the replay. Workers known so far, from the directory or from records, may run attempts
    /// of a previous owner. `is_sole_owner` states that no previous owner acts any more.
    pub fn finish_replay(&mut self, is_sole_owner: bool, now_ms: u64) {
        let recorded = std::mem::take(&mut self.recovery.known_workers);
        let unrecorded = self.hosts.keys().filter(|id| !recorded.contains_key(*id));
        let unrecorded: Vec<Arc<str>> = unrecorded.cloned().collect();
        self.recovery.fenced_ms = if is_sole_owner {
            now_ms
        } else {
            now_ms + Self::PREDECESSOR_FENCED_MS
        };
        for (id, (worker, restart)) in recorded {
            if !self.hosts.contains_key(&id) {
                self.list_worker(worker.clone(), now_ms);
                self.unlist_worker(&id);
            }
            if let Some(host) = self.hosts.get_mut(&id) {
                host.inherit(&worker, restart, self.recovery.fenced_ms);
            }
        }
        let late_until_ms = self.recovery.fenced_ms + LATE_CALL_MAX_MS;
        self.removed.fenced(late_until_ms);
        for id in &unrecorded {
            self.restore_removed(id, self.recovery.fenced_ms);
        }
        // Their return must be recorded before they get tasks of this owner.
        for (id, tasks) in &self.recovery.silent {
            if let Some(host) = self.hosts.get_mut(id) {
                host.silence = Silence::Recorded(tasks.clone());
            }
        }
        self.record_workers();
        for id in unrecorded {
            self.use_once_recorded(&id);
        }
        let fenced_ms = self.recovery.fenced_ms;
        let unconfirmed = self
            .hosts
            .iter()
            .filter(|(_, host)| host.liveness == Liveness::Unconfirmed);
        // Until then the previous owner may renew the lease of a worker that this owner can't reach.
        let expiry = |host: &Host| host.lease.inherited_expiry(fenced_ms) + LEASE_MARGIN_MS;
        self.recovery.unconfirmed = unconfirmed
            .map(|(id, host)| (id.clone(), expiry(host)))
            .collect();
        self.start_clock(now_ms);
        self.sort_ready();
        self.recovery.stage = Stage::Confirming;
        self.apply_members(now_ms);
        for name in self.queues_in_use() {
            self.record_terms(&name);
        }
        self.recovery.complete_if_confirmed();
    }

    /// Records every worker again, because the records of previous owners expire.
    pub fn record_workers(&mut self) {
        let ids: Vec<Arc<str>> = self.hosts.keys().cloned().collect();
        for id in ids {
            self.record_worker(&id);
        }
    }
}
