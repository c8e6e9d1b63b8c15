//! Time of placement calls, placements per second and their growth with the number of workers.

use rosemaryworks_core::job::{Kind, Priority};
use rosemaryworks_core::size::Size;

use super::load::{Job, Load, contract};
use super::pool::Pool;
use super::table::{Row, quantile};
use super::{BASELINES, OURS, Scenario};

/// Numbers of workers compared.
const WORKERS: [usize; 4] = [96, 1_000, 5_000, 25_000];
/// Task starts per second and worker at the peak: 5,100 at 25,000 workers.
const STARTS_PER_WORKER: f64 = 5_100.0 / 25_000.0;
/// Median run time of a batch task in milliseconds.
const RUN_MS: u64 = 15_000;
/// Milliseconds of load before the measurement, after which the pool is full.
const WARM_UP_MS: u64 = 30_000;
/// Length of the measurement in milliseconds.
const MEASURED_MS: u64 = 10_000;
/// Number of contracts.
const CONTRACTS: u64 = 180;

/// Median run time of a service task in milliseconds: ten years.
const SERVICE_RUN_MS: u64 = 10 * 365 * 24 * 3_600_000;

/// Time of placement calls at several pool sizes.
#[derive(Debug)]
pub(crate) struct Decisions {
    /// Largest number of workers.
    pub(crate) workers_max: usize,
}

/// Figures of one run.
#[derive(Clone, Copy, Debug)]
struct Figures {
    placing_p99_us: f64,
    /// Time of the call that updates the list of workers.
    list_us: f64,
    p50_us: f64,
    p99_us: f64,
    max_us: f64,
    /// Kernel time per second of load at the peak rate.
    core_share: f64,
    /// Placements per second of load at the peak rate.
    per_second: f64,
    /// Placements per second of kernel time in a burst.
    burst: f64,
}

impl Scenario for Decisions {
    fn name(&self) -> &'static str {
        "decisions"
    }

    fn is_timed(&self) -> bool {
        true
    }

    fn run(&self, seed: u64) -> Vec<Row> {
        let mut rows = Vec::new();
        let mut reference = 0.0;
        for workers in WORKERS.into_iter().filter(|n| *n <= self.workers_max) {
            let ours = measure(OURS, seed, workers);
            let baselines: Vec<_> = BASELINES
                .iter()
                .map(|name| (*name, measure(name, seed, workers)))
                .collect();
            let mut add = |name: &str, figure: fn(&Figures) -> f64| {
                let baselines: Vec<_> = baselines
                    .iter()
                    .map(|(name, run)| (*name, figure(run)))
                    .collect();
                rows.push(Row::new(
                    format!("{name}, {workers} workers"),
                    figure(&ours),
                    &baselines,
                ));
            };
            add("placing call p99 us", |run| run.placing_p99_us);
            add("list call us", |run| run.list_us);
            add("call p50 us", |run| run.p50_us);
            add("call p99 us", |run| run.p99_us);
            add("call max us", |run| run.max_us);
            add("share of a core at the peak rate", |run| run.core_share);
            add("placements/s at the peak rate", |run| run.per_second);
            add("placements per s of one core, burst", |run| run.burst);
            if reference == 0.0 {
                reference = ours.burst;
            }
            let relative_cost = reference / ours.burst;
            rows.push(Row::new(
                format!("cost of a placement against 96, {workers} workers"),
                relative_cost,
                &[],
            ));
        }
        rows
    }
}

fn measure(policy: &str, seed: u64, workers: usize) -> Figures {
    let mut load = Load::new(seed);
    let mut pool = Pool::new(policy, seed, &vec![Size::new(16_000, 32_000); workers]);
    let all = Size::new(16_000, 32_000).times(workers as u64);
    for index in 0..CONTRACTS {
        pool.publish(contract(&format!("c{index}"), 1 + (index % 4) as u32, all));
    }
    fill_services(&mut pool, &mut load, workers);
    run_load(&mut pool, &mut load, workers, WARM_UP_MS);
    pool.kernel_time = Default::default();
    run_load(&mut pool, &mut load, workers, MEASURED_MS);
    let kernel_time = std::mem::take(&mut pool.kernel_time);
    let (mut calls, mut placing) = (kernel_time.calls_us, kernel_time.placing_us);
    let list_us = pool.update_workers();
    let burst = burst(&mut pool, &mut load, workers);
    Figures {
        placing_p99_us: quantile(&mut placing, 99.0),
        list_us,
        p50_us: quantile(&mut calls, 50.0),
        p99_us: quantile(&mut calls, 99.0),
        max_us: quantile(&mut calls, 100.0),
        core_share: kernel_time.total_s * 1_000.0 / MEASURED_MS as f64,
        per_second: kernel_time.placements as f64 * 1_000.0 / MEASURED_MS as f64,
        burst,
    }
}

/// Submits service jobs that make up a fifth of the running tasks.
fn fill_services(pool: &mut Pool, load: &mut Load, workers: usize) {
    for _ in 0..workers / 10 {
        let mut job = random_job(load, 10, SERVICE_RUN_MS);
        job.spec.kind = Kind::Service;
        job.actual.fails = false;
        pool.submit(job);
    }
}

fn run_load(pool: &mut Pool, load: &mut Load, workers: usize, millis: u64) {
    let end = pool.now + millis;
    let rate = STARTS_PER_WORKER * workers as f64;
    let mut due = 0.0;
    while pool.now < end {
        due += rate * pool.tick_ms as f64 / 1_000.0;
        while due >= 1.0 {
            let job = mixed_job(load);
            due -= f64::from(job.spec.tasks);
            pool.submit(job);
        }
        pool.tick();
    }
}

fn mixed_job(load: &mut Load) -> Job {
    let tasks = load.random_in(1..=10) as u32;
    let mut job = random_job(load, tasks, RUN_MS);
    match load.random_in(0..=19) {
        0 => job.spec.kind = Kind::Gang,
        1..=4 => job.spec.priority = Priority::Urgent,
        5..=9 => job.spec.priority = Priority::Nightly,
        _ => {}
    }
    job
}

fn random_job(load: &mut Load, tasks: u32, run_ms: u64) -> Job {
    let contract = format!("c{}", load.random_in(0..=CONTRACTS - 1));
    let size = Size::new(500 * load.random_in(1..=4), 500 * load.random_in(1..=6));
    load.batch(&contract, tasks, size, run_ms)
}

/// Submits a burst of small jobs and returns the placements per second of kernel time.
fn burst(pool: &mut Pool, load: &mut Load, workers: usize) -> f64 {
    pool.kernel_time = Default::default();
    for _ in 0..workers / 8 {
        let mut job = random_job(load, 8, 100);
        job.actual.fails = false;
        job.spec.size = Size::new(100, 100);
        job.actual.used = job.spec.size;
        pool.submit(job);
    }
    let wanted = (workers / 2) as u64;
    for _ in 0..1_000 {
        if pool.kernel_time.placements >= wanted {
            break;
        }
        pool.tick();
    }
    pool.kernel_time.placements as f64 / pool.kernel_time.total_s
}
