//! Resource pressure: throttles, then checkpoints, then stops tasks when the use of a VM approaches
//! its size.

use crate::job::Priority;
use crate::placement::index::Slot;
use crate::placement::jobs::{Confirmation, Key};
use crate::placement::{Action, Kernel, Lease};
use crate::size::Size;
use crate::time::Instant;

/// Share of the VM's size from which pressure is relieved, in percent.
const HIGH_WATERMARK_PERCENT: u64 = 95;
/// Share of the VM's size below which throttled tasks are released, in percent.
const LOW_WATERMARK_PERCENT: u64 = 80;
/// Share of its size that a throttled task may use, in percent.
const THROTTLE_PERCENT: u32 = 50;

impl Kernel {
    /// Escalates if the use of a worker reaches the high watermark and a task uses more than its
    /// lease holds. Releases throttles once the use is below the low watermark.
    pub(crate) fn handle_pressure(&mut self, now: Instant, slot: Slot, leases: &[Lease]) {
        let Some(worker) = self.fleet.get(slot) else {
            return;
        };
        let size = worker.target.size;
        let used = leases
            .iter()
            .fold(Size::ZERO, |sum, lease| sum + lease.used);
        // Tasks that use the whole VM within their sizes are safe. Pressure requires a task that
        // uses more than its lease holds.
        let excess = leases.iter().any(|lease| !lease.used.fits(&lease.size));
        let level = worker.pressure;
        if excess && reaches(&used, &size, HIGH_WATERMARK_PERCENT) {
            self.escalate(now, slot, level);
        } else if level > 0 && !reaches(&used, &size, LOW_WATERMARK_PERCENT) {
            self.end_pressure(slot);
        }
    }

    fn escalate(&mut self, now: Instant, slot: Slot, level: u8) {
        if let Some(worker) = self.fleet.get_mut(slot) {
            worker.pressure = level.saturating_add(1).min(3);
        }
        let Some(key) = self.select_victim(slot, level) else {
            return;
        };
        match level {
            0 => self.throttle(key, THROTTLE_PERCENT),
            1 => self.checkpoint(now, key),
            _ => self.stop(now, key),
        }
    }

    fn end_pressure(&mut self, slot: Slot) {
        let Some(worker) = self.fleet.get_mut(slot) else {
            return;
        };
        worker.pressure = 0;
        for key in worker.keys.clone() {
            let placement = self.jobs.task(key).and_then(|task| task.placement());
            if placement.is_some_and(|placement| placement.throttled) {
                self.throttle(key, 100);
            }
        }
    }

    /// Returns the most recently placed task of the lowest priority. Beyond throttling, only tasks
    /// that may restart qualify.
    fn select_victim(&self, slot: Slot, level: u8) -> Option<Key> {
        let worker = self.fleet.get(slot)?;
        let order = |key: &Key| {
            let job = self.jobs.get(key.serial)?;
            let placement = job.tasks.get(key.index as usize)?.placement()?;
            let running = placement.confirmation == Confirmation::Confirmed
                && placement.stop_requested.is_none();
            let allowed = level == 0 || job.spec.restart;
            let order: (Priority, _) = (job.spec.priority, std::cmp::Reverse(placement.since));
            (running && allowed).then_some((order, *key))
        };
        worker
            .keys
            .iter()
            .filter_map(order)
            .min()
            .map(|victim| victim.1)
    }

    fn throttle(&mut self, key: Key, percent: u32) {
        let Some(job) = self.jobs.get_mut(key.serial) else {
            return;
        };
        let task = job.task(key.index);
        let Some(placement) = job.tasks[key.index as usize].placement_mut() else {
            return;
        };
        placement.throttled = percent < 100;
        if let Some(worker) = self.fleet.get(placement.worker) {
            self.actions.push(Action::Throttle {
                worker: worker.target.name.clone(),
                task,
                percent,
            });
        }
    }
}

fn reaches(used: &Size, size: &Size, percent: u64) -> bool {
    let reaches = |used: u64, size: u64| size > 0 && used * 100 >= size * percent;
    reaches(used.millicores, size.millicores) || reaches(used.memory_mb, size.memory_mb)
}
