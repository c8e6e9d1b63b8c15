//! Guards against an owner whose CPU limits the starts of its whole pool while other VMs are idle
//! (jobs were late on a pool of 792 workers), and against relays that make matters worse.

#[path = "support/memory.rs"]
mod memory;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use memory::{LINK_OPEN, Log, Process, route, worker};
use rosemaryworks_entry::Acceptance;
use rosemaryworks_node::clock;
use rosemaryworks_workflow::{Id, Spec, Step};

const WORKERS: usize = 100;

/// Workers that the owner of these tests calls itself at most.
const OWN_WORKERS: u32 = 60;

/// Time within which an owner uses or replaces relays.
const ASSIGNED: Duration = Duration::from_millis(500);

/// Starts an owner of a pool that is too large for its VM.
async fn start_owner() -> Process {
    let log: Arc<Log> = Arc::default();
    log.workers.answering.store(true, Ordering::Relaxed);
    let workers = (0..WORKERS).map(|index| worker(&format!("w{index}"), "pool"));
    log.list.lock().expect("the lock").0 = workers.collect();
    let owner = Process::launch(log, |settings| settings.own_workers = Some(OWN_WORKERS)).await;
    owner.wait_for_shards(1).await;
    owner
}

/// Starts as many processes that link to the owner as it uses.
async fn start_relays(log: Arc<Log>) -> [Process; 2] {
    let first = start_relay(log.clone(), "relay").await;
    [first, start_relay(log, "relay-2").await]
}

/// Starts a process that links to the owner.
async fn start_relay(log: Arc<Log>, name: &str) -> Process {
    let relay = Process::launch(log, |settings| settings.node = name.into()).await;
    tokio::time::sleep(LINK_OPEN + ASSIGNED).await;
    relay
}

/// Submits a job and waits until its tasks were started.
async fn run_job(owner: &Process, id: u64, tasks: u32) {
    let before = owner.log.workers.started.lock().expect("the lock").len();
    let step = Step {
        count: tasks,
        ..Step::default()
    };
    let spec = Spec {
        steps: vec![step],
        ..Spec::default()
    };
    let deadline_ms = clock::now().0 + 2_000;
    let route = route();
    let submitted = owner.node.submit(&route, Id(id), spec, deadline_ms);
    assert_eq!(submitted.await, Acceptance::Accepted);
    for _ in 0..300 {
        let started = owner.log.workers.started.lock().expect("the lock").len();
        if started - before >= tasks as usize {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("job {id} was not started");
}

/// The owner of 792 workers, on a VM of half a core, sent every command itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn commands_of_a_pool_too_large_for_its_owner_are_sent_by_other_vms() {
    let owner = start_owner().await;
    let _relays = start_relays(owner.log.clone()).await;
    let before = owner.sent_by("n");
    run_job(&owner, 1, 40).await;
    assert_eq!(owner.sent_by("n") - before, 0, "the owner sent commands");
    assert!(owner.sent_by("relay") + owner.sent_by("relay-2") >= 40);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_without_relays_sends_its_commands_itself() {
    let owner = start_owner().await;
    run_job(&owner, 1, 40).await;
    assert!(owner.sent_by("n") >= 40);
}

/// A relay that stops must not carry out commands that it could not report.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_relay_that_stops_sends_no_more_commands() {
    let owner = start_owner().await;
    let relay = start_relay(owner.log.clone(), "relay").await;
    run_job(&owner, 1, 5).await;
    relay.node.stop(Duration::from_millis(100)).await;
    tokio::time::sleep(ASSIGNED).await;
    let before = owner.sent_by("relay");
    run_job(&owner, 2, 40).await;
    assert_eq!(owner.sent_by("relay") - before, 0, "the relay is stopping");
    assert_eq!(owner.metrics.start_faults.get(), 0);
}

/// The silence of a relay is not that of the workers behind it: their leases are renewed and nothing
/// counts as lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_relay_that_ends_is_not_taken_for_silent_workers() {
    let owner = start_owner().await;
    let relays = tokio::runtime::Runtime::new().expect("a runtime");
    let started = relays.spawn(start_relays(owner.log.clone()));
    let _processes = started.await.expect("the relays start");
    let before = owner.sent_by("n");
    run_job(&owner, 1, 5).await;
    assert_eq!(owner.sent_by("n"), before, "the owner sent commands");
    relays.shutdown_background();
    run_job(&owner, 2, 40).await;
    assert_eq!(owner.metrics.start_faults.get(), 0);
}

/// A relay that was frozen for seconds must not send what arrived meanwhile: the owner has placed the
/// tasks again by then, or has been superseded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_relay_that_was_frozen_sends_nothing_that_arrived_meanwhile() {
    let owner = start_owner().await;
    let relays = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime");
    let relay = relays.spawn(start_relay(owner.log.clone(), "relay"));
    let _relay = relay.await.expect("the relay starts");
    let before = owner.sent_by("relay");
    let frozen = Duration::from_millis(1_500);
    relays.spawn(async move { std::thread::sleep(frozen) });
    tokio::time::sleep(Duration::from_millis(50)).await;
    run_job(&owner, 1, 40).await;
    tokio::time::sleep(frozen).await;
    assert_eq!(owner.sent_by("relay"), before, "sent after the freeze");
    relays.shutdown_background();
}
