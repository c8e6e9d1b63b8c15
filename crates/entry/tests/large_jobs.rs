//! Guards against legal jobs of a large size that can't be stored, or that a successor doesn't know.

#[path = "support/memory.rs"]
mod memory;

use std::time::Duration;

use memory::{Process, route};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rosemaryworks_core::size::Size;
use rosemaryworks_entry::{Acceptance, Lookup};
use rosemaryworks_node::clock;
use rosemaryworks_workflow::{Id, Spec, State, Step};

/// Longest time for which the tests let a stop keep its shards.
const KEEP_MAX: Duration = Duration::from_secs(4);

fn deadline_ms() -> u64 {
    clock::now().0 + 3_000
}

/// A text of random printable characters.
fn text(bytes: usize) -> String {
    let mut random = SmallRng::seed_from_u64(1);
    (0..bytes).map(|_| random.random_range(' '..='~')).collect()
}

fn large() -> Spec {
    let step = Step {
        count: 1,
        estimate_ms: 50,
        size: Size::new(1_000, 100),
        ..Step::default()
    };
    Spec {
        steps: vec![step; 5_000],
        ..Spec::default()
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_successor_knows_a_large_job() {
    let (process, default_route) = (Process::start().await, route());
    let submit = process
        .node
        .submit(&default_route, Id(7), large(), deadline_ms());
    assert_eq!(submit.await, Acceptance::Accepted);
    let peer = process.start_peer("peer").await;
    process.node.stop(KEEP_MAX).await;
    peer.wait_for_shards(1).await;
    let answer = peer
        .node
        .job_state(&default_route, Id(7), None, deadline_ms());
    assert_eq!(answer.await, Lookup::State(State::Pending));
}

/// Guards against a job that the log accepts and a snapshot can't hold, and against a caller that
/// submits a job again and again that can't be stored.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_is_too_large_for_a_record_is_rejected_as_such() {
    let process = Process::start().await;
    let submit = |id, text: String| {
        let spec = Spec {
            text: text.into(),
            ..Spec::default()
        };
        let node = process.node.clone();
        async move { node.submit(&route(), Id(id), spec, deadline_ms()).await }
    };
    // Random printable characters compress to 0.83 of their size.
    assert_eq!(submit(7, text(330_000)).await, Acceptance::TooLarge);
    assert_eq!(submit(8, text(300_000)).await, Acceptance::Accepted);
    // As long as the largest text that one body can hold.
    assert_eq!(submit(9, text(262_144)).await, Acceptance::Accepted);
}
