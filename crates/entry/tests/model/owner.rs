//! An owner: ticks of its state machine, its journal and its commands.

use std::collections::{BTreeMap, VecDeque};

use rosemaryworks_entry::timeouts::Timeouts;
use rosemaryworks_workflow::{Action, Order, Refusal, RenewalFault, Shard, StartOutcome, Stop};

use super::fleet::Call;
use super::log::{Request, Response};
use super::network::{Path, Place};
use super::process::{Answer, Command, Input, Owner, Purpose, Sent, Wait};
use super::takeover::worker_index;
use super::world::{Event, World};
use rand::Rng;

/// Longest time between two ticks in milliseconds.
const TICK_MS: u64 = 100;

/// Time-out of a stop in milliseconds.
const STOP_TIMEOUT_MS: u64 = 400;

/// Pause after an append in milliseconds.
const APPEND_SPACING_MS: u64 = 15;

/// Pause before an append is retried in milliseconds.
const APPEND_RETRY_MS: u64 = 50;

impl Owner {
    pub(crate) fn new(epoch: u64, shard: Shard, jobs_next: u64, workers_next: u64) -> Self {
        Self {
            epoch,
            shard,
            renewals: 0,
            jobs_next,
            workers_next,
            sessions: BTreeMap::new(),
            sent: BTreeMap::new(),
            held: Vec::new(),
            timeouts: Timeouts::default(),
            records: VecDeque::new(),
            append: None,
            appends: 0,
            durable: 0,
            tick_timer: 0,
            tick_ms: u64::MAX,
        }
    }
}

impl World {
    /// Makes the next tick due after `ms` at the latest.
    pub(crate) fn wake_owner(&mut self, process: usize, ms: u64) {
        let tick_ms = self.now_ms + ms;
        let Some(owner) = &mut self.processes[process].owner else {
            return;
        };
        if owner.tick_ms <= tick_ms {
            return;
        }
        owner.tick_ms = tick_ms;
        owner.tick_timer += 1;
        let (epoch, timer) = (owner.epoch, owner.tick_timer);
        self.input_after(process, ms, Input::Tick { epoch, timer });
    }

    /// Goes on with what waits for the permission.
    pub(crate) fn resume_owner(&mut self, process: usize) {
        let Some(owner) = &mut self.processes[process].owner else {
            return;
        };
        let epoch = owner.epoch;
        let held = std::mem::take(&mut owner.held);
        let sessions = owner.sessions.iter();
        let waiting = sessions.filter(|(_, session)| session.wait == Wait::Permission);
        let waiting: Vec<_> = waiting.map(|(id, _)| id.clone()).collect();
        for command in held {
            self.input_after(process, 0, Input::Send { epoch, command });
        }
        for worker in waiting {
            self.interrupt(process, &worker);
        }
        self.wake_owner(process, 2);
    }

    pub(crate) fn tick(&mut self, process: usize, epoch: u64, timer: u64) {
        let now_ms = self.clock_ms(process);
        let is_permitted = self.is_permitted(process);
        let state = &mut self.processes[process];
        let proven_ms = state.permission.proven_ms();
        let Some(owner) = state
            .owner_of(epoch)
            .filter(|owner| owner.tick_timer == timer)
        else {
            return;
        };
        owner.tick_ms = u64::MAX;
        if !is_permitted {
            self.history.counts.suspensions += 1;
            return;
        }
        if let Some(proven_ms) = proven_ms {
            owner.shard.confirm_ownership(proven_ms);
        }
        owner.shard.tick(now_ms, now_ms);
        for action in owner.shard.take_actions() {
            self.execute(process, epoch, action);
        }
        self.wake_owner(process, TICK_MS);
    }

    fn execute(&mut self, process: usize, epoch: u64, action: Action) {
        let command = match action {
            Action::Record(record) => {
                if let Some(owner) = self.processes[process].owner_of(epoch) {
                    owner.records.push_back(record);
                }
                return self.append_records(process, epoch);
            }
            Action::Renew(worker) => return self.interrupt(process, &worker),
            // The model has one shard.
            Action::Forward { .. } => return,
            Action::Release => return self.step_down(process, epoch, "used up tokens"),
            Action::StepDown => return self.step_down(process, epoch, "a worker"),
            Action::Start(order) => Command::Start(order),
            Action::Stop(stop) => Command::Stop(stop),
            Action::LogLost(lost) => {
                let now_ms = self.now_ms;
                return self.history.note(|| {
                    format!(
                        "{now_ms}: p{process} counts {} on {} as ended: {:?}",
                        lost.key, lost.worker, lost.evidence
                    )
                });
            }
            Action::LogIncarnation(incarnation) => {
                let now_ms = self.now_ms;
                return self
                    .history
                    .note(|| format!("{now_ms}: p{process} learns of a restart: {incarnation:?}"));
            }
            Action::LogUnreported(unreported) => {
                let now_ms = self.now_ms;
                return self
                    .history
                    .note(|| format!("{now_ms}: p{process} waits no longer: {unreported:?}"));
            }
            Action::RequestAdvice(_) | Action::Pace(_) => return,
        };
        self.input_after(process, 0, Input::Send { epoch, command });
    }

    /// Appends the records that wait, one append at a time.
    pub(crate) fn append_records(&mut self, process: usize, epoch: u64) {
        let Some(owner) = self.processes[process].owner_of(epoch) else {
            return;
        };
        if owner.append.is_some() || owner.records.is_empty() {
            return;
        }
        let records: Vec<_> = owner.records.drain(..).collect();
        owner.append = Some((owner.appends, records));
        owner.appends += 1;
        self.send_append(process, epoch);
    }

    pub(crate) fn send_append(&mut self, process: usize, epoch: u64) {
        let Some(owner) = self.processes[process].owner_of(epoch) else {
            return;
        };
        let Some((number, records)) = owner.append.clone() else {
            return;
        };
        let request = Request::AppendProgress {
            epoch,
            number,
            records,
        };
        self.call_log(process, Purpose::Journal { epoch, number }, request);
    }

    pub(crate) fn records_answered(
        &mut self,
        process: usize,
        epoch: u64,
        number: u64,
        response: Option<Response>,
    ) {
        match response {
            Some(Response::Appended(_)) => self.records_are_durable(process, epoch, number),
            Some(_) => self.step_down(process, epoch, "the journal is fenced"),
            None => {
                let retry = Input::JournalRetry { epoch };
                self.set_timer(process, APPEND_RETRY_MS, retry);
            }
        }
    }

    fn records_are_durable(&mut self, process: usize, epoch: u64, number: u64) {
        let Some(owner) = self.processes[process].owner_of(epoch) else {
            return;
        };
        let is_answered = |append: &mut (u64, Vec<_>)| append.0 == number;
        let Some((_, records)) = owner.append.take_if(is_answered) else {
            return;
        };
        owner.durable += records.len() as u64;
        owner.shard.mark_durable(owner.durable);
        self.resume_durable(process);
        self.set_timer(process, APPEND_SPACING_MS, Input::Journal { epoch });
    }

    /// Sends a command, or holds it until the process is permitted to.
    pub(crate) fn send_command(&mut self, process: usize, epoch: u64, command: Command) {
        let is_permitted = self.is_permitted(process);
        let sent_ms = self.clock_ms(process);
        let Some(owner) = self.processes[process].owner_of(epoch) else {
            return;
        };
        if !is_permitted {
            return owner.held.push(command);
        }
        let sent = match &command {
            Command::Start(order) => Sent::Start {
                order: order.clone(),
                sent_ms,
            },
            Command::Stop(stop) => Sent::Stop(stop.clone()),
            Command::Renew { .. } => return,
        };
        self.transmit(process, epoch, command, sent);
    }

    /// Sends a command to its worker. Returns the number of the call.
    pub(crate) fn transmit(
        &mut self,
        process: usize,
        epoch: u64,
        command: Command,
        sent: Sent,
    ) -> u64 {
        let call = self.next_number();
        self.history.commanded(epoch, self.now_ms);
        let Some(owner) = self.processes[process].owner_of(epoch) else {
            return call;
        };
        owner.sent.insert(call, sent);
        let (command_ms, renewal_ms) = (
            owner.timeouts.command().as_millis() as u64,
            owner.timeouts.renewal().as_millis() as u64,
        );
        let (worker, timeout_ms, lost, refused) = match &command {
            Command::Renew {
                worker, wait_ms, ..
            } => (
                *worker,
                renewal_ms + wait_ms,
                Answer::Renewed(Err(RenewalFault::Silent)),
                Answer::Renewed(Err(RenewalFault::Refused)),
            ),
            Command::Start(order) => (
                worker_index(&order.worker),
                command_ms,
                Answer::Started(StartOutcome::Unknown),
                Answer::Started(StartOutcome::Refused(Refusal::NotSent)),
            ),
            Command::Stop(stop) => (
                worker_index(&stop.worker),
                STOP_TIMEOUT_MS,
                Answer::Stopped(false),
                Answer::Stopped(false),
            ),
        };
        let answer = |answer| Input::WorkerAnswer {
            epoch,
            call,
            answer,
        };
        let host = owner.shard.host(&format!("w{worker}"));
        let incarnation = host.map_or(0, |host| host.worker().incarnation);
        self.set_timer(process, timeout_ms, answer(lost));
        let path = (self.network).path(Place::Process(process), Place::Worker(worker));
        if path == Path::Closed || self.workers[worker].refuses() {
            self.input_after(process, 2, answer(refused));
            return call;
        }
        let delay_ms = match self.rng.random_range(0..100) {
            0 => self.rng.random_range(100..3_000),
            _ => self.rng.random_range(1..6),
        };
        let late_ms = match path {
            Path::Open => self.draw_late_ms(worker),
            Path::Closed | Path::Held | Path::Silent => None,
        };
        let permit = match &command {
            Command::Start(_) => self.draw_permit(worker),
            Command::Renew { .. } | Command::Stop(_) => None,
        };
        let sent = Call {
            process,
            epoch,
            number: call,
            command,
            sent_ms: self.now_ms,
            incarnation,
            permit,
            late: late_ms.is_some(),
            awaits_start: false,
        };
        self.after(late_ms.unwrap_or(delay_ms), Event::WorkerCall(sent));
        call
    }

    pub(crate) fn handle_worker_answer(
        &mut self,
        process: usize,
        epoch: u64,
        call: u64,
        answer: Answer,
    ) {
        let now_ms = self.clock_ms(process);
        let Some(owner) = self.processes[process].owner_of(epoch) else {
            return;
        };
        let Some(sent) = owner.sent.remove(&call) else {
            return;
        };
        match (sent, answer) {
            (Sent::Start { order, sent_ms }, Answer::Started(outcome)) => {
                if matches!(outcome, StartOutcome::Accepted { .. }) {
                    owner.timeouts.observe(now_ms.saturating_sub(sent_ms));
                }
                self.start_answered(process, &order, outcome);
            }
            (Sent::Stop(stop), Answer::Stopped(accepted)) => {
                self.stop_answered(process, &stop, accepted);
            }
            (sent, Answer::Renewed(result)) => self.renewal_answered(process, call, sent, result),
            _ => {}
        }
    }

    fn start_answered(&mut self, process: usize, order: &Order, outcome: StartOutcome) {
        let now_ms = self.clock_ms(process);
        if let Some(owner) = &mut self.processes[process].owner {
            owner.shard.start_answered(order, outcome, now_ms);
        }
        self.wake_session(process, &order.worker);
        self.wake_owner(process, 2);
    }

    fn stop_answered(&mut self, process: usize, stop: &Stop, accepted: bool) {
        if let Some(owner) = &mut self.processes[process].owner
            && !accepted
        {
            owner
                .shard
                .stop_failed(&stop.worker, stop.key, stop.attempt);
        }
        self.wake_session(process, &stop.worker);
    }
}
