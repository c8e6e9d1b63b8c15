//! Guards against tasks that run twice or too often because the owner of their shard changed.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, key, queue, spec, step};
use rosemaryworks_workflow::{Id, Outcome, Record, State};

fn submitted(id: u64, steps: Vec<rosemaryworks_workflow::Step>) -> Record {
    Record::Submitted {
        id: Id(id),
        queue: "q".into(),
        spec: spec(steps),
    }
}

#[test]
fn a_run_of_the_older_owner_goes_on() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let place = fleet.places(key(1, 0, 0));
    fleet.take_over(2, &[submitted(1, vec![step(1)])], vec![queue("q")]);
    fleet.look_all();
    fleet.pass(100);
    assert_eq!(fleet.places(key(1, 0, 0)), place);
    assert!(fleet.stops.is_empty() && fleet.orders.is_empty());
}

#[test]
fn nothing_starts_again_before_every_worker_was_seen() {
    let mut fleet = Fleet::new(3);
    fleet.submit(1, spec(vec![step(1)]));
    let place = fleet.places(key(1, 0, 0))[0].clone();
    fleet.take_over(2, &[submitted(1, vec![step(1)])], vec![queue("q")]);
    fleet.workers.get_mut(&place).expect("a worker").silent = true;
    fleet.look_all();
    fleet.pass(2_000);
    assert!(fleet.orders.is_empty(), "started beside {place}");
    // Its lease of 6 s has surely lapsed.
    fleet
        .workers
        .get_mut(&place)
        .expect("a worker")
        .runs
        .clear();
    fleet.pass(5_000);
    assert_eq!(fleet.orders.len(), 1);
    assert!(fleet.orders[0].attempt > 100, "reuses an attempt");
}

/// The older owner hears of new jobs too, and may start them where its token still counts.
#[test]
fn new_jobs_wait_until_the_older_owner_must_know() {
    let mut fleet = Fleet::new(3);
    fleet.take_over(2, &[], vec![queue("q")]);
    fleet.workers.get_mut("w0").expect("a worker").silent = true;
    fleet.look("w1");
    fleet.look("w2");
    fleet.submit(1, spec(vec![step(1)]));
    assert!(fleet.orders.is_empty(), "started before w0 was fenced");
    fleet.look("w0");
    fleet.pass(1_300);
    assert_eq!(fleet.places(key(1, 0, 0)).len(), 1);
}

#[test]
fn new_jobs_start_at_once_when_every_worker_was_seen() {
    let mut fleet = Fleet::new(3);
    fleet.take_over(2, &[], vec![queue("q")]);
    fleet.submit(1, spec(vec![step(1)]));
    assert!(fleet.orders.is_empty());
    fleet.look_all();
    fleet.step();
    assert_eq!(fleet.places(key(1, 0, 0)).len(), 1);
}

#[test]
fn failures_count_in_whatever_order_the_workers_list_them() {
    let mut fleet = Fleet::new(4);
    fleet.submit(1, spec(vec![step(1)]));
    // The older owner learns of every failure and can't write any of them.
    for _ in 0..4 {
        let id = fleet.end(key(1, 0, 0), Outcome::Failed);
        fleet.look(&id);
        fleet.pass(3_000);
    }
    fleet.records.clear();
    fleet.take_over(2, &[submitted(1, vec![step(1)])], vec![queue("q")]);
    let ids: Vec<_> = fleet.workers.keys().cloned().rev().collect();
    for id in ids {
        fleet.look(&id);
    }
    fleet.pass(100);
    assert!(fleet.orders.is_empty(), "started after four failures");
    fleet.write();
    assert_eq!(fleet.shard.state(Id(1)), Some(State::Failed));
}

#[test]
fn an_end_is_acknowledged_only_once_it_is_durable() {
    let mut fleet = Fleet::new(1);
    fleet.submit(1, spec(vec![step(1)]));
    let id = fleet.end(key(1, 0, 0), Outcome::Done);
    fleet.look(&id);
    fleet.look(&id);
    assert_eq!(
        fleet.workers[&id].ends.len(),
        1,
        "forgotten before it is durable"
    );
    assert_eq!(fleet.shard.state(Id(1)), Some(State::Running));
    fleet.write();
    fleet.look(&id);
    assert!(fleet.workers[&id].ends.is_empty());
    assert_eq!(fleet.shard.state(Id(1)), Some(State::Completed));
}

#[test]
fn an_end_that_was_recorded_and_not_acknowledged_counts_once() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let id = fleet.end(key(1, 0, 0), Outcome::Failed);
    fleet.look(&id);
    let failed = fleet.records.clone();
    fleet.take_over(2, &[submitted(1, vec![step(1)])], vec![queue("q")]);
    assert_eq!(fleet.records, failed);
    fleet.look_all();
    fleet.pass(3_000);
    for _ in 0..2 {
        fleet.end_known(key(1, 0, 0), Outcome::Failed);
        fleet.pass(3_000);
    }
    assert_eq!(
        fleet.shard.state(Id(1)),
        Some(State::Running),
        "failed too early"
    );
}

/// Entries of workers lapse while the platform's log is away, and come back seconds after it.
#[test]
fn a_worker_that_the_list_has_lost_is_looked_at_all_the_same() {
    let mut fleet = Fleet::new(3);
    fleet.submit(1, spec(vec![step(1)]));
    let place = fleet.places(key(1, 0, 0))[0].clone();
    fleet.workers.get_mut(&place).expect("a worker").unlisted = true;
    fleet.take_over(2, &[submitted(1, vec![step(1)])], vec![queue("q")]);
    for id in ["w0", "w1", "w2"].iter().filter(|id| **id != &*place) {
        fleet.look(id);
    }
    fleet.step();
    assert!(fleet.orders.is_empty(), "started again beside {place}");
    fleet.look(&place);
    fleet.pass(2_000);
    assert_eq!(fleet.places(key(1, 0, 0)), vec![place]);
    assert!(fleet.orders.is_empty() && fleet.stops.is_empty());
}

/// The older owner starts what was accepted after its successor read the jobs.
#[test]
fn a_run_that_is_listed_before_its_job_is_read_goes_on() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let place = fleet.places(key(1, 0, 0));
    fleet.take_over(2, &[], vec![queue("q")]);
    fleet.look_all();
    fleet.submit(1, spec(vec![step(1)]));
    fleet.pass(2_000);
    assert_eq!(fleet.places(key(1, 0, 0)), place);
    assert!(fleet.stops.is_empty() && fleet.orders.is_empty());
}

#[test]
fn a_run_whose_job_stays_unknown_is_stopped() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    fleet.take_over(2, &[], vec![queue("q")]);
    fleet.look_all();
    fleet.pass(1_600);
    assert_eq!(fleet.stops.len(), 1);
}

/// A worker that was replaced can't answer, and every takeover would wait for its lease.
#[test]
fn a_worker_whose_address_another_one_has_is_not_waited_for() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let place = fleet.places(key(1, 0, 0))[0].clone();
    fleet.take_over(2, &[submitted(1, vec![step(1)])], vec![queue("q")]);
    let look = fleet.shard.renewal(&place, fleet.now_ms).expect("a look");
    let fault = rosemaryworks_workflow::RenewalFault::WrongInstance;
    fleet
        .shard
        .renewal_failed(&place, look.token, fault, fleet.now_ms);
    fleet.workers.remove(&place);
    fleet.look_all();
    fleet.pass(100);
    assert_eq!(fleet.orders.len(), 1, "waits for a worker that has ended");
}

/// A successor would look at a worker that left long ago and wait for its lease.
#[test]
fn an_idle_worker_that_left_the_list_is_forgotten() {
    let mut fleet = Fleet::new(2);
    fleet.looks.clear();
    fleet.workers.get_mut("w0").expect("a worker").silent = true;
    fleet.shard.unlist_worker("w0");
    fleet.take_actions();
    assert_eq!(fleet.looks, vec!["w0".into()]);
    fleet.look("w0");
    fleet.pass(5_000);
    let unhosted = Record::WorkerRemoved {
        worker: "w0".into(),
    };
    assert!(fleet.records.contains(&unhosted));
}
