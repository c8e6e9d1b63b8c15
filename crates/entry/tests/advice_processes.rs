//! Guards against a VM with several calls at the advice service, which serves one at a time, and
//! against jobs that wait for a VM whose calls get no answer.

#[path = "support/memory.rs"]
mod memory;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use memory::{Log, Process, queue, route_to, worker};
use rosemaryworks_entry::Acceptance;
use rosemaryworks_node::clock;
use rosemaryworks_workflow::{AdviceTerms, Id, Queue, Spec, Step};

const WORKERS: usize = 40;

/// Expected time of a call in milliseconds, more than that of a short one.
const CALL_MS: u64 = 80;

/// Starts an owner and three further VMs.
async fn start() -> (Process, Vec<Process>) {
    let log: Arc<Log> = Arc::default();
    log.workers.answering.store(true, Ordering::Relaxed);
    *log.advice.call_ms.lock().expect("the lock") = Some(CALL_MS);
    let workers = (0..WORKERS).map(|index| worker(&format!("w{index:02}"), "pool"));
    log.list.lock().expect("the lock").0 = workers.collect();
    let mut config = memory::configuration(1, &["pool"]);
    config.routes[0].queue = Arc::new(advised_queue());
    *log.config.lock().expect("the lock") = Some(config);
    let owner = Process::start_on(log).await;
    let mut peers = Vec::new();
    for name in ["p1", "p2", "p3"] {
        peers.push(owner.start_peer(name).await);
    }
    (owner, peers)
}

fn advised_queue() -> Queue {
    Queue {
        advice: Some(AdviceTerms {
            call_ms: CALL_MS as f64 - 5.0,
            worker_ms: 0.3,
            validity_ms: 2_000,
        }),
        ..queue()
    }
}

async fn submit(owner: &Process, jobs: std::ops::Range<u64>) {
    let route = route_to(advised_queue());
    for id in jobs {
        let spec = Spec {
            steps: vec![Step {
                count: 1,
                ..Step::default()
            }],
            ..Spec::default()
        };
        let deadline_ms = clock::now().0 + 2_000;
        let submitted = owner.node.submit(&route, Id(id), spec, deadline_ms);
        assert_eq!(submitted.await, Acceptance::Accepted);
    }
}

/// Waits until `count` tasks were started.
async fn wait_for_starts(owner: &Process, count: usize) {
    for _ in 0..1_000 {
        if owner.log.workers.started.lock().expect("the lock").len() >= count {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let started = owner.log.workers.started.lock().expect("the lock").len();
    panic!("{started} of {count} tasks were started");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_vm_has_one_call_at_the_service() {
    let (owner, _peers) = start().await;
    submit(&owner, 1..31).await;
    wait_for_starts(&owner, 30).await;
    let calls = owner.log.advice.calls.lock().expect("the lock");
    assert_eq!(calls.most_under_way, 1);
    // One of four is reserved for short requests.
    assert_eq!(calls.received.len(), 3, "{:?}", calls.received);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_start_although_the_calls_of_a_vm_get_no_answer() {
    let (owner, _peers) = start().await;
    let silent = owner
        .log
        .advice
        .silent
        .lock()
        .expect("the lock")
        .insert("p2".into());
    assert!(silent);
    submit(&owner, 1..31).await;
    wait_for_starts(&owner, 30).await;
    let calls = owner.log.advice.calls.lock().expect("the lock");
    assert_eq!(calls.received.get("p2"), Some(&1), "{:?}", calls.received);
    assert_eq!(calls.most_under_way, 1);
}
