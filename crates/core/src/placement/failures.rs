//! Failure attribution: decides whether the job or the worker caused a task's failure.
//!
//! A worker on which several jobs fail that succeed elsewhere is quarantined and probed with single
//! tasks. A task that fails on several healthy workers fails its job.

use crate::job::Kind;
use crate::placement::Kernel;
use crate::placement::index::Slot;
use crate::placement::jobs::{Key, Serial};
use crate::placement::worker::{EVALUATED_OUTCOMES, Quarantine, Worker, keep_latest_two};
use crate::time::Instant;

/// Outcomes recorded per worker. Exceeds the number evaluated, because failures of jobs that
/// succeeded on no other worker don't count.
const RECORDED_OUTCOMES: usize = 4 * EVALUATED_OUTCOMES;
/// Number of healthy workers on which a task must fail before its job fails. A worker counts if it
/// isn't quarantined and another job succeeded on it.
const CONFIRMING_WORKERS: usize = 3;
/// Delay in milliseconds before the first probe of a quarantined worker. Doubles with each failed
/// probe whose job succeeds elsewhere.
const PROBE_MS: u64 = 10_000;
/// Longest delay between probes in milliseconds.
const PROBE_MAX_MS: u64 = 600_000;
/// Run time in milliseconds after which a probe counts as a success.
const PROBE_RUN_MS: u64 = 30_000;

impl Kernel {
    /// Records that a task ran to its end on a worker.
    pub(crate) fn record_success(&mut self, slot: Slot, key: Key) {
        if let Some(job) = self.jobs.get_mut(key.serial) {
            keep_latest_two(&mut job.succeeded_on, slot);
        }
        if let Some(worker) = self.fleet.get_mut(slot) {
            worker.record_outcome(key.serial, true);
            keep_latest_two(&mut worker.health.succeeded_jobs, key.serial);
            worker.health.quarantine = None;
        }
        self.fleet.reindex(slot);
    }

    /// Records that a task failed on a worker and returns whether the failure is final, so that the
    /// job fails.
    pub(crate) fn record_failure(&mut self, now: Instant, slot: Slot, key: Key) -> bool {
        if let Some(task) = self.jobs.task_mut(key)
            && !task.failed_on.contains(&slot)
        {
            task.failed_on.push(slot);
        }
        if let Some(worker) = self.fleet.get_mut(slot) {
            worker.record_outcome(key.serial, false);
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
        // A failed probe doubles the delay only if its job succeeds elsewhere. Otherwise a job that
        // fails everywhere would keep lengthening it.
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
        let recent: Vec<_> = recent.take(EVALUATED_OUTCOMES).collect();
        let all_failed = recent.iter().all(|entry| !entry.1);
        let several_jobs = recent.iter().any(|entry| entry.0 != recent[0].0);
        recent.len() == EVALUATED_OUTCOMES && all_failed && several_jobs
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
        let succeeds_with_other_jobs = |slot: &&Slot| {
            let worker = self.fleet.get(**slot);
            worker.is_some_and(|worker| worker.succeeds_with_other_jobs(key.serial))
        };
        let confirming = task
            .failed_on
            .iter()
            .filter(succeeds_with_other_jobs)
            .count();
        confirming >= CONFIRMING_WORKERS || self.retries_exhausted(key)
    }
}

impl Worker {
    fn record_outcome(&mut self, serial: Serial, succeeded: bool) {
        let recent = &mut self.health.recent;
        if recent.len() == RECORDED_OUTCOMES {
            recent.pop_front();
        }
        recent.push_back((serial, succeeded));
    }

    fn succeeds_with_other_jobs(&self, serial: Serial) -> bool {
        let healthy = self.health.quarantine.is_none();
        healthy
            && self
                .health
                .succeeded_jobs
                .iter()
                .any(|other| *other != serial)
    }
}
