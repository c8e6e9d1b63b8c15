//! Task lifecycle: queueing, retries with backoff, rescheduling after a lost lease, and ends.

use crate::job::{End, Kind, Task};
use crate::placement::jobs::{Key, Phase, Serial};
use crate::placement::{Action, Kernel};
use crate::time::Instant;

/// Failures and refused placements after which a task fails, even if it did not fail on three
/// healthy workers.
const FAILURES_MAX: u32 = 8;
/// Base of the exponential backoff in milliseconds; doubles with each failure.
const BACKOFF_MS: u64 = 200;
/// Longest backoff of a batch or gang task in milliseconds.
const BACKOFF_MAX_MS: u64 = 10_000;
/// Longest backoff of a service task in milliseconds.
const SERVICE_BACKOFF_MAX_MS: u64 = 60_000;
/// Most tasks requeued per tick.
const REQUEUES_PER_CALL: usize = 1_000;

/// Why a task no longer holds its lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Cause {
    /// The task failed, or a service task exited.
    Failed,
    /// The lease lapsed, or the worker no longer reports it.
    Lost,
    /// The worker stopped or checkpointed the task at the kernel's request.
    Evicted,
    /// The worker did not accept the lease.
    Refused,
    /// Restored without a recorded grant and found on no worker.
    NotFound,
}

impl Kernel {
    /// Queues a task for placement.
    pub(crate) fn queue_task(&mut self, now: Instant, key: Key) {
        let Some(job) = self.jobs.get_mut(key.serial) else {
            return;
        };
        let state = &mut job.tasks[key.index as usize];
        state.phase = Phase::Waiting;
        state.queued = now;
        job.waiting.push_back(key.index);
        self.accounts.all[job.account].waiting += 1;
        self.enqueue(key.serial);
    }

    /// Requeues, delays or ends a task that no longer holds a lease.
    pub(crate) fn reschedule(&mut self, now: Instant, key: Key, cause: Cause) {
        let Some(job) = self.jobs.get_mut(key.serial) else {
            return;
        };
        let stopping = job.is_stopping();
        if !job.spec.restart && !matches!(cause, Cause::Refused | Cause::NotFound) {
            let end = match cause {
                Cause::Failed => End::Failed,
                _ if stopping && cause == Cause::Evicted => End::Cancelled,
                _ => End::Lost,
            };
            return self.end_task(key, end);
        }
        if stopping {
            return self.end_task(key, End::Cancelled);
        }
        let kind = job.spec.kind;
        let wait_ms = backoff(&mut job.tasks[key.index as usize].failures, kind, cause);
        if kind == Kind::Gang {
            self.revoke_gang(key.serial);
        }
        match wait_ms {
            0 => self.queue_task(now, key),
            _ => self.delay_task(key, now + wait_ms),
        }
    }

    /// Ends a task and requests that the end be written to the log.
    pub(crate) fn end_task(&mut self, key: Key, end: End) {
        let Some(job) = self.jobs.get_mut(key.serial) else {
            return;
        };
        job.tasks[key.index as usize].phase = Phase::Ending(end);
        job.ends[end as usize] += 1;
        let task = job.task(key.index);
        self.actions.push(Action::EndTask { task, end });
        let is_gang = job.spec.kind == Kind::Gang;
        if is_gang && matches!(end, End::Failed | End::Lost) {
            let reason = format!("task {} of the gang ended as {}", key.index, end_name(end));
            self.fail(key.serial, &reason);
        }
        self.enqueue(key.serial);
    }

    /// Handles a task end that has become durable.
    pub(crate) fn end_recorded(&mut self, task: &Task) {
        let Some(key) = self.jobs.find(task) else {
            return;
        };
        let Some(state) = self.jobs.task_mut(key) else {
            return;
        };
        let Phase::Ending(end) = state.phase else {
            return;
        };
        state.phase = Phase::Ended(end);
        let unacknowledged = state.unacknowledged.take();
        if let Some((slot, attempt)) = unacknowledged {
            self.acknowledge(slot, task.clone(), attempt);
        }
        if let Some(job) = self.jobs.get_mut(key.serial) {
            job.ends_recorded += 1;
        }
        self.end_job_if_complete(key.serial);
    }

    /// Ends the job if the ends of all its tasks are durable.
    pub(crate) fn end_job_if_complete(&mut self, serial: Serial) {
        let Some(job) = self.jobs.get_mut(serial) else {
            return;
        };
        if job.ends_recorded < job.spec.tasks || job.state.is_some() {
            return;
        }
        let state = job.terminal_state();
        job.state = Some(state);
        job.compact();
        self.actions.push(Action::EndJob {
            job: job.id.clone(),
            state,
            reason: job.reason.clone(),
        });
        self.jobs.retain_ended(serial);
    }

    /// Requeues tasks whose backoff is over.
    pub(crate) fn requeue_delayed(&mut self, now: Instant) {
        for _ in 0..REQUEUES_PER_CALL {
            let Some((at, key)) = self.delayed.first().copied() else {
                break;
            };
            if at > now {
                break;
            }
            self.delayed.pop_first();
            let state = self.jobs.task(key);
            if state
                .is_some_and(|state| matches!(state.phase, Phase::Delayed(until) if until == at))
            {
                self.queue_task(now, key);
            }
        }
    }

    /// Returns whether a task has used up its retries.
    pub(crate) fn retries_exhausted(&self, key: Key) -> bool {
        let state = self.jobs.task(key);
        state.is_some_and(|state| state.failures >= FAILURES_MAX)
    }

    fn delay_task(&mut self, key: Key, until: Instant) {
        if let Some(state) = self.jobs.task_mut(key) {
            state.phase = Phase::Delayed(until);
            self.delayed.insert((until, key));
        }
    }

    /// Revokes the remaining leases of a gang, so that it can be placed again as a whole.
    fn revoke_gang(&mut self, serial: Serial) {
        let Some(job) = self.jobs.get_mut(serial) else {
            return;
        };
        if job.placed > 0 && !job.member_lost {
            job.member_lost = true;
            self.stopping.push_back(Key::first(serial));
        }
    }
}

fn backoff(failures: &mut u32, kind: Kind, cause: Cause) -> u64 {
    if matches!(cause, Cause::Lost | Cause::Evicted | Cause::NotFound) {
        return 0;
    }
    *failures = failures.saturating_add(1);
    let longest = match kind {
        Kind::Service => SERVICE_BACKOFF_MAX_MS,
        Kind::Batch | Kind::Gang => BACKOFF_MAX_MS,
    };
    (BACKOFF_MS << (*failures).min(12)).min(longest)
}

fn end_name(end: End) -> &'static str {
    match end {
        End::Cancelled => "cancelled",
        End::Failed => "failed",
        End::Lost => "lost",
        End::Succeeded => "succeeded",
    }
}
