//! What a contract holds and what waits under it.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::contract::{Contract, Pool};
use crate::job::Priority;
use crate::partition::Map;
use crate::placement::work::Serial;
use crate::shard;
use crate::size::Size;

/// Scale of a contract's share of the pool, so that shares can be compared as integers.
const SHARE_SCALE: u128 = 1_000_000_000;

/// Returns the limit that decides whether a contract is pinned in a pool: its whole cores.
///
/// Every process passes this figure to [`Map::shard_of_key`] and [`Map::share_size`].
#[must_use]
pub fn pinning_limit(pool: &Pool) -> u64 {
    pool.size.millicores / 1_000
}

/// A contract's part of the shard.
#[derive(Debug, Default)]
pub(crate) struct Account {
    pub(crate) contract: Option<Arc<Contract>>,
    /// Part of the contract's limit that this shard may admit.
    pub(crate) limit: Size,
    /// Part of the limit that urgent tasks may hold.
    pub(crate) urgent_limit: Size,
    /// Tasks that may wait.
    pub(crate) queue: u64,
    pub(crate) held: Size,
    pub(crate) urgent_held: Size,
    pub(crate) waiting: u64,
    /// Jobs by id whose records are being written.
    pub(crate) arriving: HashMap<Arc<str>, Arrival>,
    queues: [BTreeSet<Serial>; 3],
    cursors: [Serial; 3],
}

/// A job whose record is being written.
#[derive(Debug, Default)]
pub(crate) struct Arrival {
    pub(crate) tasks: u64,
    /// Submissions of the id in flight.
    pub(crate) writers: u32,
}

impl Account {
    /// Returns the tasks of arriving jobs other than `id`.
    pub(crate) fn arriving(&self, id: &str) -> u64 {
        let others = self.arriving.iter().filter(|(other, _)| &***other != id);
        others.map(|(_, arrival)| arrival.tasks).sum()
    }

    /// Tells whether the limits allow `size` more.
    pub(crate) fn allows(&self, size: &Size, urgent: bool) -> bool {
        let within = (self.held + *size).fits(&self.limit);
        within && (!urgent || (self.urgent_held + *size).fits(&self.urgent_limit))
    }

    /// Counts a lease.
    pub(crate) fn hold(&mut self, size: &Size, urgent: bool) {
        self.held += *size;
        if urgent {
            self.urgent_held += *size;
        }
    }

    /// Stops counting a lease.
    pub(crate) fn release(&mut self, size: &Size, urgent: bool) {
        self.held -= *size;
        if urgent {
            self.urgent_held -= *size;
        }
    }

    /// Queues a job.
    pub(crate) fn enqueue(&mut self, priority: Priority, serial: Serial) {
        self.queues[priority as usize].insert(serial);
    }

    /// Takes a job out of the queue.
    pub(crate) fn dequeue(&mut self, priority: Priority, serial: Serial) {
        self.queues[priority as usize].remove(&serial);
    }

    /// Tells whether jobs of a priority wait.
    pub(crate) fn has_waiting(&self, priority: Priority) -> bool {
        !self.queues[priority as usize].is_empty()
    }

    /// Returns up to `count` jobs to try: half from the head of the queue, half from where the
    /// last call ended, so that jobs that don't fit hide the others only for a while.
    pub(crate) fn candidates(&mut self, priority: Priority, count: usize) -> Vec<Serial> {
        let queue = &self.queues[priority as usize];
        if queue.len() <= count {
            return queue.iter().copied().collect();
        }
        let mut found: Vec<Serial> = queue.iter().copied().take(count / 2).collect();
        let head = found.last().copied().unwrap_or(0);
        let from = self.cursors[priority as usize].max(head) + 1;
        found.extend(queue.range(from..).copied().take(count - found.len()));
        let wrapped = found.len() < count;
        let last = found.last().copied().unwrap_or(0);
        self.cursors[priority as usize] = if wrapped { 0 } else { last };
        found
    }

    /// Returns the largest share of a resource of the pool held, relative to the weight.
    pub(crate) fn share(&self, pool: &Size) -> u64 {
        let part =
            |held: u64, total: u64| u128::from(held) * SHARE_SCALE / u128::from(total.max(1));
        let largest = part(self.held.millicores, pool.millicores)
            .max(part(self.held.memory_mb, pool.memory_mb))
            .max(part(self.held.accelerators, pool.accelerators));
        let weight = self.contract.as_ref().map_or(1, |contract| contract.weight);
        u64::try_from(largest / u128::from(weight.max(1))).unwrap_or(u64::MAX)
    }

    fn revise(&mut self, contract: Arc<Contract>, shard: &shard::Id, map: &Map) {
        let pool = contract.pools.get(&shard.group);
        let share = |size: &Size, pool: &Pool| {
            map.share_size(shard, &contract.name, size, pinning_limit(pool))
        };
        self.limit = pool.map_or(Size::ZERO, |pool| share(&pool.size, pool));
        self.urgent_limit = percent(&self.limit, contract.urgent_percent);
        self.queue = pool.map_or(0, |pool| {
            let queue = u64::from(pool.queue);
            map.share(shard, &contract.name, queue, pinning_limit(pool))
        });
        self.contract = Some(contract);
    }
}

fn percent(size: &Size, percent: u32) -> Size {
    let part = |amount: u64| amount.saturating_mul(u64::from(percent.min(100))) / 100;
    Size {
        millicores: part(size.millicores),
        memory_mb: part(size.memory_mb),
        accelerators: part(size.accelerators),
    }
}

/// The accounts of all contracts with work in the shard or a published contract.
#[derive(Debug, Default)]
pub(crate) struct Accounts {
    names: HashMap<Arc<str>, usize>,
    pub(crate) all: Vec<Account>,
}

impl Accounts {
    /// Returns the position of a contract's account and creates it if needed.
    pub(crate) fn open(&mut self, name: &Arc<str>) -> usize {
        if let Some(account) = self.names.get(name) {
            return *account;
        }
        self.all.push(Account::default());
        self.names.insert(name.clone(), self.all.len() - 1);
        self.all.len() - 1
    }

    /// Returns a contract's account.
    pub(crate) fn get(&self, name: &str) -> Option<&Account> {
        self.names.get(name).map(|account| &self.all[*account])
    }

    /// Takes over a contract's limits.
    pub(crate) fn revise(&mut self, contract: Arc<Contract>, shard: &shard::Id, map: &Map) {
        let account = self.open(&contract.name);
        self.all[account].revise(contract, shard, map);
    }
}
