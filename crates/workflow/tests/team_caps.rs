//! Tests of the caps of teams within one shard.

mod support {
    pub(crate) mod fleet;
}

use rosemaryworks_core::size::Size;
use rosemaryworks_workflow::{AdviceTerms, Outcome, Queue, Step, Teams};
use support::fleet::{Fleet, key, queue, spec, step, team, team_spec};

fn capped(fleet: &mut Fleet, cores: u64) {
    let teams: Teams = [
        team("a", 1.0, Size::new(cores * 1_000, 0)),
        team("b", 1.0, Size::ZERO),
    ]
    .into_iter()
    .collect();
    fleet.shard.set_teams(Some(teams));
}

/// Guards against a team that uses more than its cap, and against a cap that holds others back.
#[test]
fn a_team_starts_no_more_than_its_cap_and_others_are_not_held_back() {
    let mut fleet = Fleet::new(4);
    capped(&mut fleet, 3);
    fleet.submit(1, team_spec("a", vec![step(10)]));
    assert_eq!(fleet.orders.len(), 3);
    fleet.submit(2, team_spec("b", vec![step(4)]));
    fleet.submit(3, spec(vec![step(2)]));
    assert_eq!(fleet.orders.len(), 9);
    let running = fleet.orders[0].key;
    fleet.end_and_report(running, Outcome::Done);
    assert_eq!(fleet.orders.len(), 10, "the end lets one more task start");
    assert_eq!(fleet.orders[9].key.step.job.0, 1);
}

/// Guards against a lowered cap that stops running tasks or lets further ones start, and against a
/// raised one that has no effect.
#[test]
fn a_lowered_cap_stops_nothing_and_starts_nothing_until_the_usage_is_below_it() {
    let mut fleet = Fleet::new(4);
    capped(&mut fleet, 4);
    fleet.submit(1, team_spec("a", vec![step(10)]));
    capped(&mut fleet, 2);
    fleet.advance(10);
    assert!(fleet.stops.is_empty());
    for index in 0..3 {
        let before = fleet.orders.len();
        let task = fleet.orders[index].key;
        fleet.end_and_report(task, Outcome::Done);
        assert_eq!(fleet.orders.len(), before + usize::from(index == 2));
    }
    capped(&mut fleet, 8);
    fleet.advance(10);
    assert_eq!(
        fleet.orders.len(),
        11 - 1 + 1 - 1,
        "all remaining tasks run"
    );
}

/// Guards against gangs of which some members start although the cap doesn't allow all.
#[test]
fn a_gang_starts_only_if_the_cap_allows_all_members() {
    let gang = Step {
        gang: true,
        ..step(4)
    };
    let mut fleet = Fleet::new(4);
    capped(&mut fleet, 5);
    fleet.submit(1, team_spec("a", vec![step(2)]));
    fleet.submit(2, team_spec("a", vec![gang]));
    fleet.advance(3_000);
    assert_eq!(fleet.orders.len(), 2);
    fleet.renew_all();
    fleet.end_and_report(key(1, 0, 0), Outcome::Done);
    fleet.advance(100);
    assert_eq!(fleet.orders.len(), 6);
}

/// Guards against best-effort tasks, which occupy no processor time, that pass a cap on it.
#[test]
fn best_effort_tasks_count_with_their_processor_time() {
    let best_effort = Step {
        best_effort: true,
        ..step(10)
    };
    let mut fleet = Fleet::new(4);
    capped(&mut fleet, 3);
    fleet.submit(1, team_spec("a", vec![best_effort]));
    assert_eq!(fleet.orders.len(), 3);
}

/// Guards against advice requests, which are scarce, for tasks that can't start.
#[test]
fn steps_that_a_cap_holds_back_request_no_advice() {
    let advised = Queue {
        advice: Some(AdviceTerms {
            call_ms: 10.0,
            worker_ms: 1.0,
            validity_ms: 2_000,
        }),
        ..queue("q")
    };
    let mut fleet = Fleet::with_queues(4, vec![advised]);
    let big = Step {
        size: Size::new(4_000, 1_024),
        ..step(2)
    };
    capped(&mut fleet, 3);
    fleet.submit(1, team_spec("a", vec![big.clone()]));
    fleet.advance(2_000);
    assert!(fleet.advice_requests.is_empty());
    fleet.submit(2, team_spec("b", vec![big]));
    assert_eq!(fleet.advice_requests.len(), 1);
}

/// Guards against a successor that starts a team's tasks while workers that have not reported may
/// still run others of the team.
#[test]
fn a_successor_counts_what_unreported_workers_may_run() {
    let mut fleet = Fleet::new(4);
    capped(&mut fleet, 4);
    fleet.submit(1, team_spec("a", vec![step(4)]));
    let jobs = [rosemaryworks_workflow::Record::Submitted {
        id: rosemaryworks_workflow::Id(1),
        queue: "q".into(),
        spec: team_spec("a", vec![step(4)]),
    }];
    let busy = fleet.orders[0].worker.clone();
    fleet.set_unresponsive(&busy, true);
    fleet.take_over(2, &jobs, vec![queue("q")]);
    capped(&mut fleet, 4);
    fleet.renew_all();
    fleet.advance(1_300);
    fleet.renew_all();
    fleet.submit(2, team_spec("a", vec![step(8)]));
    assert!(
        fleet.orders.is_empty(),
        "all tasks of the first job may run"
    );
    fleet.advance(20_000);
    fleet.renew_all();
    fleet.advance(100);
    assert!(fleet.orders.len() <= 4);
    assert!(!fleet.orders.is_empty(), "the lease has expired");
}
