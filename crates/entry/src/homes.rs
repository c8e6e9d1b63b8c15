//! Which shards know the jobs of an address: a register in the log, without I/O.
//!
//! The configuration says where jobs of an address go now. Earlier ones stay in the shard that accepted
//! them, so a process lists a shard in the register before it sends it the first job of an address. A
//! query goes to all listed shards, and a job that none of them knows to the one that was listed with the
//! latest version of the configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rosemaryworks_workflow::Address;

/// Age of the register above which it can't tell that a job is unknown, in milliseconds. Processes read
/// it together with the claims.
pub const FRESH_MS: u64 = 2_500;

/// Prefix of the keys of entries.
const KEY_PREFIX: &str = "home-";

/// Shards that may know the jobs of an address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chain {
    /// Shards to which the address belonged before, the earliest first.
    pub former: Vec<u32>,
    /// Shard that accepts new jobs.
    pub current: u32,
    /// Version of the configuration that sent the address there.
    pub version: u64,
}

impl Chain {
    /// Returns all shards, in the order in which jobs are forwarded from one to the next.
    pub(crate) fn shards(&self) -> impl Iterator<Item = u32> {
        self.former.iter().copied().chain([self.current])
    }
}

/// How a new job of an address gets to its shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    /// The shard must be listed first.
    List,
    /// The shards are listed.
    Send(Chain),
}

/// Listed shards by address, with the versions of the configuration that sent the address there.
#[derive(Debug, Default)]
pub struct Homes {
    listed: BTreeMap<Address, BTreeMap<u32, u64>>,
    read_ms: Option<u64>,
}

/// Returns the key of an entry.
#[must_use]
pub fn key(address: Address, shard: u32) -> Arc<str> {
    format!("{KEY_PREFIX}{:016x}-{shard}", address.0).into()
}

/// Returns the address and the shard of an entry's key; `None` for other keys.
#[must_use]
pub fn entry_of(key: &str) -> Option<(Address, u32)> {
    let (address, shard) = key.strip_prefix(KEY_PREFIX)?.split_once('-')?;
    let address = u64::from_str_radix(address, 16).ok()?;
    Some((Address(address), shard.parse().ok()?))
}

impl Homes {
    /// Lists a shard, or removes it if there is no version. Entries may be read more than once and in
    /// another order than they were written, so the latest version counts.
    pub fn apply(&mut self, address: Address, shard: u32, version: Option<u64>) {
        let shards = self.listed.entry(address).or_default();
        match version {
            Some(version) => {
                let listed = shards.entry(shard).or_insert(version);
                *listed = version.max(*listed);
            }
            None => drop(shards.remove(&shard)),
        }
        self.listed.retain(|_, shards| !shards.is_empty());
    }

    /// Records that the register was read to its end at `now_ms`.
    pub fn caught_up(&mut self, now_ms: u64) {
        self.read_ms = Some(now_ms);
    }

    /// Returns whether the register is recent enough to tell that a job is unknown.
    #[must_use]
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        self.read_ms.is_some_and(|at_ms| now_ms < at_ms + FRESH_MS)
    }

    /// Returns how a new job gets to its shard, if version `version` of the configuration sends its
    /// address to `shard`. A later version in the register goes before it.
    #[must_use]
    pub fn next(&self, address: Address, shard: u32, version: u64) -> Next {
        let latest = self.latest(address);
        match latest {
            Some((listed, at)) if listed == shard || at >= version => {
                Next::Send(self.chain_to(address, listed, at))
            }
            _ => Next::List,
        }
    }

    /// Returns the shards that may know a job, under the same configuration.
    #[must_use]
    pub fn chain(&self, address: Address, shard: u32, version: u64) -> Chain {
        match self.next(address, shard, version) {
            Next::Send(chain) => chain,
            Next::List => self.chain_to(address, shard, version),
        }
    }

    /// Returns the addresses for which a shard is listed, with the versions.
    #[must_use]
    pub fn listed_in(&self, shard: u32) -> Vec<(Address, u64)> {
        let listed = self.listed.iter();
        listed
            .filter_map(|(address, shards)| Some((*address, *shards.get(&shard)?)))
            .collect()
    }

    /// Returns the version with which a shard is listed.
    #[must_use]
    pub fn version(&self, address: Address, shard: u32) -> Option<u64> {
        self.listed.get(&address)?.get(&shard).copied()
    }

    /// Returns all listed shards.
    #[must_use]
    pub fn shards(&self) -> BTreeSet<u32> {
        let shards = self.listed.values().flat_map(BTreeMap::keys);
        shards.copied().collect()
    }

    /// Returns the shard that was listed with the latest version, and that version.
    fn latest(&self, address: Address) -> Option<(u32, u64)> {
        let listed = self.listed.get(&address)?.iter();
        let latest = listed.max_by_key(|(shard, version)| (**version, **shard));
        latest.map(|(shard, version)| (*shard, *version))
    }

    fn chain_to(&self, address: Address, current: u32, version: u64) -> Chain {
        let listed = self.listed.get(&address).into_iter().flatten();
        let former = listed.filter(|(shard, _)| **shard != current);
        let mut former: Vec<(u64, u32)> = former.map(|(shard, at)| (*at, *shard)).collect();
        former.sort_unstable();
        Chain {
            former: former.into_iter().map(|(_, shard)| shard).collect(),
            current,
            version,
        }
    }
}
