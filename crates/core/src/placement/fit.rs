//! How well a task fits into the free room of a worker.

use crate::size::Size;

/// Scale of shares of a worker's size.
const SCALE: u64 = 1_000;
/// Weight of uneven rest against the room that is left. A lower weight packs tasks of mixed shapes
/// less tightly; a higher one changes little.
const UNEVEN_WEIGHT: u64 = 3;

/// Free shares of a worker's resources.
#[derive(Clone, Copy, Debug)]
struct Rest {
    /// Free share of the scarcest resource.
    least: u64,
    /// Free share of the most plentiful resource beyond that of the scarcest.
    uneven: u64,
}

/// Returns a figure that is lower the less room a task wastes on a worker of size `total`.
///
/// Room is wasted where one resource is used up before the others. The figure counts how much more
/// uneven the rest becomes, not how uneven it is: otherwise work that needs much of one resource
/// would be spread over all workers.
#[must_use]
pub fn fit_cost(total: &Size, free: &Size, size: &Size) -> u64 {
    let before = rest(total, free);
    let after = rest(total, &(*free - *size));
    after.least + UNEVEN_WEIGHT * (SCALE + after.uneven - before.uneven)
}

fn rest(total: &Size, free: &Size) -> Rest {
    let share = |free: u64, total: u64| (total > 0).then(|| (free * SCALE / total).min(SCALE));
    let shares = [
        share(free.millicores, total.millicores),
        share(free.memory_mb, total.memory_mb),
        share(free.accelerators, total.accelerators),
    ];
    let least = shares.iter().flatten().min().copied().unwrap_or(0);
    let most = shares.iter().flatten().max().copied().unwrap_or(0);
    Rest {
        least,
        uneven: most - least,
    }
}
