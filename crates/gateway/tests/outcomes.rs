//! Outcomes that callers are told, per failure.

#[path = "support/running.rs"]
mod support;

use std::time::Duration;

use rosemaryworks_core::outcome::{Finish, NotRun, Unknown};
use rosemaryworks_wire::link::Reply;
use rosemaryworks_wire::{Message, Verdict};
use support::fakes::{no_reply, reply};
use support::{Running, Treat, eventually, grant_all, granted};

const FIRST: (&str, &str) = ("rosemary-attempt", "1");
const IDEMPOTENT: (&str, &str) = ("rosemary-idempotent", "true");

fn is(actual: (u16, String, String), status: u16, outcome: &str, reason: &str) {
    let expected = (status, outcome.to_owned(), reason.to_owned());
    assert_eq!(actual, expected);
}

/// Grants an ask after `millis`, and says that it waited `waited_ms` at the owner.
fn grant_after(millis: u64, waited_ms: u64, message: Message) -> Reply {
    let Message::Ask { ask, .. } = message else {
        return reply(Message::Done);
    };
    Box::pin(async move {
        tokio::time::sleep(Duration::from_millis(millis)).await;
        granted(1, ask.key.number, waited_ms)
    })
}

fn decide_nothing(message: Message) -> Reply {
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

/// Guards against lost headers and an answer that isn't the instance's own.
#[tokio::test]
async fn an_answer_is_passed_on_whole() {
    let gateway = Running::start().await;
    gateway.instances.treat(&[Treat::Answer(201, "booked")]);
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
        let passed = request
            .headers
            .iter()
            .any(|(name, value)| (&**name, &**value) == header);
        assert!(passed, "{header:?} is missing in {:?}", request.headers);
    }
    eventually(|| finishes(&gateway) == [Finish::Answered]).await;
}

/// Guards against a grant that is used after its owner's support may have ended.
#[tokio::test]
async fn a_grant_that_is_too_old_is_returned_unused() {
    let gateway = Running::start().await;
    gateway
        .scheduler
        .answer(|message| grant_after(1_050, 0, message));
    let headers = [IDEMPOTENT, FIRST, ("rosemary-deadline-ms", "1500")];
    let told = gateway.outcome("r-1", &headers).await;
    is(told, 503, "not-run", "deadline");
    assert!(gateway.instances.received().is_empty());
    eventually(|| finishes(&gateway).contains(&Finish::Unused)).await;
}

/// Guards against refusing a fresh grant only because the ask waited in the owner's queue.
#[tokio::test]
async fn a_grant_that_waited_at_the_owner_is_used() {
    let gateway = Running::start().await;
    gateway
        .scheduler
        .answer(|message| grant_after(1_200, 1_100, message));
    is(gateway.outcome("r-1", &[]).await, 200, "completed", "");
}

/// Guards against `not-run` where an earlier attempt may have run, when no verdict arrives.
#[tokio::test]
async fn a_lost_verdict_is_unknown_unless_nothing_can_have_run() {
    let gateway = Running::start().await;
    gateway.scheduler.answer(decide_nothing);
    let soon = ("rosemary-deadline-ms", "200");
    let told = gateway.outcome("r-1", &[soon]).await;
    is(told, 504, "unknown", "deadline");
    let later = ("rosemary-attempt", "2");
    let told = gateway.outcome("r-2", &[soon, later]).await;
    is(told, 504, "unknown", "deadline");
    let told = gateway.outcome("r-3", &[soon, later, IDEMPOTENT]).await;
    is(told, 504, "unknown", "deadline");
    let told = gateway.outcome("r-4", &[soon, FIRST]).await;
    is(told, 503, "not-run", "deadline");
    let told = gateway.outcome("r-5", &[soon, IDEMPOTENT]).await;
    is(told, 504, "unknown", "deadline");
    assert_eq!(gateway.withdrawn().len(), 5);
}

/// Guards against a request that stays with a paused owner after a takeover, and against reusing
/// the number of the ask.
#[tokio::test]
async fn a_new_owner_is_asked_with_a_new_number() {
    let gateway = Running::start().await;
    gateway.scheduler.answer(decide_nothing);
    let answered = async { gateway.outcome("r-1", &[]).await };
    let takeover = async {
        eventually(|| gateway.asks().len() == 1).await;
        gateway.scheduler.answer(grant_all);
        gateway.own(2, Some("scheduler-1")).await;
    };
    let (outcome, ()) = tokio::join!(answered, takeover);
    is(outcome, 200, "completed", "");
    let asks = gateway.asks();
    assert_ne!(asks[0].key, asks[1].key);
    assert_eq!(gateway.withdrawn(), [asks[0].key.clone()]);
}

/// Guards against a slot that stays taken because its grant arrived after nobody waited for it.
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

/// Guards against `not-run` after an instance may have received the request.
#[tokio::test]
async fn a_connection_that_fails_after_bytes_is_unknown() {
    let gateway = Running::start().await;
    gateway.instances.treat(&[Treat::Lose, Treat::Lose]);
    let told = gateway.outcome("r-1", &[FIRST]).await;
    is(told, 504, "unknown", "instance-lost");
    let told = gateway.outcome("r-2", &[IDEMPOTENT]).await;
    is(told, 504, "unknown", "instance-lost");
    assert_eq!(gateway.instances.received().len(), 2);
    eventually(|| finishes(&gateway) == [Finish::Lost, Finish::Lost]).await;
}

/// Guards against retrying non-idempotent requests, and against `not-run` without knowledge of
/// earlier attempts.
#[tokio::test]
async fn an_unreached_instance_is_not_run_on_the_first_attempt_only() {
    let gateway = Running::start().await;
    gateway
        .instances
        .treat(&[Treat::Unreached, Treat::Unreached]);
    let told = gateway.outcome("r-1", &[FIRST]).await;
    is(told, 503, "not-run", "no-instance");
    let told = gateway.outcome("r-2", &[]).await;
    is(told, 504, "unknown", "instance-lost");
    assert_eq!(gateway.asks().len(), 2);
}

/// Guards against a retry at the instance that just failed.
#[tokio::test]
async fn an_idempotent_request_is_retried_at_another_instance() {
    let gateway = Running::start().await;
    gateway.instances.treat(&[Treat::Unreached]);
    let told = gateway.outcome("r-1", &[IDEMPOTENT]).await;
    is(told, 200, "completed", "");
    gateway.instances.treat(&[Treat::Reject]);
    let told = gateway.outcome("r-2", &[IDEMPOTENT]).await;
    is(told, 200, "completed", "");
    let asks = gateway.asks();
    let failed = format!("booking-{}", asks[0].key.number);
    assert_eq!(asks[1].exclude, [failed.into()]);
    eventually(|| finishes(&gateway).len() == 4).await;
    let finishes = finishes(&gateway);
    assert!(finishes.contains(&Finish::NotSent) && finishes.contains(&Finish::Rejected));
}

/// Guards against retries beyond the budget: with 0% there are none, with 50% one for two requests.
#[tokio::test]
async fn retries_stay_within_the_budget() {
    for (percent, asks) in [(0, 4), (50, 6)] {
        let log = support::fakes::MemoryLog::default();
        log.push("contracts", &support::fakes::publish_record());
        let gateway = Running::start_with(log, |settings| settings.retry_percent = percent).await;
        gateway.scheduler.answer(grant_all);
        gateway.own(1, Some("scheduler-1")).await;
        gateway.wait_ready().await;
        gateway.instances.treat(&vec![Treat::Unreached; 20]);
        for id in ["r-1", "r-2", "r-3", "r-4"] {
            let told = gateway.outcome(id, &[IDEMPOTENT, FIRST]).await;
            is(told, 503, "not-run", "no-instance");
        }
        assert_eq!(gateway.asks().len(), asks, "with {percent}%");
    }
}

/// Guards against `not-run` after bytes reached an instance, even if it says that it didn't run.
#[tokio::test]
async fn a_rejected_request_that_is_not_retried_is_unknown() {
    let gateway = Running::start().await;
    gateway.instances.treat(&[Treat::Reject]);
    let told = gateway.outcome("r-1", &[FIRST]).await;
    is(told, 504, "unknown", "instance-refused");
    eventually(|| finishes(&gateway) == [Finish::Rejected]).await;
}

/// Guards against a slot that is freed while its instance is still busy after the deadline, and
/// against losing the late answer, which a repeat of the id receives.
#[tokio::test]
async fn a_late_answer_holds_the_slot_and_is_kept() {
    let gateway = Running::start().await;
    gateway.instances.treat(&[Treat::Slow(400)]);
    let soon = ("rosemary-deadline-ms", "100");
    let told = gateway.outcome("r-1", &[soon]).await;
    is(told, 504, "unknown", "deadline");
    assert!(finishes(&gateway).is_empty());
    eventually(|| finishes(&gateway) == [Finish::Answered]).await;
    is(gateway.outcome("r-1", &[soon]).await, 200, "completed", "");
    assert_eq!(gateway.instances.received().len(), 1);
}

/// Guards against a request that is cut off because its caller has gone.
#[tokio::test]
async fn a_request_goes_on_when_its_caller_has_gone() {
    let gateway = Running::start().await;
    gateway.instances.treat(&[Treat::Slow(300)]);
    let mut call = gateway.call("r-1", &[]);
    call.timeout = Duration::from_millis(100);
    let client = rosemaryworks_node::http::Client::start(1);
    assert!(client.send(call).await.is_err());
    eventually(|| finishes(&gateway) == [Finish::Answered]).await;
}

/// Guards against verdicts that reach callers under another name or status.
#[tokio::test]
async fn verdicts_of_the_owner_are_passed_on() {
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
        let told = gateway.outcome("r-1", &[FIRST]).await;
        is(told, status, outcome, reason);
    }
}

/// Guards against endless waiting when a shard has no owner.
#[tokio::test]
async fn without_an_owner_the_deadline_decides() {
    let gateway = Running::start().await;
    gateway.own(1, None).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    let soon = ("rosemary-deadline-ms", "150");
    let told = gateway.outcome("r-1", &[soon, FIRST]).await;
    is(told, 503, "not-run", "no-owner");
    let told = gateway.outcome("r-2", &[soon]).await;
    is(told, 504, "unknown", "no-owner");
    assert!(gateway.asks().is_empty());
}

/// Guards against calling an id dispatched that only this gateway's own unused ask made known.
#[tokio::test]
async fn an_id_known_from_an_unused_grant_is_not_run() {
    let gateway = Running::start().await;
    let asked = std::sync::atomic::AtomicUsize::new(0);
    gateway.scheduler.answer(move |message| match message {
        Message::Ask { .. } if asked.fetch_add(1, std::sync::atomic::Ordering::SeqCst) == 0 => {
            grant_after(1_050, 0, message)
        }
        Message::Ask { .. } => reply(Message::Verdict(Verdict::Unknown(
            Unknown::AlreadyDispatched,
        ))),
        _ => reply(Message::Done),
    });
    let told = gateway.outcome("r-1", &[FIRST]).await;
    is(told, 503, "not-run", "no-owner");
    assert!(gateway.instances.received().is_empty());
}

/// Guards against `not-run` after a retry whose first instance received the request.
#[tokio::test]
async fn a_refused_retry_of_a_rejected_request_is_unknown() {
    let gateway = Running::start().await;
    gateway.scheduler.answer(|message| match message {
        Message::Ask { ask, .. } if !ask.exclude.is_empty() => {
            reply(Message::Verdict(Verdict::NotRun(NotRun::NoInstance)))
        }
        message => grant_all(message),
    });
    gateway.instances.treat(&[Treat::Reject]);
    let told = gateway.outcome("r-1", &[IDEMPOTENT, FIRST]).await;
    is(told, 504, "unknown", "instance-refused");
    gateway.instances.treat(&[Treat::Unreached]);
    let told = gateway.outcome("r-2", &[IDEMPOTENT, FIRST]).await;
    is(told, 503, "not-run", "no-instance");
}

/// Guards against `unknown` because the report of an unused grant outlasts the deadline.
#[tokio::test]
async fn a_report_does_not_outlast_the_deadline() {
    let gateway = Running::start().await;
    gateway.scheduler.answer(|message| match message {
        Message::Ask { .. } => grant_all(message),
        _ => no_reply(),
    });
    gateway.instances.treat(&[Treat::Unreached]);
    let soon = ("rosemary-deadline-ms", "200");
    let told = gateway.outcome("r-1", &[soon, IDEMPOTENT, FIRST]).await;
    is(told, 503, "not-run", "deadline");
}

/// Guards against `not-run` for a later attempt of an idempotent request: the owner doesn't remember
/// its id, and fault runs saw earlier attempts that had run.
#[tokio::test]
async fn a_refused_later_attempt_of_an_idempotent_request_is_unknown() {
    let gateway = Running::start().await;
    let verdict = Message::Verdict(Verdict::NotRun(NotRun::Concurrency));
    gateway.scheduler.answer(move |_| reply(verdict.clone()));
    let second = ("rosemary-attempt", "2");
    let outcome = gateway.outcome("r-1", &[IDEMPOTENT, second]).await;
    is(outcome, 504, "unknown", "earlier-attempt");
    let outcome = gateway.outcome("r-1", &[IDEMPOTENT]).await;
    is(outcome, 504, "unknown", "earlier-attempt");
    let told = gateway.outcome("r-2", &[IDEMPOTENT, FIRST]).await;
    is(told, 429, "not-run", "concurrency");
    let told = gateway.outcome("r-3", &[second]).await;
    is(told, 429, "not-run", "concurrency");
}

/// Guards against an ask that goes on waiting, and is dispatched later, after its caller has gone and
/// perhaps repeated the request at another gateway.
#[tokio::test]
async fn an_ask_is_withdrawn_when_its_caller_has_gone() {
    let gateway = Running::start().await;
    gateway.scheduler.answer(decide_nothing);
    let mut call = gateway.call("r-1", &[]);
    call.timeout = Duration::from_millis(200);
    let client = rosemaryworks_node::http::Client::start(1);
    assert!(client.send(call).await.is_err());
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(gateway.withdrawn().len(), 1);
    assert_eq!(gateway.gateway.requests(), 0);
}
