//! Resource accounting per contract: limits, resources in use and queued jobs.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::contract::{Contract, Pool};
use crate::job::Priority;
use crate::partition::Map;
use crate::placement::jobs::Serial;
use crate::shard;
use crate::size::Size;

/// Scale of dominant shares, which are compared as integers.
const SHARE_SCALE: u128 = 1_000_000_000;

/// Returns the limit that decides whether a contract is pinned to one shard of a pool: its number
/// of whole cores.
///
/// Every process must pass this limit to [`Map::shard_of_key`] and [`Map::share_size`].
#[must_use]
pub fn pinning_limit(pool: &Pool) -> u64 {
    pool.size.millicores / 1_000
}

/// Limits and use of one contract in the shard.
#[derive(Debug, Default)]
pub(crate) struct Account {
    pub(crate) contract: Option<Arc<Contract>>,
    /// Part of the contract's limit that this shard may admit.
    pub(crate) limit: Size,
    /// Part of `limit` that urgent tasks may use.
    pub(crate) urgent_limit: Size,
    /// Most tasks that may wait.
    pub(crate) queue_limit: u64,
    /// Resources of all leases.
    pub(crate) held: Size,
    /// Resources of the leases of urgent tasks.
    pub(crate) urgent_held: Size,
    /// Number of waiting tasks.
    pub(crate) waiting: u64,
    /// Admitted jobs whose records are being written, by id.
    pub(crate) pending: HashMap<Arc<str>, Pending>,
    queues: [BTreeSet<Serial>; 3],
    cursors: [Serial; 3],
}

/// Queue reservation of a job whose record is being written.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    pub(crate) tasks: u64,
    /// Submissions of this id in flight.
    pub(crate) submissions: u32,
}

impl Account {
    /// Returns the number of tasks of pending jobs other than `id`.
    pub(crate) fn pending_tasks_except(&self, id: &str) -> u64 {
        let others = self.pending.iter().filter(|(other, _)| &***other != id);
        others.map(|(_, pending)| pending.tasks).sum()
    }

    /// Returns whether another `size` stays within the limits.
    pub(crate) fn allows(&self, size: &Size, urgent: bool) -> bool {
        let within = (self.held + *size).fits(&self.limit);
        within && (!urgent || (self.urgent_held + *size).fits(&self.urgent_limit))
    }

    /// Adds a lease to the resources in use.
    pub(crate) fn allocate(&mut self, size: &Size, urgent: bool) {
        self.held += *size;
        if urgent {
            self.urgent_held += *size;
        }
    }

    /// Removes a lease from the resources in use.
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

    /// Removes a job from the queue.
    pub(crate) fn dequeue(&mut self, priority: Priority, serial: Serial) {
        self.queues[priority as usize].remove(&serial);
    }

    /// Returns whether the queue of a priority holds jobs.
    pub(crate) fn has_waiting(&self, priority: Priority) -> bool {
        !self.queues[priority as usize].is_empty()
    }

    /// Returns up to `count` jobs to try: half from the head of the queue, half from where the
    /// last call ended. The cursor prevents head-of-line blocking by jobs that don't fit.
    pub(crate) fn candidates(&mut self, priority: Priority, count: usize) -> Vec<Serial> {
        let queue = &self.queues[priority as usize];
        if queue.len() <= count {
            return queue.iter().copied().collect();
        }
        let mut jobs: Vec<Serial> = queue.iter().copied().take(count / 2).collect();
        let head = jobs.last().copied().unwrap_or(0);
        let from = self.cursors[priority as usize].max(head) + 1;
        jobs.extend(queue.range(from..).copied().take(count - jobs.len()));
        let wrapped = jobs.len() < count;
        let last = jobs.last().copied().unwrap_or(0);
        self.cursors[priority as usize] = if wrapped { 0 } else { last };
        jobs
    }

    /// Returns the contract's dominant share: its largest share of any resource of the pool,
    /// divided by its weight.
    pub(crate) fn dominant_share(&self, pool: &Size) -> u64 {
        let scaled =
            |held: u64, total: u64| u128::from(held) * SHARE_SCALE / u128::from(total.max(1));
        let largest = scaled(self.held.millicores, pool.millicores)
            .max(scaled(self.held.memory_mb, pool.memory_mb))
            .max(scaled(self.held.accelerators, pool.accelerators));
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
        self.queue_limit = pool.map_or(0, |pool| {
            let queue = u64::from(pool.queue);
            map.share(shard, &contract.name, queue, pinning_limit(pool))
        });
        self.contract = Some(contract);
    }
}

fn percent(size: &Size, percent: u32) -> Size {
    let scaled = |amount: u64| amount.saturating_mul(u64::from(percent.min(100))) / 100;
    Size {
        millicores: scaled(size.millicores),
        memory_mb: scaled(size.memory_mb),
        accelerators: scaled(size.accelerators),
    }
}

/// Accounts of all contracts that are published or have jobs in the shard.
#[derive(Debug, Default)]
pub(crate) struct Accounts {
    names: HashMap<Arc<str>, usize>,
    pub(crate) all: Vec<Account>,
}

impl Accounts {
    /// Returns the index of a contract's account, which is created if needed.
    pub(crate) fn get_or_insert(&mut self, name: &Arc<str>) -> usize {
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

    /// Applies a contract's limits.
    pub(crate) fn revise(&mut self, contract: Arc<Contract>, shard: &shard::Id, map: &Map) {
        let account = self.get_or_insert(&contract.name);
        self.all[account].revise(contract, shard, map);
    }
}
