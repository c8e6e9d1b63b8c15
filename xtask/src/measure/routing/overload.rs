//! Overload: the arrival rate grows tenfold within 2 s and exceeds the capacity of the instances.

use super::Figure;
use super::baseline::Baseline;
use super::kernel::KernelRouter;
use super::load::{self, Stream};
use super::sim::{self, Faults, Outcome, Router, SLOTS, Status};

const INSTANCES: usize = 12;
const RUN_MS: f64 = 50.0;
const DEADLINE_MS: u64 = 2_000;
const SECONDS: f64 = 40.0;

/// Interval in seconds in which arrivals exceed the capacity.
const OVERLOAD: (f64, f64) = (12.0, 25.0);

/// Interval after the overload in seconds, in which the service must have recovered.
const AFTER: (f64, f64) = (29.0, 38.0);

/// Interval in seconds that starts with the loss of half of the instances.
const LOSS: (f64, f64) = (18.0, 22.0);

/// Returns the load relative to the capacity: 0.3, growing tenfold from second 10 to 12, and 0.3
/// again from second 25.
fn relative_load(second: f64) -> f64 {
    match second {
        s if s < 10.0 => 0.3,
        s if s < 12.0 => 0.3 + 2.7 * (s - 10.0) / 2.0,
        s if s < 25.0 => 3.0,
        _ => 0.3,
    }
}

/// Returns the requests per second that the instances can answer.
fn capacity() -> f64 {
    (INSTANCES * SLOTS) as f64 / (RUN_MS * load::mean_factor() / 1e3)
}

/// Returns the figures of one seed.
pub(crate) fn figures(seed: u64) -> Vec<Figure> {
    let mut figures = Vec::new();
    for name in ["fcfs-first-fit", "random", "least-loaded"] {
        let mut router = Baseline::new(name, INSTANCES, seed);
        figures.extend(goodput_figures(name, &simulate(&mut router, None, seed)));
    }
    let mut router = KernelRouter::new(INSTANCES, &[1]);
    figures.extend(goodput_figures(
        "kernel",
        &simulate(&mut router, None, seed),
    ));
    for (policy, budget) in [("budget 10%", Some(0.1)), ("no budget", None)] {
        let faults = Faults {
            instances: INSTANCES / 2,
            share: 0.6,
            period: (10.0, 25.0),
            budget,
            leave: None,
        };
        let mut router = KernelRouter::new(INSTANCES, &[1]);
        let outcome = simulate(&mut router, Some(faults), seed);
        let policy = format!("kernel, {policy}");
        let share = outcome.retries as f64 / outcome.requests.len() as f64;
        figures.push(("retries / requests".into(), policy.clone(), share));
        figures.extend(goodput_figures(&policy, &outcome));
    }
    figures.extend(loss_figures(seed));
    figures
}

/// Returns the goodput after half of the instances leave service during the overload, while the
/// queue is as long as the deadline allows.
fn loss_figures(seed: u64) -> Vec<Figure> {
    let mut figures = Vec::new();
    for name in ["fcfs-first-fit", "random", "least-loaded", "kernel"] {
        let mut kernel = KernelRouter::new(INSTANCES, &[1]);
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
        let outcome = simulate(router, Some(faults), seed);
        let served = count_in_time(&outcome, |at, _| (LOSS.0..LOSS.1).contains(&at));
        let share = served as f64 / (capacity() / 2.0 * (LOSS.1 - LOSS.0));
        let metric = "answered in time / capacity, half lost".into();
        figures.push((metric, name.into(), share));
    }
    figures
}

fn simulate(router: &mut dyn Router, faults: Option<Faults>, seed: u64) -> Outcome {
    let stream = Stream {
        contract: 0,
        rate: relative_load,
        scale: capacity(),
        run_ms: RUN_MS,
        stragglers: 0.0,
        deadline_ms: DEADLINE_MS,
    };
    let requests = load::generate(seed, &[stream], SECONDS);
    sim::run(router, requests, faults, seed)
}

fn goodput_figures(policy: &str, outcome: &Outcome) -> [Figure; 2] {
    let overload = count_in_time(outcome, |at, _| (OVERLOAD.0..OVERLOAD.1).contains(&at));
    let overload = overload as f64 / (capacity() * (OVERLOAD.1 - OVERLOAD.0));
    let after = |_, arrival: f64| (AFTER.0..AFTER.1).contains(&arrival);
    let arrivals = |request: &&load::Request| after(0.0, request.arrival as f64 / 1e6);
    let offered = outcome.requests.iter().filter(arrivals).count();
    let after = count_in_time(outcome, after) as f64 / offered as f64;
    [
        (
            "answered in time / capacity".into(),
            policy.into(),
            overload,
        ),
        (
            "answered in time / offered, after".into(),
            policy.into(),
            after,
        ),
    ]
}

/// Counts the requests answered before their deadline whose answer and arrival times, in seconds,
/// pass `filter`.
fn count_in_time(outcome: &Outcome, filter: impl Fn(f64, f64) -> bool) -> usize {
    let answered = outcome.requests.iter().zip(&outcome.statuses);
    answered
        .filter(|(request, status)| match status {
            Status::Answered(at) => {
                *at <= request.deadline && filter(*at as f64 / 1e6, request.arrival as f64 / 1e6)
            }
            _ => false,
        })
        .count()
}
