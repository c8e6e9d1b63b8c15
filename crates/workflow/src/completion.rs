//! Handling of ended attempts: the effect on the task, its step and its job.

use std::sync::Arc;

use crate::job::{Id, State};
use crate::record::Record;
use crate::run::Placement;
use crate::shard::Shard;
use crate::task::{Key, Outcome, StepKey};

/// Effect of an ended attempt.
enum Transition {
    /// The step has completed, so steps that depend on it may become ready.
    Advance,
    /// The job has failed.
    Fail,
    /// The task waits for its next attempt.
    Retry,
    /// No change.
    Stay,
}

impl Shard {
    /// Applies the end of an attempt on `worker`, or on an unknown worker in a replay. Idempotent,
    /// because ends may be reported more than once.
    pub(crate) fn apply_end(
        &mut self,
        worker: Option<&str>,
        key: Key,
        attempt: u32,
        how: Outcome,
        checkpoint: Option<Arc<str>>,
        now_ms: u64,
    ) {
        match self.update_task(worker, key, attempt, how, checkpoint) {
            Transition::Advance => self.advance(key.step, now_ms),
            Transition::Fail => self.finish_job(key.step.job, State::Failed, now_ms),
            Transition::Retry => self.enqueue(key.step),
            Transition::Stay => {}
        }
    }

    fn update_task(
        &mut self,
        worker: Option<&str>,
        key: Key,
        attempt: u32,
        how: Outcome,
        checkpoint: Option<Arc<str>>,
    ) -> Transition {
        // The records of a replay repeat what its snapshot holds.
        let is_replaying = self.recovery.is_replaying();
        let Some(job) = self.jobs.get_mut(&key.step.job) else {
            return Transition::Stay;
        };
        if job.is_ended() {
            return Transition::Stay;
        }
        let occurrence = key.step.occurrence;
        if occurrence < job.spec.occurrences() {
            job.begin_occurrences(occurrence + 1);
        }
        job.started = true;
        let max_attempts = self.queues.get(&job.queue).map(|queue| queue.max_attempts);
        let spec = job.spec.clone();
        let Some(step) = spec.steps.get(key.step.step as usize) else {
            return Transition::Stay;
        };
        let steps = job.occurrences.get_mut(&occurrence);
        let Some(run) = steps.and_then(|steps| steps.get_mut(key.step.step as usize)) else {
            return Transition::Stay;
        };
        let Some(task) = run.tasks.get_mut(key.index as usize) else {
            return Transition::Stay;
        };
        // Another worker may run a later attempt, under the same number after a change of owner.
        let runs_elsewhere = matches!(&task.placement,
            Placement::Assigned(on) if worker.is_some_and(|worker| **on != *worker));
        let is_outdated = attempt < task.attempt;
        let is_latest = !is_outdated && !runs_elsewhere;
        task.attempt = task.attempt.max(attempt);
        if checkpoint.is_some() && how != Outcome::Done && !(is_replaying && is_outdated) {
            task.checkpoint = checkpoint;
        }
        if task.placement == Placement::Completed {
            return Transition::Stay;
        }
        match how {
            Outcome::Done if !step.service => {
                if step.gang {
                    (0..step.count)
                        .for_each(|index| run.set_placement(index, Placement::Completed));
                } else {
                    run.set_placement(key.index, Placement::Completed);
                }
                if run.is_done() {
                    Transition::Advance
                } else {
                    Transition::Stay
                }
            }
            Outcome::Failed if !step.service => {
                // A gang counts one failure per attempt, whichever member reports it. An end that
                // was recorded but not acknowledged is reported again to the next owner.
                let counted_index = if step.gang { 0 } else { key.index as usize };
                let is_new = run.count_failure(counted_index, attempt);
                if is_latest {
                    run.set_placement(key.index, Placement::Waiting);
                }
                let failures = run.tasks[counted_index].failed_attempts.len();
                match max_attempts {
                    Some(max_attempts) if is_new && failures >= max_attempts as usize => {
                        Transition::Fail
                    }
                    _ => Transition::Retry,
                }
            }
            _ if is_latest => {
                run.set_placement(key.index, Placement::Waiting);
                Transition::Retry
            }
            _ => Transition::Stay,
        }
    }

    /// Makes the steps ready whose dependencies have completed, or ends the occurrence and, after
    /// the last one, the job.
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
        job.complete_occurrence(key.occurrence);
        if job.completed_occurrences == spec.occurrences() {
            self.finish_job(key.job, State::Completed, now_ms);
        }
    }

    /// Ends a job and stops its attempts.
    pub(crate) fn finish_job(&mut self, id: Id, state: State, now_ms: u64) {
        if self.recovery.is_replaying() || state == State::Cancelled {
            // Replayed ends and cancellations are already durable.
            self.end_job(id, state, 0, now_ms);
        } else {
            let at_ms = Some(self.clock.at(now_ms));
            self.record(Record::Final { id, state, at_ms });
            self.end_job(id, state, self.issued_records, now_ms);
        }
        self.stop_job(id, now_ms);
    }

    /// Returns the time on the shard's clock of what happens at `now_ms`, which is unknown in a replay.
    pub(crate) fn time_of_end(&self, now_ms: u64) -> u64 {
        match self.recovery.is_replaying() {
            true => u64::MAX,
            false => self.clock.at(now_ms),
        }
    }

    pub(crate) fn end_job(&mut self, id: Id, state: State, record: u64, now_ms: u64) {
        let ended_ms = self.time_of_end(now_ms);
        if let Some(job) = self.jobs.get_mut(&id) {
            let priority = self.queues.get(&job.queue).map_or(0, |q| q.priority);
            let line = (job.queue.clone(), job.spec.team.clone());
            self.waiting
                .remove_job(priority, id, job.acceptance_order, &line);
            if !job.is_ended() {
                self.open_jobs -= 1;
            }
            job.end(state, record, ended_ms);
            if self.recovery.is_replaying() {
                job.drop_spec();
            }
            self.scheduled.remove(&id);
        }
    }

    fn stop_job(&mut self, id: Id, now_ms: u64) {
        for (worker, key) in self.runs_of(id) {
            self.stop_run(&worker, key, now_ms);
        }
    }
}
