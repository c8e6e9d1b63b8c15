//! Guards against jobs that end each process that owns their shard, because their tasks don't fit into
//! its memory.

#[path = "support/memory.rs"]
mod memory;

use memory::{Process, route};
use rosemaryworks_entry::port::Stream;
use rosemaryworks_entry::{Acceptance, deadline_ms};
use rosemaryworks_workflow::{Id, Spec, Step};

fn steps(counts: &[u32]) -> Spec {
    let step = |count: &u32| Step {
        count: *count,
        ..Step::default()
    };
    Spec {
        steps: counts.iter().map(step).collect(),
        ..Spec::default()
    }
}

/// A job with 4,000,000 tasks was stored, and each process that took its shard over read it and
/// exceeded its memory. So would one with as many occurrences that are due at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_with_more_tasks_than_fit_into_memory_is_refused() {
    let process = Process::start().await;
    process.wait_for_shards(1).await;
    let timed = |times, first_ms, interval_ms| Spec {
        times,
        first_ms,
        interval_ms,
        ..steps(&[10])
    };
    let never = u64::MAX;
    let cases = [
        ("one step", steps(&[100_001]), false),
        ("largest step", steps(&[u32::MAX]), false),
        ("steps together", steps(&[60_000, 60_000]), false),
        ("occurrences at once", timed(10_001, 0, 0), false),
        ("occurrences of the past", timed(u32::MAX, 1, 1), false),
        ("widest job", steps(&[60_000, 40_000]), true),
        ("occurrences of years", timed(u32::MAX, never, 10_000), true),
        (
            "occurrences so far",
            timed(u32::MAX, 1, 1_000_000_000),
            true,
        ),
    ];
    for (id, (name, spec, is_accepted)) in (1..).zip(cases) {
        let expected = match is_accepted {
            true => Acceptance::Accepted,
            false => Acceptance::TooLarge,
        };
        let (route, deadline_ms) = (route(), deadline_ms(Some(2_000)));
        let submitted = process.node.submit(&route, Id(id), spec, deadline_ms);
        assert_eq!(submitted.await, expected, "{name}");
    }
    assert_eq!(process.log.record_count(Stream::Jobs), 3);
}
