//! Guards against accepted jobs that are reported as unknown.

#[path = "support/memory.rs"]
mod memory;

use memory::{Process, route, submitted};
use rosemaryworks_entry::Lookup;
use rosemaryworks_entry::port::Stream;
use rosemaryworks_node::clock;
use rosemaryworks_workflow::{Id, State};

/// Another process may have stored a job that the owner reads up to 0.25 s later. Found by seed 101
/// of the soak test: a caller got the answer that its accepted job doesn't exist.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_was_just_stored_is_known() {
    let process = Process::start().await;
    process.log.put(Stream::Jobs, 0, &submitted(Id(7)));
    let deadline_ms = clock::now().0 + 2_000;
    let answer = process
        .node
        .job_state(&route(), Id(7), None, deadline_ms)
        .await;
    assert_eq!(answer, Lookup::State(State::Pending));
    let answer = process
        .node
        .job_state(&route(), Id(8), None, deadline_ms)
        .await;
    assert_eq!(answer, Lookup::NoSuchJob);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_job_is_reported_as_unknown_while_the_log_is_down() {
    let process = Process::start().await;
    process
        .log
        .down
        .store(true, std::sync::atomic::Ordering::Relaxed);
    let deadline_ms = clock::now().0 + 300;
    let answer = process
        .node
        .job_state(&route(), Id(8), None, deadline_ms)
        .await;
    assert_eq!(answer, Lookup::Unavailable);
}
