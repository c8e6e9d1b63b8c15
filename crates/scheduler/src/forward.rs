//! Forwards cancellations to the shard that accepted the job.
//!
//! A contract revision may map a job's id to another shard than the one that accepted the job.

use std::time::Duration;

use rosemaryworks_core::job::Id as JobId;
use rosemaryworks_core::shard::Id;
use rosemaryworks_wire::{Message, Submission};

use crate::context::Context;
use crate::host::Host;

/// Time for the owner of the other shard to reply; shorter than gateways wait for this process.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Cancels a job at the owner of `shard`, which accepted it.
///
/// Returns `NotOwner` if that owner is unknown, did not receive the call or no longer owns the
/// shard, so that the gateway retries.
pub(crate) async fn cancel(context: &Context, shard: &Id, job: &JobId) -> Submission {
    if let Some(Host::Pool(pool)) = context.host(shard)
        && pool.term.is_valid()
    {
        return pool.cancel_own(context, job).await;
    }
    let not_owner = Submission::NotOwner { owner: None };
    let Some(owner) = context.owner(shard) else {
        return not_owner;
    };
    let mut peers = context.peers.get().into_iter().flatten();
    let Some(peer) = peers.find(|peer| *peer.name() == owner) else {
        return not_owner;
    };
    let call = Message::Cancel {
        shard: shard.clone(),
        job: job.clone(),
    };
    match peer.call(call, TIMEOUT).await {
        Ok(Message::Submission(Submission::NotOwner { .. })) => not_owner,
        Ok(Message::Submission(submission)) => submission,
        Err(error) if error.is_undelivered() => not_owner,
        _ => Submission::Unknown,
    }
}
