//! Guards against shards that are released while no process can take them over, and against calls
//! that a planned stop cuts off.

#[path = "support/memory.rs"]
mod memory;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use memory::{Log, Process, route};
use rosemaryworks_entry::{Frontend, Lookup};
use rosemaryworks_node::clock;
use rosemaryworks_workflow::Id;
use tokio::time::Instant;

/// Longest time for which the tests let a stop keep its shards.
const KEEP_MAX: Duration = Duration::from_secs(4);

/// Time within which a shard is released once another process can take it over.
const RELEASED_SOON: Duration = Duration::from_secs(1);

/// A planned stop during an outage of the log left its shards without an owner for 5 s.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shards_are_kept_until_the_log_is_reachable() {
    let process = Process::start().await;
    let _peer = process.start_peer("peer").await;
    process.log.down.store(true, Ordering::Relaxed);
    // Longer than the time after which the log counts as unreachable.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let node = process.node.clone();
    let stopped = tokio::spawn(async move { node.stop(KEEP_MAX).await });
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(
        process.metrics.shards.get(),
        1,
        "released during the outage"
    );
    process.log.down.store(false, Ordering::Relaxed);
    let returned = Instant::now();
    process.wait_for_shards(0).await;
    assert!(returned.elapsed() < 2 * RELEASED_SOON, "kept for too long");
    stopped.await.expect("the stop ends");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shards_are_released_at_once_while_the_log_is_reachable() {
    let process = Process::start().await;
    let peer = process.start_peer("peer").await;
    let began = Instant::now();
    process.node.stop(KEEP_MAX).await;
    process.wait_for_shards(0).await;
    assert!(began.elapsed() < RELEASED_SOON);
    peer.wait_for_shards(1).await;
}

/// Guards against a shard without an owner while all processes are stopped in turn: a process
/// released its shard to peers that were stopping, too, and their calls found no owner until the
/// first of them had started again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shards_are_kept_while_all_peers_are_stopping() {
    let process = Process::start().await;
    let stopping = process.start_peer("stopping").await;
    stopping.node.stop(KEEP_MAX).await;
    let node = process.node.clone();
    let stopped = tokio::spawn(async move { node.stop(KEEP_MAX).await });
    tokio::time::sleep(RELEASED_SOON).await;
    assert_eq!(
        process.metrics.shards.get(),
        1,
        "released to a process that is stopping"
    );
    let began = Instant::now();
    let started = process.start_peer("started").await;
    process.wait_for_shards(0).await;
    started.wait_for_shards(1).await;
    assert!(began.elapsed() < 2 * RELEASED_SOON, "kept for too long");
    stopped.await.expect("the stop ends");
}

/// Guards against a stop without an end: the last process has no peer to hand its shards over to.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_last_process_releases_its_shards_at_the_end_of_its_stop() {
    let process = Process::start().await;
    let began = Instant::now();
    process.node.stop(Duration::from_millis(1_500)).await;
    process.wait_for_shards(0).await;
    assert!(
        began.elapsed() < Duration::from_millis(1_500) + RELEASED_SOON,
        "kept for too long"
    );
}

/// Counts open calls as the HTTP frontend does.
#[derive(Default)]
struct Calls(AtomicUsize);

impl Frontend for Calls {
    fn close(&self) {}

    fn open_calls(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Guards against calls without an answer: a process that stopped ended while calls that had arrived
/// during its stop still waited for an owner, and their connections were cut off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_that_wait_for_an_owner_are_answered_before_the_process_ends() {
    let log = Arc::new(Log::default());
    let process = Process::launch(log, |settings| settings.stop_ms = 1_500).await;
    process.wait_for_shards(1).await;
    let calls = Arc::new(Calls::default());
    let (node, frontend) = (process.node.clone(), calls.clone());
    let stopped = tokio::spawn(async move { node.stop_serving(&*frontend).await });
    process.wait_for_shards(0).await;
    calls.0.fetch_add(2, Ordering::Relaxed);
    let (node, open) = (process.node.clone(), calls.clone());
    let deadline_ms = clock::now().0 + 3_000;
    let query = tokio::spawn(async move {
        let state = node.job_state(&route(), Id(7), None, deadline_ms).await;
        open.0.fetch_sub(1, Ordering::Relaxed);
        state
    });
    let (node, open) = (process.node.clone(), calls.clone());
    let length = tokio::spawn(async move {
        let length = node.queue_length(&route(), deadline_ms).await;
        open.0.fetch_sub(1, Ordering::Relaxed);
        length
    });
    stopped.await.expect("the stop ends");
    assert_eq!(calls.open_calls(), 0, "calls are cut off");
    assert_eq!(query.await.expect("an answer"), Lookup::Unavailable);
    assert_eq!(length.await.expect("an answer"), None);
}

/// Guards against two owners with the same epoch: an owner that another process had superseded
/// released its shard over the newer claim, and a process that started then claimed the epoch again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_superseded_owner_does_not_release_the_shard() {
    let process = Process::start().await;
    let _peer = process.start_peer("peer").await;
    process.log.put_claim(2);
    process.node.stop(KEEP_MAX).await;
    process.wait_for_shards(0).await;
    assert_eq!(process.log.newest_claim_epoch(), 2);
}
