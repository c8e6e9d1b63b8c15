//! A shard with stand-in workers that do what they are told.
#![allow(dead_code)] // Each test file uses a part.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemaryworks_core::size::Size;
use rosemaryworks_workflow::{
    Action, Finished, Id, Key, Order, Outcome, Queue, Record, Report, Running, Settings, Shard,
    Spec, StartOutcome, Step, Stop, Worker,
};

/// Clock of every stand-in worker minus the owner's.
const CLOCK_LEAD_MS: u64 = 1_000_000;

/// A stand-in worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Standin {
    pub(crate) born: u64,
    pub(crate) ends: Vec<Finished>,
    pub(crate) runs: BTreeMap<Key, u32>,
    pub(crate) percent: BTreeMap<Key, u32>,
    pub(crate) token: u64,
    pub(crate) figure: f64,
    pub(crate) silent: bool,
    pub(crate) unlisted: bool,
    numbered: u64,
}

/// A shard and its workers.
pub(crate) struct Fleet {
    pub(crate) shard: Shard,
    pub(crate) now_ms: u64,
    pub(crate) workers: BTreeMap<Arc<str>, Standin>,
    pub(crate) orders: Vec<Order>,
    pub(crate) stops: Vec<Stop>,
    pub(crate) asks: Vec<rosemaryworks_workflow::AdviceRequest>,
    pub(crate) records: Vec<Record>,
    pub(crate) paces: Vec<rosemaryworks_workflow::Pace>,
    pub(crate) looks: Vec<Arc<str>>,
    pub(crate) deposed: bool,
    capacity: Size,
}

pub(crate) fn settings() -> Settings {
    Settings {
        lease_ms: 6_000,
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

pub(crate) fn worker(id: &str, capacity: Size, born: u64) -> Worker {
    Worker {
        address: "127.0.0.1:1".parse().expect("an address"),
        incarnation: born,
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
    /// Creates a shard of epoch 1 with `count` workers of 4 cores, seen and ready.
    pub(crate) fn new(count: usize) -> Self {
        Self::with_queues(count, vec![queue("q")])
    }

    pub(crate) fn with_queues(count: usize, queues: Vec<Queue>) -> Self {
        let mut shard = Shard::new(settings(), 1);
        shard.set_queues(queues);
        let mut fleet = Self::around(shard, BTreeMap::new());
        for index in 0..count {
            fleet.add(&format!("w{index}"));
        }
        fleet.shard.finish_replay(true, 0);
        fleet.look_all();
        fleet
    }

    /// Puts a shard in front of workers that exist already.
    pub(crate) fn around(shard: Shard, workers: BTreeMap<Arc<str>, Standin>) -> Self {
        Self {
            shard,
            now_ms: 1_000,
            workers,
            orders: Vec::new(),
            stops: Vec::new(),
            asks: Vec::new(),
            records: Vec::new(),
            paces: Vec::new(),
            looks: Vec::new(),
            deposed: false,
            capacity: Size::new(4_000, 16_384),
        }
    }

    pub(crate) fn add(&mut self, id: &str) {
        let standin = Standin {
            born: 7,
            ..Standin::default()
        };
        self.workers.insert(id.into(), standin);
        self.shard
            .list_worker(worker(id, self.capacity, 7), self.now_ms);
    }

    /// Hands the shard to a new owner that knows what is durable.
    pub(crate) fn take_over(&mut self, epoch: u64, jobs: &[Record], queues: Vec<Queue>) {
        let mut shard = Shard::new(settings(), epoch);
        shard.set_queues(queues);
        for record in jobs.iter().chain(&self.records) {
            shard.replay(record.clone(), self.now_ms);
        }
        for (id, standin) in self.workers.iter().filter(|(_, s)| !s.unlisted) {
            shard.list_worker(worker(id, self.capacity, standin.born), self.now_ms);
        }
        shard.finish_replay(false, self.now_ms);
        self.shard = shard;
        self.orders.clear();
        self.stops.clear();
    }

    pub(crate) fn submit(&mut self, id: u64, spec: Arc<Spec>) {
        self.shard.submit(Id(id), "q".into(), spec);
        self.step();
    }

    /// Lets time pass and carries out what the shard wants.
    pub(crate) fn pass(&mut self, ms: u64) {
        self.now_ms += ms;
        self.step();
    }

    /// Ticks and carries out orders at once; looks only when asked for.
    pub(crate) fn step(&mut self) {
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
            Action::RequestAdvice(ask) => self.asks.push(ask),
            Action::StepDown => self.deposed = true,
            Action::Renew(id) => self.looks.push(id),
            Action::Pace(pace) => self.paces.push(pace),
            Action::Record(record) => self.records.push(record),
            Action::Start(order) => self.start(order),
            Action::Stop(stop) => {
                if let Some(standin) = self.workers.get_mut(&stop.worker)
                    && standin.runs.get(&stop.key) == Some(&stop.attempt)
                    && !standin.silent
                {
                    standin.end(stop.key, Outcome::Stopped);
                }
                self.stops.push(stop);
            }
        }
    }

    fn start(&mut self, order: Order) {
        let standin = self.workers.get_mut(&order.worker).expect("a worker");
        let outcome = if standin.silent {
            StartOutcome::Unknown
        } else {
            standin.token = standin.token.max(order.token);
            standin.runs.insert(order.key, order.attempt);
            StartOutcome::Accepted {
                clock_ms: self.now_ms + CLOCK_LEAD_MS,
            }
        };
        self.shard.start_answered(&order, outcome, self.now_ms);
        self.orders.push(order);
    }

    /// Renews the lease of a worker and delivers its report.
    pub(crate) fn look(&mut self, id: &str) {
        let Some(look) = self.shard.renewal(id, self.now_ms) else {
            return;
        };
        let standin = self.workers.get_mut(id).expect("a worker");
        if standin.silent {
            let fault = rosemaryworks_workflow::RenewalFault::Silent;
            self.shard
                .renewal_failed(id, look.token, fault, self.now_ms);
            return;
        }
        standin.token = standin.token.max(look.token);
        standin.ends.retain(|end| end.number > look.acknowledged);
        let report = Report {
            incarnation: standin.born,
            clock_ms: self.now_ms + CLOCK_LEAD_MS,
            finished: standin.ends.clone(),
            running: standin.rows(),
        };
        self.shard
            .report(id, report, look.token, self.now_ms, self.now_ms);
        self.take_actions();
    }

    pub(crate) fn look_all(&mut self) {
        let ids: Vec<Arc<str>> = self.workers.keys().cloned().collect();
        for id in ids {
            self.look(&id);
        }
    }

    /// Makes everything durable that was recorded.
    pub(crate) fn write(&mut self) {
        self.shard.mark_durable(self.records.len() as u64);
    }

    /// Ends the run of a task wherever it is.
    pub(crate) fn end(&mut self, key: Key, how: Outcome) -> Arc<str> {
        let holds = |(_, standin): &(&Arc<str>, &mut Standin)| standin.runs.contains_key(&key);
        let (id, standin) = self
            .workers
            .iter_mut()
            .find(holds)
            .expect("a worker that runs the task");
        standin.end(key, how);
        id.clone()
    }

    /// Ends the run of a task, lets the shard learn it and makes that durable.
    pub(crate) fn end_known(&mut self, key: Key, how: Outcome) {
        let id = self.end(key, how);
        self.look(&id);
        self.write();
        self.step();
    }

    /// Returns where a task runs.
    pub(crate) fn places(&self, key: Key) -> Vec<Arc<str>> {
        let holds = |(_, standin): &(&Arc<str>, &Standin)| standin.runs.contains_key(&key);
        let on = self.workers.iter().filter(holds);
        on.map(|(id, _)| id.clone()).collect()
    }
}

impl Standin {
    pub(crate) fn end(&mut self, key: Key, how: Outcome) {
        let attempt = self.runs.remove(&key).expect("a run");
        self.numbered += 1;
        self.ends.push(Finished {
            number: self.numbered,
            key,
            attempt,
            how,
            checkpoint: None,
        });
    }

    fn rows(&self) -> Vec<Running> {
        let row = |(key, attempt): (&Key, &u32)| Running {
            key: *key,
            attempt: *attempt,
            checkpoint: None,
            percent: self.percent.get(key).copied().unwrap_or(0),
            metric: self.figure,
        };
        self.runs.iter().map(row).collect()
    }
}

/// Returns the key of a task of a job without occurrences.
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
