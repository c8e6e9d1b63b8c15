//! What a process does with the help of its peers while the log answers it late or not at all: proofs
//! of its ownership, handover of owned shards, and storage of records through the owner of a shard or
//! another peer.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rosemaryworks_node::{clock, late};
use rosemaryworks_wire::Message;
use rosemaryworks_wire::link::Peer;
use rosemaryworks_wire::workflow::Message as Workflow;
use rosemaryworks_workflow::{Record, Shard};
use tokio::task::{JoinHandle, JoinSet};

use crate::codec;
use crate::decision::Decision;
use crate::events;
use crate::node::{Node, lock};
use crate::owner::Owner;
use crate::ownership;
use crate::port::Stream;
use crate::requests::Acceptance;
use crate::submitter::Outcome;

/// Time for a peer to probe the log. A slow log takes a quarter of a second.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for a peer to answer whether it can take shards over: its probe and the round trip.
const PEER_TIMEOUT: Duration =
    Duration::from_millis(PROBE_TIMEOUT.as_millis() as u64 + ROUND_TRIP_MS);

/// Time for which an owner keeps its shards after it announced their release. Its permission to
/// command workers usually ends sooner.
const ANNOUNCED_MAX: Duration = Duration::from_millis(Shard::PREDECESSOR_FENCED_MS - 400);

/// Consecutive rounds without any answer after which an owner without a log counts as cut off.
const UNANSWERED_ROUNDS_MAX: u32 = 2;

/// Upper bound of the peers that are asked whether they can take shards over at a planned stop. The
/// log may reject a third of the VMs.
const PROBED_PEERS_MAX: usize = 4;

/// Age of the last proof of ownership from which peers are asked for one, in milliseconds. Reads of the
/// claims usually give one sooner. Leaves a peer the time to probe the log before the proof expires.
const ASK_AFTER_MS: u64 = 400;

/// Time after a takeover within which other processes open their links to the owner, in milliseconds.
const LINKS_OPEN_AFTER_MS: u64 = 2_000;

/// Time by which a probe of the log by this process may take longer than that of a peer.
const OWN_PROBE_SLACK: Duration = Duration::from_millis(100);

/// Shortest pause between two rounds of questions.
const ASK_PAUSE_MIN: Duration = Duration::from_millis(100);

/// Upper bound of the peers through which a record is stored, one after the other.
const RELAY_PEERS_MAX: usize = 2;

/// Upper bound of the time for a peer to store a record, in milliseconds.
const RELAY_TIMEOUT_MS: u64 = 600;

/// Time for which a peer retries an append that the log refuses, in milliseconds. The sender has
/// other ways to store the record.
const RELAY_RETRY_MS: u64 = 150;

/// Time for the owner of a shard to store a record, in milliseconds. A slow log takes a quarter of
/// a second for an append, and as long for the append before it.
const OWNER_TIMEOUT_MS: u64 = 1_000;

/// Allowance for the round trip to a peer in milliseconds.
const ROUND_TRIP_MS: u64 = 100;

/// What the other processes answered about the shards of this one.
#[derive(Debug, Default)]
struct Survey {
    /// Shards that have a later owner.
    superseded: BTreeSet<u32>,
    /// Whether a process can take the shards over. It may be the only one whose answer was awaited.
    candidate: bool,
    /// Whether any process answered.
    answered: bool,
    /// Processes that may have claimed a shard and gave no answer.
    unanswered: BTreeSet<Arc<str>>,
}

/// What an owner does after a round of questions.
enum Next {
    /// The log answers another process, which can take the shards over.
    Announce,
    /// No other process has claimed a shard.
    Continue,
    /// Some process that gave no answer may have claimed a shard.
    Suspend,
    /// No process answered, although there are others.
    CutOff,
}

impl Survey {
    fn next(&self) -> Next {
        match (self.candidate, self.unanswered.is_empty(), self.answered) {
            (true, ..) => Next::Announce,
            (false, true, _) => Next::Continue,
            (false, false, true) => Next::Suspend,
            (false, false, false) => Next::CutOff,
        }
    }
}

/// Rounds of questions since the last proof.
#[derive(Default)]
struct Rounds {
    /// Consecutive rounds without any answer.
    unanswered: u32,
    /// Processes that gave no answer in the last round.
    silent: BTreeSet<Arc<str>>,
}

impl Node {
    /// Proves the ownership of the shards by questions to the other processes while the claims can't
    /// be read in time, until the process ends.
    pub(crate) async fn keep_permission(self: Arc<Self>) {
        let mut rounds = Rounds::default();
        let mut log_was_lost = false;
        loop {
            let age_ms = self.permission.age_ms(clock::now().0).unwrap_or(0);
            let is_due = log_was_lost || age_ms >= ASK_AFTER_MS;
            let owners: Vec<Arc<Owner>> = lock(&self.owned).values().cloned().collect();
            let pause = match is_due && !owners.is_empty() {
                true => self.ask_for_proof(&owners, &mut rounds).await,
                false => {
                    rounds = Rounds::default();
                    Duration::from_millis(ASK_AFTER_MS.saturating_sub(age_ms))
                }
            };
            let pause = tokio::time::sleep(pause.max(ASK_PAUSE_MIN));
            log_was_lost = tokio::select! {
                () = pause => false,
                () = self.log_lost.notified() => true,
            };
        }
    }

    /// Asks the other processes once. Returns the pause until the next round.
    ///
    /// If no process has claimed the shards, as in an outage of the log for all, this process stays
    /// permitted to command their workers. If the log answers another process and not this one, their
    /// release is announced, so that the other one takes them over. If this process can't know, its
    /// permission expires; the shards stay here until a later claim is known or no other process
    /// answers.
    async fn ask_for_proof(
        self: &Arc<Self>,
        owners: &[Arc<Owner>],
        rounds: &mut Rounds,
    ) -> Duration {
        let asked_ms = clock::now().0;
        let held = self.held_claims();
        let node = self.clone();
        let probe = self
            .log_is_down()
            .then(|| tokio::spawn(async move { node.log_answers().await }));
        let survey = self.survey_peers(&held).await;
        for owner in owners {
            if survey.superseded.contains(&owner.shard()) {
                let reason = "a peer knows a later owner";
                self.step_down(owner.shard(), owner.epoch(), reason);
            }
        }
        let next = survey.next();
        if survey.unanswered != rounds.silent {
            let names: Vec<&str> = survey.unanswered.iter().map(|name| &**name).collect();
            events::PEERS_SILENT.log(format_args!("peers={}", names.join(",")));
            rounds.silent = survey.unanswered;
        }
        match next {
            // At the end of an outage a peer may see the log a moment earlier than this process.
            Next::Announce if self.log_is_down() && !answers_soon(probe).await => {
                for owner in owners {
                    self.notify_released(owner.shard(), owner.epoch());
                }
                tokio::time::sleep(ANNOUNCED_MAX).await;
                self.step_down_from(owners, "the release was announced");
            }
            Next::Continue
                if survey.superseded.is_empty() && self.may_prove(&held, survey.answered) =>
            {
                self.permission.prove(asked_ms);
                let age_ms = clock::now().0.saturating_sub(asked_ms);
                return Duration::from_millis(ASK_AFTER_MS.saturating_sub(age_ms));
            }
            Next::CutOff if self.log_is_down() => {
                rounds.unanswered += 1;
                if rounds.unanswered >= UNANSWERED_ROUNDS_MAX {
                    self.step_down_from(owners, "cut off from the log and all peers");
                }
                return ASK_PAUSE_MIN;
            }
            _ => {}
        }
        rounds.unanswered = 0;
        ASK_PAUSE_MIN
    }

    /// Returns whether answers without a later claim of `held` prove the ownership. A process that knows
    /// no other one asks the log unless it is unreachable; right after a takeover the others may not
    /// have opened their links yet.
    fn may_prove(&self, held: &[(u32, u64)], answered: bool) -> bool {
        let now_ms = clock::now().0;
        let is_sole = self.log_is_down()
            && now_ms >= self.entered_ms.load(Ordering::Relaxed) + LINKS_OPEN_AFTER_MS;
        (answered || is_sole) && *held == *self.held_claims()
    }

    /// Returns the shards that this process owns or takes over, each with the epoch of its claim.
    fn held_claims(&self) -> Vec<(u32, u64)> {
        let held = self.held_shards();
        let claims = lock(&self.claims);
        let epoch = |shard: u32| claims.get(shard).map_or(0, |claim| claim.epoch);
        held.into_iter()
            .map(|shard| (shard, epoch(shard)))
            .collect()
    }

    fn step_down_from(&self, owners: &[Arc<Owner>], reason: &str) {
        for owner in owners {
            self.step_down(owner.shard(), owner.epoch(), reason);
        }
    }

    /// Asks all processes that may have claimed a shard since the last proof. While the log is
    /// unreachable, looks for one that can take shards over, and returns early if there is one.
    async fn survey_peers(&self, held: &[(u32, u64)]) -> Survey {
        let since_ms = self.permission.proven_ms().unwrap_or(0);
        let seeks_candidate = self.log_is_down();
        let mut survey = Survey {
            unanswered: lock(&self.known).since(since_ms),
            ..Survey::default()
        };
        let mut calls = JoinSet::new();
        for peer in self.linked_peers() {
            let owned = held.to_vec();
            calls.spawn(async move {
                let question = Workflow::AskOwnership {
                    owned,
                    seeks_candidate,
                };
                (peer.hello().node.clone(), ask(&peer, question).await)
            });
        }
        while let Some(call) = calls.join_next().await {
            let Ok((
                node,
                Some(Workflow::Ownership {
                    superseded,
                    candidate,
                }),
            )) = call
            else {
                continue;
            };
            survey.answered = true;
            survey.candidate |= candidate;
            if let Some(superseded) = superseded {
                survey.unanswered.remove(&node);
                survey.superseded.extend(superseded);
            }
            // A process with several links has answered on one of them.
            if candidate || survey.unanswered.is_empty() {
                break;
            }
        }
        survey
    }

    /// Answers which of a peer's shards have a later owner that this process knows of.
    pub(crate) async fn report_ownership(
        &self,
        owned: &[(u32, u64)],
        seeks_candidate: bool,
    ) -> Workflow {
        let candidate = seeks_candidate && self.can_take_over().await;
        // Read last: the answer must hold at the time at which it is given.
        let claims = lock(&self.claims);
        let is_superseded = |(shard, epoch): &&(u32, u64)| {
            let claim = claims.get(*shard);
            claim.is_some_and(|claim| claim.epoch > *epoch)
        };
        let superseded = owned.iter().filter(is_superseded);
        // An earlier incarnation of this process may have claimed a shard.
        let superseded = claims
            .is_caught_up()
            .then(|| superseded.map(|(shard, _)| *shard).collect());
        Workflow::Ownership {
            superseded,
            candidate,
        }
    }

    /// Asks a few other processes whether one of them can take shards over.
    pub(crate) async fn a_peer_can_take_over(&self) -> bool {
        let mut probes = JoinSet::new();
        for peer in self.sample_peers(PROBED_PEERS_MAX) {
            probes.spawn(async move { ask(&peer, Workflow::IsCandidate).await });
        }
        while let Some(probe) = probes.join_next().await {
            if matches!(probe, Ok(Some(Workflow::Candidate(true)))) {
                return true;
            }
        }
        false
    }

    /// Returns whether this process can take shards over: it isn't stopping and reaches the log.
    /// Answers at once if the log is known to be unreachable, so that an owner can tell a peer that
    /// waits for the log from one that it can't reach.
    pub(crate) async fn can_take_over(&self) -> bool {
        let may = !self.stopping.load(Ordering::Relaxed) && !self.log_is_down();
        may && self.log_answers().await
    }

    /// Probes the log. The last answer may be older than an outage; a peer that released its shards
    /// because of it would cause a change of owner without need.
    pub(crate) async fn log_answers(&self) -> bool {
        let read = self
            .context
            .store
            .newest(Stream::Claims, ownership::PARTITION);
        matches!(tokio::time::timeout(PROBE_TIMEOUT, read).await, Ok(Ok(_)))
    }

    /// Returns links to at most `count` processes, starting at one that depends on the time.
    fn sample_peers(&self, count: usize) -> Vec<Peer> {
        let mut peers = self.linked_peers();
        if !peers.is_empty() {
            let first = clock::now().0 as usize % peers.len();
            peers.rotate_left(first);
        }
        peers.truncate(count);
        peers
    }

    /// Stores a record through the owner of its shard, which combines the records of all VMs in one
    /// append at a time. A partition serializes appends, so separate appends from every VM would
    /// queue there as soon as the log is slow. Returns [`Acceptance::Refused`] if the owner can't
    /// store it.
    pub(crate) async fn store_via_owner(
        self: &Arc<Self>,
        shard: u32,
        record: &Record,
        deadline_ms: u64,
    ) -> Acceptance {
        let left_ms = deadline_ms.saturating_sub(clock::now().0);
        if left_ms <= ROUND_TRIP_MS || !self.owner_answers(shard) {
            return Acceptance::Refused;
        }
        let timeout_ms = (left_ms - ROUND_TRIP_MS).min(OWNER_TIMEOUT_MS);
        let message = Workflow::Store {
            shard,
            record: record.clone(),
            timeout_ms,
        };
        let timeout = Duration::from_millis(timeout_ms + ROUND_TRIP_MS);
        match self.call_owner(shard, message, timeout).await {
            Some(Workflow::StoreEnded(Some(true))) => Acceptance::Accepted,
            Some(Workflow::StoreEnded(Some(false))) => Acceptance::Refused,
            Some(Workflow::Busy { wait_ms }) => Acceptance::Busy { wait_ms },
            _ => Acceptance::Unknown,
        }
    }

    /// Stores a record through a peer. A record that is stored twice takes effect once.
    pub(crate) async fn store_via_peer(
        &self,
        shard: u32,
        record: &Record,
        deadline_ms: u64,
    ) -> Acceptance {
        let mut outcome = Acceptance::Refused;
        for peer in self.sample_peers(RELAY_PEERS_MAX) {
            let left_ms = deadline_ms.saturating_sub(clock::now().0);
            if left_ms <= ROUND_TRIP_MS {
                break;
            }
            let timeout_ms = (left_ms - ROUND_TRIP_MS).min(RELAY_TIMEOUT_MS);
            let message = Workflow::Store {
                shard,
                record: record.clone(),
                timeout_ms,
            };
            let timeout = Duration::from_millis(timeout_ms + ROUND_TRIP_MS);
            match peer.call(Message::Workflow(message), timeout).await {
                Ok(Message::Workflow(Workflow::StoreEnded(Some(true)))) => {
                    return Acceptance::Accepted;
                }
                Ok(Message::Workflow(Workflow::StoreEnded(Some(false)))) => {}
                // An earlier peer may have stored the job.
                Ok(Message::Workflow(Workflow::Busy { wait_ms }))
                    if outcome == Acceptance::Refused =>
                {
                    return Acceptance::Busy { wait_ms };
                }
                _ => outcome = Acceptance::Unknown,
            }
        }
        outcome
    }

    /// Stores a record on behalf of a peer. The owner of the shard may refuse a job.
    pub(crate) async fn store_for_peer(
        &self,
        shard: u32,
        record: &Record,
        timeout_ms: u64,
    ) -> Workflow {
        if self.log_is_down() {
            return Workflow::StoreEnded(Some(false));
        }
        let owner = self.owner(shard);
        let decision = match &owner {
            Some(owner) => owner.decide(record).await,
            None => Decision::Store,
        };
        match decision {
            Decision::Store => {}
            Decision::Refuse { wait_ms } => return Workflow::Busy { wait_ms },
            Decision::Undecided => return Workflow::StoreEnded(None),
        }
        let now_ms = clock::now().0;
        let written = self.submitter(shard).write(
            codec::encode(record),
            now_ms + timeout_ms,
            now_ms + RELAY_RETRY_MS,
        );
        let stored = match tokio::time::timeout(Duration::from_millis(timeout_ms), written).await {
            Ok(Ok(Outcome::Stored)) => {
                self.notify_stored(shard, record);
                Some(true)
            }
            Ok(Ok(Outcome::Refused)) => {
                if let Some(owner) = owner {
                    owner.release(record);
                }
                Some(false)
            }
            _ => None,
        };
        Workflow::StoreEnded(stored)
    }
}

/// Asks a peer a question whose answer may need a probe of the log; `None` without an answer in time.
async fn ask(peer: &Peer, question: Workflow) -> Option<Workflow> {
    let call = peer.call(
        Message::Workflow(question),
        PEER_TIMEOUT + late::EXTENSION_MAX,
    );
    match late::timeout(PEER_TIMEOUT, call).await {
        Some(Ok(Message::Workflow(reply))) => Some(reply),
        _ => None,
    }
}

/// Returns whether a probe of the log by this process has an answer, or has one soon.
async fn answers_soon(probe: Option<JoinHandle<bool>>) -> bool {
    let Some(probe) = probe else { return false };
    matches!(
        tokio::time::timeout(OWN_PROBE_SLACK, probe).await,
        Ok(Ok(true))
    )
}
