//! Guards against tasks that start in the wrong order, on the wrong worker, too often or beyond the
//! capacity of a worker.

#[path = "support/fleet.rs"]
mod fleet;

use std::collections::BTreeSet;

use fleet::{Fleet, key, queue, spec, step};
use rosemaryworks_core::size::Size;
use rosemaryworks_workflow::{Action, AdviceTerms, Id, Outcome, Queue, State, Step};

#[test]
fn a_step_waits_for_every_task_of_its_dependencies() {
    let mut fleet = Fleet::new(2);
    let second = Step {
        after: vec![0],
        ..step(1)
    };
    fleet.submit(1, spec(vec![step(2), second]));
    fleet.end_and_report(key(1, 0, 0), Outcome::Done);
    assert!(fleet.workers_running(key(1, 1, 0)).is_empty());
    fleet.end_and_report(key(1, 0, 1), Outcome::Done);
    assert_eq!(fleet.workers_running(key(1, 1, 0)).len(), 1);
}

#[test]
fn a_worker_is_never_overcommitted() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(20)]));
    for simulated in fleet.workers.values() {
        assert_eq!(simulated.runs.len(), 4, "each worker has four cores");
    }
    let id = fleet.end_attempt(key(1, 0, 0), Outcome::Done);
    fleet.tick();
    assert_eq!(
        fleet.workers[&id].runs.len(),
        3,
        "capacity was released before the end was reported"
    );
    fleet.renew(&id);
    fleet.tick();
    assert_eq!(fleet.workers[&id].runs.len(), 4);
}

#[test]
fn a_gang_starts_whole_with_one_attempt_number_or_not_at_all() {
    let mut fleet = Fleet::new(2);
    let gang = Step {
        gang: true,
        size: Size::new(3_000, 1_024),
        ..step(3)
    };
    fleet.submit(1, spec(vec![gang.clone()]));
    assert!(fleet.orders.is_empty(), "two of three members started");
    fleet.submit(2, spec(vec![Step { count: 2, ..gang }]));
    let attempts: BTreeSet<u32> = fleet.orders.iter().map(|order| order.attempt).collect();
    assert_eq!((fleet.orders.len(), attempts.len()), (2, 1));
    // A gang has completed when one member has.
    fleet.end_and_report(key(2, 0, 0), Outcome::Done);
    fleet.make_durable();
    assert_eq!(fleet.shard.state(Id(2)), Some(State::Completed));
}

#[test]
fn a_gang_that_lost_a_member_starts_again_as_a_whole() {
    let mut fleet = Fleet::new(2);
    let gang = Step {
        gang: true,
        size: Size::new(3_000, 1_024),
        ..step(2)
    };
    fleet.submit(1, spec(vec![gang]));
    fleet.end_and_report(key(1, 0, 0), Outcome::Failed);
    assert_eq!(fleet.stops.len(), 1, "the remaining member was not stopped");
    fleet.renew_all();
    fleet.make_durable();
    fleet.advance(1_500);
    let attempts: Vec<u32> = fleet.orders.iter().map(|order| order.attempt).collect();
    assert_eq!(attempts, [1, 1, 2, 2]);
}

#[test]
fn a_task_fails_its_job_after_as_many_attempts_as_the_queue_allows() {
    let mut fleet = Fleet::new(8);
    fleet.submit(1, spec(vec![step(1)]));
    for _ in 0..4 {
        fleet.end_and_report(key(1, 0, 0), Outcome::Failed);
    }
    assert_eq!(fleet.orders.len(), 4);
    fleet.make_durable();
    assert_eq!(fleet.shard.state(Id(1)), Some(State::Failed));
}

#[test]
fn a_service_task_starts_again_however_it_ends() {
    let mut fleet = Fleet::new(8);
    let service = Step {
        service: true,
        ..step(1)
    };
    fleet.submit(1, spec(vec![service]));
    for how in [
        Outcome::Failed,
        Outcome::Failed,
        Outcome::Done,
        Outcome::Failed,
        Outcome::Failed,
        Outcome::Lapsed,
    ] {
        fleet.end_and_report(key(1, 0, 0), how);
    }
    assert_eq!(fleet.orders.len(), 7);
    fleet.shard.cancel(Id(1), fleet.now_ms);
    fleet.tick();
    assert_eq!(fleet.shard.state(Id(1)), Some(State::Cancelled));
    assert!(
        fleet.workers_running(key(1, 0, 0)).is_empty(),
        "runs after the job was cancelled"
    );
}

#[test]
fn a_cancellation_that_arrives_before_its_job_counts() {
    let mut fleet = Fleet::new(1);
    fleet.shard.cancel(Id(1), fleet.now_ms);
    fleet.submit(1, spec(vec![step(1)]));
    assert!(fleet.orders.is_empty());
}

#[test]
fn a_job_that_is_submitted_twice_runs_once() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    fleet.submit(1, spec(vec![step(1)]));
    assert_eq!(fleet.orders.len(), 1);
}

#[test]
fn no_more_tasks_of_a_step_than_allowed_share_a_worker() {
    let mut fleet = Fleet::new(2);
    let limited = Step {
        max_per_worker: 1,
        ..step(4)
    };
    fleet.submit(1, spec(vec![limited]));
    assert_eq!(fleet.orders.len(), 2);
}

fn queue_with_advice() -> Queue {
    Queue {
        advice: Some(AdviceTerms {
            call_ms: 13.0,
            worker_ms: 0.2,
            validity_ms: 2_000,
        }),
        ..queue("q")
    }
}

#[test]
fn a_step_that_needs_advice_starts_only_with_a_valid_permit() {
    let mut fleet = Fleet::with_queues(2, vec![queue_with_advice()]);
    fleet.submit(1, spec(vec![step(1)]));
    assert!(fleet.orders.is_empty());
    let request = fleet.advice_requests[0].clone();
    assert_eq!(request.workers.len(), 2);
    let permits = vec![("w1".into(), "permit".into())];
    fleet
        .shard
        .advice_received(request.step, permits, fleet.now_ms + 2_000, fleet.now_ms);
    fleet.tick();
    assert_eq!(fleet.orders.len(), 1);
    assert_eq!(&*fleet.orders[0].worker, "w1");
    assert_eq!(fleet.orders[0].permit.as_deref(), Some("permit"));
}

#[test]
fn many_steps_request_no_more_advice_than_free_capacity_allows() {
    let mut fleet = Fleet::with_queues(2, vec![queue_with_advice()]);
    for id in 1..=100 {
        fleet.submit(id, spec(vec![step(4)]));
    }
    // Eight cores are free and are counted twice, enough for four steps of four cores.
    assert!(
        fleet.advice_requests.len() <= 4,
        "{} advice requests",
        fleet.advice_requests.len()
    );
}

#[test]
fn best_effort_tasks_pause_while_a_service_is_slow() {
    let mut fleet = Fleet::new(1);
    let service = Step {
        service: true,
        latency_target_ms: 100,
        ..step(1)
    };
    let best_effort = Step {
        best_effort: true,
        ..step(1)
    };
    fleet.submit(1, spec(vec![service]));
    fleet.submit(2, spec(vec![best_effort]));
    fleet.workers.get_mut("w0").expect("a worker").metric = 95.0;
    let serving = key(1, 0, 0);
    fleet
        .workers
        .get_mut("w0")
        .expect("a worker")
        .percent
        .insert(serving, 100);
    for _ in 0..4 {
        fleet.advance(100);
        fleet.renew("w0");
    }
    let last = fleet.paces.last().expect("a throttled best-effort task");
    assert_eq!((last.run.key, last.percent), (key(2, 0, 0), 0));
}

/// If a job is cancelled while a start request is in flight, the attempt may begin after a renewal
/// that doesn't report it. Its capacity was then assigned to other tasks and the worker was
/// overcommitted (soak seed 139).
#[test]
fn a_start_in_flight_occupies_capacity_although_its_job_is_cancelled() {
    let mut fleet = Fleet::new(1);
    let whole_worker = Step {
        size: Size::new(4_000, 1_024),
        ..step(1)
    };
    fleet.shard.submit(
        Id(1),
        "q".into(),
        spec(vec![whole_worker.clone()]),
        fleet.now_ms,
    );
    // The terms of the queue.
    fleet.take_actions();
    fleet.shard.tick(fleet.now_ms, fleet.now_ms);
    let started = fleet.shard.take_actions();
    assert!(matches!(started[..], [Action::Start(_)]), "{started:?}");
    fleet.now_ms += 5;
    fleet.shard.cancel(Id(1), fleet.now_ms);
    fleet.now_ms += 5;
    fleet.renew("w0");
    fleet.submit(2, spec(vec![whole_worker]));
    assert!(
        fleet.orders.is_empty(),
        "its capacity was given to another task"
    );
}
