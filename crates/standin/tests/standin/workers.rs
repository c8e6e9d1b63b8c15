//! Workers through the HTTP adapter: leases, tasks and injected failures.

use std::time::Duration;

use crate::common::{Standin, grant, task};
use rosemaryworks_core::placement::{Report, Result as TaskResult};
use rosemaryworks_core::shard::Epoch;
use rosemaryworks_history::Event;
use rosemaryworks_history::record::LeaseEnd;
use rosemaryworks_platform::workers::{Action, Control, Sync};
use rosemaryworks_platform::{Fault, Workers, http};
use serde_json::json;

async fn sync(standin: &Standin, epoch: u64) -> Result<Report, Fault> {
    let sync = Sync {
        epoch: Epoch(epoch),
        lease_ms: 300,
        acknowledge: Vec::new(),
    };
    let workers = http::Workers::new(standin.client.clone());
    let report = workers.sync(&standin.worker(), sync).await;
    report.map_err(|report| report.current_context().fault.clone())
}

async fn place(standin: &Standin, grant: rosemaryworks_platform::workers::Grant) -> Option<Fault> {
    let workers = http::Workers::new(standin.client.clone());
    let result = workers.place(&standin.worker(), grant).await;
    result
        .err()
        .map(|report| report.current_context().fault.clone())
}

#[ntex::test]
async fn results_are_reported_until_acknowledged() {
    // Guards against a lost result: the worker reports it until the owner acknowledges it.
    let standin = Standin::start("workers-run");
    assert_eq!(place(&standin, grant(5, 0, 50)).await, None);
    tokio::time::sleep(Duration::from_millis(150)).await;
    for _ in 0..2 {
        let report = sync(&standin, 5).await.unwrap();
        assert_eq!(report.finished[0].result, TaskResult::Succeeded);
    }
    let acknowledge = Sync {
        epoch: Epoch(5),
        lease_ms: 300,
        acknowledge: vec![(task(0), 1)],
    };
    let workers = http::Workers::new(standin.client.clone());
    let report = workers.sync(&standin.worker(), acknowledge).await.unwrap();
    assert_eq!(report, Report::default());
}

#[ntex::test]
async fn the_same_attempt_runs_once() {
    // Guards against a duplicate call that arrives late and runs the same attempt again.
    let standin = Standin::start("workers-once");
    assert_eq!(place(&standin, grant(5, 0, 50)).await, None);
    assert_eq!(place(&standin, grant(5, 0, 50)).await, None);
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert_eq!(place(&standin, grant(5, 0, 50)).await, None);
    let granted = |event: &Event| matches!(event, Event::LeaseGranted { .. });
    assert_eq!(
        standin
            .history()
            .iter()
            .filter(|event| granted(event))
            .count(),
        1
    );
}

#[ntex::test]
async fn older_epochs_and_oversized_tasks_are_rejected() {
    // Guards against calls of an owner that resumes after a takeover, and against placing more on a
    // VM than its capacity.
    let standin = Standin::start("workers-refuse");
    assert_eq!(place(&standin, grant(7, 0, 5_000)).await, None);
    assert_eq!(
        place(&standin, grant(6, 1, 50)).await,
        Some(Fault::Fenced { seen: 7 })
    );
    assert_eq!(
        sync(&standin, 6).await.unwrap_err(),
        Fault::Fenced { seen: 7 }
    );
    assert_eq!(place(&standin, grant(7, 1, 5_000)).await, None);
    let rejected = place(&standin, grant(7, 2, 50)).await;
    assert!(matches!(rejected, Some(Fault::Refused(_))), "{rejected:?}");
}

#[ntex::test]
async fn leases_lapse_unless_renewed() {
    // Guards against tasks that keep running after their owner has stopped renewing the lease.
    let standin = Standin::start("workers-lapse");
    assert_eq!(place(&standin, grant(5, 0, 60_000)).await, None);
    for _ in 0..4 {
        tokio::time::sleep(Duration::from_millis(150)).await;
        assert_eq!(sync(&standin, 5).await.unwrap().leases.len(), 1);
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    let report = sync(&standin, 5).await.unwrap();
    assert_eq!(report.finished[0].result, TaskResult::Lapsed);
}

#[ntex::test]
async fn checkpointed_tasks_continue() {
    // Guards against losing the progress of a checkpointed task that is placed again.
    let standin = Standin::start("workers-checkpoint");
    assert_eq!(place(&standin, grant(5, 0, 250)).await, None);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let control = Control {
        epoch: Epoch(5),
        task: task(0),
        attempt: 1,
        action: Action::Checkpoint,
    };
    let workers = http::Workers::new(standin.client.clone());
    workers.control(&standin.worker(), control).await.unwrap();
    let report = sync(&standin, 5).await.unwrap();
    assert!(report.leases[0].checkpointed);
    let mut again = grant(5, 0, 250);
    again.attempt = 2;
    assert_eq!(place(&standin, again).await, None);
    tokio::time::sleep(Duration::from_millis(150)).await;
    let report = sync(&standin, 5).await.unwrap();
    assert_eq!(report.finished[0].result, TaskResult::Succeeded);
}

#[ntex::test]
async fn tasks_fail_and_workers_crash_by_injection() {
    // Guards against fault injection without an effect.
    let standin = Standin::start("workers-faults");
    standin
        .inject(json!({"fault": "worker-fails", "target": "cpu-0", "fails": true}))
        .await;
    assert_eq!(place(&standin, grant(5, 0, 200)).await, None);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let report = sync(&standin, 5).await.unwrap();
    assert_eq!(report.finished[0].result, TaskResult::Failed);
    standin
        .inject(json!({"fault": "worker-fails", "target": "cpu-0", "fails": false}))
        .await;
    assert_eq!(place(&standin, grant(5, 1, 60_000)).await, None);
    standin
        .inject(json!({"fault": "workers-died", "targets": ["cpu-rack-0"]}))
        .await;
    assert!(matches!(sync(&standin, 5).await, Err(Fault::Uncertain(_))));
    let lost = |event: &Event| {
        matches!(
            event,
            Event::LeaseEnded {
                end: LeaseEnd::VmLost,
                ..
            }
        )
    };
    assert!(standin.history().iter().any(lost));
}
