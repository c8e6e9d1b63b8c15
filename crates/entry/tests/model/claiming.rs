//! Inputs of a process, and its claims: read, renewed and written as `ownership.rs` does.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};

use rosemaryworks_entry::claim::{self, Candidate, Claim};

use super::SHARD;
use super::log::{Request, Response};
use super::process::{Handover, Input, Message, Purpose, Takeover};
use super::world::World;

/// Time without an answer after which the log counts as unreachable, in milliseconds.
const LOG_DOWN_MS: u64 = 450;

/// Port of the first process; the others follow.
const FIRST_PORT: u16 = 1_000;

/// CPU of each process's VM in thousandths of a core.
const MILLICORES: u64 = 2_000;

/// Returns the address of a process.
pub(crate) fn address(process: usize) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, FIRST_PORT + process as u16).into()
}

/// Returns the process with an address.
pub(crate) fn process_at(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

impl World {
    pub(crate) fn handle_input(&mut self, process: usize, input: Input) {
        match input {
            Input::Announced { epoch } => self.step_down(process, epoch, "announced"),
            Input::Journal { epoch } => self.append_records(process, epoch),
            Input::JournalRetry { epoch } => self.send_append(process, epoch),
            Input::LogAnswer { call, response } => self.handle_answer(process, call, response),
            Input::Message { from, message } => self.handle_message(process, from, message),
            Input::ReadClaims { timer } => self.read_claims(process, timer),
            Input::ReadJobs { epoch } => self.read_jobs(process, epoch),
            Input::ReadNewest => self.read_newest(process),
            Input::ReadWorkers { epoch } => self.read_workers(process, epoch),
            Input::Renew => self.renew_claim(process),
            Input::RoundBegins { round } => self.begin_round(process, round),
            Input::RoundEnds { round } => self.end_round(process, round),
            Input::Send { epoch, command } => self.send_command(process, epoch, command),
            Input::Session {
                epoch,
                worker,
                timer,
            } => self.resume_session(process, epoch, &worker, timer),
            Input::Submit(record) => {
                let purpose = Purpose::Submit(record.clone());
                self.call_log(process, purpose, Request::AppendJob(record));
            }
            Input::Takeover { purpose } => self.continue_takeover(process, purpose),
            Input::Tick { epoch, timer } => self.tick(process, epoch, timer),
            Input::WorkerAnswer {
                epoch,
                call,
                answer,
            } => self.handle_worker_answer(process, epoch, call, answer),
        }
    }

    fn handle_answer(&mut self, process: usize, call: u64, response: Option<Response>) {
        let Some(purpose) = self.processes[process].calls.remove(&call) else {
            return;
        };
        match purpose {
            Purpose::Claim {
                epoch,
                predecessor_ended,
            } => self.claim_answered(process, epoch, predecessor_ended, response),
            Purpose::Claims { asked_ms } => self.claims_answered(process, asked_ms, response),
            Purpose::Jobs { epoch, asked_ms } => {
                self.jobs_answered(process, epoch, asked_ms, response);
            }
            Purpose::Journal { epoch, number } => {
                self.records_answered(process, epoch, number, response);
            }
            Purpose::Probe { peer, question } => {
                self.answer_ask(process, peer, question, response.is_some());
            }
            Purpose::Proof { asked_ms } => self.newest_answered(process, asked_ms, response),
            Purpose::Renewal => self.observe_log(process, response.is_some()),
            Purpose::Submit(record) if response.is_some() => self.notify_stored(process, record),
            Purpose::Submit(_) => {}
            Purpose::Fence
            | Purpose::ReplayJobs
            | Purpose::ReplayProgress
            | Purpose::ReplayWorkers { .. } => {
                self.takeover_answered(process, purpose, response);
            }
            Purpose::Workers { epoch, asked_ms } => {
                self.workers_answered(process, epoch, asked_ms, response);
            }
        }
    }

    /// Records whether a call of the log was answered.
    pub(crate) fn observe_log(&mut self, process: usize, answered: bool) {
        let now_ms = self.clock_ms(process);
        let state = &mut self.processes[process];
        if answered {
            state.log_answered_ms = now_ms;
            state.log_down = false;
            return;
        }
        if state.log_down || now_ms < state.log_answered_ms + LOG_DOWN_MS {
            return;
        }
        state.log_down = true;
        state.round += 1;
        state.handover = Some(Handover {
            lost_ms: state.log_answered_ms,
            ..Handover::default()
        });
        let round = state.round;
        self.input_after(process, 0, Input::RoundBegins { round });
    }

    fn read_claims(&mut self, process: usize, timer: u64) {
        let asked_ms = self.clock_ms(process);
        let state = &mut self.processes[process];
        if state.claims_timer != timer {
            return;
        }
        state.reads_claims = true;
        let from = state.claims_next;
        let purpose = Purpose::Claims { asked_ms };
        self.call_log(process, purpose, Request::ReadClaims { from });
    }

    fn claims_answered(&mut self, process: usize, asked_ms: u64, response: Option<Response>) {
        let now_ms = self.clock_ms(process);
        let Some(Response::Claims(claims, next)) = response else {
            self.observe_log(process, false);
            return self.pause_claims(process, claim::POLL_MS);
        };
        self.observe_log(process, true);
        let state = &mut self.processes[process];
        state.claims_next = next;
        for claim in claims {
            state.claims.apply(SHARD, claim, now_ms);
        }
        state.claims.caught_up(now_ms);
        self.step_down_if_superseded(process);
        if !self.rules.proves_by_newest {
            self.prove(process, asked_ms);
        }
        self.dial_owners(process);
        if !self.claim_if_due(process) {
            self.await_next_read(process);
        }
    }

    fn await_next_read(&mut self, process: usize) {
        let (now_ms, linked) = (self.clock_ms(process), self.is_linked(process));
        let claims = &self.processes[process].claims;
        let pause_ms = claims.pause_ms(MILLICORES, linked, now_ms);
        self.pause_claims(process, pause_ms);
    }

    fn pause_claims(&mut self, process: usize, ms: u64) {
        let state = &mut self.processes[process];
        state.reads_claims = false;
        state.claims_timer += 1;
        let timer = state.claims_timer;
        let ms = match std::mem::take(&mut state.claims_changed) {
            true => 0,
            false => ms,
        };
        self.set_timer(process, ms, Input::ReadClaims { timer });
    }

    /// Lets the process read the claims as soon as it can.
    pub(crate) fn notify_claims_changed(&mut self, process: usize) {
        let state = &mut self.processes[process];
        state.claims_changed = true;
        if !state.reads_claims {
            self.pause_claims(process, 0);
        }
    }

    fn step_down_if_superseded(&mut self, process: usize) {
        let state = &self.processes[process];
        let owned = state.owner.as_ref().map(|owner| owner.epoch);
        if let Some(epoch) = owned.filter(|epoch| state.is_superseded(*epoch)) {
            self.step_down(process, epoch, "superseded");
        }
    }

    /// Ends ownership in a process.
    pub(crate) fn step_down(&mut self, process: usize, epoch: u64, reason: &str) {
        let now_ms = self.now_ms;
        if self.processes[process].owner_of(epoch).is_some() {
            self.processes[process].owner = None;
            self.history
                .note(|| format!("{now_ms}: p{process} steps down from {epoch}: {reason}"));
        }
    }

    fn own_claim(&self, process: usize, epoch: u64, renewal: u64) -> Claim {
        Claim {
            epoch,
            node: self.processes[process].name.clone(),
            incarnation: self.processes[process].incarnation,
            address: address(process),
            renewal,
            unfinished: false,
            millicores: MILLICORES,
            taking_over: false,
        }
    }

    /// Claims the shard if it is due. Returns whether a claim was sent.
    fn claim_if_due(&mut self, process: usize) -> bool {
        let (now_ms, unlinked) = (self.clock_ms(process), self.unlinked_owners(process));
        let state = &mut self.processes[process];
        let is_held = state.owner.is_some() || state.takeover.is_some();
        let held: BTreeSet<u32> = is_held.then_some(SHARD).into_iter().collect();
        let candidate = Candidate {
            node: &state.name,
            incarnation: state.incarnation,
            millicores: MILLICORES,
            held: &held,
        };
        let wanted = BTreeSet::from([SHARD]);
        let due = state.claims.due(&wanted, candidate, &unlinked, now_ms);
        let Some((_, epoch)) = due.first().copied() else {
            return false;
        };
        let predecessor_ended = state
            .claims
            .owner_has_ended(SHARD, &state.name, state.incarnation);
        let end = Some(state.claims_next);
        let purpose = Purpose::Claim {
            epoch,
            predecessor_ended,
        };
        let claim = self.own_claim(process, epoch, 0);
        self.call_log(process, purpose, Request::AppendClaim { claim, end });
        true
    }

    fn claim_answered(
        &mut self,
        process: usize,
        epoch: u64,
        predecessor_ended: bool,
        response: Option<Response>,
    ) {
        let now_ms = self.clock_ms(process);
        match response {
            Some(Response::Appended(end)) => {
                let claim = self.own_claim(process, epoch, 0);
                let workers = self.known_list();
                let reads_list = workers.is_none();
                let state = &mut self.processes[process];
                state.claims_next = end;
                state.claims.apply(SHARD, claim, now_ms);
                state.takeover = Some(Takeover {
                    epoch,
                    predecessor_ended,
                    jobs: None,
                    progress: None,
                    workers,
                    retries: 0,
                    claim: claim::Takeover::new(epoch, now_ms),
                });
                let real_ms = self.now_ms;
                self.history
                    .note(|| format!("{real_ms}: p{process} claimed {epoch}"));
                self.continue_takeover(process, Purpose::Fence);
                if reads_list {
                    let asked_ms = now_ms;
                    self.continue_takeover(process, Purpose::ReplayWorkers { asked_ms });
                }
                self.notify_claims_changed(process);
            }
            Some(_) => self.notify_claims_changed(process),
            None => {}
        }
        self.await_next_read(process);
    }

    fn renew_claim(&mut self, process: usize) {
        self.set_timer(process, claim::RENEW_MS, Input::Renew);
        let now_ms = self.clock_ms(process);
        let state = &mut self.processes[process];
        let Some(owner) = &mut state.owner else {
            return self.renew_claim_of_takeover(process);
        };
        owner.renewals += 1;
        let (epoch, renewal) = (owner.epoch, owner.renewals);
        let unfinished = !owner.shard.has_fenced_predecessors(now_ms);
        if state.is_superseded(epoch) {
            return;
        }
        let mut claim = self.own_claim(process, epoch, renewal);
        claim.unfinished = unfinished;
        let request = Request::AppendClaim { claim, end: None };
        self.call_log(process, Purpose::Renewal, request);
    }

    fn renew_claim_of_takeover(&mut self, process: usize) {
        let now_ms = self.clock_ms(process);
        let state = &mut self.processes[process];
        let Some(takeover) = &mut state.takeover else {
            return;
        };
        let epoch = takeover.epoch;
        let renewal = takeover.claim.next_renewal(now_ms);
        let Some(renewal) = renewal.filter(|_| !state.is_superseded(epoch)) else {
            return;
        };
        let mut claim = self.own_claim(process, epoch, renewal);
        claim.unfinished = true;
        claim.taking_over = true;
        let request = Request::AppendClaim { claim, end: None };
        self.call_log(process, Purpose::Renewal, request);
    }

    fn read_newest(&mut self, process: usize) {
        self.set_timer(process, claim::POLL_MS, Input::ReadNewest);
        let asked_ms = self.clock_ms(process);
        self.call_log(process, Purpose::Proof { asked_ms }, Request::NewestClaim);
    }

    fn newest_answered(&mut self, process: usize, asked_ms: u64, response: Option<Response>) {
        let Some(Response::Claims(claims, _)) = response else {
            return;
        };
        let name = &self.processes[process].name;
        if claims.last().is_some_and(|claim| claim.node == *name) {
            self.prove(process, asked_ms);
        }
    }

    /// Records a proof, and goes on with what waits for the permission.
    pub(crate) fn prove(&mut self, process: usize, at_ms: u64) {
        self.processes[process].permission.prove(at_ms);
        if self.is_permitted(process) {
            self.resume_owner(process);
        }
    }

    pub(crate) fn is_permitted(&self, process: usize) -> bool {
        let now_ms = self.clock_ms(process);
        self.rules.ignores_permission || self.processes[process].permission.is_valid(now_ms)
    }

    fn notify_stored(&mut self, process: usize, record: rosemaryworks_workflow::Record) {
        if self.processes[process].owner.is_some() {
            return self.apply_stored(process, record);
        }
        let claim = self.processes[process].claims.get(SHARD);
        let owner = claim.map(|claim| process_at(claim.address));
        if let Some(owner) = owner.filter(|owner| self.network.peers(process).contains(owner)) {
            self.send(process, owner, Message::Stored(record));
        }
    }
}
