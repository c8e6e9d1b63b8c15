//! What becomes of a task: queued, delayed, placed again or ended.

use crate::job::{End, Kind, Task};
use crate::placement::work::{Key, Phase, Serial};
use crate::placement::{Action, Kernel};
use crate::time::Instant;

/// Failures and refusals after which a task ends even if no three healthy workers judged it.
const SETBACKS_MAX: u32 = 8;
/// First wait after a failure in milliseconds; doubles with each further one.
const BACKOFF_MS: u64 = 200;
/// Longest wait of a batch or gang task in milliseconds.
const BACKOFF_MAX_MS: u64 = 10_000;
/// Longest wait of a service task in milliseconds.
const SERVICE_BACKOFF_MAX_MS: u64 = 60_000;
/// Tasks that are queued again per call.
const REQUEUES_PER_CALL: usize = 1_000;

/// Why a task no longer holds its lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Gone {
    /// The task failed, or a service task exited.
    Failed,
    /// The lease lapsed, or the worker no longer knows it.
    Lost,
    /// The kernel had it stopped to place it elsewhere.
    Moved,
    /// The worker didn't take the lease.
    Refused,
    /// Taken over without a recorded lease and found at no worker.
    Unfound,
}

impl Kernel {
    /// Queues a task.
    pub(crate) fn wait(&mut self, now: Instant, key: Key) {
        let Some(job) = self.book.get_mut(key.serial) else {
            return;
        };
        let item = &mut job.items[key.index as usize];
        item.phase = Phase::Waiting;
        item.queued = now;
        job.waiting.push_back(key.index);
        self.accounts.all[job.account].waiting += 1;
        self.enqueue(key.serial);
    }

    /// Decides what becomes of a task that no longer holds a lease.
    pub(crate) fn again(&mut self, now: Instant, key: Key, gone: Gone) {
        let Some(job) = self.book.get_mut(key.serial) else {
            return;
        };
        let stopping = job.is_stopping();
        if !job.spec.restart && !matches!(gone, Gone::Refused | Gone::Unfound) {
            let end = match gone {
                Gone::Failed => End::Failed,
                _ if stopping && gone == Gone::Moved => End::Cancelled,
                _ => End::Lost,
            };
            return self.end(key, end);
        }
        if stopping {
            return self.end(key, End::Cancelled);
        }
        let kind = job.spec.kind;
        let wait_ms = backoff(&mut job.items[key.index as usize].setbacks, kind, gone);
        if kind == Kind::Gang {
            self.rally(key.serial);
        }
        match wait_ms {
            0 => self.wait(now, key),
            _ => self.delay(key, now + wait_ms),
        }
    }

    /// Records that a task ended and has the end written to the log.
    pub(crate) fn end(&mut self, key: Key, end: End) {
        let Some(job) = self.book.get_mut(key.serial) else {
            return;
        };
        job.items[key.index as usize].phase = Phase::Ending(end);
        job.ends[end as usize] += 1;
        let task = job.task(key.index);
        self.out.push(Action::EndTask { task, end });
        let all_or_none = job.spec.kind == Kind::Gang;
        if all_or_none && matches!(end, End::Failed | End::Lost) {
            let reason = format!("task {} of the gang ended as {}", key.index, name(end));
            self.fail(key.serial, &reason);
        }
        self.enqueue(key.serial);
    }

    /// Handles the end of a task that is in the log now.
    pub(crate) fn recorded(&mut self, task: &Task) {
        let Some(key) = self.book.find(task) else {
            return;
        };
        let Some(item) = self.book.item_mut(key) else {
            return;
        };
        let Phase::Ending(end) = item.phase else {
            return;
        };
        item.phase = Phase::Ended(end);
        let keeper = item.keeper.take();
        if let Some((slot, attempt)) = keeper {
            self.acknowledge(slot, task.clone(), attempt);
        }
        if let Some(job) = self.book.get_mut(key.serial) {
            job.recorded += 1;
        }
        self.conclude(key.serial);
    }

    /// Ends a job whose tasks all have a recorded end.
    pub(crate) fn conclude(&mut self, serial: Serial) {
        let Some(job) = self.book.get_mut(serial) else {
            return;
        };
        if job.recorded < job.spec.tasks || job.state.is_some() {
            return;
        }
        let state = job.verdict();
        job.state = Some(state);
        job.compact();
        self.out.push(Action::EndJob {
            job: job.id.clone(),
            state,
            reason: job.reason.clone(),
        });
        self.book.retire(serial);
    }

    /// Queues the tasks whose wait is over.
    pub(crate) fn requeue_delayed(&mut self, now: Instant) {
        for _ in 0..REQUEUES_PER_CALL {
            let Some((at, key)) = self.delayed.first().copied() else {
                break;
            };
            if at > now {
                break;
            }
            self.delayed.pop_first();
            let item = self.book.item(key);
            if item.is_some_and(|item| matches!(item.phase, Phase::Delayed(until) if until == at)) {
                self.wait(now, key);
            }
        }
    }

    /// Tells whether a task failed too often to be tried again.
    pub(crate) fn is_hopeless(&self, key: Key) -> bool {
        let item = self.book.item(key);
        item.is_some_and(|item| item.setbacks >= SETBACKS_MAX)
    }

    fn delay(&mut self, key: Key, until: Instant) {
        if let Some(item) = self.book.item_mut(key) {
            item.phase = Phase::Delayed(until);
            self.delayed.insert((until, key));
        }
    }

    /// Has the remaining leases of a gang given up so that it can be placed as a whole again.
    fn rally(&mut self, serial: Serial) {
        let Some(job) = self.book.get_mut(serial) else {
            return;
        };
        if job.held > 0 && !job.broken {
            job.broken = true;
            self.stopping.push_back(Key::first(serial));
        }
    }
}

fn backoff(setbacks: &mut u32, kind: Kind, gone: Gone) -> u64 {
    if matches!(gone, Gone::Lost | Gone::Moved | Gone::Unfound) {
        return 0;
    }
    *setbacks = setbacks.saturating_add(1);
    let longest = match kind {
        Kind::Service => SERVICE_BACKOFF_MAX_MS,
        Kind::Batch | Kind::Gang => BACKOFF_MAX_MS,
    };
    (BACKOFF_MS << (*setbacks).min(12)).min(longest)
}

fn name(end: End) -> &'static str {
    match end {
        End::Cancelled => "cancelled",
        End::Failed => "failed",
        End::Lost => "lost",
        End::Succeeded => "succeeded",
    }
}
