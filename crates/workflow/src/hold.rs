//! Room held for work that a crowd of small tasks would starve: gangs, and tasks that last.
//!
//! Small tasks take each bit of room as it becomes free. A step that has waited for a while holds
//! the workers that it may use, so that their room gathers for it.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemaryworks_core::size::Size;

use crate::host::Host;
use crate::shard::Shard;
use crate::task::StepKey;

/// Time without a place after which a step holds workers, in milliseconds.
const HOLD_AFTER_MS: u64 = 1_500;

/// One worker of this many may be held in a pool.
const WORKERS_PER_HOLD: usize = 4;

/// Workers held for a step, at most.
const HOLDS_PER_STEP: usize = 8;

/// Room held on workers, by worker.
#[derive(Debug, Default)]
pub(crate) struct Holds(BTreeMap<Arc<str>, (StepKey, Size)>);

impl Holds {
    /// Returns the room of a worker for a step: what is free, less what is held for another step.
    pub(crate) fn free(&self, host: &Host, step: StepKey) -> Size {
        match self.0.get(&host.worker.id) {
            Some((owner, size)) if *owner != step => host.free() - *size,
            _ => host.free(),
        }
    }

    /// Tells whether a worker is held for a step.
    pub(crate) fn is_for(&self, worker: &str, step: StepKey) -> bool {
        self.0.get(worker).is_some_and(|(owner, _)| *owner == step)
    }

    fn count(&self, shard: &Shard, pool: &str) -> usize {
        let of_pool = |id: &&Arc<str>| {
            let host = shard.hosts.get(*id);
            host.is_some_and(|host| &*host.worker.pool == pool)
        };
        self.0.keys().filter(of_pool).count()
    }
}

impl Shard {
    /// Decides which workers are held, for the steps that have waited longest in their order.
    pub(crate) fn hold(&mut self, now_ms: u64) {
        let mut holds = Holds::default();
        let waiting = self.ready.iter().map(|(_, _, key)| *key);
        for key in waiting {
            self.hold_for(key, &mut holds, now_ms);
        }
        self.holds = holds;
    }

    fn hold_for(&self, key: StepKey, holds: &mut Holds, now_ms: u64) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let step = job.spec.steps.get(key.step as usize);
        let Some(step) = step.filter(|step| step.gang || step.service) else {
            return;
        };
        let run = job
            .occurrences
            .get(&key.occurrence)
            .and_then(|steps| steps.get(key.step as usize));
        let Some(run) = run else { return };
        let starved = run
            .blocked_ms
            .is_some_and(|since| now_ms >= since + HOLD_AFTER_MS);
        let Some(queue) = self.queues.get(&job.queue).filter(|_| starved) else {
            return;
        };
        let pool = self
            .hosts
            .values()
            .filter(|host| host.worker.pool == queue.pool)
            .count();
        let size = step.footprint();
        let known = queue.advice.is_some() && run.advice.knows_good();
        let mut hosts: Vec<(u64, &Arc<str>)> = self
            .hosts
            .iter()
            .filter(|(id, host)| {
                host.worker.pool == queue.pool
                    && host.takes_work(now_ms)
                    && !holds.0.contains_key(*id)
                    && size.fits(&host.worker.capacity)
                    && !run.advice.is_bad(id)
                    && (!known || run.advice.is_good(id))
                    && step
                        .requires
                        .as_ref()
                        .is_none_or(|label| host.worker.labels.contains(label))
            })
            .map(|(id, host)| (free_share(host), id))
            .collect();
        hosts.sort_by(|a, b| b.cmp(a));
        let mut left = run.waiting;
        for (_, id) in hosts.into_iter().take(HOLDS_PER_STEP) {
            let full = holds.count(self, &queue.pool) >= pool.div_ceil(WORKERS_PER_HOLD);
            if left == 0 || full {
                return;
            }
            let Some(host) = self.hosts.get(id) else {
                continue;
            };
            let mut tasks = host.worker.capacity.holds(&size).clamp(1, u64::from(left));
            if step.spread > 0 {
                tasks = tasks.min(u64::from(step.spread));
            }
            holds.0.insert(id.clone(), (key, size.times(tasks)));
            left -= u32::try_from(tasks).unwrap_or(left).min(left);
        }
    }
}

/// Returns the free share of a worker's scarcest resource in thousandths.
fn free_share(host: &Host) -> u64 {
    let (free, total) = (host.free(), host.worker.capacity);
    let share = |free: u64, total: u64| (free * 1_000).checked_div(total).unwrap_or(1_000);
    share(free.millicores, total.millicores)
        .min(share(free.memory_mb, total.memory_mb))
        .min(share(free.accelerators, total.accelerators))
}
