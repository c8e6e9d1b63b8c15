//! Answers calls of gateways and schedulers.

use std::sync::Arc;

use rosemaryworks_core::contract::Revision;
use rosemaryworks_core::outcome::NotRun;
use rosemaryworks_core::ownership::{Claim, Heartbeat};
use rosemaryworks_core::routing::{Event, SlotRequest};
use rosemaryworks_core::shard::Id;
use rosemaryworks_node::clock;
use rosemaryworks_wire::link::{Peer, Reply};
use rosemaryworks_wire::{Heartbeat as WireHeartbeat, Message, Submission, Verdict};

use crate::hosted::Hosted;
use crate::inspect;
use crate::lock::lock;
use crate::pool::Pool;
use crate::service::Service;
use crate::shared::Shared;
use crate::snapshot;

/// Returns the reply to `message`.
pub(crate) fn answer(shared: &Arc<Shared>, _peer: &Peer, message: Message) -> Reply {
    let shared = shared.clone();
    match message {
        Message::Ask { shard, ask } => {
            Box::pin(async move { Message::Verdict(self::ask(&shared, &shard, ask).await) })
        }
        Message::Heartbeat(beat) => now(self::beat(&shared, beat)),
        Message::Cancel { shard, job } => Box::pin(async move {
            Message::Submission(match pool(&shared, &shard) {
                Some(pool) => pool.cancel(&shared, &job).await,
                None => Submission::NotOwner {
                    owner: other_owner(&shared, &shard),
                },
            })
        }),
        Message::Finish {
            shard,
            epoch,
            slot,
            finish,
            run_ms,
        } => {
            let current = hosted_service(&shared, &shard);
            let current = current.filter(|service| service.term.epoch == epoch);
            let event = Event::Finished {
                slot,
                finish,
                run_ms,
            };
            now(feed(&shared, &shard, current, event))
        }
        Message::Inspect { view, after } => {
            let page = inspect::page(&shared, view, after.as_deref());
            now(Message::Inspected(Box::new(page)))
        }
        Message::OutstandingFinished { shard, key, finish } => {
            let current = hosted_service(&shared, &shard);
            let event = Event::OutstandingFinished { key, finish };
            now(feed(&shared, &shard, current, event))
        }
        Message::Revisions => now(Message::RevisionList(revisions(&shared))),
        Message::Snapshot => now(Message::Snapshotted(Box::new(snapshot::take(&shared)))),
        Message::Status {
            shard,
            job,
            wait_ms,
        } => Box::pin(async move {
            let Some(pool) = pool(&shared, &shard) else {
                return not_owner(&shared, &shard);
            };
            let status = pool.wait(&shared, &job, wait_ms).await;
            status.map_or(Message::NoJob, Message::JobStatus)
        }),
        Message::Submit {
            shard,
            contract,
            revision,
            job,
        } => Box::pin(async move {
            if !shared.applies(&contract, revision).await {
                let reason = NotRun::LogUnavailable;
                return Message::Submission(Submission::Unavailable(reason));
            }
            Message::Submission(match pool(&shared, &shard) {
                Some(pool) => pool.submit(&shared, contract, job).await,
                None => Submission::NotOwner {
                    owner: other_owner(&shared, &shard),
                },
            })
        }),
        Message::Tasks { shard, job } => now(match pool(&shared, &shard) {
            Some(pool) => pool
                .tasks(&shared, &job)
                .map_or(Message::NoJob, Message::TaskList),
            None => not_owner(&shared, &shard),
        }),
        _ => now(Message::Done),
    }
}

fn now(message: Message) -> Reply {
    Box::pin(std::future::ready(message))
}

async fn ask(shared: &Arc<Shared>, shard: &Id, ask: SlotRequest) -> Verdict {
    match hosted_service(shared, shard).filter(|service| service.term.holds()) {
        Some(service) => service.ask(ask).await,
        None => Verdict::NotOwner {
            owner: other_owner(shared, shard),
        },
    }
}

fn beat(shared: &Shared, beat: WireHeartbeat) -> Message {
    let settled = beat.settled.into_iter().chain(std::iter::repeat(false));
    let claims = beat.claims.into_iter().zip(settled);
    let claims = claims.map(|((shard, epoch), settled)| Claim {
        shard,
        epoch,
        settled,
    });
    let heartbeat = Heartbeat {
        node: beat.node,
        incarnation: beat.incarnation,
        sequence: beat.sequence,
        claims: claims.collect(),
        stopping: beat.stopping,
    };
    let support = shared.own(|kernel| kernel.heartbeat(clock::now(), &heartbeat));
    Message::Supported {
        claims: support.claims,
        clear: support.clear,
        log_unreachable: support.log.unreachable,
        log_unreachable_age_ms: support.log.unreachable_age_ms,
        suspects: support.suspects,
    }
}

/// Hands an event to the shard's kernel. A kernel that only lacks support takes it too.
fn feed(shared: &Shared, shard: &Id, service: Option<Arc<Service>>, event: Event) -> Message {
    match service {
        Some(service) => {
            service.feed(event);
            Message::Done
        }
        None => not_owner(shared, shard),
    }
}

/// Returns the revisions that the kernels of this process apply.
fn revisions(shared: &Shared) -> Option<Vec<(Arc<str>, Revision)>> {
    let known = shared.progress.are_contracts_known();
    // Kernels take a revision under the same lock.
    let register = lock(&shared.register);
    let entries = register.iter();
    known.then(|| {
        entries
            .map(|entry| (entry.contract.name.clone(), entry.revision))
            .collect()
    })
}

fn hosted_service(shared: &Shared, shard: &Id) -> Option<Arc<Service>> {
    match shared.hosted(shard) {
        Some(Hosted::Service(service)) => Some(service),
        _ => None,
    }
}

/// Returns the pool shard if this process may act as its owner now.
fn pool(shared: &Shared, shard: &Id) -> Option<Arc<Pool>> {
    match shared.hosted(shard) {
        Some(Hosted::Pool(pool)) if pool.term.holds() => Some(pool),
        _ => None,
    }
}

fn not_owner(shared: &Shared, shard: &Id) -> Message {
    Message::NotOwner {
        owner: other_owner(shared, shard),
    }
}

/// Returns the owner of `shard` unless it is this process, which isn't active then.
fn other_owner(shared: &Shared, shard: &Id) -> Option<Arc<str>> {
    let owner = shared.owner(shard);
    owner.filter(|owner| *owner != shared.settings.node)
}
