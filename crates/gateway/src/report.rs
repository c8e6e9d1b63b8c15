//! Finish reports: inform the owner how a grant ended, repeated with exponential backoff until the
//! owner acknowledges.

use std::time::Duration;

use rosemaryworks_core::outcome::Finish;
use rosemaryworks_core::shard::Epoch;
use rosemaryworks_core::time::Instant;
use rosemaryworks_node::clock;
use rosemaryworks_wire::Message;
use rosemaryworks_wire::link::Peer;
use tokio::task::JoinHandle;

use crate::gateway::Gateway;
use crate::grants::Grant;
use crate::inflight::Guard;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);
const RETRY_DELAY_MAX: Duration = Duration::from_secs(1);

/// Longest wait for the acknowledgement before the request continues.
const ACKNOWLEDGEMENT_WAIT_MAX: Duration = Duration::from_millis(500);

/// Reports the finish of a grant until the owner of its epoch, or of a later one, acknowledges it.
pub(crate) async fn send(gateway: &Gateway, grant: Grant, finish: Finish, run_ms: u64) {
    let guard = gateway.count_report();
    retry_until_acknowledged(gateway, grant, finish, run_ms, guard).await;
}

async fn retry_until_acknowledged(
    gateway: &Gateway,
    grant: Grant,
    finish: Finish,
    run_ms: u64,
    _guard: Guard,
) {
    let mut delay = RETRY_DELAY_MIN;
    loop {
        if try_report(gateway, &grant, finish, run_ms).await {
            gateway.links.grants.remove(&grant);
            return;
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(RETRY_DELAY_MAX);
    }
}

/// Reports the finish of a grant in a background task.
pub(crate) fn spawn(
    gateway: &Gateway,
    grant: Grant,
    finish: Finish,
    run_ms: u64,
) -> JoinHandle<()> {
    // Counted before the request ends, so that a stop that begins in between waits for the report.
    let guard = gateway.count_report();
    let task_gateway = gateway.clone();
    gateway.runtime.spawn(async move {
        retry_until_acknowledged(&task_gateway, grant, finish, run_ms, guard).await;
    })
}

/// Reports the finish of a grant in a background task and waits briefly for the acknowledgement,
/// but not beyond `deadline`, so that the next slot request finds the slot free.
pub(crate) async fn spawn_and_wait(
    gateway: &Gateway,
    grant: Grant,
    finish: Finish,
    deadline: Instant,
) {
    let remaining = Duration::from_millis(deadline.since(clock::now()));
    let report = spawn(gateway, grant, finish, 0);
    // After a timeout the background task continues to report.
    let _ = tokio::time::timeout(ACKNOWLEDGEMENT_WAIT_MAX.min(remaining), report).await;
}

async fn try_report(gateway: &Gateway, grant: &Grant, finish: Finish, run_ms: u64) -> bool {
    let links = &gateway.links;
    let owner = links.owners.get(&grant.shard);
    let later_owner = owner.filter(|owner| owner.epoch > grant.epoch);
    let has_later_epoch = later_owner.is_some();
    let (name, message) = match later_owner {
        None => (
            Some(grant.owner.clone()),
            finish_message(grant, finish, run_ms),
        ),
        Some(owner) => (owner.name, outstanding_finished_message(grant, finish)),
    };
    // An unused grant of an earlier epoch is never in a survey reply, so the new owner doesn't need
    // the report.
    if has_later_epoch && finish == Finish::Unused {
        return true;
    }
    if has_later_epoch && !links.grants.is_survey_settled(clock::now(), &grant.shard) {
        return false;
    }
    let Some(peer) = name.and_then(|name| links.peer(&name)) else {
        return false;
    };
    is_acknowledged(&peer, message).await
}

async fn is_acknowledged(peer: &Peer, message: Message) -> bool {
    let reply = peer.call(message, CALL_TIMEOUT).await;
    matches!(reply, Ok(Message::Done))
}

fn finish_message(grant: &Grant, finish: Finish, run_ms: u64) -> Message {
    let epoch: Epoch = grant.epoch;
    Message::Finish {
        shard: grant.shard.clone(),
        epoch,
        slot: grant.slot,
        finish,
        run_ms,
    }
}

fn outstanding_finished_message(grant: &Grant, finish: Finish) -> Message {
    Message::OutstandingFinished {
        shard: grant.shard.clone(),
        key: grant.key.clone(),
        finish,
    }
}
