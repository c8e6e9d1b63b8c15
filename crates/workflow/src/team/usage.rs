//! What teams use: counted for each worker as attempts start and end, summed up once per placement
//! pass.

use std::collections::BTreeMap;
use std::sync::Arc;

use foldhash::HashMap;
use rosemaryworks_core::size::Size;

use crate::host::{Host, Liveness, Run};
use crate::run::{Job, Placement};
use crate::shard::Shard;
use crate::task::StepKey;
use crate::waiting::Entry;

/// Whose use of resources an attempt counts as. The size is that of the task's request, which for
/// best-effort tasks includes the processor time that they don't occupy.
#[derive(Clone, Debug)]
pub(crate) enum Charge {
    /// The job has no team.
    Nobody,
    /// The job has this team.
    Team(Arc<str>, Size),
    /// The job has not been read, so the attempt may belong to any team.
    Unknown(Size),
}

/// What a team uses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct TeamUse {
    /// Sizes that count towards the cap.
    pub(crate) charged: Size,
    /// Capacity that is occupied on workers.
    pub(crate) occupied: Size,
}

/// What the attempts of one worker use, by team.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    teams: Vec<(Arc<str>, TeamUse)>,
    unknown: Size,
}

impl Tally {
    pub(crate) fn of<'a>(runs: impl Iterator<Item = &'a Run>) -> Self {
        let mut tally = Self::default();
        runs.for_each(|run| tally.add(run));
        tally
    }

    pub(crate) fn add(&mut self, run: &Run) {
        let (team, size) = match &run.charge {
            Charge::Nobody => return,
            Charge::Team(team, size) => (team, size),
            Charge::Unknown(size) => {
                self.unknown += *size;
                return;
            }
        };
        let index = match self.teams.iter().position(|(name, _)| name == team) {
            Some(index) => index,
            None => {
                self.teams.push((team.clone(), TeamUse::default()));
                self.teams.len() - 1
            }
        };
        let entry = &mut self.teams[index].1;
        entry.charged += *size;
        entry.occupied += run.size;
    }
}

/// What the pools of a shard hold, for one placement pass.
#[derive(Debug, Default)]
pub(crate) struct PoolUse {
    /// Capacity of the workers that answer.
    pub(crate) capacity: Size,
    /// Capacity on them that no attempt occupies.
    pub(crate) free: Size,
    /// What the attempts of each team use.
    pub(crate) teams: HashMap<Arc<str>, TeamUse>,
    /// Size of the waiting tasks of each team.
    pub(crate) waiting: HashMap<Arc<str>, Size>,
}

/// What all teams use and wait for, for one placement pass.
#[derive(Debug, Default)]
pub(crate) struct Survey {
    pub(crate) pools: BTreeMap<Arc<str>, PoolUse>,
    /// Sizes of the attempts of each team, which count towards its cap.
    pub(crate) charged: HashMap<Arc<str>, Size>,
    /// What workers that have not reported may run, by team.
    pub(crate) unreported: HashMap<Arc<str>, Size>,
    /// What may belong to any team, which counts for all.
    pub(crate) unknown: Size,
}

impl Survey {
    fn add_host(&mut self, host: &Host) {
        if !self.pools.contains_key(&host.worker.pool) {
            let pool = host.worker.pool.clone();
            self.pools.insert(pool, PoolUse::default());
        }
        let Some(pool) = self.pools.get_mut(&host.worker.pool) else {
            return;
        };
        if host.liveness != Liveness::Unresponsive && host.listed {
            pool.capacity += host.worker.capacity;
            pool.free += host.free();
        }
        self.unknown += host.tally.unknown;
        for (team, used) in &host.tally.teams {
            let entry = match pool.teams.get_mut(team) {
                Some(entry) => entry,
                None => pool.teams.entry(team.clone()).or_default(),
            };
            entry.charged += used.charged;
            entry.occupied += used.occupied;
        }
    }
}

fn add(sizes: &mut HashMap<Arc<str>, Size>, team: &Arc<str>, size: Size) {
    match sizes.get_mut(team) {
        Some(sum) => *sum += size,
        None => drop(sizes.insert(team.clone(), size)),
    }
}

impl Shard {
    /// Returns whose use an attempt of a step counts as. `size` is that of an attempt whose job is
    /// unknown.
    pub(crate) fn charge(&self, key: StepKey, size: Size) -> Charge {
        let Some(step) = self.step_spec(key) else {
            return Charge::Unknown(size);
        };
        match self
            .jobs
            .get(&key.job)
            .and_then(|job| job.spec.team.clone())
        {
            Some(team) => Charge::Team(team, step.size),
            None => Charge::Nobody,
        }
    }

    /// Returns what the teams use and wait for.
    pub(crate) fn survey(&self) -> Survey {
        let mut survey = Survey::default();
        for host in self.hosts.values() {
            survey.add_host(host);
        }
        for pool in survey.pools.values() {
            for (team, used) in &pool.teams {
                add(&mut survey.charged, team, used.charged);
            }
        }
        for Entry { key, .. } in self.waiting.ready() {
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            let (Some(team), Some(queue), Some(step), Some(run)) = (
                &job.spec.team,
                self.queues.get(&job.queue),
                job.spec.steps.get(key.step as usize),
                job.step_run(*key),
            ) else {
                continue;
            };
            if let Some(pool) = survey.pools.get_mut(&queue.pool) {
                let waiting = step.demand().times(u64::from(run.waiting));
                add(&mut pool.waiting, team, waiting);
            }
        }
        self.add_unreported(&mut survey);
        survey
    }

    /// Adds what workers that have not reported since the takeover may run: no more than their
    /// capacity, and no more than the team's open tasks that a previous owner may have started.
    fn add_unreported(&self, survey: &mut Survey) {
        if self.recovery.is_complete() {
            return;
        }
        let mut capacity = Size::ZERO;
        for (id, host) in &self.hosts {
            if self.recovery.may_run_attempts(id) && !self.recovery.is_silent(id) {
                capacity += host.worker.capacity;
            }
        }
        if self.recovery.predecessors_may_start() {
            // Some jobs that a previous owner may have started have not been read.
            survey.unknown += capacity;
        }
        for (team, open) in self.open_inherited() {
            let may_run = open.occupying.min(&capacity);
            add(&mut survey.unreported, &team, may_run);
            // Best-effort tasks are not limited by the processor time of a worker.
            if capacity != Size::ZERO {
                add(&mut survey.unreported, &team, open.best_effort);
            }
        }
        for task in self.recovery.silent_tasks() {
            let is_waiting = self
                .step_run(task.step)
                .and_then(|run| run.tasks.get(task.index as usize))
                .is_none_or(|task| task.placement == Placement::Waiting);
            match self.charge(task.step, Size::ZERO) {
                Charge::Team(team, size) if is_waiting => add(&mut survey.unreported, &team, size),
                _ => {}
            }
        }
    }

    /// Returns the sizes of the open tasks of each team that a previous owner may have started.
    fn open_inherited(&self) -> HashMap<Arc<str>, Inherited> {
        let mut open: HashMap<Arc<str>, Inherited> = HashMap::default();
        let jobs = self.jobs.values().filter(|job| !job.is_ended());
        for job in jobs {
            let Some(team) = job.spec.team.as_ref().filter(|_| job.inherited) else {
                continue;
            };
            let sum = Inherited::of(job);
            let entry = open.entry(team.clone()).or_default();
            entry.best_effort += sum.best_effort;
            entry.occupying += sum.occupying;
        }
        open
    }
}

/// Sizes of open tasks that a previous owner may have started.
#[derive(Default)]
struct Inherited {
    best_effort: Size,
    occupying: Size,
}

impl Inherited {
    fn of(job: &Job) -> Self {
        let mut sum = Self::default();
        for runs in job.occurrences.values() {
            let steps = job.spec.steps.iter().zip(runs);
            for (step, run) in steps.filter(|(_, run)| run.inherited) {
                let size = step.size.times(u64::from(run.waiting));
                match step.best_effort {
                    true => sum.best_effort += size,
                    false => sum.occupying += size,
                }
            }
        }
        sum
    }
}
