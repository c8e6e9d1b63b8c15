//! Guards against workers that have left and get tasks again after the owner of their shard changes.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, key, queue, spec, step};
use rosemaryworks_workflow::Record;

/// Guards against a worker that the list no longer names and that is in use again after a takeover,
/// because the records of the previous owner name it and it still answers.
#[test]
fn a_worker_that_has_left_gets_no_task_after_a_takeover() {
    let mut fleet = Fleet::new(2);
    fleet.shard.unlist_worker("w0");
    fleet.take_actions();
    fleet.workers.get_mut("w0").expect("a worker").unlisted = true;
    for epoch in [2, 3] {
        fleet.take_over(epoch, &[], vec![queue("q")]);
        fleet.renew_all();
        fleet.make_durable();
        fleet.advance(10_000);
        let job = epoch;
        fleet.submit(job, spec(vec![step(4)]));
        fleet.renew_all();
        fleet.advance(1_000);
        assert!(fleet.orders.iter().all(|order| &*order.worker == "w1"));
        assert_eq!(fleet.workers_running(key(job, 0, 0)), vec!["w1".into()]);
        for index in 0..4 {
            fleet.end_and_report(key(job, 0, index), rosemaryworks_workflow::Outcome::Done);
        }
    }
    // The records do name it, so that a successor asks what it runs.
    let is_named = |record: &Record| matches!(record, Record::WorkerAdded { worker, .. } if &*worker.id == "w0");
    assert!(fleet.records.iter().any(is_named));
}
