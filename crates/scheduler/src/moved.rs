//! Cancels of jobs whose home moved to this process's shard with a revision of their contract.

use std::time::Duration;

use rosemaryworks_core::job::Id as JobId;
use rosemaryworks_core::shard::Id;
use rosemaryworks_wire::{Message, Submission};

use crate::hosted::Hosted;
use crate::shared::Shared;

/// Time for the owner of the other shard to answer. Shorter than gateways wait for this process.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Cancels a job at the owner of `shard`, which holds it.
///
/// Answers `NotOwner` if that owner isn't known or refuses, so that the gateway asks again.
pub(crate) async fn cancel(shared: &Shared, shard: &Id, job: &JobId) -> Submission {
    if let Some(Hosted::Pool(pool)) = shared.hosted(shard)
        && pool.term.holds()
    {
        return pool.cancel_own(shared, job).await;
    }
    let not_owner = Submission::NotOwner { owner: None };
    let Some(owner) = shared.owner(shard) else {
        return not_owner;
    };
    let mut peers = shared.peers.get().into_iter().flatten();
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
