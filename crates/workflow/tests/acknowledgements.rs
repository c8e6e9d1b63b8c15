//! Guards against ends that are never acknowledged, so that their worker stands still.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, key, spec, step};
use rosemaryworks_workflow::{Key, Outcome};

/// Guards against a worker whose reply is full of ends that can't be acknowledged, because an attempt
/// that has ended since is in no list.
#[test]
fn ends_are_acknowledged_although_a_start_has_ended_beyond_the_reply() {
    let mut fleet = Fleet::new(1);
    let renew = |fleet: &mut Fleet| {
        let now_ms = fleet.now_ms;
        let renewal = fleet.shard.renewal("w0", now_ms).expect("a renewal");
        let mut report = fleet
            .workers
            .get_mut("w0")
            .expect("w")
            .renew(&renewal, now_ms);
        report.finished.truncate(500);
        report.may_have_more_ends = report.finished.len() >= 500;
        fleet
            .shard
            .report("w0", report, renewal.token, now_ms, now_ms);
        fleet.take_actions();
        renewal.acknowledged
    };
    // The log is unreachable: ends become durable only later.
    for job in 1..=500 {
        fleet.submit(job, spec(vec![step(1)]));
        fleet.advance(20);
        fleet.end_attempt(key(job, 0, 0), Outcome::Done);
        renew(&mut fleet);
    }
    assert_eq!(fleet.orders.len(), 500);
    fleet.submit(501, spec(vec![step(1)]));
    assert_eq!(fleet.orders.len(), 501);
    fleet.advance(20);
    fleet.end_attempt(key(501, 0, 0), Outcome::Done);
    renew(&mut fleet);
    // The log is back.
    let mut acknowledged = Vec::new();
    for _ in 0..1_000 {
        fleet.make_durable();
        fleet.advance(20);
        acknowledged.push(renew(&mut fleet));
    }
    let left = fleet.workers["w0"].ends.len();
    assert_eq!(
        left,
        0,
        "never acknowledged, max {:?}",
        acknowledged.iter().max()
    );
}

/// Guards against acknowledgements that starve, because each renewal follows a start that isn't reported
/// yet.
#[test]
fn ends_are_acknowledged_under_a_steady_load() {
    let mut fleet = Fleet::new(1);
    let mut job = 0;
    let mut most = 0;
    let mut acknowledging = 0;
    for _ in 0..200 {
        // Renewal, and a task that waits starts in the room of one that has ended.
        let renewal = fleet.shard.renewal("w0", fleet.now_ms).expect("a renewal");
        acknowledging += u32::from(renewal.acknowledged > 0);
        let now_ms = fleet.now_ms;
        let report = fleet
            .workers
            .get_mut("w0")
            .expect("w")
            .renew(&renewal, now_ms);
        fleet
            .shard
            .report("w0", report, renewal.token, now_ms, now_ms);
        fleet.take_actions();
        most = most.max(fleet.workers["w0"].ends.len());
        while fleet.workers["w0"].runs.len() < 4 && fleet.orders.len() as u64 == job {
            job += 1;
            fleet.submit(job, spec(vec![step(1)]));
        }
        // Waits until the ends are durable.
        fleet.advance(200);
        fleet.make_durable();
        let first = fleet.workers["w0"].runs.keys().next().copied();
        fleet.end_attempt(first.expect("a run"), Outcome::Done);
    }
    println!(
        "orders {} most {most} acknowledging {acknowledging}",
        fleet.orders.len()
    );
    assert!(
        most < 10,
        "{most} ends wait, {acknowledging} of 200 renewals acknowledge"
    );
}

/// Guards against the two together: a steady load that ends once a reply is full of ends.
#[test]
fn a_steady_load_goes_on_with_replies_that_are_full_of_ends() {
    let mut fleet = Fleet::new(1);
    let renew = |fleet: &mut Fleet| {
        let now_ms = fleet.now_ms;
        let renewal = fleet.shard.renewal("w0", now_ms).expect("a renewal");
        let mut report = fleet
            .workers
            .get_mut("w0")
            .expect("w")
            .renew(&renewal, now_ms);
        report.finished.truncate(500);
        report.may_have_more_ends = report.finished.len() >= 500;
        fleet
            .shard
            .report("w0", report, renewal.token, now_ms, now_ms);
        fleet.take_actions();
    };
    // 700 tasks of 200 ms wait, 4 at a time on the worker, and the log takes 200 ms.
    fleet.submit(1, spec(vec![step(700)]));
    for _ in 0..3_000 {
        renew(&mut fleet);
        fleet.tick();
        fleet.advance(200);
        fleet.make_durable();
        let runs: Vec<Key> = fleet.workers["w0"].runs.keys().copied().collect();
        for key in runs {
            fleet
                .workers
                .get_mut("w0")
                .expect("w")
                .end(key, Outcome::Done);
        }
    }
    let (orders, left) = (fleet.orders.len(), fleet.workers["w0"].ends.len());
    assert_eq!(
        (orders, left),
        (700, 0),
        "started, ends that aren't acknowledged"
    );
}
