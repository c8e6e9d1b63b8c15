//! Guards against tasks that run twice because an owner commands workers although it can't know
//! whether another process has claimed its shard.

#[path = "support/memory.rs"]
mod memory;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use memory::{Log, Process, submitted, worker};
use rosemaryworks_entry::claim::EXPIRY_MS;
use rosemaryworks_entry::permission::{Permission, VALID_MS};
use rosemaryworks_entry::port::Stream;
use rosemaryworks_workflow::{Id, Shard};

/// Time after a takeover from which the successor counts on it that earlier owners command no worker.
const FENCED: Duration = Duration::from_millis(Shard::PREDECESSOR_FENCED_MS);

/// Time for which no command may follow.
const OBSERVED: Duration = Duration::from_millis(2_000);

/// Returns a log with a worker that answers.
fn log() -> Arc<Log> {
    let log = Arc::new(Log::default());
    *log.list.lock().expect("the lock") = (vec![worker("w", "pool")], Vec::new());
    log.workers.answering.store(true, Ordering::Relaxed);
    log
}

/// Submits a job whose task never ends, and waits until its owner sends commands.
async fn keep_busy(process: &Process) {
    process.log.put(Stream::Jobs, 0, &submitted(Id(1)));
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
    panic!("the job is not started");
}

/// A zone was cut off with the owner and one of its peers in it. The peer answered that it can't take
/// the shard over either, which the owner took for an outage of the log for all processes. It
/// commanded workers for as long as the cut lasted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_that_is_cut_off_together_with_a_peer_commands_no_worker() {
    let process = Process::start_on(log()).await;
    let inside = process.start_peer("inside").await;
    let outside = tokio::runtime::Runtime::new().expect("a runtime");
    let log = process.log.clone();
    let peer = outside.spawn(async move {
        let peer = Process::launch(log, |settings| settings.node = "outside".into()).await;
        tokio::time::sleep(memory::LINK_OPEN).await;
        peer
    });
    let _peer = peer.await.expect("the peer starts");
    keep_busy(&process).await;
    process.door.closed.store(true, Ordering::Relaxed);
    inside.door.closed.store(true, Ordering::Relaxed);
    // Its connections are closed.
    outside.shutdown_background();
    process.log.put_claim(2);
    tokio::time::sleep(FENCED).await;
    let sent = process.sent_by("n");
    tokio::time::sleep(OBSERVED).await;
    assert_eq!(process.sent_by("n"), sent, "commands of a superseded owner");
}

/// The owner was paused, and its shard claimed meanwhile. It renewed its claim before it read the
/// claims, then found its renewal as the newest claim and took itself for the owner.
#[tokio::test]
async fn an_owner_that_was_paused_commands_no_worker_before_it_has_read_the_claims() {
    let process = Process::start_on(log()).await;
    keep_busy(&process).await;
    process
        .log
        .claims_read_ms
        .store(OBSERVED.as_millis() as u64, Ordering::Relaxed);
    // A read that began before the pause returns nothing of what follows.
    tokio::time::sleep(Duration::from_millis(400)).await;
    process.log.put_claim(2);
    // The runtime has one thread, so the whole process stands still.
    std::thread::sleep(2 * FENCED);
    let sent = process.sent_by("n");
    tokio::time::sleep(FENCED).await;
    assert_eq!(process.sent_by("n"), sent, "commands of a superseded owner");
}

/// Guards against the opposite: in an outage of the log for all processes no successor exists, and
/// the owner commands workers throughout.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_commands_workers_in_an_outage_for_all_processes() {
    let process = Process::start_on(log()).await;
    let _peer = process.start_peer("peer").await;
    keep_busy(&process).await;
    process.log.down.store(true, Ordering::Relaxed);
    tokio::time::sleep(2 * FENCED).await;
    for _ in 0..4 {
        let sent = process.sent_by("n");
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(process.sent_by("n") > sent, "no command for 500 ms");
    }
}

/// An owner waited for processes that had ended as planned: they opened their links to it only after
/// they had announced their end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_does_not_wait_for_processes_that_ended_before_it_took_over() {
    let others = tokio::runtime::Runtime::new().expect("a runtime");
    let started = others.spawn(async {
        let process = Process::start_on(log()).await;
        let earlier = process.start_peer("earlier").await;
        (process, earlier)
    });
    let (process, earlier) = started.await.expect("the processes start");
    let successor = process.start_peer("successor").await;
    keep_busy(&process).await;
    earlier.node.stop(FENCED).await;
    process.node.stop(FENCED).await;
    successor.wait_for_shards(1).await;
    tokio::time::sleep(memory::LINK_OPEN).await;
    others.shutdown_background();
    successor.log.down.store(true, Ordering::Relaxed);
    tokio::time::sleep(2 * FENCED).await;
    for _ in 0..4 {
        let sent = successor.sent_by("successor");
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(
            successor.sent_by("successor") > sent,
            "no command for 500 ms"
        );
    }
}

/// The limits of a permission, counted from the question that proved it.
#[test]
fn a_permission_expires_unless_it_is_proven_again() {
    let permission = Permission::default();
    assert!(!permission.is_valid(0), "valid without a proof");
    permission.prove(10_000);
    assert!(permission.is_valid(10_000 + VALID_MS - 1));
    assert!(!permission.is_valid(10_000 + VALID_MS));
    permission.prove(9_000);
    assert_eq!(permission.proven_ms(), Some(10_000), "an older proof");
    permission.prove(11_500);
    assert!(permission.is_valid(11_500 + VALID_MS - 1));
}

/// Guards against owners that are suspended without need: reads of the claims are slow, as for an owner
/// short of CPU, or one partition of the log doesn't answer. No other process has claimed the shard,
/// which its peers can tell.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_whose_reads_of_the_claims_are_slow_commands_workers() {
    let process = Process::start_on(log()).await;
    let _peer = process.start_peer("peer").await;
    keep_busy(&process).await;
    process.log.claims_read_ms.store(20_000, Ordering::Relaxed);
    tokio::time::sleep(2 * FENCED).await;
    for _ in 0..4 {
        let sent = process.sent_by("n");
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(process.sent_by("n") > sent, "no command for 500 ms");
    }
}

/// Guards against a shard whose owner does nothing and keeps it: it can write its claim and read none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_suspended_owner_lets_its_claim_expire() {
    let process = Process::start_on(log()).await;
    process.log.claims_read_ms.store(20_000, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(VALID_MS + EXPIRY_MS + 500)).await;
    let renewals = process.log.claim_count();
    tokio::time::sleep(Duration::from_millis(EXPIRY_MS)).await;
    assert_eq!(process.log.claim_count(), renewals, "renewed");
}

/// A zone was cut off with the owner and one of its peers in it, and the log answered some calls of the
/// owner during the cut, none of them a read of the claims. The owner then asked only for processes
/// that had a link shortly before that answer, and found none outside the cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_of_the_log_that_shows_no_claims_does_not_end_a_cut() {
    let process = Process::start_on(log()).await;
    let inside = process.start_peer("inside").await;
    let outside = tokio::runtime::Runtime::new().expect("a runtime");
    let log = process.log.clone();
    let peer = outside.spawn(async move {
        let peer = Process::launch(log, |settings| settings.node = "outside".into()).await;
        tokio::time::sleep(memory::LINK_OPEN).await;
        peer
    });
    let _peer = peer.await.expect("the peer starts");
    keep_busy(&process).await;
    process.door.claims_closed.store(true, Ordering::Relaxed);
    process.door.closed.store(true, Ordering::Relaxed);
    inside.door.closed.store(true, Ordering::Relaxed);
    // Its connections are closed.
    outside.shutdown_background();
    process.log.put_claim(2);
    tokio::time::sleep(Duration::from_secs(11)).await;
    let sent = process.sent_by("n");
    process.door.closed.store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(600)).await;
    process.door.closed.store(true, Ordering::Relaxed);
    tokio::time::sleep(2 * OBSERVED).await;
    assert_eq!(process.sent_by("n"), sent, "commands of a superseded owner");
}
