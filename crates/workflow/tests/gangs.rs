//! Guards against gangs that starve beside many small tasks, and against needless preemption.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, key, queue, spec, step};
use rosemaryworks_core::size::Size;
use rosemaryworks_workflow::{AdviceTerms, Id, Outcome, Queue, Step};

fn queues(advice: Option<AdviceTerms>) -> Vec<Queue> {
    let gangs = Queue {
        advice,
        priority: 1,
        ..queue("gangs")
    };
    let small = Queue {
        priority: 2,
        ..queue("small")
    };
    let first = Queue {
        priority: 0,
        ..queue("first")
    };
    vec![gangs, small, first]
}

/// A gang whose members each take a whole worker of four cores.
fn gang(count: u32) -> Step {
    Step {
        gang: true,
        size: Size::new(4_000, 1_024),
        ..step(count)
    }
}

fn checkpointed(count: u32) -> Step {
    Step {
        checkpoints: true,
        ..step(count)
    }
}

fn submit(fleet: &mut Fleet, id: u64, queue: &str, step: Step) {
    fleet
        .shard
        .submit(Id(id), queue.into(), spec(vec![step]), fleet.now_ms);
    fleet.tick();
}

/// Makes the workers report their attempts as running: only such attempts may be preempted.
fn report_running(fleet: &mut Fleet) {
    fleet.renew_all();
    fleet.advance(30);
}

#[test]
fn a_gang_preempts_small_tasks_of_lower_priority() {
    let mut fleet = Fleet::with_queues(2, queues(None));
    submit(&mut fleet, 1, "small", checkpointed(20));
    assert_eq!(fleet.orders.len(), 8);
    report_running(&mut fleet);
    submit(&mut fleet, 2, "gangs", gang(2));
    fleet.advance(30);
    report_running(&mut fleet);
    assert_eq!(
        fleet.workers_running(key(2, 0, 0)).len(),
        1,
        "the gang was not placed"
    );
    assert_eq!(fleet.workers_running(key(2, 0, 1)).len(), 1);
}

#[test]
fn preemption_stops_no_more_than_the_gang_needs() {
    let mut fleet = Fleet::with_queues(2, queues(None));
    submit(&mut fleet, 1, "small", checkpointed(20));
    report_running(&mut fleet);
    submit(&mut fleet, 2, "gangs", gang(1));
    fleet.advance(30);
    report_running(&mut fleet);
    assert_eq!(fleet.stops.len(), 4, "a worker runs four tasks");
}

#[test]
fn a_task_is_preempted_at_most_once() {
    let mut fleet = Fleet::with_queues(1, queues(None));
    submit(&mut fleet, 1, "small", checkpointed(4));
    report_running(&mut fleet);
    submit(&mut fleet, 2, "gangs", gang(1));
    fleet.advance(30);
    report_running(&mut fleet);
    fleet.end_and_report(key(2, 0, 0), Outcome::Done);
    report_running(&mut fleet);
    assert_eq!(
        fleet.workers_running(key(1, 0, 0)).len(),
        1,
        "the task did not restart"
    );
    let stops = fleet.stops.len();
    submit(&mut fleet, 3, "gangs", gang(1));
    for _ in 0..10 {
        report_running(&mut fleet);
    }
    assert_eq!(fleet.stops.len(), stops, "the task was preempted again");
}

#[test]
fn tasks_without_checkpoints_are_not_preempted() {
    let mut fleet = Fleet::with_queues(2, queues(None));
    submit(&mut fleet, 1, "small", step(20));
    report_running(&mut fleet);
    submit(&mut fleet, 2, "gangs", gang(1));
    report_running(&mut fleet);
    assert!(fleet.stops.is_empty());
}

#[test]
fn tasks_of_higher_priority_are_not_preempted() {
    let mut fleet = Fleet::with_queues(2, queues(None));
    submit(&mut fleet, 1, "first", checkpointed(20));
    report_running(&mut fleet);
    submit(&mut fleet, 2, "gangs", gang(1));
    report_running(&mut fleet);
    assert!(fleet.stops.is_empty());
}

fn terms() -> AdviceTerms {
    AdviceTerms {
        call_ms: 700.0,
        worker_ms: 10.0,
        validity_ms: 2_000,
    }
}

fn answer_advice(fleet: &mut Fleet, allowed: &[&str]) {
    let request = fleet.advice_requests.pop().expect("an advice request");
    let permits = request
        .workers
        .iter()
        .filter(|id| allowed.contains(&&***id))
        .map(|id| (id.clone(), "permit".into()))
        .collect();
    let until_ms = fleet.now_ms + request.validity_ms;
    fleet
        .shard
        .advice_received(request.step, permits, until_ms, fleet.now_ms);
    fleet.tick();
}

/// Three starving gangs at a time renewed their permits without free capacity, which used up the
/// request capacity of half of the VMs.
#[test]
fn a_gang_without_capacity_renews_no_permits() {
    let mut fleet = Fleet::with_queues(4, queues(Some(terms())));
    submit(&mut fleet, 1, "first", step(16));
    submit(&mut fleet, 2, "gangs", gang(2));
    answer_advice(&mut fleet, &["w0", "w1", "w2"]);
    // Shorter than the time after which stalled attempts are stopped.
    for _ in 0..30 {
        fleet.advance(100);
    }
    assert!(
        fleet.advice_requests.is_empty(),
        "{:?}",
        fleet.advice_requests
    );
}

/// A gang starts only while all its permits are valid. Permits that were renewed one by one were
/// never all valid at the same time.
#[test]
fn a_planned_gang_renews_all_its_permits_together_and_starts() {
    let mut fleet = Fleet::with_queues(4, queues(Some(terms())));
    submit(&mut fleet, 1, "first", step(16));
    submit(&mut fleet, 2, "gangs", gang(2));
    answer_advice(&mut fleet, &["w0", "w1", "w2"]);
    fleet.advance(3_000);
    for index in 0..16 {
        fleet.end_and_report(key(1, 0, index), Outcome::Done);
    }
    fleet.advance(100);
    let request = fleet.advice_requests.last().expect("a renewal");
    assert_eq!(request.workers.len(), 2, "only the planned workers");
    answer_advice(&mut fleet, &["w0", "w1", "w2"]);
    assert_eq!(fleet.workers_running(key(2, 0, 1)).len(), 1);
}

#[test]
fn an_infeasible_gang_requests_advice_once_and_reserves_nothing() {
    let mut fleet = Fleet::with_queues(3, queues(Some(terms())));
    submit(&mut fleet, 1, "gangs", gang(3));
    answer_advice(&mut fleet, &["w0"]);
    for _ in 0..50 {
        fleet.advance(100);
    }
    assert!(fleet.advice_requests.is_empty());
    submit(&mut fleet, 2, "small", step(12));
    assert_eq!(
        fleet.orders.len(),
        12,
        "capacity is reserved for an infeasible gang"
    );
}

/// Members of size zero fit any number of times. Without a bound the sum of the members that fit on
/// all workers overflowed.
#[test]
fn a_gang_of_tasks_of_size_zero_starts() {
    let mut fleet = Fleet::with_queues(3, queues(None));
    let zero_size = Step {
        size: Size::ZERO,
        ..gang(2)
    };
    submit(&mut fleet, 1, "gangs", zero_size);
    assert_eq!(fleet.orders.len(), 2);
}
