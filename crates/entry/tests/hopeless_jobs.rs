//! Guards against an owner that renews no claim because one look at the waiting work lasts longer than the
//! claim (review/14).

#[path = "support/memory.rs"]
mod memory;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use memory::{Log, Process, route, worker};
use rosemaryworks_core::size::Size;
use rosemaryworks_entry::{Acceptance, deadline_ms};
use rosemaryworks_workflow::{Id, Spec, Step};

/// Time for which the owner is watched: several lives of a claim.
const WATCHED: Duration = Duration::from_secs(6);

async fn submit(process: &Process, id: u64, steps: Vec<Step>) {
    let spec = Spec {
        steps,
        ..Spec::default()
    };
    let (route, deadline_ms) = (route(), deadline_ms(Some(2_000)));
    let submitted = process.node.submit(&route, Id(id), spec, deadline_ms);
    assert_eq!(submitted.await, Acceptance::Accepted);
}

/// A gang that is wider than its pool, and steps whose label no worker has.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_keeps_its_shard_beside_jobs_that_can_never_run() {
    let log: Arc<Log> = Arc::default();
    log.workers.answering.store(true, Ordering::Relaxed);
    log.workers.reporting.store(true, Ordering::Relaxed);
    let workers = (0..35).map(|number| worker(&format!("w{number}"), "pool"));
    log.list.lock().expect("the lock").0 = workers.collect();
    let owner = Process::start_on(log.clone()).await;
    let peer = owner.start_peer("peer").await;
    let gang = Step {
        count: 99_000,
        gang: true,
        size: Size::new(2, 0),
        ..Step::default()
    };
    let labelled = Step {
        count: 1,
        requires: Some("nobody".into()),
        ..Step::default()
    };
    submit(&peer, 1, vec![gang]).await;
    submit(&peer, 2, vec![labelled; 4_000]).await;
    tokio::time::sleep(WATCHED).await;
    assert_eq!(owner.log.newest_claim_epoch(), 1, "the owner changed");
    let ordinary = Step {
        count: 1,
        ..Step::default()
    };
    submit(&peer, 3, vec![ordinary]).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let started = log.workers.started_tasks.lock().expect("the lock").clone();
    let started: Vec<Id> = started.iter().map(|key| key.step.job).collect();
    assert_eq!(started, [Id(3)]);
}
