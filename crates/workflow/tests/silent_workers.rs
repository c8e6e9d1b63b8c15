//! Guards against takeovers in which every inherited task waits for a worker that doesn't answer, and
//! against tasks that run twice because a successor doesn't wait for such a worker.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, key, queue, spec, step};
use rosemaryworks_workflow::{Id, Record};

/// Longer than the time after which the silence of a worker is recorded.
const SILENCE_MS: u64 = 400;

/// Longer than the time after which a previous owner is fenced, and shorter than a lease.
const FENCED_MS: u64 = 1_300;

fn submitted(id: u64) -> Record {
    Record::Submitted {
        id: Id(id),
        queue: "q".into(),
        spec: spec(vec![step(1)]),
    }
}

/// Lets a worker be silent until its tasks are recorded.
fn fall_silent(fleet: &mut Fleet, id: &str) {
    fleet.set_unresponsive(id, true);
    fleet.renew(id);
    fleet.advance(SILENCE_MS);
}

/// Lets another owner take over, and the workers that answer report to it.
fn take_over(fleet: &mut Fleet, epoch: u64, jobs: &[u64]) {
    let jobs: Vec<Record> = jobs.iter().map(|id| submitted(*id)).collect();
    fleet.take_over(epoch, &jobs, vec![queue("q")]);
    fleet.take_actions();
    fleet.renew_all();
    fleet.advance(FENCED_MS);
    fleet.renew_all();
    fleet.make_durable();
    fleet.advance(50);
}

fn started_jobs(fleet: &Fleet) -> Vec<Id> {
    fleet
        .orders
        .iter()
        .map(|order| order.key.step.job)
        .collect()
}

#[test]
fn inherited_tasks_wait_only_for_silent_workers_that_may_run_them() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let silent = fleet.workers_running(key(1, 0, 0))[0].clone();
    fall_silent(&mut fleet, &silent);
    take_over(&mut fleet, 2, &[1, 2]);
    assert_eq!(started_jobs(&fleet), [Id(2)]);
}

#[test]
fn a_successor_waits_for_a_worker_that_returned_and_fell_silent_again() {
    let mut fleet = Fleet::new(1);
    fall_silent(&mut fleet, "w0");
    fleet.set_unresponsive("w0", false);
    fleet.renew("w0");
    fleet.make_durable();
    fleet.submit(1, spec(vec![step(1)]));
    assert_eq!(started_jobs(&fleet), [Id(1)]);
    fleet.add_worker("w1");
    fleet.set_unresponsive("w0", true);
    take_over(&mut fleet, 2, &[1]);
    assert!(fleet.orders.is_empty(), "started while w0 may run it");
}

#[test]
fn a_worker_gets_no_task_before_its_return_is_durable() {
    let mut fleet = Fleet::new(1);
    fall_silent(&mut fleet, "w0");
    fleet.set_unresponsive("w0", false);
    fleet.renew("w0");
    fleet.submit(1, spec(vec![step(1)]));
    assert!(fleet.orders.is_empty(), "a successor would not wait for it");
    fleet.make_durable();
    fleet.tick();
    assert_eq!(started_jobs(&fleet), [Id(1)]);
}

/// The silence is recorded by one owner and ends under the next one.
#[test]
fn a_worker_that_returned_to_the_next_owner_is_waited_for() {
    let mut fleet = Fleet::new(1);
    fall_silent(&mut fleet, "w0");
    take_over(&mut fleet, 2, &[]);
    fleet.set_unresponsive("w0", false);
    fleet.renew("w0");
    fleet.make_durable();
    fleet.submit(1, spec(vec![step(1)]));
    assert_eq!(started_jobs(&fleet), [Id(1)]);
    fleet.add_worker("w1");
    fleet.set_unresponsive("w0", true);
    take_over(&mut fleet, 3, &[1]);
    assert!(fleet.orders.is_empty(), "started while w0 may run it");
}

#[test]
fn the_record_of_a_silent_worker_outlives_the_next_owner() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let silent = fleet.workers_running(key(1, 0, 0))[0].clone();
    fall_silent(&mut fleet, &silent);
    take_over(&mut fleet, 2, &[1]);
    take_over(&mut fleet, 3, &[1, 2]);
    assert_eq!(started_jobs(&fleet), [Id(2)]);
}
