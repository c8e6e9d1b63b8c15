//! Guards against tasks that run twice on workers that an owner or its predecessor had seen before.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, key, queue, spec, step};
use rosemaryworks_workflow::{Id, Key, Outcome, Record, Renewal};

const STEP_MS: u64 = 250;

fn task() -> Key {
    key(1, 0, 0)
}

fn submitted() -> Record {
    Record::Submitted {
        id: Id(1),
        queue: "q".into(),
        spec: spec(vec![step(1)]),
    }
}

fn take_over(fleet: &mut Fleet, epoch: u64) {
    fleet.take_over(epoch, &[submitted()], vec![queue("q")]);
}

fn add_ready_worker(fleet: &mut Fleet, id: &str) {
    fleet.add_worker(id);
    fleet.take_actions();
    fleet.make_durable();
    fleet.renew(id);
    fleet.make_durable();
}

/// Carries a call out late unless the life has seen a higher token. Returns whether it was.
fn late(fleet: &mut Fleet, id: &str, renewal: &Renewal) -> bool {
    let now_ms = fleet.now_ms;
    let life = fleet.workers.get_mut(id).expect("a worker");
    let is_valid = renewal.token >= life.token;
    if is_valid {
        life.renew(renewal, now_ms);
    }
    is_valid
}

fn await_restart(
    fleet: &mut Fleet,
    task: Key,
    limit_ms: u64,
    mut each: impl FnMut(&mut Fleet, u64),
) {
    let began_ms = fleet.now_ms;
    while fleet.now_ms < began_ms + limit_ms {
        fleet.advance(STEP_MS);
        let waited_ms = fleet.now_ms - began_ms;
        each(fleet, waited_ms);
        fleet.renew_all();
        fleet.make_durable();
        assert!(
            fleet.live_runs(task) <= 1,
            "runs twice after {waited_ms} ms"
        );
    }
}

/// Guards against a successor that doesn't know of a restart that its predecessor learned from a report.
#[test]
fn a_restart_that_was_reported_is_recorded_at_once() {
    let mut fleet = Fleet::new(1);
    fleet.restart("w0");
    fleet.submit(1, spec(vec![step(1)]));
    fleet.renew("w0");
    assert_eq!(fleet.shard.host("w0").expect("h").worker().incarnation, 8);
    add_ready_worker(&mut fleet, "w1");
    fleet.set_unresponsive("w0", true);
    fleet.workers.get_mut("w0").expect("w").listed_incarnation = Some(7);
    for _ in 0..4 {
        fleet.advance(STEP_MS);
        fleet.renew_all();
        fleet.make_durable();
    }
    take_over(&mut fleet, 2);
    await_restart(&mut fleet, task(), 25_000, |_, _| {});
}

/// Guards against a worker that returns after its removal with the token that calls for its former life
/// carry.
#[test]
fn calls_for_a_removed_worker_are_void_once_it_has_reported_again() {
    let mut fleet = Fleet::new(1);
    fleet.submit(1, spec(vec![step(1)]));
    fleet.renew("w0");
    for _ in 0..2 {
        fleet.advance(1_990);
        fleet.renew_all();
        fleet.make_durable();
    }
    fleet.workers.get_mut("w0").expect("w").runs.clear();
    fleet.set_unresponsive("w0", true);
    let former = fleet.shard.renewal("w0", fleet.now_ms).expect("a renewal");
    assert!(former.deadline_ms.is_some());
    let (address, capacity) = ("w0", rosemaryworks_core::size::Size::new(4_000, 16_384));
    let draining = rosemaryworks_workflow::Worker {
        draining: true,
        ..fleet::worker(address, capacity, 7)
    };
    fleet.shard.list_worker(draining, fleet.now_ms);
    add_ready_worker(&mut fleet, "w1");
    let sent_ms = fleet.now_ms;
    fleet.advance(1_000);
    fleet.renew("w0");
    fleet.shard.unlist_worker("w0");
    while fleet.shard.host("w0").is_some() {
        fleet.advance(STEP_MS);
        fleet.renew_all();
        fleet.make_durable();
    }
    println!("removed after {}", fleet.now_ms - sent_ms);
    fleet.end_and_report(task(), Outcome::Done);
    fleet.set_unresponsive("w1", true);
    fleet.renew("w1");
    fleet.restart("w0");
    fleet.list("w0");
    fleet.make_durable();
    fleet.renew("w0");
    fleet.make_durable();
    fleet.tick();
    fleet.renew("w0");
    fleet.submit(2, spec(vec![step(1)]));
    let second = key(2, 0, 0);
    assert_eq!(fleet.workers_running(second), ["w0".into()]);
    fleet.renew("w0");
    fleet.set_unresponsive("w1", false);
    fleet.renew("w1");
    fleet.make_durable();
    let late_ms = sent_ms + 11_500;
    println!(
        "late call {} after the report, token {} of {}",
        late_ms - fleet.now_ms,
        former.token,
        fleet.workers["w0"].token
    );
    fleet.set_unresponsive("w0", true);
    let mut done = false;
    await_restart(&mut fleet, second, 25_000, move |fleet, _| {
        if fleet.now_ms >= late_ms && !done {
            done = true;
            println!("late call carried out: {}", late(fleet, "w0", &former));
        }
    });
}

/// Guards against a worker that started again, was removed and returns in the same life with the granted
/// lease.
#[test]
fn a_worker_that_returns_in_the_life_in_which_it_was_removed_keeps_its_longest_lease() {
    let mut fleet = Fleet::new(1);
    fleet.submit(1, spec(vec![step(1)]));
    fleet.renew("w0");
    for _ in 0..2 {
        fleet.advance(1_990);
        fleet.renew_all();
        fleet.make_durable();
    }
    let former = fleet.shard.renewal("w0", fleet.now_ms).expect("a renewal");
    assert!(former.deadline_ms.is_some());
    let sent_ms = fleet.now_ms;
    fleet.restart("w0");
    fleet.list("w0"); // Life 8 is known, and silent.
    add_ready_worker(&mut fleet, "w1");
    fleet.set_unresponsive("w0", true);
    fleet.tick();
    assert_eq!(fleet.workers_running(task()), ["w1".into()]);
    fleet.renew("w1");
    fleet.end_and_report(task(), Outcome::Done);
    fleet.renew("w0");
    fleet.shard.unlist_worker("w0");
    while fleet.shard.host("w0").is_some() {
        fleet.advance(STEP_MS);
        fleet.renew_all();
        fleet.make_durable();
    }
    println!("removed after {}", fleet.now_ms - sent_ms);
    fleet.set_unresponsive("w1", true);
    fleet.renew("w1");
    assert!(late(&mut fleet, "w0", &former));
    fleet.set_unresponsive("w0", false);
    fleet.list("w0");
    fleet.make_durable();
    fleet.renew("w0");
    fleet.make_durable();
    fleet.tick();
    fleet.submit(2, spec(vec![step(1)]));
    let second = key(2, 0, 0);
    assert_eq!(fleet.workers_running(second), ["w0".into()]);
    fleet.renew("w0");
    fleet.set_unresponsive("w1", false);
    fleet.renew("w1");
    fleet.make_durable();
    fleet.set_unresponsive("w0", true);
    await_restart(&mut fleet, second, 25_000, |_, _| {});
}
