//! The state of a shard and what changes it from outside.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use crate::action::Action;
use crate::hold::Holds;
use crate::host::{Host, Liveness, Phase};
use crate::job::{Id, Queue, Spec, State, Step};
use crate::lost_answers::LostAnswers;
use crate::orphan::Orphans;
use crate::record::Record;
use crate::recovery::Recovery;
use crate::run::{Job, Place};
use crate::target::Worker;
use crate::task::{Key, StepKey};

/// Attempts that an older owner may have used without a trace, for each epoch.
const ATTEMPTS_PER_EPOCH: u32 = 100;

/// Settings of a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Length of a worker's lease in milliseconds.
    pub lease_ms: u64,
    /// Time for which an order may be on its way, in milliseconds. A worker that receives it later
    /// refuses it.
    pub order_ttl_ms: u64,
    /// Time for which the state of a job is kept after its end, in milliseconds.
    pub keep_ms: u64,
    /// Time before its due time at which an occurrence may begin, in milliseconds.
    pub early_ms: u64,
}

/// Place of a step in the order in which steps are placed.
pub(crate) type Turn = (u32, u64, StepKey);

/// The state of a shard under one owner.
#[derive(Debug)]
pub struct Shard {
    pub(crate) settings: Settings,
    pub(crate) epoch: u64,
    pub(crate) queues: HashMap<Arc<str>, Arc<Queue>>,
    pub(crate) hosts: BTreeMap<Arc<str>, Host>,
    pub(crate) jobs: HashMap<Id, Job>,
    pub(crate) ready: BTreeSet<Turn>,
    pub(crate) timed: BTreeSet<Id>,
    pub(crate) recovery: Recovery,
    pub(crate) actions: Vec<Action>,
    pub(crate) shares: HashMap<Arc<str>, f64>,
    pub(crate) holds: Holds,
    pub(crate) orphans: Orphans,
    pub(crate) lost_answers: LostAnswers,
    /// Number of records that were issued.
    pub(crate) issued: u64,
    /// Number of records that are durable.
    pub(crate) written: u64,
    cancelled_early: HashSet<Id>,
    next_order: u64,
}

impl Shard {
    /// Creates the state for an owner with `epoch`. Records of older owners are to be replayed next.
    #[must_use]
    pub fn new(settings: Settings, epoch: u64) -> Self {
        Self {
            settings,
            epoch,
            queues: HashMap::new(),
            hosts: BTreeMap::new(),
            jobs: HashMap::new(),
            ready: BTreeSet::new(),
            timed: BTreeSet::new(),
            recovery: Recovery::default(),
            actions: Vec::new(),
            shares: HashMap::new(),
            holds: Holds::default(),
            orphans: Orphans::default(),
            lost_answers: LostAnswers::default(),
            issued: 0,
            written: 0,
            cancelled_early: HashSet::new(),
            next_order: 0,
        }
    }

    /// Returns the epoch of the owner.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Takes the actions to carry out since the last call.
    #[must_use]
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Sets the queues in force.
    pub fn set_queues(&mut self, queues: impl IntoIterator<Item = Queue>) {
        self.queues = queues
            .into_iter()
            .map(|queue| (queue.name.clone(), Arc::new(queue)))
            .collect();
        // The order of steps follows from the priorities of their queues.
        let steps: Vec<StepKey> = self.ready.iter().map(|(_, _, key)| *key).collect();
        self.ready.clear();
        for key in steps {
            self.enqueue(key);
        }
    }

    /// Takes a job that was accepted. A job that is known already stays as it is.
    pub fn submit(&mut self, id: Id, queue: Arc<str>, spec: Arc<Spec>) {
        if self.jobs.contains_key(&id) {
            return;
        }
        let inherited = self.recovery.is_replaying();
        let floor = if inherited {
            u32::try_from(self.epoch.saturating_sub(1))
                .unwrap_or(u32::MAX / ATTEMPTS_PER_EPOCH)
                .saturating_mul(ATTEMPTS_PER_EPOCH)
        } else {
            0
        };
        let mut job = Job {
            queue,
            spec,
            order: self.next_order,
            occurrences: BTreeMap::new(),
            completed: 0,
            next: 0,
            started: false,
            ended: None,
            ended_ms: 0,
            inherited,
            attempt_floor: floor,
        };
        self.next_order += 1;
        if job.spec.times == 0 {
            job.begin(0);
        } else {
            self.timed.insert(id);
        }
        self.jobs.insert(id, job);
        self.claim_orphans(id);
        if self.cancelled_early.remove(&id) {
            self.cancel(id, 0);
            return;
        }
        self.enqueue_ready(id, 0);
    }

    /// Cancels a job. A cancellation that arrives before its job is kept.
    pub fn cancel(&mut self, id: Id, now_ms: u64) {
        match self.jobs.get(&id) {
            None => {
                self.cancelled_early.insert(id);
            }
            Some(job) if job.is_ended() => {}
            Some(_) => self.finish(id, State::Cancelled, now_ms),
        }
    }

    /// Returns the state of a job as callers may see it: an end shows once it is durable.
    #[must_use]
    pub fn state(&self, id: Id) -> Option<State> {
        let job = self.jobs.get(&id)?;
        Some(match job.ended {
            Some((State::Cancelled, _)) => State::Cancelled,
            Some((state, record)) if record <= self.written => state,
            _ if job.started => State::Running,
            _ => State::Pending,
        })
    }

    /// Returns the number of jobs of a queue of which no task has started.
    #[must_use]
    pub fn pending_jobs(&self, queue: &str) -> u64 {
        let waits = |job: &&Job| &*job.queue == queue && !job.started && !job.is_ended();
        self.jobs.values().filter(waits).count() as u64
    }

    /// Notes that the first `count` records are durable.
    pub fn mark_durable(&mut self, count: u64) {
        self.written = self.written.max(count);
        for host in self.hosts.values_mut() {
            while let Some((record, end)) = host.pending.front().copied() {
                if record > self.written {
                    break;
                }
                host.durable = host.durable.max(end);
                host.pending.pop_front();
            }
        }
    }

    /// Takes a worker from the platform's list.
    pub fn list_worker(&mut self, worker: Worker, now_ms: u64) {
        let epoch = self.epoch;
        let id = worker.id.clone();
        let Some(host) = self.hosts.get_mut(&id) else {
            let host = Host::new(worker.clone(), epoch, now_ms);
            self.hosts.insert(id.clone(), host);
            if !self.recovery.is_replaying() {
                self.record(Record::WorkerAdded { worker });
            }
            self.actions.push(Action::Renew(id));
            return;
        };
        host.listed = true;
        if worker.incarnation < host.worker.incarnation {
            return;
        }
        if worker.incarnation > host.worker.incarnation && host.worker.incarnation > 0 {
            let born = worker.incarnation;
            host.worker = worker;
            self.reborn(&id, born, now_ms);
            return;
        }
        let moved = host.worker.address != worker.address;
        let returned = host.sight == Liveness::Unresponsive;
        host.worker = worker;
        if moved || returned {
            self.actions.push(Action::Renew(id));
        }
    }

    /// Notes that the platform no longer lists a worker.
    pub fn unlist_worker(&mut self, id: &str) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        host.listed = false;
        // An idle worker is not looked at otherwise, so its end would never be noticed.
        self.actions.push(Action::Renew(host.id()));
        self.drop_if_left(id);
    }

    /// Drops a worker that has left: it was about to leave, is no longer listed and doesn't answer.
    /// An entry that lapsed while the log was away is no sign of an end by itself.
    pub(crate) fn drop_if_left(&mut self, id: &str) {
        let left = |host: &Host| {
            host.worker.draining && !host.listed && host.sight == Liveness::Unresponsive
        };
        if !self.hosts.get(id).is_some_and(left) {
            return;
        }
        self.lose(id);
        self.recovery.seen(id);
        if let Some(host) = self.hosts.remove(id) {
            self.record(Record::WorkerRemoved { worker: host.id() });
        }
    }

    /// Lists the identifiers of all workers.
    #[must_use]
    pub fn host_ids(&self) -> Vec<Arc<str>> {
        self.hosts.keys().cloned().collect()
    }

    /// Returns a worker.
    #[must_use]
    pub fn host(&self, id: &str) -> Option<&Host> {
        self.hosts.get(id)
    }

    /// Tells whether every record is durable.
    #[must_use]
    pub fn is_durable(&self) -> bool {
        self.written == self.issued
    }

    /// Returns the number of jobs that have not ended.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.jobs.values().filter(|job| !job.is_ended()).count()
    }

    pub(crate) fn record(&mut self, record: Record) {
        self.issued += 1;
        self.actions.push(Action::Record(record));
    }

    pub(crate) fn step_spec(&self, key: StepKey) -> Option<&Step> {
        self.jobs.get(&key.job)?.spec.steps.get(key.step as usize)
    }

    /// Adds a step to those that wait for placement, if it has tasks that wait.
    pub(crate) fn enqueue(&mut self, key: StepKey) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let run = job
            .occurrences
            .get(&key.occurrence)
            .and_then(|steps| steps.get(key.step as usize));
        if run.is_some_and(|run| run.ready && run.waiting > 0) {
            let priority = self.queues.get(&job.queue).map_or(0, |q| q.priority);
            self.ready.insert((priority, job.order, key));
        }
    }

    pub(crate) fn enqueue_ready(&mut self, job: Id, occurrence: u32) {
        let steps = self
            .jobs
            .get(&job)
            .map_or(0, |job| job.spec.steps.len() as u16);
        for step in 0..steps {
            self.enqueue(StepKey {
                job,
                occurrence,
                step,
            });
        }
    }

    /// Ends a job and stops what it runs.
    pub(crate) fn finish(&mut self, id: Id, state: State, now_ms: u64) {
        if self.recovery.is_replaying() || state == State::Cancelled {
            // Replayed ends and cancellations are durable already.
            self.end_job(id, state, 0, now_ms);
        } else {
            self.record(Record::Final { id, state });
            self.end_job(id, state, self.issued, now_ms);
        }
        self.stop_job(id, now_ms);
    }

    pub(crate) fn end_job(&mut self, id: Id, state: State, record: u64, now_ms: u64) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.ended = Some((state, record));
            job.ended_ms = now_ms;
            job.occurrences.clear();
            self.timed.remove(&id);
        }
    }

    fn stop_job(&mut self, id: Id, now_ms: u64) {
        for (worker, key) in self.runs_of(id) {
            self.stop(&worker, key, now_ms);
        }
    }

    /// Orders a run to stop, unless that was done already.
    pub(crate) fn stop(&mut self, worker: &str, key: Key, now_ms: u64) {
        let Some(host) = self.hosts.get_mut(worker) else {
            return;
        };
        let stop = match host.runs.get_mut(&key) {
            Some(run) if run.phase != Phase::Stopping => {
                run.phase = Phase::Stopping;
                run.since_ms = now_ms;
                run.attempt
            }
            _ => return,
        };
        let stop = host.stop_order(key, stop);
        self.actions.push(Action::Stop(stop));
    }

    /// Takes the runs of a worker as lost.
    pub(crate) fn lose(&mut self, id: &str) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let runs = std::mem::take(&mut host.runs);
        host.used = rosemaryworks_core::size::Size::ZERO;
        for key in runs.into_keys() {
            self.lose_run(id, key);
        }
    }

    /// Takes one run as lost that its worker no longer holds.
    pub(crate) fn lose_run(&mut self, worker: &str, key: Key) {
        let Some(run) = self.step_run_mut(key.step) else {
            return;
        };
        let Some(task) = run.tasks.get(key.index as usize) else {
            return;
        };
        if matches!(&task.place, Place::On(on) if &**on == worker) {
            run.set(key.index, Place::Waiting);
            self.enqueue(key.step);
        }
    }

    pub(crate) fn reborn(&mut self, id: &Arc<str>, born: u64, now_ms: u64) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let lost = host.reborn(born, now_ms);
        for (key, _) in lost {
            self.lose_run(id, key);
        }
        let steps: Vec<StepKey> = self.ready.iter().map(|(_, _, key)| *key).collect();
        for key in steps {
            if let Some(run) = self.step_run_mut(key) {
                run.advice.reborn(id);
            }
        }
        self.actions.push(Action::Renew(id.clone()));
    }

    pub(crate) fn step_run(&self, key: StepKey) -> Option<&crate::run::StepRun> {
        self.jobs
            .get(&key.job)?
            .occurrences
            .get(&key.occurrence)?
            .get(key.step as usize)
    }

    pub(crate) fn step_run_mut(&mut self, key: StepKey) -> Option<&mut crate::run::StepRun> {
        self.jobs
            .get_mut(&key.job)?
            .occurrences
            .get_mut(&key.occurrence)?
            .get_mut(key.step as usize)
    }
}
