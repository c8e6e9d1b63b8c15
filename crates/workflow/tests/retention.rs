//! Guards against open jobs that are lost, or run again, when the log expires their first records.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, key, queue, spec, step};
use rosemaryworks_workflow::{Id, Outcome, State, Step};

#[test]
fn a_successor_continues_from_republished_records() {
    let mut fleet = Fleet::new(3);
    let second = Step {
        after: vec![0],
        ..step(1)
    };
    fleet.submit(1, spec(vec![step(2), second]));
    fleet.submit(2, spec(vec![step(1)]));
    fleet.end_and_report(key(1, 0, 0), Outcome::Done);
    fleet.end_and_report(key(1, 0, 1), Outcome::Failed);
    fleet.end_and_report(key(2, 0, 0), Outcome::Done);
    // The records written so far have expired.
    fleet.records.clear();
    fleet.shard.republish();
    fleet.take_actions();
    fleet.take_over(2, &[], vec![queue("q")]);
    fleet.renew_all();
    fleet.advance(2_000);
    assert_eq!(fleet.shard.state(Id(1)), Some(State::Running));
    assert_eq!(
        fleet.shard.state(Id(2)),
        None,
        "an ended job was republished"
    );
    assert!(
        fleet.workers_running(key(1, 0, 0)).is_empty(),
        "a completed task runs again"
    );
    fleet.end_and_report(key(1, 0, 1), Outcome::Done);
    fleet.end_and_report(key(1, 1, 0), Outcome::Done);
    fleet.make_durable();
    assert_eq!(fleet.shard.state(Id(1)), Some(State::Completed));
}

#[test]
fn occurrences_begin_when_due_and_complete_the_job() {
    let mut fleet = Fleet::new(1);
    let mut timed = (*spec(vec![step(1)])).clone();
    timed.times = 2;
    timed.first_ms = fleet.now_ms + 5_000;
    timed.interval_ms = 1_000;
    fleet.submit(1, std::sync::Arc::new(timed));
    fleet.advance(4_900);
    assert!(fleet.orders.is_empty(), "started before it is due");
    fleet.advance(200);
    assert_eq!(fleet.orders.len(), 1);
    fleet.renew_all();
    fleet.advance(1_000);
    assert_eq!(fleet.orders.len(), 2, "occurrences may overlap");
    let keys: Vec<_> = fleet.orders.iter().map(|order| order.key).collect();
    for key in keys {
        fleet.end_and_report(key, Outcome::Done);
    }
    fleet.make_durable();
    assert_eq!(fleet.shard.state(Id(1)), Some(State::Completed));
}
