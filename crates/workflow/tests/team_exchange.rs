//! Tests of the policy by which two shards share a cap: who gives, who keeps, and how soon.

mod support {
    pub(crate) mod fleet;
}

use rosemaryworks_core::size::Size;
use rosemaryworks_workflow::{Outcome, Step, Teams};
use support::fleet::{Fleet, step, team, team_spec};

/// Time between two requests of an owner, in milliseconds.
const ASK_MS: u64 = 100;

/// Two shards with 10 workers of 4 cores each.
struct Pair {
    fleets: [Fleet; 2],
    /// Number of attempts of each shard that have ended.
    ended: [usize; 2],
    now_ms: u64,
}

impl Pair {
    fn new(cap: Size) -> Self {
        let mut pair = Self {
            fleets: [Fleet::new(10), Fleet::new(10)],
            ended: [0, 0],
            now_ms: 1_000,
        };
        for (shard, fleet) in (0..).zip(&mut pair.fleets) {
            let teams: Teams = [team("a", 1.0, cap)].into_iter().collect();
            fleet.shard.set_teams(Some(teams));
            fleet.shard.set_members(shard, 1, [0, 1].into(), 1_000);
            fleet.take_actions();
            fleet.make_durable();
        }
        pair.run(ASK_MS);
        pair
    }

    /// Lets time pass; both owners tick every 20 ms and ask as often as they may.
    fn run(&mut self, ms: u64) {
        for passed in (0..ms).step_by(20) {
            self.now_ms += 20;
            for fleet in &mut self.fleets {
                fleet.now_ms = self.now_ms;
                if self.now_ms.is_multiple_of(500) {
                    fleet.renew_all();
                }
                fleet.tick();
                fleet.make_durable();
            }
            if passed % ASK_MS == 0 {
                self.exchange(0, 1);
                self.exchange(1, 0);
            }
        }
    }

    fn exchange(&mut self, from: usize, to: usize) {
        let Some((ask, _)) = self.fleets[from].shard.ask(self.now_ms) else {
            return;
        };
        let giver = &mut self.fleets[to];
        giver.shard.apply_ask(&ask, self.now_ms);
        giver.take_actions();
        giver.make_durable();
        let grant = giver.shard.grant(&ask, self.now_ms);
        let asker = &mut self.fleets[from];
        asker.shard.apply_grant(to as u32, grant, self.now_ms);
        asker.tick();
        asker.make_durable();
    }

    fn running(&self, shard: usize) -> usize {
        self.fleets[shard].orders.len() - self.ended[shard]
    }

    fn end_oldest(&mut self, shard: usize) {
        let fleet = &mut self.fleets[shard];
        let task = fleet.orders[self.ended[shard]].key;
        self.ended[shard] += 1;
        fleet.end_and_report(task, Outcome::Done);
    }
}

/// Guards against room that stays where nobody needs it.
#[test]
fn an_idle_shard_gives_its_part_within_200_ms() {
    let mut pair = Pair::new(Size::new(10_000, 0));
    pair.fleets[0].submit(1, team_spec("a", vec![step(30)]));
    pair.run(200);
    assert_eq!(pair.running(0), 10);
    assert_eq!(pair.running(1), 0);
}

/// Guards against a shard that keeps refilling its part while another one has as much work, and
/// against parts that move back and forth.
#[test]
fn two_busy_shards_come_to_equal_parts_and_stay_there() {
    let mut pair = Pair::new(Size::new(10_000, 0));
    pair.fleets[0].submit(1, team_spec("a", vec![step(300)]));
    pair.run(200);
    assert_eq!(pair.running(0), 10);
    pair.fleets[1].submit(2, team_spec("a", vec![step(300)]));
    for _ in 0..20 {
        pair.end_oldest(0);
        pair.run(100);
        assert!(pair.running(0) + pair.running(1) <= 10);
    }
    assert_eq!([pair.running(0), pair.running(1)], [5, 5]);
    let records = |pair: &Pair| pair.fleets.iter().map(given).sum::<usize>();
    let before = records(&pair);
    for _ in 0..20 {
        pair.end_oldest(0);
        pair.end_oldest(1);
        pair.run(100);
    }
    assert_eq!([pair.running(0), pair.running(1)], [5, 5]);
    assert_eq!(records(&pair), before, "no part moves");
}

fn given(fleet: &Fleet) -> usize {
    let is_given = |record: &&rosemaryworks_workflow::Record| {
        matches!(record, rosemaryworks_workflow::Record::Given { .. })
    };
    fleet.records.iter().filter(is_given).count()
}

/// Guards against a task or gang that never starts because it needs more than an equal part, while
/// each shard keeps its half for work of its own.
#[test]
fn a_gang_that_needs_most_of_the_cap_starts_between_small_tasks() {
    let gang = Step {
        gang: true,
        ..step(8)
    };
    let mut pair = Pair::new(Size::new(10_000, 0));
    pair.fleets[0].submit(1, team_spec("a", vec![step(1_000)]));
    pair.run(200);
    pair.fleets[1].submit(2, team_spec("a", vec![gang]));
    for _ in 0..40 {
        for _ in 0..pair.running(0).min(3) {
            pair.end_oldest(0);
        }
        pair.run(100);
        assert!(pair.running(0) + pair.running(1) <= 10);
    }
    assert_eq!(pair.running(1), 8);
    assert_eq!(pair.running(0), 2);
}

/// Guards against two tasks that each need more than half of the cap and wait for each other.
#[test]
fn two_tasks_that_need_more_than_half_of_the_cap_take_turns() {
    let big = |count| Step {
        size: Size::new(3_000, 1_024),
        ..step(count)
    };
    let mut pair = Pair::new(Size::new(4_000, 0));
    pair.fleets[0].submit(1, team_spec("a", vec![big(50)]));
    pair.fleets[1].submit(2, team_spec("a", vec![big(50)]));
    let mut ends = [0, 0];
    for _ in 0..60 {
        pair.run(400);
        assert!(pair.running(0) + pair.running(1) <= 1);
        for shard in [0, 1] {
            if pair.running(shard) > 0 {
                pair.end_oldest(shard);
                ends[shard] += 1;
            }
        }
    }
    assert!(ends[0] >= 5 && ends[1] >= 5, "{ends:?}");
}

/// Guards against a cap that was lowered below the usage of both shards and lets tasks start.
#[test]
fn a_lowered_cap_holds_for_both_shards() {
    let mut pair = Pair::new(Size::new(10_000, 0));
    pair.fleets[0].submit(1, team_spec("a", vec![step(30)]));
    pair.fleets[1].submit(2, team_spec("a", vec![step(30)]));
    pair.run(400);
    assert_eq!([pair.running(0), pair.running(1)], [5, 5]);
    for (shard, fleet) in (0..).zip(&mut pair.fleets) {
        let teams: Teams = [team("a", 1.0, Size::new(4_000, 0))].into_iter().collect();
        fleet.shard.set_teams(Some(teams));
        fleet.shard.set_members(shard, 2, [0, 1].into(), 1_400);
    }
    for _ in 0..6 {
        pair.end_oldest(0);
        pair.run(100);
        if pair.running(0) == 0 {
            break;
        }
    }
    assert_eq!(pair.running(1), 5);
    assert!(pair.running(0) + pair.running(1) <= 5);
}

/// Guards against parts of a cap that cover all of its resources: with work for processors in one pool
/// and for memory in the other, each shard could use half of what the cap allows. On a deployment
/// whose second pool has the accelerators, 62 of its 80 waiting steps were held back by caps.
#[test]
fn shards_that_need_other_resources_use_all_of_a_cap() {
    let sized = |millicores, memory_mb| Step {
        size: Size::new(millicores, memory_mb),
        ..step(9)
    };
    let mut pair = Pair::new(Size::new(10_000, 20_480));
    pair.fleets[0].submit(1, team_spec("a", vec![sized(1_000, 64)]));
    pair.fleets[1].submit(2, team_spec("a", vec![sized(100, 2_048)]));
    pair.run(400);
    assert_eq!([pair.running(0), pair.running(1)], [9, 9]);
}
