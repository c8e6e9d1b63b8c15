//! Shares of contracts against their weights, and the effect of a greedy contract.

use rosemaryworks_core::size::Size;

use super::cell::Cell;
use super::load::{Load, contract};
use super::table::{Row, quantile};
use super::{BASELINES, OURS, Scenario};

/// Simulated time in milliseconds.
const LENGTH_MS: u64 = 900_000;
/// Milliseconds before waits are counted; nothing held back the first burst into an empty pool.
const WARM_MS: u64 = 60_000;
/// Weights of the contracts that compete.
const WEIGHTS: [u32; 3] = [1, 2, 4];

/// Fairness between contracts.
#[derive(Debug)]
pub(crate) struct Fairness;

impl Scenario for Fairness {
    fn name(&self) -> &'static str {
        "fairness"
    }

    fn run(&self, seed: u64) -> Vec<Row> {
        let ours = unfairness(OURS, seed);
        let others = BASELINES.map(|name| (name, unfairness(name, seed)));
        let greedy = greed(OURS, seed);
        let greedy_others = BASELINES.map(|name| (name, greed(name, seed)));
        vec![
            Row::new("largest distance of share from weight, %", ours, &others),
            Row::new(
                "others' p99 slowdown beside a greedy contract",
                greedy,
                &greedy_others,
            ),
        ]
    }
}

/// Returns the largest relative distance of a saturating contract's share from its weight.
fn unfairness(policy: &str, seed: u64) -> f64 {
    let mut load = Load::new(seed);
    let mut cell = Cell::new(policy, seed, &[Size::new(16_000, 32_000); 35]);
    cell.tick_ms = 100;
    for (index, weight) in WEIGHTS.iter().enumerate() {
        cell.publish(contract(
            &format!("c{index}"),
            *weight,
            Size::new(560_000, 1_120_000),
        ));
    }
    let mut shares = [0.0; WEIGHTS.len()];
    while cell.now < LENGTH_MS {
        if cell.now.is_multiple_of(20_000) {
            for index in 0..WEIGHTS.len() {
                for _ in 0..40 {
                    let size = Size::new(500 * load.within(1..=8), 500 * load.within(1..=8));
                    let work = load.batch(&format!("c{index}"), 10, size, 20_000);
                    cell.submit(work);
                }
            }
        }
        cell.tick();
        if cell.now.is_multiple_of(1_000) && cell.now > LENGTH_MS / 3 {
            for (index, share) in shares.iter_mut().enumerate() {
                *share += cell.held_by(&format!("c{index}")).millicores as f64;
            }
        }
    }
    let total: f64 = shares.iter().sum();
    let weights: u32 = WEIGHTS.iter().sum();
    let distance = |(share, weight): (&f64, &u32)| {
        let fair = f64::from(*weight) / f64::from(weights);
        (share / total / fair - 1.0).abs() * 100.0
    };
    shares
        .iter()
        .zip(&WEIGHTS)
        .map(distance)
        .fold(0.0, f64::max)
}

/// Returns how the others' p99 slowdown changes when one contract asks for far more than its share.
fn greed(policy: &str, seed: u64) -> f64 {
    others_p99(policy, seed, true) / others_p99(policy, seed, false)
}

fn others_p99(policy: &str, seed: u64, greedy: bool) -> f64 {
    let mut load = Load::new(seed);
    let mut extra = Load::new(seed + 1_000);
    let mut cell = Cell::new(policy, seed, &[Size::new(16_000, 32_000); 35]);
    for name in ["c0", "c1", "c2", "c3", "greedy"] {
        cell.publish(contract(name, 1, Size::new(560_000, 1_120_000)));
    }
    let mut next = 0.0;
    while cell.now < LENGTH_MS / 2 {
        while next <= cell.now as f64 {
            let name = format!("c{}", load.within(0..=3));
            let mut work = load.batch(&name, 1, Size::new(1_000, 2_000), 8_000);
            work.truth.fails = false;
            work.truth.run_ms[0] = work.truth.run_ms[0].clamp(2_000, 60_000);
            cell.submit(work);
            next += load.gap_ms(20.0);
        }
        if greedy && cell.now.is_multiple_of(10_000) {
            for _ in 0..50 {
                let mut work = extra.batch("greedy", 20, Size::new(1_000, 2_000), 8_000);
                work.truth.fails = false;
                work.spec.id = format!("g-{}", work.spec.id).into();
                cell.submit(work);
            }
        }
        cell.tick();
    }
    let others = cell.done.iter().filter(|done| &*done.contract != "greedy");
    let others = others.filter(|done| done.submitted >= WARM_MS);
    quantile(
        &mut others.map(|done| done.slowdown).collect::<Vec<_>>(),
        99.0,
    )
}
