//! Admission, leaving, overloaded and quarantined workers, rack spread and fencing.

#![allow(missing_docs, unreachable_pub, dead_code)]

#[path = "support/placement_lockstep.rs"]
mod lockstep;
#[path = "support/simulation.rs"]
mod simulation;
#[path = "support/vm.rs"]
mod vm;

use std::collections::BTreeSet;

use rosemaryworks_core::job::{Id, Kind, Priority, Spec, State as JobState};
use rosemaryworks_core::outcome::NotRun;
use rosemaryworks_core::placement::{Action, Event, Lease, Refusal, Report};
use rosemaryworks_core::size::Size;
use rosemaryworks_core::target::State;

use simulation::{Simulation, contract, job};

fn refusal(sim: &Simulation, spec: &Spec) -> String {
    match sim.kernel.admit("a", spec) {
        Ok(()) => "accepted".into(),
        Err(Refusal::Never(reason)) => reason.to_string(),
        Err(Refusal::Later(reason)) => format!("later: {reason:?}"),
    }
}

/// Guards against admission of jobs that can never run, and against wrong reasons for a refusal.
#[test]
fn admission_names_the_reason() {
    let mut sim = Simulation::new(2, 0);
    let mut small = contract("a");
    small.max_priority = Priority::Normal;
    small.pools.get_mut("cpu").expect("pool").queue = 12;
    sim.publish(small);
    assert_eq!(refusal(&sim, &job("j")), "accepted");
    let cases = [
        (
            Spec {
                pool: "gpu".into(),
                ..job("j")
            },
            "pool gpu does not belong",
        ),
        (
            Spec {
                priority: Priority::Urgent,
                ..job("j")
            },
            "priority urgent exceeds",
        ),
        (
            Spec {
                size: Size::new(5_000, 1_000),
                ..job("j")
            },
            "no VM of shard pool/cpu/0",
        ),
        (
            Spec {
                size: Size::new(2_000_000, 1_000),
                ..job("j")
            },
            "task exceeds the contract's share",
        ),
        (
            Spec {
                kind: Kind::Gang,
                tasks: 9,
                ..job("j")
            },
            "gang of 9 tasks is larger than shard",
        ),
        (
            Spec {
                tasks: 0,
                ..job("j")
            },
            "tasks must be",
        ),
        (
            Spec {
                tasks: 13,
                ..job("j")
            },
            "job of 13 tasks exceeds the queue of 12",
        ),
        (
            Spec {
                size: Size::ZERO,
                ..job("j")
            },
            "size must have",
        ),
        (
            Spec {
                id: "J".into(),
                ..job("j")
            },
            "id must be",
        ),
    ];
    for (spec, reason) in cases {
        let message = refusal(&sim, &spec);
        assert!(
            message.contains(reason),
            "{message:?} does not contain {reason:?}"
        );
    }
    sim.submit(Spec {
        tasks: 12,
        run_ms: 9_000,
        size: Size::new(4_000, 1_000),
        ..job("full")
    });
    let later = sim.kernel.admit(
        "a",
        &Spec {
            tasks: 12,
            ..job("j")
        },
    );
    assert_eq!(later, Err(Refusal::Later(NotRun::Concurrency)));
}

/// Guards against concurrent submissions that overfill the queue together, and against queue
/// reservations that are never released.
#[test]
fn submissions_in_flight_count_against_the_queue() {
    let mut sim = Simulation::new(2, 0);
    let mut small = contract("a");
    small.pools.get_mut("cpu").expect("pool").queue = 4;
    sim.publish(small);
    let spec = |id| Spec {
        tasks: 2,
        size: Size::new(4_000, 1_000),
        ..job(id)
    };
    let id = |job: &str| Id {
        contract: "a".into(),
        job: job.into(),
    };
    let full = Err(Refusal::Later(NotRun::Concurrency));
    let reserve = |sim: &mut Simulation, id| sim.kernel.reserve_admission(&"a".into(), &spec(id));
    assert_eq!(reserve(&mut sim, "one"), Ok(()));
    assert_eq!(reserve(&mut sim, "two"), Ok(()));
    assert_eq!(reserve(&mut sim, "three"), full);
    // A repeated submission of an id in flight needs no further queue capacity.
    assert_eq!(reserve(&mut sim, "two"), Ok(()));
    sim.kernel.release_admission(&id("two"), false);
    assert_eq!(reserve(&mut sim, "three"), full);
    sim.kernel.release_admission(&id("two"), false);
    assert_eq!(reserve(&mut sim, "three"), Ok(()));
    // The record was read back, but the kernel has not handled its event yet.
    sim.kernel.release_admission(&id("one"), true);
    assert_eq!(reserve(&mut sim, "four"), full);
    sim.kernel.release_admission(&id("three"), false);
    sim.submit(spec("one"));
    sim.run(1_000);
    for next in ["five", "six"] {
        assert_eq!(reserve(&mut sim, next), Ok(()));
    }
    assert_eq!(reserve(&mut sim, "seven"), full);
}

/// Guards against new tasks on a leaving worker and against tasks that its stated shutdown
/// interrupts.
#[test]
fn leaving_worker_is_vacated() {
    let mut sim = Simulation::new(3, 0);
    let long = Spec {
        tasks: 4,
        run_ms: 60_000,
        ..job("long")
    };
    let id = sim.submit(long);
    sim.run(1_000);
    let leaving = (0..3)
        .find(|index| sim.running_on(*index) > 0)
        .expect("holder");
    sim.vm(leaving).state = State::Leaving {
        within_ms: Some(20_000),
    };
    sim.update_list();
    let before = sim.placements.len();
    sim.submit(Spec {
        tasks: 4,
        ..job("more")
    });
    sim.run(5_000);
    assert!(
        sim.running_on(leaving) > 0,
        "tasks keep running until shortly before the shutdown"
    );
    sim.run(14_000);
    assert_eq!(sim.running_on(leaving), 0);
    let name = format!("w{leaving}");
    assert!(
        sim.placements[before..]
            .iter()
            .all(|(_, worker)| **worker != *name)
    );
    assert!(sim.run_until_ended(120_000));
    assert_eq!(sim.outcomes[&id], JobState::Succeeded);
}

/// Guards against the loss of all tasks of a service with one rack.
#[test]
fn service_is_spread_over_racks() {
    let mut sim = Simulation::new(8, 0);
    let id = sim.submit(Spec {
        kind: Kind::Service,
        tasks: 4,
        ..job("service")
    });
    sim.run(500);
    let workers = sim.placements.iter().map(|(_, worker)| worker.to_string());
    let racks: BTreeSet<u32> = workers
        .map(|name| name[1..].parse::<u32>().expect("number") / 2)
        .collect();
    assert_eq!(racks.len(), 4);
    let holder = (0..8)
        .find(|index| sim.running_on(*index) > 0)
        .expect("holder");
    sim.reboot(holder);
    sim.run(10_000);
    assert_eq!(sim.kernel.status(&id).map(|status| status.running), Some(4));
}

/// Guards against further use of a worker that has seen a newer epoch.
#[test]
fn fenced_worker_is_not_used() {
    let mut sim = Simulation::new(2, 0);
    sim.handle_event(Event::SyncFailed {
        worker: "w0".into(),
        fenced: true,
    });
    sim.submit(Spec {
        tasks: 8,
        ..job("tasks")
    });
    sim.run(5_000);
    assert!(sim.placements.iter().all(|(_, worker)| **worker == *"w1"));
    let synced =
        |action: &Action| matches!(action, Action::Sync { worker, .. } if **worker == *"w0");
    assert!(!sim.actions.iter().any(synced));
}

/// Answers a `Sync` of `w0` with a report in which every task uses `used`.
fn report_use(sim: &mut Simulation, used: Size, used_age_ms: u64) {
    let held = |action: &Action| match action {
        Action::Place {
            task,
            attempt,
            size,
            ..
        } => Some((task.clone(), *attempt, *size)),
        _ => None,
    };
    let leases = sim
        .actions
        .iter()
        .filter_map(held)
        .map(|(task, attempt, size)| Lease {
            task,
            attempt,
            size,
            used,
            used_age_ms,
            checkpointed: false,
        });
    let report = Report {
        leases: leases.collect(),
        ..Report::default()
    };
    let now = rosemaryworks_core::time::Instant(sim.now);
    let actions = sim.kernel.handle(
        now,
        Event::Synced {
            worker: "w0".into(),
            report,
        },
    );
    sim.actions.extend(actions);
}

/// Advances time until the kernel sends a `Sync`, which the test answers.
fn run_until_sync(sim: &mut Simulation) {
    for _ in 0..100 {
        sim.now += 50;
        let now = rosemaryworks_core::time::Instant(sim.now);
        let actions = sim.kernel.handle(now, Event::Tick);
        let synced = actions
            .iter()
            .any(|action| matches!(action, Action::Sync { .. }));
        sim.actions.extend(actions);
        if synced {
            return;
        }
    }
    panic!("no Sync within 5 s");
}

/// Guards against a VM that is used beyond its size, and against a wrong order of escalation.
#[test]
fn pressure_throttles_then_checkpoints_then_stops() {
    let mut sim = Simulation::new(1, 0);
    sim.submit(Spec {
        kind: Kind::Service,
        ..job("old")
    });
    sim.now += 10;
    let low = Spec {
        kind: Kind::Service,
        priority: Priority::Nightly,
        ..job("low")
    };
    let low = sim.submit(low);
    let from = sim.actions.len();
    let mut observed = Vec::new();
    for _ in 0..6 {
        run_until_sync(&mut sim);
        report_use(&mut sim, Size::new(2_000, 4_000), 0);
    }
    for action in &sim.actions[from..] {
        match action {
            Action::Throttle {
                task, percent: 50, ..
            } if task.job == low => observed.push("throttle"),
            Action::Checkpoint { task, .. } if task.job == low => observed.push("checkpoint"),
            Action::Stop { task, .. } if task.job == low => observed.push("stop"),
            _ => {}
        }
    }
    observed.dedup();
    assert_eq!(observed, ["throttle", "checkpoint", "stop"]);
}

/// Guards against a charge that an outdated report raises, that a lower use reduces or that a
/// higher use doesn't raise.
#[test]
fn reported_use_raises_the_charge_only_if_it_is_newer() {
    let mut sim = Simulation::new(1, 0);
    sim.submit(Spec {
        kind: Kind::Service,
        ..job("service")
    });
    let held = |sim: &Simulation| sim.kernel.targets()[0].held;
    run_until_sync(&mut sim);
    report_use(&mut sim, Size::new(3_000, 100), 60_000);
    assert_eq!(held(&sim), Size::new(1_000, 1_000));
    run_until_sync(&mut sim);
    report_use(&mut sim, Size::new(3_000, 100), 0);
    assert_eq!(held(&sim), Size::new(3_000, 1_000));
    run_until_sync(&mut sim);
    report_use(&mut sim, Size::new(10, 10), 0);
    assert_eq!(held(&sim), Size::new(3_000, 1_000));
}

/// Guards against a worker that fails every task and keeps receiving new ones.
#[test]
fn worker_that_fails_everything_is_quarantined() {
    let mut sim = Simulation::new(4, 0);
    sim.vm(0).fails_tasks = true;
    for index in 0..60 {
        sim.submit(job(&format!("j{index}")));
        sim.run(200);
    }
    let targets = sim.kernel.targets();
    let condition = targets
        .iter()
        .find(|target| *target.name == *"w0")
        .expect("w0")
        .condition
        .clone();
    assert_eq!(condition.as_deref(), Some("quarantined"));
    assert!(sim.run_until_ended(60_000));
    assert!(
        sim.outcomes
            .values()
            .all(|state| *state == JobState::Succeeded)
    );
    sim.vm(0).fails_tasks = false;
    for index in 0..400 {
        sim.submit(Spec {
            run_ms: 300,
            ..job(&format!("k{index}"))
        });
        sim.run(200);
    }
    assert!(
        sim.kernel
            .targets()
            .iter()
            .all(|target| target.condition.is_none())
    );
}
