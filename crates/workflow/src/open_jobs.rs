//! Open jobs in a snapshot. A successor that replays their records has the same state as the owner that
//! wrote them.

use crate::job::Id;
use crate::record::Record;
use crate::run::{Job, Placement, StepRun, Task};
use crate::shard::Shard;
use crate::snapshot::Entry;
use crate::task::{Key, Outcome, StepKey};

/// Upper bound of the ranges in a record.
const RANGES_PER_RECORD: usize = 2_000;

/// Ranges of numbers, each with its first number and its length.
type Ranges = Vec<(u32, u32)>;

impl Shard {
    /// Returns the open jobs, each under a key of its own.
    pub(crate) fn open_job_entries(&self) -> impl Iterator<Item = Entry> {
        let open = self.jobs.iter().filter(|(_, job)| !job.is_ended());
        open.map(|(id, job)| Entry {
            key: format!("job-{id}").into(),
            records: job_records(*id, job),
        })
    }

    /// Applies what is known of an open job. Jobs keep the order in which they were accepted.
    pub(crate) fn replay_open(
        &mut self,
        id: Id,
        order: u64,
        next_occurrence: u32,
        completed: Ranges,
    ) {
        self.next_acceptance = self.next_acceptance.max(order + 1);
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.is_ended()) else {
            return;
        };
        job.acceptance_order = order;
        job.begin_occurrences(next_occurrence);
        for number in completed.into_iter().flat_map(numbers) {
            job.started |= job.complete_occurrence(number);
        }
    }

    /// Applies the completed tasks of a step.
    pub(crate) fn replay_completed(&mut self, step: StepKey, tasks: Ranges, now_ms: u64) {
        for index in tasks.into_iter().flat_map(numbers) {
            let key = Key { step, index };
            self.apply_end(None, key, 0, Outcome::Done, None, now_ms);
        }
    }
}

fn job_records(id: Id, job: &Job) -> Vec<Record> {
    let is_completed = |number: &u32| !job.occurrences.contains_key(number);
    let mut records = vec![
        Record::Submitted {
            id,
            queue: job.queue.clone(),
            spec: job.spec.clone(),
        },
        Record::Open {
            id,
            order: job.acceptance_order,
            next_occurrence: job.next_occurrence,
            completed: ranges((0..job.next_occurrence).filter(is_completed)),
        },
    ];
    for (occurrence, steps) in &job.occurrences {
        for (number, run) in steps.iter().enumerate() {
            let key = StepKey {
                job: id,
                occurrence: *occurrence,
                step: number as u16,
            };
            add_step(key, run, &mut records);
        }
    }
    records
}

/// Adds what has happened to the tasks of a step.
fn add_step(step: StepKey, run: &StepRun, records: &mut Vec<Record>) {
    let tasks = || (0..).zip(&run.tasks);
    let is_completed = |task: &Task| task.placement == Placement::Completed;
    let completed = tasks().filter(|(_, task)| is_completed(task));
    let completed = ranges(completed.map(|(index, _)| index));
    records.extend(completed.chunks(RANGES_PER_RECORD).map(|tasks| {
        let tasks = tasks.to_vec();
        Record::Completed { step, tasks }
    }));
    for (index, task) in tasks().filter(|(_, task)| !is_completed(task)) {
        let ended = |attempt, how, checkpoint| Record::Ended {
            key: Key { step, index },
            attempt,
            how,
            checkpoint,
        };
        let failed = task.failed_attempts.iter();
        records.extend(failed.map(|attempt| ended(*attempt, Outcome::Failed, None)));
        // Workers report the attempts that they run, with their checkpoints.
        if task.placement == Placement::Waiting && task.attempt > 0 {
            let checkpoint = task.checkpoint.clone();
            records.push(ended(task.attempt, Outcome::Stopped, checkpoint));
        }
    }
}

/// Combines ascending numbers to ranges.
fn ranges(numbers: impl Iterator<Item = u32>) -> Ranges {
    let mut ranges = Ranges::new();
    for number in numbers {
        match ranges.last_mut() {
            Some((first, length)) if *first + *length == number => *length += 1,
            _ => ranges.push((number, 1)),
        }
    }
    ranges
}

fn numbers((first, length): (u32, u32)) -> std::ops::Range<u32> {
    first..first.saturating_add(length)
}
