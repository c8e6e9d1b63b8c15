//! One test per fault that was found in the placement kernel.

#![allow(missing_docs, unreachable_pub, dead_code)]

#[path = "support/twin.rs"]
mod twin;
#[path = "support/vm.rs"]
mod vm;
#[path = "support/world.rs"]
mod world;

use rosemaryworks_core::job::{Kind, Spec, State as JobState, Task};
use rosemaryworks_core::placement::{Action, Event, Lease, Report};
use rosemaryworks_core::size::Size;

use world::{World, job};

/// Guards against a job that never ends because it was cancelled before the new owner's survey.
#[test]
fn cancel_before_the_survey_ends() {
    let mut world = World::new(5, 1);
    let spec = Spec {
        tasks: 5,
        kind: Kind::Service,
        ..job("service")
    };
    let id = world.submit(spec);
    world.take_over(9_000);
    world.cancel(&id);
    assert!(world.run_until_ended(60_000));
    assert_eq!(world.outcomes[&id], JobState::Cancelled);
}

/// Guards against a gang that waits for ever because its tasks failed on nearly every worker.
#[test]
fn gang_that_failed_everywhere_ends() {
    let mut world = World::new(5, 1);
    world.truth.insert("gang".into(), (1_000, true));
    let id = world.submit(Spec {
        tasks: 5,
        kind: Kind::Gang,
        ..job("gang")
    });
    assert!(world.run_until_ended(300_000));
    assert_eq!(world.outcomes[&id], JobState::Failed);
}

/// Guards against a second lease after a lapsed attempt was reported before all workers were
/// surveyed.
#[test]
fn lapsed_attempt_waits_for_the_survey() {
    let mut world = World::new(5, 0);
    let spec = Spec {
        tasks: 5,
        kind: Kind::Service,
        size: Size::new(500, 500),
        ..job("service")
    };
    let id = world.submit(spec);
    world.take_over(10_500);
    world.run(51);
    world.take_over(4_650);
    world.run(30_000);
    assert_eq!(
        world.kernel.status(&id).map(|status| status.running),
        Some(5)
    );
}

/// Guards against a second lease while a worker that is no longer listed still runs the task.
#[test]
fn unlisted_worker_is_awaited_by_a_new_owner() {
    for recall in [false, true] {
        let mut world = World::new(4, 0);
        world.recall = recall;
        let spec = Spec {
            tasks: 8,
            size: Size::new(2_000, 500),
            run_ms: 60_000,
            ..job("tasks")
        };
        world.submit(spec);
        world.run(1_000);
        world.vm(1).listed = false;
        world.list();
        world.take_over(5_000);
        assert!(world.run_until_ended(300_000));
    }
}

/// Guards against a quarantine that grows with every failure of a job that fails everywhere.
#[test]
fn bad_gang_does_not_prolong_a_quarantine() {
    let mut world = World::new(5, 0);
    world.vm(1).bad = true;
    world.submit(Spec {
        tasks: 60,
        ..job("good")
    });
    world.submit(Spec {
        tasks: 60,
        ..job("other")
    });
    world.run(20_000);
    world.truth.insert("gang".into(), (500, true));
    let size = Size::new(3_000, 500);
    world.submit(Spec {
        tasks: 5,
        kind: Kind::Gang,
        size,
        ..job("gang")
    });
    assert!(world.run_until_ended(45_000));
}

/// Guards against a gang reported as failed although a member was lost.
#[test]
fn gang_with_a_lost_member_is_lost() {
    let mut world = World::new(3, 0);
    let spec = Spec {
        tasks: 8,
        kind: Kind::Gang,
        run_ms: 60_000,
        restart: false,
        ..job("gang")
    };
    let id = world.submit(spec);
    world.run(1_000);
    let holder = (0..3).find(|index| world.running_on(*index) > 0);
    world.reboot(holder.expect("holder"));
    assert!(world.run_until_ended(60_000));
    assert_eq!(world.outcomes[&id], JobState::Lost);
}

/// Guards against a lease that is given up because another worker reports a later attempt of the
/// task, which an earlier owner granted.
#[test]
fn later_attempt_elsewhere_leaves_the_lease_alone() {
    let mut world = World::new(2, 0);
    let id = world.submit(Spec {
        kind: Kind::Service,
        ..job("service")
    });
    world.run(1_000);
    let holder = usize::from(world.running_on(0) == 0);
    let other = format!("w{}", 1 - holder);
    let lease = Lease {
        task: Task {
            job: id.clone(),
            index: 0,
        },
        attempt: 7,
        size: Size::new(1_000, 1_000),
        used: Size::ZERO,
        used_age_ms: 0,
        checkpointed: false,
    };
    let synced = |step: &Action| matches!(step, Action::Sync { worker, .. } if **worker == *other);
    let from = world.steps.len();
    while !world.steps[from..].iter().any(synced) {
        world.feed(Event::Tick);
        world.now += 50;
    }
    let report = Report {
        leases: vec![lease],
        ..Report::default()
    };
    world.feed(Event::Synced {
        worker: other.as_str().into(),
        report,
    });
    world.run(10_000);
    let stopped = |step: &Action| matches!(step, Action::Stop { attempt: 1, .. });
    assert!(!world.steps.iter().any(stopped));
    assert_eq!(world.placed.len(), 1);
    assert_eq!(
        world.kernel.status(&id).map(|status| status.running),
        Some(1)
    );
}

/// Guards against a bounded tick whose rest is not due: the tasks beyond the first 2,000 of a job
/// taken over would never end. The world checks that ticks which aren't due change no step.
#[test]
fn what_one_tick_leaves_over_is_due_at_once() {
    let mut world = World::new(0, 1);
    let spec = Spec {
        tasks: 2_500,
        restart: false,
        ..job("j")
    };
    let id = world.submit(spec);
    for index in 0..2_500 {
        let job = id.clone();
        world.granted.insert(Task { job, index });
    }
    world.take_over(9_000);
    assert!(world.run_until_ended(10_000));
    assert_eq!(world.outcomes[&id], JobState::Lost);
}
