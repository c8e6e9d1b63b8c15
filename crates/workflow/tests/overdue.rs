//! Guards against work that can't be of use any more delaying work that can, and against overdue work
//! that never runs.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/load.rs"]
mod load;

use fleet::Fleet;
use load::{Load, URGENT};
use rosemaryworks_workflow::{Id, Record};

const WORKERS: usize = 15;

/// Jobs per second that the pool can serve.
const CAPACITY: f64 = 4.0 * WORKERS as f64 / (2.0 * 10.0 * 0.7);

/// A surge of five times the capacity for 8 s left a backlog that every later job waited for: with the
/// order of acceptance alone, no job of the time from 6 s after it was of use.
#[test]
fn overdue_work_doesnt_delay_work_after_a_surge() {
    let mut load = Load::new(WORKERS, |_| 1.0);
    load.run(10_000, &[(URGENT, 0.5 * CAPACITY)]);
    load.run(8_000, &[(URGENT, 5.0 * CAPACITY)]);
    load.run(40_000, &[(URGENT, 0.7 * CAPACITY)]);
    let useful = load.within("urgent", 24, 50, 3);
    let in_time = load.in_time("urgent", 24, 50);
    println!(
        "in time {in_time:.3} of use {useful:.3}, open {}",
        load.open()
    );
    assert!(useful >= 0.9, "{useful}");
    assert!(in_time >= 0.5, "{in_time}");
    load.run(60_000, &[(URGENT, 0.3 * CAPACITY)]);
    println!("open {}", load.open());
    assert!(load.open() <= 20, "{} open", load.open());
}

/// Overdue jobs end one after the other under a load that never leaves room. Without turns only those
/// that were placed before they were overdue end, 0.133.
#[test]
fn overdue_work_doesnt_starve() {
    let mut load = Load::new(WORKERS, |_| 1.0);
    for _ in 0..60 {
        load.submit(URGENT);
    }
    load.run(40_000, &[(URGENT, 1.3 * CAPACITY)]);
    let ended = load.within("urgent", 1, 1, 20);
    println!("ended {ended:.3}");
    assert!(ended >= 0.3, "{ended}");
}

/// A successor doesn't know when jobs were accepted. It must not take one for older than it is, and one
/// that is overdue must not count as new for good.
#[test]
fn a_successor_counts_from_when_it_learned_of_a_job() {
    let mut fleet = Fleet::new(0);
    let spec = fleet::spec(vec![fleet::step(1)]);
    fleet.submit(1, spec.clone());
    let overdue = |fleet: &Fleet| {
        let usage = fleet.shard.usage(fleet.now_ms);
        usage.values().map(|usage| usage.overdue).sum::<u32>()
    };
    assert_eq!(overdue(&fleet), 0);
    fleet.advance(4_000);
    assert_eq!(overdue(&fleet), 1);
    let submitted = Record::Submitted {
        id: Id(1),
        queue: "q".into(),
        spec,
    };
    fleet.take_over(2, &[submitted], vec![fleet::queue("q")]);
    fleet.advance(1_500);
    assert_eq!(overdue(&fleet), 0);
    fleet.advance(3_000);
    assert_eq!(overdue(&fleet), 1);
}
