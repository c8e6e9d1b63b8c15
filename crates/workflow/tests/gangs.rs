//! Guards against gangs that starve beside a crowd of small tasks, and against work that is stopped
//! for nothing.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, key, queue, spec, step};
use rosemaryworks_core::size::Size;
use rosemaryworks_workflow::{AdviceTerms, Id, Outcome, Queue, Step};

fn queues(advice: Option<AdviceTerms>) -> Vec<Queue> {
    let urgent = Queue {
        advice,
        priority: 1,
        ..queue("gangs")
    };
    let crowd = Queue {
        priority: 2,
        ..queue("crowd")
    };
    let first = Queue {
        priority: 0,
        ..queue("first")
    };
    vec![urgent, crowd, first]
}

/// A gang of which each member takes a whole worker of four cores.
fn gang(count: u32) -> Step {
    Step {
        gang: true,
        size: Size::new(4_000, 1_024),
        ..step(count)
    }
}

fn saved(count: u32) -> Step {
    Step {
        checkpoints: true,
        ..step(count)
    }
}

fn submit(fleet: &mut Fleet, id: u64, queue: &str, step: Step) {
    fleet.shard.submit(Id(id), queue.into(), spec(vec![step]));
    fleet.step();
}

/// Runs of the crowd are reported as running before they may be stopped.
fn settle(fleet: &mut Fleet) {
    fleet.look_all();
    fleet.pass(30);
}

#[test]
fn a_gang_gets_room_from_small_tasks_of_lower_priority() {
    let mut fleet = Fleet::with_queues(2, queues(None));
    submit(&mut fleet, 1, "crowd", saved(20));
    assert_eq!(fleet.orders.len(), 8);
    settle(&mut fleet);
    submit(&mut fleet, 2, "gangs", gang(2));
    fleet.pass(30);
    settle(&mut fleet);
    assert_eq!(fleet.places(key(2, 0, 0)).len(), 1, "the gang starves");
    assert_eq!(fleet.places(key(2, 0, 1)).len(), 1);
}

#[test]
fn only_as_much_is_stopped_as_the_gang_needs() {
    let mut fleet = Fleet::with_queues(2, queues(None));
    submit(&mut fleet, 1, "crowd", saved(20));
    settle(&mut fleet);
    submit(&mut fleet, 2, "gangs", gang(1));
    fleet.pass(30);
    settle(&mut fleet);
    assert_eq!(fleet.stops.len(), 4, "one worker holds four tasks");
}

#[test]
fn a_task_is_stopped_for_others_once_at_most() {
    let mut fleet = Fleet::with_queues(1, queues(None));
    submit(&mut fleet, 1, "crowd", saved(4));
    settle(&mut fleet);
    submit(&mut fleet, 2, "gangs", gang(1));
    fleet.pass(30);
    settle(&mut fleet);
    fleet.end_known(key(2, 0, 0), Outcome::Done);
    settle(&mut fleet);
    assert_eq!(fleet.places(key(1, 0, 0)).len(), 1, "goes on afterwards");
    let stops = fleet.stops.len();
    submit(&mut fleet, 3, "gangs", gang(1));
    for _ in 0..10 {
        settle(&mut fleet);
    }
    assert_eq!(fleet.stops.len(), stops, "stopped again");
}

#[test]
fn work_without_saved_progress_is_not_stopped() {
    let mut fleet = Fleet::with_queues(2, queues(None));
    submit(&mut fleet, 1, "crowd", step(20));
    settle(&mut fleet);
    submit(&mut fleet, 2, "gangs", gang(1));
    settle(&mut fleet);
    assert!(fleet.stops.is_empty());
}

#[test]
fn more_urgent_work_is_not_stopped() {
    let mut fleet = Fleet::with_queues(2, queues(None));
    submit(&mut fleet, 1, "first", saved(20));
    settle(&mut fleet);
    submit(&mut fleet, 2, "gangs", gang(1));
    settle(&mut fleet);
    assert!(fleet.stops.is_empty());
}

fn terms() -> AdviceTerms {
    AdviceTerms {
        call_ms: 700.0,
        worker_ms: 10.0,
        validity_ms: 2_000,
    }
}

fn answer(fleet: &mut Fleet, good: &[&str]) {
    let ask = fleet.asks.pop().expect("a question");
    let permits = ask
        .workers
        .iter()
        .filter(|id| good.contains(&&***id))
        .map(|id| (id.clone(), "permit".into()))
        .collect();
    let until_ms = fleet.now_ms + ask.validity_ms;
    fleet
        .shard
        .advice_received(ask.step, permits, until_ms, fleet.now_ms);
    fleet.step();
}

/// Three starved gangs at a time renewed their permits without room, which took the questions of
/// half of the VMs.
#[test]
fn a_gang_without_room_renews_no_permits() {
    let mut fleet = Fleet::with_queues(4, queues(Some(terms())));
    submit(&mut fleet, 1, "first", step(16));
    submit(&mut fleet, 2, "gangs", gang(2));
    answer(&mut fleet, &["w0", "w1", "w2"]);
    // Shorter than the time after which runs without progress are stopped.
    for _ in 0..30 {
        fleet.pass(100);
    }
    assert!(fleet.asks.is_empty(), "{:?}", fleet.asks);
}

/// Permits that were renewed one by one were never valid at the same time.
#[test]
fn a_planned_gang_renews_all_its_permits_together_and_starts() {
    let mut fleet = Fleet::with_queues(4, queues(Some(terms())));
    submit(&mut fleet, 1, "first", step(16));
    submit(&mut fleet, 2, "gangs", gang(2));
    answer(&mut fleet, &["w0", "w1", "w2"]);
    fleet.pass(3_000);
    for index in 0..16 {
        fleet.end_known(key(1, 0, index), Outcome::Done);
    }
    fleet.pass(100);
    let ask = fleet.asks.last().expect("a renewal");
    assert_eq!(ask.workers.len(), 2, "the workers of the plan");
    answer(&mut fleet, &["w0", "w1", "w2"]);
    assert_eq!(fleet.places(key(2, 0, 1)).len(), 1);
}

#[test]
fn a_gang_that_can_never_run_asks_once_and_holds_nothing() {
    let mut fleet = Fleet::with_queues(3, queues(Some(terms())));
    submit(&mut fleet, 1, "gangs", gang(3));
    answer(&mut fleet, &["w0"]);
    for _ in 0..50 {
        fleet.pass(100);
    }
    assert!(fleet.asks.is_empty());
    submit(&mut fleet, 2, "crowd", step(12));
    assert_eq!(fleet.orders.len(), 12, "room is held for nothing");
}

/// Without a bound the number of members that fit on all workers overflowed.
#[test]
fn a_gang_of_tasks_without_a_size_starts() {
    let mut fleet = Fleet::with_queues(3, queues(None));
    let empty = Step {
        size: Size::ZERO,
        ..gang(2)
    };
    submit(&mut fleet, 1, "gangs", empty);
    assert_eq!(fleet.orders.len(), 2);
}
