//! A pool under a load of urgent and batch jobs, without a network. Workers may differ in speed.
#![allow(dead_code)] // Each test file uses some of the helpers.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemaryworks_core::size::Size;
use rosemaryworks_workflow::{Id, Key, Outcome, Queue, Spec, State, Step};

use crate::fleet::{Fleet, queue};

/// Time between two steps of the simulation in milliseconds.
const STEP_MS: u64 = 10;

/// Time between two reports of all workers in milliseconds.
const REPORT_PERIOD_MS: u64 = 500;

/// A kind of job.
#[derive(Clone, Copy)]
pub(crate) struct Kind {
    pub(crate) queue: &'static str,
    pub(crate) steps: u16,
    pub(crate) tasks: u32,
    /// Run time of a task at normal speed in milliseconds.
    pub(crate) task_ms: u64,
}

pub(crate) const URGENT: Kind = Kind {
    queue: "urgent",
    steps: 2,
    tasks: 10,
    task_ms: 700,
};

pub(crate) const BATCH: Kind = Kind {
    queue: "batch",
    steps: 2,
    tasks: 22,
    task_ms: 4_000,
};

struct Submitted {
    kind: Kind,
    at_ms: u64,
    ended_ms: Option<u64>,
}

pub(crate) struct Load {
    pub(crate) fleet: Fleet,
    speed: fn(usize) -> f64,
    random: u64,
    /// Team of the jobs.
    pub(crate) team: Option<Arc<str>>,
    /// Whether jobs are submitted only if the shard doesn't refuse them.
    pub(crate) refuses: bool,
    /// Number of refused jobs.
    pub(crate) refused: u64,
    jobs: BTreeMap<u64, Submitted>,
    /// Attempts by the time of their end, each with its worker and the time of its start.
    ends: BTreeMap<(u64, Key), (Arc<str>, u64)>,
}

pub(crate) fn queues() -> Vec<Queue> {
    let batch = Queue {
        priority: 2,
        ..queue("batch")
    };
    vec![queue("urgent"), batch]
}

impl Load {
    /// Creates a pool of workers of four cores. `speed` is the speed of each.
    pub(crate) fn new(workers: usize, speed: fn(usize) -> f64) -> Self {
        Self {
            fleet: Fleet::with_queues(workers, queues()),
            speed,
            random: 1,
            team: None,
            refuses: false,
            refused: 0,
            jobs: BTreeMap::new(),
            ends: BTreeMap::new(),
        }
    }

    /// Returns a number from 0 to 1.
    fn random(&mut self) -> f64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 40) as f64 / (1_u64 << 24) as f64
    }

    /// Returns the specification of a job.
    pub(crate) fn spec(&mut self, kind: Kind) -> Arc<Spec> {
        let step = |number: u16, estimate: f64| Step {
            after: (0..number).collect(),
            count: kind.tasks,
            estimate_ms: (kind.task_ms as f64 * estimate) as u64,
            image: kind.queue.into(),
            size: Size::new(1_000, 1_024),
            ..Step::default()
        };
        // Estimates are up to 90% off.
        let estimates: Vec<f64> = (0..kind.steps).map(|_| 0.1 + 1.8 * self.random()).collect();
        Arc::new(Spec {
            steps: (0..).zip(estimates).map(|(n, e)| step(n, e)).collect(),
            team: self.team.clone(),
            ..Spec::default()
        })
    }

    pub(crate) fn submit(&mut self, kind: Kind) {
        let id = self.jobs.len() as u64 + 1;
        let spec = self.spec(kind);
        let now_ms = self.fleet.now_ms;
        let shard = &self.fleet.shard;
        if self.refuses && shard.refusal(Id(id), kind.queue, &spec, now_ms).is_some() {
            self.refused += 1;
            return;
        }
        let submitted = Submitted {
            kind,
            at_ms: now_ms,
            ended_ms: None,
        };
        self.jobs.insert(id, submitted);
        self.fleet
            .shard
            .submit(Id(id), kind.queue.into(), spec, now_ms);
    }

    /// Runs for `ms` with the given jobs per second of each kind.
    pub(crate) fn run(&mut self, ms: u64, rates: &[(Kind, f64)]) {
        let end_ms = self.fleet.now_ms + ms;
        while self.fleet.now_ms < end_ms {
            for (kind, rate) in rates {
                if self.random() < rate * STEP_MS as f64 / 1_000.0 {
                    self.submit(*kind);
                }
            }
            self.fleet.advance(STEP_MS);
            self.schedule_ends();
            self.end_due();
            if self.fleet.now_ms.is_multiple_of(REPORT_PERIOD_MS) {
                self.report_progress();
            }
        }
    }

    fn schedule_ends(&mut self) {
        for order in std::mem::take(&mut self.fleet.orders) {
            let kind = self.jobs[&order.key.step.job.0].kind;
            let worker: usize = order.worker[1..].parse().expect("a number");
            let variation = 0.7 + 0.6 * self.random();
            let took_ms = kind.task_ms as f64 * variation / (self.speed)(worker);
            let end = (self.fleet.now_ms + took_ms as u64, order.key);
            self.ends.insert(end, (order.worker, self.fleet.now_ms));
        }
    }

    fn report_progress(&mut self) {
        for ((end_ms, key), (worker, began_ms)) in &self.ends {
            let share = (self.fleet.now_ms - began_ms) * 100 / (end_ms - began_ms).max(1);
            let simulated = self.fleet.workers.get_mut(worker).expect("a worker");
            simulated.percent.insert(*key, share.min(99) as u32);
        }
        self.fleet.renew_all();
    }

    fn end_due(&mut self) {
        let mut workers = Vec::new();
        while let Some(entry) = self.ends.first_entry() {
            if entry.key().0 > self.fleet.now_ms {
                break;
            }
            let ((_, key), (worker, _)) = entry.remove_entry();
            let simulated = self.fleet.workers.get_mut(&worker).expect("a worker");
            simulated.end(key, Outcome::Done);
            workers.push((worker, key.step.job.0));
        }
        for (worker, _) in &workers {
            self.fleet.renew(worker);
        }
        self.fleet.make_durable();
        for (_, id) in workers {
            let job = self.jobs.get_mut(&id).expect("a job");
            if self.fleet.shard.state(Id(id)) == Some(State::Completed) {
                job.ended_ms.get_or_insert(self.fleet.now_ms);
            }
        }
    }

    /// Returns the share of the jobs of a queue submitted in a time, in seconds, that met their
    /// objective.
    pub(crate) fn in_time(&self, queue: &str, from_s: u64, to_s: u64) -> f64 {
        self.within(queue, from_s, to_s, 1)
    }

    /// Returns the share that ended within a multiple of the objective.
    pub(crate) fn within(&self, queue: &str, from_s: u64, to_s: u64, multiple: u64) -> f64 {
        let times = from_s * 1_000..=to_s * 1_000;
        let jobs = self.jobs.values();
        let jobs = jobs.filter(|job| job.kind.queue == queue && times.contains(&job.at_ms));
        let objective_ms = |kind: Kind| u64::from(kind.steps) * kind.task_ms * 3 / 2 + 250;
        let is_in_time = |job: &Submitted| {
            let limit_ms = job.at_ms + multiple * objective_ms(job.kind);
            job.ended_ms.is_some_and(|ended_ms| ended_ms <= limit_ms)
        };
        let (mut all, mut met) = (0.0, 0.0);
        for job in jobs {
            all += 1.0;
            met += f64::from(u8::from(is_in_time(job)));
        }
        met / all
    }

    /// Returns the number of jobs that have not ended.
    pub(crate) fn open(&self) -> usize {
        let open = self.jobs.values().filter(|job| job.ended_ms.is_none());
        open.count()
    }
}
