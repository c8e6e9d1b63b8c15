//! Sends heartbeats and takes their answers.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_core::ownership::{Event, Heartbeat, LogView, Support};
use rosemaryworks_core::time::Instant;
use rosemaryworks_core::timing::SUPPORT_MS;
use rosemaryworks_node::clock;
use rosemaryworks_wire::link::Peer;
use rosemaryworks_wire::{Heartbeat as WireHeartbeat, Message};

use crate::shared::Shared;

/// Time after which an answer is of no use any more.
const TIMEOUT: Duration = Duration::from_millis(SUPPORT_MS);

/// Sends `heartbeat` to every scheduler with an open link.
pub(super) fn send(shared: &Arc<Shared>, heartbeat: &Heartbeat) {
    let log = shared.log_view();
    let claims = heartbeat.claims.iter();
    let beat = WireHeartbeat {
        node: heartbeat.node.clone(),
        incarnation: heartbeat.incarnation,
        sequence: heartbeat.sequence,
        claims: claims.map(|c| (c.shard.clone(), c.epoch)).collect(),
        settled: heartbeat.claims.iter().map(|c| c.settled).collect(),
        log_unreachable: log.unreachable,
        log_unreachable_age_ms: log.unreachable_age_ms,
        stopping: heartbeat.stopping,
    };
    for client in shared.peers.get().into_iter().flatten() {
        if let Some(peer) = client.peer() {
            tokio::spawn(exchange(shared.clone(), peer, beat.clone()));
        }
    }
}

async fn exchange(shared: Arc<Shared>, peer: Peer, beat: WireHeartbeat) {
    // Support is counted from a time at or before the sending.
    let sent = clock::now();
    let sequence = beat.sequence;
    let Ok(reply) = peer.call(Message::Heartbeat(beat), TIMEOUT).await else {
        return;
    };
    take(&shared, &peer, (sent, sequence), reply);
}

fn take(shared: &Shared, peer: &Peer, (sent, sequence): (Instant, u64), reply: Message) {
    let Message::Supported {
        claims,
        clear,
        log_unreachable,
        log_unreachable_age_ms,
        suspects,
    } = reply
    else {
        return;
    };
    let support = Support {
        node: peer.hello().node.clone(),
        incarnation: peer.hello().incarnation,
        claims,
        clear,
        log: LogView {
            unreachable: log_unreachable,
            unreachable_age_ms: log_unreachable_age_ms,
        },
        suspects,
    };
    shared.ownership_event(Event::Supported {
        sent,
        sequence,
        support,
    });
}
