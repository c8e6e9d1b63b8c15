//! Where work goes: an urgent crowd of short tasks beside large gangs and tasks that last.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemaryworks_core::size::Size;

use crate::action::{Action, Order};
use crate::host::{Host, Phase, Run, Start};
use crate::job::{Queue, Step};
use crate::run::Place;
use crate::shard::{Shard, Turn};
use crate::task::{Key, StepKey};

/// Penalty of a worker far from the data, in thousandths of a worker's size.
const FAR_PENALTY: i64 = 1_500;

/// Penalty of a worker that serves tasks with a target, for tasks that fill.
const SERVING_PENALTY: i64 = 3_000;

/// Penalty for each failure in a row of a worker.
const FAILURE_PENALTY: i64 = 1_000;

/// Room of a pool during one pass over the waiting steps.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Room {
    /// Largest free amount of each resource on one worker, at most.
    largest: Size,
    /// Free room that no earlier step of the pass waits for, counted twice: of the workers with
    /// room only some are good for a step.
    pub(crate) unclaimed: Size,
    /// Steps of the pass that keep their permits valid without room.
    pub(crate) starving: u32,
}

type Rooms = BTreeMap<Arc<str>, Room>;

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
        let size = step.demand();
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
                preferred_rack: near.or_else(|| step.preferred_rack.clone()),
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
        self.holds.release(key);
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
        let size = step.demand();
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
                || !size.times(u64::from(also) + 1).fits(&self.holds.free(
                    host,
                    key,
                    queue.priority,
                ))
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
        if step.max_per_worker == 0 {
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
        let order_ms = self.settings.order_ttl_ms;
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
            checkpoint: saved,
            permit,
        };
        let run = Run {
            attempt,
            size: step.demand(),
            phase: Phase::Starting,
            start: Start::Ordered,
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
}

/// Tells whether a worker may run one more task of a step beside `crowd` others of it.
pub(crate) fn allows(host: &Host, step: &Step, crowd: u32) -> bool {
    let spread = step.max_per_worker == 0 || crowd < step.max_per_worker;
    let label = step
        .requires
        .as_ref()
        .is_none_or(|label| host.worker.labels.contains(label));
    spread && label
}

/// Returns how many tasks of a step fit into `free`.
pub(crate) fn room(free: &Size, step: &Step, size: &Size) -> u64 {
    let room = free.count_fitting(size).min(u64::from(step.count));
    match step.max_per_worker {
        0 => room,
        spread => room.min(u64::from(spread)),
    }
}

/// Returns a figure that is lower the better a worker suits a task.
fn score(host: &Host, step: &Step, size: &Size) -> i64 {
    let far = step
        .preferred_rack
        .as_ref()
        .is_some_and(|rack| *rack != host.worker.rack);
    let mut score = i64::from(host.suspicion.failures()) * FAILURE_PENALTY;
    if far {
        score += FAR_PENALTY;
    }
    if step.best_effort {
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
    let waste = rosemaryworks_core::placement::fit_cost(&host.worker.capacity, &host.free(), size);
    score + i64::try_from(waste).unwrap_or(i64::MAX / 4)
}

/// Returns the share of a worker's processor time that is taken, in thousandths.
fn used_share(host: &Host) -> i64 {
    let total = host.worker.capacity.millicores.max(1);
    i64::try_from(host.used.millicores * 1_000 / total).unwrap_or(1_000)
}
