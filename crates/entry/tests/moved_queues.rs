//! Guards against jobs that are forgotten or run twice after a configuration has sent their address to
//! another pool (review/11).

#[path = "support/memory.rs"]
mod memory;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use memory::{Log, Process, configuration, queue, route, route_to, submitted, worker};
use rosemaryworks_entry::config::shard;
use rosemaryworks_entry::port::Stream;
use rosemaryworks_entry::{Acceptance, Config, Lookup, Route, Settings};
use rosemaryworks_node::clock;
use rosemaryworks_workflow::{Id, Queue, Record, Spec, State, Step};

const SHARDS: u32 = 2;

/// Time within which a published version is in force, a job is started and a record is forwarded.
const SETTLED: Duration = Duration::from_millis(1_500);

/// Returns a pool that belongs to another shard than the one of [`queue`].
fn other_pool() -> Arc<str> {
    let names = (0..).map(|number| format!("pool-{number}"));
    let mut others = names.filter(|name| shard(name, SHARDS) != shard("pool", SHARDS));
    others.next().expect("a pool of the other shard").into()
}

/// Returns the same address under another name, sent to the other pool.
fn moved_route() -> Route {
    route_to(Queue {
        name: "renamed".into(),
        pool: other_pool(),
        ..queue()
    })
}

fn config(version: u64, route: Route) -> Config {
    let pools = ["pool", &other_pool()];
    Config {
        routes: vec![route],
        ..configuration(version, &pools)
    }
}

fn publish(log: &Log, version: u64, route: Route) {
    *log.config.lock().expect("the lock") = Some(config(version, route));
}

fn log() -> Arc<Log> {
    let log: Arc<Log> = Arc::default();
    log.workers.answering.store(true, Ordering::Relaxed);
    log.workers.reporting.store(true, Ordering::Relaxed);
    log.list.lock().expect("the lock").0 = vec![worker("a", "pool"), worker("b", &other_pool())];
    publish(&log, 1, route());
    log
}

async fn launch(log: &Arc<Log>, name: &str) -> Process {
    let change = |settings: &mut Settings| {
        settings.node = name.into();
        settings.shards = SHARDS;
    };
    Process::launch(log.clone(), change).await
}

/// Starts a process that owns both shards.
async fn start(log: &Arc<Log>) -> Process {
    let process = launch(log, "owner").await;
    process.wait_for_shards(2).await;
    tokio::time::sleep(SETTLED).await;
    process
}

fn spec() -> Spec {
    let step = Step {
        count: 1,
        ..Step::default()
    };
    Spec {
        steps: vec![step],
        ..Spec::default()
    }
}

fn deadline_ms() -> u64 {
    clock::now().0 + 2_000
}

async fn submit(process: &Process, route: &Route, id: u64) -> Acceptance {
    let node = process.node.clone();
    node.submit(route, Id(id), spec(), deadline_ms()).await
}

async fn state(process: &Process, route: &Route, id: u64) -> Lookup {
    let node = process.node.clone();
    node.job_state(route, Id(id), None, deadline_ms()).await
}

/// Returns the workers on which tasks of a job were started.
fn starts(log: &Log, id: u64) -> Vec<String> {
    let workers = log.workers.started.lock().expect("the lock");
    let tasks = log.workers.started_tasks.lock().expect("the lock");
    let started = workers.iter().zip(tasks.iter());
    let of_job = started.filter(|(_, key)| key.step.job == Id(id));
    of_job.map(|(worker, _)| worker.to_string()).collect()
}

/// Starts a process, lets a job run and moves its address.
async fn start_and_move(log: &Arc<Log>) -> Process {
    let process = start(log).await;
    assert_eq!(submit(&process, &route(), 7).await, Acceptance::Accepted);
    tokio::time::sleep(SETTLED).await;
    assert_eq!(starts(log, 7), ["a"]);
    publish(log, 3, moved_route());
    tokio::time::sleep(SETTLED).await;
    process
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeated_submission_remains_one_job_after_its_address_has_moved() {
    let log = log();
    let process = start_and_move(&log).await;
    let moved = moved_route();
    assert_eq!(
        state(&process, &moved, 7).await,
        Lookup::State(State::Running)
    );
    assert_eq!(submit(&process, &moved, 7).await, Acceptance::Accepted);
    assert_eq!(submit(&process, &moved, 8).await, Acceptance::Accepted);
    tokio::time::sleep(SETTLED).await;
    assert_eq!(starts(&log, 7), ["a"]);
    assert_eq!(starts(&log, 8), ["b"]);
    assert_eq!(state(&process, &moved, 9).await, Lookup::NoSuchJob);
}

/// A process that starts after the move has never seen the earlier configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_process_that_starts_after_the_move_finds_and_cancels_earlier_jobs() {
    let log = log();
    let owner = start_and_move(&log).await;
    let moved = moved_route();
    let peer = launch(&log, "peer").await;
    tokio::time::sleep(SETTLED).await;
    assert_eq!(state(&peer, &moved, 7).await, Lookup::State(State::Running));
    assert_eq!(submit(&peer, &moved, 7).await, Acceptance::Accepted);
    let length = peer.node.queue_length(&moved, deadline_ms()).await;
    assert_eq!(length, Some(0));
    let cancelled = peer.node.cancel(&moved, Id(7), None, deadline_ms());
    assert_eq!(cancelled.await, Acceptance::Accepted);
    tokio::time::sleep(SETTLED).await;
    assert_eq!(
        state(&owner, &moved, 7).await,
        Lookup::State(State::Cancelled)
    );
    assert_eq!(starts(&log, 7), ["a"]);
}

/// A process that learns of the change late stores jobs in the former shard.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_that_are_stored_in_the_former_shard_later_are_forwarded_once() {
    let log = log();
    let process = start_and_move(&log).await;
    let moved = moved_route();
    // Closes the former shard to the address.
    assert_eq!(submit(&process, &moved, 8).await, Acceptance::Accepted);
    let mut late = submitted(Id(9));
    if let Record::Submitted { spec, .. } = &mut late {
        Arc::make_mut(spec).address = route().address();
    }
    let former = shard("pool", SHARDS);
    log.put(Stream::Jobs, former, &late);
    log.put(Stream::Jobs, former, &late);
    assert_eq!(submit(&process, &moved, 9).await, Acceptance::Accepted);
    tokio::time::sleep(SETTLED).await;
    assert_eq!(starts(&log, 9), ["b"]);
    assert_eq!(process.metrics.forwarded.get(), 1);
    let id = Id(8);
    log.put(Stream::Jobs, former, &Record::Cancelled { id, team: None });
    tokio::time::sleep(SETTLED).await;
    assert_eq!(
        state(&process, &moved, 8).await,
        Lookup::State(State::Cancelled)
    );
}

/// The address returns to its first shard, which takes new jobs again and knows those of before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_address_that_returns_keeps_the_jobs_of_both_shards() {
    let log = log();
    let process = start_and_move(&log).await;
    assert_eq!(
        submit(&process, &moved_route(), 8).await,
        Acceptance::Accepted
    );
    publish(&log, 5, route());
    tokio::time::sleep(SETTLED).await;
    for id in [7, 8, 9] {
        assert_eq!(submit(&process, &route(), id).await, Acceptance::Accepted);
    }
    tokio::time::sleep(SETTLED).await;
    assert_eq!(starts(&log, 7), ["a"]);
    assert_eq!(starts(&log, 8), ["b"]);
    assert_eq!(starts(&log, 9), ["a"]);
}

/// Without the former shard it can't be told whether a job is new.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_job_is_accepted_twice_while_the_former_shard_has_no_owner() {
    let log = log();
    let owner = start_and_move(&log).await;
    let moved = moved_route();
    let peer = launch(&log, "peer").await;
    tokio::time::sleep(SETTLED).await;
    owner.door.silent.store(true, Ordering::Relaxed);
    let outcome = submit(&peer, &moved, 7).await;
    assert!(
        matches!(outcome, Acceptance::Accepted | Acceptance::Unknown),
        "{outcome:?}"
    );
    tokio::time::sleep(SETTLED * 4).await;
    assert_eq!(submit(&peer, &moved, 7).await, Acceptance::Accepted);
    tokio::time::sleep(SETTLED).await;
    assert!(!starts(&log, 7).contains(&"b".into()));
}
