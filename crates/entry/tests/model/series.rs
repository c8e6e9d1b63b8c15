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
const LAST_MS: u64 = 44_000;

/// Adds single restarts, times with late calls and, for some seeds, series of faults in place of
/// most others.
pub(crate) fn draw(rng: &mut SmallRng, scale: Scale, faults: &mut Vec<(Range<u64>, Fault)>) {
    let has_series = rng.random_bool(0.85);
    if has_series {
        faults.truncate(rng.random_range(0..=3));
    }
    for _ in 0..rng.random_range(1..=5) {
        let worker = rng.random_range(0..scale.workers);
        let begin_ms = rng.random_range(FIRST_MS..LAST_MS);
        faults.push(draw_restart(rng, worker, begin_ms));
    }
    for _ in 0..rng.random_range(0..=3) {
        let begin_ms = rng.random_range(FIRST_MS..LAST_MS);
        let end_ms = begin_ms + rng.random_range(500..5_000);
        let worker = rng.random_range(0..scale.workers);
        faults.push((begin_ms..end_ms, draw_late_calls(rng, worker)));
    }
    if has_series {
        for _ in 0..rng.random_range(4..=8) {
            draw_series(rng, scale, faults);
        }
    }
}

fn draw_restart(rng: &mut SmallRng, worker: usize, begin_ms: u64) -> (Range<u64>, Fault) {
    let down_ms = match rng.random_range(0..5) {
        0 => rng.random_range(20..250),
        1 | 2 => rng.random_range(50..700),
        3 => rng.random_range(500..2_000),
        _ => rng.random_range(1_500..6_000),
    };
    let down = match rng.random_range(0..3) {
        0 => Down::Refusing,
        _ => Down::Dark,
    };
    (begin_ms..begin_ms + down_ms, Fault::Restart(worker, down))
}

fn draw_late_calls(rng: &mut SmallRng, worker: usize) -> Fault {
    Fault::LateCalls(worker, rng.random_range(10..50))
}

/// A worker starts again, perhaps behind a cut, its owner fails soon after, and the worker is cut off.
fn draw_series(rng: &mut SmallRng, scale: Scale, faults: &mut Vec<(Range<u64>, Fault)>) {
    let worker = rng.random_range(0..scale.workers);
    let begin_ms = rng.random_range(FIRST_MS..LAST_MS);
    let restart = draw_restart(rng, worker, begin_ms);
    let mut reached_ms = restart.0.end;
    faults.push(restart);
    if rng.random_bool(0.6) {
        let late_ms = begin_ms.saturating_sub(rng.random_range(500..6_000));
        let end_ms = begin_ms + rng.random_range(0..500);
        faults.push((late_ms..end_ms, draw_late_calls(rng, worker)));
    }
    if rng.random_bool(0.7) {
        let cut_ms = rng.random_range(begin_ms..reached_ms);
        reached_ms += rng.random_range(500..4_000);
        faults.push((cut_ms..reached_ms, draw_cut(rng, scale, worker, 1.0)));
    }
    let cut_ms = reached_ms + rng.random_range(300..3_000);
    let fails_ms = (cut_ms + rng.random_range(0..2_000)).saturating_sub(500);
    let lasts_ms = rng.random_range(500..6_000);
    let failure = match rng.random_range(0..2) {
        0 => Fault::OwnerCrash(lasts_ms),
        _ => Fault::OwnerPause(lasts_ms),
    };
    if rng.random_bool(0.6) {
        faults.push((fails_ms..fails_ms + lasts_ms, failure));
    }
    let end_ms = cut_ms + rng.random_range(5_000..12_000);
    let share = [0.6, 1.0][rng.random_range(0..2)];
    faults.push((cut_ms..end_ms, draw_cut(rng, scale, worker, share)));
}

/// Draws a cut between a worker and a share of the processes.
fn draw_cut(rng: &mut SmallRng, scale: Scale, worker: usize, share: f64) -> Fault {
    let processes = (0..scale.processes).filter(|_| rng.random_bool(share));
    let pairs = processes.map(|process| (Place::Process(process), Place::Worker(worker)));
    let pairs = pairs.collect();
    Fault::Cut(pairs, fault::draw_path(rng))
}
