//! Simulation of one worker shard for placement tests: fake workers and a fake log around a kernel.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use rosemaryworks_core::contract::Contract;
use rosemaryworks_core::job::{End, Id, Kind, Spec, State as JobState, Task};
use rosemaryworks_core::placement::{Action, Attempt, Event, Finished, Report, Restored, Result};
use rosemaryworks_core::size::Size;
use rosemaryworks_core::target::{State, Worker};
use rosemaryworks_core::time::Instant;
use rosemaryworks_core::timing::LEASE_MS;

use super::lockstep::Lockstep;
use super::vm::{RunningLease, Vm, start};
pub use super::vm::{contract, job};

/// Milliseconds after which a call without an answer times out.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// A call in flight to a worker.
#[derive(Clone, Debug)]
enum Call {
    /// Checkpoints a task if the flag is set; otherwise stops it.
    Control(Task, Attempt, bool),
    Place(Task, Attempt, Size),
    Sync(Vec<(Task, Attempt)>),
}

/// An event scheduled for a time. Numbers are the epoch of the kernel that caused it.
#[derive(Clone, Debug)]
enum Scheduled {
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
pub struct Simulation {
    pub now: u64,
    pub kernel: Lockstep,
    pub vms: BTreeMap<Arc<str>, Vm>,
    /// Submitted jobs with the time of submission.
    pub jobs: BTreeMap<Id, (Spec, u64)>,
    pub cancelled: BTreeSet<Id>,
    pub granted: BTreeSet<Task>,
    pub ended: BTreeMap<Task, End>,
    pub outcomes: BTreeMap<Id, JobState>,
    /// Number of starts per task.
    pub starts: HashMap<Task, u32>,
    pub placements: Vec<(Task, Arc<str>)>,
    /// Actual run time of a job's tasks and whether they fail, if other than declared.
    pub overrides: HashMap<Arc<str>, (u64, bool)>,
    /// Share of calls whose answer is lost, in percent.
    pub lost_answer_percent: u64,
    pub policy: &'static str,
    /// Whether a new kernel receives the workers that were listed recently.
    pub restore_unlisted: bool,
    /// All actions of the kernel, in order.
    pub actions: Vec<Action>,
    epoch: u64,
    contracts: Vec<Arc<Contract>>,
    scheduled: BTreeMap<(u64, u64), Scheduled>,
    sequence: u64,
    seed: u64,
}

impl Simulation {
    /// Creates a simulation with `count` workers of 4 cores, two per rack, and contract `a`.
    pub fn new(count: usize, seed: u64) -> Self {
        let start = start(true, "default", seed);
        let mut sim = Self {
            now: 1_000,
            kernel: Lockstep::new(Instant(1_000), start),
            vms: BTreeMap::new(),
            jobs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            granted: BTreeSet::new(),
            ended: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            starts: HashMap::new(),
            placements: Vec::new(),
            overrides: HashMap::new(),
            lost_answer_percent: 0,
            policy: "default",
            restore_unlisted: true,
            actions: Vec::new(),
            epoch: 1,
            contracts: Vec::new(),
            scheduled: BTreeMap::new(),
            sequence: 0,
            seed,
        };
        for index in 0..count {
            sim.add_vm(index, Size::new(4_000, 8_000));
        }
        sim.publish(contract("a"));
        sim.update_list();
        sim
    }

    /// Adds a worker. `update_list` passes it to the kernel.
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
            fails_tasks: false,
            epoch: 0,
            leases: BTreeMap::new(),
            finished: Vec::new(),
        };
        self.vms.insert(name, vm);
    }

    /// Returns a worker mutably.
    pub fn vm(&mut self, index: usize) -> &mut Vm {
        self.vms.get_mut(format!("w{index}").as_str()).expect("vm")
    }

    /// Reboots a worker, which loses all of its state.
    pub fn reboot(&mut self, index: usize) {
        let vm = self.vm(index);
        vm.leases.clear();
        vm.finished.clear();
    }

    /// Sends the current list of workers to the kernel.
    pub fn update_list(&mut self) {
        let listed = self.vms.values().filter(|vm| vm.listed);
        let workers = listed.map(|vm| (vm.target.clone(), vm.state)).collect();
        self.handle_event(Event::Listed(workers));
    }

    /// Publishes a contract.
    pub fn publish(&mut self, contract: Contract) {
        let contract = Arc::new(contract);
        self.contracts.retain(|known| known.name != contract.name);
        self.contracts.push(contract.clone());
        self.handle_event(Event::Contract(contract));
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
        self.handle_event(Event::Submitted {
            contract,
            job: spec,
        });
        id
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: &Id) {
        self.cancelled.insert(id.clone());
        self.handle_event(Event::Cancelled(id.clone()));
    }

    /// Replaces the owner: drops the kernel and starts a new one in the next epoch `gap_ms` later.
    pub fn take_over(&mut self, gap_ms: u64) {
        self.epoch += 1;
        self.run_without_kernel(gap_ms);
        self.kernel = Lockstep::new(Instant(self.now), start(false, self.policy, self.seed));
        for contract in self.contracts.clone() {
            self.handle_event(Event::Contract(contract));
        }
        for (id, (job, accepted)) in self.jobs.clone() {
            if self.outcomes.contains_key(&id) {
                continue;
            }
            let tasks = (0..job.tasks).map(|index| self.restored_state(&id, index));
            let event = Event::Restored {
                contract: id.contract.clone(),
                tasks: tasks.collect(),
                cancelled: self.cancelled.contains(&id),
                age_ms: self.now - accepted,
                job,
            };
            self.handle_event(event);
        }
        let unlisted = self.vms.values().filter(|vm| !vm.listed);
        let unlisted = unlisted.map(|vm| vm.target.clone()).collect();
        if self.restore_unlisted {
            self.kernel.restore_unlisted(Instant(self.now), unlisted);
        }
        self.update_list();
    }

    /// Advances time with a tick every 50 ms and checks the invariants each time.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.advance(50);
            self.handle_event(Event::Tick);
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
        leases.values().filter(|lease| !lease.checkpointed).count()
    }

    /// Returns the next random number below `bound`.
    pub fn random(&mut self, bound: u64) -> u64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.seed >> 33) % bound.max(1)
    }

    /// Passes an event to the kernel and executes its actions.
    pub fn handle_event(&mut self, event: Event) {
        for action in self.kernel.handle(Instant(self.now), event) {
            self.actions.push(action.clone());
            self.execute(action);
        }
    }

    fn run_without_kernel(&mut self, millis: u64) {
        for _ in 0..millis / 50 {
            self.advance(50);
        }
    }

    fn advance(&mut self, millis: u64) {
        self.now += millis;
        while let Some(entry) = self.scheduled.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let scheduled = entry.remove();
            self.process(scheduled);
        }
        for name in self.vms.keys().cloned().collect::<Vec<_>>() {
            self.run_tasks(&name);
        }
        self.check_invariants();
    }

    fn restored_state(&self, id: &Id, index: u32) -> Restored {
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

    fn schedule(&mut self, delay: u64, scheduled: Scheduled) {
        self.sequence += 1;
        self.scheduled
            .insert((self.now + delay, self.sequence), scheduled);
    }

    fn send_call(&mut self, worker: Arc<str>, call: Call) {
        let lost = self.random(100) < self.lost_answer_percent;
        let delay = 1 + self.random(if lost { CALL_TIMEOUT_MS } else { 100 });
        let epoch = self.epoch;
        let scheduled = Scheduled::Arrive {
            epoch,
            worker,
            call,
            lost,
        };
        self.schedule(delay, scheduled);
    }

    fn execute(&mut self, action: Action) {
        let epoch = self.epoch;
        match action {
            Action::Place {
                worker,
                task,
                attempt,
                size,
                log_first,
            } => {
                self.placements.push((task.clone(), worker.clone()));
                if log_first {
                    self.granted.insert(task.clone());
                }
                self.send_call(worker, Call::Place(task, attempt, size));
            }
            Action::Sync {
                worker,
                acknowledge,
            } => self.send_call(worker, Call::Sync(acknowledge)),
            Action::Stop {
                worker,
                task,
                attempt,
            } => self.send_call(worker, Call::Control(task, attempt, false)),
            Action::Checkpoint {
                worker,
                task,
                attempt,
            } => self.send_call(worker, Call::Control(task, attempt, true)),
            Action::Throttle { .. } => {}
            Action::EndTask { .. } | Action::EndJob { .. } => {
                self.schedule(70, Scheduled::Record(epoch, action));
            }
        }
    }

    fn process(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Deliver(epoch, event) if epoch == self.epoch => self.handle_event(event),
            Scheduled::Deliver(..) => {}
            Scheduled::Record(epoch, action) if epoch == self.epoch => self.record_end(action),
            Scheduled::Record(..) => {}
            Scheduled::Arrive {
                epoch,
                worker,
                call,
                lost,
            } => self.receive_call(epoch, worker, call, lost),
        }
    }

    fn record_end(&mut self, action: Action) {
        match action {
            Action::EndTask { task, end } => {
                let before = self.ended.insert(task.clone(), end);
                assert_eq!(before, None, "{task} ended twice");
                self.handle_event(Event::EndRecorded(task));
            }
            Action::EndJob { job, state, .. } => {
                let before = self.outcomes.insert(job.clone(), state);
                assert_eq!(before, None, "{job} ended twice");
            }
            _ => {}
        }
    }

    fn receive_call(&mut self, epoch: u64, worker: Arc<str>, call: Call, lost: bool) {
        let reachable = self.vms.get(&worker).is_some_and(|vm| vm.reachable);
        let fenced = reachable && self.vms[&worker].epoch > epoch;
        let mut report = Report::default();
        if reachable && !fenced {
            report = self.handle_call(epoch, &worker, &call);
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
        let delay = if failed { CALL_TIMEOUT_MS } else { 1 };
        self.schedule(delay, Scheduled::Deliver(epoch, answer));
    }

    fn handle_call(&mut self, epoch: u64, worker: &Arc<str>, call: &Call) -> Report {
        let now = self.now;
        let vm = self.vms.get_mut(worker).expect("vm");
        vm.epoch = epoch;
        match call {
            Call::Control(task, attempt, checkpoint) => {
                let lease = vm.leases.get_mut(task);
                let Some(lease) = lease.filter(|lease| lease.attempt == *attempt) else {
                    return Report::default();
                };
                lease.checkpointed |= *checkpoint;
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
        let already_finished =
            |finished: &Finished| finished.task == *task && finished.attempt == attempt;
        let blocks_start = |lease: &RunningLease| !lease.checkpointed || lease.attempt == attempt;
        if vm.leases.get(task).is_some_and(blocks_start) || vm.finished.iter().any(already_finished)
        {
            return;
        }
        let lease = RunningLease {
            attempt,
            size,
            epoch,
            started: now,
            expires: now + LEASE_MS,
            checkpointed: false,
        };
        vm.leases.insert(task.clone(), lease);
        *self.starts.entry(task.clone()).or_default() += 1;
    }

    fn run_tasks(&mut self, worker: &Arc<str>) {
        let now = self.now;
        let vm = self.vms.get_mut(worker).expect("vm");
        for (task, lease) in vm.leases.clone() {
            let spec = &self.jobs[&task.job].0;
            let actual = self.overrides.get(&spec.id).copied();
            let (run_ms, fails) = actual.unwrap_or((spec.run_ms, false));
            let is_service = spec.kind == Kind::Service;
            if lease.expires <= now {
                vm.finish(&task, Result::Lapsed, now);
            } else if lease.checkpointed {
                continue;
            } else if vm.fails_tasks || fails {
                vm.finish(&task, Result::Failed, now);
            } else if lease.started + run_ms <= now && !is_service {
                vm.finish(&task, Result::Succeeded, now);
            }
        }
    }

    /// Checks that no worker is overcommitted, that each task runs on at most one worker, and that
    /// tasks that must not restart start at most once.
    fn check_invariants(&self) {
        let mut holders: BTreeMap<&Task, &str> = BTreeMap::new();
        for (name, vm) in &self.vms {
            let leases = || vm.leases.iter().filter(|(_, lease)| !lease.checkpointed);
            let held = leases().fold(Size::ZERO, |sum, (_, lease)| sum + lease.size);
            assert!(
                held.fits(&vm.target.size),
                "{name} holds {held:?} at {}",
                self.now
            );
            for (task, lease) in leases() {
                let other = holders.insert(task, name);
                let epoch = lease.epoch;
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
