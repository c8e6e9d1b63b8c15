//! Guards against looks at the waiting work that last longer than a small part of a claim's life, whatever
//! waits (review/14).

#[path = "support/fleet.rs"]
mod fleet;

use std::sync::Arc;

use fleet::{Fleet, queue, spec, step, team, team_spec};
use rosemaryworks_core::size::Size;
use rosemaryworks_workflow::{Id, Outcome, Queue, Step};

/// Work that a pass may do.
const BUDGET: u64 = 20_000;

/// Work by which a pass may exceed it: the gang that it has begun to place.
const LAST_STEP: u64 = 6_000 * 17 + 1_000;

/// Passes within which an ordinary job must start beside hopeless ones.
const PASSES: u32 = 40;

/// Ticks until a condition holds. Returns the largest cost of a pass.
fn tick_until(fleet: &mut Fleet, passes: u32, is_met: impl Fn(&Fleet) -> bool) -> u64 {
    let mut largest = 0;
    for _ in 0..passes {
        if is_met(fleet) {
            return largest;
        }
        fleet.shard.set_pass_budget(BUDGET);
        fleet.now_ms += 20;
        fleet.tick();
        largest = largest.max(fleet.shard.pass_cost());
    }
    panic!("not met after {passes} passes");
}

fn has_started(id: u64) -> impl Fn(&Fleet) -> bool {
    move |fleet| {
        fleet
            .orders
            .iter()
            .any(|order| order.key.step.job == Id(id))
    }
}

/// Submits hopeless jobs, then an ordinary one, which must start soon.
fn assert_bounded(name: &str, jobs: u64, steps: &[Step]) {
    let mut fleet = Fleet::new(35);
    for id in 0..jobs {
        let spec = spec(steps.to_vec());
        fleet.shard.submit(Id(id), "q".into(), spec, fleet.now_ms);
    }
    fleet.shard.set_pass_budget(BUDGET);
    fleet.tick();
    let first = fleet.shard.pass_cost();
    let id = 1_000;
    fleet
        .shard
        .submit(Id(id), "q".into(), spec(vec![step(1)]), fleet.now_ms);
    let largest = tick_until(&mut fleet, PASSES, has_started(id)).max(first);
    assert!(largest <= BUDGET + LAST_STEP, "{name}: {largest}");
    for _ in 0..PASSES {
        fleet.now_ms += 20;
        fleet.tick();
        let cost = fleet.shard.pass_cost();
        assert!(cost <= BUDGET + LAST_STEP, "{name}: {cost}");
    }
}

fn gang(count: u32, millicores: u64) -> Step {
    Step {
        gang: true,
        size: Size::new(millicores, 0),
        ..step(count)
    }
}

fn labelled(count: u32) -> Step {
    Step {
        requires: Some("nobody".into()),
        ..step(count)
    }
}

/// One gang that is wider than its pool made each pass last for seconds, in which no claim was renewed.
#[test]
fn a_gang_that_is_wider_than_its_pool_does_not_hold_up_others() {
    assert_bounded("99,000 members", 1, &[gang(99_000, 7)]);
}

#[test]
fn other_jobs_that_can_never_run_do_not_hold_up_others() {
    let on_one_rack = Step {
        one_rack: true,
        ..gang(20_000, 7)
    };
    assert_bounded("gangs on one rack", 3, &[on_one_rack]);
    assert_bounded("wide gangs", 12, &[gang(6_000, 30)]);
    let steps = vec![labelled(1); 4_000];
    assert_bounded("steps with a label that no worker has", 10, &steps);
    assert_bounded("wide steps with such a label", 2, &[labelled(99_000)]);
    assert_bounded("gangs of no size", 2, &[gang(99_000, 0)]);
}

/// Jobs that could run, but not yet: the pool is full.
#[test]
fn many_steps_that_wait_for_room_are_looked_at_in_turn() {
    let mut fleet = Fleet::new(4);
    fleet.submit(1, spec(vec![step(16)]));
    fleet.tick();
    assert_eq!(fleet.orders.len(), 16);
    let large = Step {
        size: Size::new(4_000, 1_024),
        ..step(1)
    };
    fleet
        .shard
        .submit(Id(2), "q".into(), spec(vec![large; 6_000]), fleet.now_ms);
    let small = Step {
        size: Size::new(100, 64),
        ..step(1)
    };
    fleet
        .shard
        .submit(Id(3), "q".into(), spec(vec![small]), fleet.now_ms);
    for _ in 0..PASSES {
        fleet.shard.set_pass_budget(BUDGET);
        fleet.now_ms += 20;
        fleet.tick();
        assert!(fleet.shard.pass_cost() <= BUDGET + LAST_STEP);
    }
    fleet.end_and_report(fleet::key(1, 0, 0), Outcome::Done);
    let largest = tick_until(&mut fleet, PASSES, has_started(3));
    assert!(largest <= BUDGET + LAST_STEP, "{largest}");
}

/// A team with many waiting steps kept those of another one from being looked at.
#[test]
fn a_team_with_many_steps_does_not_hold_up_another_one() {
    let mut fleet = Fleet::new(4);
    let teams = [team("a", 1.0, Size::ZERO), team("b", 1.0, Size::ZERO)];
    fleet.shard.set_teams(Some(teams.into_iter().collect()));
    let large = Step {
        size: Size::new(4_000, 1_024),
        ..step(1)
    };
    fleet.submit(1, team_spec("a", vec![step(16)]));
    fleet.tick();
    for id in 2..6 {
        let spec = team_spec("a", vec![large.clone(); 5_000]);
        fleet.shard.submit(Id(id), "q".into(), spec, fleet.now_ms);
    }
    fleet.now_ms += 20;
    fleet.tick();
    fleet.end_and_report(fleet::key(1, 0, 0), Outcome::Done);
    fleet.shard.submit(
        Id(9),
        "q".into(),
        team_spec("b", vec![step(1)]),
        fleet.now_ms,
    );
    tick_until(&mut fleet, 3, has_started(9));
}

#[test]
fn a_parked_step_starts_once_a_worker_can_run_it() {
    let mut fleet = Fleet::new(1);
    let labelled = Step {
        requires: Some("new".into()),
        ..step(1)
    };
    let wide = gang(6, 1_000);
    fleet.submit(1, spec(vec![labelled]));
    fleet.submit(2, spec(vec![wide]));
    fleet.tick();
    assert_eq!(fleet.shard.passes().parked, 2);
    fleet.add_worker("w9");
    for _ in 0..2 {
        fleet.make_durable();
        fleet.renew_all();
    }
    tick_until(&mut fleet, 10, has_started(2));
    let mut worker = fleet.shard.host("w9").expect("the worker").worker().clone();
    worker.labels.push("new".into());
    fleet.shard.list_worker(worker, fleet.now_ms);
    tick_until(&mut fleet, 10, has_started(1));
}

/// Gangs are planned over several passes if one is too short for all.
#[test]
fn gangs_are_planned_although_a_pass_is_too_short_for_all() {
    let urgent = Queue {
        priority: 0,
        ..queue("q")
    };
    let batch = Queue {
        priority: 5,
        ..queue("batch")
    };
    let mut fleet = Fleet::with_queues(8, vec![urgent, batch]);
    let filling = Step {
        checkpoints: true,
        ..step(32)
    };
    let submit = |fleet: &mut Fleet, id, queue: &str, steps| {
        let spec = Arc::clone(&spec(steps));
        fleet.shard.submit(Id(id), queue.into(), spec, fleet.now_ms);
        fleet.tick();
    };
    submit(&mut fleet, 1, "batch", vec![filling]);
    assert_eq!(fleet.orders.len(), 32);
    fleet.renew_all();
    submit(&mut fleet, 2, "q", vec![gang(8, 4_000); 40]);
    fleet.shard.set_pass_budget(64);
    for _ in 0..100 {
        fleet.now_ms += 20;
        fleet.tick();
    }
    assert!(!fleet.stops.is_empty(), "no task was preempted for a gang");
}

/// Steps of jobs that had ended stayed in memory until their turn.
#[test]
fn steps_of_ended_jobs_do_not_wait() {
    let mut fleet = Fleet::new(1);
    for id in 0..20 {
        let spec = spec(vec![labelled(1); 5_000]);
        fleet.shard.submit(Id(id), "q".into(), spec, fleet.now_ms);
        fleet.tick();
    }
    assert!(fleet.shard.passes().backlog > 50_000);
    for id in 0..20 {
        fleet.shard.cancel(Id(id), fleet.now_ms);
    }
    assert_eq!(fleet.shard.passes().backlog, 0);
    assert_eq!(fleet.shard.passes().parked, 0);
}
