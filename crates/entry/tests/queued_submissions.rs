//! Guards against large submissions that fill the memory while the log doesn't answer.

#[path = "support/memory.rs"]
mod memory;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use memory::{Log, Process, route};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rosemaryworks_entry::{Acceptance, deadline_ms};
use rosemaryworks_workflow::{Id, Spec};

/// Submissions at once, whose records take 200 KB each. The queue holds 0.7 MB in a VM of 32 MB, and
/// there is memory for the jobs of all of them.
const SUBMISSIONS: u64 = 20;

/// Length of a text of random printable characters that takes 200 KB in a record.
const TEXT_BYTES: usize = 240_000;

async fn submit(process: &Process, id: u64, bytes: usize) -> Acceptance {
    let mut random = SmallRng::seed_from_u64(id);
    let text: String = (0..bytes).map(|_| random.random_range(' '..='~')).collect();
    let spec = Spec {
        text: text.into(),
        ..Spec::default()
    };
    let deadline_ms = deadline_ms(Some(1_000));
    let node = process.node.clone();
    node.submit(&route(), Id(id), spec, deadline_ms).await
}

/// Callers that had stopped waiting left up to 2,000 records of 255 KB in the queue of a shard.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn waiting_records_are_bounded_in_bytes() {
    let process = Process::launch(Arc::new(Log::default()), |settings| {
        settings.memory_mb = Some(32);
    });
    let process = Arc::new(process.await);
    process.wait_for_shards(1).await;
    // The first job of an address needs more calls of the log.
    assert_eq!(submit(&process, 99, 10).await, Acceptance::Accepted);
    process.door.silent.store(true, Ordering::Relaxed);
    let submissions: Vec<_> = (1..=SUBMISSIONS)
        .map(|id| {
            let process = process.clone();
            tokio::spawn(async move { submit(&process, id, TEXT_BYTES).await })
        })
        .collect();
    let mut held = 0;
    for submission in submissions {
        match submission.await.expect("an outcome") {
            Acceptance::Refused => {}
            Acceptance::Unknown => held += 1,
            other => panic!("{other:?}"),
        }
    }
    // One append of two records is in flight, and three records wait.
    assert!((1..=5).contains(&held), "{held} records are held");
    process.door.silent.store(false, Ordering::Relaxed);
    let mut outcome = Acceptance::Refused;
    for id in 100..140 {
        outcome = submit(&process, id, 10).await;
        if outcome == Acceptance::Accepted {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    assert_eq!(outcome, Acceptance::Accepted);
}
