//! Known limits: what nobody could know of a worker that started again.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, key, queue, spec, step};
use rosemaryworks_workflow::{Id, Key, Record, Renewal};

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

fn late_start(fleet: &mut Fleet, id: &str, order: &rosemaryworks_workflow::Order) -> bool {
    let renewal = Renewal {
        address: order.address,
        acknowledged: 0,
        deadline_ms: Some(order.deadline_ms),
        token: order.token,
        wait_ms: 0,
    };
    let is_valid = late(fleet, id, &renewal);
    if is_valid {
        let life = fleet.workers.get_mut(id).expect("w");
        life.runs.insert(order.key, order.attempt);
    }
    is_valid
}

/// An owner gave up a start that such a life, cut off before its first entry in the list, had carried out.
#[test]
fn an_owner_knows_a_life_that_is_neither_listed_nor_reported() {
    let mut fleet = Fleet::new(1);
    fleet.restart("w0");
    fleet.submit(1, spec(vec![step(1)]));
    add_ready_worker(&mut fleet, "w1");
    fleet.set_unresponsive("w0", true);
    await_restart(&mut fleet, task(), 25_000, |_, _| {});
}

/// The same for a successor.
#[test]
fn a_successor_knows_a_life_that_is_neither_listed_nor_reported() {
    let mut fleet = Fleet::new(1);
    fleet.restart("w0");
    fleet.submit(1, spec(vec![step(1)]));
    add_ready_worker(&mut fleet, "w1");
    fleet.set_unresponsive("w0", true);
    fleet.workers.get_mut("w0").expect("w").listed_incarnation = Some(7);
    take_over(&mut fleet, 2);
    await_restart(&mut fleet, task(), 25_000, |_, _| {});
}

/// A start without a permit and without an answer, void in the life that it was meant for, was carried
/// out by the next one.
#[test]
fn a_start_that_was_void_in_one_life_is_void_in_the_next() {
    let mut fleet = Fleet::new(1);
    fleet.set_unresponsive("w0", true); // The start gets no answer.
    fleet.submit(1, spec(vec![step(1)]));
    let order = fleet.orders[0].clone();
    add_ready_worker(&mut fleet, "w1");
    fleet.set_unresponsive("w0", false);
    fleet.renew("w0"); // The former life answers with the raised token: absent.
    fleet.tick();
    fleet.advance(100);
    println!("on {:?}", fleet.workers_running(task()));
    fleet.renew_all();
    fleet.advance(1_000);
    fleet.renew("w1");
    fleet.restart("w0");
    println!("carried out: {}", late_start(&mut fleet, "w0", &order));
    assert!(fleet.live_runs(task()) <= 1, "runs twice");
}

/// A start without a permit and without an answer was given up with the lease and carried out later by a
/// life that had started since.
#[test]
fn a_start_that_was_given_up_is_not_carried_out_by_a_life_that_starts_later() {
    let mut fleet = Fleet::new(1);
    fleet.set_unresponsive("w0", true);
    fleet.submit(1, spec(vec![step(1)]));
    let order = fleet.orders[0].clone();
    fleet.renew("w0");
    add_ready_worker(&mut fleet, "w1");
    await_restart(&mut fleet, task(), 25_000, |fleet, waited_ms| {
        if waited_ms == 7_000 {
            fleet.restart("w0");
            fleet.set_unresponsive("w0", true);
            println!("carried out: {}", late_start(fleet, "w0", &order));
        }
    });
}

/// A successor took a silent worker for the life that the list of workers had named before the log
/// became unreachable.
#[test]
fn a_successor_keeps_inherited_tasks_while_the_list_of_workers_is_not_read() {
    let mut fleet = Fleet::new(1);
    fleet.restart("w0");
    fleet.submit(1, spec(vec![step(1)]));
    add_ready_worker(&mut fleet, "w1");
    fleet.is_list_unreadable = true;
    fleet.set_unresponsive("w0", true);
    fleet
        .workers
        .get_mut("w0")
        .expect("a worker")
        .listed_incarnation = Some(7);
    take_over(&mut fleet, 2);
    await_restart(&mut fleet, task(), 25_000, |_, _| {});
}
