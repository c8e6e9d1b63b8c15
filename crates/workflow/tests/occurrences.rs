//! Guards against occurrences of scheduled jobs that are lost when the owner of their shard changes.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, key, queue, spec, step};
use rosemaryworks_workflow::{Id, Key, Outcome, Record, State, StepKey};

/// Guards against an occurrence that is dropped at a takeover, because a later one that overlaps it has
/// an ended or running attempt and it has none (review/2).
#[test]
fn an_earlier_occurrence_is_not_dropped_if_a_later_one_has_begun() {
    let occurrence = |occurrence| Key {
        step: StepKey {
            occurrence,
            ..key(1, 0, 0).step
        },
        index: 0,
    };
    let mut timed = (*spec(vec![step(1)])).clone();
    timed.times = 3;
    timed.interval_ms = 10;
    let submitted = Record::Submitted {
        id: Id(1),
        queue: "q".into(),
        spec: std::sync::Arc::new(timed),
    };
    let ended = Record::Ended {
        key: occurrence(1),
        attempt: 1,
        how: Outcome::Done,
        checkpoint: None,
    };
    for is_running in [false, true] {
        let mut fleet = Fleet::new(2);
        fleet.records = match is_running {
            true => Vec::new(),
            false => vec![ended.clone()],
        };
        if is_running {
            let worker = fleet.workers.get_mut("w0").expect("a worker");
            worker.runs.insert(occurrence(1), 1);
        }
        fleet.take_over(2, std::slice::from_ref(&submitted), vec![queue("q")]);
        fleet.renew_all();
        fleet.make_durable();
        // Seconds later by another owner, so that the snapshot takes part.
        let entries = fleet.shard.snapshot(fleet.now_ms).into_iter();
        fleet.records = entries.flat_map(|entry| entry.records).collect();
        fleet.take_over(3, &[], vec![queue("q")]);
        for _ in 0..5 {
            fleet.renew_all();
            fleet.make_durable();
            fleet.advance(500);
        }
        for number in [0, 1, 2] {
            let has_ended = number == 1 && !is_running;
            if !has_ended {
                fleet.end_and_report(occurrence(number), Outcome::Done);
            }
        }
        fleet.make_durable();
        assert_eq!(fleet.shard.state(Id(1)), Some(State::Completed));
    }
}

/// Guards against a time of a job that ends the shard's task, and that of each successor, or lets an
/// occurrence start at once: the time at which the occurrence is due overflowed.
#[test]
fn an_occurrence_that_is_due_after_the_last_time_does_not_start() {
    for (first_ms, interval_ms) in [(1, u64::MAX), (1, u64::MAX / 2 + 1), (u64::MAX, 1)] {
        let mut fleet = Fleet::new(2);
        let mut timed = (*spec(vec![step(1)])).clone();
        (timed.times, timed.first_ms, timed.interval_ms) = (4, first_ms, interval_ms);
        fleet.submit(1, std::sync::Arc::new(timed));
        fleet.submit(2, spec(vec![step(1)]));
        fleet.advance(1_000);
        let starts = usize::from(first_ms == 1) + 1;
        assert_eq!(fleet.orders.len(), starts, "{first_ms} {interval_ms}");
    }
}
