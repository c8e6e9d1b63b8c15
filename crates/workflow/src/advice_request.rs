//! Which workers the advice service is asked about: advice is scarce, and permits lapse.

use std::sync::Arc;

use crate::action::{Action, AdviceRequest};
use crate::job::{Queue, Step};
use crate::placement::{PoolCapacity, meets_constraints, task_slots};
use crate::run::StepRun;
use crate::shard::Shard;
use crate::task::StepKey;

/// Most workers named in one question to the advice service.
const WORKERS_MAX: usize = 30;

/// Share of workers expected to be good before anything was learned of a queue.
const INITIAL_ALLOWED_SHARE: f64 = 0.4;

/// Weight of the newest answer in the learned share of good workers.
const SHARE_WEIGHT: f64 = 0.1;

/// Time without a place after which a step keeps its permits valid, in milliseconds.
const STARVED_AFTER_MS: u64 = 1_000;

/// Starved steps of a pool that keep their permits valid at a time.
const STARVING_STEPS_MAX: u32 = 3;

/// Room asked for beyond what a step needs, since fewer workers than expected may be good, and
/// others may take the room meanwhile.
const CAPACITY_MARGIN: f64 = 2.0;

/// Most workers named in a question for a gang. Which workers are good doesn't change, so one long
/// call replaces several.
const GANG_WORKERS_MAX: usize = 100;

/// Time before its end at which a permit of a planned gang is renewed, in milliseconds: a call takes
/// longer.
const RENEW_BEFORE_MS: u64 = 300;

/// Workers named in a question at least, if there are as many. A worker adds a seventieth of the
/// time of a call, and too few good ones cost another call.
const WORKERS_MIN: usize = 12;

/// A worker that the advice service may be asked about.
struct Candidate<'a> {
    id: &'a Arc<str>,
    /// Whether it is held for the step.
    reserved: bool,
    /// Whether it is known to be good for the step.
    allowed: bool,
    /// Tasks of the step that it has room for.
    task_slots: u64,
}

impl Candidate<'_> {
    /// Returns a key that is lower the sooner the worker is named. Small tasks are to fill workers
    /// that are partly used, so that whole workers stay free for gangs.
    fn rank(&self, prefers_empty: bool) -> (bool, bool, bool, u64) {
        let task_slots = if prefers_empty {
            u64::MAX - self.task_slots
        } else {
            self.task_slots
        };
        (
            !self.reserved,
            !self.allowed,
            self.task_slots == 0,
            task_slots,
        )
    }
}

impl Shard {
    /// Asks the advice service for a step, as long as the pool has room that no earlier step waits
    /// for. Without this bound a crowd of steps asks again and again for workers that are full, and
    /// permits lapse while questions queue.
    pub(crate) fn request_advice(
        &mut self,
        key: StepKey,
        step: &Step,
        queue: &Queue,
        capacity: &mut PoolCapacity,
        now_ms: u64,
    ) {
        let Some(run) = self.step_run(key) else {
            return;
        };
        let size = step.demand();
        let needed = run.waiting;
        let is_starving = run
            .blocked_since_ms
            .is_some_and(|since| now_ms >= since + STARVED_AFTER_MS);
        if needed == 0 {
            return;
        }
        if step.gang {
            self.request_gang_advice(key, step, queue, now_ms);
        }
        // Each of them takes a good part of a VM's questions.
        let keeps_permits = is_starving && capacity.starving_steps < STARVING_STEPS_MAX;
        capacity.starving_steps += u32::from(is_starving);
        let claimed = size.times(u64::from(needed)).min(&capacity.unclaimed);
        if queue.advice.is_some() && !step.gang && size.fits(&capacity.unclaimed) {
            self.request_task_advice(key, step, queue, needed as usize, keeps_permits, now_ms);
        }
        // What a starved step waits for doesn't become free soon, so it keeps nothing from others.
        if !is_starving {
            capacity.unclaimed -= claimed;
        }
    }

    /// Asks the advice service for a gang: about workers that it doesn't know, and once it has a plan
    /// about the workers of the plan. Permits of a gang without a plan would lapse unused.
    fn request_gang_advice(&mut self, key: StepKey, step: &Step, queue: &Queue, now_ms: u64) {
        let Some(run) = self.step_run(key).filter(|_| queue.advice.is_some()) else {
            return;
        };
        let workers = if self.reservations.is_planned(key) {
            self.planned_workers_to_renew(key, run, now_ms)
        } else if self.reservations.is_infeasible(key) || !run.advice.may_request(now_ms) {
            Vec::new()
        } else {
            self.undecided_workers(key, step, queue, run, now_ms)
        };
        if !workers.is_empty() && !run.advice.is_request_pending() {
            self.send_advice_request(key, queue, workers);
        }
    }

    /// Returns the workers held for a planned gang if a permit lapses soon. All are renewed together:
    /// the gang starts only while all are valid.
    fn planned_workers_to_renew(&self, key: StepKey, run: &StepRun, now_ms: u64) -> Vec<Arc<str>> {
        let reserved = self
            .hosts
            .keys()
            .filter(|id| self.reservations.is_reserved_for(id, key));
        let reserved: Vec<Arc<str>> = reserved.take(GANG_WORKERS_MAX).cloned().collect();
        let expires_soon =
            |id: &Arc<str>| run.advice.permit(id, now_ms + RENEW_BEFORE_MS).is_none();
        match reserved.iter().any(expires_soon) {
            true => reserved,
            false => Vec::new(),
        }
    }

    /// Returns workers that a gang doesn't know, those with most room first: as many as it needs with
    /// the learned share of good ones, or all if too few have room.
    fn undecided_workers(
        &self,
        key: StepKey,
        step: &Step,
        queue: &Queue,
        run: &StepRun,
        now_ms: u64,
    ) -> Vec<Arc<str>> {
        let size = step.demand();
        let share = self
            .allowed_shares
            .get(&queue.name)
            .copied()
            .unwrap_or(INITIAL_ALLOWED_SHARE);
        let mut undecided: Vec<(u64, &Arc<str>)> = self
            .hosts
            .iter()
            .filter(|(id, host)| {
                host.worker.pool == queue.pool
                    && host.is_schedulable(now_ms)
                    && !run.advice.is_allowed(id)
                    && !run.advice.is_denied(id)
                    && meets_constraints(host, step, 0)
                    && size.fits(&host.worker.capacity)
            })
            .map(|(id, host)| {
                let free = self.reservations.free(host, key, queue.priority);
                (task_slots(&free, step, &size), id)
            })
            .collect();
        undecided.sort_by(|a, b| b.cmp(a));
        let wanted_slots = f64::from(step.count) * CAPACITY_MARGIN;
        let mut expected_slots = 0.0;
        let mut workers = Vec::new();
        for (task_slots, id) in undecided {
            let has_enough = expected_slots >= wanted_slots && workers.len() >= WORKERS_MIN;
            if has_enough || workers.len() >= GANG_WORKERS_MAX {
                break;
            }
            expected_slots += share * task_slots as f64;
            workers.push(id.clone());
        }
        workers
    }

    fn send_advice_request(&mut self, key: StepKey, queue: &Queue, workers: Vec<Arc<str>>) {
        let Some(terms) = queue.advice else { return };
        if let Some(run) = self.step_run_mut(key) {
            run.advice.request_sent(workers.clone());
        }
        self.actions.push(Action::RequestAdvice(AdviceRequest {
            step: key,
            cost_ms: terms.call_ms + terms.worker_ms * workers.len() as f64,
            workers,
            priority: queue.priority,
            validity_ms: terms.validity_ms,
        }));
    }

    /// Asks the advice service about workers with room, if the step needs advice.
    fn request_task_advice(
        &mut self,
        key: StepKey,
        step: &Step,
        queue: &Queue,
        needed: usize,
        keeps_permits: bool,
        now_ms: u64,
    ) {
        let Some(run) = self.step_run(key) else {
            return;
        };
        let advice = &run.advice;
        if !advice.may_request(now_ms) {
            return;
        }
        let share = self
            .allowed_shares
            .get(&queue.name)
            .copied()
            .unwrap_or(INITIAL_ALLOWED_SHARE);
        let size = step.demand();
        let mut candidates: Vec<Candidate<'_>> = self
            .hosts
            .iter()
            .filter(|(id, host)| {
                host.worker.pool == queue.pool
                    && host.is_schedulable(now_ms)
                    && !advice.is_denied(id)
                    && advice.permit(id, now_ms).is_none()
                    && meets_constraints(host, step, 0)
                    && size.fits(&host.worker.capacity)
            })
            .map(|(id, host)| Candidate {
                id,
                reserved: self.reservations.is_reserved_for(id, key),
                allowed: advice.is_allowed(id),
                task_slots: task_slots(
                    &self.reservations.free(host, key, queue.priority),
                    step,
                    &size,
                ),
            })
            .collect();
        // A step that starves keeps its permits valid, so that it can take the next room at once.
        let is_useful = |candidate: &Candidate<'_>| {
            candidate.task_slots > 0 || (keeps_permits && (candidate.reserved || candidate.allowed))
        };
        if !candidates.iter().any(is_useful) {
            return;
        }
        candidates.sort_by_key(|candidate| candidate.rank(step.service));
        let mut expected_slots = 0.0;
        let mut workers = Vec::new();
        for Candidate {
            id,
            allowed,
            task_slots,
            ..
        } in candidates
        {
            let has_enough = expected_slots >= needed as f64 * CAPACITY_MARGIN;
            if (has_enough && workers.len() >= WORKERS_MIN) || workers.len() >= WORKERS_MAX {
                break;
            }
            let probability = if allowed { 1.0 } else { share };
            expected_slots += probability * task_slots as f64;
            workers.push(id.clone());
        }
        if workers.is_empty() {
            return;
        }
        self.send_advice_request(key, queue, workers);
    }

    /// Takes an answer of the advice service: workers that may run the step, with their permits.
    pub fn advice_received(
        &mut self,
        step: StepKey,
        allowed: Vec<(Arc<str>, Arc<str>)>,
        until_ms: u64,
        now_ms: u64,
    ) {
        let queue = self.jobs.get(&step.job).map(|job| job.queue.clone());
        let Some(run) = self.step_run_mut(step) else {
            return;
        };
        let (requested, allowed) = run.advice.answered(allowed, until_ms, now_ms);
        if let Some(queue) = queue
            && requested > 0
        {
            let share = self
                .allowed_shares
                .entry(queue)
                .or_insert(INITIAL_ALLOWED_SHARE);
            *share += SHARE_WEIGHT * (allowed as f64 / requested as f64 - *share);
        }
    }

    /// Notes that the advice service gave no answer.
    pub fn advice_failed(&mut self, step: StepKey, now_ms: u64) {
        if let Some(run) = self.step_run_mut(step) {
            run.advice.request_failed(now_ms);
        }
    }
}
