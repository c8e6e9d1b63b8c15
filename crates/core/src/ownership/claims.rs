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
pub(super) fn due(
    now: Instant,
    settings: &Settings,
    peers: &Peers,
    ledger: &Ledger,
) -> Vec<(Id, Epoch)> {
    let mut loads = loads(now, settings, peers);
    let live = peers.live(now).count() + 1;
    if live < settings.majority() || !peers.is_settled(now) {
        return Vec::new();
    }
    // A scheduler that has seen a shard unclaimed can bound the shard's age later; see
    // `Kernel::unrecorded_dispatches`.
    let quiet = peers.is_quiet(now);
    let limit = max_shards(settings.shards.len(), loads.len());
    let mut free = Vec::new();
    for shard in &settings.shards {
        match ledger.get(shard) {
            Some(holding) if !is_free(now, settings, peers, holding) => {
                if let Some(load) = loads.get_mut(&holding.owner) {
                    *load += 1;
                }
            }
            _ => free.push(shard),
        }
    }
    let mut due = Vec::new();
    for shard in free {
        let Some(name) = candidate(shard, &loads, limit) else {
            continue;
        };
        let first = ledger.get(shard).is_none();
        if name == settings.name && (quiet || !first) {
            due.push((shard.clone(), ledger.epoch(shard)));
        }
        if let Some(load) = loads.get_mut(&name) {
            *load += 1;
        }
    }
    due
}

/// Returns whether the owner of any claimed shard is suspected to be down.
pub(super) fn is_owner_suspected(
    now: Instant,
    settings: &Settings,
    peers: &Peers,
    ledger: &Ledger,
) -> bool {
    let suspected = |holding: &Ownership| {
        !holding.released && holding.owner != settings.name && peers.is_suspect(now, &holding.owner)
    };
    ledger.iter().any(|(_, holding)| suspected(holding))
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
fn is_free(now: Instant, settings: &Settings, peers: &Peers, holding: &Ownership) -> bool {
    if holding.released {
        return true;
    }
    if holding.owner == settings.name {
        return holding.incarnation != settings.incarnation;
    }
    let restarted = peers
        .get(&holding.owner)
        .is_some_and(|peer| peer.incarnation > holding.incarnation);
    if restarted {
        return true;
    }
    // An owner that a majority may still reach keeps its support; a claim would interrupt it.
    peers.is_suspect(now, &holding.owner)
        && 1 + peers.hearers(now, &holding.owner) < settings.majority()
}
