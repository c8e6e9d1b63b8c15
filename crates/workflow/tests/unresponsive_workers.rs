//! Guards against tasks that wait for ever, or run twice, because their worker doesn't answer.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, key, spec, step};
use rosemaryworks_workflow::Outcome;

/// Maximum time from the last answer of a worker to the next start of its tasks: the lease of 6 s
/// on the slowest clock, the time to kill the attempts (0.2 s), the unanswered renewal and the tick
/// after it (0.25 s each).
const RESTART_MAX_MS: u64 = 7_000;

#[test]
fn tasks_of_an_unresponsive_worker_restart_while_its_renewals_fail() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let worker = fleet.workers_running(key(1, 0, 0))[0].clone();
    fleet.renew(&worker);
    fleet.set_unresponsive(&worker, true);
    for _ in 0..RESTART_MAX_MS / 250 {
        fleet.advance(250);
        fleet.renew(&worker);
    }
    assert_eq!(fleet.orders.len(), 2, "not restarted");
    assert_ne!(fleet.orders[1].worker, worker);
}

#[test]
fn tasks_of_an_unresponsive_worker_do_not_restart_before_its_lease_expires() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let worker = fleet.workers_running(key(1, 0, 0))[0].clone();
    fleet.renew(&worker);
    fleet.set_unresponsive(&worker, true);
    for _ in 0..22 {
        fleet.advance(250);
        fleet.renew(&worker);
    }
    assert_eq!(
        fleet.orders.len(),
        1,
        "restarted while the first attempt may run"
    );
}

#[test]
fn an_unanswered_start_is_resolved_by_the_next_renewal() {
    let mut fleet = Fleet::new(1);
    fleet.set_unresponsive("w0", true);
    fleet.submit(1, spec(vec![step(1)]));
    assert_eq!(fleet.orders.len(), 1);
    fleet.set_unresponsive("w0", false);
    // The renewal carries a higher fencing token, so the worker rejects the start request if it
    // arrives late.
    fleet.renew("w0");
    assert!(fleet.workers["w0"].token > fleet.orders[0].token);
    fleet.advance(600);
    assert_eq!(fleet.orders.len(), 2);
    assert_eq!(fleet.orders[1].attempt, 2);
}

#[test]
fn a_worker_that_fails_every_task_is_backed_off() {
    let mut fleet = Fleet::new(2);
    for id in 1..=6 {
        fleet.submit(id, spec(vec![step(1)]));
        let key = key(id, 0, 0);
        while let Some(worker) = fleet.workers_running(key).first().cloned() {
            let how = if &*worker == "w0" {
                Outcome::Failed
            } else {
                Outcome::Done
            };
            fleet.end_and_report(key, how);
        }
    }
    let failing_worker_orders = fleet.orders.iter().filter(|order| &*order.worker == "w0");
    assert!(
        failing_worker_orders.count() <= 2,
        "the failing worker keeps getting tasks"
    );
}

/// If the answer to a renewal is lost, ends during its whole wait are reported only by the next
/// renewal. With one lost answer in twenty, a third of the jobs of ten tasks waited 0.8 s longer.
#[test]
fn renewals_wait_less_while_answers_get_lost() {
    let mut fleet = Fleet::new(20);
    fleet.submit(1, spec(vec![step(20)]));
    let ids: Vec<_> = fleet.workers.keys().cloned().collect();
    let wait_ms = |fleet: &mut Fleet| {
        fleet
            .shard
            .renewal(&ids[0], fleet.now_ms)
            .expect("a renewal")
            .wait_ms
    };
    fleet.renew_all();
    assert_eq!(wait_ms(&mut fleet), 800);
    for round in 0..20 {
        let id = &ids[round % ids.len()];
        fleet.set_unresponsive(id, true);
        fleet.renew(id);
        fleet.set_unresponsive(id, false);
        fleet.advance(30);
        fleet.renew_all();
    }
    assert!(wait_ms(&mut fleet) <= 200, "{}", wait_ms(&mut fleet));
    for _ in 0..40 {
        fleet.advance(30);
        fleet.renew_all();
    }
    assert_eq!(wait_ms(&mut fleet), 800);
}

#[test]
fn an_ended_worker_does_not_count_as_lost_answers() {
    let mut fleet = Fleet::new(20);
    fleet.submit(1, spec(vec![step(20)]));
    let ids: Vec<_> = fleet.workers.keys().cloned().collect();
    fleet.renew_all();
    fleet.set_unresponsive(&ids[1], true);
    // Shorter than the time after which stalled attempts are stopped.
    for _ in 0..30 {
        fleet.advance(100);
        fleet.renew_all();
    }
    let renewal = fleet
        .shard
        .renewal(&ids[0], fleet.now_ms)
        .expect("a renewal");
    assert_eq!(renewal.wait_ms, 800);
}

fn drain(fleet: &mut Fleet, id: &str) {
    let mut worker = fleet::worker(id, rosemaryworks_core::size::Size::new(4_000, 16_384), 7);
    worker.draining = true;
    fleet.shard.list_worker(worker, fleet.now_ms);
}

/// If a departed worker were kept, a successor would wait for the lease of a worker that left
/// seconds before.
#[test]
fn a_departed_worker_without_attempts_is_removed_at_once() {
    let mut fleet = Fleet::new(2);
    drain(&mut fleet, "w0");
    fleet.set_unresponsive("w0", true);
    fleet.renew("w0");
    fleet.shard.unlist_worker("w0");
    fleet.tick();
    assert!(fleet.shard.host("w0").is_none());
    let removal = rosemaryworks_workflow::Record::WorkerRemoved {
        worker: "w0".into(),
    };
    assert!(fleet.records.contains(&removal));
}

/// Guards against tasks that run twice because a draining worker is cut off from the log and from
/// its owner: its entry expires and it doesn't answer, but it runs on under its lease.
#[test]
fn tasks_of_a_departed_worker_wait_for_its_lease() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let worker = fleet.workers_running(key(1, 0, 0))[0].clone();
    fleet.renew(&worker);
    drain(&mut fleet, &worker);
    fleet.set_unresponsive(&worker, true);
    fleet.renew(&worker);
    fleet.shard.unlist_worker(&worker);
    for _ in 0..22 {
        fleet.advance(250);
        fleet.renew(&worker);
        assert_eq!(
            fleet.orders.len(),
            1,
            "restarted while the first attempt may run"
        );
    }
    fleet.advance(RESTART_MAX_MS - 22 * 250);
    assert_eq!(fleet.orders.len(), 2, "its task was not restarted");
    assert!(fleet.shard.host(&worker).is_none(), "not removed");
    let removal = rosemaryworks_workflow::Record::WorkerRemoved { worker };
    assert!(fleet.records.contains(&removal));
}

/// Directory entries expire while the log is unreachable, including those of workers that drain
/// slowly. Their tasks must not run twice.
#[test]
fn a_draining_worker_that_answers_keeps_its_tasks_when_its_entry_expires() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let worker = fleet.workers_running(key(1, 0, 0))[0].clone();
    drain(&mut fleet, &worker);
    fleet.shard.unlist_worker(&worker);
    fleet.tick();
    fleet.renew(&worker);
    fleet.advance(100);
    assert_eq!(
        fleet.orders.len(),
        1,
        "restarted while the first attempt runs"
    );
}

/// Guards against tasks that run twice because a cut refuses or resets the connections to a worker
/// that is alive: neither shows that the worker has ended.
#[test]
fn tasks_of_a_worker_that_refuses_connections_wait_for_its_lease() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let worker = fleet.workers_running(key(1, 0, 0))[0].clone();
    fleet.renew(&worker);
    let mut refuse = |ms: u64| {
        fleet.advance(ms);
        let renewal = fleet.shard.renewal(&worker, fleet.now_ms);
        let token = renewal.expect("a renewal").token;
        let fault = rosemaryworks_workflow::RenewalFault::Refused;
        fleet
            .shard
            .renewal_failed(&worker, token, fault, fleet.now_ms);
        fleet.tick();
        fleet.orders.len()
    };
    for _ in 0..22 {
        assert_eq!(refuse(250), 1, "restarted while the first attempt may run");
    }
    assert_eq!(refuse(RESTART_MAX_MS - 22 * 250), 2, "not restarted");
    assert_ne!(fleet.orders[1].worker, worker);
}

/// Lists the next incarnation of a worker while a start request to the previous one is under way.
fn restart_worker_during_a_start(fleet: &mut Fleet) -> rosemaryworks_workflow::Order {
    fleet.shard.submit(
        rosemaryworks_workflow::Id(1),
        "q".into(),
        spec(vec![step(1)]),
        fleet.now_ms,
    );
    fleet.shard.tick(fleet.now_ms, fleet.now_ms);
    let actions = fleet.shard.take_actions();
    let order = actions.into_iter().find_map(|action| match action {
        rosemaryworks_workflow::Action::Start(order) => Some(order),
        _ => None,
    });
    let order = order.expect("a start");
    let size = rosemaryworks_core::size::Size::new(4_000, 16_384);
    let next = fleet::worker(&order.worker, size, 8);
    fleet.shard.list_worker(next, fleet.now_ms);
    fleet.advance(10);
    assert!(
        fleet.orders.is_empty(),
        "restarted while the first start is under way"
    );
    order
}

/// Guards against tasks that run twice because a start request that was under way when the worker
/// ended reaches the worker's next incarnation, which has seen no fencing token.
#[test]
fn a_start_that_reaches_the_next_incarnation_of_a_worker_counts() {
    let mut fleet = Fleet::new(2);
    let order = restart_worker_during_a_start(&mut fleet);
    let restarted = fleet.workers.get_mut(&order.worker).expect("a worker");
    restarted.incarnation = 8;
    restarted.runs.insert(order.key, order.attempt);
    let accepted = rosemaryworks_workflow::StartOutcome::Accepted { clock_ms: 5 };
    fleet.shard.start_answered(&order, accepted, fleet.now_ms);
    for _ in 0..4 {
        fleet.advance(250);
        fleet.renew_all();
    }
    assert!(fleet.orders.is_empty(), "started a second time");
}

/// Guards against a task that waits for ever for a start that its worker's end has undone.
#[test]
fn a_start_that_the_next_incarnation_of_a_worker_did_not_receive_is_repeated() {
    for outcome in [
        rosemaryworks_workflow::StartOutcome::Unknown,
        rosemaryworks_workflow::StartOutcome::Accepted { clock_ms: 5 },
        rosemaryworks_workflow::StartOutcome::Refused(rosemaryworks_workflow::Refusal::NotSent),
    ] {
        let mut fleet = Fleet::new(2);
        let order = restart_worker_during_a_start(&mut fleet);
        fleet
            .workers
            .get_mut(&order.worker)
            .expect("a worker")
            .incarnation = 8;
        fleet.shard.start_answered(&order, outcome, fleet.now_ms);
        for _ in 0..4 {
            fleet.advance(250);
            fleet.renew_all();
        }
        assert_eq!(fleet.orders.len(), 1, "after {outcome:?}");
    }
}

/// Guards against tasks that run twice because a start request to an earlier incarnation gave the
/// next one a lease that the owner doesn't know: its deadline is on another clock, so the worker
/// may keep the attempt for the longest lease that it grants, from when the request is carried out.
#[test]
fn an_attempt_that_reached_the_next_incarnation_is_kept_for_the_longest_lease() {
    // A call without an answer may be carried out 12 s later.
    for (outcome, late_ms) in [
        (rosemaryworks_workflow::StartOutcome::Unknown, 12_000),
        (
            rosemaryworks_workflow::StartOutcome::Accepted { clock_ms: 5 },
            0,
        ),
    ] {
        let mut fleet = Fleet::new(2);
        let order = restart_worker_during_a_start(&mut fleet);
        fleet.shard.start_answered(&order, outcome, fleet.now_ms);
        fleet.set_unresponsive(&order.worker, true);
        let longest_ms = late_ms + fleet::settings().lease_max_ms;
        for _ in 0..longest_ms / 250 {
            fleet.advance(250);
            fleet.renew(&order.worker);
        }
        assert!(
            fleet.orders.is_empty(),
            "started while the worker may run it after {outcome:?}"
        );
        for _ in 0..8 {
            fleet.advance(250);
            fleet.renew(&order.worker);
        }
        assert_eq!(fleet.orders.len(), 1, "not restarted after {outcome:?}");
    }
}

/// Guards against an owner that steps down, and against late start requests that a worker accepts
/// again, because a worker that was removed and listed again is sent lower fencing tokens.
#[test]
fn a_worker_that_is_listed_again_gets_no_lower_token() {
    let mut fleet = Fleet::new(2);
    // An unanswered start raises the token.
    fleet.set_unresponsive("w0", true);
    fleet.set_unresponsive("w1", true);
    fleet.submit(1, spec(vec![step(2)]));
    let highest = fleet.shard.host("w0").expect("a host").token();
    for _ in 0..40 {
        fleet.advance(250);
        fleet.renew("w0");
        fleet.shard.unlist_worker("w0");
    }
    assert!(fleet.shard.host("w0").is_none(), "not removed");
    fleet.shard.list_worker(
        fleet::worker("w0", rosemaryworks_core::size::Size::new(4_000, 16_384), 7),
        fleet.now_ms,
    );
    let token = fleet.shard.host("w0").expect("a host").token();
    assert!(token >= highest, "{token} after {highest}");
}

/// Guards against a task that runs again after it has completed: during a long outage of the log no
/// end is acknowledged, a worker returns only its first ends, and an attempt that is neither among
/// these nor running has ended, with an outcome that is not known yet.
#[test]
fn an_attempt_beyond_the_reported_ends_is_not_lost() {
    let mut fleet = Fleet::new(1);
    fleet.submit(1, spec(vec![step(1)]));
    let mut report = |may_have_more_ends| {
        fleet.advance(1_000);
        let token = fleet.shard.host("w0").expect("a host").token();
        let report = rosemaryworks_workflow::Report {
            incarnation: 7,
            clock_ms: 2_000_000,
            may_have_more_ends,
            ..rosemaryworks_workflow::Report::default()
        };
        fleet
            .shard
            .report("w0", report, token, fleet.now_ms, fleet.now_ms);
        fleet.tick();
        fleet.orders.len()
    };
    assert_eq!(report(true), 1, "started again although it may be done");
    assert_eq!(report(false), 2, "not started again");
}

/// Guards against a task that runs twice because a failed stop makes an old report count: the
/// renewal was sent before the attempt was started, so its answer can't list the attempt.
#[test]
fn a_report_from_before_a_start_does_not_end_an_attempt_whose_stop_failed() {
    let mut fleet = Fleet::new(2);
    let sent_ms = fleet.now_ms;
    let token = fleet.shard.host("w0").expect("a host").token();
    fleet.advance(100);
    let service = rosemaryworks_workflow::Step {
        service: true,
        ..step(1)
    };
    fleet.submit(1, spec(vec![service]));
    assert_eq!(fleet.workers_running(key(1, 0, 0)), ["w0".into()]);
    fleet.set_unresponsive("w0", true);
    drain(&mut fleet, "w0");
    fleet.advance(10);
    assert_eq!(fleet.stops.len(), 1);
    fleet.shard.stop_failed("w0", key(1, 0, 0), 1);
    let report = rosemaryworks_workflow::Report {
        incarnation: 7,
        clock_ms: 2_000_000,
        ..rosemaryworks_workflow::Report::default()
    };
    fleet
        .shard
        .report("w0", report, token, sent_ms, fleet.now_ms);
    fleet.tick();
    assert!(fleet.lost.is_empty(), "{:?}", fleet.lost);
}
