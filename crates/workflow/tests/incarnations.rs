//! Guards against tasks that run twice because their worker starts again under its id.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, key, spec, step};
use rosemaryworks_workflow::RenewalFault;

/// Restarts a worker without the owner's knowledge.
fn restart(fleet: &mut Fleet, id: &str) {
    let simulated = fleet.workers.get_mut(id).expect("a worker");
    simulated.incarnation = 8;
    simulated.token = 0;
    simulated.runs.clear();
    simulated.ends.clear();
}

/// Guards against a task that runs twice because an idle worker starts again unnoticed, and the new
/// incarnation accepts the next start: the owner took that attempt for one of the old incarnation.
#[test]
fn a_start_that_the_next_incarnation_accepted_unnoticed_counts() {
    let mut fleet = Fleet::new(2);
    restart(&mut fleet, "w0");
    fleet.submit(1, spec(vec![step(1)]));
    assert_eq!(fleet.workers_running(key(1, 0, 0)), ["w0".into()]);
    for _ in 0..4 {
        fleet.renew_all();
        fleet.advance(250);
    }
    assert_eq!(fleet.orders.len(), 1, "started a second time");
    assert_eq!(fleet.workers_running(key(1, 0, 0)).len(), 1);
    assert!(fleet.stops.is_empty());
}

/// The same, if the new incarnation is silent after it accepted the start: its lease may last for
/// the longest time, because the deadline of the start is on the clock of the old incarnation.
#[test]
fn an_attempt_that_was_accepted_unnoticed_is_kept_for_the_longest_lease() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let id = fleet.workers_running(key(1, 0, 0))[0].clone();
    let size = rosemaryworks_core::size::Size::new(4_000, 16_384);
    let next = fleet::worker(&id, size, 8);
    fleet.shard.list_worker(next, fleet.now_ms);
    let token = fleet.shard.host(&id).expect("a host").token();
    let fault = RenewalFault::Silent;
    fleet.shard.renewal_failed(&id, token, fault, fleet.now_ms);
    fleet.advance(fleet::settings().lease_max_ms);
    assert_eq!(fleet.orders.len(), 1, "started while the worker may run it");
    fleet.advance(1_000);
    assert_eq!(fleet.orders.len(), 2, "not restarted");
}

/// Guards against a task that waits for the lease of an incarnation that has ended.
#[test]
fn an_attempt_that_ended_with_its_incarnation_restarts_at_once() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let id = fleet.workers_running(key(1, 0, 0))[0].clone();
    fleet.renew(&id);
    restart(&mut fleet, &id);
    fleet.renew(&id);
    fleet.tick();
    assert_eq!(fleet.orders.len(), 2, "not restarted");
}

/// Guards against tasks that start on a worker which started again and drains already: the state in
/// the directory's entry was dropped with the previous incarnation.
#[test]
fn the_next_incarnation_of_a_worker_may_be_draining() {
    let mut fleet = Fleet::new(1);
    restart(&mut fleet, "w0");
    let size = rosemaryworks_core::size::Size::new(4_000, 16_384);
    let next = rosemaryworks_workflow::Worker {
        draining: true,
        ..fleet::worker("w0", size, 8)
    };
    fleet.shard.list_worker(next, fleet.now_ms);
    fleet.renew("w0");
    fleet.submit(1, spec(vec![step(1)]));
    fleet.advance(100);
    assert!(fleet.orders.is_empty(), "started on a draining worker");
}

/// Guards against tasks on a worker that started again with other labels: its report names a new
/// incarnation before the directory's entry is read, and its old labels counted meanwhile (review/8).
#[test]
fn a_new_incarnation_gets_tasks_once_its_entry_is_read() {
    let mut fleet = Fleet::new(1);
    restart(&mut fleet, "w0");
    for _ in 0..3 {
        fleet.renew_all();
        fleet.make_durable();
        fleet.advance(100);
    }
    let labelled = rosemaryworks_workflow::Step {
        requires: Some("a".into()),
        ..step(1)
    };
    fleet.submit(1, spec(vec![labelled]));
    fleet.submit(2, spec(vec![step(1)]));
    fleet.advance(100);
    assert!(
        fleet.orders.is_empty(),
        "started on a worker of unknown kind"
    );
    let size = rosemaryworks_core::size::Size::new(4_000, 16_384);
    let next = rosemaryworks_workflow::Worker {
        labels: vec!["b".into(), "r1".into()],
        ..fleet::worker("w0", size, 8)
    };
    fleet.shard.list_worker(next, fleet.now_ms);
    for _ in 0..3 {
        fleet.renew_all();
        fleet.make_durable();
        fleet.advance(100);
    }
    assert_eq!(fleet.workers_running(key(2, 0, 0)).len(), 1);
    assert!(fleet.workers_running(key(1, 0, 0)).is_empty());
}

/// Guards against a task that is never started, because it was placed on a worker whose clock was not
/// known yet.
#[test]
fn a_task_waits_for_a_reading_of_the_clock_of_its_worker() {
    let mut fleet = Fleet::new(1);
    fleet.restart("w0");
    fleet.renew("w0");
    fleet.list("w0");
    let renewal = fleet.shard.renewal("w0", fleet.now_ms).expect("a renewal");
    let now_ms = fleet.now_ms;
    let mut report = fleet
        .workers
        .get_mut("w0")
        .expect("w")
        .renew(&renewal, now_ms);
    report.clock_ms = 0;
    fleet
        .shard
        .report("w0", report, renewal.token, now_ms, now_ms);
    fleet.take_actions();
    fleet.make_durable();
    fleet.submit(1, spec(vec![step(1)]));
    assert!(fleet.orders.is_empty(), "started without a deadline");
    for _ in 0..4 {
        fleet.renew("w0");
        fleet.make_durable();
        fleet.advance(250);
    }
    assert_eq!(fleet.orders.len(), 1, "never started");
}
