//! Calls to the owner of a job's shard, repeated when the owner changes.

use std::time::Duration;

use rosemaryworks_core::contract::Contract;
use rosemaryworks_core::job::{Id, Spec, Status};
use rosemaryworks_core::outcome::NotRun;
use rosemaryworks_core::partition::Map;
use rosemaryworks_core::placement::pinning_limit;
use rosemaryworks_core::shard::{self, Kind};
use rosemaryworks_core::time::Instant;
use rosemaryworks_node::clock;
use rosemaryworks_wire::link::Peer;
use rosemaryworks_wire::{Message, Submission};

use crate::gateway::Gateway;

/// Milliseconds in which a submission, cancellation or status request must be answered.
pub(crate) const ANSWER_TIMEOUT_MS: u64 = 10_000;

/// Longest wait for the end of a job in one call to the owner, in milliseconds. Kept short so that
/// a change of the owner is detected.
const WAIT_PER_CALL_MAX_MS: u64 = 3_000;

/// Milliseconds that the owner's reply may take, in addition to the wait.
const CALL_TIMEOUT_MS: u64 = 4_000;

const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Reason why no reply of an owner arrived.
pub(crate) enum CallError {
    /// No owner processed a call.
    NotProcessed,
    /// An owner may have processed a call.
    Unknown,
}

/// Returns the shard of a job, or `None` if the contract or the cell has no such pool.
pub(crate) fn shard_of_job(
    partition: &Map,
    contract: &Contract,
    pool: &str,
    id: &str,
) -> Option<shard::Id> {
    let limit = pinning_limit(contract.pools.get(pool)?);
    partition.shard_of_key(Kind::Pool, pool, &contract.name, id, limit)
}

/// Returns the shards that may have a job of the contract whose pool is unknown.
pub(crate) fn candidate_shards(partition: &Map, contract: &Contract, id: &str) -> Vec<shard::Id> {
    let pools = contract.pools.keys();
    pools
        .filter_map(|pool| shard_of_job(partition, contract, pool, id))
        .collect()
}

/// Submits a job.
pub(crate) async fn submit(
    gateway: Gateway,
    shard: shard::Id,
    contract: Contract,
    job: Spec,
) -> Submission {
    let entry = gateway.contracts.entry(&contract.name);
    let message = Message::Submit {
        shard: shard.clone(),
        revision: entry.map(|entry| entry.revision).unwrap_or_default(),
        contract: contract.name,
        job: Box::new(job),
    };
    send_change(&gateway, &shard, &message).await
}

/// Cancels a job.
pub(crate) async fn cancel(gateway: Gateway, shard: shard::Id, job: Id) -> Submission {
    let message = Message::Cancel {
        shard: shard.clone(),
        job,
    };
    send_change(&gateway, &shard, &message).await
}

async fn send_change(gateway: &Gateway, shard: &shard::Id, message: &Message) -> Submission {
    let deadline = clock::now() + ANSWER_TIMEOUT_MS;
    let mut reply_lost = false;
    let reply = call_owner(
        gateway,
        shard,
        message,
        CALL_TIMEOUT_MS,
        deadline,
        &mut reply_lost,
    )
    .await;
    match reply {
        // An earlier call whose reply was lost may have taken effect.
        Ok(Message::Submission(Submission::Unavailable(_))) if reply_lost => Submission::Unknown,
        Ok(Message::Submission(submission)) => submission,
        Ok(_) | Err(CallError::Unknown) => Submission::Unknown,
        Err(CallError::NotProcessed) => Submission::Unavailable(NotRun::NoOwner),
    }
}

/// Returns the status of a job once it has ended, or after at most `wait_ms`. A stopping gateway
/// ends the wait early, and abandons an owner that doesn't reply within [`CALL_TIMEOUT_MS`].
pub(crate) async fn status(
    gateway: Gateway,
    shard: shard::Id,
    job: Id,
    wait_ms: u64,
) -> Result<Option<Status>, CallError> {
    let stop_timeout = async {
        gateway.wait_until_stopping().await;
        tokio::time::sleep(Duration::from_millis(CALL_TIMEOUT_MS)).await;
    };
    tokio::select! {
        status = poll_status(&gateway, &shard, &job, wait_ms) => status,
        () = stop_timeout => Err(CallError::Unknown),
    }
}

async fn poll_status(
    gateway: &Gateway,
    shard: &shard::Id,
    job: &Id,
    wait_ms: u64,
) -> Result<Option<Status>, CallError> {
    let wait_end = clock::now() + wait_ms;
    loop {
        let wait_ms = wait_end.since(clock::now()).min(WAIT_PER_CALL_MAX_MS);
        let message = Message::Status {
            shard: shard.clone(),
            job: job.clone(),
            wait_ms,
        };
        let deadline = clock::now() + wait_ms + ANSWER_TIMEOUT_MS;
        let timeout_ms = wait_ms + CALL_TIMEOUT_MS;
        let reply = call_owner(gateway, shard, &message, timeout_ms, deadline, &mut false).await?;
        match reply {
            Message::JobStatus(status) => {
                let is_done = status.state.is_terminal() || clock::now() >= wait_end;
                if is_done || gateway.is_stopping() {
                    return Ok(Some(status));
                }
            }
            Message::NoJob => return Ok(None),
            _ => return Err(CallError::Unknown),
        }
    }
}

/// Calls the owner of `shard`, and its successor if the owner changes, until `deadline`. Sets
/// `reply_lost` if a call was sent and no reply arrived.
async fn call_owner(
    gateway: &Gateway,
    shard: &shard::Id,
    message: &Message,
    timeout_ms: u64,
    deadline: Instant,
    reply_lost: &mut bool,
) -> Result<Message, CallError> {
    loop {
        let remaining_ms = deadline.since(clock::now());
        if remaining_ms == 0 {
            return Err(if *reply_lost {
                CallError::Unknown
            } else {
                CallError::NotProcessed
            });
        }
        if let Some(peer) = owner_or_any_peer(gateway, shard) {
            let timeout = Duration::from_millis(timeout_ms.min(remaining_ms));
            match peer.call(message.clone(), timeout).await {
                Ok(Message::NotOwner { .. })
                | Ok(Message::Submission(Submission::NotOwner { .. })) => {}
                Ok(reply) => return Ok(reply),
                Err(error) => *reply_lost |= !error.is_undelivered(),
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Returns the link to the published owner or, if none was published, one of the open links,
/// selected by a new number. Returns `None` if the owner released the shard or the link is closed.
fn owner_or_any_peer(gateway: &Gateway, shard: &shard::Id) -> Option<Peer> {
    let links = &gateway.links;
    match links.owners.get(shard) {
        Some(owner) => links.peer(owner.name.as_deref()?),
        None => links.any_peer(gateway.next_key().number),
    }
}
