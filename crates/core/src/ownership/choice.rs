//! Choice of the scheduler that claims a shard without an owner, by rendezvous hashing.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::partition::hash;
use crate::shard::Id;

/// Returns the most shards that each of `live` schedulers owns if `shards` are spread evenly.
#[must_use]
pub fn max_shards(shards: usize, live: usize) -> usize {
    shards.div_ceil(live.max(1))
}

/// Returns the scheduler with the highest rendezvous hash for `shard` among those in `loads` that
/// own fewer than `limit` shards.
#[must_use]
pub fn candidate(shard: &Id, loads: &BTreeMap<Arc<str>, usize>, limit: usize) -> Option<Arc<str>> {
    let shard = shard.to_string();
    loads
        .iter()
        .filter(|(_, load)| **load < limit)
        .max_by_key(|(name, _)| (hash(&[&shard, name]), *name))
        .map(|(name, _)| name.clone())
}
