//! Guards against open jobs that are lost, or run again, when the log expires their first records.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, key, queue, spec, step};
use rosemaryworks_workflow::{Id, Key, Outcome, Record, State, Step, StepKey};

/// Replaces the owner after all records but those of its snapshot have expired.
fn take_over_from_snapshot(fleet: &mut Fleet, epoch: u64) {
    let entries = fleet.shard.snapshot(fleet.now_ms).into_iter();
    fleet.records = entries.flat_map(|entry| entry.records).collect();
    fleet.take_over(epoch, &[], vec![queue("q")]);
    fleet.renew_all();
    fleet.make_durable();
}

#[test]
fn a_successor_continues_from_a_snapshot() {
    let mut fleet = Fleet::new(3);
    let second = Step {
        after: vec![0],
        ..step(1)
    };
    fleet.submit(1, spec(vec![step(2), second]));
    fleet.submit(2, spec(vec![step(1)]));
    fleet.end_and_report(key(1, 0, 0), Outcome::Done);
    fleet.end_and_report(key(1, 0, 1), Outcome::Failed);
    fleet.end_and_report(key(2, 0, 0), Outcome::Done);
    take_over_from_snapshot(&mut fleet, 2);
    fleet.advance(2_000);
    assert_eq!(fleet.shard.state(Id(1)), Some(State::Running));
    assert_eq!(fleet.shard.state(Id(2)), Some(State::Completed));
    assert!(
        fleet.workers_running(key(2, 0, 0)).is_empty(),
        "an ended job runs again"
    );
    assert!(
        fleet.workers_running(key(1, 0, 0)).is_empty(),
        "a completed task runs again"
    );
    fleet.end_and_report(key(1, 0, 1), Outcome::Done);
    fleet.end_and_report(key(1, 1, 0), Outcome::Done);
    fleet.make_durable();
    assert_eq!(fleet.shard.state(Id(1)), Some(State::Completed));
}

#[test]
fn occurrences_begin_when_due_and_complete_the_job() {
    let mut fleet = Fleet::new(1);
    let mut timed = (*spec(vec![step(1)])).clone();
    timed.times = 2;
    timed.first_ms = fleet.now_ms + 5_000;
    timed.interval_ms = 1_000;
    fleet.submit(1, std::sync::Arc::new(timed));
    fleet.advance(4_900);
    assert!(fleet.orders.is_empty(), "started before it is due");
    fleet.advance(200);
    assert_eq!(fleet.orders.len(), 1);
    fleet.renew_all();
    fleet.advance(1_000);
    assert_eq!(fleet.orders.len(), 2, "occurrences may overlap");
    let keys: Vec<_> = fleet.orders.iter().map(|order| order.key).collect();
    for key in keys {
        fleet.end_and_report(key, Outcome::Done);
    }
    fleet.make_durable();
    assert_eq!(fleet.shard.state(Id(1)), Some(State::Completed));
}

/// Returns the jobs of the snapshot that have ended.
fn retained(fleet: &Fleet) -> Vec<Id> {
    let entries = fleet.shard.snapshot(fleet.now_ms);
    let records = entries.into_iter().flat_map(|entry| entry.records);
    records
        .flat_map(|record| match record {
            Record::Retained { jobs, .. } => jobs,
            _ => Vec::new(),
        })
        .map(|(id, _)| id)
        .collect()
}

/// Guards against a job that runs again because its end is forgotten while the log may still return
/// a repeated submission.
#[test]
fn an_ended_job_is_known_while_the_log_holds_its_submission() {
    let mut fleet = Fleet::new(1);
    let submitted = |id| Record::Submitted {
        id: Id(id),
        queue: "q".into(),
        spec: spec(vec![step(1)]),
    };
    for offset in [3, 7] {
        fleet
            .shard
            .apply_stored(submitted(1), Some(offset), fleet.now_ms);
    }
    fleet.tick();
    fleet.end_and_report(key(1, 0, 0), Outcome::Done);
    fleet.shard.retained_from(7);
    fleet.advance(10 * 120_000);
    assert_eq!(retained(&fleet), [Id(1)]);
    fleet
        .shard
        .apply_stored(submitted(1), Some(7), fleet.now_ms);
    fleet.advance(100);
    assert_eq!(fleet.orders.len(), 1, "the job runs again");
    fleet.shard.retained_from(8);
    fleet.advance(2_000);
    assert_eq!(retained(&fleet), []);
}

/// Guards against ended jobs that accumulate, because each owner takes them for jobs that have just
/// ended. The time of each owner is shorter than any period of the retention.
#[test]
fn owners_that_change_often_forget_ended_jobs() {
    let mut fleet = Fleet::new(1);
    for epoch in 2..500 {
        fleet.submit(epoch, spec(vec![step(1)]));
        fleet.end_and_report(key(epoch, 0, 0), Outcome::Done);
        // Acknowledges the end, as a session does.
        fleet.renew("w0");
        fleet.advance(1_000);
        let kept = retained(&fleet).len();
        assert!(kept <= 140, "{kept} jobs are kept for 120 s, one a second");
        assert!(kept as u64 >= (epoch - 1).min(120), "{kept} at {epoch}");
        take_over_from_snapshot(&mut fleet, epoch);
    }
}

/// Guards against a cancelled job that runs because its cancellation was stored before it and has
/// expired, and against such cancellations that are kept for good.
#[test]
fn a_cancellation_that_precedes_its_job_outlives_its_record() {
    let mut fleet = Fleet::new(1);
    fleet.shard.cancel(Id(1), fleet.now_ms);
    fleet.advance(60_000);
    take_over_from_snapshot(&mut fleet, 2);
    fleet.advance(5_000);
    assert_eq!(fleet.shard.state(Id(1)), None, "nobody submitted it");
    let keys = |fleet: &Fleet| fleet.shard.snapshot(fleet.now_ms).len();
    assert_eq!(keys(&fleet), 2, "clock and cancellation");
    fleet.submit(1, spec(vec![step(1)]));
    assert_eq!(fleet.shard.state(Id(1)), Some(State::Cancelled));
    assert!(fleet.orders.is_empty(), "a cancelled job starts");
    fleet.shard.cancel(Id(2), fleet.now_ms);
    fleet.advance(150_000);
    assert_eq!(keys(&fleet), 1, "the clock");
}

/// Guards against what a successor forgets of an open job: completed occurrences and those under way,
/// the order of the jobs, failed attempts, attempt numbers and checkpoints.
#[test]
fn a_snapshot_holds_all_that_is_known_of_open_jobs() {
    let mut fleet = Fleet::new(2);
    let mut timed = (*spec(vec![step(1)])).clone();
    timed.times = 4;
    timed.first_ms = fleet.now_ms;
    timed.interval_ms = 1_000;
    fleet.submit(1, std::sync::Arc::new(timed));
    fleet.submit(9, spec(vec![step(2)]));
    fleet.submit(5, spec(vec![step(1)]));
    fleet.advance(1_100);
    let second = Key {
        step: StepKey {
            occurrence: 1,
            ..key(1, 0, 0).step
        },
        index: 0,
    };
    // The occurrences 0 and 1 are under way, and the later one has completed.
    fleet.end_and_report(second, Outcome::Done);
    fleet.end_and_report(key(9, 0, 0), Outcome::Done);
    fleet.end_and_report(key(9, 0, 1), Outcome::Failed);
    let before = open_jobs(&fleet);
    for epoch in 2..6 {
        take_over_from_snapshot(&mut fleet, epoch);
        fleet.renew_all();
        assert_eq!(open_jobs(&fleet), before, "epoch {epoch}");
    }
    for _ in 0..10 {
        fleet.renew_all();
        fleet.advance(500);
    }
    for occurrence in [0, 2, 3] {
        let step = StepKey {
            occurrence,
            ..second.step
        };
        fleet.end_and_report(Key { step, index: 0 }, Outcome::Done);
    }
    fleet.make_durable();
    assert_eq!(fleet.shard.state(Id(1)), Some(State::Completed));
}

/// Returns the records of the open jobs in the snapshot. The numbers of attempts that run are reported
/// by their workers.
fn open_jobs(fleet: &Fleet) -> Vec<Record> {
    let mut entries = fleet.shard.snapshot(fleet.now_ms);
    entries.sort_by(|one, other| one.key.cmp(&other.key));
    entries.retain(|entry| entry.key.starts_with("job-"));
    entries
        .into_iter()
        .flat_map(|entry| entry.records)
        .collect()
}

/// Guards against work that is done again because a checkpoint is forgotten, or replaced by an older
/// one whose record is retained.
#[test]
fn a_snapshot_holds_the_last_checkpoint_of_a_task() {
    let mut fleet = Fleet::new(1);
    let stopped = |attempt, checkpoint: &str| Record::Ended {
        key: key(1, 0, 0),
        attempt,
        how: Outcome::Stopped,
        checkpoint: Some(checkpoint.into()),
    };
    let submitted = Record::Submitted {
        id: Id(1),
        queue: "q".into(),
        spec: spec(vec![step(1)]),
    };
    fleet.records = vec![stopped(1, "first"), stopped(2, "second")];
    fleet.take_over(2, &[submitted], vec![queue("q")]);
    let entries = fleet.shard.snapshot(fleet.now_ms).into_iter();
    fleet.records = entries.flat_map(|entry| entry.records).collect();
    fleet.records.push(stopped(1, "first"));
    fleet.take_over(3, &[], vec![queue("q")]);
    fleet.renew_all();
    fleet.make_durable();
    fleet.advance(2_000);
    let order = fleet.orders.first().expect("the task starts");
    assert_eq!(order.checkpoint.as_deref(), Some("second"));
    assert!(order.attempt > 2, "attempt {}", order.attempt);
}
