//! Storage of records through the owner of a shard or another peer, and handover of owned shards
//! while the log is reachable from other VMs but not from this one.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rosemaryworks_node::{clock, late};
use rosemaryworks_wire::Message;
use rosemaryworks_wire::link::Peer;
use rosemaryworks_wire::workflow::Message as Workflow;
use rosemaryworks_workflow::{Record, Shard};
use tokio::task::JoinSet;

use crate::journal;
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

/// Time for which an owner acts after it announced the release of its shards. Together with a margin
/// for the announcement it is less than [`Shard::PREDECESSOR_FENCED_MS`].
const ANNOUNCED_MAX: Duration = Duration::from_millis(Shard::PREDECESSOR_FENCED_MS - 400);

/// Consecutive rounds without any answer after which an owner without a log counts as cut off.
const UNANSWERED_ROUNDS_MAX: u32 = 2;

/// Pause between such rounds. Another process can take the shards over a second after the log was
/// lost, and allows for [`Shard::PREDECESSOR_FENCED_MS`] more.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(100);

/// Time between the loss of the links and that of the log, up to which both count as one cut, in
/// milliseconds.
const LINK_LOSS_BEFORE_MS: u64 = 1_000;

/// Upper bound of the peers that probe the log in one round. The log may reject a third of the VMs.
const PROBED_PEERS_MAX: usize = 4;

/// Time between two rounds of probes.
const PROBE_PERIOD: Duration = Duration::from_millis(700);

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

/// What a few other processes answered about taking shards over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Peers {
    /// One of them can.
    CanTakeOver,
    /// Some answered and none can, or there are no peers.
    CannotTakeOver,
    /// None answered.
    Unreachable,
}

impl Node {
    /// Gives the owned shards up while the log answers other processes and not this one. Their
    /// release is announced, so that another process takes them over, and this one acts as the owner
    /// only for as long as its successor allows for. If the log answers no other process, the shards
    /// stay here: their work continues, but nothing can be recorded.
    pub(crate) async fn hand_over_if_reachable_elsewhere(self: Arc<Self>) {
        let mut unanswered_rounds = 0;
        while self.log_is_down() {
            let owners: Vec<Arc<Owner>> = lock(&self.owned).values().cloned().collect();
            if owners.is_empty() {
                return;
            }
            let pause = match self.ask_peers().await {
                Peers::CanTakeOver if self.log_is_down() => {
                    for owner in &owners {
                        self.notify_released(owner.shard(), owner.epoch());
                    }
                    tokio::time::sleep(ANNOUNCED_MAX).await;
                    return self.step_down_from(&owners, "the release was announced");
                }
                Peers::Unreachable => {
                    unanswered_rounds += 1;
                    if unanswered_rounds >= UNANSWERED_ROUNDS_MAX {
                        return self.step_down_from(&owners, "cut off from the log and all peers");
                    }
                    UNANSWERED_PAUSE
                }
                Peers::CanTakeOver | Peers::CannotTakeOver => {
                    unanswered_rounds = 0;
                    PROBE_PERIOD
                }
            };
            tokio::time::sleep(pause).await;
        }
    }

    fn step_down_from(&self, owners: &[Arc<Owner>], reason: &str) {
        for owner in owners {
            self.step_down(owner.shard(), owner.epoch(), reason);
        }
    }

    /// Asks a few other processes whether they can take shards over.
    pub(crate) async fn ask_peers(&self) -> Peers {
        let mut probes = JoinSet::new();
        for peer in self.sample_peers(PROBED_PEERS_MAX) {
            probes.spawn(async move {
                let message = Message::Workflow(Workflow::IsCandidate);
                let call = peer.call(message, PEER_TIMEOUT + late::EXTENSION_MAX);
                match late::timeout(PEER_TIMEOUT, call).await {
                    Some(Ok(Message::Workflow(Workflow::Candidate(can)))) => Some(can),
                    _ => None,
                }
            });
        }
        let mut peers = match probes.is_empty() && !self.lost_links_lately() {
            true => Peers::CannotTakeOver,
            false => Peers::Unreachable,
        };
        while let Some(probe) = probes.join_next().await {
            match probe.unwrap_or(None) {
                Some(true) => return Peers::CanTakeOver,
                Some(false) => peers = Peers::CannotTakeOver,
                None => {}
            }
        }
        peers
    }

    /// Returns whether a link was closed about when the log stopped answering, or later. Without any,
    /// a process that has no links has no peers.
    fn lost_links_lately(&self) -> bool {
        let closed_ms = self.link_closed_ms.load(Ordering::Relaxed);
        let since_ms = clock::now().0.saturating_sub(self.log_response_age_ms());
        closed_ms > 0 && closed_ms + LINK_LOSS_BEFORE_MS >= since_ms
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
