//! Partitioning: maps targets, requests and jobs to shards, and splits contract limits among them.
//!
//! The mapping is a hash of the names, so that all processes agree without communication.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::shard::{Id, Kind};
use crate::size::Size;

/// Fewest units of a limit per shard; a contract with a lower limit is pinned to one shard.
pub const PIN_BELOW_PER_SHARD: u64 = 4;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Number of shards of each service and worker pool. Must be equal in all processes of a cell.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Map {
    /// Shards per worker pool.
    pub pools: BTreeMap<Arc<str>, u32>,
    /// Shards per service.
    pub services: BTreeMap<Arc<str>, u32>,
}

impl Map {
    /// Returns the number of shards of `group`, or `None` if the cell has no such group.
    #[must_use]
    pub fn count(&self, kind: Kind, group: &str) -> Option<u32> {
        match kind {
            Kind::Pool => self.pools.get(group).copied(),
            Kind::Service => self.services.get(group).copied(),
        }
    }

    /// Returns every shard of the cell, in order.
    #[must_use]
    pub fn shards(&self) -> Vec<Id> {
        let pools = self.pools.iter().flat_map(|(group, count)| {
            (0..*count).map(|index| Id {
                kind: Kind::Pool,
                group: group.clone(),
                index,
            })
        });
        let services = self.services.iter().flat_map(|(group, count)| {
            (0..*count).map(|index| Id {
                kind: Kind::Service,
                group: group.clone(),
                index,
            })
        });
        pools.chain(services).collect()
    }

    /// Returns the shard of the instance `name` of `service`.
    #[must_use]
    pub fn shard_of_instance(&self, service: &str, name: &str) -> Option<Id> {
        let count = self.count(Kind::Service, service)?;
        Some(Id::service(service, index(hash(&[name]), count)))
    }

    /// Returns the shard of the workers in `rack` of `pool`.
    #[must_use]
    pub fn shard_of_rack(&self, pool: &str, rack: &str) -> Option<Id> {
        let count = self.count(Kind::Pool, pool)?;
        Some(Id::pool(pool, index(hash(&[rack]), count)))
    }

    /// Returns the shard for a request or job `key` of `contract` in `group`.
    ///
    /// A contract with a small `pinning_limit` is pinned to one shard, because the limit can't be
    /// split into useful shares. The limit is that of [`Service::pinning_limit`] or
    /// [`placement::pinning_limit`].
    ///
    /// [`Service::pinning_limit`]: crate::contract::Service::pinning_limit
    /// [`placement::pinning_limit`]: crate::placement::pinning_limit
    #[must_use]
    pub fn shard_of_key(
        &self,
        kind: Kind,
        group: &str,
        contract: &str,
        key: &str,
        pinning_limit: u64,
    ) -> Option<Id> {
        let count = self.count(kind, group)?;
        let hash = match is_pinned(pinning_limit, count) {
            true => hash(&[contract]),
            false => hash(&[contract, key]),
        };
        Some(Id {
            kind,
            group: group.into(),
            index: index(hash, count),
        })
    }

    /// Returns the share of `limit` that shard `id` may admit for `contract`.
    ///
    /// The shares of all shards sum to exactly `limit`. `pinning_limit` is the limit passed to
    /// [`Map::shard_of_key`], which decides whether the contract is pinned.
    #[must_use]
    pub fn share(&self, id: &Id, contract: &str, limit: u64, pinning_limit: u64) -> u64 {
        let Some(count) = self.count(id.kind, &id.group) else {
            return 0;
        };
        if is_pinned(pinning_limit, count) {
            let is_pinned_here = index(hash(&[contract]), count) == id.index;
            return if is_pinned_here { limit } else { 0 };
        }
        let remainder = u64::from(u64::from(id.index) < limit % u64::from(count));
        limit / u64::from(count) + remainder
    }

    /// Returns the share of `size` that shard `id` may admit for `contract`, computed for each
    /// resource as in [`Map::share`].
    #[must_use]
    pub fn share_size(&self, id: &Id, contract: &str, size: &Size, pinning_limit: u64) -> Size {
        let share = |limit| self.share(id, contract, limit, pinning_limit);
        Size {
            millicores: share(size.millicores),
            memory_mb: share(size.memory_mb),
            accelerators: share(size.accelerators),
        }
    }
}

/// Returns the FNV-1a hash of `parts`, with a separator between parts.
#[must_use]
pub fn hash(parts: &[&str]) -> u64 {
    let mut hash = FNV_OFFSET;
    for part in parts {
        for byte in part.bytes().chain(std::iter::once(0)) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }
    // The low bits of FNV-1a are unevenly distributed for names that differ only in the last
    // character.
    hash ^ (hash >> 32)
}

fn is_pinned(pinning_limit: u64, count: u32) -> bool {
    pinning_limit < PIN_BELOW_PER_SHARD * u64::from(count)
}

fn index(hash: u64, count: u32) -> u32 {
    u32::try_from(hash % u64::from(count.max(1))).unwrap_or(0)
}
