//! Gangs beside a crowd of small tasks of lower priority.
//!
//! A gang needs room on several workers at one time, and small tasks take each bit of room as it
//! becomes free. A gang that has the next turn gets a plan: workers on which all of its members fit
//! once small tasks of lower priority have been stopped. Only tasks that save their progress are
//! stopped, and each of them once at most.

use std::sync::Arc;

use rosemaryworks_core::size::Size;

use crate::hold::Holds;
use crate::host::{Host, Phase};
use crate::job::{Queue, Step};
use crate::place::allows;
use crate::run::StepRun;
use crate::shard::Shard;
use crate::task::{Key, StepKey};

/// Processor time that an accelerator counts as when the least work is to be stopped, in thousandths
/// of a core.
const ACCELERATOR_MILLICORES: u64 = 8_000;

/// Workers for all members of a gang, and the runs to stop there first.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    /// Members on each worker.
    pub(crate) members: Vec<(Arc<str>, u32)>,
    /// Runs to stop.
    pub(crate) stops: Vec<(Arc<str>, Key)>,
}

/// What can be done for a gang.
#[derive(Debug)]
pub(crate) enum Prospect {
    /// All members fit.
    Complete(Plan),
    /// Some members don't fit yet.
    Incomplete,
    /// The workers that are good for it could not hold it if they were empty.
    Never,
}

/// A worker that members of a gang may run on.
struct Candidate<'a> {
    host: &'a Host,
    /// Members that it could hold if it were empty.
    at_most: u32,
    /// Room that is free, or becomes free by stops that were ordered already.
    free: Size,
    /// Members that fit into `free`.
    fit: u32,
    /// Whether it is held for the gang already. A plan that moves needs other permits.
    held: bool,
    /// Members taken by the plan.
    taken: u32,
    /// Runs that may be stopped, the one with the least progress first.
    victims: Vec<(Key, Size)>,
}

impl Candidate<'_> {
    /// Returns the runs to stop so that `members` fit, with the processor time that they use; none
    /// if stopping all that may be stopped is not enough.
    fn stops(&self, size: &Size, members: u32) -> Option<(u64, Vec<Key>)> {
        let wanted = size.times(u64::from(members));
        let mut free = self.free;
        let mut cost = 0;
        let mut stops = Vec::new();
        for (key, victim) in &self.victims {
            if wanted.fits(&free) {
                break;
            }
            free += *victim;
            cost += victim.millicores + victim.accelerators * ACCELERATOR_MILLICORES;
            stops.push(*key);
        }
        wanted.fits(&free).then_some((cost, stops))
    }
}

impl Shard {
    /// Plans where all members of a gang go, beside what is held for others.
    pub(crate) fn plan(
        &self,
        key: StepKey,
        step: &Step,
        queue: &Queue,
        run: &StepRun,
        holds: &Holds,
        now_ms: u64,
    ) -> Prospect {
        let size = step.demand();
        let mut candidates: Vec<Candidate<'_>> = self
            .hosts
            .values()
            .filter(|host| self.may_hold_member(host, step, queue, run, now_ms))
            .map(|host| self.candidate(host, key, step, queue, &size, holds))
            .collect();
        let most: u32 = candidates.iter().map(|candidate| candidate.at_most).sum();
        if most < step.count {
            // Unless more workers may turn out to be good, it can't run at all.
            return match queue.advice.is_some() && self.has_unknown(queue, run) {
                true => Prospect::Incomplete,
                false => Prospect::Never,
            };
        }
        if step.one_rack
            && let Some(plan) = self.plan_on_one_rack(&mut candidates, step, &size)
        {
            return Prospect::Complete(plan);
        }
        match fill(&mut candidates, step.count, &size) {
            Some(plan) => Prospect::Complete(plan),
            None => Prospect::Incomplete,
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
        // The rack near the data comes first.
        racks.sort_by_key(|rack| step.preferred_rack.as_ref() != Some(rack));
        for rack in racks {
            let on_rack = |candidate: &Candidate<'_>| candidate.host.worker.rack == rack;
            let count = move_to_front(candidates, on_rack);
            if let Some(plan) = fill(&mut candidates[..count], step.count, size) {
                return Some(plan);
            }
        }
        None
    }

    /// Tells whether a worker may run members of a gang, whatever room it has now.
    fn may_hold_member(
        &self,
        host: &Host,
        step: &Step,
        queue: &Queue,
        run: &StepRun,
        now_ms: u64,
    ) -> bool {
        let id = &host.worker.id;
        host.worker.pool == queue.pool
            && host.takes_work(now_ms)
            && allows(host, step, 0)
            && (queue.advice.is_none() || run.advice.is_good(id))
    }

    /// Tells whether workers of the pool are not known to be good or bad for a step.
    fn has_unknown(&self, queue: &Queue, run: &StepRun) -> bool {
        self.hosts.iter().any(|(id, host)| {
            host.worker.pool == queue.pool
                && host.listed
                && !run.advice.is_good(id)
                && !run.advice.is_bad(id)
        })
    }

    fn candidate<'a>(
        &self,
        host: &'a Host,
        key: StepKey,
        step: &Step,
        queue: &Queue,
        size: &Size,
        holds: &Holds,
    ) -> Candidate<'a> {
        let spread = match step.max_per_worker {
            0 => u32::MAX,
            spread => spread,
        };
        // Tasks without a size fit without limit, and sums of such numbers would overflow.
        let most = spread.min(step.count);
        let members = |room: &Size| {
            u32::try_from(room.count_fitting(size))
                .unwrap_or(u32::MAX)
                .min(most)
        };
        let mut stopping = Size::ZERO;
        let mut victims = Vec::new();
        for (run_key, run) in &host.runs {
            match run.phase {
                Phase::Stopping => stopping += run.size,
                Phase::Running if self.may_stop_for(*run_key, queue.priority) => {
                    victims.push((run.percent, *run_key, run.size));
                }
                _ => {}
            }
        }
        victims.sort_by_key(|(percent, run_key, _)| (*percent, *run_key));
        let victims = victims
            .into_iter()
            .map(|(_, run_key, size)| (run_key, size));
        let used = host.used - stopping;
        let free =
            (host.worker.capacity - used) - holds.of_others(&host.worker.id, key, queue.priority);
        Candidate {
            host,
            at_most: members(&host.worker.capacity),
            free,
            fit: members(&free),
            held: self.holds.is_for(&host.worker.id, key),
            taken: 0,
            victims: victims.collect(),
        }
    }

    /// Tells whether a run may be stopped for work of `priority`.
    fn may_stop_for(&self, key: Key, priority: u32) -> bool {
        let Some(job) = self.jobs.get(&key.step.job) else {
            return false;
        };
        let lower = self
            .queues
            .get(&job.queue)
            .is_some_and(|queue| queue.priority > priority);
        let small = job
            .spec
            .steps
            .get(key.step.step as usize)
            .is_some_and(|step| step.checkpoints && !step.gang && !step.service);
        let fresh = self
            .step_run(key.step)
            .and_then(|run| run.tasks.get(key.index as usize))
            .is_some_and(|task| !task.preempted);
        lower && small && fresh
    }

    /// Stops the runs of a plan.
    pub(crate) fn preempt(&mut self, stops: Vec<(Arc<str>, Key)>, now_ms: u64) {
        for (worker, key) in stops {
            if let Some(run) = self.step_run_mut(key.step)
                && let Some(task) = run.tasks.get_mut(key.index as usize)
            {
                task.preempted = true;
            }
            self.stop(&worker, key, now_ms);
        }
    }
}

/// Moves the candidates that satisfy a predicate to the front. Returns their number.
fn move_to_front(
    candidates: &mut [Candidate<'_>],
    predicate: impl Fn(&Candidate<'_>) -> bool,
) -> usize {
    candidates.sort_by_key(|candidate| !predicate(candidate));
    candidates.iter().filter(|c| predicate(c)).count()
}

/// Distributes `count` members: into free room first, on the workers that they fill best, then where
/// the least work has to be stopped.
fn fill(candidates: &mut [Candidate<'_>], count: u32, size: &Size) -> Option<Plan> {
    for candidate in candidates.iter_mut() {
        candidate.taken = 0;
    }
    let mut left = count;
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|&index| (!candidates[index].held, rest(&candidates[index], size)));
    for &index in &order {
        let candidate = &mut candidates[index];
        candidate.taken = candidate.fit.min(left);
        left -= candidate.taken;
    }
    while left > 0 {
        let cheapest = order.iter().copied().filter_map(|index| {
            let candidate = &candidates[index];
            let wanted = candidate.taken + 1;
            let (cost, _) = (wanted <= candidate.at_most)
                .then(|| candidate.stops(size, wanted))
                .flatten()?;
            Some((cost, index))
        });
        let (_, index) = cheapest.min()?;
        candidates[index].taken += 1;
        left -= 1;
    }
    let mut plan = Plan::default();
    for candidate in candidates.iter().filter(|candidate| candidate.taken > 0) {
        let id = candidate.host.worker.id.clone();
        let (_, stops) = candidate.stops(size, candidate.taken)?;
        plan.stops
            .extend(stops.into_iter().map(|key| (id.clone(), key)));
        plan.members.push((id, candidate.taken));
    }
    Some(plan)
}

/// Returns what is left of the scarcest resource once a worker is filled, in thousandths of its
/// capacity. Workers that are filled best come first.
fn rest(candidate: &Candidate<'_>, size: &Size) -> u64 {
    let total = candidate.host.worker.capacity;
    let left = candidate.free - size.times(u64::from(candidate.fit));
    let share = |left: u64, total: u64| (left * 1_000).checked_div(total).unwrap_or(0);
    share(left.millicores, total.millicores)
        .max(share(left.memory_mb, total.memory_mb))
        .max(share(left.accelerators, total.accelerators))
}
