//! Job and request ids that a contract revision maps to another shard.

#[path = "support/cell.rs"]
#[allow(dead_code)]
mod cell;
#[path = "support/log.rs"]
#[allow(dead_code)]
mod log;
#[path = "support/targets.rs"]
#[allow(dead_code)]
mod targets;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cell::{Cell, SHARDS_ONLY, pool, service};
use rosemaryworks_core::job::{Spec, State};
use rosemaryworks_core::outcome::{Request, Unknown};
use rosemaryworks_core::record;
use rosemaryworks_core::shard::{Epoch, Id};
use rosemaryworks_core::size::Size;
use rosemaryworks_platform::log::CELL;
use rosemaryworks_wire::{Message, Submission, Verdict};

/// Time after which the schedulers have read a record that the test appended directly to the log.
const READ_DELAY: Duration = Duration::from_secs(2);

/// Enough shards that the owner of the first one also owns another, but not all of them.
const SHARDS: u32 = 6;

/// Claims another shard of the same group as `shard` and returns it with its epoch.
fn claim_sibling(cell: &Cell, shard: &Id) -> (Id, Epoch) {
    let other = Id {
        index: 7,
        ..shard.clone()
    };
    let epoch = Epoch(cell.log.next(CELL));
    let claim = record::Cell::Claim {
        shard: other.clone(),
        previous: Epoch::NONE,
        owner: "elsewhere".into(),
        incarnation: 1,
    };
    cell.log.push(CELL, &claim);
    (other, epoch)
}

/// Waits until the schedulers have read the records appended at `started`.
fn wait_for_read(started: Instant) {
    std::thread::sleep(READ_DELAY.saturating_sub(started.elapsed()));
}

/// Guards against a second dispatch of a request after its id was mapped to a shard that has no
/// record of the first one.
#[test]
fn a_request_recorded_by_another_shard_is_not_dispatched_again() {
    let cell = Cell::start(3);
    let owner = cell.owner(&service()).unwrap();
    let contract = match cell.request_slot(&owner, "first", false) {
        Verdict::Granted { .. } => contract_of(&cell, "first"),
        verdict => panic!("{verdict:?}"),
    };
    let (shard, epoch) = claim_sibling(&cell, &service());
    let request = Request {
        contract,
        id: "moved".into(),
    };
    let intent = record::Cell::Intent {
        shard,
        epoch,
        requests: vec![request],
        at_unix_ms: unix_ms(),
    };
    cell.log.push(CELL, &intent);
    wait_for_read(Instant::now());
    let verdict = cell.request_slot(&owner, "moved", false);
    assert_eq!(verdict, Verdict::Unknown(Unknown::AlreadyDispatched));
    assert!(matches!(
        cell.request_slot(&owner, "other", false),
        Verdict::Granted { .. }
    ));
}

/// Guards against a job that is accepted a second time after its id was mapped to another shard.
#[test]
fn a_job_of_another_shard_is_not_accepted_again() {
    let cell = Cell::start(3);
    let owner = cell.owner(&pool()).unwrap();
    let Submission::Accepted(first) = cell.submit(&owner, "first", 100) else {
        panic!("the first job is not accepted");
    };
    let (shard, epoch) = claim_sibling(&cell, &pool());
    let spec = spec_of(&cell, "first");
    let job = Box::new(Spec {
        id: "moved".into(),
        ..spec
    });
    let contract = first.id.contract;
    let submitted = record::Cell::Submitted {
        shard,
        epoch,
        contract,
        job,
        at_unix_ms: unix_ms(),
    };
    cell.log.push(CELL, &submitted);
    wait_for_read(Instant::now());
    assert!(matches!(
        cell.submit(&owner, "moved", 100),
        Submission::Accepted(_)
    ));
    assert_eq!(cell.log.find_text(CELL, "\"moved\"").len(), 1);
    assert!(
        cell.targets
            .starts()
            .iter()
            .all(|start| !format!("{start:?}").contains("moved"))
    );
}

/// Returns the current epoch of `shard`.
fn epoch(cell: &Cell, shard: &Id) -> Epoch {
    let owner = cell.owner(shard).unwrap();
    let Some(Message::Inspected(inspected)) = cell.call(&owner, SHARDS_ONLY) else {
        panic!("{owner} doesn't answer");
    };
    let owned = inspected.shards.iter().find(|(other, _)| other == shard);
    owned.unwrap().1
}

/// Guards against jobs that can't be cancelled after a revision mapped their ids to another shard,
/// of the same owner or of another one.
#[test]
fn a_job_of_another_shard_is_cancelled_through_its_new_shard() {
    let cell = Cell::with_pool_shards(3, 3_600_000, SHARDS);
    let shard = |index| Id { index, ..pool() };
    let shards: Vec<Id> = (0..SHARDS).map(shard).collect();
    cell.wait_for("every shard has an owner", || {
        shards.iter().all(|shard| cell.owner(shard).is_some())
    });
    let mapped_owner = cell.owner(&pool()).unwrap();
    let mut same_owner = BTreeSet::new();
    for shard in &shards[1..] {
        let id = format!("moved-{}", shard.index);
        let submitted = record::Cell::Submitted {
            shard: shard.clone(),
            epoch: epoch(&cell, shard),
            contract: "shops".into(),
            // No worker is large enough, so the job waits.
            job: Box::new(Spec {
                size: Size::new(63_000, 100),
                ..cell::job(&id, 60_000)
            }),
            at_unix_ms: unix_ms(),
        };
        cell.log.push(CELL, &submitted);
        cell.wait_for("the new shard's owner has the job", || {
            cell.status(&mapped_owner, &id, 0).is_some()
        });
        let submission = cell.cancel(&mapped_owner, &id);
        assert!(
            matches!(submission, Submission::Accepted(_)),
            "{submission:?}"
        );
        cell.wait_for("the job ends", || {
            let status = cell.status(&mapped_owner, &id, 0);
            status.is_some_and(|status| status.state == State::Cancelled)
        });
        same_owner.insert(cell.owner(shard).unwrap() == mapped_owner);
    }
    assert_eq!(
        same_owner.len(),
        2,
        "one owner has all shards or none: {same_owner:?}"
    );
}

/// Guards against a cancellation that is answered "no such job" because the owner that accepted the
/// job has not read its record yet, while the owner that passes the cancellation on has.
#[test]
fn a_job_is_cancelled_whose_owner_has_not_read_it_yet() {
    let cell = Cell::with_pool_shards(3, 3_600_000, SHARDS);
    let shards: Vec<Id> = (0..SHARDS).map(|index| Id { index, ..pool() }).collect();
    cell.wait_for("every shard has an owner", || {
        shards.iter().all(|shard| cell.owner(shard).is_some())
    });
    let mapped_owner = cell.owner(&pool()).unwrap();
    let has_other_owner = |shard: &&Id| cell.owner(shard).is_some_and(|o| o != mapped_owner);
    let shard = shards.iter().find(has_other_owner).unwrap();
    let late_owner = cell.owner(shard).unwrap();
    let late_log = cell.processes[&late_owner].log.clone();
    let submitted = record::Cell::Submitted {
        shard: shard.clone(),
        epoch: epoch(&cell, shard),
        contract: "shops".into(),
        job: Box::new(Spec {
            size: Size::new(63_000, 100),
            ..cell::job("late", 60_000)
        }),
        at_unix_ms: unix_ms(),
    };
    late_log.hold_reads(true);
    // Ends the read that is under way.
    cell.log.push(CELL, &"no record");
    std::thread::sleep(Duration::from_millis(100));
    cell.log.push(CELL, &submitted);
    cell.wait_for("the new shard's owner has the job", || {
        cell.status(&mapped_owner, "late", 0).is_some()
    });
    let release = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(300));
        late_log.hold_reads(false);
    });
    let submission = cell.cancel(&mapped_owner, "late");
    release.join().unwrap();
    assert!(
        matches!(submission, Submission::Accepted(_)),
        "{submission:?}"
    );
}

fn records(cell: &Cell, text: &str) -> Vec<record::Cell> {
    let records = cell.log.find_text(CELL, text);
    records
        .iter()
        .map(|record| serde_json::from_str(record).unwrap())
        .collect()
}

fn contract_of(cell: &Cell, id: &str) -> Arc<str> {
    let intents = records(cell, &format!("\"{id}\""));
    let contract = intents.iter().find_map(|record| match record {
        record::Cell::Intent { requests, .. } => Some(requests[0].contract.clone()),
        _ => None,
    });
    contract.unwrap()
}

fn spec_of(cell: &Cell, id: &str) -> Spec {
    let submissions = records(cell, &format!("\"{id}\""));
    let spec = submissions.iter().find_map(|record| match record {
        record::Cell::Submitted { job, .. } => Some(Spec::clone(job)),
        _ => None,
    });
    spec.unwrap()
}

fn unix_ms() -> u64 {
    rosemaryworks_node::clock::unix_ms()
}
