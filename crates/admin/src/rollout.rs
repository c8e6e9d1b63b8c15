//! Rollout state of contracts: the revision in force at every scheduler and at this gateway.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemaryworks_core::contract::Revision;
use rosemaryworks_wire::Message;
use rosemaryworks_wire::link::Client;
use serde::Serialize;

use crate::api::Api;
use crate::cell::CALL_TIMEOUT;

/// Name under which the responding gateway is listed among the processes.
const GATEWAY: &str = "this-gateway";

type Revisions = BTreeMap<Arc<str>, Revision>;

/// Revisions in force by contract and process.
#[derive(Debug, Serialize)]
pub(crate) struct Rollout {
    contracts: Vec<Contract>,
    /// Schedulers that did not respond or have not loaded the contracts yet.
    unreached: Vec<Arc<str>>,
}

#[derive(Debug, Serialize)]
struct Contract {
    name: Arc<str>,
    /// Newest revision in force at any process.
    newest: Revision,
    /// Revision in force at each process; 0 if it has none.
    processes: Revisions,
    /// Processes at which an older revision than the newest is in force.
    behind: Vec<Arc<str>>,
}

/// Fetches the revisions in force at a scheduler.
async fn fetch_revisions(client: &Client) -> Option<Revisions> {
    match client.call(Message::Revisions, CALL_TIMEOUT).await {
        Ok(Message::RevisionList(Some(revisions))) => Some(revisions.into_iter().collect()),
        _ => None,
    }
}

/// Queries all schedulers concurrently for their revisions.
pub(crate) async fn rollout(api: Api) -> Rollout {
    let own = api.contracts.entries().into_iter();
    let own = own.map(|entry| (entry.contract.name.clone(), entry.revision));
    let mut processes = vec![(Arc::from(GATEWAY), own.collect())];
    let mut unreached = Vec::new();
    let mut calls = Vec::new();
    for index in 0..api.schedulers.len() {
        let schedulers = api.schedulers.clone();
        calls.push(tokio::spawn(async move {
            fetch_revisions(&schedulers[index]).await
        }));
    }
    for (client, call) in api.schedulers.iter().zip(calls) {
        let name = client.name().clone();
        match call.await.ok().flatten() {
            Some(revisions) => processes.push((name, revisions)),
            None => unreached.push(name),
        }
    }
    Rollout {
        contracts: by_contract(&processes),
        unreached,
    }
}

fn by_contract(processes: &[(Arc<str>, Revisions)]) -> Vec<Contract> {
    let mut newest = Revisions::new();
    for (name, revision) in processes.iter().flat_map(|(_, revisions)| revisions) {
        let highest = newest.entry(name.clone()).or_insert(*revision);
        *highest = (*highest).max(*revision);
    }
    let contracts = newest.into_iter();
    contracts
        .map(|(name, newest)| contract(name, newest, processes))
        .collect()
}

fn contract(name: Arc<str>, newest: Revision, processes: &[(Arc<str>, Revisions)]) -> Contract {
    let revision = |revisions: &Revisions| revisions.get(&name).copied().unwrap_or_default();
    let processes: Revisions = processes
        .iter()
        .map(|(process, revisions)| (process.clone(), revision(revisions)))
        .collect();
    let behind = processes.iter().filter(|(_, revision)| **revision < newest);
    Contract {
        behind: behind.map(|(process, _)| process.clone()).collect(),
        name,
        newest,
        processes,
    }
}
