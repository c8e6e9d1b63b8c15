//! Free capacity of the pools during a placement pass.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemaryworks_core::size::Size;

use crate::host::Host;
use crate::job::Step;
use crate::shard::Shard;

/// Free capacity of a pool during one pass over the waiting steps.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolCapacity {
    /// Upper bound of the free capacity of a single worker, per resource.
    pub(crate) largest_free: Size,
    /// The same of the workers with a label.
    labelled: BTreeMap<Arc<str>, Size>,
    /// Free capacity that no earlier step of the pass waits for. The free capacity is counted twice
    /// because only some of the workers that have it are allowed for a step.
    pub(crate) unclaimed: Size,
    /// Starving steps found so far in the pass; the first ones keep their permits valid.
    pub(crate) starving_steps: u32,
    /// Waiting tasks of the steps visited so far that have permits or have requested them.
    pub(crate) advised_tasks: u64,
}

impl PoolCapacity {
    fn add(&mut self, host: &Host) {
        let free = host.free();
        self.largest_free = self.largest_free.max(&free);
        self.unclaimed += free.times(2);
        for label in &host.worker.labels {
            match self.labelled.get_mut(label) {
                Some(largest) => *largest = largest.max(&free),
                None => drop(self.labelled.insert(label.clone(), free)),
            }
        }
    }

    /// Returns whether some worker may have room for a task of a step.
    pub(crate) fn may_fit(&self, step: &Step, size: &Size) -> bool {
        let largest = match &step.requires {
            Some(label) => self.labelled.get(label),
            None => Some(&self.largest_free),
        };
        largest.is_some_and(|largest| size.fits(largest))
    }
}

/// Free capacity by pool.
pub(crate) type PoolCapacities = BTreeMap<Arc<str>, PoolCapacity>;

impl Shard {
    /// Returns the free capacity of each pool.
    pub(crate) fn pool_capacities(&self, now_ms: u64) -> PoolCapacities {
        let mut capacities = PoolCapacities::new();
        for host in self
            .hosts
            .values()
            .filter(|host| host.is_schedulable(now_ms))
        {
            let pool = host.worker.pool.clone();
            capacities.entry(pool).or_default().add(host);
        }
        capacities
    }
}
