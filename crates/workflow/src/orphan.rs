//! Attempts of jobs that this owner has not read yet.
//!
//! A previous owner may start a job that was accepted after its successor read the shard's jobs.
//! The worker then reports the attempt to the successor before the successor reads the job.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::job::{Id, Step};
use crate::run::Placement;
use crate::shard::Shard;
use crate::task::Key;

/// Time after which the attempts of an unknown job are stopped, in milliseconds. Jobs are usually
/// read within a second.
const JOB_READ_MAX_MS: u64 = 1_500;

/// Unknown jobs with reported attempts, and the time on the owner's clock of the first report.
#[derive(Debug, Default)]
pub(crate) struct Orphans(BTreeMap<Id, u64>);

impl Orphans {
    pub(crate) fn add(&mut self, job: Id, now_ms: u64) {
        self.0.entry(job).or_insert(now_ms);
    }
}

impl Shard {
    /// Adopts the attempts of a job that has been read.
    pub(crate) fn adopt_orphans(&mut self, job: Id) {
        if self.orphans.0.remove(&job).is_none() {
            return;
        }
        // An attempt that is being stopped runs until the worker has reported its end.
        for (worker, key) in self.runs_of(job) {
            let size = self.step_spec(key.step).map(Step::demand);
            let Some(host) = self.hosts.get_mut(&worker) else {
                continue;
            };
            let Some(mut run) = host.remove(&key) else {
                continue;
            };
            let attempt = run.attempt;
            run.size = size.unwrap_or(run.size);
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

    /// Stops the attempts of jobs that stay unknown.
    pub(crate) fn stop_orphans(&mut self, now_ms: u64) {
        let unknown: Vec<Id> = self
            .orphans
            .0
            .iter()
            .filter(|(_, since)| now_ms >= **since + JOB_READ_MAX_MS)
            .map(|(job, _)| *job)
            .collect();
        for job in unknown {
            let runs = self.runs_of(job);
            if runs.is_empty() {
                self.orphans.0.remove(&job);
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
