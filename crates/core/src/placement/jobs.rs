//! Job table: jobs, their tasks and the leases that these hold.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::job::{End, Id, Priority, Spec, State, Task};
use crate::placement::Attempt;
use crate::placement::index::Slot;
use crate::size::Size;
use crate::time::Instant;

/// Most ended jobs whose state is kept for callers.
const ENDED_MAX: usize = 50_000;

/// Serial number of a job, in order of arrival.
pub(crate) type Serial = u64;

/// Key of a task in the job table.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Key {
    pub(crate) serial: Serial,
    pub(crate) index: u32,
}

impl Key {
    /// Returns the key of a job's first task.
    pub(crate) fn first(serial: Serial) -> Self {
        Self { serial, index: 0 }
    }
}

/// Whether the worker is known to hold a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Confirmation {
    /// The worker accepted or reported the lease.
    Confirmed,
    /// The answer to the placement was lost, so that the lease may or may not exist.
    Unresolved,
    /// The placement has not been answered yet.
    Pending,
}

/// A lease that exists or may exist.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub(crate) worker: Slot,
    pub(crate) confirmation: Confirmation,
    /// Size allocated on the worker and the contract.
    pub(crate) charge: Size,
    /// Highest use reported.
    pub(crate) peak: Size,
    /// When the placement was decided.
    pub(crate) since: Instant,
    /// When `confirmation` last changed.
    pub(crate) changed: Instant,
    /// Number of the last report that contained the lease.
    pub(crate) last_report: u64,
    /// When the worker was last asked to stop the task.
    pub(crate) stop_requested: Option<Instant>,
    /// When the worker was last asked to checkpoint the task.
    pub(crate) checkpoint_requested: Option<Instant>,
    /// Whether the task is throttled.
    pub(crate) throttled: bool,
    /// Whether the task counted as short when it was placed.
    pub(crate) short: bool,
}

/// Phase in the life cycle of a task.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// In backoff until a time.
    Delayed(Instant),
    /// The end is durable.
    Ended(End),
    /// The end is being written to the log.
    Ending(End),
    /// A worker holds a lease for the task or may hold one.
    Placed(Placement),
    /// Restored from the log. A worker that is not surveyed yet may hold a lease.
    Unknown {
        /// Whether a grant was recorded.
        granted: bool,
    },
    /// Queued for placement.
    Waiting,
}

/// State of a task.
#[derive(Clone, Debug)]
pub(crate) struct TaskState {
    pub(crate) phase: Phase,
    /// Number of the last attempt granted or adopted by this kernel.
    pub(crate) attempts: Attempt,
    /// Highest number of an attempt that a worker reported.
    pub(crate) reported: Attempt,
    /// When the task was last queued.
    pub(crate) queued: Instant,
    /// Workers on which the task failed.
    pub(crate) failed_on: Vec<Slot>,
    /// Failures and refused placements. Reset when an attempt succeeds after a long run.
    pub(crate) failures: u32,
    /// Finished attempt to acknowledge once the end is durable.
    pub(crate) unacknowledged: Option<(Slot, Attempt)>,
}

impl TaskState {
    pub(crate) fn new(phase: Phase) -> Self {
        Self {
            phase,
            attempts: 0,
            reported: 0,
            queued: Instant::default(),
            failed_on: Vec::new(),
            failures: 0,
            unacknowledged: None,
        }
    }

    /// Returns the lease of the task.
    pub(crate) fn placement(&self) -> Option<&Placement> {
        match &self.phase {
            Phase::Placed(placement) => Some(placement),
            _ => None,
        }
    }

    /// Returns the lease of the task mutably.
    pub(crate) fn placement_mut(&mut self) -> Option<&mut Placement> {
        match &mut self.phase {
            Phase::Placed(placement) => Some(placement),
            _ => None,
        }
    }
}

/// State of a job.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: Id,
    pub(crate) spec: Spec,
    /// Index of the contract's account.
    pub(crate) account: usize,
    /// Index of the job's group of estimates.
    pub(crate) group: Option<usize>,
    pub(crate) accepted: Instant,
    /// Priority in the queue. That of a nightly job is raised after half of the time to its
    /// deadline.
    pub(crate) priority: Priority,
    pub(crate) tasks: Vec<TaskState>,
    /// Indices of tasks that wait for placement.
    pub(crate) waiting: VecDeque<u32>,
    /// Whether the job is in its account's queue.
    pub(crate) queued: bool,
    pub(crate) cancelled: bool,
    /// Whether the job is being stopped because it can't succeed.
    pub(crate) failed: bool,
    /// Whether a gang lost a member, so that the others are stopped and all are placed again.
    pub(crate) member_lost: bool,
    pub(crate) started: bool,
    /// Number of placed tasks.
    pub(crate) placed: u32,
    /// Number of tasks whose end is durable.
    pub(crate) ends_recorded: u32,
    /// Number of tasks by kind of end.
    pub(crate) ends: [u32; 4],
    pub(crate) state: Option<State>,
    pub(crate) reason: Option<Arc<str>>,
    /// End and number of attempts of each task of an ended job.
    pub(crate) outcomes: Vec<(End, u8)>,
    /// When a gang that found no capacity is tried again.
    pub(crate) retry: Instant,
    /// The latest two workers on which a task of the job succeeded.
    pub(crate) succeeded_on: Vec<Slot>,
    /// Number of placed tasks per rack, used to spread services.
    pub(crate) racks: HashMap<u32, u32>,
}

impl Job {
    /// Returns the identity of a task.
    pub(crate) fn task(&self, index: u32) -> Task {
        Task {
            job: self.id.clone(),
            index,
        }
    }

    /// Returns how many tasks ended with `end`.
    pub(crate) fn ended(&self, end: End) -> u32 {
        self.ends[end as usize]
    }

    /// Returns how many tasks have ended.
    pub(crate) fn ended_total(&self) -> u32 {
        self.ends.iter().sum()
    }

    /// Returns whether the remaining tasks are being stopped.
    pub(crate) fn is_stopping(&self) -> bool {
        self.cancelled || self.failed
    }

    /// Drops the state that an ended job no longer needs.
    pub(crate) fn compact(&mut self) {
        let outcome = |task: &TaskState| match task.phase {
            Phase::Ended(end) => (end, task.attempts.min(255) as u8),
            _ => (End::Lost, 0),
        };
        self.outcomes = self.tasks.iter().map(outcome).collect();
        self.tasks = Vec::new();
        self.waiting = VecDeque::new();
        self.racks = HashMap::new();
        self.spec.payload = None;
    }

    /// Returns the terminal state that follows from the ends of the tasks.
    pub(crate) fn terminal_state(&self) -> State {
        if self.ended(End::Failed) > 0 {
            State::Failed
        } else if self.ended(End::Lost) > 0 {
            State::Lost
        } else if self.failed {
            State::Failed
        } else if self.ended(End::Cancelled) > 0 {
            State::Cancelled
        } else {
            State::Succeeded
        }
    }
}

/// All jobs of the shard.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    next: Serial,
    serials: HashMap<Id, Serial>,
    /// Boxed, so that growing the map doesn't move the jobs.
    jobs: HashMap<Serial, Box<Job>>,
    ended: VecDeque<Serial>,
}

impl Jobs {
    /// Adds a job and returns its serial number.
    pub(crate) fn add(&mut self, job: Job) -> Serial {
        self.next += 1;
        self.serials.insert(job.id.clone(), self.next);
        self.jobs.insert(self.next, Box::new(job));
        self.next
    }

    /// Returns the serial number of a job.
    pub(crate) fn serial(&self, id: &Id) -> Option<Serial> {
        self.serials.get(id).copied()
    }

    /// Returns a job.
    pub(crate) fn get(&self, serial: Serial) -> Option<&Job> {
        self.jobs.get(&serial).map(Box::as_ref)
    }

    /// Returns a job mutably.
    pub(crate) fn get_mut(&mut self, serial: Serial) -> Option<&mut Job> {
        self.jobs.get_mut(&serial).map(Box::as_mut)
    }

    /// Returns a task.
    pub(crate) fn task(&self, key: Key) -> Option<&TaskState> {
        self.get(key.serial)?.tasks.get(key.index as usize)
    }

    /// Returns a task mutably.
    pub(crate) fn task_mut(&mut self, key: Key) -> Option<&mut TaskState> {
        let job = self.jobs.get_mut(&key.serial)?;
        job.tasks.get_mut(key.index as usize)
    }

    /// Takes the next task from a queue that holds the next key of each job.
    pub(crate) fn take_next(&self, queue: &mut VecDeque<Key>) -> Option<Key> {
        while let Some(next) = queue.front_mut() {
            let key = *next;
            next.index += 1;
            if self.task(key).is_some() {
                return Some(key);
            }
            queue.pop_front();
        }
        None
    }

    /// Returns the lease of a task mutably.
    pub(crate) fn placement_mut(&mut self, key: Key) -> Option<&mut Placement> {
        self.task_mut(key)?.placement_mut()
    }

    /// Finds a task by its identity.
    pub(crate) fn find(&self, task: &Task) -> Option<Key> {
        let serial = self.serial(&task.job)?;
        let job = self.get(serial)?;
        (task.index < job.spec.tasks).then_some(Key {
            serial,
            index: task.index,
        })
    }

    /// Returns all jobs.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().map(Box::as_ref)
    }

    /// Retains an ended job's state for callers and drops the oldest beyond the limit.
    pub(crate) fn retain_ended(&mut self, serial: Serial) {
        self.ended.push_back(serial);
        if self.ended.len() <= ENDED_MAX {
            return;
        }
        if let Some(job) = self
            .ended
            .pop_front()
            .and_then(|oldest| self.jobs.remove(&oldest))
        {
            self.serials.remove(&job.id);
        }
    }
}
