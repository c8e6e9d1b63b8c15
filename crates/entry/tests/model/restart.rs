//! Workers that start again under their identifier: their ends and starts, what becomes of calls to
//! them, and the list of workers, which owners read as `worker_list.rs` does.

use rand::Rng;
use rand::rngs::SmallRng;
use rosemaryworks_workflow::Shard;

use super::fleet::{Call, HELD_MS};
use super::log::{Request, Response};
use super::process::{Command, Input, Listed, Purpose};
use super::takeover::entry;
use super::worker::Down;
use super::world::{Event, World};

/// Time between two reads of the list in milliseconds.
pub(crate) const LIST_PERIOD_MS: u64 = 350;

/// Upper bound of the time from a start to the entry in the list, in milliseconds.
const LISTED_MAX_MS: u64 = 1_500;

/// Upper bound of the time for which reads don't return an entry, in milliseconds.
const LIST_LAG_MAX_MS: u64 = 800;

/// Time from the sending of a start from which its permit is void, in milliseconds.
const PERMIT_VALID_MS: u64 = 2_000;

/// Upper bound of the age of a permit when its start is sent, in milliseconds.
const PERMIT_AGE_MAX_MS: u64 = 1_900;

/// Draws how old what a read of the list returns is, in milliseconds.
pub(crate) fn draw_lag(rng: &mut SmallRng) -> u64 {
    rng.random_range(0..=LIST_LAG_MAX_MS)
}

/// Applies what was read from the list, at the takeover and later.
pub(crate) fn apply_list(shard: &mut Shard, listed: Listed, now_ms: u64) {
    for worker in listed.entries {
        shard.list_worker(worker, now_ms);
    }
    shard.workers_read(listed.asked_ms);
}

impl World {
    /// Ends a worker, its attempts and the calls that wait at it.
    pub(crate) fn crash_worker(&mut self, worker: usize, down: Down) {
        if self.workers[worker].down.is_some() {
            return;
        }
        self.end_due_runs(worker);
        let now_ms = self.now_ms;
        for key in self.workers[worker].crash(down) {
            self.history
                .note(|| format!("{now_ms}: w{worker} ends, and {key} with it"));
            self.history.ended(key, worker);
        }
        self.polls.retain(|poll| poll.worker != worker);
    }

    /// Starts a worker that has ended, with a clock of its own.
    pub(crate) fn restart_worker(&mut self, worker: usize) {
        if self.workers[worker].down.is_none() {
            return;
        }
        let now_ms = self.now_ms;
        let clock = self.workers[worker].clock.draw_anew(&mut self.rng, now_ms);
        self.workers[worker].restart(clock, now_ms);
        let incarnation = self.workers[worker].incarnation();
        self.history.counts.restarts += 1;
        self.history
            .note(|| format!("{now_ms}: w{worker} starts as {incarnation}, {clock:?}"));
        let listed_ms = self.rng.random_range(0..=LISTED_MAX_MS);
        let event = Event::WorkerListed {
            worker,
            incarnation,
        };
        self.after(listed_ms, event);
    }

    /// Returns the list of workers if none starts again, so that owners needn't read it.
    pub(crate) fn known_list(&self) -> Option<Listed> {
        let workers = self.workers.iter().enumerate();
        let entries = workers.map(|(worker, state)| entry(worker, state.incarnation()));
        (!self.rules.restarts).then(|| Listed {
            entries: entries.collect(),
            next: 0,
            // A list that doesn't change is as of any time.
            asked_ms: u64::MAX,
        })
    }

    /// Lists the first incarnations of all workers.
    pub(crate) fn list_all(&mut self) {
        for worker in 0..self.workers.len() {
            self.list_worker(worker, self.workers[worker].incarnation());
        }
    }

    /// Lists an incarnation of a worker unless it has ended.
    pub(crate) fn list_worker(&mut self, worker: usize, incarnation: u64) {
        let state = &self.workers[worker];
        if state.down.is_none() && state.incarnation() == incarnation {
            self.log
                .list_worker(entry(worker, incarnation), self.now_ms);
        }
    }

    pub(crate) fn read_workers(&mut self, process: usize, epoch: u64) {
        let asked_ms = self.clock_ms(process);
        let Some(owner) = self.processes[process].owner_of(epoch) else {
            return;
        };
        let request = Request::ReadWorkers {
            from: owner.workers_next,
            lag_ms: draw_lag(&mut self.rng),
        };
        self.call_log(process, Purpose::Workers { epoch, asked_ms }, request);
    }

    pub(crate) fn workers_answered(
        &mut self,
        process: usize,
        epoch: u64,
        asked_ms: u64,
        response: Option<Response>,
    ) {
        let now_ms = self.clock_ms(process);
        if response.is_none() {
            self.observe_log(process, false);
        }
        let Some(owner) = self.processes[process].owner_of(epoch) else {
            return;
        };
        if let Some(Response::Workers(entries, next)) = response {
            owner.workers_next = next;
            let real_ms = self.now_ms;
            for worker in &entries {
                let (id, incarnation) = (&worker.id, worker.incarnation);
                self.history
                    .note(|| format!("{real_ms}: p{process} reads {incarnation} of {id}"));
            }
            let listed = Listed {
                entries,
                next,
                asked_ms,
            };
            apply_list(&mut owner.shard, listed, now_ms);
        }
        self.set_timer(process, LIST_PERIOD_MS, Input::ReadWorkers { epoch });
        self.wake_owner(process, 0);
    }

    /// Draws whether a command that is sent now is late, and how late.
    pub(crate) fn draw_late_ms(&mut self, worker: usize) -> Option<u64> {
        let percent = self.workers[worker].late_percent;
        if percent == 0 || self.rng.random_range(0..100) >= percent {
            return None;
        }
        Some(self.rng.random_range(2_000..=12_000))
    }

    /// Draws the permit of a start that is sent now: the incarnation that it is for.
    pub(crate) fn draw_permit(&mut self, worker: usize) -> Option<u64> {
        if !self.rules.restarts {
            return None;
        }
        let age_ms = self.rng.random_range(0..=PERMIT_AGE_MAX_MS);
        let given_ms = self.now_ms.saturating_sub(age_ms);
        Some(self.workers[worker].incarnation_at(given_ms))
    }

    /// Returns whether the permit of a start allows a worker to carry it out now.
    pub(crate) fn permits(&self, worker: usize, call: &Call) -> bool {
        let is_void = self.now_ms - call.sent_ms > PERMIT_VALID_MS;
        let incarnation = self.workers[worker].incarnation();
        call.permit
            .is_none_or(|permitted| !is_void && permitted == incarnation)
    }

    /// Lets a call that reaches a worker after its end wait for its start, or get lost.
    pub(crate) fn await_start(&mut self, mut call: Call) {
        if !call.late && !call.awaits_start && self.rng.random_bool(0.3) {
            return;
        }
        call.awaits_start = true;
        self.after(HELD_MS, Event::WorkerCall(call));
    }

    /// Counts a call that a worker has carried out.
    pub(crate) fn carried_out(&mut self, worker: usize, call: &Call) {
        let state = &self.workers[worker];
        let incarnation = state.incarnation();
        let is_misdirected = call.incarnation != incarnation;
        self.history.counts.late_calls += u64::from(call.late);
        self.history.counts.misdirected_calls += u64::from(is_misdirected);
        if !call.late && !is_misdirected {
            return;
        }
        let now_ms = self.now_ms;
        let left_ms = state.lease_left_ms(self.worker_clock_ms(worker));
        self.history.note(|| {
            let what = match &call.command {
                Command::Renew { renewal, .. } => format!("{renewal:?}"),
                Command::Start(order) => format!(
                    "start of {} attempt {}, token {}",
                    order.key, order.attempt, order.token
                ),
                Command::Stop(stop) => {
                    format!(
                        "stop of {} attempt {}, token {}",
                        stop.key, stop.attempt, stop.token
                    )
                }
            };
            format!(
                "{now_ms}: w{worker} as {incarnation} carries out, late {}, a call of p{} to {} of {}: {what}; its lease lasts {left_ms}",
                call.late, call.process, call.incarnation, call.sent_ms
            )
        });
    }
}
