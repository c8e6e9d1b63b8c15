//! Guards against urgent work that misses its objective on slow workers while faster ones have room,
//! and against an order of workers that changes where all are alike.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/load.rs"]
mod load;

use load::{BATCH, Load, URGENT};

const WORKERS: usize = 60;

/// One in four workers runs at 0.55, the others at 1.2.
fn two_speeds(worker: usize) -> f64 {
    if worker.is_multiple_of(4) { 0.55 } else { 1.2 }
}

/// Runs a load of 0.25 urgent and 0.4 batch work, as shares of the pool's capacity, that varies by
/// 55%. Returns the shares of both kinds that met their objectives.
fn run(speed: fn(usize) -> f64) -> (f64, f64) {
    let mut load = Load::new(WORKERS, speed);
    let capacity = 4.0 * WORKERS as f64;
    for second in 0..70_u64 {
        let phase = second as f64 * std::f64::consts::TAU / 20.0;
        let factor = (1.0 + 0.55 * phase.sin()) * capacity;
        let urgent = 0.25 * factor / (2.0 * 10.0 * 0.7);
        let batch = 0.4 * factor / (2.0 * 22.0 * 4.0);
        load.run(1_000, &[(URGENT, urgent), (BATCH, batch)]);
    }
    (
        load.in_time("urgent", 10, 60),
        load.in_time("batch", 10, 50),
    )
}

/// The same load before the speeds were learned: 0.295 of the urgent and 0.080 of the batch jobs.
#[test]
fn jobs_meet_their_objectives_in_a_pool_with_slow_workers() {
    let (urgent, batch) = run(two_speeds);
    println!("in time: urgent {urgent:.3} batch {batch:.3}");
    assert!(urgent >= 0.85, "{urgent}");
    assert!(batch >= 0.5, "{batch}");
}

/// Noise in run times must not cost jobs their objectives where all workers are alike.
#[test]
fn jobs_meet_their_objectives_in_a_pool_of_equal_workers() {
    let (urgent, batch) = run(|_| 1.0375);
    println!("in time: urgent {urgent:.3} batch {batch:.3}");
    assert!(urgent >= 0.85, "{urgent}");
    assert!(batch >= 0.85, "{batch}");
}
