//! Leases: granting, the answers to placements, and giving leases up.

use crate::job::{Priority, Task};
use crate::placement::index::Slot;
use crate::placement::pick::Need;
use crate::placement::task::Gone;
use crate::placement::work::{Certainty, Hold, Key, Phase};
use crate::placement::{Action, Attempt, Kernel};
use crate::size::Size;
use crate::time::Instant;

impl Kernel {
    /// Grants a lease for a waiting task and asks the worker to take it.
    pub(crate) fn grant(&mut self, now: Instant, key: Key, slot: Slot, need: &Need) {
        let charge = need.size;
        let Some(item) = self.book.item_mut(key) else {
            return;
        };
        // A number that a worker still reports must not be used again.
        item.attempts = item.attempts.max(item.reported) + 1;
        let attempt = item.attempts;
        let mut hold = Hold::new(slot, Certainty::Placing, charge, now);
        hold.short = !need.long;
        self.hold(key, hold);
        self.mix.placed(need.run_ms);
        let Some(worker) = self.fleet.get_mut(slot) else {
            return;
        };
        worker.link.placing += 1;
        let name = worker.target.name.clone();
        self.start_probe(slot, key);
        let Some(job) = self.book.get_mut(key.serial) else {
            return;
        };
        job.started = true;
        self.out.push(Action::Place {
            worker: name,
            task: job.task(key.index),
            attempt,
            size: charge,
            log_first: !job.spec.restart,
        });
    }

    /// Handles a worker's consent to a lease.
    pub(crate) fn placed(&mut self, now: Instant, name: &str, task: &Task, attempt: Attempt) {
        let Some((slot, key)) = self.placing(now, name, task, attempt) else {
            return;
        };
        if let Some(hold) = self.book.hold_mut(key) {
            hold.certainty = Certainty::Confirmed;
            hold.changed = now;
        }
        if self.is_unwanted(key) {
            self.stop(now, key);
        }
        self.expect_end(now, slot);
        self.fleet.refresh(slot);
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
        let Some((slot, key)) = self.placing(now, name, task, attempt) else {
            return;
        };
        if let Some(worker) = self.fleet.get_mut(slot) {
            worker.link.distrusted = Some(now);
        }
        self.fleet.refresh(slot);
        if definite {
            self.unhold(key);
            return self.again(now, key, Gone::Refused);
        }
        if let Some(hold) = self.book.hold_mut(key) {
            hold.certainty = Certainty::Doubtful;
            hold.changed = now;
        }
        self.sync_soon(now, slot);
    }

    /// Tells whether a task's lease is to be given up.
    pub(crate) fn is_unwanted(&self, key: Key) -> bool {
        let job = self.book.get(key.serial);
        job.is_some_and(|job| job.is_stopping() || job.broken)
    }

    /// Asks the worker to stop a task.
    pub(crate) fn stop(&mut self, now: Instant, key: Key) {
        let Some(job) = self.book.get_mut(key.serial) else {
            return;
        };
        let task = job.task(key.index);
        let Some(item) = job.items.get_mut(key.index as usize) else {
            return;
        };
        let attempt = item.attempts;
        let Some(hold) = item.hold_mut() else {
            return;
        };
        hold.stopped = Some(now);
        let slot = hold.worker;
        let Some(worker) = self.fleet.get(slot) else {
            return;
        };
        self.out.push(Action::Stop {
            worker: worker.target.name.clone(),
            task,
            attempt,
        });
        self.sync_soon(now, slot);
    }

    /// Counts a lease on the worker, the contract and the job.
    pub(crate) fn hold(&mut self, key: Key, hold: Hold) {
        let Some(job) = self.book.get_mut(key.serial) else {
            return;
        };
        let (slot, charge) = (hold.worker, hold.charge);
        let urgent = job.spec.priority == Priority::Urgent;
        job.held += 1;
        if hold.short {
            self.mix.short_held += charge.millicores;
        }
        if let Some(worker) = self.fleet.get(slot) {
            *job.racks.entry(worker.rack).or_default() += 1;
        }
        job.items[key.index as usize].phase = Phase::Held(hold);
        self.accounts.all[job.account].hold(&charge, urgent);
        self.fleet.hold(slot, key, &charge);
    }

    /// Stops counting a task's lease. The caller sets what becomes of the task.
    pub(crate) fn unhold(&mut self, key: Key) -> Option<Hold> {
        let job = self.book.get_mut(key.serial)?;
        let item = job.items.get_mut(key.index as usize)?;
        let hold = item.hold()?.clone();
        item.phase = Phase::Delayed(Instant::default());
        job.held -= 1;
        if hold.short {
            let held = self.mix.short_held;
            self.mix.short_held = held.saturating_sub(hold.charge.millicores);
        }
        let urgent = job.spec.priority == Priority::Urgent;
        self.accounts.all[job.account].release(&hold.charge, urgent);
        let rack = self.fleet.get(hold.worker).map(|worker| worker.rack);
        if let Some(tasks) = rack.and_then(|rack| job.racks.get_mut(&rack)) {
            *tasks = tasks.saturating_sub(1);
        }
        self.learned.used(job.group, &job.spec.size, &hold.peak);
        self.end_probe(hold.worker, key);
        self.fleet.release(hold.worker, key, &hold.charge);
        Some(hold)
    }

    /// Raises the charge of a lease to the use that was reported.
    pub(crate) fn charge(&mut self, key: Key, used: &Size) {
        let Some(job) = self.book.get_mut(key.serial) else {
            return;
        };
        let urgent = job.spec.priority == Priority::Urgent;
        let account = job.account;
        let Some(hold) = job.items[key.index as usize].hold_mut() else {
            return;
        };
        hold.peak = hold.peak.max(used);
        let (before, after) = (hold.charge, hold.charge.max(used));
        hold.charge = after;
        if before == after {
            return;
        }
        let slot = hold.worker;
        self.accounts.all[account].release(&before, urgent);
        self.accounts.all[account].hold(&after, urgent);
        if let Some(worker) = self.fleet.get_mut(slot) {
            worker.held = worker.held - before + after;
        }
    }

    /// Returns the task whose placement the worker answers.
    fn placing(
        &mut self,
        now: Instant,
        name: &str,
        task: &Task,
        attempt: Attempt,
    ) -> Option<(Slot, Key)> {
        let slot = self.fleet.slot(name)?;
        let worker = self.fleet.get_mut(slot)?;
        worker.link.placing = worker.link.placing.saturating_sub(1);
        worker.link.contact = worker.link.contact.max(now);
        let key = self.book.find(task)?;
        let item = self.book.item(key)?;
        let hold = item.hold()?;
        let same = hold.worker == slot && item.attempts == attempt;
        (same && hold.certainty == Certainty::Placing).then_some((slot, key))
    }
}

impl Hold {
    /// Creates a lease that is counted from `now`.
    pub(crate) fn new(worker: Slot, certainty: Certainty, charge: Size, now: Instant) -> Self {
        Self {
            worker,
            certainty,
            charge,
            peak: Size::ZERO,
            since: now,
            changed: now,
            seen: 0,
            stopped: None,
            checkpointed: None,
            throttled: false,
            short: false,
        }
    }
}
