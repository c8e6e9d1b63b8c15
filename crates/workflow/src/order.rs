//! Order in which waiting steps are placed.

use crate::run::Job;
use crate::shard::Shard;
use crate::task::StepKey;

/// Position of a step in the placement order; the lowest comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    /// Whether the job's team uses more than its share of the pool.
    pub(crate) over_share: bool,
    /// Whether the job can't end in time to be of use.
    pub(crate) overdue: bool,
    pub(crate) priority: u32,
    /// Position of the job in the order of acceptance.
    pub(crate) acceptance_order: u64,
    pub(crate) key: StepKey,
}

impl Shard {
    /// Returns the waiting steps in placement order.
    pub(crate) fn placement_order(&self, now_ms: u64) -> Vec<Rank> {
        let rank = |(priority, acceptance_order, key): &(u32, u64, StepKey)| {
            let job = self.jobs.get(&key.job);
            Rank {
                over_share: job.is_some_and(|job| self.is_over_share(job)),
                overdue: job.is_some_and(|job| self.is_overdue(job, now_ms)),
                priority: *priority,
                acceptance_order: *acceptance_order,
                key: *key,
            }
        };
        let mut order: Vec<Rank> = self.ready.iter().map(rank).collect();
        order.sort_unstable();
        order
    }

    /// Returns whether a job can't end any more in time to be of use.
    fn is_overdue(&self, _job: &Job, _now_ms: u64) -> bool {
        false
    }
}
