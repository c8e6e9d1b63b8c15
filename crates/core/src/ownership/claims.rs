//! Selection of the shards that this scheduler claims.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::choice::{candidate, max_shards};
use super::ledger::{Ledger, Ownership};
use super::peers::Peers;
use super::settings::Settings;
use crate::shard::{Epoch, Id};
use crate::time::Instant;

/// Returns the shards without an owner that this scheduler should claim, with their current epochs.
///
/// Schedulers with the same view make the same choice. If views differ, the first claim in the log
/// wins.
pub(super) fn claimable(
    now: Instant,
    settings: &Settings,
    peers: &Peers,
    ledger: &Ledger,
) -> Vec<(Id, Epoch)> {
    let mut loads = loads(now, settings, peers);
    let live = peers.live(now).count() + 1;
    if live < settings.majority() || !peers.has_heard_peers(now) {
        return Vec::new();
    }
    // A shard that was never claimed is claimed only when every peer has had time to see it
    // unclaimed: such a peer can bound the shard's age later; see `Kernel::unrecorded_dispatches`.
    let stable = peers.is_stable(now);
    let limit = max_shards(settings.shards.len(), loads.len());
    let mut unowned = Vec::new();
    for shard in &settings.shards {
        match ledger.get(shard) {
            Some(ownership) if !needs_owner(now, settings, peers, ownership) => {
                if let Some(load) = loads.get_mut(&ownership.owner) {
                    *load += 1;
                }
            }
            _ => unowned.push(shard),
        }
    }
    let mut claimable = Vec::new();
    for shard in unowned {
        let Some(name) = candidate(shard, &loads, limit) else {
            continue;
        };
        let never_claimed = ledger.get(shard).is_none();
        if name == settings.name && (stable || !never_claimed) {
            claimable.push((shard.clone(), ledger.epoch(shard)));
        }
        if let Some(load) = loads.get_mut(&name) {
            *load += 1;
        }
    }
    claimable
}

/// Returns whether the owner of any claimed shard is suspected to be down.
pub(super) fn is_owner_suspected(
    now: Instant,
    settings: &Settings,
    peers: &Peers,
    ledger: &Ledger,
) -> bool {
    let suspected = |ownership: &Ownership| {
        !ownership.released
            && ownership.owner != settings.name
            && peers.is_suspect(now, &ownership.owner)
    };
    ledger.iter().any(|(_, ownership)| suspected(ownership))
}

fn loads(now: Instant, settings: &Settings, peers: &Peers) -> BTreeMap<Arc<str>, usize> {
    let stopping = |name: &str| peers.get(name).is_some_and(|peer| peer.stopping);
    let mut loads: BTreeMap<_, _> = peers
        .live(now)
        .filter(|name| !stopping(name))
        .map(|name| (name.clone(), 0))
        .collect();
    loads.insert(settings.name.clone(), 0);
    loads
}

/// Returns whether a claimed shard needs a new owner.
fn needs_owner(now: Instant, settings: &Settings, peers: &Peers, ownership: &Ownership) -> bool {
    if ownership.released {
        return true;
    }
    if ownership.owner == settings.name {
        return ownership.incarnation != settings.incarnation;
    }
    let restarted = peers
        .get(&ownership.owner)
        .is_some_and(|peer| peer.incarnation > ownership.incarnation);
    if restarted {
        return true;
    }
    // An owner that a majority may still reach keeps its support; a claim would interrupt it.
    peers.is_suspect(now, &ownership.owner)
        && 1 + peers.count_receiving(now, &ownership.owner) < settings.majority()
}
