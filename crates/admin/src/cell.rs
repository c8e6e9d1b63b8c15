//! Queries to all schedulers of the cell for shard owners, targets, jobs and tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_core::job::{self, Status};
use rosemaryworks_core::shard::{Epoch, Id};
use rosemaryworks_core::view;
use rosemaryworks_wire::link::Client;
use rosemaryworks_wire::{Inspected, Message, View};
use serde::Serialize;

use crate::api::Api;
use crate::body::{Answer, Error};

/// Time limit for a call to a scheduler.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// State of the cell for operators.
#[derive(Debug, Serialize)]
pub(crate) struct Cell {
    name: Arc<str>,
    schedulers: Vec<Scheduler>,
    shards: Vec<Shard>,
    drained: Vec<Arc<str>>,
}

#[derive(Debug, Serialize)]
struct Scheduler {
    name: Arc<str>,
    zone: Arc<str>,
    reachable: bool,
}

#[derive(Debug, Serialize)]
struct Shard {
    shard: Id,
    owner: Option<Arc<str>>,
    epoch: Option<Epoch>,
}

/// A target and whether operators drained it.
#[derive(Debug, Serialize)]
pub(crate) struct Target {
    #[serde(flatten)]
    target: view::Target,
    drained: bool,
}

/// Responses of the schedulers, and the schedulers that did not respond.
struct Responses {
    inspected: Vec<(Arc<str>, Inspected)>,
    unreached: Vec<Arc<str>>,
}

/// A list that may be incomplete.
#[derive(Debug, Serialize)]
pub(crate) struct Partial<T> {
    items: Vec<T>,
    /// Schedulers that did not respond. The targets and jobs of their shards are missing.
    unreached: Vec<Arc<str>>,
}

/// Fetches all pages of a view from a scheduler. Returns `None` if a page fails.
async fn inspect(client: &Client, view: View) -> Option<Inspected> {
    let mut merged = Inspected::default();
    loop {
        let after = merged.next.take();
        let call = Message::Inspect { view, after };
        let Ok(Message::Inspected(page)) = client.call(call, CALL_TIMEOUT).await else {
            return None;
        };
        merged.shards = page.shards;
        merged.targets.extend(page.targets);
        merged.jobs.extend(page.jobs);
        merged.next = page.next;
        if merged.next.is_none() {
            return Some(merged);
        }
    }
}

/// Queries all schedulers concurrently.
async fn query(api: &Api, view: View) -> Responses {
    let mut calls = Vec::new();
    for index in 0..api.schedulers.len() {
        let schedulers = api.schedulers.clone();
        calls.push(tokio::spawn(async move {
            inspect(&schedulers[index], view).await
        }));
    }
    let mut responses = Responses {
        inspected: Vec::new(),
        unreached: Vec::new(),
    };
    for (client, call) in api.schedulers.iter().zip(calls) {
        let name = client.name().clone();
        match call.await.ok().flatten() {
            Some(inspected) => responses.inspected.push((name, inspected)),
            None => responses.unreached.push(name),
        }
    }
    responses
}

/// Returns the schedulers, and the shards with their owners.
pub(crate) async fn cell(api: Api) -> Cell {
    let responses = query(&api, View::Shards).await;
    let unreached: BTreeSet<&Arc<str>> = responses.unreached.iter().collect();
    let schedulers = api.cell.schedulers.iter().map(|scheduler| Scheduler {
        name: scheduler.name.clone(),
        zone: scheduler.zone.clone(),
        reachable: !unreached.contains(&scheduler.name),
    });
    let owners = owners(&responses);
    let shards = api.cell.partition.shards().into_iter().map(|shard| {
        let owner = owners.get(&shard);
        Shard {
            owner: owner.map(|(_, name)| name.clone()),
            epoch: owner.map(|(epoch, _)| *epoch),
            shard,
        }
    });
    Cell {
        name: api.cell.name.clone(),
        schedulers: schedulers.collect(),
        shards: shards.collect(),
        drained: api.contracts.drained(),
    }
}

/// Returns the owner of each shard. If several schedulers report a shard, the highest epoch wins.
fn owners(responses: &Responses) -> BTreeMap<Id, (Epoch, Arc<str>)> {
    let mut owners: BTreeMap<Id, (Epoch, Arc<str>)> = BTreeMap::new();
    for (name, inspected) in &responses.inspected {
        for (shard, epoch) in &inspected.shards {
            let known_epoch = owners.get(shard).map(|(epoch, _)| *epoch);
            if known_epoch.is_none_or(|known| known < *epoch) {
                owners.insert(shard.clone(), (*epoch, name.clone()));
            }
        }
    }
    owners
}

/// Returns the targets of all shards.
pub(crate) async fn targets(api: Api) -> Partial<Target> {
    let responses = query(&api, View::Targets).await;
    let targets = responses
        .inspected
        .into_iter()
        .flat_map(|(_, inspected)| inspected.targets);
    let items = targets.map(|target| Target {
        drained: api.contracts.is_drained(&target.name),
        target,
    });
    Partial {
        items: items.collect(),
        unreached: responses.unreached,
    }
}

/// Returns the jobs of all shards.
pub(crate) async fn jobs(api: Api) -> Partial<Status> {
    let responses = query(&api, View::Jobs).await;
    let jobs = responses
        .inspected
        .into_iter()
        .flat_map(|(_, inspected)| inspected.jobs);
    Partial {
        items: jobs.collect(),
        unreached: responses.unreached,
    }
}

/// Returns the tasks of a job by querying the owners of the pool shards until one has the job.
pub(crate) async fn tasks(api: Api, job: job::Id) -> Answer<Vec<view::Task>> {
    let responses = query(&api, View::Shards).await;
    for (name, inspected) in &responses.inspected {
        for (shard, _) in &inspected.shards {
            if let Some(tasks) = tasks_from_owner(&api, name, shard, &job).await {
                return Ok(tasks);
            }
        }
    }
    match responses.unreached.is_empty() {
        true => Err(Error::new(404, format!("no job {job}"))),
        false => {
            let names = responses.unreached.join(", ");
            Err(Error::new(
                503,
                format!("no job {job}; no answer from {names}"),
            ))
        }
    }
}

async fn tasks_from_owner(
    api: &Api,
    owner: &str,
    shard: &Id,
    job: &job::Id,
) -> Option<Vec<view::Task>> {
    if shard.kind != rosemaryworks_core::shard::Kind::Pool {
        return None;
    }
    let client = api
        .schedulers
        .iter()
        .find(|client| &**client.name() == owner)?;
    let call = Message::Tasks {
        shard: shard.clone(),
        job: job.clone(),
    };
    match client.call(call, CALL_TIMEOUT).await {
        Ok(Message::TaskList(tasks)) => Some(tasks),
        _ => None,
    }
}
