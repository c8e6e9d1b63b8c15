//! Guards against owners that lose their shards although they run.

#[path = "support/memory.rs"]
mod memory;

use std::sync::atomic::Ordering;
use std::time::Duration;

use memory::Process;
use rosemaryworks_entry::claim::EXPIRY_MS;

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
