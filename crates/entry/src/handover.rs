//! Storage of records through the owner of a shard or another peer, and handover of owned shards
//! while the log is reachable from other VMs but not from this one.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_wire::Message;
use rosemaryworks_wire::link::Peer;
use rosemaryworks_wire::workflow::Message as Workflow;
use rosemaryworks_workflow::Record;
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

impl Node {
    /// Announces the release of the owned shards once another process can take them over. This
    /// process acts as the owner until the successor fences it. If no other process can, the shards
    /// stay here: their work continues, but nothing can be recorded.
    pub(crate) async fn hand_over_if_reachable_elsewhere(self: Arc<Self>) {
        while self.log_is_down() {
            let owners: Vec<Arc<Owner>> = lock(&self.owned).values().cloned().collect();
            if owners.is_empty() {
                return;
            }
            if self.a_peer_can_take_over().await && self.log_is_down() {
                for owner in owners {
                    self.notify_released(owner.shard(), owner.epoch());
                }
                return;
            }
            tokio::time::sleep(PROBE_PERIOD).await;
        }
    }

    /// Returns whether one of a few other processes can take shards over.
    pub(crate) async fn a_peer_can_take_over(&self) -> bool {
        let mut probes = JoinSet::new();
        for peer in self.sample_peers(PROBED_PEERS_MAX) {
            probes.spawn(async move {
                let call = peer.call(Message::Workflow(Workflow::IsCandidate), PROBE_TIMEOUT);
                matches!(call.await, Ok(Message::Workflow(Workflow::Candidate(true))))
            });
        }
        while let Some(probe) = probes.join_next().await {
            if probe.unwrap_or(false) {
                return true;
            }
        }
        false
    }

    /// Returns whether this process can take shards over: it isn't stopping and reaches the log.
    pub(crate) async fn can_take_over(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed) && self.log_answers().await
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
