//! Guards against tasks that run twice, or are given up, because an owner takes what it doesn't know yet
//! for what isn't there.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, key, queue, spec, step};
use rosemaryworks_workflow::{Id, Record};

fn submitted(id: u64, steps: Vec<rosemaryworks_workflow::Step>) -> Record {
    Record::Submitted {
        id: Id(id),
        queue: "q".into(),
        spec: spec(steps),
    }
}

/// Guards against a job that counts as new because it was read late: it may have been stored before
/// the previous owner was fenced, which then started it on the silent worker.
#[test]
fn jobs_count_as_new_only_once_all_jobs_from_before_the_fence_are_read() {
    let mut fleet = Fleet::new(3);
    fleet.take_over(2, &[], vec![queue("q")]);
    fleet.set_unresponsive("w0", true);
    fleet.renew_all();
    let read_ms = fleet.now_ms + 1_000;
    fleet.now_ms += 2_000;
    fleet.shard.confirm_ownership(fleet.now_ms);
    fleet.shard.jobs_read(read_ms);
    fleet
        .shard
        .submit(Id(1), "q".into(), spec(vec![step(1)]), fleet.now_ms);
    fleet.shard.tick(fleet.now_ms, fleet.now_ms);
    fleet.take_actions();
    assert!(fleet.orders.is_empty(), "started while w0 may run it");
    fleet.shard.jobs_read(fleet.now_ms);
    fleet.submit(2, spec(vec![step(1)]));
    assert_eq!(fleet.workers_running(key(2, 0, 0)).len(), 1);
    assert!(fleet.workers_running(key(1, 0, 0)).is_empty());
}

/// Guards against a task that runs twice because a lease counts as expired that a later owner, which
/// this one has not heard of, has renewed.
#[test]
fn a_lease_counts_as_expired_only_while_the_owner_is_certainly_the_owner() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let worker = fleet.workers_running(key(1, 0, 0))[0].clone();
    fleet.set_unresponsive(&worker, true);
    fleet.renew_all();
    fleet.orders.clear();
    fleet.now_ms += 10_000;
    fleet.shard.tick(fleet.now_ms, fleet.now_ms);
    fleet.take_actions();
    assert!(fleet.orders.is_empty(), "started while {worker} may run it");
    fleet.advance(100);
    assert_eq!(fleet.orders.len(), 1);
}

/// Guards against a worker that its owner's successor doesn't know: the owner started a task there
/// before the worker's record was durable, and the worker is missing in the successor's list.
#[test]
fn a_worker_gets_no_task_before_its_record_is_durable() {
    let mut fleet = Fleet::new(1);
    fleet.make_durable();
    fleet.add_worker("new");
    fleet.take_actions();
    fleet.renew("new");
    fleet.set_unresponsive("w0", true);
    fleet.renew("w0");
    fleet.submit(1, spec(vec![step(1)]));
    assert!(
        fleet.workers_running(key(1, 0, 0)).is_empty(),
        "started on a worker that no successor knows"
    );
}

/// The consequence: the owner loses the log before the record is written, and the worker's entry has
/// expired when the successor reads the list.
#[test]
fn a_task_on_a_worker_without_a_durable_record_does_not_run_twice() {
    let mut fleet = Fleet::new(1);
    fleet.take_actions();
    fleet.make_durable();
    let durable = fleet.records.clone();
    fleet.add_worker("new");
    fleet.take_actions();
    fleet.renew("new");
    fleet.set_unresponsive("w0", true);
    fleet.renew("w0");
    fleet.submit(1, spec(vec![step(1)]));
    fleet.set_unresponsive("w0", false);
    fleet.records = durable;
    fleet.workers.get_mut("new").expect("a worker").unlisted = true;
    fleet.take_over(2, &[submitted(1, vec![step(1)])], vec![queue("q")]);
    fleet.renew("w0");
    fleet.advance(100);
    let running = fleet.workers_running(key(1, 0, 0));
    assert!(running.len() <= 1, "runs on {running:?}");
}

/// Guards against attempts that are stopped because their owner can't read the log: jobs that were
/// accepted during the takeover are unknown for as long as it doesn't answer.
#[test]
fn an_attempt_of_an_unread_job_is_not_stopped_while_jobs_are_not_read() {
    let mut fleet = Fleet::new(1);
    fleet.submit(1, spec(vec![step(1)]));
    fleet.renew_all();
    fleet.take_over(2, &[], vec![queue("q")]);
    fleet.renew_all();
    fleet.now_ms += 2_000;
    fleet.shard.tick(fleet.now_ms, fleet.now_ms);
    fleet.take_actions();
    assert!(fleet.stops.is_empty(), "stopped although no job was read");
}
