//! Property test with random faults and event orders: the invariants hold and every job ends.

#![allow(missing_docs, unreachable_pub, dead_code)]

#[path = "support/placement_lockstep.rs"]
mod lockstep;
#[path = "support/simulation.rs"]
mod simulation;
#[path = "support/vm.rs"]
mod vm;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use rosemaryworks_core::job::{Id, Kind, Priority, Spec, State as JobState, TASKS_MAX};
use rosemaryworks_core::placement::{Event, Refusal};
use rosemaryworks_core::size::Size;
use rosemaryworks_core::target::State;

use simulation::{Simulation, job};

const VMS: usize = 5;

/// One step of a test. A `usize` is the index of a VM or job, a `u64` a duration in milliseconds
/// or, in `LoseAnswers`, a percentage.
#[derive(Clone, Debug)]
enum Op {
    FailTasks(usize, bool),
    Cancel(usize),
    Leave(usize, Option<u64>),
    SetListed(usize, bool),
    LoseAnswers(u64),
    SetReachable(usize, bool),
    Reboot(usize),
    Run(u64),
    Submit(Plan),
    TakeOver(u64),
}

/// Parameters of a job to submit.
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
            0 => Self::FailTasks(vm, bool::arbitrary(g)),
            1 => Self::Cancel(below(g, 8) as usize),
            2 => Self::Leave(vm, (below(g, 2) == 0).then(|| below(g, 30_000))),
            3 | 4 => Self::SetListed(vm, bool::arbitrary(g)),
            5 => Self::LoseAnswers(below(g, 60)),
            6 | 7 => Self::SetReachable(vm, bool::arbitrary(g)),
            8 => Self::Reboot(vm),
            9 | 10 => Self::TakeOver(4_000 + below(g, 8_000)),
            11..=16 => Self::Submit(Plan::arbitrary(g)),
            _ => Self::Run(below(g, 12_000)),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        match self {
            Self::Run(millis) => Box::new(millis.shrink().map(Self::Run)),
            Self::LoseAnswers(percent) => Box::new(percent.shrink().map(Self::LoseAnswers)),
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

fn submit(sim: &mut Simulation, plan: &Plan) {
    let id = format!("j{}", sim.jobs.len());
    let spec = Spec {
        kind: plan.kind,
        priority: plan.priority,
        tasks: plan.tasks.min(TASKS_MAX),
        size: Size::new(plan.millicores, 500),
        run_ms: plan.run_ms,
        restart: plan.restart,
        ..job(&id)
    };
    if let Err(Refusal::Later(_) | Refusal::Never(_)) = sim.kernel.admit("a", &spec) {
        return;
    }
    if plan.fails && plan.kind != Kind::Service {
        sim.overrides.insert(spec.id.clone(), (plan.run_ms, true));
    }
    sim.submit(spec);
}

fn apply(sim: &mut Simulation, op: &Op) {
    match op {
        Op::FailTasks(vm, fails) => sim.vm(*vm).fails_tasks = *fails,
        Op::Cancel(index) => {
            let id = sim.jobs.keys().nth(*index).cloned();
            if let Some(id) = id.filter(|id| !sim.outcomes.contains_key(id)) {
                sim.cancel(&id);
            }
        }
        Op::Leave(vm, within_ms) => {
            sim.vm(*vm).state = State::Leaving {
                within_ms: *within_ms,
            };
            sim.update_list();
        }
        Op::SetListed(vm, listed) => {
            sim.vm(*vm).listed = *listed;
            sim.update_list();
        }
        Op::LoseAnswers(percent) => sim.lost_answer_percent = *percent,
        Op::SetReachable(vm, reachable) => sim.vm(*vm).reachable = *reachable,
        Op::Reboot(vm) => sim.reboot(*vm),
        Op::Run(millis) => sim.run(*millis),
        Op::Submit(plan) => submit(sim, plan),
        Op::TakeOver(gap_ms) => sim.take_over(*gap_ms),
    }
}

fn clear_faults(sim: &mut Simulation) {
    sim.lost_answer_percent = 0;
    for index in 0..VMS {
        let vm = sim.vm(index);
        vm.fails_tasks = false;
        vm.listed = true;
        vm.reachable = true;
        vm.state = State::Live;
    }
    sim.update_list();
    let services = sim
        .jobs
        .iter()
        .filter(|(_, job)| job.0.kind == Kind::Service);
    let services: Vec<_> = services.map(|(id, _)| id.clone()).collect();
    for id in services {
        if !sim.outcomes.contains_key(&id) {
            sim.cancel(&id);
        }
    }
}

fn invariants_hold(seed: u64, ops: Vec<Op>) -> bool {
    let mut sim = Simulation::new(VMS, seed);
    sim.restore_unlisted = seed.is_multiple_of(2);
    for op in &ops {
        apply(&mut sim, op);
        sim.handle_event(Event::Tick);
    }
    clear_faults(&mut sim);
    let ended = sim.run_until_ended(600_000);
    let all_healthy = !ops.iter().any(|op| matches!(op, Op::FailTasks(_, true)));
    ended
        && (!all_healthy
            || sim
                .outcomes
                .iter()
                .all(|(id, end)| is_expected_end(&sim, id, *end)))
}

/// Returns whether the end of a job on healthy workers matches its tasks and requests.
fn is_expected_end(sim: &Simulation, id: &Id, end: JobState) -> bool {
    let (spec, _) = &sim.jobs[id];
    let fails = sim.overrides.contains_key(&spec.id);
    let cancelled = sim.cancelled.contains(id);
    match end {
        JobState::Succeeded => !fails,
        JobState::Failed => fails,
        JobState::Lost => !spec.restart,
        JobState::Cancelled => cancelled,
        JobState::Queued | JobState::Running => false,
    }
}

/// Guards against two leases of one task, overcommitted VMs, second starts of tasks that must not
/// restart, and jobs that never end.
#[test]
fn invariants_hold_under_random_faults() {
    let (cases, seed) = (
        env_number("PLACEMENT_CASES", 300),
        env_number("PLACEMENT_SEED", 1),
    );
    QuickCheck::new()
        .tests(cases)
        .rng(Gen::from_size_and_seed(60, seed))
        .quickcheck(invariants_hold as fn(u64, Vec<Op>) -> bool);
}

/// Returns the number in an environment variable, which allows longer runs without a code change.
fn env_number(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}
