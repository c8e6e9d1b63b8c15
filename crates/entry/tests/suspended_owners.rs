//! Guards against owners that are suspended without need, or take the answer of a process that knows
//! nothing for a proof.

#[path = "support/memory.rs"]
mod memory;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use memory::{Log, Process, submitted, worker};
use rosemaryworks_entry::port::Stream;
use rosemaryworks_wire::link::{Client, Handler, Peer, Reply, serve};
use rosemaryworks_wire::workflow::Message as Workflow;
use rosemaryworks_wire::{Hello, Message, Role};
use rosemaryworks_workflow::Id;

fn log() -> Arc<Log> {
    let log = Arc::new(Log::default());
    *log.list.lock().expect("the lock") = (vec![worker("w", "pool")], Vec::new());
    log.workers.answering.store(true, Ordering::Relaxed);
    log.put(Stream::Jobs, 0, &submitted(Id(1)));
    log
}

/// Handles no call.
struct Silent;

impl Handler for Silent {
    fn call(&self, _: &Peer, _: Message) -> Reply {
        Box::pin(std::future::pending())
    }

    fn notice(&self, _: &Peer, _: Message) {}

    fn opened(&self, _: &Peer) {}

    fn closed(&self, _: &Peer) {}
}

fn hello(node: &str) -> Hello {
    Hello {
        node: node.into(),
        role: Role::Entry,
        zone: "z".into(),
        incarnation: 3,
    }
}

/// Returns the longest time without a command from a process within a period.
async fn longest_gap(process: &Process, node: &str, period: Duration) -> Duration {
    let began = tokio::time::Instant::now();
    let mut longest = Duration::ZERO;
    let mut last = (began, process.sent_by(node));
    while began.elapsed() < period {
        tokio::time::sleep(Duration::from_millis(5)).await;
        let sent = process.sent_by(node);
        if sent != last.1 {
            last = (tokio::time::Instant::now(), sent);
        }
        longest = longest.max(last.0.elapsed());
    }
    longest
}

/// The log refused an owner's reads of the claims and took its appends. The owner was suspended and
/// renewed its claim, so that no other process took the shard over either.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_shard_whose_owner_cannot_read_the_claims_is_served() {
    let process = Process::start_on(log()).await;
    let _peer = process.start_peer("peer").await;
    process.door.claims_closed.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(6)).await;
    let sent = process.sent_by("n") + process.sent_by("peer");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let after = process.sent_by("n") + process.sent_by("peer");
    assert!(after > sent, "no process commands the workers");
}

/// One answer to a read of the claims was lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_that_misses_one_answer_of_the_log_commands_workers() {
    let process = Process::start_on(log()).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    process.door.lose_claims_read.store(true, Ordering::Relaxed);
    let gap = longest_gap(&process, "n", Duration::from_secs(3)).await;
    assert!(gap < Duration::from_millis(150), "no command for {gap:?}");
}

/// In an outage for all processes one link of a peer was silent, and its other one worked.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_whose_peer_answers_on_one_of_its_links_commands_workers() {
    let mut address = None;
    let process = Process::launch(log(), |settings| address = Some(settings.peer_listen)).await;
    process.wait_for_shards(1).await;
    let _peer = process.start_peer("peer").await;
    let address = address.expect("an address");
    let _silent = Client::start("n".into(), address, hello("peer"), Arc::new(Silent));
    tokio::time::sleep(memory::LINK_OPEN).await;
    process.log.down.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let gap = longest_gap(&process, "n", Duration::from_secs(4)).await;
    assert!(gap < Duration::from_millis(300), "no command for {gap:?}");
}

/// In an outage for all processes the log gave no answer at all.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_commands_workers_while_the_log_is_silent_for_all_processes() {
    let process = Process::start_on(log()).await;
    let peer = process.start_peer("peer").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    process.door.silent.store(true, Ordering::Relaxed);
    peer.door.silent.store(true, Ordering::Relaxed);
    let gap = longest_gap(&process, "n", Duration::from_secs(3)).await;
    assert!(gap < Duration::from_millis(300), "no command for {gap:?}");
}

/// A process that has not read the claims since its start doesn't know what it, or another one, had
/// claimed before. Its answer was a proof for an owner that had been superseded.
#[tokio::test]
async fn a_process_that_has_not_read_the_claims_proves_nothing() {
    let log = Arc::new(Log::default());
    log.put_claim(2);
    let mut address = None;
    let process = Process::launch(log, |settings| address = Some(settings.peer_listen)).await;
    // Its tasks have not run yet.
    process.door.closed.store(true, Ordering::Relaxed);
    let address = address.expect("an address");
    let client = Client::start("n".into(), address, hello("owner"), Arc::new(Silent));
    tokio::time::sleep(memory::LINK_OPEN).await;
    let question = Workflow::AskOwnership {
        owned: vec![(0, 1)],
        seeks_candidate: false,
    };
    let call = client.call(Message::Workflow(question), Duration::from_secs(2));
    let answer = call.await;
    let vouches = Workflow::Ownership {
        superseded: Some(Vec::new()),
        candidate: false,
    };
    assert_ne!(answer, Ok(Message::Workflow(vouches)));
}

/// A process that lost power was succeeded while the link to it was still open. The successor closed
/// the link itself, counted it as open for ever, and took every later outage of the log for a cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_process_whose_link_was_closed_long_ago_does_not_count() {
    let log = log();
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    log.put_renewal_at(1, 1, address);
    let other = tokio::spawn(serve(listener, hello("other"), Arc::new(Silent)));
    let process = Process::start_on(log).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    other.abort();
    tokio::time::sleep(Duration::from_secs(20)).await;
    process.log.down.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(process.metrics.shards.get(), 1, "stepped down");
    let gap = longest_gap(&process, "n", Duration::from_secs(2)).await;
    assert!(gap < Duration::from_millis(300), "no command for {gap:?}");
}
