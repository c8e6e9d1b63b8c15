//! Sends heartbeats and handles their replies.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_core::ownership::{Event, Heartbeat, LogView, Support};
use rosemaryworks_core::time::Instant;
use rosemaryworks_core::timing::SUPPORT_MS;
use rosemaryworks_node::clock;
use rosemaryworks_wire::link::Peer;
use rosemaryworks_wire::{Heartbeat as WireHeartbeat, Message};

use crate::context::Context;

/// Time after which the support in a reply would have expired.
const REPLY_TIMEOUT: Duration = Duration::from_millis(SUPPORT_MS);

/// Sends `heartbeat` to every scheduler with an open link.
pub(super) fn send(context: &Arc<Context>, heartbeat: &Heartbeat) {
    let log = context.log_view();
    let claims = heartbeat.claims.iter();
    let message = WireHeartbeat {
        node: heartbeat.node.clone(),
        incarnation: heartbeat.incarnation,
        sequence: heartbeat.sequence,
        claims: claims.map(|c| (c.shard.clone(), c.epoch)).collect(),
        settled: heartbeat.claims.iter().map(|c| c.settled).collect(),
        log_unreachable: log.unreachable,
        log_unreachable_age_ms: log.unreachable_age_ms,
        stopping: heartbeat.stopping,
    };
    for client in context.peers.get().into_iter().flatten() {
        if let Some(peer) = client.peer() {
            tokio::spawn(exchange(context.clone(), peer, message.clone()));
        }
    }
}

async fn exchange(context: Arc<Context>, peer: Peer, message: WireHeartbeat) {
    // The validity of support counts from a time no later than the sending.
    let sent = clock::now();
    let sequence = message.sequence;
    let Ok(reply) = peer.call(Message::Heartbeat(message), REPLY_TIMEOUT).await else {
        return;
    };
    handle_reply(&context, &peer, (sent, sequence), reply);
}

fn handle_reply(context: &Context, peer: &Peer, (sent, sequence): (Instant, u64), reply: Message) {
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
    context.handle_ownership_event(Event::Supported {
        sent,
        sequence,
        support,
    });
}
