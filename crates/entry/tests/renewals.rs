//! Guards against owners that lose their shards although they run.

#[path = "support/memory.rs"]
mod memory;

use std::sync::atomic::Ordering;
use std::time::Duration;

use memory::{Log, Process};
use rosemaryworks_entry::claim::{EXPIRY_MS, PROGRESS_MS};

/// An owner short of CPU waits long for the answer to a read of the claims. Its renewals waited for
/// that answer, so its claim expired, and each new owner was overloaded in turn.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_read_of_the_claims_does_not_delay_renewals() {
    let process = Process::start().await;
    process.log.claims_read_ms.store(5_000, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = process.log.claim_count();
    tokio::time::sleep(Duration::from_millis(2 * EXPIRY_MS)).await;
    let renewals = process.log.claim_count() - before;
    assert!(
        renewals >= 4,
        "{renewals} renewals in two lifetimes of a claim"
    );
}

/// The claim of a takeover that took longer than a claim lasts expired meanwhile, so that another
/// process claimed the shard, and so on. A takeover that stands still must let its claim expire.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_claim_of_a_takeover_is_renewed_while_it_makes_progress() {
    let log = std::sync::Arc::new(Log::default());
    log.jobs_read_ms.store(700, Ordering::Relaxed);
    let slow = Process::launch(log.clone(), |_| {}).await;
    slow.wait_for_shards(1).await;
    let renewals = log.claim_count() - 1;
    assert!(renewals >= 4, "{renewals} renewals in a takeover of 1.4 s");

    let log = std::sync::Arc::new(Log::default());
    log.jobs_read_ms.store(60_000, Ordering::Relaxed);
    let _still = Process::launch(log.clone(), |_| {}).await;
    tokio::time::sleep(Duration::from_millis(PROGRESS_MS + EXPIRY_MS)).await;
    let before = log.claim_count();
    assert!(before >= 1, "no claim");
    tokio::time::sleep(Duration::from_millis(EXPIRY_MS)).await;
    assert_eq!(log.claim_count(), before, "renewed without progress");
}
