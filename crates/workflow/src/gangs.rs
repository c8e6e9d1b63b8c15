//! Gang scheduling with preemption of small tasks of lower priority.
//!
//! A gang needs capacity on several workers at the same time, while small tasks take any capacity
//! as soon as it becomes free. Waiting gangs are planned in placement order: a plan names workers
//! on which all members of the gang fit once small tasks of lower priority have been stopped. Only
//! tasks with checkpoints are preempted, and each task at most once.

use std::collections::BTreeSet;
use std::sync::Arc;

use rosemaryworks_core::size::{Size, thousandths};

use crate::host::{Host, Phase};
use crate::job::{Queue, Step};
use crate::placement::meets_constraints;
use crate::reservation::Reservations;
use crate::run::StepRun;
use crate::shard::Shard;
use crate::task::{Key, StepKey};

/// Weight of an accelerator in the cost of preemption, in thousandths of a core.
const ACCELERATOR_MILLICORES: u64 = 8_000;

/// Assignment of all members of a gang to workers, and the attempts to preempt first.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    /// Number of members on each worker.
    pub(crate) members: Vec<(Arc<str>, u32)>,
    /// Attempts to stop.
    pub(crate) stops: Vec<(Arc<str>, Key)>,
}

/// Whether a gang can be placed.
#[derive(Debug)]
pub(crate) enum Feasibility {
    /// All members can be placed.
    Feasible(Plan),
    /// Some members don't fit yet.
    NotYet,
    /// The allowed workers could not hold the gang even if they were empty.
    Infeasible,
}

/// A worker that may run members of the gang.
struct Candidate<'a> {
    host: &'a Host,
    /// Members that would fit if it were empty.
    max_members: u32,
    /// Free capacity, including capacity of attempts that are already being stopped.
    free: Size,
    /// Members that fit into `free`.
    fitting_members: u32,
    /// Whether it is already reserved for the gang. Such workers come first, because a move of the
    /// plan to other workers needs new permits.
    reserved: bool,
    /// Whether it is slow. All members wait for the slowest one.
    slow: bool,
    /// Members assigned by the current plan.
    planned_members: u32,
    /// Attempts that may be preempted, those with the least progress first.
    victims: Vec<(Key, Size)>,
}

impl Candidate<'_> {
    /// Returns the members that fit once all attempts that may be preempted have stopped.
    fn preemptable_members(&self, size: &Size) -> u32 {
        let victims = self.victims.iter();
        let free = victims.fold(self.free, |free, (_, victim)| free + *victim);
        let members = u32::try_from(free.count_fitting(size)).unwrap_or(u32::MAX);
        members.min(self.max_members)
    }

    /// Returns the cost of preemption in thousandths of a core, and the attempts to preempt so that
    /// `members` fit. Returns `None` if preempting all of them is not enough.
    fn runs_to_stop(&self, size: &Size, members: u32) -> Option<(u64, Vec<Key>)> {
        let wanted = size.times(u64::from(members));
        let mut free = self.free;
        let mut cost: u64 = 0;
        let mut stops = Vec::new();
        for (key, victim) in &self.victims {
            if wanted.fits(&free) {
                break;
            }
            free += *victim;
            let accelerators = victim.accelerators.saturating_mul(ACCELERATOR_MILLICORES);
            cost = accelerators
                .saturating_add(victim.millicores)
                .saturating_add(cost);
            stops.push(*key);
        }
        wanted.fits(&free).then_some((cost, stops))
    }
}

impl Shard {
    /// Plans the placement of all members of a gang in capacity that is not reserved for other
    /// steps.
    pub(crate) fn plan_gang(
        &self,
        key: StepKey,
        step: &Step,
        queue: &Queue,
        run: &StepRun,
        reservations: &Reservations,
        now_ms: u64,
    ) -> Feasibility {
        let size = step.demand();
        let mut candidates: Vec<Candidate<'_>> = self
            .hosts
            .values()
            .filter(|host| self.may_run_member(host, step, queue, run, now_ms))
            .map(|host| Candidate {
                slow: host.speed.slowness(now_ms) > 1.0,
                ..self.candidate(host, key, step, queue, &size, reservations)
            })
            .collect();
        let max_members = candidates
            .iter()
            .map(|candidate| u64::from(candidate.max_members));
        if max_members.sum::<u64>() < u64::from(step.count) {
            // The gang can run only if undecided workers may still be allowed.
            return match queue.advice.is_some() && self.has_undecided_worker(queue, run) {
                true => Feasibility::NotYet,
                false => Feasibility::Infeasible,
            };
        }
        if step.one_rack
            && let Some(plan) = self.plan_on_one_rack(&mut candidates, step, &size)
        {
            return Feasibility::Feasible(plan);
        }
        match distribute(&mut candidates, step.count, &size) {
            Some(plan) => Feasibility::Feasible(plan),
            None => Feasibility::NotYet,
        }
    }

    fn plan_on_one_rack(
        &self,
        candidates: &mut [Candidate<'_>],
        step: &Step,
        size: &Size,
    ) -> Option<Plan> {
        let mut racks: Vec<Arc<str>> = candidates
            .iter()
            .map(|candidate| candidate.host.worker.rack.clone())
            .collect();
        racks.sort();
        racks.dedup();
        // Tries the preferred rack first.
        racks.sort_by_key(|rack| step.preferred_rack.as_ref() != Some(rack));
        for rack in racks {
            let on_rack = |candidate: &Candidate<'_>| candidate.host.worker.rack == rack;
            let count = move_to_front(candidates, on_rack);
            if let Some(plan) = distribute(&mut candidates[..count], step.count, size) {
                return Some(plan);
            }
        }
        None
    }

    /// Returns whether a worker may run members of a gang, regardless of its free capacity.
    fn may_run_member(
        &self,
        host: &Host,
        step: &Step,
        queue: &Queue,
        run: &StepRun,
        now_ms: u64,
    ) -> bool {
        let id = &host.worker.id;
        host.worker.pool == queue.pool
            && host.is_schedulable(now_ms)
            && meets_constraints(host, step, 0)
            && (queue.advice.is_none() || run.advice.is_allowed(id))
    }

    /// Returns whether the advice service has not decided about some worker of the pool.
    fn has_undecided_worker(&self, queue: &Queue, run: &StepRun) -> bool {
        self.hosts.iter().any(|(id, host)| {
            host.worker.pool == queue.pool
                && host.listed
                && !run.advice.is_allowed(id)
                && !run.advice.is_denied(id)
        })
    }

    fn candidate<'a>(
        &self,
        host: &'a Host,
        key: StepKey,
        step: &Step,
        queue: &Queue,
        size: &Size,
        reservations: &Reservations,
    ) -> Candidate<'a> {
        let per_worker = match step.max_per_worker {
            0 => u32::MAX,
            per_worker => per_worker,
        };
        // Tasks of size zero fit any number of times, and sums of such counts would overflow.
        let limit = per_worker.min(step.count);
        let member_slots = |capacity: &Size| {
            u32::try_from(capacity.count_fitting(size))
                .unwrap_or(u32::MAX)
                .min(limit)
        };
        let mut stopping_size = Size::ZERO;
        let mut victims = Vec::new();
        for (run_key, run) in &host.runs {
            match run.phase {
                Phase::Stopping => stopping_size += run.size,
                Phase::Running if self.is_preemptible_for(*run_key, queue.priority) => {
                    victims.push((run.percent, *run_key, run.size));
                }
                _ => {}
            }
        }
        victims.sort_by_key(|(percent, run_key, _)| (*percent, *run_key));
        let victims = victims
            .into_iter()
            .map(|(_, run_key, size)| (run_key, size));
        let used = host.used - stopping_size;
        let free = (host.worker.capacity - used)
            - reservations.reserved_for_others(&host.worker.id, key, queue.priority);
        Candidate {
            host,
            max_members: member_slots(&host.worker.capacity),
            free,
            fitting_members: member_slots(&free),
            reserved: self.reservations.is_reserved_for(&host.worker.id, key),
            slow: false,
            planned_members: 0,
            victims: victims.collect(),
        }
    }

    /// Returns whether an attempt may be preempted by work of `priority`.
    fn is_preemptible_for(&self, key: Key, priority: u32) -> bool {
        let Some(job) = self.jobs.get(&key.step.job) else {
            return false;
        };
        let has_lower_priority = self
            .queues
            .get(&job.queue)
            .is_some_and(|queue| queue.priority > priority);
        let is_small_task = job
            .spec
            .steps
            .get(key.step.step as usize)
            .is_some_and(|step| step.checkpoints && !step.gang && !step.service);
        let not_preempted = self
            .step_run(key.step)
            .and_then(|run| run.tasks.get(key.index as usize))
            .is_some_and(|task| !task.preempted);
        has_lower_priority && is_small_task && not_preempted
    }

    /// Stops the attempts of a plan.
    pub(crate) fn preempt(&mut self, stops: Vec<(Arc<str>, Key)>, now_ms: u64) {
        for (worker, key) in stops {
            if let Some(run) = self.step_run_mut(key.step)
                && let Some(task) = run.tasks.get_mut(key.index as usize)
            {
                task.preempted = true;
            }
            self.stop_run(&worker, key, now_ms);
        }
    }
}

/// Moves the candidates that match a predicate to the front. Returns their number.
fn move_to_front(
    candidates: &mut [Candidate<'_>],
    predicate: impl Fn(&Candidate<'_>) -> bool,
) -> usize {
    candidates.sort_by_key(|candidate| !predicate(candidate));
    candidates.iter().filter(|c| predicate(c)).count()
}

/// Distributes `count` members over the workers: first into free capacity, on workers reserved for
/// the gang before others and by best fit among them, then where preemption costs least.
fn distribute(candidates: &mut [Candidate<'_>], count: u32, size: &Size) -> Option<Plan> {
    for candidate in candidates.iter_mut() {
        candidate.planned_members = 0;
    }
    let mut remaining = count;
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|&index| {
        (
            !candidates[index].reserved,
            candidates[index].slow,
            leftover_share(&candidates[index], size),
        )
    });
    for &index in &order {
        let candidate = &mut candidates[index];
        candidate.planned_members = candidate.fitting_members.min(remaining);
        remaining -= candidate.planned_members;
    }
    let preemptable = candidates
        .iter()
        .map(|c| u64::from(c.preemptable_members(size)));
    if remaining > 0 && preemptable.sum::<u64>() < u64::from(count) {
        return None;
    }
    let next = |candidate: &Candidate<'_>, index: usize| {
        let wanted = candidate.planned_members + 1;
        let (cost, _) = (wanted <= candidate.max_members)
            .then(|| candidate.runs_to_stop(size, wanted))
            .flatten()?;
        Some((cost, index))
    };
    let mut costs: BTreeSet<(u64, usize)> = match remaining {
        0 => BTreeSet::new(),
        _ => order
            .iter()
            .filter_map(|&index| next(&candidates[index], index))
            .collect(),
    };
    while remaining > 0 {
        let (_, index) = costs.pop_first()?;
        candidates[index].planned_members += 1;
        costs.extend(next(&candidates[index], index));
        remaining -= 1;
    }
    let mut plan = Plan::default();
    for candidate in candidates
        .iter()
        .filter(|candidate| candidate.planned_members > 0)
    {
        let id = candidate.host.worker.id.clone();
        let (_, stops) = candidate.runs_to_stop(size, candidate.planned_members)?;
        plan.stops
            .extend(stops.into_iter().map(|key| (id.clone(), key)));
        plan.members.push((id, candidate.planned_members));
    }
    Some(plan)
}

/// Returns what stays free of the scarcest resource after a worker is filled with members, in
/// thousandths of its capacity. Used for best fit: the lowest share comes first.
fn leftover_share(candidate: &Candidate<'_>, size: &Size) -> u64 {
    let total = candidate.host.worker.capacity;
    let remaining = candidate.free - size.times(u64::from(candidate.fitting_members));
    let share = |remaining, total| thousandths(remaining, total).unwrap_or(0);
    share(remaining.millicores, total.millicores)
        .max(share(remaining.memory_mb, total.memory_mb))
        .max(share(remaining.accelerators, total.accelerators))
}
