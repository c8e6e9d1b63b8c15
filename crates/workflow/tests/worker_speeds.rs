//! Guards against urgent work that misses its objective on slow workers while faster ones have room,
//! and against an order of workers that changes where all are alike.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/load.rs"]
mod load;

use load::{BATCH, Load, URGENT};
use rosemaryworks_workflow::{Id, Step};

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

/// Returns a pool whose slow workers are known, without work.
fn known_pool() -> Load {
    let mut load = Load::new(WORKERS, two_speeds);
    load.run(15_000, &[(URGENT, 10.0)]);
    load.run(15_000, &[]);
    assert_eq!(load.open(), 0);
    load
}

/// Submits a step and returns how many of its tasks are started without delay on fast and on slow workers.
fn place(load: &mut Load, step: Step) -> (usize, usize) {
    load.fleet.orders.clear();
    load.fleet.shard.submit(
        Id(99_999),
        "urgent".into(),
        fleet::spec(vec![step]),
        load.fleet.now_ms,
    );
    // The starts in flight are limited.
    (0..10).for_each(|_| load.fleet.tick());
    let orders = load.fleet.orders.iter();
    let is_slow = |worker: &str| {
        let number: usize = worker[1..].parse().expect("a number");
        two_speeds(number) < 1.0
    };
    let slow = orders.filter(|order| is_slow(&order.worker)).count();
    (load.fleet.orders.len() - slow, slow)
}

/// A gang waits for its slowest member, so one slow worker slows all of it.
#[test]
fn a_gang_avoids_slow_workers() {
    let gang = Step {
        gang: true,
        image: "gang".into(),
        ..fleet::step(100)
    };
    assert_eq!(place(&mut known_pool(), gang), (100, 0));
}

/// Work must not wait for a fast worker while a slow one is free.
#[test]
fn work_takes_slow_workers_if_no_other_is_free() {
    let wide = Step {
        image: "urgent".into(),
        ..fleet::step(4 * WORKERS as u32)
    };
    assert_eq!(place(&mut known_pool(), wide), (180, 60));
}
