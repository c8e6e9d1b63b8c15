//! Work of an owner and what its time is spent on, for logs.

use std::sync::Mutex;
use std::time::Duration;

use rosemaryworks_node::clock;

use crate::events;
use crate::node::lock;
use crate::owner::Owner;
use crate::quota;

/// What an owner has done since the last report.
#[derive(Debug, Default)]
struct Counts {
    /// Time in ticks of the state machine.
    ticking: Duration,
    /// Longest tick.
    longest: Duration,
    /// Longest time by which a timer of the owner was late.
    late: Duration,
    renewals: u64,
    starts: u64,
}

/// Work of an owner since its last report.
#[derive(Debug, Default)]
pub(crate) struct Load(Mutex<Counts>);

impl Load {
    pub(crate) fn add_tick(&self, took: Duration) {
        let mut counts = lock(&self.0);
        counts.ticking += took;
        counts.longest = counts.longest.max(took);
    }

    pub(crate) fn add_lateness(&self, late: Duration) {
        let mut counts = lock(&self.0);
        counts.late = counts.late.max(late);
    }

    pub(crate) fn add_renewal(&self) {
        lock(&self.0).renewals += 1;
    }

    pub(crate) fn add_start(&self) {
        lock(&self.0).starts += 1;
    }

    /// Returns what was done since the last report.
    fn take(&self) -> Counts {
        std::mem::take(&mut *lock(&self.0))
    }
}

impl Owner {
    /// Logs the usage of the shard's pools and the work of the owner since the last such line.
    pub(crate) fn log_usage(&self) {
        let (usage, starts, held, passes) = {
            let state = self.state();
            let usage = state.usage(clock::now().0);
            (usage, state.starts(), state.held_teams(), state.passes())
        };
        let metrics = &self.context().metrics;
        metrics.steps_parked.set(passes.parked as i64);
        quota::report(self.shard(), self.epoch(), &held, metrics);
        let counts = self.load().take();
        for (pool, usage) in usage {
            events::USAGE.log(format_args!(
                "pool={pool} epoch={} workers={} empty={} slow={} free_millicores={}/{} free_mebibytes={}/{} \
                 free_accelerators={}/{} steps={} gangs={} overdue={} tasks={} starts={}/{} answer_ms={} \
                 tick_ms={} longest_ms={} late_ms={} started={} renewed={} relays={} backlog={} parked={} cut={}",
                self.epoch(),
                usage.workers,
                usage.empty,
                usage.slow,
                usage.free.millicores,
                usage.capacity.millicores,
                usage.free.memory_mb,
                usage.capacity.memory_mb,
                usage.free.accelerators,
                usage.capacity.accelerators,
                usage.steps,
                usage.gangs,
                usage.overdue,
                usage.tasks,
                starts.in_flight,
                starts.limit,
                starts.answer_ms,
                counts.ticking.as_millis(),
                counts.longest.as_millis(),
                counts.late.as_millis(),
                counts.starts,
                counts.renewals,
                self.workers().relay_count(),
                passes.backlog,
                passes.parked,
                passes.cut
            ));
        }
    }
}
