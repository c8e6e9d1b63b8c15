//! Follows the streams of the log.

use std::sync::Arc;

use rosemaryworks_core::ownership::{Event as Owned, Verdict};
use rosemaryworks_core::placement;
use rosemaryworks_core::record::{Cell, Config};
use rosemaryworks_core::register;
use rosemaryworks_node::clock;
use rosemaryworks_platform::log::{CELL, CONTRACTS, Entry};
use rosemaryworks_platform::tail::{self, Event};

use crate::events;
use crate::fold::Change;
use crate::hosted::Hosted;
use crate::lock::lock;
use crate::shared::Shared;
use crate::snapshot;

/// Follows the cell stream until the future is dropped.
pub(crate) async fn cell(shared: Arc<Shared>) {
    let log = shared.platform.log.clone();
    let health = shared.health.clone();
    let mut down = false;
    tail::follow(log, health, CELL, 1, |event| match event {
        Event::CaughtUp(_) => {
            back(&mut down, CELL);
            // Without contracts and VMs a kernel would refuse what it should accept.
            if shared.progress.are_contracts_known() {
                shared.progress.cell_known(&shared.status.ready);
                if lock(&shared.listing).is_some() {
                    shared.ownership_event(Owned::CaughtUp);
                }
            }
        }
        Event::Entries(entries) => entries.iter().for_each(|entry| record(&shared, entry)),
        Event::Expired(first) => {
            events::RECORDS_EXPIRED.log(format_args!("stream={CELL} first={first}"));
            lock(&shared.cell).fold.ledger.records_expired();
            shared.ownership_event(Owned::RecordsExpired);
        }
        Event::Failed(report) => failed(&shared, &mut down, CELL, report.current_context()),
    })
    .await;
}

/// Follows the contracts stream until the future is dropped.
pub(crate) async fn contracts(shared: Arc<Shared>) {
    let log = shared.platform.log.clone();
    let health = shared.health.clone();
    let mut down = false;
    tail::follow(log, health, CONTRACTS, 1, |event| match event {
        Event::CaughtUp(_) => {
            back(&mut down, CONTRACTS);
            shared.progress.contracts_known(&shared.status.ready);
        }
        Event::Entries(entries) => entries.iter().for_each(|entry| config(&shared, entry)),
        Event::Expired(first) => {
            events::RECORDS_EXPIRED.log(format_args!("stream={CONTRACTS} first={first}"));
        }
        Event::Failed(report) => failed(&shared, &mut down, CONTRACTS, report.current_context()),
    })
    .await;
}

fn back(down: &mut bool, stream: &str) {
    if std::mem::take(down) {
        events::LOG_BACK.log(format_args!("stream={stream}"));
    }
}

fn failed(
    shared: &Arc<Shared>,
    down: &mut bool,
    stream: &str,
    failure: &rosemaryworks_platform::Failure,
) {
    if std::mem::replace(down, true) {
        return;
    }
    events::LOG_FAILED.log(format_args!("stream={stream} reason={failure}"));
    if !shared.progress.is_complete() {
        tokio::spawn(take_snapshot(shared.clone()));
    }
}

/// Takes the state from a peer unless the log answers first.
async fn take_snapshot(shared: Arc<Shared>) {
    while !shared.progress.is_complete() && !snapshot::fetch(&shared).await {
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    }
}

/// Applies a record of the cell stream.
fn record(shared: &Arc<Shared>, entry: &Entry) {
    let record: Cell = match serde_json::from_str(&entry.record) {
        Ok(record) => record,
        Err(error) => {
            events::RECORD_MALFORMED.log(format_args!(
                "stream={CELL} offset={} reason={error}",
                entry.offset
            ));
            lock(&shared.cell).readback.note(entry.offset, false);
            return;
        }
    };
    let now = clock::now();
    let change = {
        let mut cell = lock(&shared.cell);
        let (verdict, change) = cell.fold.apply(now, entry.offset, &record);
        let valid = !matches!(verdict, Verdict::Void | Verdict::AlreadyApplied);
        // Under the same lock as the fold, so that a kernel that starts now is told once.
        let change = change.and_then(|(shard, change)| Some((shared.hosted(&shard)?, change)));
        cell.readback.note(entry.offset, valid);
        change
    };
    match is_ownership(&record) {
        true => shared.own(|kernel| ((), kernel.apply(now, entry.offset, &record))),
        // Only the offset is noted; no step follows.
        false => drop(lock(&shared.ownership).apply(now, entry.offset, &record)),
    }
    report(&record, entry.offset);
    if let Some((Hosted::Pool(pool), change)) = change {
        match change {
            Change::Cancelled(job) => pool.feed(placement::Event::Cancelled(job)),
            Change::Ended => pool.wake(),
            Change::Finished(tasks) => pool.recorded(tasks),
            Change::Submitted { contract, job } => pool.feed(placement::Event::Submitted {
                contract,
                job: job.as_ref().clone(),
            }),
        }
    }
}

fn is_ownership(record: &Cell) -> bool {
    matches!(
        record,
        Cell::Claim { .. } | Cell::Release { .. } | Cell::Standing { .. }
    )
}

fn report(record: &Cell, offset: u64) {
    if let Cell::Claim {
        shard,
        previous,
        owner,
        ..
    } = record
    {
        events::CLAIMED.log(format_args!(
            "shard={shard} owner={owner} previous={previous} offset={offset}"
        ));
    }
    if let Cell::Ended { job, state, .. } = record {
        events::JOB_ENDED.log(format_args!("job={job} state={state:?}"));
    }
}

/// Applies a record of the contracts stream.
fn config(shared: &Shared, entry: &Entry) {
    let record: Config = match serde_json::from_str(&entry.record) {
        Ok(record) => record,
        Err(error) => {
            events::RECORD_MALFORMED.log(format_args!(
                "stream={CONTRACTS} offset={} reason={error}",
                entry.offset
            ));
            return;
        }
    };
    let mut register = lock(&shared.register);
    let before = contract(&record).and_then(|name| revision(&register, name));
    let verdict = register.apply(entry.offset, &record);
    let after = contract(&record).and_then(|name| revision(&register, name));
    if let (true, Some(name)) = (before != after, contract(&record)) {
        let entry = register.get(name).expect("the contract has a revision");
        events::CONTRACT.log(format_args!(
            "contract={name} revision={} operator={}",
            entry.revision, entry.operator
        ));
        for hosted in shared.all_hosted() {
            hosted.contract(&entry.contract);
        }
    }
    drop(register);
    if verdict == register::Verdict::Drained {
        for hosted in shared.all_hosted() {
            hosted.list(shared);
        }
    }
}

fn contract(record: &Config) -> Option<&str> {
    match record {
        Config::Drain { .. } => None,
        Config::Publish { contract, .. } | Config::Standing { contract, .. } => {
            Some(&contract.name)
        }
    }
}

fn revision(
    register: &register::Register,
    name: &str,
) -> Option<rosemaryworks_core::contract::Revision> {
    register.get(name).map(|entry| entry.revision)
}
