//! Guards against a process that stores a job although the owner of its shard has refused it, and
//! against a refusal of a job that was accepted.

#[path = "support/memory.rs"]
mod memory;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use memory::{Log, Process, configuration, route, submitted, worker};
use rosemaryworks_core::size::Size;
use rosemaryworks_entry::access::Directory;
use rosemaryworks_entry::port::Stream;
use rosemaryworks_entry::{Acceptance, Config};
use rosemaryworks_node::clock;
use rosemaryworks_workflow::{Id, Spec, Step, Team};

/// Time for which the owner must have started work before it refuses any.
const OBSERVED: Duration = Duration::from_millis(3_000);

fn configuration_with_teams() -> Config {
    let team = Team {
        cap: Size::ZERO,
        name: "a".into(),
        weight: 1.0,
    };
    Config {
        teams: Some(Directory::new(vec![(team, vec!["key".into()])])),
        ..configuration(1, &["pool"])
    }
}

async fn submit(process: &Process, id: u64, tasks: u32) -> Acceptance {
    let step = Step {
        count: tasks,
        estimate_ms: 10_000,
        size: Size::new(1_000, 1_024),
        ..Step::default()
    };
    let spec = Spec {
        steps: vec![step],
        team: Some("a".into()),
        ..Spec::default()
    };
    let deadline_ms = clock::now().0 + 2_000;
    process
        .node
        .submit(&route(), Id(id), spec, deadline_ms)
        .await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_of_the_owner_is_passed_on_and_nothing_is_stored() {
    let log: Arc<Log> = Arc::default();
    log.workers.answering.store(true, Ordering::Relaxed);
    log.list.lock().expect("the lock").0 = vec![worker("w0", "pool")];
    *log.config.lock().expect("the lock") = Some(configuration_with_teams());
    let owner = Process::start_on(log).await;
    let peer = owner.start_peer("peer").await;
    assert_eq!(submit(&peer, 1, 10_000).await, Acceptance::Accepted);
    tokio::time::sleep(OBSERVED).await;
    let stored = owner.log.record_count(Stream::Jobs);
    for process in [&owner, &peer] {
        let outcome = submit(process, 2, 1).await;
        assert!(matches!(outcome, Acceptance::Busy { .. }), "{outcome:?}");
    }
    assert_eq!(owner.log.record_count(Stream::Jobs), stored);
    // The caller of a job that was accepted repeats the call.
    for process in [&owner, &peer] {
        assert_eq!(submit(process, 1, 10_000).await, Acceptance::Accepted);
    }
    assert_eq!(peer.metrics.busy.get(), 1);
    // A submission was stored without the owner, which has not read it yet: a refusal of the repeated
    // call would say that the job doesn't run.
    owner.log.put(Stream::Jobs, 0, &submitted(Id(3)));
    assert_eq!(submit(&peer, 3, 1).await, Acceptance::Accepted);
}
