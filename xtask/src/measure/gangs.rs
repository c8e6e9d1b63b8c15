//! Gang jobs and single tasks that compete for the accelerator pool.

use rosemaryworks_core::job::{Id, Kind};
use rosemaryworks_core::size::Size;

use super::load::{Load, contract};
use super::pool::Pool;
use super::table::{Row, quantile};
use super::{BASELINES, OURS, Scenario};

/// Simulated time in milliseconds.
const DURATION_MS: u64 = 3_600_000;
/// Size of a VM of the accelerator pool.
const VM: Size = Size::new(64_000, 256_000).accelerators(8);
/// Number of VMs.
const VMS: usize = 13;

/// Gangs of 8 to 48 accelerators together with single tasks.
#[derive(Debug)]
pub(crate) struct Gangs;

impl Scenario for Gangs {
    fn name(&self) -> &'static str {
        "gangs"
    }

    fn run(&self, seed: u64) -> Vec<Row> {
        let ours = simulate(OURS, seed);
        let others = BASELINES.map(|name| (name, simulate(name, seed)));
        let figure = |index: usize| others.map(|(name, run)| (name, run[index]));
        vec![
            Row::new("gangs placed / submitted", ours[0], &figure(0)),
            Row::new(
                "gang wait p99 s, unplaced ones included",
                ours[1],
                &figure(1),
            ),
            Row::new("single task wait p99 s", ours[2], &figure(2)),
            Row::new("single tasks started", ours[3], &figure(3)),
        ]
    }
}

fn simulate(policy: &str, seed: u64) -> [f64; 4] {
    let mut load = Load::new(seed);
    let mut pool = Pool::new(policy, seed, &[VM; VMS]);
    pool.tick_ms = 100;
    pool.publish(contract("a", 1, VM.times(VMS as u64)));
    let (mut next_single, mut next_gang) = (0.0, 60_000.0);
    let mut gangs: Vec<(Id, u64)> = Vec::new();
    while pool.now < DURATION_MS {
        while next_single <= pool.now as f64 {
            let size = Size::new(4_000, 16_000).accelerators(load.random_in(1..=2));
            let mut job = load.batch("a", 1, size, 30_000);
            job.actual.fails = false;
            job.spec.work = Some("print".into());
            pool.submit(job);
            next_single += load.interarrival_ms(0.9);
        }
        while next_gang <= pool.now as f64 {
            let tasks = load.random_in(8..=48) as u32;
            let size = Size::new(4_000, 16_000).accelerators(1);
            let mut job = load.batch("a", tasks, size, 20_000);
            job.actual.fails = false;
            job.actual
                .run_ms
                .iter_mut()
                .for_each(|run| *run = (*run).min(60_000));
            job.spec.kind = Kind::Gang;
            job.spec.work = Some("preview".into());
            let submitted = pool.now;
            gangs.push((pool.submit(job), submitted));
            next_gang += load.interarrival_ms(1.0 / 60.0);
        }
        pool.tick();
    }
    figures(&pool, &gangs)
}

fn figures(pool: &Pool, gangs: &[(Id, u64)]) -> [f64; 4] {
    let queued = |id: &Id| {
        let status = pool.kernel.status(id);
        status.is_some_and(|status| status.state == rosemaryworks_core::job::State::Queued)
    };
    let placed = gangs.iter().filter(|(id, _)| !queued(id)).count();
    let unplaced = gangs.iter().filter(|(id, _)| queued(id));
    let unplaced = unplaced.map(|(_, submitted)| (DURATION_MS - submitted) as f64);
    let waits = |kind| pool.waits.iter().filter(move |wait| wait.kind == kind);
    let mut gang_waits: Vec<f64> = waits(Kind::Gang)
        .map(|wait| wait.wait_ms)
        .chain(unplaced)
        .collect();
    let mut single_waits: Vec<f64> = waits(Kind::Batch).map(|wait| wait.wait_ms).collect();
    [
        placed as f64 / gangs.len().max(1) as f64,
        quantile(&mut gang_waits, 99.0) / 1_000.0,
        quantile(&mut single_waits, 99.0) / 1_000.0,
        single_waits.len() as f64,
    ]
}
