//! Order in which waiting steps are placed.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::job::Id;
use crate::run::Job;
use crate::shard::Shard;
use crate::task::StepKey;
use crate::waiting::Entry;

/// Longest time for which an overdue job keeps its place, in milliseconds. One that can't be placed
/// must not keep the others from theirs.
const TURN_MAX_MS: u64 = 10_000;

/// Overdue jobs that keep their place, by pool, each with the time of its turn on the owner's clock.
/// There is one at a time, so that overdue jobs end one after the other and none starves.
pub(crate) type Turns = BTreeMap<Arc<str>, (Id, u64)>;

/// Position of a step in the placement order; the lowest comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    /// Whether the job's team uses more than its share of the pool.
    pub(crate) over_share: bool,
    /// Whether the job can't end in time to be of use.
    pub(crate) overdue: bool,
    pub(crate) priority: u32,
    /// Whether the job will miss its objective. Within a priority, work that can meet it comes first.
    pub(crate) late: bool,
    /// Position of the job in the order of acceptance.
    pub(crate) acceptance_order: u64,
    pub(crate) key: StepKey,
    /// Line in which the step waits.
    pub(crate) line: u32,
}

impl Rank {
    /// Returns the entry among the waiting steps.
    pub(crate) fn entry(&self) -> Entry {
        Entry {
            priority: self.priority,
            acceptance_order: self.acceptance_order,
            key: self.key,
            line: self.line,
        }
    }
}

impl Shard {
    /// Returns the waiting steps of the working set in placement order.
    pub(crate) fn placement_order(&self, now_ms: u64) -> Vec<Rank> {
        let holders = self.outlook.turns.values();
        let holders = holders.filter_map(|(id, _)| Some(self.jobs.get(id)?.acceptance_order));
        let holders: Vec<u64> = holders.collect();
        let rank = |entry: &Entry| {
            let job = self.jobs.get(&entry.key.job);
            // Jobs that have a turn keep their place.
            let has_turn = holders.contains(&entry.acceptance_order);
            let late = job.filter(|job| !has_turn && misses_objective(job, now_ms));
            Rank {
                over_share: job.is_some_and(|job| self.is_over_share(job)),
                overdue: late.is_some_and(|job| self.is_overdue(job, now_ms)),
                priority: entry.priority,
                late: late.is_some(),
                acceptance_order: entry.acceptance_order,
                key: entry.key,
                line: entry.line,
            }
        };
        let mut order: Vec<Rank> = self.waiting.ready().map(rank).collect();
        order.sort_unstable();
        order
    }

    /// Gives the turn of each pool to its oldest overdue job, unless the last one still has it.
    pub(crate) fn pass_turns(&mut self, now_ms: u64) {
        let mut oldest: BTreeMap<Arc<str>, (u64, Id)> = BTreeMap::new();
        for entry in self.waiting.ready() {
            let job = self.jobs.get(&entry.key.job);
            let Some(job) = job.filter(|job| self.is_overdue(job, now_ms)) else {
                continue;
            };
            if let Some(queue) = self.queues.get(&job.queue) {
                let candidate = (entry.acceptance_order, entry.key.job);
                let first = oldest.entry(queue.pool.clone()).or_insert(candidate);
                *first = candidate.min(*first);
            }
        }
        let jobs = &self.jobs;
        self.outlook.turns.retain(|_, (id, since_ms)| {
            let is_open = jobs.get(id).is_some_and(|job| !job.is_ended());
            is_open && now_ms < *since_ms + TURN_MAX_MS
        });
        for (pool, (_, id)) in oldest {
            self.outlook.turns.entry(pool).or_insert((id, now_ms));
        }
    }

    /// Returns whether a job can't end any more in time to be of use.
    pub(crate) fn is_overdue(&self, job: &Job, now_ms: u64) -> bool {
        let objective = job.objective.as_ref();
        objective.is_some_and(|objective| now_ms as f64 > objective.overdue_ms)
    }
}

/// Returns whether a job will end after its objective.
fn misses_objective(job: &Job, now_ms: u64) -> bool {
    let objective = job.objective.as_ref();
    objective.is_some_and(|objective| now_ms as f64 > objective.late_ms)
}
