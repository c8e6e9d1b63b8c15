//! Guards against shards that are released while no process can take them over.

#[path = "support/memory.rs"]
mod memory;

use std::sync::atomic::Ordering;
use std::time::Duration;

use memory::Process;

/// A planned stop during an outage of the log left its shards without an owner for 5 s.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shards_are_kept_until_the_log_is_reachable() {
    let process = Process::start().await;
    process.log.down.store(true, Ordering::Relaxed);
    // Longer than the time after which the log counts as unreachable.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let node = process.node.clone();
    let stopped = tokio::spawn(async move { node.stop(Duration::from_secs(4)).await });
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(
        process.metrics.shards.get(),
        1,
        "released during the outage"
    );
    process.log.down.store(false, Ordering::Relaxed);
    process.wait_for_shards(0).await;
    stopped.await.expect("the stop ends");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shards_are_released_at_once_while_the_log_is_reachable() {
    let process = Process::start().await;
    let began = tokio::time::Instant::now();
    process.node.stop(Duration::from_secs(4)).await;
    process.wait_for_shards(0).await;
    assert!(began.elapsed() < Duration::from_secs(1));
}

/// Guards against two owners with the same epoch: an owner that another process had superseded
/// released its shard over the newer claim, and a process that started then claimed the epoch again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_superseded_owner_does_not_release_the_shard() {
    let process = Process::start().await;
    process.log.put_claim(2);
    process.node.stop(Duration::from_secs(4)).await;
    process.wait_for_shards(0).await;
    assert_eq!(process.log.newest_claim_epoch(), 2);
}
