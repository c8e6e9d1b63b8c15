//! Expected run times of tasks, learned from the attempts that have completed. There is no reliable
//! source for them: the estimate of a step may be off by a factor of 10, absurd or missing.

mod average;
mod expectation;
mod speed;

use std::hash::Hash;
use std::sync::Arc;

use foldhash::HashMap;
use rosemaryworks_core::size::Size;

use crate::run_times::average::Average;

pub use crate::run_times::expectation::Expectation;
pub use crate::run_times::speed::Speed;

/// Upper bound of the classes that are known at a time.
const CLASSES_MAX: usize = 512;

/// Upper bound of the queues that are known at a time.
const QUEUES_MAX: usize = 64;

/// Samples that the average of a class, or of a queue, holds at most.
const SAMPLES_MAX: f64 = 30.0;

/// Weight of the prior in samples.
const PRIOR_WEIGHT: f64 = 2.0;

/// Shortest run time that counts, in milliseconds.
const MIN_MS: f64 = 20.0;

/// Longest run time that counts, in milliseconds.
const MAX_MS: f64 = 3_600_000.0;

/// Standard deviation of the logarithm of run times before any sample.
const INITIAL_SPREAD: f64 = 0.5;

/// Factor by which runs outside the preferred rack take longer. They take 1.5 to 2 times as long.
pub(crate) const REMOTE_FACTOR: f64 = 1.75;

/// Smallest share of a task's work from which its run time is inferred.
const MIN_SHARE: f64 = 0.3;

/// Tasks that run for about the same time.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Class {
    /// Name of the queue.
    pub queue: Arc<str>,
    /// Image that the tasks run.
    pub image: Arc<str>,
    /// Resources that a task requests.
    pub size: Size,
}

/// A completed attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Time that it took in milliseconds.
    pub took_ms: u64,
    /// Share of the task's work that was done in this time.
    pub share: f64,
    /// Whether it ran outside the preferred rack of the step.
    pub is_remote: bool,
    /// Whether it belonged to a gang, whose members wait for each other.
    pub is_gang: bool,
    /// Estimated run time of the step in milliseconds; 0 if there is none.
    pub estimate_ms: u64,
}

/// Run times by class.
#[derive(Debug, Default)]
pub struct RunTimes {
    classes: HashMap<Class, Average>,
    queues: HashMap<Arc<str>, Average>,
    /// Run times on all workers, by queue, against which workers are judged. The average of a class
    /// doesn't serve for that: the shortest tasks of a step end first, on the fastest workers.
    references: HashMap<Arc<str>, Average>,
}

impl RunTimes {
    /// Learns from an attempt that has completed on a worker with `speed`.
    pub fn observe(&mut self, class: &Class, sample: &Sample, speed: &mut Speed, now_ms: u64) {
        if sample.share.is_nan() || sample.share < MIN_SHARE {
            return;
        }
        let mut took_ms = sample.took_ms as f64 / sample.share.min(1.0);
        if sample.is_remote {
            took_ms /= REMOTE_FACTOR;
        }
        let log = limited(took_ms).ln();
        let normal = log - speed.log(now_ms);
        insert(&mut self.classes, class, CLASSES_MAX, normal, now_ms);
        insert(&mut self.queues, &class.queue, QUEUES_MAX, normal, now_ms);
        if sample.is_gang {
            return;
        }
        let reference = self.references.get(&class.queue);
        if let Some(reference) = reference.filter(|reference| reference.is_settled(now_ms)) {
            let spread = reference.variance().sqrt();
            speed.observe(log - reference.mean(), spread, now_ms);
        }
        insert(&mut self.references, &class.queue, QUEUES_MAX, log, now_ms);
    }

    /// Returns the run time of a task on a worker of normal speed; `None` if nothing is known and
    /// there is no estimate.
    #[must_use]
    pub fn expect(&self, class: &Class, estimate_ms: u64, now_ms: u64) -> Option<Expectation> {
        let estimate = (estimate_ms > 0).then(|| Expectation {
            log: limited(estimate_ms as f64).ln(),
            spread: INITIAL_SPREAD,
            is_learned: false,
        });
        let of_queue = match self.queues.get(&class.queue) {
            Some(average) => Some(shrink(average, estimate, now_ms)),
            None => estimate,
        };
        match self.classes.get(class) {
            Some(average) => Some(Expectation {
                is_learned: average.is_settled(now_ms),
                ..shrink(average, of_queue, now_ms)
            }),
            // Other images of the queue say nothing about a worker's speed on this one.
            None => of_queue.map(|expected| Expectation {
                is_learned: false,
                ..expected
            }),
        }
    }

    /// Returns the number of classes that are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.classes.len()
    }

    /// Returns whether nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.classes.is_empty()
    }
}

/// Limits a run time in milliseconds to what counts.
fn limited(ms: f64) -> f64 {
    ms.clamp(MIN_MS, MAX_MS)
}

/// Combines an average with its prior.
fn shrink(average: &Average, prior: Option<Expectation>, now_ms: u64) -> Expectation {
    let weight = average.weight(now_ms);
    let (log, spread) = match prior {
        Some(prior) => {
            let total = weight + PRIOR_WEIGHT;
            let variance = weight * average.variance() + PRIOR_WEIGHT * INITIAL_SPREAD.powi(2);
            let log = (weight * average.mean() + PRIOR_WEIGHT * prior.log) / total;
            (log, (variance / total).sqrt())
        }
        None => (
            average.mean(),
            average.variance().sqrt().max(INITIAL_SPREAD),
        ),
    };
    Expectation {
        log,
        spread,
        is_learned: true,
    }
}

/// Adds a sample to the average of a key. A new key replaces the one that was not seen for longest.
fn insert<K: Clone + Eq + Hash>(
    averages: &mut HashMap<K, Average>,
    key: &K,
    limit: usize,
    log: f64,
    now_ms: u64,
) {
    if let Some(average) = averages.get_mut(key) {
        average.add(log, SAMPLES_MAX, now_ms);
        return;
    }
    if averages.len() >= limit {
        let oldest = averages.iter().min_by_key(|(_, average)| average.seen_ms());
        let oldest = oldest.map(|(key, _)| key.clone());
        oldest.map(|key| averages.remove(&key));
    }
    let mut average = Average::default();
    average.add(log, SAMPLES_MAX, now_ms);
    averages.insert(key.clone(), average);
}
