//! What a worker's report changes.

use crate::job::{End, Kind, Task};
use crate::placement::index::Slot;
use crate::placement::task::Gone;
use crate::placement::work::{Certainty, Hold, Key, Phase};
use crate::placement::worker::Departure;
use crate::placement::{Action, Attempt, Finished, Kernel, Lease, Report, Result};
use crate::size::Size;
use crate::time::Instant;
use crate::timing::RENEWAL_PERIOD_MS;

/// Milliseconds before a stated departure at which tasks are moved.
const MOVE_BEFORE_MS: u64 = 10_000;
/// Milliseconds after which a lost answer to a placement is given up.
const PLACE_MAX_MS: u64 = 30_000;
/// Run time after which a service task's earlier failures no longer count.
const STABLE_MS: u64 = 60_000;

impl Kernel {
    /// Takes a report and tells whether capacity became free.
    pub(crate) fn take_report(
        &mut self,
        now: Instant,
        slot: Slot,
        sent: Instant,
        report: Report,
    ) -> bool {
        self.reports += 1;
        let held = |kernel: &Self| kernel.fleet.get(slot).map_or(0, |worker| worker.keys.len());
        let before = held(self);
        if let Some(worker) = self.fleet.get_mut(slot) {
            worker.foreign = Size::ZERO;
            worker.announced = report.leaving;
        }
        for finished in &report.finished {
            self.finished(now, slot, finished);
        }
        for lease in &report.leases {
            self.leased(now, slot, sent, lease);
        }
        self.drop_vanished(now, slot, sent);
        self.check_probe(now, slot);
        self.relieve(now, slot, &report.leases);
        self.vacate(now, slot);
        held(self) < before
    }

    /// Has the worker forget a finished attempt with the next `Sync`.
    pub(crate) fn acknowledge(&mut self, slot: Slot, task: Task, attempt: Attempt) {
        if let Some(worker) = self.fleet.get_mut(slot) {
            worker.acknowledge.push((task, attempt));
        }
    }

    fn finished(&mut self, now: Instant, slot: Slot, finished: &Finished) {
        let Some(key) = self.book.find(&finished.task) else {
            // Jobs may still be taken over from the log until the shard is settled.
            if self.settled {
                self.acknowledge(slot, finished.task.clone(), finished.attempt);
            }
            return;
        };
        let attempt = finished.attempt;
        let succeeded = finished.result == Result::Succeeded;
        let restart = self
            .book
            .get(key.serial)
            .is_some_and(|job| job.spec.restart);
        let Some(item) = self.book.item_mut(key) else {
            return self.acknowledge(slot, finished.task.clone(), attempt);
        };
        item.reported = item.reported.max(attempt);
        let same = item.attempts == attempt;
        let current = match &item.phase {
            Phase::Held(hold) => hold.worker == slot && same,
            // Another worker that was not surveyed yet may hold a later attempt.
            Phase::Unknown { .. } if restart && !succeeded => false,
            Phase::Unknown { .. } => true,
            Phase::Waiting | Phase::Delayed(_) => succeeded,
            Phase::Ending(_) if item.keeper == Some((slot, attempt)) => return,
            Phase::Ending(_) | Phase::Ended(_) => false,
        };
        if !current {
            return self.acknowledge(slot, finished.task.clone(), attempt);
        }
        item.attempts = attempt;
        item.keeper = Some((slot, attempt));
        self.withdraw(key);
        self.unhold(key);
        self.finish(now, key, slot, finished);
        self.acknowledge_unless_ending(key);
    }

    fn finish(&mut self, now: Instant, key: Key, slot: Slot, finished: &Finished) {
        match finished.result {
            Result::Failed => {
                let hopeless = self.note_failure(now, slot, key);
                match hopeless {
                    true => self.give_up(now, key),
                    false => self.again(now, key, Gone::Failed),
                }
            }
            Result::Lapsed => self.again(now, key, Gone::Lost),
            Result::Stopped => self.again(now, key, Gone::Moved),
            Result::Succeeded => self.succeed(now, key, slot, finished.run_ms),
        }
    }

    fn succeed(&mut self, now: Instant, key: Key, slot: Slot, run_ms: u64) {
        self.note_success(slot, key);
        let Some(job) = self.book.get_mut(key.serial) else {
            return;
        };
        let group = job.group;
        let restarted = job.spec.kind == Kind::Service && job.spec.restart && !job.is_stopping();
        if run_ms >= STABLE_MS {
            job.items[key.index as usize].setbacks = 0;
        }
        if restarted {
            return self.again(now, key, Gone::Failed);
        }
        self.learned.ran(group, run_ms);
        self.end(key, End::Succeeded);
    }

    fn acknowledge_unless_ending(&mut self, key: Key) {
        let Some(job) = self.book.get_mut(key.serial) else {
            return;
        };
        let task = job.task(key.index);
        let Some(item) = job.items.get_mut(key.index as usize) else {
            return;
        };
        if matches!(item.phase, Phase::Ending(_)) {
            return;
        }
        if let Some((slot, attempt)) = item.keeper.take() {
            self.acknowledge(slot, task, attempt);
        }
    }

    fn leased(&mut self, now: Instant, slot: Slot, sent: Instant, lease: &Lease) {
        let key = self.book.find(&lease.task);
        let item = key.and_then(|key| self.book.item_mut(key));
        let (Some(key), Some(item)) = (key, item) else {
            return self.foreign(slot, lease);
        };
        let same = item.attempts == lease.attempt;
        item.reported = item.reported.max(lease.attempt);
        match &item.phase {
            Phase::Held(hold) if hold.worker == slot && same => self.renewed(now, key, sent, lease),
            Phase::Unknown { .. } if !lease.checkpointed => self.adopt(now, key, slot, lease),
            Phase::Unknown { .. } => {}
            _ => self.foreign(slot, lease),
        }
    }

    fn renewed(&mut self, now: Instant, key: Key, sent: Instant, lease: &Lease) {
        let reports = self.reports;
        let Some(hold) = self.book.hold_mut(key) else {
            return;
        };
        if lease.checkpointed {
            self.unhold(key);
            return self.again(now, key, Gone::Moved);
        }
        hold.seen = reports;
        if hold.certainty != Certainty::Confirmed {
            hold.certainty = Certainty::Confirmed;
            hold.changed = now;
        }
        let measured = now - lease.used_age_ms;
        let current = measured >= hold.since;
        let unheard = hold.stopped.is_none_or(|at| at < sent);
        let stuck = hold
            .checkpointed
            .is_some_and(|at| now.since(at) > 2 * RENEWAL_PERIOD_MS);
        let stopping = hold.stopped.is_some();
        if current {
            self.charge(key, &lease.used);
        }
        if unheard && (stopping || stuck || self.is_unwanted(key)) {
            self.stop(now, key);
        }
    }

    fn adopt(&mut self, now: Instant, key: Key, slot: Slot, lease: &Lease) {
        let mut hold = Hold::new(slot, Certainty::Confirmed, lease.size.max(&lease.used), now);
        hold.seen = self.reports;
        hold.peak = lease.used;
        self.hold(key, hold);
        if let Some(job) = self.book.get_mut(key.serial) {
            job.items[key.index as usize].attempts = lease.attempt;
            job.started = true;
        }
        if self.is_unwanted(key) {
            self.stop(now, key);
        }
    }

    /// Counts and stops a lease that no task here holds.
    fn foreign(&mut self, slot: Slot, lease: &Lease) {
        let settled = self.settled;
        let Some(worker) = self.fleet.get_mut(slot) else {
            return;
        };
        if lease.checkpointed {
            return;
        }
        worker.foreign += lease.size.max(&lease.used);
        if settled {
            self.out.push(Action::Stop {
                worker: worker.target.name.clone(),
                task: lease.task.clone(),
                attempt: lease.attempt,
            });
        }
    }

    /// Gives up leases that the worker would have reported if it had them.
    fn drop_vanished(&mut self, now: Instant, slot: Slot, sent: Instant) {
        let keys = self.fleet.get(slot).map(|worker| worker.keys.clone());
        for key in keys.unwrap_or_default() {
            let reports = self.reports;
            let Some(hold) = self.book.hold_mut(key) else {
                continue;
            };
            if hold.seen == reports {
                continue;
            }
            let vanished = match hold.certainty {
                Certainty::Confirmed => sent > hold.changed,
                // A placement whose answer was lost may still be on its way to the worker.
                Certainty::Doubtful => sent >= hold.changed + RENEWAL_PERIOD_MS,
                Certainty::Placing if now.since(hold.changed) > PLACE_MAX_MS => {
                    hold.certainty = Certainty::Doubtful;
                    hold.changed = now;
                    false
                }
                Certainty::Placing => false,
            };
            if vanished {
                self.unhold(key);
                self.again(now, key, Gone::Lost);
            }
        }
    }

    /// Moves the tasks of a leaving worker that would be cut off.
    fn vacate(&mut self, now: Instant, slot: Slot) {
        let Some(worker) = self.fleet.get(slot) else {
            return;
        };
        let (departure, announced) = (worker.departure, worker.announced);
        let near = |at: Instant| now + MOVE_BEFORE_MS + RENEWAL_PERIOD_MS >= at;
        let all = matches!(departure, Some(Departure::At(at)) if near(at));
        if !all && !announced && departure != Some(Departure::Sometime) {
            return;
        }
        for key in worker.keys.clone() {
            let kind = self.book.get(key.serial).map(|job| job.spec.kind);
            if all || kind == Some(Kind::Service) {
                self.checkpoint(now, key);
            }
        }
    }
}
