//! Guards against best-effort tasks that stay paused after a change of owner.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, key, queue, spec, step};
use rosemaryworks_workflow::{Id, Record, Step};

const STEP_MS: u64 = 250;

/// Guards against a successor that takes an inherited attempt for one at full speed although its
/// predecessor had paused it.
#[test]
fn a_successor_speeds_up_an_attempt_that_its_predecessor_had_paused() {
    let mut fleet = Fleet::new(1);
    let service = Step {
        service: true,
        latency_target_ms: 100,
        ..step(1)
    };
    let best_effort = Step {
        best_effort: true,
        ..step(1)
    };
    let job = spec(vec![service, best_effort]);
    fleet.submit(1, job.clone());
    let life = fleet.workers.get_mut("w0").expect("w");
    life.percent.insert(key(1, 0, 0), 100);
    life.metric = 200.0;
    for _ in 0..6 {
        fleet.advance(STEP_MS);
        fleet.renew("w0");
    }
    let last = fleet.paces.last().map(|pace| pace.percent);
    assert_eq!(last, Some(0));
    fleet.paces.clear();
    fleet.workers.get_mut("w0").expect("w").metric = 1.0;
    let submitted = Record::Submitted {
        id: Id(1),
        queue: "q".into(),
        spec: job,
    };
    fleet.take_over(2, &[submitted], vec![queue("q")]);
    for _ in 0..60 {
        fleet.advance(STEP_MS);
        fleet.renew("w0");
        fleet.make_durable();
    }
    assert!(!fleet.paces.is_empty(), "stays paused");
}
