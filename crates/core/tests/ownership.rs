//! Ownership of shards under faults.

#[path = "ownership/world.rs"]
mod world;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use world::{Fault, World};

/// Suspicion, claim, support and grant validity together take at most this long.
const TAKEOVER_MAX_MS: u64 = 8_300;

#[derive(Clone, Debug)]
struct Plan {
    seed: u64,
    schedulers: usize,
    faults: Vec<(u64, Fault)>,
}

impl Arbitrary for Plan {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::arbitrary(g) % 12;
        Self {
            seed: u64::arbitrary(g),
            schedulers: 3 + usize::arbitrary(g) % 4,
            faults: (0..count)
                .map(|_| (u64::arbitrary(g) % 6_000, fault(g)))
                .collect(),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let plan = self.clone();
        Box::new((0..self.faults.len()).map(move |index| {
            let mut smaller = plan.clone();
            smaller.faults.remove(index);
            smaller
        }))
    }
}

fn fault(g: &mut Gen) -> Fault {
    let node = usize::arbitrary(g) % 6;
    let ms = u64::arbitrary(g) % 9_000;
    match u8::arbitrary(g) % 6 {
        0 => Fault::LogDown { ms },
        1 => Fault::Restart { node },
        2 => Fault::Stop { node },
        3 => Fault::Pause { node, ms },
        _ => Fault::Cut {
            a: node,
            b: usize::arbitrary(g) % 6,
            ms,
        },
    }
}

/// Runs the plan from a settled start, then a quiet time.
fn play(plan: &Plan) -> World {
    let mut world = World::new(plan.schedulers, 5, plan.seed);
    world.run(6_000);
    for (pause_ms, fault) in &plan.faults {
        world.inject(*fault);
        world.run(*pause_ms);
    }
    world.heal();
    world.run(TAKEOVER_MAX_MS);
    world
}

/// Guards against two owners that could both act, epochs that fall, unlogged dispatches that the
/// next owner doesn't doubt, and a shard that stays without an owner after the faults have ended.
#[test]
fn one_owner_acts_and_every_shard_gets_one() {
    fn holds(plan: Plan) -> TestResult {
        let world = play(&plan);
        if let Some(violation) = world.violations.first() {
            return TestResult::error(violation.clone());
        }
        for shard in &world.shards {
            let owners = world.owners(shard);
            if owners.len() != 1 {
                return TestResult::error(format!("{shard}: owners {owners:?} after quiet time"));
            }
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .tests(100)
        .quickcheck(holds as fn(Plan) -> TestResult);
}

/// Guards against a first start in which the first scheduler takes every shard.
#[test]
fn first_start_spreads_shards() {
    for seed in 0..20 {
        let mut world = World::new(6, 8, seed);
        world.run(5_000);
        let mut loads = [0_usize; 6];
        for shard in &world.shards {
            let owners = world.owners(shard);
            assert_eq!(owners.len(), 1, "{shard}: {owners:?}, seed {seed}");
            loads[owners[0].0] += 1;
        }
        assert!(
            loads.iter().all(|load| *load <= 2),
            "loads {loads:?}, seed {seed}"
        );
    }
}

/// Guards against owners that stop when only the log is down, and against a test world in which the
/// outage mode is never reached.
#[test]
fn owners_go_on_while_the_log_is_down() {
    let mut world = World::new(5, 4, 3);
    world.run(6_000);
    let before: Vec<_> = world.shards.iter().map(|s| world.owners(s)).collect();
    world.inject(Fault::LogDown { ms: 60_000 });
    for _ in 0..50 {
        world.run(1_000);
        let now: Vec<_> = world.shards.iter().map(|s| world.owners(s)).collect();
        assert_eq!(now, before);
    }
    assert!(world.outage_dispatches > 0);
}

/// Guards against a takeover of an owner that only one peer can't hear.
#[test]
fn one_cut_link_changes_no_owner() {
    let mut world = World::new(5, 5, 9);
    world.run(6_000);
    let before: Vec<_> = world.shards.iter().map(|s| world.owners(s)).collect();
    world.inject(Fault::Cut {
        a: 0,
        b: 1,
        ms: 20_000,
    });
    world.run(20_000);
    let after: Vec<_> = world.shards.iter().map(|s| world.owners(s)).collect();
    assert_eq!(after, before);
}

/// Guards against a planned stop that leaves its shards without an owner until it is suspected.
#[test]
fn planned_stop_hands_over_at_once() {
    let mut world = World::new(5, 5, 4);
    world.run(6_000);
    world.inject(Fault::Stop { node: 2 });
    world.run(1_000);
    for shard in world.shards.clone() {
        let owners = world.owners(&shard);
        assert_eq!(owners.len(), 1, "{shard}: {owners:?}");
        assert_ne!(owners[0].0, 2, "{shard} stayed with the stopped scheduler");
    }
}

/// Guards against a restarted scheduler that supports a new owner although its earlier incarnation
/// still supports the old one.
#[test]
fn restart_keeps_promises() {
    for seed in 0..12 {
        let mut world = World::new(5, 10, seed);
        world.run(6_000);
        // Schedulers 1 and 2 made no promise to 0, so one more supporter makes a majority.
        for b in [1, 2] {
            world.inject(Fault::Cut { a: 0, b, ms: 9_000 });
        }
        world.run(4_000);
        world.inject(Fault::Pause { node: 0, ms: 6_000 });
        world.run(1_900 + seed * 50);
        world.inject(Fault::Restart { node: 3 });
        world.run(8_000);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}
