//! Republishing of open jobs before the log expires their records.

use crate::record::Record;
use crate::run::Placement;
use crate::shard::Shard;
use crate::task::{Key, Outcome, StepKey};

impl Shard {
    /// Records every open job again, with the ends of its attempts that still count. A successor
    /// that reads only these records has the same state as this owner.
    pub fn republish(&mut self) {
        let mut records = Vec::new();
        let mut jobs: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.is_ended())
            .collect();
        jobs.sort_by_key(|(_, job)| job.acceptance_order);
        for (id, job) in jobs {
            records.push(Record::Submitted {
                id: *id,
                queue: job.queue.clone(),
                spec: job.spec.clone(),
            });
            // A completed occurrence is recorded as one completed attempt of each of its tasks.
            let completed =
                (0..job.next_occurrence).filter(|number| !job.occurrences.contains_key(number));
            for occurrence in completed {
                for (step, spec) in job.spec.steps.iter().enumerate() {
                    let step = step_key(*id, occurrence, step);
                    records
                        .extend((0..spec.count).map(|index| ended(step, index, 1, Outcome::Done)));
                }
            }
            for (occurrence, steps) in &job.occurrences {
                for (step, run) in steps.iter().enumerate() {
                    let step = step_key(*id, *occurrence, step);
                    for (index, task) in run.tasks.iter().enumerate() {
                        let index = index as u32;
                        let failed = task.failed_attempts.iter();
                        records.extend(failed.map(|n| ended(step, index, *n, Outcome::Failed)));
                        if task.placement == Placement::Completed {
                            records.push(ended(step, index, task.attempt, Outcome::Done));
                        }
                    }
                }
            }
        }
        for record in records {
            self.record(record);
        }
        self.record_workers();
    }
}

fn step_key(job: crate::job::Id, occurrence: u32, step: usize) -> StepKey {
    StepKey {
        job,
        occurrence,
        step: step as u16,
    }
}

fn ended(step: StepKey, index: u32, attempt: u32, how: Outcome) -> Record {
    Record::Ended {
        key: Key { step, index },
        attempt,
        how,
        checkpoint: None,
    }
}
