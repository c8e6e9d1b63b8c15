//! A small cell for placement tests: fake workers and a fake log around one kernel.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use rosemaryworks_core::contract::Contract;
use rosemaryworks_core::job::{End, Id, Kind, Spec, State as JobState, Task};
use rosemaryworks_core::placement::{Action, Attempt, Event, Finished, Report, Restored, Result};
use rosemaryworks_core::size::Size;
use rosemaryworks_core::target::{State, Worker};
use rosemaryworks_core::time::Instant;
use rosemaryworks_core::timing::LEASE_MS;

use super::twin::Twin;
use super::vm::{Live, Vm, start};
pub use super::vm::{contract, job};

/// Milliseconds after which the host gives a call up.
const CALL_MS: u64 = 1_000;

/// A call on its way to a worker.
#[derive(Clone, Debug)]
enum Call {
    Control(Task, Attempt, bool),
    Place(Task, Attempt, Size),
    Sync(Vec<(Task, Attempt)>),
}

#[derive(Clone, Debug)]
enum Due {
    Arrive {
        epoch: u64,
        worker: Arc<str>,
        call: Call,
        lost: bool,
    },
    Deliver(u64, Event),
    Record(u64, Action),
}

/// One shard with its workers, log and kernel.
pub struct World {
    pub now: u64,
    pub kernel: Twin,
    pub vms: BTreeMap<Arc<str>, Vm>,
    /// Jobs submitted.
    pub jobs: BTreeMap<Id, (Spec, u64)>,
    pub cancelled: BTreeSet<Id>,
    pub granted: BTreeSet<Task>,
    pub ended: BTreeMap<Task, End>,
    pub outcomes: BTreeMap<Id, JobState>,
    /// Starts per task.
    pub starts: HashMap<Task, u32>,
    pub placed: Vec<(Task, Arc<str>)>,
    /// Run time of a job's tasks and whether they fail, if not as declared.
    pub truth: HashMap<Arc<str>, (u64, bool)>,
    /// Share of calls whose answer is lost, in percent.
    pub lose_percent: u64,
    pub policy: &'static str,
    /// Whether a new kernel learns which workers were listed lately.
    pub recall: bool,
    /// Steps in the order in which the kernel asked for them.
    pub steps: Vec<Action>,
    epoch: u64,
    contracts: Vec<Arc<Contract>>,
    queue: BTreeMap<(u64, u64), Due>,
    sequence: u64,
    seed: u64,
}

impl World {
    /// Creates a world with `count` workers of 4 cores, two to a rack, and contract `a`.
    pub fn new(count: usize, seed: u64) -> Self {
        let start = start(true, "default", seed);
        let mut world = Self {
            now: 1_000,
            kernel: Twin::new(Instant(1_000), start),
            vms: BTreeMap::new(),
            jobs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            granted: BTreeSet::new(),
            ended: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            starts: HashMap::new(),
            placed: Vec::new(),
            truth: HashMap::new(),
            lose_percent: 0,
            policy: "default",
            recall: true,
            steps: Vec::new(),
            epoch: 1,
            contracts: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            seed,
        };
        for index in 0..count {
            world.add_vm(index, Size::new(4_000, 8_000));
        }
        world.publish(contract("a"));
        world.list();
        world
    }

    /// Adds a worker; `list` tells the kernel.
    pub fn add_vm(&mut self, index: usize, size: Size) {
        let name: Arc<str> = format!("w{index}").into();
        let target = Worker {
            name: name.clone(),
            pool: "cpu".into(),
            zone: "z".into(),
            rack: format!("r{}", index / 2).into(),
            address: "127.0.0.1:1".parse().expect("address"),
            size,
        };
        let vm = Vm {
            target,
            state: State::Live,
            listed: true,
            reachable: true,
            bad: false,
            epoch: 0,
            leases: BTreeMap::new(),
            finished: Vec::new(),
        };
        self.vms.insert(name, vm);
    }

    /// Returns a worker for changes.
    pub fn vm(&mut self, index: usize) -> &mut Vm {
        self.vms.get_mut(format!("w{index}").as_str()).expect("vm")
    }

    /// Restarts a worker, which forgets everything.
    pub fn reboot(&mut self, index: usize) {
        let vm = self.vm(index);
        vm.leases.clear();
        vm.finished.clear();
    }

    /// Tells the kernel what is listed now.
    pub fn list(&mut self) {
        let listed = self.vms.values().filter(|vm| vm.listed);
        let workers = listed.map(|vm| (vm.target.clone(), vm.state)).collect();
        self.feed(Event::Listed(workers));
    }

    /// Publishes a contract.
    pub fn publish(&mut self, contract: Contract) {
        let contract = Arc::new(contract);
        self.contracts.retain(|known| known.name != contract.name);
        self.contracts.push(contract.clone());
        self.feed(Event::Contract(contract));
    }

    /// Submits a job under contract `a`.
    pub fn submit(&mut self, spec: Spec) -> Id {
        self.submit_as("a", spec)
    }

    /// Submits a job.
    pub fn submit_as(&mut self, contract: &str, spec: Spec) -> Id {
        let id = Id {
            contract: contract.into(),
            job: spec.id.clone(),
        };
        self.jobs.insert(id.clone(), (spec.clone(), self.now));
        let contract = id.contract.clone();
        self.feed(Event::Submitted {
            contract,
            job: spec,
        });
        id
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: &Id) {
        self.cancelled.insert(id.clone());
        self.feed(Event::Cancelled(id.clone()));
    }

    /// Replaces the owner: the old kernel is gone, a new one starts `gap_ms` later.
    pub fn take_over(&mut self, gap_ms: u64) {
        self.epoch += 1;
        self.run_without_kernel(gap_ms);
        self.kernel = Twin::new(Instant(self.now), start(false, self.policy, self.seed));
        for contract in self.contracts.clone() {
            self.feed(Event::Contract(contract));
        }
        for (id, (job, accepted)) in self.jobs.clone() {
            if self.outcomes.contains_key(&id) {
                continue;
            }
            let tasks = (0..job.tasks).map(|index| self.restored(&id, index));
            let event = Event::Restored {
                contract: id.contract.clone(),
                tasks: tasks.collect(),
                cancelled: self.cancelled.contains(&id),
                age_ms: self.now - accepted,
                job,
            };
            self.feed(event);
        }
        let gone = self.vms.values().filter(|vm| !vm.listed);
        let gone = gone.map(|vm| vm.target.clone()).collect();
        if self.recall {
            self.kernel.restore_unlisted(Instant(self.now), gone);
        }
        self.list();
    }

    /// Lets time pass with a tick every 50 ms and checks the conditions at each step.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.advance(50);
            self.feed(Event::Tick);
        }
    }

    /// Runs until all jobs ended, for at most `millis`.
    pub fn run_until_ended(&mut self, millis: u64) -> bool {
        let end = self.now + millis;
        while self.now < end && self.outcomes.len() < self.jobs.len() {
            self.run(50);
        }
        self.outcomes.len() == self.jobs.len()
    }

    /// Returns how many tasks run on a worker.
    pub fn running_on(&self, index: usize) -> usize {
        let leases = &self.vms[format!("w{index}").as_str()].leases;
        leases.values().filter(|live| !live.checkpointed).count()
    }

    /// Returns the number below `bound` that comes next.
    pub fn random(&mut self, bound: u64) -> u64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.seed >> 33) % bound.max(1)
    }

    /// Hands an event to the kernel and carries out its steps.
    pub fn feed(&mut self, event: Event) {
        for step in self.kernel.handle(Instant(self.now), event) {
            self.steps.push(step.clone());
            self.carry_out(step);
        }
    }

    fn run_without_kernel(&mut self, millis: u64) {
        for _ in 0..millis / 50 {
            self.advance(50);
        }
    }

    fn advance(&mut self, millis: u64) {
        self.now += millis;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let due = entry.remove();
            self.happen(due);
        }
        for name in self.vms.keys().cloned().collect::<Vec<_>>() {
            self.work(&name);
        }
        self.check();
    }

    fn restored(&self, id: &Id, index: u32) -> Restored {
        let task = Task {
            job: id.clone(),
            index,
        };
        match self.ended.get(&task) {
            Some(end) => Restored::Ended(*end),
            None if self.granted.contains(&task) => Restored::Granted,
            None => Restored::Pending,
        }
    }

    fn schedule(&mut self, delay: u64, due: Due) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), due);
    }

    fn call(&mut self, worker: Arc<str>, call: Call) {
        let lost = self.random(100) < self.lose_percent;
        let delay = 1 + self.random(if lost { CALL_MS } else { 100 });
        let epoch = self.epoch;
        let due = Due::Arrive {
            epoch,
            worker,
            call,
            lost,
        };
        self.schedule(delay, due);
    }

    fn carry_out(&mut self, step: Action) {
        let epoch = self.epoch;
        match step {
            Action::Place {
                worker,
                task,
                attempt,
                size,
                log_first,
            } => {
                self.placed.push((task.clone(), worker.clone()));
                if log_first {
                    self.granted.insert(task.clone());
                }
                self.call(worker, Call::Place(task, attempt, size));
            }
            Action::Sync {
                worker,
                acknowledge,
            } => self.call(worker, Call::Sync(acknowledge)),
            Action::Stop {
                worker,
                task,
                attempt,
            } => self.call(worker, Call::Control(task, attempt, false)),
            Action::Checkpoint {
                worker,
                task,
                attempt,
            } => self.call(worker, Call::Control(task, attempt, true)),
            Action::Throttle { .. } => {}
            Action::EndTask { .. } | Action::EndJob { .. } => {
                self.schedule(70, Due::Record(epoch, step));
            }
        }
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Deliver(epoch, event) if epoch == self.epoch => self.feed(event),
            Due::Deliver(..) => {}
            Due::Record(epoch, step) if epoch == self.epoch => self.record(step),
            Due::Record(..) => {}
            Due::Arrive {
                epoch,
                worker,
                call,
                lost,
            } => self.arrive(epoch, worker, call, lost),
        }
    }

    fn record(&mut self, step: Action) {
        match step {
            Action::EndTask { task, end } => {
                let before = self.ended.insert(task.clone(), end);
                assert_eq!(before, None, "{task} ended twice");
                self.feed(Event::EndRecorded(task));
            }
            Action::EndJob { job, state, .. } => {
                let before = self.outcomes.insert(job.clone(), state);
                assert_eq!(before, None, "{job} ended twice");
            }
            _ => {}
        }
    }

    fn arrive(&mut self, epoch: u64, worker: Arc<str>, call: Call, lost: bool) {
        let reachable = self.vms.get(&worker).is_some_and(|vm| vm.reachable);
        let fenced = reachable && self.vms[&worker].epoch > epoch;
        let mut report = Report::default();
        if reachable && !fenced {
            report = self.serve(epoch, &worker, &call);
        }
        let failed = lost || !reachable;
        let answer = match call {
            Call::Control(..) => return,
            Call::Place(task, attempt, _) if failed || fenced => Event::PlaceFailed {
                worker,
                task,
                attempt,
                definite: fenced && !lost,
            },
            Call::Place(task, attempt, _) => Event::Placed {
                worker,
                task,
                attempt,
            },
            Call::Sync(_) if failed || fenced => Event::SyncFailed {
                worker,
                fenced: fenced && !lost,
            },
            Call::Sync(_) => Event::Synced { worker, report },
        };
        let delay = if failed { CALL_MS } else { 1 };
        self.schedule(delay, Due::Deliver(epoch, answer));
    }

    fn serve(&mut self, epoch: u64, worker: &Arc<str>, call: &Call) -> Report {
        let now = self.now;
        let vm = self.vms.get_mut(worker).expect("vm");
        vm.epoch = epoch;
        match call {
            Call::Control(task, attempt, checkpoint) => {
                let live = vm.leases.get_mut(task);
                let Some(live) = live.filter(|live| live.attempt == *attempt) else {
                    return Report::default();
                };
                live.checkpointed |= *checkpoint;
                if !checkpoint {
                    vm.finish(task, Result::Stopped, now);
                }
            }
            Call::Place(task, attempt, size) => self.start(worker, task, *attempt, *size),
            Call::Sync(acknowledge) => return vm.sync(acknowledge, epoch, now),
        }
        Report::default()
    }

    fn start(&mut self, worker: &Arc<str>, task: &Task, attempt: Attempt, size: Size) {
        let (now, epoch) = (self.now, self.epoch);
        let vm = self.vms.get_mut(worker).expect("vm");
        let known = |finished: &Finished| finished.task == *task && finished.attempt == attempt;
        let running = |live: &Live| !live.checkpointed || live.attempt == attempt;
        if vm.leases.get(task).is_some_and(running) || vm.finished.iter().any(known) {
            return;
        }
        let live = Live {
            attempt,
            size,
            epoch,
            started: now,
            expires: now + LEASE_MS,
            checkpointed: false,
        };
        vm.leases.insert(task.clone(), live);
        *self.starts.entry(task.clone()).or_default() += 1;
    }

    fn work(&mut self, worker: &Arc<str>) {
        let now = self.now;
        let vm = self.vms.get_mut(worker).expect("vm");
        for (task, live) in vm.leases.clone() {
            let spec = &self.jobs[&task.job].0;
            let truth = self.truth.get(&spec.id).copied();
            let (run_ms, fails) = truth.unwrap_or((spec.run_ms, false));
            let forever = spec.kind == Kind::Service;
            if live.expires <= now {
                vm.finish(&task, Result::Lapsed, now);
            } else if live.checkpointed {
                continue;
            } else if vm.bad || fails {
                vm.finish(&task, Result::Failed, now);
            } else if live.started + run_ms <= now && !forever {
                vm.finish(&task, Result::Succeeded, now);
            }
        }
    }

    /// Checks capacity, one place and at most one start of tasks that must not restart.
    fn check(&self) {
        let mut places: BTreeMap<&Task, &str> = BTreeMap::new();
        for (name, vm) in &self.vms {
            let live = || vm.leases.iter().filter(|(_, live)| !live.checkpointed);
            let held = live().fold(Size::ZERO, |sum, (_, live)| sum + live.size);
            assert!(
                held.fits(&vm.target.size),
                "{name} holds {held:?} at {}",
                self.now
            );
            for (task, live) in live() {
                let other = places.insert(task, name);
                let epoch = live.epoch;
                assert_eq!(
                    other, None,
                    "{task} also on {name} ({epoch}) at {}",
                    self.now
                );
            }
        }
        for (task, starts) in &self.starts {
            let restart = self.jobs[&task.job].0.restart;
            assert!(restart || *starts <= 1, "{task} started {starts} times");
        }
    }
}
