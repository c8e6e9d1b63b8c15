//! Placement of tasks on workers: short tasks of high priority, large gangs and long-running
//! services share the pools.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rosemaryworks_core::size::{Size, thousandths};

use crate::action::{Action, Order};
use crate::host::{Host, Phase, Run, StartState};
use crate::job::{Queue, Step};
use crate::order::Rank;
use crate::pool_capacity::PoolCapacities;
use crate::run::{Placement, StepRun};
use crate::shard::Shard;
use crate::task::{Key, StepKey};
use crate::team::usage::Charge;

/// Penalty for a worker outside the preferred rack, in thousandths of a worker's size.
const REMOTE_RACK_PENALTY: i64 = 1_500;

/// Penalty for best-effort tasks on a worker with an attempt that reports a metric, as service
/// tasks with a latency target do, in thousandths of a worker's size.
const SERVICE_WORKER_PENALTY: i64 = 3_000;

/// Penalty for each consecutive failure of a worker, in thousandths of a worker's size.
const FAILURE_PENALTY: i64 = 1_000;

/// Tasks that are searched at the cost of one evaluation of a worker.
const TASKS_PER_EVALUATION: usize = 16;

/// Cost of a start in evaluations of a worker.
pub(crate) const START_COST: usize = 16;

/// Steps that are ordered at the cost of one evaluation of a worker.
const RANKS_PER_EVALUATION: usize = 4;

/// Result of placing a step.
enum Placed {
    /// No task of the step waits any more.
    All,
    /// No worker of the pool could run what waits of the step, even an empty one.
    Impossible,
    /// Some tasks of the step still wait.
    Some,
}

impl Shard {
    /// Sets the work that a placement pass may do, in evaluations of one worker for one step. A pass that
    /// has done it ends, and the next one goes on there.
    pub fn set_pass_budget(&mut self, evaluations: u64) {
        self.pass.set_budget(evaluations);
    }

    /// Returns the work that the last pass did, in evaluations of one worker for one step.
    #[must_use]
    pub fn pass_cost(&self) -> u64 {
        self.pass.spent()
    }

    /// Returns whether the last pass was cut short, so that the next one goes on with it.
    #[must_use]
    pub fn has_more_to_place(&self) -> bool {
        self.pass.resume.is_some() || self.reservation_draft.is_some()
    }

    /// Places waiting tasks, in the order of priority and acceptance.
    pub fn place(&mut self, now_ms: u64) {
        self.pass.begin();
        if !self.recovery.is_fenced(now_ms) {
            return;
        }
        self.begin_pass(now_ms);
        self.waiting.refill();
        self.check_parked();
        let order = self.placement_order(now_ms);
        self.pass.charge(order.len() / RANKS_PER_EVALUATION);
        self.reserve(&order, now_ms);
        if order.is_empty() {
            return;
        }
        let mut capacities = self.pool_capacities(now_ms);
        self.place_in_order(&order, &mut capacities, now_ms);
    }

    /// Places the first steps, and those from where the last pass ended.
    fn place_in_order(&mut self, order: &[Rank], capacities: &mut PoolCapacities, now_ms: u64) {
        let began = self.pass.spent();
        let resume = self.pass.resume.take();
        let resume_at = resume.map_or(0, |resume| order.partition_point(|rank| *rank < resume));
        let mut index = 0;
        while let Some(rank) = order.get(index) {
            // A request for advice would be answered before the permits can be used.
            if !self.start_window.has_room() {
                self.pass.resume = resume;
                return;
            }
            // Each pass places one step at least.
            if index > 0 && self.pass.is_exhausted() {
                self.pass.cut_before(*rank);
                return;
            }
            if index > 0 && index < resume_at && self.pass.head_is_spent(began) {
                index = resume_at;
                continue;
            }
            match self.place_step(rank.key, capacities, now_ms) {
                Placed::All => self.waiting.remove(&rank.entry()),
                Placed::Impossible => self.waiting.park(rank.entry()),
                Placed::Some => {}
            }
            index += 1;
        }
        self.waiting.rotate();
    }

    fn place_step(&mut self, key: StepKey, capacities: &mut PoolCapacities, now_ms: u64) -> Placed {
        self.pass.charge(1);
        let Some(job) = self.jobs.get(&key.job) else {
            return Placed::All;
        };
        let (spec, queue) = (job.spec.clone(), job.queue.clone());
        let Some(step) = spec.steps.get(key.step as usize) else {
            return Placed::All;
        };
        let is_recovered = self.recovery.is_complete();
        let Some(run) = self.step_run_mut(key) else {
            return Placed::All;
        };
        if run.waiting == 0 {
            return Placed::All;
        }
        let waiting = run.waiting;
        let is_inherited = run.inherited && !is_recovered;
        if is_inherited && (step.gang || self.recovery.may_run_any_task()) {
            return Placed::Some;
        }
        let Some(queue) = self.queues.get(&queue).cloned() else {
            return Placed::Some;
        };
        let size = step.demand();
        let capacity = capacities.entry(queue.pool.clone()).or_default();
        if capacity.may_fit(step, &size) {
            if step.gang {
                self.place_gang(key, step, &queue, now_ms);
            } else {
                self.place_tasks(key, step, &queue, now_ms);
            }
        }
        let is_placed = |run: &StepRun| run.waiting < waiting;
        if !self.step_run(key).is_some_and(is_placed) && !self.is_possible(step, &queue) {
            if let Some(run) = self.step_run_mut(key) {
                run.blocked_since_ms = None;
            }
            return Placed::Impossible;
        }
        let largest_free = capacity.largest_free;
        let has_room = self.start_window.has_room();
        if has_room {
            self.request_advice(key, step, &queue, capacity, now_ms);
        }
        let is_held_back = self.is_held_back(key);
        match self.step_run_mut(key) {
            // The tasks wait for this owner, not for workers.
            Some(run) if run.waiting > 0 && !has_room => Placed::Some,
            Some(run) if run.waiting > 0 && is_held_back => {
                run.held_back();
                self.note_held_back(key, step, size.fits(&largest_free), now_ms);
                Placed::Some
            }
            Some(run) if run.waiting > 0 => {
                run.blocked_since_ms.get_or_insert(now_ms);
                Placed::Some
            }
            Some(run) => {
                run.blocked_since_ms = None;
                Placed::All
            }
            None => Placed::All,
        }
    }

    fn place_tasks(&mut self, key: StepKey, step: &Step, queue: &Queue, now_ms: u64) {
        let Some(mut index) = self.next_startable(key, 0, now_ms) else {
            return;
        };
        let planned = BTreeMap::new();
        let mut candidates = self.candidates(key, step, queue, now_ms, &planned);
        loop {
            if !self.start_window.has_room() || self.is_held_back(key) {
                return;
            }
            let Some((_, worker)) = candidates.pop_first() else {
                return;
            };
            let attempt = self.next_attempt(key, &[index]);
            self.start_task(&worker, Key { step: key, index }, attempt, step, now_ms);
            self.pass.charge(START_COST);
            // The start changes the score of this worker only.
            let score = self.candidate_score(&worker, key, step, queue, now_ms, &planned);
            candidates.extend(score.map(|score| (score, worker)));
            match self.next_startable(key, index + 1, now_ms) {
                Some(next) => index = next,
                None => return,
            }
        }
    }

    /// Returns the first task of a step from an index on that may be started now.
    fn next_startable(&mut self, key: StepKey, from: u32, now_ms: u64) -> Option<u32> {
        let run = self.step_run(key)?;
        let may_start = |index: &u32| {
            let task = &run.tasks[*index as usize];
            let step = key;
            let may_run = || {
                let key = Key {
                    step,
                    index: *index,
                };
                run.inherited && self.recovery.may_run_silently(&key)
            };
            task.placement == Placement::Waiting && task.not_before_ms <= now_ms && !may_run()
        };
        let count = u32::try_from(run.tasks.len()).unwrap_or(u32::MAX);
        let next = (from..count).find(may_start);
        let seen = next.map_or(count, |next| next + 1).saturating_sub(from);
        self.pass.charge(seen as usize / TASKS_PER_EVALUATION);
        next
    }

    /// Returns an attempt number above those that this owner used and previous owners may have used
    /// for the tasks.
    pub(crate) fn next_attempt(&self, key: StepKey, tasks: &[u32]) -> u32 {
        let Some(job) = self.jobs.get(&key.job) else {
            return 1;
        };
        let step = job
            .occurrences
            .get(&key.occurrence)
            .and_then(|steps| steps.get(key.step as usize));
        let used = tasks.iter().filter_map(|index| {
            let task = step?.tasks.get(*index as usize)?;
            Some(task.attempt)
        });
        // A worker may report any number.
        let highest = used.max().unwrap_or(0).max(job.attempt_floor);
        highest.saturating_add(1)
    }

    /// Returns the workers that may run one more task of a step, in addition to those in `planned`,
    /// the best first.
    pub(crate) fn candidates(
        &mut self,
        key: StepKey,
        step: &Step,
        queue: &Queue,
        now_ms: u64,
        planned: &BTreeMap<Arc<str>, u32>,
    ) -> BTreeSet<(i64, Arc<str>)> {
        if queue.advice.is_none() {
            self.pass.charge(self.hosts.len());
        }
        let with_score = |id: &Arc<str>| {
            let score = self.candidate_score(id, key, step, queue, now_ms, planned)?;
            Some((score, id.clone()))
        };
        match self.step_run(key) {
            None => BTreeSet::new(),
            // Only workers with a permit are of use, a few of hundreds.
            Some(run) if queue.advice.is_some() => run
                .advice
                .permitted(now_ms)
                .filter_map(with_score)
                .collect(),
            Some(_) => self.hosts.keys().filter_map(with_score).collect(),
        }
    }

    /// Returns the score of a worker for one more task of a step; `None` if it may not run one.
    pub(crate) fn candidate_score(
        &self,
        id: &Arc<str>,
        key: StepKey,
        step: &Step,
        queue: &Queue,
        now_ms: u64,
        planned: &BTreeMap<Arc<str>, u32>,
    ) -> Option<i64> {
        let host = self.hosts.get(id)?;
        if host.worker.pool != queue.pool || !host.is_schedulable(now_ms) {
            return None;
        }
        let size = step.demand();
        let planned_here = planned.get(id).copied().unwrap_or(0);
        let free = self.reservations.free(host, key, queue.priority);
        if !size.times(u64::from(planned_here) + 1).fits(&free) {
            return None;
        }
        let colocated = colocated(host, key, step);
        meets_constraints(host, step, colocated + planned_here)
            .then(|| score(host, step, &size) + self.speed_penalty(host, key, step, queue, now_ms))
    }

    pub(crate) fn start_task(
        &mut self,
        worker: &Arc<str>,
        key: Key,
        attempt: u32,
        step: &Step,
        now_ms: u64,
    ) {
        let ttl_ms = self.settings.order_ttl_ms;
        let Some(job) = self.jobs.get(&key.step.job) else {
            return;
        };
        let text = job.spec.text.clone();
        let charge = self.charge(key.step, step.size);
        // Without a reading of the worker's clock no start can be sent.
        let host = self.hosts.get_mut(worker);
        let deadline_ms = host.and_then(|host| host.lease.deadline(now_ms, ttl_ms));
        let (Some(deadline_ms), Some(run)) = (deadline_ms, self.step_run_mut(key.step)) else {
            return;
        };
        let permit = run.advice.permit(worker, now_ms).cloned();
        run.advice.placed();
        let task = &mut run.tasks[key.index as usize];
        task.attempt = attempt;
        let checkpoint = task.checkpoint.clone();
        run.set_placement(key.index, Placement::Assigned(worker.clone()));
        let Some(host) = self.hosts.get_mut(worker) else {
            return;
        };
        host.void_acknowledgement();
        let order = Order {
            worker: worker.clone(),
            address: host.worker.address,
            key,
            attempt,
            text,
            deadline_ms,
            token: host.token(),
            checkpoint,
            permit,
            placed_ms: now_ms,
        };
        if let Charge::Team(team, size) = &charge {
            self.quota.charge(team, *size);
        }
        let run = Run {
            attempt,
            size: step.demand(),
            charge,
            phase: Phase::Starting,
            start: StartState::Sent,
            phase_since_ms: now_ms,
            started_ms: now_ms,
            outcome_ms: None,
            is_same_clock: false,
            carried_out_ms: now_ms,
            percent: 0,
            progressed_ms: now_ms,
            metric: 0.0,
            pace_percent: 100,
            is_pace_known: true,
            token: order.token,
            is_resumed: order.checkpoint.is_some(),
            first_report: None,
        };
        host.insert(key, run);
        self.start_window.sent();
        self.count_started(key.step, step, now_ms);
        self.actions.push(Action::Start(order));
    }
}

/// Returns how many tasks of a step a worker has. Counted only if the step has a limit per worker.
pub(crate) fn colocated(host: &Host, key: StepKey, step: &Step) -> u32 {
    match step.max_per_worker {
        0 => 0,
        _ => host.runs.keys().filter(|run| run.step == key).count() as u32,
    }
}

/// Returns whether a worker that already has `colocated` tasks of a step may run one more.
pub(crate) fn meets_constraints(host: &Host, step: &Step, colocated: u32) -> bool {
    let below_limit = step.max_per_worker == 0 || colocated < step.max_per_worker;
    let has_label = step
        .requires
        .as_ref()
        .is_none_or(|label| host.worker.labels.contains(label));
    below_limit && has_label
}

/// Returns how many tasks of a step, each of `size`, one worker with `free` capacity may run.
pub(crate) fn task_slots(free: &Size, step: &Step, size: &Size) -> u64 {
    let slots = free.count_fitting(size).min(u64::from(step.count));
    match step.max_per_worker {
        0 => slots,
        limit => slots.min(u64::from(limit)),
    }
}

/// Returns the score of a worker for a task; the lowest is the best.
fn score(host: &Host, step: &Step, size: &Size) -> i64 {
    let is_remote = step
        .preferred_rack
        .as_ref()
        .is_some_and(|rack| *rack != host.worker.rack);
    let mut score = i64::from(host.backoff.failures()) * FAILURE_PENALTY;
    if is_remote {
        score += REMOTE_RACK_PENALTY;
    }
    if step.best_effort {
        let has_metric = host.runs.values().any(|run| run.metric > 0.0);
        if has_metric {
            score += SERVICE_WORKER_PENALTY;
        }
        // Best-effort tasks use idle processor time, so they run fastest on the least used worker.
        return score + used_share(host);
    }
    if step.service {
        return score + used_share(host);
    }
    let fit_cost =
        rosemaryworks_core::placement::fit_cost(&host.worker.capacity, &host.free(), size);
    score + i64::try_from(fit_cost).unwrap_or(i64::MAX / 4)
}

/// Returns the used share of a worker's processor time, in thousandths.
fn used_share(host: &Host) -> i64 {
    let total = host.worker.capacity.millicores.max(1);
    let share = thousandths(host.used.millicores, total).unwrap_or(0);
    i64::try_from(share).unwrap_or(1_000)
}
