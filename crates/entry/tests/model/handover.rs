//! Questions to the peers while the log doesn't answer a process, as `handover.rs` asks them.

use std::collections::BTreeSet;
use std::sync::Arc;

use rosemaryworks_entry::permission;
use rosemaryworks_workflow::Shard;

use super::SHARD;
use super::log::Request;
use super::process::{self, Handover, Input, Message, Purpose, Question};
use super::world::World;

/// Time for a peer to probe the log, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 500;

/// Time for a peer to answer, in milliseconds.
const PEER_TIMEOUT_MS: u64 = PROBE_TIMEOUT_MS + 100;

/// Time for which an owner keeps its shard after it announced the release, in milliseconds.
const ANNOUNCED_MS: u64 = Shard::PREDECESSOR_FENCED_MS - 400;

/// Rounds without any answer after which an owner counts as cut off.
const UNANSWERED_ROUNDS_MAX: u32 = 2;

/// Pause between such rounds in milliseconds.
const UNANSWERED_PAUSE_MS: u64 = 100;

/// Time between two rounds in milliseconds.
const PROBE_PERIOD_MS: u64 = permission::VALID_MS * 2 / 5;

impl World {
    /// Asks all peers with a link.
    pub(crate) fn begin_round(&mut self, process: usize, round: u64) {
        let asked_ms = self.clock_ms(process);
        let peers: BTreeSet<usize> = self.network.peers(process).into_iter().collect();
        let state = &mut self.processes[process];
        if state.round != round {
            return;
        }
        let epoch = state.owner.as_ref().map(|owner| owner.epoch);
        let (Some(epoch), true) = (epoch, state.log_down) else {
            state.handover = None;
            return;
        };
        let Some(handover) = &mut state.handover else {
            return;
        };
        *handover = Handover {
            lost_ms: handover.lost_ms,
            unanswered_rounds: handover.unanswered_rounds,
            asked_ms,
            pending: peers.clone(),
            unanswered: state.known.since(handover.lost_ms),
            ..Handover::default()
        };
        let (real_ms, known) = (self.now_ms, handover.unanswered.clone());
        self.history
            .note(|| format!("{real_ms}: p{process} asks {peers:?}, knows {known:?}"));
        let state = &mut self.processes[process];
        state.round += 1;
        let round = state.round;
        let question = Question { round, epoch };
        for peer in &peers {
            self.send(process, *peer, Message::Ask(question));
        }
        match peers.is_empty() {
            true => self.end_round(process, round),
            false => self.set_timer(process, PEER_TIMEOUT_MS, Input::RoundEnds { round }),
        }
    }

    pub(crate) fn handle_message(&mut self, process: usize, from: usize, message: Message) {
        match message {
            Message::Ask(question) if self.processes[process].log_down => {
                self.answer_ask(process, from, question, false);
            }
            Message::Ask(question) => {
                let purpose = Purpose::Probe {
                    peer: from,
                    question,
                };
                let request = Request::NewestClaim;
                self.call_log_within(process, purpose, request, PROBE_TIMEOUT_MS);
            }
            Message::Answer { .. } => self.peer_answered(process, from, message),
            Message::Released { epoch } => {
                self.processes[process].claims.released(SHARD, epoch);
                self.notify_claims_changed(process);
            }
            Message::Stored(record) => self.apply_stored(process, record),
        }
    }

    pub(crate) fn answer_ask(
        &mut self,
        process: usize,
        peer: usize,
        question: Question,
        candidate: bool,
    ) {
        let answer = Message::Answer {
            round: question.round,
            superseded: self.processes[process].is_superseded(question.epoch),
            candidate,
        };
        self.send(process, peer, answer);
    }

    fn peer_answered(&mut self, process: usize, from: usize, message: Message) {
        let Message::Answer {
            round,
            superseded,
            candidate,
        } = message
        else {
            return;
        };
        let state = &mut self.processes[process];
        let Some(handover) = state.handover.as_mut().filter(|_| state.round == round) else {
            return;
        };
        let name: Arc<str> = process::name(from);
        handover.answered = true;
        handover.unanswered.remove(&name);
        handover.pending.remove(&from);
        handover.superseded |= superseded;
        handover.candidate |= candidate;
        if candidate || handover.pending.is_empty() {
            self.end_round(process, round);
        }
    }

    /// Decides after a round whether the process keeps the shard and may command its workers.
    pub(crate) fn end_round(&mut self, process: usize, round: u64) {
        let state = &mut self.processes[process];
        let epoch = state.owner.as_ref().map(|owner| owner.epoch);
        let takes_over = state.takeover.is_some();
        let is_down = state.log_down;
        let Some(handover) = state.handover.as_mut().filter(|_| state.round == round) else {
            return;
        };
        let Some(epoch) = epoch else {
            state.handover = None;
            return;
        };
        let asked_ms = handover.asked_ms;
        let (candidate, proves) = (handover.candidate, handover.unanswered.is_empty());
        let is_cut_off = !candidate && !proves && !handover.answered;
        handover.unanswered_rounds = match is_cut_off {
            true => handover.unanswered_rounds + 1,
            false => 0,
        };
        let ends = handover.unanswered_rounds >= UNANSWERED_ROUNDS_MAX;
        let superseded = handover.superseded;
        state.round += 1;
        let round = state.round;
        if superseded {
            self.step_down(process, epoch, "a peer knows a later owner");
        }
        if ends {
            return self.step_down(process, epoch, "cut off");
        }
        if candidate && is_down {
            for peer in self.network.peers(process) {
                self.send(process, peer, Message::Released { epoch });
            }
            return self.set_timer(process, ANNOUNCED_MS, Input::Announced { epoch });
        }
        if !candidate && proves && !takes_over {
            self.history.counts.proofs_by_peers += 1;
            self.prove(process, asked_ms);
        }
        let pause_ms = match is_cut_off {
            true => UNANSWERED_PAUSE_MS,
            false => PROBE_PERIOD_MS,
        };
        self.set_timer(process, pause_ms, Input::RoundBegins { round });
    }
}
