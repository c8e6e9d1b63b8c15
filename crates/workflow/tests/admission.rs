//! Guards against jobs that are accepted although they can't start in time to be of use, and against
//! refusals without need: without teams, of known jobs, of other teams, and while nothing is known.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/load.rs"]
mod load;

use std::sync::Arc;

use load::{Load, URGENT};
use rosemaryworks_core::size::Size;
use rosemaryworks_workflow::{Id, Spec, Team, Teams};

const WORKERS: usize = 15;

/// Jobs per second that the pool can serve.
const CAPACITY: f64 = 4.0 * WORKERS as f64 / (2.0 * 10.0 * 0.7);

fn teams() -> Teams {
    let team = |name: &str| Team {
        cap: Size::ZERO,
        name: name.into(),
        weight: 1.0,
    };
    ["a", "b"].map(team).into_iter().collect()
}

/// Returns a pool with teams under a load of team `a`.
fn pool() -> Load {
    let mut load = Load::new(WORKERS, |_| 1.0);
    load.fleet.shard.set_teams(Some(teams()));
    load.team = Some("a".into());
    load.run(10_000, &[(URGENT, 0.7 * CAPACITY)]);
    load
}

fn refusal(load: &mut Load, id: u64, team: &str) -> Option<u64> {
    let spec = load.spec(URGENT);
    let spec = Spec {
        team: Some(team.into()),
        ..Arc::unwrap_or_clone(spec)
    };
    let now_ms = load.fleet.now_ms;
    load.fleet.shard.refusal(Id(id), "urgent", &spec, now_ms)
}

#[test]
fn jobs_are_refused_in_a_surge_only() {
    let mut load = pool();
    assert_eq!(refusal(&mut load, 9_999, "a"), None);
    load.run(6_000, &[(URGENT, 6.0 * CAPACITY)]);
    let wait_ms = refusal(&mut load, 9_999, "a").expect("a refusal");
    println!("wait {wait_ms}");
    assert!((100..60_000).contains(&wait_ms), "{wait_ms}");
    assert_eq!(refusal(&mut load, 9_999, "b"), None, "another team");
    assert_eq!(refusal(&mut load, 1, "a"), None, "a job that is known");
    load.run(20_000, &[(URGENT, 0.3 * CAPACITY)]);
    assert_eq!(refusal(&mut load, 9_999, "a"), None, "after the surge");
}

#[test]
fn nothing_is_refused_without_teams() {
    let mut load = pool();
    load.fleet.shard.set_teams(None);
    load.run(6_000, &[(URGENT, 6.0 * CAPACITY)]);
    assert_eq!(refusal(&mut load, 9_999, "a"), None);
}

/// A successor, or an owner whose view of the jobs is old, knows too little to refuse.
#[test]
fn nothing_is_refused_while_little_is_known() {
    let mut load = pool();
    load.run(6_000, &[(URGENT, 6.0 * CAPACITY)]);
    load.fleet.now_ms += 2_000;
    assert_eq!(refusal(&mut load, 9_999, "a"), None, "an old view");
    load.fleet.take_over(2, &[], load::queues());
    load.fleet.shard.set_teams(Some(teams()));
    load.fleet.advance(1_500);
    assert_eq!(refusal(&mut load, 9_999, "a"), None, "a successor");
}

/// Returns the shares of the accepted jobs of a surge that were in time and of use.
fn surge(refuses: bool) -> (f64, f64) {
    let mut load = pool();
    load.refuses = refuses;
    load.run(10_000, &[(URGENT, 4.0 * CAPACITY)]);
    load.run(20_000, &[(URGENT, 0.5 * CAPACITY)]);
    let shares = (
        load.in_time("urgent", 11, 21),
        load.within("urgent", 11, 21, 3),
    );
    println!("refused {}: {shares:?}", load.refused);
    shares
}

#[test]
fn accepted_jobs_are_of_use() {
    let (in_time, useful) = surge(true);
    let (in_time_before, useful_before) = surge(false);
    assert!(useful >= 0.5, "{useful}");
    assert!(useful >= 1.5 * useful_before, "{useful_before}");
    assert!(in_time >= in_time_before, "{in_time_before}");
}
