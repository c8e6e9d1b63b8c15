//! Guards against work that waits for ever, or runs twice, because its worker doesn't answer.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, key, spec, step};
use rosemaryworks_workflow::Outcome;

/// Longest time from the last answer of a worker to the next start of its tasks: the lease of 6 s on
/// the slowest clock, the time to end the runs (0.2 s), and the look that went unanswered and the tick
/// after it (0.25 s each).
const RESTART_MAX_MS: u64 = 7_000;

#[test]
fn work_of_a_dark_worker_starts_again_while_it_is_looked_at() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let place = fleet.places(key(1, 0, 0))[0].clone();
    fleet.look(&place);
    fleet.workers.get_mut(&place).expect("a worker").silent = true;
    for _ in 0..RESTART_MAX_MS / 250 {
        fleet.pass(250);
        fleet.look(&place);
    }
    assert_eq!(fleet.orders.len(), 2, "not started again");
    assert_ne!(fleet.orders[1].worker, place);
}

#[test]
fn work_of_a_dark_worker_does_not_start_again_before_its_lease_has_lapsed() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let place = fleet.places(key(1, 0, 0))[0].clone();
    fleet.look(&place);
    fleet.workers.get_mut(&place).expect("a worker").silent = true;
    for _ in 0..22 {
        fleet.pass(250);
        fleet.look(&place);
    }
    assert_eq!(fleet.orders.len(), 1, "started beside a run that may go on");
}

#[test]
fn a_start_without_an_answer_is_decided_by_the_next_look() {
    let mut fleet = Fleet::new(1);
    fleet.workers.get_mut("w0").expect("a worker").silent = true;
    fleet.submit(1, spec(vec![step(1)]));
    assert_eq!(fleet.orders.len(), 1);
    fleet.workers.get_mut("w0").expect("a worker").silent = false;
    // The look carries a higher token, so the order that may be late is void.
    fleet.look("w0");
    assert!(fleet.workers["w0"].token > fleet.orders[0].token);
    fleet.pass(600);
    assert_eq!(fleet.orders.len(), 2);
    assert_eq!(fleet.orders[1].attempt, 2);
}

#[test]
fn a_worker_that_fails_everything_is_left_alone() {
    let mut fleet = Fleet::new(2);
    for id in 1..=6 {
        fleet.submit(id, spec(vec![step(1)]));
        let key = key(id, 0, 0);
        while let Some(place) = fleet.places(key).first().cloned() {
            let how = if &*place == "w0" {
                Outcome::Failed
            } else {
                Outcome::Done
            };
            fleet.end_known(key, how);
        }
    }
    let on_bad = fleet.orders.iter().filter(|order| &*order.worker == "w0");
    assert!(on_bad.count() <= 2, "keeps drawing work");
}

/// A look whose answer is lost hides the ends of its whole wait: with one lost answer in twenty a third
/// of the jobs of ten tasks waited 0.8 s longer.
#[test]
fn looks_wait_less_while_answers_get_lost() {
    let mut fleet = Fleet::new(20);
    fleet.submit(1, spec(vec![step(20)]));
    let ids: Vec<_> = fleet.workers.keys().cloned().collect();
    let wait_ms = |fleet: &mut Fleet| {
        fleet
            .shard
            .renewal(&ids[0], fleet.now_ms)
            .expect("a look")
            .wait_ms
    };
    fleet.look_all();
    assert_eq!(wait_ms(&mut fleet), 800);
    for round in 0..20 {
        let id = &ids[round % ids.len()];
        fleet.workers.get_mut(id).expect("a worker").silent = true;
        fleet.look(id);
        fleet.workers.get_mut(id).expect("a worker").silent = false;
        fleet.pass(30);
        fleet.look_all();
    }
    assert!(wait_ms(&mut fleet) <= 200, "{}", wait_ms(&mut fleet));
    for _ in 0..40 {
        fleet.pass(30);
        fleet.look_all();
    }
    assert_eq!(wait_ms(&mut fleet), 800);
}

#[test]
fn a_worker_that_ended_is_no_lost_answer() {
    let mut fleet = Fleet::new(20);
    fleet.submit(1, spec(vec![step(20)]));
    let ids: Vec<_> = fleet.workers.keys().cloned().collect();
    fleet.look_all();
    fleet.workers.get_mut(&ids[1]).expect("a worker").silent = true;
    // Shorter than the time after which runs without progress are stopped.
    for _ in 0..30 {
        fleet.pass(100);
        fleet.look_all();
    }
    let look = fleet.shard.renewal(&ids[0], fleet.now_ms).expect("a look");
    assert_eq!(look.wait_ms, 800);
}

fn leaving(fleet: &mut Fleet, id: &str) {
    let mut worker = fleet::worker(id, rosemaryworks_core::size::Size::new(4_000, 16_384), 7);
    worker.draining = true;
    fleet.shard.list_worker(worker, fleet.now_ms);
}

/// A successor would wait for the lease of a worker that left seconds before.
#[test]
fn a_worker_that_left_is_dropped_at_once_and_its_work_moves() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let place = fleet.places(key(1, 0, 0))[0].clone();
    leaving(&mut fleet, &place);
    fleet.workers.get_mut(&place).expect("a worker").silent = true;
    fleet.look(&place);
    fleet.shard.unlist_worker(&place);
    fleet.step();
    assert!(fleet.shard.host(&place).is_none());
    let unhosted = rosemaryworks_workflow::Record::WorkerRemoved { worker: place };
    assert!(fleet.records.contains(&unhosted));
    assert_eq!(fleet.orders.len(), 2, "its work did not move");
}

/// Entries lapse while the log is away, also those of workers that leave slowly.
#[test]
fn a_leaving_worker_that_answers_keeps_its_work_when_its_entry_lapses() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let place = fleet.places(key(1, 0, 0))[0].clone();
    leaving(&mut fleet, &place);
    fleet.shard.unlist_worker(&place);
    fleet.step();
    fleet.look(&place);
    fleet.pass(100);
    assert_eq!(fleet.orders.len(), 1, "started beside a run that goes on");
}

/// The work of a worker that crashed would wait for its lease of several seconds.
#[test]
fn work_of_a_worker_that_no_longer_listens_moves_at_once() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, spec(vec![step(1)]));
    let place = fleet.places(key(1, 0, 0))[0].clone();
    let look = fleet.shard.renewal(&place, fleet.now_ms).expect("a look");
    let fault = rosemaryworks_workflow::RenewalFault::NotListening;
    fleet
        .shard
        .renewal_failed(&place, look.token, fault, fleet.now_ms);
    fleet.step();
    assert_eq!(fleet.orders.len(), 2, "not started again");
    assert_ne!(fleet.orders[1].worker, place);
}
