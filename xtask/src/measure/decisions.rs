//! Decision time, placements per second and growth with the number of workers.

use rosemaryworks_core::job::{Kind, Priority};
use rosemaryworks_core::size::Size;

use super::cell::Cell;
use super::load::{Load, Work, contract};
use super::table::{Row, quantile};
use super::{BASELINES, OURS, Scenario};

/// Numbers of workers compared.
const WORKERS: [usize; 4] = [96, 1_000, 5_000, 25_000];
/// Task starts per second and worker at the peak: 5,100 at 25,000 workers.
const STARTS_PER_WORKER: f64 = 5_100.0 / 25_000.0;
/// Run time of a batch task in the middle in milliseconds.
const RUN_MS: u64 = 15_000;
/// Milliseconds before figures are taken; the pool is filled then.
const WARM_MS: u64 = 30_000;
/// Milliseconds during which figures are taken.
const TAKEN_MS: u64 = 10_000;
/// Number of contracts.
const CONTRACTS: u64 = 180;

/// Decision time at several sizes of the pool.
#[derive(Debug)]
pub(crate) struct Decisions;

/// Figures of one run.
#[derive(Clone, Copy, Debug)]
struct Figures {
    placing_p99_us: f64,
    list_us: f64,
    p50_us: f64,
    p99_us: f64,
    max_us: f64,
    core_share: f64,
    per_second: f64,
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
        let mut smallest = 0.0;
        for workers in WORKERS {
            let ours = measure(OURS, seed, workers);
            let others: Vec<_> = BASELINES
                .iter()
                .map(|name| (*name, measure(name, seed, workers)))
                .collect();
            let mut add = |name: &str, figure: fn(&Figures) -> f64| {
                let others: Vec<_> = others
                    .iter()
                    .map(|(name, run)| (*name, figure(run)))
                    .collect();
                rows.push(Row::new(
                    format!("{name}, {workers} workers"),
                    figure(&ours),
                    &others,
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
            if smallest == 0.0 {
                smallest = ours.burst;
            }
            let growth = smallest / ours.burst;
            rows.push(Row::new(
                format!("cost of a placement against 96, {workers} workers"),
                growth,
                &[],
            ));
        }
        rows
    }
}

fn measure(policy: &str, seed: u64, workers: usize) -> Figures {
    let mut load = Load::new(seed);
    let mut cell = Cell::new(policy, seed, &vec![Size::new(16_000, 32_000); workers]);
    let all = Size::new(16_000, 32_000).times(workers as u64);
    for index in 0..CONTRACTS {
        cell.publish(contract(&format!("c{index}"), 1 + (index % 4) as u32, all));
    }
    fill_services(&mut cell, &mut load, workers);
    drive(&mut cell, &mut load, workers, WARM_MS);
    cell.cost = Default::default();
    drive(&mut cell, &mut load, workers, TAKEN_MS);
    let taken = std::mem::take(&mut cell.cost);
    let (mut calls, mut placing) = (taken.calls_us, taken.placing_us);
    let list_us = cell.list();
    let burst = burst(&mut cell, &mut load, workers);
    Figures {
        placing_p99_us: quantile(&mut placing, 99.0),
        list_us,
        p50_us: quantile(&mut calls, 50.0),
        p99_us: quantile(&mut calls, 99.0),
        max_us: quantile(&mut calls, 100.0),
        core_share: taken.total_s * 1_000.0 / TAKEN_MS as f64,
        per_second: taken.placements as f64 * 1_000.0 / TAKEN_MS as f64,
        burst,
    }
}

/// Submits a fifth of the running tasks as services.
fn fill_services(cell: &mut Cell, load: &mut Load, workers: usize) {
    for _ in 0..workers / 10 {
        let mut work = piece(load, 10, u64::MAX / 4);
        work.spec.kind = Kind::Service;
        work.truth.fails = false;
        cell.submit(work);
    }
}

fn drive(cell: &mut Cell, load: &mut Load, workers: usize, millis: u64) {
    let end = cell.now + millis;
    let rate = STARTS_PER_WORKER * workers as f64;
    let mut due = 0.0;
    while cell.now < end {
        due += rate * cell.tick_ms as f64 / 1_000.0;
        while due >= 1.0 {
            let work = mixed(load);
            due -= f64::from(work.spec.tasks);
            cell.submit(work);
        }
        cell.tick();
    }
}

fn mixed(load: &mut Load) -> Work {
    let tasks = load.within(1..=10) as u32;
    let mut work = piece(load, tasks, RUN_MS);
    match load.within(0..=19) {
        0 => work.spec.kind = Kind::Gang,
        1..=4 => work.spec.priority = Priority::Urgent,
        5..=9 => work.spec.priority = Priority::Nightly,
        _ => {}
    }
    work
}

fn piece(load: &mut Load, tasks: u32, run_ms: u64) -> Work {
    let contract = format!("c{}", load.within(0..=CONTRACTS - 1));
    let size = Size::new(500 * load.within(1..=4), 500 * load.within(1..=6));
    load.batch(&contract, tasks, size, run_ms)
}

/// Returns the placements per second of kernel time while a burst is placed.
fn burst(cell: &mut Cell, load: &mut Load, workers: usize) -> f64 {
    cell.cost = Default::default();
    for _ in 0..workers / 8 {
        let mut work = piece(load, 8, 100);
        work.truth.fails = false;
        work.spec.size = Size::new(100, 100);
        work.truth.used = work.spec.size;
        cell.submit(work);
    }
    let wanted = (workers / 2) as u64;
    for _ in 0..1_000 {
        if cell.cost.placements >= wanted {
            break;
        }
        cell.tick();
    }
    cell.cost.placements as f64 / cell.cost.total_s
}
