//! Arrivals grow tenfold within 2 s, above what the instances can serve.

use super::Figure;
use super::baseline::Baseline;
use super::kernel::Routing;
use super::load::{self, Stream};
use super::sim::{self, Fate, Faults, Outcome, Router, SLOTS};

const INSTANCES: usize = 12;
const RUN_MS: f64 = 50.0;
const DEADLINE_MS: u64 = 2_000;
const SECONDS: f64 = 40.0;

/// Seconds in which arrivals exceed the capacity.
const CREST: (f64, f64) = (12.0, 25.0);

/// Seconds after the crest in which the service must be as before it.
const AFTER: (f64, f64) = (29.0, 38.0);

/// Seconds from the loss of half of the instances on.
const LOSS: (f64, f64) = (18.0, 22.0);

/// Load relative to capacity: 0.3, then growing tenfold from second 10 to 12, then back.
fn shape(second: f64) -> f64 {
    match second {
        s if s < 10.0 => 0.3,
        s if s < 12.0 => 0.3 + 2.7 * (s - 10.0) / 2.0,
        s if s < 25.0 => 3.0,
        _ => 0.3,
    }
}

/// Requests per second that the instances can answer.
fn capacity() -> f64 {
    (INSTANCES * SLOTS) as f64 / (RUN_MS * load::mean_factor() / 1e3)
}

/// Measures one seed.
pub(crate) fn figures(seed: u64) -> Vec<Figure> {
    let mut figures = Vec::new();
    for name in ["fcfs-first-fit", "random", "least-loaded"] {
        let mut router = Baseline::new(name, INSTANCES, seed);
        figures.extend(served(name, &go(&mut router, None, seed)));
    }
    let mut router = Routing::new(INSTANCES, &[1]);
    figures.extend(served("kernel", &go(&mut router, None, seed)));
    for (policy, budget) in [("budget 10%", Some(0.1)), ("no budget", None)] {
        let faults = Faults {
            instances: INSTANCES / 2,
            share: 0.6,
            period: (10.0, 25.0),
            budget,
            leave: None,
        };
        let mut router = Routing::new(INSTANCES, &[1]);
        let outcome = go(&mut router, Some(faults), seed);
        let policy = format!("kernel, {policy}");
        let share = outcome.retries as f64 / outcome.jobs.len() as f64;
        figures.push(("retries / requests".into(), policy.clone(), share));
        figures.extend(served(&policy, &outcome));
    }
    figures.extend(loss(seed));
    figures
}

/// Half of the instances leave service during the crest, while the queue is as long as the
/// deadline allows.
fn loss(seed: u64) -> Vec<Figure> {
    let mut figures = Vec::new();
    for name in ["fcfs-first-fit", "random", "least-loaded", "kernel"] {
        let mut kernel = Routing::new(INSTANCES, &[1]);
        let mut baseline = Baseline::new(name, INSTANCES, seed);
        let router: &mut dyn Router = match name {
            "kernel" => &mut kernel,
            _ => &mut baseline,
        };
        let faults = Faults {
            instances: INSTANCES / 2,
            share: 0.0,
            period: (0.0, 0.0),
            budget: None,
            leave: Some(LOSS.0),
        };
        let outcome = go(router, Some(faults), seed);
        let served = in_time(&outcome, |at, _| (LOSS.0..LOSS.1).contains(&at));
        let share = served as f64 / (capacity() / 2.0 * (LOSS.1 - LOSS.0));
        let metric = "answered in time / capacity, half lost".into();
        figures.push((metric, name.into(), share));
    }
    figures
}

fn go(router: &mut dyn Router, faults: Option<Faults>, seed: u64) -> Outcome {
    let stream = Stream {
        contract: 0,
        rate: shape,
        scale: capacity(),
        run_ms: RUN_MS,
        stragglers: 0.0,
        deadline_ms: DEADLINE_MS,
    };
    let jobs = load::generate(seed, &[stream], SECONDS);
    sim::run(router, jobs, faults, seed)
}

fn served(policy: &str, outcome: &Outcome) -> [Figure; 2] {
    let crest = in_time(outcome, |at, _| (CREST.0..CREST.1).contains(&at));
    let crest = crest as f64 / (capacity() * (CREST.1 - CREST.0));
    let after = |_, arrival: f64| (AFTER.0..AFTER.1).contains(&arrival);
    let arrivals = |job: &&load::Job| after(0.0, job.arrival as f64 / 1e6);
    let offered = outcome.jobs.iter().filter(arrivals).count();
    let after = in_time(outcome, after) as f64 / offered as f64;
    [
        ("answered in time / capacity".into(), policy.into(), crest),
        (
            "answered in time / offered, after".into(),
            policy.into(),
            after,
        ),
    ]
}

/// Counts the requests answered before their deadline, by seconds of answer and arrival.
fn in_time(outcome: &Outcome, filter: impl Fn(f64, f64) -> bool) -> usize {
    let answered = outcome.jobs.iter().zip(&outcome.fates);
    answered
        .filter(|(job, fate)| match fate {
            Fate::Answered(at) => {
                *at <= job.deadline && filter(*at as f64 / 1e6, job.arrival as f64 / 1e6)
            }
            _ => false,
        })
        .count()
}
