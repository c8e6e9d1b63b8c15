//! Which shards this scheduler should claim now.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::choice::{candidate, max_shards};
use super::ledger::{Ledger, Ownership};
use super::peers::Peers;
use super::settings::Settings;
use crate::shard::{Epoch, Id};
use crate::time::Instant;

/// Returns the shards without an owner that fall to this scheduler, with their current epochs.
///
/// All schedulers with the same view make the same choice; claims in the log settle the rest.
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
    // A reader that saw a shard unclaimed knows later how long it has had owners; see `Kernel::doubt`.
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

/// Tells whether the owner of some claimed shard is suspected.
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

/// Tells whether a claimed shard needs a new owner.
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
    // An owner that a majority may still hear keeps its support; a claim would only disturb it.
    peers.is_suspect(now, &holding.owner)
        && 1 + peers.hearers(now, &holding.owner) < settings.majority()
}
