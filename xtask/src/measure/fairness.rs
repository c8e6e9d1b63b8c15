//! Fairness of placement: shares of contracts relative to their weights, and the effect of a greedy
//! contract on the others.

use rosemaryworks_core::size::Size;

use super::load::{Load, contract};
use super::pool::Pool;
use super::table::{Row, quantile};
use super::{BASELINES, OURS, Scenario};

/// Simulated time in milliseconds.
const DURATION_MS: u64 = 900_000;
/// Tasks submitted before this time in milliseconds are not counted in the comparison with a greedy
/// contract, whose first burst finds an empty pool and is not limited.
const WARM_UP_MS: u64 = 60_000;
/// Weights of the competing contracts.
const WEIGHTS: [u32; 3] = [1, 2, 4];

/// Fairness between contracts.
#[derive(Debug)]
pub(crate) struct Fairness;

impl Scenario for Fairness {
    fn name(&self) -> &'static str {
        "fairness"
    }

    fn run(&self, seed: u64) -> Vec<Row> {
        let ours = share_error(OURS, seed);
        let baselines = BASELINES.map(|name| (name, share_error(name, seed)));
        let greedy = greedy_effect(OURS, seed);
        let greedy_baselines = BASELINES.map(|name| (name, greedy_effect(name, seed)));
        vec![
            Row::new("largest distance of share from weight, %", ours, &baselines),
            Row::new(
                "others' p99 slowdown beside a greedy contract",
                greedy,
                &greedy_baselines,
            ),
        ]
    }
}

/// Returns the largest relative deviation, in percent, of a contract's share from its weight when
/// all contracts saturate the pool.
fn share_error(policy: &str, seed: u64) -> f64 {
    let mut load = Load::new(seed);
    let mut pool = Pool::new(policy, seed, &[Size::new(16_000, 32_000); 35]);
    pool.tick_ms = 100;
    for (index, weight) in WEIGHTS.iter().enumerate() {
        pool.publish(contract(
            &format!("c{index}"),
            *weight,
            Size::new(560_000, 1_120_000),
        ));
    }
    let mut shares = [0.0; WEIGHTS.len()];
    while pool.now < DURATION_MS {
        if pool.now.is_multiple_of(20_000) {
            for index in 0..WEIGHTS.len() {
                for _ in 0..40 {
                    let size = Size::new(500 * load.random_in(1..=8), 500 * load.random_in(1..=8));
                    let job = load.batch(&format!("c{index}"), 10, size, 20_000);
                    pool.submit(job);
                }
            }
        }
        pool.tick();
        if pool.now.is_multiple_of(1_000) && pool.now > DURATION_MS / 3 {
            for (index, share) in shares.iter_mut().enumerate() {
                *share += pool.allocated_to(&format!("c{index}")).millicores as f64;
            }
        }
    }
    let total: f64 = shares.iter().sum();
    let weights: u32 = WEIGHTS.iter().sum();
    let deviation = |(share, weight): (&f64, &u32)| {
        let fair = f64::from(*weight) / f64::from(weights);
        (share / total / fair - 1.0).abs() * 100.0
    };
    shares
        .iter()
        .zip(&WEIGHTS)
        .map(deviation)
        .fold(0.0, f64::max)
}

/// Returns the ratio of the others' p99 slowdown with and without a contract that submits far more
/// than its share.
fn greedy_effect(policy: &str, seed: u64) -> f64 {
    others_p99(policy, seed, true) / others_p99(policy, seed, false)
}

fn others_p99(policy: &str, seed: u64, greedy: bool) -> f64 {
    let mut load = Load::new(seed);
    let mut greedy_load = Load::new(seed + 1_000);
    let mut pool = Pool::new(policy, seed, &[Size::new(16_000, 32_000); 35]);
    for name in ["c0", "c1", "c2", "c3", "greedy"] {
        pool.publish(contract(name, 1, Size::new(560_000, 1_120_000)));
    }
    let mut next = 0.0;
    while pool.now < DURATION_MS / 2 {
        while next <= pool.now as f64 {
            let name = format!("c{}", load.random_in(0..=3));
            let mut job = load.batch(&name, 1, Size::new(1_000, 2_000), 8_000);
            job.actual.fails = false;
            job.actual.run_ms[0] = job.actual.run_ms[0].clamp(2_000, 60_000);
            pool.submit(job);
            next += load.interarrival_ms(20.0);
        }
        if greedy && pool.now.is_multiple_of(10_000) {
            for _ in 0..50 {
                let mut job = greedy_load.batch("greedy", 20, Size::new(1_000, 2_000), 8_000);
                job.actual.fails = false;
                job.spec.id = format!("g-{}", job.spec.id).into();
                pool.submit(job);
            }
        }
        pool.tick();
    }
    let others = pool
        .completed
        .iter()
        .filter(|completed| &*completed.contract != "greedy");
    let others = others.filter(|completed| completed.submitted >= WARM_UP_MS);
    quantile(
        &mut others
            .map(|completed| completed.slowdown)
            .collect::<Vec<_>>(),
        99.0,
    )
}
