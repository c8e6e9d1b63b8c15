//! Carries out the steps of the ownership kernel, in order.

mod activate;
mod beat;

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_core::ownership::{Action, Event};
use rosemaryworks_core::record::Cell;
use rosemaryworks_core::shard::{Epoch, Id};
use rosemaryworks_node::clock;
use rosemaryworks_wire::Message;
use tokio::sync::mpsc;

use crate::events;
use crate::hosted::Hosted;
use crate::lock::lock;
use crate::shared::{Shared, Written};

const CLAIM_PATIENCE: Duration = Duration::from_millis(1_500);
const RESTATE_PATIENCE: Duration = Duration::from_secs(5);
const RELEASE_PATIENCE: Duration = Duration::from_secs(5);

/// Time that a planned stop waits for records that must precede the release.
const FLUSH_MAX: Duration = Duration::from_secs(2);
const FLUSH_PERIOD: Duration = Duration::from_millis(10);

/// The period of the most frequent heartbeats.
const TICK: Duration = Duration::from_millis(100);

/// Feeds the time to the ownership kernel until the future is dropped.
pub(crate) async fn tick(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        let view = shared.log_view();
        shared.ownership_event(Event::Tick(view));
    }
}

/// Carries out steps until the kernel is gone.
pub(crate) async fn run(shared: Arc<Shared>, mut steps: mpsc::UnboundedReceiver<Action>) {
    while let Some(step) = steps.recv().await {
        carry_out(&shared, step);
    }
}

fn carry_out(shared: &Arc<Shared>, step: Action) {
    match step {
        Action::Activate {
            shard,
            epoch,
            clean,
            unrecorded,
            resumed,
        } => activate::activate(
            shared,
            &activate::Terms {
                shard,
                epoch,
                clean,
                unrecorded,
                resumed,
            },
        ),
        Action::Heartbeat(heartbeat) => beat::send(shared, &heartbeat),
        Action::Claim { shard, previous } => {
            tokio::spawn(claim(shared.clone(), shard, previous));
        }
        Action::Deactivate {
            shard,
            epoch,
            ended,
        } => deactivate(shared, &shard, epoch, ended),
        Action::Release {
            shard,
            epoch,
            doubt_ms,
        } => {
            tokio::spawn(release(shared.clone(), shard, epoch, doubt_ms));
        }
        Action::Republish { shard, epoch } => {
            tokio::spawn(restate(shared.clone(), shard, epoch));
        }
    }
}

async fn claim(shared: Arc<Shared>, shard: Id, previous: Epoch) {
    events::CLAIMING.log(format_args!("shard={shard} previous={previous}"));
    let record = Cell::Claim {
        shard: shard.clone(),
        previous,
        owner: shared.settings.node.clone(),
        incarnation: shared.hello.incarnation,
    };
    match shared.write(&record, CLAIM_PATIENCE).await {
        Written::Valid | Written::Void => {}
        Written::No(reason) => {
            events::CLAIM_FAILED.log(format_args!("shard={shard} reason={reason}"));
            shared.ownership_event(Event::ClaimFailed(shard));
        }
        // The kernel claims again if the record doesn't appear.
        Written::Uncertain(reason) => {
            events::CLAIM_FAILED.log(format_args!("shard={shard} reason={reason}"));
        }
    }
}

fn deactivate(shared: &Arc<Shared>, shard: &Id, epoch: Epoch, over: bool) {
    let hosted = shared
        .hosted(shard)
        .filter(|hosted| hosted.term().epoch == epoch);
    let Some(hosted) = hosted else { return };
    if !over {
        if !shared.progress.is_stopping() {
            events::SUSPENDED.log(format_args!("shard={shard} epoch={epoch}"));
        }
        hosted.suspend();
        return;
    }
    events::DEACTIVATED.log(format_args!("shard={shard} epoch={epoch}"));
    lock(&shared.hosted).remove(shard);
    hosted.end();
    shared.counters.forget(&shard.to_string());
}

async fn release(shared: Arc<Shared>, shard: Id, epoch: Epoch, doubt_ms: u64) {
    let hosted = shared
        .hosted(&shard)
        .filter(|hosted| hosted.term().epoch == epoch);
    if let Some(hosted) = &hosted {
        // Records of this epoch are void after the release.
        if !flush(hosted).await {
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
    match shared.write(&record, RELEASE_PATIENCE).await {
        Written::Valid => {
            events::RELEASED.log(format_args!("shard={shard} epoch={epoch}"));
            let released = Message::Released(vec![(shard.clone(), epoch)]);
            for peer in shared.peers.get().into_iter().flatten() {
                // A peer without a link reads the release in the log.
                let _ = peer.notify(released.clone());
            }
            shared.gateways.notify(&Message::Owned {
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

/// Waits until the records of a hosted kernel are written. Returns whether they are.
async fn flush(hosted: &Hosted) -> bool {
    let writer = match hosted {
        Hosted::Pool(pool) => &pool.writer,
        Hosted::Service(service) => &service.writer,
    };
    let deadline = clock::now() + u64::try_from(FLUSH_MAX.as_millis()).unwrap_or(0);
    while writer.open() > 0 {
        if clock::now() >= deadline {
            return false;
        }
        tokio::time::sleep(FLUSH_PERIOD).await;
    }
    true
}

async fn restate(shared: Arc<Shared>, shard: Id, epoch: Epoch) {
    let record = Cell::Standing {
        shard,
        epoch,
        owner: shared.settings.node.clone(),
        incarnation: shared.hello.incarnation,
    };
    // The kernel states the claim again later if it isn't read back.
    let _ = shared.write(&record, RESTATE_PATIENCE).await;
}
