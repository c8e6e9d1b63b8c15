//! A shard with simulated workers that carry out its actions.
#![allow(dead_code)] // Each test file uses some of the helpers.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemaryworks_core::size::Size;
use rosemaryworks_workflow::{
    Action, Finished, Id, Key, Order, Outcome, Queue, Record, Refusal, Renewal, Report, Running,
    Settings, Shard, Spec, StartOutcome, Step, Stop, Worker,
};

/// Clock of a simulated worker in its first life minus the owner's clock, in milliseconds.
const CLOCK_OFFSET_MS: u64 = 1_000_000;

/// A simulated worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct SimulatedWorker {
    pub(crate) incarnation: u64,
    pub(crate) ends: Vec<Finished>,
    /// Attempt number of each running task.
    pub(crate) runs: BTreeMap<Key, u32>,
    /// Progress of the tasks in percent.
    pub(crate) percent: BTreeMap<Key, u32>,
    pub(crate) token: u64,
    pub(crate) metric: f64,
    pub(crate) unresponsive: bool,
    pub(crate) unlisted: bool,
    /// Incarnation in the list of workers, if the list lags.
    pub(crate) listed_incarnation: Option<u64>,
    /// Reason for which it refuses starts.
    pub(crate) refusal: Option<Refusal>,
    /// Time on the owner's clock at which its lease expires.
    lease_expires_ms: u64,
    /// Time on the owner's clock at which its present life began; `None` in its first life.
    began_ms: Option<u64>,
    last_end: u64,
}

/// A shard and its simulated workers.
pub(crate) struct Fleet {
    pub(crate) shard: Shard,
    pub(crate) now_ms: u64,
    pub(crate) workers: BTreeMap<Arc<str>, SimulatedWorker>,
    pub(crate) orders: Vec<Order>,
    pub(crate) stops: Vec<Stop>,
    pub(crate) advice_requests: Vec<rosemaryworks_workflow::AdviceRequest>,
    pub(crate) records: Vec<Record>,
    pub(crate) paces: Vec<rosemaryworks_workflow::Pace>,
    pub(crate) renewals: Vec<Arc<str>>,
    pub(crate) lost: Vec<rosemaryworks_workflow::LostAttempt>,
    pub(crate) stepped_down: bool,
    pub(crate) released: bool,
    /// Records that were passed on to other shards.
    pub(crate) forwards: Vec<(u32, Record)>,
    /// Whether the list of workers can't be read.
    pub(crate) is_list_unreadable: bool,
    capacity: Size,
}

pub(crate) fn settings() -> Settings {
    Settings {
        lease_ms: 6_000,
        lease_max_ms: 10_000,
        order_ttl_ms: 2_000,
        keep_ms: 120_000,
        early_ms: 0,
    }
}

pub(crate) fn queue(name: &str) -> Queue {
    Queue {
        max_attempts: 4,
        advice: None,
        name: name.into(),
        pool: "pool".into(),
        priority: 0,
        slack_factor: 1.5,
        slo_ms: 250,
    }
}

pub(crate) fn step(count: u32) -> Step {
    Step {
        count,
        estimate_ms: 500,
        size: Size::new(1_000, 1_024),
        ..Step::default()
    }
}

pub(crate) fn spec(steps: Vec<Step>) -> Arc<Spec> {
    Arc::new(Spec {
        steps,
        ..Spec::default()
    })
}

pub(crate) fn worker(id: &str, capacity: Size, incarnation: u64) -> Worker {
    Worker {
        address: "127.0.0.1:1".parse().expect("an address"),
        incarnation,
        capacity,
        draining: false,
        id: id.into(),
        labels: vec!["a".into(), "r1".into()],
        pool: "pool".into(),
        rack: "r1".into(),
        remaining_ms: None,
    }
}

impl Fleet {
    /// Creates a shard of epoch 1 with a queue `q`, and `count` workers of 4 cores that have
    /// reported to it.
    pub(crate) fn new(count: usize) -> Self {
        Self::with_queues(count, vec![queue("q")])
    }

    pub(crate) fn with_queues(count: usize, queues: Vec<Queue>) -> Self {
        let mut shard = Shard::new(settings(), 1);
        shard.set_queues(queues);
        let mut fleet = Self::with_workers(shard, BTreeMap::new());
        for index in 0..count {
            fleet.add_worker(&format!("w{index}"));
        }
        fleet.shard.finish_replay(true, 0);
        fleet.renew_all();
        fleet.make_durable();
        fleet
    }

    /// Creates a fleet from a shard and existing workers.
    pub(crate) fn with_workers(shard: Shard, workers: BTreeMap<Arc<str>, SimulatedWorker>) -> Self {
        Self {
            shard,
            now_ms: 1_000,
            workers,
            orders: Vec::new(),
            stops: Vec::new(),
            advice_requests: Vec::new(),
            records: Vec::new(),
            paces: Vec::new(),
            renewals: Vec::new(),
            lost: Vec::new(),
            stepped_down: false,
            released: false,
            forwards: Vec::new(),
            is_list_unreadable: false,
            capacity: Size::new(4_000, 16_384),
        }
    }

    pub(crate) fn add_worker(&mut self, id: &str) {
        let simulated = SimulatedWorker {
            incarnation: 7,
            ..SimulatedWorker::default()
        };
        self.workers.insert(id.into(), simulated);
        self.shard
            .list_worker(worker(id, self.capacity, 7), self.now_ms);
    }

    /// Sets whether a worker leaves requests without an answer.
    pub(crate) fn set_unresponsive(&mut self, id: &str, unresponsive: bool) {
        self.workers.get_mut(id).expect("a worker").unresponsive = unresponsive;
    }

    /// Replaces the shard by that of a new owner, which replays the given jobs and all records.
    pub(crate) fn take_over(&mut self, epoch: u64, jobs: &[Record], queues: Vec<Queue>) {
        let mut shard = Shard::new(settings(), epoch);
        shard.set_queues(queues);
        for record in jobs.iter().chain(&self.records) {
            shard.replay(record.clone(), self.now_ms);
        }
        for (id, simulated) in self.workers.iter().filter(|(_, s)| !s.unlisted) {
            let incarnation = simulated
                .listed_incarnation
                .unwrap_or(simulated.incarnation);
            shard.list_worker(worker(id, self.capacity, incarnation), self.now_ms);
        }
        shard.finish_replay(false, self.now_ms);
        self.shard = shard;
        self.orders.clear();
        self.stops.clear();
    }

    pub(crate) fn submit(&mut self, id: u64, spec: Arc<Spec>) {
        self.shard.submit(Id(id), "q".into(), spec, self.now_ms);
        self.tick();
    }

    /// Advances the time, ticks and carries out the actions.
    pub(crate) fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        self.tick();
    }

    /// Ticks and carries out the actions immediately, except lease renewals. No other process has
    /// claimed the shard, and its jobs and the list of workers have been read.
    pub(crate) fn tick(&mut self) {
        self.shard.confirm_ownership(self.now_ms);
        self.shard.jobs_read(self.now_ms);
        if !self.is_list_unreadable {
            self.shard.workers_read(self.now_ms);
        }
        self.shard.tick(self.now_ms, self.now_ms);
        self.take_actions();
    }

    pub(crate) fn take_actions(&mut self) {
        loop {
            let actions = self.shard.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::RequestAdvice(request) => self.advice_requests.push(request),
            Action::Forward { shard, record } => self.forwards.push((shard, record)),
            Action::Release => self.released = true,
            Action::StepDown => self.stepped_down = true,
            Action::LogLost(lost) => self.lost.push(lost),
            Action::LogIncarnation(_) | Action::LogUnreported(_) => {}
            Action::Renew(id) => self.renewals.push(id),
            Action::Pace(pace) => self.paces.push(pace),
            Action::Record(record) => self.records.push(record),
            Action::Start(order) => self.start(order),
            Action::Stop(stop) => {
                if let Some(simulated) = self.workers.get_mut(&stop.worker)
                    && simulated.runs.get(&stop.key) == Some(&stop.attempt)
                    && !simulated.unresponsive
                {
                    simulated.end(stop.key, Outcome::Stopped);
                }
                self.stops.push(stop);
            }
        }
    }

    fn start(&mut self, order: Order) {
        let simulated = self.workers.get_mut(&order.worker).expect("a worker");
        let outcome = if simulated.unresponsive {
            StartOutcome::Unknown
        } else {
            simulated.start(&order, self.now_ms)
        };
        self.shard.start_answered(&order, outcome, self.now_ms);
        self.orders.push(order);
    }

    /// Renews the lease of a worker and delivers its report.
    pub(crate) fn renew(&mut self, id: &str) {
        let Some(renewal) = self.shard.renewal(id, self.now_ms) else {
            return;
        };
        let simulated = self.workers.get_mut(id).expect("a worker");
        if simulated.unresponsive {
            let fault = rosemaryworks_workflow::RenewalFault::Silent;
            self.shard
                .renewal_failed(id, renewal.token, fault, self.now_ms);
            return;
        }
        let report = simulated.renew(&renewal, self.now_ms);
        self.shard
            .report(id, report, renewal.token, self.now_ms, self.now_ms);
        self.take_actions();
    }

    pub(crate) fn renew_all(&mut self) {
        let ids: Vec<Arc<str>> = self.workers.keys().cloned().collect();
        for id in ids {
            self.renew(&id);
        }
    }

    /// Starts a worker again under its id, without the owner's knowledge: it knows nothing of its
    /// former life, and its clock and the numbers of its ends begin anew.
    pub(crate) fn restart(&mut self, id: &str) {
        let simulated = self.workers.get_mut(id).expect("a worker");
        *simulated = SimulatedWorker {
            incarnation: simulated.incarnation + 1,
            began_ms: Some(self.now_ms),
            ..SimulatedWorker::default()
        };
    }

    /// Lets the owner read the entry of a worker in the list of workers.
    pub(crate) fn list(&mut self, id: &str) {
        let entry = worker(id, self.capacity, self.workers[id].incarnation);
        self.shard.list_worker(entry, self.now_ms);
        self.take_actions();
    }

    /// Returns the number of workers that run a task under a lease that has not expired.
    pub(crate) fn live_runs(&self, key: Key) -> usize {
        let workers = self.workers.values();
        workers
            .filter(|worker| {
                worker.runs.contains_key(&key) && self.now_ms < worker.lease_expires_ms
            })
            .count()
    }

    /// Marks all records as durable.
    pub(crate) fn make_durable(&mut self) {
        self.shard.mark_durable(self.records.len() as u64);
    }

    /// Ends the attempt of a task on the worker that runs it, and returns the worker.
    pub(crate) fn end_attempt(&mut self, key: Key, how: Outcome) -> Arc<str> {
        let runs_task =
            |(_, simulated): &(&Arc<str>, &mut SimulatedWorker)| simulated.runs.contains_key(&key);
        let (id, simulated) = self
            .workers
            .iter_mut()
            .find(runs_task)
            .expect("a worker that runs the task");
        simulated.end(key, how);
        id.clone()
    }

    /// Ends the attempt of a task, reports the end to the shard and makes it durable.
    pub(crate) fn end_and_report(&mut self, key: Key, how: Outcome) {
        let id = self.end_attempt(key, how);
        self.renew(&id);
        self.make_durable();
        self.tick();
    }

    /// Returns the workers that run a task.
    pub(crate) fn workers_running(&self, key: Key) -> Vec<Arc<str>> {
        let runs_task =
            |(_, simulated): &(&Arc<str>, &SimulatedWorker)| simulated.runs.contains_key(&key);
        let running = self.workers.iter().filter(runs_task);
        running.map(|(id, _)| id.clone()).collect()
    }
}

impl SimulatedWorker {
    fn clock_ms(&self, now_ms: u64) -> u64 {
        match self.began_ms {
            None => now_ms + CLOCK_OFFSET_MS,
            Some(began_ms) => now_ms - began_ms + 1,
        }
    }

    fn extend_lease(&mut self, deadline_ms: u64, now_ms: u64) {
        let left_ms = deadline_ms.saturating_sub(self.clock_ms(now_ms));
        let expires_ms = now_ms + left_ms.min(settings().lease_max_ms);
        self.lease_expires_ms = self.lease_expires_ms.max(expires_ms);
    }

    fn start(&mut self, order: &Order, now_ms: u64) -> StartOutcome {
        self.token = self.token.max(order.token);
        self.extend_lease(order.deadline_ms, now_ms);
        if let Some(refusal) = self.refusal {
            return StartOutcome::Refused(refusal);
        }
        self.runs.insert(order.key, order.attempt);
        StartOutcome::Accepted {
            clock_ms: self.clock_ms(now_ms),
        }
    }

    /// Carries a renewal out, whichever life it was meant for.
    pub(crate) fn renew(&mut self, renewal: &Renewal, now_ms: u64) -> Report {
        self.token = self.token.max(renewal.token);
        if let Some(deadline_ms) = renewal.deadline_ms {
            self.extend_lease(deadline_ms, now_ms);
        }
        self.ends.retain(|end| end.number > renewal.acknowledged);
        Report {
            incarnation: self.incarnation,
            clock_ms: self.clock_ms(now_ms),
            finished: self.ends.clone(),
            may_have_more_ends: false,
            running: self.running(),
        }
    }

    pub(crate) fn end(&mut self, key: Key, how: Outcome) {
        let attempt = self.runs.remove(&key).expect("a run");
        self.last_end += 1;
        self.ends.push(Finished {
            number: self.last_end,
            key,
            attempt,
            how,
            checkpoint: None,
        });
    }

    fn running(&self) -> Vec<Running> {
        let running = |(key, attempt): (&Key, &u32)| Running {
            key: *key,
            attempt: *attempt,
            checkpoint: None,
            percent: self.percent.get(key).copied().unwrap_or(0),
            metric: self.metric,
        };
        self.runs.iter().map(running).collect()
    }
}

/// Returns the key of a task in the first occurrence of a job.
pub(crate) fn key(job: u64, step: u16, index: u32) -> Key {
    Key {
        step: rosemaryworks_workflow::StepKey {
            job: Id(job),
            occurrence: 0,
            step,
        },
        index,
    }
}

/// Returns a team without a cap in the components that are 0.
pub(crate) fn team(name: &str, weight: f64, cap: Size) -> rosemaryworks_workflow::Team {
    rosemaryworks_workflow::Team {
        cap,
        name: name.into(),
        weight,
    }
}

/// Returns a job of a team.
pub(crate) fn team_spec(team: &str, steps: Vec<Step>) -> Arc<Spec> {
    Arc::new(Spec {
        steps,
        team: Some(team.into()),
        ..Spec::default()
    })
}
