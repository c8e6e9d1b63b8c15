//! Guards against submissions that are stored long after their callers have gone.

#[path = "support/memory.rs"]
mod memory;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use memory::{Log, Process, route};
use rosemaryworks_entry::port::Stream;
use rosemaryworks_entry::{Acceptance, deadline_ms};
use rosemaryworks_workflow::{Id, Spec};

/// Time for which the state of an ended job is kept in milliseconds.
const KEEP_MS: u64 = 3_000;

async fn submit(process: &Process, id: u64) -> Acceptance {
    let deadline_ms = deadline_ms(Some(1_000));
    let node = process.node.clone();
    node.submit(&route(), Id(id), Spec::default(), deadline_ms)
        .await
}

/// A process that is cut off from the log retried an append until the log answered. The caller submitted
/// the job to another process meanwhile, where it completed and was forgotten, so it ran again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_submission_is_abandoned_before_its_job_can_be_forgotten() {
    let process = Process::launch(Arc::new(Log::default()), |settings| {
        settings.keep_ms = KEEP_MS;
    });
    let process = process.await;
    process.wait_for_shards(1).await;
    // The first job of an address needs more calls of the log.
    assert_eq!(submit(&process, 0).await, Acceptance::Accepted);
    process.door.silent.store(true, Ordering::Relaxed);
    assert_eq!(submit(&process, 1).await, Acceptance::Unknown);
    tokio::time::sleep(Duration::from_millis(KEEP_MS)).await;
    process.door.silent.store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    assert_eq!(process.log.record_count(Stream::Jobs), 1);
    assert_eq!(submit(&process, 2).await, Acceptance::Accepted);
    assert_eq!(process.log.record_count(Stream::Jobs), 2);
}
