//! Outcomes reported to callers, by failure.

#[path = "support/running.rs"]
mod support;

use std::time::Duration;

use rosemaryworks_core::outcome::{Finish, NotRun, Unknown};
use rosemaryworks_wire::link::Reply;
use rosemaryworks_wire::{Message, Verdict};
use support::fakes::{no_reply, reply};
use support::{Behavior, Running, eventually, grant_all, granted};

const FIRST_ATTEMPT: (&str, &str) = ("rosemary-attempt", "1");
const IDEMPOTENT: (&str, &str) = ("rosemary-idempotent", "true");

fn assert_outcome(actual: (u16, String, String), status: u16, outcome: &str, reason: &str) {
    let expected = (status, outcome.to_owned(), reason.to_owned());
    assert_eq!(actual, expected);
}

/// Grants a slot request after `millis`, and reports that it waited `waited_ms` at the owner.
fn grant_after(millis: u64, waited_ms: u64, message: Message) -> Reply {
    let Message::Ask { ask, .. } = message else {
        return reply(Message::Done);
    };
    Box::pin(async move {
        tokio::time::sleep(Duration::from_millis(millis)).await;
        granted(1, ask.key.number, waited_ms)
    })
}

fn never_decide(message: Message) -> Reply {
    match message {
        Message::Ask { .. } => no_reply(),
        _ => reply(Message::Done),
    }
}

fn finishes(gateway: &Running) -> Vec<Finish> {
    let calls = gateway.scheduler.calls().into_iter();
    let finishes = calls.filter_map(|call| match call {
        Message::Finish { finish, .. } => Some(finish),
        _ => None,
    });
    finishes.collect()
}

/// Guards against lost headers and against a response that differs from the instance's.
#[tokio::test]
async fn a_response_is_forwarded_unchanged() {
    let gateway = Running::start().await;
    gateway.instances.script(&[Behavior::Answer(201, "booked")]);
    let call = gateway.call(
        "r-1",
        &[("content-type", "text/csv"), ("rosemary-attempt", "2")],
    );
    let response = gateway.send(call).await;
    assert_eq!((response.status, &*response.body), (201, &b"booked"[..]));
    assert_eq!(response.header("rosemary-outcome"), Some("completed"));
    assert_eq!(response.header("rosemary-request-id"), Some("r-1"));
    assert_eq!(response.header("content-type"), Some("text/plain"));
    let (_, request) = gateway.instances.received().remove(0);
    assert_eq!(request.body, b"quote");
    for header in [
        ("rosemary-request-id", "r-1"),
        ("rosemary-attempt", "2"),
        ("rosemary-contract", "dala"),
        ("content-type", "text/csv"),
    ] {
        let forwarded = request
            .headers
            .iter()
            .any(|(name, value)| (&**name, &**value) == header);
        assert!(forwarded, "{header:?} is missing in {:?}", request.headers);
    }
    eventually(|| finishes(&gateway) == [Finish::Answered]).await;
}

/// Guards against the use of a grant after its owner's support may have ended.
#[tokio::test]
async fn an_expired_grant_is_returned_unused() {
    let gateway = Running::start().await;
    gateway
        .scheduler
        .answer(|message| grant_after(1_050, 0, message));
    let headers = [IDEMPOTENT, FIRST_ATTEMPT, ("rosemary-deadline-ms", "1500")];
    let outcome = gateway.outcome("r-1", &headers).await;
    assert_outcome(outcome, 503, "not-run", "deadline");
    assert!(gateway.instances.received().is_empty());
    eventually(|| finishes(&gateway).contains(&Finish::Unused)).await;
}

/// Guards against rejecting a valid grant only because the slot request waited in the owner's
/// queue.
#[tokio::test]
async fn a_grant_that_waited_at_the_owner_is_used() {
    let gateway = Running::start().await;
    gateway
        .scheduler
        .answer(|message| grant_after(1_200, 1_100, message));
    assert_outcome(gateway.outcome("r-1", &[]).await, 200, "completed", "");
}

/// Guards against reporting `not-run` without a verdict when an earlier attempt may have run.
#[tokio::test]
async fn a_lost_verdict_is_unknown_unless_nothing_can_have_run() {
    let gateway = Running::start().await;
    gateway.scheduler.answer(never_decide);
    let short_deadline = ("rosemary-deadline-ms", "200");
    let outcome = gateway.outcome("r-1", &[short_deadline]).await;
    assert_outcome(outcome, 504, "unknown", "deadline");
    let second_attempt = ("rosemary-attempt", "2");
    let outcome = gateway
        .outcome("r-2", &[short_deadline, second_attempt])
        .await;
    assert_outcome(outcome, 504, "unknown", "deadline");
    let outcome = gateway
        .outcome("r-3", &[short_deadline, second_attempt, IDEMPOTENT])
        .await;
    assert_outcome(outcome, 504, "unknown", "deadline");
    let outcome = gateway
        .outcome("r-4", &[short_deadline, FIRST_ATTEMPT])
        .await;
    assert_outcome(outcome, 503, "not-run", "deadline");
    let outcome = gateway.outcome("r-5", &[short_deadline, IDEMPOTENT]).await;
    assert_outcome(outcome, 504, "unknown", "deadline");
    assert_eq!(gateway.withdrawn_keys().len(), 5);
}

/// Guards against a request that keeps waiting for a paused owner after a takeover, and against
/// reusing the number of the slot request.
#[tokio::test]
async fn a_new_owner_gets_a_slot_request_with_a_new_number() {
    let gateway = Running::start().await;
    gateway.scheduler.answer(never_decide);
    let answered = async { gateway.outcome("r-1", &[]).await };
    let takeover = async {
        eventually(|| gateway.slot_requests().len() == 1).await;
        gateway.scheduler.answer(grant_all);
        gateway.announce_owner(2, Some("scheduler-1")).await;
    };
    let (outcome, ()) = tokio::join!(answered, takeover);
    assert_outcome(outcome, 200, "completed", "");
    let slot_requests = gateway.slot_requests();
    assert_ne!(slot_requests[0].key, slot_requests[1].key);
    assert_eq!(gateway.withdrawn_keys(), [slot_requests[0].key.clone()]);
}

/// Guards against a slot that stays occupied because its grant arrived when nothing waited for it
/// any more.
#[tokio::test]
async fn a_late_grant_is_returned() {
    let gateway = Running::start().await;
    gateway
        .scheduler
        .answer(|message| grant_after(300, 0, message));
    gateway
        .outcome("r-1", &[("rosemary-deadline-ms", "100")])
        .await;
    eventually(|| finishes(&gateway) == [Finish::Unused]).await;
    assert!(gateway.instances.received().is_empty());
}

/// Guards against reporting `not-run` when an instance may have received the request.
#[tokio::test]
async fn a_connection_lost_after_sending_is_unknown() {
    let gateway = Running::start().await;
    gateway
        .instances
        .script(&[Behavior::Disconnect, Behavior::Disconnect]);
    let outcome = gateway.outcome("r-1", &[FIRST_ATTEMPT]).await;
    assert_outcome(outcome, 504, "unknown", "instance-lost");
    let outcome = gateway.outcome("r-2", &[IDEMPOTENT]).await;
    assert_outcome(outcome, 504, "unknown", "instance-lost");
    assert_eq!(gateway.instances.received().len(), 2);
    eventually(|| finishes(&gateway) == [Finish::Lost, Finish::Lost]).await;
}

/// Guards against retrying non-idempotent requests, and against reporting `not-run` when earlier
/// attempts may have run.
#[tokio::test]
async fn an_unreached_instance_is_not_run_on_the_first_attempt_only() {
    let gateway = Running::start().await;
    gateway
        .instances
        .script(&[Behavior::Unreached, Behavior::Unreached]);
    let outcome = gateway.outcome("r-1", &[FIRST_ATTEMPT]).await;
    assert_outcome(outcome, 503, "not-run", "no-instance");
    let outcome = gateway.outcome("r-2", &[]).await;
    assert_outcome(outcome, 504, "unknown", "instance-lost");
    assert_eq!(gateway.slot_requests().len(), 2);
}

/// Guards against a retry at the instance that failed.
#[tokio::test]
async fn an_idempotent_request_is_retried_at_another_instance() {
    let gateway = Running::start().await;
    gateway.instances.script(&[Behavior::Unreached]);
    let outcome = gateway.outcome("r-1", &[IDEMPOTENT]).await;
    assert_outcome(outcome, 200, "completed", "");
    gateway.instances.script(&[Behavior::Reject]);
    let outcome = gateway.outcome("r-2", &[IDEMPOTENT]).await;
    assert_outcome(outcome, 200, "completed", "");
    let slot_requests = gateway.slot_requests();
    let failed = format!("booking-{}", slot_requests[0].key.number);
    assert_eq!(slot_requests[1].exclude, [failed.into()]);
    eventually(|| finishes(&gateway).len() == 4).await;
    let finishes = finishes(&gateway);
    assert!(finishes.contains(&Finish::NotSent) && finishes.contains(&Finish::Rejected));
}

/// Guards against retries beyond the budget: none with 0%, one for every two requests with 50%.
#[tokio::test]
async fn retries_stay_within_the_budget() {
    for (percent, slot_requests) in [(0, 4), (50, 6)] {
        let log = support::fakes::MemoryLog::default();
        log.push("contracts", &support::fakes::publish_record());
        let gateway = Running::start_with(log, |settings| settings.retry_percent = percent).await;
        gateway.scheduler.answer(grant_all);
        gateway.announce_owner(1, Some("scheduler-1")).await;
        gateway.wait_ready().await;
        gateway.instances.script(&vec![Behavior::Unreached; 20]);
        for id in ["r-1", "r-2", "r-3", "r-4"] {
            let outcome = gateway.outcome(id, &[IDEMPOTENT, FIRST_ATTEMPT]).await;
            assert_outcome(outcome, 503, "not-run", "no-instance");
        }
        assert_eq!(
            gateway.slot_requests().len(),
            slot_requests,
            "with {percent}%"
        );
    }
}

/// Guards against reporting `not-run` after bytes reached an instance, even if the instance reports
/// that it didn't run the request.
#[tokio::test]
async fn a_rejected_request_that_is_not_retried_is_unknown() {
    let gateway = Running::start().await;
    gateway.instances.script(&[Behavior::Reject]);
    let outcome = gateway.outcome("r-1", &[FIRST_ATTEMPT]).await;
    assert_outcome(outcome, 504, "unknown", "instance-refused");
    eventually(|| finishes(&gateway) == [Finish::Rejected]).await;
}

/// Guards against a slot that is freed while its instance is still busy after the deadline, and
/// against losing the late response, which a repeat with the same id receives.
#[tokio::test]
async fn a_late_response_occupies_the_slot_and_is_cached() {
    let gateway = Running::start().await;
    gateway.instances.script(&[Behavior::Slow(400)]);
    let short_deadline = ("rosemary-deadline-ms", "100");
    let outcome = gateway.outcome("r-1", &[short_deadline]).await;
    assert_outcome(outcome, 504, "unknown", "deadline");
    assert!(finishes(&gateway).is_empty());
    eventually(|| finishes(&gateway) == [Finish::Answered]).await;
    assert_outcome(
        gateway.outcome("r-1", &[short_deadline]).await,
        200,
        "completed",
        "",
    );
    assert_eq!(gateway.instances.received().len(), 1);
}

/// Guards against a request that is aborted because its caller disconnected.
#[tokio::test]
async fn a_request_continues_when_its_caller_disconnects() {
    let gateway = Running::start().await;
    gateway.instances.script(&[Behavior::Slow(300)]);
    let mut call = gateway.call("r-1", &[]);
    call.timeout = Duration::from_millis(100);
    let client = rosemaryworks_node::http::Client::start(1);
    assert!(client.send(call).await.is_err());
    eventually(|| finishes(&gateway) == [Finish::Answered]).await;
}

/// Guards against verdicts that reach callers with a wrong outcome, reason or status.
#[tokio::test]
async fn verdicts_of_the_owner_are_forwarded() {
    let gateway = Running::start().await;
    let cases = [
        (Verdict::NotRun(NotRun::Rate), 429, "not-run", "rate"),
        (
            Verdict::NotRun(NotRun::Concurrency),
            429,
            "not-run",
            "concurrency",
        ),
        (
            Verdict::NotRun(NotRun::LogUnavailable),
            503,
            "not-run",
            "log-unavailable",
        ),
        (
            Verdict::Unknown(Unknown::AlreadyDispatched),
            504,
            "unknown",
            "already-dispatched",
        ),
        (
            Verdict::Unknown(Unknown::Takeover),
            504,
            "unknown",
            "takeover",
        ),
    ];
    for (verdict, status, outcome, reason) in cases {
        let verdict = Message::Verdict(verdict);
        gateway.scheduler.answer(move |_| reply(verdict.clone()));
        let actual = gateway.outcome("r-1", &[FIRST_ATTEMPT]).await;
        assert_outcome(actual, status, outcome, reason);
    }
}

/// Guards against waiting beyond the deadline when a shard has no owner.
#[tokio::test]
async fn without_an_owner_requests_end_at_the_deadline() {
    let gateway = Running::start().await;
    gateway.announce_owner(1, None).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    let short_deadline = ("rosemary-deadline-ms", "150");
    let outcome = gateway
        .outcome("r-1", &[short_deadline, FIRST_ATTEMPT])
        .await;
    assert_outcome(outcome, 503, "not-run", "no-owner");
    let outcome = gateway.outcome("r-2", &[short_deadline]).await;
    assert_outcome(outcome, 504, "unknown", "no-owner");
    assert!(gateway.slot_requests().is_empty());
}

/// Guards against reporting `already-dispatched` for an id that the owner recorded only for this
/// gateway's own unused grant.
#[tokio::test]
async fn an_id_recorded_for_an_unused_grant_is_not_run() {
    let gateway = Running::start().await;
    let request_count = std::sync::atomic::AtomicUsize::new(0);
    gateway.scheduler.answer(move |message| match message {
        Message::Ask { .. }
            if request_count.fetch_add(1, std::sync::atomic::Ordering::SeqCst) == 0 =>
        {
            grant_after(1_050, 0, message)
        }
        Message::Ask { .. } => reply(Message::Verdict(Verdict::Unknown(
            Unknown::AlreadyDispatched,
        ))),
        _ => reply(Message::Done),
    });
    let outcome = gateway.outcome("r-1", &[FIRST_ATTEMPT]).await;
    assert_outcome(outcome, 503, "not-run", "no-owner");
    assert!(gateway.instances.received().is_empty());
}

/// Guards against reporting `not-run` for a retry whose first instance received the request.
#[tokio::test]
async fn a_refused_retry_of_a_rejected_request_is_unknown() {
    let gateway = Running::start().await;
    gateway.scheduler.answer(|message| match message {
        Message::Ask { ask, .. } if !ask.exclude.is_empty() => {
            reply(Message::Verdict(Verdict::NotRun(NotRun::NoInstance)))
        }
        message => grant_all(message),
    });
    gateway.instances.script(&[Behavior::Reject]);
    let outcome = gateway.outcome("r-1", &[IDEMPOTENT, FIRST_ATTEMPT]).await;
    assert_outcome(outcome, 504, "unknown", "instance-refused");
    gateway.instances.script(&[Behavior::Unreached]);
    let outcome = gateway.outcome("r-2", &[IDEMPOTENT, FIRST_ATTEMPT]).await;
    assert_outcome(outcome, 503, "not-run", "no-instance");
}

/// Guards against reporting `unknown` because waiting for the acknowledgement of a finish report
/// exceeds the deadline.
#[tokio::test]
async fn the_wait_for_an_acknowledgement_ends_at_the_deadline() {
    let gateway = Running::start().await;
    gateway.scheduler.answer(|message| match message {
        Message::Ask { .. } => grant_all(message),
        _ => no_reply(),
    });
    gateway.instances.script(&[Behavior::Unreached]);
    let short_deadline = ("rosemary-deadline-ms", "200");
    let outcome = gateway
        .outcome("r-1", &[short_deadline, IDEMPOTENT, FIRST_ATTEMPT])
        .await;
    assert_outcome(outcome, 503, "not-run", "deadline");
}

/// Guards against reporting `not-run` for a later attempt of an idempotent request: the owner
/// doesn't record its id, and in fault-injection runs earlier attempts had run.
#[tokio::test]
async fn a_refused_later_attempt_of_an_idempotent_request_is_unknown() {
    let gateway = Running::start().await;
    let verdict = Message::Verdict(Verdict::NotRun(NotRun::Concurrency));
    gateway.scheduler.answer(move |_| reply(verdict.clone()));
    let second_attempt = ("rosemary-attempt", "2");
    let outcome = gateway.outcome("r-1", &[IDEMPOTENT, second_attempt]).await;
    assert_outcome(outcome, 504, "unknown", "earlier-attempt");
    let outcome = gateway.outcome("r-1", &[IDEMPOTENT]).await;
    assert_outcome(outcome, 504, "unknown", "earlier-attempt");
    let outcome = gateway.outcome("r-2", &[IDEMPOTENT, FIRST_ATTEMPT]).await;
    assert_outcome(outcome, 429, "not-run", "concurrency");
    let outcome = gateway.outcome("r-3", &[second_attempt]).await;
    assert_outcome(outcome, 429, "not-run", "concurrency");
}

/// Guards against a slot request that stays queued, and is dispatched later, after its caller
/// disconnected and may have repeated the request at another gateway.
#[tokio::test]
async fn a_slot_request_is_withdrawn_when_its_caller_disconnects() {
    let gateway = Running::start().await;
    gateway.scheduler.answer(never_decide);
    let mut call = gateway.call("r-1", &[]);
    call.timeout = Duration::from_millis(200);
    let client = rosemaryworks_node::http::Client::start(1);
    assert!(client.send(call).await.is_err());
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(gateway.withdrawn_keys().len(), 1);
    assert_eq!(gateway.gateway.requests_in_flight(), 0);
}
