//! Sizes of one soak run.

use std::sync::Arc;

use rosemaryworks_workflow::Id;

/// Pools. The platform assigns them to different shards.
const POOLS: [&str; 2] = ["pool", "other"];

/// Numbers of processes of consecutive seeds.
const PROCESSES: [usize; 5] = [3, 3, 5, 3, 6];

/// Longest leases that workers grant, in milliseconds.
const LEASES_MAX_MS: [u64; 2] = [6_000, 10_000];

/// Clock rates of consecutive workers relative to real time. The slowest is the slowest that is
/// allowed.
const CLOCK_RATES: [f64; 4] = [0.98, 1.0, 0.985, 0.995];

/// Processes, workers and pools of a run.
#[derive(Clone, Debug)]
pub(crate) struct Layout {
    /// Number of processes.
    pub(crate) processes: usize,
    /// Number of workers.
    pub(crate) workers: usize,
    /// Pools, each with a queue of the same name.
    pub(crate) pools: Vec<Arc<str>>,
    /// Largest number of workers that an owner calls itself; `None` leaves it to the process.
    pub(crate) own_workers: Option<u32>,
    /// Longest lease that a worker grants in milliseconds. It shortens a longer one.
    pub(crate) lease_max_ms: u64,
}

impl Layout {
    /// Returns the layout of a seed. Every other seed has its commands sent through relays, and every
    /// third one has a second pool.
    pub(crate) fn of_seed(seed: u64) -> Self {
        let pools = match seed % 3 {
            2 => 2,
            _ => 1,
        };
        Self {
            processes: PROCESSES[seed as usize % PROCESSES.len()],
            workers: 4 + 2 * pools,
            pools: POOLS[..pools].iter().map(|pool| (*pool).into()).collect(),
            own_workers: (seed % 2 == 1).then_some(0),
            // Two of four consecutive seeds have other faults, so that the lease changes after four.
            lease_max_ms: LEASES_MAX_MS[seed as usize / 4 % LEASES_MAX_MS.len()],
        }
    }

    /// Returns the pool of a worker.
    pub(crate) fn pool_of_worker(&self, index: usize) -> &Arc<str> {
        &self.pools[index % self.pools.len()]
    }

    /// Returns the queue of a job.
    pub(crate) fn queue_of_job(&self, id: Id) -> &str {
        &self.pools[id.0 as usize % self.pools.len()]
    }
}

/// Returns the clock rate of a worker relative to real time.
pub(crate) fn clock_rate(worker: usize) -> f64 {
    CLOCK_RATES[worker % CLOCK_RATES.len()]
}
