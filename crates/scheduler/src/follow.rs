//! Follows the streams of the log and applies their records.

use std::sync::Arc;

use rosemaryworks_core::ownership::{Event as OwnershipEvent, Verdict};
use rosemaryworks_core::placement;
use rosemaryworks_core::record::{Cell, Config};
use rosemaryworks_core::register;
use rosemaryworks_node::clock;
use rosemaryworks_platform::log::{CELL, CONTRACTS, Entry};
use rosemaryworks_platform::tail::{self, Event};

use crate::context::Context;
use crate::events;
use crate::host::Host;
use crate::lock::lock;
use crate::projection::Change;
use crate::snapshot;

/// Follows the cell stream until the future is dropped.
pub(crate) async fn cell(context: Arc<Context>) {
    let log = context.platform.log.clone();
    let health = context.health.clone();
    let mut failing = false;
    // Records that are read before may be as old as the log retains them.
    let mut caught_up = false;
    tail::follow(log, health, CELL, 1, |event| match event {
        Event::CaughtUp(_) => {
            caught_up = true;
            log_recovered(&mut failing, CELL);
            // Without the contracts and the list of VMs, a kernel would reject valid requests.
            if context.progress.are_contracts_loaded() {
                context.progress.set_cell_loaded(&context.status.ready);
                if lock(&context.listing).is_some() {
                    context.handle_ownership_event(OwnershipEvent::CaughtUp);
                }
            }
        }
        Event::Entries(entries) => entries
            .iter()
            .for_each(|entry| apply_cell_record(&context, entry, caught_up)),
        Event::Expired(first) => {
            caught_up = false;
            events::RECORDS_EXPIRED.log(format_args!("stream={CELL} first={first}"));
            lock(&context.cell).projection.ledger.records_expired();
            context.handle_ownership_event(OwnershipEvent::RecordsExpired);
        }
        Event::Failed(report) => {
            caught_up = false;
            read_failed(&context, &mut failing, CELL, report.current_context())
        }
    })
    .await;
}

/// Follows the contracts stream until the future is dropped.
pub(crate) async fn contracts(context: Arc<Context>) {
    let log = context.platform.log.clone();
    let health = context.health.clone();
    let mut failing = false;
    tail::follow(log, health, CONTRACTS, 1, |event| match event {
        Event::CaughtUp(_) => {
            log_recovered(&mut failing, CONTRACTS);
            context.progress.set_contracts_loaded(&context.status.ready);
        }
        Event::Entries(entries) => entries
            .iter()
            .for_each(|entry| apply_config_record(&context, entry)),
        Event::Expired(first) => {
            events::RECORDS_EXPIRED.log(format_args!("stream={CONTRACTS} first={first}"));
        }
        Event::Failed(report) => {
            read_failed(&context, &mut failing, CONTRACTS, report.current_context())
        }
    })
    .await;
}

fn log_recovered(failing: &mut bool, stream: &str) {
    if std::mem::take(failing) {
        events::LOG_RECOVERED.log(format_args!("stream={stream}"));
    }
}

fn read_failed(
    context: &Arc<Context>,
    failing: &mut bool,
    stream: &str,
    failure: &rosemaryworks_platform::Failure,
) {
    if std::mem::replace(failing, true) {
        return;
    }
    events::LOG_FAILED.log(format_args!("stream={stream} reason={failure}"));
    if !context.progress.is_complete() {
        tokio::spawn(restore_snapshot(context.clone()));
    }
}

/// Restores the state from a peer's snapshot unless the log becomes readable first.
async fn restore_snapshot(context: Arc<Context>) {
    while !context.progress.is_complete() && !snapshot::fetch(&context).await {
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    }
}

/// Applies a record of the cell stream. `is_recent` says that it was written a moment ago.
fn apply_cell_record(context: &Arc<Context>, entry: &Entry, is_recent: bool) {
    let record: Cell = match serde_json::from_str(&entry.record) {
        Ok(record) => record,
        Err(error) => {
            events::RECORD_MALFORMED.log(format_args!(
                "stream={CELL} offset={} reason={error}",
                entry.offset
            ));
            lock(&context.cell).readback.resolve(entry.offset, false);
            return;
        }
    };
    let now = clock::now();
    let change = {
        let mut cell = lock(&context.cell);
        let written = is_recent.then_some(now);
        let (verdict, change) = cell.projection.apply(written, entry.offset, &record);
        let valid = !matches!(verdict, Verdict::Void | Verdict::AlreadyApplied);
        // Looked up under the lock of the projection, so that a kernel that starts now receives
        // each change exactly once.
        let change = change.and_then(|(shard, change)| Some((context.host(&shard)?, change)));
        cell.readback.resolve(entry.offset, valid);
        change
    };
    match is_ownership_record(&record) {
        true => context.update_ownership(|kernel| ((), kernel.apply(now, entry.offset, &record))),
        // Only advances the offset; no action follows.
        false => drop(lock(&context.ownership).apply(now, entry.offset, &record)),
    }
    log_record(&record, entry.offset);
    if let Some((Host::Pool(pool), change)) = change {
        match change {
            Change::Cancelled(job) => pool.handle(placement::Event::Cancelled(job)),
            Change::Ended => pool.notify_waiters(),
            Change::Finished(tasks) => pool.ends_recorded(tasks),
            Change::Submitted { contract, job } => pool.handle(placement::Event::Submitted {
                contract,
                job: job.as_ref().clone(),
            }),
        }
    }
}

fn is_ownership_record(record: &Cell) -> bool {
    matches!(
        record,
        Cell::Claim { .. } | Cell::Release { .. } | Cell::Standing { .. }
    )
}

fn log_record(record: &Cell, offset: u64) {
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
fn apply_config_record(context: &Context, entry: &Entry) {
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
    let mut register = lock(&context.register);
    let before = contract_name(&record).and_then(|name| current_revision(&register, name));
    let verdict = register.apply(entry.offset, &record);
    let after = contract_name(&record).and_then(|name| current_revision(&register, name));
    if let (true, Some(name)) = (before != after, contract_name(&record)) {
        let entry = register.get(name).expect("the contract has a revision");
        events::CONTRACT_APPLIED.log(format_args!(
            "contract={name} revision={} operator={}",
            entry.revision, entry.operator
        ));
        for host in context.hosts() {
            host.update_contract(&entry.contract);
        }
    }
    drop(register);
    if verdict == register::Verdict::Drained {
        for host in context.hosts() {
            host.update_targets(context);
        }
    }
}

fn contract_name(record: &Config) -> Option<&str> {
    match record {
        Config::Drain { .. } => None,
        Config::Publish { contract, .. } | Config::Standing { contract, .. } => {
            Some(&contract.name)
        }
    }
}

fn current_revision(
    register: &register::Register,
    name: &str,
) -> Option<rosemaryworks_core::contract::Revision> {
    register.get(name).map(|entry| entry.revision)
}
