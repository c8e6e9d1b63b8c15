//! Head-of-line blocking: short requests together with stragglers that run 100 times as long.

use super::baseline::Baseline;
use super::kernel::KernelRouter;
use super::load::{self, STRAGGLER_FACTOR, Stream};
use super::sim::{self, Router, SLOTS, Status};
use super::{Figure, quantile};

const INSTANCES: usize = 12;
const RUN_MS: f64 = 20.0;
const SECONDS: f64 = 120.0;
const POLICIES: [&str; 4] = ["fcfs-first-fit", "random", "least-loaded", "kernel"];

/// Seconds at the start that are not counted, while the kernel learns run times.
const WARM_UP: f64 = 20.0;

/// Load of short requests relative to the capacity.
const SHORT_LOAD: f64 = 0.4;

fn constant_rate(_: f64) -> f64 {
    1.0
}

fn stream(contract: usize, load: f64, run_ms: f64, stragglers: f64) -> Stream {
    let mean = run_ms * load::mean_factor() * (1.0 + stragglers * (STRAGGLER_FACTOR - 1.0));
    Stream {
        contract,
        rate: constant_rate,
        scale: load * (INSTANCES * SLOTS) as f64 / (mean / 1e3),
        run_ms,
        stragglers,
        deadline_ms: 30_000,
    }
}

/// Returns the figures of one seed.
pub(crate) fn figures(seed: u64) -> Vec<Figure> {
    let short = stream(0, SHORT_LOAD, RUN_MS, 0.0);
    let long = |load| stream(1, load, RUN_MS * STRAGGLER_FACTOR, 0.0);
    let loads = [
        (
            "long contract, total load 0.8",
            vec![short.clone(), long(0.4)],
        ),
        (
            "long contract, total load 1.6",
            vec![short.clone(), long(1.2)],
        ),
        (
            "1% in one contract, load 0.8",
            vec![stream(0, 0.8, RUN_MS, 0.01)],
        ),
    ];
    let mut figures = Vec::new();
    for policy in POLICIES {
        let alone = slowdown(policy, std::slice::from_ref(&short), seed).0;
        figures.push(("short alone: slowdown p99".into(), policy.into(), alone));
        for (name, streams) in &loads {
            let (short, long) = slowdown(policy, streams, seed);
            let metric = format!("{name}: p99 / alone");
            figures.push((metric, policy.into(), short / alone));
            let metric = format!("{name}: long answered/s");
            figures.push((metric, policy.into(), long));
        }
    }
    figures
}

/// Returns the 99th percentile of the slowdown of short requests, and long requests per second.
fn slowdown(policy: &str, streams: &[Stream], seed: u64) -> (f64, f64) {
    let requests = load::generate(seed, streams, SECONDS);
    let mut kernel = KernelRouter::new(INSTANCES, &[1, 1]);
    let mut baseline = Baseline::new(policy, INSTANCES, seed);
    let router: &mut dyn Router = match policy {
        "kernel" => &mut kernel,
        _ => &mut baseline,
    };
    let outcome = sim::run(router, requests, None, seed);
    let short_limit_us = (RUN_MS * STRAGGLER_FACTOR / 6.0 * 1e3) as u64;
    let mut short = Vec::new();
    let mut long = 0;
    for (request, status) in outcome.requests.iter().zip(&outcome.statuses) {
        if request.arrival as f64 / 1e6 < WARM_UP {
            continue;
        }
        let end = match status {
            Status::Answered(at) => *at,
            _ => request.deadline,
        };
        match request.run < short_limit_us {
            true => short.push((end - request.arrival) as f64 / request.run as f64),
            false => long += usize::from(matches!(status, Status::Answered(_))),
        }
    }
    (quantile(short, 0.99), long as f64 / (SECONDS - WARM_UP))
}
