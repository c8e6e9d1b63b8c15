//! Cancelled and failed jobs, and leases that are given up.

use crate::job::{End, Id};
use crate::placement::work::{Certainty, Key, Phase, Serial};
use crate::placement::{Action, Kernel};
use crate::time::Instant;

/// Tasks of cancelled jobs that one call stops.
const STOPS_PER_CALL: usize = 256;

impl Kernel {
    /// Handles a cancelled job.
    pub(crate) fn cancel(&mut self, id: &Id) {
        let Some(serial) = self.book.serial(id) else {
            return;
        };
        let Some(job) = self.book.get_mut(serial) else {
            return;
        };
        if job.state.is_some() || job.cancelled {
            return;
        }
        job.cancelled = true;
        self.give_up_leases(serial);
    }

    /// Fails a job and gives up its leases.
    pub(crate) fn fail(&mut self, serial: Serial, reason: &str) {
        let Some(job) = self.book.get_mut(serial) else {
            return;
        };
        if job.is_stopping() {
            return;
        }
        job.failed = true;
        job.reason = Some(reason.into());
        self.give_up_leases(serial);
    }

    /// Ends a task that can't succeed, and fails its job.
    pub(crate) fn give_up(&mut self, _now: Instant, key: Key) {
        let tries = self.book.item(key).map_or(0, |item| item.attempts);
        let reason = format!("task {} failed in {tries} attempts", key.index);
        self.fail(key.serial, &reason);
        self.end(key, End::Failed);
    }

    /// Stops a bounded number of tasks of jobs whose leases are given up.
    pub(crate) fn stop_batch(&mut self, now: Instant) {
        for _ in 0..STOPS_PER_CALL {
            let Some(key) = self.book.take_next(&mut self.stopping) else {
                return;
            };
            self.stop_one(now, key);
        }
    }

    /// Asks the worker to save a task's progress and stop it, if the task may run again.
    pub(crate) fn checkpoint(&mut self, now: Instant, key: Key) {
        let Some(job) = self.book.get_mut(key.serial) else {
            return;
        };
        let task = job.task(key.index);
        let restart = job.spec.restart;
        let item = &mut job.items[key.index as usize];
        let attempt = item.attempts;
        let Some(hold) = item.hold_mut() else {
            return;
        };
        let idle = hold.checkpointed.is_none() && hold.stopped.is_none();
        if !restart || !idle || hold.certainty != Certainty::Confirmed {
            return;
        }
        hold.checkpointed = Some(now);
        let slot = hold.worker;
        if let Some(worker) = self.fleet.get(slot) {
            let worker = worker.target.name.clone();
            self.out.push(Action::Checkpoint {
                worker,
                task,
                attempt,
            });
        }
        self.sync_soon(now, slot);
    }

    fn give_up_leases(&mut self, serial: Serial) {
        self.dequeue(serial);
        let Some(job) = self.book.get_mut(serial) else {
            return;
        };
        self.accounts.all[job.account].waiting -= job.waiting.len() as u64;
        job.waiting.clear();
        self.stopping.push_back(Key::first(serial));
    }

    fn stop_one(&mut self, now: Instant, key: Key) {
        let cancelled = self
            .book
            .get(key.serial)
            .is_some_and(|job| job.is_stopping());
        let unwanted = self.is_unwanted(key);
        let Some(item) = self.book.item(key) else {
            return;
        };
        match &item.phase {
            Phase::Waiting | Phase::Delayed(_) if cancelled => self.end(key, End::Cancelled),
            Phase::Held(hold) if unwanted && hold.certainty != Certainty::Placing => {
                self.stop(now, key);
            }
            _ => {}
        }
    }
}
