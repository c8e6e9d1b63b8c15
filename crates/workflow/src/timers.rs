//! Periodic work: due occurrences, expired leases, retries and clean-up.

use std::sync::Arc;

use crate::action::Action;
use crate::host::{Host, Liveness, Phase, Run, StartState};
use crate::incarnation::LISTED_AFTER_MS;
use crate::lease;
use crate::lost_attempt::Evidence;
use crate::shard::Shard;
use crate::task::Key;

/// Time after which a stop request without effect is sent again, in milliseconds.
const STOP_RETRY_MS: u64 = 1_500;

/// Time between two visits of all workers, in milliseconds. What they find is due by times of
/// hundreds of milliseconds, and visits at every tick would take most of the owner's CPU.
const WORKER_CHECK_PERIOD_MS: u64 = 40;

/// Time between two visits of all jobs, in milliseconds.
const JOB_CHECK_PERIOD_MS: u64 = 1_000;

/// Jobs whose occurrences begin in a tick.
const SCHEDULED_PER_TICK: usize = 256;

/// Time after which an occurrence for which there was no memory is tried again, in milliseconds.
const NO_ROOM_PAUSE_MS: u64 = 100;

/// Time without progress after which an attempt counts as stalled, in milliseconds.
const STALLED_AFTER_MS: u64 = 4_000;

/// Time without an answer after which an unlisted worker without attempts is removed, in
/// milliseconds.
const UNLISTED_RETENTION_MS: u64 = 4_000;

impl Shard {
    /// Does the work that is due at `now_ms`. `unix_ms` is the Unix time in milliseconds.
    pub fn tick(&mut self, now_ms: u64, unix_ms: u64) {
        self.end_waits(now_ms);
        self.send_forwards();
        self.begin_due_occurrences(unix_ms);
        if now_ms >= self.worker_check_due_ms {
            self.worker_check_due_ms = now_ms + WORKER_CHECK_PERIOD_MS;
            self.check_workers(now_ms);
        }
        self.stop_orphans(now_ms);
        if now_ms >= self.job_check_due_ms {
            self.job_check_due_ms = now_ms + JOB_CHECK_PERIOD_MS;
            self.forget_jobs(now_ms);
            self.drop_specs();
            self.removed.forget_unreachable(now_ms);
            self.orphans.forget_ends(self.settings.keep_ms, now_ms);
        }
        self.refresh_objectives(now_ms);
        self.place(now_ms);
    }

    /// Does the work that is due on each worker.
    fn check_workers(&mut self, now_ms: u64) {
        let due = self
            .hosts
            .iter()
            .filter(|(_, host)| needs_check(host, now_ms));
        let ids: Vec<Arc<str>> = due.map(|(id, _)| id.clone()).collect();
        if self.hosts.values().any(Host::has_used_up_tokens) {
            self.actions.push(Action::Release);
        }
        for id in ids {
            self.expire_lease(&id, self.owned_until_ms.min(now_ms));
            self.record_silence(&id, now_ms);
            self.settle(&id, now_ms);
            self.remove_if_departed(&id);
            self.drain(&id, now_ms);
            self.retry_stops(&id, now_ms);
            self.stop_stalled(&id, now_ms);
        }
        self.remove_gone(now_ms);
    }

    /// Begins the occurrences that are due.
    fn begin_due_occurrences(&mut self, unix_ms: u64) {
        let until_ms = unix_ms + self.settings.early_ms;
        for id in self.scheduled.take_due(until_ms, SCHEDULED_PER_TICK) {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let spec = job.spec.clone();
            let mut has_room = true;
            while job.next_occurrence < spec.times && until_ms >= spec.due_ms(job.next_occurrence) {
                has_room = job.has_room(&self.memory);
                if !has_room {
                    break;
                }
                job.begin_occurrence(job.next_occurrence);
            }
            let begun: Vec<u32> = job.occurrences.keys().copied().collect();
            if job.next_occurrence < spec.times {
                let due_ms = match has_room {
                    true => spec.due_ms(job.next_occurrence),
                    false => until_ms + NO_ROOM_PAUSE_MS,
                };
                self.scheduled.insert(id, due_ms);
            }
            for number in begun {
                self.enqueue_ready(id, number);
            }
        }
    }

    /// Marks the attempts on an unresponsive worker as lost if its lease had certainly expired at
    /// `at_ms`.
    fn expire_lease(&mut self, id: &Arc<str>, at_ms: u64) {
        let Some(host) = self.hosts.get(id) else {
            return;
        };
        let is_unresponsive = host.liveness == Liveness::Unresponsive;
        let is_expired = host
            .lease
            .expires_at()
            .is_none_or(|expires_ms| at_ms >= expires_ms);
        if !is_unresponsive || !is_expired {
            return;
        }
        let has_ended = |(_, run): &(&Key, &Run)| self.has_ended_with_lease(run, at_ms);
        let ended: Vec<Key> = host
            .runs
            .iter()
            .filter(has_ended)
            .map(|(key, _)| *key)
            .collect();
        self.mark_runs_lost(id, ended, Evidence::LeaseExpired);
    }

    /// Returns whether an attempt has certainly ended once the lease of the incarnation has expired that
    /// this owner knows. A later one may have carried the start out and hold a longer lease, until the
    /// directory would name it.
    fn has_ended_with_lease(&self, run: &Run, at_ms: u64) -> bool {
        match run.start {
            StartState::Confirmed => true,
            // The outcome of a start that is under way decides about its attempt.
            StartState::Sent => false,
            StartState::Accepted | StartState::Unanswered => {
                let max_ms = self.settings.lease_max_ms;
                self.workers_read_ms >= run.carried_out_ms + LISTED_AFTER_MS
                    || at_ms >= run.started_ms + lease::longest_unknown_ms(max_ms)
            }
        }
    }

    /// Stops service tasks on a draining worker, so that they start on another one.
    fn drain(&mut self, id: &Arc<str>, now_ms: u64) {
        let Some(host) = self.hosts.get(id).filter(|host| host.worker.draining) else {
            return;
        };
        let service: Vec<Key> = host
            .runs
            .iter()
            .filter(|(_, run)| run.phase == Phase::Running)
            .filter(|(key, _)| self.step_spec(key.step).is_some_and(|step| step.service))
            .map(|(key, _)| *key)
            .collect();
        for key in service {
            self.stop_run(id, key, now_ms);
        }
    }

    fn retry_stops(&mut self, id: &Arc<str>, now_ms: u64) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let mut retries = Vec::new();
        for (key, run) in &mut host.runs {
            if run.phase == Phase::Stopping && now_ms >= run.phase_since_ms + STOP_RETRY_MS {
                run.phase_since_ms = now_ms;
                retries.push((*key, run.attempt));
            }
        }
        for (key, attempt) in retries {
            if let Some(host) = self.hosts.get(id) {
                let stop = host.stop_request(key, attempt);
                self.actions.push(Action::Stop(stop));
            }
        }
    }

    /// Stops attempts without progress, so that they continue on another worker. The time for which
    /// the worker reported nothing, because this owner stood still, doesn't count.
    fn stop_stalled(&mut self, id: &Arc<str>, now_ms: u64) {
        let Some(host) = self
            .hosts
            .get(id)
            .filter(|host| host.liveness == Liveness::Confirmed)
        else {
            return;
        };
        let mut stalled = Vec::new();
        for (key, run) in &host.runs {
            let no_progress = run.phase == Phase::Running
                && host.reported_ms >= run.progressed_ms + STALLED_AFTER_MS;
            let Some(step) = self.step_spec(key.step).filter(|_| no_progress) else {
                continue;
            };
            let should_progress = run.percent < 100 && !step.best_effort && !step.gang;
            if should_progress {
                stalled.push(*key);
            }
        }
        for key in stalled {
            if let Some(host) = self.hosts.get_mut(id) {
                host.backoff.failed(now_ms);
            }
            self.stop_run(id, key, now_ms);
        }
    }

    /// Removes unlisted workers that don't answer.
    fn remove_gone(&mut self, now_ms: u64) {
        let is_gone = |host: &Host| {
            !host.listed
                && host.runs.is_empty()
                && host
                    .unresponsive_since_ms
                    .is_some_and(|since| now_ms >= since + UNLISTED_RETENTION_MS)
        };
        let removed: Vec<Arc<str>> = self
            .hosts
            .iter()
            .filter(|(id, host)| is_gone(host) && !self.recovery.may_run_attempts(id))
            .map(|(id, _)| id.clone())
            .collect();
        for worker in removed {
            self.remove_worker(&worker);
        }
    }

    /// Requests a renewal for every worker that doesn't answer or has not answered a renewal with
    /// the current fencing token.
    pub fn renew_unconfirmed(&mut self) {
        let unconfirmed = self
            .hosts
            .iter()
            .filter(|(_, host)| host.liveness != Liveness::Confirmed);
        let ids: Vec<Arc<str>> = unconfirmed.map(|(id, _)| id.clone()).collect();
        self.actions.extend(ids.into_iter().map(Action::Renew));
    }
}

/// Returns whether a worker may have work that is due by time. Most have none.
fn needs_check(host: &Host, now_ms: u64) -> bool {
    host.liveness == Liveness::Unresponsive
        || host.worker.draining
        || host.has_settled(now_ms)
        || host.runs.values().any(|run| match run.phase {
            Phase::Stopping => now_ms >= run.phase_since_ms + STOP_RETRY_MS,
            Phase::Running => now_ms >= run.progressed_ms + STALLED_AFTER_MS,
            Phase::Starting | Phase::Unresolved => false,
        })
}
