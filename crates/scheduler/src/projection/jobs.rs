//! Jobs of one shard as recorded in the log.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use rosemaryworks_core::job::{End, Id, Spec, State, Status, Task};
use rosemaryworks_core::placement::Restored;
use rosemaryworks_core::record::Cell;
use rosemaryworks_core::shard::{self, Epoch};
use rosemaryworks_core::time::Instant;
use rosemaryworks_core::view;

use super::is_due;

/// Most ended jobs kept per shard.
const ENDED_MAX: usize = 20_000;

/// How a job ended.
#[derive(Clone, Debug)]
pub(crate) struct Ended {
    pub(crate) state: State,
    pub(crate) reason: Option<Arc<str>>,
    pub(crate) at_unix_ms: u64,
}

/// An accepted job.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) contract: Arc<str>,
    pub(crate) spec: Arc<Spec>,
    pub(crate) at_unix_ms: u64,
    pub(crate) cancelled: bool,
    pub(crate) ended: Option<Ended>,
    /// States of the tasks that have a record.
    tasks: BTreeMap<u32, Restored>,
    /// Time at which its records were last written; `None` if it is unknown.
    last_recorded: Option<Instant>,
}

impl Job {
    /// Returns the state of every task by index.
    pub(crate) fn tasks(&self) -> Vec<Restored> {
        let state = |index| self.tasks.get(&index).copied();
        let tasks = 0..self.spec.tasks;
        tasks
            .map(|index| state(index).unwrap_or(Restored::Pending))
            .collect()
    }

    /// Returns the job's status for callers, from its records alone.
    pub(crate) fn status(&self) -> Status {
        let count = |predicate: fn(End) -> bool| {
            let ends = self.tasks.values().filter(|task| match task {
                Restored::Ended(end) => predicate(*end),
                Restored::Granted | Restored::Pending => false,
            });
            u32::try_from(ends.count()).unwrap_or(u32::MAX)
        };
        let ended = self.ended.as_ref();
        Status {
            id: Id {
                contract: self.contract.clone(),
                job: self.spec.id.clone(),
            },
            kind: self.spec.kind,
            state: ended.map_or(State::Queued, |ended| ended.state),
            tasks: self.spec.tasks,
            running: 0,
            succeeded: count(|end| end == End::Succeeded),
            unsuccessful: count(|end| end != End::Succeeded),
            reason: ended.and_then(|ended| ended.reason.clone()),
        }
    }

    /// Returns the tasks for operators, from their records alone.
    pub(crate) fn task_views(&self) -> Vec<view::Task> {
        let state = |task| match task {
            Restored::Ended(End::Cancelled) => "cancelled",
            Restored::Ended(End::Failed) => "failed",
            Restored::Ended(End::Lost) => "lost",
            Restored::Ended(End::Succeeded) => "succeeded",
            Restored::Granted => "granted",
            Restored::Pending => "pending",
        };
        let tasks = (0..).zip(self.tasks());
        tasks
            .map(|(index, task)| view::Task {
                index,
                state: state(task).into(),
                worker: None,
                attempts: 0,
            })
            .collect()
    }

    fn to_records(&self, shard: &shard::Id, epoch: Epoch) -> Vec<Cell> {
        let mut records = vec![Cell::Submitted {
            shard: shard.clone(),
            epoch,
            contract: self.contract.clone(),
            job: Box::new(Spec::clone(&self.spec)),
            at_unix_ms: self.at_unix_ms,
        }];
        let id = Id {
            contract: self.contract.clone(),
            job: self.spec.id.clone(),
        };
        let mut ended = Vec::new();
        let mut granted = Vec::new();
        for (index, state) in &self.tasks {
            let task = Task {
                job: id.clone(),
                index: *index,
            };
            match state {
                Restored::Ended(end) => ended.push((task, *end)),
                Restored::Granted => granted.push(task),
                Restored::Pending => {}
            }
        }
        if !granted.is_empty() {
            records.push(Cell::Granted {
                shard: shard.clone(),
                epoch,
                tasks: granted,
            });
        }
        if !ended.is_empty() {
            records.push(Cell::Finished {
                shard: shard.clone(),
                epoch,
                tasks: ended,
            });
        }
        if self.cancelled {
            records.push(Cell::Cancelled {
                shard: shard.clone(),
                epoch,
                job: id,
            });
        }
        records
    }
}

/// Jobs by id. Ended jobs are kept for a while to detect repeated submissions.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    jobs: HashMap<Id, Job>,
    ended: VecDeque<(u64, Id)>,
}

impl Jobs {
    pub(crate) fn get(&self, id: &Id) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Returns the jobs that have not ended, in the order of their acceptance.
    pub(crate) fn unfinished(&self) -> Vec<&Job> {
        let mut jobs: Vec<&Job> = self.jobs.values().filter(|j| j.ended.is_none()).collect();
        jobs.sort_by(|a, b| (a.at_unix_ms, &a.spec.id).cmp(&(b.at_unix_ms, &b.spec.id)));
        jobs
    }

    /// Returns the number of jobs that have not ended.
    pub(crate) fn unfinished_count(&self) -> usize {
        self.jobs.len().saturating_sub(self.ended.len())
    }

    /// Returns the ids of all jobs.
    pub(crate) fn ids(&self) -> Vec<Id> {
        self.jobs.keys().cloned().collect()
    }

    /// Adds an accepted job and returns it if it is new.
    pub(super) fn submit(
        &mut self,
        written: Option<Instant>,
        contract: &Arc<str>,
        spec: &Spec,
        at_unix_ms: u64,
    ) -> Option<Arc<Spec>> {
        let id = Id {
            contract: contract.clone(),
            job: spec.id.clone(),
        };
        if let Some(job) = self.jobs.get_mut(&id) {
            job.last_recorded = written;
            return None;
        }
        let spec = Arc::new(spec.clone());
        let job = Job {
            contract: contract.clone(),
            spec: spec.clone(),
            at_unix_ms,
            cancelled: false,
            ended: None,
            tasks: BTreeMap::new(),
            last_recorded: written,
        };
        self.jobs.insert(id, job);
        Some(spec)
    }

    /// Marks a job as cancelled and returns whether that is new.
    pub(super) fn cancel(&mut self, id: &Id) -> bool {
        let job = self.jobs.get_mut(id);
        job.is_some_and(|job| !std::mem::replace(&mut job.cancelled, true))
    }

    pub(super) fn grant(&mut self, tasks: &[Task]) {
        for task in tasks {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.tasks.entry(task.index).or_insert(Restored::Granted);
            }
        }
    }

    /// Sets the ends of tasks and returns the tasks whose end is new.
    pub(super) fn finish(&mut self, tasks: &[(Task, End)]) -> Vec<Task> {
        let mut new = Vec::new();
        for (task, end) in tasks {
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            let state = job.tasks.entry(task.index).or_insert(Restored::Pending);
            if !matches!(state, Restored::Ended(_)) {
                *state = Restored::Ended(*end);
                new.push(task.clone());
            }
        }
        new
    }

    /// Sets the end of a job and returns whether it is new. The first end counts.
    pub(super) fn end(&mut self, id: &Id, ended: Ended) -> bool {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.ended.is_none()) else {
            return false;
        };
        self.ended.push_back((ended.at_unix_ms, id.clone()));
        job.ended = Some(ended);
        true
    }

    pub(super) fn expire(&mut self, unix_ms: u64, ended_max_ms: u64) {
        while let Some((at, id)) = self.ended.front() {
            let old = unix_ms.saturating_sub(*at) > ended_max_ms;
            if !old && self.ended.len() <= ENDED_MAX {
                return;
            }
            self.jobs.remove(id);
            self.ended.pop_front();
        }
    }

    pub(super) fn republish(
        &mut self,
        now: Instant,
        shard: &shard::Id,
        epoch: Epoch,
        age_ms: u64,
    ) -> Vec<Cell> {
        let jobs = self.jobs.values_mut();
        let due = jobs.filter(|job| job.ended.is_none() && is_due(job.last_recorded, now, age_ms));
        let records = due.flat_map(|job| {
            job.last_recorded = Some(now);
            job.to_records(shard, epoch)
        });
        records.collect()
    }
}
