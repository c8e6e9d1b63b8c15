//! Regression tests of the placement kernel, one per fault.

#![allow(missing_docs, unreachable_pub, dead_code)]

#[path = "support/placement_lockstep.rs"]
mod lockstep;
#[path = "support/simulation.rs"]
mod simulation;
#[path = "support/vm.rs"]
mod vm;

use rosemaryworks_core::job::{Kind, Spec, State as JobState, Task};
use rosemaryworks_core::placement::{Action, Event, Lease, Report};
use rosemaryworks_core::size::Size;

use simulation::{Simulation, job};

/// Guards against a job that never ends because it was cancelled before the new owner had surveyed
/// the workers.
#[test]
fn cancel_before_the_survey_ends() {
    let mut sim = Simulation::new(5, 1);
    let spec = Spec {
        tasks: 5,
        kind: Kind::Service,
        ..job("service")
    };
    let id = sim.submit(spec);
    sim.take_over(9_000);
    sim.cancel(&id);
    assert!(sim.run_until_ended(60_000));
    assert_eq!(sim.outcomes[&id], JobState::Cancelled);
}

/// Guards against a gang that waits forever because its tasks avoid nearly every worker after
/// failures there.
#[test]
fn gang_that_failed_everywhere_ends() {
    let mut sim = Simulation::new(5, 1);
    sim.overrides.insert("gang".into(), (1_000, true));
    let id = sim.submit(Spec {
        tasks: 5,
        kind: Kind::Gang,
        ..job("gang")
    });
    assert!(sim.run_until_ended(300_000));
    assert_eq!(sim.outcomes[&id], JobState::Failed);
}

/// Guards against a second lease of a task. A worker reports a lapsed attempt before all workers
/// are surveyed, while another one may hold a later attempt.
#[test]
fn lapsed_attempt_waits_for_the_survey() {
    let mut sim = Simulation::new(5, 0);
    let spec = Spec {
        tasks: 5,
        kind: Kind::Service,
        size: Size::new(500, 500),
        ..job("service")
    };
    let id = sim.submit(spec);
    sim.take_over(10_500);
    sim.run(51);
    sim.take_over(4_650);
    sim.run(30_000);
    assert_eq!(sim.kernel.status(&id).map(|status| status.running), Some(5));
}

/// Guards against a second lease of a task that a worker still runs after it was unlisted.
#[test]
fn new_owner_waits_for_leases_of_unlisted_workers() {
    for restore_unlisted in [false, true] {
        let mut sim = Simulation::new(4, 0);
        sim.restore_unlisted = restore_unlisted;
        let spec = Spec {
            tasks: 8,
            size: Size::new(2_000, 500),
            run_ms: 60_000,
            ..job("tasks")
        };
        sim.submit(spec);
        sim.run(1_000);
        sim.vm(1).listed = false;
        sim.update_list();
        sim.take_over(5_000);
        assert!(sim.run_until_ended(300_000));
    }
}

/// Guards against a quarantine whose delay doubles with each failure of a job that fails
/// everywhere.
#[test]
fn failing_gang_does_not_lengthen_a_quarantine() {
    let mut sim = Simulation::new(5, 0);
    sim.vm(1).fails_tasks = true;
    sim.submit(Spec {
        tasks: 60,
        ..job("good")
    });
    sim.submit(Spec {
        tasks: 60,
        ..job("other")
    });
    sim.run(20_000);
    sim.overrides.insert("gang".into(), (500, true));
    let size = Size::new(3_000, 500);
    sim.submit(Spec {
        tasks: 5,
        kind: Kind::Gang,
        size,
        ..job("gang")
    });
    assert!(sim.run_until_ended(45_000));
}

/// Guards against a gang that is reported as failed although one of its tasks was lost.
#[test]
fn gang_with_a_lost_member_is_lost() {
    let mut sim = Simulation::new(3, 0);
    let spec = Spec {
        tasks: 8,
        kind: Kind::Gang,
        run_ms: 60_000,
        restart: false,
        ..job("gang")
    };
    let id = sim.submit(spec);
    sim.run(1_000);
    let holder = (0..3).find(|index| sim.running_on(*index) > 0);
    sim.reboot(holder.expect("holder"));
    assert!(sim.run_until_ended(60_000));
    assert_eq!(sim.outcomes[&id], JobState::Lost);
}

/// Guards against the release of a lease because another worker reports a later attempt of the
/// task, which an earlier owner granted.
#[test]
fn later_attempt_elsewhere_does_not_release_the_lease() {
    let mut sim = Simulation::new(2, 0);
    let id = sim.submit(Spec {
        kind: Kind::Service,
        ..job("service")
    });
    sim.run(1_000);
    let holder = usize::from(sim.running_on(0) == 0);
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
    let synced =
        |action: &Action| matches!(action, Action::Sync { worker, .. } if **worker == *other);
    let from = sim.actions.len();
    while !sim.actions[from..].iter().any(synced) {
        sim.handle_event(Event::Tick);
        sim.now += 50;
    }
    let report = Report {
        leases: vec![lease],
        ..Report::default()
    };
    sim.handle_event(Event::Synced {
        worker: other.as_str().into(),
        report,
    });
    sim.run(10_000);
    let stopped = |action: &Action| matches!(action, Action::Stop { attempt: 1, .. });
    assert!(!sim.actions.iter().any(stopped));
    assert_eq!(sim.placements.len(), 1);
    assert_eq!(sim.kernel.status(&id).map(|status| status.running), Some(1));
}

/// Guards against work beyond the bound of one tick that has no due time: the tasks beyond the
/// first 2,000 of a restored job would never end. `Lockstep` checks that ticks which aren't due
/// yield no actions.
#[test]
fn work_beyond_the_bound_of_a_tick_is_due_at_once() {
    let mut sim = Simulation::new(0, 1);
    let spec = Spec {
        tasks: 2_500,
        restart: false,
        ..job("j")
    };
    let id = sim.submit(spec);
    for index in 0..2_500 {
        let job = id.clone();
        sim.granted.insert(Task { job, index });
    }
    sim.take_over(9_000);
    assert!(sim.run_until_ended(10_000));
    assert_eq!(sim.outcomes[&id], JobState::Lost);
}
