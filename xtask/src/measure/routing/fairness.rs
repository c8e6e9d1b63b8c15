//! Fairness of routing: shares of contracts relative to their weights, and the effect of a greedy
//! contract on the others.

use super::baseline::Baseline;
use super::kernel::KernelRouter;
use super::load::{self, Stream};
use super::sim::{self, Outcome, Router, SLOTS, Status};
use super::{Figure, quantile};

const INSTANCES: usize = 12;
const SECONDS: f64 = 60.0;
const POLICIES: [&str; 4] = ["fcfs-first-fit", "random", "least-loaded", "kernel"];
const WEIGHTS: [u32; 4] = [1, 2, 3, 4];

/// Contracts with a load of 0.1 each, which compete with the greedy one.
const LIGHT_CONTRACTS: usize = 5;

fn constant_rate(_: f64) -> f64 {
    1.0
}

fn stream(contract: usize, load: f64, run_ms: f64) -> Stream {
    Stream {
        contract,
        rate: constant_rate,
        scale: load * (INSTANCES * SLOTS) as f64 / (run_ms * load::mean_factor() / 1e3),
        run_ms,
        stragglers: 0.0,
        deadline_ms: 2_000,
    }
}

/// Returns the figures of one seed.
pub(crate) fn figures(seed: u64) -> Vec<Figure> {
    let mut figures = Vec::new();
    for policy in POLICIES {
        let error = share_error(policy, seed);
        let metric = "greatest share / weight error".into();
        figures.push((metric, policy.into(), error));
        for (name, run_ms) in [("same run time", 50.0), ("4x run time", 200.0)] {
            let metric = format!("greedy, {name}: others' p99 / without");
            let ratio = greedy_ratio(policy, run_ms, seed);
            figures.push((metric, policy.into(), ratio));
        }
    }
    figures
}

fn simulate(policy: &str, weights: &[u32], streams: &[Stream], seed: u64) -> Outcome {
    let requests = load::generate(seed, streams, SECONDS);
    let mut kernel = KernelRouter::new(INSTANCES, weights);
    let mut baseline = Baseline::new(policy, INSTANCES, seed);
    let router: &mut dyn Router = match policy {
        "kernel" => &mut kernel,
        _ => &mut baseline,
    };
    sim::run(router, requests, None, seed)
}

/// Returns the largest relative deviation of a share from its weight. Contracts have equal loads of
/// 0.8 and different run times; only the weights should matter.
fn share_error(policy: &str, seed: u64) -> f64 {
    let runs = [40.0, 60.0, 80.0, 50.0];
    let streams: Vec<_> = (0..WEIGHTS.len())
        .map(|contract| stream(contract, 0.8, runs[contract]))
        .collect();
    let outcome = simulate(policy, &WEIGHTS, &streams, seed);
    let total: u64 = outcome.used.iter().sum();
    let weights: u32 = WEIGHTS.iter().sum();
    let error = |(used, weight): (&u64, &u32)| {
        let share = *used as f64 / total as f64;
        (share / (f64::from(*weight) / f64::from(weights)) - 1.0).abs()
    };
    let errors = outcome.used.iter().zip(&WEIGHTS).map(error);
    errors.fold(0.0, f64::max)
}

fn greedy_ratio(policy: &str, run_ms: f64, seed: u64) -> f64 {
    let mut streams: Vec<_> = (0..LIGHT_CONTRACTS).map(|c| stream(c, 0.1, 50.0)).collect();
    let without = light_p99(&simulate(policy, &[1; LIGHT_CONTRACTS + 1], &streams, seed));
    streams.push(stream(LIGHT_CONTRACTS, 3.0, run_ms));
    let with = light_p99(&simulate(policy, &[1; LIGHT_CONTRACTS + 1], &streams, seed));
    with / without
}

fn light_p99(outcome: &Outcome) -> f64 {
    let requests = outcome.requests.iter().zip(&outcome.statuses);
    let light = requests
        .filter(|(request, _)| request.contract < LIGHT_CONTRACTS && request.arrival > 10_000_000);
    let times = light.map(|(request, status)| {
        let end = match status {
            Status::Answered(at) => *at,
            _ => request.deadline,
        };
        (end - request.arrival) as f64
    });
    quantile(times.collect(), 0.99)
}
