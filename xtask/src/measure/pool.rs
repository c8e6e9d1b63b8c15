//! Simulation of one worker pool: the production placement kernel with simulated workers and log.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Instant as WallClock;

use rosemaryworks_core::contract::Contract;
use rosemaryworks_core::job::{End, Id, Kind, Priority, State as JobState, Task};
use rosemaryworks_core::partition::Map;
use rosemaryworks_core::placement::{
    Action, Attempt, Event, Finished, Kernel, Lease, Report, Result, Start,
};
use rosemaryworks_core::shard;
use rosemaryworks_core::size::Size;
use rosemaryworks_core::target::{State, Worker};
use rosemaryworks_core::time::Instant;

use super::load::{Actual, Job};

/// Milliseconds until the end of a task is recorded in the log.
const LOG_DELAY_MS: u64 = 70;
/// Milliseconds from the start of a failing task to its failure.
const FAILURE_DELAY_MS: u64 = 100;

/// An attempt on a worker, with its future end and result.
#[derive(Debug)]
struct Running {
    attempt: Attempt,
    size: Size,
    started: u64,
    ends: u64,
    result: Result,
}

#[derive(Debug)]
struct Vm {
    worker: Worker,
    faulty: bool,
    leases: HashMap<Task, Running>,
    finished: Vec<Finished>,
}

/// Waiting time of a task before its first attempt.
#[derive(Clone, Debug)]
pub(crate) struct Wait {
    pub(crate) kind: Kind,
    pub(crate) priority: Priority,
    pub(crate) wait_ms: f64,
}

/// A task that succeeded.
#[derive(Clone, Debug)]
pub(crate) struct Completed {
    pub(crate) contract: Arc<str>,
    pub(crate) submitted: u64,
    /// Time from submission to end, divided by the run time.
    pub(crate) slowdown: f64,
    /// Run time in milliseconds.
    pub(crate) run_ms: u64,
}

#[derive(Debug)]
struct Submission {
    submitted: u64,
    kind: Kind,
    priority: Priority,
    actual: Actual,
}

/// Wall-clock time spent in the kernel.
#[derive(Debug, Default)]
pub(crate) struct KernelTime {
    /// Time of each call that placed tasks in microseconds.
    pub(crate) placing_us: Vec<f64>,
    /// Time of each call in microseconds.
    pub(crate) calls_us: Vec<f64>,
    /// Sum over all calls in seconds.
    pub(crate) total_s: f64,
    pub(crate) placements: u64,
}

/// One simulated worker pool.
pub(crate) struct Pool {
    pub(crate) now: u64,
    pub(crate) kernel: Kernel,
    pub(crate) waits: Vec<Wait>,
    pub(crate) completed: Vec<Completed>,
    pub(crate) ended: BTreeMap<Id, (JobState, u64)>,
    pub(crate) kernel_time: KernelTime,
    /// Milliseconds between two ticks.
    pub(crate) tick_ms: u64,
    vms: Vec<Vm>,
    index_by_name: HashMap<Arc<str>, usize>,
    submissions: HashMap<Id, Submission>,
    /// Events with the time at which they are due, in time order.
    delayed: VecDeque<(u64, Event)>,
    /// Replies of the workers, handled at the end of a tick.
    pending: VecDeque<Event>,
}

impl Pool {
    /// Creates a pool of workers with the given sizes, five in each rack.
    pub(crate) fn new(policy: &str, seed: u64, sizes: &[Size]) -> Self {
        let mut map = Map::default();
        map.pools.insert("cpu".into(), 1);
        let start = Start {
            shard: shard::Id::pool("cpu", 0),
            partition: Arc::new(map),
            clean: true,
            policy: policy.into(),
            seed,
        };
        let vms: Vec<Vm> = sizes.iter().enumerate().map(vm).collect();
        let index_by_name = vms.iter().enumerate();
        let index_by_name = index_by_name
            .map(|(index, vm)| (vm.worker.name.clone(), index))
            .collect();
        let mut pool = Self {
            now: 0,
            kernel: Kernel::new(Instant(0), start),
            waits: Vec::new(),
            completed: Vec::new(),
            ended: BTreeMap::new(),
            kernel_time: KernelTime::default(),
            tick_ms: 50,
            vms,
            index_by_name,
            submissions: HashMap::new(),
            delayed: VecDeque::new(),
            pending: VecDeque::new(),
        };
        pool.update_workers();
        pool
    }

    /// Passes the list of workers to the kernel and returns the time of the call in microseconds.
    pub(crate) fn update_workers(&mut self) -> f64 {
        let listed = self.vms.iter().map(|vm| (vm.worker.clone(), State::Live));
        let listed = listed.collect();
        self.handle_event(Event::Listed(listed));
        self.kernel_time.calls_us.last().copied().unwrap_or(0.0)
    }

    /// Makes one of `every` workers fail all its tasks.
    pub(crate) fn set_faulty(&mut self, every: usize) {
        self.vms
            .iter_mut()
            .step_by(every)
            .for_each(|vm| vm.faulty = true);
    }

    /// Publishes a contract.
    pub(crate) fn publish(&mut self, contract: Contract) {
        self.handle_event(Event::Contract(Arc::new(contract)));
    }

    /// Submits a job and returns its id.
    pub(crate) fn submit(&mut self, job: Job) -> Id {
        let id = Id {
            contract: job.contract.clone(),
            job: job.spec.id.clone(),
        };
        let submission = Submission {
            submitted: self.now,
            kind: job.spec.kind,
            priority: job.spec.priority,
            actual: job.actual,
        };
        self.submissions.insert(id.clone(), submission);
        self.handle_event(Event::Submitted {
            contract: job.contract,
            job: job.spec,
        });
        id
    }

    /// Cancels a job.
    pub(crate) fn cancel(&mut self, id: &Id) {
        self.handle_event(Event::Cancelled(id.clone()));
    }

    /// Advances the simulated time by one tick.
    pub(crate) fn tick(&mut self) {
        self.now += self.tick_ms;
        while let Some((_, event)) = self.delayed.pop_front_if(|entry| entry.0 <= self.now) {
            self.handle_event(event);
        }
        self.handle_event(Event::Tick);
        while let Some(event) = self.pending.pop_front() {
            self.handle_event(event);
        }
    }

    /// Returns the resources allocated to tasks.
    pub(crate) fn allocated(&self) -> Size {
        let targets = self.kernel.targets();
        targets
            .iter()
            .fold(Size::ZERO, |sum, worker| sum + worker.held)
    }

    /// Returns the resources allocated to the tasks of a contract.
    pub(crate) fn allocated_to(&self, contract: &str) -> Size {
        let leases = self.vms.iter().flat_map(|vm| &vm.leases);
        let own = leases.filter(|(task, _)| &*task.job.contract == contract);
        own.fold(Size::ZERO, |sum, (_, running)| sum + running.size)
    }

    fn handle_event(&mut self, event: Event) {
        let clock = WallClock::now();
        let actions = self.kernel.handle(Instant(self.now), event);
        let elapsed = clock.elapsed().as_secs_f64();
        self.kernel_time.calls_us.push(elapsed * 1e6);
        self.kernel_time.total_s += elapsed;
        if actions
            .iter()
            .any(|action| matches!(action, Action::Place { .. }))
        {
            self.kernel_time.placing_us.push(elapsed * 1e6);
        }
        for action in actions {
            self.apply(action);
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Place {
                worker,
                task,
                attempt,
                size,
                ..
            } => self.place(worker, task, attempt, size),
            Action::Sync {
                worker,
                acknowledge,
            } => self.sync(worker, &acknowledge),
            Action::Stop { worker, task, .. } => self.stop(&worker, &task),
            Action::EndTask { task, end } => self.end(task, end),
            Action::EndJob { job, state, .. } => {
                self.ended.insert(job, (state, self.now));
            }
            Action::Checkpoint { worker, task, .. } => self.stop(&worker, &task),
            Action::Throttle { .. } => {}
        }
    }

    fn end(&mut self, task: Task, end: End) {
        let submission = &self.submissions[&task.job];
        if end == End::Succeeded {
            let run_ms = submission.actual.run_ms[task.index as usize];
            let spent = (self.now - submission.submitted) as f64;
            self.completed.push(Completed {
                contract: task.job.contract.clone(),
                submitted: submission.submitted,
                slowdown: spent / run_ms as f64,
                run_ms,
            });
        }
        self.delayed
            .push_back((self.now + LOG_DELAY_MS, Event::EndRecorded(task)));
    }

    fn place(&mut self, worker: Arc<str>, task: Task, attempt: Attempt, size: Size) {
        self.kernel_time.placements += 1;
        let submission = &self.submissions[&task.job];
        if attempt == 1 {
            self.waits.push(Wait {
                kind: submission.kind,
                priority: submission.priority,
                wait_ms: (self.now - submission.submitted) as f64,
            });
        }
        let vm = &mut self.vms[self.index_by_name[&worker]];
        let fails = vm.faulty || submission.actual.fails;
        let run_ms = submission.actual.run_ms[task.index as usize];
        let running = Running {
            attempt,
            size,
            started: self.now,
            ends: self.now + if fails { FAILURE_DELAY_MS } else { run_ms },
            result: if fails {
                Result::Failed
            } else {
                Result::Succeeded
            },
        };
        vm.leases.insert(task.clone(), running);
        self.pending.push_back(Event::Placed {
            worker,
            task,
            attempt,
        });
    }

    fn stop(&mut self, worker: &Arc<str>, task: &Task) {
        let now = self.now;
        let vm = &mut self.vms[self.index_by_name[worker]];
        if let Some(running) = vm.leases.get_mut(task) {
            running.ends = now;
            running.result = Result::Stopped;
        }
    }

    fn sync(&mut self, worker: Arc<str>, acknowledge: &[(Task, Attempt)]) {
        let now = self.now;
        let vm = &mut self.vms[self.index_by_name[&worker]];
        let acknowledged = |entry: &Finished| {
            let same = |key: &(Task, Attempt)| key.1 == entry.attempt && key.0 == entry.task;
            acknowledge.iter().any(same)
        };
        vm.finished.retain(|entry| !acknowledged(entry));
        let ended_leases: Vec<_> = vm
            .leases
            .extract_if(|_, running| running.ends <= now)
            .collect();
        vm.finished.extend(ended_leases.into_iter().map(finished));
        let lease = |(task, running): (&Task, &Running)| Lease {
            task: task.clone(),
            attempt: running.attempt,
            size: running.size,
            used: self.submissions[&task.job].actual.used,
            used_age_ms: 1_000,
            checkpointed: false,
        };
        let report = Report {
            leases: vm.leases.iter().map(lease).collect(),
            finished: vm.finished.clone(),
            leaving: false,
        };
        self.pending.push_back(Event::Synced { worker, report });
    }
}

fn finished((task, running): (Task, Running)) -> Finished {
    Finished {
        task,
        attempt: running.attempt,
        result: running.result,
        run_ms: running.ends - running.started,
    }
}

fn vm((index, size): (usize, &Size)) -> Vm {
    let worker = Worker {
        name: format!("w{index}").into(),
        pool: "cpu".into(),
        zone: "z".into(),
        rack: format!("r{}", index / 5).into(),
        address: ([127, 0, 0, 1], 1).into(),
        size: *size,
    };
    Vm {
        worker,
        faulty: false,
        leases: HashMap::new(),
        finished: Vec::new(),
    }
}
