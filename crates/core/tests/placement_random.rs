//! Random faults and orders of events: the placement conditions always hold and every job ends.

#![allow(missing_docs, unreachable_pub, dead_code)]

#[path = "support/twin.rs"]
mod twin;
#[path = "support/vm.rs"]
mod vm;
#[path = "support/world.rs"]
mod world;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use rosemaryworks_core::job::{Id, Kind, Priority, Spec, State as JobState, TASKS_MAX};
use rosemaryworks_core::placement::{Event, Refusal};
use rosemaryworks_core::size::Size;
use rosemaryworks_core::target::State;

use world::{World, job};

const VMS: usize = 5;

/// One thing that happens to the cell.
#[derive(Clone, Debug)]
enum Op {
    Bad(usize, bool),
    Cancel(usize),
    Leave(usize, Option<u64>),
    List(usize, bool),
    Lose(u64),
    Reach(usize, bool),
    Reboot(usize),
    Run(u64),
    Submit(Plan),
    TakeOver(u64),
}

/// A job to submit.
#[derive(Clone, Debug)]
struct Plan {
    kind: Kind,
    priority: Priority,
    tasks: u32,
    millicores: u64,
    run_ms: u64,
    restart: bool,
    fails: bool,
}

fn below(g: &mut Gen, bound: u64) -> u64 {
    u64::arbitrary(g) % bound
}

impl Arbitrary for Plan {
    fn arbitrary(g: &mut Gen) -> Self {
        let kinds = [Kind::Batch, Kind::Batch, Kind::Gang, Kind::Service];
        let priorities = [Priority::Nightly, Priority::Normal, Priority::Urgent];
        Self {
            kind: *g.choose(&kinds).expect("kind"),
            priority: *g.choose(&priorities).expect("priority"),
            tasks: 1 + below(g, 6) as u32,
            millicores: 500 * (1 + below(g, 6)),
            run_ms: 100 + below(g, 12_000),
            restart: below(g, 3) > 0,
            fails: below(g, 8) == 0,
        }
    }
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let vm = below(g, VMS as u64) as usize;
        match below(g, 24) {
            0 => Self::Bad(vm, bool::arbitrary(g)),
            1 => Self::Cancel(below(g, 8) as usize),
            2 => Self::Leave(vm, (below(g, 2) == 0).then(|| below(g, 30_000))),
            3 | 4 => Self::List(vm, bool::arbitrary(g)),
            5 => Self::Lose(below(g, 60)),
            6 | 7 => Self::Reach(vm, bool::arbitrary(g)),
            8 => Self::Reboot(vm),
            9 | 10 => Self::TakeOver(4_000 + below(g, 8_000)),
            11..=16 => Self::Submit(Plan::arbitrary(g)),
            _ => Self::Run(below(g, 12_000)),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        match self {
            Self::Run(millis) => Box::new(millis.shrink().map(Self::Run)),
            Self::Lose(percent) => Box::new(percent.shrink().map(Self::Lose)),
            Self::Submit(plan) if plan.tasks > 1 => {
                let plan = Plan {
                    tasks: plan.tasks / 2,
                    ..plan.clone()
                };
                Box::new(std::iter::once(Self::Submit(plan)))
            }
            _ => Box::new(std::iter::empty()),
        }
    }
}

fn submit(world: &mut World, plan: &Plan) {
    let id = format!("j{}", world.jobs.len());
    let spec = Spec {
        kind: plan.kind,
        priority: plan.priority,
        tasks: plan.tasks.min(TASKS_MAX),
        size: Size::new(plan.millicores, 500),
        run_ms: plan.run_ms,
        restart: plan.restart,
        ..job(&id)
    };
    if let Err(Refusal::Later(_) | Refusal::Never(_)) = world.kernel.admit("a", &spec) {
        return;
    }
    if plan.fails && plan.kind != Kind::Service {
        world.truth.insert(spec.id.clone(), (plan.run_ms, true));
    }
    world.submit(spec);
}

fn apply(world: &mut World, op: &Op) {
    match op {
        Op::Bad(vm, bad) => world.vm(*vm).bad = *bad,
        Op::Cancel(index) => {
            let id = world.jobs.keys().nth(*index).cloned();
            if let Some(id) = id.filter(|id| !world.outcomes.contains_key(id)) {
                world.cancel(&id);
            }
        }
        Op::Leave(vm, within_ms) => {
            world.vm(*vm).state = State::Leaving {
                within_ms: *within_ms,
            };
            world.list();
        }
        Op::List(vm, listed) => {
            world.vm(*vm).listed = *listed;
            world.list();
        }
        Op::Lose(percent) => world.lose_percent = *percent,
        Op::Reach(vm, reachable) => world.vm(*vm).reachable = *reachable,
        Op::Reboot(vm) => world.reboot(*vm),
        Op::Run(millis) => world.run(*millis),
        Op::Submit(plan) => submit(world, plan),
        Op::TakeOver(gap_ms) => world.take_over(*gap_ms),
    }
}

fn heal(world: &mut World) {
    world.lose_percent = 0;
    for index in 0..VMS {
        let vm = world.vm(index);
        vm.bad = false;
        vm.listed = true;
        vm.reachable = true;
        vm.state = State::Live;
    }
    world.list();
    let services = world
        .jobs
        .iter()
        .filter(|(_, job)| job.0.kind == Kind::Service);
    let services: Vec<_> = services.map(|(id, _)| id.clone()).collect();
    for id in services {
        if !world.outcomes.contains_key(&id) {
            world.cancel(&id);
        }
    }
}

fn survives(seed: u64, ops: Vec<Op>) -> bool {
    let mut world = World::new(VMS, seed);
    world.recall = seed.is_multiple_of(2);
    for op in &ops {
        apply(&mut world, op);
        world.feed(Event::Tick);
    }
    heal(&mut world);
    let ended = world.run_until_ended(600_000);
    let all_good = !ops.iter().any(|op| matches!(op, Op::Bad(_, true)));
    ended
        && (!all_good
            || world
                .outcomes
                .iter()
                .all(|(id, end)| is_fair(&world, id, *end)))
}

/// Tells whether a job on healthy workers ended as its tasks deserve.
fn is_fair(world: &World, id: &Id, end: JobState) -> bool {
    let (spec, _) = &world.jobs[id];
    let fails = world.truth.contains_key(&spec.id);
    let cancelled = world.cancelled.contains(id);
    match end {
        JobState::Succeeded => !fails,
        JobState::Failed => fails,
        JobState::Lost => !spec.restart,
        JobState::Cancelled => cancelled,
        JobState::Queued | JobState::Running => false,
    }
}

/// Guards against two live leases, overfull VMs, second starts and jobs that never end.
#[test]
fn conditions_hold_under_random_faults() {
    let (cases, seed) = (number("PLACEMENT_CASES", 300), number("PLACEMENT_SEED", 1));
    QuickCheck::new()
        .tests(cases)
        .rng(Gen::from_size_and_seed(60, seed))
        .quickcheck(survives as fn(u64, Vec<Op>) -> bool);
}

/// Returns the number in an environment variable, so that a longer run needs no change here.
fn number(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}
