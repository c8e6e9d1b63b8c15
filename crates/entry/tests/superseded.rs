//! Guards against an owner that acts on after another process may have taken its shard over: it kept
//! the lease of a worker that the successor couldn't reach, and the successor started the worker's
//! task a second time once it counted the lease as expired.

#[path = "support/memory.rs"]
mod memory;

use std::sync::atomic::Ordering;
use std::time::Duration;

use memory::Process;
use rosemaryworks_workflow::Shard;
use tokio::time::Instant;

/// Time from a takeover by which a successor regards earlier owners as fenced. The successor of these
/// tests can claim the shard 0.5 s after its owner lost the log.
const FENCED: Duration = Duration::from_millis(500 + Shard::PREDECESSOR_FENCED_MS);

/// The owner read the newer claim and only stopped renewing its own.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_that_reads_a_newer_claim_steps_down() {
    let process = Process::start().await;
    process.log.put_claim(2);
    let began = Instant::now();
    process.wait_for_shards(0).await;
    assert!(began.elapsed() < Duration::from_millis(Shard::PREDECESSOR_FENCED_MS));
}

/// The log turned the owner away and served its peers. The owner announced the release, and then
/// acted until a worker or the journal rejected it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_that_the_log_turns_away_steps_down_after_the_announcement() {
    let process = Process::start().await;
    let peer = process.start_peer("peer").await;
    process.door.closed.store(true, Ordering::Relaxed);
    let began = Instant::now();
    process.wait_for_shards(0).await;
    assert!(began.elapsed() < FENCED, "acts after its successor");
    peer.wait_for_shards(1).await;
}

/// The owner lost the log and all peers at once, as behind a network cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_that_is_cut_off_from_the_log_and_its_peers_steps_down() {
    let process = Process::start().await;
    let peers = tokio::runtime::Runtime::new().expect("a runtime");
    let log = process.log.clone();
    let peer = peers.spawn(async move {
        let peer = Process::launch(log, |settings| settings.node = "peer".into()).await;
        tokio::time::sleep(memory::LINK_OPEN).await;
        peer
    });
    let _peer = peer.await.expect("the peer starts");
    process.door.closed.store(true, Ordering::Relaxed);
    // Its connections are closed.
    peers.shutdown_background();
    let began = Instant::now();
    process.wait_for_shards(0).await;
    assert!(began.elapsed() < FENCED, "acts after its successor");
}

/// Guards against the opposite: in an outage of the log for all processes no successor exists, and
/// the work goes on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_keeps_its_shard_in_an_outage_for_all_processes() {
    let process = Process::start().await;
    let _peer = process.start_peer("peer").await;
    process.log.down.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(process.metrics.shards.get(), 1);
}

/// The same for the only process, which has no peer to ask.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_only_process_keeps_its_shard_in_an_outage() {
    let process = Process::start().await;
    process.door.closed.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(process.metrics.shards.get(), 1);
}
