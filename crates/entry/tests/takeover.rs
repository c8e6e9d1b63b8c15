//! Guards against a takeover that misses records of the previous owner.

#[path = "support/memory.rs"]
mod memory;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use memory::{Log, Process, configuration, queue, route, submitted, submitted_to, worker};
use rosemaryworks_entry::port::Stream;
use rosemaryworks_entry::{Lookup, Route};
use rosemaryworks_node::clock;
use rosemaryworks_workflow::{Id, Key, Outcome, Queue, Record, State, StepKey};

/// A job is accepted and completed while its shard is taken over. The previous owner continues
/// until its journal is fenced, which takes a second if answers of the log get lost. A successor
/// that had read the jobs before that started the job's tasks again (22 tasks in a run of
/// deploy/days/frozen-owner-slow-log.toml).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_completed_during_the_takeover_is_known_as_completed() {
    let log = Arc::new(Log::default());
    let step = StepKey {
        job: Id(7),
        occurrence: 0,
        step: 0,
    };
    *log.before_fence.lock().expect("the lock") = vec![
        (Stream::Jobs, submitted(Id(7))),
        (
            Stream::Progress,
            Record::Ended {
                key: Key { step, index: 0 },
                attempt: 1,
                how: Outcome::Done,
                checkpoint: None,
            },
        ),
    ];
    let process = Process::start_on(log).await;
    let deadline_ms = clock::now().0 + 2_000;
    let answer = process
        .node
        .job_state(&route(), Id(7), None, deadline_ms)
        .await;
    assert_eq!(answer, Lookup::State(State::Completed));
}

/// Guards against an owner that renews its claim and does nothing, because an unexpected error ended
/// one of its tasks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_shard_whose_owner_lost_a_task_is_taken_over() {
    let process = Process::start().await;
    process.log.panic_at_jobs.store(true, Ordering::Relaxed);
    for _ in 0..500 {
        if process.log.newest_claim_epoch() == 2 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(process.log.newest_claim_epoch(), 2);
    process.wait_for_shards(1).await;
}

/// Guards against two owners with the same epoch: a superseded owner that could write to the log and
/// not read it renewed its claim over that of its successor, and a process that started then claimed
/// the successor's epoch.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_claim_that_a_superseded_owner_renewed_over_counts() {
    let log = Arc::new(Log::default());
    log.put_renewal(1, 8);
    log.put_claim(2);
    log.put_renewal(1, 9);
    let process = Process::start_on(log).await;
    assert_eq!(process.log.newest_claim_epoch(), 3);
}

/// Guards against a revision that never reaches the new owner of a shard, because it comes into force
/// during the takeover: jobs of a route that it adds were accepted and never started.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_revision_that_comes_into_force_during_a_takeover_reaches_the_new_owner() {
    let log = Arc::new(Log::default());
    let added = Queue {
        name: "added".into(),
        ..queue()
    };
    let mut revision = configuration(2, &["pool"]);
    revision.routes.push(Route {
        anonymous: false,
        host: "host".into(),
        prefix: "/added/".into(),
        queue: Arc::new(added.clone()),
    });
    *log.config_at_fence.lock().expect("the lock") = Some(revision);
    *log.list.lock().expect("the lock") = (vec![worker("w", "pool")], Vec::new());
    log.workers.answering.store(true, Ordering::Relaxed);
    let process = Process::start_on(log).await;
    let job = submitted_to(&added.name, Id(9));
    process.log.put(Stream::Jobs, 0, &job);
    for _ in 0..300 {
        if !process
            .log
            .workers
            .started
            .lock()
            .expect("the lock")
            .is_empty()
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the job of the added route is not started");
}

/// Guards against a task that runs twice because its job was read late. The previous owner may have
/// started the job before it was fenced, on a worker that its successor can't reach. The successor
/// took every job that it read after the fence for a new one, also if a slow read returned it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_was_stored_before_the_fence_and_read_later_waits_for_silent_workers() {
    let log = Arc::new(Log::default());
    log.put_claim(1);
    let list = vec![worker("w0", "pool"), worker("w1", "pool")];
    *log.list.lock().expect("the lock") = (list, Vec::new());
    log.workers.answering.store(true, Ordering::Relaxed);
    log.workers
        .silent
        .lock()
        .expect("the lock")
        .insert("w0".into());
    let process = Process::start_on(log).await;
    // The read that is under way returns nothing, and the next one returns after the fence.
    process.log.put(Stream::Jobs, 0, &submitted(Id(7)));
    let started = || {
        let started = process.log.workers.started.lock().expect("the lock");
        started.clone()
    };
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    assert!(started().is_empty(), "started while w0 may run it");
    for _ in 0..500 {
        if !started().is_empty() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the job is not started after the lease of w0 has expired");
}
