//! Guards against numbers of attempts from workers that end the task of a shard.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, key, spec, step};
use rosemaryworks_workflow::{Finished, Outcome, Report};

/// The number of the next attempt overflowed, and the shard's task ended; so did that of each
/// successor, to which the worker reported the same end.
#[test]
fn an_attempt_with_the_largest_number_is_followed_by_another() {
    let mut fleet = Fleet::new(1);
    fleet.submit(1, spec(vec![step(2)]));
    let ended = Finished {
        number: 1,
        key: key(1, 0, 0),
        attempt: u32::MAX,
        how: Outcome::Lapsed,
        checkpoint: None,
    };
    let report = Report {
        incarnation: 7,
        clock_ms: 2_000_000,
        finished: vec![ended],
        ..Report::default()
    };
    let id = fleet.orders[0].worker.clone();
    let host = fleet.shard.renewal(&id, fleet.now_ms).expect("a worker");
    fleet.advance(10);
    fleet
        .shard
        .report(&id, report, host.token, fleet.now_ms, fleet.now_ms);
    for _ in 0..10 {
        fleet.advance(100);
    }
    let starts = |index| {
        fleet
            .orders
            .iter()
            .filter(|o| o.key == key(1, 0, index))
            .count()
    };
    assert_eq!((starts(0), starts(1)), (2, 2));
}
