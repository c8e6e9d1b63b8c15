//! Admission, leaving and overloaded workers, spread, fencing and learned figures.

#![allow(missing_docs, unreachable_pub, dead_code)]

#[path = "support/twin.rs"]
mod twin;
#[path = "support/vm.rs"]
mod vm;
#[path = "support/world.rs"]
mod world;

use std::collections::BTreeSet;

use rosemaryworks_core::job::{Id, Kind, Priority, Spec, State as JobState};
use rosemaryworks_core::outcome::NotRun;
use rosemaryworks_core::placement::{Action, Event, Lease, Refusal, Report};
use rosemaryworks_core::size::Size;
use rosemaryworks_core::target::State;

use world::{World, contract, job};

fn refusal(world: &World, spec: &Spec) -> String {
    match world.kernel.admit("a", spec) {
        Ok(()) => "accepted".into(),
        Err(Refusal::Never(reason)) => reason.to_string(),
        Err(Refusal::Later(reason)) => format!("later: {reason:?}"),
    }
}

/// Guards against jobs that can never run, and against reasons that name something else.
#[test]
fn admission_names_the_reason() {
    let mut world = World::new(2, 0);
    let mut small = contract("a");
    small.max_priority = Priority::Normal;
    small.pools.get_mut("cpu").expect("pool").queue = 12;
    world.publish(small);
    assert_eq!(refusal(&world, &job("j")), "accepted");
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
        let said = refusal(&world, &spec);
        assert!(
            said.contains(reason),
            "{said:?} does not contain {reason:?}"
        );
    }
    world.submit(Spec {
        tasks: 12,
        run_ms: 9_000,
        size: Size::new(4_000, 1_000),
        ..job("full")
    });
    let later = world.kernel.admit(
        "a",
        &Spec {
            tasks: 12,
            ..job("j")
        },
    );
    assert_eq!(later, Err(Refusal::Later(NotRun::Concurrency)));
}

/// Guards against submissions in flight that exceed the queue together, and against reservations
/// that outlast them.
#[test]
fn submissions_in_flight_count_against_the_queue() {
    let mut world = World::new(2, 0);
    let mut small = contract("a");
    small.pools.get_mut("cpu").expect("pool").queue = 4;
    world.publish(small);
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
    let reserve = |world: &mut World, id| world.kernel.reserve_admission(&"a".into(), &spec(id));
    assert_eq!(reserve(&mut world, "one"), Ok(()));
    assert_eq!(reserve(&mut world, "two"), Ok(()));
    assert_eq!(reserve(&mut world, "three"), full);
    // A repeat of an id in flight needs no more room.
    assert_eq!(reserve(&mut world, "two"), Ok(()));
    world.kernel.release_admission(&id("two"), false);
    assert_eq!(reserve(&mut world, "three"), full);
    world.kernel.release_admission(&id("two"), false);
    assert_eq!(reserve(&mut world, "three"), Ok(()));
    // Read back, but not yet told to the kernel.
    world.kernel.release_admission(&id("one"), true);
    assert_eq!(reserve(&mut world, "four"), full);
    world.kernel.release_admission(&id("three"), false);
    world.submit(spec("one"));
    world.run(1_000);
    for next in ["five", "six"] {
        assert_eq!(reserve(&mut world, next), Ok(()));
    }
    assert_eq!(reserve(&mut world, "seven"), full);
}

/// Guards against new work on a leaving worker and against tasks that a stated end cuts off.
#[test]
fn leaving_worker_is_vacated() {
    let mut world = World::new(3, 0);
    let long = Spec {
        tasks: 4,
        run_ms: 60_000,
        ..job("long")
    };
    let id = world.submit(long);
    world.run(1_000);
    let leaving = (0..3)
        .find(|index| world.running_on(*index) > 0)
        .expect("holder");
    world.vm(leaving).state = State::Leaving {
        within_ms: Some(20_000),
    };
    world.list();
    let before = world.placed.len();
    world.submit(Spec {
        tasks: 4,
        ..job("more")
    });
    world.run(5_000);
    assert!(
        world.running_on(leaving) > 0,
        "tasks go on until shortly before the end"
    );
    world.run(14_000);
    assert_eq!(world.running_on(leaving), 0);
    let name = format!("w{leaving}");
    assert!(
        world.placed[before..]
            .iter()
            .all(|(_, worker)| **worker != *name)
    );
    assert!(world.run_until_ended(120_000));
    assert_eq!(world.outcomes[&id], JobState::Succeeded);
}

/// Guards against the loss of a whole service with one rack.
#[test]
fn service_is_spread_over_racks() {
    let mut world = World::new(8, 0);
    let id = world.submit(Spec {
        kind: Kind::Service,
        tasks: 4,
        ..job("service")
    });
    world.run(500);
    let workers = world.placed.iter().map(|(_, worker)| worker.to_string());
    let racks: BTreeSet<u32> = workers
        .map(|name| name[1..].parse::<u32>().expect("number") / 2)
        .collect();
    assert_eq!(racks.len(), 4);
    let holder = (0..8)
        .find(|index| world.running_on(*index) > 0)
        .expect("holder");
    world.reboot(holder);
    world.run(10_000);
    assert_eq!(
        world.kernel.status(&id).map(|status| status.running),
        Some(4)
    );
}

/// Guards against further use of a worker that a newer owner holds.
#[test]
fn fenced_worker_is_not_used() {
    let mut world = World::new(2, 0);
    world.feed(Event::SyncFailed {
        worker: "w0".into(),
        fenced: true,
    });
    world.submit(Spec {
        tasks: 8,
        ..job("tasks")
    });
    world.run(5_000);
    assert!(world.placed.iter().all(|(_, worker)| **worker == *"w1"));
    let synced = |step: &Action| matches!(step, Action::Sync { worker, .. } if **worker == *"w0");
    assert!(!world.steps.iter().any(synced));
}

/// Reports that every task on `w0` uses `used`, as one answer to a `Sync`.
fn report_use(world: &mut World, used: Size, used_age_ms: u64) {
    let held = |step: &Action| match step {
        Action::Place {
            task,
            attempt,
            size,
            ..
        } => Some((task.clone(), *attempt, *size)),
        _ => None,
    };
    let leases = world
        .steps
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
    let now = rosemaryworks_core::time::Instant(world.now);
    let steps = world.kernel.handle(
        now,
        Event::Synced {
            worker: "w0".into(),
            report,
        },
    );
    world.steps.extend(steps);
}

/// Lets the kernel send a `Sync` whose answer the test gives.
fn next_sync(world: &mut World) {
    for _ in 0..100 {
        world.now += 50;
        let now = rosemaryworks_core::time::Instant(world.now);
        let steps = world.kernel.handle(now, Event::Tick);
        let synced = steps.iter().any(|step| matches!(step, Action::Sync { .. }));
        world.steps.extend(steps);
        if synced {
            return;
        }
    }
    panic!("no Sync within 5 s");
}

/// Guards against a VM that is used beyond its size, and against steps in another order.
#[test]
fn pressure_throttles_then_checkpoints_then_stops() {
    let mut world = World::new(1, 0);
    world.submit(Spec {
        kind: Kind::Service,
        ..job("old")
    });
    world.now += 10;
    let low = Spec {
        kind: Kind::Service,
        priority: Priority::Nightly,
        ..job("low")
    };
    let low = world.submit(low);
    let from = world.steps.len();
    let mut tried = Vec::new();
    for _ in 0..6 {
        next_sync(&mut world);
        report_use(&mut world, Size::new(2_000, 4_000), 0);
    }
    for step in &world.steps[from..] {
        match step {
            Action::Throttle {
                task, percent: 50, ..
            } if task.job == low => tried.push("throttle"),
            Action::Checkpoint { task, .. } if task.job == low => tried.push("checkpoint"),
            Action::Stop { task, .. } if task.job == low => tried.push("stop"),
            _ => {}
        }
    }
    tried.dedup();
    assert_eq!(tried, ["throttle", "checkpoint", "stop"]);
}

/// Guards against capacity that a late report frees or that a higher use doesn't take.
#[test]
fn reported_use_raises_the_charge_only_if_it_is_newer() {
    let mut world = World::new(1, 0);
    world.submit(Spec {
        kind: Kind::Service,
        ..job("service")
    });
    let held = |world: &World| world.kernel.targets()[0].held;
    next_sync(&mut world);
    report_use(&mut world, Size::new(3_000, 100), 60_000);
    assert_eq!(held(&world), Size::new(1_000, 1_000));
    next_sync(&mut world);
    report_use(&mut world, Size::new(3_000, 100), 0);
    assert_eq!(held(&world), Size::new(3_000, 1_000));
    next_sync(&mut world);
    report_use(&mut world, Size::new(10, 10), 0);
    assert_eq!(held(&world), Size::new(3_000, 1_000));
}

/// Guards against a worker that fails everything and keeps attracting work.
#[test]
fn worker_that_fails_everything_is_quarantined() {
    let mut world = World::new(4, 0);
    world.vm(0).bad = true;
    for index in 0..60 {
        world.submit(job(&format!("j{index}")));
        world.run(200);
    }
    let targets = world.kernel.targets();
    let condition = targets
        .iter()
        .find(|target| *target.name == *"w0")
        .expect("w0")
        .condition
        .clone();
    assert_eq!(condition.as_deref(), Some("quarantined"));
    assert!(world.run_until_ended(60_000));
    assert!(
        world
            .outcomes
            .values()
            .all(|state| *state == JobState::Succeeded)
    );
    world.vm(0).bad = false;
    for index in 0..400 {
        world.submit(Spec {
            run_ms: 300,
            ..job(&format!("k{index}"))
        });
        world.run(200);
    }
    assert!(
        world
            .kernel
            .targets()
            .iter()
            .all(|target| target.condition.is_none())
    );
}
