//! Room held for work that a crowd of small tasks would starve: gangs, and tasks that last.
//!
//! Small tasks take each bit of room as it becomes free. A step that has waited for a while holds
//! the workers that it may use, so that their room gathers for it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rosemaryworks_core::size::Size;

use crate::gangs::Prospect;
use crate::host::Host;
use crate::job::Step;
use crate::shard::Shard;
use crate::task::StepKey;

/// Time without a place after which a step holds workers, in milliseconds.
const HOLD_AFTER_MS: u64 = 1_500;

/// One worker of this many may be held in a pool.
const WORKERS_PER_HOLD: usize = 4;

/// Workers held for a step, at most.
const HOLDS_PER_STEP: usize = 8;

/// Time from one decision on holds to the next at least, in milliseconds. Deciding looks at every worker
/// for each gang that waits.
const PERIOD_MS: u64 = 20;

/// Room held on a worker for a step.
#[derive(Clone, Copy, Debug)]
struct Held {
    step: StepKey,
    size: Size,
    /// Priority of work that may use the room all the same: all that comes before this one; none if
    /// no other work may.
    yields_before: Option<u32>,
}

/// Room held on workers, by worker.
#[derive(Debug, Default)]
pub(crate) struct Holds {
    by_worker: BTreeMap<Arc<str>, Vec<Held>>,
    /// Gangs whose members all have their room, or get it by stops that were ordered.
    planned: BTreeSet<StepKey>,
    /// Gangs that the workers which are good for them can't hold.
    hopeless: BTreeSet<StepKey>,
    /// Workers held for steps that starve.
    starving: BTreeSet<Arc<str>>,
    decided_ms: Option<u64>,
}

impl Holds {
    /// Returns the room of a worker for a step: what is free, less what is held for other steps.
    pub(crate) fn free(&self, host: &Host, step: StepKey, priority: u32) -> Size {
        host.free() - self.of_others(&host.worker.id, step, priority)
    }

    /// Returns what is held on a worker for other steps.
    pub(crate) fn of_others(&self, worker: &str, step: StepKey, priority: u32) -> Size {
        let held = self.by_worker.get(worker).into_iter().flatten();
        let yields = |held: &Held| held.yields_before.is_some_and(|before| priority < before);
        held.filter(|held| held.step != step && !yields(held))
            .fold(Size::ZERO, |sum, held| sum + held.size)
    }

    /// Tells whether a worker is held for a step.
    pub(crate) fn is_for(&self, worker: &str, step: StepKey) -> bool {
        let held = self.by_worker.get(worker);
        held.is_some_and(|held| held.iter().any(|held| held.step == step))
    }

    /// Tells whether all members of a gang have their room, or get it by stops that were ordered.
    pub(crate) fn is_planned(&self, step: StepKey) -> bool {
        self.planned.contains(&step)
    }

    /// Tells whether the workers that are good for a gang can't hold it.
    pub(crate) fn is_hopeless(&self, step: StepKey) -> bool {
        self.hopeless.contains(&step)
    }

    /// Ends the holds for a step that was placed.
    pub(crate) fn release(&mut self, step: StepKey) {
        if self.planned.remove(&step) {
            for held in self.by_worker.values_mut() {
                held.retain(|held| held.step != step);
            }
        }
    }

    fn add(&mut self, worker: Arc<str>, step: StepKey, size: Size, yields_before: Option<u32>) {
        let held = self.by_worker.entry(worker).or_default();
        held.push(Held {
            step,
            size,
            yields_before,
        });
    }

    fn count(&self, shard: &Shard, pool: &str) -> usize {
        let of_pool = |id: &&Arc<str>| {
            let host = shard.hosts.get(*id);
            host.is_some_and(|host| &*host.worker.pool == pool)
        };
        self.starving.iter().filter(of_pool).count()
    }
}

impl Shard {
    /// Decides what is held, for the steps that wait in their order.
    pub(crate) fn hold(&mut self, now_ms: u64) {
        if (self.holds.decided_ms).is_some_and(|at| now_ms < at + PERIOD_MS) {
            return;
        }
        let mut holds = Holds {
            decided_ms: Some(now_ms),
            ..Holds::default()
        };
        let mut stops = Vec::new();
        let waiting = self
            .ready
            .iter()
            .map(|(priority, _, key)| (*priority, *key));
        for (priority, key) in waiting {
            match self.plan_for(key, &holds, now_ms) {
                Some(Prospect::Complete(plan)) => {
                    let size = self.step_spec(key).map(Step::demand).unwrap_or_default();
                    for (worker, members) in plan.members {
                        let size = size.times(u64::from(members));
                        holds.add(worker, key, size, Some(priority));
                    }
                    holds.planned.insert(key);
                    stops.extend(plan.stops);
                }
                Some(Prospect::Never) => {
                    holds.hopeless.insert(key);
                }
                Some(Prospect::Incomplete) | None => self.hold_for(key, &mut holds, now_ms),
            }
        }
        self.holds = holds;
        self.preempt(stops, now_ms);
    }

    /// Plans a gang that waits as a whole; none for other steps.
    fn plan_for(&self, key: StepKey, holds: &Holds, now_ms: u64) -> Option<Prospect> {
        let step = self.step_spec(key).filter(|step| step.gang)?;
        let run = self.step_run(key)?;
        let queue = self.queues.get(&self.jobs.get(&key.job)?.queue)?;
        let known = self.recovery.is_settled() || !run.inherited;
        let waits = known && run.waiting == step.count;
        waits.then(|| self.plan(key, step, queue, run, holds, now_ms))
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
        let size = step.demand();
        let known = queue.advice.is_some() && run.advice.knows_good();
        let mut hosts: Vec<(u64, &Arc<str>)> = self
            .hosts
            .iter()
            .filter(|(id, host)| {
                host.worker.pool == queue.pool
                    && host.takes_work(now_ms)
                    && !holds.by_worker.contains_key(*id)
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
            let mut tasks = host
                .worker
                .capacity
                .count_fitting(&size)
                .clamp(1, u64::from(left));
            if step.max_per_worker > 0 {
                tasks = tasks.min(u64::from(step.max_per_worker));
            }
            holds.add(id.clone(), key, size.times(tasks), None);
            holds.starving.insert(id.clone());
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
