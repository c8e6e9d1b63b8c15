//! Storage of records through the owner of a shard or another peer, and handover of owned shards
//! while the log is reachable from other VMs but not from this one.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rosemaryworks_node::{clock, late};
use rosemaryworks_wire::Message;
use rosemaryworks_wire::link::Peer;
use rosemaryworks_wire::workflow::Message as Workflow;
use rosemaryworks_workflow::{Record, Shard};
use tokio::task::JoinSet;

use crate::events;
use crate::journal;
use crate::node::{Node, lock};
use crate::owner::Owner;
use crate::ownership;
use crate::permission;
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

/// Pause between such rounds.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(100);

/// Upper bound of the peers that are asked whether they can take shards over at a planned stop. The
/// log may reject a third of the VMs.
const PROBED_PEERS_MAX: usize = 4;

/// Time between two rounds of questions in an outage of the log. A round must prove the ownership
/// again before the proof of the round before it has expired.
const PROBE_PERIOD: Duration = Duration::from_millis(permission::VALID_MS * 2 / 5);

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

/// What an owner that has lost the log does after a round of questions.
enum Next {
    /// Another process can take the shards over.
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

impl Node {
    /// Keeps or gives up the owned shards while the log doesn't answer this process.
    ///
    /// If the log answers another process, their release is announced, so that the other one takes
    /// them over. If no process has claimed them, as in an outage of the log for all, this process
    /// stays permitted to command their workers. If it can't know, the permission expires; the
    /// shards stay here until the log shows a later claim or no other process answers.
    pub(crate) async fn hand_over_if_reachable_elsewhere(self: Arc<Self>) {
        let lost_ms = clock::now().0.saturating_sub(self.log_response_age_ms());
        let mut unanswered_rounds = 0;
        let mut reported = BTreeSet::new();
        while self.log_is_down() {
            let owners: Vec<Arc<Owner>> = lock(&self.owned).values().cloned().collect();
            if owners.is_empty() {
                return;
            }
            let asked_ms = clock::now().0;
            let survey = self.survey_peers(&owners, lost_ms).await;
            for owner in &owners {
                if survey.superseded.contains(&owner.shard()) {
                    let reason = "a peer knows a later owner";
                    self.step_down(owner.shard(), owner.epoch(), reason);
                }
            }
            let next = survey.next();
            if !matches!(next, Next::CutOff) {
                unanswered_rounds = 0;
            }
            let pause = match next {
                Next::Announce if self.log_is_down() => {
                    for owner in &owners {
                        self.notify_released(owner.shard(), owner.epoch());
                    }
                    tokio::time::sleep(ANNOUNCED_MAX).await;
                    return self.step_down_from(&owners, "the release was announced");
                }
                Next::Continue => {
                    // The claim of a shard that is being taken over may be superseded as well.
                    if lock(&self.taking_over).is_empty() {
                        self.permission.prove(asked_ms);
                    }
                    PROBE_PERIOD
                }
                Next::CutOff => {
                    unanswered_rounds += 1;
                    if unanswered_rounds >= UNANSWERED_ROUNDS_MAX {
                        return self.step_down_from(&owners, "cut off from the log and all peers");
                    }
                    UNANSWERED_PAUSE
                }
                Next::Announce | Next::Suspend => PROBE_PERIOD,
            };
            if survey.unanswered != reported {
                reported = survey.unanswered;
                let names: Vec<&str> = reported.iter().map(|name| &**name).collect();
                events::PEERS_SILENT.log(format_args!("peers={}", names.join(",")));
            }
            tokio::time::sleep(pause).await;
        }
    }

    fn step_down_from(&self, owners: &[Arc<Owner>], reason: &str) {
        for owner in owners {
            self.step_down(owner.shard(), owner.epoch(), reason);
        }
    }

    /// Asks all processes that may have claimed a shard since `since_ms`. Returns early if one can
    /// take shards over.
    async fn survey_peers(&self, owners: &[Arc<Owner>], since_ms: u64) -> Survey {
        let owned: Vec<(u32, u64)> = owners
            .iter()
            .map(|owner| (owner.shard(), owner.epoch()))
            .collect();
        let mut survey = Survey {
            unanswered: lock(&self.known).since(since_ms),
            ..Survey::default()
        };
        let mut calls = JoinSet::new();
        for peer in self.linked_peers() {
            let owned = owned.clone();
            calls.spawn(async move {
                let reply = ask(&peer, Workflow::AskOwnership { owned }).await;
                (peer.hello().node.clone(), reply)
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
            survey.unanswered.remove(&node);
            survey.superseded.extend(superseded);
            survey.candidate |= candidate;
            if candidate {
                break;
            }
        }
        survey
    }

    /// Answers which of a peer's shards have a later owner that this process knows of.
    pub(crate) async fn report_ownership(&self, owned: &[(u32, u64)]) -> Workflow {
        let candidate = self.can_take_over().await;
        // Read last: the answer must hold at the time at which it is given.
        let claims = lock(&self.claims);
        let is_superseded = |(shard, epoch): &&(u32, u64)| {
            let claim = claims.get(*shard);
            claim.is_some_and(|claim| claim.epoch > *epoch)
        };
        Workflow::Ownership {
            superseded: owned
                .iter()
                .filter(is_superseded)
                .map(|(shard, _)| *shard)
                .collect(),
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
                _ => outcome = Acceptance::Unknown,
            }
        }
        outcome
    }

    /// Stores a record on behalf of a peer.
    pub(crate) async fn store_for_peer(
        &self,
        shard: u32,
        record: &Record,
        timeout_ms: u64,
    ) -> Option<bool> {
        if self.log_is_down() {
            return Some(false);
        }
        let now_ms = clock::now().0;
        let written = self.submitter(shard).write(
            journal::encode(record),
            now_ms + timeout_ms,
            now_ms + RELAY_RETRY_MS,
        );
        match tokio::time::timeout(Duration::from_millis(timeout_ms), written).await {
            Ok(Ok(Outcome::Stored)) => {
                self.notify_stored(shard, record);
                Some(true)
            }
            Ok(Ok(Outcome::Refused)) => Some(false),
            _ => None,
        }
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
