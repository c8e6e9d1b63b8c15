//! Which workers the advice service is asked about: advice is scarce, and permits lapse.

use std::sync::Arc;

use crate::action::{Action, AdviceRequest};
use crate::job::{Queue, Step};
use crate::place::{Room, allows, room};
use crate::run::StepRun;
use crate::shard::Shard;
use crate::task::StepKey;

/// Most workers named in one question to the advice service.
const ASKED_MAX: usize = 30;

/// Share of workers expected to be good before anything was learned of a queue.
const GOOD_SHARE: f64 = 0.4;

/// Weight of the newest answer in the learned share of good workers.
const SHARE_WEIGHT: f64 = 0.1;

/// Time without a place after which a step keeps its permits valid, in milliseconds.
const STARVED_MS: u64 = 1_000;

/// Starved steps of a pool that keep their permits valid at a time.
const STARVING_MAX: u32 = 3;

/// Room asked for beyond what a step needs, since fewer workers than expected may be good, and
/// others may take the room meanwhile.
const ASK_MARGIN: f64 = 2.0;

/// Most workers named in a question for a gang. Which workers are good doesn't change, so one long
/// call replaces several.
const GANG_ASKED_MAX: usize = 100;

/// Time before its end at which a permit of a planned gang is renewed, in milliseconds: a call takes
/// longer.
const RENEW_BEFORE_MS: u64 = 300;

/// Workers named in a question at least, if there are as many. A worker adds a seventieth of the
/// time of a call, and too few good ones cost another call.
const ASKED_MIN: usize = 12;

/// A worker that the advice service may be asked about.
struct Candidate<'a> {
    id: &'a Arc<str>,
    /// Whether it is held for the step.
    held: bool,
    /// Whether it is known to be good for the step.
    good: bool,
    /// Tasks of the step that it has room for.
    room: u64,
}

impl Candidate<'_> {
    /// Returns a key that is lower the sooner the worker is named. Small tasks are to fill workers
    /// that are partly used, so that whole workers stay free for gangs.
    fn rank(&self, large: bool) -> (bool, bool, bool, u64) {
        let room = if large {
            u64::MAX - self.room
        } else {
            self.room
        };
        (!self.held, !self.good, self.room == 0, room)
    }
}

impl Shard {
    /// Asks the advice service for a step, as long as the pool has room that no earlier step waits
    /// for. Without this bound a crowd of steps asks again and again for workers that are full, and
    /// permits lapse while questions queue.
    pub(crate) fn ask_within(
        &mut self,
        key: StepKey,
        step: &Step,
        queue: &Queue,
        room: &mut Room,
        now_ms: u64,
    ) {
        let Some(run) = self.step_run(key) else {
            return;
        };
        let size = step.demand();
        let need = run.waiting;
        let starved = run
            .blocked_ms
            .is_some_and(|since| now_ms >= since + STARVED_MS);
        if need == 0 {
            return;
        }
        if step.gang {
            self.ask_for_gang(key, step, queue, now_ms);
        }
        // Each of them takes a good part of a VM's questions.
        let renews = starved && room.starving < STARVING_MAX;
        room.starving += u32::from(starved);
        let claims = size.times(u64::from(need)).min(&room.unclaimed);
        if queue.advice.is_some() && !step.gang && size.fits(&room.unclaimed) {
            self.ask(key, step, queue, need as usize, renews, now_ms);
        }
        // What a starved step waits for doesn't become free soon, so it keeps nothing from others.
        if !starved {
            room.unclaimed -= claims;
        }
    }

    /// Asks the advice service for a gang: about workers that it doesn't know, and once it has a plan
    /// about the workers of the plan. Permits of a gang without a plan would lapse unused.
    fn ask_for_gang(&mut self, key: StepKey, step: &Step, queue: &Queue, now_ms: u64) {
        let Some(run) = self.step_run(key).filter(|_| queue.advice.is_some()) else {
            return;
        };
        let workers = if self.holds.is_planned(key) {
            self.without_permit(key, run, now_ms)
        } else if self.holds.is_hopeless(key) || !run.advice.may_ask(now_ms) {
            Vec::new()
        } else {
            self.unknown_to(key, step, queue, run, now_ms)
        };
        if !workers.is_empty() && !run.advice.is_asking() {
            self.put_question(key, queue, workers);
        }
    }

    /// Returns the workers held for a planned gang if a permit lapses soon. All are renewed together:
    /// the gang starts only while all are valid.
    fn without_permit(&self, key: StepKey, run: &StepRun, now_ms: u64) -> Vec<Arc<str>> {
        let held = self.hosts.keys().filter(|id| self.holds.is_for(id, key));
        let held: Vec<Arc<str>> = held.take(GANG_ASKED_MAX).cloned().collect();
        let lapses = |id: &Arc<str>| run.advice.permit(id, now_ms + RENEW_BEFORE_MS).is_none();
        match held.iter().any(lapses) {
            true => held,
            false => Vec::new(),
        }
    }

    /// Returns workers that a gang doesn't know, those with most room first: as many as it needs with
    /// the learned share of good ones, or all if too few have room.
    fn unknown_to(
        &self,
        key: StepKey,
        step: &Step,
        queue: &Queue,
        run: &StepRun,
        now_ms: u64,
    ) -> Vec<Arc<str>> {
        let size = step.demand();
        let share = self.shares.get(&queue.name).copied().unwrap_or(GOOD_SHARE);
        let mut unknown: Vec<(u64, &Arc<str>)> = self
            .hosts
            .iter()
            .filter(|(id, host)| {
                host.worker.pool == queue.pool
                    && host.takes_work(now_ms)
                    && !run.advice.is_good(id)
                    && !run.advice.is_bad(id)
                    && allows(host, step, 0)
                    && size.fits(&host.worker.capacity)
            })
            .map(|(id, host)| {
                let free = self.holds.free(host, key, queue.priority);
                (room(&free, step, &size), id)
            })
            .collect();
        unknown.sort_by(|a, b| b.cmp(a));
        let wanted = f64::from(step.count) * ASK_MARGIN;
        let mut expected = 0.0;
        let mut workers = Vec::new();
        for (room, id) in unknown {
            let enough = expected >= wanted && workers.len() >= ASKED_MIN;
            if enough || workers.len() >= GANG_ASKED_MAX {
                break;
            }
            expected += share * room as f64;
            workers.push(id.clone());
        }
        workers
    }

    fn put_question(&mut self, key: StepKey, queue: &Queue, workers: Vec<Arc<str>>) {
        let Some(terms) = queue.advice else { return };
        if let Some(run) = self.step_run_mut(key) {
            run.advice.ask(workers.clone());
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
    fn ask(
        &mut self,
        key: StepKey,
        step: &Step,
        queue: &Queue,
        need: usize,
        renews: bool,
        now_ms: u64,
    ) {
        let Some(run) = self.step_run(key) else {
            return;
        };
        let advice = &run.advice;
        if !advice.may_ask(now_ms) {
            return;
        }
        let share = self.shares.get(&queue.name).copied().unwrap_or(GOOD_SHARE);
        let size = step.demand();
        let mut candidates: Vec<Candidate<'_>> = self
            .hosts
            .iter()
            .filter(|(id, host)| {
                host.worker.pool == queue.pool
                    && host.takes_work(now_ms)
                    && !advice.is_bad(id)
                    && advice.permit(id, now_ms).is_none()
                    && allows(host, step, 0)
                    && size.fits(&host.worker.capacity)
            })
            .map(|(id, host)| Candidate {
                id,
                held: self.holds.is_for(id, key),
                good: advice.is_good(id),
                room: room(&self.holds.free(host, key, queue.priority), step, &size),
            })
            .collect();
        // A step that starves keeps its permits valid, so that it can take the next room at once.
        let worth = |candidate: &Candidate<'_>| {
            candidate.room > 0 || (renews && (candidate.held || candidate.good))
        };
        if !candidates.iter().any(worth) {
            return;
        }
        candidates.sort_by_key(|candidate| candidate.rank(step.service));
        let mut expected = 0.0;
        let mut workers = Vec::new();
        for Candidate { id, good, room, .. } in candidates {
            let enough = expected >= need as f64 * ASK_MARGIN;
            if (enough && workers.len() >= ASKED_MIN) || workers.len() >= ASKED_MAX {
                break;
            }
            let chance = if good { 1.0 } else { share };
            expected += chance * room as f64;
            workers.push(id.clone());
        }
        if workers.is_empty() {
            return;
        }
        self.put_question(key, queue, workers);
    }

    /// Takes an answer of the advice service: workers that may run the step, with their permits.
    pub fn advice_received(
        &mut self,
        step: StepKey,
        good: Vec<(Arc<str>, Arc<str>)>,
        until_ms: u64,
        now_ms: u64,
    ) {
        let queue = self.jobs.get(&step.job).map(|job| job.queue.clone());
        let Some(run) = self.step_run_mut(step) else {
            return;
        };
        let (asked, good) = run.advice.answered(good, until_ms, now_ms);
        if let Some(queue) = queue
            && asked > 0
        {
            let share = self.shares.entry(queue).or_insert(GOOD_SHARE);
            *share += SHARE_WEIGHT * (good as f64 / asked as f64 - *share);
        }
    }

    /// Notes that the advice service gave no answer.
    pub fn advice_failed(&mut self, step: StepKey, now_ms: u64) {
        if let Some(run) = self.step_run_mut(step) {
            run.advice.unanswered(now_ms);
        }
    }
}
