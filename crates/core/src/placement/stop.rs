//! Task termination: stops the tasks of cancelled and failed jobs and of gangs that lost a member,
//! and checkpoints tasks before eviction.

use crate::job::{End, Id};
use crate::placement::jobs::{Confirmation, Key, Phase, Serial};
use crate::placement::{Action, Kernel};
use crate::time::Instant;

/// Most tasks processed per tick.
const STOPS_PER_CALL: usize = 256;

impl Kernel {
    /// Handles a cancelled job.
    pub(crate) fn cancel(&mut self, id: &Id) {
        let Some(serial) = self.jobs.serial(id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(serial) else {
            return;
        };
        if job.state.is_some() || job.cancelled {
            return;
        }
        job.cancelled = true;
        self.revoke_leases(serial);
    }

    /// Fails a job and revokes its leases.
    pub(crate) fn fail(&mut self, serial: Serial, reason: &str) {
        let Some(job) = self.jobs.get_mut(serial) else {
            return;
        };
        if job.is_stopping() {
            return;
        }
        job.failed = true;
        job.reason = Some(reason.into());
        self.revoke_leases(serial);
    }

    /// Ends a task that can't succeed, and fails its job.
    pub(crate) fn fail_task(&mut self, _now: Instant, key: Key) {
        let attempts = self.jobs.task(key).map_or(0, |state| state.attempts);
        let reason = format!("task {} failed in {attempts} attempts", key.index);
        self.fail(key.serial, &reason);
        self.end_task(key, End::Failed);
    }

    /// Stops a bounded number of tasks whose leases are revoked.
    pub(crate) fn stop_revoked(&mut self, now: Instant) {
        for _ in 0..STOPS_PER_CALL {
            let Some(key) = self.jobs.take_next(&mut self.stopping) else {
                return;
            };
            self.stop_revoked_task(now, key);
        }
    }

    /// Asks the worker to checkpoint a task and stop it, if the task may restart.
    pub(crate) fn checkpoint(&mut self, now: Instant, key: Key) {
        let Some(job) = self.jobs.get_mut(key.serial) else {
            return;
        };
        let task = job.task(key.index);
        let restart = job.spec.restart;
        let state = &mut job.tasks[key.index as usize];
        let attempt = state.attempts;
        let Some(placement) = state.placement_mut() else {
            return;
        };
        let not_requested =
            placement.checkpoint_requested.is_none() && placement.stop_requested.is_none();
        if !restart || !not_requested || placement.confirmation != Confirmation::Confirmed {
            return;
        }
        placement.checkpoint_requested = Some(now);
        let slot = placement.worker;
        if let Some(worker) = self.fleet.get(slot) {
            let worker = worker.target.name.clone();
            self.actions.push(Action::Checkpoint {
                worker,
                task,
                attempt,
            });
        }
        self.sync_early(now, slot);
    }

    fn revoke_leases(&mut self, serial: Serial) {
        self.dequeue(serial);
        let Some(job) = self.jobs.get_mut(serial) else {
            return;
        };
        self.accounts.all[job.account].waiting -= job.waiting.len() as u64;
        job.waiting.clear();
        self.stopping.push_back(Key::first(serial));
    }

    fn stop_revoked_task(&mut self, now: Instant, key: Key) {
        let stopping = self
            .jobs
            .get(key.serial)
            .is_some_and(|job| job.is_stopping());
        let revoked = self.is_revoked(key);
        let Some(state) = self.jobs.task(key) else {
            return;
        };
        match &state.phase {
            Phase::Waiting | Phase::Delayed(_) if stopping => self.end_task(key, End::Cancelled),
            Phase::Placed(placement)
                if revoked && placement.confirmation != Confirmation::Pending =>
            {
                self.stop(now, key);
            }
            _ => {}
        }
    }
}
