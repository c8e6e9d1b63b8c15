//! Use that nears a VM's size: throttle, then checkpoint, then stop.

use crate::job::Priority;
use crate::placement::index::Slot;
use crate::placement::work::{Certainty, Key};
use crate::placement::{Action, Kernel, Lease};
use crate::size::Size;
use crate::time::Instant;

/// Use of the VM's size from which steps are taken, in percent.
const NEAR_PERCENT: u64 = 95;
/// Use of the VM's size below which throttled tasks are released, in percent.
const CALM_PERCENT: u64 = 80;
/// Share of its size that a throttled task may use, in percent.
const THROTTLE_PERCENT: u32 = 50;

impl Kernel {
    /// Takes the next step if the use of a worker nears its size.
    pub(crate) fn relieve(&mut self, now: Instant, slot: Slot, leases: &[Lease]) {
        let Some(worker) = self.fleet.get(slot) else {
            return;
        };
        let size = worker.target.size;
        let used = leases
            .iter()
            .fold(Size::ZERO, |sum, lease| sum + lease.used);
        // Declared use of the whole VM is no danger; some task must use more than it declared.
        let excess = leases.iter().any(|lease| !lease.used.fits(&lease.size));
        let level = worker.pressure;
        if excess && reaches(&used, &size, NEAR_PERCENT) {
            self.press(now, slot, level);
        } else if level > 0 && !reaches(&used, &size, CALM_PERCENT) {
            self.calm(slot);
        }
    }

    fn press(&mut self, now: Instant, slot: Slot, level: u8) {
        if let Some(worker) = self.fleet.get_mut(slot) {
            worker.pressure = level.saturating_add(1).min(3);
        }
        let Some(key) = self.youngest_of_lowest(slot, level) else {
            return;
        };
        match level {
            0 => self.throttle(key, THROTTLE_PERCENT),
            1 => self.checkpoint(now, key),
            _ => self.stop(now, key),
        }
    }

    fn calm(&mut self, slot: Slot) {
        let Some(worker) = self.fleet.get_mut(slot) else {
            return;
        };
        worker.pressure = 0;
        for key in worker.keys.clone() {
            let throttled = self.book.item(key).and_then(|item| item.hold());
            if throttled.is_some_and(|hold| hold.throttled) {
                self.throttle(key, 100);
            }
        }
    }

    /// Returns the youngest task of the lowest priority; beyond throttling only one that may run
    /// again.
    fn youngest_of_lowest(&self, slot: Slot, level: u8) -> Option<Key> {
        let worker = self.fleet.get(slot)?;
        let rank = |key: &Key| {
            let job = self.book.get(key.serial)?;
            let hold = job.items.get(key.index as usize)?.hold()?;
            let running = hold.certainty == Certainty::Confirmed && hold.stopped.is_none();
            let allowed = level == 0 || job.spec.restart;
            let rank: (Priority, _) = (job.spec.priority, std::cmp::Reverse(hold.since));
            (running && allowed).then_some((rank, *key))
        };
        worker
            .keys
            .iter()
            .filter_map(rank)
            .min()
            .map(|found| found.1)
    }

    fn throttle(&mut self, key: Key, percent: u32) {
        let Some(job) = self.book.get_mut(key.serial) else {
            return;
        };
        let task = job.task(key.index);
        let Some(hold) = job.items[key.index as usize].hold_mut() else {
            return;
        };
        hold.throttled = percent < 100;
        if let Some(worker) = self.fleet.get(hold.worker) {
            self.out.push(Action::Throttle {
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
