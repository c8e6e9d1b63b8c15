//! Ownership of shards under faults.

#[path = "ownership/world.rs"]
mod world;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use rosemaryworks_core::ownership::Unrecorded;
use rosemaryworks_core::shard::Id;
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
    match u8::arbitrary(g) % 9 {
        0 => Fault::LogDown { ms },
        // Short outages in a row.
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

/// Returns a world of five schedulers whose shards are settled and have owners.
fn settled(seed: u64) -> World {
    let mut world = World::new(5, 4, seed);
    world.run(8_000);
    world.activations.clear();
    world
}

/// Returns the owner of `shard`.
fn owner(world: &World, shard: &Id) -> usize {
    world.owners(shard)[0].0
}

/// Returns what the last activation of `shard` said, if it had a new owner.
fn last_doubt(world: &World, shard: &Id) -> Option<Unrecorded> {
    let mut all = world.activations.iter().rev();
    all.find(|(other, _)| other == shard)
        .map(|(_, doubt)| *doubt)
}

/// Guards against a doubt that rests on the time of an outage alone, although everything that was
/// dispatched in it is in the log.
#[test]
fn an_outage_that_is_written_leaves_no_doubt() {
    for seed in 0..20 {
        let mut world = settled(seed);
        let shard = world.shards[0].clone();
        world.inject(Fault::LogDown { ms: 10_000 });
        world.run(12_000);
        assert!(world.outage_dispatches > 0, "seed {seed}");
        let node = owner(&world, &shard);
        world.inject(Fault::Restart { node });
        world.run(TAKEOVER_MAX_MS);
        assert_eq!(
            last_doubt(&world, &shard),
            Some(Unrecorded::None),
            "seed {seed}"
        );
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against a takeover that dispatches a request again which an owner dispatched without the
/// log before it was killed, also when the next owner is killed in its doubt period.
#[test]
fn an_owner_killed_in_an_outage_leaves_doubt() {
    for seed in 0..20 {
        let mut world = settled(seed);
        let shard = world.shards[0].clone();
        world.inject(Fault::LogDown { ms: 4_500 });
        world.run(4_000);
        assert!(world.outage_dispatches > 0, "seed {seed}");
        for _ in 0..2 {
            let node = owner(&world, &shard);
            world.activations.clear();
            world.inject(Fault::Restart { node });
            world.run(TAKEOVER_MAX_MS);
            let doubt = last_doubt(&world, &shard);
            assert_eq!(doubt, Some(Unrecorded::Possible), "seed {seed}");
        }
    }
}

/// Guards against an owner that reports a shard as settled when the log is back but before what it
/// dispatched without the log is written.
#[test]
fn a_shard_is_unsettled_until_everything_is_written() {
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

/// Guards against restarts in a row that leave every later takeover in doubt, because too many
/// schedulers started lately.
#[test]
fn restarts_in_a_row_leave_no_doubt() {
    for seed in 0..20 {
        let mut world = settled(seed);
        for node in 0..3 {
            world.inject(Fault::Restart { node });
            world.run(TAKEOVER_MAX_MS);
        }
        assert!(!world.activations.is_empty(), "seed {seed}");
        for (shard, doubt) in &world.activations {
            assert_eq!(*doubt, Unrecorded::None, "{shard}, seed {seed}");
        }
    }
}

/// Guards against outage mode that rests on agreements from before a heartbeat that reported the
/// shard as settled: the peers that agreed are clear again.
#[test]
fn agreements_end_when_the_shard_is_settled() {
    let mut dispatched = 0;
    for seed in 0..6 {
        // Some waits end while the answers to the first settled heartbeat are on their way.
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
        let mut world = settled(seed);
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
            last_doubt(&world, &shard),
            Some(Unrecorded::Possible),
            "seed {seed}"
        );
    }
}

/// Guards against a takeover that is in doubt because its peers agree to outage mode for the new
/// owner before it acts.
#[test]
fn an_outage_that_begins_in_a_takeover_leaves_no_doubt() {
    let mut takeovers = 0;
    for seed in 0..20 {
        let mut world = settled(seed);
        let node = owner(&world, &world.shards[0]);
        world.inject(Fault::Restart { node });
        // The claims are in the log and lack support.
        world.run(1_500);
        world.inject(Fault::LogDown { ms: 20_000 });
        world.run(TAKEOVER_MAX_MS);
        takeovers += world.activations.len();
        for (shard, doubt) in &world.activations {
            assert_eq!(*doubt, Unrecorded::None, "{shard}, seed {seed}");
        }
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
    assert!(takeovers > 0);
}
