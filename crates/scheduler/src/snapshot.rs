//! Snapshots of the state, which a starting process fetches from a peer while the log is
//! unreachable.

use std::time::Duration;

use rosemaryworks_core::ownership::Ledger;
use rosemaryworks_core::register::Register;
use rosemaryworks_wire::{Message, Snapshot};

use crate::context::Context;
use crate::events;
use crate::lock::lock;

const TIMEOUT: Duration = Duration::from_secs(2);

/// Returns a snapshot of this process's state, empty if its streams aren't loaded.
pub(crate) fn capture(context: &Context) -> Snapshot {
    if !context.progress.is_complete() {
        return Snapshot::default();
    }
    let register = lock(&context.register).clone();
    let kernel = lock(&context.ownership);
    let holdings = kernel.ledger().iter();
    let current = holdings.filter(|(_, holding)| !holding.released);
    let owners = current.map(|(shard, holding)| {
        let owner = holding.owner.clone();
        (shard.clone(), holding.epoch, owner, holding.incarnation)
    });
    Snapshot {
        owners: owners.collect(),
        cell_offset: kernel.ledger().offset(),
        register,
    }
}

/// Restores the state from the peer with the most recent snapshot. Returns whether there was one.
pub(crate) async fn fetch(context: &Context) -> bool {
    let mut best: Option<(Snapshot, &str)> = None;
    for peer in context.peers.get().into_iter().flatten() {
        let Ok(Message::Snapshotted(snapshot)) = peer.call(Message::Snapshot, TIMEOUT).await else {
            continue;
        };
        let rank = |snapshot: &Snapshot| (snapshot.register.offset(), snapshot.cell_offset);
        let known = best.as_ref().map(|(best, _)| rank(best));
        if rank(&snapshot) > known.unwrap_or_default() {
            best = Some((*snapshot, peer.name()));
        }
    }
    let Some((snapshot, peer)) = best else {
        return false;
    };
    events::SNAPSHOT_TAKEN.log(format_args!(
        "peer={peer} contracts_offset={} cell_offset={}",
        snapshot.register.offset(),
        snapshot.cell_offset
    ));
    restore(context, snapshot);
    true
}

fn restore(context: &Context, snapshot: Snapshot) {
    let ledger = Ledger::restore(snapshot.cell_offset, snapshot.owners);
    lock(&context.ownership).restore(ledger);
    let mut register: std::sync::MutexGuard<'_, Register> = lock(&context.register);
    if snapshot.register.offset() > register.offset() {
        *register = snapshot.register;
    }
    drop(register);
    context.progress.set_contracts_loaded(&context.status.ready);
    context.progress.set_cell_loaded(&context.status.ready);
}
