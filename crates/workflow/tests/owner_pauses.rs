//! Guards against work that is given up because its owner stood still.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, key, spec, step};
use rosemaryworks_workflow::{Report, Running};

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

/// The owner was paused while a renewal was under way. The response waited in the socket, and its
/// report of a slow task was taken for one of the time after the pause.
#[test]
fn attempts_are_not_stopped_for_a_report_from_before_the_pause() {
    let mut fleet = Fleet::new(1);
    fleet.submit(1, spec(vec![step(1)]));
    fleet.renew_all();
    let sent_ms = fleet.now_ms;
    let renewal = fleet.shard.renewal("w0", sent_ms).expect("a renewal");
    fleet.now_ms += 6_000;
    let report = Report {
        incarnation: 7,
        clock_ms: sent_ms + 1_000_800,
        finished: Vec::new(),
        may_have_more_ends: false,
        running: vec![Running {
            key: key(1, 0, 0),
            attempt: 1,
            checkpoint: None,
            percent: 0,
            metric: 0.0,
        }],
    };
    fleet
        .shard
        .report("w0", report, renewal.token, sent_ms, fleet.now_ms);
    fleet.tick();
    assert!(fleet.stops.is_empty(), "stopped for an old report");
}
