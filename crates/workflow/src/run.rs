//! State of open jobs: occurrences, steps and tasks.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::advice::Advice;
use crate::job::{Address, Spec, State};
use crate::memory::{Cost, Pool, Share};
use crate::objective::Objective;
use crate::shard::Shard;
use crate::task::StepKey;

/// Placement of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Placement {
    /// The task has completed.
    Completed,
    /// The task runs, or may run, on this worker.
    Assigned(Arc<str>),
    /// The task waits for a worker.
    Waiting,
}

/// State of a task.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    /// Current placement.
    pub(crate) placement: Placement,
    /// Number of the last attempt that was started.
    pub(crate) attempt: u32,
    /// Failed attempts in the order in which the owner learned of them. After a takeover this
    /// differs from the order of the attempts, because each worker reports its own ends.
    pub(crate) failed_attempts: Vec<u32>,
    /// Last checkpoint.
    pub(crate) checkpoint: Option<Arc<str>>,
    /// Time on the owner's clock before which the task isn't started again.
    pub(crate) not_before_ms: u64,
    /// Whether an attempt was preempted by work of higher priority.
    pub(crate) preempted: bool,
}

/// State of a step in one occurrence.
#[derive(Clone, Debug)]
pub(crate) struct StepRun {
    pub(crate) tasks: Vec<Task>,
    /// Number of completed tasks.
    pub(crate) done: u32,
    /// Number of tasks that wait for a worker.
    pub(crate) waiting: u32,
    pub(crate) advice: Advice,
    /// Whether the steps that it depends on have completed.
    pub(crate) ready: bool,
    /// Whether a previous owner may have started tasks of the step.
    pub(crate) inherited: bool,
    /// Time on the owner's clock since which waiting tasks could not be placed.
    pub(crate) blocked_since_ms: Option<u64>,
}

impl StepRun {
    pub(crate) fn new(count: u32, inherited: bool) -> Self {
        let task = Task {
            placement: Placement::Waiting,
            attempt: 0,
            failed_attempts: Vec::new(),
            checkpoint: None,
            not_before_ms: 0,
            preempted: false,
        };
        Self {
            tasks: vec![task; count as usize],
            done: 0,
            waiting: count,
            advice: Advice::default(),
            ready: false,
            inherited,
            blocked_since_ms: None,
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Counts a failed attempt of a task. Returns whether it was not counted before.
    pub(crate) fn count_failure(&mut self, index: usize, attempt: u32) -> bool {
        let task = &mut self.tasks[index];
        if task.failed_attempts.contains(&attempt) {
            return false;
        }
        task.failed_attempts.push(attempt);
        true
    }

    /// Sets the placement of a task and updates the counts.
    pub(crate) fn set_placement(&mut self, index: u32, placement: Placement) {
        let task = &mut self.tasks[index as usize];
        match task.placement {
            Placement::Completed => self.done -= 1,
            Placement::Waiting => self.waiting -= 1,
            Placement::Assigned(_) => {}
        }
        match placement {
            Placement::Completed => self.done += 1,
            Placement::Waiting => self.waiting += 1,
            Placement::Assigned(_) => {}
        }
        task.placement = placement;
    }
}

/// State of a job.
#[derive(Debug)]
pub(crate) struct Job {
    /// Name of its queue.
    pub(crate) queue: Arc<str>,
    pub(crate) spec: Arc<Spec>,
    /// Position in the order of acceptance.
    pub(crate) acceptance_order: u64,
    /// Occurrences in progress, by number.
    pub(crate) occurrences: BTreeMap<u32, Vec<StepRun>>,
    /// Number of completed occurrences.
    pub(crate) completed_occurrences: u32,
    /// Number of the next occurrence to begin.
    pub(crate) next_occurrence: u32,
    /// Whether a task has started.
    pub(crate) started: bool,
    /// Final state, and the number of the record that makes it durable.
    pub(crate) ended: Option<(State, u64)>,
    /// Time on the shard's clock at which the job ended. Unknown times are later than any other until
    /// the end of the replay.
    pub(crate) ended_ms: u64,
    /// Offset of its last submission in the jobs' stream, if it was read.
    pub(crate) logged: Option<u64>,
    /// Time on the owner's clock at which the job was accepted. A successor takes the time at which it
    /// learned of the job, which is later, so that it never takes a job for older than it is.
    pub(crate) accepted_ms: u64,
    /// Objective as last computed; `None` if the job has none or its run time is unknown.
    pub(crate) objective: Option<Objective>,
    /// Whether a previous owner may have started tasks, or may do so before it is fenced.
    pub(crate) inherited: bool,
    /// Highest attempt number that previous owners may have used without leaving a record.
    pub(crate) attempt_floor: u32,
    cost: Cost,
    share: Share,
}

impl Job {
    /// Creates an open job without occurrences.
    pub(crate) fn new(queue: Arc<str>, spec: Arc<Spec>, pool: &Pool) -> Self {
        let mut job = Self {
            queue,
            cost: Cost::of(&spec),
            share: pool.share(),
            spec,
            acceptance_order: 0,
            occurrences: BTreeMap::new(),
            completed_occurrences: 0,
            next_occurrence: 0,
            started: false,
            ended: None,
            ended_ms: 0,
            logged: None,
            accepted_ms: 0,
            objective: None,
            inherited: false,
            attempt_floor: 0,
        };
        job.count_memory();
        job
    }

    /// Creates a job of which only the end and the team are known.
    pub(crate) fn unknown(team: Option<Arc<str>>, pool: &Pool) -> Self {
        let spec = Spec {
            team,
            ..Spec::default()
        };
        Self::new("".into(), Arc::new(spec), pool)
    }

    /// Counts the memory that the job holds after a change.
    fn count_memory(&mut self) {
        self.share.set(match self.ended {
            Some(_) => self.cost.ended(),
            None => self.cost.open(self.occurrences.len()),
        });
    }

    /// Ends the job.
    pub(crate) fn end(&mut self, state: State, record: u64, ended_ms: u64) {
        self.ended = Some((state, record));
        self.ended_ms = ended_ms;
        self.occurrences.clear();
        self.count_memory();
    }

    /// Drops the specification of an ended job, apart from the team.
    pub(crate) fn drop_spec(&mut self) {
        if self.cost == Cost::default() {
            return;
        }
        let spec = Spec {
            address: self.spec.address,
            team: self.spec.team.clone(),
            ..Spec::default()
        };
        self.spec = Arc::new(spec);
        self.cost = Cost::default();
        self.count_memory();
    }

    /// Sets the address of a job of which only the end is known.
    pub(crate) fn set_address(&mut self, address: Address) {
        if self.spec.address != address {
            Arc::make_mut(&mut self.spec).address = address;
        }
    }

    /// Returns whether another occurrence may begin now. The first one always may.
    pub(crate) fn has_room(&self, pool: &Pool) -> bool {
        self.occurrences.is_empty() || pool.has_room_to_grow(self.cost.occurrence)
    }

    /// Removes a completed occurrence. Returns whether it was in progress.
    pub(crate) fn complete_occurrence(&mut self, number: u32) -> bool {
        let is_completed = self.occurrences.remove(&number).is_some();
        self.completed_occurrences += u32::from(is_completed);
        self.count_memory();
        is_completed
    }

    /// Returns the state of a step.
    pub(crate) fn step_run(&self, key: StepKey) -> Option<&StepRun> {
        self.occurrences
            .get(&key.occurrence)?
            .get(key.step as usize)
    }

    /// Begins the occurrences below `next` that have not begun. They are due in the order of their
    /// numbers, so all of them are due if the last one has a task that started.
    pub(crate) fn begin_occurrences(&mut self, next: u32) {
        for number in self.next_occurrence..next {
            self.begin_occurrence(number);
        }
    }

    /// Begins the occurrence `number`.
    pub(crate) fn begin_occurrence(&mut self, number: u32) {
        let steps = self.spec.steps.iter().map(|step| {
            let mut run = StepRun::new(step.count, self.inherited);
            run.ready = step.after.is_empty();
            run
        });
        self.occurrences.insert(number, steps.collect());
        self.next_occurrence = self.next_occurrence.max(number + 1);
        self.count_memory();
    }

    pub(crate) fn is_ended(&self) -> bool {
        self.ended.is_some()
    }
}

impl Shard {
    pub(crate) fn step_run(&self, key: StepKey) -> Option<&StepRun> {
        self.jobs
            .get(&key.job)?
            .occurrences
            .get(&key.occurrence)?
            .get(key.step as usize)
    }

    pub(crate) fn step_run_mut(&mut self, key: StepKey) -> Option<&mut StepRun> {
        self.jobs
            .get_mut(&key.job)?
            .occurrences
            .get_mut(&key.occurrence)?
            .get_mut(key.step as usize)
    }
}
