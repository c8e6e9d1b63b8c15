//! Republishes contracts and drains before their records expire from the log.
//!
//! Only the owner of the cell's first shard does so.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use rosemaryworks_core::record::{Config, Offset};
use rosemaryworks_core::time::Instant;
use rosemaryworks_node::clock;

use crate::context::Context;
use crate::lock::lock;
use crate::projection::is_due;

const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Operator named in republished drain records.
const OPERATOR: &str = "scheduler";

/// Time at which this process first saw each contract record in force, with the offset of the
/// record, and each drain; `None` for those that were there when it started, which may be as old as the
/// log retains records.
#[derive(Debug, Default)]
pub(crate) struct Ages {
    contracts: BTreeMap<Arc<str>, (Offset, Option<Instant>)>,
    drained: BTreeMap<Arc<str>, Option<Instant>>,
    /// Whether the records that were there at the start have been seen.
    began: bool,
}

/// Republishes the records that are older than half the retention, or of unknown age.
pub(crate) async fn republish(context: &Context, ages: &mut Ages) {
    let due = due_records(context, ages);
    let first = context.partition.shards().into_iter().next();
    let host = first.and_then(|shard| context.host(&shard));
    if !host.is_some_and(|host| host.term().is_valid()) {
        return;
    }
    let records = due.iter().map(|(record, _)| append(context, record));
    let written = join_all(records).await;
    for ((record, name), written) in due.into_iter().zip(written) {
        // The age of a contract restarts when its new record, at a new offset, is read back.
        if let (Config::Drain { .. }, true) = (&record, written) {
            ages.drained.insert(name, Some(clock::now()));
        }
    }
}

async fn append(context: &Context, record: &Config) -> bool {
    match serde_json::to_string(record) {
        Ok(text) => context
            .config_appender
            .append(text, APPEND_TIMEOUT)
            .await
            .is_ok(),
        Err(_) => false,
    }
}

/// Returns the records to republish, each with the name of its contract or drained target.
fn due_records(context: &Context, ages: &mut Ages) -> Vec<(Config, Arc<str>)> {
    if !context.progress.are_contracts_loaded() {
        return Vec::new();
    }
    let now = clock::now();
    let seen = std::mem::replace(&mut ages.began, true).then_some(now);
    let age_ms = context.settings.retention_ms / 2;
    let register = lock(&context.register);
    let mut due = Vec::new();
    for entry in register.iter() {
        let name = &entry.contract.name;
        let observed = ages
            .contracts
            .entry(name.clone())
            .or_insert((entry.offset, seen));
        if observed.0 != entry.offset {
            *observed = (entry.offset, seen);
        }
        if is_due(observed.1, now, age_ms) {
            let record = Config::Standing {
                revision: entry.revision,
                contract: Box::new(entry.contract.as_ref().clone()),
                operator: entry.operator.clone(),
                at_unix_ms: entry.at_unix_ms,
            };
            due.push((record, name.clone()));
        }
    }
    ages.drained.retain(|name, _| register.is_drained(name));
    for name in register.drained() {
        let observed = *ages.drained.entry(name.clone()).or_insert(seen);
        if is_due(observed, now, age_ms) {
            due.push((drain_record(context, name), name.clone()));
        }
    }
    due
}

fn drain_record(context: &Context, target: &Arc<str>) -> Config {
    let at_unix_ms = clock::unix_ms();
    Config::Drain {
        id: format!("restate-{}-{at_unix_ms}-{target}", context.settings.node).into(),
        target: target.clone(),
        drained: true,
        operator: OPERATOR.into(),
        at_unix_ms,
    }
}
