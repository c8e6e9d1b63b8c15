//! Ids whose home moved to another shard with a revision of their contract.

#[path = "support/cell.rs"]
#[allow(dead_code)]
mod cell;
#[path = "support/log.rs"]
#[allow(dead_code)]
mod log;
#[path = "support/targets.rs"]
#[allow(dead_code)]
mod targets;

use std::sync::Arc;
use std::time::{Duration, Instant};

use cell::{Cell, pool, service};
use rosemaryworks_core::job::Spec;
use rosemaryworks_core::outcome::{Request, Unknown};
use rosemaryworks_core::record;
use rosemaryworks_core::shard::{Epoch, Id};
use rosemaryworks_platform::log::CELL;
use rosemaryworks_wire::{Submission, Verdict};

/// Time after which a record appended behind the schedulers' backs was surely read.
const READ_TIME: Duration = Duration::from_secs(2);

/// Claims another shard of the group of `shard` and returns its epoch.
fn claim_other(cell: &Cell, shard: &Id) -> (Id, Epoch) {
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

/// Waits until the schedulers have read what was appended.
fn read(started: Instant) {
    std::thread::sleep(READ_TIME.saturating_sub(started.elapsed()));
}

/// Guards against a second dispatch by the new home of an id, which did not know that the old one
/// had dispatched it.
#[test]
fn a_request_recorded_by_another_shard_is_not_dispatched_again() {
    let cell = Cell::start(3);
    let owner = cell.owner(&service()).unwrap();
    let contract = match cell.ask(&owner, "first", false) {
        Verdict::Granted { .. } => contract_of(&cell, "first"),
        verdict => panic!("{verdict:?}"),
    };
    let (shard, epoch) = claim_other(&cell, &service());
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
    read(Instant::now());
    let verdict = cell.ask(&owner, "moved", false);
    assert_eq!(verdict, Verdict::Unknown(Unknown::AlreadyDispatched));
    assert!(matches!(
        cell.ask(&owner, "other", false),
        Verdict::Granted { .. }
    ));
}

/// Guards against a job that is accepted a second time by the new home of its id.
#[test]
fn a_job_of_another_shard_is_not_accepted_again() {
    let cell = Cell::start(3);
    let owner = cell.owner(&pool()).unwrap();
    let Submission::Accepted(first) = cell.submit(&owner, "first", 100) else {
        panic!("the first job is not accepted");
    };
    let (shard, epoch) = claim_other(&cell, &pool());
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
    read(Instant::now());
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
