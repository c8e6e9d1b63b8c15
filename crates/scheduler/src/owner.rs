//! Carries out the actions of the ownership kernel, in order: heartbeats, claims, activation,
//! release and takeover of shards.

mod activate;
mod heartbeat;

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_core::ownership::{Action, Event};
use rosemaryworks_core::record::Cell;
use rosemaryworks_core::shard::{Epoch, Id};
use rosemaryworks_node::clock;
use rosemaryworks_wire::Message;
use tokio::sync::mpsc;

use crate::context::{Context, Written};
use crate::events;
use crate::host::Host;
use crate::lock::lock;

const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);
const REPUBLISH_TIMEOUT: Duration = Duration::from_secs(5);
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which a release waits for the records that must precede it.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
const FLUSH_POLL_PERIOD: Duration = Duration::from_millis(10);

/// Period of the kernel's ticks, equal to the shortest period of heartbeats.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Sends ticks to the ownership kernel until the future is dropped.
pub(crate) async fn tick(context: Arc<Context>) {
    let mut ticks = tokio::time::interval(TICK_PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        let view = context.log_view();
        context.handle_ownership_event(Event::Tick(view));
    }
}

/// Carries out the actions of the ownership kernel until the future is dropped.
pub(crate) async fn run(context: Arc<Context>, mut actions: mpsc::UnboundedReceiver<Action>) {
    while let Some(action) = actions.recv().await {
        execute(&context, action);
    }
}

fn execute(context: &Arc<Context>, action: Action) {
    match action {
        Action::Activate {
            shard,
            epoch,
            clean,
            unrecorded,
            resumed,
        } => activate::activate(
            context,
            &activate::Activation {
                shard,
                epoch,
                clean,
                unrecorded,
                resumed,
            },
        ),
        Action::Heartbeat(heartbeat) => heartbeat::send(context, &heartbeat),
        Action::Claim { shard, previous } => {
            tokio::spawn(claim(context.clone(), shard, previous));
        }
        Action::Deactivate {
            shard,
            epoch,
            ended,
        } => deactivate(context, &shard, epoch, ended),
        Action::Release {
            shard,
            epoch,
            doubt_ms,
        } => {
            tokio::spawn(release(context.clone(), shard, epoch, doubt_ms));
        }
        Action::Republish { shard, epoch } => {
            tokio::spawn(republish_claim(context.clone(), shard, epoch));
        }
    }
}

async fn claim(context: Arc<Context>, shard: Id, previous: Epoch) {
    events::CLAIMING.log(format_args!("shard={shard} previous={previous}"));
    let record = Cell::Claim {
        shard: shard.clone(),
        previous,
        owner: context.settings.node.clone(),
        incarnation: context.hello.incarnation,
    };
    match context.write(&record, CLAIM_TIMEOUT).await {
        Written::Valid | Written::Void => {}
        Written::No(reason) => {
            events::CLAIM_FAILED.log(format_args!("shard={shard} reason={reason}"));
            context.handle_ownership_event(Event::ClaimFailed(shard));
        }
        // The kernel repeats the claim if the record isn't read back.
        Written::Uncertain(reason) => {
            events::CLAIM_FAILED.log(format_args!("shard={shard} reason={reason}"));
        }
    }
}

/// Stops serving a shard whose epoch has `ended`; otherwise suspends it.
fn deactivate(context: &Arc<Context>, shard: &Id, epoch: Epoch, ended: bool) {
    let host = context
        .host(shard)
        .filter(|host| host.term().epoch == epoch);
    let Some(host) = host else { return };
    if !ended {
        if !context.progress.is_stopping() {
            events::SUSPENDED.log(format_args!("shard={shard} epoch={epoch}"));
        }
        host.suspend();
        return;
    }
    events::DEACTIVATED.log(format_args!("shard={shard} epoch={epoch}"));
    lock(&context.hosts).remove(shard);
    host.end();
    context.counters.remove_shard(&shard.to_string());
}

async fn release(context: Arc<Context>, shard: Id, epoch: Epoch, doubt_ms: u64) {
    let host = context
        .host(&shard)
        .filter(|host| host.term().epoch == epoch);
    if let Some(host) = &host {
        // After the release, further records of this epoch would be void.
        if !flush(host).await {
            events::RELEASE_FAILED.log(format_args!(
                "shard={shard} epoch={epoch} reason=records not written"
            ));
            return;
        }
    }
    let record = Cell::Release {
        shard: shard.clone(),
        epoch,
        doubt_ms,
    };
    match context.write(&record, RELEASE_TIMEOUT).await {
        Written::Valid => {
            events::RELEASED.log(format_args!("shard={shard} epoch={epoch}"));
            let released = Message::Released(vec![(shard.clone(), epoch)]);
            for peer in context.peers.get().into_iter().flatten() {
                // A peer without a link reads the release from the log.
                let _ = peer.notify(released.clone());
            }
            context.gateways.notify(&Message::Owned {
                shard,
                epoch,
                owner: None,
            });
        }
        written => {
            events::RELEASE_FAILED.log(format_args!(
                "shard={shard} epoch={epoch} reason={written:?}"
            ));
        }
    }
}

/// Waits until the queued records of a host are written. Returns whether they are.
async fn flush(host: &Host) -> bool {
    let writer = match host {
        Host::Pool(pool) => &pool.writer,
        Host::Service(service) => &service.writer,
    };
    let deadline = clock::now() + u64::try_from(FLUSH_TIMEOUT.as_millis()).unwrap_or(0);
    while writer.pending() > 0 {
        if clock::now() >= deadline {
            return false;
        }
        tokio::time::sleep(FLUSH_POLL_PERIOD).await;
    }
    true
}

async fn republish_claim(context: Arc<Context>, shard: Id, epoch: Epoch) {
    let record = Cell::Standing {
        shard,
        epoch,
        owner: context.settings.node.clone(),
        incarnation: context.hello.incarnation,
    };
    // The kernel republishes the claim later if it isn't read back.
    let _ = context.write(&record, REPUBLISH_TIMEOUT).await;
}
