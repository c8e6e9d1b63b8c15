//! Placement kernel: assigns the tasks of one worker shard's jobs to its workers.
//!
//! One [`Kernel`] exists per owned worker shard and epoch. It does no I/O: its host passes it
//! events and carries out the actions it returns.

mod account;
mod admission;
mod due;
mod estimates;
mod failures;
mod fit;
mod fleet;
mod index;
mod jobs;
mod lease;
mod mix;
mod pick;
pub mod policy;
mod pressure;
mod quantile;
mod queue;
mod random;
mod report;
mod reservation;
mod stop;
mod submission;
mod sync;
mod task;
mod views;
mod worker;

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::contract::Contract;
use crate::job::{End, Id, Spec, State as JobState, Task};
use crate::outcome::NotRun;
use crate::partition::Map;
use crate::placement::account::Accounts;
use crate::placement::estimates::Estimates;
use crate::placement::fleet::Fleet;
use crate::placement::jobs::{Jobs, Key, Serial};
use crate::placement::mix::Mix;
use crate::placement::reservation::Reservation;
use crate::shard;
use crate::size::Size;
use crate::target::{State, Worker};
use crate::time::Instant;

pub use crate::placement::account::pinning_limit;
pub use crate::placement::fit::fit_cost;

/// Number of a task's placement attempt. Increases with every lease granted for the task.
pub type Attempt = u32;

/// A lease that a worker reports as held.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// Task.
    pub task: Task,
    /// Attempt that the lease belongs to.
    pub attempt: Attempt,
    /// Size that the lease holds.
    pub size: Size,
    /// Resource use of the task as last measured. May be older than the report.
    pub used: Size,
    /// Age of the measurement in milliseconds.
    pub used_age_ms: u64,
    /// Whether the task was checkpointed and stopped; it holds no capacity then.
    #[serde(default)]
    pub checkpointed: bool,
}

/// A finished attempt that the worker keeps until it is acknowledged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finished {
    /// Task.
    pub task: Task,
    /// Attempt that finished.
    pub attempt: Attempt,
    /// How the attempt ended.
    pub result: Result,
    /// Milliseconds that the attempt ran.
    pub run_ms: u64,
}

/// How an attempt ended at the worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Result {
    /// The task failed.
    Failed,
    /// The lease lapsed and the worker stopped the task.
    Lapsed,
    /// The worker stopped the task at the owner's request.
    Stopped,
    /// The task ran to its end.
    Succeeded,
}

/// A worker's answer to a `Sync` of its owner.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Leases held.
    pub leases: Vec<Lease>,
    /// Finished attempts not yet acknowledged.
    pub finished: Vec<Finished>,
    /// Whether the worker itself announces that it is shutting down.
    #[serde(default)]
    pub leaving: bool,
}

/// State of a task that a new owner restores from the log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Restored {
    /// Ended.
    Ended(End),
    /// A lease may have been granted. Recorded only for tasks that must not run twice.
    Granted,
    /// The log holds neither an end nor a grant. A worker may still hold a lease.
    Pending,
}

/// Input to the kernel.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller cancelled a job, and the cancellation is durable.
    Cancelled(Id),
    /// A contract or a new revision of it took effect.
    Contract(Arc<Contract>),
    /// The end of a task is durable, so its finished attempt may be acknowledged to the worker.
    EndRecorded(Task),
    /// The list of the shard's workers changed.
    Listed(Vec<(Worker, State)>),
    /// The worker accepted the lease.
    Placed {
        /// Worker.
        worker: Arc<str>,
        /// Task.
        task: Task,
        /// Attempt.
        attempt: Attempt,
    },
    /// The worker did not accept the lease, or its answer was lost.
    PlaceFailed {
        /// Worker.
        worker: Arc<str>,
        /// Task.
        task: Task,
        /// Attempt.
        attempt: Attempt,
        /// Whether the lease is known not to exist. Otherwise the outcome is unknown.
        definite: bool,
    },
    /// A job was restored from the log at the start of an epoch.
    Restored {
        /// Contract of the job.
        contract: Arc<str>,
        /// Specification of the job.
        job: Spec,
        /// Restored state of each task, by index.
        tasks: Vec<Restored>,
        /// Whether a caller cancelled the job.
        cancelled: bool,
        /// Milliseconds since the job was accepted.
        age_ms: u64,
    },
    /// A job was accepted and is durable.
    Submitted {
        /// Contract of the job.
        contract: Arc<str>,
        /// Specification of the job.
        job: Spec,
    },
    /// The worker was unreachable, or rejected the call because it saw a newer epoch.
    SyncFailed {
        /// Worker.
        worker: Arc<str>,
        /// Whether the worker saw a newer epoch than ours.
        fenced: bool,
    },
    /// The worker answered. Its leases are renewed, counted from the time the call was sent.
    Synced {
        /// Worker.
        worker: Arc<str>,
        /// The worker's report.
        report: Report,
    },
    /// The clock advanced.
    Tick,
}

/// Request to the host, which carries it out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Asks the worker to checkpoint the task and stop it.
    Checkpoint {
        /// Worker.
        worker: Arc<str>,
        /// Task.
        task: Task,
        /// Attempt.
        attempt: Attempt,
    },
    /// Writes the end of a job to the log.
    EndJob {
        /// Job.
        job: Id,
        /// Terminal state.
        state: JobState,
        /// Reason for callers.
        reason: Option<Arc<str>>,
    },
    /// Writes the end of a task to the log, then reports `EndRecorded`.
    EndTask {
        /// Task.
        task: Task,
        /// How it ended.
        end: End,
    },
    /// Offers the lease to the worker, then reports `Placed` or `PlaceFailed`.
    Place {
        /// Worker.
        worker: Arc<str>,
        /// Task.
        task: Task,
        /// Attempt.
        attempt: Attempt,
        /// Size that the lease holds.
        size: Size,
        /// Whether the grant must be durable in the log before the worker is called.
        log_first: bool,
    },
    /// Asks the worker to stop the task. A later report holds the end.
    Stop {
        /// Worker.
        worker: Arc<str>,
        /// Task.
        task: Task,
        /// Attempt.
        attempt: Attempt,
    },
    /// Renews the worker's leases, fetches its report and acknowledges finished attempts, then
    /// reports `Synced` or `SyncFailed`.
    Sync {
        /// Worker.
        worker: Arc<str>,
        /// Finished attempts whose end is in the log.
        acknowledge: Vec<(Task, Attempt)>,
    },
    /// Asks the worker to cap the processor time of the task.
    Throttle {
        /// Worker.
        worker: Arc<str>,
        /// Task.
        task: Task,
        /// Share of its size that the task may use, in percent.
        percent: u32,
    },
}

/// Parameters of a kernel at the start of an epoch.
#[derive(Clone, Debug)]
pub struct Start {
    /// Shard.
    pub shard: shard::Id,
    /// Partition of the cell, which splits the contracts' limits among shards.
    pub partition: Arc<Map>,
    /// Whether no task of an earlier epoch can be running, as in a shard's first epoch.
    pub clean: bool,
    /// Name of the placement policy; see `policy`.
    pub policy: Arc<str>,
    /// Seed of random choices.
    pub seed: u64,
}

/// The placement kernel of one shard and epoch.
#[derive(Debug)]
pub struct Kernel {
    start: Start,
    epoch_start: Instant,
    policy: policy::Set,
    random: random::Random,
    fleet: Fleet,
    jobs: Jobs,
    accounts: Accounts,
    estimates: Estimates,
    mix: Mix,
    actions: Vec<Action>,
    /// Whether the host has listed the workers in this epoch.
    listed: bool,
    /// Whether [`Kernel::restore_unlisted`] was called in this epoch.
    unlisted_restored: bool,
    /// Whether all leases of earlier epochs are known or have expired.
    settled: bool,
    /// Next task to resolve of each restored job. Processed once the kernel is settled.
    unresolved: VecDeque<Key>,
    /// Next task to stop of each job whose leases are revoked.
    stopping: VecDeque<Key>,
    /// Tasks in backoff, by the time at which they are queued again.
    delayed: BTreeSet<(Instant, Key)>,
    /// Nightly jobs, by the time at which their priority is raised.
    promotions: BTreeSet<(Instant, Serial)>,
    /// Number of reports applied.
    reports: u64,
    reservations: Vec<Reservation>,
    /// Earliest time at which workers are compared for another reservation.
    next_comparison: Instant,
}

impl Kernel {
    /// Creates the kernel of a shard whose epoch starts at `now`.
    #[must_use]
    pub fn new(now: Instant, start: Start) -> Self {
        let policy = policy::Set::named(&start.policy);
        Self {
            epoch_start: now,
            random: random::Random::new(start.seed),
            fleet: Fleet::default(),
            policy,
            jobs: Jobs::default(),
            accounts: Accounts::default(),
            estimates: Estimates::default(),
            mix: Mix::default(),
            actions: Vec::new(),
            listed: false,
            unlisted_restored: false,
            settled: start.clean,
            unresolved: VecDeque::new(),
            stopping: VecDeque::new(),
            delayed: BTreeSet::new(),
            promotions: BTreeSet::new(),
            reports: 0,
            reservations: Vec::new(),
            next_comparison: now,
            start,
        }
    }

    /// Applies an event and returns the actions that follow from it.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Cancelled(id) => self.cancel(&id),
            Event::Contract(contract) => self.revise(contract),
            Event::EndRecorded(task) => self.end_recorded(&task),
            Event::Listed(workers) => self.update_list(now, workers),
            Event::Placed {
                worker,
                task,
                attempt,
            } => self.placed(now, &worker, &task, attempt),
            Event::PlaceFailed {
                worker,
                task,
                attempt,
                definite,
            } => self.place_failed(now, &worker, &task, attempt, definite),
            Event::Restored {
                contract,
                job,
                tasks,
                cancelled,
                age_ms,
            } => self.restore(now, &contract, job, &tasks, cancelled, age_ms),
            Event::Submitted { contract, job } => self.submit(now, &contract, job),
            Event::SyncFailed { worker, fenced } => self.sync_failed(now, &worker, fenced),
            Event::Synced { worker, report } => self.synced(now, &worker, report),
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.actions)
    }

    fn tick(&mut self, now: Instant) {
        self.poll_workers(now);
        self.resolve(now);
        self.requeue_delayed(now);
        self.promote(now);
        self.place_urgent(now);
        self.stop_revoked(now);
        self.place_waiting(now);
        self.review_mix(now);
    }

    fn revise(&mut self, contract: Arc<Contract>) {
        let Start {
            shard, partition, ..
        } = &self.start;
        self.accounts.revise(contract, shard, partition);
    }
}

/// Why a job is not accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The job is refused for now, such as by a full queue; a later submission may succeed.
    Later(NotRun),
    /// The job can't run on this shard, or the contract doesn't allow it.
    Never(Arc<str>),
}
