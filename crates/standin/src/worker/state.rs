//! Leases, results and fencing epoch of a worker.

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

use super::lease::{Lease, Status};
use super::plan::Plan;
use super::{Availability, Context};

/// Run time in milliseconds of a task at a worker that fails every task.
const FAIL_AFTER_MS: u64 = 50;

/// Identity of a lease.
pub(super) type Key = (Task, Attempt);

/// State of a worker.
#[derive(Debug)]
pub(super) struct State {
    pub(super) fails: bool,
    pub(super) leaving: bool,
    pub(super) availability: Availability,
    /// Results that the owner has not acknowledged yet.
    finished: BTreeMap<Key, Finished>,
    /// All attempts accepted since the worker started. Another grant of the same attempt is
    /// accepted without effect.
    accepted: HashSet<Key>,
    leases: BTreeMap<Key, Lease>,
    name: Arc<str>,
    /// Highest epoch received, for fencing.
    epoch: Epoch,
    context: Context,
    size: Size,
    /// Percent by which the clock of the worker runs slow.
    slow_percent: u64,
}

impl State {
    pub(super) fn new(name: Arc<str>, size: Size, slow_percent: u64, context: Context) -> Self {
        Self {
            fails: false,
            leaving: false,
            availability: Availability::Up,
            finished: BTreeMap::new(),
            accepted: HashSet::new(),
            leases: BTreeMap::new(),
            name,
            epoch: Epoch::NONE,
            context,
            size,
            slow_percent,
        }
    }

    /// Finishes completed tasks and expired leases.
    pub(super) fn advance(&mut self, now: Instant) {
        let mut ended = Vec::new();
        for (key, lease) in &mut self.leases {
            let result = match lease.advance(now) {
                Status::Done if lease.plan.fails => TaskResult::Failed,
                Status::Done => TaskResult::Succeeded,
                Status::Lapsed => TaskResult::Lapsed,
                Status::Held => continue,
            };
            ended.push((key.clone(), result));
        }
        for (key, result) in ended {
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
        // The end of a checkpointed lease was recorded when the task stopped.
        if !lease.checkpointed {
            self.record_end(key, end);
        }
        let finished = Finished {
            task: key.0.clone(),
            attempt: key.1,
            result,
            run_ms: lease.age_ms(now),
        };
        self.finished.insert(key.clone(), finished);
    }

    fn record_end(&self, (task, attempt): &Key, end: LeaseEnd) {
        self.context.history.record(Event::LeaseEnded {
            worker: self.name.clone(),
            task: task.to_string().into(),
            attempt: *attempt,
            end,
        });
    }

    /// Rejects an epoch older than the highest one received.
    fn fence(&mut self, epoch: Epoch) -> Result<(), Refusal> {
        if epoch < self.epoch {
            return Err(Refusal::Fenced { seen: self.epoch.0 });
        }
        self.epoch = epoch;
        Ok(())
    }

    /// Returns when a lease of `lease_ms` expires by the worker's own clock, which may run slow.
    fn expiry(&self, now: Instant, lease_ms: u64) -> Instant {
        now + lease_ms * 100 / (100 - self.slow_percent.min(50))
    }

    pub(super) fn place(&mut self, now: Instant, grant: Grant) -> Result<(), Refusal> {
        let key = (grant.task.clone(), grant.attempt);
        if let Err(refusal) = self.fence(grant.epoch) {
            self.record_rejected(&grant, Reason::Fenced);
            return Err(refusal);
        }
        if self.accepted.contains(&key) {
            return Ok(());
        }
        let held = |sum, lease: &Lease| sum + lease.held();
        let held = self.leases.values().fold(Size::ZERO, held);
        if !(held + grant.size).fits(&self.size) {
            self.record_rejected(&grant, Reason::Full);
            let reason = format!("{:?} does not fit beside {held:?}", grant.size);
            return Err(Refusal::Other { reason });
        }
        let mut plan = Plan::new(&grant, &self.context.tasks);
        if self.fails {
            plan.fails = true;
            plan.run_ms = FAIL_AFTER_MS;
        }
        let expires_at = self.expiry(now, grant.lease_ms);
        let progress_ms = self.context.checkpoints.load(&grant.task);
        let lease = Lease::new(now, expires_at, grant.size, plan, progress_ms);
        self.record_granted(&grant);
        self.accepted.insert(key.clone());
        self.leases.insert(key, lease);
        Ok(())
    }

    fn record_granted(&self, grant: &Grant) {
        self.context.history.record(Event::LeaseGranted {
            worker: self.name.clone(),
            task: grant.task.to_string().into(),
            attempt: grant.attempt,
            epoch: grant.epoch.0,
            size: grant.size,
        });
    }

    fn record_rejected(&self, grant: &Grant, reason: Reason) {
        self.context.history.record(Event::LeaseRefused {
            worker: self.name.clone(),
            task: grant.task.to_string().into(),
            attempt: grant.attempt,
            epoch: grant.epoch.0,
            reason,
        });
    }

    pub(super) fn sync(&mut self, now: Instant, sync: &Sync) -> Result<Report, Refusal> {
        self.fence(sync.epoch)?;
        let expires_at = self.expiry(now, sync.lease_ms);
        for key in &sync.acknowledge {
            self.finished.remove(key);
            if self.leases.get(key).is_some_and(|lease| lease.checkpointed) {
                self.leases.remove(key);
            }
        }
        for lease in self.leases.values_mut() {
            lease.expires_at = expires_at;
        }
        let lag_ms = self.context.tasks.usage_lag_ms;
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
        self.context.checkpoints.save(&key.0, lease.progress_ms());
        self.record_end(key, LeaseEnd::Checkpointed);
    }

    pub(super) fn set_availability(&mut self, availability: Availability) {
        if availability == self.availability {
            return;
        }
        let went_down = availability == Availability::Down;
        if went_down {
            for (key, lease) in std::mem::take(&mut self.leases) {
                if !lease.checkpointed {
                    self.record_end(&key, LeaseEnd::VmLost);
                }
            }
            self.finished.clear();
            self.accepted.clear();
            self.epoch = Epoch::NONE;
            self.fails = false;
            self.leaving = false;
        }
        self.availability = availability;
        self.context.history.record(Event::WorkerCut {
            worker: self.name.clone(),
            cut: availability != Availability::Up,
        });
    }

    pub(super) fn lease_count(&self) -> usize {
        self.leases.len()
    }
}
