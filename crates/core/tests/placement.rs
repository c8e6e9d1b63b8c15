//! Placement of all kinds of jobs on fake workers.

#![allow(missing_docs, unreachable_pub, dead_code)]

#[path = "support/twin.rs"]
mod twin;
#[path = "support/vm.rs"]
mod vm;
#[path = "support/world.rs"]
mod world;

use rosemaryworks_core::job::{Kind, Priority, Spec, State as JobState};
use rosemaryworks_core::placement::policy;
use rosemaryworks_core::size::Size;

use world::{World, contract, job};

/// Guards against jobs of any kind that never end.
#[test]
fn all_kinds_end() {
    for policy in policy::names() {
        let mut world = World::new(6, 1);
        world.policy = policy;
        world.take_over(100);
        let batch = world.submit(Spec {
            tasks: 30,
            ..job("batch")
        });
        let gang = world.submit(Spec {
            tasks: 8,
            kind: Kind::Gang,
            ..job("gang")
        });
        let service = world.submit(Spec {
            tasks: 3,
            kind: Kind::Service,
            ..job("service")
        });
        world.run(20_000);
        assert_eq!(
            world.outcomes.get(&batch),
            Some(&JobState::Succeeded),
            "{policy}"
        );
        assert_eq!(
            world.outcomes.get(&gang),
            Some(&JobState::Succeeded),
            "{policy}"
        );
        assert_eq!(
            world.kernel.status(&service).map(|status| status.running),
            Some(3)
        );
        world.cancel(&service);
        assert!(world.run_until_ended(10_000), "{policy}");
        assert_eq!(world.outcomes[&service], JobState::Cancelled);
    }
}

/// Guards against the end of a short job that becomes known only with the next renewal, up to 2 s
/// late.
#[test]
fn a_short_job_ends_soon_after_its_tasks() {
    for seed in 1..=10 {
        let mut world = World::new(6, seed);
        world.take_over(100);
        world.run(3_000);
        let short = world.submit(Spec {
            tasks: 4,
            run_ms: 300,
            ..job("short")
        });
        // Shorter than one renewal period, and with room for the delays of the fake workers.
        world.run(1_500);
        assert_eq!(
            world.outcomes.get(&short),
            Some(&JobState::Succeeded),
            "seed {seed}"
        );
    }
}

/// Guards against a gang that is placed in part.
#[test]
fn gang_is_placed_whole_or_not() {
    let mut world = World::new(2, 1);
    let filler = world.submit(Spec {
        tasks: 1,
        run_ms: 10_000,
        ..job("filler")
    });
    world.run(200);
    let gang = world.submit(Spec {
        tasks: 8,
        kind: Kind::Gang,
        ..job("gang")
    });
    world.run(5_000);
    assert_eq!(
        world.kernel.status(&gang).map(|status| status.running),
        Some(0)
    );
    assert!(world.run_until_ended(20_000));
    assert_eq!(world.outcomes[&filler], JobState::Succeeded);
    assert_eq!(world.outcomes[&gang], JobState::Succeeded);
}

/// Guards against tasks that are forgotten or started twice by a new owner.
#[test]
fn takeover_finds_running_tasks() {
    let mut world = World::new(4, 1);
    let long = world.submit(Spec {
        tasks: 8,
        run_ms: 30_000,
        restart: false,
        ..job("long")
    });
    let service = world.submit(Spec {
        tasks: 2,
        kind: Kind::Service,
        ..job("service")
    });
    world.run(3_000);
    world.take_over(4_000);
    let fresh = world.submit(job("fresh"));
    world.run(5_000);
    assert_eq!(
        world.kernel.status(&long).map(|status| status.running),
        Some(8)
    );
    assert_eq!(
        world.kernel.status(&service).map(|status| status.running),
        Some(2)
    );
    assert_eq!(world.outcomes.get(&fresh), Some(&JobState::Succeeded));
    world.cancel(&service);
    assert!(world.run_until_ended(60_000));
    assert_eq!(world.outcomes[&long], JobState::Succeeded);
    assert!(world.starts.values().all(|starts| *starts == 1));
}

/// Guards against a second start of a task that must not restart.
#[test]
fn lost_worker_loses_tasks_without_restart() {
    let mut world = World::new(2, 1);
    let once = world.submit(Spec {
        tasks: 2,
        run_ms: 20_000,
        restart: false,
        ..job("once")
    });
    let again = world.submit(Spec {
        tasks: 2,
        run_ms: 20_000,
        ..job("again")
    });
    world.run(1_000);
    for index in 0..2 {
        world.reboot(index);
    }
    assert!(world.run_until_ended(60_000));
    assert_eq!(world.outcomes[&once], JobState::Lost);
    assert_eq!(world.outcomes[&again], JobState::Succeeded);
}

/// Guards against work that stays on a worker that can't be reached.
#[test]
fn unreachable_worker_is_lost() {
    let mut world = World::new(2, 1);
    let id = world.submit(Spec {
        tasks: 4,
        run_ms: 30_000,
        ..job("tasks")
    });
    world.run(1_000);
    let holder = usize::from(world.running_on(0) == 0);
    world.vm(holder).reachable = false;
    assert!(world.run_until_ended(70_000));
    assert_eq!(world.outcomes[&id], JobState::Succeeded);
}

/// Guards against a cancel wave that is forgotten or handled in one call.
#[test]
fn cancel_wave_is_bounded_and_ends() {
    let mut world = World::new(2, 1);
    let ids: Vec<_> = (0..20)
        .map(|index| {
            world.submit(Spec {
                tasks: 100,
                run_ms: 60_000,
                ..job(&format!("j{index}"))
            })
        })
        .collect();
    world.run(1_000);
    ids.iter().for_each(|id| world.cancel(id));
    let before = world.ended.len();
    world.run(100);
    assert!(world.ended.len() - before <= 2 * 256);
    assert!(world.run_until_ended(10_000));
    assert!(
        world
            .outcomes
            .values()
            .all(|state| *state == JobState::Cancelled)
    );
}

/// Guards against use beyond a contract's limit and against urgent work that waits behind batch.
#[test]
fn limits_and_priorities_hold() {
    let mut world = World::new(4, 1);
    let mut small = contract("small");
    small.pools.get_mut("cpu").expect("pool").size = Size::new(3_000, 100_000);
    world.publish(small);
    let limited = world.submit_as(
        "small",
        Spec {
            tasks: 6,
            ..job("limited")
        },
    );
    world.run(500);
    assert_eq!(
        world.kernel.status(&limited).map(|status| status.running),
        Some(3)
    );
    world.submit(Spec {
        tasks: 200,
        run_ms: 2_000,
        ..job("bulk")
    });
    world.run(1_000);
    let urgent = world.submit(Spec {
        priority: Priority::Urgent,
        ..job("urgent")
    });
    world.run(6_000);
    assert_eq!(world.outcomes.get(&urgent), Some(&JobState::Succeeded));
    assert!(world.run_until_ended(120_000));
}
