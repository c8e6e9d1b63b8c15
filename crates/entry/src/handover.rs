//! When the platform's log turns this VM away and serves others: records and shards go through them.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_wire::Message;
use rosemaryworks_wire::link::Peer;
use rosemaryworks_wire::workflow::Message as Workflow;
use rosemaryworks_workflow::Record;

use crate::intake::Accepting;
use crate::journal;
use crate::node::{Node, lock};
use crate::owner::Owner;
use crate::submitter::Outcome;

/// Time for a peer to tell whether the log answers it.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);

/// Peers that are asked to store a record, one after the other.
const RELAYS_MAX: usize = 2;

/// Time that a peer has to store a record, at most, in milliseconds.
const RELAY_MS: u64 = 600;

/// Time for the way to a peer and back in milliseconds.
const WAY_MS: u64 = 100;

impl Node {
    /// Gives the owned shards to processes that the log still answers. If it answers nobody, the
    /// shards stay here: their work goes on, only nothing can be recorded.
    pub(crate) async fn hand_over_if_others_can(self: Arc<Self>) {
        let owners: Vec<Arc<Owner>> = lock(&self.owned).values().cloned().collect();
        if owners.is_empty() {
            return;
        }
        let asked = self.linked().into_iter().map(|peer| async move {
            let call = peer.call(Message::Workflow(Workflow::IsLogUp), ASK_TIMEOUT);
            matches!(call.await, Ok(Message::Workflow(Workflow::LogUp(true))))
        });
        let tasks: Vec<_> = asked.map(tokio::spawn).collect();
        let mut served = false;
        for task in tasks {
            served |= task.await.unwrap_or(false);
        }
        if !served || !self.store_is_down() {
            return;
        }
        for owner in owners {
            self.tell_released(owner.shard(), owner.epoch());
        }
    }

    /// Stores a record through a peer. A record that is stored twice counts once.
    pub(crate) async fn store_through_peer(
        &self,
        shard: u32,
        record: &Record,
        deadline_ms: u64,
    ) -> Accepting {
        let mut outcome = Accepting::Refused;
        let mut peers: Vec<Peer> = self.linked();
        if !peers.is_empty() {
            let first = clock::now().0 as usize % peers.len();
            peers.rotate_left(first);
        }
        for peer in peers.into_iter().take(RELAYS_MAX) {
            let left_ms = deadline_ms.saturating_sub(clock::now().0);
            if left_ms <= WAY_MS {
                break;
            }
            let timeout_ms = (left_ms - WAY_MS).min(RELAY_MS);
            let message = Workflow::Store {
                shard,
                record: record.clone(),
                timeout_ms,
            };
            let timeout = Duration::from_millis(timeout_ms + WAY_MS);
            match peer.call(Message::Workflow(message), timeout).await {
                Ok(Message::Workflow(Workflow::StoreEnded(Some(true)))) => {
                    return Accepting::Accepted;
                }
                Ok(Message::Workflow(Workflow::StoreEnded(Some(false)))) => {}
                _ => outcome = Accepting::Unknown,
            }
        }
        outcome
    }

    /// Stores a record for a peer.
    pub(crate) async fn store_for_peer(
        &self,
        shard: u32,
        record: &Record,
        timeout_ms: u64,
    ) -> Option<bool> {
        if self.store_is_down() {
            return Some(false);
        }
        let deadline_ms = clock::now().0 + timeout_ms;
        let written = self
            .submitter(shard)
            .write(journal::encode(record), deadline_ms);
        match tokio::time::timeout(Duration::from_millis(timeout_ms), written).await {
            Ok(Ok(Outcome::Stored)) => {
                self.tell_stored(shard, record);
                Some(true)
            }
            Ok(Ok(Outcome::Refused)) => Some(false),
            _ => None,
        }
    }
}
