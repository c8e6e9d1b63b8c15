//! Where work goes: an urgent crowd of short tasks beside large gangs and tasks that last.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemaryworks_core::size::Size;

use crate::action::{Action, Ask, Order};
use crate::host::{Host, Phase, Run};
use crate::job::{Queue, Step};
use crate::run::Place;
use crate::shard::{Shard, Turn};
use crate::task::{Key, StepKey};

/// Most workers named in one question to the advice service.
const ASKED_MAX: usize = 30;

/// Share of workers expected to be good before anything was learned of a queue.
const GOOD_SHARE: f64 = 0.4;

/// Weight of the newest answer in the learned share of good workers.
const SHARE_WEIGHT: f64 = 0.1;

/// Time without a place after which a step keeps its permits valid, in milliseconds.
const STARVED_MS: u64 = 1_000;

/// Room asked for beyond what a step needs, since fewer workers than expected may be good, and
/// others may take the room meanwhile.
const ASK_MARGIN: f64 = 2.0;

/// Workers named in a question at least, if there are as many. A worker adds a seventieth of the
/// time of a call, and too few good ones cost another call.
const ASKED_MIN: usize = 12;

/// Penalty of a worker far from the data, in thousandths of a worker's size.
const FAR_PENALTY: i64 = 1_500;

/// Penalty of a worker that serves tasks with a target, for tasks that fill.
const SERVING_PENALTY: i64 = 3_000;

/// Penalty for each failure in a row of a worker.
const FAILURE_PENALTY: i64 = 1_000;

/// Room of a pool during one pass over the waiting steps.
#[derive(Clone, Copy, Debug, Default)]
struct Room {
    /// Largest free amount of each resource on one worker, at most.
    largest: Size,
    /// Free room that no earlier step of the pass waits for, counted twice: of the workers with
    /// room only some are good for a step.
    unclaimed: Size,
}

type Rooms = BTreeMap<Arc<str>, Room>;

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

/// What became of a step that was looked at.
enum Placed {
    /// No task of it waits any more.
    All,
    /// Some tasks still wait.
    Some,
}

impl Shard {
    /// Places what waits, in the order of priority and age.
    pub fn place(&mut self, now_ms: u64) {
        if !self.recovery.is_fenced(now_ms) {
            return;
        }
        self.hold(now_ms);
        let mut rooms = self.rooms(now_ms);
        let turns: Vec<Turn> = self.ready.iter().copied().collect();
        for turn in turns {
            if let Placed::All = self.place_step(turn.2, &mut rooms, now_ms) {
                self.ready.remove(&turn);
            }
        }
    }

    /// Sums up the room of each pool.
    fn rooms(&self, now_ms: u64) -> Rooms {
        let mut rooms = Rooms::new();
        for host in self.hosts.values().filter(|host| host.takes_work(now_ms)) {
            let room = rooms.entry(host.worker.pool.clone()).or_default();
            let free = host.free();
            room.largest = room.largest.max(&free);
            room.unclaimed += free.times(2);
        }
        rooms
    }

    fn place_step(&mut self, key: StepKey, rooms: &mut Rooms, now_ms: u64) -> Placed {
        let Some(job) = self.jobs.get(&key.job) else {
            return Placed::All;
        };
        let (spec, queue) = (job.spec.clone(), job.queue.clone());
        let Some(step) = spec.steps.get(key.step as usize) else {
            return Placed::All;
        };
        let settled = self.recovery.is_settled();
        let Some(run) = self.step_run_mut(key) else {
            return Placed::All;
        };
        if run.waiting == 0 {
            return Placed::All;
        }
        if run.inherited && !settled {
            return Placed::Some;
        }
        let Some(queue) = self.queues.get(&queue).cloned() else {
            return Placed::Some;
        };
        let size = step.footprint();
        let room = rooms.entry(queue.pool.clone()).or_default();
        if size.fits(&room.largest) {
            if step.gang {
                self.place_gang(key, step, &queue, now_ms);
            } else {
                self.place_tasks(key, step, &queue, now_ms);
            }
        }
        self.ask_within(key, step, &queue, room, now_ms);
        match self.step_run_mut(key) {
            Some(run) if run.waiting > 0 => {
                run.blocked_ms.get_or_insert(now_ms);
                Placed::Some
            }
            Some(run) => {
                run.blocked_ms = None;
                Placed::All
            }
            None => Placed::All,
        }
    }

    fn place_tasks(&mut self, key: StepKey, step: &Step, queue: &Queue, now_ms: u64) {
        let due: Vec<u32> = match self.step_run_mut(key) {
            Some(run) => (0..step.count)
                .filter(|&index| {
                    let task = &run.tasks[index as usize];
                    task.place == Place::Waiting && task.not_before_ms <= now_ms
                })
                .collect(),
            None => return,
        };
        for index in &due {
            let Some(worker) = self.best(key, step, queue, now_ms, &BTreeMap::new()) else {
                return;
            };
            let attempt = self.next_attempt(key, &[*index]);
            self.start(
                &worker,
                Key {
                    step: key,
                    index: *index,
                },
                attempt,
                step,
                now_ms,
            );
        }
    }

    /// Returns an attempt that none of these tasks has used.
    fn next_attempt(&self, key: StepKey, tasks: &[u32]) -> u32 {
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
        used.max().unwrap_or(0).max(job.attempt_floor) + 1
    }

    fn place_gang(&mut self, key: StepKey, step: &Step, queue: &Queue, now_ms: u64) {
        let Some(run) = self.step_run_mut(key) else {
            return;
        };
        if run.waiting < step.count {
            self.break_up(key, now_ms);
            return;
        }
        if run.tasks.iter().any(|task| task.not_before_ms > now_ms) {
            return;
        }
        let members: Vec<u32> = (0..step.count).collect();
        let attempt = self.next_attempt(key, &members);
        let mut taken: BTreeMap<Arc<str>, u32> = BTreeMap::new();
        let mut workers = Vec::new();
        let mut rack = None;
        for _ in 0..step.count {
            let near = rack.clone().filter(|_| step.one_rack);
            let wanted = Step {
                near: near.or_else(|| step.near.clone()),
                ..step.clone()
            };
            let Some(worker) = self.best(key, &wanted, queue, now_ms, &taken) else {
                return;
            };
            rack = self.hosts.get(&worker).map(|host| host.worker.rack.clone());
            *taken.entry(worker.clone()).or_default() += 1;
            workers.push(worker);
        }
        let saved = self.step_run_mut(key).and_then(|run| {
            let saved = run.tasks.iter().filter_map(|task| task.saved.clone());
            saved.max()
        });
        for (index, worker) in workers.into_iter().enumerate() {
            let index = index as u32;
            if let Some(run) = self.step_run_mut(key) {
                run.tasks[index as usize].saved = saved.clone();
            }
            self.start(&worker, Key { step: key, index }, attempt, step, now_ms);
        }
    }

    /// Stops the members that are left of a gang that has lost one.
    fn break_up(&mut self, key: StepKey, now_ms: u64) {
        let Some(run) = self.step_run_mut(key) else {
            return;
        };
        let mut members = Vec::new();
        for (index, task) in run.tasks.iter().enumerate() {
            if let Place::On(worker) = &task.place {
                members.push((worker.clone(), index as u32));
            }
        }
        for (worker, index) in members {
            self.stop(&worker, Key { step: key, index }, now_ms);
        }
    }

    /// Returns the best worker for one more task of a step, beside those already `taken`.
    fn best(
        &self,
        key: StepKey,
        step: &Step,
        queue: &Queue,
        now_ms: u64,
        taken: &BTreeMap<Arc<str>, u32>,
    ) -> Option<Arc<str>> {
        let on = self.tasks_on(key, step);
        let run = &self.step_run(key)?.advice;
        let size = step.footprint();
        let mut best: Option<(i64, &Arc<str>)> = None;
        for (id, host) in &self.hosts {
            if host.worker.pool != queue.pool || !host.takes_work(now_ms) {
                continue;
            }
            if queue.advice.is_some() && run.permit(id, now_ms).is_none() {
                continue;
            }
            let also = taken.get(id).copied().unwrap_or(0);
            let crowd = on.get(id).copied().unwrap_or(0) + also;
            if !allows(host, step, crowd)
                || !size
                    .times(u64::from(also) + 1)
                    .fits(&self.holds.free(host, key))
            {
                continue;
            }
            let score = score(host, step, &size);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    /// Counts the tasks of a step on each worker, if their number is limited.
    fn tasks_on(&self, key: StepKey, step: &Step) -> BTreeMap<Arc<str>, u32> {
        let mut on = BTreeMap::new();
        if step.spread == 0 {
            return on;
        }
        for (id, host) in &self.hosts {
            let count = host.runs.keys().filter(|run| run.step == key).count();
            if count > 0 {
                on.insert(id.clone(), count as u32);
            }
        }
        on
    }

    fn start(&mut self, worker: &Arc<str>, key: Key, attempt: u32, step: &Step, now_ms: u64) {
        let order_ms = self.settings.order_ms;
        let Some(job) = self.jobs.get(&key.step.job) else {
            return;
        };
        let text = job.spec.text.clone();
        let Some(run) = self.step_run_mut(key.step) else {
            return;
        };
        let permit = run.advice.permit(worker, now_ms).cloned();
        run.advice.placed();
        let task = &mut run.tasks[key.index as usize];
        task.attempt = attempt;
        let saved = task.saved.clone();
        run.set(key.index, Place::On(worker.clone()));
        let Some(host) = self.hosts.get_mut(worker) else {
            return;
        };
        let Some(deadline_ms) = host.lease.deadline(now_ms, order_ms) else {
            return;
        };
        let order = Order {
            worker: worker.clone(),
            address: host.worker.address,
            key,
            attempt,
            text,
            deadline_ms,
            token: host.token(),
            saved,
            permit,
        };
        let run = Run {
            attempt,
            size: step.footprint(),
            phase: Phase::Starting,
            since_ms: now_ms,
            percent: 0,
            risen_ms: now_ms,
            figure: 0.0,
            pace: 100,
            token: order.token,
        };
        host.insert(key, run);
        self.actions.push(Action::Start(order));
    }

    /// Asks the advice service for a step, as long as the pool has room that no earlier step waits
    /// for. Without this bound a crowd of steps asks again and again for workers that are full, and
    /// permits lapse while questions queue.
    fn ask_within(
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
        let size = step.footprint();
        let need = run.waiting;
        let starved = run
            .blocked_ms
            .is_some_and(|since| now_ms >= since + STARVED_MS);
        if need == 0 {
            return;
        }
        let claims = size.times(u64::from(need)).min(&room.unclaimed);
        if queue.advice.is_some() && size.fits(&room.unclaimed) {
            self.ask(key, step, queue, need as usize, starved, now_ms);
        }
        // What a starved step waits for doesn't become free soon, so it keeps nothing from others.
        if !starved {
            room.unclaimed -= claims;
        }
    }

    /// Asks the advice service about workers with room, if the step needs advice.
    fn ask(
        &mut self,
        key: StepKey,
        step: &Step,
        queue: &Queue,
        need: usize,
        starved: bool,
        now_ms: u64,
    ) {
        let Some(terms) = queue.advice else { return };
        let Some(run) = self.step_run(key) else {
            return;
        };
        let advice = &run.advice;
        if !advice.may_ask(now_ms) {
            return;
        }
        let share = self.shares.get(&queue.name).copied().unwrap_or(GOOD_SHARE);
        let size = step.footprint();
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
                room: room(&self.holds.free(host, key), step, &size),
            })
            .collect();
        // A step that starves keeps its permits valid, so that it can take the next room at once.
        let worth = |candidate: &Candidate<'_>| {
            candidate.room > 0 || (starved && (candidate.held || candidate.good))
        };
        if !candidates.iter().any(worth) {
            return;
        }
        candidates.sort_by_key(|candidate| candidate.rank(step.gang || step.service));
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
        if let Some(run) = self.step_run_mut(key) {
            run.advice.ask(workers.clone());
        }
        self.actions.push(Action::Ask(Ask {
            step: key,
            cost_ms: terms.call_ms + terms.worker_ms * workers.len() as f64,
            workers,
            priority: queue.priority,
            validity_ms: terms.validity_ms,
        }));
    }

    /// Takes an answer of the advice service: workers that may run the step, with their permits.
    pub fn advised(
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
    pub fn unadvised(&mut self, step: StepKey, now_ms: u64) {
        if let Some(run) = self.step_run_mut(step) {
            run.advice.unanswered(now_ms);
        }
    }
}

/// Tells whether a worker may run one more task of a step beside `crowd` others of it.
fn allows(host: &Host, step: &Step, crowd: u32) -> bool {
    let spread = step.spread == 0 || crowd < step.spread;
    let label = step
        .requires
        .as_ref()
        .is_none_or(|label| host.worker.labels.contains(label));
    spread && label
}

/// Returns how many tasks of a step fit into `free`.
fn room(free: &Size, step: &Step, size: &Size) -> u64 {
    let room = free.holds(size).min(u64::from(step.count));
    match step.spread {
        0 => room,
        spread => room.min(u64::from(spread)),
    }
}

/// Returns a figure that is lower the better a worker suits a task.
fn score(host: &Host, step: &Step, size: &Size) -> i64 {
    let far = step
        .near
        .as_ref()
        .is_some_and(|rack| *rack != host.worker.rack);
    let mut score = i64::from(host.suspicion.failures()) * FAILURE_PENALTY;
    if far {
        score += FAR_PENALTY;
    }
    if step.fills {
        let serving = host.runs.values().any(|run| run.figure > 0.0);
        if serving {
            score += SERVING_PENALTY;
        }
        // Filling tasks work with what is free, so the emptiest worker is the fastest.
        return score + used_share(host);
    }
    if step.service {
        return score + used_share(host);
    }
    let waste = rosemaryworks_core::placement::waste(&host.worker.capacity, &host.free(), size);
    score + i64::try_from(waste).unwrap_or(i64::MAX / 4)
}

/// Returns the share of a worker's processor time that is taken, in thousandths.
fn used_share(host: &Host) -> i64 {
    let total = host.worker.capacity.millicores.max(1);
    i64::try_from(host.used.millicores * 1_000 / total).unwrap_or(1_000)
}
