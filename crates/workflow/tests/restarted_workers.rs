//! Guards against tasks that run twice because calls that were meant for the former life of a worker
//! take effect in its next one: it has the same id, knows no fencing token, and its clock and the
//! numbers of its ends begin anew.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, key, queue, settings, spec, step};
use rosemaryworks_workflow::{Id, Key, Outcome, Record, Refusal, State};

/// Time of a takeover until no previous owner commands a worker, the lease on the slowest clock and
/// the margins, for a lease of `lease_ms`, and the longest time between two looks of a test.
const fn takeover_wait_ms(lease_ms: u64) -> u64 {
    1_200 + lease_ms * 100 / 98 + 200 + 300 + 2 * STEP_MS
}

/// Time between two looks of a test.
const STEP_MS: u64 = 250;

/// The task of most tests.
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

/// Lets the owner notice that `w0` started again, from the answer to a renewal, and use it again.
fn notice_restart(fleet: &mut Fleet) {
    fleet.renew("w0");
    fleet.list("w0");
    fleet.renew("w0");
    fleet.make_durable();
    fleet.tick();
    fleet.renew("w0");
}

/// Returns a fleet whose worker `w0` started again while it ran the task. A renewal for its former
/// life reached the next one, which runs the task now; `w1` is idle.
fn restarted() -> Fleet {
    let mut fleet = Fleet::new(1);
    fleet.submit(1, spec(vec![step(1)]));
    fleet.renew("w0");
    fleet.restart("w0");
    notice_restart(&mut fleet);
    assert_eq!(fleet.workers_running(task()), ["w0".into()]);
    add_ready_worker(&mut fleet, "w1");
    fleet
}

/// Advances the time by so much that a deadline on the clock of the present life is worth the longest
/// lease in the next one.
fn advance_life(fleet: &mut Fleet) {
    for _ in 0..2 {
        fleet.advance(1_990);
        fleet.renew_all();
        fleet.make_durable();
    }
}

fn await_restart(fleet: &mut Fleet, limit_ms: u64) {
    await_restart_of(fleet, task(), limit_ms);
}

/// Advances the time until a task starts on `w1`. Fails if `w0` may still run it then, or if that
/// takes longer than `limit_ms`.
fn await_restart_of(fleet: &mut Fleet, task: Key, limit_ms: u64) {
    let began_ms = fleet.now_ms;
    while fleet.now_ms < began_ms + limit_ms {
        fleet.advance(STEP_MS);
        fleet.renew_all();
        fleet.make_durable();
        let waited_ms = fleet.now_ms - began_ms;
        assert!(
            fleet.live_runs(task) <= 1,
            "runs twice after {waited_ms} ms"
        );
        if fleet.workers["w1"].runs.contains_key(&task) {
            return;
        }
    }
    panic!("not restarted within {limit_ms} ms");
}

/// Upper bound of the wait for a lease of the longest length, in milliseconds.
fn longest_wait_ms() -> u64 {
    takeover_wait_ms(settings().lease_max_ms)
}

/// Guards against an owner that counts on the granted lease after a renewal for the former life of a
/// worker gave the next one the longest lease.
#[test]
fn a_renewal_for_the_former_life_lengthens_the_lease() {
    let mut fleet = restarted();
    fleet.set_unresponsive("w0", true);
    await_restart(&mut fleet, longest_wait_ms());
}

/// The same for a start for the former life that the next one refused: it takes its deadline.
#[test]
fn a_refused_start_for_the_former_life_lengthens_the_lease() {
    let mut fleet = Fleet::new(1);
    fleet.restart("w0");
    fleet.workers.get_mut("w0").expect("a worker").refusal = Some(Refusal::Room);
    fleet.submit(1, spec(vec![step(1)]));
    assert_eq!(fleet.orders.len(), 1);
    fleet.workers.get_mut("w0").expect("a worker").refusal = None;
    notice_restart(&mut fleet);
    fleet.advance(1_000);
    fleet.renew("w0");
    assert_eq!(fleet.workers_running(task()), ["w0".into()]);
    add_ready_worker(&mut fleet, "w1");
    fleet.set_unresponsive("w0", true);
    await_restart(&mut fleet, longest_wait_ms());
}

/// Guards against a successor that counts on the granted lease for a worker that started again before
/// the takeover and doesn't answer.
#[test]
fn a_successor_waits_for_the_longest_lease_of_a_silent_worker_that_started_again() {
    let mut fleet = restarted();
    fleet.set_unresponsive("w0", true);
    take_over(&mut fleet, 2);
    await_restart(&mut fleet, longest_wait_ms());
}

/// The same if the worker answers the successor once before it is silent.
#[test]
fn a_successor_counts_the_longest_lease_of_a_worker_that_started_again() {
    let mut fleet = restarted();
    take_over(&mut fleet, 2);
    fleet.renew_all();
    fleet.set_unresponsive("w0", true);
    await_restart(&mut fleet, longest_wait_ms());
}

/// The same over a series of owners, each of which ends before the lease does.
#[test]
fn every_successor_knows_that_a_worker_started_again() {
    let mut fleet = restarted();
    fleet.set_unresponsive("w0", true);
    for epoch in 2..5 {
        take_over(&mut fleet, epoch);
        fleet.advance(STEP_MS);
        fleet.renew_all();
        fleet.make_durable();
    }
    await_restart(&mut fleet, longest_wait_ms());
}

/// The same for a worker that starts again several times.
#[test]
fn a_series_of_restarts_lengthens_the_lease_each_time() {
    let mut fleet = restarted();
    for _ in 0..3 {
        advance_life(&mut fleet);
        fleet.restart("w0");
        fleet.workers.get_mut("w1").expect("a worker").unresponsive = true;
        notice_restart(&mut fleet);
        fleet.workers.get_mut("w1").expect("a worker").unresponsive = false;
        fleet.renew("w1");
        assert_eq!(fleet.workers_running(task()), ["w0".into()]);
    }
    fleet.set_unresponsive("w0", true);
    take_over(&mut fleet, 2);
    await_restart(&mut fleet, longest_wait_ms());
}

/// Guards against a successor that takes a worker for the life that its predecessor knew although the
/// list of workers names a later one, which accepted a start for the former one.
#[test]
fn a_successor_notices_in_the_list_that_a_silent_worker_started_again() {
    let mut fleet = Fleet::new(1);
    fleet.restart("w0");
    fleet.submit(1, spec(vec![step(1)]));
    assert_eq!(fleet.workers_running(task()), ["w0".into()]);
    add_ready_worker(&mut fleet, "w1");
    fleet.set_unresponsive("w0", true);
    take_over(&mut fleet, 2);
    await_restart(&mut fleet, 30_000);
}

/// The same if the list names the later life only after the takeover.
#[test]
fn a_successor_notices_a_restart_that_is_listed_after_the_takeover() {
    let mut fleet = Fleet::new(1);
    fleet.restart("w0");
    fleet.submit(1, spec(vec![step(1)]));
    add_ready_worker(&mut fleet, "w1");
    fleet.set_unresponsive("w0", true);
    fleet
        .workers
        .get_mut("w0")
        .expect("a worker")
        .listed_incarnation = Some(7);
    take_over(&mut fleet, 2);
    fleet.advance(2_000);
    fleet.list("w0");
    await_restart(&mut fleet, 30_000);
}

/// Guards against an owner that takes a worker for the life that it knows although the list of workers,
/// which would name a later one, can't be read.
#[test]
fn a_start_that_no_report_confirms_is_kept_while_the_list_of_workers_is_not_read() {
    let mut fleet = Fleet::new(1);
    fleet.restart("w0");
    fleet.submit(1, spec(vec![step(1)]));
    add_ready_worker(&mut fleet, "w1");
    fleet.is_list_unreadable = true;
    fleet.set_unresponsive("w0", true);
    await_restart(&mut fleet, 25_000);
}

/// Guards against a worker that was removed and is listed again with the lease of a new worker: calls
/// for its former life may still reach it.
#[test]
fn a_worker_that_returns_after_its_removal_counts_as_started_again() {
    let mut fleet = restarted();
    advance_life(&mut fleet);
    let former = fleet.shard.renewal("w0", fleet.now_ms).expect("a renewal");
    fleet.set_unresponsive("w0", true);
    fleet.workers.get_mut("w0").expect("a worker").runs.clear();
    fleet.shard.unlist_worker("w0");
    await_restart(&mut fleet, longest_wait_ms());
    fleet.end_and_report(task(), Outcome::Done);
    fleet.advance(5_000);
    assert!(fleet.shard.host("w0").is_none(), "not removed");
    fleet.set_unresponsive("w1", true);
    fleet.renew("w1");
    fleet.restart("w0");
    let life = fleet.workers.get_mut("w0").expect("a worker");
    life.renew(&former, fleet.now_ms);
    notice_restart(&mut fleet);
    fleet.make_durable();
    fleet.submit(2, spec(vec![step(1)]));
    let task = key(2, 0, 0);
    assert_eq!(fleet.workers_running(task), ["w0".into()]);
    fleet.renew("w0");
    fleet.set_unresponsive("w1", false);
    fleet.renew("w1");
    fleet.make_durable();
    fleet.set_unresponsive("w0", true);
    await_restart_of(&mut fleet, task, longest_wait_ms());
}

/// The same for a worker that a previous owner removed, which a call of that owner may still reach.
#[test]
fn a_worker_that_a_previous_owner_removed_counts_as_started_again() {
    let mut fleet = restarted();
    advance_life(&mut fleet);
    let former = fleet.shard.renewal("w0", fleet.now_ms).expect("a renewal");
    fleet.set_unresponsive("w0", true);
    fleet.workers.get_mut("w0").expect("a worker").runs.clear();
    fleet.shard.unlist_worker("w0");
    await_restart(&mut fleet, longest_wait_ms());
    fleet.advance(5_000);
    assert!(fleet.shard.host("w0").is_none(), "not removed");
    fleet.end_attempt(task(), Outcome::Failed);
    fleet.restart("w0");
    take_over(&mut fleet, 2);
    let size = rosemaryworks_core::size::Size::new(4_000, 16_384);
    let draining = rosemaryworks_workflow::Worker {
        draining: true,
        ..fleet::worker("w1", size, 7)
    };
    fleet.shard.list_worker(draining, fleet.now_ms);
    let life = fleet.workers.get_mut("w0").expect("a worker");
    life.renew(&former, fleet.now_ms);
    for _ in 0..32 {
        fleet.advance(STEP_MS);
        fleet.renew_all();
        fleet.make_durable();
        if fleet.workers["w0"].runs.contains_key(&task()) {
            break;
        }
    }
    fleet.renew("w0");
    assert_eq!(fleet.workers_running(task()), ["w0".into()]);
    fleet.list("w1");
    fleet.set_unresponsive("w0", true);
    await_restart(&mut fleet, longest_wait_ms());
}

/// Guards against takeovers that wait longer than for the granted lease although no worker started
/// again, or its longest lease has expired since.
#[test]
fn a_successor_waits_for_the_granted_lease_of_other_workers() {
    let mut settled = restarted();
    for _ in 0..(settings().lease_max_ms + 2_000) / STEP_MS {
        settled.advance(STEP_MS);
        settled.renew_all();
        settled.make_durable();
    }
    let mut first_life = Fleet::new(1);
    first_life.submit(1, spec(vec![step(1)]));
    first_life.renew("w0");
    add_ready_worker(&mut first_life, "w1");
    for mut fleet in [first_life, settled] {
        fleet.set_unresponsive("w0", true);
        take_over(&mut fleet, 2);
        await_restart(&mut fleet, takeover_wait_ms(settings().lease_ms));
    }
}

/// Guards against a task that runs again after it was done: the acknowledgement for the former life
/// made the next one forget an end that nobody had seen.
#[test]
fn an_end_in_the_next_life_is_not_forgotten_unseen() {
    let mut fleet = Fleet::new(1);
    fleet.submit(1, spec(vec![step(1)]));
    fleet.end_and_report(task(), Outcome::Done);
    fleet.renew("w0");
    assert!(fleet.workers["w0"].ends.is_empty(), "not acknowledged");
    fleet.restart("w0");
    fleet.submit(2, spec(vec![step(1)]));
    fleet.end_attempt(key(2, 0, 0), Outcome::Done);
    for _ in 0..4 {
        fleet.renew("w0");
        fleet.list("w0");
        fleet.make_durable();
        fleet.advance(STEP_MS);
    }
    assert_eq!(fleet.orders.len(), 2, "started again");
    assert_eq!(fleet.shard.state(Id(2)), Some(State::Completed));
}

/// Guards against an acknowledgement that reaches the next life after a start and an end there: a
/// start makes all acknowledgements under way void.
#[test]
fn a_start_makes_an_acknowledgement_under_way_void() {
    let mut fleet = Fleet::new(1);
    fleet.submit(1, spec(vec![step(1)]));
    fleet.end_and_report(task(), Outcome::Done);
    let renewal = fleet.shard.renewal("w0", fleet.now_ms).expect("a renewal");
    assert_eq!(renewal.acknowledged, 1);
    fleet.submit(2, spec(vec![step(1)]));
    let order = fleet.orders.last().expect("an order");
    assert!(order.token > renewal.token, "the acknowledgement is valid");
}

/// Guards against an acknowledgement that a relay sends after the owner has sent it itself, and that
/// counts as carried out with the answer to the second one.
#[test]
fn an_acknowledgement_that_was_sent_twice_is_void_after_a_start() {
    let mut fleet = Fleet::new(1);
    fleet.submit(1, spec(vec![step(1)]));
    fleet.end_and_report(task(), Outcome::Done);
    let renewal = fleet.shard.renewal("w0", fleet.now_ms).expect("a renewal");
    assert_eq!(renewal.acknowledged, 1);
    let life = fleet.workers.get_mut("w0").expect("a worker");
    let report = life.renew(&renewal, fleet.now_ms);
    fleet.shard.renewal_repeated("w0", fleet.now_ms);
    let (token, now_ms) = (renewal.token, fleet.now_ms);
    fleet.shard.report("w0", report, token, now_ms, now_ms);
    fleet.submit(2, spec(vec![step(1)]));
    let order = fleet.orders.last().expect("an order");
    assert!(order.token > renewal.token, "the acknowledgement is valid");
}

/// Guards against a worker that is out of use for good because the time of day was set back between
/// its lives, so that the start of the next one seems to be earlier.
#[test]
fn a_next_life_with_an_earlier_start_time_is_noticed() {
    for is_listed_first in [false, true] {
        let mut fleet = Fleet::new(1);
        fleet.submit(1, spec(vec![step(1)]));
        fleet.renew("w0");
        fleet.advance(STEP_MS);
        fleet.restart("w0");
        fleet.workers.get_mut("w0").expect("a worker").incarnation = 3;
        if is_listed_first {
            fleet.list("w0");
        }
        fleet.renew("w0");
        let former = fleet::worker("w0", rosemaryworks_core::size::Size::new(4_000, 16_384), 7);
        fleet.shard.list_worker(former, fleet.now_ms);
        if !is_listed_first {
            fleet.list("w0");
        }
        fleet.renew("w0");
        fleet.make_durable();
        fleet.tick();
        assert_eq!(fleet.workers_running(task()), ["w0".into()]);
        assert_eq!(fleet.orders.len(), 2, "listed first: {is_listed_first}");
    }
}

/// Guards against fencing tokens of one epoch that reach those of the next: an owner that has raised
/// its tokens that often releases its shard before.
#[test]
fn an_owner_releases_its_shard_before_its_tokens_are_used_up() {
    let mut fleet = Fleet::new(1);
    let next_epoch = 2 << 20;
    while !fleet.released {
        // Each renewal that gets no answer voids its acknowledgement.
        fleet.submit(1, spec(vec![step(1)]));
        fleet.restart("w0");
        fleet.renew("w0");
        fleet.advance(STEP_MS);
        let token = fleet.shard.host("w0").expect("a host").token();
        assert!(token < next_epoch, "{token}");
    }
}
