//! Placement kernel: places the tasks of one worker shard's jobs on its workers.
//!
//! One [`Kernel`] exists per owned worker shard and epoch. Its host feeds it events and carries out
//! the steps it returns.

mod account;
mod admission;
mod due;
mod failures;
mod fit;
mod fleet;
mod index;
mod intake;
mod learned;
mod lease;
mod link;
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
mod task;
mod views;
mod work;
mod worker;

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::contract::Contract;
use crate::job::{End, Id, Spec, State as JobState, Task};
use crate::outcome::NotRun;
use crate::partition::Map;
use crate::placement::account::Accounts;
use crate::placement::fleet::Fleet;
use crate::placement::learned::Learned;
use crate::placement::mix::Mix;
use crate::placement::reservation::Reservation;
use crate::placement::work::{Book, Key, Serial};
use crate::shard;
use crate::size::Size;
use crate::target::{State, Worker};
use crate::time::Instant;

pub use crate::placement::account::pinning_limit;
pub use crate::placement::fit::fit_cost;

/// Number of a task's placement attempt. Grows with every lease granted for the task.
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
    /// Use of the task as last measured; lags behind the task.
    pub used: Size,
    /// Age of the usage figure in milliseconds.
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
    /// The owner asked the worker to stop the task.
    Stopped,
    /// The task ran to its end.
    Succeeded,
}

/// What a worker reports when its owner synchronises with it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Leases held.
    pub leases: Vec<Lease>,
    /// Finished attempts not yet acknowledged.
    pub finished: Vec<Finished>,
    /// Whether the worker itself announces that it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// State of a task as the log tells it to a new owner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Restored {
    /// Ended.
    Ended(End),
    /// A lease was about to be granted; only recorded for tasks that may run only once.
    Granted,
    /// Nothing is recorded. A lease may exist at a worker.
    Pending,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller cancelled a job; the cancellation is recorded.
    Cancelled(Id),
    /// A contract came into force, or a new revision of it.
    Contract(Arc<Contract>),
    /// The log holds the end of a task; the worker's copy may be acknowledged.
    EndRecorded(Task),
    /// The list of the shard's workers changed.
    Listed(Vec<(Worker, State)>),
    /// The worker took the lease.
    Placed {
        /// Worker.
        worker: Arc<str>,
        /// Task.
        task: Task,
        /// Attempt.
        attempt: Attempt,
    },
    /// The worker did not take the lease, or its answer was lost.
    PlaceFailed {
        /// Worker.
        worker: Arc<str>,
        /// Task.
        task: Task,
        /// Attempt.
        attempt: Attempt,
        /// Whether the lease certainly doesn't exist.
        definite: bool,
    },
    /// A job is taken over from the log, at the start of an epoch.
    Restored {
        /// Contract of the job.
        contract: Arc<str>,
        /// The job.
        job: Spec,
        /// State of each task by index.
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
        /// The job.
        job: Spec,
    },
    /// The worker could not be reached, or refused because it saw a newer epoch.
    SyncFailed {
        /// Worker.
        worker: Arc<str>,
        /// Whether the worker saw a newer epoch than ours.
        fenced: bool,
    },
    /// The worker answered; its leases are renewed from the time the call was sent.
    Synced {
        /// Worker.
        worker: Arc<str>,
        /// What the worker reported.
        report: Report,
    },
    /// Time passed.
    Tick,
}

/// What the host does next.
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
    /// Asks the worker to take a lease, then reports `Placed` or `PlaceFailed`.
    Place {
        /// Worker.
        worker: Arc<str>,
        /// Task.
        task: Task,
        /// Attempt.
        attempt: Attempt,
        /// Size that the lease holds.
        size: Size,
        /// Whether the grant must be written to the log before the worker is asked.
        log_first: bool,
    },
    /// Asks the worker to stop the task. The end arrives with a later report.
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
    /// Asks the worker to limit the processor time of the task.
    Throttle {
        /// Worker.
        worker: Arc<str>,
        /// Task.
        task: Task,
        /// Share of its size that the task may use, in percent.
        percent: u32,
    },
}

/// What a kernel knows at the start of an epoch.
#[derive(Clone, Debug)]
pub struct Start {
    /// Shard.
    pub shard: shard::Id,
    /// Partition of the cell, by which limits are split.
    pub partition: Arc<Map>,
    /// Whether nothing of an earlier epoch can be running, as for a shard's first epoch.
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
    /// Start of the epoch.
    began: Instant,
    policy: policy::Set,
    random: random::Random,
    fleet: Fleet,
    book: Book,
    accounts: Accounts,
    learned: Learned,
    mix: Mix,
    out: Vec<Action>,
    /// Whether the workers were listed in this epoch.
    listed: bool,
    /// Whether the workers that were listed lately are known.
    recalled: bool,
    /// Whether all leases of earlier epochs are known.
    settled: bool,
    /// Jobs taken over whose tasks wait for the survey, with the next task to look at.
    unresolved: VecDeque<Key>,
    /// Jobs whose leases are to be given up, with the next task to look at.
    stopping: VecDeque<Key>,
    /// Tasks that wait before they are queued again.
    delayed: BTreeSet<(Instant, Key)>,
    /// Jobs whose priority rises at a time.
    promotions: BTreeSet<(Instant, Serial)>,
    /// Number of reports taken.
    reports: u64,
    reservations: Vec<Reservation>,
    /// When workers may be compared for a further reservation.
    compare_at: Instant,
}

impl Kernel {
    /// Creates the kernel of a shard whose epoch starts at `now`.
    #[must_use]
    pub fn new(now: Instant, start: Start) -> Self {
        let policy = policy::Set::named(&start.policy);
        Self {
            began: now,
            random: random::Random::new(start.seed),
            fleet: Fleet::default(),
            policy,
            book: Book::default(),
            accounts: Accounts::default(),
            learned: Learned::default(),
            mix: Mix::default(),
            out: Vec::new(),
            listed: false,
            recalled: false,
            settled: start.clean,
            unresolved: VecDeque::new(),
            stopping: VecDeque::new(),
            delayed: BTreeSet::new(),
            promotions: BTreeSet::new(),
            reports: 0,
            reservations: Vec::new(),
            compare_at: now,
            start,
        }
    }

    /// Takes an event and returns what to do next.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Cancelled(id) => self.cancel(&id),
            Event::Contract(contract) => self.revise(contract),
            Event::EndRecorded(task) => self.recorded(&task),
            Event::Listed(workers) => self.list(now, workers),
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
        std::mem::take(&mut self.out)
    }

    fn tick(&mut self, now: Instant) {
        self.wake_workers(now);
        self.resolve(now);
        self.requeue_delayed(now);
        self.promote(now);
        self.place_urgent(now);
        self.stop_batch(now);
        self.place_rest(now);
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
    /// The contract's queue is full; the job may be accepted later.
    Later(NotRun),
    /// The job can never run, or the contract doesn't allow it.
    Never(Arc<str>),
}
