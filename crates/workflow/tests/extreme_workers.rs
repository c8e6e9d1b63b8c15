//! Guards against arithmetic that overflows on extreme sizes of workers and tasks.

#[path = "support/fleet.rs"]
mod fleet;

use std::sync::Arc;

use fleet::{Fleet, SimulatedWorker, key, queue, spec, step, worker};
use rosemaryworks_core::placement::fit_cost;
use rosemaryworks_core::size::Size;
use rosemaryworks_workflow::{Outcome, Queue, Step};

const WHOLE: Size = Size::new(u64::MAX, u64::MAX).accelerators(u64::MAX);
const HALF: Size = Size::new(u64::MAX / 2, u64::MAX / 2).accelerators(u64::MAX / 2);

/// Returns a fleet of workers of the largest size that can be represented.
fn fleet_of(count: usize, queues: Vec<Queue>) -> Fleet {
    let mut fleet = Fleet::with_queues(0, queues);
    for index in 0..count {
        let id: Arc<str> = format!("w{index}").into();
        let mut simulated = SimulatedWorker::default();
        simulated.incarnation = 7;
        fleet.workers.insert(id.clone(), simulated);
        fleet.shard.list_worker(worker(&id, WHOLE, 7), 0);
    }
    fleet.take_actions();
    fleet.renew_all();
    fleet.make_durable();
    fleet
}

fn sized(size: Size) -> Step {
    Step { size, ..step(1) }
}

/// The used share of a worker's processor time overflowed, and the shard's task ended.
#[test]
fn best_effort_tasks_start_beside_a_task_of_extreme_size() {
    let mut fleet = fleet_of(1, vec![queue("q")]);
    fleet.submit(1, spec(vec![sized(HALF)]));
    let best_effort = Step {
        best_effort: true,
        ..step(1)
    };
    fleet.submit(2, spec(vec![best_effort]));
    assert_eq!(fleet.workers_running(key(2, 0, 0)).len(), 1);
}

/// The same for service tasks.
#[test]
fn service_tasks_start_beside_a_task_of_extreme_size() {
    let mut fleet = fleet_of(1, vec![queue("q")]);
    fleet.submit(1, spec(vec![sized(HALF)]));
    let service = Step {
        service: true,
        ..sized(Size::new(1, 1))
    };
    fleet.submit(2, spec(vec![service]));
    assert_eq!(fleet.workers_running(key(2, 0, 0)).len(), 1);
}

/// The best-fit cost overflowed on the free capacity.
#[test]
fn tasks_start_on_a_worker_of_extreme_size() {
    let mut fleet = fleet_of(2, vec![queue("q")]);
    fleet.submit(1, spec(vec![step(1)]));
    fleet.submit(2, spec(vec![sized(WHOLE)]));
    assert_eq!(fleet.workers_running(key(1, 0, 0)).len(), 1);
    assert_eq!(fleet.workers_running(key(2, 0, 0)).len(), 1);
}

/// A wrapped product made a full worker look empty.
#[test]
fn the_fit_cost_of_extreme_sizes_keeps_its_order() {
    let left_empty = fit_cost(&WHOLE, &WHOLE, &Size::ZERO);
    let left_full = fit_cost(&WHOLE, &WHOLE, &WHOLE);
    assert!(left_full < left_empty, "{left_full} {left_empty}");
    let half = fit_cost(&WHOLE, &WHOLE, &HALF);
    assert!(left_full < half && half < left_empty, "{half}");
}

/// The free share of a worker overflowed when a starving service step reserved workers.
#[test]
fn a_starving_service_step_reserves_workers_of_extreme_size() {
    let mut fleet = fleet_of(1, vec![queue("q")]);
    fleet.submit(1, spec(vec![sized(HALF)]));
    let service = Step {
        service: true,
        ..sized(WHOLE)
    };
    fleet.submit(2, spec(vec![service]));
    fleet.advance(2_000);
    // The worker is reserved by now, so a small task doesn't start there.
    fleet.submit(3, spec(vec![step(1)]));
    assert!(fleet.workers_running(key(3, 0, 0)).is_empty());
    fleet.end_and_report(key(1, 0, 0), Outcome::Done);
    assert_eq!(fleet.workers_running(key(2, 0, 0)).len(), 1);
}

/// The share that a gang leaves free on a worker overflowed.
#[test]
fn a_gang_starts_on_workers_of_extreme_size() {
    let mut fleet = fleet_of(2, vec![queue("q")]);
    let gang = Step {
        count: 2,
        gang: true,
        ..step(2)
    };
    fleet.submit(1, spec(vec![gang]));
    assert_eq!(fleet.workers_running(key(1, 0, 1)).len(), 1);
}

/// The cost of preemption overflowed on the accelerators of the preempted tasks.
#[test]
fn a_gang_preempts_tasks_of_extreme_size() {
    let small = Queue {
        priority: 5,
        ..queue("small")
    };
    let mut fleet = fleet_of(2, vec![queue("q"), small]);
    let preemptible = Step {
        checkpoints: true,
        ..sized(WHOLE)
    };
    for job in 1..=2 {
        let id = rosemaryworks_workflow::Id(job);
        fleet.shard.submit(
            id,
            "small".into(),
            spec(vec![preemptible.clone()]),
            fleet.now_ms,
        );
        fleet.tick();
    }
    fleet.renew_all();
    let gang = Step {
        count: 2,
        gang: true,
        ..sized(WHOLE)
    };
    fleet.submit(3, spec(vec![gang]));
    for _ in 0..5 {
        fleet.advance(100);
        fleet.renew_all();
    }
    assert_eq!(fleet.stops.len(), 2);
}
