//! Guards against jobs that a caller of another team sees or cancels.

#[path = "support/fleet.rs"]
mod fleet;

use std::sync::Arc;

use fleet::{Fleet, key, queue, spec, step};
use rosemaryworks_workflow::{Id, Outcome, Record, Spec, State};

fn of_team(team: &str) -> Arc<Spec> {
    Arc::new(Spec {
        team: Some(team.into()),
        ..(*spec(vec![step(1)])).clone()
    })
}

fn cancel(fleet: &mut Fleet, id: u64, team: Option<&str>) {
    let record = Record::Cancelled {
        id: Id(id),
        team: team.map(Into::into),
    };
    fleet.shard.apply_stored(record, None, fleet.now_ms);
}

/// Replaces the owner after all records but those of its snapshot have expired.
fn take_over_from_snapshot(fleet: &mut Fleet, epoch: u64) {
    let entries = fleet.shard.snapshot(fleet.now_ms).into_iter();
    fleet.records = entries.flat_map(|entry| entry.records).collect();
    fleet.take_over(epoch, &[], vec![queue("q")]);
    fleet.renew_all();
    fleet.make_durable();
}

#[test]
fn only_its_team_cancels_a_job() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, of_team("a"));
    fleet.submit(2, spec(vec![step(1)]));
    cancel(&mut fleet, 1, Some("b"));
    assert_ne!(fleet.shard.state(Id(1)), Some(State::Cancelled));
    assert!(!fleet.shard.is_accessible(Id(1), Some("b")));
    assert!(fleet.shard.is_accessible(Id(1), Some("a")));
    // Without teams in the configuration callers have none.
    assert!(fleet.shard.is_accessible(Id(1), None));
    assert!(!fleet.shard.is_accessible(Id(9), Some("a")));
    cancel(&mut fleet, 1, Some("a"));
    assert_eq!(fleet.shard.state(Id(1)), Some(State::Cancelled));
    // A job without a team is open to all callers of its queue.
    assert!(fleet.shard.is_accessible(Id(2), Some("b")));
    cancel(&mut fleet, 2, Some("b"));
    assert_eq!(fleet.shard.state(Id(2)), Some(State::Cancelled));
}

/// A cancellation that is stored before its job: that of another team must neither cancel it nor hide
/// that of its own.
#[test]
fn a_cancellation_before_its_job_counts_for_its_team_only() {
    for is_replaced in [false, true] {
        let mut fleet = Fleet::new(2);
        cancel(&mut fleet, 1, Some("b"));
        cancel(&mut fleet, 2, Some("b"));
        cancel(&mut fleet, 2, Some("a"));
        cancel(&mut fleet, 3, None);
        if is_replaced {
            take_over_from_snapshot(&mut fleet, 2);
        }
        for id in 1..=3 {
            fleet.submit(id, of_team("a"));
        }
        assert_ne!(fleet.shard.state(Id(1)), Some(State::Cancelled));
        assert_eq!(fleet.shard.state(Id(2)), Some(State::Cancelled));
        assert_eq!(fleet.shard.state(Id(3)), Some(State::Cancelled));
    }
}

/// Snapshots kept no team of ended jobs, so each team saw them after a takeover.
#[test]
fn ended_jobs_keep_their_team_after_a_takeover() {
    let mut fleet = Fleet::new(2);
    fleet.submit(1, of_team("a"));
    fleet.submit(2, spec(vec![step(1)]));
    fleet.submit(3, of_team("a"));
    fleet.end_and_report(key(1, 0, 0), Outcome::Done);
    fleet.end_and_report(key(2, 0, 0), Outcome::Done);
    take_over_from_snapshot(&mut fleet, 2);
    assert_eq!(fleet.shard.state(Id(1)), Some(State::Completed));
    for id in [1, 3] {
        assert!(fleet.shard.is_accessible(Id(id), Some("a")), "{id}");
        assert!(!fleet.shard.is_accessible(Id(id), Some("b")), "{id}");
    }
    assert!(fleet.shard.is_accessible(Id(2), Some("b")));
}
