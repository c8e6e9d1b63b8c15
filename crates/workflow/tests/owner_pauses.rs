//! Guards against work that is given up because its owner stood still.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, key, spec, step};

/// An owner that was paused for four seconds had seen no progress for that long. It took every
/// attempt for stalled and stopped it, although no worker had been asked meanwhile.
#[test]
fn attempts_are_not_stopped_because_their_owner_was_paused() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(2)]));
    fleet.renew_all();
    fleet.advance(6_000);
    assert!(fleet.stops.is_empty(), "stopped without a report");
    for index in 0..2 {
        let worker = fleet.workers_running(key(1, 0, index))[0].clone();
        let worker = fleet.workers.get_mut(&worker).expect("a worker");
        worker.percent.insert(key(1, 0, index), 60);
    }
    fleet.renew_all();
    fleet.advance(100);
    assert!(fleet.stops.is_empty(), "stopped although it has progressed");
}

/// Guards against the opposite: an attempt that makes no progress while its worker reports it is
/// stopped, also if it stood still before the pause.
#[test]
fn attempts_without_progress_are_stopped_after_a_pause() {
    let mut fleet = Fleet::new(1);
    fleet.submit(1, spec(vec![step(1)]));
    fleet.renew_all();
    fleet.advance(6_000);
    for _ in 0..5 {
        fleet.renew_all();
        fleet.advance(1_000);
    }
    assert_eq!(fleet.stops.len(), 1);
}
