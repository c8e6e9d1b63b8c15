//! Discrete-event simulation of callers, gateways and instances.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::load::Job;

/// Slots per instance.
pub(crate) const SLOTS: usize = 8;

/// Period of ticks in microseconds.
const TICK_US: u64 = 20_000;

/// Time until an instance that is busy answers so, in microseconds.
const REJECT_US: u64 = 1_000;

/// Retries of one request at most.
const RETRIES_MAX: usize = 3;

/// A router's decision.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Act {
    /// Refuses the request.
    Refuse(usize),
    /// Dispatches the request to an instance.
    Start {
        /// Number of the request.
        job: usize,
        /// Number of the instance.
        instance: usize,
    },
}

/// Decides which instance runs which request. Times are in microseconds.
pub(crate) trait Router {
    /// A request arrives.
    fn arrive(&mut self, now: u64, number: usize, job: &Job) -> Vec<Act>;
    /// A request left its instance; `run` is its run time if it was answered.
    fn leave(&mut self, now: u64, number: usize, instance: usize, run: Option<u64>) -> Vec<Act>;
    /// The caller stopped waiting. Has no effect on a request that was dispatched.
    fn expire(&mut self, now: u64, number: usize) -> Vec<Act>;
    /// The first `count` instances are leaving: they get no new requests.
    fn leaving(&mut self, now: u64, count: usize) -> Vec<Act>;
    /// Time passed.
    fn tick(&mut self, now: u64) -> Vec<Act>;
}

/// What became of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Fate {
    /// Waits or runs.
    #[default]
    Open,
    /// Answered at this time in microseconds.
    Answered(u64),
    /// Refused, or the caller stopped waiting for a slot.
    Refused,
    /// Failed at an instance; a retry has its own entry.
    Failed,
}

/// Instances that answer `busy` to a part of the requests during a period.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// Instances concerned, from the first on.
    pub(crate) instances: usize,
    /// Share of their requests that fail.
    pub(crate) share: f64,
    /// Period in seconds.
    pub(crate) period: (f64, f64),
    /// Share of the requests that may be retried; `None` for no limit.
    pub(crate) budget: Option<f64>,
    /// Second in which the instances leave service.
    pub(crate) leave: Option<f64>,
}

/// Result of a simulation.
#[derive(Debug)]
pub(crate) struct Outcome {
    /// Requests, with retries at the end.
    pub(crate) jobs: Vec<Job>,
    /// What became of each.
    pub(crate) fates: Vec<Fate>,
    /// Instance slot time used per contract in microseconds.
    pub(crate) used: Vec<u64>,
    /// Retries made.
    pub(crate) retries: usize,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    End {
        job: usize,
        instance: usize,
        ok: bool,
    },
    Expire(usize),
    Leave(usize),
    Tick,
}

struct Sim<'a> {
    router: &'a mut dyn Router,
    faults: Option<Faults>,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    order: usize,
    credit: f64,
    until: u64,
    running: Vec<usize>,
    outcome: Outcome,
}

/// Runs `jobs` through `router` until all that were dispatched have ended.
pub(crate) fn run(
    router: &mut dyn Router,
    jobs: Vec<Job>,
    faults: Option<Faults>,
    seed: u64,
) -> Outcome {
    let until = jobs.iter().map(|job| job.deadline).max().unwrap_or(0);
    let contracts = jobs.iter().map(|job| job.contract + 1).max().unwrap_or(0);
    let mut sim = Sim {
        router,
        faults,
        rng: SmallRng::seed_from_u64(seed),
        events: BinaryHeap::new(),
        order: 0,
        credit: 0.0,
        until,
        running: Vec::new(),
        outcome: Outcome {
            fates: vec![Fate::Open; jobs.len()],
            jobs,
            used: vec![0; contracts],
            retries: 0,
        },
    };
    for number in 0..sim.outcome.jobs.len() {
        sim.announce(number);
    }
    if let Some((faults, second)) = faults.and_then(|f| Some((f, f.leave?))) {
        sim.push((second * 1e6) as u64, Event::Leave(faults.instances));
    }
    sim.push(0, Event::Tick);
    while let Some(Reverse((now, _, event))) = sim.events.pop() {
        sim.handle(now, event);
    }
    sim.outcome
}

impl Sim<'_> {
    fn push(&mut self, time: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((time, self.order, event)));
    }

    fn announce(&mut self, number: usize) {
        let job = &self.outcome.jobs[number];
        let (arrival, deadline) = (job.arrival, job.deadline);
        self.push(arrival, Event::Arrive(number));
        self.push(deadline, Event::Expire(number));
    }

    fn handle(&mut self, now: u64, event: Event) {
        let acts = match event {
            Event::Arrive(number) => {
                let budget = self.faults.and_then(|faults| faults.budget);
                self.credit = (self.credit + budget.unwrap_or(0.0)).min(100.0);
                self.router.arrive(now, number, &self.outcome.jobs[number])
            }
            Event::End { job, instance, ok } => self.end(now, job, instance, ok),
            Event::Expire(number) => self.expire(now, number),
            Event::Leave(count) => self.router.leaving(now, count),
            Event::Tick => {
                if now < self.until {
                    self.push(now + TICK_US, Event::Tick);
                }
                self.router.tick(now)
            }
        };
        for act in acts {
            match act {
                Act::Refuse(number) => self.outcome.fates[number] = Fate::Refused,
                Act::Start { job, instance } => self.start(now, job, instance),
            }
        }
    }

    fn start(&mut self, now: u64, job: usize, instance: usize) {
        if self.running.len() <= instance {
            self.running.resize(instance + 1, 0);
        }
        self.running[instance] += 1;
        assert!(self.running[instance] <= SLOTS, "instance over its slots");
        let ok = !self.fails(now, instance);
        let run = if ok {
            self.outcome.jobs[job].run
        } else {
            REJECT_US
        };
        self.outcome.used[self.outcome.jobs[job].contract] += run;
        self.push(now + run, Event::End { job, instance, ok });
    }

    fn fails(&mut self, now: u64, instance: usize) -> bool {
        let second = now as f64 / 1e6;
        self.faults.is_some_and(|faults| {
            instance < faults.instances
                && (faults.period.0..faults.period.1).contains(&second)
                && self.rng.random::<f64>() < faults.share
        })
    }

    fn end(&mut self, now: u64, number: usize, instance: usize, ok: bool) -> Vec<Act> {
        self.running[instance] -= 1;
        self.outcome.fates[number] = if ok {
            Fate::Answered(now)
        } else {
            Fate::Failed
        };
        if !ok {
            self.retry(now, number, instance);
        }
        let run = ok.then(|| self.outcome.jobs[number].run);
        self.router.leave(now, number, instance, run)
    }

    fn retry(&mut self, now: u64, number: usize, instance: usize) {
        let mut job = self.outcome.jobs[number].clone();
        let limited = self.faults.is_some_and(|faults| faults.budget.is_some());
        if job.failed.len() >= RETRIES_MAX || job.deadline <= now || limited && self.credit < 1.0 {
            return;
        }
        self.credit -= 1.0;
        self.outcome.retries += 1;
        job.failed.push(instance);
        job.arrival = now;
        self.outcome.jobs.push(job);
        self.outcome.fates.push(Fate::Open);
        self.announce(self.outcome.jobs.len() - 1);
    }

    fn expire(&mut self, now: u64, number: usize) -> Vec<Act> {
        match self.outcome.fates[number] {
            Fate::Open => self.router.expire(now, number),
            _ => Vec::new(),
        }
    }
}
