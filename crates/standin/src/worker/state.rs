//! State of a worker behind its lock.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use rosemaryworks_core::job::Task;
use rosemaryworks_core::placement::{Attempt, Finished, Report, Result as TaskResult};
use rosemaryworks_core::shard::Epoch;
use rosemaryworks_core::size::Size;
use rosemaryworks_core::time::Instant;
use rosemaryworks_history::Event;
use rosemaryworks_history::record::{LeaseEnd, Refusal as Reason};
use rosemaryworks_platform::http::Refusal;
use rosemaryworks_platform::workers::{Action, Control, Grant, Sync};

use super::lease::{Due, Lease};
use super::plan::Plan;
use super::{Reach, Shared};

/// Milliseconds after which a task fails at a worker that fails everything.
const FAIL_AFTER_MS: u64 = 50;

/// Identity of a lease.
pub(super) type Key = (Task, Attempt);

/// State of a worker.
#[derive(Debug)]
pub(super) struct State {
    pub(super) fails: bool,
    pub(super) leaving: bool,
    pub(super) reach: Reach,
    finished: BTreeMap<Key, Finished>,
    known: HashSet<Key>,
    leases: BTreeMap<Key, Lease>,
    name: Arc<str>,
    seen: Epoch,
    shared: Shared,
    size: Size,
    slow_percent: u64,
}

impl State {
    pub(super) fn new(name: Arc<str>, size: Size, slow_percent: u64, shared: Shared) -> Self {
        Self {
            fails: false,
            leaving: false,
            reach: Reach::Up,
            finished: BTreeMap::new(),
            known: HashSet::new(),
            leases: BTreeMap::new(),
            name,
            seen: Epoch::NONE,
            shared,
            size,
            slow_percent,
        }
    }

    /// Ends tasks that are done and leases that lapsed.
    pub(super) fn advance(&mut self, now: Instant) {
        let mut due = Vec::new();
        for (key, lease) in &mut self.leases {
            let end = match lease.advance(now) {
                Due::Done if lease.plan.fails => TaskResult::Failed,
                Due::Done => TaskResult::Succeeded,
                Due::Lapsed => TaskResult::Lapsed,
                Due::Not => continue,
            };
            due.push((key.clone(), end));
        }
        for (key, result) in due {
            self.finish(now, &key, result);
        }
    }

    fn finish(&mut self, now: Instant, key: &Key, result: TaskResult) {
        let Some(lease) = self.leases.remove(key) else {
            return;
        };
        let end = match result {
            TaskResult::Failed => LeaseEnd::Failed,
            TaskResult::Lapsed => LeaseEnd::Lapsed,
            TaskResult::Stopped => LeaseEnd::Stopped,
            TaskResult::Succeeded => LeaseEnd::Succeeded,
        };
        // The end of a checkpointed lease was noted when the task stopped.
        if !lease.checkpointed {
            self.note_end(key, end);
        }
        let finished = Finished {
            task: key.0.clone(),
            attempt: key.1,
            result,
            run_ms: lease.age_ms(now),
        };
        self.finished.insert(key.clone(), finished);
    }

    fn note_end(&self, (task, attempt): &Key, end: LeaseEnd) {
        self.shared.history.record(Event::LeaseEnded {
            worker: self.name.clone(),
            task: task.to_string().into(),
            attempt: *attempt,
            end,
        });
    }

    fn fence(&mut self, epoch: Epoch) -> Result<(), Refusal> {
        if epoch < self.seen {
            return Err(Refusal::Fenced { seen: self.seen.0 });
        }
        self.seen = epoch;
        Ok(())
    }

    /// Returns the end of a lease of `lease_ms` by the worker's own clock, which may run slow.
    fn until(&self, now: Instant, lease_ms: u64) -> Instant {
        now + lease_ms * 100 / (100 - self.slow_percent.min(50))
    }

    pub(super) fn place(&mut self, now: Instant, grant: Grant) -> Result<(), Refusal> {
        let key = (grant.task.clone(), grant.attempt);
        if let Err(refusal) = self.fence(grant.epoch) {
            self.note_refused(&grant, Reason::Fenced);
            return Err(refusal);
        }
        if self.known.contains(&key) {
            return Ok(());
        }
        let held = |sum, lease: &Lease| sum + lease.held();
        let held = self.leases.values().fold(Size::ZERO, held);
        if !(held + grant.size).fits(&self.size) {
            self.note_refused(&grant, Reason::Full);
            let reason = format!("{:?} does not fit beside {held:?}", grant.size);
            return Err(Refusal::Other { reason });
        }
        let mut plan = Plan::new(&grant, &self.shared.tasks);
        if self.fails {
            plan.fails = true;
            plan.run_ms = FAIL_AFTER_MS;
        }
        let until = self.until(now, grant.lease_ms);
        let done_ms = self.shared.checkpoints.load(&grant.task);
        let lease = Lease::new(now, until, grant.size, plan, done_ms);
        self.note_granted(&grant);
        self.known.insert(key.clone());
        self.leases.insert(key, lease);
        Ok(())
    }

    fn note_granted(&self, grant: &Grant) {
        self.shared.history.record(Event::LeaseGranted {
            worker: self.name.clone(),
            task: grant.task.to_string().into(),
            attempt: grant.attempt,
            epoch: grant.epoch.0,
            size: grant.size,
        });
    }

    fn note_refused(&self, grant: &Grant, reason: Reason) {
        self.shared.history.record(Event::LeaseRefused {
            worker: self.name.clone(),
            task: grant.task.to_string().into(),
            attempt: grant.attempt,
            epoch: grant.epoch.0,
            reason,
        });
    }

    pub(super) fn sync(&mut self, now: Instant, sync: &Sync) -> Result<Report, Refusal> {
        self.fence(sync.epoch)?;
        let until = self.until(now, sync.lease_ms);
        for key in &sync.acknowledge {
            self.finished.remove(key);
            if self.leases.get(key).is_some_and(|lease| lease.checkpointed) {
                self.leases.remove(key);
            }
        }
        for lease in self.leases.values_mut() {
            lease.until = until;
        }
        let lag_ms = self.shared.tasks.usage_lag_ms;
        let leases = self.leases.iter();
        Ok(Report {
            leases: leases
                .map(|(key, lease)| lease.report(now, lag_ms, key))
                .collect(),
            finished: self.finished.values().cloned().collect(),
            leaving: self.leaving,
        })
    }

    pub(super) fn control(&mut self, now: Instant, control: &Control) -> Result<(), Refusal> {
        self.fence(control.epoch)?;
        let key = (control.task.clone(), control.attempt);
        match control.action {
            Action::Checkpoint => self.checkpoint(&key),
            Action::Stop => self.finish(now, &key, TaskResult::Stopped),
            Action::Throttle(percent) => {
                if let Some(lease) = self.leases.get_mut(&key) {
                    lease.throttle(percent);
                }
            }
        }
        Ok(())
    }

    fn checkpoint(&mut self, key: &Key) {
        let Some(lease) = self.leases.get_mut(key) else {
            return;
        };
        if lease.checkpointed {
            return;
        }
        lease.checkpointed = true;
        self.shared.checkpoints.save(&key.0, lease.done_ms());
        self.note_end(key, LeaseEnd::Checkpointed);
    }

    pub(super) fn set_reach(&mut self, reach: Reach) {
        if reach == self.reach {
            return;
        }
        let died = reach == Reach::Died;
        if died {
            for (key, lease) in std::mem::take(&mut self.leases) {
                if !lease.checkpointed {
                    self.note_end(&key, LeaseEnd::VmLost);
                }
            }
            self.finished.clear();
            self.known.clear();
            self.seen = Epoch::NONE;
            self.fails = false;
            self.leaving = false;
        }
        self.reach = reach;
        self.shared.history.record(Event::WorkerCut {
            worker: self.name.clone(),
            cut: reach != Reach::Up,
        });
    }

    pub(super) fn lease_count(&self) -> usize {
        self.leases.len()
    }
}
