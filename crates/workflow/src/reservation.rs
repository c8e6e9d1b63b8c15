//! Capacity reservation against starvation of gangs and service tasks.
//!
//! Small tasks take any capacity as soon as it becomes free. A step that has waited for some time
//! reserves workers that it may use, so that free capacity accumulates there.

use std::collections::BTreeSet;
use std::sync::Arc;

use foldhash::HashMap;
use rosemaryworks_core::size::{Size, thousandths};

use crate::gangs::Feasibility;
use crate::host::Host;
use crate::job::Step;
use crate::order::Rank;
use crate::placement::{colocated, meets_constraints};
use crate::shard::Shard;
use crate::task::{Key, StepKey};

/// Time without placement after which a step counts as starving and reserves workers, in
/// milliseconds. Longer than the time after which it keeps its permits valid.
const RESERVE_AFTER_MS: u64 = 1_500;

/// One in this many workers of a pool may be reserved for starving steps.
const WORKERS_PER_RESERVATION: usize = 4;

/// Maximum number of workers reserved for a step.
const WORKERS_PER_STEP_MAX: usize = 8;

/// Minimum time between two computations of reservations, in milliseconds. Each visits every worker
/// for each waiting gang.
const DECISION_PERIOD_MS: u64 = 20;

/// Cost of planning with one worker, in evaluations of a placement pass.
const PLANNING_COST: usize = 4;

/// Capacity reserved on a worker for a step.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    step: StepKey,
    size: Size,
    /// Priority number of the step. Work with a lower number, so a higher priority, may use the
    /// reserved capacity; `None` if no other work may.
    yields_to_below: Option<u32>,
}

/// Reservations of all workers.
#[derive(Debug, Default)]
pub(crate) struct Reservations {
    by_worker: HashMap<Arc<str>, Vec<Reservation>>,
    /// Gangs whose members all have capacity, or will have it once preempted attempts have stopped.
    planned: BTreeSet<StepKey>,
    /// Gangs that do not fit on the workers allowed for them.
    infeasible: BTreeSet<StepKey>,
    /// Workers reserved for starving steps.
    starving: BTreeSet<Arc<str>>,
    /// Time on the owner's clock at which the reservations were computed.
    decided_ms: Option<u64>,
}

/// Reservations that are being computed.
#[derive(Debug, Default)]
pub(crate) struct Draft {
    reservations: Reservations,
    /// Waiting steps in placement order.
    order: Vec<Rank>,
    /// Position of the next step.
    next: usize,
    /// Attempts that planned gangs preempt.
    stops: Vec<(Arc<str>, Key)>,
    /// Whether the present pass has computed the reservations of a step.
    has_progressed: bool,
}

impl Reservations {
    /// Returns the capacity of a worker available to a step: what is free minus what is reserved
    /// for other steps.
    pub(crate) fn free(&self, host: &Host, step: StepKey, priority: u32) -> Size {
        host.free() - self.reserved_for_others(&host.worker.id, step, priority)
    }

    /// Returns the capacity of a worker reserved for other steps.
    pub(crate) fn reserved_for_others(&self, worker: &str, step: StepKey, priority: u32) -> Size {
        let reservations = self.by_worker.get(worker).into_iter().flatten();
        let yields = |reservation: &Reservation| {
            reservation
                .yields_to_below
                .is_some_and(|limit| priority < limit)
        };
        reservations
            .filter(|reservation| reservation.step != step && !yields(reservation))
            .fold(Size::ZERO, |sum, reservation| sum + reservation.size)
    }

    /// Returns whether capacity on a worker is reserved for a step.
    pub(crate) fn is_reserved_for(&self, worker: &str, step: StepKey) -> bool {
        let reservations = self.by_worker.get(worker);
        reservations.is_some_and(|reservations| {
            reservations
                .iter()
                .any(|reservation| reservation.step == step)
        })
    }

    /// Returns whether all members of a gang have capacity, or will have it once preempted attempts
    /// have stopped.
    pub(crate) fn is_planned(&self, step: StepKey) -> bool {
        self.planned.contains(&step)
    }

    /// Returns whether a gang does not fit on the workers allowed for it.
    pub(crate) fn is_infeasible(&self, step: StepKey) -> bool {
        self.infeasible.contains(&step)
    }

    /// Removes the reservations of a gang that was placed.
    pub(crate) fn release(&mut self, step: StepKey) {
        if self.planned.remove(&step) {
            for reservations in self.by_worker.values_mut() {
                reservations.retain(|reservation| reservation.step != step);
            }
        }
    }

    fn add(&mut self, worker: Arc<str>, step: StepKey, size: Size, yields_to_below: Option<u32>) {
        let reservations = self.by_worker.entry(worker).or_default();
        reservations.push(Reservation {
            step,
            size,
            yields_to_below,
        });
    }

    /// Returns the number of workers of a pool that are reserved for starving steps.
    fn starving_in_pool(&self, shard: &Shard, pool: &str) -> usize {
        let in_pool = |id: &&Arc<str>| {
            let host = shard.hosts.get(*id);
            host.is_some_and(|host| &*host.worker.pool == pool)
        };
        self.starving.iter().filter(in_pool).count()
    }
}

impl Shard {
    /// Computes the reservations of the waiting steps, in placement order, and stops the attempts that
    /// planned gangs preempt. A computation that is too long for one pass is continued in the next one.
    pub(crate) fn reserve(&mut self, order: &[Rank], now_ms: u64) {
        let mut draft = match self.reservation_draft.take() {
            Some(draft) => draft,
            None => {
                let decided_ms = self.reservations.decided_ms;
                if decided_ms.is_some_and(|at| now_ms < at + DECISION_PERIOD_MS) {
                    return;
                }
                Draft {
                    order: order.to_vec(),
                    ..Draft::default()
                }
            }
        };
        while let Some(rank) = draft.order.get(draft.next).copied() {
            if draft.has_progressed && self.pass.reserve_is_spent() {
                draft.has_progressed = false;
                self.reservation_draft = Some(draft);
                return;
            }
            draft.next += 1;
            self.reserve_step(rank, &mut draft, now_ms);
        }
        draft.reservations.decided_ms = Some(now_ms);
        self.reservations = draft.reservations;
        self.preempt(draft.stops, now_ms);
    }

    fn reserve_step(&mut self, rank: Rank, draft: &mut Draft, now_ms: u64) {
        let Rank { priority, key, .. } = rank;
        let may_reserve = |step: &Step| step.gang || step.service;
        if !self.step_spec(key).is_some_and(may_reserve) || self.is_held_back(key) {
            return;
        }
        draft.has_progressed = true;
        self.pass.charge(match self.is_starving(key, now_ms) {
            true => self.hosts.len() * PLANNING_COST,
            false => 1,
        });
        match self.plan_if_gang(key, &draft.reservations, now_ms) {
            Some(Feasibility::Feasible(plan)) => {
                let size = self.step_spec(key).map(Step::demand).unwrap_or_default();
                for (worker, members) in plan.members {
                    let size = size.times(u64::from(members));
                    draft.reservations.add(worker, key, size, Some(priority));
                }
                draft.reservations.planned.insert(key);
                draft.stops.extend(plan.stops);
            }
            Some(Feasibility::Infeasible) => {
                draft.reservations.infeasible.insert(key);
            }
            Some(Feasibility::NotYet) | None => {
                self.reserve_for(key, &mut draft.reservations, now_ms);
            }
        }
    }

    /// Returns whether a step is a gang, which is planned at once, or has waited for so long that it
    /// reserves workers.
    fn is_starving(&self, key: StepKey, now_ms: u64) -> bool {
        let blocked_ms = self.step_run(key).and_then(|run| run.blocked_since_ms);
        let is_gang = self.step_spec(key).is_some_and(|step| step.gang);
        is_gang || blocked_ms.is_some_and(|since| now_ms >= since + RESERVE_AFTER_MS)
    }

    /// Removes the reservations of a gang that was placed.
    pub(crate) fn release_reservations(&mut self, key: StepKey) {
        self.reservations.release(key);
        if let Some(draft) = &mut self.reservation_draft {
            draft.reservations.release(key);
        }
    }

    /// Plans a gang of which all members wait. Returns `None` for other steps.
    fn plan_if_gang(
        &self,
        key: StepKey,
        reservations: &Reservations,
        now_ms: u64,
    ) -> Option<Feasibility> {
        let step = self.step_spec(key).filter(|step| step.gang)?;
        let run = self.step_run(key)?;
        let queue = self.queues.get(&self.jobs.get(&key.job)?.queue)?;
        let is_known = self.recovery.is_complete() || !run.inherited;
        let is_waiting = is_known && run.waiting == step.count;
        is_waiting.then(|| self.plan_gang(key, step, queue, run, reservations, now_ms))
    }

    /// Reserves workers for a starving service step, or for a starving gang without a plan.
    fn reserve_for(&self, key: StepKey, reservations: &mut Reservations, now_ms: u64) {
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
        let is_starving = run
            .blocked_since_ms
            .is_some_and(|since| now_ms >= since + RESERVE_AFTER_MS);
        let Some(queue) = self.queues.get(&job.queue).filter(|_| is_starving) else {
            return;
        };
        let pool_workers = self
            .hosts
            .values()
            .filter(|host| host.worker.pool == queue.pool)
            .count();
        let size = step.demand();
        let has_allowed = queue.advice.is_some() && run.advice.has_allowed_worker();
        let mut hosts: Vec<(u64, &Arc<str>)> = self
            .hosts
            .iter()
            .filter(|(id, host)| {
                host.worker.pool == queue.pool
                    && host.is_schedulable(now_ms)
                    && !reservations.by_worker.contains_key(*id)
                    && size.fits(&host.worker.capacity)
                    && !run.advice.is_denied(id)
                    && (!has_allowed || run.advice.is_allowed(id))
                    && meets_constraints(host, step, colocated(host, key, step))
            })
            .map(|(id, host)| (free_share(host), id))
            .collect();
        hosts.sort_by(|a, b| b.cmp(a));
        let mut remaining = run.waiting;
        for (_, id) in hosts.into_iter().take(WORKERS_PER_STEP_MAX) {
            let limit_reached = reservations.starving_in_pool(self, &queue.pool)
                >= pool_workers.div_ceil(WORKERS_PER_RESERVATION);
            if remaining == 0 || limit_reached {
                return;
            }
            let Some(host) = self.hosts.get(id) else {
                continue;
            };
            let mut tasks = host
                .worker
                .capacity
                .count_fitting(&size)
                .clamp(1, u64::from(remaining));
            if step.max_per_worker > 0 {
                tasks = tasks.min(u64::from(step.max_per_worker));
            }
            reservations.add(id.clone(), key, size.times(tasks), None);
            reservations.starving.insert(id.clone());
            remaining -= u32::try_from(tasks).unwrap_or(remaining).min(remaining);
        }
    }
}

/// Returns the free share of a worker's scarcest resource in thousandths.
fn free_share(host: &Host) -> u64 {
    let (free, total) = (host.free(), host.worker.capacity);
    let share = |free, total| thousandths(free, total).unwrap_or(1_000);
    share(free.millicores, total.millicores)
        .min(share(free.memory_mb, total.memory_mb))
        .min(share(free.accelerators, total.accelerators))
}
