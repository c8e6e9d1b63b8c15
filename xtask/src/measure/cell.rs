//! One worker pool with simulated workers around the real placement kernel.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Instant as Clock;

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

use super::load::{Truth, Work};

/// Milliseconds until the log has an end that was written.
const LOG_MS: u64 = 70;
/// Milliseconds after its start at which a task on a bad worker fails.
const FAIL_MS: u64 = 100;

#[derive(Debug)]
struct Live {
    attempt: Attempt,
    size: Size,
    started: u64,
    ends: u64,
    result: Result,
}

#[derive(Debug)]
struct Vm {
    target: Worker,
    bad: bool,
    leases: HashMap<Task, Live>,
    finished: Vec<Finished>,
}

/// A task's first start.
#[derive(Clone, Debug)]
pub(crate) struct Wait {
    pub(crate) kind: Kind,
    pub(crate) priority: Priority,
    pub(crate) ms: f64,
}

/// A task that ran to its end.
#[derive(Clone, Debug)]
pub(crate) struct Done {
    pub(crate) contract: Arc<str>,
    pub(crate) submitted: u64,
    /// Time from submission to the end, relative to the run time.
    pub(crate) slowdown: f64,
    /// Run time in milliseconds.
    pub(crate) run_ms: u64,
}

#[derive(Debug)]
struct Known {
    submitted: u64,
    kind: Kind,
    priority: Priority,
    truth: Truth,
}

/// Time that the kernel took.
#[derive(Debug, Default)]
pub(crate) struct Cost {
    /// Time of each call that placed tasks in microseconds.
    pub(crate) placing_us: Vec<f64>,
    /// Time of each call in microseconds.
    pub(crate) calls_us: Vec<f64>,
    /// Sum over all calls in seconds.
    pub(crate) total_s: f64,
    pub(crate) placements: u64,
}

/// One worker pool.
pub(crate) struct Cell {
    pub(crate) now: u64,
    pub(crate) kernel: Kernel,
    pub(crate) waits: Vec<Wait>,
    pub(crate) done: Vec<Done>,
    pub(crate) ended: BTreeMap<Id, (JobState, u64)>,
    pub(crate) cost: Cost,
    /// Milliseconds between two ticks.
    pub(crate) tick_ms: u64,
    vms: Vec<Vm>,
    names: HashMap<Arc<str>, usize>,
    known: HashMap<Id, Known>,
    later: VecDeque<(u64, Event)>,
    soon: VecDeque<Event>,
}

impl Cell {
    /// Creates a cell of workers of the given sizes, five to a rack.
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
        let names = vms.iter().enumerate();
        let names = names
            .map(|(index, vm)| (vm.target.name.clone(), index))
            .collect();
        let mut cell = Self {
            now: 0,
            kernel: Kernel::new(Instant(0), start),
            waits: Vec::new(),
            done: Vec::new(),
            ended: BTreeMap::new(),
            cost: Cost::default(),
            tick_ms: 50,
            vms,
            names,
            known: HashMap::new(),
            later: VecDeque::new(),
            soon: VecDeque::new(),
        };
        cell.list();
        cell
    }

    /// Hands the list of workers to the kernel and returns the time that it took in microseconds.
    pub(crate) fn list(&mut self) -> f64 {
        let listed = self.vms.iter().map(|vm| (vm.target.clone(), State::Live));
        let listed = listed.collect();
        self.feed(Event::Listed(listed));
        self.cost.calls_us.last().copied().unwrap_or(0.0)
    }

    /// Makes one worker in `every` fail everything.
    pub(crate) fn spoil(&mut self, every: usize) {
        self.vms
            .iter_mut()
            .step_by(every)
            .for_each(|vm| vm.bad = true);
    }

    /// Publishes a contract.
    pub(crate) fn publish(&mut self, contract: Contract) {
        self.feed(Event::Contract(Arc::new(contract)));
    }

    /// Submits a job and returns its identity.
    pub(crate) fn submit(&mut self, work: Work) -> Id {
        let id = Id {
            contract: work.contract.clone(),
            job: work.spec.id.clone(),
        };
        let known = Known {
            submitted: self.now,
            kind: work.spec.kind,
            priority: work.spec.priority,
            truth: work.truth,
        };
        self.known.insert(id.clone(), known);
        self.feed(Event::Submitted {
            contract: work.contract,
            job: work.spec,
        });
        id
    }

    /// Cancels a job.
    pub(crate) fn cancel(&mut self, id: &Id) {
        self.feed(Event::Cancelled(id.clone()));
    }

    /// Lets one tick pass.
    pub(crate) fn tick(&mut self) {
        self.now += self.tick_ms;
        while let Some((_, event)) = self.later.pop_front_if(|entry| entry.0 <= self.now) {
            self.feed(event);
        }
        self.feed(Event::Tick);
        while let Some(event) = self.soon.pop_front() {
            self.feed(event);
        }
    }

    /// Returns the resources that running tasks hold.
    pub(crate) fn held(&self) -> Size {
        let targets = self.kernel.targets();
        targets
            .iter()
            .fold(Size::ZERO, |sum, target| sum + target.held)
    }

    /// Returns the resources that a contract's tasks hold.
    pub(crate) fn held_by(&self, contract: &str) -> Size {
        let leases = self.vms.iter().flat_map(|vm| &vm.leases);
        let own = leases.filter(|(task, _)| &*task.job.contract == contract);
        own.fold(Size::ZERO, |sum, (_, live)| sum + live.size)
    }

    fn feed(&mut self, event: Event) {
        let clock = Clock::now();
        let steps = self.kernel.handle(Instant(self.now), event);
        let taken = clock.elapsed().as_secs_f64();
        self.cost.calls_us.push(taken * 1e6);
        self.cost.total_s += taken;
        if steps
            .iter()
            .any(|step| matches!(step, Action::Place { .. }))
        {
            self.cost.placing_us.push(taken * 1e6);
        }
        for step in steps {
            self.carry_out(step);
        }
    }

    fn carry_out(&mut self, step: Action) {
        match step {
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
        let known = &self.known[&task.job];
        if end == End::Succeeded {
            let run_ms = known.truth.run_ms[task.index as usize];
            let spent = (self.now - known.submitted) as f64;
            self.done.push(Done {
                contract: task.job.contract.clone(),
                submitted: known.submitted,
                slowdown: spent / run_ms as f64,
                run_ms,
            });
        }
        self.later
            .push_back((self.now + LOG_MS, Event::EndRecorded(task)));
    }

    fn place(&mut self, worker: Arc<str>, task: Task, attempt: Attempt, size: Size) {
        self.cost.placements += 1;
        let known = &self.known[&task.job];
        if attempt == 1 {
            self.waits.push(Wait {
                kind: known.kind,
                priority: known.priority,
                ms: (self.now - known.submitted) as f64,
            });
        }
        let vm = &mut self.vms[self.names[&worker]];
        let fails = vm.bad || known.truth.fails;
        let run_ms = known.truth.run_ms[task.index as usize];
        let live = Live {
            attempt,
            size,
            started: self.now,
            ends: self.now + if fails { FAIL_MS } else { run_ms },
            result: if fails {
                Result::Failed
            } else {
                Result::Succeeded
            },
        };
        vm.leases.insert(task.clone(), live);
        self.soon.push_back(Event::Placed {
            worker,
            task,
            attempt,
        });
    }

    fn stop(&mut self, worker: &Arc<str>, task: &Task) {
        let now = self.now;
        let vm = &mut self.vms[self.names[worker]];
        if let Some(live) = vm.leases.get_mut(task) {
            live.ends = now;
            live.result = Result::Stopped;
        }
    }

    fn sync(&mut self, worker: Arc<str>, acknowledge: &[(Task, Attempt)]) {
        let now = self.now;
        let vm = &mut self.vms[self.names[&worker]];
        let acknowledged = |entry: &Finished| {
            let same = |known: &(Task, Attempt)| known.1 == entry.attempt && known.0 == entry.task;
            acknowledge.iter().any(same)
        };
        vm.finished.retain(|entry| !acknowledged(entry));
        let over: Vec<_> = vm.leases.extract_if(|_, live| live.ends <= now).collect();
        vm.finished.extend(over.into_iter().map(finished));
        let lease = |(task, live): (&Task, &Live)| Lease {
            task: task.clone(),
            attempt: live.attempt,
            size: live.size,
            used: self.known[&task.job].truth.used,
            used_age_ms: 1_000,
            checkpointed: false,
        };
        let report = Report {
            leases: vm.leases.iter().map(lease).collect(),
            finished: vm.finished.clone(),
            leaving: false,
        };
        self.soon.push_back(Event::Synced { worker, report });
    }
}

fn finished((task, live): (Task, Live)) -> Finished {
    Finished {
        task,
        attempt: live.attempt,
        result: live.result,
        run_ms: live.ends - live.started,
    }
}

fn vm((index, size): (usize, &Size)) -> Vm {
    let target = Worker {
        name: format!("w{index}").into(),
        pool: "cpu".into(),
        zone: "z".into(),
        rack: format!("r{}", index / 5).into(),
        address: ([127, 0, 0, 1], 1).into(),
        size: *size,
    };
    Vm {
        target,
        bad: false,
        leases: HashMap::new(),
        finished: Vec::new(),
    }
}
