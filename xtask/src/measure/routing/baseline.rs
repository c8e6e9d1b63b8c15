//! Baselines: policies without learning, fairness or refusals.

use std::collections::VecDeque;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::load::Job;
use super::sim::{Act, Router, SLOTS};

/// How a baseline chooses an instance.
#[derive(Clone, Debug)]
pub(crate) enum Choice {
    /// One queue in order of arrival; the first instance with a free slot.
    FirstFit,
    /// A queue per instance; the instance with the fewest requests.
    LeastLoaded,
    /// A queue per instance; any instance.
    Random(SmallRng),
}

/// A baseline. Requests whose callers stopped waiting leave the queue.
#[derive(Debug)]
pub(crate) struct Baseline {
    choice: Choice,
    running: Vec<usize>,
    /// Instances that get no requests, from the first on.
    leaving: usize,
    queues: Vec<VecDeque<usize>>,
    /// Requests per queue, without those whose callers stopped waiting.
    waiting: Vec<usize>,
    place: Vec<Option<usize>>,
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
            place: Vec::new(),
        }
    }

    /// Returns the queue for a new request.
    fn queue(&mut self) -> usize {
        let count = self.running.len();
        match &mut self.choice {
            Choice::FirstFit => 0,
            Choice::LeastLoaded => (self.leaving..count)
                .min_by_key(|at| self.running[*at] + self.waiting[*at])
                .unwrap_or(0),
            Choice::Random(rng) => rng.random_range(self.leaving..count),
        }
    }

    /// Returns the queue from which `instance` takes requests.
    fn source(&self, instance: usize) -> usize {
        match self.choice {
            Choice::FirstFit => 0,
            _ => instance,
        }
    }

    fn serve(&mut self) -> Vec<Act> {
        let mut acts = Vec::new();
        for instance in self.leaving..self.running.len() {
            let source = self.source(instance);
            while self.running[instance] < SLOTS {
                let Some(job) = self.queues[source].pop_front() else {
                    break;
                };
                if self.place[job].take().is_none() {
                    continue;
                }
                self.waiting[source] -= 1;
                self.running[instance] += 1;
                acts.push(Act::Start { job, instance });
            }
        }
        acts
    }
}

impl Router for Baseline {
    fn arrive(&mut self, _now: u64, number: usize, _job: &Job) -> Vec<Act> {
        let queue = self.queue();
        if self.place.len() <= number {
            self.place.resize(number + 1, None);
        }
        self.place[number] = Some(queue);
        self.waiting[queue] += 1;
        self.queues[queue].push_back(number);
        self.serve()
    }

    fn leave(&mut self, _now: u64, _job: usize, instance: usize, _run: Option<u64>) -> Vec<Act> {
        self.running[instance] -= 1;
        self.serve()
    }

    fn expire(&mut self, _now: u64, number: usize) -> Vec<Act> {
        let Some(queue) = self.place.get(number).copied().flatten() else {
            return Vec::new();
        };
        self.place[number] = None;
        self.waiting[queue] -= 1;
        vec![Act::Refuse(number)]
    }

    fn leaving(&mut self, _now: u64, count: usize) -> Vec<Act> {
        self.leaving = count;
        if matches!(self.choice, Choice::FirstFit) {
            return Vec::new();
        }
        for number in 0..self.place.len() {
            let Some(from) = self.place[number].filter(|queue| *queue < count) else {
                continue;
            };
            let to = self.queue();
            self.place[number] = Some(to);
            self.waiting[from] -= 1;
            self.waiting[to] += 1;
            self.queues[to].push_back(number);
        }
        self.queues[..count].iter_mut().for_each(VecDeque::clear);
        self.serve()
    }

    fn tick(&mut self, _now: u64) -> Vec<Act> {
        Vec::new()
    }
}
