//! Runs of jobs that this owner doesn't know yet.
//!
//! An older owner may start a job that was accepted after its successor read the shard's jobs. The
//! successor hears of the run from the worker before it reads the job.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::host::Phase;
use crate::job::{Id, Step};
use crate::run::Place;
use crate::shard::Shard;
use crate::task::Key;

/// Time after which a run without a job is stopped, in milliseconds. Jobs are read within a second.
const UNKNOWN_MAX_MS: u64 = 1_500;

/// Jobs that runs were listed of, with the owner's time of the first listing.
#[derive(Debug, Default)]
pub(crate) struct Orphans(BTreeMap<Id, u64>);

impl Orphans {
    pub(crate) fn note(&mut self, job: Id, now_ms: u64) {
        self.0.entry(job).or_insert(now_ms);
    }
}

impl Shard {
    /// Takes over the runs of a job that has become known.
    pub(crate) fn claim_orphans(&mut self, job: Id) {
        if self.orphans.0.remove(&job).is_none() {
            return;
        }
        for (worker, key) in self.runs_of(job) {
            let size = self.step_spec(key.step).map(Step::demand);
            let Some(host) = self.hosts.get_mut(&worker) else {
                continue;
            };
            let Some(mut run) = host.remove(&key) else {
                continue;
            };
            let (attempt, running) = (run.attempt, run.phase == Phase::Running);
            run.size = size.unwrap_or(run.size);
            host.insert(key, run);
            if let Some(known) = self.jobs.get_mut(&job) {
                known.started = true;
            }
            if let Some(step) = self.step_run_mut(key.step).filter(|_| running)
                && let Some(task) = step.tasks.get_mut(key.index as usize)
                && task.place == Place::Waiting
            {
                task.attempt = attempt;
                step.set(key.index, Place::On(worker));
            }
        }
    }

    /// Stops the runs whose job stays unknown.
    pub(crate) fn stop_orphans(&mut self, now_ms: u64) {
        let unknown: Vec<Id> = self
            .orphans
            .0
            .iter()
            .filter(|(_, since)| now_ms >= **since + UNKNOWN_MAX_MS)
            .map(|(job, _)| *job)
            .collect();
        for job in unknown {
            self.orphans.0.remove(&job);
            for (worker, key) in self.runs_of(job) {
                self.stop(&worker, key, now_ms);
            }
        }
    }

    /// Returns the runs of a job with their workers.
    pub(crate) fn runs_of(&self, job: Id) -> Vec<(Arc<str>, Key)> {
        let mut runs = Vec::new();
        for (worker, host) in &self.hosts {
            let of_job = host.runs.keys().filter(|key| key.step.job == job);
            runs.extend(of_job.map(|key| (worker.clone(), *key)));
        }
        runs
    }
}
