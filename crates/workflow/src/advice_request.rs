//! Selection of the workers named in requests to the advice service. The capacity of the service is
//! limited and permits expire, so requests are bounded by the free capacity of the pool.

use std::sync::Arc;

use crate::action::{Action, AdviceRequest};
use crate::advice::{Advice, Standing};
use crate::advice_load::AdviceLoad;
use crate::host::Host;
use crate::job::{Queue, Step};
use crate::placement::{colocated, meets_constraints, task_slots};
use crate::pool_capacity::PoolCapacity;
use crate::run::StepRun;
use crate::shard::Shard;
use crate::task::StepKey;

/// Maximum number of workers in a request.
const WORKERS_MAX: usize = 30;

/// Expected share of allowed workers before the first answer for a queue.
const INITIAL_ALLOWED_SHARE: f64 = 0.4;

/// Weight of the newest answer in the moving average of the share of allowed workers.
const SHARE_WEIGHT: f64 = 0.1;

/// Time without placement after which a step counts as starving and keeps its permits valid, in
/// milliseconds.
const STARVED_AFTER_MS: u64 = 1_000;

/// Maximum number of starving steps per pool that keep their permits valid at a time.
const STARVING_STEPS_MAX: u32 = 3;

/// Factor on the capacity that a step needs when workers are chosen: fewer workers than expected
/// may be allowed, and other steps may take the capacity meanwhile.
const CAPACITY_MARGIN: f64 = 2.0;

/// Part of the validity of a permit, as a divisor, in which it should be used.
const VALIDITY_SHARE: u64 = 4;

/// Maximum number of workers in a request for a gang. Decisions about workers are final, so one
/// long call replaces several.
const GANG_WORKERS_MAX: usize = 100;

/// Time before its expiry at which a permit of a planned gang is renewed, in milliseconds. A call
/// takes longer than that, so the permit expires before the answer arrives.
const RENEW_BEFORE_MS: u64 = 300;

/// Minimum number of workers in a request, if the pool has as many. Each worker adds a seventieth
/// of the duration of a call, and too few allowed workers cost another call.
const WORKERS_MIN: usize = 12;

/// A worker that may be named in a request.
struct Candidate<'a> {
    id: &'a Arc<str>,
    /// Position among the workers, which decides between candidates that are alike otherwise.
    order: usize,
    /// Whether capacity on it is reserved for the step.
    reserved: bool,
    /// Whether it is already allowed for the step.
    allowed: bool,
    /// Number of tasks of the step that fit.
    task_slots: u64,
    /// Penalty for its speed.
    speed_penalty: i64,
}

impl Candidate<'_> {
    /// Returns the sort key of the worker; the lowest comes first. Small tasks prefer partly used
    /// workers, so that whole workers stay free for gangs.
    fn rank(&self, prefers_empty: bool) -> (bool, bool, bool, i64, u64, usize) {
        let task_slots = if prefers_empty {
            u64::MAX - self.task_slots
        } else {
            self.task_slots
        };
        (
            !self.reserved,
            !self.allowed,
            self.task_slots == 0,
            self.speed_penalty.signum(),
            task_slots,
            self.order,
        )
    }
}

impl Shard {
    /// Requests advice for a step if the pool has free capacity that no earlier step waits for.
    /// Without this bound a large number of steps would repeatedly request permits for full
    /// workers, and permits would expire while requests wait in the queue.
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
        if needed == 0 || self.is_held_back(key) || !self.admits_advice(queue) {
            return;
        }
        if step.gang {
            self.request_gang_advice(key, step, queue, now_ms);
        }
        // Renewing permits takes a large part of the request capacity of a VM, so only a few steps
        // do it.
        let keeps_permits = is_starving && capacity.starving_steps < STARVING_STEPS_MAX;
        capacity.starving_steps += u32::from(is_starving);
        let claimed = size.times(u64::from(needed)).min(&capacity.unclaimed);
        // Without a worker on which a task fits, a request is of use only to keep permits valid.
        let may_be_useful = keeps_permits || size.fits(&capacity.largest_free);
        let is_advised = self.is_advised(key, now_ms);
        // Permits for more tasks than this owner can start would expire unused.
        let usable_ms = queue.advice.map_or(0, |terms| terms.validity_ms) / VALIDITY_SHARE;
        let is_in_time =
            (capacity.advised_tasks as f64) < self.start_window.expected_answers(usable_ms);
        if queue.advice.is_some()
            && !step.gang
            && may_be_useful
            && (is_advised || is_in_time)
            && size.fits(&capacity.unclaimed)
        {
            self.request_task_advice(key, step, queue, needed as usize, keeps_permits, now_ms);
        }
        if is_advised || self.is_advised(key, now_ms) {
            capacity.advised_tasks += u64::from(needed);
        }
        // The capacity that a starving step waits for doesn't become free soon, so later steps may
        // claim what is free now.
        if !is_starving {
            capacity.unclaimed -= claimed;
        }
    }

    /// Returns whether the load of the advice service leaves room for a request of a queue.
    fn admits_advice(&self, queue: &Queue) -> bool {
        queue.advice.is_none_or(|terms| {
            let cost_ms = terms.call_ms + terms.worker_ms * WORKERS_MIN as f64;
            let load = &self.advice_load;
            load.admits(queue.priority, cost_ms, terms.validity_ms)
        })
    }

    /// Sets the load of the advice service as the VMs reported it.
    pub fn set_advice_load(&mut self, load: AdviceLoad) {
        self.advice_load = load;
    }

    /// Returns whether a step has a valid permit or a request that waits for its answer.
    fn is_advised(&self, key: StepKey, now_ms: u64) -> bool {
        let advice = self.step_run(key).map(|run| &run.advice);
        advice.is_some_and(|advice| {
            advice.is_request_pending() || advice.permitted(now_ms).next().is_some()
        })
    }

    /// Requests advice for a gang: about undecided workers at first, and about the workers of its
    /// plan once it has one. Permits of a gang without a plan would expire unused.
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

    /// Returns the workers reserved for a planned gang if any of their permits expires soon. All
    /// permits are renewed together because the gang starts only while all of them are valid.
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

    /// Returns workers without a decision for a gang, those with most free capacity first. Returns
    /// as many as the gang needs at the observed share of allowed workers, or all if too few have
    /// capacity.
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
        let is_slow = |id: &Arc<str>| {
            let host = self.hosts.get(id);
            host.is_some_and(|host| host.speed.slowness(now_ms) > 1.0)
        };
        undecided.sort_by(|a, b| {
            let rank = |(slots, id): &(u64, &Arc<str>)| (*slots == 0, is_slow(id));
            rank(a).cmp(&rank(b)).then_with(|| b.cmp(a))
        });
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
        let cost_ms = terms.call_ms + terms.worker_ms * workers.len() as f64;
        let wait_max_ms = AdviceLoad::wait_max_ms(queue.priority, terms.validity_ms);
        self.advice_load.sent(cost_ms);
        if let Some(run) = self.step_run_mut(key) {
            run.advice.request_sent(workers.clone());
        }
        self.actions.push(Action::RequestAdvice(AdviceRequest {
            step: key,
            cost_ms,
            workers,
            useful_ms: wait_max_ms.saturating_add(cost_ms as u64),
            priority: queue.priority,
            validity_ms: terms.validity_ms,
        }));
    }

    /// Requests advice about workers with free capacity, if the step needs permits.
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
        self.pass.charge(self.hosts.len());
        let Some(run) = self.step_run(key) else {
            return;
        };
        let advice = &run.advice;
        if !keeps_permits && !self.has_useful_worker(key, step, queue, advice, now_ms) {
            if let Some(run) = self.step_run_mut(key) {
                run.advice.searched_in_vain(now_ms);
            }
            return;
        }
        let slack = self.slack(key, step, queue, now_ms);
        let hosts = self.hosts.iter().enumerate();
        let candidates = hosts.filter_map(|(order, (id, host))| {
            let is_allowed = match advice.standing(id, now_ms) {
                Standing::Allowed => true,
                Standing::Undecided => false,
                Standing::Denied | Standing::Permitted => return None,
            };
            let may_run = host.worker.pool == queue.pool
                && size.fits(&host.worker.capacity)
                && host.is_schedulable(now_ms)
                && meets_constraints(host, step, colocated(host, key, step));
            let free = self.reservations.free(host, key, queue.priority);
            may_run.then(|| Candidate {
                id,
                order,
                reserved: self.reservations.is_reserved_for(id, key),
                allowed: is_allowed,
                task_slots: task_slots(&free, step, &size),
                speed_penalty: slack.penalty(host.speed.slowness(now_ms)),
            })
        });
        let mut candidates: Vec<Candidate<'_>> = candidates.collect();
        // A starving step keeps its permits valid, so that it can use capacity as soon as it
        // becomes free.
        let is_useful = |candidate: &Candidate<'_>| {
            candidate.task_slots > 0 || (keeps_permits && (candidate.reserved || candidate.allowed))
        };
        if !candidates.iter().any(is_useful) {
            return;
        }
        let rank = |candidate: &Candidate<'_>| candidate.rank(step.service);
        if candidates.len() > WORKERS_MAX {
            candidates.select_nth_unstable_by_key(WORKERS_MAX, rank);
            candidates.truncate(WORKERS_MAX);
        }
        candidates.sort_unstable_by_key(rank);
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

    /// Returns whether a request could name a worker on which a task of the step fits now.
    fn has_useful_worker(
        &self,
        key: StepKey,
        step: &Step,
        queue: &Queue,
        advice: &Advice,
        now_ms: u64,
    ) -> bool {
        let size = step.demand();
        let fits = |host: &Host| {
            let free = self.reservations.free(host, key, queue.priority);
            task_slots(&free, step, &size) > 0
        };
        // Most workers fail one of the first conditions, which cost least.
        let is_useful = |(id, host): (&Arc<str>, &Host)| {
            size.fits(&host.free())
                && host.worker.pool == queue.pool
                && matches!(
                    advice.standing(id, now_ms),
                    Standing::Allowed | Standing::Undecided
                )
                && host.is_schedulable(now_ms)
                && meets_constraints(host, step, colocated(host, key, step))
                && fits(host)
        };
        self.hosts.iter().any(is_useful)
    }

    /// Applies an answer of the advice service. `allowed` lists the allowed workers with their
    /// permits, which are valid until `until_ms`.
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

    /// Applies an answer to a request about `requested` that counts as failed.
    pub fn advice_received_late(
        &mut self,
        step: StepKey,
        requested: Vec<Arc<str>>,
        allowed: Vec<(Arc<str>, Arc<str>)>,
        until_ms: u64,
    ) {
        if let Some(run) = self.step_run_mut(step) {
            run.advice.answered_late(requested, allowed, until_ms);
        }
    }

    /// Records that a request was refused because too many are queued at the VMs.
    pub fn advice_refused(&mut self, step: StepKey, now_ms: u64) {
        if let Some(run) = self.step_run_mut(step) {
            run.advice.request_refused(now_ms);
        }
    }

    /// Records that a request to the advice service got no answer.
    pub fn advice_failed(&mut self, step: StepKey, now_ms: u64) {
        if let Some(run) = self.step_run_mut(step) {
            run.advice.request_failed(now_ms);
        }
    }
}
