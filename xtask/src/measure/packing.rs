//! Bin packing: utilization of the pool when the first task has to wait, and VMs in use relative to
//! a lower bound.

use rosemaryworks_core::job::State;
use rosemaryworks_core::size::Size;

use super::load::{Job, Load, contract};
use super::pool::Pool;
use super::table::Row;
use super::{BASELINES, OURS, Scenario};

/// Size of a VM.
const VM: Size = Size::new(16_000, 32_000);
/// Number of VMs.
const VMS: u64 = 35;

/// Fills a pool with tasks of mixed sizes.
#[derive(Debug)]
pub(crate) struct Packing;

impl Scenario for Packing {
    fn name(&self) -> &'static str {
        "packing"
    }

    fn run(&self, seed: u64) -> Vec<Row> {
        let ours = fill(OURS, seed);
        let others = BASELINES.map(|name| (name, fill(name, seed)));
        let used = others.map(|(name, run)| (name, run.0));
        let bound = others.map(|(name, run)| (name, run.1));
        vec![
            Row::new("used/usable at the first refused placement", ours.0, &used),
            Row::new("VMs in use / lower bound, half the work", ours.1, &bound),
        ]
    }
}

/// Returns the utilization when the first task has to wait, and the VMs in use relative to the
/// lower bound when half as many tasks are placed.
fn fill(policy: &str, seed: u64) -> (f64, f64) {
    let full = place_tasks(policy, seed, usize::MAX);
    let half = place_tasks(policy, seed, full.1 / 2);
    (full.0, half.2)
}

/// Places up to `limit` tasks. Returns the utilization, the number of tasks placed, and the VMs in
/// use relative to the lower bound.
fn place_tasks(policy: &str, seed: u64, limit: usize) -> (f64, usize, f64) {
    let mut load = Load::new(seed);
    let mut pool = Pool::new(policy, seed, &[VM; VMS as usize]);
    pool.publish(contract("a", 1, VM.times(VMS)));
    let mut placed = 0;
    while placed < limit {
        let id = pool.submit(long_job(&mut load));
        pool.tick();
        if pool
            .kernel
            .status(&id)
            .is_none_or(|status| status.state == State::Queued)
        {
            break;
        }
        placed += 1;
    }
    let allocated = pool.allocated();
    let vm_equivalents = |used: u64, per_vm: u64| used as f64 / per_vm as f64;
    let cores = vm_equivalents(allocated.millicores, VM.millicores);
    let memory = vm_equivalents(allocated.memory_mb, VM.memory_mb);
    let used = pool
        .kernel
        .targets()
        .iter()
        .filter(|target| target.taken > 0)
        .count();
    let lower_bound = cores.max(memory).ceil();
    (
        cores.max(memory) / VMS as f64,
        placed,
        used as f64 / lower_bound,
    )
}

/// Returns a job of one long task; most tasks are small, some need most of a VM.
fn long_job(load: &mut Load) -> Job {
    let large = load.random_in(0..=9) == 0;
    let millicores = 500 * load.random_in(if large { 12..=24 } else { 1..=8 });
    let memory_mb = millicores * load.random_in(10..=30) / 10;
    let size = Size::new(millicores, memory_mb.min(VM.memory_mb));
    let mut job = load.batch("a", 1, size, 20_000);
    job.actual.run_ms = vec![1 << 50];
    job.actual.fails = false;
    job
}
