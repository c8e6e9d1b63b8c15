//! Faults around workers that start again, which the seed draws besides the others.

use std::ops::Range;

use rand::Rng;
use rand::rngs::SmallRng;

use super::fault::{self, Fault};
use super::network::Place;
use super::worker::Down;
use super::world::Scale;

/// Time of the first of these faults in milliseconds.
const FIRST_MS: u64 = 2_000;

/// Time of the last of these faults in milliseconds. Their effects take a lease to show.
const LAST_MS: u64 = 18_000;

/// Draws single restarts, times with late calls and, for some seeds, series of faults.
pub(crate) fn draw(rng: &mut SmallRng, scale: Scale) -> Vec<(Range<u64>, Fault)> {
    let mut faults = Vec::new();
    for _ in 0..rng.random_range(1..=4) {
        let worker = rng.random_range(0..scale.workers);
        let begin_ms = rng.random_range(FIRST_MS..LAST_MS);
        faults.push(draw_restart(rng, worker, begin_ms));
    }
    for _ in 0..rng.random_range(0..=3) {
        let begin_ms = rng.random_range(FIRST_MS..LAST_MS);
        let end_ms = begin_ms + rng.random_range(500..5_000);
        faults.push((begin_ms..end_ms, draw_late_calls(rng)));
    }
    if rng.random_bool(0.6) {
        for _ in 0..rng.random_range(2..=4) {
            draw_series(rng, scale, &mut faults);
        }
    }
    faults
}

fn draw_restart(rng: &mut SmallRng, worker: usize, begin_ms: u64) -> (Range<u64>, Fault) {
    let down_ms = match rng.random_range(0..3) {
        0 => rng.random_range(50..700),
        1 => rng.random_range(500..2_000),
        _ => rng.random_range(1_500..6_000),
    };
    let down = match rng.random_range(0..3) {
        0 => Down::Refusing,
        _ => Down::Dark,
    };
    (begin_ms..begin_ms + down_ms, Fault::Restart(worker, down))
}

fn draw_late_calls(rng: &mut SmallRng) -> Fault {
    Fault::LateCalls(rng.random_range(5..50))
}

/// A worker starts again, its owner fails soon after, and the worker is cut off.
fn draw_series(rng: &mut SmallRng, scale: Scale, faults: &mut Vec<(Range<u64>, Fault)>) {
    let worker = rng.random_range(0..scale.workers);
    let begin_ms = rng.random_range(FIRST_MS..LAST_MS);
    let restart = draw_restart(rng, worker, begin_ms);
    let start_ms = restart.0.end;
    faults.push(restart);
    if rng.random_bool(0.5) {
        let late_ms = begin_ms - rng.random_range(0..2_000);
        let end_ms = start_ms + rng.random_range(0..1_500);
        faults.push((late_ms..end_ms, draw_late_calls(rng)));
    }
    let fails_ms = start_ms + rng.random_range(0..3_000);
    let lasts_ms = rng.random_range(500..6_000);
    let failure = match rng.random_range(0..2) {
        0 => Fault::OwnerCrash(lasts_ms),
        _ => Fault::OwnerPause(lasts_ms),
    };
    faults.push((fails_ms..fails_ms + lasts_ms, failure));
    let all = rng.random_bool(0.5);
    let processes = (0..scale.processes).filter(|_| all || rng.random_bool(0.6));
    let pairs = processes.map(|process| (Place::Process(process), Place::Worker(worker)));
    let pairs = pairs.collect();
    let cut_ms = start_ms + rng.random_range(0..4_000);
    let end_ms = cut_ms + rng.random_range(3_000..9_000);
    faults.push((cut_ms..end_ms, Fault::Cut(pairs, fault::draw_path(rng))));
}
