//! Placement, takeover and loss of workers, for all kinds of jobs on fake workers.

#![allow(missing_docs, unreachable_pub, dead_code)]

#[path = "support/placement_lockstep.rs"]
mod lockstep;
#[path = "support/simulation.rs"]
mod simulation;
#[path = "support/vm.rs"]
mod vm;

use rosemaryworks_core::job::{Kind, Priority, Spec, State as JobState};
use rosemaryworks_core::placement::policy;
use rosemaryworks_core::size::Size;

use simulation::{Simulation, contract, job};

/// Guards against jobs that never end, of any kind and under any policy.
#[test]
fn all_kinds_end() {
    for policy in policy::names() {
        let mut sim = Simulation::new(6, 1);
        sim.policy = policy;
        sim.take_over(100);
        let batch = sim.submit(Spec {
            tasks: 30,
            ..job("batch")
        });
        let gang = sim.submit(Spec {
            tasks: 8,
            kind: Kind::Gang,
            ..job("gang")
        });
        let service = sim.submit(Spec {
            tasks: 3,
            kind: Kind::Service,
            ..job("service")
        });
        sim.run(20_000);
        assert_eq!(
            sim.outcomes.get(&batch),
            Some(&JobState::Succeeded),
            "{policy}"
        );
        assert_eq!(
            sim.outcomes.get(&gang),
            Some(&JobState::Succeeded),
            "{policy}"
        );
        assert_eq!(
            sim.kernel.status(&service).map(|status| status.running),
            Some(3)
        );
        sim.cancel(&service);
        assert!(sim.run_until_ended(10_000), "{policy}");
        assert_eq!(sim.outcomes[&service], JobState::Cancelled);
    }
}

/// Guards against the end of a short job that is detected only by the next lease renewal, up to 2 s
/// late.
#[test]
fn a_short_job_ends_soon_after_its_tasks() {
    for seed in 1..=10 {
        let mut sim = Simulation::new(6, seed);
        sim.take_over(100);
        sim.run(3_000);
        let short = sim.submit(Spec {
            tasks: 4,
            run_ms: 300,
            ..job("short")
        });
        // Less than one renewal period, but more than the delays of the fake workers.
        sim.run(1_500);
        assert_eq!(
            sim.outcomes.get(&short),
            Some(&JobState::Succeeded),
            "seed {seed}"
        );
    }
}

/// Guards against partial placement of a gang.
#[test]
fn gang_is_placed_whole_or_not() {
    let mut sim = Simulation::new(2, 1);
    let filler = sim.submit(Spec {
        tasks: 1,
        run_ms: 10_000,
        ..job("filler")
    });
    sim.run(200);
    let gang = sim.submit(Spec {
        tasks: 8,
        kind: Kind::Gang,
        ..job("gang")
    });
    sim.run(5_000);
    assert_eq!(
        sim.kernel.status(&gang).map(|status| status.running),
        Some(0)
    );
    assert!(sim.run_until_ended(20_000));
    assert_eq!(sim.outcomes[&filler], JobState::Succeeded);
    assert_eq!(sim.outcomes[&gang], JobState::Succeeded);
}

/// Guards against a new owner that loses running tasks or starts them twice.
#[test]
fn takeover_finds_running_tasks() {
    let mut sim = Simulation::new(4, 1);
    let long = sim.submit(Spec {
        tasks: 8,
        run_ms: 30_000,
        restart: false,
        ..job("long")
    });
    let service = sim.submit(Spec {
        tasks: 2,
        kind: Kind::Service,
        ..job("service")
    });
    sim.run(3_000);
    sim.take_over(4_000);
    let fresh = sim.submit(job("fresh"));
    sim.run(5_000);
    assert_eq!(
        sim.kernel.status(&long).map(|status| status.running),
        Some(8)
    );
    assert_eq!(
        sim.kernel.status(&service).map(|status| status.running),
        Some(2)
    );
    assert_eq!(sim.outcomes.get(&fresh), Some(&JobState::Succeeded));
    sim.cancel(&service);
    assert!(sim.run_until_ended(60_000));
    assert_eq!(sim.outcomes[&long], JobState::Succeeded);
    assert!(sim.starts.values().all(|starts| *starts == 1));
}

/// Guards against a second start of a task that must not restart.
#[test]
fn lost_worker_loses_tasks_without_restart() {
    let mut sim = Simulation::new(2, 1);
    let once = sim.submit(Spec {
        tasks: 2,
        run_ms: 20_000,
        restart: false,
        ..job("once")
    });
    let again = sim.submit(Spec {
        tasks: 2,
        run_ms: 20_000,
        ..job("again")
    });
    sim.run(1_000);
    for index in 0..2 {
        sim.reboot(index);
    }
    assert!(sim.run_until_ended(60_000));
    assert_eq!(sim.outcomes[&once], JobState::Lost);
    assert_eq!(sim.outcomes[&again], JobState::Succeeded);
}

/// Guards against tasks that stay assigned to an unreachable worker.
#[test]
fn tasks_of_an_unreachable_worker_restart_elsewhere() {
    let mut sim = Simulation::new(2, 1);
    let id = sim.submit(Spec {
        tasks: 4,
        run_ms: 30_000,
        ..job("tasks")
    });
    sim.run(1_000);
    let holder = usize::from(sim.running_on(0) == 0);
    sim.vm(holder).reachable = false;
    assert!(sim.run_until_ended(70_000));
    assert_eq!(sim.outcomes[&id], JobState::Succeeded);
}

/// Guards against mass cancellation that is handled in one call or that leaves jobs unfinished.
#[test]
fn mass_cancellation_is_bounded_and_ends() {
    let mut sim = Simulation::new(2, 1);
    let ids: Vec<_> = (0..20)
        .map(|index| {
            sim.submit(Spec {
                tasks: 100,
                run_ms: 60_000,
                ..job(&format!("j{index}"))
            })
        })
        .collect();
    sim.run(1_000);
    ids.iter().for_each(|id| sim.cancel(id));
    let before = sim.ended.len();
    sim.run(100);
    assert!(sim.ended.len() - before <= 2 * 256);
    assert!(sim.run_until_ended(10_000));
    assert!(
        sim.outcomes
            .values()
            .all(|state| *state == JobState::Cancelled)
    );
}

/// Guards against use beyond a contract's limit and against urgent tasks that wait behind others.
#[test]
fn limits_and_priorities_hold() {
    let mut sim = Simulation::new(4, 1);
    let mut small = contract("small");
    small.pools.get_mut("cpu").expect("pool").size = Size::new(3_000, 100_000);
    sim.publish(small);
    let limited = sim.submit_as(
        "small",
        Spec {
            tasks: 6,
            ..job("limited")
        },
    );
    sim.run(500);
    assert_eq!(
        sim.kernel.status(&limited).map(|status| status.running),
        Some(3)
    );
    sim.submit(Spec {
        tasks: 200,
        run_ms: 2_000,
        ..job("bulk")
    });
    sim.run(1_000);
    let urgent = sim.submit(Spec {
        priority: Priority::Urgent,
        ..job("urgent")
    });
    sim.run(6_000);
    assert_eq!(sim.outcomes.get(&urgent), Some(&JobState::Succeeded));
    assert!(sim.run_until_ended(120_000));
}
