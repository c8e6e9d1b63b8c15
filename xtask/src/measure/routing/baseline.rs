//! Baseline policies, without learned run times, fairness or admission control.

use std::collections::VecDeque;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::load::Request;
use super::sim::{Decision, Router, SLOTS};

/// How a baseline chooses an instance.
#[derive(Clone, Debug)]
pub(crate) enum Choice {
    /// One FIFO queue; takes the first instance with a free slot.
    FirstFit,
    /// A queue per instance; takes the instance with the fewest requests.
    LeastLoaded,
    /// A queue per instance; takes a random instance.
    Random(SmallRng),
}

/// A baseline router. Expired requests are skipped when they reach the head of their queue.
#[derive(Debug)]
pub(crate) struct Baseline {
    choice: Choice,
    running: Vec<usize>,
    /// Number of instances that get no requests, counted from the first.
    leaving: usize,
    queues: Vec<VecDeque<usize>>,
    /// Waiting requests per queue, without expired ones.
    waiting: Vec<usize>,
    /// Queue of each request by its number, `None` once it is dispatched or expired.
    request_queues: Vec<Option<usize>>,
}

impl Baseline {
    /// Creates the baseline `name` for `instances`.
    pub(crate) fn new(name: &str, instances: usize, seed: u64) -> Self {
        let choice = match name {
            "least-loaded" => Choice::LeastLoaded,
            "random" => Choice::Random(SmallRng::seed_from_u64(seed)),
            _ => Choice::FirstFit,
        };
        Self {
            choice,
            running: vec![0; instances],
            leaving: 0,
            queues: vec![VecDeque::new(); instances],
            waiting: vec![0; instances],
            request_queues: Vec::new(),
        }
    }

    /// Returns the index of the queue for a new request.
    fn choose_queue(&mut self) -> usize {
        let count = self.running.len();
        match &mut self.choice {
            Choice::FirstFit => 0,
            Choice::LeastLoaded => (self.leaving..count)
                .min_by_key(|index| self.running[*index] + self.waiting[*index])
                .unwrap_or(0),
            Choice::Random(random) => random.random_range(self.leaving..count),
        }
    }

    /// Returns the index of the queue from which `instance` takes requests.
    fn source_queue(&self, instance: usize) -> usize {
        match self.choice {
            Choice::FirstFit => 0,
            _ => instance,
        }
    }

    fn dispatch(&mut self) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for instance in self.leaving..self.running.len() {
            let queue = self.source_queue(instance);
            while self.running[instance] < SLOTS {
                let Some(request) = self.queues[queue].pop_front() else {
                    break;
                };
                if self.request_queues[request].take().is_none() {
                    continue;
                }
                self.waiting[queue] -= 1;
                self.running[instance] += 1;
                decisions.push(Decision::Dispatch { request, instance });
            }
        }
        decisions
    }
}

impl Router for Baseline {
    fn arrive(&mut self, _now: u64, number: usize, _request: &Request) -> Vec<Decision> {
        let queue = self.choose_queue();
        if self.request_queues.len() <= number {
            self.request_queues.resize(number + 1, None);
        }
        self.request_queues[number] = Some(queue);
        self.waiting[queue] += 1;
        self.queues[queue].push_back(number);
        self.dispatch()
    }

    fn finish(
        &mut self,
        _now: u64,
        _request: usize,
        instance: usize,
        _run: Option<u64>,
    ) -> Vec<Decision> {
        self.running[instance] -= 1;
        self.dispatch()
    }

    fn expire(&mut self, _now: u64, number: usize) -> Vec<Decision> {
        let Some(queue) = self.request_queues.get(number).copied().flatten() else {
            return Vec::new();
        };
        self.request_queues[number] = None;
        self.waiting[queue] -= 1;
        vec![Decision::Refuse(number)]
    }

    fn set_leaving(&mut self, _now: u64, count: usize) -> Vec<Decision> {
        self.leaving = count;
        if matches!(self.choice, Choice::FirstFit) {
            return Vec::new();
        }
        for number in 0..self.request_queues.len() {
            let Some(from) = self.request_queues[number].filter(|queue| *queue < count) else {
                continue;
            };
            let to = self.choose_queue();
            self.request_queues[number] = Some(to);
            self.waiting[from] -= 1;
            self.waiting[to] += 1;
            self.queues[to].push_back(number);
        }
        self.queues[..count].iter_mut().for_each(VecDeque::clear);
        self.dispatch()
    }

    fn tick(&mut self, _now: u64) -> Vec<Decision> {
        Vec::new()
    }
}
