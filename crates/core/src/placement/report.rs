//! Worker reports: reconciles the leases and finished attempts with the kernel's state.

use crate::job::{End, Kind, Task};
use crate::placement::index::Slot;
use crate::placement::jobs::{Confirmation, Key, Phase, Placement};
use crate::placement::task::Cause;
use crate::placement::worker::Departure;
use crate::placement::{Action, Attempt, Finished, Kernel, Lease, Report, Result};
use crate::size::Size;
use crate::time::Instant;
use crate::timing::RENEWAL_PERIOD_MS;

/// Milliseconds before a worker's stated shutdown at which its tasks are evicted.
const EVICT_BEFORE_MS: u64 = 10_000;
/// Milliseconds after which the answer to a placement is considered lost.
const PLACE_TIMEOUT_MS: u64 = 30_000;
/// Run time after which a service task's earlier failures no longer count.
const STABLE_MS: u64 = 60_000;

impl Kernel {
    /// Applies a report and returns whether capacity became free.
    pub(crate) fn apply_report(
        &mut self,
        now: Instant,
        slot: Slot,
        sent: Instant,
        report: Report,
    ) -> bool {
        self.reports += 1;
        let lease_count =
            |kernel: &Self| kernel.fleet.get(slot).map_or(0, |worker| worker.keys.len());
        let before = lease_count(self);
        if let Some(worker) = self.fleet.get_mut(slot) {
            worker.orphaned = Size::ZERO;
            worker.announced = report.leaving;
        }
        for finished in &report.finished {
            self.attempt_finished(now, slot, finished);
        }
        for lease in &report.leases {
            self.lease_reported(now, slot, sent, lease);
        }
        self.release_missing(now, slot, sent);
        self.check_probe(now, slot);
        self.handle_pressure(now, slot, &report.leases);
        self.evict_from_leaving(now, slot);
        lease_count(self) < before
    }

    /// Acknowledges a finished attempt with the next `Sync`, so that the worker drops it.
    pub(crate) fn acknowledge(&mut self, slot: Slot, task: Task, attempt: Attempt) {
        if let Some(worker) = self.fleet.get_mut(slot) {
            worker.acknowledge.push((task, attempt));
        }
    }

    fn attempt_finished(&mut self, now: Instant, slot: Slot, finished: &Finished) {
        let Some(key) = self.jobs.find(&finished.task) else {
            // Until the kernel is settled, the job may still be restored from the log.
            if self.settled {
                self.acknowledge(slot, finished.task.clone(), finished.attempt);
            }
            return;
        };
        let attempt = finished.attempt;
        let succeeded = finished.result == Result::Succeeded;
        let restart = self
            .jobs
            .get(key.serial)
            .is_some_and(|job| job.spec.restart);
        let Some(state) = self.jobs.task_mut(key) else {
            return self.acknowledge(slot, finished.task.clone(), attempt);
        };
        state.reported = state.reported.max(attempt);
        let same_attempt = state.attempts == attempt;
        let current = match &state.phase {
            Phase::Placed(placement) => placement.worker == slot && same_attempt,
            // Another worker that is not surveyed yet may hold a later attempt.
            Phase::Unknown { .. } if restart && !succeeded => false,
            Phase::Unknown { .. } => true,
            Phase::Waiting | Phase::Delayed(_) => succeeded,
            Phase::Ending(_) if state.unacknowledged == Some((slot, attempt)) => return,
            Phase::Ending(_) | Phase::Ended(_) => false,
        };
        if !current {
            return self.acknowledge(slot, finished.task.clone(), attempt);
        }
        state.attempts = attempt;
        state.unacknowledged = Some((slot, attempt));
        self.remove_waiting(key);
        self.remove_placement(key);
        self.finish(now, key, slot, finished);
        self.acknowledge_unless_ending(key);
    }

    fn finish(&mut self, now: Instant, key: Key, slot: Slot, finished: &Finished) {
        match finished.result {
            Result::Failed => {
                let is_final = self.record_failure(now, slot, key);
                match is_final {
                    true => self.fail_task(now, key),
                    false => self.reschedule(now, key, Cause::Failed),
                }
            }
            Result::Lapsed => self.reschedule(now, key, Cause::Lost),
            Result::Stopped => self.reschedule(now, key, Cause::Evicted),
            Result::Succeeded => self.succeed(now, key, slot, finished.run_ms),
        }
    }

    fn succeed(&mut self, now: Instant, key: Key, slot: Slot, run_ms: u64) {
        self.record_success(slot, key);
        let Some(job) = self.jobs.get_mut(key.serial) else {
            return;
        };
        let group = job.group;
        let restarted = job.spec.kind == Kind::Service && job.spec.restart && !job.is_stopping();
        if run_ms >= STABLE_MS {
            job.tasks[key.index as usize].failures = 0;
        }
        if restarted {
            return self.reschedule(now, key, Cause::Failed);
        }
        self.estimates.record_run(group, run_ms);
        self.end_task(key, End::Succeeded);
    }

    fn acknowledge_unless_ending(&mut self, key: Key) {
        let Some(job) = self.jobs.get_mut(key.serial) else {
            return;
        };
        let task = job.task(key.index);
        let Some(state) = job.tasks.get_mut(key.index as usize) else {
            return;
        };
        if matches!(state.phase, Phase::Ending(_)) {
            return;
        }
        if let Some((slot, attempt)) = state.unacknowledged.take() {
            self.acknowledge(slot, task, attempt);
        }
    }

    fn lease_reported(&mut self, now: Instant, slot: Slot, sent: Instant, lease: &Lease) {
        let key = self.jobs.find(&lease.task);
        let state = key.and_then(|key| self.jobs.task_mut(key));
        let (Some(key), Some(state)) = (key, state) else {
            return self.stop_orphan(slot, lease);
        };
        let same = state.attempts == lease.attempt;
        state.reported = state.reported.max(lease.attempt);
        match &state.phase {
            Phase::Placed(held) if held.worker == slot && same => self.renew(now, key, sent, lease),
            Phase::Unknown { .. } if !lease.checkpointed => self.adopt(now, key, slot, lease),
            Phase::Unknown { .. } => {}
            _ => self.stop_orphan(slot, lease),
        }
    }

    /// Updates the placement of a lease that the `Sync` renewed.
    fn renew(&mut self, now: Instant, key: Key, sent: Instant, lease: &Lease) {
        let reports = self.reports;
        let Some(placement) = self.jobs.placement_mut(key) else {
            return;
        };
        if lease.checkpointed {
            self.remove_placement(key);
            return self.reschedule(now, key, Cause::Evicted);
        }
        placement.last_report = reports;
        if placement.confirmation != Confirmation::Confirmed {
            placement.confirmation = Confirmation::Confirmed;
            placement.changed = now;
        }
        let measured = now - lease.used_age_ms;
        let measured_since_placement = measured >= placement.since;
        let sent_after_stop = placement.stop_requested.is_none_or(|at| at < sent);
        let checkpoint_overdue = placement
            .checkpoint_requested
            .is_some_and(|at| now.since(at) > 2 * RENEWAL_PERIOD_MS);
        let stopping = placement.stop_requested.is_some();
        if measured_since_placement {
            self.raise_charge(key, &lease.used);
        }
        if sent_after_stop && (stopping || checkpoint_overdue || self.is_revoked(key)) {
            self.stop(now, key);
        }
    }

    fn adopt(&mut self, now: Instant, key: Key, slot: Slot, lease: &Lease) {
        let mut placement = Placement::new(
            slot,
            Confirmation::Confirmed,
            lease.size.max(&lease.used),
            now,
        );
        placement.last_report = self.reports;
        placement.peak = lease.used;
        self.add_placement(key, placement);
        if let Some(job) = self.jobs.get_mut(key.serial) {
            job.tasks[key.index as usize].attempts = lease.attempt;
            job.started = true;
        }
        if self.is_revoked(key) {
            self.stop(now, key);
        }
    }

    /// Accounts for an orphaned lease, which belongs to no current attempt of a task, and stops it
    /// if the kernel is settled.
    fn stop_orphan(&mut self, slot: Slot, lease: &Lease) {
        let settled = self.settled;
        let Some(worker) = self.fleet.get_mut(slot) else {
            return;
        };
        if lease.checkpointed {
            return;
        }
        worker.orphaned += lease.size.max(&lease.used);
        if settled {
            self.actions.push(Action::Stop {
                worker: worker.target.name.clone(),
                task: lease.task.clone(),
                attempt: lease.attempt,
            });
        }
    }

    /// Releases leases that are missing from a report although the worker would report them.
    fn release_missing(&mut self, now: Instant, slot: Slot, sent: Instant) {
        let keys = self.fleet.get(slot).map(|worker| worker.keys.clone());
        for key in keys.unwrap_or_default() {
            let reports = self.reports;
            let Some(placement) = self.jobs.placement_mut(key) else {
                continue;
            };
            if placement.last_report == reports {
                continue;
            }
            let missing = match placement.confirmation {
                Confirmation::Confirmed => sent > placement.changed,
                // A placement whose answer was lost may still be in flight to the worker.
                Confirmation::Unresolved => sent >= placement.changed + RENEWAL_PERIOD_MS,
                Confirmation::Pending if now.since(placement.changed) > PLACE_TIMEOUT_MS => {
                    placement.confirmation = Confirmation::Unresolved;
                    placement.changed = now;
                    false
                }
                Confirmation::Pending => false,
            };
            if missing {
                self.remove_placement(key);
                self.reschedule(now, key, Cause::Lost);
            }
        }
    }

    /// Evicts the tasks that a leaving worker would interrupt: services at once if the worker
    /// announces its shutdown or the time is unknown, all tasks shortly before a stated shutdown.
    fn evict_from_leaving(&mut self, now: Instant, slot: Slot) {
        let Some(worker) = self.fleet.get(slot) else {
            return;
        };
        let (departure, announced) = (worker.departure, worker.announced);
        let near = |at: Instant| now + EVICT_BEFORE_MS + RENEWAL_PERIOD_MS >= at;
        let all = matches!(departure, Some(Departure::At(at)) if near(at));
        if !all && !announced && departure != Some(Departure::Unknown) {
            return;
        }
        for key in worker.keys.clone() {
            let kind = self.jobs.get(key.serial).map(|job| job.spec.kind);
            if all || kind == Some(Kind::Service) {
                self.checkpoint(now, key);
            }
        }
    }
}
