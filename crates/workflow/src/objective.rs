//! Objectives for the completion of jobs: by when a job should end, and from when on it can't be of
//! use any more.

use std::sync::Arc;

use crate::admission::Flows;
use crate::job::{Id, Queue, Spec, Step};
use crate::order::Turns;
use crate::run::Job;
use crate::run_times::{Class, Expectation, RunTimes};
use crate::shard::Shard;

/// Multiple of the objective after which a job is worth nothing.
const USEFUL_FACTOR: f64 = 3.0;

/// Time between two computations of the objectives of waiting jobs, in milliseconds.
const REFRESH_PERIOD_MS: u64 = 500;

/// Steps of jobs whose objectives are computed in a tick.
const STEPS_PER_TICK: usize = 2_000;

/// What an owner expects of the work of its shard.
#[derive(Debug, Default)]
pub(crate) struct Outlook {
    /// Time on the owner's clock from which the objectives of waiting jobs are computed again.
    due_ms: u64,
    /// Jobs whose objectives are still to be computed.
    round: Vec<Id>,
    pub(crate) flows: Flows,
    pub(crate) run_times: RunTimes,
    pub(crate) turns: Turns,
}

/// Objective of a job. Times are on the owner's clock in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Objective {
    /// Time by which the job should end.
    pub(crate) due_ms: f64,
    /// Time from which the job counts as one that misses its objective.
    pub(crate) late_ms: f64,
    /// Time from which the rest of the job can't end in time to be of use.
    pub(crate) overdue_ms: f64,
    /// Expected time of the steps on the critical path that have not begun.
    pub(crate) remaining_ms: f64,
}

/// Expected duration of a job that has not begun.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Duration {
    /// Time along the critical path in milliseconds.
    pub(crate) path_ms: f64,
    /// Time from the acceptance in which the job should end, in milliseconds, if its tasks all take
    /// the expected time.
    pub(crate) target_ms: f64,
    /// Time from the acceptance in which the job must end to be of use, in milliseconds.
    pub(crate) useful_ms: f64,
}

impl Shard {
    /// Returns the expected run time of a task of a step on a worker of normal speed.
    pub(crate) fn expected(
        &self,
        queue: &Arc<str>,
        step: &Step,
        now_ms: u64,
    ) -> Option<Expectation> {
        let class = Class::of(queue, step);
        self.outlook
            .run_times
            .expect(&class, step.estimate_ms, now_ms)
    }

    /// Computes the objectives of the jobs with waiting steps if that is due, over several ticks if they
    /// have many steps.
    pub(crate) fn refresh_objectives(&mut self, now_ms: u64) {
        if self.outlook.round.is_empty() {
            if now_ms < self.outlook.due_ms {
                return;
            }
            self.outlook.due_ms = now_ms + REFRESH_PERIOD_MS;
            let mut ids: Vec<Id> = self.waiting.ready().map(|entry| entry.key.job).collect();
            ids.sort_unstable();
            ids.dedup();
            self.outlook.round = ids;
            self.outlook.flows.begin_count();
        }
        let mut steps = 0;
        while let Some(id) = self.outlook.round.pop() {
            self.refresh_objective(id, now_ms);
            self.count_waiting(id, now_ms);
            steps += self.jobs.get(&id).map_or(0, |job| job.spec.steps.len());
            if steps >= STEPS_PER_TICK && !self.outlook.round.is_empty() {
                return;
            }
        }
        self.pass_turns(now_ms);
        self.refresh_flows(now_ms);
    }

    /// Computes the objective of a job.
    pub(crate) fn refresh_objective(&mut self, id: Id, now_ms: u64) {
        let objective = self.jobs.get(&id).and_then(|job| {
            let queue = self.queues.get(&job.queue)?;
            self.objective(job, queue, now_ms)
        });
        if let Some(job) = self.jobs.get_mut(&id) {
            job.objective = objective;
        }
    }

    fn objective(&self, job: &Job, queue: &Queue, now_ms: u64) -> Option<Objective> {
        let duration = self.duration(queue, &job.spec, now_ms)?;
        let steps = job.occurrences.values().next()?;
        // A step without waiting tasks may be about to end.
        let waits = |index: usize| steps.get(index).is_some_and(|run| run.waiting > 0);
        let path = |time_ms: fn(&Expectation) -> f64| {
            critical_path(&job.spec, |index, step| {
                let expected = self.expected(&queue.name, step, now_ms)?;
                Some(if waits(index) {
                    time_ms(&expected)
                } else {
                    0.0
                })
            })
        };
        let low_ms = path(Expectation::low_ms)?;
        let accepted_ms = job.accepted_ms as f64;
        let objective_ms = duration.useful_ms / USEFUL_FACTOR;
        Some(Objective {
            due_ms: accepted_ms + duration.target_ms,
            late_ms: accepted_ms + objective_ms - low_ms,
            overdue_ms: accepted_ms + duration.useful_ms - low_ms,
            remaining_ms: path(Expectation::ms)?,
        })
    }

    /// Returns the expected duration of a job; `None` if it has no objective or nothing is known.
    pub(crate) fn duration(&self, queue: &Queue, spec: &Spec, now_ms: u64) -> Option<Duration> {
        let has_objective = queue.slack_factor > 0.0 || queue.slo_ms > 0;
        if !has_objective || spec.times > 0 || spec.steps.iter().any(|step| step.service) {
            return None;
        }
        let expected = |step: &Step| self.expected(&queue.name, step, now_ms);
        let mean_ms = critical_path(spec, |_, step| Some(expected(step)?.ms()))?;
        // A step ends with its slowest task; the members of a gang end together.
        let path_ms = critical_path(spec, |_, step| {
            let expected = expected(step)?;
            Some(match step.gang {
                true => expected.ms(),
                false => expected.slowest_ms(step.count),
            })
        })?;
        let objective_ms = queue.slack_factor * path_ms + queue.slo_ms as f64;
        Some(Duration {
            path_ms,
            target_ms: queue.slack_factor * mean_ms + queue.slo_ms as f64,
            useful_ms: USEFUL_FACTOR * objective_ms,
        })
    }
}

impl Class {
    /// Returns the class of the tasks of a step.
    pub(crate) fn of(queue: &Arc<str>, step: &Step) -> Self {
        Self {
            queue: queue.clone(),
            image: step.image.clone(),
            size: step.size,
        }
    }
}

/// Returns the longest sum of times along dependent steps; `None` if the time of a step is unknown.
/// A dependency on a later step doesn't count.
fn critical_path(spec: &Spec, time_ms: impl Fn(usize, &Step) -> Option<f64>) -> Option<f64> {
    let mut ends: Vec<f64> = Vec::with_capacity(spec.steps.len());
    for (index, step) in spec.steps.iter().enumerate() {
        let before = step
            .after
            .iter()
            .filter_map(|&before| ends.get(before as usize));
        let begin_ms = before.copied().fold(0.0, f64::max);
        ends.push(begin_ms + time_ms(index, step)?);
    }
    ends.into_iter().reduce(f64::max)
}
