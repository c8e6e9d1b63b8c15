//! Discrete-event simulation of callers, gateways and instances.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::load::Request;

/// Slots per instance.
pub(crate) const SLOTS: usize = 8;

/// Period of ticks in microseconds.
const TICK_US: u64 = 20_000;

/// Time in microseconds until a busy instance rejects a request.
const REJECT_US: u64 = 1_000;

/// Largest number of retries of one request.
const RETRIES_MAX: usize = 3;

/// A router's decision.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Decision {
    /// Refuses the request.
    Refuse(usize),
    /// Dispatches the request to an instance.
    Dispatch {
        /// Number of the request.
        request: usize,
        /// Number of the instance.
        instance: usize,
    },
}

/// Routes requests to instances. Times are in microseconds.
pub(crate) trait Router {
    /// Handles the arrival of a request.
    fn arrive(&mut self, now: u64, number: usize, request: &Request) -> Vec<Decision>;
    /// Handles the end of a request at its instance; `run` is its run time if it was answered.
    fn finish(
        &mut self,
        now: u64,
        number: usize,
        instance: usize,
        run: Option<u64>,
    ) -> Vec<Decision>;
    /// Handles the deadline of a request. Has no effect on a dispatched request.
    fn expire(&mut self, now: u64, number: usize) -> Vec<Decision>;
    /// Marks the first `count` instances as leaving: they get no new requests.
    fn set_leaving(&mut self, now: u64, count: usize) -> Vec<Decision>;
    /// Handles a periodic tick.
    fn tick(&mut self, now: u64) -> Vec<Decision>;
}

/// Status of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Status {
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

/// Faulty instances, which reject a share of their requests as busy during a period.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// Number of faulty instances, counted from the first.
    pub(crate) instances: usize,
    /// Share of their requests that they reject.
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
    pub(crate) requests: Vec<Request>,
    /// Status of each request.
    pub(crate) statuses: Vec<Status>,
    /// Slot time used per contract in microseconds.
    pub(crate) used: Vec<u64>,
    /// Retries made.
    pub(crate) retries: usize,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    End {
        request: usize,
        instance: usize,
        ok: bool,
    },
    Expire(usize),
    InstancesLeave(usize),
    Tick,
}

struct Sim<'a> {
    router: &'a mut dyn Router,
    faults: Option<Faults>,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    sequence: usize,
    retry_credit: f64,
    end: u64,
    running: Vec<usize>,
    outcome: Outcome,
}

/// Simulates `requests` with `router` until all dispatched ones have ended.
pub(crate) fn run(
    router: &mut dyn Router,
    requests: Vec<Request>,
    faults: Option<Faults>,
    seed: u64,
) -> Outcome {
    let end = requests
        .iter()
        .map(|request| request.deadline)
        .max()
        .unwrap_or(0);
    let contracts = requests
        .iter()
        .map(|request| request.contract + 1)
        .max()
        .unwrap_or(0);
    let mut sim = Sim {
        router,
        faults,
        rng: SmallRng::seed_from_u64(seed),
        events: BinaryHeap::new(),
        sequence: 0,
        retry_credit: 0.0,
        end,
        running: Vec::new(),
        outcome: Outcome {
            statuses: vec![Status::Open; requests.len()],
            requests,
            used: vec![0; contracts],
            retries: 0,
        },
    };
    for number in 0..sim.outcome.requests.len() {
        sim.schedule(number);
    }
    if let Some((faults, second)) = faults.and_then(|f| Some((f, f.leave?))) {
        sim.push(
            (second * 1e6) as u64,
            Event::InstancesLeave(faults.instances),
        );
    }
    sim.push(0, Event::Tick);
    while let Some(Reverse((now, _, event))) = sim.events.pop() {
        sim.handle(now, event);
    }
    sim.outcome
}

impl Sim<'_> {
    fn push(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn schedule(&mut self, number: usize) {
        let request = &self.outcome.requests[number];
        let (arrival, deadline) = (request.arrival, request.deadline);
        self.push(arrival, Event::Arrive(number));
        self.push(deadline, Event::Expire(number));
    }

    fn handle(&mut self, now: u64, event: Event) {
        let decisions = match event {
            Event::Arrive(number) => {
                let budget = self.faults.and_then(|faults| faults.budget);
                self.retry_credit = (self.retry_credit + budget.unwrap_or(0.0)).min(100.0);
                self.router
                    .arrive(now, number, &self.outcome.requests[number])
            }
            Event::End {
                request,
                instance,
                ok,
            } => self.end(now, request, instance, ok),
            Event::Expire(number) => self.expire(now, number),
            Event::InstancesLeave(count) => self.router.set_leaving(now, count),
            Event::Tick => {
                if now < self.end {
                    self.push(now + TICK_US, Event::Tick);
                }
                self.router.tick(now)
            }
        };
        for decision in decisions {
            match decision {
                Decision::Refuse(number) => self.outcome.statuses[number] = Status::Refused,
                Decision::Dispatch { request, instance } => self.start(now, request, instance),
            }
        }
    }

    fn start(&mut self, now: u64, request: usize, instance: usize) {
        if self.running.len() <= instance {
            self.running.resize(instance + 1, 0);
        }
        self.running[instance] += 1;
        assert!(self.running[instance] <= SLOTS, "instance over its slots");
        let ok = !self.fails(now, instance);
        let run = if ok {
            self.outcome.requests[request].run
        } else {
            REJECT_US
        };
        self.outcome.used[self.outcome.requests[request].contract] += run;
        self.push(
            now + run,
            Event::End {
                request,
                instance,
                ok,
            },
        );
    }

    fn fails(&mut self, now: u64, instance: usize) -> bool {
        let second = now as f64 / 1e6;
        self.faults.is_some_and(|faults| {
            instance < faults.instances
                && (faults.period.0..faults.period.1).contains(&second)
                && self.rng.random::<f64>() < faults.share
        })
    }

    fn end(&mut self, now: u64, number: usize, instance: usize, ok: bool) -> Vec<Decision> {
        self.running[instance] -= 1;
        self.outcome.statuses[number] = if ok {
            Status::Answered(now)
        } else {
            Status::Failed
        };
        if !ok {
            self.retry(now, number, instance);
        }
        let run = ok.then(|| self.outcome.requests[number].run);
        self.router.finish(now, number, instance, run)
    }

    fn retry(&mut self, now: u64, number: usize, instance: usize) {
        let mut request = self.outcome.requests[number].clone();
        let limited = self.faults.is_some_and(|faults| faults.budget.is_some());
        if request.failed.len() >= RETRIES_MAX
            || request.deadline <= now
            || limited && self.retry_credit < 1.0
        {
            return;
        }
        self.retry_credit -= 1.0;
        self.outcome.retries += 1;
        request.failed.push(instance);
        request.arrival = now;
        self.outcome.requests.push(request);
        self.outcome.statuses.push(Status::Open);
        self.schedule(self.outcome.requests.len() - 1);
    }

    fn expire(&mut self, now: u64, number: usize) -> Vec<Decision> {
        match self.outcome.statuses[number] {
            Status::Open => self.router.expire(now, number),
            _ => Vec::new(),
        }
    }
}
