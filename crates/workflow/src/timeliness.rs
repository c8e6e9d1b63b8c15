//! Order of waiting jobs by what their completion is still worth.
//!
//! A job is worth most to its caller if it completes within the objective of its queue. If more jobs
//! come than can be started, the order of acceptance makes all of them wait until each one is late.
//! Jobs that have waited for too long go behind those that can still be in time.

use crate::job::{Queue, Spec, Step};
use crate::run::Job;
use crate::shard::{QueueEntry, Shard};

/// Multiple of its objective up to which a late job is of use.
const LATE_FACTOR: f64 = 3.0;

/// Share of its slack for which a job may wait before it goes behind others. The rest is left for
/// advice, starts and reports, which take longer when there is a backlog.
const WAIT_SHARE: f64 = 0.25;

/// What the completion of a waiting job is worth if it starts now.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Timeliness {
    /// It is in time, or isn't subject to this order.
    InTime,
    /// It misses its objective, or would if it waited for much longer.
    Late,
    /// It is of no use any more.
    Missed,
}

/// Returns the run time of the longest chain of steps in milliseconds, by their estimates.
fn chain_ms(spec: &Spec) -> f64 {
    let mut ends: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for step in &spec.steps {
        let before = step
            .after
            .iter()
            .filter_map(|&before| ends.get(before as usize));
        let start_ms = before.max().copied().unwrap_or(0);
        ends.push(start_ms.saturating_add(step.estimate_ms));
    }
    ends.into_iter().max().unwrap_or(0) as f64
}

impl Job {
    /// Returns what the completion of the job is worth if its waiting tasks start at `now_ms`.
    pub(crate) fn timeliness(&self, queue: &Queue, now_ms: u64) -> Timeliness {
        // The tasks of gangs and services wait for room, which reservations give to the oldest.
        let is_plain = |step: &Step| !step.gang && !step.service && !step.best_effort;
        if self.spec.times > 0 || !self.spec.steps.iter().all(is_plain) {
            return Timeliness::InTime;
        }
        let chain_ms = chain_ms(&self.spec);
        let objective_ms = queue.slack_factor * chain_ms + queue.slo_ms as f64;
        // What has run by now of a job that has started isn't known well enough to count it.
        let (in_time_ms, late_ms) = match self.started {
            true => (objective_ms, objective_ms * LATE_FACTOR),
            false => (
                (objective_ms - chain_ms) * WAIT_SHARE,
                objective_ms * LATE_FACTOR - chain_ms,
            ),
        };
        let waited_ms = now_ms.saturating_sub(self.accepted_ms) as f64;
        if waited_ms <= in_time_ms {
            Timeliness::InTime
        } else if waited_ms <= late_ms {
            Timeliness::Late
        } else {
            Timeliness::Missed
        }
    }
}

impl Shard {
    /// Moves a waiting step behind others if it has waited for too long since it was put in its
    /// place. Returns the new place.
    pub(crate) fn demote(&mut self, entry: QueueEntry, now_ms: u64) -> Option<QueueEntry> {
        let (priority, current, order, key) = entry;
        let job = self.jobs.get(&key.job)?;
        let timeliness = job.timeliness(self.queues.get(&job.queue)?, now_ms);
        if timeliness <= current {
            return None;
        }
        let demoted = (priority, timeliness, order, key);
        self.ready.remove(&entry);
        self.ready.insert(demoted);
        Some(demoted)
    }
}
