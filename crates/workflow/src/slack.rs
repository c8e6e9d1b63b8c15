//! Choice between fast and slow workers for a step. Workers of normal speed are not affected, so a
//! pool of workers that are alike keeps its order.

use crate::host::Host;
use crate::job::{Queue, Step};
use crate::run_times::REMOTE_FACTOR;
use crate::shard::Shard;
use crate::task::StepKey;

/// Penalty for each additional run time that a task takes on a slow worker, in thousandths of a
/// worker's size. A run outside the preferred rack takes 0.75 more and costs 1,500.
const SLOW_PENALTY: f64 = 2_000.0;

/// Penalty for a slow worker on which the job misses its objective, in thousandths of a worker's size.
const LATE_PENALTY: f64 = 4_000.0;

/// How slow workers serve a step.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Slack {
    /// The speed doesn't matter.
    Any,
    /// Nothing is known about the run time, or the members wait for the slowest one.
    Fastest,
    /// The step has an objective.
    Timed {
        /// Expected run time of a task in milliseconds.
        task_ms: f64,
        /// Expected run time of the slowest task in milliseconds.
        slowest_ms: f64,
        /// Time in which the step must end for the job to meet its objective, in milliseconds.
        left_ms: f64,
        /// Whether other work of the pool has a higher priority.
        yields: bool,
    },
}

impl Slack {
    /// Returns the penalty for a worker of the given slowness. Negative if the step takes slow workers
    /// first and leaves the others to more urgent work.
    pub(crate) fn penalty(self, slowness: f64) -> i64 {
        if slowness <= 1.0 {
            return 0;
        }
        let slow = (slowness - 1.0) * SLOW_PENALTY;
        let penalty = match self {
            Self::Any => 0.0,
            Self::Fastest => slow,
            Self::Timed {
                slowest_ms,
                left_ms,
                yields: true,
                ..
            } if slowest_ms * slowness <= left_ms => -slow,
            Self::Timed {
                task_ms, left_ms, ..
            } if task_ms <= left_ms && task_ms * slowness > left_ms => slow + LATE_PENALTY,
            Self::Timed { .. } => slow,
        };
        penalty as i64
    }
}

impl Shard {
    /// Returns how slow workers serve a step.
    pub(crate) fn slack(&self, key: StepKey, step: &Step, queue: &Queue, now_ms: u64) -> Slack {
        if step.service || step.best_effort {
            return Slack::Any;
        }
        let job = self.jobs.get(&key.job);
        let objective = job.and_then(|job| job.objective).filter(|_| !step.gang);
        let expected = self.expected(&queue.name, step, now_ms);
        let (Some(objective), Some(expected)) = (objective, expected) else {
            return Slack::Fastest;
        };
        let task_ms = expected.ms();
        let later_ms = (objective.remaining_ms - task_ms).max(0.0);
        let is_more_urgent =
            |other: &Queue| other.pool == queue.pool && other.priority < queue.priority;
        Slack::Timed {
            task_ms,
            slowest_ms: expected.slowest_ms(step.count),
            left_ms: objective.due_ms - now_ms as f64 - later_ms,
            yields: self.queues.values().any(|other| is_more_urgent(other)),
        }
    }

    /// Returns the penalty for the speed of a worker.
    pub(crate) fn speed_penalty(
        &self,
        host: &Host,
        key: StepKey,
        step: &Step,
        queue: &Queue,
        now_ms: u64,
    ) -> i64 {
        let slowness = host.speed.slowness(now_ms);
        if slowness <= 1.0 {
            return 0;
        }
        let is_remote = step
            .preferred_rack
            .as_ref()
            .is_some_and(|rack| *rack != host.worker.rack);
        match self.slack(key, step, queue, now_ms) {
            Slack::Timed {
                task_ms,
                slowest_ms,
                left_ms,
                yields,
            } if is_remote => Slack::Timed {
                task_ms: task_ms * REMOTE_FACTOR,
                slowest_ms: slowest_ms * REMOTE_FACTOR,
                left_ms,
                yields,
            }
            .penalty(slowness),
            slack => slack.penalty(slowness),
        }
    }
}
