//! Guards against entries of another writer that take workers from the list or add unusable ones.

#[path = "support/memory.rs"]
mod memory;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use memory::{Log, Process, configuration, submitted, worker};
use rosemaryworks_entry::port::{Stream, WorkerChange};
use rosemaryworks_workflow::Id;

/// Time within which a change of the list has certainly been read, which happens every 0.35 s.
const LIST_READ: Duration = Duration::from_millis(1_500);

/// Starts a process on a list of workers that answer.
async fn start_on(list: Vec<WorkerChange>) -> Process {
    let log = Arc::new(Log::default());
    log.workers.answering.store(true, Ordering::Relaxed);
    log.list.lock().expect("the lock").0 = list;
    Process::start_on(log).await
}

/// Lets the process read a complete list.
async fn reread(log: &Log, list: Vec<WorkerChange>, skipped: &[&str]) {
    let skipped = skipped.iter().map(|key| (*key).into()).collect();
    *log.list.lock().expect("the lock") = (list, skipped);
    log.list_expired.store(true, Ordering::Relaxed);
    tokio::time::sleep(LIST_READ).await;
    assert!(!log.list_expired.load(Ordering::Relaxed));
}

/// Submits a job and returns the workers that were told to start its task.
async fn started(process: &Process) -> Vec<Arc<str>> {
    process.log.put(Stream::Jobs, 0, &submitted(Id(7)));
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let started = process.log.workers.started.lock().expect("the lock");
    started.clone()
}

fn is_renewed(log: &Log, id: &str) -> bool {
    let renewed = log.workers.renewed.lock().expect("the lock");
    renewed.iter().any(|renewed| **renewed == *id)
}

/// An entry that couldn't be read was left out of the complete list, so its worker counted as
/// removed and got no more tasks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_skipped_entry_does_not_remove_its_worker() {
    let process = start_on(vec![worker("w", "pool")]).await;
    reread(&process.log, Vec::new(), &["w"]).await;
    assert!(started(&process).await.contains(&"w".into()));
}

/// A worker that is no longer listed must get no tasks, whatever else is skipped.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_missing_entry_removes_its_worker() {
    let process = start_on(vec![worker("w", "pool")]).await;
    reread(&process.log, Vec::new(), &["other"]).await;
    assert!(started(&process).await.is_empty());
}

/// A worker of a pool that the configuration doesn't name was called and recorded, and a takeover
/// waited for its answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_worker_of_an_unknown_pool_is_not_called() {
    let process = start_on(vec![worker("odd", "unknown"), worker("w", "pool")]).await;
    let log = &process.log;
    reread(
        log,
        vec![worker("late", "unknown"), worker("w", "pool")],
        &[],
    )
    .await;
    assert!(is_renewed(log, "w"));
    assert!(!is_renewed(log, "odd") && !is_renewed(log, "late"));
    assert!(started(&process).await.contains(&"w".into()));
}

/// An entry under the key of a worker that names another, unknown pool moved the worker there, so it
/// got no more tasks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_of_an_unknown_pool_does_not_move_a_worker() {
    let process = start_on(vec![worker("w", "pool")]).await;
    reread(&process.log, vec![worker("w", "unknown")], &[]).await;
    assert!(started(&process).await.contains(&"w".into()));
}

/// The entry of a worker may be written before the configuration that names its pool, and doesn't
/// change afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_worker_is_listed_when_its_pool_is_named() {
    let process = start_on(vec![worker("early", "new")]).await;
    let log = &process.log;
    assert!(!is_renewed(log, "early"));
    *log.config.lock().expect("the lock") = Some(configuration(2, &["new", "pool"]));
    for _ in 0..100 {
        if is_renewed(log, "early") {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("the worker isn't listed");
}
