//! Carries out the steps of a placement kernel.

use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use rosemaryworks_core::job::{Spec, Task};
use rosemaryworks_core::placement::{Action, Attempt, Event};
use rosemaryworks_core::record::Cell;
use rosemaryworks_core::size::Size;
use rosemaryworks_core::target::Worker;
use rosemaryworks_core::timing::LEASE_MS;
use rosemaryworks_node::clock;
use rosemaryworks_platform::workers::{Action as ControlAction, Control, Grant, Sync};
use rosemaryworks_platform::{Failure, Fault};

use super::Pool;
use crate::events;
use crate::lock::lock;
use crate::shared::{Shared, Written};
use crate::writer::Item;

/// Patience with the append of a grant record and its read-back.
const GRANT_PATIENCE: Duration = Duration::from_secs(1);

/// Pause before a call that can't be made is reported as failed.
const FAILURE_DELAY: Duration = Duration::from_millis(200);

/// A lease to be granted.
struct Placing {
    worker: Arc<str>,
    task: Task,
    attempt: Attempt,
    size: Size,
    log_first: bool,
}

impl Pool {
    /// Carries out a step. What becomes of it follows as a later event.
    pub(super) fn carry_out(self: &Arc<Self>, step: Action) {
        match step {
            Action::Checkpoint {
                worker,
                task,
                attempt,
            } => self.control(&worker, task, attempt, ControlAction::Checkpoint),
            Action::EndJob { job, state, reason } => {
                let record = Cell::Ended {
                    shard: self.term.shard.clone(),
                    epoch: self.term.epoch,
                    job,
                    state,
                    reason,
                    at_unix_ms: clock::unix_ms(),
                };
                self.writer.push(Item::Record(Box::new(record)));
            }
            // `EndRecorded` follows when the record is read back.
            Action::EndTask { task, end } => self.writer.push(Item::End(task, end)),
            Action::Place {
                worker,
                task,
                attempt,
                size,
                log_first,
            } => self.place(Placing {
                worker,
                task,
                attempt,
                size,
                log_first,
            }),
            Action::Stop {
                worker,
                task,
                attempt,
            } => self.control(&worker, task, attempt, ControlAction::Stop),
            Action::Sync {
                worker,
                acknowledge,
            } => self.sync(worker, acknowledge),
            Action::Throttle {
                worker,
                task,
                percent,
            } => {
                let attempt = lock(&self.state).attempts.get(&task).copied();
                if let Some(attempt) = attempt {
                    self.control(&worker, task, attempt, ControlAction::Throttle(percent));
                }
            }
        }
    }

    fn place(self: &Arc<Self>, placing: Placing) {
        let pool = self.clone();
        tokio::spawn(async move {
            let Some(shared) = pool.shared.upgrade() else {
                return;
            };
            let event = pool.placed(&shared, placing).await;
            pool.feed(event);
        });
    }

    async fn placed(&self, shared: &Shared, placing: Placing) -> Event {
        let failed = |placing: Placing, definite| Event::PlaceFailed {
            worker: placing.worker,
            task: placing.task,
            attempt: placing.attempt,
            definite,
        };
        let Some((worker, spec)) = self.prepare(shared, &placing).await else {
            // The kernel may choose again at once; the pause bounds how often.
            tokio::time::sleep(FAILURE_DELAY).await;
            return failed(placing, true);
        };
        let grant = self.lease(&placing, &spec);
        let answer = shared.platform.workers.place(&worker, grant).await;
        shared.counters.placement(answer.is_ok());
        match answer {
            Ok(()) => {
                let attempts = &mut lock(&self.state).attempts;
                attempts.insert(placing.task.clone(), placing.attempt);
                Event::Placed {
                    worker: placing.worker,
                    task: placing.task,
                    attempt: placing.attempt,
                }
            }
            Err(report) => {
                self.report("place", &placing.worker, &report);
                failed(placing, report.current_context().had_no_effect())
            }
        }
    }

    /// Does everything that comes before the call to the worker. Returns `None` if the lease may
    /// not be granted.
    async fn prepare(&self, shared: &Shared, placing: &Placing) -> Option<(Worker, Arc<Spec>)> {
        let worker = lock(&self.state).workers.get(&placing.worker).cloned()?;
        let spec = {
            let cell = lock(&shared.cell);
            let job = cell.fold.job(&self.term.shard, &placing.task.job)?;
            job.spec.clone()
        };
        if placing.log_first && !self.record_grant(shared, &placing.task).await {
            return None;
        }
        // The worker also refuses an old epoch, but only once it has seen the newer one.
        self.term.holds().then_some((worker, spec))
    }

    fn lease(&self, placing: &Placing, spec: &Spec) -> Grant {
        Grant {
            epoch: self.term.epoch,
            task: placing.task.clone(),
            attempt: placing.attempt,
            size: placing.size,
            run_ms: spec.run_ms,
            lease_ms: LEASE_MS,
            payload: spec.payload.clone(),
        }
    }

    /// Records that a lease is about to be granted. Returns whether it may be granted.
    async fn record_grant(&self, shared: &Shared, task: &Task) -> bool {
        if self.without_log(shared, task) {
            return true;
        }
        let record = Cell::Granted {
            shard: self.term.shard.clone(),
            epoch: self.term.epoch,
            tasks: vec![task.clone()],
        };
        match shared.write(&record, GRANT_PATIENCE).await {
            Written::Valid => true,
            Written::Void => false,
            Written::No(_) | Written::Uncertain(_) => self.without_log(shared, task),
        }
    }

    /// Keeps the grant in memory until the log returns, if this is allowed now.
    fn without_log(&self, shared: &Shared, task: &Task) -> bool {
        let outage = shared.permit(&self.term);
        if outage {
            self.writer.push(Item::Granted(task.clone()));
        }
        outage
    }

    fn sync(self: &Arc<Self>, name: Arc<str>, acknowledge: Vec<(Task, Attempt)>) {
        let pool = self.clone();
        tokio::spawn(async move {
            let Some(shared) = pool.shared.upgrade() else {
                return;
            };
            let event = pool.synced(&shared, name, acknowledge).await;
            pool.feed(event);
        });
    }

    async fn synced(
        &self,
        shared: &Shared,
        name: Arc<str>,
        acknowledge: Vec<(Task, Attempt)>,
    ) -> Event {
        let worker = lock(&self.state).workers.get(&name).cloned();
        let (Some(worker), true) = (worker, self.term.holds()) else {
            tokio::time::sleep(FAILURE_DELAY).await;
            return Event::SyncFailed {
                worker: name,
                fenced: false,
            };
        };
        let call = Sync {
            epoch: self.term.epoch,
            lease_ms: LEASE_MS,
            acknowledge,
        };
        match shared.platform.workers.sync(&worker, call).await {
            Ok(report) => {
                let leases = report.leases.iter();
                let running = leases.map(|lease| (lease.task.clone(), lease.attempt));
                lock(&self.state).attempts.extend(running);
                Event::Synced {
                    worker: name,
                    report,
                }
            }
            Err(report) => {
                self.report("sync", &name, &report);
                let fault = &report.current_context().fault;
                Event::SyncFailed {
                    worker: name,
                    fenced: matches!(fault, Fault::Fenced { .. }),
                }
            }
        }
    }

    /// Changes a running task. A failure needs no answer: the kernel asks again after a report that
    /// still shows the task.
    fn control(self: &Arc<Self>, name: &str, task: Task, attempt: Attempt, action: ControlAction) {
        let worker = lock(&self.state).workers.get(name).cloned();
        let (Some(shared), Some(worker), true) = (self.shared.upgrade(), worker, self.term.holds())
        else {
            return;
        };
        let pool = self.clone();
        let control = Control {
            epoch: self.term.epoch,
            task,
            attempt,
            action,
        };
        tokio::spawn(async move {
            if let Err(report) = shared.platform.workers.control(&worker, control).await {
                pool.report("control", &worker.name, &report);
            }
        });
    }

    fn report(&self, step: &str, worker: &str, report: &Report<Failure>) {
        let failure = report.current_context();
        let event = match failure.fault {
            Fault::Fenced { .. } => events::WORKER_FENCED,
            _ => events::WORKER_FAILED,
        };
        event.log(format_args!(
            "shard={} epoch={} step={step} worker={worker} reason={failure}",
            self.term.shard, self.term.epoch
        ));
    }
}
