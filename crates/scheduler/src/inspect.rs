//! Paged views of this process's own shards for operators.

use std::sync::Arc;

use rosemaryworks_core::job::Id as JobId;
use rosemaryworks_wire::{Inspected, View};

use crate::context::Context;
use crate::host::Host;
use crate::pool::Pool;

/// Most targets or jobs in one reply. With the longest names an item takes about 1 KB, so a page
/// stays well below the largest frame.
const PAGE_ITEMS: usize = 1_000;

/// Returns the shards, and the items of `view` that follow the item `after`.
pub(crate) fn page(context: &Context, view: View, after: Option<&str>) -> Inspected {
    let hosts = context.hosts().into_iter();
    let active: Vec<Host> = hosts.filter(|host| host.term().is_valid()).collect();
    let shards = active.iter().map(|host| {
        let term = host.term();
        (term.shard.clone(), term.epoch)
    });
    let mut inspected = Inspected {
        shards: shards.collect(),
        ..Inspected::default()
    };
    match view {
        View::Jobs => {
            let (jobs, next) = paginate(keyed_jobs(context, &active), after);
            let statuses = jobs
                .into_iter()
                .filter_map(|(pool, id)| pool.status(context, &id));
            inspected.jobs = statuses.collect();
            inspected.next = next;
        }
        View::Shards => {}
        View::Targets => {
            let targets = active.iter().flat_map(Host::targets);
            let keyed = targets.map(|target| (format!("{} {}", target.shard, target.name), target));
            (inspected.targets, inspected.next) = paginate(keyed.collect(), after);
        }
    }
    inspected
}

/// Returns the jobs of all shards with their sort keys. Only jobs on the page have their status
/// read.
fn keyed_jobs(context: &Context, active: &[Host]) -> Vec<(String, (Arc<Pool>, JobId))> {
    let pools = active.iter().filter_map(|host| match host {
        Host::Pool(pool) => Some(pool),
        Host::Service(_) => None,
    });
    let keyed = pools.flat_map(|pool| {
        let ids = pool.job_ids(context).into_iter();
        ids.map(|id| (format!("{} {id}", pool.term.shard), (pool.clone(), id)))
    });
    keyed.collect()
}

/// Returns the page of items that follow `after` in the order of their keys, and the key after
/// which the next page starts.
fn paginate<T>(mut items: Vec<(String, T)>, after: Option<&str>) -> (Vec<T>, Option<Arc<str>>) {
    items.retain(|(key, _)| after.is_none_or(|after| **key > *after));
    items.sort_by(|(left, _), (right, _)| left.cmp(right));
    let has_more = items.len() > PAGE_ITEMS;
    items.truncate(PAGE_ITEMS);
    let next = items.last().filter(|_| has_more);
    let next = next.map(|(key, _)| key.as_str().into());
    (items.into_iter().map(|(_, item)| item).collect(), next)
}
