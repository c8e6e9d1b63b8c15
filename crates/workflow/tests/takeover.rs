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
fn an_attempt_of_the_previous_owner_continues() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let worker = fleet.workers_running(key(1, 0, 0));
    fleet.take_over(2, &[submitted(1, vec![step(1)])], vec![queue("q")]);
    fleet.renew_all();
    fleet.advance(100);
    assert_eq!(fleet.workers_running(key(1, 0, 0)), worker);
    assert!(fleet.stops.is_empty() && fleet.orders.is_empty());
}

#[test]
fn no_task_restarts_before_every_worker_has_reported() {
    let mut fleet = Fleet::new(3);
    fleet.submit(1, spec(vec![step(1)]));
    let worker = fleet.workers_running(key(1, 0, 0))[0].clone();
    fleet.take_over(2, &[submitted(1, vec![step(1)])], vec![queue("q")]);
    fleet.set_unresponsive(&worker, true);
    fleet.renew_all();
    fleet.advance(2_000);
    assert!(fleet.orders.is_empty(), "started while {worker} may run it");
    // The lease of 6 s, renewed until the previous owner was fenced, has certainly expired, so the
    // worker has ended its attempts.
    fleet
        .workers
        .get_mut(&worker)
        .expect("a worker")
        .runs
        .clear();
    fleet.advance(6_000);
    assert_eq!(fleet.orders.len(), 1);
    assert!(fleet.orders[0].attempt > 100, "reuses an attempt number");
}

/// The previous owner also reads new jobs, and may start them on workers that still accept its
/// fencing token. A task that both owners start would run twice. The successor took the previous
/// owner for fenced after 1.2 s and started such a job although one worker had not reported yet; the
/// worker had completed the task.
#[test]
fn new_jobs_wait_until_the_previous_owner_is_fenced() {
    let mut fleet = Fleet::new(3);
    fleet.take_over(2, &[], vec![queue("q")]);
    fleet.set_unresponsive("w0", true);
    fleet.renew("w1");
    fleet.renew("w2");
    fleet.submit(1, spec(vec![step(1)]));
    assert!(fleet.orders.is_empty(), "started before w0 was fenced");
    fleet.renew("w0");
    fleet.advance(1_300);
    assert!(fleet.orders.is_empty(), "started while w0 may run it");
    // The lease of 6 s, renewed until the previous owner was fenced, has certainly expired.
    fleet.advance(7_000);
    assert_eq!(fleet.workers_running(key(1, 0, 0)).len(), 1);
    assert!(fleet.orders[0].attempt > 100, "reuses an attempt number");
}

/// Guards against new work that waits for a worker without need: a job that is accepted after the
/// previous owner was fenced can't have been started by it.
#[test]
fn jobs_accepted_after_the_fence_start_while_a_worker_is_silent() {
    let mut fleet = Fleet::new(3);
    fleet.take_over(2, &[], vec![queue("q")]);
    fleet.set_unresponsive("w0", true);
    fleet.renew_all();
    fleet.advance(1_300);
    fleet.submit(1, spec(vec![step(1)]));
    assert_eq!(fleet.workers_running(key(1, 0, 0)).len(), 1);
}

/// Guards against a task that runs again after it has completed: the previous owner started it, its
/// worker reported the end to the successor before that had read the job, and the end was
/// acknowledged and forgotten.
#[test]
fn an_end_that_is_reported_before_its_job_is_read_counts() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    fleet.take_over(2, &[], vec![queue("q")]);
    let worker = fleet.end_attempt(key(1, 0, 0), Outcome::Done);
    fleet.renew_all();
    fleet.make_durable();
    fleet.renew(&worker);
    assert!(fleet.workers[&worker].ends.is_empty(), "not acknowledged");
    fleet.submit(1, spec(vec![step(1)]));
    fleet.advance(8_000);
    assert!(fleet.orders.is_empty(), "started after it had completed");
    fleet.make_durable();
    assert_eq!(fleet.shard.state(Id(1)), Some(State::Completed));
}

/// The same if the owner changes once more: the end must be on record.
#[test]
fn an_end_that_is_reported_before_its_job_is_read_is_recorded() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    fleet.take_over(2, &[], vec![queue("q")]);
    let worker = fleet.end_attempt(key(1, 0, 0), Outcome::Done);
    fleet.renew_all();
    fleet.make_durable();
    fleet.renew(&worker);
    assert!(fleet.workers[&worker].ends.is_empty(), "not acknowledged");
    fleet.take_over(3, &[submitted(1, vec![step(1)])], vec![queue("q")]);
    fleet.renew_all();
    fleet.advance(8_000);
    assert!(fleet.orders.is_empty(), "started after it had completed");
}

/// Guards against a cancelled job that is unknown at once: the cancellation arrived before the job,
/// which counted as ended at the start of the clock.
#[test]
fn a_job_that_is_cancelled_before_it_is_read_is_remembered() {
    let mut fleet = Fleet::new(1);
    fleet.advance(1_000_000);
    fleet.shard.cancel(Id(1), fleet.now_ms);
    fleet.submit(1, spec(vec![step(1)]));
    fleet.advance(2_000);
    assert_eq!(fleet.shard.state(Id(1)), Some(State::Cancelled));
}

#[test]
fn new_jobs_start_at_once_when_every_worker_has_reported() {
    let mut fleet = Fleet::new(3);
    fleet.take_over(2, &[], vec![queue("q")]);
    fleet.submit(1, spec(vec![step(1)]));
    assert!(fleet.orders.is_empty());
    fleet.renew_all();
    fleet.tick();
    assert_eq!(fleet.workers_running(key(1, 0, 0)).len(), 1);
}

#[test]
fn failures_count_in_any_order_of_the_reports() {
    let mut fleet = Fleet::new(4);
    fleet.submit(1, spec(vec![step(1)]));
    // The previous owner receives every failure, but none of its records becomes durable.
    for _ in 0..4 {
        let id = fleet.end_attempt(key(1, 0, 0), Outcome::Failed);
        fleet.renew(&id);
        fleet.advance(3_000);
    }
    fleet.records.clear();
    fleet.take_over(2, &[submitted(1, vec![step(1)])], vec![queue("q")]);
    let ids: Vec<_> = fleet.workers.keys().cloned().rev().collect();
    for id in ids {
        fleet.renew(&id);
    }
    fleet.advance(100);
    assert!(fleet.orders.is_empty(), "started after four failures");
    fleet.make_durable();
    assert_eq!(fleet.shard.state(Id(1)), Some(State::Failed));
}

#[test]
fn an_end_is_acknowledged_only_once_it_is_durable() {
    let mut fleet = Fleet::new(1);
    fleet.submit(1, spec(vec![step(1)]));
    let id = fleet.end_attempt(key(1, 0, 0), Outcome::Done);
    fleet.renew(&id);
    fleet.renew(&id);
    assert_eq!(
        fleet.workers[&id].ends.len(),
        1,
        "acknowledged before it is durable"
    );
    assert_eq!(fleet.shard.state(Id(1)), Some(State::Running));
    fleet.make_durable();
    fleet.renew(&id);
    assert!(fleet.workers[&id].ends.is_empty());
    assert_eq!(fleet.shard.state(Id(1)), Some(State::Completed));
}

#[test]
fn an_end_that_was_recorded_and_not_acknowledged_counts_once() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let id = fleet.end_attempt(key(1, 0, 0), Outcome::Failed);
    fleet.renew(&id);
    let failed = fleet.records.clone();
    fleet.take_over(2, &[submitted(1, vec![step(1)])], vec![queue("q")]);
    assert_eq!(fleet.records, failed);
    fleet.renew_all();
    fleet.advance(3_000);
    for _ in 0..2 {
        fleet.end_and_report(key(1, 0, 0), Outcome::Failed);
        fleet.advance(3_000);
    }
    assert_eq!(
        fleet.shard.state(Id(1)),
        Some(State::Running),
        "failed too early"
    );
}

/// Directory entries of workers expire while the platform's log is unreachable, and return seconds
/// after it is back.
#[test]
fn a_worker_missing_from_the_directory_is_still_renewed() {
    let mut fleet = Fleet::new(3);
    fleet.submit(1, spec(vec![step(1)]));
    let worker = fleet.workers_running(key(1, 0, 0))[0].clone();
    fleet.workers.get_mut(&worker).expect("a worker").unlisted = true;
    fleet.take_over(2, &[submitted(1, vec![step(1)])], vec![queue("q")]);
    for id in ["w0", "w1", "w2"].iter().filter(|id| **id != &*worker) {
        fleet.renew(id);
    }
    fleet.tick();
    assert!(
        fleet.orders.is_empty(),
        "restarted while {worker} may run it"
    );
    fleet.renew(&worker);
    fleet.advance(2_000);
    assert_eq!(fleet.workers_running(key(1, 0, 0)), vec![worker]);
    assert!(fleet.orders.is_empty() && fleet.stops.is_empty());
}

/// The previous owner may start a job that was accepted after its successor read the jobs. The
/// attempt must not be stopped or started again.
#[test]
fn an_attempt_reported_before_its_job_is_read_continues() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let worker = fleet.workers_running(key(1, 0, 0));
    fleet.take_over(2, &[], vec![queue("q")]);
    fleet.renew_all();
    fleet.submit(1, spec(vec![step(1)]));
    fleet.advance(2_000);
    assert_eq!(fleet.workers_running(key(1, 0, 0)), worker);
    assert!(fleet.stops.is_empty() && fleet.orders.is_empty());
}

#[test]
fn an_attempt_of_an_unknown_job_is_stopped() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    fleet.take_over(2, &[], vec![queue("q")]);
    fleet.renew_all();
    fleet.advance(1_600);
    assert_eq!(fleet.stops.len(), 1);
}

/// A replaced worker cannot answer. If the answer of its replacement did not count as its end,
/// every takeover would wait for its lease to expire.
#[test]
fn a_worker_replaced_at_its_address_does_not_delay_a_takeover() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let worker = fleet.workers_running(key(1, 0, 0))[0].clone();
    fleet.take_over(2, &[submitted(1, vec![step(1)])], vec![queue("q")]);
    let renewal = fleet
        .shard
        .renewal(&worker, fleet.now_ms)
        .expect("a renewal");
    let fault = rosemaryworks_workflow::RenewalFault::WrongInstance;
    fleet
        .shard
        .renewal_failed(&worker, renewal.token, fault, fleet.now_ms);
    fleet.workers.remove(&worker);
    fleet.renew_all();
    fleet.advance(100);
    assert_eq!(fleet.orders.len(), 1, "waits for a worker that has ended");
}

/// If an idle worker that left were never removed, a successor would try to renew its lease, and
/// wait for its expiry.
#[test]
fn an_unlisted_idle_worker_is_removed() {
    let mut fleet = Fleet::new(2);
    fleet.renewals.clear();
    fleet.set_unresponsive("w0", true);
    fleet.shard.unlist_worker("w0");
    fleet.take_actions();
    assert_eq!(fleet.renewals, vec!["w0".into()]);
    fleet.renew("w0");
    fleet.advance(5_000);
    let removal = Record::WorkerRemoved {
        worker: "w0".into(),
    };
    assert!(fleet.records.contains(&removal));
}

/// Guards against tasks that run twice because a cut refuses the connections of a new owner to a
/// worker that still runs an attempt of the previous owner.
#[test]
fn a_worker_that_refuses_connections_delays_inherited_tasks_until_leases_expire() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let worker = fleet.workers_running(key(1, 0, 0))[0].clone();
    fleet.take_over(2, &[submitted(1, vec![step(1)])], vec![queue("q")]);
    let renewal = fleet.shard.renewal(&worker, fleet.now_ms);
    let token = renewal.expect("a renewal").token;
    let fault = rosemaryworks_workflow::RenewalFault::Refused;
    fleet
        .shard
        .renewal_failed(&worker, token, fault, fleet.now_ms);
    let other = if &*worker == "w0" { "w1" } else { "w0" };
    fleet.renew(other);
    fleet.advance(6_000);
    assert!(fleet.orders.is_empty(), "started while {worker} may run it");
    fleet.advance(2_000);
    assert_eq!(fleet.orders.len(), 1, "not restarted");
}

/// Guards against tasks that run twice because a new owner can't reach a worker that drains: its
/// entry expires, and it may still run an attempt of the previous owner.
#[test]
fn a_departed_worker_delays_inherited_tasks_until_leases_expire() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let id = fleet.workers_running(key(1, 0, 0))[0].clone();
    fleet.take_over(2, &[submitted(1, vec![step(1)])], vec![queue("q")]);
    let mut draining = fleet::worker(&id, rosemaryworks_core::size::Size::new(4_000, 16_384), 7);
    draining.draining = true;
    fleet.shard.list_worker(draining, fleet.now_ms);
    fleet.set_unresponsive(&id, true);
    fleet.renew_all();
    fleet.shard.unlist_worker(&id);
    fleet.advance(6_000);
    assert!(fleet.orders.is_empty(), "started while {id} may run it");
    fleet.advance(2_000);
    assert_eq!(fleet.orders.len(), 1, "not restarted");
}

/// Guards against tasks that run twice because a new owner doesn't count the lease that the
/// previous owner granted: the worker stops answering before the new owner renews the lease.
#[test]
fn the_lease_of_the_previous_owner_counts_for_adopted_attempts() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let worker = fleet.workers_running(key(1, 0, 0))[0].clone();
    fleet.take_over(2, &[submitted(1, vec![step(1)])], vec![queue("q")]);
    fleet.renew_all();
    let token = fleet.shard.host(&worker).expect("a host").token();
    let fault = rosemaryworks_workflow::RenewalFault::Silent;
    fleet
        .shard
        .renewal_failed(&worker, token, fault, fleet.now_ms);
    fleet.advance(5_900);
    assert!(fleet.orders.is_empty(), "started while {worker} may run it");
    fleet.advance(1_000);
    assert_eq!(fleet.orders.len(), 1, "not restarted");
}

/// Guards against tasks that run twice because the previous owner renews the lease of a worker that
/// the new owner can't reach, until another worker rejects its token.
#[test]
fn leases_count_from_the_time_at_which_the_previous_owner_is_fenced() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let worker = fleet.workers_running(key(1, 0, 0))[0].clone();
    fleet.take_over(2, &[submitted(1, vec![step(1)])], vec![queue("q")]);
    fleet.set_unresponsive(&worker, true);
    fleet.renew_all();
    // 1.2 s until the previous owner is fenced, and a lease of 6 s on the slowest clock.
    fleet.advance(7_300);
    assert!(fleet.orders.is_empty(), "started while {worker} may run it");
    fleet.advance(1_000);
    assert_eq!(fleet.orders.len(), 1, "not restarted");
}

/// Guards against a task that runs twice because its job is read while its attempt, which was
/// unknown until then, is being stopped.
#[test]
fn an_attempt_that_is_stopped_before_its_job_is_read_ends_first() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let worker = fleet.workers_running(key(1, 0, 0))[0].clone();
    fleet.take_over(2, &[], vec![queue("q")]);
    fleet.renew_all();
    // The stop gets no answer, and the worker takes its time to carry it out.
    fleet.set_unresponsive(&worker, true);
    fleet.advance(1_600);
    assert_eq!(fleet.stops.len(), 1);
    fleet.submit(1, spec(vec![step(1)]));
    fleet.advance(100);
    assert!(fleet.orders.is_empty(), "started while {worker} may run it");
    let simulated = fleet.workers.get_mut(&worker).expect("a worker");
    simulated.unresponsive = false;
    simulated.end(key(1, 0, 0), Outcome::Stopped);
    fleet.renew(&worker);
    fleet.advance(100);
    assert_eq!(fleet.orders.len(), 1, "not started");
}

/// Guards against tasks that run twice after two changes of owner: the second owner recorded a
/// worker as removed while the worker might run an attempt of the first one.
#[test]
fn a_worker_that_may_run_attempts_of_a_previous_owner_is_not_removed() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let worker = fleet.workers_running(key(1, 0, 0))[0].clone();
    fleet.take_over(2, &[submitted(1, vec![step(1)])], vec![queue("q")]);
    fleet.set_unresponsive(&worker, true);
    fleet.renew_all();
    fleet.shard.unlist_worker(&worker);
    let removal = Record::WorkerRemoved {
        worker: worker.clone(),
    };
    fleet.advance(5_000);
    assert!(!fleet.records.contains(&removal), "removed too early");
    fleet.advance(4_000);
    assert!(fleet.records.contains(&removal), "not removed");
}

/// Guards against a task that runs again after it has completed: the first report to a new owner
/// holds a part of the worker's ends only.
#[test]
fn a_worker_with_more_ends_has_not_reported_yet() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let worker = fleet.workers_running(key(1, 0, 0))[0].clone();
    fleet.take_over(2, &[submitted(1, vec![step(1)])], vec![queue("q")]);
    let mut report = |may_have_more_ends| {
        let token = fleet.shard.host(&worker).expect("a host").token();
        let report = rosemaryworks_workflow::Report {
            incarnation: 7,
            clock_ms: 2_000_000,
            may_have_more_ends,
            ..rosemaryworks_workflow::Report::default()
        };
        fleet
            .shard
            .report(&worker, report, token, fleet.now_ms, fleet.now_ms);
        for id in ["w0", "w1"].iter().filter(|id| **id != &*worker) {
            fleet.renew(id);
        }
        fleet.advance(100);
        fleet.orders.len()
    };
    assert_eq!(report(true), 0, "started again although it may be done");
    assert_eq!(report(false), 1, "not started");
}

/// Guards against a third run of a task: the end of an attempt on one worker made the task wait
/// although another worker runs it.
#[test]
fn an_end_on_another_worker_does_not_restart_a_task() {
    let mut fleet = Fleet::new(3);
    fleet.submit(1, spec(vec![step(1)]));
    let worker = fleet.workers_running(key(1, 0, 0))[0].clone();
    let other = if &*worker == "w0" { "w1" } else { "w0" };
    let simulated = fleet.workers.get_mut(other).expect("a worker");
    simulated.runs.insert(key(1, 0, 0), 1);
    simulated.end(key(1, 0, 0), Outcome::Lapsed);
    fleet.renew(other);
    fleet.advance(100);
    assert_eq!(fleet.orders.len(), 1, "started while {worker} runs it");
    assert_eq!(fleet.workers_running(key(1, 0, 0)), [worker]);
}

/// Guards against a successor that regards an earlier owner as ended because the owner between them
/// renewed its claim before it had fenced that one.
#[test]
fn a_takeover_is_finished_once_no_previous_owner_acts() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    fleet.take_over(2, &[submitted(1, vec![step(1)])], vec![queue("q")]);
    assert!(!fleet.shard.has_fenced_predecessors(fleet.now_ms));
    fleet.advance(1_100);
    assert!(!fleet.shard.has_fenced_predecessors(fleet.now_ms));
    fleet.renew_all();
    assert!(fleet.shard.has_fenced_predecessors(fleet.now_ms));
}

/// Guards against a successor that calls a worker at its old address: the new one was known to the
/// previous owner only, and the directory has lost the worker's entry.
#[test]
fn a_changed_address_of_a_worker_is_recorded() {
    let mut fleet = Fleet::new(1);
    let size = rosemaryworks_core::size::Size::new(4_000, 16_384);
    let moved = rosemaryworks_workflow::Worker {
        address: "127.0.0.1:2".parse().expect("an address"),
        ..fleet::worker("w0", size, 7)
    };
    fleet.shard.list_worker(moved.clone(), fleet.now_ms);
    fleet.take_actions();
    fleet.workers.get_mut("w0").expect("a worker").unlisted = true;
    fleet.take_over(2, &[], vec![fleet::queue("q")]);
    let host = fleet.shard.host("w0").expect("a worker");
    assert_eq!(host.worker().address, moved.address);
}
