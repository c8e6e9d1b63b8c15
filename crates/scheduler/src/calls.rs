//! Handles RPC calls from gateways and other schedulers.

use std::sync::Arc;

use rosemaryworks_core::contract::Revision;
use rosemaryworks_core::outcome::NotRun;
use rosemaryworks_core::ownership::{Claim, Heartbeat};
use rosemaryworks_core::routing::{Event, SlotRequest};
use rosemaryworks_core::shard::Id;
use rosemaryworks_node::clock;
use rosemaryworks_wire::link::{Peer, Reply};
use rosemaryworks_wire::{Heartbeat as WireHeartbeat, Message, Submission, Verdict};

use crate::context::Context;
use crate::host::Host;
use crate::inspect;
use crate::lock::lock;
use crate::pool::Pool;
use crate::service::Service;
use crate::snapshot;

/// Returns the reply to `message`.
pub(crate) fn answer(context: &Arc<Context>, _peer: &Peer, message: Message) -> Reply {
    let context = context.clone();
    match message {
        Message::Ask { shard, ask } => {
            Box::pin(
                async move { Message::Verdict(self::request_slot(&context, &shard, ask).await) },
            )
        }
        Message::Heartbeat(heartbeat) => immediate(self::answer_heartbeat(&context, heartbeat)),
        Message::Cancel { shard, job } => Box::pin(async move {
            Message::Submission(match active_pool(&context, &shard) {
                Some(pool) => pool.cancel(&context, &job).await,
                None => Submission::NotOwner {
                    owner: other_owner(&context, &shard),
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
            let current = hosted_service(&context, &shard);
            let current = current.filter(|service| service.term.epoch == epoch);
            let event = Event::Finished {
                slot,
                finish,
                run_ms,
            };
            immediate(deliver(&context, &shard, current, event))
        }
        Message::Inspect { view, after } => {
            let page = inspect::page(&context, view, after.as_deref());
            immediate(Message::Inspected(Box::new(page)))
        }
        Message::OutstandingFinished { shard, key, finish } => {
            let current = hosted_service(&context, &shard);
            let event = Event::OutstandingFinished { key, finish };
            immediate(deliver(&context, &shard, current, event))
        }
        Message::Revisions => immediate(Message::RevisionList(applied_revisions(&context))),
        Message::Snapshot => immediate(Message::Snapshotted(Box::new(snapshot::capture(&context)))),
        Message::Status {
            shard,
            job,
            wait_ms,
        } => Box::pin(async move {
            let Some(pool) = active_pool(&context, &shard) else {
                return not_owner(&context, &shard);
            };
            let status = pool.wait(&context, &job, wait_ms).await;
            status.map_or(Message::NoJob, Message::JobStatus)
        }),
        Message::Submit {
            shard,
            contract,
            revision,
            job,
        } => Box::pin(async move {
            if !context.wait_for_revision(&contract, revision).await {
                let reason = NotRun::LogUnavailable;
                return Message::Submission(Submission::Unavailable(reason));
            }
            Message::Submission(match active_pool(&context, &shard) {
                Some(pool) => pool.submit(&context, contract, job).await,
                None => Submission::NotOwner {
                    owner: other_owner(&context, &shard),
                },
            })
        }),
        Message::Tasks { shard, job } => immediate(match active_pool(&context, &shard) {
            Some(pool) => pool
                .tasks(&context, &job)
                .map_or(Message::NoJob, Message::TaskList),
            None => not_owner(&context, &shard),
        }),
        _ => immediate(Message::Done),
    }
}

fn immediate(message: Message) -> Reply {
    Box::pin(std::future::ready(message))
}

async fn request_slot(context: &Arc<Context>, shard: &Id, request: SlotRequest) -> Verdict {
    match hosted_service(context, shard).filter(|service| service.term.is_valid()) {
        Some(service) => service.request_slot(request).await,
        None => Verdict::NotOwner {
            owner: other_owner(context, shard),
        },
    }
}

fn answer_heartbeat(context: &Context, received: WireHeartbeat) -> Message {
    let settled = received.settled.into_iter().chain(std::iter::repeat(false));
    let claims = received.claims.into_iter().zip(settled);
    let claims = claims.map(|((shard, epoch), settled)| Claim {
        shard,
        epoch,
        settled,
    });
    let heartbeat = Heartbeat {
        node: received.node,
        incarnation: received.incarnation,
        sequence: received.sequence,
        claims: claims.collect(),
        stopping: received.stopping,
    };
    let support = context.update_ownership(|kernel| kernel.heartbeat(clock::now(), &heartbeat));
    Message::Supported {
        claims: support.claims,
        clear: support.clear,
        log_unreachable: support.log.unreachable,
        log_unreachable_age_ms: support.log.unreachable_age_ms,
        suspects: support.suspects,
    }
}

/// Delivers an event to the shard's kernel, also while the owner lacks the support of a majority.
fn deliver(context: &Context, shard: &Id, service: Option<Arc<Service>>, event: Event) -> Message {
    match service {
        Some(service) => {
            service.handle(event);
            Message::Done
        }
        None => not_owner(context, shard),
    }
}

/// Returns the contract revisions that the kernels of this process apply.
fn applied_revisions(context: &Context) -> Option<Vec<(Arc<str>, Revision)>> {
    let loaded = context.progress.are_contracts_loaded();
    // Kernels receive each revision under this lock, so they apply the ones read here.
    let register = lock(&context.register);
    let entries = register.iter();
    loaded.then(|| {
        entries
            .map(|entry| (entry.contract.name.clone(), entry.revision))
            .collect()
    })
}

fn hosted_service(context: &Context, shard: &Id) -> Option<Arc<Service>> {
    match context.host(shard) {
        Some(Host::Service(service)) => Some(service),
        _ => None,
    }
}

/// Returns the host of the pool shard if this process may act as its owner now.
fn active_pool(context: &Context, shard: &Id) -> Option<Arc<Pool>> {
    match context.host(shard) {
        Some(Host::Pool(pool)) if pool.term.is_valid() => Some(pool),
        _ => None,
    }
}

fn not_owner(context: &Context, shard: &Id) -> Message {
    Message::NotOwner {
        owner: other_owner(context, shard),
    }
}

/// Returns the owner of `shard` according to the log, or `None` if that is this process, to which
/// the caller must not be redirected.
fn other_owner(context: &Context, shard: &Id) -> Option<Arc<str>> {
    let owner = context.owner(shard);
    owner.filter(|owner| *owner != context.settings.node)
}
