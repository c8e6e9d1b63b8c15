//! Ends of runs: what they mean for their task, step and job.

use std::sync::Arc;

use crate::job::State;
use crate::run::Place;
use crate::shard::Shard;
use crate::task::{Key, Outcome, StepKey};

/// What follows from an end for the job.
enum Next {
    /// The step has completed.
    Advance,
    /// The job has failed.
    Fail,
    /// The task waits for its next run.
    Retry,
    /// Nothing changes.
    Stay,
}

impl Shard {
    /// Applies the end of a run, once or again.
    pub(crate) fn apply_end(
        &mut self,
        key: Key,
        attempt: u32,
        how: Outcome,
        saved: Option<Arc<str>>,
        now_ms: u64,
    ) {
        match self.note_end(key, attempt, how, saved) {
            Next::Advance => self.advance(key.step, now_ms),
            Next::Fail => self.finish(key.step.job, State::Failed, now_ms),
            Next::Retry => self.enqueue(key.step),
            Next::Stay => {}
        }
    }

    fn note_end(&mut self, key: Key, attempt: u32, how: Outcome, saved: Option<Arc<str>>) -> Next {
        let Some(job) = self.jobs.get_mut(&key.step.job) else {
            return Next::Stay;
        };
        if job.is_ended() {
            return Next::Stay;
        }
        let number = key.step.occurrence;
        if number >= job.next && number < job.spec.occurrences() {
            job.begin(number);
        }
        job.started = true;
        let limit = self.queues.get(&job.queue).map(|queue| queue.max_attempts);
        let spec = job.spec.clone();
        let Some(step) = spec.steps.get(key.step.step as usize) else {
            return Next::Stay;
        };
        let steps = job.occurrences.get_mut(&number);
        let Some(run) = steps.and_then(|steps| steps.get_mut(key.step.step as usize)) else {
            return Next::Stay;
        };
        let Some(task) = run.tasks.get_mut(key.index as usize) else {
            return Next::Stay;
        };
        let current = attempt >= task.attempt;
        task.attempt = task.attempt.max(attempt);
        if saved.is_some() && how != Outcome::Done {
            task.saved = saved;
        }
        if task.place == Place::Done {
            return Next::Stay;
        }
        match how {
            Outcome::Done if !step.service => {
                if step.gang {
                    (0..step.count).for_each(|index| run.set(index, Place::Done));
                } else {
                    run.set(key.index, Place::Done);
                }
                if run.is_done() {
                    Next::Advance
                } else {
                    Next::Stay
                }
            }
            Outcome::Failed if !step.service => {
                // A gang fails once for an attempt, whichever member tells it. An end that was
                // recorded and not acknowledged is listed again to the next owner.
                let counted = if step.gang { 0 } else { key.index as usize };
                let first = run.count_failure(counted, attempt);
                if current {
                    run.set(key.index, Place::Waiting);
                }
                let failed = run.tasks[counted].failed.len();
                match limit {
                    Some(limit) if first && failed >= limit as usize => Next::Fail,
                    _ => Next::Retry,
                }
            }
            _ if current => {
                run.set(key.index, Place::Waiting);
                Next::Retry
            }
            _ => Next::Stay,
        }
    }

    /// Goes on after a step has completed.
    fn advance(&mut self, key: StepKey, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(steps) = job.occurrences.get_mut(&key.occurrence) else {
            return;
        };
        let done: Vec<bool> = steps.iter().map(crate::run::StepRun::is_done).collect();
        for (run, step) in steps.iter_mut().zip(&spec.steps) {
            run.ready = step
                .after
                .iter()
                .all(|&before| done.get(before as usize).copied().unwrap_or(true));
        }
        if !done.iter().all(|done| *done) {
            self.enqueue_ready(key.job, key.occurrence);
            return;
        }
        job.occurrences.remove(&key.occurrence);
        job.completed += 1;
        if job.completed == spec.occurrences() {
            self.finish(key.job, State::Completed, now_ms);
        }
    }
}
