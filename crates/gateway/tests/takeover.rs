//! Shard takeover: surveys of new owners, and finish reports for grants of earlier epochs.

#[path = "support/running.rs"]
mod support;

use std::time::Duration;

use rosemaryworks_core::outcome::Finish;
use rosemaryworks_core::routing::Outstanding;
use rosemaryworks_core::shard::Epoch;
use rosemaryworks_wire::{Message, Snapshot};
use support::fakes::{FakeScheduler, MemoryLog, cell, publish_record, reply};
use support::{Behavior, Running, eventually, grant_all, granted, shard};

async fn survey(gateway: &Running, epoch: u64) -> Vec<Outstanding> {
    let call = Message::Survey {
        shard: shard(),
        epoch: Epoch(epoch),
    };
    let peer = gateway.scheduler.peer().await;
    match peer.call(call, Duration::from_secs(2)).await {
        Ok(Message::Outstanding(outstanding)) => outstanding,
        other => panic!("unexpected reply: {other:?}"),
    }
}

/// Guards against a new owner that counts the slot of a running request as free, and against a slot
/// that stays occupied at the new owner because the finish is reported only to the old one.
#[tokio::test]
async fn a_running_request_is_reported_to_the_new_owner() {
    let gateway = Running::start().await;
    gateway.instances.script(&[Behavior::Slow(500)]);
    let answered = async { gateway.outcome("r-1", &[]).await };
    let takeover = async {
        eventually(|| gateway.instances.received().len() == 1).await;
        survey(&gateway, 2).await
    };
    let (outcome, outstanding) = tokio::join!(answered, takeover);
    assert_eq!(outcome.0, 200);
    let key = gateway.slot_requests()[0].key.clone();
    assert_eq!(outstanding.len(), 1);
    assert_eq!(
        (&outstanding[0].key, outstanding[0].idempotent),
        (&key, false)
    );
    assert_eq!(&*outstanding[0].request.id, "r-1");
    let expected = Message::OutstandingFinished {
        shard: shard(),
        key,
        finish: Finish::Answered,
    };
    eventually(|| gateway.scheduler.calls().contains(&expected)).await;
    eventually(|| gateway.gateway.unacknowledged_reports() == 0).await;
    assert!(survey(&gateway, 3).await.is_empty());
}

/// Guards against a slot request that is withdrawn when its peer becomes the owner: the first
/// request to a new cell ended as `unknown`, because the owner had already recorded its id.
#[tokio::test]
async fn a_slot_request_continues_when_its_peer_becomes_the_owner() {
    let log = MemoryLog::default();
    log.push("contracts", &publish_record());
    let gateway = Running::start_with(log, |_| {}).await;
    gateway.scheduler.answer(|_| {
        Box::pin(async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            granted(1, 1, 0)
        })
    });
    eventually(|| gateway.gateway.are_contracts_loaded()).await;
    let answered = async { gateway.outcome("r-1", &[]).await };
    let announcement = async {
        eventually(|| !gateway.slot_requests().is_empty()).await;
        gateway.announce_owner(1, Some("scheduler-1")).await;
    };
    let (outcome, ()) = tokio::join!(answered, announcement);
    assert_eq!(outcome.0, 200, "{outcome:?}");
    assert_eq!(gateway.slot_requests().len(), 1);
    assert!(gateway.withdrawn_keys().is_empty());
}

/// Guards against the use of a grant of an earlier epoch after a survey of its shard: the new owner
/// may have granted the slot to another request.
#[tokio::test]
async fn a_grant_from_before_a_survey_is_not_used() {
    let gateway = Running::start().await;
    assert!(survey(&gateway, 5).await.is_empty());
    gateway.scheduler.answer(|message| match message {
        Message::Ask { ask, .. } => reply(granted(4, ask.key.number, 0)),
        _ => reply(Message::Done),
    });
    let headers = [("rosemary-deadline-ms", "200"), ("rosemary-attempt", "1")];
    let outcome = gateway.outcome("r-1", &headers).await;
    assert_eq!((outcome.0, &*outcome.1), (503, "not-run"));
    assert!(gateway.instances.received().is_empty());
}

/// Guards against a finish report that is sent once and lost.
#[tokio::test]
async fn a_finished_grant_is_reported_until_acknowledged() {
    let gateway = Running::start().await;
    gateway.scheduler.answer(|message| match message {
        Message::Finish { .. } => reply(Message::NotOwner { owner: None }),
        message => grant_all(message),
    });
    assert_eq!(gateway.outcome("r-1", &[]).await.0, 200);
    let finishes = || {
        let calls = gateway.scheduler.calls();
        let finishes = calls
            .iter()
            .filter(|call| matches!(call, Message::Finish { .. }));
        finishes.count()
    };
    eventually(|| finishes() >= 2).await;
    assert_eq!(gateway.gateway.unacknowledged_reports(), 1);
    gateway.scheduler.answer(grant_all);
    eventually(|| gateway.gateway.unacknowledged_reports() == 0).await;
}

/// Guards against repeating slot requests to a scheduler that was published as the owner but names
/// another one.
#[tokio::test]
async fn a_redirect_to_another_scheduler_is_followed() {
    let other = FakeScheduler::start("scheduler-2").await;
    other.answer(grant_all);
    let log = MemoryLog::default();
    log.push("contracts", &publish_record());
    let address = other.address;
    let gateway = Running::start_with(log, |settings| {
        let first = settings.cell.schedulers[0].peer;
        settings.cell = cell(&[("scheduler-1", first), ("scheduler-2", address)]);
    })
    .await;
    gateway.scheduler.answer(|message| match message {
        Message::Ask { .. } => reply(Message::Verdict(rosemaryworks_wire::Verdict::NotOwner {
            owner: Some("scheduler-2".into()),
        })),
        _ => reply(Message::Done),
    });
    gateway.announce_owner(1, Some("scheduler-1")).await;
    gateway.wait_ready().await;
    other.peer().await;
    assert_eq!(gateway.outcome("r-1", &[]).await.0, 200);
}

/// Guards against a gateway that never becomes ready because the log is unreachable while it
/// starts.
#[tokio::test]
async fn contracts_are_restored_from_a_scheduler_while_the_log_is_unreachable() {
    let log = MemoryLog::default();
    log.set_down(true);
    let gateway = Running::start_with(log.clone(), |_| {}).await;
    gateway.scheduler.peer().await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!gateway.status.ready.get());
    let mut snapshot = Snapshot::default();
    let record = serde_json::from_str(&publish_record()).unwrap();
    snapshot.register.apply(1, &record);
    snapshot.owners = vec![(shard(), Epoch(1), "scheduler-1".into(), 1)];
    gateway.scheduler.answer(move |message| match message {
        Message::Snapshot => reply(Message::Snapshotted(Box::new(snapshot.clone()))),
        message => grant_all(message),
    });
    gateway.wait_ready().await;
    assert_eq!(gateway.outcome("r-1", &[]).await.0, 200);
}

/// Guards against a finish report that overtakes the survey reply: the owner would ignore it and
/// keep the slot occupied for a request that has ended.
#[tokio::test]
async fn a_finish_report_does_not_overtake_the_survey_reply() {
    let gateway = Running::start().await;
    gateway.instances.script(&[Behavior::Slow(100)]);
    let answered = async { gateway.outcome("r-1", &[]).await };
    let takeover = async {
        eventually(|| gateway.instances.received().len() == 1).await;
        tokio::time::sleep(Duration::from_millis(80)).await;
        let outstanding = survey(&gateway, 2).await;
        (outstanding, std::time::Instant::now())
    };
    let (_, (outstanding, surveyed)) = tokio::join!(answered, takeover);
    assert_eq!(outstanding.len(), 1);
    let is_finish_report = |call: &Message| matches!(call, Message::OutstandingFinished { .. });
    eventually(|| gateway.scheduler.calls().iter().any(is_finish_report)).await;
    // Less than the gateway's wait of 200 ms, which starts before the reply arrives here.
    assert!(surveyed.elapsed() >= Duration::from_millis(150));
}
