//! Carries out the actions of a placement kernel.

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
use crate::context::{Context, Written};
use crate::events;
use crate::lock::lock;
use crate::writer::Item;

/// Timeout of the append of a grant record with its read-back.
const GRANT_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before a call that can't be made is reported as failed.
const FAILURE_DELAY: Duration = Duration::from_millis(200);

/// A lease to be granted.
struct Placement {
    worker: Arc<str>,
    task: Task,
    attempt: Attempt,
    size: Size,
    log_first: bool,
}

impl Pool {
    /// Carries out an action. Its result reaches the kernel as a later event.
    pub(super) fn execute(self: &Arc<Self>, action: Action) {
        match action {
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
            } => self.place(Placement {
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

    fn place(self: &Arc<Self>, placement: Placement) {
        let pool = self.clone();
        tokio::spawn(async move {
            let Some(context) = pool.context.upgrade() else {
                return;
            };
            let event = pool.place_task(&context, placement).await;
            pool.handle(event);
        });
    }

    async fn place_task(&self, context: &Context, placement: Placement) -> Event {
        let failed = |placement: Placement, definite| Event::PlaceFailed {
            worker: placement.worker,
            task: placement.task,
            attempt: placement.attempt,
            definite,
        };
        let Some((worker, spec)) = self.prepare(context, &placement).await else {
            // The kernel may retry immediately; the delay bounds how often.
            tokio::time::sleep(FAILURE_DELAY).await;
            return failed(placement, true);
        };
        let grant = self.lease_grant(&placement, &spec);
        let answer = context.platform.workers.place(&worker, grant).await;
        context.counters.placement(answer.is_ok());
        match answer {
            Ok(()) => {
                let attempts = &mut lock(&self.state).attempts;
                attempts.insert(placement.task.clone(), placement.attempt);
                Event::Placed {
                    worker: placement.worker,
                    task: placement.task,
                    attempt: placement.attempt,
                }
            }
            Err(report) => {
                self.log_failure("place", &placement.worker, &report);
                failed(placement, report.current_context().had_no_effect())
            }
        }
    }

    /// Prepares the call to the worker and records the grant if required. Returns `None` if the
    /// lease must not be granted.
    async fn prepare(
        &self,
        context: &Context,
        placement: &Placement,
    ) -> Option<(Worker, Arc<Spec>)> {
        let worker = lock(&self.state).workers.get(&placement.worker).cloned()?;
        let spec = {
            let cell = lock(&context.cell);
            let job = cell.projection.job(&self.term.shard, &placement.task.job)?;
            job.spec.clone()
        };
        if placement.log_first && !self.record_grant(context, &placement.task).await {
            return None;
        }
        // The worker also rejects an old epoch, but only once it has seen the newer one.
        self.term.is_valid().then_some((worker, spec))
    }

    fn lease_grant(&self, placement: &Placement, spec: &Spec) -> Grant {
        Grant {
            epoch: self.term.epoch,
            task: placement.task.clone(),
            attempt: placement.attempt,
            size: placement.size,
            run_ms: spec.run_ms,
            lease_ms: LEASE_MS,
            payload: spec.payload.clone(),
        }
    }

    /// Records that a lease is about to be granted. Returns whether it may be granted.
    async fn record_grant(&self, context: &Context, task: &Task) -> bool {
        if self.buffer_grant(context, task) {
            return true;
        }
        let record = Cell::Granted {
            shard: self.term.shard.clone(),
            epoch: self.term.epoch,
            tasks: vec![task.clone()],
        };
        match context.write(&record, GRANT_TIMEOUT).await {
            Written::Valid => true,
            Written::Void => false,
            Written::No(_) | Written::Uncertain(_) => self.buffer_grant(context, task),
        }
    }

    /// Queues the grant record in memory until the log is reachable, if a majority allows it.
    /// Returns whether it does.
    fn buffer_grant(&self, context: &Context, task: &Task) -> bool {
        let buffered = context.allow_unlogged_grant(&self.term);
        if buffered {
            self.writer.push(Item::Granted(task.clone()));
        }
        buffered
    }

    fn sync(self: &Arc<Self>, name: Arc<str>, acknowledge: Vec<(Task, Attempt)>) {
        let pool = self.clone();
        tokio::spawn(async move {
            let Some(context) = pool.context.upgrade() else {
                return;
            };
            let event = pool.sync_worker(&context, name, acknowledge).await;
            pool.handle(event);
        });
    }

    async fn sync_worker(
        &self,
        context: &Context,
        name: Arc<str>,
        acknowledge: Vec<(Task, Attempt)>,
    ) -> Event {
        let worker = lock(&self.state).workers.get(&name).cloned();
        let (Some(worker), true) = (worker, self.term.is_valid()) else {
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
        match context.platform.workers.sync(&worker, call).await {
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
                self.log_failure("sync", &name, &report);
                let fault = &report.current_context().fault;
                Event::SyncFailed {
                    worker: name,
                    fenced: matches!(fault, Fault::Fenced { .. }),
                }
            }
        }
    }

    /// Controls a running task. A failure isn't reported to the kernel, which repeats the action
    /// when a worker's report still lists the task.
    fn control(self: &Arc<Self>, name: &str, task: Task, attempt: Attempt, action: ControlAction) {
        let worker = lock(&self.state).workers.get(name).cloned();
        let (Some(context), Some(worker), true) =
            (self.context.upgrade(), worker, self.term.is_valid())
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
            if let Err(report) = context.platform.workers.control(&worker, control).await {
                pool.log_failure("control", &worker.name, &report);
            }
        });
    }

    fn log_failure(&self, step: &str, worker: &str, report: &Report<Failure>) {
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
