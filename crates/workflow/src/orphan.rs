//! Attempts of jobs that this owner has not read yet.
//!
//! A previous owner may start a job that was accepted after its successor read the shard's jobs.
//! The worker then reports the attempt, or its end, to the successor before the successor reads the
//! job.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemaryworks_core::size::Size;

use crate::job::{Id, Step};
use crate::report::Finished;
use crate::run::Placement;
use crate::shard::Shard;
use crate::task::Key;

/// Time after which the attempts of an unknown job are stopped, in milliseconds. Jobs are usually
/// read within a second.
const JOB_READ_MAX_MS: u64 = 1_500;

/// Reported attempts of unknown jobs.
#[derive(Debug, Default)]
pub(crate) struct Orphans {
    /// Time on the owner's clock of the first report of a running attempt.
    running: BTreeMap<Id, u64>,
    /// Reported ends.
    ended: BTreeMap<Id, Ends>,
}

/// Ended attempts of an unknown job.
#[derive(Debug, Default)]
struct Ends {
    /// Time on the owner's clock of the last report.
    reported_ms: u64,
    /// The ends, each with its worker.
    ends: Vec<(Arc<str>, Finished)>,
}

impl Orphans {
    pub(crate) fn add(&mut self, job: Id, now_ms: u64) {
        self.running.entry(job).or_insert(now_ms);
    }

    pub(crate) fn add_end(&mut self, worker: Arc<str>, end: Finished, now_ms: u64) {
        let ended = self.ended.entry(end.key.step.job).or_default();
        ended.reported_ms = now_ms;
        ended.ends.push((worker, end));
    }

    /// Forgets the ends of jobs that have not been read within `keep_ms`: they are of jobs that this
    /// owner no longer retains.
    pub(crate) fn forget_ends(&mut self, keep_ms: u64, now_ms: u64) {
        self.ended
            .retain(|_, ended| now_ms < ended.reported_ms + keep_ms);
    }
}

impl Shard {
    /// Applies the ends of a job that has been read, and adopts its attempts.
    pub(crate) fn adopt_orphans(&mut self, job: Id, now_ms: u64) {
        let ended = self.orphans.ended.remove(&job).unwrap_or_default();
        for (worker, end) in ended.ends {
            let (key, attempt) = (end.key, end.attempt);
            self.apply_end(Some(&worker), key, attempt, end.how, end.checkpoint, now_ms);
        }
        if self.orphans.running.remove(&job).is_none() {
            return;
        }
        // An attempt that is being stopped runs until the worker has reported its end.
        for (worker, key) in self.runs_of(job) {
            let size = self.step_spec(key.step).map(Step::demand);
            let charge = self.charge(key.step, Size::ZERO);
            let Some(host) = self.hosts.get_mut(&worker) else {
                continue;
            };
            let Some(mut run) = host.remove(&key) else {
                continue;
            };
            let attempt = run.attempt;
            if let Some(size) = size {
                (run.size, run.charge) = (size, charge);
            }
            host.insert(key, run);
            if let Some(job_state) = self.jobs.get_mut(&job) {
                job_state.started = true;
            }
            if let Some(step) = self.step_run_mut(key.step)
                && let Some(task) = step.tasks.get_mut(key.index as usize)
                && task.placement == Placement::Waiting
            {
                task.attempt = attempt;
                step.set_placement(key.index, Placement::Assigned(worker));
            }
        }
    }

    /// Stops the attempts of jobs that stay unknown although the jobs have been read.
    pub(crate) fn stop_orphans(&mut self, now_ms: u64) {
        let read_ms = self.jobs_read_ms.min(now_ms);
        let unknown: Vec<Id> = self
            .orphans
            .running
            .iter()
            .filter(|(_, since)| read_ms >= **since + JOB_READ_MAX_MS)
            .map(|(job, _)| *job)
            .collect();
        for job in unknown {
            let runs = self.runs_of(job);
            if runs.is_empty() {
                self.orphans.running.remove(&job);
            }
            for (worker, key) in runs {
                self.stop_run(&worker, key, now_ms);
            }
        }
    }

    /// Returns the attempts of a job with their workers.
    pub(crate) fn runs_of(&self, job: Id) -> Vec<(Arc<str>, Key)> {
        let mut runs = Vec::new();
        for (worker, host) in &self.hosts {
            let job_keys = host.runs.keys().filter(|key| key.step.job == job);
            runs.extend(job_keys.map(|key| (worker.clone(), *key)));
        }
        runs
    }
}
