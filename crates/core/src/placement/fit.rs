//! Best-fit cost of a task on a worker.

use crate::size::{Size, thousandths};

/// Scale of shares of a worker's size, as returned by [`thousandths`].
const SCALE: u64 = 1_000;
/// Weight of the imbalance relative to the smallest free share. A lower weight packs tasks of mixed
/// shapes less tightly; a higher one changes little.
const IMBALANCE_WEIGHT: u64 = 3;

/// Free shares of a worker's resources, in units of [`SCALE`].
#[derive(Clone, Copy, Debug)]
struct Remainder {
    /// Free share of the scarcest resource.
    least: u64,
    /// Difference between the largest and the smallest free share.
    imbalance: u64,
}

/// Returns the cost of placing `size` on a worker of size `total`. Lower costs waste less capacity.
///
/// Capacity is wasted where one resource is used up before the others. The cost counts the increase
/// of the imbalance, not the imbalance itself: otherwise tasks that need much of one resource would
/// be spread over all workers.
#[must_use]
pub fn fit_cost(total: &Size, free: &Size, size: &Size) -> u64 {
    let before = remainder(total, free);
    let after = remainder(total, &(*free - *size));
    after.least + IMBALANCE_WEIGHT * (SCALE + after.imbalance - before.imbalance)
}

fn remainder(total: &Size, free: &Size) -> Remainder {
    let share = |free, total| thousandths(free, total).map(|share| share.min(SCALE));
    let shares = [
        share(free.millicores, total.millicores),
        share(free.memory_mb, total.memory_mb),
        share(free.accelerators, total.accelerators),
    ];
    let least = shares.iter().flatten().min().copied().unwrap_or(0);
    let most = shares.iter().flatten().max().copied().unwrap_or(0);
    Remainder {
        least,
        imbalance: most - least,
    }
}
