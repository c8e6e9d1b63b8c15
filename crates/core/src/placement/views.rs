//! Status of jobs, tasks and workers for callers and operators.

use std::sync::Arc;

use crate::job::{End, Id, State as JobState, Status, Task};
use crate::placement::index::Slot;
use crate::placement::jobs::{Job, Phase, TaskState};
use crate::placement::worker::{Departure, Worker};
use crate::placement::{Attempt, Kernel};
use crate::target::State;
use crate::view;

impl Kernel {
    /// Returns the status of a job.
    #[must_use]
    pub fn status(&self, job: &Id) -> Option<Status> {
        let serial = self.jobs.serial(job)?;
        self.jobs.get(serial).map(status)
    }

    /// Returns the status of all jobs.
    #[must_use]
    pub fn jobs(&self) -> Vec<Status> {
        self.jobs.iter().map(status).collect()
    }

    /// Returns the tasks of a job for operators.
    #[must_use]
    pub fn tasks(&self, job: &Id) -> Option<Vec<view::Task>> {
        let job = self.jobs.get(self.jobs.serial(job)?)?;
        if job.tasks.is_empty() {
            let outcomes = job.outcomes.iter().zip(0..);
            return Some(
                outcomes
                    .map(|(outcome, index)| ended(index, *outcome))
                    .collect(),
            );
        }
        let tasks = job.tasks.iter().zip(0..);
        Some(
            tasks
                .map(|(task, index)| self.task_view(index, task))
                .collect(),
        )
    }

    /// Returns the number of a task's last placement attempt.
    #[must_use]
    pub fn attempt(&self, task: &Task) -> Option<Attempt> {
        let key = self.jobs.find(task)?;
        self.jobs.task(key).map(|task| task.attempts)
    }

    /// Returns the shard's targets for operators.
    #[must_use]
    pub fn targets(&self) -> Vec<view::Target> {
        let workers = self.fleet.iter();
        workers
            .map(|(_, worker)| self.target_view(worker))
            .collect()
    }

    fn task_view(&self, index: u32, task: &TaskState) -> view::Task {
        let state = match &task.phase {
            Phase::Delayed(_) => "delayed",
            Phase::Ended(end) | Phase::Ending(end) => end_name(*end),
            Phase::Placed(placement) if placement.stop_requested.is_some() => "stopping",
            Phase::Placed(_) => "running",
            Phase::Unknown { .. } => "unknown",
            Phase::Waiting => "pending",
        };
        let name = |slot: Slot| Some(self.fleet.get(slot)?.target.name.clone());
        view::Task {
            index,
            state: state.into(),
            worker: task
                .placement()
                .and_then(|placement| name(placement.worker)),
            attempts: task.attempts,
        }
    }

    fn target_view(&self, worker: &Worker) -> view::Target {
        view::Target {
            name: worker.target.name.clone(),
            shard: self.start.shard.clone(),
            state: state(worker),
            size: worker.target.size,
            held: worker.held + worker.orphaned,
            slots: 0,
            taken: worker.keys.len() as u32,
            condition: worker.condition(),
        }
    }
}

fn state(worker: &Worker) -> State {
    match worker.departure {
        None if !worker.announced => State::Live,
        // The current time is not available here, so the remaining time is not shown.
        None | Some(Departure::At(_) | Departure::Unknown) => State::Leaving { within_ms: None },
    }
}

fn ended(index: u32, (end, attempts): (End, u8)) -> view::Task {
    view::Task {
        index,
        state: end_name(end).into(),
        worker: None,
        attempts: attempts.into(),
    }
}

fn end_name(end: End) -> &'static str {
    match end {
        End::Cancelled => "cancelled",
        End::Failed => "failed",
        End::Lost => "lost",
        End::Succeeded => "succeeded",
    }
}

fn status(job: &Job) -> Status {
    let progress = match job.started {
        true => JobState::Running,
        false => JobState::Queued,
    };
    let succeeded = job.ended(End::Succeeded);
    Status {
        id: job.id.clone(),
        kind: job.spec.kind,
        state: job.state.unwrap_or(progress),
        tasks: job.spec.tasks,
        running: job.placed,
        succeeded,
        unsuccessful: job.ended_total() - succeeded,
        reason: job.reason.as_ref().map(Arc::clone),
    }
}
