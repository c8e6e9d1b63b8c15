//! Commands that reach the workers, and the ends of their attempts.

use rand::Rng;
use rosemaryworks_workflow::{Order, Outcome, Refusal, RenewalFault, StartOutcome};

use super::network::{Path, Place};
use super::process::{Answer, Command, Input};
use super::takeover::worker_index;
use super::worker::Change;
use super::world::{Event, Poll, World};

/// Number of low bits of a fencing token below the epoch.
const TOKEN_COUNTER_BITS: u32 = 20;

/// Time after which a held command is tried again, in milliseconds.
pub(crate) const HELD_MS: u64 = 50;

/// A command on its way to its worker.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) process: usize,
    pub(crate) epoch: u64,
    pub(crate) number: u64,
    pub(crate) command: Command,
    /// Simulated time at which it was sent.
    pub(crate) sent_ms: u64,
    /// Incarnation that it is meant for: the one that its sender knew.
    pub(crate) incarnation: u64,
    /// Incarnation that the permit of a start is for, if starts need one.
    pub(crate) permit: Option<u64>,
    /// Whether it is carried out whatever its path is by then, and gets no answer.
    pub(crate) late: bool,
    /// Whether it has reached a worker that has ended, and waits for its start.
    pub(crate) awaits_start: bool,
}

impl Call {
    fn worker(&self) -> usize {
        match &self.command {
            Command::Renew { worker, .. } => *worker,
            Command::Start(order) => worker_index(&order.worker),
            Command::Stop(stop) => worker_index(&stop.worker),
        }
    }
}

impl World {
    pub(crate) fn receive_call(&mut self, call: Call) {
        let worker = call.worker();
        let path = match call.late {
            true => Path::Open,
            false => (self.network).path(Place::Process(call.process), Place::Worker(worker)),
        };
        match path {
            Path::Open => {}
            Path::Held => return self.after(HELD_MS, Event::WorkerCall(call)),
            Path::Closed | Path::Silent => return,
        }
        if self.workers[worker].down.is_some() {
            return self.await_start(call);
        }
        self.end_due_runs(worker);
        let (process, epoch, number) = (call.process, call.epoch, call.number);
        if let Some(answer) = self.execute_call(worker, &call).filter(|_| !call.late) {
            self.answer_command(worker, process, epoch, number, answer);
        }
        self.set_worker_timer(worker);
    }

    /// Carries a command out. Returns the answer unless it has to wait.
    fn execute_call(&mut self, worker: usize, call: &Call) -> Option<Answer> {
        let now_ms = self.worker_clock_ms(worker);
        match &call.command {
            Command::Renew {
                renewal, wait_ms, ..
            } => {
                let Some(changes) = self.workers[worker].renew(renewal, now_ms) else {
                    return Some(Answer::Renewed(Err(RenewalFault::Fenced)));
                };
                self.carried_out(worker, call);
                self.apply_changes(worker, changes);
                let poll = Poll {
                    number: self.next_number(),
                    worker,
                    process: call.process,
                    epoch: call.epoch,
                    call: call.number,
                };
                self.poll(poll, if call.late { 0 } else { *wait_ms })
            }
            Command::Start(order) => {
                if !self.permits(worker, call) {
                    let refused = StartOutcome::Refused(Refusal::Permit);
                    return Some(Answer::Started(refused));
                }
                let answer = self.start(worker, order);
                let nothing_done = matches!(
                    answer,
                    Answer::Started(StartOutcome::Refused(Refusal::Fenced | Refusal::Late))
                );
                if !nothing_done {
                    self.carried_out(worker, call);
                }
                Some(answer)
            }
            Command::Stop(stop) => {
                let accepted = self.workers[worker].stop(stop, now_ms);
                if accepted {
                    self.carried_out(worker, call);
                }
                Some(Answer::Stopped(accepted))
            }
        }
    }

    pub(crate) fn worker_clock_ms(&self, worker: usize) -> u64 {
        self.workers[worker].clock.read(self.now_ms)
    }

    fn start(&mut self, worker: usize, order: &Order) -> Answer {
        let now_ms = self.worker_clock_ms(worker);
        let takes_ms = match self.rng.random_range(0..3) {
            1 if self.has_long_tasks => self.rng.random_range(5_000..12_000),
            0 => self.rng.random_range(5_000..12_000),
            _ => self.rng.random_range(50..2_000),
        };
        let how = match self.rng.random_range(0..20) {
            0 => Outcome::Failed,
            _ => Outcome::Done,
        };
        let (outcome, began) = self.workers[worker].start(order, takes_ms, how, now_ms);
        if began {
            let epoch = order.token >> TOKEN_COUNTER_BITS;
            let real_ms = self.now_ms;
            self.history.note(|| {
                format!(
                    "{real_ms}: w{worker} starts {} attempt {} of epoch {epoch}",
                    order.key, order.attempt
                )
            });
            self.history.started(order.key, worker, epoch, real_ms);
        }
        Answer::Started(outcome)
    }

    /// Returns the answer to a renewal if it needs no wait.
    fn poll(&mut self, poll: Poll, wait_ms: u64) -> Option<Answer> {
        let now_ms = self.worker_clock_ms(poll.worker);
        let worker = &self.workers[poll.worker];
        if wait_ms == 0 || worker.has_ends() {
            return Some(Answer::Renewed(Ok(worker.report(now_ms))));
        }
        let ms = worker.clock.duration(wait_ms);
        let event = Event::PollEnds { poll: poll.number };
        self.polls.push(poll);
        self.after(ms, event);
        None
    }

    pub(crate) fn end_poll(&mut self, number: u64) {
        let mut polls = self.polls.iter();
        let Some(index) = polls.position(|poll| poll.number == number) else {
            return;
        };
        let poll = self.polls.swap_remove(index);
        let now_ms = self.worker_clock_ms(poll.worker);
        let answer = Answer::Renewed(Ok(self.workers[poll.worker].report(now_ms)));
        self.answer_command(poll.worker, poll.process, poll.epoch, poll.call, answer);
    }

    fn answer_command(
        &mut self,
        worker: usize,
        process: usize,
        epoch: u64,
        call: u64,
        answer: Answer,
    ) {
        let path = (self.network).path(Place::Process(process), Place::Worker(worker));
        if path != Path::Open {
            return;
        }
        let delay_ms = match self.rng.random_range(0..100) {
            0 => return,
            1 => self.rng.random_range(50..600),
            _ => self.rng.random_range(1..6),
        };
        let input = Input::WorkerAnswer {
            epoch,
            call,
            answer,
        };
        self.input_after(process, delay_ms, input);
    }

    fn set_worker_timer(&mut self, worker: usize) {
        let now_ms = self.worker_clock_ms(worker);
        let state = &self.workers[worker];
        if let Some(end_ms) = state.next_end_ms() {
            let ms = state.clock.duration(end_ms.saturating_sub(now_ms)).max(1);
            self.after(ms, Event::WorkerTimer(worker));
        }
    }

    /// Ends the attempts of a worker that are due.
    pub(crate) fn end_due_runs(&mut self, worker: usize) {
        if self.workers[worker].down.is_some() {
            return;
        }
        let now_ms = self.worker_clock_ms(worker);
        let changes = self.workers[worker].end_due(now_ms);
        if changes.is_empty() {
            return;
        }
        self.apply_changes(worker, changes);
        let polls = self.polls.iter().filter(|poll| poll.worker == worker);
        let numbers: Vec<u64> = polls.map(|poll| poll.number).collect();
        for number in numbers {
            self.end_poll(number);
        }
        self.set_worker_timer(worker);
    }

    fn apply_changes(&mut self, worker: usize, changes: Vec<Change>) {
        let now_ms = self.now_ms;
        for change in changes {
            match change {
                Change::Acknowledged(key, attempt) => {
                    self.history
                        .note(|| format!("{now_ms}: w{worker} forgets the end of {key}"));
                    self.history.acknowledged(key, attempt, worker, now_ms);
                }
                Change::Ended(key, attempt, how) => {
                    if how == Outcome::Lapsed {
                        self.history.counts.lapses += 1;
                    }
                    self.history
                        .note(|| format!("{now_ms}: w{worker} ends {key}: {how:?}"));
                    self.history.ended(key, worker);
                    if how == Outcome::Done {
                        self.history.done(key, attempt, worker);
                    }
                }
            }
        }
    }
}
