//! Jobs and tasks as the kernel keeps them.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::job::{End, Id, Priority, Spec, State, Task};
use crate::placement::Attempt;
use crate::placement::index::Slot;
use crate::size::Size;
use crate::time::Instant;

/// Ended jobs whose state is kept for callers.
const ENDED_MAX: usize = 50_000;

/// Number of a job in order of arrival.
pub(crate) type Serial = u64;

/// A task of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Key {
    pub(crate) serial: Serial,
    pub(crate) index: u32,
}

impl Key {
    /// Returns the first task of a job.
    pub(crate) fn first(serial: Serial) -> Self {
        Self { serial, index: 0 }
    }
}

/// What is known of a lease that the kernel asked for or found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Confirmation {
    /// The worker took the lease.
    Confirmed,
    /// The answer to the placement was lost.
    Unresolved,
    /// The answer to the placement is awaited.
    Pending,
}

/// A lease that exists or may exist.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub(crate) worker: Slot,
    pub(crate) confirmation: Confirmation,
    /// Size counted on the worker and the contract.
    pub(crate) charge: Size,
    /// Highest use reported.
    pub(crate) peak: Size,
    /// When the placement was decided.
    pub(crate) since: Instant,
    /// When the certainty last changed.
    pub(crate) changed: Instant,
    /// Number of the last report that showed the lease.
    pub(crate) last_report: u64,
    /// When the worker was last asked to stop the task.
    pub(crate) stopped: Option<Instant>,
    /// When the worker was last asked to checkpoint the task.
    pub(crate) checkpointed: Option<Instant>,
    /// Whether the task is throttled.
    pub(crate) throttled: bool,
    /// Whether the task was short work when it was placed.
    pub(crate) short: bool,
}

/// Where a task stands.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Waits until a time before it is queued again.
    Delayed(Instant),
    /// The end is known.
    Ended(End),
    /// The end is being written to the log.
    Ending(End),
    /// Holds a lease or may hold one.
    Placed(Placement),
    /// Taken over; a lease may exist at a worker that was not surveyed yet.
    Unknown {
        /// Whether a lease was recorded.
        granted: bool,
    },
    /// Queued.
    Waiting,
}

/// A task as the kernel keeps it.
#[derive(Clone, Debug)]
pub(crate) struct TaskState {
    pub(crate) phase: Phase,
    /// Number of the last attempt granted or adopted here.
    pub(crate) attempts: Attempt,
    /// Highest number of an attempt that a worker reported.
    pub(crate) reported: Attempt,
    /// When the task was last queued.
    pub(crate) queued: Instant,
    /// Workers on which the task failed.
    pub(crate) failed_on: Vec<Slot>,
    /// Failures and refused placements since the last success.
    pub(crate) failures: u32,
    /// Finished attempt to acknowledge once the end is in the log.
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

    /// Returns the lease of the task for changes.
    pub(crate) fn placement_mut(&mut self) -> Option<&mut Placement> {
        match &mut self.phase {
            Phase::Placed(placement) => Some(placement),
            _ => None,
        }
    }
}

/// A job as the kernel keeps it.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: Id,
    pub(crate) spec: Spec,
    pub(crate) account: usize,
    pub(crate) group: Option<usize>,
    pub(crate) accepted: Instant,
    /// Priority by which the job is ordered; rises when the deadline comes near.
    pub(crate) priority: Priority,
    pub(crate) tasks: Vec<TaskState>,
    /// Indices of tasks that wait for placement.
    pub(crate) waiting: VecDeque<u32>,
    /// Whether the job is in its account's queue.
    pub(crate) queued: bool,
    pub(crate) cancelled: bool,
    /// Whether the job is stopped because it can't succeed.
    pub(crate) failed: bool,
    /// Whether a gang lost a member, so that the others are stopped and placed again with it.
    pub(crate) member_lost: bool,
    pub(crate) started: bool,
    pub(crate) held: u32,
    pub(crate) ends_recorded: u32,
    pub(crate) ends: [u32; 4],
    pub(crate) state: Option<State>,
    pub(crate) reason: Option<Arc<str>>,
    /// Ends and attempts of the tasks of an ended job.
    pub(crate) outcomes: Vec<(End, u8)>,
    /// When a gang that found no room is tried again.
    pub(crate) retry: Instant,
    /// Up to two workers on which a task of the job succeeded.
    pub(crate) succeeded_on: Vec<Slot>,
    /// Tasks held per rack, for services.
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

    /// Returns how many tasks have a known end.
    pub(crate) fn ended_total(&self) -> u32 {
        self.ends.iter().sum()
    }

    /// Tells whether the remaining tasks are to be stopped.
    pub(crate) fn is_stopping(&self) -> bool {
        self.cancelled || self.failed
    }

    /// Drops what an ended job no longer needs.
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

    /// Returns the terminal state that the ends of the tasks add up to.
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
    /// Boxed, so that the map can grow without moving the jobs.
    jobs: HashMap<Serial, Box<Job>>,
    ended: VecDeque<Serial>,
}

impl Jobs {
    /// Adds a job and returns its number.
    pub(crate) fn add(&mut self, job: Job) -> Serial {
        self.next += 1;
        self.serials.insert(job.id.clone(), self.next);
        self.jobs.insert(self.next, Box::new(job));
        self.next
    }

    /// Returns the number of a job.
    pub(crate) fn serial(&self, id: &Id) -> Option<Serial> {
        self.serials.get(id).copied()
    }

    /// Returns a job.
    pub(crate) fn get(&self, serial: Serial) -> Option<&Job> {
        self.jobs.get(&serial).map(Box::as_ref)
    }

    /// Returns a job for changes.
    pub(crate) fn get_mut(&mut self, serial: Serial) -> Option<&mut Job> {
        self.jobs.get_mut(&serial).map(Box::as_mut)
    }

    /// Returns a task.
    pub(crate) fn task(&self, key: Key) -> Option<&TaskState> {
        self.get(key.serial)?.tasks.get(key.index as usize)
    }

    /// Returns a task for changes.
    pub(crate) fn task_mut(&mut self, key: Key) -> Option<&mut TaskState> {
        let job = self.jobs.get_mut(&key.serial)?;
        job.tasks.get_mut(key.index as usize)
    }

    /// Takes the next task of the jobs in `queue`, which hold the next task to look at.
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

    /// Returns the lease of a task for changes.
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

    /// Keeps an ended job's state for callers and forgets the oldest beyond the limit.
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
