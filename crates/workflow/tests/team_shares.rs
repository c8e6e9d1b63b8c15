//! Tests of the shares of teams in a full pool.

mod support {
    pub(crate) mod fleet;
}

use rosemaryworks_core::size::Size;
use rosemaryworks_workflow::{Outcome, Teams};
use support::fleet::{Fleet, step, team, team_spec};

fn weighted(fleet: &mut Fleet, weights: &[(&str, f64)]) {
    let teams: Teams = weights
        .iter()
        .map(|(name, weight)| team(name, *weight, Size::ZERO))
        .collect();
    fleet.shard.set_teams(Some(teams));
}

/// Ends the oldest running attempt.
fn end_oldest(fleet: &mut Fleet, ended: &mut usize) {
    let task = fleet.orders[*ended].key;
    *ended += 1;
    fleet.now_ms += 10;
    fleet.end_and_report(task, Outcome::Done);
}

/// Guards against a team that sends many times its usual work and delays the others: jobs of the
/// other team that arrive behind a long queue start with the next tasks that end.
#[test]
fn a_flood_of_one_team_does_not_delay_another_one() {
    let mut fleet = Fleet::new(10);
    weighted(&mut fleet, &[("flood", 1.0), ("usual", 1.0)]);
    let mut ended = 0;
    for job in 0..50 {
        fleet.submit(1_000 + job, team_spec("flood", vec![step(10)]));
    }
    fleet.renew_all();
    fleet.advance(10);
    assert_eq!(
        fleet.orders.len(),
        40,
        "room that nobody else wants is used"
    );
    let mut delays = Vec::new();
    for job in 0..10 {
        fleet.submit(job, team_spec("usual", vec![step(1)]));
        let mut delay = 0;
        while !fleet.orders.iter().any(|order| order.key.step.job.0 == job) {
            end_oldest(&mut fleet, &mut ended);
            delay += 1;
        }
        delays.push(delay);
    }
    assert!(delays.iter().all(|delay| *delay <= 1), "{delays:?}");
}

/// Guards against shares that don't follow the weights in a full pool.
#[test]
fn teams_with_endless_work_get_room_by_their_weights() {
    let mut fleet = Fleet::new(10);
    weighted(&mut fleet, &[("large", 3.0), ("small", 1.0)]);
    fleet.submit(1, team_spec("small", vec![step(400)]));
    fleet.submit(2, team_spec("large", vec![step(400)]));
    let mut ended = 0;
    for _ in 0..200 {
        end_oldest(&mut fleet, &mut ended);
        fleet.renew_all();
    }
    let running = &fleet.orders[ended..];
    let small = running.iter().filter(|order| order.key.step.job.0 == 1);
    assert_eq!(running.len(), 40);
    assert!((9..=12).contains(&small.count()));
}
