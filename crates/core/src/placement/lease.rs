//! Leases: grants, answers to placements, stops and the resources that leases hold.

use crate::job::{Priority, Task};
use crate::placement::index::Slot;
use crate::placement::jobs::{Confirmation, Key, Phase, Placement};
use crate::placement::pick::Demand;
use crate::placement::task::Cause;
use crate::placement::{Action, Attempt, Kernel};
use crate::size::Size;
use crate::time::Instant;

impl Kernel {
    /// Grants a lease for a waiting task and asks the worker to take it.
    pub(crate) fn grant(&mut self, now: Instant, key: Key, slot: Slot, demand: &Demand) {
        let charge = demand.size;
        let Some(state) = self.jobs.task_mut(key) else {
            return;
        };
        // A worker may have reported a higher attempt number, which must not be reused.
        state.attempts = state.attempts.max(state.reported) + 1;
        let attempt = state.attempts;
        let mut placement = Placement::new(slot, Confirmation::Pending, charge, now);
        placement.short = !demand.long;
        self.add_placement(key, placement);
        self.mix.record_placed(demand.run_ms);
        let Some(worker) = self.fleet.get_mut(slot) else {
            return;
        };
        worker.link.placements_in_flight += 1;
        let name = worker.target.name.clone();
        self.start_probe(slot, key);
        let Some(job) = self.jobs.get_mut(key.serial) else {
            return;
        };
        job.started = true;
        self.actions.push(Action::Place {
            worker: name,
            task: job.task(key.index),
            attempt,
            size: charge,
            log_first: !job.spec.restart,
        });
    }

    /// Handles a worker's acceptance of a lease.
    pub(crate) fn placed(&mut self, now: Instant, name: &str, task: &Task, attempt: Attempt) {
        let Some((slot, key)) = self.answered_placement(now, name, task, attempt) else {
            return;
        };
        if let Some(placement) = self.jobs.placement_mut(key) {
            placement.confirmation = Confirmation::Confirmed;
            placement.changed = now;
        }
        if self.is_revoked(key) {
            self.stop(now, key);
        }
        self.poll_at_expected_end(now, slot);
        self.fleet.reindex(slot);
    }

    /// Handles a placement that failed or whose answer was lost.
    pub(crate) fn place_failed(
        &mut self,
        now: Instant,
        name: &str,
        task: &Task,
        attempt: Attempt,
        definite: bool,
    ) {
        let Some((slot, key)) = self.answered_placement(now, name, task, attempt) else {
            return;
        };
        if let Some(worker) = self.fleet.get_mut(slot) {
            worker.link.suspect_since = Some(now);
        }
        self.fleet.reindex(slot);
        if definite {
            self.remove_placement(key);
            return self.reschedule(now, key, Cause::Refused);
        }
        if let Some(placement) = self.jobs.placement_mut(key) {
            placement.confirmation = Confirmation::Unresolved;
            placement.changed = now;
        }
        self.sync_early(now, slot);
    }

    /// Returns whether a task's lease is revoked: its job is stopping or its gang lost a member.
    pub(crate) fn is_revoked(&self, key: Key) -> bool {
        let job = self.jobs.get(key.serial);
        job.is_some_and(|job| job.is_stopping() || job.member_lost)
    }

    /// Asks the worker to stop a task.
    pub(crate) fn stop(&mut self, now: Instant, key: Key) {
        let Some(job) = self.jobs.get_mut(key.serial) else {
            return;
        };
        let task = job.task(key.index);
        let Some(state) = job.tasks.get_mut(key.index as usize) else {
            return;
        };
        let attempt = state.attempts;
        let Some(placement) = state.placement_mut() else {
            return;
        };
        placement.stop_requested = Some(now);
        let slot = placement.worker;
        let Some(worker) = self.fleet.get(slot) else {
            return;
        };
        self.actions.push(Action::Stop {
            worker: worker.target.name.clone(),
            task,
            attempt,
        });
        self.sync_early(now, slot);
    }

    /// Allocates a lease on the worker, the contract and the job.
    pub(crate) fn add_placement(&mut self, key: Key, placement: Placement) {
        let Some(job) = self.jobs.get_mut(key.serial) else {
            return;
        };
        let (slot, charge) = (placement.worker, placement.charge);
        let urgent = job.spec.priority == Priority::Urgent;
        job.placed += 1;
        if placement.short {
            self.mix.short_held += charge.millicores;
        }
        if let Some(worker) = self.fleet.get(slot) {
            *job.racks.entry(worker.rack).or_default() += 1;
        }
        job.tasks[key.index as usize].phase = Phase::Placed(placement);
        self.accounts.all[job.account].allocate(&charge, urgent);
        self.fleet.allocate(slot, key, &charge);
    }

    /// Releases a task's lease on the worker, the contract and the job. The caller must set the
    /// task's next phase.
    pub(crate) fn remove_placement(&mut self, key: Key) -> Option<Placement> {
        let job = self.jobs.get_mut(key.serial)?;
        let state = job.tasks.get_mut(key.index as usize)?;
        let placement = state.placement()?.clone();
        state.phase = Phase::Delayed(Instant::default());
        job.placed -= 1;
        if placement.short {
            let held = self.mix.short_held;
            self.mix.short_held = held.saturating_sub(placement.charge.millicores);
        }
        let urgent = job.spec.priority == Priority::Urgent;
        self.accounts.all[job.account].release(&placement.charge, urgent);
        let rack = self.fleet.get(placement.worker).map(|worker| worker.rack);
        if let Some(tasks) = rack.and_then(|rack| job.racks.get_mut(&rack)) {
            *tasks = tasks.saturating_sub(1);
        }
        self.estimates
            .record_use(job.group, &job.spec.size, &placement.peak);
        self.end_probe(placement.worker, key);
        self.fleet.release(placement.worker, key, &placement.charge);
        Some(placement)
    }

    /// Raises the charge of a lease to the reported use.
    pub(crate) fn raise_charge(&mut self, key: Key, used: &Size) {
        let Some(job) = self.jobs.get_mut(key.serial) else {
            return;
        };
        let urgent = job.spec.priority == Priority::Urgent;
        let account = job.account;
        let Some(placement) = job.tasks[key.index as usize].placement_mut() else {
            return;
        };
        placement.peak = placement.peak.max(used);
        let (before, after) = (placement.charge, placement.charge.max(used));
        placement.charge = after;
        if before == after {
            return;
        }
        let slot = placement.worker;
        self.accounts.all[account].release(&before, urgent);
        self.accounts.all[account].allocate(&after, urgent);
        if let Some(worker) = self.fleet.get_mut(slot) {
            worker.held = worker.held - before + after;
        }
    }

    /// Records the answer to a placement and returns its task, if the task still awaits it.
    fn answered_placement(
        &mut self,
        now: Instant,
        name: &str,
        task: &Task,
        attempt: Attempt,
    ) -> Option<(Slot, Key)> {
        let slot = self.fleet.slot(name)?;
        let worker = self.fleet.get_mut(slot)?;
        worker.link.placements_in_flight = worker.link.placements_in_flight.saturating_sub(1);
        worker.link.last_contact = worker.link.last_contact.max(now);
        let key = self.jobs.find(task)?;
        let state = self.jobs.task(key)?;
        let placement = state.placement()?;
        let same = placement.worker == slot && state.attempts == attempt;
        (same && placement.confirmation == Confirmation::Pending).then_some((slot, key))
    }
}

impl Placement {
    /// Creates a placement decided at `now`.
    pub(crate) fn new(
        worker: Slot,
        confirmation: Confirmation,
        charge: Size,
        now: Instant,
    ) -> Self {
        Self {
            worker,
            confirmation,
            charge,
            peak: Size::ZERO,
            since: now,
            changed: now,
            last_report: 0,
            stop_requested: None,
            checkpoint_requested: None,
            throttled: false,
            short: false,
        }
    }
}
