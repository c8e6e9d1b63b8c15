//! How full the pool becomes and what is kept free for short work.

#![allow(missing_docs, unreachable_pub, dead_code)]

#[path = "support/twin.rs"]
mod twin;
#[path = "support/vm.rs"]
mod vm;
#[path = "support/world.rs"]
mod world;

use rosemaryworks_core::job::Spec;
use rosemaryworks_core::size::Size;

use world::{World, job};

/// Run time of work that outlasts every test, in milliseconds.
const LONG_MS: u64 = 3_600_000;

/// Guards against a share of the pool that stays empty although no short work was ever seen.
#[test]
fn work_of_unknown_run_time_fills_a_new_pool() {
    let mut world = World::new(20, 1);
    world.run(200);
    let filler = world.submit(Spec {
        tasks: 20,
        size: Size::new(4_000, 1_000),
        run_ms: LONG_MS,
        ..job("filler")
    });
    world.run(2_000);
    let status = world.kernel.status(&filler);
    assert_eq!(status.map(|status| status.running), Some(20));
}

/// Guards against long work that takes the whole pool although short work needs room.
#[test]
fn long_work_leaves_room_for_short_work_that_was_seen() {
    let mut world = World::new(20, 1);
    world.run(200);
    let short = |name: &str| Spec {
        tasks: 40,
        size: Size::new(1_000, 1_000),
        run_ms: 2_000,
        work: Some("short".into()),
        ..job(name)
    };
    for round in 0..10 {
        world.submit(short(&format!("short-{round}")));
        world.run(3_000);
    }
    let long = world.submit(Spec {
        tasks: 40,
        size: Size::new(4_000, 1_000),
        run_ms: LONG_MS,
        work: Some("long".into()),
        ..job("long")
    });
    world.run(3_000);
    let status = world.kernel.status(&long);
    let running = status.map_or(0, |status| status.running);
    assert!((10..20).contains(&running), "{running} long tasks run");
}

/// Guards against a fit that looks only at processor time: the large task then finds no memory.
#[test]
fn tasks_that_complete_each_other_share_a_worker() {
    let mut world = World::new(3, 1);
    world.run(200);
    let mut place = |name: &str, size: Size| {
        let id = world.submit(Spec {
            tasks: 1,
            size,
            run_ms: LONG_MS,
            ..job(name)
        });
        world.run(500);
        world.kernel.status(&id).map(|status| status.running)
    };
    // Leaves one worker without much memory and one without many cores.
    place("memory", Size::new(1_000, 7_000));
    place("cores", Size::new(3_500, 2_000));
    // Fits on both, and completes the first.
    place("more-cores", Size::new(500, 500));
    place("large", Size::new(4_000, 8_000));
    assert_eq!(place("last", Size::new(500, 5_500)), Some(1));
}
