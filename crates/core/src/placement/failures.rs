//! Failure attribution: decides whether the job or the worker caused a task's failure.
//!
//! A worker on which several jobs fail that succeed elsewhere is quarantined and probed with single
//! tasks. A task that fails on several working workers fails its job.

use crate::job::Kind;
use crate::placement::Kernel;
use crate::placement::index::Slot;
use crate::placement::jobs::{Key, Serial};
use crate::placement::worker::{Quarantine, RECENT_STARTS, Worker, keep_latest_two};
use crate::time::Instant;

/// Starts recorded per worker. More than are evaluated, because failures of jobs that succeeded on
/// no other worker don't count.
const RECORDED_STARTS: usize = 4 * RECENT_STARTS;
/// Workers with successes of other jobs on which a task must fail before its job fails.
const CONFIRMING_WORKERS: usize = 3;
/// Delay before the first probe of a quarantined worker in milliseconds; doubles with each failure.
const PROBE_MS: u64 = 10_000;
/// Longest delay between probes in milliseconds.
const PROBE_MAX_MS: u64 = 600_000;
/// Run time after which a probe counts as a success in milliseconds.
const PROBE_RUN_MS: u64 = 30_000;

impl Kernel {
    /// Records that a task ran to its end on a worker.
    pub(crate) fn record_success(&mut self, slot: Slot, key: Key) {
        if let Some(job) = self.jobs.get_mut(key.serial) {
            keep_latest_two(&mut job.succeeded_on, slot);
        }
        if let Some(worker) = self.fleet.get_mut(slot) {
            worker.record_start(key.serial, true);
            keep_latest_two(&mut worker.health.succeeded_jobs, key.serial);
            worker.health.quarantine = None;
        }
        self.fleet.reindex(slot);
    }

    /// Records that a task failed on a worker and returns whether the job can't succeed.
    pub(crate) fn record_failure(&mut self, now: Instant, slot: Slot, key: Key) -> bool {
        if let Some(task) = self.jobs.task_mut(key)
            && !task.failed_on.contains(&slot)
        {
            task.failed_on.push(slot);
        }
        if let Some(worker) = self.fleet.get_mut(slot) {
            worker.record_start(key.serial, false);
        }
        self.update_quarantine(now, slot, key.serial);
        self.failure_is_final(key)
    }

    /// Records that a task probes a quarantined worker.
    pub(crate) fn start_probe(&mut self, slot: Slot, key: Key) {
        let worker = self.fleet.get_mut(slot);
        let quarantine = worker.and_then(|worker| worker.health.quarantine.as_mut());
        if let Some(quarantine) = quarantine {
            quarantine.probe = Some(key);
            self.fleet.reindex(slot);
        }
    }

    /// Records that a task no longer probes the worker.
    pub(crate) fn end_probe(&mut self, slot: Slot, key: Key) {
        let worker = self.fleet.get_mut(slot);
        let quarantine = worker.and_then(|worker| worker.health.quarantine.as_mut());
        if let Some(quarantine) = quarantine.filter(|quarantine| quarantine.probe == Some(key)) {
            quarantine.probe = None;
        }
    }

    /// Allows a probe once the quarantine's delay is over, or lifts the quarantine if the probe has
    /// run long enough.
    pub(crate) fn check_probe(&mut self, now: Instant, slot: Slot) {
        let worker = self.fleet.get_mut(slot);
        let Some(quarantine) = worker.and_then(|worker| worker.health.quarantine.as_mut()) else {
            return;
        };
        quarantine.probe_allowed |= now >= quarantine.until;
        let Some(key) = quarantine.probe else {
            return;
        };
        let placement = self.jobs.task(key).and_then(|task| task.placement());
        if placement.is_some_and(|placement| now.since(placement.since) >= PROBE_RUN_MS)
            && let Some(worker) = self.fleet.get_mut(slot)
        {
            worker.health.quarantine = None;
            worker.health.recent.clear();
        }
    }

    fn update_quarantine(&mut self, now: Instant, slot: Slot, serial: Serial) {
        let Some(worker) = self.fleet.get(slot) else {
            return;
        };
        let before = worker.health.quarantine;
        if before.is_none() && !self.fails_everything(slot, worker) {
            return;
        }
        if before.is_some_and(|quarantine| !quarantine.probe_allowed) {
            return;
        }
        // A failed probe prolongs the quarantine only if its job succeeds elsewhere. Otherwise a
        // job that fails everywhere would prolong it.
        let factor = if self.succeeds_elsewhere(serial, slot) {
            2
        } else {
            1
        };
        let wait_ms = before.map_or(PROBE_MS, |quarantine| quarantine.wait_ms * factor);
        let wait_ms = wait_ms.min(PROBE_MAX_MS);
        if let Some(worker) = self.fleet.get_mut(slot) {
            worker.health.quarantine = Some(Quarantine {
                until: now + wait_ms,
                wait_ms,
                probe_allowed: false,
                probe: None,
            });
        }
        self.fleet.reindex(slot);
    }

    fn fails_everything(&self, slot: Slot, worker: &Worker) -> bool {
        let counts = |entry: &&(Serial, bool)| entry.1 || self.succeeds_elsewhere(entry.0, slot);
        let recent = worker.health.recent.iter().rev().filter(counts);
        let recent: Vec<_> = recent.take(RECENT_STARTS).collect();
        let failed = recent.iter().all(|entry| !entry.1);
        let several = recent.iter().any(|entry| entry.0 != recent[0].0);
        recent.len() == RECENT_STARTS && failed && several
    }

    fn succeeds_elsewhere(&self, serial: Serial, slot: Slot) -> bool {
        let job = self.jobs.get(serial);
        job.is_some_and(|job| job.succeeded_on.iter().any(|other| *other != slot))
    }

    fn failure_is_final(&self, key: Key) -> bool {
        let Some(job) = self.jobs.get(key.serial) else {
            return false;
        };
        if job.spec.kind == Kind::Service {
            return false;
        }
        let task = &job.tasks[key.index as usize];
        let runs_other_jobs = |slot: &&Slot| {
            let worker = self.fleet.get(**slot);
            worker.is_some_and(|worker| worker.runs_other_jobs(key.serial))
        };
        let confirming = task.failed_on.iter().filter(runs_other_jobs).count();
        confirming >= CONFIRMING_WORKERS || self.retries_exhausted(key)
    }
}

impl Worker {
    fn record_start(&mut self, serial: Serial, succeeded: bool) {
        let recent = &mut self.health.recent;
        if recent.len() == RECORDED_STARTS {
            recent.pop_front();
        }
        recent.push_back((serial, succeeded));
    }

    fn runs_other_jobs(&self, serial: Serial) -> bool {
        let healthy = self.health.quarantine.is_none();
        healthy
            && self
                .health
                .succeeded_jobs
                .iter()
                .any(|other| *other != serial)
    }
}
