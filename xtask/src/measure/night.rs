//! Share of nightly jobs that finish by the morning while other jobs run.

use rosemaryworks_core::job::{Id, Priority, State};
use rosemaryworks_core::size::Size;

use super::load::{Load, contract};
use super::pool::Pool;
use super::table::Row;
use super::{BASELINES, OURS, Scenario};

/// Length of the night in milliseconds.
const NIGHT_MS: u64 = 8 * 3_600_000;
/// Nightly jobs submitted in the first hour.
const NIGHTLY_JOBS: u64 = 400;
/// Other jobs submitted per second all night.
const OTHER_PER_SECOND: f64 = 0.15;

/// Nightly jobs of the first deployment.
#[derive(Debug)]
pub(crate) struct Night;

impl Scenario for Night {
    fn name(&self) -> &'static str {
        "night"
    }

    fn run(&self, seed: u64) -> Vec<Row> {
        let ours = simulate(OURS, seed);
        let others = BASELINES.map(|name| (name, simulate(name, seed)));
        let share = others.map(|(name, run)| (name, run.0));
        let last = others.map(|(name, run)| (name, run.1));
        vec![
            Row::new("share of jobs finished by morning", ours.0, &share),
            Row::new("hours to the end of the last job", ours.1, &last),
        ]
    }
}

fn simulate(policy: &str, seed: u64) -> (f64, f64) {
    let mut load = Load::new(seed);
    let mut pool = Pool::new(policy, seed, &[Size::new(16_000, 32_000); 35]);
    pool.tick_ms = 500;
    for index in 0..20 {
        let size = Size::new(560_000, 1_120_000);
        pool.publish(contract(&format!("c{index}"), 1 + index % 4, size));
    }
    let mut nightly: Vec<Id> = Vec::new();
    let (mut next, mut next_nightly) = (0.0, 0.0);
    while pool.now < NIGHT_MS {
        while next <= pool.now as f64 {
            let contract = format!("c{}", load.random_in(0..=19));
            let size = Size::new(500 * load.random_in(1..=8), 1_000 * load.random_in(1..=8));
            let tasks = load.random_in(1..=6) as u32;
            let job = load.batch(&contract, tasks, size, 60_000);
            pool.submit(job);
            next += load.interarrival_ms(OTHER_PER_SECOND);
        }
        while next_nightly <= pool.now as f64 && (nightly.len() as u64) < NIGHTLY_JOBS {
            nightly.push(submit_nightly(&mut pool, &mut load));
            next_nightly += load.interarrival_ms(NIGHTLY_JOBS as f64 / 3_600.0);
        }
        pool.tick();
    }
    let ends: Vec<_> = nightly.iter().filter_map(|id| pool.ended.get(id)).collect();
    let succeeded = ends.iter().filter(|end| end.0 == State::Succeeded).count();
    let last = ends.iter().map(|end| end.1).max().unwrap_or(NIGHT_MS);
    let last = if ends.len() < nightly.len() {
        NIGHT_MS
    } else {
        last
    };
    (
        succeeded as f64 / nightly.len() as f64,
        last as f64 / 3_600_000.0,
    )
}

fn submit_nightly(pool: &mut Pool, load: &mut Load) -> Id {
    let contract = format!("c{}", load.random_in(0..=19));
    let size = Size::new(1_000 * load.random_in(1..=4), 1_000 * load.random_in(1..=8));
    let mut job = load.batch(&contract, 20, size, 120_000);
    job.actual.fails = false;
    // No policy can finish a task that runs longer than the rest of the night.
    job.actual
        .run_ms
        .iter_mut()
        .for_each(|run| *run = (*run).min(3 * 3_600_000));
    job.spec.priority = Priority::Nightly;
    job.spec.work = Some("statements".into());
    job.spec.deadline_ms = Some(NIGHT_MS - pool.now);
    pool.submit(job)
}
