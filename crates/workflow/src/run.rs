//! Jobs in progress: occurrences, steps and tasks.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::advice::Advice;
use crate::job::{Spec, State};

/// Where a task is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Placement {
    /// It has completed.
    Completed,
    /// It runs, or may run, on this worker.
    Assigned(Arc<str>),
    /// It waits for a worker.
    Waiting,
}

/// A task of a step.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    /// Where it is.
    pub(crate) placement: Placement,
    /// Last attempt that was started.
    pub(crate) attempt: u32,
    /// Attempts that failed, in the order in which they became known. After a takeover that is not
    /// their own order, because each worker lists its own ends.
    pub(crate) failed_attempts: Vec<u32>,
    /// Last checkpoint.
    pub(crate) checkpoint: Option<Arc<str>>,
    /// Owner's time before which it isn't started again.
    pub(crate) not_before_ms: u64,
    /// Whether a run of it was stopped for work of higher priority.
    pub(crate) preempted: bool,
}

/// A step of one occurrence.
#[derive(Clone, Debug)]
pub(crate) struct StepRun {
    pub(crate) tasks: Vec<Task>,
    pub(crate) done: u32,
    pub(crate) waiting: u32,
    pub(crate) advice: Advice,
    /// Whether the steps before it have completed and its time has come.
    pub(crate) ready: bool,
    /// Whether an older owner may have started tasks of the step.
    pub(crate) inherited: bool,
    /// Owner's time since which tasks wait for which there was no place.
    pub(crate) blocked_since_ms: Option<u64>,
}

impl StepRun {
    pub(crate) fn new(count: u32, inherited: bool) -> Self {
        let task = Task {
            placement: Placement::Waiting,
            attempt: 0,
            failed_attempts: Vec::new(),
            checkpoint: None,
            not_before_ms: 0,
            preempted: false,
        };
        Self {
            tasks: vec![task; count as usize],
            done: 0,
            waiting: count,
            advice: Advice::default(),
            ready: false,
            inherited,
            blocked_since_ms: None,
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Counts a failed attempt of a task. Returns whether it was not counted before.
    pub(crate) fn count_failure(&mut self, index: usize, attempt: u32) -> bool {
        let task = &mut self.tasks[index];
        if task.failed_attempts.contains(&attempt) {
            return false;
        }
        task.failed_attempts.push(attempt);
        true
    }

    /// Moves a task and keeps the counts.
    pub(crate) fn set_placement(&mut self, index: u32, place: Placement) {
        let task = &mut self.tasks[index as usize];
        match task.placement {
            Placement::Completed => self.done -= 1,
            Placement::Waiting => self.waiting -= 1,
            Placement::Assigned(_) => {}
        }
        match place {
            Placement::Completed => self.done += 1,
            Placement::Waiting => self.waiting += 1,
            Placement::Assigned(_) => {}
        }
        task.placement = place;
    }
}

/// A job of the shard.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) queue: Arc<str>,
    pub(crate) spec: Arc<Spec>,
    /// Place in the order of acceptance.
    pub(crate) acceptance_order: u64,
    /// Occurrences that have begun, by number.
    pub(crate) occurrences: BTreeMap<u32, Vec<StepRun>>,
    /// Occurrences that have completed.
    pub(crate) completed_occurrences: u32,
    /// Next occurrence to begin.
    pub(crate) next_occurrence: u32,
    /// Whether a task has started.
    pub(crate) started: bool,
    /// Final state, and the number of the record that makes it durable.
    pub(crate) ended: Option<(State, u64)>,
    /// Owner's time of the end.
    pub(crate) ended_ms: u64,
    /// Whether an older owner may have started tasks.
    pub(crate) inherited: bool,
    /// Attempts up to this number may have been used by older owners without a trace.
    pub(crate) attempt_floor: u32,
}

impl Job {
    /// Begins occurrence `number`.
    pub(crate) fn begin_occurrence(&mut self, number: u32) {
        let steps = self.spec.steps.iter().map(|step| {
            let mut run = StepRun::new(step.count, self.inherited);
            run.ready = step.after.is_empty();
            run
        });
        self.occurrences.insert(number, steps.collect());
        self.next_occurrence = self.next_occurrence.max(number + 1);
    }

    pub(crate) fn is_ended(&self) -> bool {
        self.ended.is_some()
    }
}
