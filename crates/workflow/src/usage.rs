//! Utilisation of the pools of a shard, for logs.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemaryworks_core::size::Size;

use crate::shard::Shard;
use crate::waiting::Entry;

/// Capacity of a pool and the work that waits for it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Schedulable workers.
    pub workers: u32,
    /// Schedulable workers without attempts.
    pub empty: u32,
    /// Schedulable workers that are clearly slower than others.
    pub slow: u32,
    /// Total capacity of the schedulable workers.
    pub capacity: Size,
    /// Free capacity of the schedulable workers.
    pub free: Size,
    /// Steps with tasks that wait for placement.
    pub steps: u32,
    /// Gangs among these steps.
    pub gangs: u32,
    /// Steps whose jobs can't end any more in time to be of use.
    pub overdue: u32,
    /// Tasks that wait for placement.
    pub tasks: u32,
}

/// Start requests of an owner, for logs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Starts {
    /// Requests that wait for their answers.
    pub in_flight: u32,
    /// Limit on these requests.
    pub limit: u32,
    /// Mean time to the answer in milliseconds, which grows if the owner is overloaded.
    pub answer_ms: u32,
}

/// Waiting steps and placement passes of an owner, for logs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Passes {
    /// Steps that wait for their turn in the working set.
    pub backlog: usize,
    /// Steps that no worker of their pool could run.
    pub parked: usize,
    /// Passes that ended before they had reached all steps, since the begin of the ownership.
    pub cut: u64,
}

impl Shard {
    /// Returns the waiting steps outside the working set, and the passes that were cut short.
    #[must_use]
    pub fn passes(&self) -> Passes {
        Passes {
            backlog: self.waiting.backlog_len(),
            parked: self.waiting.parked_len(),
            cut: self.pass.cut(),
        }
    }

    /// Returns the start requests of the owner.
    #[must_use]
    pub fn starts(&self) -> Starts {
        let (in_flight, limit, answer_ms) = self.start_window.figures();
        Starts {
            in_flight,
            limit,
            answer_ms,
        }
    }

    /// Returns the utilisation of each pool.
    #[must_use]
    pub fn usage(&self, now_ms: u64) -> BTreeMap<Arc<str>, Usage> {
        let mut pools: BTreeMap<Arc<str>, Usage> = BTreeMap::new();
        for host in self
            .hosts
            .values()
            .filter(|host| host.is_schedulable(now_ms))
        {
            let usage = pools.entry(host.worker.pool.clone()).or_default();
            usage.workers += 1;
            usage.empty += u32::from(host.runs.is_empty());
            usage.slow += u32::from(host.speed.slowness(now_ms) > 1.0);
            usage.capacity += host.worker.capacity;
            usage.free += host.free();
        }
        for Entry { key, .. } in self.waiting.ready() {
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            let (Some(queue), Some(step), Some(run)) = (
                self.queues.get(&job.queue),
                job.spec.steps.get(key.step as usize),
                self.step_run(*key),
            ) else {
                continue;
            };
            let usage = pools.entry(queue.pool.clone()).or_default();
            usage.steps += 1;
            usage.gangs += u32::from(step.gang);
            usage.overdue += u32::from(self.is_overdue(job, now_ms));
            usage.tasks += run.waiting;
        }
        pools
    }
}
