//! Guards against owners of a shard that disagree about which jobs of a moved address it keeps, and
//! against accepted jobs whose queue is gone (review/11).

#[path = "support/fleet.rs"]
mod fleet;

use std::sync::Arc;

use fleet::{Fleet, key, queue, settings, spec, step};
use rosemaryworks_workflow::{
    Address, Id, Outcome, Preparation, Queue, Record, Shard, Spec, State,
};

const ADDRESS: Address = Address(5);

/// Shard to which the address moves.
const OTHER: u32 = 3;

fn submitted(id: u64) -> Record {
    let spec = Spec {
        address: ADDRESS,
        ..Spec::clone(&spec(vec![step(1)]))
    };
    Record::Submitted {
        id: Id(id),
        queue: "q".into(),
        spec: Arc::new(spec),
    }
}

/// Moves the address after two records of the stream have been read.
fn moved_fleet() -> Fleet {
    let mut fleet = Fleet::new(2);
    fleet.shard.apply_stored(submitted(0), Some(0), 1_000);
    fleet.shard.read_to(2);
    let prepared = fleet.shard.prepare_move(ADDRESS, 2, Some(OTHER));
    assert_eq!(prepared, Preparation::Required);
    fleet.shard.record_move(ADDRESS, 2, Some(OTHER));
    fleet
}

#[test]
fn the_offset_decides_which_jobs_a_shard_keeps() {
    let mut fleet = moved_fleet();
    fleet.shard.apply_stored(submitted(1), Some(1), 1_000);
    fleet.shard.apply_stored(submitted(2), Some(2), 1_000);
    // The offset of a job that its process has just stored isn't known.
    fleet.shard.apply_stored(submitted(3), None, 1_000);
    assert_eq!(fleet.shard.state(Id(2)), Some(State::Pending));
    assert_eq!(fleet.shard.state(Id(3)), None);
    fleet.tick();
    assert_eq!(fleet.forwards, [], "the move is not durable");
    fleet.make_durable();
    fleet.tick();
    assert_eq!(fleet.forwards, [(OTHER, submitted(2))]);
    let started: Vec<Id> = fleet
        .orders
        .iter()
        .map(|order| order.key.step.job)
        .collect();
    assert_eq!(started, [Id(0), Id(1)]);
    fleet.shard.forwarded(Id(2));
    assert_eq!(fleet.shard.state(Id(2)), None);
}

/// An owner that had heard of a job without its offset ran it, while its successor passed it on.
#[test]
fn jobs_without_an_offset_wait_from_the_preparation_on() {
    let mut fleet = Fleet::new(2);
    fleet.shard.apply_stored(submitted(0), None, 1_000);
    fleet.shard.prepare_move(ADDRESS, 2, Some(OTHER));
    fleet.shard.apply_stored(submitted(1), None, 1_000);
    fleet.shard.read_to(1);
    fleet.shard.record_move(ADDRESS, 2, Some(OTHER));
    assert_eq!(fleet.shard.state(Id(0)), Some(State::Pending));
    assert_eq!(fleet.shard.state(Id(1)), None);
}

#[test]
fn a_successor_keeps_the_same_jobs() {
    let fleet = moved_fleet();
    let entries = fleet.shard.snapshot(1_000).into_iter();
    let of_snapshot: Vec<Record> = entries.flat_map(|entry| entry.records).collect();
    let of_journal = fleet.records.into_iter().chain([Record::Moved {
        address: ADDRESS,
        version: 2,
        from: 2,
        shard: Some(OTHER),
    }]);
    for records in [of_snapshot, of_journal.collect()] {
        let mut successor = Shard::new(settings(), 2);
        for record in records {
            successor.replay(record, 1_000);
        }
        for id in 0..4 {
            successor.apply_stored(submitted(id), Some(id), 1_000);
        }
        successor.finish_replay(true, 1_000);
        successor.tick(1_000, 1_000);
        let forwards = successor.take_actions().into_iter();
        let forwards: Vec<Record> = forwards
            .filter_map(|action| match action {
                rosemaryworks_workflow::Action::Forward { record, .. } => Some(record),
                _ => None,
            })
            .collect();
        assert_eq!(forwards, [submitted(2), submitted(3)]);
        assert_eq!(successor.open_jobs(), 2);
    }
}

/// Tasks that waited when their queue was removed, or sent to a pool of another shard, never started.
#[test]
fn accepted_jobs_keep_the_terms_of_a_queue_that_is_gone() {
    let mut fleet = Fleet::new(1);
    let spec = Arc::new(Spec {
        address: ADDRESS,
        ..Spec::clone(&spec(vec![step(6)]))
    });
    fleet.shard.submit(Id(1), "q".into(), spec.clone(), 1_000);
    fleet.tick();
    assert_eq!(fleet.orders.len(), 4);
    fleet.shard.set_queues([queue("other")]);
    for index in 0..4 {
        fleet.end_and_report(key(1, 0, index), Outcome::Done);
    }
    fleet.tick();
    assert_eq!(fleet.orders.len(), 6);
    assert_eq!(fleet.shard.pending_jobs(ADDRESS, "q"), 0);

    let terms = |record: &&Record| matches!(record, Record::Terms(terms) if *terms.name == *"q");
    let recorded = fleet.records.iter().find(terms).cloned();
    let mut successor = Shard::new(settings(), 2);
    successor.set_queues([queue("other")]);
    successor.submit(Id(2), "q".into(), spec, 1_000);
    successor.replay(recorded.expect("the terms"), 1_000);
    let changed = Queue {
        priority: 9,
        ..queue("other")
    };
    successor.set_queues([changed]);
    successor.finish_replay(true, 1_000);
    let entries = successor.snapshot(1_000).into_iter();
    let mut records = entries.flat_map(|entry| entry.records);
    assert!(records.any(|record| terms(&&record)), "the terms are lost");
}

/// A page of jobs is applied in parts. One that was applied beyond the recorded offset ran in both shards.
#[test]
fn a_move_begins_after_the_jobs_that_were_applied() {
    let mut fleet = Fleet::new(2);
    fleet.shard.prepare_move(ADDRESS, 2, Some(OTHER));
    fleet.shard.read_to(1);
    for offset in 1..3 {
        let record = submitted(offset);
        fleet.shard.apply_stored(record, Some(offset), 1_000);
        fleet.shard.read_to(offset + 1);
    }
    fleet.shard.record_move(ADDRESS, 2, Some(OTHER));
    fleet.shard.apply_stored(submitted(3), Some(3), 1_000);
    fleet.tick();
    fleet.make_durable();
    fleet.tick();
    let started: Vec<Id> = fleet
        .orders
        .iter()
        .map(|order| order.key.step.job)
        .collect();
    assert_eq!(started, [Id(1), Id(2)]);
    assert_eq!(fleet.forwards, [(OTHER, submitted(3))]);
}
