//! Run times of attempts that have completed on a worker.

use crate::host::{Host, Phase, Run};
use crate::job::Step;
use crate::run_times::{Class, Sample};
use crate::shard::Shard;
use crate::task::Key;

impl Shard {
    /// Learns from an attempt that has completed.
    pub(crate) fn observe_run(&mut self, worker: &str, key: Key, run: &Run, now_ms: u64) {
        let Some(job) = self.jobs.get(&key.step.job) else {
            return;
        };
        let Some(step) = job.spec.steps.get(key.step.step as usize) else {
            return;
        };
        let Some(host) = self.hosts.get_mut(worker) else {
            return;
        };
        if let Some(sample) = sample(host, step, run, now_ms) {
            let class = Class::of(&job.queue, step);
            self.outlook
                .run_times
                .observe(&class, &sample, &mut host.speed, now_ms);
        }
    }
}

/// Returns what an attempt says about run times; `None` if its time is uncertain.
fn sample(host: &Host, step: &Step, run: &Run, now_ms: u64) -> Option<Sample> {
    if step.service || step.best_effort || run.phase != Phase::Running {
        return None;
    }
    // Before the first report of an attempt that this owner didn't begin, its progress is unknown.
    let (from_ms, percent) = match run.is_resumed {
        true => run.first_report.filter(|(_, percent)| *percent > 0)?,
        false => (run.outcome_ms.filter(|ms| *ms == run.started_ms)?, 0),
    };
    // The worker may have ended the attempt long before it was reachable again.
    if from_ms <= host.returned_ms {
        return None;
    }
    let is_remote = step
        .preferred_rack
        .as_ref()
        .is_some_and(|rack| *rack != host.worker.rack);
    Some(Sample {
        took_ms: now_ms.saturating_sub(from_ms),
        share: f64::from(100_u32.saturating_sub(percent)) / 100.0,
        is_remote,
        is_gang: step.gang,
        estimate_ms: step.estimate_ms,
    })
}
