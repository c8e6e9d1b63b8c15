//! Tests of shard ownership under faults, in a simulation.

#[path = "ownership/world.rs"]
mod world;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use rosemaryworks_core::ownership::Unrecorded;
use rosemaryworks_core::shard::Id;
use world::{Fault, World};

/// Longest takeover in milliseconds: suspicion, claim, support and expiry of grants.
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
    match u8::arbitrary(g) % 9 {
        0 => Fault::LogDown { ms },
        // Consecutive short outages.
        6 => Fault::LogDown { ms: ms % 1_500 },
        7 => Fault::CutLog { node, ms },
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

/// Runs the plan after an initial settling time, then time without faults.
fn simulate(plan: &Plan) -> World {
    let mut world = World::new(plan.schedulers, 5, plan.seed);
    world.run(6_000);
    for (pause_ms, fault) in &plan.faults {
        world.inject(*fault);
        world.run(*pause_ms);
    }
    world.end_faults();
    world.run(TAKEOVER_MAX_MS);
    world
}

/// Guards against two owners that could act at the same time, epochs that decrease, unlogged
/// dispatches that the next owner doesn't assume possible, and a shard that stays without an owner
/// after the faults have ended.
#[test]
fn one_owner_acts_and_every_shard_gets_one() {
    fn holds(plan: Plan) -> TestResult {
        let world = simulate(&plan);
        if let Some(violation) = world.violations.first() {
            return TestResult::error(violation.clone());
        }
        for shard in &world.shards {
            let owners = world.owners(shard);
            if owners.len() != 1 {
                return TestResult::error(format!(
                    "{shard}: owners {owners:?} after time without faults"
                ));
            }
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .tests(100)
        .quickcheck(holds as fn(Plan) -> TestResult);
}

/// Guards against a first start at which the first scheduler claims every shard.
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

/// Guards against owners that become inactive when only the log is down, and against a simulation
/// that never reaches outage mode.
#[test]
fn owners_stay_active_while_the_log_is_down() {
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

/// Guards against a takeover when only one peer can't reach the owner.
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

/// Guards against a planned stop after which the shards have no owner until the stopped scheduler
/// is suspected.
#[test]
fn a_planned_stop_transfers_shards_at_once() {
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

/// Guards against a restarted scheduler that supports a new owner while a promise of its earlier
/// incarnation to the old owner is still valid.
#[test]
fn promises_outlive_a_restart() {
    for seed in 0..12 {
        let mut world = World::new(5, 10, seed);
        world.run(6_000);
        // Schedulers 1 and 2 have no valid promise to scheduler 0, so a third supporter would make
        // a majority for another owner.
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

/// Returns a world of five schedulers whose shards are settled and have owners.
fn settled_world(seed: u64) -> World {
    let mut world = World::new(5, 4, seed);
    world.run(8_000);
    world.activations.clear();
    world
}

/// Returns the owner of `shard`.
fn owner(world: &World, shard: &Id) -> usize {
    world.owners(shard)[0].0
}

/// Returns whether dispatches may be unrecorded as of the last activation of `shard`, if it had a
/// new owner.
fn last_unrecorded(world: &World, shard: &Id) -> Option<Unrecorded> {
    let mut all = world.activations.iter().rev();
    all.find(|(other, _)| other == shard)
        .map(|(_, unrecorded)| *unrecorded)
}

/// Guards against a takeover that assumes unrecorded dispatches because of a recent outage,
/// although everything that was dispatched in it is in the log.
#[test]
fn a_recorded_outage_leaves_nothing_unrecorded() {
    for seed in 0..20 {
        let mut world = settled_world(seed);
        let shard = world.shards[0].clone();
        world.inject(Fault::LogDown { ms: 10_000 });
        world.run(12_000);
        assert!(world.outage_dispatches > 0, "seed {seed}");
        let node = owner(&world, &shard);
        world.inject(Fault::Restart { node });
        world.run(TAKEOVER_MAX_MS);
        assert_eq!(
            last_unrecorded(&world, &shard),
            Some(Unrecorded::None),
            "seed {seed}"
        );
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against a takeover that repeats a request which a killed owner dispatched without the
/// log, also when the next owner is killed while it still assumes unrecorded dispatches.
#[test]
fn an_owner_killed_in_an_outage_may_leave_unrecorded_dispatches() {
    for seed in 0..20 {
        let mut world = settled_world(seed);
        let shard = world.shards[0].clone();
        world.inject(Fault::LogDown { ms: 4_500 });
        world.run(4_000);
        assert!(world.outage_dispatches > 0, "seed {seed}");
        for _ in 0..2 {
            let node = owner(&world, &shard);
            world.activations.clear();
            world.inject(Fault::Restart { node });
            world.run(TAKEOVER_MAX_MS);
            let unrecorded = last_unrecorded(&world, &shard);
            assert_eq!(unrecorded, Some(Unrecorded::Possible), "seed {seed}");
        }
    }
}

/// Guards against an owner that reports a shard as settled when the log is reachable again but its
/// unlogged dispatches are not recorded yet.
#[test]
fn a_shard_is_unsettled_until_everything_is_recorded() {
    let mut dispatched = 0;
    for seed in 0..6 {
        for wait in 0..40 {
            let mut world = World::new(3, 1, seed);
            world.run(8_000);
            let node = owner(&world, &world.shards[0]);
            world.inject(Fault::LogDown { ms: 1_000 });
            world.run(1_000 + 10 * wait);
            dispatched += world.outage_dispatches;
            world.inject(Fault::Restart { node });
            world.run(TAKEOVER_MAX_MS);
            let none = Vec::<String>::new();
            assert_eq!(world.violations, none, "seed {seed}, wait {wait}");
        }
    }
    assert!(dispatched > 0);
}

/// Guards against consecutive restarts after which every takeover assumes unrecorded dispatches,
/// because too many schedulers started recently.
#[test]
fn consecutive_restarts_leave_nothing_unrecorded() {
    for seed in 0..20 {
        let mut world = settled_world(seed);
        for node in 0..3 {
            world.inject(Fault::Restart { node });
            world.run(TAKEOVER_MAX_MS);
        }
        assert!(!world.activations.is_empty(), "seed {seed}");
        for (shard, unrecorded) in &world.activations {
            assert_eq!(*unrecorded, Unrecorded::None, "{shard}, seed {seed}");
        }
    }
}

/// Guards against outage mode based on agreement that predates a heartbeat which reported the shard
/// as settled: the peers that agreed are clear again.
#[test]
fn agreement_ends_when_the_shard_is_settled() {
    let mut dispatched = 0;
    for seed in 0..6 {
        // Some waits end while the answers to the first settled heartbeat are in flight.
        for wait in 0..60 {
            let mut world = World::new(3, 1, seed);
            world.run(8_000);
            let node = owner(&world, &world.shards[0]);
            world.inject(Fault::LogDown { ms: 1_000 });
            world.run(1_000 + 10 * wait);
            dispatched += world.outage_dispatches;
            for b in (0..3).filter(|b| *b != node) {
                world.inject(Fault::Cut {
                    a: node,
                    b,
                    ms: 500,
                });
            }
            world.inject(Fault::LogDown { ms: 200 });
            world.run(150);
            world.inject(Fault::Restart { node });
            world.run(TAKEOVER_MAX_MS);
            let none = Vec::<String>::new();
            assert_eq!(world.violations, none, "seed {seed}, wait {wait}");
        }
    }
    assert!(dispatched > 0);
}

/// Guards against restarted schedulers that count as clear although their earlier incarnations
/// agreed to outage mode.
#[test]
fn a_restarted_scheduler_is_not_clear() {
    for seed in 0..20 {
        let mut world = settled_world(seed);
        let shard = world.shards[0].clone();
        world.inject(Fault::LogDown { ms: 3_500 });
        world.run(3_000);
        assert!(world.outage_dispatches > 0, "seed {seed}");
        let node = owner(&world, &shard);
        for peer in 0..4 {
            world.inject(Fault::Restart { node: node + peer });
        }
        world.run(TAKEOVER_MAX_MS);
        assert_eq!(
            last_unrecorded(&world, &shard),
            Some(Unrecorded::Possible),
            "seed {seed}"
        );
    }
}

/// Guards against a takeover that assumes unrecorded dispatches because its peers agreed to outage
/// mode for the new owner before it was active.
#[test]
fn an_outage_that_begins_in_a_takeover_leaves_nothing_unrecorded() {
    let mut takeovers = 0;
    for seed in 0..20 {
        let mut world = settled_world(seed);
        let node = owner(&world, &world.shards[0]);
        world.inject(Fault::Restart { node });
        // The claims are in the log but lack support.
        world.run(1_500);
        world.inject(Fault::LogDown { ms: 20_000 });
        world.run(TAKEOVER_MAX_MS);
        takeovers += world.activations.len();
        for (shard, unrecorded) in &world.activations {
            assert_eq!(*unrecorded, Unrecorded::None, "{shard}, seed {seed}");
        }
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
    assert!(takeovers > 0);
}
