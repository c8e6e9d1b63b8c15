//! Packing density and the capacity reserved for short tasks.

#![allow(missing_docs, unreachable_pub, dead_code)]

#[path = "support/placement_lockstep.rs"]
mod lockstep;
#[path = "support/simulation.rs"]
mod simulation;
#[path = "support/vm.rs"]
mod vm;

use rosemaryworks_core::job::Spec;
use rosemaryworks_core::size::Size;

use simulation::{Simulation, job};

/// Run time that outlasts every test, in milliseconds.
const LONG_MS: u64 = 3_600_000;

/// Guards against capacity that stays reserved for short tasks although none ever ran.
#[test]
fn tasks_of_unknown_run_time_fill_a_new_pool() {
    let mut sim = Simulation::new(20, 1);
    sim.run(200);
    let filler = sim.submit(Spec {
        tasks: 20,
        size: Size::new(4_000, 1_000),
        run_ms: LONG_MS,
        ..job("filler")
    });
    sim.run(2_000);
    let status = sim.kernel.status(&filler);
    assert_eq!(status.map(|status| status.running), Some(20));
}

/// Guards against long tasks that fill the whole pool although short tasks ran recently.
#[test]
fn long_tasks_leave_capacity_for_recent_short_tasks() {
    let mut sim = Simulation::new(20, 1);
    sim.run(200);
    let short = |name: &str| Spec {
        tasks: 40,
        size: Size::new(1_000, 1_000),
        run_ms: 2_000,
        work: Some("short".into()),
        ..job(name)
    };
    for round in 0..10 {
        sim.submit(short(&format!("short-{round}")));
        sim.run(3_000);
    }
    let long = sim.submit(Spec {
        tasks: 40,
        size: Size::new(4_000, 1_000),
        run_ms: LONG_MS,
        work: Some("long".into()),
        ..job("long")
    });
    sim.run(3_000);
    let status = sim.kernel.status(&long);
    let running = status.map_or(0, |status| status.running);
    assert!((10..20).contains(&running), "{running} long tasks run");
}

/// Guards against a fit that considers only processor time: the last task then finds no worker with
/// enough memory.
#[test]
fn complementary_tasks_share_a_worker() {
    let mut sim = Simulation::new(3, 1);
    sim.run(200);
    let mut place = |name: &str, size: Size| {
        let id = sim.submit(Spec {
            tasks: 1,
            size,
            run_ms: LONG_MS,
            ..job(name)
        });
        sim.run(500);
        sim.kernel.status(&id).map(|status| status.running)
    };
    // Leaves one worker with little memory and one with little processor time.
    place("memory", Size::new(1_000, 7_000));
    place("cores", Size::new(3_500, 2_000));
    // Fits both, and balances the remainder of the first.
    place("more-cores", Size::new(500, 500));
    place("large", Size::new(4_000, 8_000));
    assert_eq!(place("last", Size::new(500, 5_500)), Some(1));
}
