//! State of a shard and the events that change it.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use crate::action::Action;
use crate::advice_load::AdviceLoad;
use crate::clock::Clock;
use crate::host::{Host, Liveness, Phase};
use crate::job::{Address, Id, Queue, Spec, State, Step};
use crate::lease::Lease;
use crate::lost_answers::LostAnswers;
use crate::memory::Pool;
use crate::moves::Moves;
use crate::objective::Outlook;
use crate::orphan::Orphans;
use crate::pass::Pass;
use crate::record::Record;
use crate::recovery::Recovery;
use crate::removed::Removed;
use crate::reservation::{Draft, Reservations};
use crate::run::Job;
use crate::run_times::Speed;
use crate::schedule::Schedule;
use crate::start_window::StartWindow;
use crate::task::{Key, StepKey};
use crate::team::Teams;
use crate::team::quota::Quota;
use crate::waiting::Waiting;
use crate::worker::Worker;

/// Attempt numbers set aside for each epoch, because a previous owner may have used some without
/// leaving a record.
const ATTEMPTS_PER_EPOCH: u32 = 100;

/// Settings of a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Duration of a worker's lease in milliseconds.
    pub lease_ms: u64,
    /// Longest lease that a worker grants, in milliseconds.
    pub lease_max_ms: u64,
    /// Time to live of a start request in milliseconds. A worker that receives it later rejects it.
    pub order_ttl_ms: u64,
    /// Time for which at least the state of an ended job is kept, in milliseconds.
    pub keep_ms: u64,
    /// Time before its due time at which an occurrence may begin, in milliseconds.
    pub early_ms: u64,
}

/// State of a shard under one owner.
#[derive(Debug)]
pub struct Shard {
    pub(crate) settings: Settings,
    pub(crate) epoch: u64,
    pub(crate) queues: HashMap<Arc<str>, Arc<Queue>>,
    /// Names of queues by address.
    pub(crate) addresses: HashMap<Address, Arc<str>>,
    /// Teams of the configuration; `None` if it names none.
    pub(crate) teams: Option<Teams>,
    pub(crate) quota: Quota,
    pub(crate) hosts: BTreeMap<Arc<str>, Host>,
    pub(crate) jobs: HashMap<Id, Job>,
    /// Ready steps with waiting tasks.
    pub(crate) waiting: Waiting,
    pub(crate) pass: Pass,
    /// Jobs with occurrences that have not begun.
    pub(crate) scheduled: Schedule,
    pub(crate) recovery: Recovery,
    pub(crate) actions: Vec<Action>,
    /// Moving average of the share of requested workers that the advice service allows, by queue.
    pub(crate) allowed_shares: HashMap<Arc<str>, f64>,
    pub(crate) advice_load: AdviceLoad,
    pub(crate) reservations: Reservations,
    /// Reservations whose computation goes on in the next pass.
    pub(crate) reservation_draft: Option<Draft>,
    pub(crate) orphans: Orphans,
    pub(crate) lost_answers: LostAnswers,
    pub(crate) start_window: StartWindow,
    /// Number of records issued by this owner.
    pub(crate) issued_records: u64,
    /// Number of issued records that are durable.
    pub(crate) durable_records: u64,
    /// Workers that wait for a record to become durable.
    pub(crate) awaiting_records: HashSet<Arc<str>>,
    /// Jobs that were cancelled before they arrived, with the time on the shard's clock.
    pub(crate) early_cancellations: BTreeMap<(Id, Option<Arc<str>>), u64>,
    pub(crate) clock: Clock,
    /// First offset that the log retains of the jobs' stream.
    pub(crate) first_retained: u64,
    pub(crate) removed: Removed,
    pub(crate) next_acceptance: u64,
    /// Number of jobs that have not ended.
    pub(crate) open_jobs: usize,
    /// Time on the owner's clock up to which certainly no other process had claimed the shard.
    pub(crate) owned_until_ms: u64,
    /// Time on the owner's clock up to which every stored job has been read.
    pub(crate) jobs_read_ms: u64,
    /// Time on the owner's clock up to which the list of workers has been read.
    pub(crate) workers_read_ms: u64,
    /// Time on the owner's clock from which [`Self::tick`] visits all workers again.
    pub(crate) worker_check_due_ms: u64,
    /// Time on the owner's clock from which [`Self::tick`] visits all jobs again.
    pub(crate) job_check_due_ms: u64,
    pub(crate) outlook: Outlook,
    /// Memory for jobs.
    pub(crate) memory: Pool,
    pub(crate) moves: Moves,
    /// Terms of queues as recorded last.
    pub(crate) recorded_terms: HashMap<Arc<str>, Arc<Queue>>,
}

impl Shard {
    /// Creates the state for an owner with `epoch`. The records of previous owners must be replayed
    /// next.
    #[must_use]
    pub fn new(settings: Settings, epoch: u64) -> Self {
        Self {
            settings,
            epoch,
            queues: HashMap::new(),
            addresses: HashMap::new(),
            teams: None,
            quota: Quota::default(),
            hosts: BTreeMap::new(),
            jobs: HashMap::new(),
            waiting: Waiting::default(),
            pass: Pass::default(),
            scheduled: Schedule::default(),
            recovery: Recovery::default(),
            actions: Vec::new(),
            allowed_shares: HashMap::new(),
            advice_load: AdviceLoad::default(),
            reservations: Reservations::default(),
            reservation_draft: None,
            orphans: Orphans::default(),
            lost_answers: LostAnswers::default(),
            start_window: StartWindow::default(),
            issued_records: 0,
            durable_records: 0,
            awaiting_records: HashSet::new(),
            early_cancellations: BTreeMap::new(),
            clock: Clock::default(),
            first_retained: 0,
            removed: Removed::default(),
            next_acceptance: 0,
            open_jobs: 0,
            owned_until_ms: 0,
            jobs_read_ms: 0,
            workers_read_ms: 0,
            worker_check_due_ms: 0,
            job_check_due_ms: 0,
            outlook: Outlook::default(),
            memory: Pool::default(),
            moves: Moves::default(),
            recorded_terms: HashMap::new(),
        }
    }

    /// Sets the memory that the shard shares with the others of its process.
    #[must_use]
    pub fn with_memory(mut self, memory: Pool) -> Self {
        self.memory = memory;
        self
    }

    /// Returns the epoch of the owner.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the actions issued since the last call.
    #[must_use]
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Sorts the ready steps again after the priorities of queues or the order of jobs have changed.
    pub(crate) fn sort_ready(&mut self) {
        let steps = self.waiting.keys();
        self.waiting.clear();
        for key in steps {
            self.enqueue(key);
        }
    }

    /// Applies a record of the jobs' stream, with its offset if it was read from there. Returns `false` if
    /// the record counts only once it has been read.
    pub fn apply_stored(&mut self, record: Record, offset: Option<u64>, now_ms: u64) -> bool {
        match record {
            Record::Submitted { id, queue, spec } => {
                return self.apply_submission(id, queue, spec, offset, now_ms);
            }
            Record::Cancelled { id, team } => {
                if let Some(offset) = offset {
                    self.forward_cancellation(id, team.as_ref(), offset);
                }
                self.cancel_for(id, team, now_ms);
            }
            // Owners write all other records to other streams.
            _ => {}
        }
        true
    }

    /// Notes the offset of a submission in the jobs' stream. Returns whether the job is known.
    pub fn note_logged(&mut self, id: Id, offset: u64) -> bool {
        let job = self.jobs.get_mut(&id);
        job.is_some_and(|job| {
            job.logged = job.logged.max(Some(offset));
            true
        })
    }

    /// Adds an accepted job. Has no effect if the job is known.
    pub fn submit(&mut self, id: Id, queue: Arc<str>, spec: Arc<Spec>, now_ms: u64) {
        if self.jobs.contains_key(&id) {
            return;
        }
        let inherited = self.recovery.predecessors_may_start();
        let floor = if inherited {
            u32::try_from(self.epoch.saturating_sub(1))
                .unwrap_or(u32::MAX / ATTEMPTS_PER_EPOCH)
                .saturating_mul(ATTEMPTS_PER_EPOCH)
        } else {
            0
        };
        let queue = self.queue_name(queue, spec.address);
        self.record_terms(&queue);
        let mut job = Job::new(queue, spec, &self.memory);
        job.acceptance_order = self.next_acceptance;
        job.accepted_ms = now_ms;
        job.inherited = inherited;
        job.attempt_floor = floor;
        self.next_acceptance += 1;
        self.open_jobs += 1;
        if job.spec.times == 0 {
            job.begin_occurrence(0);
        } else {
            self.scheduled.insert(id, 0);
        }
        self.jobs.insert(id, job);
        self.adopt_orphans(id, now_ms);
        if self.take_early_cancellations(id) {
            self.cancel(id, now_ms);
            return;
        }
        self.refresh_objective(id, now_ms);
        self.count_accepted(id, now_ms);
        self.enqueue_ready(id, 0);
    }

    /// Returns the state of a job as reported to callers: a final state is reported once it is
    /// durable.
    #[must_use]
    pub fn state(&self, id: Id) -> Option<State> {
        let Some(job) = self.jobs.get(&id) else {
            return self.moves.forwarded_team(id).map(|_| State::Pending);
        };
        Some(match job.ended {
            Some((State::Cancelled, _)) => State::Cancelled,
            Some((state, record)) if record <= self.durable_records => state,
            _ if job.started => State::Running,
            _ => State::Pending,
        })
    }

    /// Marks the first `count` issued records as durable.
    pub fn mark_durable(&mut self, count: u64) {
        let durable = self.durable_records.max(count);
        self.durable_records = durable;
        let hosts = &mut self.hosts;
        let awaits_more = |id: &Arc<str>| {
            let host = hosts.get_mut(id);
            host.is_some_and(|host| !host.mark_durable(durable))
        };
        self.awaiting_records.retain(awaits_more);
    }

    /// Adds or updates a worker from the platform's directory.
    pub fn list_worker(&mut self, worker: Worker, now_ms: u64) {
        self.worker_check_due_ms = 0;
        let epoch = self.epoch;
        let id = worker.id.clone();
        let Some(host) = self.hosts.get_mut(&id) else {
            let lease = Lease::new(self.settings.lease_ms, self.settings.lease_max_ms);
            let host = Host::new(
                worker.clone(),
                epoch,
                self.removed.increments(),
                lease,
                now_ms,
            );
            self.hosts.insert(id.clone(), host);
            if !self.recovery.is_replaying() {
                self.restore_removed(&id, now_ms);
                self.record_worker(&id);
                self.use_once_recorded(&id);
            }
            self.actions.push(Action::Renew(id));
            return;
        };
        host.listed = true;
        if host.is_outdated(&worker) {
            host.older_entry = Some(worker);
            return;
        }
        host.listed_incarnation = worker.incarnation;
        if worker.incarnation > host.worker.incarnation && host.worker.incarnation > 0 {
            let incarnation = worker.incarnation;
            let former = std::mem::replace(&mut host.worker, worker);
            host.worker.incarnation = former.incarnation;
            self.begin_incarnation(&id, incarnation, now_ms);
            return;
        }
        let address_changed = host.worker.address != worker.address;
        let was_unresponsive = host.liveness == Liveness::Unresponsive;
        if host.worker.capacity != worker.capacity {
            host.speed = Speed::default();
        }
        host.worker = worker;
        if address_changed && !self.recovery.is_replaying() {
            // A successor that doesn't find the worker in the directory needs its address.
            self.record_worker(&id);
        }
        if address_changed || was_unresponsive {
            self.actions.push(Action::Renew(id));
        }
    }

    /// Records that the platform's directory has been read up to its state at `at_ms`.
    pub fn workers_read(&mut self, at_ms: u64) {
        self.workers_read_ms = self.workers_read_ms.max(at_ms);
    }

    /// Handles the removal of a worker from the platform's directory.
    pub fn unlist_worker(&mut self, id: &str) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        host.listed = false;
        // An idle worker gets no other renewal, so it would never be noticed that it has ended.
        self.actions.push(Action::Renew(host.id()));
        self.remove_if_departed(id);
    }

    /// Removes a worker that has left: it was draining, is no longer listed, doesn't answer and can't
    /// run an attempt any more. A draining worker that is cut off from the log and from this owner
    /// looks as if it had left, so its attempts keep it until its lease has expired.
    pub(crate) fn remove_if_departed(&mut self, id: &str) {
        let has_departed = |host: &Host| {
            host.worker.draining
                && !host.listed
                && host.liveness == Liveness::Unresponsive
                && host.runs.is_empty()
        };
        if !self.hosts.get(id).is_some_and(has_departed) || self.recovery.may_run_attempts(id) {
            return;
        }
        self.remove_worker(id);
    }

    /// Removes a worker that can't run an attempt of this owner.
    pub(crate) fn remove_worker(&mut self, id: &str) {
        if let Some(host) = self.hosts.remove(id) {
            self.removed.add(&host);
            self.record(Record::WorkerRemoved { worker: host.id() });
        }
    }

    /// Returns the identifiers of all workers.
    #[must_use]
    pub fn host_ids(&self) -> Vec<Arc<str>> {
        self.hosts.keys().cloned().collect()
    }

    /// Returns the state of a worker.
    #[must_use]
    pub fn host(&self, id: &str) -> Option<&Host> {
        self.hosts.get(id)
    }

    /// Returns whether every issued record is durable.
    #[must_use]
    pub fn is_durable(&self) -> bool {
        self.durable_records == self.issued_records
    }

    /// Returns the number of jobs that have not ended.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.open_jobs
    }

    pub(crate) fn record(&mut self, record: Record) {
        self.issued_records += 1;
        self.actions.push(Action::Record(record));
    }

    pub(crate) fn step_spec(&self, key: StepKey) -> Option<&Step> {
        self.jobs.get(&key.job)?.spec.steps.get(key.step as usize)
    }

    /// Adds a step to the steps to place if it is ready and has waiting tasks.
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
            let line = (job.queue.clone(), job.spec.team.clone());
            self.waiting
                .insert(priority, job.acceptance_order, key, line);
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

    /// Issues a request to stop an attempt, unless one was issued before.
    pub(crate) fn stop_run(&mut self, worker: &str, key: Key, now_ms: u64) {
        let Some(host) = self.hosts.get_mut(worker) else {
            return;
        };
        let attempt = match host.runs.get_mut(&key) {
            Some(run) if run.phase != Phase::Stopping => {
                run.phase = Phase::Stopping;
                run.phase_since_ms = now_ms;
                run.attempt
            }
            _ => return,
        };
        let stop = host.stop_request(key, attempt);
        self.actions.push(Action::Stop(stop));
    }
}
